"""Tests of entries that another writer puts under the ids of workers.

Guards against entries that lack fields and were used like a worker's: one
brought back a worker that had left, and one took the place of a head's.
"""

import json

import hypothesis
import pytest
import structlog
from hypothesis import strategies as st

from oleanderbay.gateway import feed, interfaces, state
from oleanderbay.platform import records
from oleanderbay.process import clock as clocks
from tests import worker_entries
from tests.gateway import parts

SILENCE_MS = 3_600
HEARTBEAT_MS = 1_200
REQUIRED = tuple(worker_entries.PLAIN)
# Values that no field may have, whatever its type is.
NO_VALUES = (True, {"a": 1}, [[]], -1.5, "\ud800")
CHAT_TABLE = json.dumps(
    {"version": 1, "routes": [], "services": [{"name": "chat"}]}
).encode()
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


class Reader:
    """A gateway's feed of the workers and the state that it fills."""

    def __init__(self, clock=None):
        self.clock = clock or clocks.ManualClock()
        self.state = state.State(records.JsonDecoder(), self.clock)
        self.state.apply_configuration(
            interfaces.KeyedRecord(1, "config", CHAT_TABLE)
        )
        self.feed = feed.Feed(
            parts.Store(),
            interfaces.Topic.WORKERS,
            self.clock,
            self.state.apply_worker,
            0,
            100,
            self.state.is_outdated_worker,
            keeps_dropped=True,
            silence_ms=SILENCE_MS,
        )
        self.take()

    @property
    def ids(self):
        """Ids of the known workers."""
        return set(self.state.workers)

    def take(self, *values, key="w", end=None):
        """Reads further records of one key; without any, a quiet topic."""
        start = max(0, self.feed.offset)
        page = interfaces.Page(
            tuple(
                interfaces.KeyedRecord(start + number, key, value)
                for number, value in enumerate(values)
            ),
            start + len(values) if end is None else end,
        )
        whole = self.feed.complete_offset < 0
        self.feed.apply_from_reader(page, whole, self.clock.now_ms())

    def follow(self, reader):
        """Takes the changes that a reader has for this gateway."""
        whole = self.feed.offset < reader.feed.complete_offset
        page = interfaces.Page(
            reader.feed.changed_since(0 if whole else self.feed.offset),
            reader.feed.offset,
        )
        self.feed.apply_from_reader(page, whole, self.clock.now_ms())

    def pass_ms(self, duration_ms, *followers):
        """Passes time in which the store answers."""
        for _ in range(duration_ms // 100):
            self.clock.set_ms(self.clock.now_ms() + 100)
            self.take()
            for follower in followers:
                follower.follow(self)


WORKER = worker_entries.encode(worker_entries.GROUPED)
FOREIGN = worker_entries.encode(
    worker_entries.GROUPED, without=("born", "sequence")
)


def check_unused(value):
    """Checks that an entry neither names a worker nor changes a known one."""
    reader = Reader()
    reader.take(value)
    assert not reader.ids and not reader.state.groups()
    reader.take(WORKER)
    known, groups = dict(reader.state.workers), reader.state.groups()
    reader.take(value)
    assert reader.state.workers == known and reader.state.groups() == groups
    reader.take(None)
    reader.take(value)
    assert not reader.ids and not reader.state.groups()


@pytest.mark.parametrize("field", REQUIRED)
def test_an_entry_that_lacks_a_field_is_not_used(field):
    check_unused(worker_entries.encode(worker_entries.GROUPED, (field,)))
    check_unused(worker_entries.encode(worker_entries.GROUPED, **{field: None}))


@pytest.mark.parametrize("value", NO_VALUES, ids=repr)
@pytest.mark.parametrize("field", worker_entries.GROUPED)
def test_an_entry_with_a_field_of_another_type_is_not_used(field, value):
    """A nested domain became a name with brackets."""
    check_unused(
        worker_entries.encode(worker_entries.GROUPED, **{field: value})
    )


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("domain", 7),
        ("domain", ["d1"]),
        ("models", "small"),
        ("models", {"name": "small"}),
        ("staged", "small"),
        ("staged", [["small"]]),
        ("group", []),
        ("group", "g"),
        ("group", {"name": "g"}),
        ("group", {**worker_entries.GROUPED["group"], "rank": "0"}),
        ("group", {**worker_entries.GROUPED["group"], "epoch": 1.5}),
        ("slots", 4.5),
        ("slots", "4"),
        ("born", "17"),
        ("born", 17.5),
        ("sequence", 3.5),
        ("version", 1),
        ("state", "gone"),
    ],
)
def test_an_entry_with_a_value_of_no_worker_is_not_used(field, value):
    check_unused(
        worker_entries.encode(worker_entries.GROUPED, **{field: value})
    )


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(st.sampled_from(REQUIRED), JSON_VALUES)
def test_a_value_of_another_type_never_counts_as_a_worker(field, value):
    right = worker_entries.PLAIN[field]
    hypothesis.assume(
        not isinstance(value, type(right)) or isinstance(value, bool)
    )
    # The rest of a cold start is a number that may have a fraction.
    hypothesis.assume(
        field != "cold_remaining_ms" or not isinstance(value, float)
    )
    check_unused(
        worker_entries.encode(worker_entries.GROUPED, **{field: value})
    )


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    st.sets(st.sampled_from(REQUIRED), min_size=1),
    st.dictionaries(st.sampled_from(REQUIRED), JSON_VALUES, max_size=2),
)
def test_an_entry_that_lacks_any_fields_never_counts(missing, changes):
    body = {**worker_entries.GROUPED, **changes}
    check_unused(worker_entries.encode(body, missing))


