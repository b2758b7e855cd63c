"""Admission control: a short weighted fair queue for each service."""

import asyncio
import dataclasses
import heapq
import itertools

import mode

from oleanderbay.process import clock as clocks
from oleanderbay.request import flows, outcome
from oleanderbay.version import resources


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """Limits of the queues.

    Attributes:
        max_queued: Maximum queued requests per service.
        max_selecting: Maximum admitted requests per service that are still
            selecting an upstream; `Slot.mark_selected` ends this state.
        max_in_flight: Maximum admitted requests per service at this entry.
        burst: Credit of a team that has used less than its share: requests,
            weighted by cost and share, that are served ahead of other teams.
            Without it, a team that stays within its share on average still
            queues behind its own bursts.
        step_ms: Interval at which expired requests are refused.
    """

    max_queued: int = 256
    max_selecting: int = 16
    max_in_flight: int = 4_096
    burst: float = 16.0
    step_ms: int = 20


class Slot:
    """The permission of one admitted request to run; must be closed."""

    __slots__ = ("_closed", "_queue", "_selecting", "team")

    def __init__(self, queue: "_ServiceQueue", team: str) -> None:
        self.team = team
        self._queue = queue
        self._selecting = True
        self._closed = False

    def mark_selected(self) -> None:
        """Marks the selection as done, so that the next request may start."""
        if self._selecting:
            self._selecting = False
            self._queue.selecting -= 1
            self._queue.dispatch()

    def close(self) -> None:
        """Releases the slot; further calls do nothing."""
        if self._closed:
            return
        self._closed = True
        if self._selecting:
            self._queue.selecting -= 1
        self._selecting = False
        self._queue.release(self.team)


