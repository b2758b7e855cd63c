"""Upstreams that are suspected to have failed, and for how long."""

import dataclasses

from oleanderbay.process.observation import members


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A failure that a request or another entry has seen.

    Attributes:
        since_ms: Local time of the failure.
        hold_ms: How long the upstream gets no new work after it.
        reason: What failed, for people.
    """

    since_ms: int
    hold_ms: int
    reason: str


class Suspicions:
    """Suspected upstreams; the hold doubles with each further failure."""

    def __init__(self) -> None:
        self._by_upstream: dict[str, Suspicion] = {}

    def note(self, upstream: str, reason: str, now_ms: int) -> None:
        """Takes note of a failure."""
        known = self._by_upstream.get(upstream)
        if known is None:
            self._by_upstream[upstream] = Suspicion(
                now_ms, members.FIRST_HOLD_MS, reason
            )
        elif now_ms - known.since_ms >= known.hold_ms:
            # The hold had ended, so this is a new failure.
            known.since_ms = now_ms
            known.hold_ms = min(2 * known.hold_ms, members.MAX_HOLD_MS)
            known.reason = reason

    def reason(self, upstream: str, now_ms: int) -> str | None:
        """Returns why an upstream is suspected; None if it is not."""
        known = self._by_upstream.get(upstream)
        if known is None or now_ms - known.since_ms >= known.hold_ms:
            return None
        return known.reason

    def forget_old(self, now_ms: int) -> None:
        """Forgets failures so old that the next one starts a first hold."""
        for upstream, known in list(self._by_upstream.items()):
            if now_ms - known.since_ms > members.FORGET_FLAPS_MS:
                del self._by_upstream[upstream]
