"""A single attempt to serve a request at one worker."""

import asyncio
import dataclasses

from oleanderbay.gateway import (
    budget,
    event_stream,
    health,
    interfaces,
    quarantine,
    response,
    selection,
    table,
    worker_client,
    worker_limits,
    workers,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

# A request fails over only to a worker whose load is below this part of its
# capacity.
FAILOVER_MAX_FILL = 0.7
# Statuses that guarantee callers that their request did not run. The response
# of a worker gives no such guarantee unless it says so explicitly.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Factors on the typical time after which a silent worker gets no new requests,
# and after which a request fails over to another worker. A response is late
# after a failover in any case, so a request fails over only if waiting would
# take longer than a new start.
SUSPECT_FACTOR = 1.8
FAILOVER_FACTOR = 2.5
MIN_TIMEOUT_MS = 150
# Media type of streams; a worker may leave it out.
STREAM_MEDIA_TYPE = "text/event-stream"
# The first event of a response may take at least this multiple of the target
# before a failover: right after a start, the typical time is not known yet and
# all workers are full.
FIRST_EVENT_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class RequestState:
    """State of one request across its attempts.

    Attributes:
        caller_request: The request as it was received.
        route: Its route.
        service: The service that it goes to.
        team: The calling team; None if it is not known.
        deadline_ms: Monotonic time by which the request must be answered.
        last_event_id: Id of the last event that the caller has received; -1
            for none.
        possible_runs: Number of attempts that may have run.
        possible_arrivals: Number of attempts that may have reached a worker.
        refusals: Number of attempts that a worker refused without running
            them.
        events: Number of complete events of the current attempt.
        tried_workers: Ids of the workers that it was sent to.
        may_have_run: Whether any worker may have run it.
        fingerprint: What it shares with repeats of the same request.
        stream_start: Status and media type of the stream that the caller has
            the beginning of; None before that.
        has_unnumbered_events: Whether the caller has received an event without
            an id. A stream with such events can't be resumed.
    """

    caller_request: interfaces.CallerRequest
    route: table.Route
    service: table.Service
    team: table.Team | None
    deadline_ms: int
    last_event_id: int = -1
    possible_runs: int = 0
    possible_arrivals: int = 0
    refusals: int = 0
    events: int = 0
    tried_workers: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    fingerprint: str = ""
    stream_start: tuple[int, str] | None = None
    has_unnumbered_events: bool = False

    @property
    def elapsed_before_ms(self) -> int:
        """Time that passed before the caller sent this request.

        A caller that retries after a refusal states a timeout that is reduced
        by the time since its first attempt.
        """
        timeout_ms = self.deadline_ms - self.caller_request.arrived_ms
        return max(0, self.route.timeout_ms - timeout_ms)

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority


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

    async def run(
        self,
        request: RequestState,
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
        timeout_ms = self._first_event_timeout_ms(request, left_ms)
        had_run, request.may_have_run = request.may_have_run, True
        typical_ms = deps.worker_health.typical_first_byte_ms.get(
            latency_key(request), request.route.latency_target_ms
        )
        sent_ms = deps.clock.now_ms()
        # A slow request of a plain service says nothing about its worker, but a
        # group generates all of its streams at the same speed.
        timer = (
            self._schedule_suspicion(worker.id, typical_ms)
            if request.service.engine is not None
            else None
        )
        try:
            # A retry uses a new connection, so that it can't fail again on an
            # idle connection that the worker closes.
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
            self._record_failure(request, worker, error)
            return response.FailedAttempt(
                str(error),
                may_have_run=error.may_have_arrived,
                may_have_arrived=error.may_have_arrived,
                stale_connection=error.stale_connection,
                broken_off=error.broken_off,
            )
        finally:
            if timer is not None:
                timer.cancel()
        deps.worker_health.record_first_byte(
            latency_key(request), deps.clock.now_ms() - sent_ms
        )
        reusable = False
        try:
            failed = await self._forward_response(
                request, worker, worker_response, sink
            )
            reusable = failed is None and self._matches_request(
                request, worker, worker_response
            )
        except worker_client.AttemptError as error:
            self._record_failure(request, worker, error)
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
            worker_response.close(reusable)
        if failed is not None and not failed.may_have_run:
            request.may_have_run = had_run
        return failed

    def _record_failure(
        self,
        request: RequestState,
        worker: workers.Worker,
        error: worker_client.AttemptError,
    ) -> None:
        timed_out = error.timed_out and request.service.engine is not None
        if not error.may_have_arrived or error.unreachable or timed_out:
            self.deps.worker_health.suspect(worker.id)
        elif not error.stale_connection:
            self.deps.worker_health.record_failure(worker.id)

    def _suspect_reported_member(
        self,
        head: workers.Worker,
        worker_response: worker_client.WorkerResponse,
    ) -> None:
        """Suspects the group member that the head reports as failed.

        The head is suspected too, since workers are selected by group heads.
        """
        member_id = self.deps.translator.failed_worker_id(
            worker_response.headers
        )
        gateway_state = self.deps.selector.gateway_state
        member = gateway_state.workers.get(
            member_id
        ) or gateway_state.missing_members.get(member_id)
        head_membership = head.membership
        member_membership = member.membership if member is not None else None
        if (
            head_membership is None
            or member_membership is None
            or (head_membership.group, head_membership.epoch)
            != (member_membership.group, member_membership.epoch)
        ):
            return
        self.deps.worker_health.suspect(member_id)
        self.deps.worker_health.suspect(head.id)

    def _matches_request(
        self,
        request: RequestState,
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
        request: RequestState,
        worker: workers.Worker,
        worker_response: worker_client.WorkerResponse,
        sink: response.ResponseSink,
    ) -> response.FailedAttempt | None:
        deps = self.deps
        deps.worker_health.record_activity(worker.id)
        if worker_response.status == 503:
            self._suspect_reported_member(worker, worker_response)
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
        if response_class not in (
            interfaces.ResponseClass.OTHER_WORKER,
            interfaces.ResponseClass.UNUSABLE,
        ):
            deps.limits.record_statement(
                worker.id,
                deps.translator.stated_limit_per_s(worker_response.headers),
            )
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
        stream_start = _stream_start(worker_response)
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
            and stream_start[1] == STREAM_MEDIA_TYPE
        ):
            await self._forward_stream(request, worker, worker_response, sink)
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

    async def _forward_stream(
        self,
        request: RequestState,
        worker: workers.Worker,
        worker_response: worker_client.WorkerResponse,
        sink: response.ResponseSink,
    ) -> None:
        """Forwards the complete events of a stream as they arrive."""
        deps = self.deps
        reader = event_stream.EventStreamParser(
            request.last_event_id, deps.max_event_bytes
        )
        worker_health = deps.worker_health.worker(worker.id)
        previous_ms = deps.clock.now_ms()
        has_event = False
        if sink.started:
            deps.telemetry.count_resumed_stream(request.service.name)
        while True:
            left_ms = max(1, request.deadline_ms - deps.clock.now_ms())
            timeout_ms = (
                self._gap_timeout_ms(request, worker_health, left_ms)
                if has_event
                else self._first_event_timeout_ms(request, left_ms)
            )
            timer = self._schedule_suspicion(
                worker.id,
                worker_health.typical_gap_ms or request.route.gap_target_ms,
            )
            try:
                data = await worker_response.read(timeout_ms)
            finally:
                timer.cancel()
            now_ms = deps.clock.now_ms()
            deps.worker_health.record_activity(worker.id)
            if has_event:
                deps.worker_health.record_event_gap(
                    worker.id, now_ms - previous_ms
                )
            previous_ms = now_ms
            if not data:
                break
            received = reader.feed(data)
            if not received:
                continue
            count = sum(not event.is_comment for event in received)
            has_event = has_event or count > 0
            request.has_unnumbered_events |= reader.has_unnumbered_events
            if not sink.started:
                deps.telemetry.record_first_event(
                    request.service.name,
                    now_ms - request.caller_request.arrived_ms,
                )
                await self._begin_response(request, worker_response, sink)
            await sink.write(b"".join(event.data for event in received))
            request.last_event_id = reader.last_id
            survived_before = request.events >= quarantine.SURVIVED_EVENTS
            request.events += count
            if (
                not survived_before
                and request.events >= quarantine.SURVIVED_EVENTS
            ):
                self._record_survival(request)
        if reader.has_partial_event:
            raise event_stream.PartialEventError(
                "the stream ends inside an event"
            )
        # Without events, only its framing shows that a response is complete,
        # and nothing shows that a stream ended with the last event before.
        if not has_event and (sink.started or not worker_response.framed):
            raise event_stream.PartialEventError("the stream has no event")
        if not sink.started:
            await self._begin_response(request, worker_response, sink)
        deps.worker_health.record_success(worker.id)
        if request.events:
            self._record_survival(request)
        await sink.end()

    def _record_survival(self, request: RequestState) -> None:
        self.deps.prompt_quarantine.record_survival(
            request.caller_request.shared_parts
        )
        self._record_request_survival(request)

    def _record_request_survival(self, request: RequestState) -> None:
        self.deps.request_quarantine.record_survival((request.fingerprint,))

    async def _begin_response(
        self,
        request: RequestState,
        worker_response: worker_client.WorkerResponse,
        sink: response.ResponseSink,
    ) -> None:
        request.stream_start = _stream_start(worker_response)
        await sink.begin(
            worker_response.status,
            self.deps.translator.response_headers(worker_response.headers),
        )

    def _first_event_timeout_ms(
        self, request: RequestState, left_ms: int
    ) -> int:
        """Returns how long a worker may take to begin its response."""
        if not request.route.retryable or not self._can_fail_over(request):
            return left_ms
        typical_ms = self.deps.worker_health.typical_first_byte_ms.get(
            latency_key(request), 0.0
        )
        return min(
            left_ms,
            round(
                max(
                    FIRST_EVENT_FACTOR * request.route.latency_target_ms,
                    FAILOVER_FACTOR * typical_ms,
                )
            ),
        )

    def _gap_timeout_ms(
        self,
        request: RequestState,
        worker_health: health.WorkerHealth,
        left_ms: int,
    ) -> int:
        """Returns how long a worker may take between two chunks of a stream."""
        if not request.route.retryable or not self._can_fail_over(request):
            return left_ms
        timeout_ms = round(
            max(
                request.route.gap_target_ms,
                FAILOVER_FACTOR * worker_health.typical_gap_ms,
            )
        )
        return min(left_ms, max(MIN_TIMEOUT_MS, timeout_ms))

    def _schedule_suspicion(
        self, worker_id: str, typical_ms: float
    ) -> asyncio.Handle:
        """Suspects a worker if it stays silent for longer than is typical.

        New requests are then sent to other workers. This request fails over
        only later, since a second attempt costs more than a short wait.
        """
        silent_ms = max(MIN_TIMEOUT_MS, SUSPECT_FACTOR * typical_ms)

        def suspect() -> None:
            last_activity_ms = self.deps.worker_health.worker(
                worker_id
            ).last_activity_ms
            if self.deps.clock.now_ms() - last_activity_ms >= silent_ms - 1:
                self.deps.worker_health.suspect(worker_id)

        return asyncio.get_running_loop().call_later(silent_ms / 1000, suspect)

    def _can_fail_over(self, request: RequestState) -> bool:
        """Whether another worker could take over the request now."""
        return (
            request.possible_runs + 1 < request.route.max_attempts
            and self.deps.retry_budget.available(request.service.name)
            and self.deps.selector.can_select(
                request.service,
                request.caller_request.model,
                request.tried_workers,
                FAILOVER_MAX_FILL,
            )
        )


def _stream_start(
    worker_response: worker_client.WorkerResponse,
) -> tuple[int, str]:
    """Returns the status and the media type of a response."""
    stated = worker_response.headers.get("Content-Type", "")
    media_type = stated.partition(";")[0].strip().lower()
    return worker_response.status, media_type or STREAM_MEDIA_TYPE


def latency_key(request: RequestState) -> str:
    """Returns the key for typical latencies: the model or the service."""
    return request.caller_request.model or request.service.name
