"""Which gateways get heartbeats, and which ones speak for their zone."""

import collections
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import msgpack
import xxhash

from oleanderbay.gateway import membership, summaries
from oleanderbay.gateway import settings as settings_module

# Silent addresses are tried this often, in heartbeats.
SILENT_PROBE_HEARTBEATS = 10
# Addresses of each zone without a summary that are tried at once. All
# gateways of the own zone try different ones.
PROBES_PER_ZONE = 2
# Forwarded summaries share datagrams up to this size. A datagram is lost with
# any of its fragments, so that larger ones would be lost more often.
BATCH_BYTES = 8_192


class Relays:
    """Decides to whom heartbeats and summaries go."""

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
        """Whether so many gateways are known that zones exchange summaries."""
        return (
            self.members.gateway_count() > self.config.peers.full_mesh_gateways
        )

    def zone_peers(self) -> list[membership.Peer]:
        """Returns the live peers of the own zone."""
        own = self.config.entry.zone
        return [p for p in self.members.live.values() if p.zone == own]

    def zone_relays(self) -> list[str]:
        """Returns the ids of the own zone's relays, the first one first.

        Gateways that still send to all others, since they know few gateways
        or are of an earlier version, send no summaries.
        """
        able = [
            (p.id, p.uses_summaries) for p in self.zone_peers() if not p.leaving
        ]
        if not self.leaving():
            able.append((self.config.entry.id, self.uses_summaries()))
        ids = [one for one, summarizing in able if summarizing]
        return summaries.choose_relays(
            self.config.entry.zone, ids or [one for one, _ in able]
        )

    def is_relay(self) -> bool:
        """Whether this gateway sends summaries of its zone."""
        return (
            self.uses_summaries() and self.config.entry.id in self.zone_relays()
        )

    def should_forward(self, view: summaries.ZoneView, now_ms: int) -> bool:
        """Whether this gateway forwards what it receives of a zone.

        Any gateway steps in for the first relay, since a zone whose relays
        are lost sends to gateways that were relays before.
        """
        relays = self.zone_relays()
        if relays and relays[0] == self.config.entry.id:
            return True
        first = self.members.live.get(relays[0]) if relays else None
        interval_ms = max(view.interval_ms, first.interval_ms if first else 0)
        missed_ms = summaries.RELAY_TIMEOUT_INTERVALS * interval_ms
        return now_ms - view.forwarded_ms > missed_ms

    def heartbeat_hosts(self) -> list[str]:
        """Returns the hosts that get each heartbeat."""
        own = self.config.entry.zone
        everywhere = not self.uses_summaries()
        # A peer that sends to other zones itself, since it knows few gateways
        # or is of an earlier version, hears of this one in no other way.
        return [
            peer.host
            for peer in self.members.live.values()
            if everywhere or peer.zone == own or not peer.uses_summaries
        ]

    def silent_hosts(self, sequence: int) -> list[str]:
        """Returns the hosts that get the heartbeats for silent addresses."""
        skipped = {self.config.entry.host, *self.heartbeat_hosts()}
        silent = [h for h in self.members.addresses if h not in skipped]
        if not self.uses_summaries():
            return silent
        located = {p.host: p.zone for p in self.members.heard_peers.values()}
        located |= self.members.zones.zone_by_host()
        now_ms = self.members.clock.now_ms()
        found = []
        by_zone: dict[str, list[str]] = collections.defaultdict(list)
        for host in silent:
            zone = located.get(host)
            if zone is None or zone == self.config.entry.zone:
                found.append(host)
            elif not self.members.zones.is_fresh(zone, now_ms):
                by_zone[zone].append(host)
        for hosts in by_zone.values():
            found += self._probe_hosts(
                sorted(hosts), sequence // SILENT_PROBE_HEARTBEATS
            )
        return found

    def _probe_hosts(self, hosts: list[str], turn: int) -> list[str]:
        own = xxhash.xxh64_intdigest(self.config.entry.id.encode())
        start = (own + turn * PROBES_PER_ZONE) % len(hosts)
        return (hosts[start:] + hosts[:start])[:PROBES_PER_ZONE]

    def summary_hosts(self) -> list[str]:
        """Returns the hosts in other zones that get this zone's summary."""
        now_ms = self.members.clock.now_ms()
        zones = self.members.zones
        found = {
            relay.host: None
            for view in zones.views.values()
            for relay in view.relays
        }
        # The relays of a zone without a summary may be lost, so peers that
        # are heard there are told as well.
        heard: dict[str, dict[str, str]] = collections.defaultdict(dict)
        for peer in self.members.live.values():
            if peer.zone != self.config.entry.zone and not zones.is_fresh(
                peer.zone, now_ms
            ):
                heard[peer.zone][peer.id] = peer.host
        for zone, hosts in heard.items():
            for one in summaries.choose_relays(zone, hosts):
                found[hosts[one]] = None
        return list(found)

    def datagrams_per_interval(self, forwarded: int) -> float:
        """Returns the datagrams of one interval.

        Args:
            forwarded: Datagrams with summaries to each peer of the own zone.
        """
        sent = len(set(self.heartbeat_hosts()))
        sent += forwarded * len(self.zone_peers())
        if self.is_relay():
            sent += len(self.summary_hosts())
        return sent + len(self.silent_hosts(0)) / SILENT_PROBE_HEARTBEATS


