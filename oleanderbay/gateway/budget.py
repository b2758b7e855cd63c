"""This gateway's shares of rate limits that apply to all gateways together."""

import collections
from collections.abc import Callable

from oleanderbay.process import clock as clocks


class RetryBudget:
    """Limits the retries of a service.

    The limit applies to the sum over all gateways. Each gateway allows a
    share of its own requests plus an equal part of `extra`, so that the sum
    keeps the limit without any coordination.

    Attributes:
        ratio: Retries as a share of the requests.
        extra: Further retries of all gateways in one window.
        window_ms: Length of the sliding window.
        gateway_count: Returns the number of gateways.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        ratio: float,
        extra: float,
        window_ms: int,
        gateway_count: Callable[[], int],
    ) -> None:
        self.clock = clock
        self.ratio = ratio
        self.extra = extra
        self.window_ms = window_ms
        self.gateway_count = gateway_count
        self._requests: dict[str, collections.deque[int]] = {}
        self._retries: dict[str, collections.deque[int]] = {}

    def record_request(self, service: str) -> None:
        """Counts a request to a service."""
        self._in_window(self._requests, service).append(self.clock.now_ms())

    def try_take(self, service: str) -> bool:
        """Takes one retry from the budget; returns whether there was one."""
        if not self.available(service):
            return False
        self._in_window(self._retries, service).append(self.clock.now_ms())
        return True

    def available(self, service: str) -> bool:
        """Whether the budget allows one more retry."""
        requests = len(self._in_window(self._requests, service))
        retries = len(self._in_window(self._retries, service))
        # A margin of 10% covers requests at the edge of the window.
        allowed = 0.9 * (
            self.ratio * requests + self.extra / max(1, self.gateway_count())
        )
        return retries + 1 <= allowed

    def _in_window(
        self, timestamps: dict[str, collections.deque[int]], service: str
    ) -> collections.deque[int]:
        expired_ms = self.clock.now_ms() - self.window_ms
        times = timestamps.get(service)
        if times is None:
            # A service that left the configuration has no new timestamps.
            for other, known in tuple(timestamps.items()):
                if not known or known[-1] <= expired_ms:
                    del timestamps[other]
            times = timestamps[service] = collections.deque()
        while times and times[0] <= expired_ms:
            times.popleft()
        return times


class ColdStartBudget:
    """Limits the request rate of workers that are in a cold start.

    Attributes:
        gateway_count: Returns the number of gateways.
        rank: Returns the position of this gateway in a worker's own order of
            the gateways.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        gateway_count: Callable[[], int],
        rank: Callable[[str], int],
    ) -> None:
        self.clock = clock
        self.gateway_count = gateway_count
        self.rank = rank
        self._sent: dict[str, collections.deque[int]] = {}

    def available(self, worker_id: str, per_s: float) -> bool:
        """Whether a cold worker may get a request now.

        Args:
            worker_id: The worker.
            per_s: Requests a second that the worker may get from all gateways.
        """
        share = per_s / max(1, self.gateway_count())
        if share < 1:
            # One request from every gateway would exceed the limit, so only
            # the first gateways in the worker's order send any.
            share = float(self.rank(worker_id) < max(1.0, per_s))
        times = self._sent.setdefault(worker_id, collections.deque())
        expired_ms = self.clock.now_ms() - 1_000
        while times and times[0] <= expired_ms:
            times.popleft()
        return len(times) + 1 <= share

    def record_request(self, worker_id: str) -> None:
        """Counts a request to a cold worker."""
        self._sent.setdefault(worker_id, collections.deque()).append(
            self.clock.now_ms()
        )

    def retain_workers(self, worker_ids: frozenset[str]) -> None:
        """Removes the counts of all other workers."""
        for worker_id in tuple(self._sent):
            if worker_id not in worker_ids:
                del self._sent[worker_id]
