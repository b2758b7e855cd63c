"""Sums over the gateways of one zone, which stand for them in other zones."""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any

import msgpack
import xxhash

# Relays of a zone; each sends its summaries.
RELAYS_PER_ZONE = 2
# The list of gateways is sent in this many summaries after a change, since one
# datagram may be lost. Who lacks it later asks for it.
LIST_REPEATS = 2
# Another relay's summaries are used, or forwarded by the second relay, after
# this many intervals without one from the first.
RELAY_TIMEOUT_INTERVALS = 2
# Lists of a zone that are kept by digest; its two relays may differ for a time.
MAX_CACHED_LISTS = 4

# What heartbeats and summaries say of requests and workers, of nobody.
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
}


@dataclasses.dataclass(frozen=True, slots=True)
class ListedGateway:
    """A gateway as its zone's relay lists it.

    Attributes:
        id: Its id.
        start_id: Its run of the process.
        host: IP address for peers.
        callers: `host:port` for callers.
        ready: Whether it takes callers' requests.
        leaving: Whether it leaves.
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
        """Returns the fields in their order, as messages hold them."""
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
    """What a relay says of its zone.

    Attributes:
        zone: The zone.
        id: Id of the relay.
        start_id: The relay's run of the process.
        host: IP address of the relay for peers.
        sequence: Number of this summary.
        interval_ms: Time to the relay's next summary.
        store_age_ms: Least time since the store answered a gateway.
        offsets: Highest offsets of the zone's feeds by topic.
        digest: Digest of the list of gateways.
        sums: Sums over the zone, with the keys of `EMPTY`.
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
        """Returns the message, with a list or only with its digest."""
        body = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
        }
        if gateways is None:
            del body["gateways"]
        else:
            body["gateways"] = [one.row() for one in gateways]
        return body


def parse_summary(body: Mapping[str, Any]) -> Summary:
    """Reads a summary.

    Raises:
        ValueError, KeyError, TypeError: The summary is malformed.
    """
    sums = body["sums"]
    gateways = body.get("gateways")
    return Summary(
        zone=str(body["zone"]),
        id=str(body["id"]),
        start_id=str(body["start_id"]),
        host=str(body["host"]),
        sequence=int(body["sequence"]),
        interval_ms=int(body["interval_ms"]),
        store_age_ms=int(body["store_age_ms"]),
        offsets={str(n): int(o) for n, o in dict(body["offsets"]).items()},
        digest=int(body["digest"]),
        sums={
            key: type(empty)(sums[key]) for key, empty in EMPTY_CONTENTS.items()
        },
        gateways=None if gateways is None else _parse_list(gateways),
    )


def _parse_list(gateways: Iterable[Iterable[Any]]) -> tuple[ListedGateway, ...]:
    return tuple(
        ListedGateway(
            str(id_),
            str(start_id),
            str(host),
            str(callers),
            bool(ready),
            bool(leaving),
            bool(relay),
        )
        for id_, start_id, host, callers, ready, leaving, relay in gateways
    )


def zone_source(zone: str) -> str:
    """Returns the name under which a zone's sums are kept beside peers."""
    return f"zone/{zone}"


def digest(gateways: Iterable[ListedGateway]) -> int:
    """Returns the digest of a list in the order of the ids."""
    packed = msgpack.packb([one.row() for one in gateways])
    return xxhash.xxh64_intdigest(packed)


def relay_order(zone: str, gateway_id: str) -> int:
    """Returns a gateway's place in the order of a zone's relays."""
    return xxhash.xxh64_intdigest(f"{zone}/{gateway_id}".encode())


def choose_relays(zone: str, ids: Iterable[str]) -> list[str]:
    """Returns the relays among the gateways of a zone, the first one first."""
    return sorted(ids, key=lambda one: relay_order(zone, one))[:RELAYS_PER_ZONE]


