"""Tests of the detection of pauses."""

import asyncio

from oleanderbay.gateway import pauses
from oleanderbay.process import clock as clocks


async def _settles_at_once(detector):
    task = asyncio.create_task(detector.settle())
    for _ in range(3):
        await asyncio.sleep(0)
    done = task.done()
    task.cancel()
    return done


async def test_decisions_after_a_pause_wait_a_moment():
    """A paused process acted on what had changed while it was paused."""
    clock = clocks.ManualClock()
    detector = pauses.PauseDetector(clock)
    task = asyncio.create_task(detector.run())
    await clock.advance(3_000)
    assert await _settles_at_once(detector)
    for first in (True, False):
        clock.set_ms(clock.now_ms() + 5_000)
        if not first:
            # The periodic note may run before any request.
            await clock.advance(1)
        assert not await _settles_at_once(detector)
        waits = asyncio.create_task(detector.settle())
        await clock.advance(pauses.SETTLE_MS)
        assert waits.done()
        await clock.advance(1_000)
        assert await _settles_at_once(detector)
    task.cancel()


async def test_a_busy_moment_is_no_pause():
    """Small instances are late by some hundred ms again and again."""
    clock = clocks.ManualClock()
    detector = pauses.PauseDetector(clock)
    task = asyncio.create_task(detector.run())
    await clock.advance(500)
    clock.set_ms(clock.now_ms() + pauses.MIN_PAUSE_MS - pauses.TICK_MS - 1)
    assert await _settles_at_once(detector)
    task.cancel()
