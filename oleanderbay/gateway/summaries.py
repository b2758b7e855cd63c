"""Zone summaries: sums over a zone's gateways, sent to other zones."""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import msgpack
import xxhash

from oleanderbay.gateway import fields, heartbeat_contents, positions

# Number of relays per zone; each of them sends summaries.
RELAYS_PER_ZONE = 2
# Number of consecutive summaries that carry the list of gateways after it has
# changed, in case a datagram is lost. Receivers that miss all of them ask for
# the list.
LIST_REPEATS = 2
# Number of intervals without a summary after which receivers switch to the
# zone's other relay, or without a forwarded summary after which another gateway
# takes over forwarding.
RELAY_TIMEOUT_INTERVALS = 2
# Zones and gateways of a zone that are kept at most. Only damaged messages name
# more.
MAX_ZONES = 256
MAX_GATEWAYS = 4_096
# Number of gateway lists that are cached per zone, by digest. The lists of a
# zone's two relays may differ for a while.
MAX_CACHED_LISTS = 4

# Contents of heartbeats from which the quarantines of prompt parts and of
# requests follow.
CRASH_KEYS = ("crashes", "request_crashes")
SURVIVAL_KEYS = ("survived", "request_survived")

# Contents of heartbeats and sums of summaries when there is nothing to report.
EMPTY_CONTENTS: Mapping[str, Any] = {
    "in_flight": {},
    "busy": 0,
    "demand": {},
    "suspects": [],
    "sound": [],
    "lost": {},
    "loads_begun": 0,
    "planned": {},
    "serving": False,
    "crashes": {},
    "survived": {},
    "request_crashes": {},
    "request_survived": {},
    "limits": {},
}


@dataclasses.dataclass(frozen=True, slots=True)
class ListedGateway:
    """An entry in the list of gateways that a relay sends for its zone.

    Attributes:
        id: Id of the gateway.
        start_id: Id of its current process run.
        host: IP address at which other gateways reach it.
        callers: `host:port` at which callers reach it.
        ready: Whether it accepts callers' requests.
        leaving: Whether it is shutting down.
        relay: Whether it sends summaries of its zone.
    """

    id: str
    start_id: str
    host: str
    callers: str
    ready: bool
    leaving: bool
    relay: bool

    def row(self) -> tuple[str | bool, ...]:
        """Returns the fields in the order in which messages carry them."""
        return (
            self.id,
            self.start_id,
            self.host,
            self.callers,
            self.ready,
            self.leaving,
            self.relay,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Summary:
    """A relay's summary of its zone.

    The field names are keys of the message (see `body`).

    Attributes:
        zone: The zone.
        id: Id of the relay.
        start_id: Id of the relay's current process run.
        host: IP address at which other gateways reach the relay.
        sequence: Sequence number of the summary.
        interval_ms: Time until the relay's next summary.
        store_age_ms: Shortest time since the store answered a gateway of
            the zone.
        offsets: Highest offsets of the zone's feeds by topic.
        digest: Digest of the list of gateways.
        sums: Sums over the zone, with the keys of `EMPTY_CONTENTS`.
        gateways: The zone's gateways; None if only the digest is sent.
    """

    zone: str
    id: str
    start_id: str
    host: str
    sequence: int
    interval_ms: int
    store_age_ms: int
    offsets: Mapping[str, int]
    digest: int
    sums: Mapping[str, Any]
    gateways: tuple[ListedGateway, ...] | None

    def body(self, gateways: Iterable[ListedGateway] | None) -> dict[str, Any]:
        """Returns the message with a list of gateways, or with its digest."""
        body = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
        }
        body |= positions.split_offsets(self.offsets)
        if gateways is None:
            del body["gateways"]
        else:
            body["gateways"] = [gateway.row() for gateway in gateways]
        return body


