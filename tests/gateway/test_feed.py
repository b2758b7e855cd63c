"""Tests of the local copy of a topic."""

import asyncio

import pytest

from oleanderbay.gateway import feed, interfaces, positions
from oleanderbay.process import clock as clocks
from tests.gateway import parts

RECORD = interfaces.KeyedRecord
CHANGED, REPEATED = feed.Effect.CHANGED, feed.Effect.REPEATED


def page(end, *records):
    return interfaces.Page(tuple(RECORD(*r) for r in records), end)


def restored(offset):
    """Returns a position after one restoration of the store."""
    return positions.combine(1, offset)


def make_feed(store, clock, **changes_of_feed):
    changes = []
    topic_feed = feed.Feed(
        store,
        interfaces.Topic.WORKERS,
        clock,
        changes.append,
        1_000,
        100,
        **changes_of_feed,
    )
    return topic_feed, changes


async def test_read_after_lost_history_drops_missing_keys():
    """Otherwise a worker that has left in the meantime would stay forever."""
    store, clock = parts.Store(), clocks.ManualClock()
    topic_feed, changes = make_feed(store, clock)
    store.answers = [
        page(3, (1, "a", b"1"), (2, "b", b"1")),
        interfaces.HistoryGoneError("gone"),
        page(9, (8, "b", b"2")),
    ]
    task = asyncio.create_task(topic_feed.run())
    await clock.advance(1_000)
    assert store.calls == ["newest", 3, "newest", 9]
    assert changes[2:] == [RECORD(8, "a", None), RECORD(8, "b", b"2")]
    assert topic_feed.offset == 9
    task.cancel()


async def test_reads_continue_after_failures():
    """A temporary outage of the store must not end the reads."""
    store, clock = parts.Store(), clocks.ManualClock()
    topic_feed, _ = make_feed(store, clock)
    store.answers = [
        interfaces.StoreError("down"),
        interfaces.StoreRefusedError("busy"),
        page(1, (0, "a", b"1")),
    ]
    task = asyncio.create_task(topic_feed.run())
    await clock.advance(2 * feed.RETRY_MS - 1)
    assert topic_feed.age_ms() > 1 << 20
    await clock.advance(1)
    assert topic_feed.latest["a"].value == b"1" and topic_feed.age_ms() == 0
    task.cancel()


async def test_feed_that_is_behind_reads_again_without_waiting():
    """As a read is limited in size, waiting after each could never catch up."""
    store, clock = parts.Store(), clocks.ManualClock()
    topic_feed, _ = make_feed(store, clock)
    store.answers = [
        page(0),
        interfaces.Page((RECORD(0, "a", b"1"),), 1, more=True),
        interfaces.Page((RECORD(1, "a", b"2"),), 2, more=True),
        page(3, (2, "a", b"3")),
    ]
    task = asyncio.create_task(topic_feed.run())
    await clock.advance(topic_feed.interval_ms)
    assert store.calls == ["newest", 0, 1, 2]
    task.cancel()


class RepeatingStore(parts.Store):
    """Store that gives the same answers to all calls."""

    def __init__(self, answer):
        super().__init__()
        self.answer = answer

    async def newest(self, topic):
        self.calls.append("newest")
        await asyncio.sleep(0)
        return page(1, (0, "a", b"1"))

    async def read(self, topic, start, wait_ms):
        self.calls.append(start)
        await asyncio.sleep(0)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


@pytest.mark.parametrize("interval_ms", [0, 100])
@pytest.mark.parametrize(
    "answer",
    [
        interfaces.HistoryGoneError("gone"),
        interfaces.Page((), 1),
        interfaces.Page((), 1, more=True),
    ],
)
async def test_useless_answers_are_not_asked_for_without_a_pause(
    answer, interval_ms
):
    """A store that lost its history was read as fast as it answered."""
    store, clock = RepeatingStore(answer), clocks.ManualClock()
    topic_feed, _ = make_feed(store, clock)
    topic_feed.interval_ms = interval_ms
    task = asyncio.create_task(topic_feed.run())
    async with asyncio.timeout(10):
        for _ in range(100):
            await clock.advance(10)
            assert len(store.calls) <= 25
    task.cancel()


async def test_a_read_that_returns_nothing_after_its_wait_is_repeated_at_once():
    """A pause would delay the next configuration."""
    store, clock = parts.Store(), clocks.ManualClock()
    topic_feed, _ = make_feed(store, clock)
    topic_feed.interval_ms = 0
    reads = []

    async def read(topic, start, wait_ms):
        reads.append(clock.now_ms())
        await clock.sleep_ms(wait_ms)
        return page(1)

    store.answers = [page(1)]
    store.read = read
    task = asyncio.create_task(topic_feed.run())
    await clock.advance(2_500)
    assert reads == [0, 1_000, 2_000]
    task.cancel()


