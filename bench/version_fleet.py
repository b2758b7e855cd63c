"""Gateways of one version before workers that fill up and fall silent."""

import asyncio
import json
import random
from typing import Any

from aiohttp import web

from bench import stop_callers, stop_fleet, upgrade_builds, upgrade_fleet
from oleanderbay.platform import names
from oleanderbay.process import clock as clocks

# Requests that a worker takes at once; it refuses any further one.
SLOTS = 9
QUEUED = 4
MORE_WORKERS_PER_DOMAIN = 6
SILENCE_MS = (300, 1_500)
# Part of the workers that falls silent together.
SILENT_SHARE = 0.7
ATTEMPTS = 2
STREAM = {
    **upgrade_fleet.ROUTE,
    "kind": "streaming",
    "target_latency_ms": 400,
    "target_gap_ms": 300,
    "timeout_ms": 8_000,
    "resumable": True,
    "max_attempts": ATTEMPTS,
}
CALL = {
    **upgrade_fleet.ROUTE,
    "target_latency_ms": 200,
    "timeout_ms": 2_500,
    "service": upgrade_fleet.PLAIN_SERVICE,
}
ROUTES: list[dict[str, Any]] = [
    {
        **STREAM,
        "name": "model",
        "path_prefix": "/stream/model/",
        "service": upgrade_fleet.GROUP_SERVICE,
    },
    {
        **STREAM,
        "name": "stream",
        "path_prefix": "/stream/",
        "service": upgrade_fleet.PLAIN_SERVICE,
    },
    {
        **CALL,
        "name": "post",
        "path_prefix": "/post/",
        "kind": "non_idempotent",
    },
    {
        **CALL,
        "name": "look",
        "path_prefix": "/look/",
        "kind": "idempotent",
        "max_attempts": ATTEMPTS,
    },
]


class SilentWorker(upgrade_fleet.JudgedWorker):
    """A worker that refuses requests while full, and can fall silent.

    Attributes:
        silent_until_ms: Monotonic time until which it writes nothing.
    """

    silent_until_ms = 0

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if len(self._running) >= SLOTS + QUEUED:
            return self._refusal(503)
        return await super()._serve(request)

    async def _wait_gap(self, request: web.Request) -> None:
        await super()._wait_gap(request)
        while (left_ms := self.silent_until_ms - self.clock.now_ms()) > 0:
            await self.clock.sleep_ms(left_ms)

    def record(self) -> dict[str, Any]:
        """Returns what the worker writes to the store."""
        return {**super().record(), "slots": SLOTS}


class VersionFleet(upgrade_fleet.UpgradeFleet):
    """A fleet whose streams may be resumed at another worker.

    Attributes:
        silences: How often workers fell silent together.
    """

    worker_class = SilentWorker

    def __init__(
        self,
        options: stop_fleet.Options,
        clock: clocks.Clock,
        build: upgrade_builds.Build,
    ) -> None:
        super().__init__(options, clock, build)
        self.silences = 0
        for number in range(upgrade_fleet.DOMAINS * MORE_WORKERS_PER_DOMAIN):
            self.workers.append(
                self._make_worker(
                    upgrade_fleet.GROUP_SERVICE,
                    f"d{number % upgrade_fleet.DOMAINS}",
                )
            )
        for worker in self.workers:
            worker.grouped = worker.service == upgrade_fleet.GROUP_SERVICE

    async def configure(self, version: int) -> None:
        """Writes a configuration; odd versions have other time-outs."""
        self.version = version
        services = [dict(s) for s in upgrade_fleet.CONFIGURATION["services"]]
        services[1]["engine"] = {**services[1]["engine"], "slots": SLOTS}
        routes = [dict(route) for route in ROUTES]
        if version % 2:
            routes[0]["timeout_ms"] = routes[1]["timeout_ms"] = 9_000
        await self.store.put(
            names.CONFIGURATION_TOPIC,
            names.CONFIGURATION_KEY,
            json.dumps(
                {"version": version, "routes": routes, "services": services}
            ).encode(),
        )

    async def silence_workers(self, interval_ms: int, seed: int) -> None:
        """Lets workers fall silent together now and then, until cancelled."""
        rng = random.Random(f"{seed}/silence")
        while True:
            await self.clock.sleep_ms(rng.uniform(0.5, 1.5) * interval_ms)
            until_ms = self.clock.now_ms() + rng.uniform(*SILENCE_MS)
            self.silences += 1
            for worker in self.workers:
                if rng.random() < SILENT_SHARE:
                    assert isinstance(worker, SilentWorker)
                    worker.silent_until_ms = round(until_ms)


def kinds() -> tuple[stop_callers.Kind, ...]:
    """Returns the kinds of requests."""

    def stream(name: str, path: str, events: int, **fields: Any) -> Any:
        return stop_callers.Kind(
            name=name,
            path=f"{path}x?events={events}&gap_ms=60&bytes=350",
            deadline_ms=8_000,
            repeatable=True,
            **fields,
        )

    models = [
        stream(
            f"stream of {model}",
            "/stream/model/",
            events,
            headers=((names.MODEL, model),),
        )
        for model in upgrade_fleet.MODELS
        for events in (20, 80)
    ]
    return (
        *models,
        stream("plain stream", "/stream/", 34),
        stop_callers.Kind(
            name="call that must run once",
            path="/post/x?gap_ms=45&bytes=800",
            deadline_ms=2_500,
            body=bytes(20_000),
        ),
        stop_callers.Kind(
            name="call that may run again",
            path="/look/x?gap_ms=45&bytes=800",
            deadline_ms=2_500,
            repeatable=True,
        ),
    )


async def cancel(tasks: list["asyncio.Task[None]"]) -> None:
    """Cancels tasks and waits for their end."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
