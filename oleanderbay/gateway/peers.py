"""Messages between gateways, and records that one has and another lacks."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgpack
import structlog

from oleanderbay.connection import frames
from oleanderbay.gateway import (
    comparison,
    feed,
    interfaces,
    membership,
    relays,
    summaries,
)
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

PROTOCOL = 1
RECORDS = "records"
FETCH_TIMEOUT_MS = 500

log = structlog.get_logger()


Contents = Callable[[], dict[str, Any]]
Heard = Callable[[str, Mapping[str, Any]], None]
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
        members: The gateways that are known.
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
        telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED,
    ) -> None:
        self.telemetry = telemetry
        self.config = config
        self.id = config.entry.id
        self.start_id = start_id
        self.clock = clock
        self.feeds = feeds
        self.contents = contents
        self.heard = heard
        self.handlers: dict[str, Handler] = {RECORDS: self._serve_records}
        self.members = membership.Membership(config, clock)
        self.live = self.members.live
        self.addresses = self.members.addresses
        self.known = self.members.known
        self.rank = self.members.rank
        self.add_address = self.members.add_address
        self.relays = relays.Relays(config, self.members, lambda: self._leaving)
        self.outbox = relays.Outbox(config, start_id, self.members, self.relays)
        self.comparison = comparison.Comparison(clock, feeds)
        self._leaving = False
        self._sequence = 0
        self._interval_ms = config.peers.heartbeat_ms
        self._beat_ms = clock.now_ms()
        self._relaying = False
        # Datagrams with summaries to each peer of the zone at the last beat.
        self._forwarded = 0
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
        """Sends heartbeats and summaries until cancelled."""
        while True:
            await self.clock.sleep_ms(self.step())

    def step(self) -> int:
        """Sends what is due; returns the time to the next step, in ms.

        Between two heartbeats with a long interval, zones are told which
        gateways have come and gone.
        """
        now_ms = self.clock.now_ms()
        if now_ms >= self._beat_ms:
            self.send_heartbeats()
            self._beat_ms = now_ms + self._interval_ms
        elif self.relays.summarizing():
            self._send_changes()
        return min(self._beat_ms - now_ms, self.config.peers.heartbeat_ms)

    def interval_ms(self) -> int:
        """Returns the time to the next heartbeat.

        It grows with the datagrams of one interval, so that they stay within
        the limit of the settings up to the longest interval.
        """
        peers = self.config.peers
        links = self.relays.links(self._forwarded)
        spread_ms = math.ceil(1000 * links / peers.max_heartbeats_per_s)
        return max(
            peers.heartbeat_ms, min(membership.LONGEST_INTERVAL_MS, spread_ms)
        )

    def send_heartbeats(self) -> None:
        """Sends heartbeats and summaries, and reviews which peers are live."""
        self.members.review()
        self._sequence += 1
        contents = self._own_contents()
        self._interval_ms = self.interval_ms()
        body = {
            "protocol": PROTOCOL,
            "id": self.id,
            "start_id": self.start_id,
            "host": self.config.entry.host,
            "zone": self.config.entry.zone,
            "callers": self.config.listeners.callers,
            "sequence": self._sequence,
            "offsets": {n: f.offset for n, f in self.feeds.items()},
            "store_age_ms": self._store_age_ms(),
            "interval_ms": self._interval_ms,
            **contents,
        }
        if self.relays.summarizing():
            body["summarized"] = True
        packed = msgpack.packb(body)
        hosts = dict.fromkeys(self.relays.heartbeat_hosts())
        if self._sequence % relays.SILENT_EVERY == 1:
            hosts |= dict.fromkeys(self.relays.silent_hosts(self._sequence))
        for host in hosts:
            self._send(host, packed)
        self._summarize(contents)
        self._forward()

    def _own_contents(self) -> dict[str, Any]:
        contents = self.contents()
        self._leaving = bool(contents["leaving"])
        return contents

    def _send_changes(self) -> None:
        self.members.review()
        if self._relaying:
            contents = self._own_contents()
            if self.outbox.changed(contents):
                self._summarize(contents)
        if self.outbox.forwards_changes():
            self._forward()

    def _summarize(self, contents: Mapping[str, Any]) -> None:
        """Sends the own zone's summary to other zones."""
        relaying = self.relays.relaying()
        # The last summary of a relay that leaves says so.
        if relaying or self._relaying:
            hosts = self.relays.summary_hosts()
            body = self.outbox.own(
                contents,
                {n: f.offset for n, f in self.feeds.items()},
                self._store_age_ms(),
                self._interval_ms,
            )
            packed = self._pack([body], forwarded=False)
            for host in hosts:
                self._send(host, packed)
        self._relaying = relaying

    def _forward(self) -> None:
        """Sends summaries of other zones to the peers of the own zone."""
        batches = list(relays.batches(self.outbox.forwards()))
        self._forwarded = len(batches)
        for batch in batches:
            packed = self._pack(batch, forwarded=True)
            for peer in self.relays.own_zone():
                self._send(peer.host, packed)

    def _pack(self, bodies: list[dict[str, Any]], forwarded: bool) -> bytes:
        packed: bytes = msgpack.packb(
            {
                "protocol": PROTOCOL,
                "id": self.id,
                "interval_ms": self._interval_ms,
                "forwarded": forwarded,
                "summaries": bodies,
            }
        )
        return packed

    def _store_age_ms(self) -> int:
        return min(f.age_ms() for f in self.feeds.values())

    def _send(self, host: str, packed: bytes) -> None:
        if host == self.config.entry.host or self._transport is None:
            return
        try:
            self._transport.sendto(packed, (host, self.config.peers.port))
        except OSError as error:
            log.debug("datagram not sent", host=host, error=str(error))

    def _received(self, data: bytes) -> None:
        try:
            body = msgpack.unpackb(data)
            if body["protocol"] != PROTOCOL or body["id"] == self.id:
                return
            if "summaries" in body:
                self._summaries_received(body)
                return
            if "lists" in body:
                if body["host"] in self.addresses:
                    bodies = self.outbox.with_lists(body["lists"])
                    self._send(body["host"], self._pack(bodies, False))
                return
            peer = membership.parse(
                body, self.clock.now_ms(), self.config.peers.heartbeat_ms
            )
        except (
            ValueError,
            KeyError,
            TypeError,
            msgpack.UnpackException,
        ) as error:
            log.debug("datagram is malformed", error=repr(error))
            return
        if peer.zone == self.config.entry.zone:
            peer.contents = body
        if not self.members.hear(peer):
            return
        if self.members.counts_directly(peer):
            peer.counted = True
            self.heard(peer.id, body)
        for name in self.comparison.missing(peer):
            self._start_fetch(peer, name)

    def _summaries_received(self, body: Mapping[str, Any]) -> None:
        interval_ms = int(body["interval_ms"])
        now_ms = self.clock.now_ms()
        for summary in [summaries.parse(one) for one in body["summaries"]]:
            used = self.members.summarized(summary, interval_ms)
            view = self.members.zones.views.get(summary.zone)
            if view is None:
                continue
            if body["forwarded"]:
                view.forwarded_ms = now_ms
            elif used and self.relays.forwards(view, now_ms):
                self.outbox.pending[summary.zone] = None
            if used:
                self._use(summary)
                for name in self.comparison.missing_from_zone(
                    view, self.relays.own_zone(), self._relaying
                ):
                    self._start_fetch(summary, name)
            # Only once for each summary: the answer may lack it as well.
            if used and view.lacks_list():
                sender = self.live.get(body["id"])
                host = summary.host if sender is None else sender.host
                self._request_list(summary.zone, host)

    def _request_list(self, zone: str, host: str) -> None:
        """Asks the sender of a summary for the list that it left out."""
        message = {
            "protocol": PROTOCOL,
            "id": self.id,
            "host": self.config.entry.host,
            "lists": [zone],
        }
        self._send(host, msgpack.packb(message))

    def _use(self, summary: summaries.Summary) -> None:
        """Counts a zone's sums in place of what its gateways said."""
        for peer in self.live.values():
            if peer.zone == summary.zone and peer.counted:
                peer.counted = False
                self.heard(peer.id, summaries.EMPTY)
        self.heard(summaries.source(summary.zone), summary.sums)

    def _start_fetch(
        self, peer: membership.Peer | summaries.Summary, name: str
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self.telemetry.observe_peer_read(
                name, peer.id, self._fetch(peer, name)
            )
        )
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    async def _fetch(
        self, peer: membership.Peer | summaries.Summary, name: str
    ) -> bool:
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
