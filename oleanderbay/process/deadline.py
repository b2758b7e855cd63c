"""Deadlines that are counted on the project's clock."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from oleanderbay.process import clock as clocks

T = TypeVar("T")


async def within(
    clock: clocks.Clock, awaitable: Awaitable[T], timeout_ms: float
) -> T:
    """Awaits something for at most a number of ms.

    The awaitable is cancelled, and its cancellation awaited, when the time is
    over or the caller is cancelled.

    Raises:
        TimeoutError: The time was over first.
    """
    task: asyncio.Future[T] = asyncio.ensure_future(awaitable)
    timer = asyncio.ensure_future(clock.sleep_ms(timeout_ms))
    try:
        await asyncio.wait((task, timer), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise TimeoutError(f"nothing happened within {timeout_ms} ms")
    finally:
        timer.cancel()
        if not task.done():
            task.cancel()
        await asyncio.gather(task, timer, return_exceptions=True)
