"""Planned stops of gateways that run as separate processes on loopback.

Callers keep using their connections until a gateway's process has gone. What
they and the workers saw is checked against the promises of a planned stop.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import os
import random
import signal
import sys
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from bench import processes, stop_callers
from oleanderbay.platform import names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import group_worker, metadata_store

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


def _stream(events: int, gap_ms: int, deadline_ms: int) -> stop_callers.Kind:
    return stop_callers.Kind(
        name=f"stream of {events * gap_ms} ms",
        path=f"/stream/x?events={events}&gap_ms={gap_ms}&bytes=150",
        deadline_ms=deadline_ms,
    )


KINDS = (
    _stream(12, 100, 10_000),
    _stream(36, 100, 10_000),
    _stream(33, 200, 10_000),
    stop_callers.Kind(
        name="post", path="/post/x?gap_ms=60&bytes=800", deadline_ms=2_500
    ),
)


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
    kinds: tuple[stop_callers.Kind, ...] = KINDS


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
    """An execution at a worker; `ended_ms` is 0 while it runs."""

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
        self.ports = _free_ports(self.hosts)
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
            worker.ended = self._record_end
        self._tasks.append(asyncio.create_task(self._publish()))
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

    async def _publish(self) -> None:
        """Writes the workers' records until cancelled."""
        while True:
            for worker in self.workers:
                body = json.dumps(worker.record()).encode()
                await self.store.put(names.WORKERS_TOPIC, worker.id, body)
            await self.clock.sleep_ms(HEARTBEAT_MS)

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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What a run has shown.

    Attributes:
        answered: Number of complete answers with status 200.
        refused: Number of answers with status 503.
        failed: Number of other complete answers.
        crossed: Number of requests that crossed the close of their connection.
        cut: Number of requests that the grace period ended, as is allowed.
        lost: Requests that a stop must not lose, one line each.
        broken: Other promises that were broken, one line each.
        stops_ms: How long each stop took.
    """

    answered: int
    refused: int
    failed: int
    crossed: int
    cut: int
    lost: list[str]
    broken: list[str]
    stops_ms: list[int]

    @property
    def holds(self) -> bool:
        """Whether requests were answered and all promises held."""
        return bool(self.answered) and not self.lost and not self.broken


# A request that is sent this late must not be cut off by the end of the grace
# period; one that was sent before may, if its worker was at work in the last
# sixth of that period.
EXCUSED_UNTIL_MS = 3_000
LAST_PART = 1 / 6
# A request that was read is answered, or its connection ends, within this time.
LOSS_SLACK_MS = 200


class Judge:
    """Compares what callers and workers saw with the promises of a stop."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.began = fleet.began()
        self.stops = {(stop.gateway, stop.start): stop for stop in fleet.stops}

    def report(self, sent: list[stop_callers.Sent]) -> Report:
        """Judges all requests of a run."""
        whole = [request for request in sent if request.complete]
        statuses = [request.status for request in whole]
        verdicts = {request.id: self._verdict(request) for request in sent}
        return Report(
            answered=statuses.count(200),
            refused=statuses.count(503),
            failed=sum(status not in (200, 503) for status in statuses),
            crossed=list(verdicts.values()).count("crossed"),
            cut=list(verdicts.values()).count("cut"),
            lost=[
                self._describe(request)
                for request in sent
                if verdicts[request.id] == "lost"
            ],
            broken=[
                *(line for request in sent for line in self._broken(request)),
                *(
                    f"{stop.gateway} was killed at the end of its grace period"
                    for stop in self.fleet.stops
                    if stop.killed
                ),
            ],
            stops_ms=[
                stop.ended_ms - stop.term_ms for stop in self.fleet.stops
            ],
        )

    def _verdict(self, request: stop_callers.Sent) -> str:
        stop = self.stops.get((request.gateway, request.start))
        if request.complete:
            return "answered"
        ran = self.fleet.executions.get(request.id)
        waited_ms = request.ended_ms - request.sent_ms
        if waited_ms >= request.kind.deadline_ms and request.id in self.began:
            return "expired"
        if stop is None or request.ended_ms < stop.term_ms:
            return "lost"
        if not ran:
            return "crossed" if waited_ms <= LOSS_SLACK_MS else "lost"
        last_ms = stop.term_ms + (1 - LAST_PART) * self.fleet.options.grace_ms
        at_work = min(ran[-1].ended_ms, request.ended_ms) >= last_ms
        if at_work and request.sent_ms <= stop.term_ms + EXCUSED_UNTIL_MS:
            return "cut"
        return "lost"

    def _broken(self, request: stop_callers.Sent) -> list[str]:
        ran = self.fleet.executions.get(request.id, [])
        broken = []
        if len(ran) > 1:
            broken.append(f"{request.id} ran {len(ran)} times")
        if request.complete and request.status not in (200, 503, 504):
            broken.append(f"{request.id} was answered with {request.status}")
        if (
            request.complete
            and request.status == 503
            and request.id in self.began
        ):
            broken.append(f"{request.id} was refused as not run and has run")
        if request.complete and request.status == 200:
            if not ran or not ran[-1].complete:
                broken.append(f"{request.id} has an answer that is not whole")
            elif "stream" in request.kind.name and not _is_whole(request):
                broken.append(f"{request.id} lacks events")
        return broken

    def _describe(self, request: stop_callers.Sent) -> str:
        stop = self.stops.get((request.gateway, request.start))
        since = stop.term_ms if stop is not None else request.sent_ms
        ran = self.fleet.executions.get(request.id)
        work = (
            f"worker ended at {ran[-1].ended_ms - since} ms"
            f" ({'whole' if ran[-1].complete else 'cut'})"
            if ran
            else "not passed on"
        )
        return (
            f"{request.id} ({request.kind.name}"
            f"{', slow' if request.slow else ''}) at {request.gateway}"
            f"{'' if stop is not None else ' without a stop'}: sent at"
            f" {request.sent_ms - since} ms, ended at"
            f" {request.ended_ms - since} ms, status {request.status}, {work}"
            f"{', process ended at ' if stop else ''}"
            f"{f'{stop.ended_ms - since} ms' if stop else ''}"
        )


