"""Tests of the heartbeats' rate and of who counts as live."""

import dataclasses

import msgpack
import pytest

from oleanderbay.gateway import feed, interfaces, peers, relays, summaries
from oleanderbay.process import clock as clocks
from tests.gateway import parts


class Wire:
    """Keeps the datagrams that a gateway sends."""

    def __init__(self):
        self.sent = []

    def sendto(self, packed, place):
        self.sent.append((packed, place[0]))


def gateway(name="g0", host="127.0.0.1", **changes):
    clock = clocks.ManualClock()
    settings = dataclasses.replace(
        parts.SETTINGS,
        entry=dataclasses.replace(parts.SETTINGS.entry, id=name, host=host),
        peers=dataclasses.replace(parts.SETTINGS.peers, **changes),
    )
    followed = feed.Feed(
        parts.Store(), interfaces.Topic.WORKERS, clock, lambda _: None, 0, 500
    )
    made = peers.Peers(
        settings,
        "s",
        clock,
        {"workers": followed},
        lambda: {**summaries.EMPTY_CONTENTS, "ready": True, "leaving": False},
        lambda peer, body: None,
    )
    made._transport = Wire()
    return made


def tell(one, number, sequence=1, **changes):
    """Lets a gateway hear a heartbeat of a peer with a number."""
    sender = gateway(f"p{number}", f"127.1.{number // 250}.{number % 250}")
    sender.addresses["127.0.0.1"] = "g0"
    sender._sequence = sequence * relays.SILENT_PROBE_HEARTBEATS
    sender.send_heartbeats()
    body = {**msgpack.unpackb(sender._transport.sent[0][0]), **changes}
    one._received(msgpack.packb(body))


@pytest.mark.parametrize(
    ("size", "interval_ms"),
    [(1, 200), (7, 200), (41, 200), (101, 500), (201, 1_000), (1_100, 1_000)],
)
def test_the_interval_grows_with_the_live_gateways(size, interval_ms):
    """Heartbeats to all peers every 200 ms would take a core by themselves."""
    one = gateway()
    for number in range(size - 1):
        tell(one, number)
    assert one.interval_ms() == interval_ms
    one._transport.sent.clear()
    one.send_heartbeats()
    assert len(one._transport.sent) == size - 1


def test_silent_addresses_keep_the_rate():
    """A start or a cut would flood the network with heartbeats."""
    one = gateway()
    for number in range(1_099):
        one.add_address(f"127.1.{number // 250}.{number % 250}", f"p{number}")
    one.send_heartbeats()
    one._transport.sent.clear()
    for _ in range(10 * relays.SILENT_PROBE_HEARTBEATS):
        one.clock.set_ms(one.clock.now_ms() + one.interval_ms())
        one.send_heartbeats()
    per_s = 1_000 * len(one._transport.sent) / one.clock.now_ms()
    assert 150 < per_s <= 200


@pytest.mark.parametrize(
    ("told", "live_ms"),
    [
        ({"interval_ms": 200}, 1_500),
        ({"interval_ms": 375}, 1_500),
        ({"interval_ms": 1_000}, 4_000),
        ({"interval_ms": 10**9}, 4_000),
        ({"interval_ms": -1}, 1_500),
    ],
)
def test_a_peer_is_live_for_some_of_its_intervals(told, live_ms):
    """Peers with long intervals would flap, or stay for ever."""
    one = gateway()
    tell(one, 1, **told)
    one.clock.set_ms(live_ms)
    one.send_heartbeats()
    assert list(one.live) == ["p1"]
    one.clock.set_ms(live_ms + 1)
    one.send_heartbeats()
    assert not one.live


def test_a_heartbeat_of_an_earlier_version_is_understood():
    """During an upgrade gateways of both versions serve."""
    one = gateway()
    sender = gateway("p2", "127.1.0.2")
    sender.addresses["127.0.0.1"] = "g0"
    sender.send_heartbeats()
    body = msgpack.unpackb(sender._transport.sent[0][0])
    del body["interval_ms"]
    one._received(msgpack.packb(body))
    assert one.live["p2"].interval_ms == 200


def test_a_live_peer_counts_towards_global_limits():
    """The shares of all gateways would sum up to more than the limit."""
    one = gateway(forget_ms=2_000)
    tell(one, 1, interval_ms=1_000)
    one.clock.set_ms(3_000)
    one.send_heartbeats()
    assert list(one.live) == ["p1"] and one.gateway_count() == 2
    one.clock.set_ms(4_001)
    one.send_heartbeats()
    assert one.gateway_count() == 1
