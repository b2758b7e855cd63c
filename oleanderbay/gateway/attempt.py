"""One attempt of a request at one worker."""

import asyncio
import dataclasses

from oleanderbay.gateway import (
    answer,
    budget,
    choice,
    events,
    health,
    interfaces,
    sending,
    table,
    workers,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

# A request moves only to a worker that is filled less than this.
MOVE_FILL = 0.7
# Statuses that promise a caller that its request did not run. A worker's own
# answer makes no such promise unless it says so.
PROMISES = frozenset((408, 421, 429, 503))
# Factors on the usual time after which a silent worker gets no new requests,
# and after which a request moves to another one. An answer that moves is late
# in any case, so it moves only when the wait would be longer than a new start.
SUSPECT_FACTOR = 1.8
MOVE_FACTOR = 2.5
SHORTEST_LIMIT_MS = 150
# A first event that has missed the target may take this multiple of it; right
# after a start the usual time is not known yet, and all workers are full.
LATE_FACTOR = 1.5


@dataclasses.dataclass(slots=True)
class Run:
    """The state of one request.

    Attributes:
        call: The request.
        route: Its route.
        service: The service that it goes to.
        team: The team that calls.
        deadline_ms: Monotonic time of the final answer at the latest.
        last_id: Id of the last event that was passed on.
        runs: Attempts that may have run.
        arrivals: Attempts that may have arrived at a worker.
        refusals: Attempts that a worker refused as not run.
        tried: Workers that have had the request.
        may_have_run: Whether it may have run anywhere.
    """

    call: interfaces.CallerRequest
    route: table.Route
    service: table.Service
    team: table.Team | None
    deadline_ms: int
    last_id: int = -1
    runs: int = 0
    arrivals: int = 0
    refusals: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False

    @property
    def spent_ms(self) -> int:
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
class Parts:
    """What an attempt uses."""

    choices: choice.Choice
    evidence: health.Health
    retries: budget.RetryBudget
    sender: sending.Sender
    translator: interfaces.Translator
    clock: clocks.Clock
    max_answer_bytes: int
    max_event_bytes: int
    telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED


class Attempts:
    """Sends requests to workers and passes their answers on."""

    def __init__(self, parts: Parts) -> None:
        self.parts = parts

    async def run(
        self, run: Run, worker: workers.Worker, sink: answer.Sink
    ) -> answer.Failed | None:
        """Sends a request to one worker and passes its answer on."""
        parts = self.parts
        left_ms = run.deadline_ms - parts.clock.now_ms()
        if left_ms <= 0:
            return answer.Failed("no time is left", ran=False, arrived=False)
        headers = parts.translator.request_headers(
            run.call,
            worker,
            run.team,
            left_ms,
            None,
            run.last_id,
        )
        parts.telemetry.inject_trace_context(headers)
        limit_ms = self._first_limit_ms(run, left_ms)
        ran_before, run.may_have_run = run.may_have_run, True
        usual_ms = parts.evidence.first_ms.get(label(run), run.route.target_ms)
        sent_ms = parts.clock.now_ms()
        # One slow call of a plain service says nothing about its worker; a
        # group writes all of its streams at the same pace.
        handle = (
            self._suspect_after(worker.id, usual_ms)
            if run.service.engine is not None
            else None
        )
        try:
            # A repeat never meets a second idle connection that ends.
            exchange = await parts.sender.open(
                worker,
                run.call,
                headers,
                limit_ms,
                reuse=run.route.repeatable and run.arrivals == 0,
            )
        except sending.AttemptError as error:
            run.may_have_run = ran_before or error.sent
            self._record_failure(run, worker, error)
            return answer.Failed(
                str(error),
                ran=error.sent,
                arrived=error.sent,
                stale=error.stale,
            )
        finally:
            if handle is not None:
                handle.cancel()
        parts.evidence.first(label(run), parts.clock.now_ms() - sent_ms)
        keep = False
        try:
            failed = await self._answer(run, worker, exchange, sink)
            keep = failed is None and self._belongs(run, worker, exchange)
        except sending.AttemptError as error:
            self._record_failure(run, worker, error)
            failed = answer.Failed(str(error), ran=True, arrived=True)
        except events.EventError as error:
            parts.evidence.failed(worker.id)
            failed = answer.Failed(str(error), ran=True, arrived=True)
        finally:
            exchange.close(keep)
        if failed is not None and not failed.ran:
            run.may_have_run = ran_before
        return failed

    def _record_failure(
        self, run: Run, worker: workers.Worker, error: sending.AttemptError
    ) -> None:
        silent = error.silent and run.service.engine is not None
        if not error.sent or error.unreachable or silent:
            self.parts.evidence.suspect(worker.id)
        elif not error.stale:
            self.parts.evidence.failed(worker.id)

    def _suspect_member(
        self, head: workers.Worker, exchange: sending.Exchange
    ) -> None:
        """Suspects the member of a group that its head says is at fault.

        The head is suspected too: choices go by the heads of groups.
        """
        member_id = self.parts.translator.failed_worker_id(exchange.headers)
        known = self.parts.choices.known
        member = known.workers.get(member_id) or known.absent.get(member_id)
        ours = head.membership
        theirs = member.membership if member is not None else None
        if (
            ours is None
            or theirs is None
            or (ours.group, ours.epoch) != (theirs.group, theirs.epoch)
        ):
            return
        self.parts.evidence.suspect(member_id)
        self.parts.evidence.suspect(head.id)

    def _belongs(
        self, run: Run, worker: workers.Worker, exchange: sending.Exchange
    ) -> bool:
        """Whether an answer names this request and no other worker."""
        found = self.parts.translator.response_origin(exchange.headers)
        # A connection leads to one worker, and a worker may not name itself.
        return found.request_id == run.call.id and (
            found.worker_id in ("", worker.id)
        )

    async def _answer(
        self,
        run: Run,
        worker: workers.Worker,
        exchange: sending.Exchange,
        sink: answer.Sink,
    ) -> answer.Failed | None:
        parts = self.parts
        parts.evidence.heard(worker.id)
        if exchange.status == 503:
            self._suspect_member(worker, exchange)
        # What a worker sent before the request came must not answer it.
        if exchange.reused and not self._belongs(run, worker, exchange):
            return answer.Failed(
                "the answer does not name the request",
                ran=True,
                arrived=True,
                stale=True,
            )
        verdict = parts.translator.classify_response(
            run.call, exchange.status, exchange.headers
        )
        if verdict is interfaces.ResponseClass.NOT_RUN:
            return answer.Failed("the worker refused", ran=False, arrived=True)
        if verdict is interfaces.ResponseClass.OTHER_WORKER:
            parts.evidence.suspect(worker.id)
            return answer.Failed(
                "another worker answered", ran=False, arrived=True
            )
        if verdict is interfaces.ResponseClass.UNUSABLE:
            parts.evidence.failed(worker.id)
            return answer.Failed(
                "the answer is unusable", ran=True, arrived=True
            )
        left_ms = max(1, run.deadline_ms - parts.clock.now_ms())
        if verdict is interfaces.ResponseClass.FAILURE:
            whole = await self._whole(exchange, left_ms)
            if exchange.status >= 500 or exchange.status in PROMISES:
                parts.evidence.failed(worker.id)
                return answer.Failed(
                    f"status {exchange.status}", True, True, whole
                )
            await sink.whole(whole.status, whole.headers, whole.body)
            return None
        if run.route.kind is table.Kind.STREAM:
            await self._stream(run, worker, exchange, sink)
            return None
        whole = await self._whole(exchange, left_ms)
        parts.evidence.succeeded(worker.id)
        await sink.whole(whole.status, whole.headers, whole.body)
        return None

    async def _whole(
        self, exchange: sending.Exchange, limit_ms: int
    ) -> answer.Answer:
        body = await exchange.whole(limit_ms, self.parts.max_answer_bytes)
        return answer.Answer(
            exchange.status,
            self.parts.translator.response_headers(exchange.headers),
            body,
        )

    async def _stream(
        self,
        run: Run,
        worker: workers.Worker,
        exchange: sending.Exchange,
        sink: answer.Sink,
    ) -> None:
        """Passes whole events on as they come."""
        parts = self.parts
        reader = events.EventReader(run.last_id, parts.max_event_bytes)
        evidence = parts.evidence.of(worker.id)
        before_ms = parts.clock.now_ms()
        begun = False
        if sink.started:
            parts.telemetry.count_resumed_stream(run.service.name)
        while True:
            left_ms = max(1, run.deadline_ms - parts.clock.now_ms())
            limit_ms = (
                self._gap_limit_ms(run, evidence, left_ms)
                if begun
                else self._first_limit_ms(run, left_ms)
            )
            handle = self._suspect_after(
                worker.id, evidence.gap_ms or run.route.gap_ms
            )
            try:
                data = await exchange.read(limit_ms)
            finally:
                handle.cancel()
            now_ms = parts.clock.now_ms()
            parts.evidence.heard(worker.id)
            if begun:
                parts.evidence.gap(worker.id, now_ms - before_ms)
            before_ms = now_ms
            if not data:
                break
            whole = reader.feed(data)
            if not whole:
                continue
            begun = True
            if not sink.started:
                parts.telemetry.record_first_event(
                    run.service.name, now_ms - run.call.arrived_ms
                )
                await self._head(exchange, sink)
            await sink.write(b"".join(event.data for event in whole))
            run.last_id = reader.last_id
        if reader.partial:
            raise events.EventError("the stream ends inside an event")
        if not sink.started:
            await self._head(exchange, sink)
        parts.evidence.succeeded(worker.id)
        await sink.end()

    async def _head(
        self, exchange: sending.Exchange, sink: answer.Sink
    ) -> None:
        await sink.begin(
            exchange.status,
            self.parts.translator.response_headers(exchange.headers),
        )

    def _first_limit_ms(self, run: Run, left_ms: int) -> int:
        """Returns how long a worker may take to begin its answer."""
        if not run.route.repeatable or not self._other_chance(run):
            return left_ms
        usual_ms = self.parts.evidence.first_ms.get(label(run), 0.0)
        return min(
            left_ms,
            round(
                max(LATE_FACTOR * run.route.target_ms, MOVE_FACTOR * usual_ms)
            ),
        )

    def _gap_limit_ms(
        self, run: Run, evidence: health.Evidence, left_ms: int
    ) -> int:
        """Returns how long a stream may pause."""
        if not run.route.repeatable or not self._other_chance(run):
            return left_ms
        limit_ms = round(max(run.route.gap_ms, MOVE_FACTOR * evidence.gap_ms))
        return min(left_ms, max(SHORTEST_LIMIT_MS, limit_ms))

    def _suspect_after(self, worker_id: str, usual_ms: float) -> asyncio.Handle:
        """Suspects a worker that stays silent for longer than usual.

        New requests go elsewhere then; this one moves only later, since a
        second attempt costs more than a short wait.
        """
        silent_ms = max(SHORTEST_LIMIT_MS, SUSPECT_FACTOR * usual_ms)

        def suspect() -> None:
            heard_ms = self.parts.evidence.of(worker_id).heard_ms
            if self.parts.clock.now_ms() - heard_ms >= silent_ms - 1:
                self.parts.evidence.suspect(worker_id)

        return asyncio.get_running_loop().call_later(silent_ms / 1000, suspect)

    def _other_chance(self, run: Run) -> bool:
        """Whether the request could go to another worker now."""
        return (
            run.runs + 1 < run.route.max_attempts
            and self.parts.retries.available(run.service.name)
            and self.parts.choices.possible(
                run.service, run.call.model, run.tried, MOVE_FILL
            )
        )


def label(run: Run) -> str:
    """Returns the model of a request, or its service if it has none."""
    return run.call.model or run.service.name
