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
    limit.start(clock.now_ms() + 10, clock.now_ms() + 10)
    for task in (request, asyncio.create_task(run())):
        with pytest.raises(TimeoutError):
            await task
    assert not limit._timeouts


async def test_a_stop_does_not_prolong_requests():
    clock = clocks.SystemClock()
    limit = stopping.StopLimit(clock)
    limit.start(clock.now_ms() + 60_000, clock.now_ms() + 60_000)
    with pytest.raises(TimeoutError):
        async with limit.limit(clock.now_ms() + 10):
            await asyncio.Event().wait()


async def test_only_late_requests_that_may_not_end_come_too_late():
    """Guards against refusals of what was sent before the stop."""
    clock = clocks.ManualClock()
    limit = stopping.StopLimit(clock)
    assert not limit.comes_too_late(1 << 40)
    limit.start(3_000, expected_until_ms=3_000)
    assert not limit.comes_too_late(9_000)
    clock.set_ms(1_000)
    assert limit.comes_too_late(3_001)
    assert not limit.comes_too_late(3_000)


# Incident of 2026-12-05: with a long grace period, requests came too late only
# in its last two thirds, long after callers should have gone elsewhere.
async def test_requests_come_too_late_once_directory_answers_have_expired():
    clock = clocks.ManualClock()
    limit = stopping.StopLimit(clock)
    limit.start(60_000, expected_until_ms=3_000)
    clock.set_ms(2_999)
    assert not limit.comes_too_late(60_001)
    clock.set_ms(3_000)
    assert limit.comes_too_late(60_001)
    assert not limit.comes_too_late(60_000)


# Guards against stops that end requests before the last sixth of the grace
# period, or that leave no time to close connections.
@pytest.mark.parametrize("grace_ms", [0, 600, 2_000, 3_600, 8_000, 60_000])
def test_requests_may_take_all_but_the_end_of_the_grace_period(grace_ms):
    request_ms = stopping.request_time_ms(grace_ms)
    assert 5 * grace_ms <= 6 * request_ms <= 6 * grace_ms
    assert grace_ms - request_ms >= min(600, grace_ms // 6)
