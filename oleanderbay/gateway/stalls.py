"""Decides when a silent worker is suspected, and when a request leaves it."""

import asyncio

from oleanderbay.gateway import (
    budget,
    health,
    pauses,
    request_state,
    selection,
)
from oleanderbay.process import clock as clocks

# A request fails over only to a worker whose load is below this part of its
# capacity.
FAILOVER_MAX_FILL = 0.7
# Factors on the typical time after which a silent worker gets no new requests,
# and after which a request fails over to another worker. Another worker has to
# begin again, so a request fails over only if waiting would take longer.
SUSPECT_FACTOR = 1.8
FAILOVER_FACTOR = 2.5
MIN_TIMEOUT_MS = 150


class StallPolicy:
    """Decides how long requests wait for silent workers."""

    def __init__(
        self,
        selector: selection.WorkerSelector,
        worker_health: health.HealthTracker,
        retry_budget: budget.RetryBudget,
        clock: clocks.Clock,
    ) -> None:
        self.selector = selector
        self.worker_health = worker_health
        self.retry_budget = retry_budget
        self.clock = clock

    def first_event_timeout_ms(
        self, request: request_state.RequestState
    ) -> int:
        """Returns how long a worker may take to begin its response.

        Right after a start the typical time is not known. The worker then has
        half of the time that the caller has left, so that as much is left for
        another one.
        """
        typical_ms = self.worker_health.typical_first_byte_ms.get(
            request.latency_key
        )
        if typical_ms is None:
            left_ms = request.next_event_due_ms - self.clock.now_ms()
            return max(MIN_TIMEOUT_MS, left_ms // 2)
        return max(MIN_TIMEOUT_MS, round(FAILOVER_FACTOR * typical_ms))

    def gap_timeout_ms(
        self,
        request: request_state.RequestState,
        worker_health: health.WorkerHealth,
    ) -> int:
        """Returns how long a worker may take between two events.

        Another worker takes as long as is typical to begin.
        """
        typical_ms = self.worker_health.typical_first_byte_ms.get(
            request.latency_key, 0.0
        )
        return max(
            MIN_TIMEOUT_MS,
            round(
                max(typical_ms, FAILOVER_FACTOR * worker_health.typical_gap_ms)
            ),
        )

    def schedule_suspicion(
        self, worker_id: str, typical_ms: float
    ) -> asyncio.Handle:
        """Suspects a worker if it stays silent for longer than is typical.

        New requests are then sent to other workers. This request fails over
        only later, since a second attempt costs more than a short wait.
        """
        silent_ms = max(MIN_TIMEOUT_MS, SUSPECT_FACTOR * typical_ms)

        def suspect() -> None:
            last_activity_ms = self.worker_health.worker(
                worker_id
            ).last_activity_ms
            if self.clock.now_ms() - last_activity_ms >= silent_ms - 1:
                self.worker_health.suspect(worker_id)

        return asyncio.get_running_loop().call_later(
            silent_ms / 1000, pauses.call_settled, suspect
        )

    def can_fail_over(self, request: request_state.RequestState) -> bool:
        """Whether another worker could take over the request now."""
        return (
            request.route.retryable
            and not request.has_unnumbered_events
            and request.possible_runs + 1 < request.route.max_attempts
            and self.retry_budget.available(request.service.name)
            and self.selector.can_select(
                request.service,
                request.model,
                request.tried_workers,
                FAILOVER_MAX_FILL,
            )
        )
