"""Forecasts of when slots become free for waiting requests."""

import random

# Weight of one request in the moving average of the slot time, once there are
# enough requests.
SMOOTHING_FACTOR = 1 / 32
# Retry times exceed the forecast by up to this share of it, so that callers
# refused together do not retry together.
RETRY_JITTER = 0.5
MIN_RETRY_AFTER_MS = 50
# A caller retries only if it is asked to wait for at most a third of the time
# that it has left; the margin covers the transfer of the refusal.
MAX_RETRY_SHARE = 0.3


class WaitForecast:
    """Predicts the rate at which slots become free from their mean hold time.

    Attributes:
        mean_slot_time_ms: Mean time for which a request holds a slot; 0 if
            unknown.
    """

    def __init__(self) -> None:
        self.mean_slot_time_ms = 0.0
        self._count = 0

    def record_slot_time(self, held_ms: float) -> None:
        """Records how long a finished request held its slot."""
        self._count += 1
        weight = max(SMOOTHING_FACTOR, 1 / self._count)
        self.mean_slot_time_ms += weight * (
            max(1.0, held_ms) - self.mean_slot_time_ms
        )

    def wait_ms(self, slots: float, in_flight: float) -> float:
        """Returns the time until a number of slots has become free.

        Args:
            slots: Slots that become free.
            in_flight: Requests of this gateway that hold slots now. Other
                gateways reuse the slots that their own requests release.
        """
        return slots * self.mean_slot_time_ms / max(1.0, in_flight)


class ArrivalRate:
    """The rate at which requests arrive, from the mean time between them."""

    def __init__(self) -> None:
        self._mean_ms = 0.0
        self._arrived_ms = -1
        self._count = 0

    def record(self, now_ms: int) -> None:
        """Records a request that arrives."""
        if self._arrived_ms >= 0:
            self._count += 1
            weight = max(SMOOTHING_FACTOR, 1 / self._count)
            self._mean_ms += weight * (
                now_ms - self._arrived_ms - self._mean_ms
            )
        self._arrived_ms = now_ms

    def per_ms(self, now_ms: int) -> float:
        """Returns the rate; it falls while no request arrives."""
        if not self._count:
            return 0.0
        return 1 / max(1e-3, self._mean_ms, now_ms - self._arrived_ms)


def retry_after_ms(wait_ms: float, left_ms: float, rng: random.Random) -> int:
    """Returns the delay after which a refused caller should retry.

    Args:
        wait_ms: Forecast of the time until a slot is free.
        left_ms: Time until the caller's deadline.
        rng: Source of the jitter.
    """
    delay_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
    delay_ms *= 1 + RETRY_JITTER * rng.random()
    max_delay_ms = MAX_RETRY_SHARE * max(0.0, left_ms)
    if delay_ms > max_delay_ms:
        delay_ms = max_delay_ms * (1 - RETRY_JITTER / 2 * rng.random())
    return max(1, round(delay_ms))
