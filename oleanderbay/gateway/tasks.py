"""Background tasks with keys, of which each runs at most once at a time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

log = structlog.get_logger()


class KeyedTasks:
    """Starts, tracks and cancels tasks by key.

    Attributes:
        expected: Exceptions that end a task without being a fault.
    """

    def __init__(self, expected: type[Exception]) -> None:
        self.expected = expected
        self._tasks: dict[object, asyncio.Task[None]] = {}

    def running(self, key: object) -> bool:
        """Whether a task with this key is running."""
        task = self._tasks.get(key)
        # A task that has ended is forgotten in a later turn of the loop only.
        return task is not None and not task.done()

    def start(self, key: object, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a task unless one with the same key is running."""
        if self.running(key):
            coroutine.close()
            return
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[key] = task

        def on_done(task: asyncio.Task[None]) -> None:
            if self._tasks.get(key) is task:
                del self._tasks[key]
            if task.cancelled() or task.exception() is None:
                return
            error = task.exception()
            if isinstance(error, self.expected):
                log.info("task aborted", task=str(key), error=str(error))
            else:
                log.error("task failed", task=str(key), error=repr(error))

        task.add_done_callback(on_done)

    def close(self) -> None:
        """Cancels all tasks."""
        for task in tuple(self._tasks.values()):
            task.cancel()
