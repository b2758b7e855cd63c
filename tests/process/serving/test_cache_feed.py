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
    """Stand-in engine with a list of retained cache events."""

    def __init__(self):
        self.events = []
        self.unavailable = False

    async def cache_events(self, since):
        if self.unavailable:
            raise native.PlatformUnavailableError("down")
        for event in self.events:
            if event.sequence > since:
                yield event


class FeedHarness:
    """Cache feed of one stand-in engine with load reports."""

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
def harness():
    return FeedHarness()


async def test_events_are_read_once_and_only_when_a_report_names_them(harness):
    """Reading every engine in every poll would cost more than it gains."""
    harness.publish(1, added=(1, 2))
    harness.publish(2, added=(3,), removed=(1,))
    await harness.feed.poll()
    assert [
        harness.index.count_cached_blocks("g1", (b,)) for b in (1, 2, 3)
    ] == [
        0,
        1,
        1,
    ]
    await harness.feed.poll()
    assert harness.feed.read_count == 1


async def test_a_gap_reloads_the_index_of_the_upstream(harness):
    """After a missed removal, prompts go to caches without their prefix."""
    harness.publish(1, added=(2,))
    await harness.feed.poll()
    harness.publish(3, added=(4,))
    await harness.feed.poll()
    assert not harness.index.is_stale("g1")
    assert [
        harness.index.count_cached_blocks("g1", (b,)) for b in (1, 2, 4)
    ] == [
        0,
        1,
        1,
    ]
    assert harness.index.last_sequence("g1") == 3


async def test_a_restarted_engine_has_an_empty_cache(harness):
    """Affinity to a lost cache would load one engine without any benefit."""
    harness.publish(1, added=(2,))
    await harness.feed.poll()
    harness.upstreams = (dataclasses.replace(UPSTREAM, start_id="two"),)
    harness.engine.events.clear()
    harness.sequence = 0
    await harness.feed.poll()
    assert harness.index.block_count("g1") == 0


async def test_an_unavailable_engine_is_read_again(harness):
    """A temporary outage of the events must not stop the feed forever."""
    harness.publish(1, added=(2,))
    harness.engine.unavailable = True
    await harness.feed.poll()
    assert harness.index.count_cached_blocks("g1", (2,)) == 0
    harness.engine.unavailable = False
    await harness.feed.poll()
    assert harness.index.count_cached_blocks("g1", (2,)) == 1
