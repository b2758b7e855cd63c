"""Tests of sharing one reader of the workers topic in a zone."""

import asyncio
import contextlib
import dataclasses
import json

import msgpack
import pytest

from oleanderbay.connection import frames
from oleanderbay.gateway import shared_reads
from oleanderbay.platform import names, records
from oleanderbay.process import clock as clocks
from oleanderbay.standins import metadata_store, zone
from tests import worker_entries

# Time after which a drain must be in force (R8).
DRAIN_MS = 2_000
# Age of the reader's answer at which a gateway reads the store itself, plus the
# time that its own read may take.
FAILOVER_MS = 800 + 50
# An answer includes at least what was written this long before it, i.e. before
# the store received the call.
READ_MS = zone.LATENCY_MS
STEP_MS = 20


def without_cold_time(worker):
    """Clears the remaining cold time, which repeats may change unnoticed."""
    return worker and dataclasses.replace(worker, remaining_cold_ms=0)


class Site:
    """The gateways of one zone, and a log of the records written.

    Attributes:
        written: Time, key and worker (None if dropped) of each record.
        oldest_ms: Largest age of a gateway's data that was seen while its
            process and its connection to the store worked.
    """

    def __init__(self, count=3):
        self.clock = clocks.ManualClock()
        self.store = metadata_store.MetadataStore(clock=self.clock)
        self.network = zone.Network()
        self.written = []
        self.oldest_ms = 0
        hosts = [zone.host_of(n) for n in range(count)]
        self.configs = [
            zone.gateway_settings(n, "z1", tuple(hosts), 800)
            for n in range(count)
        ]
        self.nodes = [self.node(config) for config in self.configs]

    def node(self, config):
        return zone.Node(self.network, self.store, self.clock, config)

    async def start(self):
        await self.store.put(
            names.CONFIGURATION_TOPIC,
            names.CONFIGURATION_KEY,
            json.dumps({"version": 1, "routes": [], "services": []}).encode(),
        )
        for number in range(3):
            await self.put(f"w{number}")
        for node in self.nodes:
            node.start()
        await self.advance(3_000)

    async def put(self, key, **changes):
        """Writes a worker's record; `gone=True` drops the key."""
        gone = changes.get("gone")
        value = b"" if gone else worker_entries.encode(**changes)
        await self.store.put(names.WORKERS_TOPIC, key, value)
        worker = None if gone else records.JsonDecoder().worker(key, value)
        self.written.append((self.clock.now_ms(), key, worker))

    async def advance(self, delta_ms):
        """Advances the clock and checks all gateways after each step."""
        for _ in range(delta_ms // STEP_MS):
            await self.clock.advance(STEP_MS)
            for node in self.nodes:
                self.check(node)

    def check(self, node):
        """Checks that a gateway's workers are as recent as its feed claims."""
        workers_feed = node.gateway.feeds["workers"]
        if not node.clock.running.is_set() or workers_feed.answered_ms < 0:
            return
        if node.store.mode == "ok" and node.clock.factor == 1:
            self.oldest_ms = max(self.oldest_ms, workers_feed.age_ms())
        certain, allowed = {}, {}
        for at_ms, key, value in self.written:
            if at_ms <= workers_feed.answered_ms - READ_MS:
                certain[key], allowed[key] = value, []
            allowed.setdefault(key, []).append(value)
        for key in certain:
            held = node.gateway.gateway_state.workers.get(key)
            assert without_cold_time(held) in map(
                without_cold_time, allowed[key]
            ), (node.host, key)

    def reader_and_followers(self):
        """Returns the reader and the gateways that follow it."""
        followers = [
            n for n in self.nodes if n.gateway.shared_reads.is_following()
        ]
        (reader,) = (n for n in self.nodes if n not in followers)
        return reader, followers

    async def check_drain(self, nodes, worker="w1"):
        """Checks that a drain written now is in force in time at `nodes`."""
        await self.put(worker, state="draining")
        await self.advance(DRAIN_MS)
        for node in nodes:
            assert node.gateway.gateway_state.workers[worker].draining, (
                node.host
            )

    def close(self):
        for node in tuple(self.network.nodes.values()):
            node.kill()


@pytest.fixture
async def site():
    with contextlib.closing(Site()) as zone_site:
        await zone_site.start()
        yield zone_site


async def test_only_one_gateway_of_a_zone_reads(site):
    """Each gateway would otherwise be charged for reading the whole topic."""
    reader, followers = site.reader_and_followers()
    assert len(followers) == 2
    before = [n.store.calls["/log-read"] for n in (reader, *followers)]
    await site.advance(10_000)
    after = [n.store.calls["/log-read"] for n in (reader, *followers)]
    spent = [b - a for a, b in zip(before, after, strict=True)]
    # A read takes 4 ms; all gateways read the configuration every 2 s.
    assert spent[0] in range(23, 26) and set(spent[1:]) <= {4, 5}
    # After a start, each gateway reads the store once even if there is a
    # reader.
    assert all(n.store.calls["/log-newest"] == 3 for n in site.nodes)


async def test_repeats_are_not_forwarded_but_later_cold_ends_are(site):
    """Worker heartbeats must not be sent to each gateway of the zone."""
    reader, followers = site.reader_and_followers()
    link = (reader.host, followers[0].host)
    await site.put("w1", cold_remaining_ms=60_000)
    await site.advance(1_000)
    known = followers[0].gateway.gateway_state
    until_ms = known.cold_until_ms["w1"]
    before = site.network.sent[link]
    for _ in range(10):
        await site.put("w2")
        await site.put("w1", cold_remaining_ms=59_000)
    await site.advance(1_000)
    assert known.cold_until_ms["w1"] == until_ms
    assert site.network.sent[link] - before < 100
    assert (
        followers[0].gateway.feeds["workers"].offset
        == reader.gateway.feeds["workers"].offset
    )
    await site.put("w1", cold_remaining_ms=60_000)
    await site.advance(1_000)
    assert known.cold_until_ms["w1"] > until_ms + 1_000
    await site.put("w2", gone=True)
    await site.advance(600)
    assert (
        "w2" not in known.workers
        and followers[0].gateway.shared_reads.is_following()
    )


def pause(site, reader, others):
    reader.pause()


def slow(site, reader, others):
    reader.clock.factor = 5


def refuse(site, reader, others):
    reader.store.mode = "refuse"


def silence(site, reader, others):
    reader.store.mode = "silent"


def cut(site, reader, others):
    site.network.cuts.add(frozenset((reader.host, others[0].host)))


def kill(site, reader, others):
    site.nodes.remove(reader)
    reader.kill()


def expire(site, reader, others):
    topic = names.WORKERS_TOPIC
    site.store.first[topic] = len(site.store.topics[topic])


def restart(site, reader, others):
    """Kills the reader and immediately starts a new process in its place."""
    kill(site, reader, others)
    number = [c.entry.host for c in site.configs].index(reader.host)
    site.nodes.append(site.node(site.configs[number]))
    site.nodes[-1].start()


FAULTS = (pause, slow, refuse, silence, cut, kill, expire, restart)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("delay_ms", [-20, 20, 300, 700, 1_000])
async def test_drain_is_in_force_in_time_if_reader_fails(fault, delay_ms, site):
    """Subscribers must not wait for a reader that no longer reads.

    The fault occurs `delay_ms` before the drain is written, or after it if
    that is negative.
    """
    reader, followers = site.reader_and_followers()
    await site.advance(140)
    site.oldest_ms = 0
    if delay_ms > 0:
        fault(site, reader, followers)
        await site.advance(delay_ms)
        await site.check_drain(followers)
    else:
        await site.put("w1", state="draining")
        await site.clock.advance(-delay_ms)
        fault(site, reader, followers)
        await site.advance(DRAIN_MS + delay_ms)
        for node in followers:
            assert node.gateway.gateway_state.workers["w1"].draining
    assert site.oldest_ms <= FAILOVER_MS


@pytest.mark.parametrize("fault", FAULTS)
async def test_worker_dropped_during_a_fault_is_dropped_by_all(fault, site):
    """It must get no requests, and the gateways must share reads again."""
    reader, followers = site.reader_and_followers()
    fault(site, reader, followers)
    await site.advance(500)
    await site.put("w2", gone=True)
    await site.put("w3")
    # Neither a new process nor one that lost the history reads the record that
    # drops w2.
    expire(site, reader, followers)
    await site.advance(6_000)
    for node in site.nodes:
        # A former reader that the store refuses follows another gateway.
        if node.clock.running.is_set():
            assert set(node.gateway.gateway_state.workers) == {"w0", "w1", "w3"}
    reader.resume()
    reader.clock.factor = 1
    reader.store.mode = "ok"
    site.network.cuts.clear()
    site.network.release()
    await site.advance(6_000)
    for node in site.nodes:
        assert set(node.gateway.gateway_state.workers) == {"w0", "w1", "w3"}
    site.reader_and_followers()


async def test_restarted_reader_drops_key_that_only_a_subscriber_holds(site):
    """The restarted reader has never seen the key, so it can't forward a drop.

    The subscriber must get the whole topic instead, or it would keep the
    dropped worker.
    """
    reader, (one, other) = site.reader_and_followers()
    for node in (reader, other):
        site.network.cuts.add(frozenset((node.host, one.host)))
    one.store.mode = "silent"
    await site.advance(1_000)
    await site.put("w2", gone=True)
    restart(site, reader, (one, other))
    await site.advance(1_000)
    assert "w2" in one.gateway.gateway_state.workers
    site.network.cuts.clear()
    await site.advance(2_500)
    assert "w2" not in one.gateway.gateway_state.workers


async def test_delayed_batch_is_not_taken_for_a_fresh_one(site):
    """After a pause, a process receives batches that were sent long before."""
    _, (one, _) = site.reader_and_followers()
    one.pause()
    await site.advance(500)
    await site.put("w1", state="draining")
    await site.advance(4_500)
    calls = one.store.calls["/log-read"]
    one.resume()
    await site.advance(40)
    assert not one.gateway.shared_reads.is_following() or (
        one.gateway.feeds["workers"].age_ms() < 100
    )
    assert one.store.calls["/log-read"] > calls
    assert one.gateway.gateway_state.workers["w1"].draining


async def test_gateway_that_the_store_refuses_is_not_elected(site):
    """Batches from the reader do not show that its own reads would succeed."""
    reader, followers = site.reader_and_followers()
    for node in followers:
        node.store.mode = "refuse"
    await site.advance(3_500)
    assert site.reader_and_followers()[0] is reader
    assert not any(
        n.gateway.shared_reads.election.is_eligible() for n in followers
    )
    assert all(n.gateway.feeds["workers"].age_ms() < 600 for n in followers)
    reader.gateway.leaving = True
    await site.advance(1_000)
    assert reader.gateway.shared_reads.election.elected_reader() is None
    followers[0].store.mode = "ok"
    await site.advance(3_000)
    assert site.reader_and_followers()[0] is followers[0]


async def test_two_gateways_that_elect_each_other_both_read(site):
    """If they read from each other, neither would read the store."""
    one, two, _ = site.nodes
    for node, other in ((one, two), (two, one)):
        peer = node.gateway.peers.live[other.gateway.config.entry.id]
        node.gateway.shared_reads.election.elected_reader = lambda peer=peer: (
            peer
        )
    await site.advance(1_500)
    for node in (one, two):
        assert node.gateway.shared_reads.publisher.has_subscribers
        assert not node.gateway.shared_reads.is_following()
    await site.check_drain(site.nodes)
    del one.gateway.shared_reads.election.elected_reader
    del two.gateway.shared_reads.election.elected_reader
    await site.advance(1_500)
    site.reader_and_followers()


async def test_two_readers_serve_their_own_subscribers(site):
    """A reader that is second in rank must also accept subscribers."""
    first, (second, third) = site.reader_and_followers()
    peers = third.gateway.peers.live
    third.gateway.shared_reads.election.elected_reader = lambda: peers[
        second.gateway.config.entry.id
    ]
    second.gateway.shared_reads.election.elected_reader = lambda: None
    await site.advance(1_500)
    assert third.gateway.shared_reads.is_following()
    assert not first.gateway.shared_reads.is_following()
    assert not second.gateway.shared_reads.is_following()
    await site.check_drain(site.nodes)


async def test_disconnected_subscriber_is_dropped(site):
    """A stale subscription must not make a gateway read the store forever."""
    reader, (one, two) = site.reader_and_followers()
    site.network.cuts.add(frozenset((reader.host, one.host)))
    site.network.cuts.add(frozenset((reader.host, two.host)))
    assert reader.gateway.shared_reads.publisher.has_subscribers
    await site.advance(3_000)
    assert not reader.gateway.shared_reads.publisher.has_subscribers


@pytest.mark.parametrize(
    "body",
    [
        7,
        [1, 0],
        [1, 0, b""],
        [1, 0, msgpack.packb((True, 1, [(1,)]))],
        [1, float("inf"), msgpack.packb((True, 1, []))],
        [1, 0, msgpack.packb((True, float("inf"), []))],
        [1, 0, msgpack.packb((1, 1 << 39, []))],
        [1, 0, msgpack.packb((True, 1 << 39, [(1, 7, b"")]))],
        [1, 0, msgpack.packb((True, 1 << 39, [(1, "w0", "{}")]))],
        [1, 0, msgpack.packb((True, 1 << 39, [(1, "w0", b"{}"), (0,)]))],
    ],
)
async def test_malformed_batch_ends_the_subscription(body, site, monkeypatch):
    """A reader of another version must not stop a subscriber permanently."""
    reader, followers = site.reader_and_followers()

    async def serve(request, stream, writer):
        writer.write(frames.encode(shared_reads.SUBSCRIBE, 1, body))

    reader.gateway.shared_reads.publisher.close()
    reader.gateway.peers.handlers[shared_reads.SUBSCRIBE] = serve
    await site.check_drain(followers)
    assert not any(n.gateway.shared_reads.is_following() for n in followers)


async def test_batch_that_exceeds_a_frame_is_read_from_the_store(
    site, monkeypatch
):
    """After lost history, a large fleet's topic may not fit into a frame.

    The gateways must nevertheless share reads again afterwards.
    """
    reader, followers = site.reader_and_followers()
    encode, refused = frames.encode, []

    def limited(*given):
        try:
            return encode(*given, max_bytes=150)
        except frames.FrameTooLargeError:
            refused.append(given)
            raise

    monkeypatch.setattr(frames, "encode", limited)
    await site.put("w2", gone=True)
    expire(site, reader, followers)
    await site.advance(4_000)
    assert refused and len(site.reader_and_followers()[1]) == 2
    for node in site.nodes:
        assert set(node.gateway.gateway_state.workers) == {"w0", "w1"}


async def test_connection_without_batches_is_reopened(site):
    """After a lost connection, a gateway must not read by itself forever."""
    reader, _ = site.reader_and_followers()
    reader.gateway.shared_reads.publisher.close()
    await site.advance(800)
    assert site.reader_and_followers()[0] is reader
    handlers = reader.gateway.peers.handlers
    serve = handlers[shared_reads.SUBSCRIBE]

    async def hang(request, stream, writer):
        await asyncio.Event().wait()

    handlers[shared_reads.SUBSCRIBE] = hang
    reader.gateway.shared_reads.publisher.close()
    await site.advance(1_000)
    handlers[shared_reads.SUBSCRIBE] = serve
    await site.advance(2_500)
    assert site.reader_and_followers()[0] is reader


async def test_gateway_that_has_never_read_does_not_follow(site):
    """Its first records must come from the store itself (R16)."""
    number = len(site.nodes)
    hosts = tuple(node.host for node in site.nodes)
    config = zone.gateway_settings(number, "z1", hosts, 800)
    site.nodes.append(site.node(config))
    site.nodes[-1].store.mode = "refuse"
    site.nodes[-1].start()
    await site.advance(3_000)
    gateway = site.nodes[-1].gateway
    assert (
        len(gateway.peers.live) == number
        and gateway.shared_reads.subscription is None
    )
    site.nodes[-1].store.mode = "ok"
    await site.advance(3_000)
    site.reader_and_followers()


async def test_gateway_of_another_zone_is_not_followed(site):
    """Its records would cause traffic between zones."""
    for node in site.nodes:
        live = node.gateway.peers.live
        for peer in live.values():
            peer.zone = "z2"
        assert node.gateway.shared_reads.election.elected_reader() is None


async def test_single_gateway_reads_the_store_itself():
    """There is no other gateway to follow."""
    with contextlib.closing(Site(count=1)) as single:
        await single.start()
        assert not single.nodes[0].gateway.shared_reads.is_following()
        await single.check_drain(single.nodes)


async def test_gateway_of_earlier_version_is_not_followed(site):
    """It would close the connection of a subscriber."""
    reader, (one, two) = site.reader_and_followers()
    for node in (one, two):
        node.gateway.shared_reads.election.update_peer(
            reader.gateway.config.entry.id, {}
        )
        chosen = node.gateway.shared_reads.election.elected_reader()
        assert chosen is None or chosen.host != reader.host


async def test_a_zone_keeps_what_it_knew_until_a_restored_store_catches_up(
    site,
):
    """The copy may show drained and dropped workers as they were before.

    Each step checks that no gateway goes back to an older record.
    """
    copied = len(site.store.topics[names.WORKERS_TOPIC])
    await site.check_drain(site.nodes, "w1")
    await site.put("w2", gone=True)
    await site.put("w3")
    await site.advance(1_000)
    configuration = len(site.store.topics[names.CONFIGURATION_TOPIC])
    await site.store.restore(
        {names.WORKERS_TOPIC: copied, names.CONFIGURATION_TOPIC: configuration},
        1,
    )
    await site.advance(1_000)
    for key, changes in (("w0", {}), ("w1", {"state": "draining"}), ("w3", {})):
        await site.put(key, **changes)
    await site.advance(5_000)
    reader, followers = site.reader_and_followers()
    assert len(followers) == 2
    for node in site.nodes:
        assert sorted(node.gateway.gateway_state.workers) == ["w0", "w1", "w3"]
    await site.check_drain(site.nodes, "w0")
    reader.kill()
    site.nodes.remove(reader)
    await site.advance(5_000)
    await site.check_drain(site.nodes, "w3")


async def test_a_worker_that_a_restored_store_lacks_is_gone_in_the_zone(site):
    """It may have left while the store was away, and would never be dropped."""
    await site.put("w3")
    await site.advance(1_000)
    kept = {
        topic: len(contents) for topic, contents in site.store.topics.items()
    }
    kept[names.WORKERS_TOPIC] -= 1
    await site.store.restore(kept, 1)
    # The store has nothing to tell of it, so the gateways decide.
    del site.written[-1]
    site.check = lambda node: None
    await site.advance(1_000)
    for number in range(3):
        await site.put(f"w{number}")
    await site.advance(4_000)
    for node in site.nodes:
        assert sorted(node.gateway.gateway_state.workers) == ["w0", "w1", "w2"]
