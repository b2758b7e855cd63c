"""Runs one caller request from admission to the end of its response."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping, Sequence

import structlog
from opentelemetry import trace

from oleanderbay.connection import http, permissions
from oleanderbay.connection import upstream as connections
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces, telemetry, watch
from oleanderbay.process import settings as settings_module
from oleanderbay.process.permits import held_permits, permits
from oleanderbay.request import (
    admission,
    attempt,
    delivery,
    event_stream,
    idempotency,
    keyed_requests,
    outcome,
    prefixes,
    retry,
    routing,
)

# Longest wait for a permit of one upstream. After that the request tries the
# other upstreams.
PERMIT_TIMEOUT_MS = 300
# Delay before the next selection when no upstream had a free permit.
BUSY_RETRY_DELAY_MS = 20
# Time limit for writing the final error event to a caller. The deadline of the
# request may have passed by then.
ERROR_EVENT_TIMEOUT_MS = 500

# How long the choice of an upstream holds until the request is written, if the
# process is not paused.
MAX_CHOICE_MS = 1_000

log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """Components and settings that the pipeline uses.

    Attributes:
        catalogue: Source of the configuration in force.
        admission: Fair queues, one per service.
        router: Selects upstreams.
        permits: Grants the right to send a request to an upstream.
        retry_policy: Decides whether a failed attempt is retried.
        idempotency: Claims idempotency keys.
        eligible: Eligible upstreams; records those suspected of a fault.
        prefix_index: Index of cached prompt prefixes; updated with each
            prompt that is sent.
        client: HTTP client for upstreams.
        delivery: Relays responses to callers.
        deadlines: Cancels requests whose deadline has passed.
        telemetry: Metrics and traces.
        clock: Monotonic clock.
        config: Timeouts and limits of requests to upstreams.
        max_wait_ms: Longest time that a request waits for an upstream.
        zone: Returns the id of this entry's zone.
        sending_refusal: Returns the refusal to use while this entry must not
            send to upstreams, otherwise None.
    """

    catalogue: interfaces.CatalogueSource
    admission: admission.Admission
    router: routing.Router
    permits: permits.Permits
    retry_policy: retry.RetryPolicy
    idempotency: idempotency.Idempotency
    eligible: interfaces.EligibleUpstreams
    prefix_index: prefixes.PrefixIndex
    client: connections.UpstreamClient
    delivery: delivery.Delivery
    deadlines: watch.Watch
    telemetry: telemetry.Telemetry
    clock: clocks.Clock
    config: settings_module.UpstreamSettings
    max_wait_ms: int
    zone: Callable[[], str]
    sending_refusal: Callable[[], outcome.Refusal | None]


class Pipeline:
    """Runs requests: admission, routing, attempts, retries and delivery."""

    def __init__(self, deps: Dependencies) -> None:
        self.deps = deps
        self.keyed = keyed_requests.KeyedRequests(
            deps.idempotency, self.run_once
        )

    async def run(
        self, call: attempt.CallerRequest, sink: delivery.ResponseSink
    ) -> outcome.Refusal | None:
        """Runs one request, under its idempotency key if it has one.

        Returns:
            The same as `run_once`.
        """
        if call.context.key:
            return await self.keyed.run(call, sink)
        return await self.run_once(call, sink)

    async def close(self) -> None:
        """Waits for keyed requests that outlive their caller's connection."""
        await self.keyed.close()

    async def run_once(
        self, call: attempt.CallerRequest, sink: delivery.ResponseSink
    ) -> outcome.Refusal | None:
        """Runs one request and ignores its idempotency key.

        Returns:
            None if a complete response was written or a stream was ended with
            an error event, otherwise a refusal. If the sink has started by
            then, the caller of this method must show that the response is
            incomplete.
        """
        deps = self.deps
        started_ms = deps.clock.now_ms()
        run = delivery.RequestState(call)
        if call.stream:
            run.event_filter = event_stream.EventStreamFilter(
                call.context.request_id, deps.config.max_event_bytes
            )
        labels = {"service": call.service.name}
        deps.telemetry.instruments.in_progress.add(1, labels)
        refusal: outcome.Refusal | None = None
        try:
            with deps.telemetry.hop(
                "request",
                trace.SpanKind.SERVER,
                {"traceparent": call.context.traceparent},
                {"service": call.service.name, "team": call.team.name},
            ) as headers:
                refusal = await self._run_admitted(run, sink, headers)
            if refusal is not None and sink.started and call.stream:
                await self._end_stream_with_error(run, sink, refusal)
                return None
            return refusal
        except (asyncio.CancelledError, ConnectionError):
            # The listener cancels the task when the caller disconnects.
            refusal = _cancelled_refusal(run)
            raise
        except BaseException as error:
            refusal = _fault_refusal(run, error)
            raise
        finally:
            deps.telemetry.instruments.in_progress.add(-1, labels)
            self._record_end(run, refusal, deps.clock.now_ms() - started_ms)

    async def _run_admitted(
        self,
        run: delivery.RequestState,
        sink: delivery.ResponseSink,
        headers: Mapping[str, str],
    ) -> outcome.Refusal | None:
        call = run.caller_request
        try:
            with self.deps.deadlines.until(call.deadline_at_ms):
                slot = await self.deps.admission.admit(
                    call.service,
                    call.team,
                    call.deadline_at_ms,
                    call.priority,
                )
                if isinstance(slot, outcome.Refusal):
                    return slot
                try:
                    return await self._run_attempts(run, slot, sink, headers)
                finally:
                    slot.close()
        except TimeoutError:
            return outcome.Refusal(
                reason=outcome.Reason.DEADLINE,
                outcome=run.outcome_without_response,
                message="the deadline passed before the answer was complete",
                status=504,
            )

    async def _run_attempts(
        self,
        run: delivery.RequestState,
        slot: admission.Slot,
        sink: delivery.ResponseSink,
        headers: Mapping[str, str],
    ) -> outcome.Refusal | None:
        deps, call = self.deps, run.caller_request
        route = call.candidates.route
        deps.retry_policy.budget_for(route).record_first_attempt(
            call.service.retry_budget
        )
        prefix = prefixes.block_hashes(call.prompt.encode())
        attempts: list[retry.Attempt] = []
        while True:
            permit = await self._acquire_permit(run, prefix)
            if isinstance(permit, outcome.Refusal):
                # Callers need not come back before any upstream that has
                # refused the request takes it.
                asked_ms = min((a.retry_after_ms for a in attempts), default=0)
                return dataclasses.replace(
                    permit,
                    outcome=run.outcome_without_response,
                    retry_after_ms=max(permit.retry_after_ms, asked_ms),
                )
            slot.mark_selected()
            failure = await self._run_attempt(
                run, permit, prefix, sink, headers
            )
            if failure is None:
                return None
            if isinstance(call.body, http.StreamedBody) and call.body.error:
                return http.caller_failed(
                    call.body.error, run.outcome_without_response
                )
            result = _classify_failure(failure, run, sink)
            attempts.append(
                retry.Attempt(
                    upstream=permit.upstream.id,
                    result=result,
                    retry_after_ms=failure.retry_after_ms,
                )
            )
            self._record_failure(run, permit.upstream, failure)
            decision = deps.retry_policy.decide(
                route,
                attempts,
                not call.non_idempotent,
                call.service.resumable and call.stream,
                deps.clock.now_ms(),
                call.deadline_at_ms,
                body_replayable=call.body_replayable,
            )
            if isinstance(decision, outcome.Refusal):
                return decision
            if run.event_filter is not None and run.event_filter.next_position:
                deps.telemetry.instruments.resumed.add(1)
            await deps.clock.sleep_ms(decision.delay_ms)

    async def _acquire_permit(
        self, run: delivery.RequestState, prefix: Sequence[int]
    ) -> held_permits.Permit | outcome.Refusal:
        """Selects an upstream and acquires a permit to send to it."""
        deps, call = self.deps, run.caller_request
        wait_until_ms = min(
            call.deadline_at_ms, deps.clock.now_ms() + deps.max_wait_ms
        )
        busy: set[str] = set()
        while True:
            refused = deps.sending_refusal()
            if refused is not None:
                return refused
            drained = deps.catalogue.current.drained_zones()
            upstream = deps.router.choose(
                call.service.id,
                deps.zone(),
                prefix,
                run.failed_upstreams | busy,
                deps.clock.now_ms(),
                lambda zone, out=drained: (  # type: ignore[misc]
                    zone not in out and call.candidates.allows(zone)
                ),
            )
            if isinstance(upstream, outcome.Refusal):
                if not busy or deps.clock.now_ms() >= wait_until_ms:
                    return upstream
                busy.clear()
                await deps.clock.sleep_ms(BUSY_RETRY_DELAY_MS)
                continue
            permit = await deps.permits.acquire(
                upstream,
                min(wait_until_ms, deps.clock.now_ms() + PERMIT_TIMEOUT_MS),
            )
            if not isinstance(permit, outcome.Refusal):
                return permit
            busy.add(upstream.id)

    async def _run_attempt(
        self,
        run: delivery.RequestState,
        permit: held_permits.Permit,
        prefix: Sequence[int],
        sink: delivery.ResponseSink,
        headers: Mapping[str, str],
    ) -> attempt.FailedAttempt | None:
        deps, upstream = self.deps, permit.upstream
        number = run.attempts
        run.attempts += 1
        run.upstream = upstream
        run.attempt_started_ms = deps.clock.now_ms()
        run.first_byte_ms = 0
        may_have_run_before, run.may_have_run = run.may_have_run, True
        deps.router.record_start(upstream.id)
        if prefix:
            deps.prefix_index.record_sent_prefix(upstream.id, prefix)
        failed = False
        try:
            with deps.telemetry.hop(
                "attempt",
                trace.SpanKind.CLIENT,
                headers,
                {"upstream": upstream.id, "attempt": number},
            ) as hop_headers:
                with permissions.required(self._choice_holds(permit)):
                    response = await attempt.send_request(
                        deps.client,
                        run.caller_request,
                        upstream,
                        number,
                        run.event_filter.next_position
                        if run.event_filter
                        else 0,
                        hop_headers,
                        deps.config.first_byte_timeout_ms,
                    )
                if not isinstance(response, attempt.FailedAttempt):
                    failure = await deps.delivery.deliver(response, run, sink)
                else:
                    failure = response
            if failure is not None:
                failed = True
                if failure.outcome is outcome.Outcome.NOT_RUN:
                    run.may_have_run = may_have_run_before
            return failure
        finally:
            deps.router.record_end(upstream.id)
            permit.close(run.first_byte_ms, failed)

    def _choice_holds(self, permit: held_permits.Permit) -> Callable[[], bool]:
        """Returns a check whether a request may still go to its upstream."""
        deps = self.deps
        until_ms = deps.clock.boot_ms() + MAX_CHOICE_MS
        return lambda: (
            deps.clock.boot_ms() < until_ms
            and deps.sending_refusal() is None
            and permit.upstream.zone
            not in deps.catalogue.current.drained_zones()
        )

    def _record_failure(
        self,
        run: delivery.RequestState,
        upstream: interfaces.Upstream,
        failure: attempt.FailedAttempt,
    ) -> None:
        log.warning(
            "attempt failed",
            request_id=run.caller_request.context.request_id,
            upstream=upstream.id,
            attempt=run.attempts - 1,
            outcome=failure.outcome.value,
            error=failure.message,
        )
        if failure.stale_connection or failure.expired:
            return
        # A stall may be due to a device on the network path that dropped the
        # connection's state, so a stalled upstream gets one more attempt over
        # a new connection.
        if failure.stalled and upstream.id not in run.stalled_upstreams:
            run.stalled_upstreams.add(upstream.id)
            return
        run.failed_upstreams.add(upstream.id)
        if failure.unreachable or failure.stalled:
            self.deps.eligible.suspect(upstream.id, failure.message)

    async def _end_stream_with_error(
        self,
        run: delivery.RequestState,
        sink: delivery.ResponseSink,
        refusal: outcome.Refusal,
    ) -> None:
        """Writes an error event to a started stream and ends the stream."""
        until_ms = self.deps.clock.now_ms() + ERROR_EVENT_TIMEOUT_MS
        try:
            with self.deps.deadlines.until(until_ms):
                await sink.write(
                    event_stream.error_event(
                        refusal, run.caller_request.context.request_id
                    )
                )
                await sink.end()
        except (TimeoutError, ConnectionError):
            sink.abort()

    def _record_end(
        self,
        run: delivery.RequestState,
        refusal: outcome.Refusal | None,
        duration_ms: int,
    ) -> None:
        instruments = self.deps.telemetry.instruments
        call = run.caller_request
        request_outcome = (
            refusal.outcome if refusal else outcome.Outcome.ANSWERED
        )
        reason = refusal.reason.value if refusal else ""
        labels = {
            "service": call.service.name,
            "outcome": request_outcome.value,
            "reason": reason,
        }
        instruments.requests.add(1, labels)
        service = {"service": call.service.name}
        instruments.duration.record(duration_ms, service)
        if run.first_byte_ms:
            instruments.first_byte.record(run.first_byte_ms, service)
        instruments.attempts.add(run.attempts, service)
        log.info(
            "request ended",
            request_id=call.context.request_id,
            fleet=call.context.fleet,
            service=call.service.name,
            team=call.team.name,
            upstream=run.upstream.id if run.upstream else "",
            attempt=run.attempts - 1,
            outcome=request_outcome.value,
            reason=reason,
            duration_ms=duration_ms,
        )


def _classify_failure(
    failure: attempt.FailedAttempt,
    run: delivery.RequestState,
    sink: delivery.ResponseSink,
) -> retry.Result:
    if failure.outcome is outcome.Outcome.NOT_RUN:
        if failure.unreachable:
            return retry.Result.NOT_SENT
        return retry.Result.REFUSED
    return retry.Result.BROKEN if sink.started else retry.Result.FAILED


def _cancelled_refusal(run: delivery.RequestState) -> outcome.Refusal:
    return outcome.Refusal(
        reason=outcome.Reason.CANCELLED,
        outcome=run.outcome_without_response,
        message="the caller left",
        status=499,
    )


def _fault_refusal(
    run: delivery.RequestState, error: BaseException
) -> outcome.Refusal:
    return outcome.Refusal(
        reason=outcome.Reason.FAULT,
        outcome=run.outcome_without_response,
        message=f"the entry failed: {type(error).__name__}",
        status=500,
    )
