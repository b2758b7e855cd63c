"""A stand-in of a plain worker, which registers itself in the store."""

import asyncio
import dataclasses
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from oleanderbay.platform import names
from oleanderbay.standins import server
from review import rig_2

HEALTH_PATH = "/healthz"
# States in answers to health checks for how long a worker stays cold.
COLD = "X-Cold-Ms"
# An entry is removed after this many heartbeat intervals of silence.
SILENT_HEARTBEATS = 3
MAX_BODY_BYTES = 1 << 26


@dataclasses.dataclass(slots=True)
class Run:
    """One request that a worker ran.

    Attributes:
        request_id: The caller's id.
        worker: Id of the worker.
        arrived_ms: When it arrived.
        complete: Whether the worker has answered it whole.
    """

    request_id: str
    worker: str
    arrived_ms: int
    complete: bool = False


class Worker:
    """Runs requests, and writes an entry at each heartbeat.

    Attributes:
        id: Its id.
        zone: Its availability zone.
        service: Its service.
        slots: Requests that it runs at once.
        queue: Further requests that wait; it refuses those beyond.
        work_ms: Time that a request takes.
        draining: Whether it leaves.
        cold_until_ms: Until when it is cold, in monotonic time.
        runs: The requests that it ran.
        send: Delivers an entry to the store; replaced to disrupt the way.
        arrived: Called with the time of each request.
    """

    def __init__(
        self,
        rig: "rig_2.Rig",
        worker_id: str,
        service: str,
        *,
        slots: int = 6,
        queue: int = 24,
        work_ms: int = 30,
        zone: str = "z1",
    ) -> None:
        self.rig = rig
        self.id = worker_id
        self.service = service
        self.slots = slots
        self.queue = queue
        self.work_ms = work_ms
        self.zone = zone
        self.draining = False
        self.cold_until_ms = 0
        self.runs: list[Run] = []
        self.send: Callable[[bytes], Awaitable[None]] = self.deliver
        self.arrived: Callable[[int], None] = lambda _: None
        self.address = ""
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.delivered_ms = 0
        self._listed = False
        self._present = 0
        self._free = asyncio.Semaphore(slots)
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = server.HttpServer(cancels=True)

    async def start(self) -> None:
        """Listens and begins to write heartbeats."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get(HEALTH_PATH, self._on_health),
                web.route("*", "/{path:.*}", self._on_request),
            ]
        )
        self.address = await self._server.start(app, "127.0.0.1", 0)
        self.run(self._beat())
        self.run(self._expire())

    def run(self, coroutine: Any) -> None:
        """Runs something until the worker ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def entry(self) -> bytes:
        """Returns the next entry."""
        self.sequence += 1
        cold_ms = max(0, self.cold_until_ms - rig_2.now_ms())
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": cold_ms,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
        ).encode()

    async def write(self) -> None:
        """Writes an entry to the store."""
        await self.send(self.entry())

    async def deliver(self, entry: bytes) -> None:
        """Lets the store take an entry."""
        self._listed, self.delivered_ms = True, rig_2.now_ms()
        await self.rig.store.put(names.WORKERS_TOPIC, self.id, entry)

    async def drain(self) -> None:
        """Reports that the worker leaves."""
        self.draining = True
        await self.write()

    async def end(self) -> None:
        """Ends the process, as it were, with what it runs."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.crash()
        await self._server.close()

    async def remove(self) -> None:
        """Removes the entry from the store."""
        self._listed = False
        await self.rig.store.put(names.WORKERS_TOPIC, self.id, b"")

    async def _beat(self) -> None:
        while True:
            self.run(self.write())
            await asyncio.sleep(rig_2.HEARTBEAT_MS / 1000)

    async def _expire(self) -> None:
        silence_ms = SILENT_HEARTBEATS * rig_2.HEARTBEAT_MS
        while True:
            await asyncio.sleep(0.05)
            if (
                self._listed
                and rig_2.now_ms() - self.delivered_ms >= silence_ms
            ):
                self.rig.record.log(f"the store removes the entry of {self.id}")
                await self.remove()

    async def _on_health(self, _: web.Request) -> web.Response:
        headers = {names.WORKER_ID: self.id}
        cold_ms = self.cold_until_ms - rig_2.now_ms()
        if cold_ms > 0:
            headers[COLD] = str(cold_ms)
        return web.Response(
            status=503 if self.draining else 200, headers=headers
        )

    async def _on_request(self, request: web.Request) -> web.Response:
        arrived_ms = rig_2.now_ms()
        self.arrived(arrived_ms)
        request_id = request.headers.get(names.REQUEST_ID, "")
        expected = request.headers.get(names.EXPECTED_WORKER, self.id)
        body = await request.read()
        if expected != self.id:
            return self._refuse(421)
        if self._present >= self.slots + self.queue:
            return self._refuse(503)
        self._present += 1
        try:
            async with self._free:
                run = Run(request_id, self.id, arrived_ms)
                self.runs.append(run)
                self.rig.record.log(f"{self.id} runs {request_id}")
                await asyncio.sleep(self.work_ms / 1000)
                run.complete = True
        except asyncio.CancelledError:
            self.rig.record.log(f"{self.id} breaks {request_id} off")
            raise
        finally:
            self._present -= 1
        return web.Response(
            body=f"{self.id} ran {request_id}, {len(body)} bytes".encode(),
            headers={
                names.REQUEST_ID: request_id,
                names.SIGNATURE: f"{self.id}.{request_id}",
                names.WORKER_ID: self.id,
            },
        )

    def _refuse(self, status: int) -> web.Response:
        return web.Response(
            status=status,
            headers={names.NOT_EXECUTED: "1", names.WORKER_ID: self.id},
        )