def test_older_record_is_ignored():
    """A late answer must not restore an old version or a dropped worker."""
    topic_feed, changes = make_feed(parts.Store(), clocks.ManualClock())
    topic_feed.merge([RECORD(5, "a", b"new"), RECORD(6, "b", None)], 7)
    topic_feed.merge([RECORD(4, "a", b"old"), RECORD(2, "b", b"old")], 5)
    topic_feed.replace(page(4, (3, "b", b"old")))
    assert (
        topic_feed.latest["a"].value == b"new"
        and topic_feed.latest["b"].value is None
    )
    assert topic_feed.offset == 7 and len(changes) == 2


async def test_records_from_peer_do_not_replace_first_whole_read():
    """Otherwise keys that the peer did not send would never be read."""
    store, clock = parts.Store(), clocks.ManualClock()
    topic_feed, changes = make_feed(store, clock)
    topic_feed.merge([RECORD(5, "a", b"1")], 6)
    assert topic_feed.changed_since(0) == (RECORD(5, "a", b"1"),)
    store.answers = [page(6, (2, "b", b"1"), (5, "a", b"1"))]
    task = asyncio.create_task(topic_feed.run())
    await clock.advance(1)
    assert [change.key for change in changes] == ["a", "b"]
    assert topic_feed.changed_since(3) == (RECORD(5, "a", b"1"),)
    task.cancel()


def test_repeated_record_is_not_forwarded_as_change():
    """Otherwise each worker heartbeat would be sent to the whole zone."""
    topic_feed = feed.Feed(
        parts.Store(),
        interfaces.Topic.WORKERS,
        clocks.ManualClock(),
        lambda record: CHANGED if record.value == b"new" else REPEATED,
        0,
        500,
    )
    topic_feed.merge([RECORD(1, "a", b"1"), RECORD(2, "b", b"1")], 3)
    topic_feed.merge([RECORD(4, "a", b"1"), RECORD(5, "b", b"new")], 6)
    assert topic_feed.changed_since(0) == (
        RECORD(4, "a", b"1"),
        RECORD(5, "b", b"new"),
    )
    assert topic_feed.changed_since(2) == (RECORD(5, "b", b"new"),)


def test_key_dropped_by_whole_read_is_dropped_for_followers():
    """A follower may have a later record of the key than the reader had."""
    topic_feed, _ = make_feed(parts.Store(), clocks.ManualClock())
    follower, changes = make_feed(parts.Store(), clocks.ManualClock())
    topic_feed.replace(page(3, (1, "a", b"1")))
    follower.merge([RECORD(5, "a", b"2")], 6)
    topic_feed.replace(page(9))
    follower.apply_from_reader(
        interfaces.Page(topic_feed.changed_since(6), 9), False, 0
    )
    assert changes[-1].value is None and topic_feed.complete_offset == 9


def test_outdated_batch_from_reader_is_ignored():
    """A reader that lags or was delayed must not set a feed back."""
    clock = clocks.ManualClock()
    topic_feed, changes = make_feed(parts.Store(), clock)
    clock.set_ms(5_000)
    topic_feed.apply_from_reader(page(9, (8, "a", b"new")), True, 4_000)
    topic_feed.apply_from_reader(page(7, (6, "b", b"old")), False, 3_000)
    topic_feed.apply_from_reader(page(7, (6, "b", b"old")), True, 3_000)
    assert [c.key for c in changes] == ["a"] and topic_feed.age_ms() == 1_000
    assert topic_feed.uninterrupted_ms() == 1_000


async def test_read_overtaken_by_newer_batch_is_ignored():
    """A batch may have moved the offset past the records of a pending read.

    Those may be superseded by records that were left out of the batch as
    repeats, so applying them could restore an outdated state.
    """
    store, clock = parts.Store(), clocks.ManualClock()
    topic_feed, changes = make_feed(store, clock)
    answer = asyncio.get_running_loop().create_future()
    store.answers = [page(3, (1, "a", b"1"))]
    store.read = lambda *_: answer
    task = asyncio.create_task(topic_feed.run())
    await clock.advance(100)
    topic_feed.apply_from_reader(page(9), False, 50)
    answer.set_result(page(6, (5, "a", b"2")))
    await clock.advance(1)
    assert len(changes) == 1 and topic_feed.read_ms == 100
    task.cancel()


