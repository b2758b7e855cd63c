"""Tests of reading cache events: late events, gaps and restarted engines."""

import dataclasses
import random
from types import SimpleNamespace

import pytest

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.serving import cache_feed
from oleanderbay.request import prefixes
from oleanderbay.version import resources

UPSTREAM = interfaces.Upstream(
    id="g1", service="s", zone="z", address="engine", start_id="one"
)


class Engine:
    """The events that an engine holds."""

    def __init__(self):
        self.events = []
        self.broken = False

    async def cache_events(self, since):
        if self.broken:
            raise native.PlatformUnavailableError("down")
        for event in self.events:
            if event.sequence > since:
                yield event


class World:
    """One engine with its reports, and a feed."""

    def __init__(self):
        self.engine = Engine()
        self.upstreams = (UPSTREAM,)
        self.sequence = 0
        self.index = prefixes.PrefixIndex(
            random.Random(1), lambda id: self.feed.schedule_resync(id)
        )
        service = resources.Service(
            id="s", name="s", kind=resources.ServiceKind.MODEL
        )
        self.feed = cache_feed.CacheFeed(
            self.index,
            SimpleNamespace(
                current=SimpleNamespace(all=lambda kind: [service])
            ),
            SimpleNamespace(
                upstreams=lambda service: self.upstreams, load=self.load
            ),
            lambda address: self.engine,
            clocks.ManualClock(),
        )
        self.index.record_sent_prefix("g1", (1,))

    def load(self, upstream):
        return interfaces.UpstreamLoad(cache_sequence=self.sequence)

    def publish(self, sequence, added=(), removed=()):
        self.sequence = sequence
        self.engine.events.append(
            native.CacheEvent(sequence=sequence, added=added, removed=removed)
        )


@pytest.fixture
def world():
    return World()


async def test_events_are_read_once_and_only_when_a_report_names_them(world):
    """Reading every engine always would cost more than it brings."""
    world.publish(1, added=(1, 2))
    world.publish(2, added=(3,), removed=(1,))
    await world.feed.poll()
    assert [world.index.count_cached_blocks("g1", (b,)) for b in (1, 2, 3)] == [
        0,
        1,
        1,
    ]
    await world.feed.poll()
    assert world.feed.read_count == 1


async def test_a_gap_replaces_what_the_index_holds(world):
    """A missed removal would send prompts to a cache that lacks them."""
    world.publish(1, added=(2,))
    await world.feed.poll()
    world.publish(3, added=(4,))
    await world.feed.poll()
    assert not world.index.is_stale("g1")
    assert [world.index.count_cached_blocks("g1", (b,)) for b in (1, 2, 4)] == [
        0,
        1,
        1,
    ]
    assert world.index.last_sequence("g1") == 3


async def test_a_restarted_engine_has_an_empty_cache(world):
    """Affinity to a cache that is gone would load one engine for nothing."""
    world.publish(1, added=(2,))
    await world.feed.poll()
    world.upstreams = (dataclasses.replace(UPSTREAM, start_id="two"),)
    world.engine.events.clear()
    world.sequence = 0
    await world.feed.poll()
    assert world.index.block_count("g1") == 0


async def test_an_engine_that_cannot_be_read_is_asked_again(world):
    """An outage of the events must not stop the feed for good."""
    world.publish(1, added=(2,))
    world.engine.broken = True
    await world.feed.poll()
    assert world.index.count_cached_blocks("g1", (2,)) == 0
    world.engine.broken = False
    await world.feed.poll()
    assert world.index.count_cached_blocks("g1", (2,)) == 1
