"""Processing of a request from its arrival to its final response."""

import dataclasses
import enum
import functools
import random
from collections.abc import Callable

import structlog

from oleanderbay.connection import permissions
from oleanderbay.gateway import (
    attempt,
    budget,
    crash_detection,
    demand,
    forecast,
    health,
    interfaces,
    pauses,
    prediction,
    quarantine,
    queueing,
    refusals,
    request_load,
    request_state,
    resolution,
    response,
    selection,
    state,
    stopping,
    workers,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks
from oleanderbay.request import outcome

# Number of times that a request is sent again after a worker refused it without
# running it.
MAX_REFUSALS = 4
# How long the choice of a worker holds until the request is written. It exceeds
# the time that a connection takes; only a pause of the process takes longer.
MAX_CHOICE_MS = 1_000
# Largest difference between two timers that are set to the same time.
TIMER_TOLERANCE_MS = 1

log = structlog.get_logger()


class _Retry(enum.Enum):
    """Says that a request may be sent once more."""

    RETRY = enum.auto()


_RETRY = _Retry.RETRY


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """Objects that the pipeline uses, besides those of its attempts."""

    gateway_state: state.State
    queues: queueing.RequestQueues
    selector: selection.WorkerSelector
    loads: request_load.RequestLoad
    worker_health: health.HealthTracker
    retry_budget: budget.RetryBudget
    prompt_quarantine: quarantine.PromptQuarantine
    request_quarantine: quarantine.PromptQuarantine
    crash_detector: crash_detection.CrashDetector
    demand: demand.Demand
    attempt_runner: attempt.AttemptRunner
    pause_detector: pauses.PauseDetector
    clock: clocks.Clock
    rng: random.Random
    telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED


class Pipeline:
    """Routes requests, sends them to workers and retries failed attempts."""

    def __init__(self, deps: Dependencies) -> None:
        self.deps = deps
        self.resolver = resolution.RequestResolver(deps.gateway_state, deps.rng)
        self.refusal_log = refusals.RefusalLog(deps.clock)
        self.stop_limit = stopping.StopLimit(deps.clock)

    async def run(
        self,
        caller_request: interfaces.CallerRequest,
        sink: response.ResponseSink,
    ) -> outcome.Refusal | None:
        """Runs one request.

        Returns:
            A refusal if there is no complete response. If part of a response
            has been written by then, it must be marked as incomplete.
        """
        with self.deps.telemetry.observe_request(caller_request) as observation:
            observation.refusal = await self._run(
                caller_request, sink, observation
            )
            return observation.refusal

    def stop_waiting(self) -> None:
        """Refuses requests that wait for a worker, also later ones."""
        self.deps.queues.close()

    def deadline_ms(
        self, caller_request: interfaces.CallerRequest
    ) -> int | None:
        """Returns the deadline of a request; None if it would be refused."""
        request = self.resolver.resolve(caller_request)
        return (
            None
            if isinstance(request, outcome.Refusal)
            else request.deadline_ms
        )

    async def _run(
        self,
        caller_request: interfaces.CallerRequest,
        sink: response.ResponseSink,
        observation: telemetry_module.RequestObservation,
    ) -> outcome.Refusal | None:
        await self.deps.pause_detector.settle()
        request = self.resolver.resolve(caller_request)
        if isinstance(request, outcome.Refusal):
            return request
        observation.service = request.service.name
        if self.stop_limit.comes_too_late(request.deadline_ms):
            self.stop_limit.log_refused(request)
            return _refusal(
                outcome.Reason.LEAVING,
                request,
                503,
                "the gateway stops before the time for the request is over",
            )
        self.deps.retry_budget.record_request(request.service.name)
        model = request.model
        self.deps.demand.record_start(model)
        try:
            async with self.stop_limit.limit(request.deadline_ms):
                return await self._run_attempts(request, sink)
        except TimeoutError:
            if self.stop_limit.ends(request.deadline_ms):
                self.stop_limit.log_ended(request, sink.started)
            return _refusal(
                outcome.Reason.DEADLINE,
                request,
                504 if request.may_have_run else 503,
                "the time for the request is over",
            )
        finally:
            self.deps.demand.record_end(model)

    async def _run_attempts(
        self, request: request_state.RequestState, sink: response.ResponseSink
    ) -> outcome.Refusal | None:
        try:
            while True:
                result = await self._try_next_worker(request, sink)
                while (
                    isinstance(result, outcome.Refusal)
                    and request.silent is not None
                ):
                    result = await self._return_to_silent(request, sink)
                if result is not _RETRY:
                    return result
        finally:
            request.close_silent()

    async def _return_to_silent(
        self, request: request_state.RequestState, sink: response.ResponseSink
    ) -> outcome.Refusal | _Retry | None:
        """Waits for a silent worker again, since no other one takes over."""
        assert request.silent is not None
        worker = request.silent.relay.worker
        log.info(
            "silent worker is waited for again",
            request_id=request.caller_request.id,
            worker=worker.id,
            events=request.silent.events,
        )
        failed = await self.deps.attempt_runner.go_on(request)
        self.deps.queues.dispatch(request.service.name, request.model)
        if failed is None:
            return None
        return await self._after_failure(request, worker, failed, sink)

    async def _try_next_worker(
        self, request: request_state.RequestState, sink: response.ResponseSink
    ) -> outcome.Refusal | _Retry | None:
        """Makes one attempt; returns None if the caller got a response."""
        deps = self.deps
        if self._is_quarantined(request):
            return self._quarantine_refusal(request)
        worker = await self._acquire_worker(request)
        if isinstance(worker, outcome.Refusal):
            return worker
        # The request may have been waiting for the worker.
        if self._is_quarantined(request):
            deps.queues.dispatch(request.service.name, request.model)
            return self._quarantine_refusal(request)
        request.tried_workers.add(worker.id)
        deps.loads.record_start(worker.id)
        sent_ms = deps.clock.now_ms()
        try:
            with deps.telemetry.observe_attempt(
                request.service.name, worker.id
            ) as observation:
                with permissions.required(self._choice_holds(worker)):
                    failed = await deps.attempt_runner.run(
                        request, worker, sink
                    )
                observation.record_result(failed)
        finally:
            deps.loads.record_end(worker.id)
            deps.queues.dispatch(request.service.name, request.model)
        if failed is None:
            deps.queues.record_slot_time(
                request.service.name,
                request.model,
                deps.clock.now_ms() - sent_ms,
            )
            return None
        return await self._after_failure(request, worker, failed, sink)

    async def _after_failure(
        self,
        request: request_state.RequestState,
        worker: workers.Worker,
        failed: response.FailedAttempt,
        sink: response.ResponseSink,
    ) -> outcome.Refusal | _Retry | None:
        """Decides whether a failed attempt is followed by another one."""
        deps = self.deps
        self._record_break(request, worker, failed)
        if failed.may_have_arrived:
            request.possible_arrivals += 1
        if failed.may_have_run:
            request.possible_runs += 1
            request.may_have_run = True
        elif failed.may_have_arrived:
            request.refusals += 1
        log.info(
            "attempt failed",
            request_id=request.caller_request.id,
            worker=worker.id,
            ran=failed.may_have_run,
            broken_off=failed.broken_off,
            events=failed.events,
            shared_parts=request.caller_request.shared_parts,
            fingerprint=request.fingerprint,
            error=failed.message,
        )
        left_ms = request.deadline_ms - deps.clock.now_ms()
        if left_ms <= TIMER_TOLERANCE_MS and failed.response is None:
            # The attempt and the request time out together; the response
            # must not depend on which timer fires first.
            raise TimeoutError
        if failed.expired:
            request.tried_workers.discard(worker.id)
            await deps.pause_detector.settle()
            changed = self._resolve_again(request)
            if changed is not None:
                return changed
        if failed.stale_connection:
            request.tried_workers.discard(worker.id)
        if not self._may_retry(request):
            return await self._finish_failed(request, failed, sink)
        return _RETRY

    def _choice_holds(self, worker: workers.Worker) -> Callable[[], bool]:
        """Returns a check whether a request may still go to its worker."""
        clock, selector = self.deps.clock, self.deps.selector
        until_ms = clock.boot_ms() + MAX_CHOICE_MS
        return lambda: (
            clock.boot_ms() < until_ms and selector.may_receive(worker)
        )

    def _resolve_again(
        self, request: request_state.RequestState
    ) -> outcome.Refusal | None:
        """Applies the current configuration to a request that was not sent.

        Returns:
            A refusal if the configuration no longer allows the request.
        """
        if request.may_have_run or request.possible_arrivals:
            return None
        resolved = self.resolver.resolve(request.caller_request)
        if isinstance(resolved, outcome.Refusal):
            return resolved
        request.route, request.service, request.team = (
            resolved.route,
            resolved.service,
            resolved.team,
        )
        return None

    def _record_break(
        self,
        request: request_state.RequestState,
        worker: workers.Worker,
        failed: response.FailedAttempt,
    ) -> None:
        """Records an attempt that may have crashed its worker."""
        if failed.events >= quarantine.SURVIVED_EVENTS:
            return
        shared_parts = request.caller_request.shared_parts
        if failed.broken_off:
            self.deps.crash_detector.record_break(worker, shared_parts)
        if failed.broken_off or failed.stale_connection:
            # The parts count already if the break itself shows a fault.
            parts = () if failed.broken_off else shared_parts
            self.deps.crash_detector.check(
                worker,
                crash_detection.BrokenRequest(request.fingerprint, parts),
            )

    def _may_retry(self, request: request_state.RequestState) -> bool:
        """Whether a request may be sent once more."""
        if request.may_have_run and (
            not request.route.retryable
            or request.possible_runs >= request.route.max_attempts
        ):
            return False
        if request.refusals > MAX_REFUSALS or request.has_unnumbered_events:
            return False
        # Failed connections reach no worker and need no retry budget.
        return (
            request.possible_arrivals == 0
            or self.deps.retry_budget.try_take(request.service.name)
        )

    async def _finish_failed(
        self,
        request: request_state.RequestState,
        failed: response.FailedAttempt,
        sink: response.ResponseSink,
    ) -> outcome.Refusal | None:
        worker_response = failed.response
        if (
            worker_response is not None
            and worker_response.status not in attempt.NOT_RUN_STATUSES
            and not sink.started
        ):
            await sink.send_complete(
                worker_response.status,
                worker_response.headers,
                worker_response.body,
            )
            return None
        return _refusal(
            outcome.Reason.UPSTREAM_FAILED,
            request,
            502 if request.may_have_run else 503,
            failed.message,
        )

    async def _acquire_worker(
        self, request: request_state.RequestState
    ) -> workers.Worker | outcome.Refusal:
        """Waits for a worker for the next attempt."""
        deps = self.deps
        latest_ms = self._latest_send_ms(request)
        rest_ms = deps.selector.rest_left_ms(request.service, request.model)
        if rest_ms and deps.clock.now_ms() + rest_ms > latest_ms:
            return self._rest_refusal(request, rest_ms)
        found = await deps.queues.acquire_worker(
            request.service,
            request.model,
            request.tried_workers,
            request.priority,
            latest_ms,
            on_time_ms=self._on_time_ms(request),
            team=request.team.name if request.team is not None else "",
        )
        if isinstance(found, workers.Worker):
            return found
        none_eligible = found is selection.NoWorker.NONE_ELIGIBLE
        retry_after_ms = self._retry_after_ms(request)
        if request.service.engine is not None:
            # While no worker is able, only callers that come back show that
            # the model is needed.
            deps.demand.record_refusal(
                request.model,
                prediction.slot_time_ms(
                    request.service.engine, request.caller_request
                )
                + none_eligible * retry_after_ms,
            )
        reason = (
            outcome.Reason.NO_CAPACITY
            if none_eligible
            else outcome.Reason.QUEUE_FULL
        )
        self.refusal_log.record(
            request.service.name,
            request.model,
            reason.value,
            functools.partial(
                deps.selector.availability,
                request.service,
                request.model,
            ),
        )
        return _refusal(
            reason,
            request,
            502 if request.may_have_run else 503,
            "no worker is able" if none_eligible else "all workers are full",
            retry_after_ms,
        )

    def _rest_refusal(
        self, request: request_state.RequestState, rest_ms: int
    ) -> outcome.Refusal:
        self.refusal_log.record(
            request.service.name,
            request.model,
            "resting",
            lambda: {"rest_ms": rest_ms},
        )
        # Callers that come back together would be too many for one worker.
        jitter = 1 + forecast.RETRY_JITTER * self.deps.rng.random()
        return _refusal(
            outcome.Reason.NO_CAPACITY,
            request,
            502 if request.may_have_run else 503,
            "all workers have asked for a rest",
            round(jitter * rest_ms),
        )

    def _is_quarantined(self, request: request_state.RequestState) -> bool:
        return self._quarantine_left_ms(request) > 0

    def _quarantine_left_ms(self, request: request_state.RequestState) -> int:
        return max(
            self.deps.prompt_quarantine.left_ms(
                request.caller_request.shared_parts
            ),
            self.deps.request_quarantine.left_ms((request.fingerprint,)),
        )

    def _quarantine_refusal(
        self, request: request_state.RequestState
    ) -> outcome.Refusal:
        return _refusal(
            outcome.Reason.QUARANTINED,
            request,
            502 if request.may_have_run else 503,
            "the request or a part of its prompt crashes workers",
            self._quarantine_left_ms(request),
        )

    def _latest_send_ms(self, request: request_state.RequestState) -> int:
        """Predicts until when a worker can still answer the caller in time.

        The caller must get the next event before it leaves, and the end of the
        response before the deadline.
        """
        engine = request.service.engine
        if engine is None:
            typical_ms = self.deps.worker_health.typical_first_byte_ms.get(
                request.latency_key, 0.0
            )
            return round(request.next_event_due_ms - typical_ms)
        call = request.caller_request
        return round(
            min(
                request.next_event_due_ms
                - prediction.response_ms(engine, request.route, call),
                request.deadline_ms - prediction.complete_ms(engine, call),
            )
        )

    def _on_time_ms(self, request: request_state.RequestState) -> int:
        """Predicts until when a worker can answer within the latency target."""
        engine = request.service.engine
        target_ms = request.waits_since_ms + request.route.latency_target_ms
        if engine is None:
            return target_ms
        return round(
            target_ms
            - prediction.response_ms(
                engine, request.route, request.caller_request
            )
        )

    def _retry_after_ms(self, request: request_state.RequestState) -> int:
        deps = self.deps
        return forecast.retry_after_ms(
            deps.queues.forecast_wait_ms(
                request.service, request.model, request.priority
            ),
            request.deadline_ms - deps.clock.now_ms(),
            deps.rng,
        )


def _refusal(
    reason: outcome.Reason,
    request: request_state.RequestState,
    status: int,
    message: str,
    retry_after_ms: int = resolution.DEFAULT_RETRY_AFTER_MS,
) -> outcome.Refusal:
    request_outcome = (
        outcome.Outcome.UNKNOWN
        if request.may_have_run
        else outcome.Outcome.NOT_RUN
    )
    return outcome.Refusal(
        reason=reason,
        outcome=request_outcome,
        message=message,
        status=status,
        retry_after_ms=retry_after_ms if status == 503 else 0,
    )
