"""HTTP client that sends requests to workers."""

import asyncio
import contextlib
import contextvars
import errno
from typing import Any

import aiohttp
import multidict
from aiohttp import connector as connectors

from oleanderbay.connection import aiohttp_internals, permissions
from oleanderbay.gateway import (
    connection_pool,
    dialing,
    interfaces,
    pauses,
    recent_ids,
    settings,
    worker_connection,
    workers,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

READ_BUFFER_BYTES = 65_536
# Interval at which expired idle connections are closed.
EXPIRY_INTERVAL_MS = 100
# Largest body that is sent on an idle connection; it fits into the receive
# buffer. A larger one could remain unacknowledged until a busy worker reads,
# which looks like a lost connection.
MAX_REUSE_BODY_BYTES = 32_768
# Number of requests within which a repeated id is noticed.
RECENT_IDS = 2_048
# Headers that aiohttp must not add to a request by itself.
SKIPPED_AUTO_HEADERS = (
    "User-Agent",
    "Accept",
    "Accept-Encoding",
    "Content-Type",
    "Host",
)


class AttemptError(Exception):
    """A worker sent no usable response.

    Attributes:
        may_have_arrived: Whether any byte of the request may have reached the
            worker.
        timed_out: Whether the worker did not respond in time.
        unreachable: Whether the worker's operating system did not acknowledge
            the request. On an idle connection this corresponds to a failed
            connection attempt.
        stale_connection: Whether an idle connection was closed while it was
            being reused, which does not indicate a faulty worker.
        broken_off: Whether the worker ended the connection before the
            response was complete.
        expired: Whether the permission to send the request ran out first,
            which says nothing about the worker.
        tunnelled: Whether the connection led through another gateway, which
            may have ended it.
    """

    def __init__(
        self,
        message: str,
        may_have_arrived: bool,
        timed_out: bool = False,
        *,
        unreachable: bool = False,
        stale_connection: bool = False,
        broken_off: bool = False,
        expired: bool = False,
        tunnelled: bool = False,
    ) -> None:
        super().__init__(message)
        self.may_have_arrived = may_have_arrived
        self.timed_out = timed_out
        self.unreachable = unreachable
        self.stale_connection = stale_connection
        self.broken_off = broken_off
        self.expired = expired
        self.tunnelled = tunnelled


# The idle connection to use for the request of the current task, if any.
_IDLE_CONNECTION: contextvars.ContextVar[
    worker_connection.WorkerConnection | None
] = contextvars.ContextVar("idle", default=None)


class _Connector(aiohttp_internals.Connector):
    """Opens a connection, unless an idle one was selected for the request."""

    def __init__(
        self,
        clock: clocks.Clock,
        telemetry: telemetry_module.Telemetry,
        reuse: bool,
        open_socket: aiohttp_internals.OpenSocket,
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(
            lambda: worker_connection.WorkerConnection(loop, clock),
            reuse,
            open_socket,
        )
        self.telemetry = telemetry

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> connectors.Connection:
        """Returns the connection to use for a request.

        Raises:
            PermissionExpiredError: The request must no longer be sent.
        """
        idle = _IDLE_CONNECTION.get()
        if idle is not None:
            permissions.check()
            self.telemetry.count_connection(reused=True)
            return self.attach(req, idle)
        opened = await super().connect(req, traces, timeout)
        self.telemetry.count_connection(reused=False)
        return opened


class _Response(aiohttp.ClientResponse):
    """A response that keeps a reference to its connection after its end.

    Attributes:
        tcp_connection: The connection that carries the response.
    """

    tcp_connection: worker_connection.WorkerConnection

    async def start(
        self, connection: connectors.Connection
    ) -> aiohttp.ClientResponse:
        """Reads the head of the response."""
        assert isinstance(
            connection.protocol, worker_connection.WorkerConnection
        )
        self.tcp_connection = connection.protocol
        return await super().start(connection)


class WorkerResponse:
    """A response whose head has been received.

    Attributes:
        status: HTTP status.
        headers: Headers of the response.
        reused: Whether the connection has carried an earlier response.
        framed: Whether it has a length or chunks, rather than ending with its
            connection.
        tunnelled: Whether it comes through another gateway.
    """

    def __init__(
        self,
        response: _Response,
        pool: connection_pool.ConnectionPool,
        tunnelled: bool,
    ) -> None:
        self.response = response
        self.pool = pool
        self.tunnelled = tunnelled
        self.reused = response.tcp_connection.reused
        self.framed = response.tcp_connection.framed
        self.complete = False
        self.status = response.status
        self.headers = response.headers

    async def read(self, limit_ms: int) -> bytes:
        """Returns the next bytes of the body, or b"" after a complete body.

        Raises:
            AttemptError: The body was cut off, or no data arrived in time.
        """
        data = await self.try_read(limit_ms)
        if data is None:
            raise AttemptError("the answer stalls", True, True)
        return data

    async def try_read(self, limit_ms: int) -> bytes | None:
        """Returns the same as `read`, or None if no data arrived in time.

        Raises:
            AttemptError: The body was cut off.
        """
        try:
            async with asyncio.timeout(limit_ms / 1000):
                data = await self.response.content.readany()
        except TimeoutError:
            # If this process was delayed, the timer fires before the task sees
            # what has arrived.
            data = self.read_arrived()
            if not data and not self.ended:
                return None
        except (aiohttp.ClientError, OSError) as error:
            raise self._broken_off(error) from error
        if not data and self.tunnelled and not self.framed:
            # The other gateway may have ended in place of the worker.
            raise AttemptError(
                "the end of the answer can't be told", True, tunnelled=True
            )
        self.complete = not data
        return data

    def read_arrived(self) -> bytes:
        """Returns what has arrived of the body, without waiting.

        Raises:
            AttemptError: The body was cut off.
        """
        try:
            return self.response.content.read_nowait()
        except (aiohttp.ClientError, OSError) as error:
            raise self._broken_off(error) from error

    @property
    def ended(self) -> bool:
        """Whether the whole body has been received and read."""
        return self.response.content.at_eof()

    def _broken_off(self, error: Exception) -> AttemptError:
        return AttemptError(
            f"the answer broke off: {error}",
            True,
            broken_off=not self.tunnelled,
            tunnelled=self.tunnelled,
        )

    async def read_all(self, limit_ms: int, max_bytes: int) -> bytes:
        """Returns the complete body.

        Args:
            limit_ms: Time for all of it.
            max_bytes: Largest body that is accepted.

        Raises:
            AttemptError: The body was cut off, took too long or is too large.
        """
        body = bytearray()
        try:
            async with asyncio.timeout(limit_ms / 1000):
                while part := await self.read(limit_ms):
                    body += part
                    if len(body) > max_bytes:
                        raise AttemptError("the answer is too large", True)
        except TimeoutError as error:
            raise AttemptError("the answer stalls", True, True) from error
        return bytes(body)

    def close(self, keep: bool = False) -> None:
        """Closes the connection, which cancels the request at the worker.

        Args:
            keep: Whether to return the connection to the pool instead, if the
                response has been read completely and its framing allows it.
        """
        self.response.close()
        if keep and self.complete and not self.tunnelled:
            self.pool.release(self.response.tcp_connection)
        else:
            self.response.tcp_connection.close()


class WorkerClient:
    """Sends requests to workers over new or pooled connections.

    Attributes:
        config: Timeouts and limits of connections.
        pool: The idle connections.
        dialer: Opens connections.
    """

    def __init__(
        self,
        config: settings.WorkerSettings,
        clock: clocks.Clock,
        pool: connection_pool.ConnectionPool,
        dialer: dialing.Dialer,
        telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED,
    ) -> None:
        self.config = config
        self.clock = clock
        self.pool = pool
        self.dialer = dialer
        self.telemetry = telemetry
        self._recent_ids = recent_ids.RecentIds(RECENT_IDS)
        self._session: aiohttp.ClientSession | None = None
        self._expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Creates the client session; requires a running event loop."""
        self._session = aiohttp.ClientSession(
            connector=_Connector(
                self.clock,
                self.telemetry,
                self.pool.enabled,
                self.dialer.open_socket,
            ),
            response_class=_Response,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
            timeout=aiohttp.ClientTimeout(total=None),
        )
        aiohttp_internals.disable_retries(self._session)
        if self.pool.enabled:
            self._expiry_task = asyncio.create_task(self._close_expired())

    async def close(self) -> None:
        """Closes all connections."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._expiry_task
        self.pool.close()
        if self._session is not None:
            await self._session.close()

    async def send_request(
        self,
        worker: workers.Worker,
        caller_request: interfaces.CallerRequest,
        headers: multidict.CIMultiDict[str],
        limit_ms: int,
        reuse: bool = False,
    ) -> WorkerResponse:
        """Sends a request and waits for the head of the response.

        Args:
            worker: The worker to send the request to.
            caller_request: The request.
            headers: Headers to send.
            limit_ms: Timeout for the head of the response.
            reuse: Whether an idle connection may be used, if the id of the
                request has not been sent recently. The worker may close such a
                connection while the request arrives; then it is unknown
                whether the request was executed.

        Raises:
            AttemptError: The worker sent no usable response head.
        """
        # A late answer to an earlier request on an idle connection can be told
        # by its id only, so a request with the same id needs a new connection.
        is_new = self._recent_ids.add(caller_request.id)
        body_bytes = len(caller_request.body or b"")
        reuse = (
            reuse
            and is_new
            and body_bytes <= MAX_REUSE_BODY_BYTES
            and not self.dialer.paths.is_broken(worker)
        )
        idle = self.pool.acquire(worker) if reuse else None
        token = _IDLE_CONNECTION.set(idle)
        response = None
        target = dialing.Target(worker)
        try:
            with dialing.connecting_to(worker) as target:
                response = await self._send(
                    worker, caller_request, headers, limit_ms
                )
        except permissions.PermissionExpiredError as error:
            raise AttemptError(
                "the permission to send ran out", False, expired=True
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise _attempt_error(error, idle, bool(target.gateway)) from error
        finally:
            _IDLE_CONNECTION.reset(token)
            if idle is not None and response is None:
                idle.close()
        response.tcp_connection.worker = worker
        return WorkerResponse(response, self.pool, bool(target.gateway))

    async def _send(
        self,
        worker: workers.Worker,
        caller_request: interfaces.CallerRequest,
        headers: multidict.CIMultiDict[str],
        limit_ms: int,
    ) -> _Response:
        assert self._session is not None
        options: dict[str, Any] = {}
        if caller_request.body is not None:
            options["data"] = caller_request.body
        async with pauses.settled_timeout(limit_ms):
            response = await self._session.request(
                caller_request.method,
                aiohttp_internals.exact_url(
                    worker.address, caller_request.target
                ),
                headers=headers,
                allow_redirects=False,
                **options,
            )
        assert isinstance(response, _Response)
        return response

    async def _close_expired(self) -> None:
        while True:
            await self.clock.sleep_ms(EXPIRY_INTERVAL_MS)
            self.pool.close_expired()


def _attempt_error(
    error: Exception,
    idle: worker_connection.WorkerConnection | None,
    tunnelled: bool,
) -> AttemptError:
    """Converts an error of aiohttp into an `AttemptError`."""
    if isinstance(
        error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
    ):
        return AttemptError(f"no connection: {error}", False)
    reused_without_data = idle is not None and not idle.received_data
    unreachable = (
        reused_without_data and getattr(error, "errno", 0) == errno.ETIMEDOUT
    )
    if unreachable or isinstance(error, TimeoutError):
        return AttemptError(
            "no answer in time",
            True,
            True,
            unreachable=unreachable,
            tunnelled=tunnelled,
        )
    return AttemptError(
        f"no answer: {type(error).__name__}: {error}",
        True,
        stale_connection=reused_without_data,
        broken_off=not reused_without_data and not tunnelled,
        tunnelled=tunnelled,
    )
