"""Filtering of the event stream from an upstream to a caller."""

import json

from oleanderbay.connection import http
from oleanderbay.request import outcome

DONE_EVENT = b"data: [DONE]\n\n"


class EventStreamFilter:
    """Filters the events of one request across all of its attempts.

    Each event begins with `id: request/attempt/position`. Only the event of
    the current attempt at the next position is passed on. Late and duplicate
    events are dropped.

    Attributes:
        request_id: Id of the request.
        max_event_bytes: Size limit of an incomplete event.
        next_position: Position of the next event to pass on.
        dropped_events: Number of late and duplicate events.
        done: Whether the end-of-stream event was received.
        error: Why the current attempt's stream is unusable; empty if it is
            usable.
    """

    __slots__ = (
        "attempt_prefix",
        "buffer",
        "done",
        "dropped_events",
        "error",
        "expected_prefix",
        "max_event_bytes",
        "next_position",
        "request_id",
    )

    def __init__(self, request_id: str, max_event_bytes: int) -> None:
        self.request_id = request_id
        self.max_event_bytes = max_event_bytes
        self.next_position = 0
        self.dropped_events = 0
        self.done = False
        self.error = ""
        self.buffer = b""
        self.attempt_prefix = b""
        self.expected_prefix = b""

    def start_attempt(self, attempt: int) -> None:
        """Resets the parser for the stream of a new attempt."""
        self.buffer = b""
        self.error = ""
        self.attempt_prefix = f"id: {self.request_id}/{attempt}/".encode()
        self.expected_prefix = b"%b%d\n" % (
            self.attempt_prefix,
            self.next_position,
        )

    def feed(self, chunk: bytes) -> bytes:
        """Parses received bytes and returns those to pass on to the caller.

        Sets `error` when an event is missing, malformed, too large or reports
        an error. The valid events before it are still returned.
        """
        data = self.buffer + chunk if self.buffer else chunk
        start = copied_to = 0
        passed: list[bytes] = []
        while not self.done:
            end = data.find(b"\n\n", start) + 2
            if end == 1:
                break
            if data.startswith(self.expected_prefix, start):
                self.next_position += 1
                self.expected_prefix = b"%b%d\n" % (
                    self.attempt_prefix,
                    self.next_position,
                )
            else:
                passed.append(data[copied_to:start])
                copied_to = end
                self._handle_unexpected(data[start:end])
                if self.error:
                    return b"".join(passed)
                if self.done:
                    copied_to = start
            start = end
        self.buffer = data[start:]
        if len(self.buffer) > self.max_event_bytes:
            self.error = "an event is too large"
        if not passed:
            return data[:start] if self.buffer else data
        passed.append(data[copied_to:start])
        return b"".join(passed)

    def _handle_unexpected(self, event: bytes) -> None:
        """Handles an event other than the expected next one."""
        if event == DONE_EVENT:
            self.done = True
        elif event.startswith(b":"):
            pass  # A keep-alive comment.
        elif event.startswith(b"id: "):
            self._handle_event_with_id(event)
        else:
            self.error = "the upstream reported an error"

    def _handle_event_with_id(self, event: bytes) -> None:
        line = event[4 : event.index(b"\n")]
        if not line.startswith(self.attempt_prefix[4:]):
            # A late event of an earlier attempt or of another request.
            self.dropped_events += 1
            return
        position = line[len(self.attempt_prefix) - 4 :]
        if not position.isdigit():
            self.error = "an event has no valid position"
        elif int(position) > self.next_position:
            self.error = f"event {self.next_position} is missing"
        else:
            self.dropped_events += 1  # A duplicate.


def error_event(refusal: outcome.Refusal, request_id: str) -> bytes:
    """Returns the error event that ends an incomplete stream."""
    body = {"error": http.error_object(refusal, request_id)}
    return f"event: error\ndata: {json.dumps(body)}\n\n".encode()