class SummaryBuilder:
    """Builds the summaries that this gateway sends.

    Attributes:
        pending: Zones whose summary in use has to be forwarded.
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
        """Returns the list of the own zone's gateways."""
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
        return tuple(sorted((own, *peers), key=lambda one: one.id))

    def list_changed(self, contents: Mapping[str, Any]) -> bool:
        """Whether other zones have not been told the list of gateways."""
        digest = summaries.digest(self.list_gateways(contents))
        return self._lists[self.config.entry.zone].digest != digest

    def build_own(
        self,
        contents: Mapping[str, Any],
        offsets: Mapping[str, int],
        store_age_ms: int,
        interval_ms: int,
    ) -> dict[str, Any]:
        """Returns the next summary of the own zone.

        Args:
            contents: What this gateway says of requests and workers.
            offsets: Offsets of its feeds by topic.
            store_age_ms: Time since the store answered it.
            interval_ms: Time to the next summary.
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
        """Returns the last summaries of zones, with their lists."""
        bodies = []
        for zone in zones:
            view = self.members.zones.views.get(zone)
            if zone == self.config.entry.zone and self._last is not None:
                bodies.append(self._last.body(self._last.gateways))
            elif view is not None and not view.lacks_list():
                bodies.append(view.summary.body(view.gateways.values()))
        return bodies

    def has_pending_list(self) -> bool:
        """Whether the own zone has not been told the list of another zone."""
        return any(
            self._lists[zone].digest != view.digest
            for zone, view in self.members.zones.views.items()
            if zone in self.pending_zones
        )

    def take_pending(self) -> list[dict[str, Any]]:
        """Returns the summaries to forward, each of them only once."""
        bodies = []
        for zone in self.pending_zones:
            view = self.members.zones.views.get(zone)
            if view is None:
                continue
            # The list is attached here, since a summary with a list may have
            # been followed by one without it before it was forwarded.
            full = not view.lacks_list() and self._lists[zone].include_list(
                view.digest
            )
            bodies.append(
                view.summary.body(view.gateways.values() if full else None)
            )
        self.pending_zones.clear()
        return bodies


class _ListSchedule:
    """Decides which summaries of one zone carry the list of gateways."""

    def __init__(self) -> None:
        self.digest = -1
        self._sent = 0

    def include_list(self, digest: int) -> bool:
        """Whether the next summary carries the list."""
        if digest != self.digest:
            self._sent = 0
        self.digest = digest
        self._sent += 1
        return self._sent <= summaries.LIST_REPEATS


def batch_summaries(
    bodies: Iterable[dict[str, Any]],
) -> Iterator[list[dict[str, Any]]]:
    """Groups summaries into datagrams, larger ones alone."""
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
