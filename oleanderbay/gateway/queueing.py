"""Queues of requests that wait for a slot at a worker."""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Collection

from oleanderbay.gateway import fairness, forecast, selection, table, workers
from oleanderbay.process import clock as clocks

# The load that peer gateways cause falls without a notification, so waiting
# requests check for free slots this often.
POLL_INTERVAL_MS = 25
# Priority of a request that a worker may already have started; it precedes all
# others.
STARTED_PRIORITY = -1
# Forecasts are inexact, and a worker may queue a request for a moment. A
# request waits only if it would be on time even if the wait were longer by this
# factor. The factor is larger once a refusal is no longer free.
ADMISSION_MARGIN = 1.5
COMMIT_MARGIN = 2.0
# A slot that was assigned longer ago is assigned anew: the process was paused,
# and the worker may have become cold, full or unavailable since.
MAX_ASSIGNMENT_MS = 500


@dataclasses.dataclass(eq=False, slots=True)
class QueuedRequest:
    """One request in the queue.

    Attributes:
        service: The service that the request goes to.
        model: Its model; empty for a plain service.
        tried: Ids of workers that the request was already sent to.
        priority: 0 is the most urgent; `STARTED_PRIORITY` precedes it.
        team: Name of the team; empty if there is none.
        free_refusal_until_ms: Monotonic time until which a refusal is free.
        wait_until_ms: Monotonic time at which the wait ends.
        committed: Whether the request stays in the queue although a refusal
            is no longer free.
        promotion_ms: Monotonic time from which a committed request precedes
            other priorities.
        result: Result of the wait; None while the request waits.
        done: Set when the wait ends.
        finished_ms: Time at which the wait ended, on the clock that includes
            suspension.
    """

    service: table.Service
    model: str
    tried: Collection[str]
    priority: int
    team: str
    free_refusal_until_ms: int
    wait_until_ms: int
    committed: bool = False
    promotion_ms: int = 0
    result: workers.Worker | selection.NoWorker | None = None
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    finished_ms: int = 0


