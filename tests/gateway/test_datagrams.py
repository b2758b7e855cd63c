"""Tests that malformed datagrams are refused as a whole."""

import copy
import dataclasses
import json

import hypothesis
import msgpack
import pytest
import structlog.testing
from hypothesis import strategies

from oleanderbay.gateway import (
    datagrams,
    entry,
    membership,
    positions,
    summaries,
)
from oleanderbay.platform import http_headers, orders, records
from oleanderbay.process import clock as clocks
from tests.gateway import parts

CONTENTS = {
    "ready": True,
    "leaving": False,
    "store_answers": True,
    "in_flight": {"w0": 3},
    "demand": {"small": 2.5},
    "suspects": ["w1"],
    "sound": ["w2"],
    "lost": {"w3": 7},
    "loads_begun": 4,
    "planned": {"small": 1},
    "serving": True,
    "crashes": {"p": ["w4/1"]},
    "survived": {"q": 70},
    "request_crashes": {"r": ["w4/1"]},
    "request_survived": {"s": 70},
    "limits": {"w5": [2.5, 70], "w6": [None, 9]},
}
HEARTBEAT = {
    "protocol": 1,
    "id": "p1",
    "start_id": "s1",
    "host": "127.0.0.2",
    "zone": "z1",
    "callers": "127.0.0.2:80",
    "sequence": 5,
    "offsets": {"workers": 7, "configuration": -1},
    "eras": {"workers": 1, "configuration": 0},
    "store_age_ms": 40,
    "interval_ms": 200,
    "summarized": True,
    **CONTENTS,
}
SUMS = {
    **{k: v for k, v in CONTENTS.items() if k in summaries.EMPTY_CONTENTS},
    "busy": 2,
}
SUMMARY = {
    "zone": "z2",
    "id": "p2",
    "start_id": "s2",
    "host": "127.0.0.3",
    "sequence": 5,
    "interval_ms": 200,
    "store_age_ms": 40,
    "offsets": {"workers": 7},
    "eras": {"workers": 1},
    "digest": 2**63 + 1,
    "sums": SUMS,
    "gateways": [
        ["p2", "s2", "127.0.0.3", "127.0.0.3:80", True, False, True],
        ["p3", "s3", "127.0.0.4", "127.0.0.4:80", False, True, False],
    ],
}
BATCH = {
    "protocol": 1,
    "id": "p2",
    "interval_ms": 200,
    "forwarded": False,
    "summaries": [SUMMARY, {**SUMMARY, "zone": "z3", "id": "p4"}],
}
LIST_REQUEST = {
    "protocol": 1,
    "id": "p1",
    "host": "127.0.0.2",
    "lists": ["z1", "z2"],
}
MESSAGES = {
    "heartbeat": HEARTBEAT,
    "heartbeat of another zone": {**HEARTBEAT, "id": "p9", "zone": "z2"},
    "summaries": BATCH,
    "forwarded summaries": {**BATCH, "forwarded": True},
    "request for lists": LIST_REQUEST,
}
NESTED = json.loads("[" * 200 + "]" * 200)
ODD_VALUES = (
    None,
    True,
    "",
    "x",
    "x" * 5_000,
    "a\0b",
    "a..b",
    "\u00e4" * 80,
    b"\xff",
    0,
    -1,
    -(2**63),
    2**53 + 1,
    2**64 - 1,
    0.5,
    -0.5,
    1e300,
    float("inf"),
    float("-inf"),
    float("nan"),
    [],
    {},
    {"x": 1},
    {"x": float("inf")},
    {"x": [float("nan"), 2**63]},
    ["x", 1],
    [["x"]],
    NESTED,
    msgpack.Timestamp(1),
    msgpack.ExtType(5, b"x"),
)
# Fields without which builds that run beside this one send their messages; see
# docs/design.md.
OPTIONAL_IN_HEARTBEATS = (
    "store_answers",
    "crashes",
    "survived",
    "request_crashes",
    "request_survived",
    "limits",
    "eras",
    "interval_ms",
    "summarized",
)
OPTIONAL_IN_SUMS = (
    "crashes",
    "survived",
    "request_crashes",
    "request_survived",
    "limits",
)


class CheckingTransport:
    """Fails on hosts for which asyncio would close the socket."""

    def __init__(self):
        self.sent = []

    def sendto(self, packed, address):
        assert "\0" not in address[0]
        address[0].encode("idna")
        self.sent.append((packed, address[0]))


def make_gateway():
    """Makes a gateway that knows a peer and uses summaries."""
    config = dataclasses.replace(
        parts.SETTINGS,
        peers=dataclasses.replace(parts.SETTINGS.peers, full_mesh_gateways=1),
    )
    gateway = entry.Gateway(
        config,
        parts.Store(),
        orders.HttpOrders(1_000, 1_000),
        records.JsonDecoder(),
        http_headers.HeaderTranslator(),
        clocks.ManualClock(1_000_000),
    )
    gateway.peers._transport = CheckingTransport()
    known = {**HEARTBEAT, "sequence": 1, "offsets": {}, "eras": {}}
    for added_later in OPTIONAL_IN_HEARTBEATS[:-1]:
        known.pop(added_later, None)
    gateway.peers._received(msgpack.packb(known))
    assert "p1" in gateway.peers.live
    return gateway


