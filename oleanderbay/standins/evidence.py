"""Turns what the stand-ins recorded into records for the checks."""

from collections.abc import Iterator, Mapping
from typing import Any

from oleanderbay.checks import records as checks
from oleanderbay.version import resources


def engine_records(
    item: Mapping[str, Any], instance: str, zone: str
) -> Iterator[checks.Record]:
    """Yields what one record of an engine stand-in means."""
    at_ms = item["at_ms"]
    match item["event"]:
        case "executed":
            yield checks.WorkStarted(
                at_ms=at_ms,
                upstream=item["group"],
                zone=zone,
                request=item["request_id"],
            )
        case "overload":
            # The engine says that it got more than it can handle when cold.
            yield checks.WorkStarted(
                at_ms=at_ms,
                upstream=instance,
                zone=zone,
                request=item["request_id"],
                in_flight=item["in_flight"] + 1,
                limit=item["in_flight"],
            )
        case "interrupted":
            yield checks.WorkCutOff(
                at_ms=at_ms, request=item["request_id"], stopped=instance
            )


def group_records(
    before: Mapping[str, resources.ServingGroup],
    now: Mapping[str, resources.ServingGroup],
    at_ms: int,
) -> Iterator[checks.Record]:
    """Yields what changed between two states of the serving groups."""
    for id in before.keys() - now.keys():
        yield checks.GroupDissolved(at_ms=at_ms, group=id)
    for id, group in now.items():
        if id not in before or before[id].epoch != group.epoch:
            yield checks.GroupAssigned(
                at_ms=at_ms,
                group=id,
                epoch=group.epoch,
                members=group.members,
            )
