"""Gateway membership, and the number of gateways that share global limits."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any

import structlog
import xxhash

from oleanderbay.gateway import fields, heartbeat_contents, positions, summaries
from oleanderbay.gateway import settings as settings_module
from oleanderbay.process import clock as clocks

# A peer counts as live for this many heartbeat intervals. With fewer, a few
# consecutive lost datagrams would remove a gateway from the directory.
LIVE_INTERVALS = 4
# Longest heartbeat interval; it grows with the number of gateways up to this.
# After a longer one, peers' loads and suspicions would be too old to select
# workers by.
MAX_INTERVAL_MS = 1_000
# How long the number of gateways is cached: it is needed for each request and
# event, and counting visits all peers. A new address or peer resets the cache.
COUNT_CACHE_MS = 100
# A silent gateway is dropped after this multiple of its forget time, i.e. of
# the setting `forget_ms` or of its longer live time.
RETENTION_FACTOR = 10

# Peers and addresses that are kept at most. Only damaged messages and records
# name more.
MAX_PEERS = 4_096
MAX_ADDRESSES = 16_384

log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class Peer:
    """The state of a peer as of its last heartbeat.

    Attributes:
        id: Id of the peer.
        start_id: Id of its current process run.
        host: IP address at which other gateways reach it.
        zone: Its availability zone.
        callers: `host:port` at which callers reach it.
        ready: Whether it accepts callers' requests.
        leaving: Whether it is shutting down.
        heard_ms: Monotonic time at which the heartbeat arrived.
        sequence: Sequence number of the heartbeat.
        offsets: Offsets of its feeds by topic.
        store_age_ms: Time since the store last answered it.
        interval_ms: Time until its next heartbeat.
        uses_summaries: Whether it leaves the exchange with other zones to
            the relays.
        heartbeat: The checked contents of the message, for peers in this
            gateway's zone only.
        loads_applied: Whether its own loads and health reports are in use,
            rather than its zone's sums.
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
    uses_summaries: bool = False
    heartbeat: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    loads_applied: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyGateway:
    """A peer that accepts requests.

    Attributes:
        id: Id of the peer.
        host: IP address at which other gateways reach it.
        zone: Its availability zone.
        callers: `host:port` at which callers reach it.
    """

    id: str
    host: str
    zone: str
    callers: str


def parse_heartbeat(
    body: Mapping[str, Any], now_ms: int, interval_ms: int
) -> Peer:
    """Parses a heartbeat.

    Args:
        body: The unpacked message.
        now_ms: Monotonic time of its arrival.
        interval_ms: Interval to assume if the message has none.

    Raises:
        One of `fields.PARSE_ERRORS`: The heartbeat is malformed.
    """
    return Peer(
        id=fields.name(body["id"]),
        start_id=fields.name(body["start_id"]),
        host=fields.host(body["host"]),
        zone=fields.name(body["zone"]),
        callers=fields.address(body["callers"]),
        ready=fields.flag(body["ready"]),
        leaving=fields.flag(body["leaving"]),
        heard_ms=now_ms,
        sequence=fields.whole(body["sequence"]),
        offsets=positions.parse_offsets(body),
        store_age_ms=fields.span_ms(body["store_age_ms"]),
        # Gateways before 956922d don't send the interval.
        interval_ms=fields.span_ms(body.get("interval_ms", interval_ms)),
        # Gateways before c68ba70 exchange no summaries.
        uses_summaries=fields.flag(body.get("summarized", False)),
        heartbeat=heartbeat_contents.parse_heartbeat(body),
    )


