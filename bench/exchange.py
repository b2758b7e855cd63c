"""What gateways send each other, by role and size, as a count."""

import collections
import dataclasses
import itertools
import logging
from collections.abc import Iterator, Mapping
from typing import Any

import msgpack
import structlog

from bench import harness
from oleanderbay.gateway import feed, interfaces, peers, settings, summaries
from oleanderbay.platform import store
from oleanderbay.process import clock as clocks

SIZES = (7, 31, 101, 300, 1_100)
ZONES = (3, 26)
# Workers in flight at each gateway: the groups of one zone.
IN_FLIGHT = 14
# Above any size, so that all gateways exchange heartbeats.
FULL_MESH = 100_000
ROLES = ("member", "first_relay", "second_relay")
SETTLE_MS = 2_000
COUNTED_MS = 6_000


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """What one gateway sends a second.

    Attributes:
        within: Datagrams to its own zone.
        across: Datagrams to other zones.
        within_bytes: Bytes to its own zone, without IP and UDP headers.
        across_bytes: Bytes to other zones.
    """

    within: float = 0
    across: float = 0
    within_bytes: float = 0
    across_bytes: float = 0

    @property
    def datagrams(self) -> float:
        return self.within + self.across

    @property
    def bytes(self) -> float:
        return self.within_bytes + self.across_bytes


class _Wire:
    """Keeps the size and the zone of each datagram."""

    def __init__(self, zones: Mapping[str, int]) -> None:
        self.zones = zones
        self.sent: list[tuple[int, bytes]] = []

    def sendto(self, packed: bytes, place: Any) -> None:
        self.sent.append((self.zones[place[0]], packed))


