"""This gateway's shares of limits that all gateways keep together."""

import collections
from collections.abc import Callable

from oleanderbay.process import clock as clocks


class RetryBudget:
    """Limits second arrivals at a service.

    The rule counts over all gateways. A share of the requests and of the
    extra of each gateway keeps the sum without any message.

    Attributes:
        ratio: Repeats as a share of requests.
        extra: Repeats in addition, of all gateways in one window.
        window_ms: The window.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        ratio: float,
        extra: int,
        window_ms: int,
        gateways: Callable[[], int],
    ) -> None:
        self.clock = clock
        self.ratio = ratio
        self.extra = extra
        self.window_ms = window_ms
        self.gateways = gateways
        self._requests: dict[str, collections.deque[int]] = {}
        self._repeats: dict[str, collections.deque[int]] = {}

    def record_request(self, service: str) -> None:
        """Counts a request for a service."""
        self._recent(self._requests, service).append(self.clock.now_ms())

    def try_take(self, service: str) -> bool:
        """Takes the right to send a request a second time."""
        if not self.available(service):
            return False
        self._recent(self._repeats, service).append(self.clock.now_ms())
        return True

    def available(self, service: str) -> bool:
        """Whether a request may be sent a second time."""
        requests = len(self._recent(self._requests, service))
        repeats = len(self._recent(self._repeats, service))
        # A tenth is left for requests that cross the edge of the window.
        allowed = 0.9 * (
            self.ratio * requests + self.extra / max(1, self.gateways())
        )
        return repeats + 1 <= allowed

    def _recent(
        self, counted: dict[str, collections.deque[int]], service: str
    ) -> collections.deque[int]:
        times = counted.setdefault(service, collections.deque())
        before_ms = self.clock.now_ms() - self.window_ms
        while times and times[0] <= before_ms:
            times.popleft()
        return times


class ColdStartBudget:
    """Limits requests to a worker in its cold start."""

    def __init__(
        self,
        clock: clocks.Clock,
        gateways: Callable[[], int],
        rank: Callable[[str], int],
    ) -> None:
        self.clock = clock
        self.gateways = gateways
        self.rank = rank
        self._sent: dict[str, collections.deque[int]] = {}

    def available(self, worker_id: str, per_s: float) -> bool:
        """Whether a cold worker may get a request now."""
        share = per_s / max(1, self.gateways())
        if share < 1:
            # One request of each gateway would be more than the limit, so
            # only the first gateways in the worker's own order send any.
            share = float(self.rank(worker_id) < max(1.0, per_s))
        times = self._sent.setdefault(worker_id, collections.deque())
        before_ms = self.clock.now_ms() - 1_000
        while times and times[0] <= before_ms:
            times.popleft()
        return len(times) + 1 <= share

    def record_request(self, worker_id: str) -> None:
        """Counts a request to a cold worker."""
        self._sent.setdefault(worker_id, collections.deque()).append(
            self.clock.now_ms()
        )

    def forget(self, worker_ids: frozenset[str]) -> None:
        """Drops the counts of workers that are not among `worker_ids`."""
        for worker_id in tuple(self._sent):
            if worker_id not in worker_ids:
                del self._sent[worker_id]
