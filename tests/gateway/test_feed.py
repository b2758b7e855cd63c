"""Tests of following a topic."""

import asyncio

from oleanderbay.gateway import feed, interfaces
from oleanderbay.process import clock as clocks
from tests.gateway import parts

RECORD = interfaces.KeyedRecord


def page(end, *records):
    return interfaces.Page(tuple(RECORD(*r) for r in records), end)


def followed(store, clock):
    changes = []
    made = feed.Feed(
        store, interfaces.Topic.WORKERS, clock, changes.append, 1_000, 100
    )
    return made, changes


async def test_lost_history_drops_missing_keys():
    """A worker that left meanwhile would stay known for ever."""
    store, clock = parts.Store(), clocks.ManualClock()
    made, changes = followed(store, clock)
    store.answers = [
        page(3, (1, "a", b"1"), (2, "b", b"1")),
        interfaces.HistoryGoneError("gone"),
        page(9, (8, "b", b"2")),
    ]
    task = asyncio.create_task(made.run())
    await clock.advance(1_000)
    assert store.calls == ["newest", 3, "newest", 9]
    assert changes[2:] == [RECORD(8, "a", None), RECORD(8, "b", b"2")]
    assert made.offset == 9
    task.cancel()


async def test_reads_go_on_after_failures():
    """A store that is down for a while must not end the following."""
    store, clock = parts.Store(), clocks.ManualClock()
    made, _ = followed(store, clock)
    store.answers = [
        interfaces.StoreError("down"),
        interfaces.StoreRefusedError("busy"),
        page(1, (0, "a", b"1")),
    ]
    task = asyncio.create_task(made.run())
    await clock.advance(2 * feed.RETRY_MS - 1)
    assert made.age_ms() > 1 << 20
    await clock.advance(1)
    assert made.latest["a"].value == b"1" and made.age_ms() == 0
    task.cancel()


async def test_a_feed_that_is_behind_reads_on_at_once():
    """A read holds a limited size; above that rate it fell behind for good."""
    store, clock = parts.Store(), clocks.ManualClock()
    made, _ = followed(store, clock)
    store.answers = [
        page(0),
        interfaces.Page((RECORD(0, "a", b"1"),), 1, more=True),
        interfaces.Page((RECORD(1, "a", b"2"),), 2, more=True),
        page(3, (2, "a", b"3")),
    ]
    task = asyncio.create_task(made.run())
    await clock.advance(made.interval_ms)
    assert store.calls == ["newest", 0, 1, 2]
    task.cancel()


def test_an_older_record_changes_nothing():
    """A late answer would bring back a version or a worker that left."""
    made, changes = followed(parts.Store(), clocks.ManualClock())
    made.merge([RECORD(5, "a", b"new"), RECORD(6, "b", None)], 7)
    made.merge([RECORD(4, "a", b"old"), RECORD(2, "b", b"old")], 5)
    made.replace(page(4, (3, "b", b"old")))
    assert made.latest["a"].value == b"new" and made.latest["b"].value is None
    assert made.offset == 7 and len(changes) == 2


async def test_records_from_a_peer_are_no_whole_topic():
    """Keys that the peer did not send would never be read."""
    store, clock = parts.Store(), clocks.ManualClock()
    made, changes = followed(store, clock)
    made.merge([RECORD(5, "a", b"1")], 6)
    assert made.changed_since(0) == (RECORD(5, "a", b"1"),)
    store.answers = [page(6, (2, "b", b"1"), (5, "a", b"1"))]
    task = asyncio.create_task(made.run())
    await clock.advance(1)
    assert [change.key for change in changes] == ["a", "b"]
    assert made.changed_since(3) == (RECORD(5, "a", b"1"),)
    task.cancel()


def test_a_repetition_is_no_change_to_others():
    """Each heartbeat of a worker would be sent to the whole zone."""
    made = feed.Feed(
        parts.Store(),
        interfaces.Topic.WORKERS,
        clocks.ManualClock(),
        lambda record: record.value != b"new",
        0,
        500,
    )
    made.merge([RECORD(1, "a", b"1"), RECORD(2, "b", b"1")], 3)
    made.merge([RECORD(4, "a", b"1"), RECORD(5, "b", b"new")], 6)
    assert made.changed_since(0) == (
        RECORD(4, "a", b"1"),
        RECORD(5, "b", b"new"),
    )
    assert made.changed_since(2) == (RECORD(5, "b", b"new"),)


def test_a_key_dropped_by_a_whole_read_is_dropped_for_others():
    """One that follows may know a later record than the reader did."""
    made, _ = followed(parts.Store(), clocks.ManualClock())
    follower, changes = followed(parts.Store(), clocks.ManualClock())
    made.replace(page(3, (1, "a", b"1")))
    follower.merge([RECORD(5, "a", b"2")], 6)
    made.replace(page(9))
    follower.apply_from_reader(
        interfaces.Page(made.changed_since(6), 9), False, 0
    )
    assert changes[-1].value is None and made.complete_offset == 9


def test_what_others_heard_earlier_changes_nothing():
    """A reader that is behind, or was held up, would make a feed older."""
    clock = clocks.ManualClock()
    made, changes = followed(parts.Store(), clock)
    clock.set_ms(5_000)
    made.apply_from_reader(page(9, (8, "a", b"new")), True, 4_000)
    made.apply_from_reader(page(7, (6, "b", b"old")), False, 3_000)
    made.apply_from_reader(page(7, (6, "b", b"old")), True, 3_000)
    assert [c.key for c in changes] == ["a"] and made.age_ms() == 1_000
    assert made.uninterrupted_ms() == 1_000


async def test_an_overtaken_read_changes_nothing():
    """It would bring back what a repetition, not forwarded, had ended."""
    store, clock = parts.Store(), clocks.ManualClock()
    made, changes = followed(store, clock)
    answer = asyncio.get_running_loop().create_future()
    store.answers = [page(3, (1, "a", b"1"))]
    store.read = lambda *_: answer
    task = asyncio.create_task(made.run())
    await clock.advance(100)
    made.apply_from_reader(page(9), False, 50)
    answer.set_result(page(6, (5, "a", b"2")))
    await clock.advance(1)
    assert len(changes) == 1 and made.read_ms == 100
    task.cancel()
