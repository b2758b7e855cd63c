"""Queues of requests that wait for a slot at a worker."""

import asyncio
import collections
import dataclasses
from collections.abc import Collection, Container, Mapping

from oleanderbay.gateway import fairness, forecast, selection, table, workers
from oleanderbay.process import clock as clocks

# The load that peer gateways cause falls without a notification, so waiting
# requests check for free slots this often.
POLL_INTERVAL_MS = 25
# Forecasts are inexact, and a wait that ends in a refusal wastes the caller's
# time. A request begins to wait only if it would be served in time even if the
# wait were longer by this factor.
ADMISSION_MARGIN = 1.5
# Smallest share of the slots that is left for requests that can't be on time.
MIN_SPARE_SHARE = 0.01
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
        latest_ms: Monotonic time until which a worker can answer the caller in
            time.
        on_time_ms: Monotonic time until which a worker can answer within the
            latency target of the route.
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
    latest_ms: int
    on_time_ms: int
    result: workers.Worker | selection.NoWorker | None = None
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    finished_ms: int = 0


class _Queue:
    """The queued requests of one service and model."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.arrivals: collections.defaultdict[int, forecast.ArrivalRate] = (
            collections.defaultdict(forecast.ArrivalRate)
        )
        self.fairness = fairness.FairScheduler(clock)
        self.forecast = forecast.WaitForecast()
        self.requests: list[QueuedRequest] = []
        self.dispatched_ms = clock.now_ms()

    def by_turn(self, priority: int) -> list[QueuedRequest]:
        """Returns the requests of a priority in the order of their service.

        Requests that can still be on time come first. Teams take turns, and
        the requests of a team are served in the order of the times until which
        they can wait.
        """
        now_ms = self.clock.now_ms()
        counts: collections.Counter[str] = collections.Counter()
        turns: list[tuple[bool, float, int]] = []
        found = sorted(
            (each for each in self.requests if each.priority == priority),
            key=lambda request: (request.on_time_ms, request.latest_ms),
        )
        for position, request in enumerate(found):
            team = request.team
            start = self.fairness.start_time(team)
            start += counts[team] / self.fairness.weight(team)
            counts[team] += 1
            turns.append((now_ms > request.on_time_ms, start, position))
        return [found[position] for _, _, position in sorted(turns)]

    def next(self, skipped: Container[QueuedRequest]) -> QueuedRequest | None:
        """Returns the request that gets the next free slot; None for none."""
        waiting = {
            request.priority
            for request in self.requests
            if request not in skipped
        }
        if not waiting:
            return None
        turns = self.by_turn(self.fairness.next_priority(waiting))
        return next(each for each in turns if each not in skipped)

    def record_arrival(self, priority: int, team: str) -> None:
        """Counts a request that arrives."""
        self.fairness.record_arrival(priority, team)
        self.arrivals[priority].record(self.clock.now_ms())

    def arrivals_per_ms(self, priority: int) -> float:
        """Returns the rate of requests that are at least as urgent."""
        now_ms = self.clock.now_ms()
        return sum(
            rate.per_ms(now_ms)
            for each, rate in self.arrivals.items()
            if each <= priority
        )

    def slots_until_turns(self) -> Mapping[QueuedRequest, float]:
        """Returns how many slots must become free until each gets one."""
        slots: dict[QueuedRequest, float] = {}
        urgent = 0
        for priority in sorted({each.priority for each in self.requests}):
            same = self.by_turn(priority)
            # More urgent requests will arrive while these wait.
            share = self.fairness.available_share(priority)
            for turn, request in enumerate(same, 1):
                slots[request] = max(float(urgent + turn), turn / share)
            if self.fairness.is_underserved(priority):
                slots[same[0]] = 1.0
            urgent += len(same)
        return slots


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
            for request in tuple(queue.requests):
                self._finish(queue, request, selection.NoWorker.ALL_FULL)

    async def acquire_worker(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        priority: int,
        latest_ms: int,
        *,
        on_time_ms: int | None = None,
        team: str = "",
    ) -> workers.Worker | selection.NoWorker:
        """Waits for a slot at a worker.

        Args:
            service: The service that the request goes to.
            model: Its model; empty for a plain service.
            tried: Ids of workers that the request was already sent to.
            priority: 0 is the most urgent.
            latest_ms: Monotonic time until which a worker can answer the caller
                in time.
            on_time_ms: Monotonic time until which a worker can answer within
                the latency target of the route; by default `latest_ms`.
            team: Name of the team; empty if there is none.
        """
        request = QueuedRequest(
            service,
            model,
            tried,
            priority,
            team,
            latest_ms,
            latest_ms if on_time_ms is None else on_time_ms,
        )
        self.enqueue(request)
        returned = False
        try:
            while request.result is None:
                left_ms = max(1, latest_ms - self.clock.now_ms())
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
        queue.record_arrival(request.priority, request.team)
        queue.requests.append(request)
        self._dispatch(queue)
        if request.result is None and (
            self._closed
            or self._would_be_late(
                queue,
                request,
                ADMISSION_MARGIN * queue.slots_until_turns()[request],
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
            if not queue.requests and (
                service is None or not service.has_model(key[1])
            ):
                del self._queues[key]

    def _dispatch(self, queue: _Queue) -> None:
        """Assigns free slots, and refuses requests that can't be served."""
        queue.dispatched_ms = self.clock.now_ms()
        unavailable = selection.NoWorker.ALL_FULL
        # A request that was sent before may not use all workers, and must not
        # block the requests behind it.
        skipped: dict[QueuedRequest, selection.NoWorker] = {}
        while (request := queue.next(skipped)) is not None:
            found = self._try_assign(queue, request)
            if isinstance(found, workers.Worker):
                continue
            if not request.tried:
                unavailable = found
                break
            skipped[request] = found
        if not queue.requests:
            return
        slots = queue.slots_until_turns()
        for request in tuple(queue.requests):
            found = skipped.get(request, unavailable)
            if self._cannot_be_served(queue, request, found, slots[request]):
                self._finish(queue, request, found)

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
            queue.fairness.record_grant(request.priority, request.team)
            self._finish(queue, request, found)
        return found

    def _cannot_be_served(
        self,
        queue: _Queue,
        request: QueuedRequest,
        unavailable: selection.NoWorker,
        slots: float,
    ) -> bool:
        """Whether a waiting request can't be served in time."""
        # Nothing tells when a worker becomes able to serve, so the caller
        # learns at once that it has to come back.
        return (
            unavailable is selection.NoWorker.NONE_ELIGIBLE
            or self.clock.now_ms() >= request.latest_ms
            or self._would_be_late(queue, request, slots)
        )

    def _would_be_late(
        self, queue: _Queue, request: QueuedRequest, slots: float
    ) -> bool:
        """Whether a number of slots becomes free too late for a request."""
        if not queue.forecast.mean_slot_time_ms:
            return False
        now_ms = self.clock.now_ms()
        wait_ms = self._forecast_wait_ms(
            queue, request.service, request.model, slots
        )
        if now_ms + wait_ms > request.on_time_ms:
            # Requests that arrive meanwhile and can be on time go first.
            arriving = queue.arrivals_per_ms(request.priority) * wait_ms / slots
            wait_ms /= max(MIN_SPARE_SHARE, 1 - arriving)
        return wait_ms > request.latest_ms - now_ms

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
        if request in queue.requests:
            queue.requests.remove(request)
        request.done.set()
