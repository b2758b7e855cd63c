"""The entry of one worker in the platform's store."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

from oleanderbay.platform import names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import metadata_store

LOOK_MS = 50
# The platform removes an entry after this many heartbeat intervals of silence.
SILENT_HEARTBEATS = 3


class Registration:
    """Writes a worker's entry, and removes it after silence.

    Attributes:
        reaches_store: Whether the worker's writes reach the store.
        listed: Whether the store has an entry under the worker's id.
        written_ms: Time of the last entry.
    """

    def __init__(
        self,
        store: metadata_store.MetadataStore,
        worker_id: str,
        entry: Callable[[], dict[str, Any]],
        heartbeat_ms: int,
        clock: clocks.Clock,
        log: Callable[[str], None],
    ) -> None:
        self.store = store
        self.worker_id = worker_id
        self.entry = entry
        self.heartbeat_ms = heartbeat_ms
        self.clock = clock
        self.log = log
        self.reaches_store = True
        self.listed = False
        self.written_ms = 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begins to write heartbeats."""
        self.written_ms = self.clock.now_ms()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._expire()),
        ]

    async def close(self) -> None:
        """Stops writing; the entry stays."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def write(self) -> None:
        """Writes the entry, unless the worker does not reach the store."""
        if self.reaches_store:
            self.listed, self.written_ms = True, self.clock.now_ms()
            body = json.dumps(self.entry()).encode()
            await self.store.put(names.WORKERS_TOPIC, self.worker_id, body)

    async def remove(self) -> None:
        """Removes the entry, for a worker that leaves without a word."""
        self.reaches_store = self.listed = False
        await self.store.put(names.WORKERS_TOPIC, self.worker_id, b"")

    async def write_other(self, body: bytes) -> None:
        """Writes another writer's entry under the worker's id."""
        self.listed, self.written_ms = True, self.clock.now_ms()
        await self.store.put(names.WORKERS_TOPIC, self.worker_id, body)

    async def _beat(self) -> None:
        while True:
            await self.write()
            await self.clock.sleep_ms(self.heartbeat_ms)

    async def _expire(self) -> None:
        silence_ms = SILENT_HEARTBEATS * self.heartbeat_ms
        while True:
            await self.clock.sleep_ms(LOOK_MS)
            passed_ms = self.clock.now_ms() - self.written_ms
            if self.listed and passed_ms >= silence_ms:
                self.listed = False
                await self.store.put(names.WORKERS_TOPIC, self.worker_id, b"")
                self.log(f"the entry of {self.worker_id} expires")
