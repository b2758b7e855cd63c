"""The queue of requests that find all workers full."""

import asyncio
import collections
import dataclasses
import math
from collections.abc import Collection

from oleanderbay.gateway import fairness, forecast, selection, table, workers
from oleanderbay.process import clock as clocks

# Load of peers falls without a word; waiting requests look again this often.
POLL_INTERVAL_MS = 25
# Priority of a request that was begun; it goes before all others.
STARTED_PRIORITY = -1
# Forecasts err, and a worker may queue a request for a moment. A request waits
# only if it would be in time with a wait this much longer, and the margin is
# larger where a refusal is no longer free.
ADMISSION_MARGIN = 1.5
COMMIT_MARGIN = 2.0


@dataclasses.dataclass(eq=False, slots=True)
class QueuedRequest:
    """One request in the queue.

    Attributes:
        service: The service that the request goes to.
        model: Its model; empty for a plain service.
        tried: Workers that have had the request.
        priority: 0 is the most urgent, `STARTED_PRIORITY` before that.
        team: Name of the team; empty if there is none.
        free_until_ms: Monotonic time until which a refusal costs nothing.
        until_ms: Monotonic time at which the wait ends.
        committed: Whether it stays beyond the time of a free refusal.
        due_ms: Time at which it goes before other kinds if it is committed.
        found: What the wait ended with; None while it goes on.
        done: Is set when the wait ends.
    """

    service: table.Service
    model: str
    tried: Collection[str]
    priority: int
    team: str
    free_until_ms: int
    until_ms: int
    committed: bool = False
    due_ms: int = 0
    found: workers.Worker | selection.NoWorker | None = None
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class _Queue:
    """The waiting requests of one service and model."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.fairness = fairness.FairScheduler(clock)
        self.forecast = forecast.WaitForecast()
        self.waiters: list[QueuedRequest] = []
        # A request that has had workers may be unable to use the free ones,
        # so it waits apart and keeps nobody else from them.
        self.again: list[QueuedRequest] = []
        self.looked_ms = clock.now_ms()

    def ordered(self, priority: int) -> list[QueuedRequest]:
        """Returns the requests of a priority in the order of their turns."""
        counts: collections.Counter[str] = collections.Counter()
        turns: list[tuple[bool, float, int]] = []
        for position, waiter in enumerate(self.waiters):
            if waiter.priority != priority:
                continue
            team = waiter.team
            start = self.fairness.start_time(team)
            start += counts[team] / self.fairness.weight(team)
            counts[team] += 1
            turns.append((not waiter.committed, start, position))
        return [self.waiters[position] for _, _, position in sorted(turns)]

    def next(self, now_ms: int) -> QueuedRequest:
        """Returns the request that gets the next free place."""
        priorities = {waiter.priority for waiter in self.waiters}
        if STARTED_PRIORITY in priorities:
            return self.ordered(STARTED_PRIORITY)[0]
        due = [w for w in self.waiters if w.committed and now_ms >= w.due_ms]
        if due:
            return min(due, key=lambda waiter: waiter.until_ms)
        return self.ordered(self.fairness.next_priority(priorities))[0]

    def places(self, waiter: QueuedRequest) -> float:
        """Returns how many places get free until a request has its own."""
        same = self.ordered(waiter.priority)
        turn = same.index(waiter) + 1
        if turn == 1 and self.fairness.is_underserved(waiter.priority):
            return 1.0
        urgent = sum(w.priority < waiter.priority for w in self.waiters)
        # More urgent requests will come while this one waits.
        return max(
            float(urgent + turn),
            turn / self.fairness.available_share(waiter.priority),
        )


class RequestQueues:
    """Lets requests wait for a place at a worker."""

    def __init__(
        self, selector: selection.WorkerSelector, clock: clocks.Clock
    ) -> None:
        self.selector = selector
        self.clock = clock
        self._queues: dict[tuple[str, str], _Queue] = {}

    async def acquire_worker(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        priority: int,
        until_ms: int,
        *,
        team: str = "",
        free_until_ms: int | None = None,
    ) -> workers.Worker | selection.NoWorker:
        """Waits for a worker.

        Args:
            service: The service that the request goes to.
            model: Its model; empty for a plain service.
            tried: Workers that have had the request.
            priority: 0 is the most urgent, `STARTED_PRIORITY` before that.
            until_ms: Monotonic time at which the wait ends.
            team: Name of the team; empty if there is none.
            free_until_ms: Monotonic time until which a refusal costs nothing;
                by default the request waits until `until_ms`.
        """
        waiter = QueuedRequest(
            service,
            model,
            tried,
            priority,
            team,
            until_ms if free_until_ms is None else free_until_ms,
            until_ms,
        )
        self.enqueue(waiter)
        returned = False
        try:
            while waiter.found is None:
                left_ms = max(1, until_ms - self.clock.now_ms())
                try:
                    async with asyncio.timeout(
                        min(left_ms, POLL_INTERVAL_MS) / 1000
                    ):
                        await waiter.done.wait()
                except TimeoutError:
                    self.poll(service.name, model)
            returned = True
            return waiter.found
        finally:
            self.release(waiter)
            if not returned:
                # A cancelled request may have had a place.
                self.dispatch(service.name, model)

    def enqueue(self, waiter: QueuedRequest) -> None:
        """Adds a request; it may get a place or be refused at once.

        A place that is given counts as load until `release` is called.
        """
        queue = self._queue(waiter.service.name, waiter.model)
        if waiter.priority != STARTED_PRIORITY:
            queue.fairness.record_arrival(waiter.priority, waiter.team)
        if waiter.tried:
            # Requests that were begun go before others of their kind.
            queue.again.append(waiter)
            queue.again.sort(key=lambda each: each.priority)
        else:
            queue.waiters.append(waiter)
        missing = self._look(queue)
        # The forecast says nothing about when a worker becomes able to serve.
        if (
            waiter.found is None
            and missing is selection.NoWorker.ALL_FULL
            and self._hopeless(queue, waiter, ADMISSION_MARGIN)
        ):
            self._end(queue, waiter, selection.NoWorker.ALL_FULL)

    def release(self, waiter: QueuedRequest) -> None:
        """Ends a wait, and the hold on the place that was given."""
        queue = self._queue(waiter.service.name, waiter.model)
        if waiter.found is None:
            self._end(queue, waiter, selection.NoWorker.ALL_FULL)
        elif isinstance(waiter.found, workers.Worker):
            self.selector.loads.finished(waiter.found.id)

    def dispatch(self, service: str, model: str) -> None:
        """Gives places that have become free to waiting requests."""
        self._look(self._queue(service, model))

    def poll(self, service: str, model: str) -> None:
        """Like `dispatch`, but seldom enough for each waiter to call it."""
        queue = self._queue(service, model)
        if self.clock.now_ms() - queue.looked_ms >= POLL_INTERVAL_MS // 2:
            self._look(queue)

    def record_slot_time(self, service: str, model: str, held_ms: int) -> None:
        """Takes the time that an answered request held its place."""
        self._queue(service, model).forecast.record_slot_time(held_ms)

    def forecast_wait_ms(
        self, service: table.Service, model: str, priority: int
    ) -> float:
        """Returns when a place is likely to be free for one more request."""
        queue = self._queue(service.name, model)
        ahead = sum(waiter.priority <= priority for waiter in queue.waiters)
        return self._wait_ms(queue, service, model, ahead + 1)

    def _queue(self, service: str, model: str) -> _Queue:
        queue = self._queues.get((service, model))
        if queue is None:
            queue = self._queues[service, model] = _Queue(self.clock)
        return queue

    def _look(self, queue: _Queue) -> selection.NoWorker:
        """Gives out free places; returns why there are no more."""
        queue.looked_ms = self.clock.now_ms()
        missing = selection.NoWorker.ALL_FULL
        for waiter in tuple(queue.again):
            found = self._pick(queue, waiter)
            if isinstance(found, selection.NoWorker):
                self._expire(queue, waiter, found)
        while queue.waiters:
            found = self._pick(queue, queue.next(self.clock.now_ms()))
            if isinstance(found, selection.NoWorker):
                missing = found
                break
        for waiter in tuple(queue.waiters):
            self._expire(queue, waiter, missing)
        return missing

    def _pick(
        self, queue: _Queue, waiter: QueuedRequest
    ) -> workers.Worker | selection.NoWorker:
        found = self.selector.select(waiter.service, waiter.model, waiter.tried)
        if isinstance(found, workers.Worker):
            # Counts until the request has taken the place, so that nobody
            # else gets it in between.
            self.selector.loads.started(found.id)
            if waiter.priority != STARTED_PRIORITY:
                queue.fairness.record_grant(waiter.priority, waiter.team)
            self._end(queue, waiter, found)
        return found

    def _expire(
        self, queue: _Queue, waiter: QueuedRequest, missing: selection.NoWorker
    ) -> None:
        now_ms = self.clock.now_ms()
        if now_ms >= self._latest_ms(queue, waiter):
            self._end(queue, waiter, missing)
        elif now_ms >= waiter.free_until_ms and not waiter.committed:
            if missing is selection.NoWorker.NONE_ELIGIBLE or self._hopeless(
                queue, waiter, COMMIT_MARGIN
            ):
                self._end(queue, waiter, missing)
            else:
                waiter.committed = True
                # More urgent requests that came later must not make it late.
                waiter.due_ms = (now_ms + waiter.until_ms) // 2

    def _hopeless(
        self, queue: _Queue, waiter: QueuedRequest, margin: float
    ) -> bool:
        """Whether a request is unlikely to get a place in time."""
        if waiter.priority == STARTED_PRIORITY or waiter.tried:
            return False
        now_ms = self.clock.now_ms()
        if not queue.forecast.mean_slot_time_ms:
            # Without a forecast it waits while a refusal is free.
            return now_ms >= waiter.free_until_ms
        wait_ms = self._wait_ms(
            queue, waiter.service, waiter.model, queue.places(waiter)
        )
        return margin * wait_ms > self._latest_ms(queue, waiter) - now_ms

    def _latest_ms(self, queue: _Queue, waiter: QueuedRequest) -> float:
        """Returns when a request has to be sent to be in time.

        A full worker queues it behind what it holds beyond its slots.
        """
        engine = waiter.service.engine
        if (
            waiter.priority == STARTED_PRIORITY
            or waiter.tried
            or engine is None
        ):
            return waiter.until_ms
        queued = math.ceil(selection.WORKER_QUEUE_SHARE * engine.slots)
        queued_ms = queue.forecast.wait_ms(queued, engine.slots)
        return max(waiter.free_until_ms, waiter.until_ms - queued_ms)

    def _wait_ms(
        self, queue: _Queue, service: table.Service, model: str, places: float
    ) -> float:
        able = self.selector.serving_workers(service, model)
        in_flight = self.selector.loads.own_share(
            [worker.id for worker in able]
        )
        return queue.forecast.wait_ms(places, in_flight)

    def _end(
        self,
        queue: _Queue,
        waiter: QueuedRequest,
        found: workers.Worker | selection.NoWorker,
    ) -> None:
        waiter.found = found
        for waiters in (queue.waiters, queue.again):
            if waiter in waiters:
                waiters.remove(waiter)
        waiter.done.set()
