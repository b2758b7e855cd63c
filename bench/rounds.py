"""Figures of the rounds on the users' bench, from its journal."""

import dataclasses
import html
import json
import pathlib
from typing import Any

JOURNAL = pathlib.Path("journal")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Round:
    """One scored run of a site's standard days.

    Attributes:
        id: Id of the journal's entry.
        site: Name of the site.
        why: What the run was for.
        score: The site's score, 0 to 1.
        worst_day: Name of the day with the lowest score.
        worst_score: That day's score.
        weakest_part: The part that earned least on that day.
        broken: Names of broken rules, over all days.
    """

    id: str
    site: str
    why: str
    score: float
    worst_day: str
    worst_score: float
    weakest_part: str
    broken: tuple[str, ...]


def load(directory: pathlib.Path = JOURNAL) -> list[Round]:
    """Returns the scored rounds in the order in which they were played."""
    rounds = []
    for path in sorted(directory.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry.get("cmd") == "score" and entry.get("score") is not None:
            rounds.append(_round(entry))
    return rounds


def table(rounds: list[Round]) -> str:
    """Returns the rounds as a table in HTML."""
    rows = "".join(
        f"<tr{' class=broken' if item.broken else ''}>"
        f"<td>{html.escape(item.site)}<td>{item.score:.3f}"
        f"<td>{html.escape(item.worst_day)} {item.worst_score:.2f}"
        f"<td>{html.escape(item.weakest_part)}"
        f"<td>{html.escape(', '.join(item.broken) or 'none')}"
        f"<td>{html.escape(item.why)}</tr>"
        for item in rounds
    )
    return (
        "<table><tr><th>site<th>score<th>worst day<th>weakest part"
        f"<th>broken rules<th>why</tr>{rows}</table>"
    )


def _round(entry: dict[str, Any]) -> Round:
    days = [day for day in entry["days"] if day.get("score") is not None]
    worst = min(days, key=lambda day: float(day["score"]))
    parts = worst.get("parts") or [["", 0.0, 0.0]]
    return Round(
        id=entry["id"],
        site=entry["site"],
        why=entry["why"],
        score=float(entry["score"]),
        worst_day=worst["name"],
        worst_score=float(worst["score"]),
        weakest_part=min(parts, key=lambda part: float(part[2]))[0],
        broken=tuple(sorted({rule for day in days for rule in day["rules"]})),
    )
