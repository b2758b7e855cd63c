"""HTTP listeners for callers' requests, the directory and readiness."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

import aiohttp
import multidict
import structlog
from aiohttp import web

from oleanderbay.connection import sockets
from oleanderbay.gateway import (
    caller_server,
    interfaces,
    pipeline,
    request_head,
    response,
    settings,
    state,
    table,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks
from oleanderbay.request import outcome

# Keep-alive timeout of connections to the directory and readiness listeners.
KEEPALIVE_S = 600
BACKLOG = 1_024
DRAIN_POLL_MS = 50
# Time in which callers that connected just before the listener closed send
# their first request.
FIRST_REQUEST_MS = 500
# Time in which refusals at the end of a planned stop reach their callers.
REFUSAL_MS = 200
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

log = structlog.get_logger()


class CallerResponse:
    """The response to one request of a caller.

    Attributes:
        started: Whether the head has been written.
        http_response: The aiohttp response; None until the head is written.
    """

    def __init__(
        self, request: web.BaseRequest, close_connection: bool
    ) -> None:
        self.request = request
        self.close_connection = close_connection
        self.started = False
        self.http_response: web.StreamResponse | None = None

    async def begin(
        self, status: int, headers: "multidict.CIMultiDict[str]"
    ) -> None:
        """Writes the head of a response of unknown length.

        Raises:
            ResponseStartedError: The response has begun.
        """
        http_response = web.StreamResponse(status=status, headers=headers)
        self._prepare(http_response)
        await http_response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Writes a part of the body; waits while the caller reads slowly."""
        assert self.http_response is not None
        await self.http_response.write(data)

    async def end(self) -> None:
        """Marks the body as complete."""
        assert self.http_response is not None
        await self.http_response.write_eof()

    async def send_complete(
        self, status: int, headers: "multidict.CIMultiDict[str]", body: bytes
    ) -> None:
        """Writes a complete response.

        Raises:
            ResponseStartedError: The response has begun.
        """
        await self._send(
            web.Response(status=status, headers=headers, body=body)
        )

    async def refuse(self, refusal: outcome.Refusal) -> None:
        """Writes a refusal as the response."""
        await self._send(request_head.refusal_response(refusal))

    def abort(self) -> None:
        """Closes the connection so that the response is seen as incomplete."""
        transport = self.request.transport
        if transport is None:
            return
        if self.request.version < aiohttp.HttpVersion11:
            # HTTP/1.0 has no chunks: the end of the connection ends the
            # response, so only a reset shows that it is incomplete.
            sockets.reset_on_close(transport.get_extra_info("socket"))
            transport.abort()
        else:
            transport.close()

    async def _send(self, http_response: web.Response) -> None:
        self._prepare(http_response)
        await http_response.prepare(self.request)
        await http_response.write_eof()

    def _prepare(self, http_response: web.StreamResponse) -> None:
        if self.started:
            raise response.ResponseStartedError
        self.started = True
        self.http_response = http_response
        if self.close_connection:
            http_response.force_close()


