"""Exchange of heartbeats and summaries between gateways."""

import asyncio
import functools
import math
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgpack
import structlog

from oleanderbay.connection import frames
from oleanderbay.gateway import (
    comparison,
    datagrams,
    feed,
    fetching,
    fields,
    membership,
    positions,
    relays,
    summaries,
    tasks,
)
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

PROTOCOL = datagrams.PROTOCOL
# Longest time from a connection to its first frame.
FIRST_FRAME_TIMEOUT_MS = 500

log = structlog.get_logger()


ContentsSource = Callable[[], dict[str, Any]]
ContentsHandler = Callable[[str, Mapping[str, Any]], None]
# Serves a connection, given its first frame. The connection is closed when it
# returns.
Handler = Callable[
    [frames.Frame, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, received: Callable[[bytes], None]) -> None:
        self.received = received

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received(data)

    def error_received(self, exc: Exception) -> None:
        # ICMP errors of unreachable peers are ignored: a peer is considered
        # down when its heartbeats stop.
        pass


class Peers:
    """Owns the sockets for communication with other gateways.

    Attributes:
        id: Id of this gateway.
        start_id: Id of this process run.
        members: Membership of the gateways.
        live: Peers with a recent heartbeat, by id.
        addresses: Hosts at which gateways may be, with the gateway's id.
        fetcher: Fetches of records that peers have.
        handlers: Connection handlers by the kind of the first frame.
        malformed: Counts the datagrams that could not be read.
    """

    def __init__(
        self,
        config: settings_module.Settings,
        start_id: str,
        clock: clocks.Clock,
        feeds: Mapping[str, feed.Feed],
        get_contents: ContentsSource,
        apply_contents: ContentsHandler,
        telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED,
    ) -> None:
        self.config = config
        self.id = config.entry.id
        self.start_id = start_id
        self.clock = clock
        self.feeds = feeds
        self.get_contents = get_contents
        self.apply_contents = apply_contents
        self.fetcher = fetching.RecordFetcher(
            feeds,
            clock,
            functools.partial(asyncio.open_connection, port=config.peers.port),
            telemetry,
        )
        self.handlers: dict[str, Handler] = {
            fetching.RECORDS: self.fetcher.serve
        }
        self.members = membership.Membership(config, clock)
        self.live = self.members.live
        self.addresses = self.members.addresses
        self.gateway_count = self.members.gateway_count
        self.rank = self.members.rank
        self.add_address = self.members.add_address
        self.retain_addresses = self.members.retain_addresses
        self.relays = relays.Relays(config, self.members, lambda: self._leaving)
        self.summary_builder = relays.SummaryBuilder(
            config, start_id, self.members, self.relays
        )
        self.comparison = comparison.OffsetComparison(clock, feeds)
        self.malformed = datagrams.MalformedDatagrams(clock)
        self._leaving = False
        self._sequence = 0
        self._interval_ms = config.peers.heartbeat_ms
        self._next_heartbeat_ms = clock.now_ms()
        self._was_relay = False
        # Datagrams with summaries that were last sent to each zone peer.
        self._forwarded_datagrams = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._connections = tasks.KeyedTasks(OSError)

    async def start(self) -> None:
        """Opens the sockets."""
        loop = asyncio.get_running_loop()
        local_address = (self.config.entry.host, self.config.peers.port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self._received), local_addr=local_address
        )
        self._server = await asyncio.start_server(self._accept, *local_address)

    async def close(self) -> None:
        """Closes the sockets and ends the connections of peers."""
        self.fetcher.close()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        self._connections.close()

    async def run(self) -> None:
        """Sends heartbeats and summaries at their intervals until cancelled."""
        while True:
            await self.clock.sleep_ms(self.send_due())

    def send_due(self) -> int:
        """Sends the messages that are due; returns the time to the next call.

        If the heartbeat interval is long, changes of the list of gateways
        are sent between two heartbeats.
        """
        now_ms = self.clock.now_ms()
        if now_ms >= self._next_heartbeat_ms:
            self.send_heartbeats()
            self._next_heartbeat_ms = now_ms + self._interval_ms
        elif self.relays.uses_summaries():
            self._send_changes()
        return min(
            self._next_heartbeat_ms - now_ms, self.config.peers.heartbeat_ms
        )

    def interval_ms(self) -> int:
        """Returns the time until the next heartbeat.

        It grows with the number of datagrams per interval, up to the maximum
        interval, to stay within the configured rate.
        """
        peers = self.config.peers
        datagrams = self.relays.datagrams_per_interval(
            self._forwarded_datagrams
        )
        spread_ms = math.ceil(1000 * datagrams / peers.max_heartbeats_per_s)
        return max(
            peers.heartbeat_ms, min(membership.MAX_INTERVAL_MS, spread_ms)
        )

    def send_heartbeats(self) -> None:
        """Drops silent peers, then sends heartbeats and summaries."""
        self.members.drop_silent()
        self._sequence += 1
        contents = self._current_contents()
        self._interval_ms = self.interval_ms()
        body = {
            "protocol": PROTOCOL,
            "id": self.id,
            "start_id": self.start_id,
            "host": self.config.entry.host,
            "zone": self.config.entry.zone,
            "callers": self.config.listeners.callers,
            "sequence": self._sequence,
            **positions.split_offsets(
                {n: f.offset for n, f in self.feeds.items()}
            ),
            "store_age_ms": self._store_age_ms(),
            "interval_ms": self._interval_ms,
            **contents,
        }
        if self.relays.uses_summaries():
            body["summarized"] = True
        packed = msgpack.packb(body)
        hosts = dict.fromkeys(self.relays.heartbeat_hosts())
        if self._sequence % relays.SILENT_PROBE_HEARTBEATS == 1:
            hosts |= dict.fromkeys(self.relays.silent_hosts(self._sequence))
        for host in hosts:
            self._send(host, packed)
        self._send_summary(contents)
        self._forward_summaries()

    def _current_contents(self) -> dict[str, Any]:
        contents = self.get_contents()
        self._leaving = bool(contents["leaving"])
        return contents

    def _send_changes(self) -> None:
        self.members.drop_silent()
        if self._was_relay:
            contents = self._current_contents()
            if self.summary_builder.list_changed(contents):
                self._send_summary(contents)
        if self.summary_builder.has_pending_list():
            self._forward_summaries()

    def _send_summary(self, contents: Mapping[str, Any]) -> None:
        """Sends this zone's summary to other zones if this is a relay."""
        relaying = self.relays.is_relay()
        # A relay that leaves sends one last summary that announces it.
        if relaying or self._was_relay:
            hosts = self.relays.summary_hosts()
            body = self.summary_builder.build_own(
                contents,
                {n: f.offset for n, f in self.feeds.items()},
                self._store_age_ms(),
                self._interval_ms,
            )
            packed = self._pack([body], forwarded=False)
            for host in hosts:
                self._send(host, packed)
        self._was_relay = relaying

    def _forward_summaries(self) -> None:
        """Forwards summaries of other zones to the peers of this zone."""
        batches = list(
            relays.batch_summaries(self.summary_builder.take_pending())
        )
        self._forwarded_datagrams = len(batches)
        for batch in batches:
            packed = self._pack(batch, forwarded=True)
            for peer in self.relays.zone_peers():
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
            message = datagrams.parse(
                data,
                self.id,
                self.clock.now_ms(),
                self.config.peers.heartbeat_ms,
            )
        except fields.PARSE_ERRORS as error:
            self.malformed.record(error)
            return
        if isinstance(message, membership.Peer):
            self._heartbeat_received(message)
        elif isinstance(message, datagrams.SummaryBatch):
            self._summaries_received(message)
        elif message is not None and message.host in self.addresses:
            bodies = self.summary_builder.build_requested(message.zones)
            self._send(message.host, self._pack(bodies, False))

    def _heartbeat_received(self, peer: membership.Peer) -> None:
        contents = peer.heartbeat
        if peer.zone != self.config.entry.zone:
            peer.heartbeat = {}
        if not self.members.apply_heartbeat(peer):
            return
        if self.members.uses_peer_loads(peer):
            peer.loads_applied = True
            self.apply_contents(peer.id, contents)
        self.fetcher.cancel_needless()
        for name in self.comparison.topics_to_fetch(peer.offsets):
            self.fetcher.start(peer.id, peer.host, name, peer.offsets[name])

    def _summaries_received(self, batch: datagrams.SummaryBatch) -> None:
        now_ms = self.clock.now_ms()
        for summary in batch.summaries:
            used = self.members.apply_summary(summary, batch.interval_ms)
            view = self.members.zones.views.get(summary.zone)
            if view is None:
                continue
            if batch.forwarded:
                view.forwarded_ms = now_ms
            elif used and self.relays.should_forward(view, now_ms):
                self.summary_builder.pending_zones[summary.zone] = None
            if used:
                self._apply_zone_sums(summary)
                self.fetcher.cancel_needless()
                for name in self.comparison.topics_to_fetch_from_zone(
                    summary.offsets, self.relays.zone_peers(), self._was_relay
                ):
                    self.fetcher.start(
                        summary.id, summary.host, name, summary.offsets[name]
                    )
            # Asks only once per summary, since the response may lack the list
            # as well.
            if used and view.lacks_list():
                sender = self.live.get(batch.sender)
                host = summary.host if sender is None else sender.host
                self._request_list(summary.zone, host)

    def _request_list(self, zone: str, host: str) -> None:
        """Requests the list of gateways that a summary's sender left out."""
        message = {
            "protocol": PROTOCOL,
            "id": self.id,
            "host": self.config.entry.host,
            "lists": [zone],
        }
        self._send(host, msgpack.packb(message))

    def _apply_zone_sums(self, summary: summaries.Summary) -> None:
        """Replaces the loads of a zone's gateways by the zone's sums."""
        for peer in self.live.values():
            if peer.zone == summary.zone and peer.loads_applied:
                peer.loads_applied = False
                self.apply_contents(peer.id, summaries.EMPTY_CONTENTS)
        self.apply_contents(summaries.zone_source(summary.zone), summary.sums)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Some versions of asyncio log an error for each task of a connection
        # that is cancelled, if they have created it themselves.
        self._connections.start(writer, self._serve(reader, writer))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(FIRST_FRAME_TIMEOUT_MS / 1000):
                request = await frames.read(reader)
            await self.handlers[request.kind](request, reader, writer)
        except (
            TimeoutError,
            OSError,
            frames.FrameError,
            *fields.PARSE_ERRORS,
        ) as error:
            log.debug("request from peer failed", error=repr(error))
        finally:
            writer.close()
