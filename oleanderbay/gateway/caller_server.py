"""Connections of callers and their limits in time and size."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import structlog
from aiohttp import http_exceptions, streams, web

from oleanderbay.gateway import aiohttp_internals, request_head, table
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks
from oleanderbay.request import outcome

SWEEP_MS = 100
# The library's own idle timer, put out of reach: limits change with the
# configuration, and the library reads its timer once for each connection.
NEVER_S = 365 * 86_400
# Bound of the parser's buffers; the limits in force are lower. The parser reads
# its bound once for each connection.
PARSER_BYTES = 1 << 20
# Time in which a caller that still sends can read a refusal.
LINGERING_S = 2
END = b"\r\n\r\n"

log = structlog.get_logger()


class CallerServer(aiohttp_internals.Server):
    """An HTTP server that enforces the limits of the version in force.

    Attributes:
        idle: Connections without a request, with the time since when.
        heads: Connections with a part of a head, with the time of its start.
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
            keepalive_timeout=NEVER_S,
            lingering_time=LINGERING_S,
            max_line_size=PARSER_BYTES,
            max_field_size=PARSER_BYTES,
            max_headers=PARSER_BYTES // len(END),
            auto_decompress=False,
        )
        self.limits = limits
        self.clock = clock
        self.telemetry = telemetry
        # Both are in order of time, so that a sweep reads expired ones only.
        self.idle: dict[CallerConnection, int] = {}
        self.heads: dict[CallerConnection, int] = {}

    def __call__(self) -> "CallerConnection":
        """Makes the protocol of one connection."""
        made = self.create_protocol(CallerConnection)
        assert isinstance(made, CallerConnection)
        return made

    async def sweep(self) -> None:
        """Ends connections that exceed a limit in time, until cancelled."""
        while True:
            await self.clock.sleep_ms(SWEEP_MS)
            limits = self.limits()
            idle = self._expired(self.idle, limits.idle_timeout_ms)
            heads = self._expired(self.heads, limits.header_timeout_ms)
            if not idle and not heads:
                continue
            # Bytes that the system has received by now are read in the next
            # turn of the loop, and their callbacks run one turn later.
            for _ in range(2):
                await clocks.next_turn()
            for connection, since_ms in idle:
                if (
                    self.idle.get(connection) == since_ms
                    and connection.waiting_for_request
                ):
                    connection.force_close()
            for connection, since_ms in heads:
                if (
                    self.heads.get(connection) == since_ms
                    and connection.waiting_for_request
                ):
                    connection.fail(408, "the request head took too long")

    def _expired(
        self, since: "dict[CallerConnection, int]", limit_ms: int
    ) -> "list[tuple[CallerConnection, int]]":
        found = []
        before_ms = self.clock.now_ms() - limit_ms
        for connection, since_ms in since.items():
            if since_ms >= before_ms:
                break
            found.append((connection, since_ms))
        return found


class CallerConnection(aiohttp_internals.ServerProtocol):
    """One connection of a caller."""

    __slots__ = (
        "_body",
        "_chunked",
        "_failed",
        "_head_bytes",
        "_last",
        "_lingers",
        "_owner",
        "_partial",
    )

    def __init__(
        self,
        owner: CallerServer,
        loop: asyncio.AbstractEventLoop,
        options: dict[str, Any],
    ) -> None:
        super().__init__(owner, loop=loop, **options)
        self._owner = owner
        # The body of the newest request, and how it is framed.
        self._body: streams.StreamReader = streams.EMPTY_PAYLOAD
        self._chunked = False
        # The last bytes, to see whether a further head has begun.
        self._last = b""
        self._partial = False
        self._head_bytes = 0
        self._failed = False
        self._lingers: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection as idle from now on."""
        super().connection_made(transport)
        self._rest()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forgets the connection."""
        self._owner.idle.pop(self, None)
        self._owner.heads.pop(self, None)
        super().connection_lost(exc)

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Ends the connection; only requests in progress delay this."""
        if self._lingers is not None and not self._lingers.done():
            self._lingers.set_result(None)
        await super().shutdown(timeout)

    def fail(self, status: int, message: str) -> None:
        """Refuses a request whose head is not complete, after earlier ones."""
        self._owner.heads.pop(self, None)
        self._failed = True
        self.queue_error(status, message)

    def data_received(self, data: bytes) -> None:
        """Parses bytes, each head by itself.

        The parser drops complete requests that it is given together with
        malformed bytes.
        """
        while self._body.is_eof():
            last = self._last[1 - len(END) :]
            found = (last + data).find(END)
            end = found + len(END) - len(last)
            if found < 0 or end <= 0 or end == len(data):
                break
            self._received(data[:end])
            data = data[end:]
        self._received(data)

    def _received(self, data: bytes) -> None:
        """Parses bytes and notes whether a further head has begun."""
        if self._failed or self.closing:
            return
        open_before = not self._body.is_eof()
        size_before = self._body.total_bytes if open_before else 0
        count = self.parsed_count
        super().data_received(data)
        if self.parsed_count != count:
            message, body = self.last_parsed
            if isinstance(message, str):
                self._failed = True
                self._owner.idle.pop(self, None)
                self._owner.heads.pop(self, None)
                # The parser leaves the reader of a malformed body waiting. The
                # end keeps the library from reading on after the refusal.
                if not self._body.is_eof():
                    self._body.set_exception(web.RequestPayloadError(message))
                    self._body.feed_eof()
                return
            self._body, self._chunked = body, bool(message.chunked)
            self._partial, size_before, open_before = False, 0, True
            self._owner.idle.pop(self, None)
            self._owner.heads.pop(self, None)
        if not data:
            return
        if not open_before:
            self._head_arrives(data)
        elif self._body.is_eof():
            own = 0 if self._chunked else self._body.total_bytes - size_before
            before_body = data[: len(data) - own]
            self._partial = bool(before_body) and not (
                self._last + before_body
            ).endswith(END)
            self._head_bytes = 0
            if self.parsed_count == count and not self.handling_request:
                self._rest()
        self._last = (self._last + data)[-len(END) :]

    def _head_arrives(self, data: bytes) -> None:
        # Empty lines between requests are allowed.
        if not self._partial and not data.strip(b"\r\n"):
            return
        # The parser keeps whole requests back while the queue is full.
        if self.parsing_paused:
            return
        self._head_bytes += len(data)
        if not self._partial:
            self._partial = True
            if self._owner.idle.pop(self, None) is not None:
                self._rest()
        if self._head_bytes > self._owner.limits().max_header_bytes:
            self.fail(431, "the headers are too large")

    def _rest(self) -> None:
        """Starts the timer for the next request, or for the rest of it."""
        owner = self._owner
        owner.idle.pop(self, None)
        owner.heads.pop(self, None)
        since = owner.heads if self._partial else owner.idle
        since[self] = owner.clock.now_ms()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Ends an answer, after which the connection waits."""
        done = await super().finish_response(request, resp, start_time)
        if not self._body.is_eof() or (
            self.has_queued_requests and resp.keep_alive
        ):
            return done
        if not self._failed:
            self._rest()
        elif self.transport is not None and self.transport.can_write_eof():
            # Closing with unread bytes resets the connection, which can drop
            # the refusal before the caller reads it. The end of the
            # connection cancels this task.
            self.transport.write_eof()
            self._lingers = asyncio.get_running_loop().create_future()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LINGERING_S):
                    await self._lingers
        return done

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that the HTTP parser or a handler gave up on."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun")
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
        self._owner.telemetry.count_refusal(refusal)
        response = request_head.refusal_response(refusal)
        response.force_close()
        return response
