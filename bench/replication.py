"""How fast changes get into force, and what entries cost each other."""

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Iterator

import aiohttp
import structlog

from bench import harness
from oleanderbay.connection import frames
from oleanderbay.native import interfaces as native
from oleanderbay.native import log_http
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.configuration import replication
from oleanderbay.process.membership import heartbeats, membership, neighbours
from oleanderbay.standins import instances, log, ports
from oleanderbay.version import records, resources

ENTRIES = 7
ZONES = 3
APPEND_DELAY_MS = 10
CHANGES = 300
CHANGES_PER_S = 20
SIZES = (3, 7, 14, 28)
CHANGES_PER_DAY = 39_000
IDLE_S = 4
BUSY_S = 4
BUSY_PER_S = 10


class CutLog:
    """A way to the log that can be cut."""

    def __init__(self, log_service: native.LogService) -> None:
        self.cut = False
        self._log_service = log_service

    async def append(self, stream: str, data: bytes, timeout_ms: int) -> int:
        """Appends unless cut."""
        self._check()
        return await self._log_service.append(stream, data, timeout_ms)

    async def read(
        self,
        stream: str,
        start: int,
        limit: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> native.LogPage:
        """Reads unless cut."""
        self._check()
        page = await self._log_service.read(
            stream, start, limit, wait_ms, timeout_ms
        )
        self._check()
        return page

    def _check(self) -> None:
        if self.cut:
            raise native.PlatformUnavailableError("cut off from the log")


class Fleet:
    """Entries with TCP links on loopback and a log over HTTP."""

    def __init__(self, count: int, append_delay_ms: int) -> None:
        self.clock = clocks.SystemClock()
        self.count = count
        self.server = log.LogServer(
            log.Log(
                self.clock, faults=log.Faults(append_delay_ms=append_delay_ms)
            )
        )
        self.instances = instances.Instances(self.clock)
        self.nodes: list[replication.Replication] = []
        self.logs: list[CutLog] = []

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Starts all and waits until each hears as many as it should."""
        await self.server.start("127.0.0.1", 0)
        for number in range(self.count):
            address = f"127.0.0.1:{ports.free_port('127.0.0.1')}"
            client = log_http.HttpLog(f"http://{self.server.address}", session)
            self.logs.append(CutLog(client))
            node = replication.Replication(
                interfaces.Entry(
                    id=f"entry-{number:02}",
                    start_id=f"entry-{number:02}-1",
                    zone=f"zone-{number % ZONES}",
                    caller_address="127.0.0.1:1",
                    peer_address=address,
                ),
                self.logs[-1],
                self.instances,
                self.clock,
                random.Random(number),
                replication.Settings(listen_address=address),
            )
            await node.start()
            self.nodes.append(node)
        while not all(self._is_up(node) for node in self.nodes):
            await self.clock.sleep_ms(100)

    async def close(self) -> None:
        """Stops all."""
        for node in self.nodes:
            await node.stop()
        await self.server.close()

    def sent_bytes(self) -> int:
        """Returns the bytes that all entries sent to peers."""
        return sum(
            node.links.total_sent_bytes()
            for node in self.nodes
            if node.links is not None
        )

    def _is_up(self, node: replication.Replication) -> bool:
        zones = node.members.known_zones()
        wanted = neighbours.choose(
            node.members.me.id, zones, node.settings.full_mesh_entries
        )
        return (
            len(zones) == self.count
            and len(node.members.live()) > len(wanted)
            and node.lease.state() is interfaces.Freshness.FRESH
        )


def run() -> Iterator[harness.Result]:
    """Yields all figures."""
    yield from counts()
    with _quiet():
        yield asyncio.run(_in_force("in_force_p99", 0))
        yield asyncio.run(_in_force("in_force_p99_half_cut", -(-ENTRIES // 2)))
        yield from asyncio.run(_traffic())


def counts() -> Iterator[harness.Result]:
    """Yields figures that each run gives alike."""
    said = membership.Heartbeat(
        offset=1_000_000,
        digest="ff" * 16,
        confirmation_age_ms=500,
        view_digest="ff" * 8,
        appends_per_s=100,
    )
    body = heartbeats.encode(1_000_000, 1_000_000, said)
    size = len(frames.encode("heartbeat", 0, body))
    yield harness.Result(
        name="replication.heartbeat_size",
        value=size,
        unit="bytes",
        deterministic=True,
    )
    series = []
    for count in (*SIZES, 100, 400, 1_100):
        zones = {f"e{n:05}": f"z{n % 26}" for n in range(count)}
        links = max(len(neighbours.choose(id, zones)) for id in zones)
        series.append([count, links])
    yield harness.Result(
        name="replication.most_links",
        value=series[-1][1],
        unit="count",
        deterministic=True,
        detail={"series": series, "zones": 26},
    )


async def _in_force(name: str, cut: int) -> harness.Result:
    fleet = Fleet(ENTRIES, APPEND_DELAY_MS)
    async with aiohttp.ClientSession() as session:
        await fleet.start(session)
        for number in range(cut):
            fleet.logs[number].cut = True
        await fleet.clock.sleep_ms(1_000)
        author = fleet.nodes[-1]
        waits: list[asyncio.Task[float]] = []
        for number in range(CHANGES):
            waits.append(asyncio.create_task(_change(fleet, author, number)))
            await fleet.clock.sleep_ms(1_000 / CHANGES_PER_S)
        delays = sorted(await asyncio.gather(*waits))
        pulled = sum(node.relay.pulled for node in fleet.nodes)
        await fleet.close()
    return harness.Result(
        name=f"replication.{name}",
        value=_quantile(delays, 0.99),
        unit="ms",
        detail={
            "entries": ENTRIES,
            "cut_off": cut,
            "changes": CHANGES,
            "append_delay_ms": APPEND_DELAY_MS,
            "median_ms": _quantile(delays, 0.5),
            "maximum_ms": delays[-1],
            "records_from_peers": pulled,
            "from": "answer of the append",
            "to": "applied by the last entry",
        },
    )


async def _change(
    fleet: Fleet, author: replication.Replication, number: int
) -> float:
    offset = await author.appender.append(
        "config", _record(number), "operator", 5_000
    )
    start_ns = time.monotonic_ns()
    await asyncio.gather(
        *(node.follower.wait_offset(offset, 10_000) for node in fleet.nodes)
    )
    return (time.monotonic_ns() - start_ns) / 1e6


async def _traffic() -> list[harness.Result]:
    idle_bytes, idle_cpu, relay_bytes, relay_cpu = [], [], [], []
    for count in SIZES:
        fleet = Fleet(count, 0)
        async with aiohttp.ClientSession() as session:
            await fleet.start(session)
            idle = await _measure(fleet, IDLE_S, 0)
            for number in range(count // 2):
                fleet.logs[number].cut = True
            await fleet.clock.sleep_ms(1_000)
            cut = await _measure(fleet, IDLE_S, 0)
            busy = await _measure(fleet, BUSY_S, BUSY_PER_S)
            await fleet.close()
        idle_bytes.append([count, idle[0] / 1000])
        idle_cpu.append([count, idle[1]])
        # What the changes add, scaled to the changes of an ordinary day.
        scale = CHANGES_PER_DAY / 86_400 / BUSY_PER_S
        relay_bytes.append([count, (busy[0] - cut[0]) * scale / 1000])
        relay_cpu.append([count, (busy[1] - cut[1]) * scale])
    return [
        _series("heartbeat_rate", idle_bytes, "KB/s"),
        _series("heartbeat_cpu", idle_cpu, "ms/s"),
        _series("relay_rate", relay_bytes, "KB/s"),
        _series("relay_cpu", relay_cpu, "ms/s"),
    ]


async def _measure(
    fleet: Fleet, seconds: int, per_s: int
) -> tuple[float, float]:
    # Returns bytes sent to peers and ms of processor time, both for each
    # second and entry. The processor time includes the stand-in log's.
    sent, cpu_ns = fleet.sent_bytes(), time.process_time_ns()
    start_ns = time.monotonic_ns()
    first = fleet.server.log.appended
    for number in range(max(1, per_s) * seconds):
        if per_s:
            fleet.server.log.append_now("config", _record(first + number))
        await fleet.clock.sleep_ms(1_000 / max(1, per_s))
    elapsed_s = (time.monotonic_ns() - start_ns) / 1e9
    parts = elapsed_s * fleet.count
    return (
        (fleet.sent_bytes() - sent) / parts,
        (time.process_time_ns() - cpu_ns) / 1e6 / parts,
    )


def _series(name: str, series: list[list[float]], unit: str) -> harness.Result:
    return harness.Result(
        name=f"replication.{name}",
        value=max(value for _, value in series),
        unit=unit,
        detail={"series": series, "per": "entry"},
    )


def _record(number: int) -> bytes:
    team = resources.Team(
        id=f"team-{number:06}",
        name=f"team {number}",
        fleet="",
        max_in_flight=number + 1,
    )
    return records.encode(
        records.Record(
            id=records.id_of_request(f"bench {number}"),
            author="entry-00-1",
            base=0,
            at_ms=1_700_000_000_000 + number,
            body=records.Change(upserts=(records.Upsert(resource=team),)),
        )
    )


def _quantile(ordered: list[float], quantile: float) -> float:
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


@contextlib.contextmanager
def _quiet() -> Iterator[None]:
    # Writing log lines would be measured too.
    before = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    logging.disable(logging.INFO)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)
        structlog.configure(**before)