def sum_contents(contents: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    """Sums up what gateways say of requests and workers."""
    in_flight: collections.Counter[str] = collections.Counter()
    demand: collections.defaultdict[str, float] = collections.defaultdict(float)
    planned: collections.Counter[str] = collections.Counter()
    suspects: set[str] = set()
    sound: set[str] = set()
    lost: dict[str, int] = {}
    busy = loads_begun = 0
    serving = False
    for body in contents:
        in_flight.update(body["in_flight"])
        busy += bool(body["in_flight"])
        for model, mean in body["demand"].items():
            demand[model] += mean
        planned.update(body["planned"])
        suspects.update(body["suspects"])
        sound.update(body["sound"])
        for worker_id, born_ms in body["lost"].items():
            lost[worker_id] = max(born_ms, lost.get(worker_id, born_ms))
        loads_begun += int(body["loads_begun"])
        serving = serving or bool(body["serving"])
    return {
        "in_flight": dict(in_flight),
        "busy": busy,
        "demand": dict(demand),
        "suspects": sorted(suspects),
        "sound": sorted(sound),
        "lost": lost,
        "loads_begun": loads_begun,
        "planned": dict(planned),
        "serving": serving,
    }


@dataclasses.dataclass(slots=True)
class ZoneView:
    """What is known of another zone.

    Attributes:
        summary: The summary in use.
        heard_ms: Monotonic time of its arrival.
        interval_ms: Time to the next one.
        lifetime_ms: Time after which it expires.
        gateways: The list in use, by id.
        digest: Digest of that list.
        listed_ms: When a summary last confirmed it.
        relays: Relays of the zone by that list.
        last_listed: Each gateway that was listed, and when it was last.
        lists: Lists by digest.
        sequences: Start id and last sequence number by relay.
        forwarded_ms: When a gateway of the own zone last forwarded a summary.
        ahead: Offset that the zone is known to have, and since when, by topic.
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
    awaited_offsets: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )

    def keeps_current_relay(
        self, summary: Summary, listed: Iterable[ListedGateway], now_ms: int
    ) -> bool:
        """Whether the relay in use is kept in place of another one.

        It is not if the other one no longer lists it as a relay.
        """
        return (
            self.summary.id != summary.id
            and now_ms - self.heard_ms
            <= RELAY_TIMEOUT_INTERVALS * self.interval_ms
            and any(one.relay and one.id == self.summary.id for one in listed)
        )

    def is_new(self, summary: Summary) -> bool:
        """Whether a relay has not sent this or a later summary before."""
        start_id, sequence = self.sequences.get(summary.id, ("", -1))
        return start_id != summary.start_id or sequence < summary.sequence

    def lacks_list(self) -> bool:
        """Whether the list of the summary in use is not known."""
        return self.digest != self.summary.digest

    def cache_list(
        self, digest: int, gateways: tuple[ListedGateway, ...]
    ) -> None:
        """Keeps a list for later summaries that carry only its digest."""
        self.cached_lists.pop(digest, None)
        self.cached_lists[digest] = gateways
        while len(self.cached_lists) > MAX_CACHED_LISTS:
            del self.cached_lists[next(iter(self.cached_lists))]

    def use_list(
        self, gateways: tuple[ListedGateway, ...], now_ms: int
    ) -> None:
        """Takes the list of the summary in use."""
        self.listed_ms = now_ms
        if not self.lacks_list():
            return
        self.digest = self.summary.digest
        self.gateways = {one.id: one for one in gateways}
        self.relays = tuple(one for one in gateways if one.relay)


class ZoneSummaries:
    """Owns what the relays of other zones said.

    Attributes:
        own: The own zone, whose summaries are not used.
        views: What is known of each other zone.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.views: dict[str, ZoneView] = {}

    def apply(
        self, summary: Summary, now_ms: int, interval_ms: int, lifetime_ms: int
    ) -> bool:
        """Takes a summary; returns whether it is now the one in use."""
        if summary.zone == self.own:
            return False
        view = self.views.get(summary.zone)
        first = view is None
        if view is None:
            view = ZoneView(summary, now_ms, interval_ms, lifetime_ms)
            view.forwarded_ms = now_ms
            self.views[summary.zone] = view
        if summary.gateways is not None:
            view.cache_list(summary.digest, summary.gateways)
        # An answer to a request repeats a summary with its list, which the
        # next summary puts to use.
        listed = view.cached_lists.get(summary.digest, ())
        if not first and not view.is_new(summary):
            return False
        view.sequences[summary.id] = (summary.start_id, summary.sequence)
        # A gateway that either relay lists takes its share of global limits.
        for one in listed:
            view.last_listed[one.id] = (one, now_ms)
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
        """Whether the summary of a zone is in use."""
        view = self.views.get(zone)
        return view is not None and now_ms - view.heard_ms <= view.lifetime_ms

    def fresh_zones(self, now_ms: int) -> list[str]:
        """Returns the zones whose summaries are in use."""
        return [zone for zone in self.views if self.is_fresh(zone, now_ms)]

    def listed_gateways(self, now_ms: int) -> Iterator[ListedGateway]:
        """Returns the gateways of the zones whose summaries are in use."""
        for zone in self.fresh_zones(now_ms):
            yield from self.views[zone].gateways.values()

    def recently_listed(
        self, now_ms: int, forget_ms: Callable[[int], int]
    ) -> Iterator[ListedGateway]:
        """Returns the gateways that were listed lately.

        Args:
            now_ms: Monotonic time.
            forget_ms: Time for which they count, by their zone's interval.
        """
        for view in self.views.values():
            since_ms = now_ms - forget_ms(view.interval_ms)
            for one, listed_ms in view.last_listed.values():
                if listed_ms > since_ms:
                    yield one

    def zone_by_host(self) -> dict[str, str]:
        """Returns the zone of each host that was listed."""
        return {
            one.host: zone
            for zone, view in self.views.items()
            for one, _ in view.last_listed.values()
        }

    def drop_expired(
        self, now_ms: int, kept_ms: Callable[[ZoneView], int]
    ) -> list[str]:
        """Drops what is older than its time; returns the hosts of that."""
        dropped = []
        for zone, view in tuple(self.views.items()):
            since_ms = now_ms - kept_ms(view)
            for one, listed_ms in tuple(view.last_listed.values()):
                if listed_ms < since_ms:
                    del view.last_listed[one.id]
                    dropped.append(one.host)
            for relay_id in tuple(view.sequences):
                if relay_id not in view.last_listed:
                    del view.sequences[relay_id]
            if view.heard_ms < since_ms:
                del self.views[zone]
        return dropped
