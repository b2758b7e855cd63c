"""Tests of the limit that a planned stop sets to requests."""

import asyncio

import pytest

from oleanderbay.gateway import stopping
from oleanderbay.process import clock as clocks


async def test_a_stop_ends_requests_in_progress_and_later_ones():
    """Guards against requests that are cut off when the process ends."""
    clock = clocks.SystemClock()
    limit = stopping.StopLimit(clock)
    started = asyncio.Event()

    async def run():
        async with limit.limit(clock.now_ms() + 60_000):
            started.set()
            await asyncio.Event().wait()

    request = asyncio.create_task(run())
    await started.wait()
    limit.end_at(clock.now_ms() + 10)
    for task in (request, asyncio.create_task(run())):
        with pytest.raises(TimeoutError):
            await task
    assert not limit._timeouts


async def test_a_stop_does_not_prolong_requests():
    clock = clocks.SystemClock()
    limit = stopping.StopLimit(clock)
    limit.end_at(clock.now_ms() + 60_000)
    with pytest.raises(TimeoutError):
        async with limit.limit(clock.now_ms() + 10):
            await asyncio.Event().wait()


async def test_only_late_requests_that_may_not_end_come_too_late():
    """Guards against refusals of what was sent before the stop."""
    clock = clocks.ManualClock()
    limit = stopping.StopLimit(clock)
    assert not limit.comes_too_late(1 << 40)
    limit.end_at(3_000)
    assert not limit.comes_too_late(9_000)
    clock.set_ms(1_000)
    assert limit.comes_too_late(3_001)
    assert not limit.comes_too_late(3_000)
