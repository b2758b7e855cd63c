"""Time in integer milliseconds."""

import asyncio
import heapq
import itertools
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for everything in the system."""

    def now_ms(self) -> int:
        """Returns monotonic time in ms, comparable in one process only."""
        ...

    def wall_ms(self) -> int:
        """Returns ms since the Unix epoch; may jump."""
        ...

    def boot_ms(self) -> int:
        """Returns monotonic time in ms that also counts suspension."""
        ...

    async def sleep_ms(self, delay_ms: float) -> None:
        """Waits for a number of ms."""
        ...


class SystemClock:
    """The clock of the machine."""

    def now_ms(self) -> int:
        """Returns monotonic time in ms."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Returns ms since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def boot_ms(self) -> int:
        """Returns monotonic time in ms that also counts suspension."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    async def sleep_ms(self, delay_ms: float) -> None:
        """Waits for a number of ms."""
        await asyncio.sleep(max(0.0, delay_ms) / 1000)


class ManualClock:
    """A clock that moves only when told to, for tests and replays.

    Attributes:
        epoch_ms: What `wall_ms` returned when the clock was made.
    """

    def __init__(self, epoch_ms: int = 1_700_000_000_000) -> None:
        self.epoch_ms = epoch_ms
        self._now_ms = 0
        self._sequence = itertools.count()
        self._sleepers: list[tuple[int, int, asyncio.Future[None]]] = []

    def now_ms(self) -> int:
        """Returns ms since the clock was made."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns ms since the Unix epoch on this clock's timeline."""
        return self.epoch_ms + self._now_ms

    def boot_ms(self) -> int:
        """Returns ms since the clock was made."""
        return self._now_ms

    async def sleep_ms(self, delay_ms: float) -> None:
        """Waits until `advance` has moved the clock far enough."""
        if delay_ms <= 0:
            await next_turn()
            return
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        due_ms = self._now_ms + int(delay_ms)
        heapq.heappush(self._sleepers, (due_ms, next(self._sequence), waiter))
        await waiter

    def set_ms(self, now_ms: int) -> None:
        """Moves the clock forward without waking sleepers in between."""
        self._now_ms = max(self._now_ms, now_ms)

    async def advance(self, delta_ms: int) -> None:
        """Moves the clock, waking each sleeper at its own time."""
        target_ms = self._now_ms + delta_ms
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= target_ms:
            due_ms, _, waiter = heapq.heappop(self._sleepers)
            self._now_ms = max(self._now_ms, due_ms)
            if not waiter.done():
                waiter.set_result(None)
            await self._settle()
        self._now_ms = target_ms

    async def _settle(self) -> None:
        # Lets woken tasks run until they sleep again. The number of turns
        # bounds how long a chain of callbacks may be.
        for _ in range(20):
            await next_turn()


async def next_turn() -> None:
    """Lets what is ready in the event loop run first; no time passes."""
    await asyncio.sleep(0)
