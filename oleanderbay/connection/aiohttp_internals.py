"""Wrappers around undocumented names of aiohttp and yarl.

All uses of such names are in this module. They were written for aiohttp
3.14.5; the tests of this module report names that a later version removes.
"""

import asyncio
import contextlib
import functools
import socket
from collections.abc import Awaitable, Callable
from typing import Any, cast

import aiohttp
import yarl
from aiohttp import (
    client_proto,
    connector,
    helpers,
    http_exceptions,
    streams,
    web,
    web_protocol,
)

from oleanderbay.connection import permissions, sockets

# How long a connection stays open after its last response has been delivered,
# so that a peer that is still sending can read it, and how long it waits for a
# peer that reads nothing.
LINGER_S = 2
LINGER_STALL_S = 30
# Default of the `exc_cause` parameter of `set_exception`.
NO_CAUSE = helpers._EXC_SENTINEL
# Undocumented names used below, by the class that defines them.
USED_NAMES = {
    client_proto.ResponseHandler: (
        "_buffer",
        "_payload",
        "set_response_params",
        "should_close",
    ),
    aiohttp.TCPConnector: (
        "_acquired",
        "_create_connection",
        "_factory",
        "_loop",
        "_release",
        "_release_acquired",
    ),
    aiohttp.ClientSession: ("_retry_connection",),
    yarl.URL: ("_cache",),
    web.Server: ("_kwargs", "_loop"),
    web.RequestHandler: (
        "_buffer_paused",
        "_close",
        "_force_close",
        "_messages",
        "_request_count",
        "_request_in_progress",
        "_upgraded",
        "_waiter",
    ),
}


# Opens a connection to a host and port; raises TimeoutError or OSError.
OpenSocket = Callable[[str, int], Awaitable[socket.socket]]


class ClientProtocol(client_proto.ResponseHandler):
    """The client side of one connection."""

    @property
    def last_parsed(self) -> tuple[Any, streams.StreamReader]:
        """The most recently parsed unread message head, and its body."""
        message, body = self._buffer[-1][0]
        return message, body

    @property
    def body(self) -> streams.StreamReader | None:
        """The body that is being received, if any."""
        return self._payload


class LimitedProtocol(ClientProtocol):
    """Ends a connection on which an answer takes too many bytes.

    The parser accepts interim responses, empty lines, sizes and extensions of
    chunks without end, which are part of no body.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_answer_bytes: int
    ) -> None:
        super().__init__(loop)
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0

    def set_response_params(self, **params: Any) -> None:
        """Prepares the connection for the next answer."""
        self._answer_bytes = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parses a part of an answer, unless there were too many."""
        self._answer_bytes += len(data)
        if self._answer_bytes <= self._max_answer_bytes:
            super().data_received(data)
            return
        error = aiohttp.ClientPayloadError("the answer is too large")
        self.set_exception(error)
        if self.body is not None:
            self.body.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def limit_answers(
    limited: aiohttp.TCPConnector, max_answer_bytes: int
) -> aiohttp.TCPConnector:
    """Limits the bytes of each answer, with all that is part of no body.

    Args:
        limited: A connector that has opened no connection yet.
        max_answer_bytes: Bytes that an answer may take on its connection.

    Returns:
        The connector.
    """
    limited._factory = functools.partial(  # type: ignore[assignment]
        LimitedProtocol, limited._loop, max_answer_bytes
    )
    return limited


class SocketConnector(permissions.CheckedConnector):
    """Uses connections that another object opens.

    Attributes:
        open_socket: Opens a connection.
    """

    def __init__(self, open_socket: OpenSocket, force_close: bool) -> None:
        super().__init__(limit=0, force_close=force_close)
        self.open_socket = open_socket

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> client_proto.ResponseHandler:
        host, port = req.url.raw_host, req.port
        assert host is not None and port is not None
        try:
            sock = await self.open_socket(host, port)
        except TimeoutError as error:
            raise aiohttp.ConnectionTimeoutError(
                f"no connection to {host}:{port} in time"
            ) from error
        except OSError as error:
            raise aiohttp.ClientConnectorError(
                req.connection_key, error
            ) from error
        try:
            _, protocol = await self._loop.create_connection(
                self._factory, sock=sock
            )
        except BaseException:
            sock.close()
            raise
        return protocol


