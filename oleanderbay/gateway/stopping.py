"""Limits the time of requests by the end of a planned stop."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import structlog

from oleanderbay.gateway import request_state
from oleanderbay.process import clock as clocks

# Last part of a planned stop, in which requests are refused that may need more
# time than is left. Most requests end within this part.
LATE_SHARE = 2 / 3
# Part of the grace period that is reserved for closing connections and flushing
# telemetry after the wait for requests in progress, and its largest share: only
# in the last sixth of the grace period may a stop end requests.
MARGIN_MS = 600
MAX_MARGIN_SHARE = 1 / 6

log = structlog.get_logger()


def request_time_ms(grace_ms: int) -> int:
    """Returns how long requests may take from the signal of a stop on."""
    return grace_ms - min(MARGIN_MS, int(MAX_MARGIN_SHARE * grace_ms))


class StopLimit:
    """Ends requests before a planned stop does; without one, at their time.

    Attributes:
        started_ms: Monotonic time of the beginning of the stop, if any.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.started_ms: int | None = None
        self._late_ms = 0
        self._end_ms: int | None = None
        self._timeouts: set[asyncio.Timeout] = set()

    def start(self, end_ms: int, expected_until_ms: int) -> None:
        """Limits all requests, also those in progress, by a monotonic time.

        Called at the beginning of the stop, since a request that it accepts
        may take all of the time that is left.

        Args:
            end_ms: When the stop ends all requests.
            expected_until_ms: When callers no longer use directory answers
                that name this gateway. Requests come too late from then on,
                unless they end in time in any case.
        """
        now_ms = self.clock.now_ms()
        left_ms = max(0, end_ms - now_ms)
        self.started_ms = now_ms
        self._late_ms = min(
            expected_until_ms, end_ms - round(LATE_SHARE * left_ms)
        )
        self._end_ms = end_ms
        end_s = asyncio.get_running_loop().time() + left_ms / 1000
        for timeout in self._timeouts:
            when_s = timeout.when()
            if when_s is not None and not timeout.expired():
                timeout.reschedule(min(when_s, end_s))

    def since_start_ms(self, now_ms: int) -> int | None:
        """Returns the time since the beginning of the stop, if there is one."""
        return None if self.started_ms is None else now_ms - self.started_ms

    def log_refused(self, request: request_state.RequestState) -> None:
        """Logs that a request came too late."""
        log.info("request refused by stop", **self._describe(request))

    def log_ended(
        self, request: request_state.RequestState, answer_started: bool
    ) -> None:
        """Logs that the stop has ended a request."""
        log.warning(
            "request ended by stop",
            **self._describe(request),
            may_have_run=request.may_have_run,
            answer_started=answer_started,
        )

    def _describe(self, request: request_state.RequestState) -> dict[str, Any]:
        return {
            "id": request.caller_request.id,
            "service": request.service.name,
            "arrived_after_ms": self.since_start_ms(
                request.caller_request.arrived_ms
            ),
            "after_ms": self.since_start_ms(self.clock.now_ms()),
        }

    def ends(self, deadline_ms: int) -> bool:
        """Whether a stop ends a request with this deadline before its time."""
        return (
            self._end_ms is not None
            and deadline_ms > self._end_ms <= self.clock.now_ms()
        )

    def comes_too_late(self, deadline_ms: int) -> bool:
        """Whether the stop may end before a request with this deadline."""
        return (
            self._end_ms is not None
            and self.clock.now_ms() >= self._late_ms
            and deadline_ms > self._end_ms
        )

    @contextlib.asynccontextmanager
    async def limit(self, deadline_ms: int) -> AsyncIterator[None]:
        """Limits the time of a request.

        Raises:
            TimeoutError: The deadline or the end of the stop has come.
        """
        if self._end_ms is not None:
            deadline_ms = min(deadline_ms, self._end_ms)
        left_ms = max(0, deadline_ms - self.clock.now_ms())
        timeout = asyncio.timeout(left_ms / 1000)
        self._timeouts.add(timeout)
        try:
            async with timeout:
                yield
        finally:
            self._timeouts.discard(timeout)
