"""Tests of the quarantine of prompt parts that crash workers."""

import asyncio
import collections
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderbay.gateway import (
    interfaces,
    positions,
    quarantine,
    quarantine_records,
)
from oleanderbay.process import clock as clocks
from tests.gateway import parts
from tests.gateway.network import Network

HOLD_MS = 600_000


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def tracker(clock):
    return quarantine.PromptQuarantine(clock, HOLD_MS)


def pass_time(clock, duration_ms):
    clock.set_ms(clock.now_ms() + duration_ms)


def crash(tracker, number, *prompts):
    """Crashes a worker that has requests with the given parts."""
    for prompt in prompts:
        tracker.record_crash(parts.worker(f"w{number}"), prompt)
    pass_time(tracker.clock, 10)


def test_the_part_that_all_crashes_share_is_quarantined(tracker):
    """Sound requests share the other parts and must still be served."""
    for number in range(quarantine.MIN_CRASHES):
        assert not tracker.held_parts()
        crash(tracker, number, (f"first{number}", "bad"), (f"victim{number}",))
    assert tracker.held_parts() == [["bad"]]
    assert tracker.left_ms(("other", "bad"))
    assert not tracker.left_ms(("first0",))


def test_one_crash_counts_once(tracker):
    """All requests at a worker break off when it crashes."""
    for _ in range(10):
        crash(tracker, 0, ("a",))
    tracker.update_peer({"a": ["w0/0"]}, {})
    assert not tracker.held_parts()


def test_crashes_that_different_gateways_saw_add_up(clock, tracker):
    """No single gateway may see enough crashes."""
    for number in range(quarantine.MIN_CRASHES):
        peer = quarantine.PromptQuarantine(clock, HOLD_MS)
        crash(peer, number, ("bad",))
        tracker.update_peer(**peer.report())
    assert tracker.held_parts() == [["bad"]]


def test_a_request_that_survives_ends_the_suspicion(tracker):
    """Workers that crash at once may all have had one popular part."""
    for number in range(quarantine.MIN_CRASHES):
        crash(tracker, number, ("popular",))
    assert tracker.held_parts()
    tracker.record_survival(("popular", "x"))
    assert not tracker.held_parts()


def test_survival_at_a_peer_ends_the_suspicion(clock, tracker):
    """The gateway that refuses a part gets no evidence of its own."""
    peer = quarantine.PromptQuarantine(clock, HOLD_MS)
    for number in range(quarantine.MIN_CRASHES):
        crash(tracker, number, ("popular",))
    peer.update_peer(**tracker.report())
    assert peer.held_parts() == [["popular"]]
    peer.record_survival(("popular",))
    tracker.update_peer(**peer.report())
    assert not tracker.held_parts()


def test_a_part_that_has_been_served_needs_more_crashes(tracker):
    """Popular parts are among the victims of many crashes."""
    tracker.record_survival(("popular",))
    pass_time(tracker.clock, 10)
    for number in range(quarantine.MIN_CRASHES_AFTER_SURVIVAL):
        assert not tracker.held_parts()
        crash(tracker, number, ("popular",))
    assert tracker.held_parts() == [["popular"]]


def test_a_victim_is_released_once_the_cause_is_found(tracker):
    """It can't survive while its requests are refused."""
    for number in range(3):
        crash(tracker, number, ("victim",))
    assert tracker.held_parts() == [["victim"]]
    for number in range(4):
        crash(tracker, number, ("bad",))
    assert tracker.held_parts() == [["bad"]]


def test_parts_of_the_same_crashes_are_refused_only_together(tracker):
    """Refusing each of them would refuse sound requests with the other."""
    for number in range(3):
        crash(tracker, number, ("first", "bad"))
    assert tracker.left_ms(("first", "bad", "x"))
    assert not tracker.left_ms(("first",)) and not tracker.left_ms(("bad",))
    crash(tracker, 3, ("second", "bad"))
    assert tracker.held_parts() == [["bad"]]


