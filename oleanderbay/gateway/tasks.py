"""Named tasks of which each runs at most once at a time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

log = structlog.get_logger()


class KeyedTasks:
    """Owns the tasks of one part of the gateway."""

    def __init__(self, expected: type[Exception]) -> None:
        self.expected = expected
        self._tasks: dict[object, asyncio.Task[None]] = {}

    def running(self, name: object) -> bool:
        """Whether a task of this name runs."""
        return name in self._tasks

    def start(self, name: object, work: Coroutine[Any, Any, None]) -> None:
        """Runs a task unless one of that name is running."""
        if name in self._tasks:
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[name] = task

        def ended(task: asyncio.Task[None]) -> None:
            self._tasks.pop(name, None)
            if task.cancelled() or task.exception() is None:
                return
            error = task.exception()
            if isinstance(error, self.expected):
                log.info("task given up", task=str(name), error=str(error))
            else:
                log.error("task failed", task=str(name), error=repr(error))

        task.add_done_callback(ended)

    def close(self) -> None:
        """Cancels all tasks."""
        for task in tuple(self._tasks.values()):
            task.cancel()
