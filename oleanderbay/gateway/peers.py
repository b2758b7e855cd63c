"""Heartbeats between gateways, and records that one has and another lacks."""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgpack
import structlog
import xxhash

from oleanderbay.connection import frames
from oleanderbay.gateway import feed, interfaces
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

PROTOCOL = 1
RECORDS = "records"
FETCH_TIMEOUT_MS = 500
# A peer's newer offset counts after this time, in which the own read of the
# store usually gets there by itself.
FETCH_AFTER_MS = 250
# Silent addresses are tried this often, in heartbeats.
SILENT_EVERY = 10
# Heartbeats of many gateways are spread up to this time. Peers' loads and
# suspicions would be too old for a choice after a longer one.
LONGEST_INTERVAL_MS = 1_000
# A peer is live for this many of its intervals; with fewer, datagrams that are
# lost in a row would take a gateway out of the directory.
LIVE_INTERVALS = 4
# Each request and event asks for the number of gateways, whose count visits
# all peers; a new address or peer is counted at once.
COUNT_EVERY_MS = 100

log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class Peer:
    """What a peer said last.

    Attributes:
        id: Its id.
        start_id: Its run of the process.
        host: IP address for peers.
        zone: Its availability zone.
        callers: `host:port` for callers.
        ready: Whether it takes callers' requests.
        leaving: Whether it leaves.
        heard_ms: Monotonic time of its last heartbeat.
        sequence: Number of that heartbeat.
        offsets: Offsets of its feeds by topic.
        store_age_ms: Time since the store answered it.
        interval_ms: Time from that heartbeat to its next one.
        ahead_since_ms: Since when it has had newer records, by topic.
    """

    id: str
    start_id: str
    host: str
    zone: str
    callers: str
    ready: bool
    leaving: bool
    heard_ms: int
    sequence: int
    offsets: Mapping[str, int]
    store_age_ms: int
    interval_ms: int
    ahead_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)


