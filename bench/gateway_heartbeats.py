"""What heartbeats cost a gateway, against the number of its peers."""

from collections.abc import Iterator

import msgpack

from bench import gateway_parts as parts
from bench import harness

IN_FLIGHT = (0, 14, 63, 375, 1_500)


def _beat_us(peers: int, in_flight: int) -> float:
    gateway = parts.gateway()
    parts.fill(gateway, 12_000)
    parts.busy(gateway, in_flight)
    parts.hear(gateway, peers)
    wire = parts.Wire()
    gateway.peers._transport = wire  # type: ignore[assignment]
    try:
        return harness.cpu_us_per_call(
            gateway.peers.send_heartbeats, max(5, 1_000 // peers)
        )
    finally:
        wire.close()


def _received_us(peers: int, in_flight: int) -> float:
    gateway = parts.gateway()
    parts.fill(gateway, 12_000)
    parts.hear(gateway, peers, in_flight)
    body = parts.heartbeat(1, in_flight) | {"id": "gateway-1"}
    calls, repeats = 100, 5
    packed = iter(
        [
            msgpack.packb(body | {"sequence": number + 10})
            for number in range(calls * repeats)
        ]
    )
    return harness.cpu_us_per_call(
        lambda: gateway.peers._received(next(packed)), calls, repeats
    )


def heartbeats() -> Iterator[harness.Result]:
    yield parts.result(
        "beat_by_peers",
        "us",
        [(peers, _beat_us(peers, 14)) for peers in parts.PEERS],
        in_flight=14,
        interval_ms=[_interval_ms(peers) for peers in parts.PEERS],
    )
    yield parts.result(
        "beat_by_in_flight",
        "us",
        [(n, _beat_us(parts.PEERS[0], n)) for n in IN_FLIGHT],
        peers=parts.PEERS[0],
    )
    yield parts.result(
        "heartbeat_heard_by_peers",
        "us",
        [(peers, _received_us(peers, 14)) for peers in parts.PEERS],
        in_flight=14,
    )
    yield parts.result(
        "heartbeat_heard_by_in_flight",
        "us",
        [(n, _received_us(parts.PEERS[0], n)) for n in IN_FLIGHT],
        peers=parts.PEERS[0],
    )


def _interval_ms(peers: int) -> int:
    gateway = parts.gateway()
    parts.hear(gateway, peers)
    return gateway.peers.interval_ms()


def counted() -> Iterator[harness.Result]:
    series = [
        (count, float(len(msgpack.packb(parts.heartbeat(1, count)))))
        for count in IN_FLIGHT
    ]
    yield parts.result("heartbeat_bytes", "B", series, deterministic=True)
    size = series[1][1]
    yield parts.result(
        "heartbeats_sent_rate",
        "count",
        [(p, 1_000 * p / _interval_ms(p)) for p in parts.PEERS],
        deterministic=True,
        bytes_per_s=[size * 1_000 * p / _interval_ms(p) for p in parts.PEERS],
        interval_ms=[_interval_ms(p) for p in parts.PEERS],
    )
