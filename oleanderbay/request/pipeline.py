"""One request from its arrival to the end of its answer."""

import dataclasses
from collections.abc import Callable, Mapping, Sequence

import structlog
from opentelemetry import trace

from oleanderbay.connection import http
from oleanderbay.connection import upstream as connections
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces, telemetry, watch
from oleanderbay.process import settings as settings_module
from oleanderbay.process.permits import holding, permits
from oleanderbay.request import (
    admission,
    attempt,
    delivery,
    idempotency,
    keyed,
    outcome,
    prefixes,
    relay,
    retry,
    routing,
)

# How long a request waits for a permit of one upstream before it looks at
# the others again.
PERMIT_WAIT_MS = 300
# How long a request waits before it looks again when all were busy.
BUSY_WAIT_MS = 20
# Time to write the last event to a caller after the deadline.
LAST_WORDS_MS = 500

log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """What the pipeline uses.

    Attributes:
        catalogue: The configuration in force.
        admission: Queues in front of services.
        router: Chooses upstreams.
        permits: Rights to send to upstreams.
        retries: Decides after failures.
        idempotency: Claims keys.
        eligible: Takes note of suspected upstreams.
        index: Prefix index; told what was sent where.
        client: Connections to upstreams.
        delivery: Passes answers on.
        deadlines: Ends requests whose time is over.
        telemetry: Metrics and traces.
        clock: Time.
        config: Limits towards upstreams.
        max_wait_ms: Longest time that a request waits for an upstream.
        zone: Id of this entry's zone.
        refusal: Why nothing may be sent to upstreams at the moment; None if
            it may.
    """

    catalogue: interfaces.CatalogueSource
    admission: admission.Admission
    router: routing.Router
    permits: permits.Permits
    retries: retry.Retries
    idempotency: idempotency.Idempotency
    eligible: interfaces.EligibleUpstreams
    index: prefixes.PrefixIndex
    client: connections.UpstreamClient
    delivery: delivery.Delivery
    deadlines: watch.Watch
    telemetry: telemetry.Telemetry
    clock: clocks.Clock
    config: settings_module.UpstreamSettings
    max_wait_ms: int
    zone: Callable[[], str]
    refusal: Callable[[], outcome.Refusal | None]


