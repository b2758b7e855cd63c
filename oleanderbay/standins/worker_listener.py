"""What a worker with a listener says of itself, and how it takes orders."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from aiohttp import web

from oleanderbay.platform import names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import (
    group_member,
    metadata_store,
    registration,
    server,
)

FINISH_STEP_MS = 10
HEALTH_PATH = "/healthz"
# What reports state of the work of a worker that has none.
REPORTED = {
    "busy": False,
    "queue_depth": 0,
    "in_flight": 0,
    "kv_used": 0,
    "kv_total": 90_000,
    "handles": 0,
}


class WorkerListener(group_member.GroupMember):
    """One worker that takes orders and reports; a subclass serves requests.

    Attributes:
        address: `host:port` that it listens on.
        orders: Orders that were received, with the status given.
        says_draining: Whether its responses state that it drains, which its
            record need not.
        rest_s: Retry-After of refusals; empty for none.
        refused: Number of requests that were refused.
        isolated_ms: When it was cut off from everything; -1 if it is not.
        registration: Its entry in the store, if it writes one itself.
        log: Takes a line for each thing that happens to it.
        ordered: Called with each accepted order, before its record is written.
        ready: Called when it is ready in a group and has written its entry.
    """

    def __init__(
        self,
        worker_id: str,
        service: str = "chat",
        zone: str = "z1",
        domain: str = "d1",
        load_ms: int = 10,
        clock: clocks.Clock | None = None,
        form_ms: int = 10,
    ) -> None:
        super().__init__(worker_id, clock or clocks.SystemClock(), form_ms)
        self.service = service
        self.zone = zone
        self.domain = domain
        self.load_ms = load_ms
        self.born_ms = self.clock.wall_ms()
        self.address = ""
        self.draining = False
        self.orders: list[tuple[dict[str, Any], int]] = []
        self.says_draining = False
        self.rest_s = ""
        self.refused = 0
        self.isolated_ms = -1
        self.registration: registration.Registration | None = None
        self.log: Callable[[str], None] = lambda _: None
        self.ordered: Callable[[WorkerListener, dict[str, Any]], None] = (
            lambda *_: None
        )
        self.ready: Callable[[WorkerListener], None] = lambda _: None
        self._running: list[web.Request] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = server.HttpServer(cancels=True)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens; port 0 picks a free one, see `address`."""
        app = web.Application(
            client_max_size=1 << 30, middlewares=[self._pass_link]
        )
        app.add_routes(
            [
                web.get(names.REPORT_PATH, self._on_report),
                web.post(names.ORDER_PATH, self._on_order),
                web.get(HEALTH_PATH, self._on_health),
                web.route("*", "/{path:.*}", self._serve),
            ]
        )
        self.address = await self._server.start(app, host, port)

    async def close(self) -> None:
        """Stops listening and ends its loads."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.registration is not None:
            await self.registration.close()
        await self._server.close()

    def register(
        self, store: metadata_store.MetadataStore, heartbeat_ms: int
    ) -> None:
        """Begins to write its entry to a store at each heartbeat."""
        self.registration = registration.Registration(
            store, self.id, self.record, heartbeat_ms, self.clock, self.log
        )
        self.registration.start()

    def isolate(self) -> None:
        """Cuts the worker off from everything else; it goes on running."""
        self.isolated_ms = self.clock.now_ms()
        self._server.stop_accepting()
        if self.registration is not None:
            self.registration.reaches_store = False
        self.log(f"{self.id} is cut off; its state: {self.group}")

    async def crash(self) -> None:
        """Refuses connections, resets those that it has and writes nothing."""
        if self.registration is not None:
            self.registration.reaches_store = False
        await self._server.crash()

    async def exit(self) -> None:
        """Ends at once, with the requests that run."""
        await self.crash()
        await self.close()

    @property
    def running(self) -> list[str]:
        """Ids of the requests that run."""
        return [r.headers.get(names.REQUEST_ID, "") for r in self._running]

    def changed(self) -> None:
        """Writes the changed entry, if it writes one."""
        if self.registration is not None:
            self.run(self.registration.write())

    def before_open(self) -> None:
        """Logs that the group opens."""
        self.log(f"{self.id} opens {self.group}")

    def became_ready(self) -> None:
        """Logs it, and tells of it once the entry is written."""
        self.log(f"{self.id} is ready in {self.group}")
        self.run(self._tell_ready())

    async def _tell_ready(self) -> None:
        if self.registration is not None:
            await self.registration.write()
        self.ready(self)

    @web.middleware
    async def _pass_link(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        """Holds requests and responses back while it is cut off."""
        await self._wait_for_link()
        response: web.StreamResponse = await handler(request)
        await self._wait_for_link()
        return response

    async def _wait_for_link(self) -> None:
        if self.isolated_ms >= 0:
            await asyncio.Event().wait()

    async def _on_health(self, _: web.Request) -> web.Response:
        return web.Response(
            status=503 if self.draining else 200,
            headers={names.WORKER_ID: self.id},
        )

    def record(self) -> dict[str, Any]:
        """Returns what the worker writes to the store."""
        group = None
        if self.group is not None:
            group = {
                "name": self.group.group,
                "epoch": self.group.epoch,
                "rank": self.group.rank,
                "state": self.group.state.value,
            }
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "domain": self.domain,
            "state": "draining" if self.draining else "ready",
            "slots": 4,
            "cold_remaining_ms": 0,
            "born": self.born_ms,
            "sequence": self.sequence,
            "stage": "prefill_decode",
            "models": [{"name": self.model, "version": 1, "adapters": []}]
            if self.model
            else [],
            "staged": sorted(self.staged),
            "group": group,
        }

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        raise NotImplementedError

    async def _on_report(self, request: web.Request) -> web.Response:
        if self._other(request):
            return self._refusal(421)
        return web.json_response(
            {
                **self.record(),
                **REPORTED,
                "sequence": self.accepted_orders,
            },
            headers={names.WORKER_ID: self.id},
        )

    async def _on_order(self, request: web.Request) -> web.Response:
        if self._other(request):
            return self._refusal(421)
        order = await request.json()
        await self._wait_for_link()
        before, status = self.group, self.obey(order)
        self.orders.append((order, status))
        said = {k: v for k, v in order.items() if k != "fence"}
        self.log(f"{self.id} takes {said}: {status:d}, before: {before}")
        if status in (200, 202):
            self.ordered(self, order)
        return web.json_response(self.record(), status=status)

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs something until the worker is closed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def load_time_ms(self, model: str, staged: bool) -> int:
        """Returns the time of a load."""
        return self.load_ms

    def stage_time_ms(self, model: str) -> int:
        """Returns the time to stage a model."""
        return self.load_ms

    async def finish_work(self) -> None:
        """Waits until no request runs."""
        while self._running:
            await self.clock.sleep_ms(FINISH_STEP_MS)

    def _is_open(self) -> bool:
        return self.group is not None and (
            self.group.state is group_member.STATE.OPEN
        )

    def _other(self, request: web.Request) -> bool:
        expected = request.headers.get(names.EXPECTED_WORKER, self.id)
        return expected != self.id

    def _refusal(self, status: int) -> web.Response:
        self.refused += 1
        headers = {names.NOT_EXECUTED: "true"}
        if self.says_draining:
            headers[names.LEAVING] = "1"
        if self.rest_s and status == 503:
            headers["Retry-After"] = self.rest_s
        return web.json_response({}, status=status, headers=headers)
