"""A stand-in for the platform's instance list, in process and over HTTP.

Faults are set on `Instances.faults`, or over HTTP with `POST /faults` and a
JSON object of the fields to change. `DELETE /instances/{id}` removes a line.
"""

import dataclasses
from collections.abc import Sequence

from aiohttp import web

from oleanderbay.native import instances_http, interfaces
from oleanderbay.process import clock as clocks
from oleanderbay.process import deadline
from oleanderbay.standins import log, server


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """What goes wrong at the instance list.

    Attributes:
        down: Every call is refused.
        delay_ms: Time that each call takes.
        lag_ms: Time after which a change becomes visible.
    """

    down: bool = False
    delay_ms: int = 0
    lag_ms: int = 0


class Instances:
    """The instance list; also an in-process `InstanceList`.

    Attributes:
        faults: What goes wrong for all clients.
        ttl_ms: Time after its last announcement when a line is removed;
            0 keeps it until `remove`.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        ttl_ms: int = 0,
        faults: Faults | None = None,
    ) -> None:
        self.clock = clock
        self.faults = faults or Faults()
        self.ttl_ms = ttl_ms
        self._changes: list[tuple[int, str, interfaces.Instance | None]] = []
        self._lines: dict[str, tuple[int, interfaces.Instance]] = {}

    def put(self, instance: interfaces.Instance) -> None:
        """Adds or replaces a line; visible after the lag."""
        self._changes.append((self.clock.now_ms(), instance.id, instance))

    def remove(self, instance: str) -> None:
        """Removes a line; visible after the lag."""
        self._changes.append((self.clock.now_ms(), instance, None))

    def visible(self) -> tuple[interfaces.Instance, ...]:
        """Returns the lines that the lag lets through, by id."""
        now_ms = self.clock.now_ms()
        visible_ms = now_ms - self.faults.lag_ms
        while self._changes and self._changes[0][0] <= visible_ms:
            changed_ms, id, instance = self._changes.pop(0)
            if instance is None:
                self._lines.pop(id, None)
            else:
                self._lines[id] = (changed_ms, instance)
        return tuple(
            instance
            for _, (changed_ms, instance) in sorted(self._lines.items())
            if not self.ttl_ms or visible_ms - changed_ms <= self.ttl_ms
        )

    async def instances(self, timeout_ms: int) -> Sequence[interfaces.Instance]:
        """Returns all lines.

        Raises:
            PlatformError: The list could not be read.
        """
        await self._reach(timeout_ms)
        return self.visible()

    async def announce(
        self, instance: interfaces.Instance, timeout_ms: int
    ) -> None:
        """Adds or replaces a line.

        Raises:
            PlatformError: The line may not have been written.
        """
        await self._reach(timeout_ms)
        self.put(instance)

    async def _reach(self, timeout_ms: int) -> None:
        if self.faults.down:
            raise interfaces.PlatformUnavailableError(
                "the instance list is down"
            )
        try:
            await deadline.within(
                self.clock,
                self.clock.sleep_ms(self.faults.delay_ms),
                timeout_ms,
            )
        except TimeoutError as error:
            raise interfaces.PlatformUnknownError(
                "the instance list did not answer in time"
            ) from error


class InstancesServer:
    """Serves an `Instances` over HTTP.

    Attributes:
        instances: The list that is served.
        address: `host:port` once started.
    """

    def __init__(self, instances: Instances) -> None:
        self.instances = instances
        self.address = ""
        self._server = server.HttpServer()

    async def start(self, host: str, port: int) -> None:
        """Listens; port 0 takes any free port."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/instances", self._get),
                web.put("/instances/{id}", self._put),
                web.delete("/instances/{id}", self._delete),
                web.get("/faults", self._show_faults),
                web.post("/faults", self._set_faults),
            ]
        )
        self.address = await self._server.start(app, host, port)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        await self._server.close()

    async def _get(self, request: web.Request) -> web.Response:
        await self.instances.clock.sleep_ms(self.instances.faults.delay_ms)
        if self.instances.faults.down:
            return web.json_response({"error": "down"}, status=503)
        return web.json_response(
            [dataclasses.asdict(line) for line in self.instances.visible()]
        )

    async def _put(self, request: web.Request) -> web.Response:
        await self.instances.clock.sleep_ms(self.instances.faults.delay_ms)
        if self.instances.faults.down:
            return web.json_response({"error": "down"}, status=503)
        try:
            instance = instances_http.decode(await request.json())
        except (TypeError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        if instance.id != request.match_info["id"]:
            return web.json_response({"error": "ids differ"}, status=400)
        self.instances.put(instance)
        return web.json_response({})

    async def _delete(self, request: web.Request) -> web.Response:
        self.instances.remove(request.match_info["id"])
        return web.json_response({})

    async def _show_faults(self, request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(self.instances.faults))

    async def _set_faults(self, request: web.Request) -> web.Response:
        return await log.set_fields(request, self.instances.faults)
