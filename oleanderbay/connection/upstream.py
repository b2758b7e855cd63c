"""HTTP connections to upstreams and how far a request got on them."""

import dataclasses
import socket
from collections.abc import AsyncIterable, Mapping
from types import SimpleNamespace
from typing import Any

import aiohttp
import multidict
import yarl

from oleanderbay.connection import permissions
from oleanderbay.process import clock as clocks
from oleanderbay.process import settings as settings_module
from oleanderbay.process import watch

READ_BUFFER_BYTES = 16_384
# Bounds the memory for upstreams that are gone; an upstream that is forgotten
# gets one new connection.
MAX_NAMING_UPSTREAMS = 16_384


class UpstreamError(Exception):
    """An upstream gave no usable answer.

    Attributes:
        sent: Whether any byte of the request may have reached it.
        stalled: Whether the connection carried nothing for too long.
        expired: Whether the permission to send the request ran out first.
    """

    def __init__(
        self,
        message: str,
        sent: bool,
        stalled: bool = False,
        expired: bool = False,
    ) -> None:
        super().__init__(message)
        self.sent = sent
        self.stalled = stalled
        self.expired = expired


class _ResentError(Exception):
    """The HTTP library tried to send a request a second time."""


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one request got.

    Attributes:
        sent: Whether any byte of the request may have left this process.
        reused: Whether it went over a connection used before.
    """

    sent: bool = False
    reused: bool = False


class Exchange:
    """A request whose answer has begun.

    Attributes:
        status: HTTP status.
        headers: Headers of the answer.
        progress: How far the request got.
        reading_since_ms: When the present read began; None between reads.
        awaiting_since_ms: Since when the next event of a stream is awaited;
            None for other bodies. The limit then counts from this time, so
            that bytes that complete no event do not extend it.
        limit_ms: How long one read may take.
        stalled: Whether the exchange was aborted for taking too long.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        progress: Progress,
        clock: clocks.Clock,
    ) -> None:
        self.response = response
        self.status = response.status
        self.headers = response.headers
        self.progress = progress
        self.clock = clock
        self.reading_since_ms: int | None = None
        self.awaiting_since_ms: int | None = None
        self.limit_ms = 0
        self.stalled = False

    @property
    def framed(self) -> bool:
        """Whether the end of the body can be told from a lost connection."""
        return (
            self.response.method == "HEAD"
            or self.status in (204, 304)
            or "Content-Length" in self.headers
            or "chunked" in self.headers.get("Transfer-Encoding", "").lower()
        )

    async def read_some(self) -> bytes:
        """Returns the next bytes of the body; empty at its proper end.

        Raises:
            UpstreamError: The body was cut off or stalled.
        """
        self.reading_since_ms = self.clock.now_ms()
        try:
            return await self.response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            reason = "stalled" if self.stalled else "was cut off"
            raise UpstreamError(
                f"the answer {reason}", True, self.stalled
            ) from error
        finally:
            self.reading_since_ms = None

    async def read_all(self, max_bytes: int) -> bytes:
        """Returns the rest of the body.

        Raises:
            UpstreamError: It was cut off, stalled or is too large.
        """
        parts, size = [], 0
        while part := await self.read_some():
            size += len(part)
            if size > max_bytes:
                raise UpstreamError("the answer is too large", True)
            parts.append(part)
        return b"".join(parts)

    async def read_rest(self) -> None:
        """Reads to the end of a body that has nothing more to say.

        Only what has already arrived is read: the connection is reused if
        that is the whole body and closed if not.
        """
        content = self.response.content
        content.read_nowait()
        if content.at_eof():
            self.release()

    def abort(self) -> None:
        """Closes the connection, which cancels the work at the upstream."""
        self.response.close()

    def check(self, now_ms: int) -> None:
        """Aborts the exchange if its present read takes too long."""
        if self.reading_since_ms is None:
            return
        since_ms = self.awaiting_since_ms
        if since_ms is None:
            since_ms = self.reading_since_ms
        if now_ms - since_ms > self.limit_ms:
            self.expire()

    def expire(self) -> None:
        """Aborts an exchange that took too long."""
        self.stalled = True
        connection = self.response.connection
        # A reader that waits is woken only by an error on the stream.
        if connection is not None and connection.protocol is not None:
            self.response.content.set_exception(
                aiohttp.ServerTimeoutError("no data in time")
            )
        self.abort()

    def release(self) -> None:
        """Gives the connection back for reuse if the body was read."""
        self.response.release()


