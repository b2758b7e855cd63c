"""One connection to a worker, and whether a further request may use it."""

import asyncio
import re
import select
import socket
from collections.abc import Callable

import aiohttp
import multidict

from oleanderbay.gateway import aiohttp_internals, workers
from oleanderbay.process import clock as clocks

END = b"\r\n\r\n"
# Answers whose end does not follow from a length or from chunks.
UNFRAMED = (204, 304)
# A stated idle time above this is not relied on: devices on the path drop
# idle connections without a sign.
LONGEST_IDLE_MS = 30_000
TIMEOUT = re.compile(r"timeout\s*=\s*\"?([0-9]{1,9})\"?", re.ASCII)
NONE_LEFT = re.compile(r"max\s*=\s*\"?0+\"?", re.ASCII)


class Link(aiohttp_internals.ClientProtocol):
    """A connection, judged by the framing of the answers on it.

    An answer without a length ends with its connection; the library takes a
    reset for such an end as well. The library also drops an answer that comes
    together with bytes that are none, so it gets the head by itself, and what
    happens after a complete answer does not change the answer.

    Attributes:
        worker: The worker that it leads to; None before it is known.
        reused: Whether it has carried an answer before.
        heard: Whether a byte of the current answer has come.
        answered_ms: Monotonic time of the last byte of the last answer.
        stated_idle_ms: How long the worker keeps it idle; None if not stated.
        left: Called once when the connection ends or gets bytes while idle.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: clocks.Clock
    ) -> None:
        super().__init__(loop)
        self.clock = clock
        self.worker: workers.Worker | None = None
        self.reused = False
        self.heard = False
        self.answered_ms = 0
        self.stated_idle_ms: int | None = None
        self.left: Callable[[Link], None] | None = None
        self._answer: aiohttp.StreamReader | None = None
        # Bytes at the end that may be a part of the end of a head, or of the
        # last chunk.
        self._last = b""
        self._chunked = False
        self._fit = True

    @property
    def fit(self) -> bool:
        """Whether it may carry another request.

        The answer was whole, framed by length or chunks and followed by
        nothing, and the request has been handed to the system as a whole.
        """
        return (
            self._fit
            and self.complete
            and not self.should_close
            and self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() == 0
        )

    @property
    def complete(self) -> bool:
        """Whether the current answer has come to its end."""
        return self._answer is not None and self._answer.is_eof()

    def quiet(self) -> bool:
        """Whether neither a byte nor the end of the connection has come.

        This asks the system, since the event loop may not have read yet.
        """
        if not self.fit:
            return False
        assert self.transport is not None
        found = self.transport.get_extra_info("socket")
        poll = select.poll()
        poll.register(found.fileno(), select.POLLIN)
        return not poll.poll(0)

    def begin(self, silent_ms: int) -> None:
        """Prepares an idle connection for the next request.

        Args:
            silent_ms: The system ends the connection if the worker's system
                does not confirm the request within this time. A new
                connection to a worker that is gone takes as long.
        """
        assert self.transport is not None
        self.left = None
        self.reused, self.heard = True, False
        self.stated_idle_ms = None
        self._answer, self._last, self._chunked = None, b"", False
        self.transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silent_ms
        )

    def data_received(self, data: bytes) -> None:
        """Parses bytes up to the end of the answer."""
        self.heard = True
        while self._answer is None:
            found = (self._last + data).find(END)
            end = found + len(END) - len(self._last)
            if found < 0 or end == len(data):
                break
            self._parse(data[:end])
            self._last, data = b"", data[end:]
        self._last = (self._last + data)[-len(END) :]
        if self._answer is None:
            self._parse(data)
        else:
            self._receive_body(data)
        if self.complete:
            self.answered_ms = self.clock.now_ms()

    def _receive_body(self, data: bytes) -> None:
        """Parses a part of the body and notes bytes beyond its end.

        The parser does not say whether bytes were left over. So the last byte
        that can end the body is parsed by itself: an answer that is complete
        without it is followed by that byte.
        """
        if not self.complete:
            ends = not self._chunked or self._last.endswith(END)
            cut = len(data) - 1 if ends else len(data)
            self._parse(data[:cut])
            data = data[cut:] if ends else b""
            if not self.complete:
                self._parse(data)
                return
            # Chunks that end otherwise were followed by something.
            self._fit = self._fit and ends
        if data:
            self._fit = False
            self._leave()

    def _parse(self, data: bytes) -> None:
        known = len(self)
        super().data_received(data)
        if self._answer is not None or len(self) <= known:
            return
        message, body = self.newest
        # Interim answers come before the one that is meant.
        if message.code < 200:
            self._fit = False
            return
        self._answer = body
        self._chunked = bool(message.chunked)
        headers = message.headers
        framed = self._chunked or len(headers.getall("Content-Length", ())) == 1
        if (
            not framed
            or message.code in UNFRAMED
            or message.version != (1, 1)
            or any(map(NONE_LEFT.fullmatch, _tokens(headers, "Keep-Alive")))
        ):
            self._fit = False
        self.stated_idle_ms = _idle_ms(headers)

    def pause_reading(self) -> None:
        """Stops reading while the answer is read more slowly than it comes.

        The parser then keeps bytes back, and what comes after the end of the
        answer can't be told from it.
        """
        self._fit = False
        super().pause_reading()

    def set_exception(
        self,
        exc: BaseException,
        exc_cause: BaseException = aiohttp_internals.NO_CAUSE,
    ) -> None:
        """Fails the answer, unless all of it is there."""
        self._fit = False
        if not self.complete:
            super().set_exception(exc, exc_cause)
            if self._answer is not None and self._answer.exception() is None:
                self._answer.set_exception(
                    aiohttp.ClientPayloadError("the answer is malformed")
                )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails an answer that is not complete."""
        self._fit = False
        body = self.body
        if exc is not None and body is not None and not body.is_eof():
            body.set_exception(
                aiohttp.ClientPayloadError("the connection was reset")
            )
        super().connection_lost(exc)
        self._leave()

    def _leave(self) -> None:
        left, self.left = self.left, None
        if left is not None:
            left(self)


def _tokens(
    headers: "multidict.MultiMapping[str]", name: str
) -> frozenset[str]:
    """Returns the elements of a header that is a list, in lower case."""
    return frozenset(
        token.strip().lower()
        for value in headers.getall(name, ())
        for token in value.split(",")
        if token.strip()
    )


def _idle_ms(headers: "multidict.MultiMapping[str]") -> int | None:
    """Returns the shortest idle time that a worker states."""
    stated = [
        int(found[1]) * 1_000
        for found in map(TIMEOUT.fullmatch, _tokens(headers, "Keep-Alive"))
        if found
    ]
    return min(*stated, LONGEST_IDLE_MS) if stated else None
