"""A worker's answer, a failed attempt, and where answers go."""

import dataclasses
from typing import Protocol

import multidict


class ResponseSink(Protocol):
    """Where the answer to one caller goes.

    Attributes:
        started: Whether the head of the answer has been written.
    """

    started: bool

    async def begin(
        self, status: int, headers: "multidict.CIMultiDict[str]"
    ) -> None:
        """Writes the head of an answer whose length is not known."""
        ...

    async def write(self, data: bytes) -> None:
        """Writes a part of the body; waits while the caller is slow."""
        ...

    async def end(self) -> None:
        """Ends the body as complete."""
        ...

    async def send_complete(
        self, status: int, headers: "multidict.CIMultiDict[str]", body: bytes
    ) -> None:
        """Writes a complete answer."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that did not end the request.

    Attributes:
        message: What went wrong.
        may_have_run: Whether the request may have run at the worker.
        may_have_arrived: Whether it may have arrived there.
        response: The worker's own failure, which may be passed on.
        stale_connection: Whether only an idle connection failed, so that the
            request may be sent to the same worker on a new one.
    """

    message: str
    may_have_run: bool
    may_have_arrived: bool
    response: "Response | None" = None
    stale_connection: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole answer of a worker."""

    status: int
    headers: "multidict.CIMultiDict[str]"
    body: bytes