class _ServiceQueue:
    """Weighted fair queue of one service, with one flow per team.

    Attributes:
        flows: Queued requests by team id.
        finish_tags: Heap of (virtual finish time, tag, team id), one current
            entry per team with queued requests. Entries whose tag is not the
            flow's newest are stale.
        deadlines: Heap of (deadline, sequence, request).
        virtual_time: Virtual time of the newest dispatch.
        queued: Queued requests.
        selecting: Admitted requests that are still selecting an upstream.
        in_flight: Admitted requests.
        dispatch_interval_ms: Moving average of the time between dispatches
            while requests are queued.
    """

    def __init__(self, admission: "Admission") -> None:
        self.admission = admission
        self.flows: dict[str, flows.Flow] = {}
        self.finish_tags: list[tuple[float, int, str]] = []
        self.deadlines: list[tuple[int, int, flows.QueuedRequest]] = []
        self.virtual_time = 0.0
        self.queued = 0
        self.selecting = 0
        self.in_flight = 0
        self.dispatch_interval_ms = 0.0
        self._last_dispatch_ms = -1
        self._sequence = itertools.count()

    def estimate_wait_ms(self, team: resources.Team) -> float:
        """Estimates how long a new request of a team would wait."""
        own_flow = self.flows.get(team.id)
        rounds = ((own_flow.queued_count if own_flow else 0) + 1) / team.share
        ahead = 0.0
        for id, flow in self.flows.items():
            if id != team.id and flow.queued_count:
                share = self.admission.shares[id]
                ahead += min(flow.queued_count, rounds * share)
        return (
            ahead + (own_flow.queued_count if own_flow else 0)
        ) * self.dispatch_interval_ms

    def enqueue(self, request: flows.QueuedRequest) -> None:
        flow = self.flows.setdefault(request.team.id, flows.Flow())
        heapq.heappush(flow.heap, request)
        heapq.heappush(
            self.deadlines,
            (request.deadline_ms, next(self._sequence), request),
        )
        flow.queued_count += 1
        self.queued += 1
        if flow.queued_count == 1:
            # Limits the credit that an idle team accumulates.
            burst = self.admission.settings.burst / request.team.share
            flow.finish_time = max(flow.finish_time, self.virtual_time - burst)
            self._push_finish_tag(request.team.id, flow)

    def remove(self, request: flows.QueuedRequest) -> None:
        if request.is_queued:
            request.is_queued = False
            self.flows[request.team.id].queued_count -= 1
            self.queued -= 1

    def dispatch(self) -> None:
        settings = self.admission.settings
        while (
            self.queued
            and self.selecting < settings.max_selecting
            and self.in_flight < settings.max_in_flight
        ):
            request = self._pop_next()
            if request is None:
                return
            self.remove(request)
            flow = self.flows[request.team.id]
            if request.deadline_ms <= self.admission.clock.now_ms():
                # This request can't finish in time, but later ones may.
                self.admission.refuse_expired(self, request)
            if request.future.done():
                # Refused just now, or cancelled by its caller.
                self.admission.decrement_team_count(request.team.id)
                self._push_finish_tag(request.team.id, flow)
                continue
            self.virtual_time = max(self.virtual_time, flow.finish_time)
            flow.finish_time += request.cost / request.team.share
            self._push_finish_tag(request.team.id, flow)
            self.selecting += 1
            self.in_flight += 1
            self._update_dispatch_interval()
            request.future.set_result(Slot(self, request.team.id))

    def release(self, team: str) -> None:
        self.in_flight -= 1
        self.admission.decrement_team_count(team)
        self.dispatch()

    def choose_eviction(
        self, newcomer: resources.Team
    ) -> flows.QueuedRequest | None:
        """Returns the request to refuse when the queue is full.

        This is the last request of the team with the most queued requests in
        relation to its share, or None if that is the newcomer's own team.
        """
        usage = {
            id: flow.queued_count / self.admission.shares[id]
            for id, flow in self.flows.items()
            if flow.queued_count
        }
        own_flow = self.flows.get(newcomer.id)
        own = ((own_flow.queued_count if own_flow else 0) + 1) / newcomer.share
        heaviest = max(usage, key=lambda id: (usage[id], id), default=None)
        if (
            heaviest is None
            or heaviest == newcomer.id
            or usage[heaviest] <= own
        ):
            return None
        return max(r for r in self.flows[heaviest].heap if r.is_queued)

    def pop_expired(self, now_ms: int) -> list[flows.QueuedRequest]:
        result = []
        while self.deadlines and (
            self.deadlines[0][0] <= now_ms or not self.deadlines[0][2].is_queued
        ):
            request = heapq.heappop(self.deadlines)[2]
            if request.is_queued:
                result.append(request)
        return result

    def _pop_next(self) -> flows.QueuedRequest | None:
        while self.finish_tags:
            _, tag, team = heapq.heappop(self.finish_tags)
            flow = self.flows[team]
            head = flow.peek()
            # The entry is stale if the team's flow was tagged again since,
            # e.g. after it ran empty and got new requests.
            if head is not None and tag == flow.tag:
                return head
        return None

    def _push_finish_tag(self, team: str, flow: flows.Flow) -> None:
        head = flow.peek()
        if head is not None:
            finish = flow.finish_time + head.cost / head.team.share
            flow.tag = next(self._sequence)
            heapq.heappush(self.finish_tags, (finish, flow.tag, team))

    def _update_dispatch_interval(self) -> None:
        now_ms = self.admission.clock.now_ms()
        if self._last_dispatch_ms >= 0 and self.queued:
            gap_ms = min(now_ms - self._last_dispatch_ms, 1_000)
            self.dispatch_interval_ms += (
                gap_ms - self.dispatch_interval_ms
            ) / 16
        self._last_dispatch_ms = now_ms


