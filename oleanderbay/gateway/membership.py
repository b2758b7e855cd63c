"""Which other gateways there are, and how many share global limits."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any

import structlog
import xxhash

from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import summaries
from oleanderbay.process import clock as clocks

# A peer is live for this many of its intervals; with fewer, datagrams that are
# lost in a row would take a gateway out of the directory.
LIVE_INTERVALS = 4
# Heartbeats of many gateways are spread up to this time. Peers' loads and
# suspicions would be too old for a choice after a longer one.
MAX_INTERVAL_MS = 1_000
# Each request and event asks for the number of gateways, whose count visits
# all peers; a new address or peer is counted at once.
COUNT_CACHE_MS = 100
# A silent gateway is forgotten after this many times `forget_ms`.
RETENTION_FACTOR = 10

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
        summarized: Whether it leaves other zones to the relays.
        contents: The whole heartbeat, of peers in the own zone only.
        counted: Whether its own loads and evidence are in use.
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
    uses_summaries: bool = False
    heartbeat: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    loads_applied: bool = False
    ahead_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def parse_heartbeat(
    body: Mapping[str, Any], now_ms: int, interval_ms: int
) -> Peer:
    """Reads a heartbeat.

    Args:
        body: The heartbeat.
        now_ms: Monotonic time of its arrival.
        interval_ms: Interval of gateways that do not state it.

    Raises:
        ValueError, KeyError, TypeError: The heartbeat is malformed.
    """
    return Peer(
        id=body["id"],
        start_id=body["start_id"],
        host=body["host"],
        zone=body["zone"],
        callers=body["callers"],
        ready=bool(body["ready"]),
        leaving=bool(body["leaving"]),
        heard_ms=now_ms,
        sequence=int(body["sequence"]),
        offsets=dict(body["offsets"]),
        store_age_ms=int(body["store_age_ms"]),
        # Gateways of an earlier version don't say it.
        interval_ms=int(body.get("interval_ms", interval_ms)),
        uses_summaries=bool(body.get("summarized", False)),
    )


class Membership:
    """Knows the gateways from heartbeats, summaries and addresses.

    Attributes:
        live: Peers that were heard from lately, by id.
        seen: Peers that were heard from directly, by id, also silent ones.
        zones: Summaries of other zones.
        addresses: Hosts at which gateways were seen, with the id there.
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
        """Takes a heartbeat; returns whether it is a new one."""
        before = self.heard_peers.get(peer.id)
        if before is not None:
            if (
                before.start_id == peer.start_id
                and before.sequence >= peer.sequence
            ):
                return False
            if before.host != peer.host:
                self.addresses.pop(before.host, None)
            peer.ahead_since_ms = before.ahead_since_ms
        first = peer.id not in self.live
        self.heard_peers[peer.id] = peer
        self.live[peer.id] = peer
        self.addresses[peer.host] = peer.id
        if first:
            # A peer that was silent for long counts again.
            self._counted_ms = -COUNT_CACHE_MS
            log.info("peer heard", peer=peer.id, host=peer.host)
        return True

    def apply_summary(
        self, summary: summaries.Summary, sender_interval_ms: int
    ) -> bool:
        """Takes a summary; returns whether it is now the one in use."""
        now_ms = self.clock.now_ms()
        interval_ms = max(summary.interval_ms, sender_interval_ms)
        used = self.zones.apply(
            summary,
            now_ms,
            min(interval_ms, self._max_interval_ms()),
            self.lifetime_ms(interval_ms),
        )
        if summary.gateways is not None:
            for one in summary.gateways:
                if one.id != self.config.entry.id:
                    self.addresses[one.host] = one.id
            self._counted_ms = -COUNT_CACHE_MS
        return used

    def uses_peer_loads(self, peer: Peer) -> bool:
        """Whether a peer's own loads count, not those of its zone's sum."""
        return not self.zones.is_fresh(peer.zone, self.clock.now_ms())

    def load_sources(self) -> frozenset[str]:
        """Returns the peers and zones whose loads and evidence count."""
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
        """Returns the ids of all gateways that are live."""
        return set(self.live).union(
            one.id for one in self.zones.listed_gateways(self.clock.now_ms())
        ) - {self.config.entry.id}

    def caller_addresses(self) -> list[str]:
        """Returns the callers' addresses of the peers that are ready."""
        found: dict[str, tuple[int, Peer | summaries.ListedGateway]] = {
            peer.id: (peer.heard_ms, peer) for peer in self.live.values()
        }
        leaving = {(p.id, p.start_id) for p in self.live.values() if p.leaving}
        now_ms = self.clock.now_ms()
        for zone in self.zones.fresh_zones(now_ms):
            view = self.zones.views[zone]
            for one in view.gateways.values():
                if one.id == self.config.entry.id:
                    continue
                if one.leaving:
                    leaving.add((one.id, one.start_id))
                if one.id not in found or found[one.id][0] <= view.heard_ms:
                    found[one.id] = (view.heard_ms, one)
        return [
            one.callers
            for _, one in found.values()
            if one.ready and (one.id, one.start_id) not in leaving
        ]

    def gateway_count(self) -> int:
        """Returns the number of gateways that share global limits."""
        now_ms = self.clock.now_ms()
        if not 0 <= now_ms - self._counted_ms < COUNT_CACHE_MS:
            self._cached_count = self._count_gateways()
            self._counted_ms = now_ms
        return self._cached_count

    def _sharing_gateways(self) -> Iterator[tuple[str, str]]:
        """Returns id and host of the others that take their shares."""
        for peer in self.heard_peers.values():
            if self._shares_limits(peer):
                yield peer.id, peer.host
        now_ms = self.clock.now_ms()
        for one in self.zones.recently_listed(now_ms, self._forget_ms):
            if one.id != self.config.entry.id:
                yield one.id, one.host

    def _count_gateways(self) -> int:
        count = 1 + len({peer_id for peer_id, _ in self._sharing_gateways()})
        if self.is_starting():
            # Until all peers had time to be heard, addresses count as peers.
            others = len(self.addresses) - (
                self.config.entry.host in self.addresses
            )
            count = max(count, 1 + others)
        return count

    def rank(self, key: str) -> int:
        """Returns this gateway's place in the order of gateways for a key."""
        hosts = {host for _, host in self._sharing_gateways()}
        if self.is_starting():
            hosts.update(self.addresses)
        own = self.config.entry.host
        place = xxhash.xxh64_intdigest(f"{key}/{own}".encode())
        return sum(
            xxhash.xxh64_intdigest(f"{key}/{host}".encode()) < place
            for host in hosts - {own}
        )

    def add_address(self, host: str, peer_id: str) -> None:
        """Takes note of an address at which a gateway may be."""
        if peer_id != self.config.entry.id:
            self.addresses[host] = peer_id
            self._counted_ms = -COUNT_CACHE_MS

    def forget_addresses(self, peer_id: str) -> None:
        """Drops the addresses of a gateway that left for good."""
        for host, known in tuple(self.addresses.items()):
            if known == peer_id and peer_id not in self.live:
                del self.addresses[host]

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
        """Returns for how long something is live that states its interval."""
        return max(
            self.config.peers.live_ms,
            LIVE_INTERVALS * min(interval_ms, self._max_interval_ms()),
        )

    def _max_interval_ms(self) -> int:
        # Intervals come from the network, so they are bounded.
        return max(MAX_INTERVAL_MS, self.config.peers.heartbeat_ms)

    def _forget_ms(self, interval_ms: int) -> int:
        # A live peer always counts towards the shares of global limits.
        return max(self.config.peers.forget_ms, self.lifetime_ms(interval_ms))

    def _shares_limits(self, peer: Peer) -> bool:
        """Whether a peer takes its share of global limits."""
        silent_ms = self.clock.now_ms() - peer.heard_ms
        return silent_ms < self._forget_ms(peer.interval_ms)

    def is_starting(self) -> bool:
        """Whether there may be peers that had no time to be heard."""
        passed_ms = self.clock.now_ms() - self._started_ms
        return passed_ms < self.config.peers.forget_ms