def _is_whole(request: stop_callers.Sent) -> bool:
    events = request.kind.path.partition("events=")[2].partition("&")[0]
    ids = [
        int(line[4:])
        for line in request.body.split(b"\n")
        if line.startswith(b"id: ")
    ]
    return ids == list(range(int(events)))


async def run(options: Options) -> tuple[Report, str]:
    """Makes one run; returns what it has shown and the gateways' logs."""
    clock = clocks.SystemClock()
    fleet = Fleet(options, clock)
    async with _busy_processes(options.busy):
        try:
            await fleet.start()
            callers = stop_callers.Callers(
                options.callers,
                options.slow_share,
                options.kinds,
                fleet.ports["callers"],
                lambda: fleet.ready,
                lambda host: fleet.starts[host],
                options.seed,
                clock,
            )
            callers.start()
            await clock.sleep_ms(1_500)
            changes = asyncio.create_task(_make_changes(fleet))
            for first in range(0, options.stops, options.together):
                stopped = [
                    fleet.hosts[number % options.gateways]
                    for number in range(
                        first, min(first + options.together, options.stops)
                    )
                ]
                await asyncio.gather(
                    *(
                        _stop_later(fleet, host)
                        for host in dict.fromkeys(stopped)
                    )
                )
            changes.cancel()
            await callers.close()
            # Workers notice the end of a connection a little later.
            await clock.sleep_ms(200)
        finally:
            logs = fleet.logs()
            await fleet.close()
    return Judge(fleet).report(callers.sent), logs


async def _stop_later(fleet: Fleet, host: str) -> None:
    if fleet.options.together > 1:
        await fleet.clock.sleep_ms(fleet.rng.uniform(0, 3_000))
    await fleet.stop_gateway(host)


async def _make_changes(fleet: Fleet) -> None:
    version = 1
    while fleet.options.changes:
        await fleet.clock.sleep_ms(fleet.rng.uniform(300, 1_500))
        version += 1
        await fleet.configure(version)
        # SIGHUP ends a process whose interpreter has not started yet.
        started = sorted(fleet.started & fleet.processes.by_name.keys())
        if started:
            with contextlib.suppress(ProcessLookupError):
                fleet.processes.send_signal(
                    fleet.rng.choice(started), signal.SIGHUP
                )


@contextlib.asynccontextmanager
async def _busy_processes(count: int) -> AsyncIterator[None]:
    busy = [
        await asyncio.create_subprocess_exec(
            sys.executable, "-c", "while True: pass"
        )
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in busy:
            process.kill()
            await process.wait()


def _free_ports(hosts: list[str]) -> dict[str, int]:
    """Returns ports that are the same on all hosts."""
    return {
        name: processes.free_port(hosts[0])
        for name in ("callers", "readiness", "directory", "peers")
    }


def main() -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m bench.planned_stops", description=__doc__
    )
    defaults = Options()
    for field in dataclasses.fields(Options):
        default = getattr(defaults, field.name)
        flag = f"--{field.name.replace('_', '-')}"
        if isinstance(default, bool):
            parser.add_argument(flag, action="store_true")
        elif not isinstance(default, tuple):
            parser.add_argument(flag, type=type(default), default=default)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of runs, from --seed on"
    )
    parser.add_argument(
        "--logs", action="store_true", help="print the logs of failed runs"
    )
    args = vars(parser.parse_args())
    seeds, logs_wanted = args.pop("seeds"), args.pop("logs")
    broken = 0
    first = args.pop("seed")
    for seed in range(first, first + seeds):
        report, logs = asyncio.run(run(Options(seed=seed, **args)))
        print(
            json.dumps({"seed": seed, **dataclasses.asdict(report)}), flush=True
        )
        if not report.holds:
            broken += 1
            if logs_wanted:
                print(logs, file=sys.stderr)
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