async def test_key_that_a_restored_store_lacks_is_dropped_after_a_while():
    """Its writer may need a moment to write it again, or may be gone."""
    store, clock = parts.Store(), clocks.ManualClock()
    topic_feed, changes = make_feed(store, clock)
    store.answers = [
        page(9, (5, "a", b"1"), (7, "b", b"1"), (8, "c", b"1")),
        interfaces.HistoryGoneError("restored"),
        page(restored(4), (restored(1), "a", b"1")),
        page(restored(5), (restored(4), "b", b"1")),
    ]
    task = asyncio.create_task(topic_feed.run())
    await clock.advance(200)
    assert topic_feed.latest["c"].value == b"1"
    assert not any(change.value is None for change in changes)
    topic_feed.apply_from_reader(page(restored(5)), False, clock.now_ms())
    await clock.advance(feed.SETTLE_MS)
    topic_feed.apply_from_reader(page(restored(5)), False, clock.now_ms())
    assert topic_feed.latest["c"].value is None
    assert [c.key for c in changes if c.value is None] == ["c"]
    # Followers that have reached the same position are told of it.
    assert topic_feed.changed_since(topic_feed.offset) == (
        topic_feed.latest["c"],
    )
    # The next record in the topic may be one of that key.
    topic_feed.merge([RECORD(restored(5), "c", b"2")], end_offset=restored(6))
    assert topic_feed.latest["c"].value == b"2"
    task.cancel()


def test_first_record_after_a_restoration_is_forwarded_though_it_repeats():
    """A follower would otherwise drop the key as one that is missing."""
    topic_feed = feed.Feed(
        parts.Store(),
        interfaces.Topic.WORKERS,
        clocks.ManualClock(),
        lambda _: REPEATED,
        0,
        500,
    )
    topic_feed.replace(page(5, (1, "a", b"1")))
    topic_feed.replace(page(restored(2), (restored(1), "a", b"1")))
    topic_feed.merge([RECORD(restored(3), "a", b"1")], restored(4))
    assert topic_feed.changed_since(5) == (RECORD(restored(3), "a", b"1"),)
    assert topic_feed.changed_since(restored(2)) == ()


def test_restored_record_does_not_replace_a_newer_one():
    """Otherwise a change that was confirmed would be undone."""
    topic_feed, _ = make_feed(
        parts.Store(),
        clocks.ManualClock(),
        is_outdated=lambda known, record: record.value < known.value,
    )
    topic_feed.replace(page(9, (8, "a", b"3")))
    topic_feed.replace(page(restored(4), (restored(1), "a", b"2")))
    # Peers that started after the restoration get the newer one as well.
    assert topic_feed.changed_since(restored(0)) == (
        RECORD(restored(1), "a", b"3"),
    )
    topic_feed.merge([RECORD(restored(4), "a", b"4")], restored(5))
    assert topic_feed.latest["a"].value == b"4"


def test_key_dropped_before_a_restoration_returns_only_if_written_again():
    """The copy may hold a worker that has left since."""
    topic_feed, changes = make_feed(
        parts.Store(), clocks.ManualClock(), keeps_dropped=True
    )
    topic_feed.replace(page(9, (8, "a", b"1")))
    topic_feed.merge([RECORD(9, "a", None)], 10)
    lacking = []
    topic_feed.after_restoration = lacking.extend
    topic_feed.replace(page(restored(8), (restored(7), "a", b"1")))
    assert changes[-1].value is None and lacking == [RECORD(9, "a", None)]
    topic_feed.merge([RECORD(restored(8), "a", b"1")], restored(9))
    assert changes[-1].value == b"1"


def test_follower_gets_a_key_that_returned_after_a_restoration():
    """Repeats are not forwarded, so nothing would correct it later."""
    follower, changes = make_feed(
        parts.Store(), clocks.ManualClock(), keeps_dropped=True
    )
    follower.merge([RECORD(8, "a", b"1"), RECORD(9, "a", None)], 10)
    returned = page(restored(4), (restored(3), "a", b"1"))
    follower.apply_from_reader(returned, True, 0)
    assert changes[-1].value == b"1"


async def test_whole_topic_is_read_again_after_a_peer_tells_of_a_new_era():
    """Records of the new era that the peer did not send would be missing."""
    store, clock = parts.Store(), clocks.ManualClock()
    topic_feed, _ = make_feed(store, clock)
    store.answers = [page(9, (8, "a", b"1")), page(9)]
    task = asyncio.create_task(topic_feed.run())
    await clock.advance(100)
    topic_feed.merge([RECORD(restored(3), "a", b"2")], restored(4))
    assert not topic_feed.is_complete()
    store.answers = [page(restored(4), (restored(2), "b", b"1"))]
    await clock.advance(200)
    assert topic_feed.is_complete() and topic_feed.latest["b"].value == b"1"
    task.cancel()


def test_restoration_interrupts_the_answers_of_the_store():
    """Records may be older than the orders that workers have carried out."""
    clock = clocks.ManualClock()
    topic_feed, _ = make_feed(parts.Store(), clock)
    topic_feed.apply_from_reader(page(9, (8, "a", b"1")), True, 0)
    clock.set_ms(1_000)
    topic_feed.apply_from_reader(
        page(restored(4), (restored(2), "a", b"1")), True, 1_000
    )
    assert topic_feed.uninterrupted_ms() == 0
