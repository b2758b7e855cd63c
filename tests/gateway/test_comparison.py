"""Tests of when records are fetched from other gateways."""

import dataclasses
from unittest import mock

import structlog

from oleanderbay.gateway import comparison, feed, interfaces
from oleanderbay.process import clock as clocks
from tests.gateway import network, parts

READ_INTERVAL_MS = 500


def fetch_times(relaying, own_zone_offset):
    """Returns the times in ms at which another zone's records are fetched."""
    net = network.Network()
    members = net.start({"za": 5, "zb": 5})
    net.run(3_000)
    member, peer = members[:2]
    (view,) = member.peers.members.zones.views.values()
    view.summary = dataclasses.replace(view.summary, offsets={"workers": 7})
    peer = dataclasses.replace(
        member.peers.live[peer.id], offsets={"workers": own_zone_offset}
    )
    offset_comparison = comparison.OffsetComparison(
        net.clock, member.peers.feeds
    )
    times = []
    for now_ms in range(0, 1_000, 50):
        net.clock.set_ms(3_000 + now_ms)
        # The other zone keeps reading, so its highest offset is always ahead.
        view.summary.offsets["workers"] += 1
        if offset_comparison.topics_to_fetch_from_zone(
            view.summary.offsets, [peer], relaying
        ):
            times.append(now_ms)
    return times


def test_relay_fetches_from_another_zone_before_other_gateways():
    """All gateways of a zone that the store refuses must not fetch at once."""
    after_ms = comparison.FETCH_AFTER_MS
    assert fetch_times(True, -1) == [after_ms, 2 * after_ms, 3 * after_ms]
    assert fetch_times(False, -1) == [2 * after_ms]


def test_nothing_is_fetched_from_another_zone_if_own_zone_has_it():
    """Records must not cross zones once for each gateway."""
    assert fetch_times(True, 100) == []


def test_time_behind_counts_until_the_missing_offset_is_reached():
    """A gateway that misses records must show it although the store answers."""
    clock, own_feed = clocks.ManualClock(), mock.Mock(offset=4)
    tracker = comparison.OffsetComparison(clock, {"workers": own_feed})

    def hear(offset, now_ms):
        clock.set_ms(now_ms)
        tracker.topics_to_fetch({"workers": offset})
        return tracker.behind_ms("workers")

    own_feed.interval_ms = 0
    own_feed.age_ms.return_value = own_feed.gap_ms.return_value = 0
    with structlog.testing.capture_logs() as logs:
        assert [hear(4, 0), hear(5, 100), hear(6, 900)] == [0, 0, 800]
        assert not logs
        assert hear(9, 1_100) == 1_000
        # Peers may always be ahead: the offset that was missing first counts.
        own_feed.offset = 5
        assert hear(10, 1_200) == 0 and hear(10, 1_300) == 100
    assert [entry["event"] for entry in logs] == [
        "behind peers",
        "caught up with peers",
    ]
    assert logs[0]["missing"] == 5 and logs[1]["behind_ms"] == 1_100


def test_peer_with_a_part_of_the_missing_records_is_used():
    """The only gateway that had all of them may be down by now."""
    clock, own_feed = clocks.ManualClock(), mock.Mock(offset=4)
    own_feed.interval_ms = 0
    own_feed.age_ms.return_value = own_feed.gap_ms.return_value = 0
    tracker = comparison.OffsetComparison(clock, {"workers": own_feed})
    assert not tracker.topics_to_fetch({"workers": 9})
    clock.set_ms(comparison.FETCH_AFTER_MS)
    assert not tracker.topics_to_fetch({"workers": 4})
    assert tracker.topics_to_fetch({"workers": 6}) == ["workers"]
    assert not tracker.topics_to_fetch({"workers": 9})


def test_records_that_the_next_read_returns_are_not_fetched():
    """Gateways that read the store would otherwise get most records twice."""
    clock = clocks.ManualClock()
    own_feed = feed.Feed(
        parts.Store(),
        interfaces.Topic.WORKERS,
        clock,
        lambda record: None,
        0,
        READ_INTERVAL_MS,
    )
    tracker = comparison.OffsetComparison(clock, {"workers": own_feed})
    fetched = []
    # A read takes 10 ms, so answers are a little further apart than reads.
    for now_ms in range(0, 10_200, 10):
        clock.set_ms(now_ms)
        reads, since_read_ms = divmod(now_ms, READ_INTERVAL_MS + 10)
        if since_read_ms == 0:
            own_feed.apply_from_reader(
                interfaces.Page((), reads), False, now_ms
            )
        fetched += tracker.topics_to_fetch({"workers": reads + 1})
    assert not fetched
    # Reads end, as the store refuses this gateway.
    for _ in range(200):
        now_ms += 10
        clock.set_ms(now_ms)
        fetched += tracker.topics_to_fetch({"workers": reads + 1})
    assert fetched
