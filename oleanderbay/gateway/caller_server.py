"""HTTP server for callers, with limits on time and size."""

import asyncio
from collections.abc import Callable
from typing import Any

import structlog
from aiohttp import http_exceptions, streams, web

from oleanderbay.connection import aiohttp_internals
from oleanderbay.gateway import pauses, request_head, table
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks
from oleanderbay.request import outcome

# Interval at which connections are checked against the time limits.
CHECK_INTERVAL_MS = 100
# Disables aiohttp's own idle timer. aiohttp reads it once per connection, but
# the limit can change with the configuration.
AIOHTTP_KEEPALIVE_S = 365 * 86_400
# Upper bound for the parser's buffers, which aiohttp reads once per connection.
# The configured limits are lower.
MAX_PARSER_BYTES = 1 << 20
HEAD_END = b"\r\n\r\n"

log = structlog.get_logger()


class CallerServer(aiohttp_internals.Server):
    """An HTTP server that enforces the limits of the current configuration.

    Attributes:
        idle_since_ms: Connections without a request, with the time at which
            they became idle.
        head_since_ms: Connections that received a part of a request head,
            with the time at which the head started.
    """

    def __init__(
        self,
        handler: Any,
        limits: Callable[[], table.Limits],
        clock: clocks.Clock,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        super().__init__(
            handler,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=AIOHTTP_KEEPALIVE_S,
            lingering_time=aiohttp_internals.LINGER_S,
            max_line_size=MAX_PARSER_BYTES,
            max_field_size=MAX_PARSER_BYTES,
            max_headers=MAX_PARSER_BYTES // len(HEAD_END),
            auto_decompress=False,
        )
        self.limits = limits
        self.clock = clock
        self.telemetry = telemetry
        # Both are ordered by time, so that a check visits only expired entries.
        self.idle_since_ms: dict[CallerConnection, int] = {}
        self.head_since_ms: dict[CallerConnection, int] = {}

    def __call__(self) -> "CallerConnection":
        """Creates the protocol of one connection."""
        connection = self.create_protocol(CallerConnection)
        assert isinstance(connection, CallerConnection)
        return connection

    async def close_overdue(self) -> None:
        """Closes connections that exceed a time limit, until cancelled."""
        while True:
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
            limits = self.limits()
            idle = self._expired(self.idle_since_ms, limits.idle_timeout_ms)
            heads = self._expired(self.head_since_ms, limits.header_timeout_ms)
            if not idle and not heads:
                continue
            # Data that the operating system has already received is read in the
            # next iteration of the event loop; callbacks run one iteration
            # later.
            for _ in range(pauses.SETTLE_TURNS):
                await clocks.next_turn()
            for connection, since_ms in idle:
                if (
                    self.idle_since_ms.get(connection) == since_ms
                    and connection.waiting_for_request
                ):
                    connection.force_close()
            for connection, since_ms in heads:
                if (
                    self.head_since_ms.get(connection) == since_ms
                    and connection.waiting_for_request
                ):
                    connection.refuse_head(
                        408, "the request head took too long"
                    )

    def _expired(
        self, since: "dict[CallerConnection, int]", limit_ms: int
    ) -> "list[tuple[CallerConnection, int]]":
        expired = []
        cutoff_ms = self.clock.now_ms() - limit_ms
        for connection, since_ms in since.items():
            if since_ms >= cutoff_ms:
                break
            expired.append((connection, since_ms))
        return expired


class CallerConnection(aiohttp_internals.ServerProtocol):
    """The server side of a caller's connection.

    It tracks where request heads start and end in the received data, to apply
    the time and size limits for heads and idle connections.
    """

    __slots__ = (
        "_body",
        "_chunked",
        "_failed",
        "_head_bytes",
        "_head_started",
        "_last_bytes",
        "_server",
    )

    def __init__(
        self,
        server: CallerServer,
        loop: asyncio.AbstractEventLoop,
        options: dict[str, Any],
    ) -> None:
        super().__init__(server, loop=loop, **options)
        self._server = server
        # The body of the most recent request, and whether it is chunked.
        self._body: streams.StreamReader = streams.EMPTY_PAYLOAD
        self._chunked = False
        # The last bytes received, to detect the start and end of a head.
        self._last_bytes = b""
        self._head_started = False
        self._head_bytes = 0
        self._failed = False

    @property
    def has_partial_head(self) -> bool:
        """Whether a part of a request's head has arrived."""
        return self._head_started

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle timer."""
        super().connection_made(transport)
        self._restart_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stops the timers of the connection."""
        self._server.idle_since_ms.pop(self, None)
        self._server.head_since_ms.pop(self, None)
        super().connection_lost(exc)

    def refuse_head(self, status: int, message: str) -> None:
        """Refuses an incomplete request, after responses to earlier ones."""
        self._server.head_since_ms.pop(self, None)
        self._failed = True
        self.queue_error(status, message)

    def data_received(self, data: bytes) -> None:
        """Passes data to the parser, with each request head separately.

        aiohttp's parser discards complete requests that it receives in the
        same call as malformed bytes.
        """
        while self._body.is_eof():
            last = self._last_bytes[1 - len(HEAD_END) :]
            position = (last + data).find(HEAD_END)
            end = position + len(HEAD_END) - len(last)
            if position < 0 or end <= 0 or end == len(data):
                break
            self._process(data[:end])
            data = data[end:]
        self._process(data)

    def _process(self, data: bytes) -> None:
        """Parses data and detects whether another request head has started."""
        if self._failed or self.closing:
            return
        body_open_before = not self._body.is_eof()
        size_before = self._body.total_bytes if body_open_before else 0
        count = self.parsed_count
        super().data_received(data)
        if self.parsed_count != count:
            message, body = self.last_parsed
            if isinstance(message, str):
                self._failed = True
                self._server.idle_since_ms.pop(self, None)
                self._server.head_since_ms.pop(self, None)
                # The parser does not wake up the reader of a malformed body.
                # Marking the end keeps aiohttp from reading the rest of the
                # body after the refusal.
                if not self._body.is_eof():
                    self._body.set_exception(web.RequestPayloadError(message))
                    self._body.feed_eof()
                return
            self._body, self._chunked = body, bool(message.chunked)
            self._head_started, size_before, body_open_before = False, 0, True
            self._server.idle_since_ms.pop(self, None)
            self._server.head_since_ms.pop(self, None)
        if not data:
            return
        if not body_open_before:
            self._process_head(data)
        elif self._body.is_eof():
            body_bytes = (
                0 if self._chunked else self._body.total_bytes - size_before
            )
            data_before_body = data[: len(data) - body_bytes]
            self._head_started = bool(data_before_body) and not (
                self._last_bytes + data_before_body
            ).endswith(HEAD_END)
            self._head_bytes = 0
            if self.parsed_count == count and not self.handling_request:
                self._restart_timer()
        self._last_bytes = (self._last_bytes + data)[-len(HEAD_END) :]

    def _process_head(self, data: bytes) -> None:
        # Empty lines are allowed between requests.
        if not self._head_started and not data.strip(b"\r\n"):
            return
        # While the queue is full, the parser also holds back complete requests.
        if self.parsing_paused:
            return
        self._head_bytes += len(data)
        if not self._head_started:
            self._head_started = True
            if self._server.idle_since_ms.pop(self, None) is not None:
                self._restart_timer()
        if self._head_bytes > self._server.limits().max_header_bytes:
            self.refuse_head(431, "the headers are too large")

    def _restart_timer(self) -> None:
        """Restarts the idle timer, or the timer for an incomplete head."""
        server = self._server
        server.idle_since_ms.pop(self, None)
        server.head_since_ms.pop(self, None)
        since = (
            server.head_since_ms if self._head_started else server.idle_since_ms
        )
        since[self] = server.clock.now_ms()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Ends a response, then restarts the timer or lingers."""
        result = await super().finish_response(request, resp, start_time)
        if not self._body.is_eof() or (
            self.has_queued_requests and resp.keep_alive
        ):
            return result
        if resp.keep_alive and not self._failed:
            self._restart_timer()
        elif not result[1]:
            await self.linger()
        return result

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Responds to a request after an error in the parser or a handler."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        if status >= 500:
            log.error("request handler failed", exc_info=exc)
            refusal = outcome.Refusal(
                reason=outcome.Reason.UPSTREAM_FAILED,
                outcome=outcome.Outcome.UNKNOWN,
                message="internal fault",
                status=500,
            )
        elif isinstance(exc, http_exceptions.LineTooLong):
            refusal = request_head.bad_request("the headers are too large", 431)
        elif status == 400:
            refusal = request_head.bad_request(
                f"the HTTP request is malformed: {type(exc).__name__}"
            )
        else:
            refusal = request_head.bad_request(message or "", status)
        self._server.telemetry.count_refusal(refusal)
        response = request_head.refusal_response(refusal)
        response.force_close()
        return response
