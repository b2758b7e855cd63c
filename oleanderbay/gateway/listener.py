"""HTTP listeners: callers' requests, the directory, readiness."""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Callable
from typing import Any

import aiohttp
import multidict
import structlog
from aiohttp import web

from oleanderbay.gateway import (
    caller_server,
    interfaces,
    pipeline,
    request_head,
    settings,
    state,
    table,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks
from oleanderbay.request import outcome

# For connections to the directory and the readiness probe.
KEEPALIVE_S = 600
BACKLOG = 1_024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Value of SO_LINGER: discard what is unsent and reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

log = structlog.get_logger()


class Answer:
    """The answer to one caller.

    Attributes:
        started: Whether the head has been written.
        response: What was prepared; None before the head.
    """

    def __init__(self, request: web.BaseRequest, last: bool) -> None:
        self.request = request
        self.last = last
        self.started = False
        self.response: web.StreamResponse | None = None

    async def begin(
        self, status: int, headers: "multidict.CIMultiDict[str]"
    ) -> None:
        """Writes the head of an answer whose length is not known."""
        response = web.StreamResponse(status=status, headers=headers)
        self._prepare(response)
        await response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Writes a part of the body; waits while the caller is slow."""
        assert self.response is not None
        await self.response.write(data)

    async def end(self) -> None:
        """Ends the body as complete."""
        assert self.response is not None
        await self.response.write_eof()

    async def send_complete(
        self, status: int, headers: "multidict.CIMultiDict[str]", body: bytes
    ) -> None:
        """Writes a complete answer."""
        response = web.Response(status=status, headers=headers, body=body)
        await self._send(response)

    async def refuse(self, refusal: outcome.Refusal) -> None:
        """Writes a refusal as the answer."""
        await self._send(request_head.refusal_response(refusal))

    def cut(self) -> None:
        """Ends the connection, so that the answer is seen as incomplete."""
        transport = self.request.transport
        if transport is None:
            return
        if self.request.version < aiohttp.HttpVersion11:
            # Without chunks the end of the connection ends the answer, so
            # that only a reset shows that it is incomplete.
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            transport.abort()
        else:
            transport.close()

    async def _send(self, response: web.Response) -> None:
        self._prepare(response)
        await response.prepare(self.request)
        await response.write_eof()

    def _prepare(self, response: web.StreamResponse) -> None:
        self.started = True
        self.response = response
        if self.last:
            response.force_close()


class Listeners:
    """Owns the HTTP listeners of a gateway.

    Attributes:
        in_progress: Callers' requests that have no final answer yet.
        leaving: Whether answers end their connections.
    """

    def __init__(
        self,
        config: settings.Settings,
        known: state.State,
        runner: pipeline.Pipeline,
        translator: interfaces.Translator,
        clock: clocks.Clock,
        ready: Callable[[], bool],
        addresses: Callable[[], list[str]],
        status: Callable[[], dict[str, Any]],
        telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED,
    ) -> None:
        self.telemetry = telemetry
        self.config = config
        self.known = known
        self.runner = runner
        self.translator = translator
        self.clock = clock
        self.ready = ready
        self.addresses = addresses
        self.status = status
        self.in_progress = 0
        self.leaving = False
        self._callers: caller_server.CallerServer | None = None
        self._sweep: asyncio.Task[None] | None = None
        self._others: web.Server | None = None
        self._caller_sockets: asyncio.Server | None = None
        self._other_sockets: list[asyncio.Server] = []

    async def start(self) -> None:
        """Opens the listeners."""
        loop = asyncio.get_running_loop()
        self._callers = caller_server.CallerServer(
            self._serve, self.limits, self.clock, self.telemetry
        )
        self._sweep = loop.create_task(self._callers.sweep())
        self._others = web.Server(
            self._serve_other, access_log=None, keepalive_timeout=KEEPALIVE_S
        )
        self._caller_sockets = await loop.create_server(
            self._callers,
            *settings.split_address(self.config.listeners.callers),
            backlog=BACKLOG,
        )
        places = {self.config.listeners.readiness}
        if self.config.listeners.directory:
            places.add(self.config.listeners.directory)
        for place in places:
            self._other_sockets.append(
                await loop.create_server(
                    self._others,
                    *settings.split_address(place),
                    backlog=BACKLOG,
                )
            )

    def stop_accepting(self) -> None:
        """Accepts no further connections of callers."""
        if self._caller_sockets is not None:
            self._caller_sockets.close()

    async def close(self, limit_ms: int) -> None:
        """Closes all connections, after requests that are in progress."""
        self.stop_accepting()
        for sockets in self._other_sockets:
            sockets.close()
        for server in (self._callers, self._others):
            if server is not None:
                await server.shutdown(limit_ms / 1000)
        if self._sweep is not None:
            self._sweep.cancel()

    def limits(self) -> table.Limits:
        """Returns the limits of the configuration in force."""
        current = self.known.table
        return current.limits if current is not None else table.Limits()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_ms = self.clock.now_ms()
        answer = Answer(request, self.leaving)
        self.in_progress += 1
        try:
            await self._answer(request, answer, arrived_ms)
        except (ConnectionError, asyncio.CancelledError):
            answer.cut()
            raise
        finally:
            self.in_progress -= 1
        if answer.response is None:
            raise ConnectionResetError("the caller left")
        return answer.response

    async def _answer(
        self, request: web.BaseRequest, answer: Answer, arrived_ms: int
    ) -> None:
        limits = self.limits()
        malformed = request_head.check_head(request, limits.max_header_bytes)
        connection = request.protocol
        if malformed is not None or (
            isinstance(connection, caller_server.CallerConnection)
            and connection.upgraded
        ):
            answer.last = True
        if malformed is not None:
            await self._refuse(answer, malformed)
            return
        call = self.translator.parse_request(request, None, arrived_ms)
        if isinstance(call, str):
            await self._refuse(answer, request_head.bad_request(call))
            return
        call = request_head.in_origin_form(call)
        if request.body_exists:
            body = await self._body(request, call, limits)
            if isinstance(body, outcome.Refusal):
                answer.last = True
                await self._refuse(answer, body)
                return
            call = dataclasses.replace(call, body=body)
        refusal = await self.runner.run(call, answer)
        if refusal is None:
            return
        if refusal.status == 404 or refusal.status == 401:
            log.info("refused", reason=refusal.reason.value, id=call.id)
        if answer.started:
            answer.cut()
        else:
            await self._refuse(answer, refusal)

    async def _refuse(self, answer: Answer, refusal: outcome.Refusal) -> None:
        self.telemetry.count_refusal(refusal)
        await answer.refuse(refusal)

    async def _body(
        self,
        request: web.BaseRequest,
        call: interfaces.CallerRequest,
        limits: table.Limits,
    ) -> bytes | outcome.Refusal:
        max_bytes = limits.max_body_bytes
        too_large = request_head.bad_request("the body is too large", 413)
        if (request.content_length or 0) > max_bytes:
            return too_large
        deadline_ms = self.runner.deadline_ms(call)
        if deadline_ms is None:
            # The body is read so that the connection can be used again.
            deadline_ms = call.arrived_ms + limits.header_timeout_ms
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
            raise ConnectionResetError("the body broke off") from error
        return b"".join(parts)

    async def _serve_other(
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
            return web.Response(status=200 if self.ready() else 503)
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