class UpstreamClient:
    """The client sessions to all upstreams of this entry.

    Calls that must not run twice always get a new connection: one that has
    been idle may be dead without either end knowing, and its request could
    not be sent again. So do all calls to an upstream whose answers do not name
    their requests: nothing else tells a late answer to an earlier request from
    the right one.
    """

    def __init__(
        self,
        config: settings_module.UpstreamSettings,
        clock: clocks.Clock,
        deadlines: watch.Watch,
    ) -> None:
        self.config = config
        self.clock = clock
        self.deadlines = deadlines
        # Addresses of upstreams whose last answer named its request.
        self._naming: set[str] = set()
        self.pooled: aiohttp.ClientSession | None = None
        self.single: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the sessions."""
        self.pooled = self._session(
            permissions.CheckedConnector(
                limit=0,
                keepalive_timeout=self.config.idle_ms / 1000,
                socket_factory=self._socket,
            )
        )
        self.single = self._session(
            permissions.CheckedConnector(
                limit=0, force_close=True, socket_factory=self._socket
            )
        )

    async def close(self) -> None:
        """Closes all connections."""
        for session in (self.pooled, self.single):
            if session is not None:
                await session.close()

    async def open(
        self,
        address: str,
        method: str,
        path: str,
        headers: Mapping[str, str] | multidict.CIMultiDict[str],
        body: bytes | AsyncIterable[bytes] | None,
        *,
        new_connection: bool,
        timeout_ms: int,
    ) -> Exchange:
        """Sends a request once and waits for the headers of the answer.

        Args:
            address: `host:port`.
            method: HTTP method.
            path: Path and query, already encoded.
            headers: Headers to send.
            body: The body; an iterable is sent in chunks.
            new_connection: Whether a connection used before won't do.
            timeout_ms: Time to the headers of the answer.

        Raises:
            UpstreamError: With whether any byte may have left.
        """
        new_connection = new_connection or address not in self._naming
        session = self.single if new_connection else self.pooled
        assert session is not None
        progress = Progress()
        url = yarl.URL(f"http://{address}{path}", encoded=True)
        try:
            # In this task and not in one of its own: if the caller leaves at
            # the moment when the answer begins, nobody would close it.
            with self.deadlines.until(self.clock.now_ms() + timeout_ms):
                response = await session.request(
                    method,
                    url,
                    headers=headers,
                    data=body,
                    allow_redirects=False,
                    trace_request_ctx=progress,
                )
        except TimeoutError as error:
            raise UpstreamError(
                "no answer in time", progress.sent, progress.sent
            ) from error
        except permissions.PermissionExpiredError as error:
            raise UpstreamError(
                "the permission to send ran out", False, expired=True
            ) from error
        except (aiohttp.ClientError, OSError, _ResentError) as error:
            raise UpstreamError(
                f"the connection failed: {type(error).__name__}",
                progress.sent,
            ) from error
        return Exchange(response, progress, self.clock)

    def record_naming(self, address: str, names_request: bool) -> None:
        """Records whether an answer of an upstream named its request."""
        if not names_request:
            self._naming.discard(address)
            return
        if len(self._naming) >= MAX_NAMING_UPSTREAMS:
            self._naming.clear()
        self._naming.add(address)

    def _session(self, connector: aiohttp.TCPConnector) -> Any:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_on_sent)
        trace.on_connection_reuseconn.append(_on_reused)
        return aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            raise_for_status=False,
            trust_env=False,
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
            trace_configs=[trace],
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=self.config.connect_timeout_ms / 1000,
            ),
        )

    def _socket(self, address: Any) -> socket.socket:
        """Makes a socket whose kernel notices a dead connection."""
        family, kind, protocol, _, _ = address
        made = socket.socket(family, kind, protocol)
        made.setblocking(False)
        probe_s = max(1, self.config.keepalive_ms // 1000)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe_s)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_s)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
        made.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            4 * self.config.keepalive_ms,
        )
        return made


async def _on_sent(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    # Called before the first byte is written. The library sends a request
    # with an idempotent method again when a reused connection turns out to
    # be closed; whether to try again is decided by the retry budget alone.
    progress: Progress = context.trace_request_ctx
    if progress.sent:
        raise _ResentError
    progress.sent = True


async def _on_reused(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    params: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    context.trace_request_ctx.reused = True
