"""Detection of pauses and delays of this process."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from oleanderbay.process import clock as clocks

# A process that was busy for less than this time was not paused.
MIN_PAUSE_MS = 1_000
TICK_MS = 100
# After a pause, what the gateway knows is as old as the pause was long. Answers
# and messages that have arrived meanwhile are applied within this time, and the
# reads that are due are made.
SETTLE_MS = 50
# Turns of the event loop in which a task sees what had arrived when a timer
# fired: one reads it, one wakes the task.
SETTLE_TURNS = 2


def call_settled(call: Callable[[], None], turns: int = SETTLE_TURNS) -> None:
    """Calls a function once what has arrived by now is processed.

    If this process was delayed, timers fire before it sees what has arrived.
    """
    loop = asyncio.get_running_loop()
    if turns:
        loop.call_soon(call_settled, call, turns - 1)
    else:
        call()


@contextlib.asynccontextmanager
async def settled_timeout(limit_ms: int) -> AsyncIterator[None]:
    """Limits a wait, after which what has arrived by then is still seen.

    Raises:
        TimeoutError: The time is over.
    """
    loop = asyncio.get_running_loop()
    limit = asyncio.timeout(None)
    ended = False

    def expire() -> None:
        if not ended:
            limit.reschedule(loop.time())

    timer = loop.call_later(limit_ms / 1000, call_settled, expire)
    try:
        async with limit:
            yield
    finally:
        ended = True
        timer.cancel()


class PauseDetector:
    """Delays decisions that follow a pause of this process."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self._tick_ms = clock.boot_ms()
        self._resumed_ms: int | None = None

    async def run(self) -> None:
        """Notes the time periodically until cancelled."""
        while True:
            self._note_pause()
            self._tick_ms = self.clock.boot_ms()
            await self.clock.sleep_ms(TICK_MS)

    async def settle(self) -> None:
        """Waits if a pause has just ended."""
        self._note_pause()
        if self._resumed_ms is None:
            return
        left_ms = self._resumed_ms + SETTLE_MS - self.clock.boot_ms()
        if left_ms > 0:
            await self.clock.sleep_ms(left_ms)
        self._resumed_ms = None

    def _note_pause(self) -> None:
        now_ms = self.clock.boot_ms()
        if now_ms - self._tick_ms >= MIN_PAUSE_MS:
            self._resumed_ms = self._tick_ms = now_ms