def snapshot(gateway):
    """Returns all state that datagrams change."""
    members = gateway.peers.members
    health = gateway.worker_health
    capacity = gateway.group_controller.capacity
    return copy.deepcopy(
        (
            members.live,
            members.heard_peers,
            members.addresses,
            members.zones.views,
            gateway.peers.summary_builder.pending_zones,
            gateway.peers.comparison._missing,
            gateway.shared_reads.election._eligible_peers,
            gateway.loads.peer_counts,
            gateway.demand._by_peer,
            gateway.demand.has_traffic,
            health._peer_suspects,
            health._peer_healthy,
            health._peer_lost,
            capacity.peer_loads,
            capacity.peer_planned,
            gateway.quarantine._crashes,
            gateway.quarantine._survived,
            gateway.request_quarantine._crashes,
            gateway.request_quarantine._survived,
            gateway.worker_limits._newest,
            len(gateway.peers._transport.sent),
        )
    )


def deliver(gateway, data):
    """Delivers a datagram, and uses the state that is there afterwards."""
    before = snapshot(gateway)
    count = gateway.peers.malformed.count
    gateway.peers._received(data)
    if gateway.peers.malformed.count > count:
        assert snapshot(gateway) == before
    use(gateway)
    return gateway.peers.malformed.count > count


def use(gateway):
    """Goes through what reads the state in which datagrams end up."""
    for _ in range(2):
        gateway.peers.send_heartbeats()
    for packed, _ in gateway.peers._transport.sent:
        datagrams.parse(packed, "another", 0, 200)
    json.dumps(gateway.status(), allow_nan=False)
    gateway.addresses()
    assert 0 <= gateway.demand.mean("small") < float("inf")
    assert gateway.loads.in_flight("w0") >= 0
    gateway.worker_limits.available("w5")
    gateway.worker_limits.record_request("w5")
    assert gateway.peers.interval_ms() <= membership.MAX_INTERVAL_MS
    members = gateway.peers.members
    assert len(members.heard_peers) <= membership.MAX_PEERS
    assert len(members.addresses) <= membership.MAX_ADDRESSES
    assert len(members.zones.views) <= summaries.MAX_ZONES


def paths(value, path=()):
    """Yields the path to each part of a message."""
    if isinstance(value, dict):
        for key in value:
            yield (*path, key)
            yield from paths(value[key], (*path, key))
    elif isinstance(value, list):
        for index in range(len(value)):
            yield (*path, index)
            yield from paths(value[index], (*path, index))


def replace(message, path, change):
    """Returns a message in which the part at a path is changed."""
    changed = copy.deepcopy(message)
    container = changed
    for key in path[:-1]:
        container = container[key]
    change(container, path[-1])
    return changed


def remove(container, key):
    del container[key]


@pytest.mark.parametrize("kind", MESSAGES)
def test_complete_messages_are_accepted(kind):
    """Otherwise the tests below would change messages that are refused."""
    gateway = make_gateway()
    before = snapshot(gateway)
    assert not deliver(gateway, msgpack.packb(MESSAGES[kind]))
    assert snapshot(gateway) != before


@pytest.mark.parametrize("field", [*CONTENTS, *HEARTBEAT])
def test_a_heartbeat_without_a_field_is_used_as_a_whole_or_not_at_all(field):
    """A peer was live, and its loads were partly those of a former message."""
    gateway = make_gateway()
    gateway.peers._received(msgpack.packb(HEARTBEAT))
    before = snapshot(gateway)
    changed = {**HEARTBEAT, "sequence": 6, "in_flight": {"w0": 9}}
    del changed[field]
    malformed = deliver(gateway, msgpack.packb(changed))
    assert malformed == (field not in OPTIONAL_IN_HEARTBEATS)
    assert malformed == (snapshot(gateway)[1] == before[1])


@pytest.mark.parametrize("field", SUMS)
def test_a_summary_without_a_field_is_used_as_a_whole_or_not_at_all(field):
    """Absent loads of a zone counted as none."""
    gateway = make_gateway()
    sums = {k: v for k, v in SUMS.items() if k != field}
    body = {**BATCH, "summaries": [{**SUMMARY, "sums": sums}]}
    malformed = deliver(gateway, msgpack.packb(body))
    assert malformed == (field not in OPTIONAL_IN_SUMS)


