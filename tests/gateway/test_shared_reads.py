"""Tests of sharing one reader of the workers' topic in a zone."""

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

# Age of a record at which a drain has to be in force (R8).
DRAIN_MS = 2_000
# Age of a reader's answer at which a gateway reads for itself, and the time
# that its own read may take then.
FAILOVER_MS = 800 + 50
# A read shows what was written before the store received it.
READ_MS = zone.LATENCY_MS
STEP_MS = 20


def warm(worker):
    """Leaves out the remaining cold time, which a repetition may change."""
    return worker and dataclasses.replace(worker, remaining_cold_ms=0)


class Site:
    """Gateways of one zone, and what was written when."""

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
        """Writes a worker's record; `gone` drops it."""
        body = {
            "service": "plain",
            "address": "127.0.0.1:9",
            "zone": "z1",
            "state": "ready",
            **changes,
        }
        gone = changes.get("gone")
        value = b"" if gone else json.dumps(body).encode()
        await self.store.put(names.WORKERS_TOPIC, key, value)
        worker = None if gone else records.JsonDecoder().worker(key, value)
        self.written.append((self.clock.now_ms(), key, worker))

    async def advance(self, delta_ms):
        """Moves the clock; no gateway may claim an answer it did not have."""
        for _ in range(delta_ms // STEP_MS):
            await self.clock.advance(STEP_MS)
            for node in self.nodes:
                self.check(node)

    def check(self, node):
        """What a feed says that it knows, it must know."""
        followed = node.gateway.feeds["workers"]
        if not node.clock.running.is_set() or followed.answered_ms < 0:
            return
        if node.store.mode == "ok" and node.clock.factor == 1:
            self.oldest_ms = max(self.oldest_ms, followed.age_ms())
        sure, allowed = {}, {}
        for at_ms, key, value in self.written:
            if at_ms <= followed.answered_ms - READ_MS:
                sure[key], allowed[key] = value, []
            allowed.setdefault(key, []).append(value)
        for key in sure:
            held = node.gateway.gateway_state.workers.get(key)
            assert warm(held) in map(warm, allowed[key]), (node.host, key)

    def split(self):
        """Returns the reader and the gateways that follow it."""
        following = [
            n for n in self.nodes if n.gateway.shared_reads.is_following()
        ]
        (reader,) = (n for n in self.nodes if n not in following)
        return reader, following

    async def drained(self, nodes, worker="w1"):
        """A drain written now is in force at these gateways in time."""
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
    with contextlib.closing(Site()) as made:
        await made.start()
        yield made


async def test_one_gateway_of_a_zone_reads(site):
    """Each gateway would read and pay for the whole topic."""
    reader, following = site.split()
    assert len(following) == 2
    before = [n.store.calls["/log-read"] for n in (reader, *following)]
    await site.advance(10_000)
    after = [n.store.calls["/log-read"] for n in (reader, *following)]
    spent = [b - a for a, b in zip(before, after, strict=True)]
    # A read takes 4 ms; the configuration is read each 2 s by all.
    assert spent[0] in range(23, 26) and set(spent[1:]) <= {4, 5}
    # The first read of a start is an own one, also beside a reader.
    assert all(n.store.calls["/log-newest"] == 3 for n in site.nodes)


async def test_a_repetition_is_not_forwarded_but_a_later_cold_end_is(site):
    """Heartbeats of workers would cross the zone once for each gateway."""
    reader, following = site.split()
    link = (reader.host, following[0].host)
    await site.put("w1", cold_remaining_ms=60_000)
    await site.advance(1_000)
    known = following[0].gateway.gateway_state
    until_ms = known.cold_until_ms["w1"]
    before = site.network.sent[link]
    for _ in range(10):
        await site.put("w2")
        await site.put("w1", cold_remaining_ms=59_000)
    await site.advance(1_000)
    assert known.cold_until_ms["w1"] == until_ms
    assert site.network.sent[link] - before < 100
    assert (
        following[0].gateway.feeds["workers"].offset
        == reader.gateway.feeds["workers"].offset
    )
    await site.put("w1", cold_remaining_ms=60_000)
    await site.advance(1_000)
    assert known.cold_until_ms["w1"] > until_ms + 1_000
    await site.put("w2", gone=True)
    await site.advance(600)
    assert (
        "w2" not in known.workers
        and following[0].gateway.shared_reads.is_following()
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
    """Kills the reader; a new process takes its place in the next moment."""
    kill(site, reader, others)
    number = [c.entry.host for c in site.configs].index(reader.host)
    site.nodes.append(site.node(site.configs[number]))
    site.nodes[-1].start()


FAULTS = (pause, slow, refuse, silence, cut, kill, expire, restart)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("delay_ms", [-20, 20, 300, 700, 1_000])
async def test_a_drain_is_in_time_when_the_reader_fails(fault, delay_ms, site):
    """Subscribers would wait for a reader that no longer reads."""
    reader, following = site.split()
    await site.advance(140)
    site.oldest_ms = 0
    if delay_ms > 0:
        fault(site, reader, following)
        await site.advance(delay_ms)
        await site.drained(following)
    else:
        await site.put("w1", state="draining")
        await site.clock.advance(-delay_ms)
        fault(site, reader, following)
        await site.advance(DRAIN_MS + delay_ms)
        for node in following:
            assert node.gateway.gateway_state.workers["w1"].draining
    assert site.oldest_ms <= FAILOVER_MS


@pytest.mark.parametrize("fault", FAULTS)
async def test_a_worker_gone_during_a_failure_is_gone_for_all(fault, site):
    """It would be sent requests for ever, or the zone would stay unshared."""
    reader, following = site.split()
    fault(site, reader, following)
    await site.advance(500)
    await site.put("w2", gone=True)
    await site.put("w3")
    # A new process and one without history never read that w2 is gone.
    expire(site, reader, following)
    await site.advance(6_000)
    for node in site.nodes:
        # A reader that the store refuses follows another gateway.
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
    site.split()


async def test_a_restarted_reader_drops_what_it_never_saw(site):
    """A subscriber would keep a worker whose end only it has to learn."""
    reader, (one, other) = site.split()
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


async def test_a_held_up_batch_is_as_old_as_it_is(site):
    """A process that was paused would take old records for fresh ones."""
    _, (one, _) = site.split()
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


async def test_a_gateway_that_the_store_refuses_is_not_chosen(site):
    """What it hears from the reader says nothing about its own reads."""
    reader, following = site.split()
    for node in following:
        node.store.mode = "refuse"
    await site.advance(3_500)
    assert site.split()[0] is reader
    assert not any(
        n.gateway.shared_reads.election.is_eligible() for n in following
    )
    assert all(n.gateway.feeds["workers"].age_ms() < 600 for n in following)
    reader.gateway.leaving = True
    await site.advance(1_000)
    assert reader.gateway.shared_reads.election.elected_reader() is None
    following[0].store.mode = "ok"
    await site.advance(3_000)
    assert site.split()[0] is following[0]


async def test_gateways_that_disagree_both_read(site):
    """Two that follow each other would hear nothing from the store."""
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
    await site.drained(site.nodes)
    del one.gateway.shared_reads.election.elected_reader
    del two.gateway.shared_reads.election.elected_reader
    await site.advance(1_500)
    site.split()


async def test_two_readers_serve_their_own_subscribers(site):
    """A reader that is second by rank must not turn a subscriber away."""
    first, (second, third) = site.split()
    peers = third.gateway.peers.live
    third.gateway.shared_reads.election.elected_reader = lambda: peers[
        second.gateway.config.entry.id
    ]
    second.gateway.shared_reads.election.elected_reader = lambda: None
    await site.advance(1_500)
    assert third.gateway.shared_reads.is_following()
    assert not first.gateway.shared_reads.is_following()
    assert not second.gateway.shared_reads.is_following()
    await site.drained(site.nodes)


async def test_a_lost_subscriber_is_dropped(site):
    """Its connection would make a second gateway read for ever."""
    reader, (one, two) = site.split()
    site.network.cuts.add(frozenset((reader.host, one.host)))
    site.network.cuts.add(frozenset((reader.host, two.host)))
    assert reader.gateway.shared_reads.publisher.has_subscribers
    await site.advance(3_000)
    assert not reader.gateway.shared_reads.publisher.has_subscribers


@pytest.mark.parametrize(
    "body",
    [7, [1, 0], [1, 0, b""], [1, 0, msgpack.packb((True, 1, [(1,)]))]],
)
async def test_a_malformed_batch_ends_the_following(body, site, monkeypatch):
    """A gateway of another version would stop a subscriber for good."""
    reader, following = site.split()

    async def serve(asked, stream, writer):
        writer.write(frames.encode(shared_reads.SUBSCRIBE, 1, body))

    reader.gateway.shared_reads.publisher.close()
    reader.gateway.peers.handlers[shared_reads.SUBSCRIBE] = serve
    await site.drained(following)
    assert not any(n.gateway.shared_reads.is_following() for n in following)


async def test_a_batch_that_exceeds_a_frame_is_read_at_the_store(
    site, monkeypatch
):
    """A large fleet would never be shared again after lost history."""
    reader, following = site.split()
    encode, refused = frames.encode, []

    def limited(*given):
        try:
            return encode(*given, max_bytes=150)
        except frames.FrameTooLargeError:
            refused.append(given)
            raise

    monkeypatch.setattr(frames, "encode", limited)
    await site.put("w2", gone=True)
    expire(site, reader, following)
    await site.advance(4_000)
    assert refused and len(site.split()[1]) == 2
    for node in site.nodes:
        assert set(node.gateway.gateway_state.workers) == {"w0", "w1"}


async def test_a_connection_without_batches_is_opened_again(site):
    """A gateway would read for itself for ever after a lost connection."""
    reader, _ = site.split()
    reader.gateway.shared_reads.publisher.close()
    await site.advance(800)
    assert site.split()[0] is reader
    handlers = reader.gateway.peers.handlers
    serve = handlers[shared_reads.SUBSCRIBE]

    async def hang(asked, stream, writer):
        await asyncio.Event().wait()

    handlers[shared_reads.SUBSCRIBE] = hang
    reader.gateway.shared_reads.publisher.close()
    await site.advance(1_000)
    handlers[shared_reads.SUBSCRIBE] = serve
    await site.advance(2_500)
    assert site.split()[0] is reader


async def test_a_gateway_that_never_read_does_not_follow(site):
    """Its first records have to be the store's own (R16)."""
    number = len(site.nodes)
    hosts = tuple(node.host for node in site.nodes)
    config = zone.gateway_settings(number, "z1", hosts, 800)
    site.nodes.append(site.node(config))
    site.nodes[-1].store.mode = "refuse"
    site.nodes[-1].start()
    await site.advance(3_000)
    made = site.nodes[-1].gateway
    assert (
        len(made.peers.live) == number
        and made.shared_reads.subscription is None
    )
    site.nodes[-1].store.mode = "ok"
    await site.advance(3_000)
    site.split()


async def test_a_gateway_of_another_zone_is_not_followed(site):
    """Its records would cost bytes between zones."""
    for node in site.nodes:
        live = node.gateway.peers.live
        for peer in live.values():
            peer.zone = "z2"
        assert node.gateway.shared_reads.election.elected_reader() is None


async def test_a_single_gateway_reads_for_itself():
    """It has nobody to follow."""
    with contextlib.closing(Site(count=1)) as made:
        await made.start()
        assert not made.nodes[0].gateway.shared_reads.is_following()
        await made.drained(made.nodes)


async def test_a_gateway_of_an_earlier_version_is_not_followed(site):
    """It closes the connection of a subscriber."""
    reader, (one, two) = site.split()
    for node in (one, two):
        node.gateway.shared_reads.election.update_peer(
            reader.gateway.config.entry.id, {}
        )
        chosen = node.gateway.shared_reads.election.elected_reader()
        assert chosen is None or chosen.host != reader.host
