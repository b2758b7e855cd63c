"""The promises of the system as executable checks over records.

Each check takes all records of a run and returns what it found broken. The
numbers P1 to P10 are those of docs/promises.md.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Iterator, Sequence

from oleanderbay.checks import records

# "A few seconds" of the promises about zones and leaving upstreams, and the
# limit for a configuration to be in force everywhere.
NEW_WORK_LIMIT_MS = 6_000
IN_FORCE_LIMIT_MS = 6_000

# How long after a member is lost its group may still be given work: the
# maximum age of a report plus one polling interval.
DETECTION_LIMIT_MS = 2_500


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that a run broke.

    Attributes:
        promise: `P1` to `P10`.
        message: What was seen.
    """

    promise: str
    message: str


Check = Callable[[Sequence[records.Record]], Iterator[Violation]]


def complete_groups(
    run: Sequence[records.Record],
    detection_ms: int = DETECTION_LIMIT_MS,
) -> Iterator[Violation]:
    """P1: no group that is missing a member serves any request."""
    members: dict[str, tuple[str, ...]] = {}
    lost_at_ms: dict[str, int] = {}
    for record in _in_order(run):
        match record:
            case records.GroupAssigned():
                members[record.group] = record.members
            case records.GroupDissolved():
                members.pop(record.group, None)
            case records.MemberLost():
                lost_at_ms.setdefault(record.instance, record.at_ms)
            case records.MemberBack():
                lost_at_ms.pop(record.instance, None)
            case records.WorkStarted():
                for member in members.get(record.upstream, ()):
                    since_ms = lost_at_ms.get(member)
                    if since_ms is None:
                        continue
                    if record.at_ms - since_ms > detection_ms:
                        yield Violation(
                            "P1",
                            f"group {record.upstream} got request "
                            f"{record.request} {record.at_ms - since_ms} ms "
                            f"after member {member} was lost",
                        )


def one_group_per_instance(
    run: Sequence[records.Record],
) -> Iterator[Violation]:
    """P2: no instance belongs to two groups at once."""
    group_of: dict[str, str] = {}
    for record in _in_order(run):
        match record:
            case records.GroupAssigned():
                _release(group_of, record.group)
                for member in record.members:
                    other = group_of.get(member)
                    if other is not None:
                        yield Violation(
                            "P2",
                            f"instance {member} is in {other} and "
                            f"{record.group} at {record.at_ms} ms",
                        )
                    group_of[member] = record.group
            case records.GroupDissolved():
                _release(group_of, record.group)


def cold_limits(run: Sequence[records.Record]) -> Iterator[Violation]:
    """P3: an upstream never gets more work than it can handle when cold."""
    for record in run:
        if (
            isinstance(record, records.WorkStarted)
            and record.limit
            and record.in_flight > record.limit
        ):
            yield Violation(
                "P3",
                f"{record.upstream} had {record.in_flight} requests in flight "
                f"and can handle {record.limit}",
            )


def drained_zones(
    run: Sequence[records.Record], limit_ms: int = NEW_WORK_LIMIT_MS
) -> Iterator[Violation]:
    """P4: a zone that was taken out gets no new work after the limit."""
    out_since_ms: dict[str, int] = {}
    for record in _in_order(run):
        match record:
            case records.ZoneTakenOut():
                out_since_ms.setdefault(record.zone, record.at_ms)
            case records.ZoneReturned():
                out_since_ms.pop(record.zone, None)
            case records.WorkStarted():
                since_ms = out_since_ms.get(record.zone)
                if since_ms is not None and record.at_ms - since_ms > limit_ms:
                    yield Violation(
                        "P4",
                        f"zone {record.zone} got request {record.request} "
                        f"{record.at_ms - since_ms} ms after it was taken out",
                    )


def whole_answers(run: Sequence[records.Record]) -> Iterator[Violation]:
    """P5: a complete answer equals what was produced for that request."""
    for record in run:
        if (
            isinstance(record, records.CallerAnswered)
            and record.complete
            and record.produced
            and record.received != record.produced
        ):
            yield Violation(
                "P5",
                f"request {record.request} was presented as complete with "
                f"{record.received}, produced was {record.produced}",
            )