class Pipeline:
    """Runs requests."""

    def __init__(self, parts: Parts) -> None:
        self.parts = parts
        self.keyed = keyed.KeyedCalls(parts.idempotency, self.run_once)

    async def run(
        self, call: attempt.Call, sink: delivery.Sink
    ) -> outcome.Refusal | None:
        """Runs one request; see `run_once` for what is returned."""
        if call.context.key:
            return await self.keyed.run(call, sink)
        return await self.run_once(call, sink)

    async def close(self) -> None:
        """Waits for calls that go on without their caller."""
        await self.keyed.close()

    async def run_once(
        self, call: attempt.Call, sink: delivery.Sink
    ) -> outcome.Refusal | None:
        """Runs one request without regard to its key.

        Returns:
            A refusal if there is no answer. If part of an answer has been
            written by then, it must be shown to be incomplete.
        """
        parts = self.parts
        begun_ms = parts.clock.now_ms()
        run = delivery.Run(call)
        if call.stream:
            run.events = relay.Events(
                call.context.request_id, parts.config.max_event_bytes
            )
        labels = {"service": call.service.name}
        parts.telemetry.instruments.in_progress.add(1, labels)
        refusal: outcome.Refusal | None = _cancelled(run)
        try:
            with parts.telemetry.hop(
                "request",
                trace.SpanKind.SERVER,
                {"traceparent": call.context.traceparent},
                {"service": call.service.name, "team": call.team.name},
            ) as headers:
                refusal = await self._admitted(run, sink, headers)
            if refusal is not None and sink.started and call.stream:
                await self._last_words(run, sink, refusal)
                return None
            return refusal
        except BaseException:
            refusal = _cancelled(run)
            raise
        finally:
            parts.telemetry.instruments.in_progress.add(-1, labels)
            self._report(run, refusal, parts.clock.now_ms() - begun_ms)

    async def _admitted(
        self,
        run: delivery.Run,
        sink: delivery.Sink,
        headers: Mapping[str, str],
    ) -> outcome.Refusal | None:
        call = run.call
        try:
            with self.parts.deadlines.until(call.deadline_at_ms):
                slot = await self.parts.admission.admit(
                    call.service,
                    call.team,
                    call.deadline_at_ms,
                    call.priority,
                )
                if isinstance(slot, outcome.Refusal):
                    return slot
                try:
                    return await self._attempts(run, slot, sink, headers)
                finally:
                    slot.close()
        except TimeoutError:
            return outcome.Refusal(
                reason=outcome.Reason.DEADLINE,
                outcome=run.known,
                message="the deadline passed before the answer was complete",
                status=504,
            )

    async def _attempts(
        self,
        run: delivery.Run,
        slot: admission.Slot,
        sink: delivery.Sink,
        headers: Mapping[str, str],
    ) -> outcome.Refusal | None:
        parts, call = self.parts, run.call
        route = call.candidates.route
        parts.retries.budget(route).first_attempt(call.service.retry_budget)
        prefix = prefixes.block_hashes(call.prompt.encode())
        tried: list[retry.Attempt] = []
        while True:
            permit = await self._place(run, prefix)
            if isinstance(permit, outcome.Refusal):
                return dataclasses.replace(permit, outcome=run.known)
            slot.started()
            failure = await self._attempt(run, permit, prefix, sink, headers)
            if failure is None:
                return None
            if isinstance(call.body, http.StreamedBody) and call.body.error:
                return http.caller_failed(call.body.error, run.known)
            result = _result(failure, run, sink)
            tried.append(
                retry.Attempt(upstream=permit.upstream.id, result=result)
            )
            self._note_failure(run, permit.upstream, failure)
            decision = parts.retries.decide(
                route,
                tried,
                not call.non_idempotent,
                call.service.resumable and call.stream,
                parts.clock.now_ms(),
                call.deadline_at_ms,
            )
            if isinstance(decision, outcome.Refusal):
                return decision
            if not call.repeatable and result is not retry.Result.NOT_SENT:
                return outcome.Refusal(
                    reason=outcome.Reason.UPSTREAM_FAILED,
                    outcome=run.known,
                    message=f"{failure.message}; the body can't be sent again",
                    status=502,
                )
            if run.events is not None and run.events.position:
                parts.telemetry.instruments.resumed.add(1)
            await parts.clock.sleep_ms(decision.delay_ms)

    async def _place(
        self, run: delivery.Run, prefix: Sequence[int]
    ) -> holding.Permit | outcome.Refusal:
        """Finds an upstream that may get the request now."""
        parts, call = self.parts, run.call
        give_up_ms = min(
            call.deadline_at_ms, parts.clock.now_ms() + parts.max_wait_ms
        )
        busy: set[str] = set()
        while True:
            refused = parts.refusal()
            if refused is not None:
                return refused
            drained = parts.catalogue.current.drained_zones()
            upstream = parts.router.choose(
                call.service.id,
                parts.zone(),
                prefix,
                run.failed | busy,
                parts.clock.now_ms(),
                lambda zone, out=drained: (  # type: ignore[misc]
                    zone not in out and call.candidates.allows(zone)
                ),
            )
            if isinstance(upstream, outcome.Refusal):
                if not busy or parts.clock.now_ms() >= give_up_ms:
                    return upstream
                busy.clear()
                await parts.clock.sleep_ms(BUSY_WAIT_MS)
                continue
            permit = await parts.permits.acquire(
                upstream,
                min(give_up_ms, parts.clock.now_ms() + PERMIT_WAIT_MS),
            )
            if not isinstance(permit, outcome.Refusal):
                return permit
            busy.add(upstream.id)

    async def _attempt(
        self,
        run: delivery.Run,
        permit: holding.Permit,
        prefix: Sequence[int],
        sink: delivery.Sink,
        headers: Mapping[str, str],
    ) -> attempt.Failure | None:
        parts, upstream = self.parts, permit.upstream
        number = run.attempts
        run.attempts += 1
        run.upstream = upstream
        run.begun_ms = parts.clock.now_ms()
        run.first_byte_ms = 0
        ran_before, run.may_have_run = run.may_have_run, True
        parts.router.started(upstream.id)
        if prefix:
            parts.index.sent(upstream.id, prefix)
        failed = False
        try:
            with parts.telemetry.hop(
                "attempt",
                trace.SpanKind.CLIENT,
                headers,
                {"upstream": upstream.id, "attempt": number},
            ) as hop_headers:
                begun = await attempt.begin(
                    parts.client,
                    run.call,
                    upstream,
                    number,
                    run.events.position if run.events else 0,
                    hop_headers,
                    parts.config.first_byte_timeout_ms,
                )
                if not isinstance(begun, attempt.Failure):
                    failure = await parts.delivery.deliver(begun, run, sink)
                else:
                    failure = begun
            if failure is not None:
                failed = True
                if failure.outcome is outcome.Outcome.NOT_RUN:
                    run.may_have_run = ran_before
            return failure
        finally:
            parts.router.finished(upstream.id)
            permit.close(run.first_byte_ms, failed)

    def _note_failure(
        self,
        run: delivery.Run,
        upstream: interfaces.Upstream,
        failure: attempt.Failure,
    ) -> None:
        log.warning(
            "attempt failed",
            request_id=run.call.context.request_id,
            upstream=upstream.id,
            attempt=run.attempts - 1,
            outcome=failure.outcome.value,
            error=failure.message,
        )
        # Something between the two ends may have lost the connection's
        # state, so a stalled upstream gets one try over a new connection.
        if failure.stalled and upstream.id not in run.stalled:
            run.stalled.add(upstream.id)
            return
        run.failed.add(upstream.id)
        if failure.unreachable or failure.stalled:
            self.parts.eligible.suspect(upstream.id, failure.message)

    async def _last_words(
        self, run: delivery.Run, sink: delivery.Sink, refusal: outcome.Refusal
    ) -> None:
        """Ends a stream that has begun with an explicit error."""
        until_ms = self.parts.clock.now_ms() + LAST_WORDS_MS
        try:
            with self.parts.deadlines.until(until_ms):
                await sink.write(
                    relay.error_event(refusal, run.call.context.request_id)
                )
                await sink.end()
        except (TimeoutError, ConnectionError):
            sink.abort()

    def _report(
        self,
        run: delivery.Run,
        refusal: outcome.Refusal | None,
        duration_ms: int,
    ) -> None:
        instruments = self.parts.telemetry.instruments
        call = run.call
        known = refusal.outcome if refusal else outcome.Outcome.ANSWERED
        reason = refusal.reason.value if refusal else ""
        labels = {
            "service": call.service.name,
            "outcome": known.value,
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
            outcome=known.value,
            reason=reason,
            duration_ms=duration_ms,
        )


def _result(
    failure: attempt.Failure, run: delivery.Run, sink: delivery.Sink
) -> retry.Result:
    if failure.outcome is outcome.Outcome.NOT_RUN:
        if failure.unreachable:
            return retry.Result.NOT_SENT
        return retry.Result.REFUSED
    return retry.Result.BROKEN if sink.started else retry.Result.FAILED


def _cancelled(run: delivery.Run) -> outcome.Refusal:
    return outcome.Refusal(
        reason=outcome.Reason.CANCELLED,
        outcome=run.known,
        message="the caller left",
        status=499,
    )