Contents = Callable[[], dict[str, Any]]
Heard = Callable[[Peer, Mapping[str, Any]], None]
# Serves a connection from its first frame on; the connection is then closed.
Handler = Callable[
    [frames.Frame, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, received: Callable[[bytes], None]) -> None:
        self.received = received

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received(data)

    def error_received(self, exc: Exception) -> None:
        # A peer that is down answers by ICMP; its silence is what counts.
        pass


class Peers:
    """Owns the sockets towards other gateways.

    Attributes:
        id: Id of this gateway.
        start_id: This run of the process.
        live: Peers that were heard from lately, by id.
        addresses: Hosts at which gateways were seen, with the id there.
        handlers: What serves connections, by the kind of their first frame.
    """

    def __init__(
        self,
        config: settings_module.Settings,
        start_id: str,
        clock: clocks.Clock,
        feeds: Mapping[str, feed.Feed],
        contents: Contents,
        heard: Heard,
        telemetry: telemetry_module.Telemetry = telemetry_module.OFF,
    ) -> None:
        self.telemetry = telemetry
        self.config = config
        self.id = config.entry.id
        self.start_id = start_id
        self.clock = clock
        self.feeds = feeds
        self.contents = contents
        self.heard = heard
        self.live: dict[str, Peer] = {}
        self.handlers: dict[str, Handler] = {RECORDS: self._serve_records}
        self.addresses: dict[str, str] = {
            seed.partition(":")[0]: "" for seed in config.peers.seeds
        }
        self._seen: dict[str, Peer] = {}
        self._started_ms = clock.now_ms()
        self._sequence = 0
        self._count = 1
        self._counted_ms = -COUNT_EVERY_MS
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._fetches: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Opens the sockets."""
        loop = asyncio.get_running_loop()
        place = (self.config.entry.host, self.config.peers.port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._received), local_addr=place
        )
        self._server = await asyncio.start_server(self._serve, *place)

    async def close(self) -> None:
        """Closes the sockets."""
        for task in tuple(self._fetches):
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            await self.clock.sleep_ms(self.interval_ms())

    def interval_ms(self) -> int:
        """Returns the time to the next heartbeat.

        It grows with the known gateways, so that a full mesh of heartbeats
        stays within the limit of the settings up to the longest interval.
        """
        peers = self.config.peers
        live = {peer.host for peer in self.live.values()}
        silent = self.addresses.keys() - live - {self.config.entry.host}
        links = len(live) + len(silent) / SILENT_EVERY
        spread_ms = math.ceil(1000 * links / peers.max_heartbeats_per_s)
        return max(peers.heartbeat_ms, min(LONGEST_INTERVAL_MS, spread_ms))

    def known(self) -> int:
        """Returns the number of gateways that share global limits."""
        now_ms = self.clock.now_ms()
        if not 0 <= now_ms - self._counted_ms < COUNT_EVERY_MS:
            self._count = self._counted()
            self._counted_ms = now_ms
        return self._count

    def _counted(self) -> int:
        count = 1 + sum(map(self._counts, self._seen.values()))
        if self._starting():
            # Until all peers had time to be heard, addresses count as peers.
            others = len(self.addresses) - (
                self.config.entry.host in self.addresses
            )
            count = max(count, 1 + others)
        return count

    def rank(self, key: str) -> int:
        """Returns this gateway's place in the order of gateways for a key."""
        hosts = {
            peer.host for peer in self._seen.values() if self._counts(peer)
        }
        if self._starting():
            hosts.update(self.addresses)
        own = self.config.entry.host
        place = xxhash.xxh64_intdigest(f"{key}/{own}".encode())
        return sum(
            xxhash.xxh64_intdigest(f"{key}/{host}".encode()) < place
            for host in hosts - {own}
        )

    def add_address(self, host: str, peer_id: str) -> None:
        """Takes note of an address at which a gateway may be."""
        if peer_id != self.id:
            self.addresses[host] = peer_id
            self._counted_ms = -COUNT_EVERY_MS

    def forget(self, peer_id: str) -> None:
        """Drops the addresses of a gateway that left for good."""
        for host, known in tuple(self.addresses.items()):
            if known == peer_id and peer_id not in self.live:
                del self.addresses[host]

    def send_heartbeats(self) -> None:
        """Sends one heartbeat to each peer and reviews which are live."""
        self._review()
        self._sequence += 1
        packed = msgpack.packb(
            {
                "protocol": PROTOCOL,
                "id": self.id,
                "start_id": self.start_id,
                "host": self.config.entry.host,
                "zone": self.config.entry.zone,
                "callers": self.config.listeners.callers,
                "sequence": self._sequence,
                "offsets": {n: f.offset for n, f in self.feeds.items()},
                "store_age_ms": min(f.age_ms() for f in self.feeds.values()),
                "interval_ms": self.interval_ms(),
                **self.contents(),
            }
        )
        hosts = {peer.host for peer in self.live.values()}
        for host in self.addresses:
            if host in hosts or self._sequence % SILENT_EVERY == 1:
                self._send(host, packed)

    def _send(self, host: str, packed: bytes) -> None:
        if host == self.config.entry.host or self._transport is None:
            return
        try:
            self._transport.sendto(packed, (host, self.config.peers.port))
        except OSError as error:
            log.debug("heartbeat not sent", host=host, error=str(error))

    def _received(self, data: bytes) -> None:
        try:
            body = msgpack.unpackb(data)
            if body["protocol"] != PROTOCOL or body["id"] == self.id:
                return
            peer = Peer(
                id=body["id"],
                start_id=body["start_id"],
                host=body["host"],
                zone=body["zone"],
                callers=body["callers"],
                ready=bool(body["ready"]),
                leaving=bool(body["leaving"]),
                heard_ms=self.clock.now_ms(),
                sequence=int(body["sequence"]),
                offsets=dict(body["offsets"]),
                store_age_ms=int(body["store_age_ms"]),
                # Gateways of an earlier version don't say it.
                interval_ms=int(
                    body.get("interval_ms", self.config.peers.heartbeat_ms)
                ),
            )
        except (
            ValueError,
            KeyError,
            TypeError,
            msgpack.UnpackException,
        ) as error:
            log.debug("heartbeat is malformed", error=repr(error))
            return
        before = self._seen.get(peer.id)
        if before is not None:
            if (
                before.start_id == peer.start_id
                and before.sequence >= peer.sequence
            ):
                return
            if before.host != peer.host:
                self.addresses.pop(before.host, None)
            peer.ahead_since_ms = before.ahead_since_ms
        first = peer.id not in self.live
        if first:
            # A peer that was silent for long counts again.
            self._counted_ms = -COUNT_EVERY_MS
        self._seen[peer.id] = peer
        self.live[peer.id] = peer
        self.addresses[peer.host] = peer.id
        if first:
            log.info("peer heard", peer=peer.id, host=peer.host)
        self.heard(peer, body)
        self._compare(peer)

    def _review(self) -> None:
        now_ms = self.clock.now_ms()
        for peer in tuple(self.live.values()):
            if now_ms - peer.heard_ms > self._live_ms(peer):
                del self.live[peer.id]
                log.info("peer silent", peer=peer.id)
        for peer in tuple(self._seen.values()):
            if now_ms - peer.heard_ms > 10 * self._forget_ms(peer):
                del self._seen[peer.id]
                self.addresses.pop(peer.host, None)

    def _live_ms(self, peer: Peer) -> int:
        # The interval comes from the network, so it is bounded here.
        longest_ms = max(LONGEST_INTERVAL_MS, self.config.peers.heartbeat_ms)
        return max(
            self.config.peers.live_ms,
            LIVE_INTERVALS * min(peer.interval_ms, longest_ms),
        )

    def _forget_ms(self, peer: Peer) -> int:
        # A live peer always counts towards the shares of global limits.
        return max(self.config.peers.forget_ms, self._live_ms(peer))

    def _counts(self, peer: Peer) -> bool:
        """Whether a peer takes its share of global limits."""
        silent_ms = self.clock.now_ms() - peer.heard_ms
        return silent_ms < self._forget_ms(peer)

    def _starting(self) -> bool:
        """Whether there may be peers that had no time to be heard."""
        passed_ms = self.clock.now_ms() - self._started_ms
        return passed_ms < self.config.peers.forget_ms

    def _compare(self, peer: Peer) -> None:
        """Fetches records that a peer has had for some time."""
        now_ms = self.clock.now_ms()
        for name, own in self.feeds.items():
            if peer.offsets.get(name, -1) <= own.offset:
                peer.ahead_since_ms.pop(name, None)
                continue
            since_ms = peer.ahead_since_ms.setdefault(name, now_ms)
            # While the store answers, its own read brings the records.
            answered = own.age_ms() < 2 * FETCH_AFTER_MS + own.wait_ms
            patience_ms = FETCH_AFTER_MS + answered * own.interval_ms
            if now_ms - since_ms >= patience_ms:
                peer.ahead_since_ms[name] = now_ms
                task = asyncio.get_running_loop().create_task(
                    self.telemetry.records(
                        name, peer.id, self._fetch(peer, name)
                    )
                )
                self._fetches.add(task)
                task.add_done_callback(self._fetches.discard)

    async def _fetch(self, peer: Peer, name: str) -> bool:
        own = self.feeds[name]
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000):
                reader, writer = await asyncio.open_connection(
                    peer.host, self.config.peers.port
                )
                writer.write(
                    frames.encode(RECORDS, 1, [name, max(0, own.offset)])
                )
                answer = await frames.read(reader)
            own.merge(
                [
                    interfaces.KeyedRecord(offset, key, value)
                    for offset, key, value in answer.body[0]
                ],
                int(answer.body[1]),
            )
            return True
        except (
            TimeoutError,
            OSError,
            frames.FrameError,
            ValueError,
            TypeError,
            IndexError,
        ) as error:
            log.info(
                "records not fetched",
                peer=peer.id,
                topic=name,
                error=repr(error),
            )
            return False
        finally:
            if writer is not None:
                writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000):
                asked = await frames.read(reader)
            await self.handlers[asked.kind](asked, reader, writer)
        except (
            TimeoutError,
            OSError,
            frames.FrameError,
            KeyError,
            ValueError,
            TypeError,
        ) as error:
            log.debug("peer's request failed", error=repr(error))
        finally:
            writer.close()

    async def _serve_records(
        self,
        asked: frames.Frame,
        _: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        name, offset = asked.body
        own = self.feeds[name]
        records = [
            [record.offset, record.key, record.value]
            for record in own.since(int(offset))
        ]
        writer.write(
            frames.encode(RECORDS, asked.request_id, [records, own.offset])
        )
        async with asyncio.timeout(FETCH_TIMEOUT_MS / 1000):
            await writer.drain()
