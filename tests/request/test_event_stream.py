"""Tests that a caller gets the events of its request once and in order."""

import pytest

from oleanderbay.request import event_stream, outcome


def _event(position, attempt=0, request="r"):
    return f"id: {request}/{attempt}/{position}\ndata: x\n\n".encode()


def _make_filter(attempt=0):
    event_filter = event_stream.EventStreamFilter("r", 1_000)
    event_filter.start_attempt(attempt)
    return event_filter


COMPLETE_STREAM = (
    b"".join(_event(n) for n in range(4)) + event_stream.DONE_EVENT
)


@pytest.mark.parametrize("size", range(1, len(COMPLETE_STREAM) + 1))
def test_output_does_not_depend_on_chunk_size(size):
    """Bytes at chunk boundaries must be neither lost nor duplicated."""
    event_filter = _make_filter()
    passed = b"".join(
        event_filter.feed(COMPLETE_STREAM[at : at + size])
        for at in range(0, len(COMPLETE_STREAM), size)
    )
    assert passed == COMPLETE_STREAM
    assert event_filter.done and not event_filter.error


@pytest.mark.parametrize("cut", range(len(COMPLETE_STREAM)))
def test_truncated_stream_is_not_done(cut):
    """A truncated stream must not look complete or end in a partial event."""
    event_filter = _make_filter()
    passed = event_filter.feed(COMPLETE_STREAM[:cut])
    assert not event_filter.done
    assert passed == b"".join(
        _event(n) for n in range(event_filter.next_position)
    )


@pytest.mark.parametrize("cut", range(len(COMPLETE_STREAM)))
def test_truncated_stream_resumes_without_loss_or_duplicates(cut):
    """The resumed stream must continue at the first event not passed on."""
    event_filter = _make_filter()
    event_filter.feed(COMPLETE_STREAM[:cut])
    delivered = event_filter.next_position
    event_filter.start_attempt(1)
    rest = (
        b"".join(_event(n, 1) for n in range(delivered, 4))
        + event_stream.DONE_EVENT
    )
    assert event_filter.feed(rest) == rest
    assert event_filter.done and event_filter.next_position == 4


def test_late_events_of_an_earlier_attempt_are_dropped():
    """Late events would duplicate tokens in the response."""
    event_filter = _make_filter(attempt=1)
    late = _event(0, attempt=0)
    assert event_filter.feed(late + _event(0, 1) + late) == _event(0, 1)
    assert event_filter.dropped_events == 2 and not event_filter.error


def test_events_of_another_request_are_dropped():
    """A caller must never get another caller's response."""
    event_filter = _make_filter()
    assert event_filter.feed(_event(0, request="other") + _event(0)) == _event(
        0
    )
    assert event_filter.dropped_events == 1


def test_duplicate_events_are_dropped():
    """An intermediary may send an event more than once."""
    event_filter = _make_filter()
    data = _event(0) + _event(0) + _event(1) + _event(0) + _event(2)
    assert event_filter.feed(data) == _event(0) + _event(1) + _event(2)
    assert event_filter.dropped_events == 2


def test_missing_event_stops_the_stream_before_the_gap():
    """Passing on events after a gap would corrupt the text."""
    event_filter = _make_filter()
    assert event_filter.feed(_event(0) + _event(2) + _event(1)) == _event(0)
    assert event_filter.error and event_filter.next_position == 1


@pytest.mark.parametrize(
    "event",
    [
        b"data: {}\n\n",
        b"event: error\ndata: {}\n\n",
        b"id: r/0/x\ndata: y\n\n",
        b"id: r/0/\xff\ndata: y\n\n",
        b"x" * 1_001,
    ],
)
def test_invalid_event_stops_the_stream(event):
    """Errors and malformed data must not be passed on as a response."""
    event_filter = _make_filter()
    assert event_filter.feed(_event(0) + event) == _event(0)
    assert event_filter.error


def test_comments_are_dropped():
    """Keep-alive comments of an engine are not meant for the caller."""
    event_filter = _make_filter()
    assert event_filter.feed(b": ping\n\n" + _event(0)) == _event(0)


def test_data_after_the_end_is_dropped():
    """Data after the end is not part of the response."""
    event_filter = _make_filter()
    assert event_filter.feed(
        _event(0) + event_stream.DONE_EVENT + _event(1)
    ) == (_event(0) + event_stream.DONE_EVENT)


def test_error_event_is_not_an_end_event():
    """A client that only looks for the end event must not find one."""
    refusal = outcome.Refusal(
        reason=outcome.Reason.UPSTREAM_FAILED,
        outcome=outcome.Outcome.UNKNOWN,
        message="m",
    )
    event = event_stream.error_event(refusal, "r")
    assert b"[DONE]" not in event and b'"outcome": "unknown"' in event