def test_a_part_served_before_is_not_suspected_beside_a_new_one(tracker):
    """Its requests may be rare, so that none survives meanwhile."""
    tracker.record_survival(("first",))
    pass_time(tracker.clock, 10)
    for number in range(3):
        crash(tracker, number, ("first", "bad"))
    assert tracker.held_parts() == [["bad"]]


def test_two_causes_are_both_found(tracker):
    """The crashes of one must not explain those of the other."""
    for number in range(3):
        crash(tracker, number, ("bad",))
    for number in range(3, 6):
        crash(tracker, number, ("worse",))
    assert tracker.held_parts() == [["bad"], ["worse"]]


def test_a_quarantine_outlasts_its_evidence_and_ends(clock, tracker):
    """Refused requests give no new evidence, and a mistake must end."""
    for number in range(3):
        crash(tracker, number, ("bad",))
    pass_time(clock, 2 * quarantine.EVIDENCE_MS)
    crash(tracker, 9, ("other",))
    assert tracker.held_parts() == [["bad"]]
    pass_time(clock, HOLD_MS)
    tracker.report()
    assert not tracker.held_parts() and not tracker.left_ms(("bad",))


def test_old_crashes_do_not_count(clock, tracker):
    """A rare part meets a crash now and then."""
    for number in range(6):
        crash(tracker, number, ("rare",))
        pass_time(clock, quarantine.EVIDENCE_MS)
    assert not tracker.held_parts()


def test_tracked_parts_are_limited(tracker):
    """Callers choose the ids and could use up the memory."""
    for number in range(quarantine.MAX_SURVIVED + 1):
        tracker.record_survival((f"p{number}",))
    for number in range(quarantine.MAX_SUSPECTS + 1):
        tracker.update_peer({f"p{number}": ["w/0"]}, {})
    assert len(tracker._survived) == quarantine.MAX_SURVIVED
    assert len(tracker._crashes) == quarantine.MAX_SUSPECTS
    crash(tracker, 0, *((f"q{number}",) for number in range(200)))
    assert len(tracker.report()["crashes"]) == quarantine.MAX_REPORTED


def test_new_suspects_do_not_displace_a_part_in_quarantine(tracker):
    """A caller that names many parts could end the quarantine of one."""
    for number in range(3):
        crash(tracker, number, ("bad",))
    for number in range(quarantine.MAX_SUSPECTS + 10):
        crash(tracker, number, (f"p{number}",))
    assert tracker.held_parts() == [["bad"]]


def test_a_limited_number_of_parts_of_a_request_counts(tracker):
    """A header holds about a thousand parts."""
    prompt = [f"p{number}" for number in range(1_000)]
    crash(tracker, 0, prompt)
    tracker.record_survival(prompt)
    assert len(tracker._crashes) == quarantine.MAX_PARTS_PER_REQUEST
    assert len(tracker._survived) == quarantine.MAX_PARTS_PER_REQUEST


class NotIterable(collections.OrderedDict):
    def __iter__(self):
        raise AssertionError("visits all parts")


def test_an_evaluation_does_not_visit_all_survived_parts(tracker):
    """With 10,000 of them it would hold up all requests for 60 ms."""
    tracker._survived = NotIterable()
    tracker._own_survived = NotIterable()
    tracker.record_survival(("popular",))
    for number in range(7):
        crash(tracker, number, ("popular",))
        crash(tracker, number + 7, ("bad",))
    assert tracker.held_parts() == [["bad"], ["popular"]]
    tracker.record_survival(("popular", "x"))
    assert tracker.held_parts() == [["bad"]]


PARTS = st.sampled_from(["a", "b", "c"])


