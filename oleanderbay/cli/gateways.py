"""The `gateways` command: shows what gateways say of themselves."""

import argparse
import asyncio
import json
import sys
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import aiohttp

from oleanderbay.cli import codes
from oleanderbay.process import checker

DEFAULT_TIMEOUT_MS = 3_000
MAX_ANSWER_BYTES = 16_777_216
# Ages from here on stand for a store that has never answered.
NEVER_MS = 1 << 30

Status = Mapping[str, Any]


class StatusError(Exception):
    """A gateway gave no usable status."""


def register(subparsers: Any) -> None:
    """Adds the `gateways` command to the command line."""
    parser = subparsers.add_parser(
        "gateways",
        help="show the state of gateways",
        description="Reads /status of the readiness listeners named and "
        "prints gateways, groups, and lost and suspected workers. Exits 0 if "
        "all gateways answered, 2 for an invalid address, 3 if some did not.",
        epilog="example: oleanderbay gateways 10.0.0.1:8091 10.0.0.2:8091",
    )
    parser.add_argument(
        "addresses", nargs="+", type=_address, metavar="ADDRESS"
    )
    parser.add_argument("--output", choices=("text", "json"), default="text")
    parser.add_argument(
        "--timeout-ms",
        type=_positive,
        default=DEFAULT_TIMEOUT_MS,
        metavar="MS",
        help=f"time for each answer; {DEFAULT_TIMEOUT_MS} by default",
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Prints the state of the gateways and returns the exit code."""
    answers = asyncio.run(_read_all(args.addresses, args.timeout_ms))
    found = {a: s for a, s in answers.items() if isinstance(s, Mapping)}
    failed = {a: str(e) for a, e in answers.items() if a not in found}
    groups = _groups(found.values())
    troubled = _troubled(found.values())
    if args.output == "json":
        shown = {
            "gateways": [
                {
                    "address": address,
                    **{k: v for k, v in status.items() if k != "groups"},
                }
                for address, status in found.items()
            ],
            "groups": groups,
            "workers": troubled,
            "failed": [
                {"address": address, "error": error}
                for address, error in failed.items()
            ],
        }
        print(json.dumps(shown))
    else:
        _print_text(found, groups, troubled)
        for address, error in failed.items():
            print(f"{address}: {error}", file=sys.stderr)
    return codes.EXIT_UNAVAILABLE if failed else codes.EXIT_OK


async def _read_all(
    addresses: Sequence[str], timeout_ms: int
) -> dict[str, Status | StatusError]:
    timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        answers = await asyncio.gather(
            *(_read(session, address) for address in addresses),
            return_exceptions=True,
        )
    found: dict[str, Status | StatusError] = {}
    for address, answer in zip(addresses, answers, strict=True):
        if isinstance(answer, BaseException) and not isinstance(
            answer, StatusError
        ):
            raise answer
        found[address] = answer
    return found


async def _read(session: aiohttp.ClientSession, address: str) -> Status:
    """Reads the status of one gateway.

    Raises:
        StatusError: There was none.
    """
    try:
        async with session.get(f"http://{address}/status") as response:
            if response.status != 200:
                raise StatusError(f"answered with status {response.status}")
            body = b""
            async for part in response.content.iter_any():
                body += part
                if len(body) > MAX_ANSWER_BYTES:
                    raise StatusError("the answer is too large")
    except TimeoutError as error:
        raise StatusError("no answer in time") from error
    except (aiohttp.ClientError, OSError) as error:
        raise StatusError(f"not reachable: {error}") from error
    try:
        status = json.loads(body)
        # What the tables need; other members may come and go.
        for name in ("id", "ready", "version", "store_age_ms", "groups"):
            status[name]
        for name in ("peers", "partitions", "lost", "suspects"):
            iter(status[name])
        for group in status["groups"]:
            for name in ("name", "model", "open"):
                group[name]
            iter(group["members"])
            int(group["in_flight"])
        dict(status["store_age_ms"])
    except (ValueError, KeyError, TypeError) as error:
        raise StatusError("the answer is no status of a gateway") from error
    assert isinstance(status, dict)
    return status


def _groups(statuses: Iterable[Status]) -> list[dict[str, Any]]:
    """Merges the groups that the gateways know.

    Each gateway has read the workers' records by itself, so they may differ
    for a moment; `open_at` counts those that see the group as open.
    """
    merged: dict[str, dict[str, Any]] = {}
    for status in statuses:
        for group in status["groups"]:
            one = merged.setdefault(
                group["name"],
                {
                    "name": group["name"],
                    "model": "",
                    "members": [],
                    "in_flight": 0,
                    "open_at": 0,
                    "known_at": 0,
                },
            )
            one["model"] = one["model"] or group["model"]
            one["members"] = max(one["members"], group["members"], key=len)
            # Each gateway shows the sum over all gateways.
            one["in_flight"] = max(one["in_flight"], group["in_flight"])
            one["open_at"] += bool(group["open"])
            one["known_at"] += 1
    return sorted(merged.values(), key=lambda g: (g["model"], g["name"]))


def _troubled(statuses: Iterable[Status]) -> list[dict[str, Any]]:
    """Returns the workers that some gateways do not use, and these gateways."""
    found: dict[tuple[str, str], list[str]] = {}
    for status in statuses:
        for state, name in (
            ("lost", "lost"),
            ("suspected", "suspects"),
            ("path broken", "broken_paths"),
        ):
            # Gateways of earlier versions don't tell broken paths.
            for worker in status.get(name, ()):
                found.setdefault((worker, state), []).append(status["id"])
    return [
        {"worker": worker, "state": state, "gateways": ids}
        for (worker, state), ids in sorted(found.items())
    ]


def _print_text(
    found: Mapping[str, Status],
    groups: Sequence[Mapping[str, Any]],
    troubled: Sequence[Mapping[str, Any]],
) -> None:
    _print_table(
        "no gateway answered",
        (
            "gateway",
            "address",
            "ready",
            "version",
            "store age",
            "peers",
            "partitions",
        ),
        [
            (
                status["id"],
                address,
                _readiness(status),
                "none" if status["version"] is None else status["version"],
                _age(status["store_age_ms"]),
                ", ".join(status["peers"]) or "none",
                ", ".join(map(str, status["partitions"])) or "none",
            )
            for address, status in found.items()
        ],
    )
    _print_table(
        "no groups",
        ("group", "model", "open", "members", "in flight"),
        [
            (
                group["name"],
                group["model"] or "unknown",
                _open(group),
                ", ".join(group["members"]),
                group["in_flight"],
            )
            for group in groups
        ],
    )
    _print_table(
        "no lost, suspected or unreached workers",
        ("worker", "state", "according to"),
        [
            (one["worker"], one["state"], ", ".join(one["gateways"]))
            for one in troubled
        ],
    )


def _readiness(status: Status) -> str:
    if status.get("partitioned"):
        return "partitioned from workers"
    return "yes" if status["ready"] else "no"


def _age(ages_ms: Mapping[str, int]) -> str:
    oldest_ms = max(ages_ms.values(), default=NEVER_MS)
    return "never read" if oldest_ms >= NEVER_MS else f"{oldest_ms} ms"


def _open(group: Mapping[str, Any]) -> str:
    if group["open_at"] in (0, group["known_at"]):
        return "yes" if group["open_at"] else "no"
    return f"at {group['open_at']} of {group['known_at']}"


def _print_table(
    empty: str, heads: tuple[str, ...], rows: Sequence[tuple[Any, ...]]
) -> None:
    """Prints rows in columns that fit, or that there are none."""
    if not rows:
        print(f"{empty}\n")
        return
    texts = [heads, *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for text in texts:
        cells = (
            cell.ljust(width) for cell, width in zip(text, widths, strict=True)
        )
        print("  ".join(cells).rstrip())
    print()


def _address(text: str) -> str:
    if not checker.is_address(text):
        raise argparse.ArgumentTypeError(f"{text!r} is not host:port")
    return text


def _positive(text: str) -> int:
    if not text.isascii() or not text.isdigit() or not int(text):
        raise argparse.ArgumentTypeError("an integer above 0 is needed")
    return int(text)