class _Fleet:
    """Makes single gateways of a fleet and what they hear from the others."""

    def __init__(self, size: int, zones: int, full_mesh: int) -> None:
        self.full_mesh = full_mesh
        self.members: dict[int, list[int]] = collections.defaultdict(list)
        for number in range(size):
            self.members[number % zones].append(number)
        self.zones = {
            _host(number): zone
            for zone, numbers in self.members.items()
            for number in numbers
        }
        self.clock = clocks.ManualClock()

    def ranked(self, zone: int) -> list[int]:
        """Returns the gateways of a zone, the first relay first."""
        return sorted(
            self.members[zone],
            key=lambda n: summaries.relay_order(f"zone-{zone}", f"gateway-{n}"),
        )

    def make(self, number: int) -> peers.Peers:
        zone = self.zones[_host(number)]
        config = settings.Settings(
            entry=settings.EntrySettings(
                id=f"gateway-{number}", zone=f"zone-{zone}", host=_host(number)
            ),
            listeners=settings.ListenerSettings(
                callers=f"{_host(number)}:8090",
                readiness=f"{_host(number)}:8091",
            ),
            peers=settings.PeerSettings(
                port=8_093, full_mesh_gateways=self.full_mesh
            ),
            store=settings.StoreSettings(address="127.0.0.1:9"),
        )
        followed = {
            topic.value: feed.Feed(
                store.HttpStore("127.0.0.1:9", 1, 500),
                topic,
                self.clock,
                lambda _: None,
                0,
                500,
            )
            for topic in (
                interfaces.Topic.CONFIGURATION,
                interfaces.Topic.WORKERS,
            )
        }
        made = peers.Peers(
            config,
            f"{number:012x}",
            self.clock,
            followed,
            lambda: _contents(zone),
            lambda source, body: None,
        )
        made._transport = _Wire(self.zones)  # type: ignore[assignment]
        for host in self.zones:
            made.add_address(host, host)
        return made

    def heartbeats(self, number: int) -> list[dict[str, Any]]:
        """Returns the heartbeats that a gateway hears."""
        if not self.summarizes:
            senders = [n for found in self.members.values() for n in found]
        else:
            senders = self.members[self.zones[_host(number)]]
        made = self.make(number)
        made.send_heartbeats()
        wire: Any = made._transport
        if not wire.sent:
            return []
        body: dict[str, Any] = msgpack.unpackb(wire.sent[0][1])
        return [
            body
            | {
                "id": f"gateway-{n}",
                "start_id": f"{n:012x}",
                "host": _host(n),
                "zone": f"zone-{self.zones[_host(n)]}",
                "callers": f"{_host(n)}:8090",
                "interval_ms": 1_000,
            }
            for n in senders
            if n != number
        ]

    @property
    def summarizes(self) -> bool:
        return len(self.zones) > self.full_mesh

    def summaries(self, own: int) -> list[dict[str, Any]]:
        """Returns the first summaries of the relays of all other zones."""
        found = []
        for zone in self.members:
            if zone == own or not self.summarizes:
                continue
            # Only the first relay's summaries are used while it is heard.
            first = self.ranked(zone)[0]
            made = self.make(first)
            _tell(made, self.heartbeats(first), 1)
            made.send_heartbeats()
            gateways = made.summary_builder.list_gateways(made.get_contents())
            found.append(
                made.summary_builder.build_own(
                    made.get_contents(), {}, 0, 1_000
                )
                | {"gateways": [g.row() for g in gateways]}
            )
        return found

    def rate(self, role: str) -> Rate:
        """Counts what a gateway of the first zone sends, once all are known."""
        ranked = self.ranked(0)
        number = (
            ranked[min(ROLES[1:].index(role), len(ranked) - 1)]
            if (role != "member")
            else ranked[-1]
        )
        one = self.make(number)
        wire: Any = one._transport
        heard = self.heartbeats(number)
        told = self.summaries(0)
        due_ms = told_ms = 0
        began_ms = -1
        while True:
            now_ms = min(due_ms, told_ms)
            self.clock.set_ms(now_ms)
            if now_ms == told_ms:
                _tell(one, heard, now_ms)
                _tell_zones(one, told, now_ms, forwarded=role != "first_relay")
                # All zones are alike, and so are their intervals.
                told_ms += one.interval_ms()
                continue
            # Whole intervals are counted, from one heartbeat to another.
            if now_ms >= one._next_heartbeat_ms:
                if began_ms < 0 and now_ms >= SETTLE_MS:
                    began_ms = now_ms
                    wire.sent.clear()
                if now_ms >= SETTLE_MS + COUNTED_MS:
                    return _rate(wire.sent, now_ms - began_ms)
            due_ms = now_ms + one.send_due()


def _rate(sent: list[tuple[int, bytes]], counted_ms: int) -> Rate:
    seconds = counted_ms / 1_000
    within = [len(packed) for zone, packed in sent if zone == 0]
    across = [len(packed) for zone, packed in sent if zone != 0]
    return Rate(
        len(within) / seconds,
        len(across) / seconds,
        sum(within) / seconds,
        sum(across) / seconds,
    )


def _host(number: int) -> str:
    return f"10.0.{number // 250}.{number % 250}"


def _contents(zone: int) -> dict[str, Any]:
    return {
        **summaries.EMPTY_CONTENTS,
        "ready": True,
        "leaving": False,
        "in_flight": {
            f"worker-{zone * 1_000 + n * 32}": 3 for n in range(IN_FLIGHT)
        },
        "demand": {"large": 12.345},
        "serving": True,
    }


def _tell(
    one: peers.Peers, heartbeats: list[dict[str, Any]], sequence: int
) -> None:
    for body in heartbeats:
        one._received(msgpack.packb(body | {"sequence": sequence}))


def _tell_zones(
    one: peers.Peers,
    bodies: list[dict[str, Any]],
    sequence: int,
    forwarded: bool,
) -> None:
    for body in bodies:
        message = {
            "protocol": peers.PROTOCOL,
            "id": body["id"],
            "interval_ms": 1_000,
            "forwarded": forwarded,
            "summaries": [body | {"sequence": sequence}],
        }
        one._received(msgpack.packb(message))


