"""Messages between holders and owners of permits.

Fields are sent by position and read by entries of other versions, so their
order and meaning must not change.
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

import xxhash


def start_tag(start_id: str) -> int:
    """Returns a 32-bit hash of an upstream's start id."""
    return xxhash.xxh3_64_intdigest(start_id.encode()) >> 32


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A holder's request for permits of one upstream.

    Attributes:
        upstream: Id of the upstream.
        tag: `start_tag` of the upstream process that the holder knows.
        wanted: Requests that the holder wants to have in flight.
        in_flight: Requests that the holder has in flight.
        granted: Size of the holder's current grant; 0 if it has expired.
        succeeded: Responses since the last answered permit request.
        failed: Failures since then that indicate overload or a fault.
        max_first_token_ms: Longest time to first token of these responses.
        total_ended: Requests that have ended since the holder started to track
            the upstream.
    """

    upstream: str
    tag: int
    wanted: int
    in_flight: int
    granted: int = 0
    succeeded: int = 0
    failed: int = 0
    max_first_token_ms: int = 0
    total_ended: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """An owner's reply to a `PermitRequest`.

    Attributes:
        count: Number of requests that the holder may have in flight.
        tag: `start_tag` of the upstream process that the grant is valid for.
        cold: Whether the upstream is still warming up.
        contended: Whether the holders together want more than the limit.
    """

    count: int
    tag: int
    cold: bool
    contended: bool


def encode_requests(requests: Sequence[PermitRequest]) -> list[list[Any]]:
    """Encodes permit requests as lists of field values."""
    return [list(dataclasses.astuple(request)) for request in requests]


def decode_requests(data: Any) -> list[PermitRequest]:
    """Decodes and validates permit requests.

    Raises:
        ValueError: A permit request is malformed.
    """
    try:
        requests = [PermitRequest(*values) for values in data]
    except TypeError as error:
        raise ValueError("malformed permit request") from error
    for request in requests:
        numbers = dataclasses.astuple(request)[1:]
        if not isinstance(request.upstream, str) or not all(
            isinstance(n, int) and n >= 0 for n in numbers
        ):
            raise ValueError("malformed permit request")
    return requests


def encode_grants(
    grants: Mapping[str, Grant | None],
) -> dict[str, list[Any] | None]:
    """Encodes grants as lists of field values, by upstream."""
    return {
        id: None if grant is None else list(dataclasses.astuple(grant))
        for id, grant in grants.items()
    }


def decode_grants(data: Any) -> dict[str, Grant | None]:
    """Decodes grants.

    Raises:
        ValueError: The reply is malformed.
    """
    try:
        return {
            id: Grant(*values) if values is not None else None
            for id, values in data.items()
        }
    except (AttributeError, TypeError) as error:
        raise ValueError("malformed permit reply") from error
