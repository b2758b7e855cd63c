"""Recipients of heartbeats, and relays that exchange zone summaries.

Up to a configured number of gateways, each sends heartbeats to all others.
Above it, heartbeats stay within a zone; a few relays of each zone send
summaries to the relays of other zones, which forward them to their peers.
"""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import msgpack
import xxhash

from oleanderbay.gateway import membership, summaries
from oleanderbay.gateway import settings as settings_module

# Silent addresses are probed with one heartbeat out of this many.
SILENT_PROBE_HEARTBEATS = 10
# Addresses that are probed at once in each zone without a fresh summary. The
# gateways of a zone start at different addresses.
PROBES_PER_ZONE = 2
# Largest datagram into which forwarded summaries are batched. Losing one IP
# fragment loses the whole datagram, so larger ones would be lost more often.
BATCH_BYTES = 8_192


class Relays:
    """Decides which hosts get heartbeats and summaries."""

    def __init__(
        self,
        config: settings_module.Settings,
        members: membership.Membership,
        leaving: Callable[[], bool],
    ) -> None:
        self.config = config
        self.members = members
        self.leaving = leaving

    def uses_summaries(self) -> bool:
        """Whether there are too many gateways for heartbeats to all of them."""
        return (
            self.members.gateway_count() > self.config.peers.full_mesh_gateways
        )

    def zone_peers(self) -> list[membership.Peer]:
        """Returns the live peers in this gateway's zone."""
        own = self.config.entry.zone
        return [p for p in self.members.live.values() if p.zone == own]

    def zone_relays(self) -> list[str]:
        """Returns the ids of the relays of this zone, the primary first.

        Gateways that still send heartbeats to all others, because they know
        few gateways or run an earlier version, send no summaries. They are
        chosen only if all gateways of the zone do so.
        """
        candidates = [
            (p.id, p.uses_summaries) for p in self.zone_peers() if not p.leaving
        ]
        if not self.leaving():
            candidates.append((self.config.entry.id, self.uses_summaries()))
        ids = [
            gateway_id for gateway_id, summarizing in candidates if summarizing
        ]
        return summaries.choose_relays(
            self.config.entry.zone,
            ids or [gateway_id for gateway_id, _ in candidates],
        )

    def is_relay(self) -> bool:
        """Whether this gateway sends its zone's summaries to other zones."""
        return (
            self.uses_summaries() and self.config.entry.id in self.zone_relays()
        )

    def should_forward(self, view: summaries.ZoneView, now_ms: int) -> bool:
        """Whether this gateway forwards the summaries that it gets of a zone.

        The primary relay does. Any other gateway takes over if nothing has
        been forwarded for a while: after a zone loses its relays, summaries
        are sent to gateways that were relays before.
        """
        relays = self.zone_relays()
        if relays and relays[0] == self.config.entry.id:
            return True
        primary = self.members.live.get(relays[0]) if relays else None
        interval_ms = max(
            view.interval_ms, primary.interval_ms if primary else 0
        )
        missed_ms = summaries.RELAY_TIMEOUT_INTERVALS * interval_ms
        return now_ms - view.forwarded_ms > missed_ms

    def heartbeat_hosts(self) -> list[str]:
        """Returns the hosts to which every heartbeat is sent."""
        own = self.config.entry.zone
        everywhere = not self.uses_summaries()
        # A peer that sends heartbeats to other zones itself, because it knows
        # few gateways or runs an earlier version, learns about this gateway
        # only from its heartbeats.
        return [
            peer.host
            for peer in self.members.live.values()
            if everywhere or peer.zone == own or not peer.uses_summaries
        ]

    def silent_hosts(self, sequence: int) -> list[str]:
        """Returns the hosts without a live gateway that are probed."""
        skipped = {self.config.entry.host, *self.heartbeat_hosts()}
        silent = [h for h in self.members.addresses if h not in skipped]
        if not self.uses_summaries():
            return silent
        zone_by_host = {
            p.host: p.zone for p in self.members.heard_peers.values()
        }
        zone_by_host |= self.members.zones.zone_by_host()
        now_ms = self.members.clock.now_ms()
        found = []
        by_zone: dict[str, list[str]] = collections.defaultdict(list)
        for host in silent:
            zone = zone_by_host.get(host)
            if zone is None or zone == self.config.entry.zone:
                found.append(host)
            elif not self.members.zones.is_fresh(zone, now_ms):
                by_zone[zone].append(host)
        for hosts in by_zone.values():
            found += self._probe_hosts(
                sorted(hosts), sequence // SILENT_PROBE_HEARTBEATS
            )
        return found

    def _probe_hosts(self, hosts: list[str], round_number: int) -> list[str]:
        own = xxhash.xxh64_intdigest(self.config.entry.id.encode())
        start = (own + round_number * PROBES_PER_ZONE) % len(hosts)
        return (hosts[start:] + hosts[:start])[:PROBES_PER_ZONE]

    def summary_hosts(self) -> list[str]:
        """Returns the hosts in other zones that get this zone's summaries."""
        now_ms = self.members.clock.now_ms()
        zones = self.members.zones
        found = {
            relay.host: None
            for view in zones.views.values()
            for relay in view.relays
        }
        # The known relays of a zone without a fresh summary may be down, so
        # live peers of that zone get the summary as well.
        heard: dict[str, dict[str, str]] = collections.defaultdict(dict)
        for peer in self.members.live.values():
            if peer.zone != self.config.entry.zone and not zones.is_fresh(
                peer.zone, now_ms
            ):
                heard[peer.zone][peer.id] = peer.host
        for zone, hosts in heard.items():
            for gateway_id in summaries.choose_relays(zone, hosts):
                found[hosts[gateway_id]] = None
        return list(found)

    def datagrams_per_interval(self, forwarded: int) -> float:
        """Returns the mean number of datagrams sent per heartbeat interval.

        Args:
            forwarded: Datagrams with summaries sent to each zone peer.
        """
        sent = len(set(self.heartbeat_hosts()))
        sent += forwarded * len(self.zone_peers())
        if self.is_relay():
            sent += len(self.summary_hosts())
        return sent + len(self.silent_hosts(0)) / SILENT_PROBE_HEARTBEATS