def _series(zones: int, full_mesh: int, role: str) -> dict[int, Rate]:
    return {size: _Fleet(size, zones, full_mesh).rate(role) for size in SIZES}


def _result(
    name: str, unit: str, series: Mapping[int, float], **detail: Any
) -> harness.Result:
    return harness.Result(
        name=f"exchange.{name}",
        value=series[SIZES[-1]],
        unit=unit,
        deterministic=True,
        detail={"series": [list(item) for item in series.items()], **detail},
    )


def _crossing(
    zones: int, by_role: Mapping[str, Mapping[int, Rate]]
) -> dict[int, float]:
    """Returns the bytes a second between zones, of all gateways."""
    found = {}
    for size in SIZES:
        used = min(zones, size)
        second = min(size - used, used)
        numbers = zip(ROLES, (size - used - second, used, second), strict=True)
        found[size] = sum(
            number * by_role[role][size].across_bytes
            for role, number in numbers
        )
    return found


def counts() -> Iterator[harness.Result]:
    """Counts datagrams and bytes before and after zone summaries."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for zones in ZONES:
        # In a full mesh all gateways send alike.
        before = dict.fromkeys(ROLES, _series(zones, FULL_MESH, "member"))
        after = {role: _series(zones, 8, role) for role in ROLES}
        yield from _rates(f"before_{zones}_zones_member", before["member"])
        for role, rates in after.items():
            yield from _rates(f"after_{zones}_zones_{role}", rates)
        for state, by_role in (("before", before), ("after", after)):
            yield _result(
                f"{state}_{zones}_zones_crossing",
                "B/s",
                _crossing(zones, by_role),
            )


def _rates(name: str, rates: Mapping[int, Rate]) -> Iterator[harness.Result]:
    for figure, unit in (
        ("datagrams", "count"),
        ("across", "count"),
        ("bytes", "B/s"),
        ("across_bytes", "B/s"),
    ):
        series = {size: getattr(rate, figure) for size, rate in rates.items()}
        yield _result(f"{name}_{figure}", unit, series)


def _beat_us(size: int, zones: int, role: str) -> float:
    """Returns the processor time of one heartbeat, without sockets."""
    fleet = _Fleet(size, zones, 8)
    one, told = _informed(fleet, role)

    def beat() -> None:
        if role == "first_relay":
            one.summary_builder.pending_zones = dict.fromkeys(
                body["zone"] for body in told
            )
        one.send_heartbeats()

    return harness.cpu_us_per_call(beat, 10, 3)


def _heard_us(size: int, zones: int, role: str) -> float:
    """Returns the processor time to take the summaries of all zones."""
    one, told = _informed(_Fleet(size, zones, 8), role)
    short = [{k: body[k] for k in body if k != "gateways"} for body in told]
    sequence = itertools.count(10)

    def hear() -> None:
        _tell_zones(one, short, next(sequence), role != "first_relay")

    return harness.cpu_us_per_call(hear, 10, 3)


def _informed(
    fleet: _Fleet, role: str
) -> tuple[peers.Peers, list[dict[str, Any]]]:
    """Returns a gateway of the first zone that knows all others."""
    number = fleet.ranked(0)[0 if role == "first_relay" else -1]
    one = fleet.make(number)
    told = fleet.summaries(0)
    _tell(one, fleet.heartbeats(number), 1)
    _tell_zones(one, told, 1, role != "first_relay")
    one.send_heartbeats()
    return one, told


def run() -> Iterator[harness.Result]:
    """Runs the counts, and measures processor time at the largest size."""
    yield from counts()
    size = SIZES[-1]
    for zones in ZONES:
        for role in ROLES[:2]:
            for name, measure in (("beat", _beat_us), ("heard", _heard_us)):
                yield harness.Result(
                    name=f"exchange.after_{zones}_zones_{role}_{name}",
                    value=measure(size, zones, role),
                    unit="us",
                    detail={"size": size},
                )