def test_one_malformed_summary_leaves_the_others_of_its_datagram_unused():
    """A state between two datagrams would depend on their order in one."""
    gateway = make_gateway()
    body = copy.deepcopy(BATCH)
    body["summaries"][1]["sums"]["loads_begun"] = float("inf")
    assert deliver(gateway, msgpack.packb(body))
    assert not gateway.peers.members.zones.views


@pytest.mark.parametrize("host", ["a..b", "a\0b", "\u00e4" * 80, "", "[::1"])
def test_a_host_that_no_socket_accepts_is_refused(host):
    """Sending to such a host closes the datagram socket for good."""
    gateway = make_gateway()
    listed = [["p3", "s3", host, "127.0.0.4:80", True, False, True]]
    for body in (
        {**HEARTBEAT, "id": "p7", "host": host},
        {**BATCH, "summaries": [{**SUMMARY, "gateways": listed}]},
        {**BATCH, "summaries": [{**SUMMARY, "host": host}]},
    ):
        assert deliver(gateway, msgpack.packb(body))


def test_a_gateway_without_an_address_for_callers_is_not_listed():
    """Callers would get an address to which they can't connect."""
    gateway = make_gateway()
    gateway.peers._received(
        msgpack.packb({**HEARTBEAT, "sequence": 6, "callers": ""})
    )
    assert "p1" in gateway.peers.live and not gateway.addresses()


def test_malformed_datagrams_are_counted_and_seldom_logged():
    """A log line for each would fill the disk of all gateways."""
    gateway = make_gateway()
    with structlog.testing.capture_logs() as logged:
        for _ in range(1_000):
            gateway.peers._received(b"\xc1")
        gateway.clock.set_ms(gateway.clock.now_ms() + datagrams.LOG_INTERVAL_MS)
        gateway.peers._received(b"\xc1")
    assert [
        line["count"]
        for line in logged
        if line["event"] == "malformed datagram"
    ] == [1, 1_001]
    assert gateway.status()["malformed_datagrams"] == 1_001


def test_a_list_is_sent_once_for_a_datagram_that_requests_it_often():
    """One datagram of 64 KB was answered with 20,000 summaries."""
    gateway = make_gateway()
    for zones in (["z1"] * 20_000, [f"z{n}" for n in range(5_000)]):
        gateway.peers._transport.sent.clear()
        gateway.peers._received(msgpack.packb({**LIST_REQUEST, "lists": zones}))
        for packed, _ in gateway.peers._transport.sent:
            assert len(msgpack.unpackb(packed)["summaries"]) <= 1


def test_tables_stay_within_their_bounds():
    """Damaged messages that name ever new gateways would fill the memory."""
    gateway = make_gateway()
    for number in range(membership.MAX_PEERS + 10):
        host = f"127.1.{number // 250}.{number % 250}"
        gateway.peers._received(
            msgpack.packb(
                {**HEARTBEAT, "id": f"a{number}", "zone": "z9", "host": host}
            )
        )
    for number in range(summaries.MAX_ZONES + 10):
        body = {**SUMMARY, "zone": f"a{number}"}
        gateway.peers._received(msgpack.packb({**BATCH, "summaries": [body]}))
    members = gateway.peers.members
    assert len(members.heard_peers) == membership.MAX_PEERS
    assert len(members.zones.views) == summaries.MAX_ZONES


@hypothesis.settings(max_examples=500, deadline=None)
@hypothesis.given(data=strategies.data())
def test_any_change_of_a_message_is_refused_as_a_whole_or_harmless(data):
    """Errors left the handler of datagrams, with the message half applied."""
    gateway = make_gateway()
    message = MESSAGES[data.draw(strategies.sampled_from(sorted(MESSAGES)))]
    path = data.draw(strategies.sampled_from(list(paths(message))))
    odd = data.draw(strategies.sampled_from((remove, *ODD_VALUES)))

    def change(container, key):
        if odd is remove:
            del container[key]
        else:
            container[key] = odd

    deliver(gateway, msgpack.packb(replace(message, path, change)))
    # A former state is there when the next message arrives.
    deliver(gateway, msgpack.packb({**HEARTBEAT, "sequence": 9}))


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    start=strategies.integers(0, 400),
    noise=strategies.binary(max_size=60),
    kind=strategies.sampled_from(sorted(MESSAGES)),
)
def test_any_bytes_are_refused_as_a_whole_or_harmless(start, noise, kind):
    """A damaged datagram ended the handler with an error."""
    packed = msgpack.packb(MESSAGES[kind])
    for data in (noise, packed[:start] + noise + packed[start + len(noise) :]):
        deliver(make_gateway(), data)


def test_each_gateway_has_an_era_for_all_its_offsets_or_none():
    """An offset without an era counted as one of the first era."""
    body = {"offsets": {"workers": 7, "configuration": 3}}
    assert positions.parse_offsets(body) == body["offsets"]
    with pytest.raises(KeyError):
        positions.parse_offsets({**body, "eras": {"workers": 1}})