class Membership:
    """Tracks the gateways known from heartbeats, summaries and addresses.

    Attributes:
        live: Peers with a recent heartbeat, by id.
        heard_peers: Peers that have sent a heartbeat, by id, including those
            that are silent now.
        zones: Summaries of other zones.
        addresses: Hosts at which gateways may be, with the gateway's id;
            empty for a seed whose gateway is not known yet.
    """

    def __init__(
        self, config: settings_module.Settings, clock: clocks.Clock
    ) -> None:
        self.config = config
        self.clock = clock
        self.live: dict[str, Peer] = {}
        self.heard_peers: dict[str, Peer] = {}
        self.zones = summaries.ZoneSummaries(config.entry.zone)
        self.addresses: dict[str, str] = {
            seed.partition(":")[0]: "" for seed in config.peers.seeds
        }
        self._started_ms = clock.now_ms()
        self._cached_count = 1
        self._counted_ms = -COUNT_CACHE_MS

    def apply_heartbeat(self, peer: Peer) -> bool:
        """Applies a heartbeat; returns whether it is newer than the last."""
        before = self.heard_peers.get(peer.id)
        if before is not None:
            if (
                before.start_id == peer.start_id
                and before.sequence >= peer.sequence
            ):
                return False
            if before.host != peer.host:
                self.addresses.pop(before.host, None)
        elif len(self.heard_peers) >= MAX_PEERS:
            return False
        first = peer.id not in self.live
        self.heard_peers[peer.id] = peer
        self.live[peer.id] = peer
        self._keep_address(peer.host, peer.id)
        if first:
            # The peer may have been silent for too long to be counted.
            self._counted_ms = -COUNT_CACHE_MS
            log.info("peer heard", peer=peer.id, host=peer.host)
        return True

    def apply_summary(
        self, summary: summaries.Summary, sender_interval_ms: int
    ) -> bool:
        """Applies a summary; returns whether it is now in use for its zone."""
        now_ms = self.clock.now_ms()
        interval_ms = max(summary.interval_ms, sender_interval_ms)
        used = self.zones.apply(
            summary,
            now_ms,
            min(interval_ms, self._max_interval_ms()),
            self.lifetime_ms(interval_ms),
        )
        if summary.gateways is not None:
            for gateway in summary.gateways:
                if gateway.id != self.config.entry.id:
                    self._keep_address(gateway.host, gateway.id)
            self._counted_ms = -COUNT_CACHE_MS
        return used

    def uses_peer_loads(self, peer: Peer) -> bool:
        """Whether to use a peer's own loads, for lack of a fresh zone sum."""
        return not self.zones.is_fresh(peer.zone, self.clock.now_ms())

    def load_sources(self) -> frozenset[str]:
        """Returns the peers and zones whose loads and reports are in use."""
        now_ms = self.clock.now_ms()
        return frozenset(
            (
                *(
                    p.id
                    for p in self.live.values()
                    if p.loads_applied and self.uses_peer_loads(p)
                ),
                *map(summaries.zone_source, self.zones.fresh_zones(now_ms)),
            )
        )

    def gateway_ids(self) -> set[str]:
        """Returns the ids of all other live gateways."""
        return set(self.live).union(
            gateway.id
            for gateway in self.zones.listed_gateways(self.clock.now_ms())
        ) - {self.config.entry.id}

    def caller_addresses(self) -> list[str]:
        """Returns the addresses for callers of the peers that are ready."""
        return [gateway.callers for gateway in self.ready_gateways()]

    def ready_gateways(self) -> list[ReadyGateway]:
        """Returns the peers that are ready and not shutting down."""
        found: dict[str, tuple[int, str, Peer | summaries.ListedGateway]] = {
            peer.id: (peer.heard_ms, peer.zone, peer)
            for peer in self.live.values()
        }
        leaving = {(p.id, p.start_id) for p in self.live.values() if p.leaving}
        now_ms = self.clock.now_ms()
        for zone in self.zones.fresh_zones(now_ms):
            view = self.zones.views[zone]
            for gateway in view.gateways.values():
                if gateway.id == self.config.entry.id:
                    continue
                if gateway.leaving:
                    leaving.add((gateway.id, gateway.start_id))
                if (
                    gateway.id not in found
                    or found[gateway.id][0] <= view.heard_ms
                ):
                    found[gateway.id] = (view.heard_ms, zone, gateway)
        return [
            ReadyGateway(gateway.id, gateway.host, zone, gateway.callers)
            for _, zone, gateway in found.values()
            if gateway.ready
            and gateway.callers
            and (gateway.id, gateway.start_id) not in leaving
        ]

    def is_gateway(self, host: str) -> bool:
        """Whether a gateway has been heard or listed at a host."""
        return bool(self.addresses.get(host))

    def gateway_count(self) -> int:
        """Returns the number of gateways, this one included, sharing limits."""
        now_ms = self.clock.now_ms()
        if not 0 <= now_ms - self._counted_ms < COUNT_CACHE_MS:
            self._cached_count = self._count_gateways()
            self._counted_ms = now_ms
        return self._cached_count

    def _sharing_gateways(self) -> Iterator[tuple[str, str]]:
        """Yields id and host of the other gateways that share global limits."""
        for peer in self.heard_peers.values():
            if self._shares_limits(peer):
                yield peer.id, peer.host
        now_ms = self.clock.now_ms()
        for gateway in self.zones.recently_listed(now_ms, self._forget_ms):
            if gateway.id != self.config.entry.id:
                yield gateway.id, gateway.host

    def _count_gateways(self) -> int:
        count = 1 + len({peer_id for peer_id, _ in self._sharing_gateways()})
        if self.is_starting():
            # Counts known addresses as peers until all peers have had time to
            # send a heartbeat.
            others = len(self.addresses) - (
                self.config.entry.host in self.addresses
            )
            count = max(count, 1 + others)
        return count

    def rank(self, key: str) -> int:
        """Returns this gateway's rank for a key, by rendezvous hashing."""
        hosts = {host for _, host in self._sharing_gateways()}
        if self.is_starting():
            hosts.update(self.addresses)
        own = self.config.entry.host
        own_rank = xxhash.xxh64_intdigest(f"{key}/{own}".encode())
        return sum(
            xxhash.xxh64_intdigest(f"{key}/{host}".encode()) < own_rank
            for host in hosts - {own}
        )

    def add_address(self, host: str, peer_id: str) -> None:
        """Adds an address at which a gateway may be."""
        if peer_id != self.config.entry.id:
            self._keep_address(host, peer_id)
            self._counted_ms = -COUNT_CACHE_MS

    def _keep_address(self, host: str, peer_id: str) -> None:
        if host in self.addresses or len(self.addresses) < MAX_ADDRESSES:
            self.addresses[host] = peer_id

    def retain_addresses(self, registered: Mapping[str, str]) -> None:
        """Removes addresses at which no gateway is or has been heard.

        Args:
            registered: Hosts of all gateways in the store, by gateway id.
        """
        listed = self.zones.zone_by_host()
        heard = {peer.host for peer in self.heard_peers.values()}
        seeds = {seed.partition(":")[0] for seed in self.config.peers.seeds}
        for host, peer_id in tuple(self.addresses.items()):
            if host not in heard | listed.keys() | seeds and (
                registered.get(peer_id) != host
            ):
                del self.addresses[host]
                self._counted_ms = -COUNT_CACHE_MS

    def drop_silent(self) -> None:
        """Drops peers and zones that have been silent for too long."""
        now_ms = self.clock.now_ms()
        for peer in tuple(self.live.values()):
            if now_ms - peer.heard_ms > self.lifetime_ms(peer.interval_ms):
                del self.live[peer.id]
                log.info("peer silent", peer=peer.id)
        dropped = self.zones.drop_expired(
            now_ms,
            lambda view: RETENTION_FACTOR * self._forget_ms(view.interval_ms),
        )
        for peer in tuple(self.heard_peers.values()):
            kept_ms = RETENTION_FACTOR * self._forget_ms(peer.interval_ms)
            if now_ms - peer.heard_ms > kept_ms:
                del self.heard_peers[peer.id]
                dropped.append(peer.host)
        listed = self.zones.zone_by_host()
        heard = {peer.host for peer in self.heard_peers.values()}
        for host in dropped:
            if host not in listed and host not in heard:
                self.addresses.pop(host, None)

    def lifetime_ms(self, interval_ms: int) -> int:
        """Returns how long a gateway with this interval stays live."""
        return max(
            self.config.peers.live_ms,
            LIVE_INTERVALS * min(interval_ms, self._max_interval_ms()),
        )

    def _max_interval_ms(self) -> int:
        # Bounds the intervals that arrive in messages.
        return max(MAX_INTERVAL_MS, self.config.peers.heartbeat_ms)

    def _forget_ms(self, interval_ms: int) -> int:
        # A peer must share global limits for at least as long as it is live.
        return max(self.config.peers.forget_ms, self.lifetime_ms(interval_ms))

    def _shares_limits(self, peer: Peer) -> bool:
        """Whether a peer still takes a share of global limits."""
        silent_ms = self.clock.now_ms() - peer.heard_ms
        return silent_ms < self._forget_ms(peer.interval_ms)

    def is_starting(self) -> bool:
        """Whether some peers may not have had time to send a heartbeat."""
        passed_ms = self.clock.now_ms() - self._started_ms
        return passed_ms < self.config.peers.forget_ms