def parse_summary(body: Mapping[str, Any]) -> Summary:
    """Parses a summary.

    Raises:
        One of `fields.PARSE_ERRORS`: The summary is malformed.
    """
    gateways = body.get("gateways")
    return Summary(
        zone=fields.name(body["zone"]),
        id=fields.name(body["id"]),
        start_id=fields.name(body["start_id"]),
        host=fields.host(body["host"]),
        sequence=fields.whole(body["sequence"]),
        interval_ms=fields.span_ms(body["interval_ms"]),
        store_age_ms=fields.span_ms(body["store_age_ms"]),
        offsets=positions.parse_offsets(body),
        digest=fields.whole(body["digest"], high=2**64 - 1),
        sums=heartbeat_contents.parse_sums(fields.mapping(body["sums"])),
        # Only the digest is sent of a list that hasn't changed.
        gateways=None if gateways is None else _parse_list(gateways),
    )


def _parse_list(gateways: Any) -> tuple[ListedGateway, ...]:
    return tuple(
        ListedGateway(
            fields.name(id_),
            fields.name(start_id),
            fields.host(host),
            fields.address(callers),
            fields.flag(ready),
            fields.flag(leaving),
            fields.flag(relay),
        )
        for id_, start_id, host, callers, ready, leaving, relay in map(
            fields.items, fields.items(gateways)
        )
    )


def zone_source(zone: str) -> str:
    """Returns the key for a zone's sums in maps that are keyed by peer."""
    return f"zone/{zone}"


def digest(gateways: Iterable[ListedGateway]) -> int:
    """Returns the digest of a list of gateways that is sorted by id."""
    packed = msgpack.packb([gateway.row() for gateway in gateways])
    return xxhash.xxh64_intdigest(packed)


def relay_order(zone: str, gateway_id: str) -> int:
    """Returns the sort key by which a zone's relays are chosen."""
    return xxhash.xxh64_intdigest(f"{zone}/{gateway_id}".encode())


def choose_relays(zone: str, ids: Iterable[str]) -> list[str]:
    """Returns the relays among the gateways of a zone, the primary first."""
    return sorted(ids, key=lambda gateway_id: relay_order(zone, gateway_id))[
        :RELAYS_PER_ZONE
    ]


