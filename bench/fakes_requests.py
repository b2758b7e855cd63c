"""Entries, peer messages, upstreams and a log in one process.

Everything runs on one fake clock; nothing here opens a socket.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

import msgpack
import xxhash

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces

HEARTBEAT_MS = 500
DEAD_MS = 2_000


class Node:
    """One entry's membership view and transport."""

    def __init__(self, cluster: "Cluster", entry: interfaces.Entry) -> None:
        self.cluster = cluster
        self.me = entry
        self.handlers: dict[str, interfaces.PeerHandler] = {}
        self.heard: dict[str, tuple[int, str]] = {}
        self.sent_bytes = 0
        self.sent_messages = 0

    # Membership view.

    def live(self) -> tuple[interfaces.Entry, ...]:
        now_ms = self.cluster.clock.now_ms()
        ids = {self.me.start_id}
        for id, (at_ms, _) in self.heard.items():
            if now_ms - at_ms < DEAD_MS:
                ids.add(id)
        return tuple(self.cluster.nodes[id].me for id in sorted(ids))

    def known_count(self) -> int:
        return self.cluster.known

    def view_digest(self) -> str:
        text = ",".join(entry.start_id for entry in self.live())
        return xxhash.xxh3_64_hexdigest(text.encode())

    def view_confirmations(self, max_age_ms: int) -> int:
        now_ms = self.cluster.clock.now_ms()
        mine = self.view_digest()
        return 1 + sum(
            view == mine and now_ms - at_ms < max_age_ms
            for at_ms, view in self.heard.values()
        )

    # Transport.

    def register(self, kind: str, handler: interfaces.PeerHandler) -> None:
        self.handlers[kind] = handler

    def send(self, start_id: str, kind: str, body: Any) -> None:
        async def deliver() -> None:
            try:
                await self.request(start_id, kind, body, 1_000)
            except interfaces.PeerError:
                pass

        self.cluster.spawn(deliver())

    def broadcast(self, kind: str, body: Any) -> None:
        for id in self.cluster.nodes:
            if id != self.me.start_id:
                self.send(id, kind, body)

    async def request(
        self, start_id: str, kind: str, body: Any, timeout_ms: int
    ) -> Any:
        cluster = self.cluster
        due_ms = cluster.clock.now_ms() + timeout_ms
        packed = msgpack.packb(body)
        self.sent_bytes += len(packed) + 8
        self.sent_messages += 1
        target = cluster.nodes.get(start_id)
        if target is None or start_id in cluster.dead:
            raise interfaces.PeerError("no link")
        await cluster.travel(self.me.start_id, start_id, due_ms)
        answer = await target.handlers[kind](self.me, msgpack.unpackb(packed))
        packed = msgpack.packb(answer)
        target.sent_bytes += len(packed) + 8
        await cluster.travel(start_id, self.me.start_id, due_ms)
        return msgpack.unpackb(packed)


