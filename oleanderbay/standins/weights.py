"""A stand-in for the rate-limited weight store."""

import asyncio
from typing import Any

from aiohttp import web

from oleanderbay.process import clock as clocks
from oleanderbay.standins import server


class WeightsStandIn:
    """Passes loads through one after the other at a fixed total rate.

    Attributes:
        rate_bytes_per_s: Total rate.
        active_loads: Loads that wait or are in progress.
        stalled: Whether no load makes progress.
        records: Finished loads, oldest first.
        address: `host:port` that it listens on.
    """

    def __init__(
        self, rate_bytes_per_s: int, clock: clocks.Clock | None = None
    ) -> None:
        self.rate_bytes_per_s = rate_bytes_per_s
        self.active_loads = 0
        self.stalled = False
        self.records: list[dict[str, Any]] = []
        self.address = ""
        self._clock = clock or clocks.SystemClock()
        self._turn = asyncio.Lock()
        self._moving = asyncio.Event()
        self._moving.set()
        self._server = server.HttpServer(cancels=True)

    async def start(self, host: str, port: int) -> None:
        """Listens; port 0 picks a free one, see `address`."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/v1/state", self._on_state),
                web.post("/v1/loads", self._on_load),
                web.post("/control/fault", self._on_fault),
                web.get("/control/records", self._on_records),
            ]
        )
        self.address = await self._server.start(app, host, port)

    async def close(self) -> None:
        """Stops listening and drops loads in progress."""
        await self._server.close()

    async def load(self, size_bytes: int) -> None:
        """Waits for its turn and for the bytes to pass."""
        self.active_loads += 1
        try:
            async with self._turn:
                await self._moving.wait()
                await self._clock.sleep_ms(
                    size_bytes * 1000 / self.rate_bytes_per_s
                )
                await self._moving.wait()
        finally:
            self.active_loads -= 1
        self.records.append(
            {
                "event": "loaded",
                "at_ms": self._clock.wall_ms(),
                "bytes": size_bytes,
            }
        )

    def set_stalled(self, stalled: bool) -> None:
        """Stops or continues all loads."""
        self.stalled = stalled
        if stalled:
            self._moving.clear()
        else:
            self._moving.set()

    async def _on_state(self, request: web.Request) -> web.Response:
        del request
        return web.json_response(
            {
                "rate_bytes_per_s": 0
                if self.stalled
                else self.rate_bytes_per_s,
                "active_loads": self.active_loads,
            }
        )

    async def _on_load(self, request: web.Request) -> web.Response:
        size_bytes = int((await request.json())["bytes"])
        await self.load(size_bytes)
        return web.json_response({"bytes": size_bytes})

    async def _on_fault(self, request: web.Request) -> web.Response:
        wanted = await request.json()
        self.set_stalled(bool(wanted["stalled"]))
        return web.json_response({"stalled": self.stalled})

    async def _on_records(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"records": self.records})
