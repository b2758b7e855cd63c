"""Deadlines of everything in progress, checked by one task per entry."""

import asyncio
from types import TracebackType
from typing import Protocol

import mode

from oleanderbay.process import clock as clocks


class Watched(Protocol):
    """Something that ends itself when its time is over."""

    def check(self, now_ms: int) -> None:
        """Looks at the time."""
        ...


class Watch(mode.Service):  # type: ignore[misc]
    """Checks all watched objects at an interval.

    A timer for each read of each stream would cost more processor time than
    the rest of the work on a token.

    Attributes:
        watched: What is checked.
    """

    def __init__(self, clock: clocks.Clock, interval_ms: int = 100) -> None:
        super().__init__()
        self.clock = clock
        self.interval_ms = interval_ms
        self.watched: set[Watched] = set()

    def check(self) -> None:
        """Checks everything now."""
        now_ms = self.clock.now_ms()
        for watched in tuple(self.watched):
            watched.check(now_ms)

    def until(self, deadline_at_ms: int) -> "Deadline":
        """Returns a context that raises `TimeoutError` after a moment."""
        return Deadline(self, deadline_at_ms)

    @mode.Service.task  # type: ignore[misc]
    async def _run(self) -> None:
        while not self.should_stop:
            await self.clock.sleep_ms(self.interval_ms)
            self.check()


class Deadline:
    """Cancels the task that entered it when the time is over."""

    __slots__ = ("at_ms", "expired", "task", "watch")

    def __init__(self, watch: Watch, at_ms: int) -> None:
        self.watch = watch
        self.at_ms = at_ms
        self.expired = False
        self.task: asyncio.Task[object] | None = None

    def check(self, now_ms: int) -> None:
        """Cancels the task once if it is late."""
        if now_ms >= self.at_ms and self.task is not None:
            self.expired = True
            self.task.cancel()
            self.watch.watched.discard(self)

    def __enter__(self) -> "Deadline":
        self.task = asyncio.current_task()
        self.watch.watched.add(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.watch.watched.discard(self)
        if self.expired and kind is asyncio.CancelledError:
            assert self.task is not None
            # Cancelled by something else as well: that goes first.
            if self.task.uncancel() == 0:
                raise TimeoutError("the deadline has passed") from error
