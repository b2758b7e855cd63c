"""One attempt of a request at one worker over HTTP."""

import asyncio
import contextlib
import contextvars
import errno
from typing import Any

import aiohttp
import multidict
from aiohttp import connector as connectors

from oleanderbay.gateway import (
    aiohttp_internals,
    connection_pool,
    interfaces,
    settings,
    worker_connection,
    workers,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

READ_BUFFER_BYTES = 65_536
# Time between two reviews of the idle connections.
REVIEW_MS = 100
# A body that fits the receive buffer of an idle connection. A larger one could
# wait for a busy worker to read, which looks like a connection that is gone.
MAX_REUSE_BODY_BYTES = 32_768
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
        unreachable: Whether its system did not confirm the request, which an
            idle connection shows in place of a refused one.
        stale: Whether an idle connection ended as it was used, which says
            nothing about the worker.
    """

    def __init__(
        self,
        message: str,
        sent: bool,
        silent: bool = False,
        *,
        unreachable: bool = False,
        stale: bool = False,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.silent = silent
        self.unreachable = unreachable
        self.stale = stale


# The idle connection that the request being sent has to use.
_IDLE: contextvars.ContextVar[worker_connection.Link | None] = (
    contextvars.ContextVar("idle", default=None)
)


class _Connector(aiohttp_internals.Connector):
    """Opens connections, or uses the idle one that was chosen."""

    def __init__(
        self,
        clock: clocks.Clock,
        telemetry: telemetry_module.Telemetry,
        reuse: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(lambda: worker_connection.Link(loop, clock), reuse)
        self.telemetry = telemetry

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> connectors.Connection:
        """Returns the connection for a request."""
        idle = _IDLE.get()
        if idle is not None:
            self.telemetry.count_connection(reused=True)
            return self.adopt(req, idle)
        opened = await super().connect(req, traces, timeout)
        self.telemetry.count_connection(reused=False)
        return opened


class _Response(aiohttp.ClientResponse):
    """An answer that knows its connection also after its end.

    Attributes:
        tcp_connection: The connection.
    """

    tcp_connection: worker_connection.Link

    async def start(
        self, connection: connectors.Connection
    ) -> aiohttp.ClientResponse:
        """Reads the head of the answer."""
        assert isinstance(connection.protocol, worker_connection.Link)
        self.tcp_connection = connection.protocol
        return await super().start(connection)


class Exchange:
    """A request whose answer has begun.

    Attributes:
        status: HTTP status.
        headers: Headers of the answer.
        reused: Whether the connection has carried an answer before.
    """

    def __init__(self, response: _Response, idle: connection_pool.Pool) -> None:
        self.response = response
        self.idle = idle
        self.reused = response.tcp_connection.reused
        self.ended = False
        self.status = response.status
        self.headers = response.headers

    async def read(self, limit_ms: int) -> bytes:
        """Returns the next bytes of the body; empty at its proper end.

        Raises:
            AttemptError: The body broke off or nothing came in time.
        """
        try:
            async with asyncio.timeout(limit_ms / 1000):
                data = await self.response.content.readany()
        except TimeoutError as error:
            raise AttemptError("the answer stalls", True, True) from error
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptError(f"the answer broke off: {error}", True) from (
                error
            )
        self.ended = not data
        return data

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

    def close(self, keep: bool = False) -> None:
        """Ends the connection, which ends the work at the worker.

        Args:
            keep: Whether the connection is kept if the answer has been read
                to its end and its framing allows it.
        """
        self.response.close()
        if keep and self.ended:
            self.idle.put(self.response.tcp_connection)
        else:
            self.response.tcp_connection.close()


class Sender:
    """Sends requests to workers, on new and on idle connections.

    Attributes:
        config: Times and bounds of connections.
        idle: The idle connections.
    """

    def __init__(
        self,
        config: settings.WorkerSettings,
        clock: clocks.Clock,
        idle: connection_pool.Pool,
        telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED,
    ) -> None:
        self.config = config
        self.clock = clock
        self.idle = idle
        self.telemetry = telemetry
        self._session: aiohttp.ClientSession | None = None
        self._reviews: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the session; needs a running event loop."""
        self._session = aiohttp.ClientSession(
            connector=_Connector(self.clock, self.telemetry, self.idle.on),
            response_class=_Response,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self.config.connect_timeout_ms / 1000
            ),
        )
        aiohttp_internals.turn_off_repeats(self._session)
        if self.idle.on:
            self._reviews = asyncio.create_task(self._review())

    async def close(self) -> None:
        """Closes all connections."""
        if self._reviews is not None:
            self._reviews.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._reviews
        self.idle.close()
        if self._session is not None:
            await self._session.close()

    async def open(
        self,
        worker: workers.Worker,
        call: interfaces.CallerRequest,
        headers: multidict.CIMultiDict[str],
        limit_ms: int,
        reuse: bool = False,
    ) -> Exchange:
        """Sends a request and waits for the head of its answer.

        Args:
            worker: Where it is sent.
            call: The request.
            headers: Its headers.
            limit_ms: Time for the head of the answer.
            reuse: Whether an idle connection may be used. The worker may close
                it as the request arrives, and then it is not known whether the
                request ran.

        Raises:
            AttemptError: There was none.
        """
        reuse = reuse and len(call.body or b"") <= MAX_REUSE_BODY_BYTES
        idle = self.idle.take(worker) if reuse else None
        token = _IDLE.set(idle)
        response = None
        try:
            response = await self._send(worker, call, headers, limit_ms)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise _attempt_error(error, idle) from error
        finally:
            _IDLE.reset(token)
            if idle is not None and response is None:
                idle.close()
        response.tcp_connection.worker = worker
        return Exchange(response, self.idle)

    async def _send(
        self,
        worker: workers.Worker,
        call: interfaces.CallerRequest,
        headers: multidict.CIMultiDict[str],
        limit_ms: int,
    ) -> _Response:
        assert self._session is not None
        options: dict[str, Any] = {}
        if call.body is not None:
            options["data"] = call.body
        async with asyncio.timeout(limit_ms / 1000):
            response = await self._session.request(
                call.method,
                aiohttp_internals.url(worker.address, call.target),
                headers=headers,
                allow_redirects=False,
                **options,
            )
        assert isinstance(response, _Response)
        return response

    async def _review(self) -> None:
        while True:
            await self.clock.sleep_ms(REVIEW_MS)
            self.idle.review()


def _attempt_error(
    error: Exception, idle: worker_connection.Link | None
) -> AttemptError:
    """Returns what an error of the library says about an attempt."""
    if isinstance(
        error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
    ):
        return AttemptError(f"no connection: {error}", False)
    unanswered = idle is not None and not idle.heard
    unreachable = unanswered and getattr(error, "errno", 0) == errno.ETIMEDOUT
    if unreachable or isinstance(error, TimeoutError):
        return AttemptError(
            "no answer in time", True, True, unreachable=unreachable
        )
    return AttemptError(
        f"no answer: {type(error).__name__}: {error}", True, stale=unanswered
    )
