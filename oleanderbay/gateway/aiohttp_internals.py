"""All uses of names that aiohttp does not document.

They hold for aiohttp 3.14.5. The test of this module names each one that a
later version no longer has.
"""

from collections.abc import Callable
from typing import Any

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

NO_CAUSE = helpers._EXC_SENTINEL
# Names that the classes below use, by the class that has them.
USED = {
    client_proto.ResponseHandler: ("_buffer", "_payload", "should_close"),
    aiohttp.TCPConnector: (
        "_acquired",
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


class ClientProtocol(client_proto.ResponseHandler):
    """The client's side of one connection."""

    @property
    def newest(self) -> tuple[Any, streams.StreamReader]:
        """The last head that was parsed and is not read yet, and its body."""
        message, body = self._buffer[-1][0]
        return message, body

    @property
    def body(self) -> streams.StreamReader | None:
        """The body that is being received."""
        return self._payload


class Connector(aiohttp.TCPConnector):
    """Leaves connections open after an answer; their user closes them.

    A connection that the library itself judges unfit is closed at once.
    """

    def __init__(
        self, protocol: Callable[[], ClientProtocol], reuse: bool
    ) -> None:
        super().__init__(limit=0, force_close=not reuse)
        self._factory = protocol  # type: ignore[assignment]

    def adopt(
        self, request: aiohttp.ClientRequest, protocol: ClientProtocol
    ) -> connector.Connection:
        """Returns an open connection for one more request."""
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


def turn_off_repeats(session: aiohttp.ClientSession) -> None:
    """Keeps a session from sending requests again by itself.

    It repeats GET, PUT and DELETE when a connection breaks. Such a repeat
    would be in no budget, and a route may forbid it.
    """
    session._retry_connection = False


def url(address: str, target: str) -> yarl.URL:
    """Returns the URL whose path and query are sent exactly as given."""
    made = yarl.URL(f"http://{address}{target}", encoded=True)
    if target.endswith("?") and made.raw_path_qs != target:
        # The URL type drops a question mark without a query.
        made._cache["raw_path_qs"] = target
    return made


class Server(web.Server):
    """Makes the server's side of connections."""

    def make(
        self, protocol: "Callable[..., ServerProtocol]"
    ) -> "ServerProtocol":
        """Makes the protocol of one connection.

        Args:
            protocol: Makes it from this server, the event loop and the
                library's options.
        """
        return protocol(self, self._loop, self._kwargs)


class ServerProtocol(web.RequestHandler):
    """The server's side of one connection."""

    __slots__ = ()

    @property
    def waits(self) -> bool:
        """Whether no request is queued or being answered."""
        return self._waiter is not None and not self._messages

    @property
    def queued(self) -> bool:
        """Whether a request waits until an earlier one is answered."""
        return bool(self._messages)

    @property
    def answering(self) -> bool:
        """Whether a request is being answered."""
        return bool(self._request_in_progress)

    @property
    def switched(self) -> bool:
        """Whether the parser has stopped at a request to upgrade."""
        return self._upgraded

    @property
    def ending(self) -> bool:
        """Whether the connection ends after the current answer."""
        return self._close or self._force_close

    @property
    def held_back(self) -> bool:
        """Whether the parser keeps requests back while the queue is full."""
        return self._buffer_paused

    @property
    def requests(self) -> int:
        """Number of requests and errors that were parsed."""
        return self._request_count

    @property
    def newest(self) -> tuple[Any, streams.StreamReader]:
        """The last request that was parsed and its body.

        A `str` in place of the request says what was malformed.
        """
        message, body = self._messages[-1]
        if isinstance(message, web_protocol._ErrInfo):
            return message.message, body
        return message, body

    def queue_error(self, status: int, message: str) -> None:
        """Has an error answered after the requests that are queued."""
        error = http_exceptions.HttpProcessingError(
            code=status, message=message
        )
        info = web_protocol._ErrInfo(status=status, exc=error, message=message)
        self._messages.append((info, streams.EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
