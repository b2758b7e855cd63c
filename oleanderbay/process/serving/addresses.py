"""Selects the entry addresses that callers should use."""

from collections.abc import Callable
from typing import Any

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces


class AddressDirectory:
    """Lists the addresses of live entries for callers.

    Attributes:
        last_expiry_ms: Monotonic time until which callers may use a response
            that listed this entry.
        response_count: Number of responses built.
    """

    def __init__(
        self,
        membership: interfaces.MembershipView,
        ttl_ms: int,
        clock: clocks.Clock,
        accepts_work: Callable[[], bool],
        issue_ticket: Callable[[], str],
        drained_zone_names: Callable[[], frozenset[str]],
    ) -> None:
        """Initializes the directory.

        Args:
            membership: View of the live entries.
            ttl_ms: How long callers may cache a response.
            clock: Source of the monotonic time.
            accepts_work: Returns whether this entry may be listed.
            issue_ticket: Issues a ticket for idempotency keys.
            drained_zone_names: Returns the platform names of drained zones,
                whose entries are not listed.
        """
        self.membership = membership
        self.ttl_ms = ttl_ms
        self.clock = clock
        self.accepts_work = accepts_work
        self.issue_ticket = issue_ticket
        self.drained_zone_names = drained_zone_names
        self.last_expiry_ms = 0
        self.response_count = 0

    def build_response(self, zone: str) -> dict[str, Any]:
        """Builds the response to a caller.

        Args:
            zone: Zone of the caller; empty if unknown.
        """
        me = self.membership.me
        accepts_work = self.accepts_work()
        drained = self.drained_zone_names()
        listed = [
            entry
            for entry in self.membership.live()
            if not entry.leaving
            and entry.zone not in drained
            and (entry.start_id != me.start_id or accepts_work)
        ]
        if any(entry.start_id == me.start_id for entry in listed):
            self.last_expiry_ms = self.clock.now_ms() + self.ttl_ms
        preferred_zone = zone or me.zone
        primary = [e for e in listed if e.zone == preferred_zone]
        fallbacks = [e for e in listed if e.zone != preferred_zone]
        if not primary:
            primary, fallbacks = fallbacks, []
        # Callers use the first address, so rotating the list spreads them
        # over the entries.
        self.response_count += 1
        primary = _rotate(primary, self.response_count)
        fallbacks = _rotate(fallbacks, self.response_count)
        return {
            "ttl_ms": self.ttl_ms,
            "addresses": [entry.caller_address for entry in primary],
            "fallbacks": [entry.caller_address for entry in fallbacks],
            "ticket": self.issue_ticket() if accepts_work else "",
        }


def _rotate(
    entries: list[interfaces.Entry], offset: int
) -> list[interfaces.Entry]:
    start = offset % len(entries) if entries else 0
    return entries[start:] + entries[:start]
