"""Tests of the figures that are taken from the bench's journal."""

import json

from bench import rounds


def entry(name, **changes):
    day = {"name": "d1", "score": 0.9, "parts": [["whole day", 0.4, 0.8]]}
    worst = {"name": "d2", "score": 0.2, "parts": [["a", 1, 0.5], ["b", 1, 0]]}
    made = {
        "id": name,
        "cmd": "score",
        "site": "s",
        "why": "<b>",
        "score": 0.5,
        "days": [
            {**day, "rules": {}},
            {**worst, "rules": {"TWICE": 1, "MIXED": 2}},
        ],
    }
    return json.dumps({**made, **changes})


def test_rounds_show_the_worst_day_and_broken_rules(tmp_path):
    """A page that drops a broken rule would call a void round good."""
    (tmp_path / "2.json").write_text(entry("b", score=0.7))
    (tmp_path / "1.json").write_text(entry("a"))
    (tmp_path / "3.json").write_text(entry("c", cmd="run"))
    first, second = rounds.load(tmp_path)
    assert (first.id, second.id) == ("a", "b")
    assert (first.worst_day, first.weakest_part) == ("d2", "b")
    assert first.broken == ("MIXED", "TWICE")
    assert "MIXED, TWICE" in rounds.table([first])
    assert "<b>" not in rounds.table([first])