class Listeners:
    """The HTTP listeners of a gateway.

    Attributes:
        in_progress: Number of callers' requests without a final response.
        leaving: Whether connections are closed after their next response.
    """

    def __init__(
        self,
        config: settings.Settings,
        gateway_state: state.State,
        request_pipeline: pipeline.Pipeline,
        translator: interfaces.Translator,
        clock: clocks.Clock,
        is_ready: Callable[[], bool],
        addresses: Callable[[], list[str]],
        status: Callable[[], dict[str, Any]],
        telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED,
    ) -> None:
        self.telemetry = telemetry
        self.config = config
        self.gateway_state = gateway_state
        self.pipeline = request_pipeline
        self.translator = translator
        self.clock = clock
        self.is_ready = is_ready
        self.addresses = addresses
        self.status = status
        self.in_progress = 0
        self.leaving = False
        self._caller_server: caller_server.CallerServer | None = None
        self._overdue_task: asyncio.Task[None] | None = None
        self._internal_server: web.Server | None = None
        self._caller_sockets: asyncio.Server | None = None
        self._internal_sockets: list[asyncio.Server] = []

    async def start(self) -> None:
        """Opens the sockets and starts serving."""
        loop = asyncio.get_running_loop()
        self._caller_server = caller_server.CallerServer(
            self._handle_request, self.limits, self.clock, self.telemetry
        )
        self._overdue_task = loop.create_task(
            self._caller_server.close_overdue()
        )
        self._internal_server = web.Server(
            self._handle_internal_request,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )
        self._caller_sockets = await sockets.create_server(
            self._caller_server,
            *settings.split_address(self.config.listeners.callers),
            backlog=BACKLOG,
        )
        addresses = {self.config.listeners.readiness}
        if self.config.listeners.directory:
            addresses.add(self.config.listeners.directory)
        for address in addresses:
            self._internal_sockets.append(
                await sockets.create_server(
                    self._internal_server,
                    *settings.split_address(address),
                    backlog=BACKLOG,
                )
            )

    def leave(self, end_ms: int, expected_until_ms: int) -> None:
        """Begins a planned stop; see `StopLimit.start`.

        Connections are still accepted, and close after their next response.
        """
        self.leaving = True
        self.pipeline.stop_limit.start(end_ms, expected_until_ms)

    async def drain(self, end_ms: int) -> None:
        """Answers what callers have sent, then closes their connections.

        Args:
            end_ms: Monotonic time at which requests that still have no
                response get a final one.
        """
        self._log_stop("listener closes")
        if self._caller_sockets is not None and self._caller_server is not None:
            await sockets.stop_accepting(
                self._caller_sockets, self._caller_server
            )
        server = self._caller_server
        if server is None or await self._close_when_idle(server, end_ms):
            return
        self._log_stop("requests left at the end of a stop")
        self.pipeline.stop_waiting()
        # Callers that read too slowly are not waited for any longer.
        end_ms = self.clock.now_ms() + REFUSAL_MS
        while server.has_request() and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(DRAIN_POLL_MS)

    async def _close_when_idle(
        self, server: caller_server.CallerServer, end_ms: int
    ) -> bool:
        """Closes the connections once no request is left.

        Returns:
            Whether that was in time.
        """
        first_request_ms = self.clock.now_ms() + FIRST_REQUEST_MS
        while (
            server.awaits_first_request()
            and self.clock.now_ms() < first_request_ms
        ) or not server.close_if_idle():
            if self.clock.now_ms() >= end_ms:
                return False
            await self.clock.sleep_ms(DRAIN_POLL_MS)
        return True

    async def close(self, limit_ms: int) -> None:
        """Closes the connections that are left; cancels their requests.

        Args:
            limit_ms: Time that requests get to end before that.
        """
        self._log_stop("connections close")
        if self._caller_sockets is not None:
            self._caller_sockets.close()
        for server_sockets in self._internal_sockets:
            server_sockets.close()
        for server in (self._caller_server, self._internal_server):
            if server is not None:
                await server.shutdown(limit_ms / 1000)
        if self._overdue_task is not None:
            self._overdue_task.cancel()

    def _log_stop(self, event: str) -> None:
        server = self._caller_server
        log.info(
            event,
            after_ms=self.pipeline.stop_limit.since_start_ms(
                self.clock.now_ms()
            ),
            in_progress=self.in_progress,
            connections=len(server.protocols) if server else 0,
            busy=server.busy_count if server else 0,
            unsent_bytes=server.unsent_bytes if server else 0,
        )

    def limits(self) -> table.Limits:
        """Returns the limits of the current configuration."""
        current = self.gateway_state.table
        return current.limits if current is not None else table.Limits()

    async def _handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        arrived_ms = self.clock.now_ms()
        caller_response = CallerResponse(request, self.leaving)
        self.in_progress += 1
        try:
            await self._respond(request, caller_response, arrived_ms)
        except (ConnectionError, asyncio.CancelledError):
            caller_response.abort()
            raise
        except Exception:
            if caller_response.started:
                # aiohttp's error handler can no longer answer, and is silent.
                log.exception("response cut off by an internal fault")
                caller_response.abort()
            raise
        finally:
            self.in_progress -= 1
        if caller_response.http_response is None:
            raise ConnectionResetError("the caller closed the connection")
        return caller_response.http_response

    async def _respond(
        self,
        request: web.BaseRequest,
        caller_response: CallerResponse,
        arrived_ms: int,
    ) -> None:
        limits = self.limits()
        invalid = request_head.validate_head(request, limits.max_header_bytes)
        connection = request.protocol
        if invalid is not None or (
            isinstance(connection, caller_server.CallerConnection)
            and connection.upgraded
        ):
            caller_response.close_connection = True
        if invalid is not None:
            await self._send_refusal(caller_response, invalid)
            return
        caller_request = self.translator.parse_request(
            request, None, arrived_ms
        )
        if isinstance(caller_request, str):
            await self._send_refusal(
                caller_response, request_head.bad_request(caller_request)
            )
            return
        caller_request = request_head.to_origin_form(caller_request)
        if request.body_exists:
            body = await self._read_body(request, caller_request, limits)
            if isinstance(body, outcome.Refusal):
                caller_response.close_connection = True
                await self._send_refusal(caller_response, body)
                return
            caller_request = dataclasses.replace(caller_request, body=body)
        refusal = await self.pipeline.run(caller_request, caller_response)
        if refusal is None:
            return
        if refusal.status == 404 or refusal.status == 401:
            log.info(
                "refused", reason=refusal.reason.value, id=caller_request.id
            )
        if caller_response.started:
            self._log_cut_off(caller_request, refusal)
            caller_response.abort()
        else:
            await self._send_refusal(caller_response, refusal)

    def _log_cut_off(
        self, caller_request: interfaces.CallerRequest, refusal: outcome.Refusal
    ) -> None:
        now_ms = self.clock.now_ms()
        log.warning(
            "response cut off",
            id=caller_request.id,
            reason=refusal.reason.value,
            error=refusal.message,
            took_ms=now_ms - caller_request.arrived_ms,
            stop_after_ms=self.pipeline.stop_limit.since_start_ms(now_ms),
        )

    async def _send_refusal(
        self, caller_response: CallerResponse, refusal: outcome.Refusal
    ) -> None:
        self.telemetry.count_refusal(refusal)
        await caller_response.refuse(refusal)

    async def _read_body(
        self,
        request: web.BaseRequest,
        caller_request: interfaces.CallerRequest,
        limits: table.Limits,
    ) -> bytes | outcome.Refusal:
        max_bytes = limits.max_body_bytes
        too_large = request_head.bad_request("the body is too large", 413)
        if (request.content_length or 0) > max_bytes:
            return too_large
        deadline_ms = self.pipeline.deadline_ms(caller_request)
        if deadline_ms is None:
            # The request will be refused; its body is read so that the
            # connection can be reused.
            deadline_ms = caller_request.arrived_ms + limits.header_timeout_ms
        left_ms = deadline_ms - self.clock.now_ms()
        parts, size = [], 0
        try:
            async with asyncio.timeout(max(0, left_ms) / 1000):
                if request.headers.get("Expect", "").lower() == "100-continue":
                    await request.writer.write(CONTINUE)
                    request.writer.output_size = 0
                while part := await request.content.readany():
                    size += len(part)
                    if size > max_bytes:
                        return too_large
                    parts.append(part)
        except TimeoutError:
            return request_head.bad_request("the body took too long", 408)
        except web.RequestPayloadError:
            return request_head.bad_request("the body is malformed")
        except OSError as error:
            raise ConnectionResetError(
                "the request body was cut off"
            ) from error
        return b"".join(parts)

    async def _handle_internal_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if request.path == self.config.listeners.directory_path:
            addresses = self.addresses()
            if not addresses:
                return web.Response(status=503)
            return web.json_response(
                {
                    "addresses": addresses,
                    "ttl_s": self.config.stop.directory_ttl_ms / 1000,
                }
            )
        if request.path == "/readyz":
            return web.Response(status=200 if self.is_ready() else 503)
        if request.path == "/status":
            return web.json_response(self.status())
        if request.path == "/metrics":
            metrics = self.telemetry.exposition()
            if metrics is not None:
                return web.Response(
                    body=metrics,
                    headers={"Content-Type": "text/plain; version=0.0.4"},
                )
        return web.Response(status=404)
