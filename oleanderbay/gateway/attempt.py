"""A single attempt to serve a request at one worker."""

import contextlib
import dataclasses
from collections.abc import Coroutine
from typing import Any

from oleanderbay.gateway import (
    budget,
    event_stream,
    health,
    interfaces,
    quarantine,
    request_state,
    response,
    selection,
    silent_answers,
    stalls,
    stream_relay,
    table,
    worker_client,
    worker_evidence,
    worker_limits,
    workers,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

# Statuses that guarantee callers that their request did not run. The response
# of a worker gives no such guarantee unless it says so explicitly.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """Objects that attempts use."""

    selector: selection.WorkerSelector
    worker_health: health.HealthTracker
    retry_budget: budget.RetryBudget
    prompt_quarantine: quarantine.PromptQuarantine
    request_quarantine: quarantine.PromptQuarantine
    limits: worker_limits.WorkerLimits
    client: worker_client.WorkerClient
    translator: interfaces.Translator
    clock: clocks.Clock
    max_answer_bytes: int
    max_event_bytes: int
    telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED


class AttemptRunner:
    """Sends requests to workers and forwards their responses."""

    def __init__(self, deps: Dependencies) -> None:
        self.deps = deps
        self.stall_policy = stalls.StallPolicy(
            deps.selector, deps.worker_health, deps.retry_budget, deps.clock
        )
        self.evidence = worker_evidence.WorkerEvidence(
            deps.selector, deps.worker_health, deps.limits, deps.translator
        )

    async def run(
        self,
        request: request_state.RequestState,
        worker: workers.Worker,
        sink: response.ResponseSink,
    ) -> response.FailedAttempt | None:
        """Sends a request to one worker and forwards its response.

        Returns:
            None if the caller got a response, otherwise the failure.
        """
        deps = self.deps
        request.events = 0
        left_ms = request.deadline_ms - deps.clock.now_ms()
        if left_ms <= 0:
            return response.FailedAttempt(
                "no time is left",
                may_have_run=False,
                may_have_arrived=False,
            )
        headers = deps.translator.request_headers(
            request.caller_request,
            worker,
            request.team,
            left_ms,
            None,
            request.last_event_id,
        )
        deps.telemetry.inject_trace_context(headers)
        timeout_ms = (
            min(left_ms, self.stall_policy.first_event_timeout_ms(request))
            if self.stall_policy.can_fail_over(request)
            else left_ms
        )
        had_run, request.may_have_run = request.may_have_run, True
        typical_ms = deps.worker_health.typical_first_byte_ms.get(
            request.latency_key,
            self.stall_policy.first_event_timeout_ms(request),
        )
        sent_ms = deps.clock.now_ms()
        # A slow request of a plain service says nothing about its worker, but a
        # group generates all of its streams at the same speed.
        timer = (
            self.stall_policy.schedule_suspicion(worker.id, typical_ms)
            if request.service.engine is not None
            else None
        )
        interrupts = (
            request.silent.interrupts(
                self.stall_policy.first_event_timeout_ms(request)
            )
            if request.silent is not None
            else contextlib.nullcontext()
        )
        try:
            # A retry uses a new connection, so that it can't fail again on an
            # idle connection that the worker closes.
            async with interrupts:
                worker_response = await deps.client.send_request(
                    worker,
                    request.caller_request,
                    headers,
                    timeout_ms,
                    reuse=request.route.retryable
                    and request.possible_arrivals == 0,
                )
        except worker_client.AttemptError as error:
            request.may_have_run = had_run or error.may_have_arrived
            self.evidence.record_failure(request, worker, error)
            return response.FailedAttempt(
                str(error),
                may_have_run=error.may_have_arrived,
                may_have_arrived=error.may_have_arrived,
                stale_connection=error.stale_connection,
                broken_off=error.broken_off,
                expired=error.expired,
            )
        finally:
            if timer is not None:
                timer.cancel()
        deps.worker_health.record_first_byte(
            request.latency_key, deps.clock.now_ms() - sent_ms
        )
        failed = await self._receive(
            request,
            worker,
            worker_response,
            self._forward_response(request, worker, worker_response, sink),
        )
        if failed is not None and not failed.may_have_run:
            request.may_have_run = had_run
        return failed

    async def go_on(
        self, request: request_state.RequestState
    ) -> response.FailedAttempt | None:
        """Waits again for the worker whose answer was kept.

        Returns:
            None if the caller got a response, otherwise the failure.
        """
        silent, request.silent = request.silent, None
        assert silent is not None
        request.events = silent.events
        request.possible_runs -= 1
        try:
            relay = silent.relay
            return await self._receive(
                request,
                relay.worker,
                relay.worker_response,
                self._relay_events(relay, relay.go_on()),
            )
        finally:
            silent.release()

    async def _receive(
        self,
        request: request_state.RequestState,
        worker: workers.Worker,
        worker_response: worker_client.WorkerResponse,
        forwarding: Coroutine[Any, Any, response.FailedAttempt | None],
    ) -> response.FailedAttempt | None:
        """Forwards a response whose head has arrived, and closes it.

        It stays open if its worker has fallen silent and the request keeps it.
        """
        deps = self.deps
        failed: response.FailedAttempt | None = None
        reusable = False
        try:
            failed = await forwarding
            reusable = failed is None and self._matches_request(
                request, worker, worker_response
            )
        except worker_client.AttemptError as error:
            self.evidence.record_failure(request, worker, error)
            failed = response.FailedAttempt(
                str(error),
                may_have_run=True,
                may_have_arrived=True,
                broken_off=error.broken_off,
                events=request.events,
            )
        except event_stream.EventStreamError as error:
            deps.worker_health.record_failure(worker.id)
            failed = response.FailedAttempt(
                str(error),
                may_have_run=True,
                may_have_arrived=True,
                broken_off=isinstance(error, event_stream.PartialEventError),
                events=request.events,
            )
        finally:
            kept = request.silent and request.silent.relay.worker_response
            if kept is not worker_response:
                worker_response.close(reusable)
        return failed

    def _matches_request(
        self,
        request: request_state.RequestState,
        worker: workers.Worker,
        worker_response: worker_client.WorkerResponse,
    ) -> bool:
        """Whether a response names this request and no other worker."""
        origin = self.deps.translator.response_origin(worker_response.headers)
        # A worker need not name itself: its connections lead to no other one.
        return origin.request_id == request.caller_request.id and (
            origin.worker_id in ("", worker.id)
        )

    async def _forward_response(
        self,
        request: request_state.RequestState,
        worker: workers.Worker,
        worker_response: worker_client.WorkerResponse,
        sink: response.ResponseSink,
    ) -> response.FailedAttempt | None:
        deps = self.deps
        deps.worker_health.record_activity(worker.id)
        if worker_response.status == 503:
            self.evidence.suspect_reported_member(
                worker, worker_response.headers
            )
        # Data that a worker sent before this request must not answer it.
        if worker_response.reused and not self._matches_request(
            request, worker, worker_response
        ):
            return response.FailedAttempt(
                "the answer does not name the request",
                may_have_run=True,
                may_have_arrived=True,
                stale_connection=True,
            )
        response_class = deps.translator.classify_response(
            request.caller_request,
            worker_response.status,
            worker_response.headers,
        )
        self.evidence.record_statements(worker, worker_response, response_class)
        if response_class is interfaces.ResponseClass.NOT_RUN:
            return response.FailedAttempt(
                "the worker refused",
                may_have_run=False,
                may_have_arrived=True,
            )
        if response_class is interfaces.ResponseClass.OTHER_WORKER:
            deps.worker_health.suspect(worker.id)
            return response.FailedAttempt(
                "another worker answered",
                may_have_run=False,
                may_have_arrived=True,
            )
        if response_class is interfaces.ResponseClass.UNUSABLE:
            deps.worker_health.record_failure(worker.id)
            return response.FailedAttempt(
                "the answer is unusable",
                may_have_run=True,
                may_have_arrived=True,
            )
        stream_start = stream_relay.stream_start(worker_response)
        if sink.started and (
            response_class is not interfaces.ResponseClass.SUCCESS
            or stream_start != request.stream_start
        ):
            # It can't follow the part of a stream that the caller has.
            deps.worker_health.record_failure(worker.id)
            status, media_type = stream_start
            return response.FailedAttempt(
                f"status {status} with {media_type} in place of the rest of a"
                " stream",
                may_have_run=True,
                may_have_arrived=True,
            )
        left_ms = max(1, request.deadline_ms - deps.clock.now_ms())
        if response_class is interfaces.ResponseClass.FAILURE:
            complete = await self._read_response(worker_response, left_ms)
            self._record_request_survival(request)
            if (
                worker_response.status >= 500
                or worker_response.status in NOT_RUN_STATUSES
            ):
                deps.worker_health.record_failure(worker.id)
                return response.FailedAttempt(
                    f"status {worker_response.status}",
                    True,
                    True,
                    complete,
                )
            await sink.send_complete(
                complete.status, complete.headers, complete.body
            )
            return None
        if (
            request.route.kind is table.RouteKind.STREAM
            and stream_start[1] == stream_relay.MEDIA_TYPE
        ):
            relay = self.create_relay(request, worker, worker_response, sink)
            await self._relay_events(relay, relay.run())
            return None
        complete = await self._read_response(worker_response, left_ms)
        deps.worker_health.record_success(worker.id)
        self._record_survival(request)
        await sink.send_complete(
            complete.status, complete.headers, complete.body
        )
        return None

    async def _read_response(
        self, worker_response: worker_client.WorkerResponse, timeout_ms: int
    ) -> response.Response:
        body = await worker_response.read_all(
            timeout_ms, self.deps.max_answer_bytes
        )
        return response.Response(
            worker_response.status,
            self.deps.translator.response_headers(worker_response.headers),
            body,
        )

    def create_relay(
        self,
        request: request_state.RequestState,
        worker: workers.Worker,
        worker_response: worker_client.WorkerResponse,
        sink: response.ResponseSink,
    ) -> stream_relay.StreamRelay:
        """Creates the relay of a worker's stream to a caller."""
        deps = self.deps
        return stream_relay.StreamRelay(
            request,
            worker,
            worker_response,
            sink,
            deps.worker_health,
            self.stall_policy,
            deps.translator,
            deps.clock,
            deps.max_event_bytes,
            lambda: self._record_survival(request),
            deps.telemetry,
        )

    async def _relay_events(
        self,
        relay: stream_relay.StreamRelay,
        relaying: Coroutine[Any, Any, None],
    ) -> None:
        """Relays a stream, which is kept if its worker falls silent."""
        try:
            await relaying
        except stream_relay.SilentError:
            # A caller without a part of the stream gets a refusal if no other
            # worker serves it, and an earlier answer is further than this one.
            if relay.sink.started and relay.request.silent is None:
                relay.request.silent = silent_answers.SilentAnswer(
                    relay, self.deps.selector.loads
                )
            raise

    def _record_survival(self, request: request_state.RequestState) -> None:
        self.deps.prompt_quarantine.record_survival(
            request.caller_request.shared_parts
        )
        self._record_request_survival(request)

    def _record_request_survival(
        self, request: request_state.RequestState
    ) -> None:
        self.deps.request_quarantine.record_survival((request.fingerprint,))
