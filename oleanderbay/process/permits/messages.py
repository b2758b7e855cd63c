"""Messages between holders and owners of permits."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

import xxhash


def start_tag(start_id: str) -> int:
    """Returns a short form of an upstream's start id for messages."""
    return xxhash.xxh3_64_intdigest(start_id.encode()) >> 32


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """One line of a holder's request.

    Attributes:
        upstream: Id of the upstream.
        tag: `start_tag` of the process start that the holder knows.
        want: Requests that it would like to have in flight.
        in_flight: Requests that it has in flight.
        held: What it may have in flight by an earlier answer.
        done: Answers since its last request.
        failed: Failures that show overload or a fault, likewise.
        worst_ms: Slowest time to first token among the answers.
        ended: All requests that have ended since it holds the upstream.
    """

    upstream: str
    tag: int
    want: int
    in_flight: int
    held: int = 0
    done: int = 0
    failed: int = 0
    worst_ms: int = 0
    ended: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """One line of an owner's answer.

    Attributes:
        count: Requests that the holder may have in flight.
        tag: `start_tag` of the process start that it is valid for.
        cold: Whether the upstream is still warming up.
        contended: Whether other holders want more than they have.
    """

    count: int
    tag: int
    cold: bool
    contended: bool


def encode_requests(requests: Sequence[PermitRequest]) -> list[list[Any]]:
    """Returns what a message carries."""
    return [list(dataclasses.astuple(request)) for request in requests]


def decode_requests(data: Any) -> list[PermitRequest]:
    """Reads lines of a message.

    Raises:
        ValueError: The message has another form.
    """
    try:
        requests = [PermitRequest(*line) for line in data]
    except TypeError as error:
        raise ValueError("a permit request has a wrong form") from error
    for request in requests:
        numbers = dataclasses.astuple(request)[1:]
        if not isinstance(request.upstream, str) or not all(
            isinstance(n, int) and n >= 0 for n in numbers
        ):
            raise ValueError("a permit request has a wrong form")
    return requests


def encode_grants(
    grants: Mapping[str, Grant | None],
) -> dict[str, list[Any] | None]:
    """Returns what an answer carries, by upstream."""
    return {
        id: None if grant is None else list(dataclasses.astuple(grant))
        for id, grant in grants.items()
    }


def decode_grants(data: Any) -> dict[str, Grant | None]:
    """Reads an answer.

    Raises:
        ValueError: The message has another form.
    """
    try:
        return {
            id: Grant(*line) if line is not None else None
            for id, line in data.items()
        }
    except (AttributeError, TypeError) as error:
        raise ValueError("a permit answer has a wrong form") from error
