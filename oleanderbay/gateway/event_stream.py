"""Whole events of a stream, in their order."""

import dataclasses

END = b"\n\n"


class EventError(Exception):
    """The bytes are not the stream that was expected."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes:
        id: Its id; -1 if it has none.
        data: All of its bytes, with the empty line that ends it.
    """

    id: int
    data: bytes


class EventReader:
    """Splits bytes into events and checks their order.

    Attributes:
        last_id: Id of the last event that was returned; -1 for none.
        max_bytes: Largest event.
    """

    def __init__(self, last_id: int, max_bytes: int) -> None:
        self.last_id = last_id
        self.max_bytes = max_bytes
        self._rest = b""
        # The first event of a stream that does not resume sets the start.
        self._resumes = last_id >= 0
        self._begun = False

    @property
    def partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that `data` completes.

        Raises:
            EventError: An event is too large or out of order.
        """
        self._rest += data
        found: list[Event] = []
        while True:
            end = self._rest.find(END)
            if end < 0:
                break
            whole = self._rest[: end + len(END)]
            self._rest = self._rest[end + len(END) :]
            found.append(self._event(whole))
        if len(self._rest) > self.max_bytes:
            raise EventError("an event is too large")
        return found

    def _event(self, data: bytes) -> Event:
        event_id = -1
        for line in data.split(b"\n"):
            if line.startswith(b"id:"):
                try:
                    event_id = int(line[3:])
                except ValueError as error:
                    raise EventError("an event's id is no number") from error
        if event_id >= 0:
            expected = self.last_id + 1
            if (self._begun or self._resumes) and event_id != expected:
                raise EventError(f"event {event_id} in place of {expected}")
            self.last_id = event_id
        self._begun = True
        return Event(event_id, data)
