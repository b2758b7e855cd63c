"""Forecasts when workers have places for waiting requests."""

import random

# Weight of one request in the mean holding time once there are enough.
SMOOTHING_FACTOR = 1 / 32
# Retry times spread over this part of the forecast above it, so that callers
# refused together do not return together.
RETRY_JITTER = 0.5
MIN_RETRY_AFTER_MS = 50
# A caller returns if it is asked to wait for at most a third of the time that
# it has left; the margin covers the transfer of the refusal.
MAX_RETRY_SHARE = 0.3


class WaitForecast:
    """Predicts the rate of free places from the time that requests hold one.

    Attributes:
        mean_slot_time_ms: Mean time for which a request holds a slot; 0 if
            unknown.
    """

    def __init__(self) -> None:
        self.mean_slot_time_ms = 0.0
        self._count = 0

    def record_slot_time(self, held_ms: float) -> None:
        """Takes the time that a finished request held its place."""
        self._count += 1
        weight = max(SMOOTHING_FACTOR, 1 / self._count)
        self.mean_slot_time_ms += weight * (
            max(1.0, held_ms) - self.mean_slot_time_ms
        )

    def wait_ms(self, places: float, in_flight: float) -> float:
        """Returns the time until a number of places has become free.

        Args:
            places: Places that become free.
            in_flight: Requests of this gateway that hold places now. Other
                gateways take the places that their own requests leave.
        """
        return places * self.mean_slot_time_ms / max(1.0, in_flight)


def retry_after_ms(wait_ms: float, left_ms: float, rng: random.Random) -> int:
    """Returns when a refused caller should come back.

    Args:
        wait_ms: Forecast of the time until a place is free.
        left_ms: Time that the caller has left.
        rng: Spreads callers that are refused together.
    """
    spread_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
    spread_ms *= 1 + RETRY_JITTER * rng.random()
    longest_ms = MAX_RETRY_SHARE * max(0.0, left_ms)
    if spread_ms > longest_ms:
        spread_ms = longest_ms * (1 - RETRY_JITTER / 2 * rng.random())
    return max(1, round(spread_ms))