class Connector(SocketConnector):
    """Leaves connections open after a response; the user closes them.

    Connections that aiohttp marks to be closed are closed immediately.
    """

    def __init__(
        self,
        protocol: Callable[[], ClientProtocol],
        reuse: bool,
        open_socket: OpenSocket,
    ) -> None:
        super().__init__(open_socket, force_close=not reuse)
        self._factory = protocol  # type: ignore[assignment]

    def attach(
        self, request: aiohttp.ClientRequest, protocol: ClientProtocol
    ) -> connector.Connection:
        """Registers an open connection as in use for another request."""
        self._acquired.add(protocol)
        return connector.Connection(
            self, request.connection_key, protocol, self._loop
        )

    def _release(
        self,
        key: Any,
        protocol: client_proto.ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        if self.force_close or should_close or protocol.should_close:
            super()._release(key, protocol, should_close=True)
        else:
            self._release_acquired(key, protocol)


def disable_retries(session: aiohttp.ClientSession) -> None:
    """Disables the automatic retries of a session.

    aiohttp retries idempotent methods such as GET, PUT and DELETE when a
    connection breaks. Such retries would bypass the retry budget, and a route
    may forbid them.
    """
    session._retry_connection = False


def exact_url(address: str, target: str) -> yarl.URL:
    """Returns a URL whose path and query are sent exactly as given."""
    url = yarl.URL(f"http://{address}{target}", encoded=True)
    if target.endswith("?") and url.raw_path_qs != target:
        # yarl drops a question mark that is followed by an empty query.
        url._cache["raw_path_qs"] = target
    return url


class Server(web.Server):
    """Creates the server side of connections."""

    def create_protocol(
        self, factory: "Callable[..., ServerProtocol]"
    ) -> "ServerProtocol":
        """Creates the protocol of one connection.

        Args:
            factory: Called with this server, the event loop and the options
                of aiohttp's request handler.
        """
        return factory(self, self._loop, self._kwargs)

    @property
    def protocols(self) -> "list[ServerProtocol]":
        """The open connections."""
        return [
            connection
            for connection in self.connections
            if isinstance(connection, ServerProtocol)
        ]

    @property
    def busy_count(self) -> int:
        """Number of connections with a request or an answer under way."""
        return sum(connection.is_busy for connection in self.protocols)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes of responses that no socket has taken yet."""
        return sum(connection.unsent_bytes for connection in self.protocols)

    def is_busy(self) -> bool:
        """Whether any connection has a request or an answer under way."""
        return any(connection.is_busy for connection in self.protocols)

    def has_request(self) -> bool:
        """Whether any connection has a request without an answer."""
        return any(connection.has_request for connection in self.protocols)

    def awaits_first_request(self) -> bool:
        """Whether any connection has not carried a request yet."""
        return any(
            connection.parsed_count == 0 and not connection.is_closing
            for connection in self.protocols
        )

    def close_if_idle(self) -> bool:
        """Closes all connections unless one is busy; returns whether it did.

        The event loop does not turn between the check and the close, so no
        request is read in between.
        """
        if self.is_busy():
            return False
        for connection in self.protocols:
            connection.force_close()
        return True


class ServerProtocol(web.RequestHandler):
    """The server side of one connection."""

    __slots__ = ("_linger", "_output")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts serving."""
        # aiohttp forgets the transport when it closes the connection, while
        # the transport still sends what is in its write buffer.
        self._output = cast(asyncio.Transport, transport)
        self._linger: asyncio.Future[None] | None = None
        super().connection_made(transport)

    async def linger(self) -> None:
        """Ends the output, and discards input until the peer has received it.

        Closing a socket with unread input resets the connection, and so does
        input that comes after the close. A reset discards what the peer has
        not received. This task is cancelled if the peer closes the connection.
        """
        if self._output.is_closing() or not self._output.can_write_eof():
            return
        loop = asyncio.get_running_loop()
        self.close()
        self._output.write_eof()
        self._linger = loop.create_future()
        left_bytes = self._undelivered_bytes
        stalled_s = loop.time() + LINGER_STALL_S
        while not self._linger.done():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LINGER_S):
                    await self._linger
            previous_bytes, left_bytes = left_bytes, self._undelivered_bytes
            if left_bytes < previous_bytes:
                stalled_s = loop.time() + LINGER_STALL_S
            if not left_bytes or loop.time() >= stalled_s:
                return

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Closes the connection after its requests in progress."""
        if self._linger is not None and not self._linger.done():
            self._linger.set_result(None)
        await super().shutdown(timeout)

    @property
    def _undelivered_bytes(self) -> int:
        """Number of bytes of responses that the peer has not acknowledged."""
        if self._output.is_closing():
            return self.unsent_bytes
        return self.unsent_bytes + sockets.count_unacknowledged(
            self._output.get_extra_info("socket")
        )

    @property
    def waiting_for_request(self) -> bool:
        """Whether no request is queued or being handled."""
        return self._waiter is not None and not self._messages

    @property
    def has_queued_requests(self) -> bool:
        """Whether requests wait for the response to an earlier one."""
        return bool(self._messages)

    @property
    def handling_request(self) -> bool:
        """Whether a request is being handled."""
        return bool(self._request_in_progress) and self._linger is None

    @property
    def has_partial_head(self) -> bool:
        """Whether a part of a request's head has arrived."""
        raise NotImplementedError

    @property
    def has_request(self) -> bool:
        """Whether a request has begun to arrive or is being handled."""
        # A request that aiohttp has taken from its queue is handled from the
        # next turn of the event loop on; until then, nothing waits for one.
        return self.handling_request or (
            not self._output.is_closing()
            and self._linger is None
            and (
                not self.waiting_for_request
                or self.has_partial_head
                or sockets.has_input(self._output.get_extra_info("socket"))
            )
        )

    @property
    def is_busy(self) -> bool:
        """Whether there is a request, or an answer that is under way.

        A handler returns while up to 64 KB of its answer are in the write
        buffer of the connection, which is lost when the process ends. Bytes
        that come after a close reset the connection, which discards the part
        of an answer that its caller has not received yet.
        """
        return self.has_request or self._undelivered_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes of responses that the socket has not taken yet."""
        return self._output.get_write_buffer_size()

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or being closed."""
        return self._output.is_closing()

    @property
    def upgraded(self) -> bool:
        """Whether the parser has stopped at an upgrade request."""
        return self._upgraded

    @property
    def closing(self) -> bool:
        """Whether the connection will be closed after the current response."""
        return self._close or self._force_close

    @property
    def parsing_paused(self) -> bool:
        """Whether the parser holds requests back because the queue is full."""
        return self._buffer_paused

    @property
    def parsed_count(self) -> int:
        """Number of requests and parse errors so far."""
        return self._request_count

    @property
    def last_parsed(self) -> tuple[Any, streams.StreamReader]:
        """The most recently parsed request and its body.

        After a parse error, the request is replaced by the error message.
        """
        message, body = self._messages[-1]
        if isinstance(message, web_protocol._ErrInfo):
            return message.message, body
        return message, body

    def queue_error(self, status: int, message: str) -> None:
        """Queues an error response after the pending requests."""
        error = http_exceptions.HttpProcessingError(
            code=status, message=message
        )
        info = web_protocol._ErrInfo(status=status, exc=error, message=message)
        self._messages.append((info, streams.EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
