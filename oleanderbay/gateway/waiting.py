"""The queue of requests that find all workers full."""

import asyncio
import heapq
import itertools
from collections.abc import Collection

from oleanderbay.gateway import choice, table, workers
from oleanderbay.process import clock as clocks

# Load of peers falls without a word; waiting requests look again this often.
LOOK_AGAIN_MS = 25

_Waiter = tuple[int, int, "asyncio.Future[None]"]


class Waiting:
    """Lets requests wait for a place at a worker."""

    def __init__(self, choices: choice.Choice, clock: clocks.Clock) -> None:
        self.choices = choices
        self.clock = clock
        self._queues: dict[tuple[str, str, bool], list[_Waiter]] = {}
        self._sequence = itertools.count()

    async def place(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        priority: int,
        until_ms: int,
    ) -> workers.Worker | choice.Missing:
        """Waits for a worker, the most urgent request first.

        Args:
            service: The service that the request goes to.
            model: Its model; empty for a plain service.
            tried: Workers that have had the request.
            priority: 0 is the most urgent.
            until_ms: Monotonic time at which the wait ends.
        """
        # A request that has had workers may be unable to use the free ones,
        # so it waits apart and keeps nobody else from them.
        again = bool(tried)
        queue = self._queues.setdefault((service.name, model, again), [])
        waiter: _Waiter | None = None
        loop = asyncio.get_running_loop()
        try:
            while True:
                ahead = (
                    not again
                    and bool(queue)
                    and (waiter is None or queue[0] < waiter)
                )
                found = choice.Missing.FULL
                if not ahead:
                    picked = self.choices.pick(service, model, tried)
                    if isinstance(picked, workers.Worker):
                        return picked
                    found = picked
                left_ms = until_ms - self.clock.now_ms()
                if left_ms <= 0:
                    return found
                if waiter is None:
                    waiter = (
                        priority,
                        next(self._sequence),
                        loop.create_future(),
                    )
                    heapq.heappush(queue, waiter)
                await asyncio.wait(
                    (waiter[2],), timeout=min(left_ms, LOOK_AGAIN_MS) / 1000
                )
                if waiter[2].done():
                    self._remove(queue, waiter)
                    waiter = (waiter[0], waiter[1], loop.create_future())
                    heapq.heappush(queue, waiter)
        finally:
            if waiter is not None:
                self._remove(queue, waiter)

    def wake(self, service: str, model: str) -> None:
        """Lets the most urgent requests look again."""
        for again in (True, False):
            queue = self._queues.get((service, model, again))
            if queue and not queue[0][2].done():
                queue[0][2].set_result(None)

    def _remove(self, queue: list[_Waiter], waiter: _Waiter) -> None:
        if waiter in queue:
            queue.remove(waiter)
            heapq.heapify(queue)
