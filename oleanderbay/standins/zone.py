"""Gateways on a manual clock, with their store and links in memory.

Nothing here opens a socket or waits for real time, so that failures happen at
chosen times and counts of calls and bytes are alike in each run.
"""

import asyncio
import collections
import random
from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import test_utils

from oleanderbay.gateway import entry, interfaces, settings
from oleanderbay.platform import http_headers, orders, records, store
from oleanderbay.process import clock as clocks
from oleanderbay.standins import metadata_store

LATENCY_MS = 2
HEADERS = {"Host": "127.0.0.1:10000", "Accept": "*/*"}


class ProcessClock:
    """The clock of one process, which can be paused or slowed.

    Attributes:
        base: The clock of the site.
        factor: How many times longer each wait takes.
        running: Not set while the process is paused.
    """

    def __init__(self, base: clocks.ManualClock) -> None:
        self.base = base
        self.now_ms = base.now_ms
        self.wall_ms = base.wall_ms
        self.boot_ms = base.boot_ms
        self.factor = 1
        self.running = asyncio.Event()
        self.running.set()

    async def sleep_ms(self, delay_ms: float) -> None:
        """Waits for a number of ms of this process."""
        await self.base.sleep_ms(delay_ms * self.factor)
        await self.running.wait()


class LocalStore(store.HttpStore):
    """One gateway's client of a store that is not behind a socket.

    Attributes:
        mode: `ok`, `refuse` or `silent`.
        calls: Number of calls by path.
        moved: Bytes of requests and answers by path, with short headers.
    """

    def __init__(
        self, site: metadata_store.MetadataStore, clock: clocks.Clock
    ) -> None:
        super().__init__("local", site.partitions, 500)
        self.site = site
        self.clock = clock
        self.mode = "ok"
        self.calls: collections.Counter[str] = collections.Counter()
        self.moved: collections.Counter[str] = collections.Counter()

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        data: bytes | None = None,
        head_timeout_ms: int | None = None,
    ) -> store.Answer:
        self.calls[path] += 1
        await self.clock.sleep_ms(LATENCY_MS)
        if self.mode == "refuse":
            return store.Answer(503, self.site.era, b"")
        if self.mode == "silent":
            await self.clock.sleep_ms(head_timeout_ms or self.timeout_ms)
            raise interfaces.StoreError("no answer")
        wait_ms = int(query.get("wait_ms", "0"))
        kept = len(self.site.topics.get(query.get("topic", ""), ()))
        if wait_ms and int(query["from"]) >= kept:
            await self.clock.sleep_ms(wait_ms)
        target = f"{path}?" + "&".join(
            f"{k}={v}" for k, v in query.items() if k != "wait_ms"
        )
        handlers: dict[str, Callable[..., Any]] = {
            "/log-read": self.site._on_read,
            "/log-newest": self.site._on_newest,
        }
        answer = await handlers[path](
            test_utils.make_mocked_request(method, target, HEADERS)
        )
        body = bytes(answer.body)
        head = "".join(f"{k}: {v}\r\n" for k, v in HEADERS.items())
        self.moved[path] += len(f"{method} {target} HTTP/1.1\r\n{head}\r\n")
        head = f"HTTP/1.1 {answer.status} OK\r\nContent-Length: {len(body)}"
        self.moved[path] += len(f"{head}\r\n\r\n") + len(body)
        await self.clock.sleep_ms(LATENCY_MS)
        return store.Answer(answer.status, self.site.era, body)


class Writer:
    """One direction of a connection in memory."""

    def __init__(
        self, network: "Network", path: tuple[str, str], ends: list[Any]
    ) -> None:
        self.network = network
        self.path = path
        self.near, self.far = ends
        self.transport = self
        self.closed = False

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if not self.closed:
            self.network.sent[self.path] += len(data)
            self.network.deliver(self.path, lambda: self._feed(data))

    async def drain(self) -> None:
        """Returns at once; the other end takes everything."""

    def abort(self) -> None:
        """Ends the connection; data in flight may still arrive."""
        if not self.closed:
            self.closed = True
            self.near.feed_eof()
            self.network.deliver(self.path, self.far.feed_eof)

    close = abort

    def _feed(self, data: bytes) -> None:
        if not self.far.at_eof() and not self.far._eof:
            self.far.feed_data(data)


