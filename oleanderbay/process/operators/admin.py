"""The listener for health, readiness, status and metrics."""

from collections.abc import Callable, Mapping
from typing import Any

import mode
from aiohttp import web

from oleanderbay.process import settings as settings_module
from oleanderbay.process import telemetry as telemetry_module


class AdminListener(mode.Service):  # type: ignore[misc]
    """Serves `/healthz`, `/readyz`, `/status` and `/metrics`.

    Attributes:
        port: The port in use once started.
    """

    def __init__(
        self,
        config: settings_module.ListenerSettings,
        telemetry: telemetry_module.Telemetry,
        readiness: Callable[[], Mapping[str, bool]],
        status: Callable[[], Mapping[str, Any]] = dict,
    ) -> None:
        """Makes the listener.

        Args:
            config: Where to listen.
            telemetry: Source of the metrics.
            readiness: Named conditions that must all hold.
            status: What the entry waits for, for operators.
        """
        super().__init__()
        self.config = config
        self.telemetry = telemetry
        self.readiness = readiness
        self.status = status
        self.port = config.port
        self.runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Starts to listen."""
        application = web.Application()
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/readyz", self._ready)
        application.router.add_get("/status", self._status)
        application.router.add_get("/metrics", self._metrics)
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.config.host, self.config.port)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Stops to listen."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _ready(self, request: web.Request) -> web.Response:
        conditions = dict(self.readiness())
        ready = all(conditions.values())
        return web.json_response(
            {"ready": ready, "conditions": conditions},
            status=200 if ready else 503,
        )

    async def _status(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.status()))

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.telemetry.exposition(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )
