"""Tests of the event check: a caller gets its own events, once, in order."""

import pytest

from oleanderbay.request import event_stream, outcome


def _event(position, attempt=0, request="r"):
    return f"id: {request}/{attempt}/{position}\ndata: x\n\n".encode()


def _events(attempt=0):
    events = event_stream.EventStreamFilter("r", 1_000)
    events.start_attempt(attempt)
    return events


WHOLE = b"".join(_event(n) for n in range(4)) + event_stream.DONE_EVENT


@pytest.mark.parametrize("size", range(1, len(WHOLE) + 1))
def test_chunks_of_any_size_give_the_same_bytes(size):
    """Chunk borders must not lose or repeat bytes."""
    events = _events()
    passed = b"".join(
        events.feed(WHOLE[at : at + size]) for at in range(0, len(WHOLE), size)
    )
    assert passed == WHOLE
    assert events.done and not events.error


@pytest.mark.parametrize("cut", range(len(WHOLE)))
def test_a_stream_cut_anywhere_is_not_done(cut):
    """A truncated stream must never look complete, nor end in half an event."""
    events = _events()
    passed = events.feed(WHOLE[:cut])
    assert not events.done
    assert passed == b"".join(_event(n) for n in range(events.next_position))


@pytest.mark.parametrize("cut", range(len(WHOLE)))
def test_a_stream_cut_anywhere_resumes_without_loss_or_repetition(cut):
    """The resumed part must join what was delivered exactly."""
    events = _events()
    events.feed(WHOLE[:cut])
    delivered = events.next_position
    events.start_attempt(1)
    rest = (
        b"".join(_event(n, 1) for n in range(delivered, 4))
        + event_stream.DONE_EVENT
    )
    assert events.feed(rest) == rest
    assert events.done and events.next_position == 4


def test_late_frames_of_an_abandoned_attempt_are_dropped():
    """They would otherwise repeat tokens in the answer."""
    events = _events(attempt=1)
    late = _event(0, attempt=0)
    assert events.feed(late + _event(0, 1) + late) == _event(0, 1)
    assert events.dropped_events == 2 and not events.error


def test_frames_of_another_request_are_dropped():
    """A caller must never see another caller's answer."""
    events = _events()
    assert events.feed(_event(0, request="other") + _event(0)) == _event(0)
    assert events.dropped_events == 1


def test_repeated_frames_are_dropped():
    """An intermediary may repeat a frame."""
    events = _events()
    data = _event(0) + _event(0) + _event(1) + _event(0) + _event(2)
    assert events.feed(data) == _event(0) + _event(1) + _event(2)
    assert events.dropped_events == 2


def test_a_missing_frame_breaks_the_stream_before_the_gap():
    """Frames after a gap would join text that does not belong together."""
    events = _events()
    assert events.feed(_event(0) + _event(2) + _event(1)) == _event(0)
    assert events.error and events.next_position == 1


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
def test_an_event_that_makes_no_sense_breaks_the_stream(event):
    """Neither an upstream's error nor garbage may look like an answer."""
    events = _events()
    assert events.feed(_event(0) + event) == _event(0)
    assert events.error


def test_comments_are_dropped():
    """Keep-alive comments of an engine say nothing to the caller."""
    events = _events()
    assert events.feed(b": ping\n\n" + _event(0)) == _event(0)


def test_nothing_after_the_end_is_passed_on():
    """Bytes after the end may belong to nobody."""
    events = _events()
    assert events.feed(_event(0) + event_stream.DONE_EVENT + _event(1)) == (
        _event(0) + event_stream.DONE_EVENT
    )


def test_an_error_event_is_no_end():
    """A client that looks only for the end mark must not find it."""
    refusal = outcome.Refusal(
        reason=outcome.Reason.UPSTREAM_FAILED,
        outcome=outcome.Outcome.UNKNOWN,
        message="m",
    )
    event = event_stream.error_event(refusal, "r")
    assert b"[DONE]" not in event and b'"outcome": "unknown"' in event