def refused_means_not_run(
    run: Sequence[records.Record],
) -> Iterator[Violation]:
    """P6: a request reported as not run was never started anywhere."""
    started = {
        record.request: record.upstream
        for record in run
        if isinstance(record, records.WorkStarted)
    }
    for record in run:
        if (
            isinstance(record, records.CallerAnswered)
            and record.outcome == "not-run"
            and record.request in started
        ):
            yield Violation(
                "P6",
                f"request {record.request} was reported as not run and ran at "
                f"{started[record.request]}",
            )


def at_most_once(run: Sequence[records.Record]) -> Iterator[Violation]:
    """P7: a non-idempotent request or key runs at most once."""
    runs: dict[str, list[str]] = collections.defaultdict(list)
    for record in run:
        if isinstance(record, records.WorkStarted) and record.non_idempotent:
            runs[record.key or record.request].append(record.upstream)
    for key, upstreams in runs.items():
        if len(upstreams) > 1:
            yield Violation(
                "P7", f"{key} ran {len(upstreams)} times, at {upstreams}"
            )


def leaving_upstreams(
    run: Sequence[records.Record], limit_ms: int = NEW_WORK_LIMIT_MS
) -> Iterator[Violation]:
    """P8: a leaving upstream gets no new work after the limit."""
    leaving_since_ms: dict[str, int] = {}
    for record in _in_order(run):
        match record:
            case records.UpstreamLeaving():
                leaving_since_ms.setdefault(record.upstream, record.at_ms)
            case records.WorkStarted():
                since_ms = leaving_since_ms.get(record.upstream)
                if since_ms is not None and record.at_ms - since_ms > limit_ms:
                    yield Violation(
                        "P8",
                        f"{record.upstream} got request {record.request} "
                        f"{record.at_ms - since_ms} ms after it announced "
                        "that it leaves",
                    )


def graceful_stops(run: Sequence[records.Record]) -> Iterator[Violation]:
    """P9: a planned stop cuts off no request in progress."""
    for record in run:
        if isinstance(record, records.WorkCutOff):
            yield Violation(
                "P9",
                f"request {record.request} was cut off by the planned stop "
                f"of {record.stopped}",
            )


def configuration_in_force(
    run: Sequence[records.Record], limit_ms: int = IN_FORCE_LIMIT_MS
) -> Iterator[Violation]:
    """P10: an accepted change is in force in time, alike, and stays."""
    accepted: list[records.ChangeAccepted] = []
    offset_of: dict[str, int] = {}
    digest_at: dict[int, tuple[str, str]] = {}
    for record in _in_order(run):
        if isinstance(record, records.ChangeAccepted):
            accepted.append(record)
        if not isinstance(record, records.EntryState):
            continue
        before = offset_of.get(record.entry, 0)
        if record.offset < before:
            yield Violation(
                "P10",
                f"entry {record.entry} went back from offset {before} to "
                f"{record.offset}",
            )
        offset_of[record.entry] = max(before, record.offset)
        if record.digest:
            digest, other = digest_at.setdefault(
                record.offset, (record.digest, record.entry)
            )
            if digest != record.digest and record.takes_work:
                yield Violation(
                    "P10",
                    f"entries {other} and {record.entry} differ at offset "
                    f"{record.offset}",
                )
        if not record.takes_work:
            continue
        for change in accepted:
            late_ms = record.at_ms - change.at_ms
            if record.offset < change.offset and late_ms > limit_ms:
                yield Violation(
                    "P10",
                    f"entry {record.entry} served at offset {record.offset} "
                    f"{late_ms} ms after offset {change.offset} was accepted",
                )


ALL_CHECKS: dict[str, Check] = {
    "P1": complete_groups,
    "P2": one_group_per_instance,
    "P3": cold_limits,
    "P4": drained_zones,
    "P5": whole_answers,
    "P6": refused_means_not_run,
    "P7": at_most_once,
    "P8": leaving_upstreams,
    "P9": graceful_stops,
    "P10": configuration_in_force,
}


def check_all(run: Iterable[records.Record]) -> list[Violation]:
    """Runs every check over the records of one run."""
    kept = list(run)
    return [
        violation for check in ALL_CHECKS.values() for violation in check(kept)
    ]


def _in_order(run: Sequence[records.Record]) -> list[records.Record]:
    # The sort is stable, so records of one ms keep the order of emission.
    return sorted(run, key=lambda record: record.at_ms)


def _release(group_of: dict[str, str], group: str) -> None:
    for member in [m for m, g in group_of.items() if g == group]:
        del group_of[member]