def test_an_entry_of_an_unknown_service_takes_no_worker_from_its_service():
    reader = Reader()
    reader.take(WORKER)
    for born in (17, 18):
        reader.take(
            worker_entries.encode(
                worker_entries.GROUPED, service="none", born=born
            )
        )
        assert reader.state.workers["w"].service == "chat"


def test_an_entry_without_groups_takes_no_worker_from_its_group():
    """It has all fields of a plain service's worker."""
    reader = Reader()
    reader.take(WORKER)
    reader.take(worker_entries.encode(service="chat"))
    assert reader.state.workers["w"].membership is not None


def test_a_new_start_of_a_worker_replaces_its_entry():
    """The checks must not keep an earlier incarnation in use."""
    reader = Reader()
    reader.take(WORKER, FOREIGN)
    reader.take(worker_entries.encode(worker_entries.GROUPED, born=18))
    assert reader.state.workers["w"].started_ms == 18


def test_an_entry_without_what_concerns_groups_is_a_plain_worker():
    """These fields are absent in entries of plain services."""
    reader = Reader()
    reader.take(worker_entries.encode())
    worker = reader.state.workers["w"]
    assert worker.membership is None and not worker.models and not worker.domain


@pytest.mark.parametrize("value", [b"", b"\xff", FOREIGN])
def test_a_worker_that_is_silent_after_a_foreign_entry_is_dropped(value):
    """Its own entry is overwritten, and its removal may have been missed."""
    reader, follower = Reader(), Reader()
    follower.clock = follower.feed.clock = reader.clock
    value = value or b"{"
    reader.take(WORKER)
    follower.follow(reader)
    reader.take(value)
    follower.follow(reader)
    reader.pass_ms(SILENCE_MS - 200, follower)
    # A second entry of the other writer does not prolong it.
    reader.take(value)
    assert reader.ids == follower.ids == {"w"}
    reader.pass_ms(300, follower)
    assert not reader.ids and not follower.ids
    reader.take(WORKER)
    follower.follow(reader)
    assert reader.ids == follower.ids == {"w"}


def test_a_worker_that_writes_on_stays_in_use_everywhere():
    """Its next entry repeats the last one, which followers don't get."""
    reader, follower = Reader(), Reader()
    follower.clock = follower.feed.clock = reader.clock
    reader.take(WORKER)
    follower.follow(reader)
    groups = reader.state.groups()
    for _ in range(8):
        reader.take(FOREIGN)
        reader.pass_ms(HEARTBEAT_MS, follower)
        reader.take(WORKER)
        follower.follow(reader)
        assert reader.state.groups() == follower.state.groups() == groups
    reader.pass_ms(2 * SILENCE_MS, follower)
    assert reader.ids == follower.ids == {"w"}


def test_silence_while_the_store_is_down_does_not_count():
    reader = Reader()
    reader.take(WORKER, FOREIGN)
    reader.clock.set_ms(10 * SILENCE_MS)
    reader.take()
    reader.pass_ms(SILENCE_MS - 200)
    assert reader.ids == {"w"}
    reader.pass_ms(300)
    assert not reader.ids


def test_a_foreign_entry_hides_no_change_from_followers():
    """Otherwise requests would go on to a worker that drains or has left."""
    reader, follower = Reader(), Reader()
    reader.take(WORKER)
    follower.follow(reader)
    draining = worker_entries.encode(worker_entries.GROUPED, state="draining")
    reader.take(draining, FOREIGN)
    follower.follow(reader)
    assert follower.state.workers["w"].draining
    reader.take(None, FOREIGN)
    follower.follow(reader)
    assert not reader.ids and not follower.ids


def test_a_reader_that_sees_only_the_foreign_entry_drops_no_worker():
    """It has started after it, and its followers know the worker."""
    reader, follower = Reader(), Reader()
    follower.take(WORKER)
    reader.feed.complete_offset = -1
    reader.feed.offset = -1
    newest = interfaces.KeyedRecord(5, "w", FOREIGN)
    reader.feed.apply_from_reader(interfaces.Page((newest,), 6), True, 0)
    assert not reader.ids
    follower.follow(reader)
    assert follower.ids == {"w"}
    reader.take(WORKER)
    follower.follow(reader)
    assert reader.ids == follower.ids == {"w"}


def test_a_rejected_entry_that_the_store_no_longer_has_is_forgotten():
    """Followers would be told that the key is still there."""
    reader = Reader()
    reader.take(FOREIGN)
    reader.feed.replace(interfaces.Page((), 9))
    assert not reader.feed.changed_since(0)


def test_a_rejected_entry_is_logged_once_with_its_field():
    """Another writer chooses how much it writes, and how often."""
    reader = Reader()
    value = worker_entries.encode(worker_entries.GROUPED, domain=["d" * 10_000])
    with structlog.testing.capture_logs() as lines:
        reader.take(value, value)
    (line,) = [one for one in lines if one["event"] == "record skipped"]
    assert line["key"] == "w" and "domain is not" in line["reason"]
    assert len(line["reason"]) <= records.MAX_REASON
    with structlog.testing.capture_logs() as lines:
        for number in range(2 * state.MAX_LOGGED_KEYS):
            reader.take(value, key=f"w{number}")
    assert len(reader.state._logged) == state.MAX_LOGGED_KEYS
