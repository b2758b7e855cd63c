"""Tests of the event stream parser."""

import itertools
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderbay.gateway import event_stream

STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(6))


def parse(*chunks, last_id=-1, max_bytes=100):
    parser = event_stream.EventStreamParser(last_id, max_bytes)
    return parser, [event for data in chunks for event in parser.feed(data)]


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_events_do_not_depend_on_chunks(split_offsets):
    """The network may split the stream at any byte."""
    edges = [0, *sorted(split_offsets), len(STREAM)]
    chunks = [STREAM[a:b] for a, b in itertools.pairwise(edges)]
    parser, parsed = parse(*chunks)
    assert [event.id for event in parsed] == list(range(6))
    assert b"".join(event.data for event in parsed) == STREAM
    assert not parser.has_partial_event


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
def test_missing_repeated_and_reordered_events_are_rejected(data, last_id):
    """A caller must not get a stream with a gap or a repeated event."""
    with pytest.raises(event_stream.EventStreamError):
        parse(data, last_id=last_id)


def test_resumed_stream_continues_with_the_next_event():
    """The first event of the new worker must follow the last forwarded one."""
    parser, parsed = parse(b"id: 6\ndata: a\n\n", b"id: 7\n\n", last_id=5)
    assert [event.id for event in parsed] == [6, 7] and parser.last_id == 7


def test_partial_event_at_the_end_is_detected():
    """A stream that ends inside an event is incomplete."""
    parser, parsed = parse(b"id: 0\n\nid: 1\ndata")
    assert len(parsed) == 1 and parser.has_partial_event


def test_oversized_event_is_rejected():
    """An event without an end would exhaust the gateway's memory."""
    with pytest.raises(event_stream.EventStreamError):
        parse(b"data: " + b"x" * 100)


# A faulty worker took the gateway's processor for a minute with an event that
# came byte by byte, and blocked it for a second with many empty events.
@pytest.mark.parametrize(
    "split",
    [lambda size: [b"a"] * size, lambda size: [b"\n\n" * (size // 2)]],
    ids=["one-event-in-bytes", "many-events-at-once"],
)
def test_the_work_grows_with_the_number_of_bytes_only(split):
    # Work that grows with the square of the size takes 16 times as long.
    small, large = (parse_time(split(size)) for size in (131_072, 524_288))
    assert large < 8 * small + 0.2


def parse_time(chunks):
    """Returns the processor time that chunks take."""
    begun = time.process_time()
    parse(*chunks, max_bytes=1 << 20)
    return time.process_time() - begun
