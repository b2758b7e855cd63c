"""A connection to a worker, which tracks whether it can be reused."""

import asyncio
import re
import socket
from collections.abc import Callable

import aiohttp
import multidict

from oleanderbay.connection import aiohttp_internals, sockets
from oleanderbay.gateway import workers
from oleanderbay.process import clock as clocks

# Ends the head of a response, and the last chunk of its body.
DOUBLE_CRLF = b"\r\n\r\n"
# Bytes of a response that belong to no body: heads, interim responses and the
# frames of chunks. A small chunk takes several times the size of its data.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_FACTOR = 16
# Statuses without a body, whose end does not depend on a length or on chunks.
BODILESS_STATUSES = (204, 304)
# Upper bound for a worker's Keep-Alive timeout: middleboxes on the path may
# silently drop connections that are idle for longer.
MAX_IDLE_MS = 30_000
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*\"?([0-9]{1,9})\"?", re.ASCII)
NO_REQUESTS_LEFT = re.compile(r"max\s*=\s*\"?0+\"?", re.ASCII)


class WorkerConnection(aiohttp_internals.ClientProtocol):
    """A connection that checks the framing of the responses it carries.

    The class works around two properties of aiohttp. A response without a
    length ends when its connection is closed, and aiohttp accepts a reset as
    that end. aiohttp also discards a complete response that it receives
    together with malformed bytes; therefore the head is passed to the parser
    separately, and errors after the end of a response are ignored.

    Attributes:
        worker: The worker at the other end; None until it is known.
        reused: Whether the connection has carried an earlier response.
        received_data: Whether any byte of the current response has arrived.
        framed: Whether the current response has a length or chunks, rather
            than ending with its connection.
        response_end_ms: Monotonic time at which the last response ended.
        advertised_idle_ms: Idle timeout from the worker's Keep-Alive header;
            None if the worker sent none.
        on_unusable: Called once when the connection is closed or receives
            data while it is idle.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: clocks.Clock
    ) -> None:
        super().__init__(loop)
        self.clock = clock
        self.worker: workers.Worker | None = None
        self.reused = False
        self.received_data = False
        self.framed = True
        self.response_end_ms = 0
        self.advertised_idle_ms: int | None = None
        self.on_unusable: Callable[[WorkerConnection], None] | None = None
        self._body: aiohttp.StreamReader | None = None
        self._response_bytes = 0
        # The last bytes received, to find an end of the head or of the last
        # chunk that is split between two reads.
        self._last_bytes = b""
        self._chunked = False
        self._reusable = True

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request.

        This requires that the response was complete, delimited by a length or
        by chunks and not followed by other data, and that the whole request
        has been written to the socket.
        """
        return (
            self._reusable
            and self.response_complete
            and not self.should_close
            and self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() == 0
        )

    @property
    def response_complete(self) -> bool:
        """Whether the current response has been received completely."""
        return self._body is not None and self._body.is_eof()

    def has_no_input(self) -> bool:
        """Whether the reusable connection has no unread data and is not closed.

        Polls the socket, because the event loop may not have processed a read
        event yet.
        """
        if not self.reusable:
            return False
        assert self.transport is not None
        return not sockets.has_input(self.transport.get_extra_info("socket"))

    def prepare_reuse(self, ack_timeout_ms: int) -> None:
        """Prepares an idle connection for the next request.

        Args:
            ack_timeout_ms: The operating system closes the connection if the
                peer does not acknowledge the request within this time. This
                matches the timeout of a new connection to a lost worker.
        """
        assert self.transport is not None
        self.on_unusable = None
        self.reused, self.received_data = True, False
        self.advertised_idle_ms = None
        self._body, self._last_bytes, self._chunked = None, b"", False
        self._response_bytes = 0
        self.transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ack_timeout_ms
        )

    def data_received(self, data: bytes) -> None:
        """Parses a response; bytes after its end make it not reusable."""
        self.received_data = True
        self._response_bytes += len(data)
        while self._body is None:
            position = (self._last_bytes + data).find(DOUBLE_CRLF)
            end = position + len(DOUBLE_CRLF) - len(self._last_bytes)
            if position < 0 or end == len(data):
                break
            self._parse(data[:end])
            self._last_bytes, data = b"", data[end:]
        self._last_bytes = (self._last_bytes + data)[-len(DOUBLE_CRLF) :]
        if self._body is None:
            self._parse(data)
        else:
            self._parse_body(data)
        if self.response_complete:
            self.response_end_ms = self.clock.now_ms()
        elif self._exceeds_framing_limit():
            # The parser accepts such bytes without end.
            self.set_exception(
                aiohttp.ClientPayloadError("the answer is mostly framing")
            )
            if self.transport is not None:
                self.transport.abort()

    def _exceeds_framing_limit(self) -> bool:
        body_bytes = self._body.total_bytes if self._body is not None else 0
        return self._response_bytes > (
            MAX_FRAMING_BYTES + MAX_FRAMING_FACTOR * body_bytes
        )

    def _parse_body(self, data: bytes) -> None:
        """Parses a part of the body and detects bytes after its end.

        The parser does not report surplus bytes. Therefore the last byte is
        parsed separately: if the response is complete without it, that byte
        is surplus.
        """
        if not self.response_complete:
            may_end = not self._chunked or self._last_bytes.endswith(
                DOUBLE_CRLF
            )
            split = len(data) - 1 if may_end else len(data)
            self._parse(data[:split])
            data = data[split:] if may_end else b""
            if not self.response_complete:
                self._parse(data)
                return
            # The last chunk ended before the end of the data, so there were
            # surplus bytes.
            self._reusable = self._reusable and may_end
        if data:
            self._reusable = False
            self._report_unusable()

    def _parse(self, data: bytes) -> None:
        queued_messages = len(self)
        super().data_received(data)
        if self._body is not None or len(self) <= queued_messages:
            return
        message, body = self.last_parsed
        # Skips an interim (1xx) response; the final one follows.
        if message.code < 200:
            self._reusable = False
            return
        self._body = body
        self._chunked = bool(message.chunked)
        headers = message.headers
        self.framed = (
            self._chunked or len(headers.getall("Content-Length", ())) == 1
        )
        if (
            not self.framed
            or message.code in BODILESS_STATUSES
            or message.version != (1, 1)
            or any(
                map(
                    NO_REQUESTS_LEFT.fullmatch,
                    _list_elements(headers, "Keep-Alive"),
                )
            )
        ):
            self._reusable = False
        self.advertised_idle_ms = _advertised_idle_ms(headers)

    def pause_reading(self) -> None:
        """Pauses reading while the consumer of the response is slow.

        The parser then buffers bytes, so surplus bytes after the end of the
        response can no longer be detected.
        """
        self._reusable = False
        super().pause_reading()

    def set_exception(
        self,
        exc: BaseException,
        exc_cause: BaseException = aiohttp_internals.NO_CAUSE,
    ) -> None:
        """Fails the response, unless it is complete."""
        self._reusable = False
        if not self.response_complete:
            super().set_exception(exc, exc_cause)
            if self._body is not None and self._body.exception() is None:
                self._body.set_exception(
                    aiohttp.ClientPayloadError("the answer is malformed")
                )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails a response that is not complete."""
        self._reusable = False
        body = self.body
        if exc is not None and body is not None and not body.is_eof():
            body.set_exception(
                aiohttp.ClientPayloadError("the connection was reset")
            )
        super().connection_lost(exc)
        self._report_unusable()

    def _report_unusable(self) -> None:
        callback, self.on_unusable = self.on_unusable, None
        if callback is not None:
            callback(self)


def _list_elements(
    headers: "multidict.MultiMapping[str]", name: str
) -> frozenset[str]:
    """Returns the elements of a comma-separated header, in lower case."""
    return frozenset(
        token.strip().lower()
        for value in headers.getall(name, ())
        for token in value.split(",")
        if token.strip()
    )


def _advertised_idle_ms(headers: "multidict.MultiMapping[str]") -> int | None:
    """Returns the shortest Keep-Alive timeout in the headers, if any."""
    timeouts_ms = [
        int(match[1]) * 1_000
        for match in map(
            KEEP_ALIVE_TIMEOUT.fullmatch, _list_elements(headers, "Keep-Alive")
        )
        if match
    ]
    return min(*timeouts_ms, MAX_IDLE_MS) if timeouts_ms else None
