"""All uses of names that aiohttp does not document.

They hold for aiohttp 3.14.5. The test of this module names each one that a
later version no longer has.
"""

from collections.abc import Callable
from typing import Any

import aiohttp
import yarl
from aiohttp import client_proto, connector, helpers, streams

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