class SummaryBuilder:
    """Builds the summaries that this gateway sends.

    Attributes:
        pending_zones: Zones whose current summary has yet to be forwarded.
    """

    def __init__(
        self,
        config: settings_module.Settings,
        start_id: str,
        members: membership.Membership,
        relays: Relays,
    ) -> None:
        self.config = config
        self.start_id = start_id
        self.members = members
        self.relays = relays
        self.pending_zones: dict[str, None] = {}
        self._sequence = 0
        self._last: summaries.Summary | None = None
        self._lists: dict[str, _ListSchedule] = collections.defaultdict(
            _ListSchedule
        )

    def list_gateways(
        self, contents: Mapping[str, Any]
    ) -> tuple[summaries.ListedGateway, ...]:
        """Returns the list of this zone's gateways, sorted by id."""
        entry = self.config.entry
        relays = (
            self.relays.zone_relays() if self.relays.uses_summaries() else ()
        )
        own = summaries.ListedGateway(
            entry.id,
            self.start_id,
            entry.host,
            self.config.listeners.callers,
            bool(contents["ready"]),
            bool(contents["leaving"]),
            entry.id in relays,
        )
        peers = (
            summaries.ListedGateway(
                peer.id,
                peer.start_id,
                peer.host,
                peer.callers,
                peer.ready,
                peer.leaving,
                peer.id in relays,
            )
            for peer in self.relays.zone_peers()
        )
        return tuple(sorted((own, *peers), key=lambda gateway: gateway.id))

    def list_changed(self, contents: Mapping[str, Any]) -> bool:
        """Whether the list of this zone's gateways changed since last sent."""
        digest = summaries.digest(self.list_gateways(contents))
        return self._lists[self.config.entry.zone].digest != digest

    def build_own(
        self,
        contents: Mapping[str, Any],
        offsets: Mapping[str, int],
        store_age_ms: int,
        interval_ms: int,
    ) -> dict[str, Any]:
        """Returns the next summary of this zone.

        Args:
            contents: This gateway's counts of requests and worker states.
            offsets: Offsets of its feeds by topic.
            store_age_ms: Time since the store last answered it.
            interval_ms: Time until the next summary.
        """
        peers = self.relays.zone_peers()
        gateways = self.list_gateways(contents)
        highest = dict(offsets)
        for peer in peers:
            for name, offset in peer.offsets.items():
                highest[name] = max(offset, highest.get(name, offset))
        self._sequence += 1
        entry = self.config.entry
        summary = summaries.Summary(
            zone=entry.zone,
            id=entry.id,
            start_id=self.start_id,
            host=entry.host,
            sequence=self._sequence,
            interval_ms=interval_ms,
            store_age_ms=min((store_age_ms, *(p.store_age_ms for p in peers))),
            offsets=highest,
            digest=summaries.digest(gateways),
            sums=summaries.sum_contents(
                (contents, *(p.heartbeat for p in peers))
            ),
            gateways=gateways,
        )
        self._last = summary
        full = self._lists[entry.zone].include_list(summary.digest)
        return summary.body(gateways if full else None)

    def build_requested(self, zones: Iterable[str]) -> list[dict[str, Any]]:
        """Returns the latest summaries of zones with their gateway lists."""
        bodies = []
        for zone in zones:
            view = self.members.zones.views.get(zone)
            if zone == self.config.entry.zone and self._last is not None:
                bodies.append(self._last.body(self._last.gateways))
            elif view is not None and not view.lacks_list():
                bodies.append(view.summary.body(view.gateways.values()))
        return bodies

    def has_pending_list(self) -> bool:
        """Whether a summary with a changed list has yet to be forwarded."""
        return any(
            self._lists[zone].digest != view.digest
            for zone, view in self.members.zones.views.items()
            if zone in self.pending_zones
        )

    def take_pending(self) -> list[dict[str, Any]]:
        """Returns the summaries to forward and marks them as forwarded."""
        bodies = []
        for zone in self.pending_zones:
            view = self.members.zones.views.get(zone)
            if view is None:
                continue
            # The list is attached when forwarding: a summary that carried it
            # may have been replaced by one without it in the meantime.
            full = not view.lacks_list() and self._lists[zone].include_list(
                view.digest
            )
            bodies.append(
                view.summary.body(view.gateways.values() if full else None)
            )
        self.pending_zones.clear()
        return bodies


class _ListSchedule:
    """Decides which summaries of a zone carry the list of gateways.

    Attributes:
        digest: Digest of the list that was sent last; -1 before the first.
    """

    def __init__(self) -> None:
        self.digest = -1
        self._sent = 0

    def include_list(self, digest: int) -> bool:
        """Counts a summary; returns whether it must carry the list."""
        if digest != self.digest:
            self._sent = 0
        self.digest = digest
        self._sent += 1
        return self._sent <= summaries.LIST_REPEATS


def batch_summaries(
    bodies: Iterable[dict[str, Any]],
) -> Iterator[list[dict[str, Any]]]:
    """Batches summaries by datagram; an oversized one gets its own."""
    batch: list[dict[str, Any]] = []
    size = 0
    for body in bodies:
        length = len(msgpack.packb(body))
        if batch and size + length > BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(body)
        size += length
    if batch:
        yield batch
