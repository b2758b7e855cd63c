"""The append budget that the uses of the log share."""

import dataclasses
import math

from oleanderbay.process import clock as clocks


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Share:
    """What one use may take.

    Attributes:
        guaranteed: Part of the rate that no other use can take.
        reserve: Part of the common tokens that it leaves to others. The use
            with the highest reserve is shed first.
    """

    guaranteed: float
    reserve: float


# Shed first to last. A late checkpoint or stage costs nobody anything for
# minutes; an operator can try again; a claim is refused to a caller; a late
# repair of a group is downtime.
SHARES = {
    "checkpoint": Share(guaranteed=0.05, reserve=0.8),
    "stage": Share(guaranteed=0.1, reserve=0.6),
    "operator": Share(guaranteed=0.25, reserve=0.4),
    "claim": Share(guaranteed=0.35, reserve=0.2),
    "group": Share(guaranteed=0.25, reserve=0.0),
}


class AppendBudget:
    """Token buckets: one for each use and a common one for what they leave.

    Attributes:
        total_per_s: Appends that the log takes from all entries together.
        burst_s: Seconds of the rate that an unused bucket holds.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        total_per_s: float = 300.0,
        burst_s: float = 0.5,
    ) -> None:
        self.total_per_s = total_per_s
        self.burst_s = burst_s
        self._clock = clock
        self._rate_per_s = total_per_s
        self._filled_ms = clock.now_ms()
        self._own = {
            use: self._capacity(share.guaranteed)
            for use, share in SHARES.items()
        }
        self._common = self._capacity(1.0)

    @property
    def rate_per_s(self) -> float:
        """Appends per second that this entry may make at present."""
        return self._rate_per_s

    def set_others(self, entries: int, others_per_s: float) -> None:
        """Adapts the rate to what other entries append.

        Args:
            entries: Number of known entries.
            others_per_s: Appends per second of the others together.
        """
        self._fill()
        fair = self.total_per_s / max(1, entries)
        self._rate_per_s = max(fair, self.total_per_s - others_per_s)

    def take(self, use: str) -> int:
        """Takes one append.

        Returns:
            0 if it may be made now; otherwise ms after which to try again.
        """
        self._fill()
        share = SHARES[use]
        if self._own[use] >= 1.0:
            self._own[use] -= 1.0
            return 0
        if self._common >= 1.0 + share.reserve * self._capacity(1.0):
            self._common -= 1.0
            return 0
        missing = 1.0 - self._own[use]
        rate_per_ms = share.guaranteed * self._rate_per_s / 1000
        return max(1, math.ceil(missing / rate_per_ms))

    def _capacity(self, part: float) -> float:
        return max(1.0, part * self._rate_per_s * self.burst_s)

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        tokens = (now_ms - self._filled_ms) * self._rate_per_s / 1000
        self._filled_ms = now_ms
        for use, share in SHARES.items():
            level = self._own[use] + tokens * share.guaranteed
            capacity = self._capacity(share.guaranteed)
            self._own[use] = min(level, capacity)
            self._common += max(0.0, level - capacity)
        self._common = min(self._common, self._capacity(1.0))
