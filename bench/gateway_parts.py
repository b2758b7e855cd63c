"""Gateways without sockets, and what they are told, for benchmarks."""

import json
import random
import socket
from collections.abc import Sequence
from typing import Any

import msgpack

from bench import harness
from oleanderbay.gateway import entry, interfaces, settings
from oleanderbay.platform import http_headers, names, records, store
from oleanderbay.process import clock as clocks

PEERS = (6, 29, 99, 299, 1_099)
GROUP_SIZE = 32
# 46 full domains of this size hold the workers of the design size.
DOMAIN_SIZE = 260
ZONES = 26


class Wire:
    """Sends all datagrams to one socket on loopback that is never read."""

    def __init__(self) -> None:
        self.sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sink.bind(("127.0.0.1", 0))
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.last = b""

    def sendto(self, packed: bytes, place: Any) -> None:
        self.last = packed
        self.socket.sendto(packed, self.sink.getsockname())

    def close(self) -> None:
        self.sink.close()
        self.socket.close()


def settings_of(number: int, address: str) -> settings.Settings:
    host = f"127.{1 + number // 62_500}.{number // 250 % 250}.{number % 250}"
    return settings.Settings(
        entry=settings.EntrySettings(
            id=f"gateway-{number}", zone=f"zone-{number % ZONES}", host=host
        ),
        listeners=settings.ListenerSettings(
            callers=f"{host}:8090", readiness=f"{host}:8091"
        ),
        peers=settings.PeerSettings(port=8_093),
        store=settings.StoreSettings(address=address),
    )


def gateway(
    number: int = 0,
    client: store.HttpStore | None = None,
    clock: clocks.Clock | None = None,
) -> entry.Gateway:
    """Makes a gateway whose sockets are not opened."""
    address = client.address if client else "127.0.0.1:9"
    return entry.Gateway(
        settings_of(number, address),
        client or store.HttpStore(address, 1, 500),
        NoOrders(),
        records.JsonDecoder(),
        http_headers.HeaderTranslator(),
        clock or clocks.ManualClock(),
        random.Random(1),
    )


class NoOrders:
    """Fails each order; a fleet without faults needs none."""

    def __getattr__(self, name: str) -> Any:
        raise AssertionError(f"unexpected order: {name}")


def configuration(routes: int, version: int = 1) -> bytes:
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"route-{number}",
                    "host": f"host-{number % 50}.example",
                    "path_prefix": f"/path/{number}/",
                    "kind": "streaming",
                    "timeout_ms": 60_000,
                    "target_latency_ms": 1_000,
                    "target_gap_ms": 27,
                    "max_attempts": 3,
                    "resumable": True,
                    "traffic_split": [{"service": "chat", "weight": 1}],
                }
                for number in range(routes)
            ],
            "services": [
                {
                    "name": "chat",
                    "engine": {
                        "slots": 64,
                        "models": [
                            {"name": "large", "size": GROUP_SIZE, "share": 1}
                        ],
                    },
                }
            ],
        }
    ).encode()


def worker(
    number: int, born: int = 1, size: int = GROUP_SIZE, **changes: Any
) -> bytes:
    """Returns a worker's record, with some fields changed or added."""
    group, rank = divmod(number, size)
    body = {
        "service": "chat",
        "address": f"10.0.{number // 250}.{number % 250}:8000",
        "zone": f"zone-{number // DOMAIN_SIZE % ZONES}",
        "domain": f"domain-{number // DOMAIN_SIZE}",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "born": born,
        "sequence": 3,
        "models": [{"name": "large"}],
        "staged": ["large"],
        "group": {
            "name": f"gateway-1/abcdef012345-{group}",
            "epoch": 65_536 + group,
            "rank": rank,
            "state": "ready" if rank else "open",
        },
    }
    return json.dumps(body | changes).encode()


def record(
    offset: int, number: int, size: int = GROUP_SIZE, born: int = 1
) -> interfaces.KeyedRecord:
    return interfaces.KeyedRecord(
        offset, f"worker-{number}", worker(number, born, size)
    )


def fill(
    gateway: entry.Gateway, count: int, size: int = GROUP_SIZE, routes: int = 1
) -> None:
    """Gives a gateway a configuration and workers, all in open groups."""
    configured = gateway.feeds["configuration"]
    body = json.loads(configuration(routes))
    body["services"][0]["engine"]["models"][0]["size"] = size
    configured.merge(
        [
            interfaces.KeyedRecord(
                0, names.CONFIGURATION_KEY, json.dumps(body).encode()
            )
        ],
        1,
    )
    gateway.feeds["workers"].merge(
        [record(number, number, size) for number in range(count)], count
    )


def _slope(series: Sequence[tuple[float, float]]) -> float:
    """Returns the slope of the line of least squares."""
    mean_x = sum(x for x, _ in series) / len(series)
    mean_y = sum(y for _, y in series) / len(series)
    return sum((x - mean_x) * (y - mean_y) for x, y in series) / sum(
        (x - mean_x) ** 2 for x, _ in series
    )


def result(
    name: str,
    unit: str,
    series: Sequence[tuple[float, float]],
    deterministic: bool = False,
    **detail: Any,
) -> harness.Result:
    """Reports the largest size, with the slope over all sizes."""
    return harness.Result(
        name=f"gateways.{name}",
        value=series[-1][1],
        unit=unit,
        deterministic=deterministic,
        detail={
            "size": series[-1][0],
            "slope": _slope(series),
            "series": [list(point) for point in series],
            **detail,
        },
    )


def busy(gateway: entry.Gateway, in_flight: int) -> None:
    for number in range(in_flight):
        gateway.loads.own_counts[f"worker-{number * GROUP_SIZE}"] = 3


def heartbeat(number: int, in_flight: int) -> dict[str, Any]:
    """Returns the heartbeat of a gateway as another one receives it."""
    sender = gateway(number)
    fill(sender, 0)
    busy(sender, in_flight)
    sender.demand.own_means["large"] = 12.345
    sender.peers.add_address("127.0.0.1", "other")
    wire = Wire()
    sender.peers._transport = wire  # type: ignore[assignment]
    sender.peers.send_heartbeats()
    body: dict[str, Any] = msgpack.unpackb(wire.last)
    wire.close()
    return body


def hear(gateway: entry.Gateway, peers: int, in_flight: int = 0) -> None:
    body = heartbeat(1, in_flight)
    for number in range(1, peers + 1):
        config = settings_of(number, "")
        body |= {
            "id": config.entry.id,
            "host": config.entry.host,
            "callers": config.listeners.callers,
            "ready": True,
        }
        gateway.peers._received(msgpack.packb(body))
