"""Several entries in one process, without sockets and on a manual clock."""

import asyncio
import dataclasses
import random

import msgpack

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.configuration import replication
from oleanderbay.process.membership import neighbours
from oleanderbay.standins import instances, log
from oleanderbay.version import records, resources

LATENCY_MS = 1


class EntryClock:
    """The clock of one entry that can be paused like its process."""

    def __init__(self, base):
        self.base = base
        self.running = asyncio.Event()
        self.running.set()

    def now_ms(self):
        return self.base.now_ms()

    def wall_ms(self):
        return self.base.wall_ms()

    async def sleep_ms(self, delay_ms):
        await self.base.sleep_ms(delay_ms)
        await self.running.wait()


class EntryLog(log.LogClient):
    """An entry's way to the log; answers wait while the entry is paused."""

    def __init__(self, state, clock):
        super().__init__(state)
        self.clock = clock

    async def append(self, *args):
        try:
            return await super().append(*args)
        finally:
            await self.clock.running.wait()

    async def read(self, *args):
        try:
            return await super().read(*args)
        finally:
            await self.clock.running.wait()


class Transport:
    """Implements `PeerTransport` over a `Network`."""

    def __init__(self, network, entry, clock):
        self.network = network
        self.entry = entry
        self.clock = clock
        self.handlers = {}
        network.transports[entry.start_id] = self

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, start_id, kind, body):
        self.network.start(self.network.carry(self, start_id, kind, body))

    def broadcast(self, kind, body):
        for start_id in list(self.network.transports):
            if start_id != self.entry.start_id:
                self.send(start_id, kind, body)

    async def request(self, start_id, kind, body, timeout_ms):
        task = self.network.start(
            self.network.carry(self, start_id, kind, body, answer=True)
        )
        timer = asyncio.ensure_future(self.clock.sleep_ms(timeout_ms))
        try:
            await asyncio.wait((task, timer), return_when="FIRST_COMPLETED")
            if not task.done():
                raise interfaces.PeerError("no answer in time")
            return task.result()
        finally:
            timer.cancel()
            task.cancel()


class Network:
    """Carries messages; `blocked` holds pairs of ids (from, to)."""

    def __init__(self, clock):
        self.clock = clock
        self.transports = {}
        self.blocked = set()
        self.tasks = set()

    def start(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def _finish(self, task):
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _hop(self, source, target):
        await self.clock.sleep_ms(LATENCY_MS)
        if (source.entry.id, target.entry.id) in self.blocked:
            await asyncio.Event().wait()
        await target.clock.running.wait()

    async def carry(self, source, start_id, kind, body, answer=False):
        target = self.transports.get(start_id)
        if target is None or kind not in target.handlers:
            raise interfaces.PeerError("no link")
        body = msgpack.unpackb(msgpack.packb(body))
        await self._hop(source, target)
        result = await target.handlers[kind](source.entry, body)
        if answer:
            await self._hop(target, source)
            return msgpack.unpackb(msgpack.packb(result))


class Node:
    """One entry."""

    def __init__(self, cluster, id, run):
        self.id = id
        self.entry = interfaces.Entry(
            id=id,
            start_id=f"{id}-{run}",
            zone="abc"[int(id[1:]) % 3],
            caller_address=f"{id}:1",
            peer_address=f"{id}:2",
        )
        self.clock = EntryClock(cluster.clock)
        self.log = EntryLog(cluster.log, self.clock)
        self.transport = Transport(cluster.network, self.entry, self.clock)
        self.replica = replication.Replication(
            self.entry,
            self.log,
            cluster.instances,
            self.clock,
            random.Random(f"{cluster.seed} {id} {run}"),
            cluster.settings,
            transport=self.transport,
        )

    @property
    def offset(self):
        return self.replica.follower.current.offset

    @property
    def state(self):
        return self.replica.lease.state()


class Cluster:
    """Entries, the log and the instance list."""

    def __init__(self, count, seed=1, settings=None, bounded=False):
        self.seed = seed
        self.settings = settings or replication.Settings()
        self.clock = clocks.ManualClock()
        self.log = log.Log(self.clock)
        self.instances = instances.Instances(self.clock)
        self.network = Network(self.clock)
        self.nodes = {}
        self.count = count
        self.bounded = bounded
        self.runs = 0

    async def __aenter__(self):
        for number in range(self.count):
            await self.start(f"e{number}")
        await self.clock.advance(2_000)
        return self

    async def __aexit__(self, *error):
        for id in list(self.nodes):
            await self.kill(id)
        await self.log.close()
        for task in list(self.network.tasks):
            task.cancel()
        await asyncio.gather(*self.network.tasks, return_exceptions=True)

    def __getitem__(self, number):
        return self.nodes[f"e{number}"]

    async def start(self, id):
        self.runs += 1
        node = Node(self, id, self.runs)
        self.nodes[id] = node
        await node.replica.start()
        linked = self.nodes
        if self.bounded:
            zones = {f"e{n}": "abc"[n % 3] for n in range(self.count)}
            linked = neighbours.choose(id, zones)
        for other in self.nodes.values():
            if other is not node and other.id in linked:
                other.replica.heartbeats.note_link(node.entry, True)
                node.replica.heartbeats.note_link(other.entry, True)
        return node

    async def kill(self, id):
        node = self.nodes.pop(id)
        del self.network.transports[node.entry.start_id]
        node.clock.running.set()
        for other in self.nodes.values():
            other.replica.heartbeats.note_link(node.entry, False)
        await node.replica.stop()

    def partition(self, *sides):
        """Blocks all messages between the sides, given as node numbers."""
        self.network.blocked = {
            (f"e{a}", f"e{b}")
            for side in sides
            for other in sides
            if side is not other
            for a in side
            for b in other
        }

    async def while_running(self, awaitable, limit_ms=20_000):
        """Advances the clock until something is done."""
        task = asyncio.ensure_future(awaitable)
        for _ in range(limit_ms // 10):
            if task.done():
                break
            await self.clock.advance(10)
        return await task


def team_record(id, base=0, expected=0, record_id=None, **fields):
    """Returns an encoded change that upserts one team."""
    team = resources.Team(id=id, name=id, fleet="f", **fields)
    return records.encode(
        records.Record(
            id=record_id or records.id_of_request(f"team {id} {expected}"),
            author="test",
            base=base,
            at_ms=1_700_000_000_000,
            body=records.Change(
                upserts=(records.Upsert(resource=team, expected=expected),)
            ),
        )
    )


def fleet_record():
    """Returns an encoded change that makes the fleet of the teams."""
    return records.encode(
        records.Record(
            id=records.id_of_request("fleet"),
            author="test",
            base=0,
            at_ms=1_700_000_000_000,
            body=records.Change(
                upserts=(
                    records.Upsert(resource=resources.Fleet(id="f", name="f")),
                )
            ),
        )
    )


def limits(**fields):
    """Returns settings with some fields changed."""
    return dataclasses.replace(replication.Settings(), **fields)