@given(
    st.lists(
        st.tuples(st.booleans(), st.integers(0, 5), st.sets(PARTS, min_size=1))
    )
)
def test_a_part_is_refused_only_after_enough_crashes(steps):
    """A part that was served since its last crashes must be served."""
    tracker = quarantine.PromptQuarantine(clocks.ManualClock(), HOLD_MS)
    crashes = {part: set() for part in "abc"}
    for survives, number, prompt in steps:
        pass_time(tracker.clock, 10)
        if survives:
            if not tracker.left_ms(prompt):
                tracker.record_survival(prompt)
                for part in prompt:
                    crashes[part].clear()
        else:
            crash(tracker, number, prompt)
            for part in prompt:
                crashes[part].add(number)
        for part, seen in crashes.items():
            if tracker.left_ms((part,)):
                assert len(seen) >= quarantine.MIN_CRASHES


class Store(parts.Store):
    """Store that keeps what is put, after a number of failures."""

    def __init__(self, failures=0):
        super().__init__()
        self.failures = failures
        self.records = {}

    async def put(self, topic, key, value):
        assert topic is interfaces.Topic.QUARANTINE
        if self.failures:
            self.failures -= 1
            raise interfaces.StoreError("down")
        self.records[key] = value


def make_records(store, clock, tracker):
    return quarantine_records.QuarantineRecords(
        store, clock, {quarantine_records.PARTS: tracker}, random.Random(1)
    )


async def test_a_quarantine_is_recorded_and_read_by_a_later_start(clock):
    """Restarted gateways have no evidence and would send such requests."""
    store = Store(failures=1)
    first = quarantine.PromptQuarantine(clocks.SystemClock(), HOLD_MS)
    writer = make_records(store, first.clock, first)
    task = asyncio.create_task(writer.run())
    for number in range(3):
        first.record_crash(parts.worker(f"w{number}"), ("bad",))
    await parts.wait_until(lambda: store.records)
    ((key, value),) = store.records.items()

    second = quarantine.PromptQuarantine(first.clock, HOLD_MS)
    reader = make_records(store, first.clock, second)
    record = interfaces.KeyedRecord(0, key, value)
    reader.feed.merge((record,), 1)
    assert second.held_parts() == [["bad"]]
    expired = quarantine.PromptQuarantine(first.clock, 0)
    make_records(store, first.clock, expired).feed.merge((record,), 1)
    assert not expired.held_parts()

    first.record_survival(("bad",))
    await parts.wait_until(lambda: store.records == {key: None})
    reader.feed.merge((interfaces.KeyedRecord(1, key, None),), 2)
    assert not second.held_parts()
    task.cancel()


async def test_records_that_a_restored_store_lacks_are_written_again(clock):
    """Gateways that start later would send such requests, or refuse good ones.

    Only one of the gateways has to write them.
    """
    store = Store()
    trackers = [quarantine.PromptQuarantine(clock, HOLD_MS) for _ in range(3)]
    members = [
        quarantine_records.QuarantineRecords(
            store,
            clock,
            {quarantine_records.PARTS: tracker},
            random.Random(seed),
        )
        for seed, tracker in enumerate(trackers)
    ]
    held = json.dumps({"parts": ["bad"], "began_ms": clock.wall_ms()}).encode()
    tasks = [asyncio.create_task(member.run()) for member in members]
    copy = interfaces.KeyedRecord(positions.combine(1, 0), "released", held)
    for member in members:
        member.feed.replace(
            interfaces.Page((interfaces.KeyedRecord(1, "kept", held),), 2)
        )
        member.feed.merge([interfaces.KeyedRecord(2, "released", None)], 3)
        member.feed.replace(interfaces.Page((copy,), copy.offset + 1))
    while len(store.records) < 2:
        await clock.advance(1)
    assert store.records == {"kept": held, "released": None}
    assert clock.now_ms() <= quarantine_records.REWRITE_SPREAD_MS
    for member in members:
        member.feed.merge(
            [
                interfaces.KeyedRecord(copy.offset + 1, "kept", held),
                interfaces.KeyedRecord(copy.offset + 2, "released", None),
            ],
            copy.offset + 3,
        )
    store.records.clear()
    await clock.advance(2 * quarantine_records.REWRITE_SPREAD_MS)
    assert not store.records
    assert all(tracker.held_parts() == [["bad"]] for tracker in trackers)
    for task in tasks:
        task.cancel()


