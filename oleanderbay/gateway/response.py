"""Responses of workers, failed attempts, and sinks for responses."""

import dataclasses
from typing import Protocol

import multidict


class ResponseStartedError(Exception):
    """A second head was to be written into a response that has begun."""


class ResponseSink(Protocol):
    """Receives the response to one caller.

    Attributes:
        started: Whether the response head has been written.
    """

    started: bool

    async def begin(
        self, status: int, headers: "multidict.CIMultiDict[str]"
    ) -> None:
        """Writes the head of a response of unknown length.

        Raises:
            ResponseStartedError: The response has begun.
        """
        ...

    async def write(self, data: bytes) -> None:
        """Writes a chunk of the body; waits while the caller reads slowly."""
        ...

    async def end(self) -> None:
        """Ends the body, which marks the response as complete."""
        ...

    async def send_complete(
        self, status: int, headers: "multidict.CIMultiDict[str]", body: bytes
    ) -> None:
        """Writes a complete response.

        Raises:
            ResponseStartedError: The response has begun.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt to serve a request.

    Attributes:
        message: Description of the failure.
        may_have_run: Whether the worker may have run the request.
        may_have_arrived: Whether the request may have reached the worker.
        response: Error response of the worker, which may be passed on.
        stale_connection: Whether only an idle connection failed, so that the
            same worker may get the request on a new connection.
        broken_off: Whether the worker ended the connection before the
            response was complete.
        events: Number of complete events that the worker had sent.
        expired: Whether the permission to send the request ran out before it
            was sent.
    """

    message: str
    may_have_run: bool
    may_have_arrived: bool
    response: "Response | None" = None
    stale_connection: bool = False
    broken_off: bool = False
    events: int = 0
    expired: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response of a worker."""

    status: int
    headers: "multidict.CIMultiDict[str]"
    body: bytes
