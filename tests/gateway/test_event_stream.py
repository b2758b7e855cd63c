"""Tests of splitting a stream into events."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderbay.gateway import event_stream

STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(6))


def read(*chunks, last_id=-1, max_bytes=100):
    reader = event_stream.EventStreamParser(last_id, max_bytes)
    return reader, [event for data in chunks for event in reader.feed(data)]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_split_gives_the_same_events(cuts):
    """Events must not depend on how the network cuts the bytes."""
    edges = [0, *sorted(cuts), len(STREAM)]
    chunks = [STREAM[a:b] for a, b in itertools.pairwise(edges)]
    reader, found = read(*chunks)
    assert [event.id for event in found] == list(range(6))
    assert b"".join(event.data for event in found) == STREAM
    assert not reader.has_partial_event


@pytest.mark.parametrize(
    ("data", "last_id"),
    [
        (b"id: 0\n\nid: 2\n\n", -1),
        (b"id: 0\n\nid: 0\n\n", -1),
        (b"id: 1\n\nid: 0\n\n", -1),
        (b"id: 5\n\n", 5),
        (b"id: 7\n\n", 5),
        (b"id: x\n\n", -1),
    ],
)
def test_missing_repeated_and_reordered_events_are_refused(data, last_id):
    """A caller must not see a gap or the same event twice."""
    with pytest.raises(event_stream.EventStreamError):
        read(data, last_id=last_id)


def test_a_resumed_stream_goes_on_with_the_next_event():
    """The first event of another worker follows the last one passed on."""
    reader, found = read(b"id: 6\ndata: a\n\n", b"id: 7\n\n", last_id=5)
    assert [event.id for event in found] == [6, 7] and reader.last_id == 7


def test_a_partial_end_is_seen():
    """A stream that ends inside an event is no complete stream."""
    reader, found = read(b"id: 0\n\nid: 1\ndata")
    assert len(found) == 1 and reader.has_partial_event


def test_an_endless_event_is_refused():
    """It would fill the gateway's memory."""
    with pytest.raises(event_stream.EventStreamError):
        read(b"data: " + b"x" * 100)