@pytest.mark.parametrize(
    "value",
    [
        b"x",
        b"[]",
        b'{"parts": 1, "began_ms": 1}',
        b'{"parts": []}',
        b'{"parts": "bad", "began_ms": 99999999999999}',
        b'{"parts": {"bad": 1}, "began_ms": 99999999999999}',
        b'{"parts": [null], "began_ms": 99999999999999}',
        b'{"parts": [7], "began_ms": 99999999999999}',
        b'{"parts": ["bad"], "began_ms": "99999999999999"}',
        b'{"parts": ["bad"], "began_ms": true}',
        b'{"parts": ["bad"], "began_ms": 1e400}',
        b'{"parts": ["bad"], "began_ms": 99999999999999, "kind": []}',
        b'{"parts": ["bad"], "began_ms": 99999999999999, "kind": null}',
        b"[" * 100_000,
    ],
)
def test_a_foreign_record_is_skipped(clock, tracker, value):
    """An exception would end the feed."""
    reader = make_records(Store(), clock, tracker)
    reader.feed.merge((interfaces.KeyedRecord(0, "k", value),), 1)
    assert not tracker.held_parts()


def test_requests_that_crash_the_same_workers_are_each_refused(clock):
    """No request is both of them, so refusing only both would refuse none."""
    tracker = quarantine.PromptQuarantine(clock, HOLD_MS, combined=False)
    tracker.record_survival(("served",))
    for number in range(quarantine.MIN_CRASHES):
        crash(tracker, number, ("bad",), ("other",), ("served",))
    assert tracker.held_parts() == [["bad"], ["other"]]
    assert tracker.left_ms(("bad",)) and not tracker.left_ms(("served",))


async def test_records_state_what_is_in_quarantine(clock):
    """A request must not be taken for a part of a prompt with the same id."""
    store = Store()
    names = quarantine_records.PARTS, quarantine_records.REQUESTS
    trackers = {
        name: quarantine.PromptQuarantine(clock, HOLD_MS) for name in names
    }
    member = quarantine_records.QuarantineRecords(
        store, clock, trackers, random.Random(1)
    )
    task = asyncio.create_task(member.run())
    for name in names:
        for number in range(quarantine.MIN_CRASHES):
            crash(trackers[name], number, ("id",))
    await clock.advance(10)
    assert len(store.records) == 2
    others = {
        name: quarantine.PromptQuarantine(clock, HOLD_MS) for name in names
    }
    reader = quarantine_records.QuarantineRecords(
        store, clock, others, random.Random(1)
    )
    key, value = next(
        item for item in store.records.items() if b"requests" in item[1]
    )
    reader.feed.merge([interfaces.KeyedRecord(0, key, value)], 1)
    assert others[names[1]].left_ms(("id",))
    assert not others[names[0]].left_ms(("id",))
    reader.feed.merge([interfaces.KeyedRecord(1, key, None)], 2)
    assert not others[names[1]].left_ms(("id",))
    task.cancel()


@pytest.mark.parametrize("sizes", [(3, 2, 2), (5, 5, 5)])
def test_all_gateways_know_within_the_time_of_contact(sizes):
    """The rule counts from 3 s after the fifth crash; three are enough."""
    net = Network()
    net.start({f"z{n}": size for n, size in enumerate(sizes)})
    net.run(5_000)
    net.loss = 0.1
    for number, member in enumerate(list(net.members.values())[-3:]):
        crash(member.quarantine, number, (f"first{number}", "bad"))
        crash(member.request_quarantine, number, ("request",))
    net.run(3_000)
    for member in net.members.values():
        assert member.quarantine.held_parts() == [["bad"]]
        assert member.request_quarantine.held_parts() == [["request"]]