class Cluster:
    """Entries with links that can be cut and processes that can pause."""

    def __init__(
        self, clock: clocks.ManualClock, count: int, delay_ms: int = 1
    ) -> None:
        self.clock = clock
        self.delay_ms = delay_ms
        self.known = count
        self.nodes: dict[str, Node] = {}
        self.blocked: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.dead: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        for index in range(count):
            self.add(f"s{index}")

    def add(self, start_id: str) -> Node:
        node = Node(
            self,
            interfaces.Entry(
                id=f"entry-{start_id}",
                start_id=start_id,
                zone="z0",
                caller_address="",
                peer_address="",
            ),
        )
        self.nodes[start_id] = node
        return node

    def kill(self, start_id: str) -> None:
        self.dead.add(start_id)

    def cut(self, one: str, other: str, both: bool = True) -> None:
        self.blocked.add((one, other))
        if both:
            self.blocked.add((other, one))

    def isolate(self, start_id: str) -> None:
        for other in self.nodes:
            if other != start_id:
                self.cut(start_id, other)

    def heal(self) -> None:
        self.blocked.clear()

    def beat(self) -> None:
        """Sends one heartbeat over every link that works."""
        now_ms = self.clock.now_ms()
        silent = self.paused | self.dead
        views = {
            id: node.view_digest()
            for id, node in self.nodes.items()
            if id not in silent
        }
        for id, view in views.items():
            for other in views:
                if id != other and (id, other) not in self.blocked:
                    self.nodes[other].heard[id] = (now_ms, view)

    async def travel(self, source: str, target: str, due_ms: int) -> None:
        await self.clock.sleep_ms(self.delay_ms)
        while (source, target) in self.blocked or (
            {source, target} & (self.paused | self.dead)
        ):
            if self.clock.now_ms() >= due_ms:
                raise interfaces.PeerError("no answer in time")
            await self.clock.sleep_ms(min(50, due_ms - self.clock.now_ms()))

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Fleet:
    """Upstreams of one service with a view that all entries share."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.list: dict[str, interfaces.Upstream] = {}
        self.loads: dict[str, interfaces.UpstreamLoad] = {}
        self.callbacks: list[Callable[[str], None]] = []
        self.suspected: list[str] = []

    def upstreams(self, service: str) -> tuple[interfaces.Upstream, ...]:
        return tuple(u for u in self.list.values() if u.service == service)

    def load(self, upstream: str) -> interfaces.UpstreamLoad | None:
        return self.loads.get(upstream)

    def suspect(self, upstream: str, reason: str) -> None:
        self.suspected.append(upstream)

    def on_change(self, callback: Callable[[str], None]) -> None:
        self.callbacks.append(callback)

    def set(self, upstream: interfaces.Upstream) -> None:
        self.list[upstream.id] = upstream
        for callback in self.callbacks:
            callback(upstream.service)

    def remove(self, id: str) -> None:
        service = self.list.pop(id).service
        for callback in self.callbacks:
            callback(service)


def make_fleet(
    clock: clocks.Clock,
    count: int,
    cold_limit: int = 1,
    warm_limit: int = 16,
    zones: int = 1,
) -> Fleet:
    """Returns a fleet of upstreams `g0`, `g1`, ... of service `s`."""
    fleet = Fleet(clock)
    for index in range(count):
        fleet.list[f"g{index}"] = interfaces.Upstream(
            id=f"g{index}",
            service="s",
            zone=f"z{index % zones}",
            address=f"127.0.0.1:{10_000 + index}",
            start_id=f"g{index}-1",
            cold_limit=cold_limit,
            warm_limit=warm_limit,
        )
    return fleet


class Engine:
    """An upstream that handles little until it has served some requests.

    Attributes:
        overloads: Requests that came while it was at its capacity.
        peak_cold: Most requests in flight while it was cold.
    """

    def __init__(
        self, fleet: Fleet, id: str, warm_after: int = 4, run_ms: int = 200
    ) -> None:
        self.fleet = fleet
        self.id = id
        self.warm_after = warm_after
        self.run_ms = run_ms
        self.in_flight = 0
        self.served = 0
        self.overloads = 0
        self.peak_cold = 0
        self.starts = 0
        self.life = 0

    @property
    def cold(self) -> bool:
        return self.served < self.warm_after

    @property
    def capacity(self) -> int:
        upstream = self.fleet.list[self.id]
        return upstream.cold_limit if self.cold else upstream.warm_limit

    def begin(self) -> int:
        self.in_flight += 1
        self.starts += 1
        if self.cold:
            self.peak_cold = max(self.peak_cold, self.in_flight)
        if self.in_flight > self.capacity:
            self.overloads += 1
        return self.life

    def end(self, life: int) -> None:
        """Ends a request that began in one life of the process."""
        if life == self.life:
            self.in_flight -= 1
            self.served += 1

    def restart(self) -> None:
        """Becomes cold without changing its description."""
        self.served = 0
        self.in_flight = 0
        self.life += 1

    def report(self) -> None:
        self.fleet.loads[self.id] = interfaces.UpstreamLoad(
            running=self.in_flight,
            served=self.served,
            cold=self.cold,
            reported_at_ms=self.fleet.clock.now_ms(),
        )


@dataclasses.dataclass
class Log:
    """A log that is also its own appender; the next appends can be lost.

    Attributes:
        down: Whether it refuses everything.
        lose: How many of the next appends take effect without an answer.
        lost_before: How many of the next appends vanish without an answer.
    """

    clock: clocks.Clock
    down: bool = False
    lose: int = 0
    lost_before: int = 0
    first: int = 1
    appends: int = 0
    reads: int = 0
    streams: dict[str, list[bytes]] = dataclasses.field(default_factory=dict)

    async def append(
        self, stream: str, data: bytes, use: str, timeout_ms: int
    ) -> int:
        await asyncio.sleep(0)
        if self.down:
            raise native.PlatformUnavailableError("down")
        self.appends += 1
        if self.lost_before:
            self.lost_before -= 1
            raise native.PlatformUnknownError("no answer")
        records = self.streams.setdefault(stream, [])
        records.append(data)
        offset = len(records)
        await asyncio.sleep(0)
        if self.lose:
            self.lose -= 1
            raise native.PlatformUnknownError("answer lost")
        return offset

    async def read(
        self, stream: str, start: int, limit: int, wait_ms: int, timeout_ms: int
    ) -> native.LogPage:
        await asyncio.sleep(0)
        if self.down:
            raise native.PlatformUnavailableError("down")
        self.reads += 1
        if start < self.first:
            raise native.RecordsExpiredError(self.first)
        records = self.streams.get(stream, [])
        part = records[start - 1 : start - 1 + limit]
        return native.LogPage(
            records=tuple(
                native.LogRecord(start + index, data)
                for index, data in enumerate(part)
            ),
            first=self.first,
            end=len(records) + 1,
        )
