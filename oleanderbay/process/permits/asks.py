"""Lines of messages between holders and owners of permits."""

import dataclasses
from collections.abc import Sequence
from typing import Any

import xxhash

from oleanderbay.process import interfaces


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PermitSettings:
    """Times and sizes of permits, the same at all entries.

    Attributes:
        permit_ttl_ms: How long a permit is valid.
        view_max_age_ms: Age up to which a peer's confirmation of the view
            counts towards the majority of an owner.
        lapse_ms: Longest loss of the majority, or pause of the owner, after
            which it goes on granting. An owner waits this much longer before
            its first grant, so that another owner cannot have begun.
        orphan_hold_ms: How long an unrenewed permit counts if load reports
            do not show its end before.
        report_age_ms: By how much the figures of a load report may be older
            than the time that it gives: members' reports are polled.
        request_timeout_ms: How long a holder waits for an owner.
        poll_ms: How often a holder with waiting requests asks again.
        idle_ms: How long a holder keeps a spare permit after its last use.
    """

    permit_ttl_ms: int = 2_000
    view_max_age_ms: int = 2_000
    lapse_ms: int = 500
    orphan_hold_ms: int = 60_000
    report_age_ms: int = 1_000
    request_timeout_ms: int = 500
    poll_ms: int = 50
    idle_ms: int = 5_000

    @property
    def hold_ms(self) -> int:
        """How long an owner must have had its majority before it grants."""
        return self.view_max_age_ms + self.permit_ttl_ms + self.lapse_ms


def owner_of(
    upstream: str, entries: Sequence[interfaces.Entry]
) -> interfaces.Entry:
    """Returns the owner of an upstream's permits by rendezvous hashing."""
    return max(
        entries,
        key=lambda e: (
            xxhash.xxh3_64_intdigest(f"{upstream}|{e.start_id}".encode()),
            e.start_id,
        ),
    )


def start_tag(start_id: str) -> int:
    """Returns a short form of an upstream's start id for messages."""
    return xxhash.xxh3_64_intdigest(start_id.encode()) >> 32


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
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


def encode_asks(asks: Sequence[Ask]) -> list[list[Any]]:
    """Returns what a message carries."""
    return [list(dataclasses.astuple(ask)) for ask in asks]


def decode_asks(data: Any) -> list[Ask]:
    """Reads lines of a message.

    Raises:
        ValueError: The message has another form.
    """
    try:
        asks = [Ask(*line) for line in data]
    except TypeError as error:
        raise ValueError("a permit request has a wrong form") from error
    for ask in asks:
        numbers = dataclasses.astuple(ask)[1:]
        if not isinstance(ask.upstream, str) or not all(
            isinstance(n, int) and n >= 0 for n in numbers
        ):
            raise ValueError("a permit request has a wrong form")
    return asks
