"""One attempt of a request at one worker over HTTP."""

import asyncio
import functools
from typing import Any

import aiohttp
import multidict
import yarl
from aiohttp import client_proto, helpers, streams

from oleanderbay.gateway import interfaces, workers

READ_BUFFER_BYTES = 65_536
END = b"\r\n\r\n"
NO_CAUSE = helpers._EXC_SENTINEL
SKIPPED_HEADERS = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "Host",
)


class AttemptError(Exception):
    """A worker gave no usable answer.

    Attributes:
        sent: Whether any byte of the request may have reached it.
        silent: Whether it did not answer in time.
    """

    def __init__(self, message: str, sent: bool, silent: bool = False) -> None:
        super().__init__(message)
        self.sent = sent
        self.silent = silent


class _Connection(client_proto.ResponseHandler):
    """A connection for one answer, judged by the answer's own framing.

    An answer without a length ends with its connection; the library takes a
    reset for such an end as well. The library also drops an answer that comes
    together with bytes that are none, so it gets the head by itself, and what
    happens after a complete answer is ignored.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._answer: streams.StreamReader | None = None
        # Bytes at the end that may be a part of the end of a head.
        self._last = b""

    def data_received(self, data: bytes) -> None:
        """Parses bytes up to the end of the answer."""
        while self._answer is None:
            found = (self._last + data).find(END)
            end = found + len(END) - len(self._last)
            if found < 0 or end == len(data):
                break
            self._parse(data[:end])
            self._last, data = b"", data[end:]
        self._last = (self._last + data)[1 - len(END) :]
        if not self._complete():
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        known = len(self)
        super().data_received(data)
        if self._answer is None and len(self) > known:
            message, payload = self._buffer[-1][0]
            # Interim answers come before the one that is meant.
            if message.code >= 200:
                self._answer = payload

    def _complete(self) -> bool:
        return self._answer is not None and self._answer.is_eof()

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException = NO_CAUSE
    ) -> None:
        """Fails the answer, unless all of it is there."""
        if not self._complete():
            super().set_exception(exc, exc_cause)
            if self._answer is not None and self._answer.exception() is None:
                self._answer.set_exception(
                    aiohttp.ClientPayloadError("the answer is malformed")
                )

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("the connection was reset")
            )
        super().connection_lost(exc)


class Exchange:
    """A request whose answer has begun.

    Attributes:
        status: HTTP status.
        headers: Headers of the answer.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.response = response
        self.status = response.status
        self.headers = response.headers

    async def read(self, limit_ms: int) -> bytes:
        """Returns the next bytes of the body; empty at its proper end.

        Raises:
            AttemptError: The body broke off or nothing came in time.
        """
        try:
            async with asyncio.timeout(limit_ms / 1000):
                return await self.response.content.readany()
        except TimeoutError as error:
            raise AttemptError("the answer stalls", True, True) from error
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptError(f"the answer broke off: {error}", True) from (
                error
            )

    async def whole(self, limit_ms: int, max_bytes: int) -> bytes:
        """Returns the whole body.

        Raises:
            AttemptError: The body broke off, stalled or is too large.
        """
        parts, size = [], 0
        while part := await self.read(limit_ms):
            size += len(part)
            if size > max_bytes:
                raise AttemptError("the answer is too large", True)
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Ends the connection, which ends the work at the worker."""
        self.response.close()


class Sender:
    """Opens connections to workers, one for each attempt.

    Attributes:
        connect_timeout_ms: Time to establish a connection.
    """

    def __init__(self, connect_timeout_ms: int) -> None:
        self.connect_timeout_ms = connect_timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the session; needs a running event loop."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        connector._factory = functools.partial(  # type: ignore[assignment]
            _Connection, loop=asyncio.get_running_loop()
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self.connect_timeout_ms / 1000
            ),
        )
        # The library repeats GET, PUT and DELETE when a connection breaks. Such
        # a repeat would be in no budget, and a route may forbid it.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def open(
        self,
        worker: workers.Worker,
        call: interfaces.Call,
        headers: multidict.CIMultiDict[str],
        limit_ms: int,
    ) -> Exchange:
        """Sends a request and waits for the head of its answer.

        Raises:
            AttemptError: There was none.
        """
        assert self._session is not None
        url = yarl.URL(f"http://{worker.address}{call.target}", encoded=True)
        if call.target.endswith("?") and url.raw_path_qs != call.target:
            # The URL type drops a question mark without a query.
            url._cache["raw_path_qs"] = call.target
        options: dict[str, Any] = {}
        if call.body is not None:
            options["data"] = call.body
        try:
            async with asyncio.timeout(limit_ms / 1000):
                response = await self._session.request(
                    call.method,
                    url,
                    headers=headers,
                    allow_redirects=False,
                    **options,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise AttemptError(f"no connection: {error}", False) from error
        except TimeoutError as error:
            raise AttemptError("no answer in time", True, True) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise AttemptError(
                f"no answer: {type(error).__name__}: {error}", True
            ) from error
        return Exchange(response)
