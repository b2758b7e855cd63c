"""Parser for streams of server-sent events with consecutive ids."""

import dataclasses

EVENT_END = b"\n\n"


class EventStreamError(Exception):
    """The data is not the expected stream of events."""


class PartialEventError(EventStreamError):
    """The stream ends before an event is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes:
        id: The event's id; -1 if it has none.
        data: The raw bytes, including the empty line that ends the event.
        is_comment: Whether it consists of comments only, which tells callers
            nothing.
    """

    id: int
    data: bytes
    is_comment: bool = False


class EventStreamParser:
    """Splits a byte stream into events and checks that ids are consecutive.

    Attributes:
        last_id: Id of the last event that was returned; -1 if there is none.
        max_bytes: Maximum size of an incomplete event.
        has_unnumbered_events: Whether an event without an id was returned.
    """

    def __init__(self, last_id: int, max_bytes: int) -> None:
        self.last_id = last_id
        self.max_bytes = max_bytes
        self.has_unnumbered_events = False
        self._buffer = bytearray()
        # Number of its bytes that hold no end of an event.
        self._searched = 0
        # A stream that does not resume another one may start with any id.
        self._resumes = last_id >= 0
        self._started = False

    @property
    def has_partial_event(self) -> bool:
        """Whether the data ends inside an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Adds data and returns the events that it completes.

        Raises:
            EventStreamError: An event is too large, malformed or out of order.
        """
        self._buffer += data
        completed: list[Event] = []
        # No byte is searched or moved twice, since a faulty worker may send
        # many small events at once, or an event byte by byte.
        start, searched = 0, self._searched
        while (found := self._buffer.find(EVENT_END, searched)) >= 0:
            end = found + len(EVENT_END)
            completed.append(self._parse(bytes(self._buffer[start:end])))
            start = searched = end
        del self._buffer[:start]
        self._searched = max(0, len(self._buffer) - len(EVENT_END) + 1)
        if len(self._buffer) > self.max_bytes:
            raise EventStreamError("an event is too large")
        return completed

    def _parse(self, data: bytes) -> Event:
        event_id = -1
        lines = data.splitlines()
        is_comment = all(not line or line.startswith(b":") for line in lines)
        for line in lines:
            if line.startswith(b"id:"):
                try:
                    event_id = int(line[3:])
                except ValueError as error:
                    raise EventStreamError(
                        "an event's id is no number"
                    ) from error
        if event_id >= 0:
            expected = self.last_id + 1
            if (self._started or self._resumes) and event_id != expected:
                raise EventStreamError(
                    f"event {event_id} in place of {expected}"
                )
            self.last_id = event_id
            self._started = True
        elif not is_comment:
            if self._resumes:
                raise EventStreamError("an event of a resumed stream has no id")
            self.has_unnumbered_events = True
        return Event(event_id, data, is_comment)