class Admission(mode.Service):
    """Admits requests to services in weighted fair order, or refuses them.

    Attributes:
        shares: Newest share of each team that has sent a request.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        settings: AdmissionSettings | None = None,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.settings = settings or AdmissionSettings()
        self.shares: dict[str, float] = {}
        self._queues: dict[str, _ServiceQueue] = {}
        self._team_counts: dict[str, int] = {}
        self._sequence = itertools.count()

    async def admit(
        self,
        service: resources.Service,
        team: resources.Team,
        deadline_ms: int,
        priority: int | None = None,
        cost: float = 1.0,
        run_ms: float = 0.0,
    ) -> Slot | outcome.Refusal:
        """Queues a request until it is admitted or refused.

        Args:
            service: The service.
            team: The team that sends the request.
            deadline_ms: Monotonic deadline for the complete response.
            priority: Priority within the team, 0 to 9; default: the team's.
            cost: Cost of the request relative to others.
            run_ms: Expected run time after admission, 0 if unknown.

        Returns:
            A slot that the caller must close, or a refusal with the outcome
            `NOT_RUN`.
        """
        now_ms = self.clock.now_ms()
        self.shares[team.id] = team.share
        queue = self._queues.get(service.id)
        if queue is None:
            queue = self._queues[service.id] = _ServiceQueue(self)
        wait_ms = queue.estimate_wait_ms(team) if queue.queued else 0.0
        if now_ms + wait_ms + run_ms >= deadline_ms:
            return _make_refusal(
                outcome.Reason.DEADLINE,
                "the deadline cannot be met",
                max(1.0, wait_ms),
            )
        count = self._team_counts.get(team.id, 0)
        if team.max_in_flight and count >= team.max_in_flight:
            return _make_refusal(
                outcome.Reason.TEAM_LIMIT,
                f"the team has {count} requests in flight at this entry",
                max(100.0, wait_ms),
                status=429,
            )
        if queue.queued >= self.settings.max_queued:
            evicted = queue.choose_eviction(team)
            if evicted is None:
                return _queue_full_refusal(max(100.0, wait_ms))
            self._refuse_waiting(
                queue, evicted, _queue_full_refusal(max(100.0, wait_ms))
            )
        rank = team.priority if priority is None else priority
        order = (-rank, deadline_ms, next(self._sequence))
        # Latest start time that still meets the deadline.
        start_by_ms = deadline_ms - int(run_ms)
        request = flows.QueuedRequest(team, order, start_by_ms, cost)
        self._team_counts[team.id] = self._team_counts.get(team.id, 0) + 1
        queue.enqueue(request)
        queue.dispatch()
        try:
            return await request.future
        except asyncio.CancelledError:
            self._withdraw(queue, request)
            raise

    def queued(self, service: str) -> int:
        """Returns the number of queued requests of a service."""
        queue = self._queues.get(service)
        return queue.queued if queue else 0

    def in_flight(self, service: str) -> int:
        """Returns the number of open slots of a service."""
        queue = self._queues.get(service)
        return queue.in_flight if queue else 0

    def decrement_team_count(self, team: str) -> None:
        """Removes one request from the count of its team."""
        self._team_counts[team] -= 1
        if not self._team_counts[team]:
            del self._team_counts[team]

    def step(self) -> None:
        """Refuses queued requests whose deadline has passed."""
        now_ms = self.clock.now_ms()
        for queue in self._queues.values():
            for request in queue.pop_expired(now_ms):
                queue.remove(request)
                self.decrement_team_count(request.team.id)
                self.refuse_expired(queue, request)

    def refuse_expired(
        self, queue: _ServiceQueue, request: flows.QueuedRequest
    ) -> None:
        """Refuses a request that was queued past its deadline."""
        if not request.future.done():
            request.future.set_result(
                _make_refusal(
                    outcome.Reason.DEADLINE,
                    "the deadline passed while the request waited",
                    max(1.0, queue.dispatch_interval_ms),
                )
            )

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.step()
            await self.clock.sleep_ms(self.settings.step_ms)

    async def on_stop(self) -> None:
        """Refuses all queued requests."""
        for queue in self._queues.values():
            for flow in queue.flows.values():
                for request in [r for r in flow.heap if r.is_queued]:
                    self._refuse_waiting(
                        queue,
                        request,
                        _make_refusal(
                            outcome.Reason.LEAVING, "the entry stops", 100.0
                        ),
                    )

    def _refuse_waiting(
        self,
        queue: _ServiceQueue,
        request: flows.QueuedRequest,
        refusal: outcome.Refusal,
    ) -> None:
        queue.remove(request)
        self.decrement_team_count(request.team.id)
        if not request.future.done():
            request.future.set_result(refusal)

    def _withdraw(
        self, queue: _ServiceQueue, request: flows.QueuedRequest
    ) -> None:
        if request.is_queued:
            queue.remove(request)
            self.decrement_team_count(request.team.id)
        elif request.future.done() and not request.future.cancelled():
            # The slot was granted in the same iteration of the event loop in
            # which the caller was cancelled, so nobody else closes it.
            slot = request.future.result()
            if isinstance(slot, Slot):
                slot.close()


def _make_refusal(
    reason: outcome.Reason, message: str, retry_ms: float, status: int = 503
) -> outcome.Refusal:
    return outcome.Refusal(
        reason=reason,
        outcome=outcome.Outcome.NOT_RUN,
        message=message,
        retry_after_ms=int(retry_ms),
        status=status,
    )


def _queue_full_refusal(retry_ms: float) -> outcome.Refusal:
    return _make_refusal(
        outcome.Reason.QUEUE_FULL, "the queue is full", retry_ms
    )
