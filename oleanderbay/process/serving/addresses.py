"""Which of the system's addresses callers are told to use."""

from collections.abc import Callable
from typing import Any

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces


class Directory:
    """Answers with addresses of live entries.

    Attributes:
        last_expiry_ms: Monotonic time until which a caller may still use an
            answer that named this entry.
        answers: Number of answers given.
    """

    def __init__(
        self,
        membership: interfaces.MembershipView,
        ttl_ms: int,
        clock: clocks.Clock,
        takes_work: Callable[[], bool],
        ticket: Callable[[], str],
        drained: Callable[[], frozenset[str]],
    ) -> None:
        """Makes the directory.

        Args:
            membership: Which entries there are.
            ttl_ms: How long callers may keep an answer.
            clock: Time.
            takes_work: Whether this entry may be named.
            ticket: Makes a ticket for idempotency keys.
            drained: The platform's names of zones that take no new work;
                their entries are not named.
        """
        self.membership = membership
        self.ttl_ms = ttl_ms
        self.clock = clock
        self.takes_work = takes_work
        self.ticket = ticket
        self.drained = drained
        self.last_expiry_ms = 0
        self.answers = 0

    def answer(self, zone: str) -> dict[str, Any]:
        """Returns the answer to a caller in a zone; empty if not known."""
        me = self.membership.me
        takes_work = self.takes_work()
        drained = self.drained()
        usable = [
            entry
            for entry in self.membership.live()
            if not entry.leaving
            and entry.zone not in drained
            and (entry.start_id != me.start_id or takes_work)
        ]
        if any(entry.start_id == me.start_id for entry in usable):
            self.last_expiry_ms = self.clock.now_ms() + self.ttl_ms
        wanted = zone or me.zone
        near = [e for e in usable if e.zone == wanted]
        far = [e for e in usable if e.zone != wanted]
        if not near:
            near, far = far, []
        # Callers take the first address, so each answer starts at another.
        self.answers += 1
        near = _rotated(near, self.answers)
        far = _rotated(far, self.answers)
        return {
            "ttl_ms": self.ttl_ms,
            "addresses": [entry.caller_address for entry in near],
            "fallbacks": [entry.caller_address for entry in far],
            "ticket": self.ticket() if takes_work else "",
        }


def _rotated(
    entries: list[interfaces.Entry], by: int
) -> list[interfaces.Entry]:
    start = by % len(entries) if entries else 0
    return entries[start:] + entries[:start]