class Network:
    """Links between gateways.

    Attributes:
        cuts: Pairs of hosts that nothing passes between.
        paused: Hosts whose process is paused.
        sent: Bytes of connections by sender and receiver.
        nodes: The gateways that run, by host.
    """

    def __init__(self) -> None:
        self.cuts: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.sent: collections.Counter[tuple[str, str]] = collections.Counter()
        self.nodes: dict[str, Node] = {}
        self._held: list[tuple[tuple[str, str], Callable[[], None]]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def passes(self, path: tuple[str, str]) -> bool:
        """Whether a message arrives now."""
        return frozenset(path) not in self.cuts and path[1] not in self.paused

    def deliver(
        self, path: tuple[str, str], arrive: Callable[[], None]
    ) -> None:
        """Lets something arrive, if need be once the link works again."""
        if self.passes(path):
            arrive()
        else:
            self._held.append((path, arrive))

    def release(self) -> None:
        """Delivers what was held up by links that work again."""
        held, self._held = self._held, []
        for path, arrive in held:
            self.deliver(path, arrive)

    def datagram(self, path: tuple[str, str], packed: bytes) -> None:
        """Sends a datagram, which may be lost."""
        if path[1] in self.nodes and self.passes(path):
            self.nodes[path[1]].gateway.peers._received(packed)

    async def connect(self, source: str, target: str) -> tuple[Any, Any]:
        """Opens a connection; without a link it hangs."""
        path = (source, target)
        if not self.passes(path):
            await asyncio.Event().wait()
        if target not in self.nodes:
            raise ConnectionRefusedError(target)
        ends = [asyncio.StreamReader(), asyncio.StreamReader()]
        near = Writer(self, path, ends)
        far = Writer(self, path[::-1], ends[::-1])
        node = self.nodes[target]
        node.connections += [near, far]
        if source in self.nodes:
            self.nodes[source].connections += [near, far]
        serve = node.gateway.peers._serve(ends[1], far)  # type: ignore[arg-type]
        task = asyncio.get_running_loop().create_task(serve)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return ends[0], near


class Node:
    """One gateway without listeners, orders and ownership.

    Attributes:
        clock: Its own clock.
        store: Its client of the store.
        gateway: The gateway.
        connections: All ends of connections that it had.
    """

    def __init__(
        self,
        network: Network,
        site: metadata_store.MetadataStore,
        base: clocks.ManualClock,
        config: settings.Settings,
    ) -> None:
        self.network = network
        self.host = config.entry.host
        self.clock = ProcessClock(base)
        self.store = LocalStore(site, self.clock)
        self.connections: list[Writer] = []
        self.gateway = entry.Gateway(
            config,
            self.store,
            orders.HttpOrders(1, 1),
            records.JsonDecoder(),
            http_headers.HeaderTranslator(),
            self.clock,
            random.Random(1),
        )
        self.gateway.peers._transport = self  # type: ignore[assignment]
        self.gateway.shared_reads.connect = self._connect
        # Records fetched from peers would hide that a reader sent none.
        self.gateway.peers._fetch = self._no_fetch  # type: ignore
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts to read, to follow and to send heartbeats."""
        self.network.nodes[self.host] = self
        made = self.gateway
        for run in (
            *(followed.run for followed in made.feeds.values()),
            made.peers.run,
            made.shared_reads.run,
        ):
            self._tasks.append(asyncio.get_running_loop().create_task(run()))

    def kill(self) -> None:
        """Ends the process; its connections are reset."""
        del self.network.nodes[self.host]
        for task in self._tasks:
            task.cancel()
        self.gateway.shared_reads.close()
        for one in self.connections:
            one.abort()

    def pause(self) -> None:
        """Stops the process where it waits."""
        self.clock.running.clear()
        self.network.paused.add(self.host)

    def resume(self) -> None:
        """Continues the process."""
        self.clock.running.set()
        self.network.paused.discard(self.host)
        self.network.release()

    def sendto(self, packed: bytes, place: tuple[str, int]) -> None:
        """Sends a datagram."""
        self.network.datagram((self.host, place[0]), packed)

    async def _no_fetch(self, _: Any, __: str) -> bool:
        return False

    async def _connect(self, host: str) -> tuple[Any, Any]:
        return await self.network.connect(self.host, host)


def gateway_settings(
    number: int, zone: str, seeds: tuple[str, ...], silence_ms: int
) -> settings.Settings:
    """Returns the settings of one gateway; seeds are the others' hosts."""
    host = host_of(number)
    return settings.Settings(
        entry=settings.EntrySettings(
            id=f"gateway-{number}", zone=zone, host=host
        ),
        listeners=settings.ListenerSettings(
            callers=f"{host}:1", readiness=f"{host}:2"
        ),
        peers=settings.PeerSettings(port=3, seeds=seeds),
        store=settings.StoreSettings(
            address="local:1", reader_silence_ms=silence_ms
        ),
    )


def host_of(number: int) -> str:
    """Returns the address of a gateway."""
    return f"127.9.{number // 250}.{number % 250 + 1}"