def sum_contents(contents: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    """Adds up the contents of the heartbeats of several gateways."""
    in_flight: collections.Counter[str] = collections.Counter()
    demand: collections.defaultdict[str, float] = collections.defaultdict(float)
    planned: collections.Counter[str] = collections.Counter()
    suspects: set[str] = set()
    healthy: set[str] = set()
    lost: dict[str, int] = {}
    crashes: dict[str, collections.defaultdict[str, set[str]]] = {
        key: collections.defaultdict(set) for key in CRASH_KEYS
    }
    survived: dict[str, dict[str, int]] = {key: {} for key in SURVIVAL_KEYS}
    limits: dict[str, tuple[float | None, int]] = {}
    busy_gateways = loads_begun = 0
    serving = False
    for body in contents:
        in_flight.update(body["in_flight"])
        busy_gateways += bool(body["in_flight"])
        for model, mean in body["demand"].items():
            demand[model] += mean
        planned.update(body["planned"])
        suspects.update(body["suspects"])
        healthy.update(body["sound"])
        for worker_id, started_ms in body["lost"].items():
            lost[worker_id] = max(started_ms, lost.get(worker_id, started_ms))
        for key, merged in crashes.items():
            for part, incarnations in body.get(key, {}).items():
                merged[part].update(incarnations)
        for key, youngest in survived.items():
            for part, age_ms in body.get(key, {}).items():
                youngest[part] = min(age_ms, youngest.get(part, age_ms))
        for worker_id, (per_s, age_ms) in body.get("limits", {}).items():
            if worker_id not in limits or age_ms < limits[worker_id][1]:
                limits[worker_id] = per_s, age_ms
        loads_begun += int(body["loads_begun"])
        serving = serving or bool(body["serving"])
    return {
        "in_flight": dict(in_flight),
        "busy": busy_gateways,
        "demand": dict(demand),
        "suspects": sorted(suspects),
        "sound": sorted(healthy),
        "lost": lost,
        "loads_begun": loads_begun,
        "planned": dict(planned),
        "serving": serving,
        **drop_empty(
            {
                **{
                    key: {part: sorted(merged[part]) for part in merged}
                    for key, merged in crashes.items()
                },
                **survived,
                "limits": limits,
            }
        ),
    }


def drop_empty(contents: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the contents that report anything.

    Receivers take missing ones as empty, which keeps messages small.
    """
    return {key: value for key, value in contents.items() if value}


@dataclasses.dataclass(slots=True)
class ZoneView:
    """The state of another zone, from the summaries of its relays.

    Attributes:
        summary: Current summary of the zone.
        heard_ms: Monotonic time of its arrival.
        interval_ms: Time from its arrival until the next one is due.
        lifetime_ms: Time from its arrival until it expires.
        gateways: Current list of the zone's gateways, by id.
        digest: Digest of that list.
        listed_ms: Monotonic time at which a summary last confirmed the list.
        relays: Relays of the zone according to the list.
        last_listed: By id, each gateway that was listed lately and the
            monotonic time at which it was listed last.
        cached_lists: Recent lists by digest.
        sequences: Start id and last sequence number by relay.
        forwarded_ms: Monotonic time at which a gateway of this gateway's
            zone last forwarded a summary.
    """

    summary: Summary
    heard_ms: int
    interval_ms: int
    lifetime_ms: int
    gateways: dict[str, ListedGateway] = dataclasses.field(default_factory=dict)
    digest: int = -1
    listed_ms: int = 0
    relays: tuple[ListedGateway, ...] = ()
    last_listed: dict[str, tuple[ListedGateway, int]] = dataclasses.field(
        default_factory=dict
    )
    cached_lists: dict[int, tuple[ListedGateway, ...]] = dataclasses.field(
        default_factory=dict
    )
    sequences: dict[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    forwarded_ms: int = 0

    def keeps_current_relay(
        self, summary: Summary, listed: Iterable[ListedGateway], now_ms: int
    ) -> bool:
        """Whether to keep using the current relay rather than a summary's.

        The current relay is dropped if it is silent, or if the other relay's
        list no longer has it as a relay.
        """
        return (
            self.summary.id != summary.id
            and now_ms - self.heard_ms
            <= RELAY_TIMEOUT_INTERVALS * self.interval_ms
            and any(
                gateway.relay and gateway.id == self.summary.id
                for gateway in listed
            )
        )

    def is_new(self, summary: Summary) -> bool:
        """Whether a summary is newer than the last one of the same relay."""
        start_id, sequence = self.sequences.get(summary.id, ("", -1))
        return start_id != summary.start_id or sequence < summary.sequence

    def lacks_list(self) -> bool:
        """Whether the list for the current summary's digest is unknown."""
        return self.digest != self.summary.digest

    def cache_list(
        self, digest: int, gateways: tuple[ListedGateway, ...]
    ) -> None:
        """Caches a list for later summaries that carry only its digest."""
        self.cached_lists.pop(digest, None)
        self.cached_lists[digest] = gateways
        while len(self.cached_lists) > MAX_CACHED_LISTS:
            del self.cached_lists[next(iter(self.cached_lists))]

    def use_list(
        self, gateways: tuple[ListedGateway, ...], now_ms: int
    ) -> None:
        """Applies the list that belongs to the current summary."""
        self.listed_ms = now_ms
        if not self.lacks_list():
            return
        self.digest = self.summary.digest
        self.gateways = {gateway.id: gateway for gateway in gateways}
        self.relays = tuple(gateway for gateway in gateways if gateway.relay)


class ZoneSummaries:
    """Holds the summaries of all other zones.

    Attributes:
        own: This gateway's zone, whose summaries are ignored.
        views: State of each other zone.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.views: dict[str, ZoneView] = {}

    def apply(
        self, summary: Summary, now_ms: int, interval_ms: int, lifetime_ms: int
    ) -> bool:
        """Applies a summary; returns whether it is now in use for its zone."""
        if summary.zone == self.own:
            return False
        view = self.views.get(summary.zone)
        first = view is None
        if view is None:
            if len(self.views) >= MAX_ZONES:
                return False
            view = ZoneView(summary, now_ms, interval_ms, lifetime_ms)
            view.forwarded_ms = now_ms
            self.views[summary.zone] = view
        if summary.gateways is not None:
            view.cache_list(summary.digest, summary.gateways)
        # The response to a request for a list repeats an old summary, which is
        # dropped here. The next summary finds its list in the cache.
        listed = view.cached_lists.get(summary.digest, ())
        if not first and not view.is_new(summary):
            return False
        if summary.id in view.sequences or len(view.sequences) < MAX_GATEWAYS:
            view.sequences[summary.id] = (summary.start_id, summary.sequence)
        # A gateway that is listed by either relay shares global limits.
        for gateway in listed:
            if (
                gateway.id in view.last_listed
                or len(view.last_listed) < MAX_GATEWAYS
            ):
                view.last_listed[gateway.id] = (gateway, now_ms)
        if not first and view.keeps_current_relay(
            summary, listed or view.relays, now_ms
        ):
            return False
        view.summary = summary
        view.heard_ms = now_ms
        view.interval_ms = interval_ms
        view.lifetime_ms = lifetime_ms
        if listed:
            view.use_list(listed, now_ms)
        return True

    def is_fresh(self, zone: str, now_ms: int) -> bool:
        """Whether there is a summary of a zone that has not expired."""
        view = self.views.get(zone)
        return view is not None and now_ms - view.heard_ms <= view.lifetime_ms

    def fresh_zones(self, now_ms: int) -> list[str]:
        """Returns the zones whose summaries have not expired."""
        return [zone for zone in self.views if self.is_fresh(zone, now_ms)]

    def listed_gateways(self, now_ms: int) -> Iterator[ListedGateway]:
        """Yields the gateways of the zones whose summaries have not expired."""
        for zone in self.fresh_zones(now_ms):
            yield from self.views[zone].gateways.values()

    def recently_listed(
        self, now_ms: int, forget_ms: Callable[[int], int]
    ) -> Iterator[ListedGateway]:
        """Yields the gateways that were listed recently.

        Args:
            now_ms: Current monotonic time.
            forget_ms: Returns, for the interval of a zone, how long ago its
                gateways may have been listed.
        """
        for view in self.views.values():
            since_ms = now_ms - forget_ms(view.interval_ms)
            for gateway, listed_ms in view.last_listed.values():
                if listed_ms > since_ms:
                    yield gateway

    def zone_by_host(self) -> dict[str, str]:
        """Returns the zone of each host in `last_listed`."""
        return {
            gateway.host: zone
            for zone, view in self.views.items()
            for gateway, _ in view.last_listed.values()
        }

    def drop_expired(
        self, now_ms: int, kept_ms: Callable[[ZoneView], int]
    ) -> list[str]:
        """Drops expired entries; returns the hosts of dropped gateways."""
        dropped = []
        for zone, view in tuple(self.views.items()):
            since_ms = now_ms - kept_ms(view)
            for gateway, listed_ms in tuple(view.last_listed.values()):
                if listed_ms < since_ms:
                    del view.last_listed[gateway.id]
                    dropped.append(gateway.host)
            for relay_id in tuple(view.sequences):
                if relay_id not in view.last_listed:
                    del view.sequences[relay_id]
            if view.heard_ms < since_ms:
                del self.views[zone]
        return dropped
