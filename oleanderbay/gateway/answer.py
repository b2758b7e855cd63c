"""A worker's answer, a failed attempt, and where answers go."""

import dataclasses
from typing import Protocol

import multidict


class Sink(Protocol):
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

    async def whole(
        self, status: int, headers: "multidict.CIMultiDict[str]", body: bytes
    ) -> None:
        """Writes a complete answer."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An attempt that did not end the request.

    Attributes:
        message: What went wrong.
        ran: Whether the request may have run at the worker.
        arrived: Whether it may have arrived there.
        answer: The worker's own failure, which may be passed on.
        stale: Whether only an idle connection failed, so that the same worker
            may get the request on a new one.
    """

    message: str
    ran: bool
    arrived: bool
    answer: "Answer | None" = None
    stale: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a worker."""

    status: int
    headers: "multidict.CIMultiDict[str]"
    body: bytes
