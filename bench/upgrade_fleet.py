"""Gateways of two versions, with a store, plain workers and groups."""

import asyncio
import json
import os
import pathlib
from collections.abc import Callable, Iterator
from typing import Any

from bench import stop_callers, stop_fleet, upgrade_builds
from oleanderbay.gateway import workers
from oleanderbay.platform import names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import group_worker, settings_template

PLAIN_SERVICE = "desk"
GROUP_SERVICE = "chat"
MODELS = ("small", "large")
GROUP_SIZE = 2
DOMAINS = 2
WORKERS_PER_DOMAIN = 4
PLAIN_WORKERS = 10
STATE = workers.MemberState
# A worker serves for this time after its entry says that it leaves, and some
# time longer for what it runs.
DRAIN_MS = 2_000
LEAVE_LIMIT_MS = 8_000
ROUTE = {
    "host": "api",
    "timeout_ms": 10_000,
    "target_latency_ms": 1_000,
    "max_attempts": 1,
}
STREAM = {**ROUTE, "kind": "streaming", "target_gap_ms": 300}
CONFIGURATION: dict[str, Any] = {
    "routes": [
        {
            **STREAM,
            "name": "stream",
            "path_prefix": "/stream/",
            "service": PLAIN_SERVICE,
        },
        {
            **STREAM,
            "name": "model",
            "path_prefix": "/stream/model/",
            "service": GROUP_SERVICE,
        },
        {
            **ROUTE,
            "name": "post",
            "path_prefix": "/post/",
            "kind": "non_idempotent",
            "service": PLAIN_SERVICE,
        },
        {
            **ROUTE,
            "name": "look",
            "path_prefix": "/look/",
            "kind": "idempotent",
            "service": PLAIN_SERVICE,
        },
    ],
    "services": [
        {"name": PLAIN_SERVICE, "max_connections": 298},
        {
            "name": GROUP_SERVICE,
            "engine": {
                "slots": 4,
                "loads_per_s": 100,
                "models": [
                    {"name": name, "size": GROUP_SIZE, "share": 0.5}
                    for name in MODELS
                ],
            },
        },
    ],
}


class StartError(Exception):
    """A gateway can't be started; the message says why."""


class JudgedWorker(group_worker.GroupWorker):
    """A worker that tells of orders that break a rule.

    Attributes:
        joins: Called before the worker joins a group, with its name.
        opens: Called before the worker begins to serve a group.
    """

    def __init__(
        self, worker_id: str, service: str, zone: str, domain: str
    ) -> None:
        super().__init__(worker_id, service, zone, domain)
        self.joins: Callable[[JudgedWorker, str], None] = lambda *_: None
        self.opens: Callable[[JudgedWorker], None] = lambda _: None

    def before_join(self, group: str) -> None:
        """Tells of it."""
        super().before_join(group)
        self.joins(self, group)

    def before_open(self) -> None:
        """Tells of it."""
        super().before_open()
        self.opens(self)


