"""Tracks upstreams that are suspected to have failed."""

import dataclasses

from oleanderbay.process.observation import members


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A failure reported by a request or by another entry.

    Attributes:
        since_ms: Local time of the failure.
        hold_down_ms: How long the upstream gets no new work afterwards.
        reason: What failed, in readable form.
    """

    since_ms: int
    hold_down_ms: int
    reason: str


class Suspicions:
    """Holds suspected upstreams.

    The hold-down doubles with each further failure.
    """

    def __init__(self) -> None:
        self._by_upstream: dict[str, Suspicion] = {}

    def record_failure(self, upstream: str, reason: str, now_ms: int) -> None:
        """Records a failure.

        Failures during a hold-down do not extend it, because several entries
        report the same failure.
        """
        suspicion = self._by_upstream.get(upstream)
        if suspicion is None:
            self._by_upstream[upstream] = Suspicion(
                now_ms, members.INITIAL_HOLD_DOWN_MS, reason
            )
        elif now_ms - suspicion.since_ms >= suspicion.hold_down_ms:
            # The hold-down has ended, so this is a new failure.
            suspicion.since_ms = now_ms
            suspicion.hold_down_ms = min(
                2 * suspicion.hold_down_ms, members.MAX_HOLD_DOWN_MS
            )
            suspicion.reason = reason

    def reason(self, upstream: str, now_ms: int) -> str | None:
        """Returns why an upstream is suspected, or None if it is not."""
        suspicion = self._by_upstream.get(upstream)
        if (
            suspicion is None
            or now_ms - suspicion.since_ms >= suspicion.hold_down_ms
        ):
            return None
        return suspicion.reason

    def drop_expired(self, now_ms: int) -> None:
        """Drops old failures; the next one gets the initial hold-down."""
        for upstream, suspicion in list(self._by_upstream.items()):
            if now_ms - suspicion.since_ms > members.FLAP_RESET_MS:
                del self._by_upstream[upstream]
