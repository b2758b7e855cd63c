"""Tests of routing and of the prefix index."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st

from bench import fakes_requests as fakes
from bench import naive_requests as naive
from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.request import outcome, prefixes, routing


def make_router(count=8, zones=1, index=None, available_permits=None):
    clock = clocks.ManualClock()
    fleet = fakes.make_fleet(clock, count, zones=zones)
    router = routing.Router(fleet, random.Random(1), index, available_permits)
    return clock, fleet, router


def set_load(fleet, id, **fields):
    fields = {"cold": False} | fields
    fleet.loads[id] = interfaces.UpstreamLoad(**fields)


@hypothesis.given(
    loads=st.lists(st.integers(0, 40), min_size=1, max_size=12),
    excluded=st.sets(st.integers(0, 12)),
    allowed=st.sets(st.sampled_from(("z0", "z1", "z2"))),
    seed=st.integers(0, 99),
)
@hypothesis.settings(derandomize=True, deadline=None)
def test_finds_an_upstream_exactly_when_the_naive_router_does(
    loads, excluded, allowed, seed
):
    """Sampling must find the last usable upstream, if there is one.

    It must never return an excluded upstream or one in a forbidden zone.
    """
    _, fleet, _ = make_router(len(loads), zones=3)
    for number, running in enumerate(loads):
        set_load(fleet, f"g{number}", running=running)
    router = routing.Router(fleet, random.Random(seed))
    exclude = {f"g{number}" for number in excluded}
    arguments = ("s", "z0", (), exclude, 0, lambda zone: zone in allowed)
    expected = naive.Router(fleet).choose(*arguments)
    choice = router.choose(*arguments)
    if expected is None:
        assert isinstance(choice, outcome.Refusal)
        assert choice.outcome is outcome.Outcome.NOT_RUN
    else:
        assert choice.id not in exclude
        assert choice.zone in allowed


def test_equal_upstreams_get_equal_shares():
    """Equal upstreams must get almost equal numbers of requests."""
    _, _, router = make_router(8)
    counts = dict.fromkeys(router.eligible.list, 0)
    for _ in range(800):
        choice = router.choose("s", "z0", (), (), 0)
        counts[choice.id] += 1
        router.record_start(choice.id)
    assert max(counts.values()) - min(counts.values()) <= 2


def test_entries_with_the_same_stale_report_do_not_herd():
    """Entries must not all select the least loaded upstream of a report.

    They all use the same report, so they would overload that upstream.
    """
    _, fleet, _ = make_router(60)
    for id in fleet.list:
        set_load(fleet, id, running=5)
    set_load(fleet, "g7", running=0)
    picks = [
        routing.Router(fleet, random.Random(seed)).choose("s", "z0", (), (), 0)
        for seed in range(100)
    ]
    assert sum(pick.id == "g7" for pick in picks) < 15


def test_frozen_reports_lose_their_weight_to_own_requests():
    """An outdated report of low load must not attract requests forever."""
    _, fleet, router = make_router(2)
    set_load(fleet, "g0", running=0, reported_at_ms=0)
    set_load(fleet, "g1", running=12, reported_at_ms=0)
    for _ in range(6):
        router.record_start("g0")
    assert router.choose("s", "z0", (), (), 0).id == "g0"
    assert router.choose("s", "z0", (), (), 20_000).id == "g1"


def test_own_zone_is_left_when_it_is_loaded():
    """The preference for the own zone must not outweigh overload."""
    _, fleet, router = make_router(8, zones=2)
    assert router.choose("s", "z1", (), (), 0).zone == "z1"
    for id, upstream in fleet.list.items():
        set_load(fleet, id, running=20 if upstream.zone == "z1" else 0)
    assert router.choose("s", "z1", (), (), 0).zone == "z0"


def test_affinity_ends_at_overload_and_eligibility():
    """A cached prompt must not route requests to a full or failed upstream."""
    index = prefixes.PrefixIndex(random.Random(1), lambda id: None)
    _, fleet, router = make_router(40, index=index)
    prefix = (1, 2, 3)
    index.record_sent_prefix("g9", prefix)
    assert router.choose("s", "z0", prefix, (), 0).id == "g9"
    set_load(fleet, "g9", running=16)
    assert router.choose("s", "z0", prefix, (), 0).id != "g9"
    set_load(fleet, "g9", running=0)
    fleet.remove("g9")
    assert router.choose("s", "z0", prefix, (), 0).id != "g9"


def test_upstreams_with_a_permit_come_first():
    """A permit that is already held saves a round trip to the owner."""
    _, _, router = make_router(
        3, available_permits=lambda upstream: int(upstream.id == "g2")
    )
    assert router.choose("s", "z0", (), (), 0).id == "g2"


def test_gap_in_cache_events_marks_stale_until_resync():
    """After a gap in the events, the index must request a full list.

    Blocks whose removal was missed would attract prompts that are no longer
    cached.
    """
    asked = []
    index = prefixes.PrefixIndex(random.Random(1), asked.append)
    event = native.CacheEvent
    assert index.apply("g0", event(sequence=1, added=(1, 2)))
    assert not index.apply("g0", event(sequence=1, added=(9,)))
    assert not index.apply("g0", event(sequence=3, added=(3,)))
    assert asked == ["g0"]
    assert index.is_stale("g0")
    assert index.count_cached_blocks("g0", (1, 2)) == 0
    index.record_sent_prefix("g0", (1,))
    assert index.find_holders((1,)) == []
    index.replace("g0", 3, (1, 2, 3))
    assert index.count_cached_blocks("g0", (1, 2, 3)) == 3
    assert index.apply("g0", event(sequence=4, removed=(3,)))
    assert index.count_cached_blocks("g0", (1, 2, 3)) == 2
    index.check_sequence("g0", 0)
    assert asked == ["g0", "g0"]


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.integers(1, 6),
            st.lists(st.integers(0, 5), max_size=4),
            st.lists(st.integers(0, 5), max_size=2),
        )
    )
)
@hypothesis.settings(derandomize=True)
def test_index_agrees_with_its_reverse_and_stays_bounded(events):
    """A stale holder in the reverse index would never be freed."""
    index = prefixes.PrefixIndex(random.Random(1), lambda id: None, 4)
    newest = [0, 0, 0]
    for upstream, step, added, removed in events:
        # Step 6 leaves a gap; the resync that follows is empty.
        newest[upstream] += 2 if step == 6 else 1
        event = native.CacheEvent(
            sequence=newest[upstream],
            added=tuple(added),
            removed=tuple(removed),
        )
        assert index.apply(f"g{upstream}", event) == (step != 6)
        if step == 6:
            index.replace(f"g{upstream}", newest[upstream], ())
    holders = {
        (id, block)
        for id, cached in index._upstreams.items()
        for block in cached.blocks
    }
    reverse = {
        (id, block)
        for block, entry in index._holders.items()
        for id in entry.ids
    }
    assert holders == reverse
    assert all(index.block_count(f"g{n}") <= 4 for n in range(3))


def test_block_hashes_cover_all_bytes_before():
    """Equal blocks that follow different text must have different hashes."""
    one = prefixes.block_hashes(b"a" * 1024)
    other = prefixes.block_hashes(b"b" * 512 + b"a" * 512)
    assert len(one) == 2
    assert one[1] != other[1]
    assert prefixes.block_hashes(b"a" * 1500) == one


def test_restarted_upstream_is_a_new_one_after_a_change():
    """The router caches the upstreams; a change must invalidate the cache."""
    _, fleet, router = make_router(1)
    router.choose("s", "z0", (), (), 0)
    fleet.set(dataclasses.replace(fleet.list["g0"], start_id="new"))
    assert router.choose("s", "z0", (), (), 0).start_id == "new"
