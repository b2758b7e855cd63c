"""One attempt of a request at one worker."""

import asyncio
import dataclasses

from oleanderbay.gateway import (
    budget,
    event_stream,
    health,
    interfaces,
    response,
    selection,
    table,
    worker_client,
    workers,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

# A request moves only to a worker that is filled less than this.
FAILOVER_MAX_FILL = 0.7
# Statuses that promise a caller that its request did not run. A worker's own
# answer makes no such promise unless it says so.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Factors on the usual time after which a silent worker gets no new requests,
# and after which a request moves to another one. An answer that moves is late
# in any case, so it moves only when the wait would be longer than a new start.
SUSPECT_FACTOR = 1.8
FAILOVER_FACTOR = 2.5
MIN_TIMEOUT_MS = 150
# A first event that has missed the target may take this multiple of it; right
# after a start the usual time is not known yet, and all workers are full.
FIRST_EVENT_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class RequestState:
    """The state of one request.

    Attributes:
        call: The request.
        route: Its route.
        service: The service that it goes to.
        team: The team that calls.
        deadline_ms: Monotonic time of the final answer at the latest.
        last_event_id: Id of the last event that was passed on.
        possible_runs: Attempts that may have run.
        possible_arrivals: Attempts that may have arrived at a worker.
        refusals: Attempts that a worker refused as not run.
        tried_workers: Workers that have had the request.
        may_have_run: Whether it may have run anywhere.
    """

    call: interfaces.CallerRequest
    route: table.Route
    service: table.Service
    team: table.Team | None
    deadline_ms: int
    last_event_id: int = -1
    possible_runs: int = 0
    possible_arrivals: int = 0
    refusals: int = 0
    tried_workers: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False

    @property
    def elapsed_before_ms(self) -> int:
        """Time that the caller had used before this attempt.

        A caller that comes back after a refusal states a deadline that is
        shorter by the time since its first attempt.
        """
        patience_ms = self.deadline_ms - self.call.arrived_ms
        return max(0, self.route.timeout_ms - patience_ms)

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first."""
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dependencies:
    """What an attempt uses."""

    selector: selection.WorkerSelector
    worker_health: health.HealthTracker
    retry_budget: budget.RetryBudget
    sender: worker_client.Sender
    translator: interfaces.Translator
    clock: clocks.Clock
    max_answer_bytes: int
    max_event_bytes: int
    telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED


class AttemptRunner:
    """Sends requests to workers and passes their answers on."""

    def __init__(self, deps: Dependencies) -> None:
        self.deps = deps

    async def run(
        self,
        run: RequestState,
        worker: workers.Worker,
        sink: response.ResponseSink,
    ) -> response.FailedAttempt | None:
        """Sends a request to one worker and passes its answer on."""
        deps = self.deps
        left_ms = run.deadline_ms - deps.clock.now_ms()
        if left_ms <= 0:
            return response.FailedAttempt(
                "no time is left", may_have_run=False, may_have_arrived=False
            )
        headers = deps.translator.request_headers(
            run.call,
            worker,
            run.team,
            left_ms,
            None,
            run.last_event_id,
        )
        deps.telemetry.inject_trace_context(headers)
        limit_ms = self._first_limit_ms(run, left_ms)
        ran_before, run.may_have_run = run.may_have_run, True
        usual_ms = deps.worker_health.typical_first_byte_ms.get(
            latency_key(run), run.route.latency_target_ms
        )
        sent_ms = deps.clock.now_ms()
        # One slow call of a plain service says nothing about its worker; a
        # group writes all of its streams at the same pace.
        handle = (
            self._suspect_after(worker.id, usual_ms)
            if run.service.engine is not None
            else None
        )
        try:
            # A repeat never meets a second idle connection that ends.
            exchange = await deps.sender.open(
                worker,
                run.call,
                headers,
                limit_ms,
                reuse=run.route.retryable and run.possible_arrivals == 0,
            )
        except worker_client.AttemptError as error:
            run.may_have_run = ran_before or error.sent
            self._record_failure(run, worker, error)
            return response.FailedAttempt(
                str(error),
                may_have_run=error.sent,
                may_have_arrived=error.sent,
                stale_connection=error.stale,
            )
        finally:
            if handle is not None:
                handle.cancel()
        deps.worker_health.record_first_byte(
            latency_key(run), deps.clock.now_ms() - sent_ms
        )
        keep = False
        try:
            failed = await self._answer(run, worker, exchange, sink)
            keep = failed is None and self._belongs(run, worker, exchange)
        except worker_client.AttemptError as error:
            self._record_failure(run, worker, error)
            failed = response.FailedAttempt(
                str(error), may_have_run=True, may_have_arrived=True
            )
        except event_stream.EventError as error:
            deps.worker_health.record_failure(worker.id)
            failed = response.FailedAttempt(
                str(error), may_have_run=True, may_have_arrived=True
            )
        finally:
            exchange.close(keep)
        if failed is not None and not failed.may_have_run:
            run.may_have_run = ran_before
        return failed

    def _record_failure(
        self,
        run: RequestState,
        worker: workers.Worker,
        error: worker_client.AttemptError,
    ) -> None:
        silent = error.silent and run.service.engine is not None
        if not error.sent or error.unreachable or silent:
            self.deps.worker_health.suspect(worker.id)
        elif not error.stale:
            self.deps.worker_health.record_failure(worker.id)

    def _suspect_member(
        self, head: workers.Worker, exchange: worker_client.Exchange
    ) -> None:
        """Suspects the member of a group that its head says is at fault.

        The head is suspected too: choices go by the heads of groups.
        """
        member_id = self.deps.translator.failed_worker_id(exchange.headers)
        known = self.deps.selector.known
        member = known.workers.get(member_id) or known.missing_members.get(
            member_id
        )
        ours = head.membership
        theirs = member.membership if member is not None else None
        if (
            ours is None
            or theirs is None
            or (ours.group, ours.epoch) != (theirs.group, theirs.epoch)
        ):
            return
        self.deps.worker_health.suspect(member_id)
        self.deps.worker_health.suspect(head.id)

    def _belongs(
        self,
        run: RequestState,
        worker: workers.Worker,
        exchange: worker_client.Exchange,
    ) -> bool:
        """Whether an answer names this request and no other worker."""
        found = self.deps.translator.response_origin(exchange.headers)
        # A connection leads to one worker, and a worker may not name itself.
        return found.request_id == run.call.id and (
            found.worker_id in ("", worker.id)
        )

    async def _answer(
        self,
        run: RequestState,
        worker: workers.Worker,
        exchange: worker_client.Exchange,
        sink: response.ResponseSink,
    ) -> response.FailedAttempt | None:
        deps = self.deps
        deps.worker_health.record_activity(worker.id)
        if exchange.status == 503:
            self._suspect_member(worker, exchange)
        # What a worker sent before the request came must not answer it.
        if exchange.reused and not self._belongs(run, worker, exchange):
            return response.FailedAttempt(
                "the answer does not name the request",
                may_have_run=True,
                may_have_arrived=True,
                stale_connection=True,
            )
        verdict = deps.translator.classify_response(
            run.call, exchange.status, exchange.headers
        )
        if verdict is interfaces.ResponseClass.NOT_RUN:
            return response.FailedAttempt(
                "the worker refused", may_have_run=False, may_have_arrived=True
            )
        if verdict is interfaces.ResponseClass.OTHER_WORKER:
            deps.worker_health.suspect(worker.id)
            return response.FailedAttempt(
                "another worker answered",
                may_have_run=False,
                may_have_arrived=True,
            )
        if verdict is interfaces.ResponseClass.UNUSABLE:
            deps.worker_health.record_failure(worker.id)
            return response.FailedAttempt(
                "the answer is unusable",
                may_have_run=True,
                may_have_arrived=True,
            )
        left_ms = max(1, run.deadline_ms - deps.clock.now_ms())
        if verdict is interfaces.ResponseClass.FAILURE:
            whole = await self._whole(exchange, left_ms)
            if exchange.status >= 500 or exchange.status in NOT_RUN_STATUSES:
                deps.worker_health.record_failure(worker.id)
                return response.FailedAttempt(
                    f"status {exchange.status}", True, True, whole
                )
            await sink.send_complete(whole.status, whole.headers, whole.body)
            return None
        if run.route.kind is table.RouteKind.STREAM:
            await self._stream(run, worker, exchange, sink)
            return None
        whole = await self._whole(exchange, left_ms)
        deps.worker_health.record_success(worker.id)
        await sink.send_complete(whole.status, whole.headers, whole.body)
        return None

    async def _whole(
        self, exchange: worker_client.Exchange, limit_ms: int
    ) -> response.Response:
        body = await exchange.whole(limit_ms, self.deps.max_answer_bytes)
        return response.Response(
            exchange.status,
            self.deps.translator.response_headers(exchange.headers),
            body,
        )

    async def _stream(
        self,
        run: RequestState,
        worker: workers.Worker,
        exchange: worker_client.Exchange,
        sink: response.ResponseSink,
    ) -> None:
        """Passes whole events on as they come."""
        deps = self.deps
        reader = event_stream.EventReader(
            run.last_event_id, deps.max_event_bytes
        )
        evidence = deps.worker_health.worker(worker.id)
        before_ms = deps.clock.now_ms()
        begun = False
        if sink.started:
            deps.telemetry.count_resumed_stream(run.service.name)
        while True:
            left_ms = max(1, run.deadline_ms - deps.clock.now_ms())
            limit_ms = (
                self._gap_limit_ms(run, evidence, left_ms)
                if begun
                else self._first_limit_ms(run, left_ms)
            )
            handle = self._suspect_after(
                worker.id, evidence.typical_gap_ms or run.route.gap_target_ms
            )
            try:
                data = await exchange.read(limit_ms)
            finally:
                handle.cancel()
            now_ms = deps.clock.now_ms()
            deps.worker_health.record_activity(worker.id)
            if begun:
                deps.worker_health.record_event_gap(
                    worker.id, now_ms - before_ms
                )
            before_ms = now_ms
            if not data:
                break
            whole = reader.feed(data)
            if not whole:
                continue
            begun = True
            if not sink.started:
                deps.telemetry.record_first_event(
                    run.service.name, now_ms - run.call.arrived_ms
                )
                await self._head(exchange, sink)
            await sink.write(b"".join(event.data for event in whole))
            run.last_event_id = reader.last_id
        if reader.partial:
            raise event_stream.EventError("the stream ends inside an event")
        if not sink.started:
            await self._head(exchange, sink)
        deps.worker_health.record_success(worker.id)
        await sink.end()

    async def _head(
        self, exchange: worker_client.Exchange, sink: response.ResponseSink
    ) -> None:
        await sink.begin(
            exchange.status,
            self.deps.translator.response_headers(exchange.headers),
        )

    def _first_limit_ms(self, run: RequestState, left_ms: int) -> int:
        """Returns how long a worker may take to begin its answer."""
        if not run.route.retryable or not self._other_chance(run):
            return left_ms
        usual_ms = self.deps.worker_health.typical_first_byte_ms.get(
            latency_key(run), 0.0
        )
        return min(
            left_ms,
            round(
                max(
                    FIRST_EVENT_FACTOR * run.route.latency_target_ms,
                    FAILOVER_FACTOR * usual_ms,
                )
            ),
        )

    def _gap_limit_ms(
        self, run: RequestState, evidence: health.WorkerHealth, left_ms: int
    ) -> int:
        """Returns how long a stream may pause."""
        if not run.route.retryable or not self._other_chance(run):
            return left_ms
        limit_ms = round(
            max(
                run.route.gap_target_ms,
                FAILOVER_FACTOR * evidence.typical_gap_ms,
            )
        )
        return min(left_ms, max(MIN_TIMEOUT_MS, limit_ms))

    def _suspect_after(self, worker_id: str, usual_ms: float) -> asyncio.Handle:
        """Suspects a worker that stays silent for longer than usual.

        New requests go elsewhere then; this one moves only later, since a
        second attempt costs more than a short wait.
        """
        silent_ms = max(MIN_TIMEOUT_MS, SUSPECT_FACTOR * usual_ms)

        def suspect() -> None:
            last_activity_ms = self.deps.worker_health.worker(
                worker_id
            ).last_activity_ms
            if self.deps.clock.now_ms() - last_activity_ms >= silent_ms - 1:
                self.deps.worker_health.suspect(worker_id)

        return asyncio.get_running_loop().call_later(silent_ms / 1000, suspect)

    def _other_chance(self, run: RequestState) -> bool:
        """Whether the request could go to another worker now."""
        return (
            run.possible_runs + 1 < run.route.max_attempts
            and self.deps.retry_budget.available(run.service.name)
            and self.deps.selector.can_select(
                run.service,
                run.call.model,
                run.tried_workers,
                FAILOVER_MAX_FILL,
            )
        )


def latency_key(run: RequestState) -> str:
    """Returns the model of a request, or its service if it has none."""
    return run.call.model or run.service.name