class UpgradeFleet(stop_fleet.Fleet):
    """A fleet whose gateways each run one of two versions.

    Attributes:
        builds: Version that each gateway starts with next, by host.
        running: Version that each gateway was started with, by host.
        versions: Name of the version of each start, by host and number.
        violations: Rules that workers saw broken, one line each.
        drained_ms: When a worker's entry said that it leaves, by its id.
        worker_class: Kind of the workers.
    """

    worker_class: type[JudgedWorker] = JudgedWorker

    def __init__(
        self,
        options: stop_fleet.Options,
        clock: clocks.Clock,
        build: upgrade_builds.Build,
    ) -> None:
        super().__init__(options, clock)
        self.builds = dict.fromkeys(self.hosts, build)
        self.running: dict[str, upgrade_builds.Build] = {}
        self.versions: dict[tuple[str, int], str] = {}
        self.violations: list[str] = []
        self.drained_ms: dict[str, int] = {}
        self.version = 0
        self._numbers: Iterator[int] = iter(range(10_000))
        self._left: list[group_worker.GroupWorker] = []
        self.workers = []
        for _ in range(PLAIN_WORKERS):
            self.workers.append(self._make_worker(PLAIN_SERVICE, ""))
        for number in range(DOMAINS * WORKERS_PER_DOMAIN):
            domain = f"d{number % DOMAINS}"
            self.workers.append(self._make_worker(GROUP_SERVICE, domain))

    async def configure(self, version: int) -> None:
        """Writes a configuration; odd versions have one more route."""
        self.version = version
        routes = list(CONFIGURATION["routes"])
        if version % 2:
            routes.append(
                {
                    **STREAM,
                    "name": "more",
                    "path_prefix": "/stream/more/",
                    "service": PLAIN_SERVICE,
                }
            )
        body = {**CONFIGURATION, "version": version, "routes": routes}
        await self.store.put(
            names.CONFIGURATION_TOPIC,
            names.CONFIGURATION_KEY,
            json.dumps(body).encode(),
        )

    async def start_gateway(self, host: str) -> None:
        """Starts a gateway with the version that it is to have."""
        build = self.builds[host]
        path = self.processes.directory / f"{host}.json5"
        path.write_text(
            settings_template.render(build.template, self._values(host))
        )
        self.starts[host] += 1
        self.started.discard(host)
        self.running[host] = build
        self.versions[host, self.starts[host]] = build.name
        await self.processes.start_command(
            host,
            build.command,
            {**build.environment, "OLEANDERBAY_CONFIG": str(path)},
            build.folder,
        )

    async def wait_ready(self, host: str) -> None:
        """Waits until a gateway is ready.

        Raises:
            StartError: Its process has ended, or it is not ready after 30 s.
        """
        ready = asyncio.ensure_future(super().wait_ready(host))
        process = self.processes.by_name[host]
        ended = asyncio.ensure_future(process.wait())
        try:
            await asyncio.wait(
                (ready, ended), return_when=asyncio.FIRST_COMPLETED
            )
            if not ready.done():
                raise StartError(f"{host} ended: {self._last_line(host)}")
            try:
                await ready
            except TimeoutError:
                raise StartError(f"{host} does not become ready") from None
        finally:
            for task in (ready, ended):
                task.cancel()

    async def replace_worker(self, service: str) -> None:
        """Makes a worker leave as planned and starts another in its place."""
        leaving = self.rng.choice(
            [w for w in self.workers if w.service == service and not w.draining]
        )
        added = self._make_worker(service, leaving.domain)
        await added.start()
        added.register(self.store, stop_fleet.HEARTBEAT_MS)
        self.workers.append(added)
        leaving.draining = True
        assert leaving.registration is not None
        await leaving.registration.write()
        self.drained_ms[leaving.id] = self.clock.now_ms()
        until_ms = self.clock.now_ms() + LEAVE_LIMIT_MS
        await self.clock.sleep_ms(DRAIN_MS)
        while leaving.running and self.clock.now_ms() < until_ms:
            await self.clock.sleep_ms(50)
        self.workers.remove(leaving)
        self._left.append(leaving)
        await leaving.registration.remove()
        await leaving.close()

    def all_workers(self) -> list[group_worker.GroupWorker]:
        """Returns the workers, also those that have left."""
        return self.workers + self._left

    def began(self) -> set[str]:
        """Returns the ids of all requests that began to run."""
        return {
            execution.request_id
            for worker in self.all_workers()
            for execution in worker.executions
        }

    def open_groups(self) -> list[str]:
        """Returns the names of the groups that serve."""
        return [
            worker.group.group
            for worker in self.workers
            if worker.group is not None and serves(worker)
        ]

    def late_requests(self) -> list[str]:
        """Returns which requests reached workers that had to get none."""
        return [
            f"DRAIN: {execution.request_id} reached {worker.id} {late_ms} ms"
            " too late"
            for worker in self.all_workers()
            if worker.id in self.drained_ms
            for execution in worker.executions
            if (
                late_ms := execution.began_ms
                - self.drained_ms[worker.id]
                - DRAIN_MS
            )
            > 0
        ]

    def _make_worker(self, service: str, domain: str) -> JudgedWorker:
        number = next(self._numbers)
        worker = self.worker_class(
            f"w{number}", service, f"z{number % 3}", domain
        )
        worker.ended = self._record_end
        worker.joins = self._check_join
        worker.opens = self._check_members
        return worker

    def _check_join(self, worker: JudgedWorker, group: str) -> None:
        known = worker.group
        if known is None or known.group == group:
            return
        head = self._worker(worker.members[0])
        if (
            head is not None
            and head.in_group(known.group, known.epoch)
            and serves(head)
        ):
            self.violations.append(
                f"TWO: {worker.id} of {known.group}, which serves, joins"
                f" {group}"
            )

    def _check_members(self, head: JudgedWorker) -> None:
        assert head.group is not None
        key = head.group.group, head.group.epoch
        for name in head.members:
            member = self._worker(name)
            if (
                member is None
                or member.group is None
                or not member.in_group(*key)
                or member.group.state is STATE.JOINING
            ):
                self.violations.append(
                    f"PARTIAL: {head.group.group} opens without {name}"
                )

    def _worker(self, name: str) -> group_worker.GroupWorker | None:
        return next((w for w in self.workers if w.id == name), None)

    def _values(self, host: str) -> dict[str, Any]:
        """Returns what the platform fills into the settings of a gateway."""
        number = self.hosts.index(host)
        return {
            "node": f"g{number}",
            "zone": f"z{number % 3}",
            "ip": host,
            "listen": {
                "front": f"{host}:{self.ports['callers']}",
                "ready": f"{host}:{self.ports['readiness']}",
                "directory": f"{host}:{self.ports['directory']}",
            },
            "internal_ports": [self.ports["peers"]],
            "seeds": [f"{seed}:1" for seed in self.hosts[:3]],
            "platform": {
                "address": self.store.address,
                "parts": stop_fleet.PARTITIONS,
            },
            "heartbeat_ms": stop_fleet.HEARTBEAT_MS,
            "bounds": {"grace_s": self.options.grace_ms // 1_000},
        }

    def _last_line(self, host: str) -> str:
        path: pathlib.Path = self.processes.directory / f"{host}.log"
        lines = path.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "no output"


def serves(worker: group_worker.GroupWorker) -> bool:
    """Whether a worker is the head of an open group."""
    return worker.group is not None and worker.group.state is STATE.OPEN


def available_mb() -> int:
    """Returns half of the machine's memory, which a trial may use."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return pages // 2 >> 20


def kinds(model: str) -> tuple[stop_callers.Kind, ...]:
    """Returns the kinds of requests while one model is in demand."""

    def stream(name: str, path: str, events: int, **fields: Any) -> Any:
        return stop_callers.Kind(
            name=name,
            path=f"{path}x?events={events}&gap_ms=100&bytes=150",
            deadline_ms=10_000,
            **fields,
        )

    def call(name: str, path: str) -> stop_callers.Kind:
        return stop_callers.Kind(
            name=name, path=f"{path}x?gap_ms=60&bytes=800", deadline_ms=2_500
        )

    model_stream = stream(
        "stream of a model",
        "/stream/model/",
        12,
        headers=((names.MODEL, model),),
    )
    return (
        stream("short stream", "/stream/", 12),
        stream("long stream", "/stream/", 30),
        model_stream,
        model_stream,
        call("call that must run once", "/post/"),
        call("call that may run again", "/look/"),
    )
