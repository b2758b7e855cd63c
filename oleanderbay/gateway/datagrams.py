"""Datagrams of other gateways, checked as a whole before any part is used."""

import dataclasses
from typing import Any

import msgpack
import structlog

from oleanderbay.gateway import fields, membership, summaries
from oleanderbay.process import clock as clocks

PROTOCOL = 1
# A sender of malformed datagrams would otherwise fill the log.
LOG_INTERVAL_MS = 10_000
# Zones of which one datagram may request the lists.
MAX_REQUESTED_LISTS = 64

log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class SummaryBatch:
    """Summaries of one or more zones.

    Attributes:
        sender: Id of the gateway that sent the datagram.
        interval_ms: Time until its next one.
        forwarded: Whether it passes on summaries of other zones.
        summaries: The summaries.
    """

    sender: str
    interval_ms: int
    forwarded: bool
    summaries: tuple[summaries.Summary, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListRequest:
    """A request for the lists of gateways of some zones.

    Attributes:
        host: Host to which the answer is sent.
        zones: The zones.
    """

    host: str
    zones: tuple[str, ...]


Datagram = membership.Peer | SummaryBatch | ListRequest


def parse(
    data: bytes, own_id: str, now_ms: int, interval_ms: int
) -> Datagram | None:
    """Parses a datagram.

    Args:
        data: The datagram.
        own_id: Id of this gateway.
        now_ms: Monotonic time of its arrival.
        interval_ms: Interval to assume for a heartbeat without one.

    Returns:
        The message; None if it is this gateway's own or of another protocol.

    Raises:
        One of `fields.PARSE_ERRORS`: The datagram is malformed.
    """
    body = fields.mapping(msgpack.unpackb(data))
    sender = fields.name(body["id"])
    if fields.whole(body["protocol"]) != PROTOCOL or sender == own_id:
        return None
    if "summaries" in body:
        return SummaryBatch(
            sender,
            fields.span_ms(body["interval_ms"]),
            fields.flag(body["forwarded"]),
            tuple(
                summaries.parse_summary(fields.mapping(summary))
                for summary in fields.items(body["summaries"])
            ),
        )
    if "lists" in body:
        zones = dict.fromkeys(fields.texts(body["lists"]))
        if len(zones) > MAX_REQUESTED_LISTS:
            raise ValueError("too many lists are requested")
        return ListRequest(fields.host(body["host"]), tuple(zones))
    return membership.parse_heartbeat(body, now_ms, interval_ms)


class MalformedDatagrams:
    """Counts malformed datagrams and logs some of them.

    Attributes:
        count: Number of malformed datagrams.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.count = 0
        self._next_log_ms = clock.now_ms()

    def record(self, error: Any) -> None:
        """Counts a datagram and logs it unless one was logged recently."""
        self.count += 1
        now_ms = self.clock.now_ms()
        if now_ms < self._next_log_ms:
            return
        self._next_log_ms = now_ms + LOG_INTERVAL_MS
        log.warning(
            "malformed datagram", error=repr(error)[:200], count=self.count
        )
