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
        return key in self._tasks

    def start(self, key: object, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a task unless one with the same key is running."""
        if key in self._tasks:
            coroutine.close()
            return
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[key] = task

        def on_done(task: asyncio.Task[None]) -> None:
            self._tasks.pop(key, None)
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
