"""Tests of the heartbeat rate and of which peers count as live."""

import asyncio
import dataclasses

import msgpack
import pytest

from oleanderbay.connection import frames
from oleanderbay.gateway import feed, interfaces, peers, relays, summaries
from oleanderbay.process import clock as clocks
from oleanderbay.standins import ports
from tests.gateway import parts


class RecordingTransport:
    """Records the datagrams that a gateway sends."""

    def __init__(self):
        self.sent = []

    def sendto(self, packed, address):
        self.sent.append((packed, address[0]))


def make_gateway(name="g0", host="127.0.0.1", **changes):
    clock = clocks.ManualClock()
    settings = dataclasses.replace(
        parts.SETTINGS,
        entry=dataclasses.replace(parts.SETTINGS.entry, id=name, host=host),
        peers=dataclasses.replace(parts.SETTINGS.peers, **changes),
    )
    workers_feed = feed.Feed(
        parts.Store(), interfaces.Topic.WORKERS, clock, lambda _: None, 0, 500
    )
    created = peers.Peers(
        settings,
        "s",
        clock,
        {"workers": workers_feed},
        lambda: {**summaries.EMPTY_CONTENTS, "ready": True, "leaving": False},
        lambda peer, body: None,
    )
    created._transport = RecordingTransport()
    return created


def deliver_heartbeat(receiver, number, sequence=1, **changes):
    """Delivers a heartbeat of the peer with the given number to a gateway."""
    sender = make_gateway(f"p{number}", f"127.1.{number // 250}.{number % 250}")
    sender.addresses["127.0.0.1"] = "g0"
    sender._sequence = sequence * relays.SILENT_PROBE_HEARTBEATS
    sender.send_heartbeats()
    body = {**msgpack.unpackb(sender._transport.sent[0][0]), **changes}
    receiver._received(msgpack.packb(body))


@pytest.mark.parametrize(
    ("size", "interval_ms"),
    [(1, 200), (7, 200), (41, 200), (101, 500), (201, 1_000), (1_100, 1_000)],
)
def test_heartbeat_interval_grows_with_live_gateways(size, interval_ms):
    """Heartbeats to all peers every 200 ms would use a whole CPU core."""
    receiver = make_gateway()
    for number in range(size - 1):
        deliver_heartbeat(receiver, number)
    assert receiver.interval_ms() == interval_ms
    receiver._transport.sent.clear()
    receiver.send_heartbeats()
    assert len(receiver._transport.sent) == size - 1


def test_probes_of_silent_addresses_respect_the_rate_limit():
    """A start or a network partition must not cause a flood of heartbeats."""
    receiver = make_gateway()
    for number in range(1_099):
        receiver.add_address(
            f"127.1.{number // 250}.{number % 250}", f"p{number}"
        )
    receiver.send_heartbeats()
    receiver._transport.sent.clear()
    for _ in range(10 * relays.SILENT_PROBE_HEARTBEATS):
        receiver.clock.set_ms(receiver.clock.now_ms() + receiver.interval_ms())
        receiver.send_heartbeats()
    per_s = 1_000 * len(receiver._transport.sent) / receiver.clock.now_ms()
    assert 150 < per_s <= 200


@pytest.mark.parametrize(
    ("announced", "live_ms"),
    [
        ({"interval_ms": 200}, 1_500),
        ({"interval_ms": 375}, 1_500),
        ({"interval_ms": 1_000}, 4_000),
        ({"interval_ms": 10**9}, 4_000),
        ({"interval_ms": -1}, 1_500),
    ],
)
def test_live_time_follows_the_announced_interval(announced, live_ms):
    """Peers with long intervals must not flap, nor stay live forever."""
    receiver = make_gateway()
    deliver_heartbeat(receiver, 1, **announced)
    receiver.clock.set_ms(live_ms)
    receiver.send_heartbeats()
    assert list(receiver.live) == ["p1"]
    receiver.clock.set_ms(live_ms + 1)
    receiver.send_heartbeats()
    assert not receiver.live


def test_heartbeat_of_earlier_version_is_accepted():
    """Gateways of both versions run side by side during an upgrade."""
    receiver = make_gateway()
    sender = make_gateway("p2", "127.1.0.2")
    sender.addresses["127.0.0.1"] = "g0"
    sender.send_heartbeats()
    body = msgpack.unpackb(sender._transport.sent[0][0])
    del body["interval_ms"]
    receiver._received(msgpack.packb(body))
    assert receiver.live["p2"].interval_ms == 200


def test_live_peer_counts_towards_global_limits():
    """Otherwise the shares of all gateways would add up to over the limit."""
    receiver = make_gateway(forget_ms=2_000)
    deliver_heartbeat(receiver, 1, interval_ms=1_000)
    receiver.clock.set_ms(3_000)
    receiver.send_heartbeats()
    assert list(receiver.live) == ["p1"] and receiver.gateway_count() == 2
    receiver.clock.set_ms(4_001)
    receiver.send_heartbeats()
    assert receiver.gateway_count() == 1


# A stop left connections of peers open until the process ended, when some
# versions of asyncio logged an error for each.
async def test_a_stop_ends_connections_of_peers_without_an_error():
    gateway = make_gateway(port=ports.free_port("127.0.0.1"))
    serving = asyncio.Event()

    async def serve(request, reader, writer):
        serving.set()
        await reader.read()

    gateway.handlers["kept open"] = serve
    errors = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: errors.append(context["message"])
    )
    await gateway.start()
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", gateway.config.peers.port
    )
    writer.write(frames.encode("kept open", 1, None))
    await serving.wait()
    await gateway.close()
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    writer.close()
    assert not errors
