"""Gateways that run as separate processes, with a store and workers."""

import asyncio
import contextlib
import dataclasses
import json
import os
import random
import signal
from typing import Any

import aiohttp

from bench import processes, stop_callers
from oleanderbay.platform import names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import group_worker, metadata_store, ports

HEARTBEAT_MS = 1_200
PARTITIONS = 24
ROUTE = {
    "host": "api",
    "timeout_ms": 10_000,
    "target_latency_ms": 1_000,
    "service": "chat",
}
CONFIGURATION: dict[str, Any] = {
    "version": 1,
    "routes": [
        {
            **ROUTE,
            "name": "stream",
            "path_prefix": "/stream/",
            "kind": "streaming",
            "target_gap_ms": 300,
            "max_attempts": 1,
        },
        {
            **ROUTE,
            "name": "post",
            "path_prefix": "/post/",
            "kind": "non_idempotent",
            "max_attempts": 1,
        },
    ],
    "services": [{"name": "chat", "max_connections": 298}],
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """What a run does.

    Attributes:
        seed: Seed of all draws.
        gateways: Number of gateways.
        workers: Number of workers.
        callers: Number of callers.
        stops: Number of planned stops.
        together: Number of gateways that are stopped at the same time.
        slow_share: Part of the callers that reads slowly.
        busy: Number of processes that only use processor time.
        changes: Whether configurations and SIGHUP come during the stops.
        grace_ms: Time from SIGTERM to SIGKILL.
        kinds: Kinds of requests.
    """

    seed: int = 1
    gateways: int = 3
    workers: int = 12
    callers: int = 50
    stops: int = 5
    together: int = 1
    slow_share: float = 0.5
    busy: int = 0
    changes: bool = False
    grace_ms: int = 8_000
    kinds: tuple[stop_callers.Kind, ...] = stop_callers.KINDS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stop:
    """One planned stop; times are monotonic.

    Attributes:
        gateway: Host of the gateway.
        start: Number of the start that was stopped.
        ended_ms: When its process had ended.
        killed: Whether it had to be killed.
    """

    gateway: str
    start: int
    term_ms: int
    ended_ms: int
    killed: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """An execution that has ended at a worker.

    Attributes:
        ended_ms: When it ended.
        complete: Whether its answer is complete.
    """

    ended_ms: int
    complete: bool


class Fleet:
    """The store, the workers and the gateways of a run.

    Attributes:
        hosts: Hosts of the gateways.
        starts: Number of starts of each gateway.
        started: Gateways whose newest start has become ready.
        stops: The planned stops so far.
        executions: Executions by request id.
        ready: Hosts that the directory names.
    """

    def __init__(self, options: Options, clock: clocks.Clock) -> None:
        self.options = options
        self.clock = clock
        self.rng = random.Random(options.seed)
        self.store = metadata_store.MetadataStore(PARTITIONS)
        self.workers = [
            group_worker.GroupWorker(f"w{number}")
            for number in range(options.workers)
        ]
        # Other runs on this machine have hosts of their own.
        subnet = 1 + os.getpid() % 250
        self.hosts = [
            f"127.{subnet}.{1 + options.seed % 250}.{10 + number}"
            for number in range(options.gateways)
        ]
        self.processes = processes.Processes()
        listeners = ("callers", "readiness", "directory", "peers")
        found = ports.free_ports(len(listeners), self.hosts)
        self.ports = dict(zip(listeners, found, strict=True))
        self.starts = dict.fromkeys(self.hosts, 0)
        self.started: set[str] = set()
        self.stops: list[Stop] = []
        self.executions: dict[str, list[Execution]] = {}
        self.ready: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Starts everything and waits until all gateways are ready."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=1)
        )
        await self.store.start()
        await self.configure(1)
        for worker in self.workers:
            await worker.start()
            worker.register(self.store, HEARTBEAT_MS)
            worker.ended = self._record_end
        for host in self.hosts:
            await self.start_gateway(host)
        for host in self.hosts:
            await self.wait_ready(host)
        self._tasks.append(asyncio.create_task(self._ask_directory()))
        self.ready = list(self.hosts)

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.processes.close()
        for worker in self.workers:
            await worker.close()
        await self.store.close()
        if self._session is not None:
            await self._session.close()

    async def configure(self, version: int) -> None:
        """Writes a configuration, which differs in its version only."""
        body = json.dumps({**CONFIGURATION, "version": version}).encode()
        await self.store.put(
            names.CONFIGURATION_TOPIC, names.CONFIGURATION_KEY, body
        )

    def began(self) -> set[str]:
        """Returns the ids of all requests that began to run."""
        return {
            execution.request_id
            for worker in self.workers
            for execution in worker.executions
        }

    async def start_gateway(self, host: str) -> None:
        """Starts a gateway."""
        path = self.processes.directory / f"{host}.json"
        path.write_text(json.dumps(self._settings(host)))
        self.starts[host] += 1
        self.started.discard(host)
        await self.processes.start(host, "gateway", "--settings", str(path))

    async def wait_ready(self, host: str) -> None:
        """Waits until a gateway is ready.

        Raises:
            TimeoutError: It is not ready after 30 s.
        """
        async with asyncio.timeout(30):
            while not await self._status(
                f"{host}:{self.ports['readiness']}", names.READY_PATH
            ):
                await self.clock.sleep_ms(50)
        self.started.add(host)

    async def stop_gateway(self, host: str) -> None:
        """Stops a gateway as planned, and starts it again."""
        grace_s = self.options.grace_ms / 1000
        term_ms = self.clock.now_ms()
        code = await self.processes.terminate(host, grace_s)
        killed = code is None
        if killed:
            await self.processes.kill(host)
        self.stops.append(
            Stop(
                gateway=host,
                start=self.starts[host],
                term_ms=term_ms,
                ended_ms=self.clock.now_ms(),
                killed=killed,
            )
        )
        await self.clock.sleep_ms(self.rng.uniform(0, 500))
        await self.start_gateway(host)
        await self.wait_ready(host)

    def callers(
        self,
        count: int,
        slow_share: float,
        kinds: tuple[stop_callers.Kind, ...],
    ) -> stop_callers.Callers:
        """Returns callers of all gateways, which have not started."""
        return stop_callers.Callers(
            count,
            slow_share,
            kinds,
            self.ports["callers"],
            lambda: self.ready,
            lambda host: self.starts[host],
            self.options.seed,
            self.clock,
        )

    async def make_changes(self, min_pause_ms: int, max_pause_ms: int) -> None:
        """Sends configurations and SIGHUP until cancelled."""
        version = 1
        while True:
            await self.clock.sleep_ms(
                self.rng.uniform(min_pause_ms, max_pause_ms)
            )
            version += 1
            await self.configure(version)
            # SIGHUP ends a process whose interpreter has not started yet.
            started = sorted(self.started & self.processes.by_name.keys())
            if started:
                with contextlib.suppress(ProcessLookupError):
                    self.processes.send_signal(
                        self.rng.choice(started), signal.SIGHUP
                    )

    def logs(self) -> str:
        """Returns what the gateways have logged."""
        return "".join(
            f"--- {path.name}\n{path.read_text()}"
            for path in sorted(self.processes.directory.glob("*.log"))
        )

    def _settings(self, host: str) -> dict[str, Any]:
        number = self.hosts.index(host)
        return {
            "entry": {
                "id": f"g{number}",
                "zone": f"z{number % 3}",
                "host": host,
            },
            "listeners": {
                "callers": f"{host}:{self.ports['callers']}",
                "readiness": f"{host}:{self.ports['readiness']}",
                "directory": f"{host}:{self.ports['directory']}",
                "directory_path": names.DIRECTORY_PATH,
            },
            "peers": {
                "port": self.ports["peers"],
                "seeds": [f"{seed}:1" for seed in self.hosts[:3]],
            },
            "store": {"address": self.store.address, "partitions": PARTITIONS},
            "workers": {"heartbeat_ms": HEARTBEAT_MS},
            "stop": {"grace_ms": self.options.grace_ms},
        }

    def _record_end(
        self, execution: group_worker.Execution, complete: bool
    ) -> None:
        self.executions.setdefault(execution.request_id, []).append(
            Execution(ended_ms=self.clock.now_ms(), complete=complete)
        )

    async def _ask_directory(self) -> None:
        """Follows the directory until cancelled."""
        while True:
            assert self._session is not None
            host = self.rng.choice(self.hosts)
            url = f"http://{host}:{self.ports['directory']}"
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, KeyError
            ):
                async with self._session.get(
                    url + names.DIRECTORY_PATH
                ) as response:
                    found = (await response.json())["addresses"]
                    self.ready = [a.rsplit(":", 1)[0] for a in found]
            await self.clock.sleep_ms(50)

    async def _status(self, address: str, path: str) -> bool:
        assert self._session is not None
        try:
            async with self._session.get(f"http://{address}{path}") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
