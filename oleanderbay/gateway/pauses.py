"""Detection of pauses of this process."""

from oleanderbay.process import clock as clocks

# A process that was busy for less than this time was not paused.
MIN_PAUSE_MS = 1_000
TICK_MS = 100
# After a pause, what the gateway knows is as old as the pause was long. Answers
# and messages that have arrived meanwhile are applied within this time, and the
# reads that are due are made.
SETTLE_MS = 50


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