class _Queue:
    """The queued requests of one service and model."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.fairness = fairness.FairScheduler(clock)
        self.forecast = forecast.WaitForecast()
        self.requests: list[QueuedRequest] = []
        # A retried request may not use the workers that it was already sent
        # to, so it is kept apart and does not block the requests behind it.
        self.retried: list[QueuedRequest] = []
        self.dispatched_ms = clock.now_ms()

    def by_turn(self, priority: int) -> list[QueuedRequest]:
        """Returns the requests of a priority in the order of their service."""
        counts: collections.Counter[str] = collections.Counter()
        turns: list[tuple[bool, float, int]] = []
        for position, request in enumerate(self.requests):
            if request.priority != priority:
                continue
            team = request.team
            start = self.fairness.start_time(team)
            start += counts[team] / self.fairness.weight(team)
            counts[team] += 1
            turns.append((not request.committed, start, position))
        return [self.requests[position] for _, _, position in sorted(turns)]

    def next(self, now_ms: int) -> QueuedRequest:
        """Returns the request that gets the next free slot."""
        priorities = {request.priority for request in self.requests}
        if STARTED_PRIORITY in priorities:
            return self.by_turn(STARTED_PRIORITY)[0]
        due = [
            w for w in self.requests if w.committed and now_ms >= w.promotion_ms
        ]
        if due:
            return min(due, key=lambda request: request.wait_until_ms)
        return self.by_turn(self.fairness.next_priority(priorities))[0]

    def slots_until_turn(self, request: QueuedRequest) -> float:
        """Returns how many slots must become free until a request gets one."""
        same = self.by_turn(request.priority)
        turn = same.index(request) + 1
        if turn == 1 and self.fairness.is_underserved(request.priority):
            return 1.0
        urgent = sum(w.priority < request.priority for w in self.requests)
        # More urgent requests will arrive while this one waits.
        return max(
            float(urgent + turn),
            turn / self.fairness.available_share(request.priority),
        )


class RequestQueues:
    """Queues requests until a worker has a free slot."""

    def __init__(
        self, selector: selection.WorkerSelector, clock: clocks.Clock
    ) -> None:
        self.selector = selector
        self.clock = clock
        self._queues: dict[tuple[str, str], _Queue] = {}
        self._closed = False

    def close(self) -> None:
        """Refuses all waiting requests, and later ones that would wait."""
        self._closed = True
        for queue in self._queues.values():
            for request in (*queue.retried, *queue.requests):
                self._finish(queue, request, selection.NoWorker.ALL_FULL)

    async def acquire_worker(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        priority: int,
        wait_until_ms: int,
        *,
        team: str = "",
        free_refusal_until_ms: int | None = None,
    ) -> workers.Worker | selection.NoWorker:
        """Waits for a slot at a worker.

        Args:
            service: The service that the request goes to.
            model: Its model; empty for a plain service.
            tried: Ids of workers that the request was already sent to.
            priority: 0 is the most urgent; `STARTED_PRIORITY` precedes it.
            wait_until_ms: Monotonic time at which the wait ends.
            team: Name of the team; empty if there is none.
            free_refusal_until_ms: Monotonic time until which a refusal is
                free; by default the request waits until `wait_until_ms`.
        """
        request = QueuedRequest(
            service,
            model,
            tried,
            priority,
            team,
            wait_until_ms
            if free_refusal_until_ms is None
            else free_refusal_until_ms,
            wait_until_ms,
        )
        self.enqueue(request)
        returned = False
        try:
            while request.result is None:
                left_ms = max(1, wait_until_ms - self.clock.now_ms())
                try:
                    async with asyncio.timeout(
                        min(left_ms, POLL_INTERVAL_MS) / 1000
                    ):
                        await request.done.wait()
                except TimeoutError:
                    self.poll(service.name, model)
            if self.clock.boot_ms() - request.finished_ms > MAX_ASSIGNMENT_MS:
                self._assign_again(request)
            returned = True
            return request.result
        finally:
            self.release(request)
            if not returned:
                # The cancelled request may have been given a slot.
                self.dispatch(service.name, model)

    def _assign_again(self, request: QueuedRequest) -> None:
        """Replaces a result that has become old by a new one."""
        self.release(request)
        request.result = self.selector.select(
            request.service, request.model, request.tried
        )
        if isinstance(request.result, workers.Worker):
            self.selector.loads.record_start(request.result.id)

    def enqueue(self, request: QueuedRequest) -> None:
        """Adds a request; it may get a slot or be refused immediately.

        A slot counts as load from its assignment until `release` is called.
        """
        queue = self._queue(request.service.name, request.model)
        if request.priority != STARTED_PRIORITY:
            queue.fairness.record_arrival(request.priority, request.team)
        if request.tried:
            # Requests that may have started precede other retried requests.
            queue.retried.append(request)
            queue.retried.sort(key=lambda each: each.priority)
        else:
            queue.requests.append(request)
        unavailable = self._dispatch(queue)
        # The forecast covers full workers only, not the time until a worker
        # becomes able to serve.
        if request.result is None and (
            self._closed
            or (
                unavailable is selection.NoWorker.ALL_FULL
                and self._would_be_late(queue, request, ADMISSION_MARGIN)
            )
        ):
            self._finish(queue, request, selection.NoWorker.ALL_FULL)

    def release(self, request: QueuedRequest) -> None:
        """Ends a wait, or releases the slot that the request was given."""
        queue = self._queue(request.service.name, request.model)
        if request.result is None:
            self._finish(queue, request, selection.NoWorker.ALL_FULL)
        elif isinstance(request.result, workers.Worker):
            self.selector.loads.record_end(request.result.id)

    def dispatch(self, service: str, model: str) -> None:
        """Assigns free slots to waiting requests."""
        self._dispatch(self._queue(service, model))

    def poll(self, service: str, model: str) -> None:
        """Dispatches unless that has just been done; any waiter may call it."""
        queue = self._queue(service, model)
        if self.clock.now_ms() - queue.dispatched_ms >= POLL_INTERVAL_MS // 2:
            self._dispatch(queue)

    def record_slot_time(self, service: str, model: str, held_ms: int) -> None:
        """Records how long an answered request held its slot."""
        self._queue(service, model).forecast.record_slot_time(held_ms)

    def forecast_wait_ms(
        self, service: table.Service, model: str, priority: int
    ) -> float:
        """Forecasts how long a new request would wait for a slot."""
        queue = self._queue(service.name, model)
        ahead = sum(request.priority <= priority for request in queue.requests)
        return self._forecast_wait_ms(queue, service, model, ahead + 1)

    def _queue(self, service: str, model: str) -> _Queue:
        queue = self._queues.get((service, model))
        if queue is None:
            self._drop_unused()
            queue = self._queues[service, model] = _Queue(self.clock)
        return queue

    def _drop_unused(self) -> None:
        """Drops empty queues of models that are no longer configured."""
        current = self.selector.gateway_state.table
        if current is None:
            return
        for key, queue in tuple(self._queues.items()):
            service = current.services.get(key[0])
            if not (queue.requests or queue.retried) and (
                service is None or not service.has_model(key[1])
            ):
                del self._queues[key]

    def _dispatch(self, queue: _Queue) -> selection.NoWorker:
        """Assigns free slots; returns why there are no more."""
        queue.dispatched_ms = self.clock.now_ms()
        unavailable = selection.NoWorker.ALL_FULL
        for request in tuple(queue.retried):
            found = self._try_assign(queue, request)
            if isinstance(found, selection.NoWorker):
                self._expire_or_commit(queue, request, found)
        while queue.requests:
            found = self._try_assign(queue, queue.next(self.clock.now_ms()))
            if isinstance(found, selection.NoWorker):
                unavailable = found
                break
        for request in tuple(queue.requests):
            self._expire_or_commit(queue, request, unavailable)
        return unavailable

    def _try_assign(
        self, queue: _Queue, request: QueuedRequest
    ) -> workers.Worker | selection.NoWorker:
        found = self.selector.select(
            request.service, request.model, request.tried
        )
        if isinstance(found, workers.Worker):
            # Counts as load until the request is sent, so that no other request
            # gets the slot in the meantime.
            self.selector.loads.record_start(found.id)
            if request.priority != STARTED_PRIORITY:
                queue.fairness.record_grant(request.priority, request.team)
            self._finish(queue, request, found)
        return found

    def _expire_or_commit(
        self,
        queue: _Queue,
        request: QueuedRequest,
        unavailable: selection.NoWorker,
    ) -> None:
        now_ms = self.clock.now_ms()
        if now_ms >= self._latest_send_ms(queue, request):
            self._finish(queue, request, unavailable)
        elif now_ms >= request.free_refusal_until_ms and not request.committed:
            if (
                unavailable is selection.NoWorker.NONE_ELIGIBLE
                or self._would_be_late(queue, request, COMMIT_MARGIN)
            ):
                self._finish(queue, request, unavailable)
            else:
                request.committed = True
                # More urgent requests that arrive later must not make it late.
                request.promotion_ms = (now_ms + request.wait_until_ms) // 2

    def _would_be_late(
        self, queue: _Queue, request: QueuedRequest, margin: float
    ) -> bool:
        """Whether a request is unlikely to get a slot in time."""
        if request.priority == STARTED_PRIORITY or request.tried:
            return False
        now_ms = self.clock.now_ms()
        if not queue.forecast.mean_slot_time_ms:
            # Without a forecast, a request waits while a refusal is free.
            return now_ms >= request.free_refusal_until_ms
        wait_ms = self._forecast_wait_ms(
            queue,
            request.service,
            request.model,
            queue.slots_until_turn(request),
        )
        return margin * wait_ms > self._latest_send_ms(queue, request) - now_ms

    def _latest_send_ms(self, queue: _Queue, request: QueuedRequest) -> float:
        """Returns the latest time at which a request can be sent on time.

        A full worker first runs the requests that it has queued beyond its
        slots.
        """
        engine = request.service.engine
        if (
            request.priority == STARTED_PRIORITY
            or request.tried
            or engine is None
        ):
            return request.wait_until_ms
        queued = math.ceil(selection.WORKER_QUEUE_SHARE * engine.slots)
        queued_ms = queue.forecast.wait_ms(queued, engine.slots)
        return max(
            request.free_refusal_until_ms, request.wait_until_ms - queued_ms
        )

    def _forecast_wait_ms(
        self, queue: _Queue, service: table.Service, model: str, slots: float
    ) -> float:
        serving = self.selector.serving_workers(service, model)
        in_flight = self.selector.loads.own_share(
            [worker.id for worker in serving]
        )
        return queue.forecast.wait_ms(slots, in_flight)

    def _finish(
        self,
        queue: _Queue,
        request: QueuedRequest,
        found: workers.Worker | selection.NoWorker,
    ) -> None:
        request.result = found
        request.finished_ms = self.clock.boot_ms()
        for requests in (queue.requests, queue.retried):
            if request in requests:
                requests.remove(request)
        request.done.set()
