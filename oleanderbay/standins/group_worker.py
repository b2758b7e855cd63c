"""A stand-in for a worker that serves models in groups.

A path that begins with `/stream` is answered with events, any other with a
JSON description of the request. The query of a request may state the number of
`events`, the `bytes` of each event or of the description, and the time before
each, `gap_ms`.
"""

import asyncio
import dataclasses
import hashlib
import json
import socket
import struct
from collections.abc import Callable

from aiohttp import web

from oleanderbay.platform import names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import worker_listener

FAULTS = (
    "refuse",
    "fail",
    "broken",
    "reset_before",
    "reset_after",
    "reset_in_event",
    "stall",
    "wrong_request_id",
    "no_signature",
    "no_length_reset",
    "extra_bytes",
    "early_answer",
    "other_worker",
)
# Faults that only streams can have.
STREAM_FAULTS = ("no_length_empty",)
# Faults that happen before the request runs.
NOT_RUN = ("refuse", "reset_before", "other_worker")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """One request that ran.

    Attributes:
        request_id: The caller's id.
        headers: Headers as they arrived, names in lower case.
        path: Path with query.
        body: The body.
        port: The caller's port, which stands for its connection.
        began_ms: When it began to run.
    """

    request_id: str
    headers: dict[str, str]
    path: str
    body: bytes
    port: int = 0
    began_ms: int = 0


class GroupWorker(worker_listener.WorkerListener):
    """One worker with faults.

    Attributes:
        faults: Remaining number of requests that each fault happens to.
        executions: The requests that ran.
        abandoned: Requests whose connection ended before the answer did.
        events: Number of events in a stream.
        crashing_part: Id of a prompt's part; a request with it ends all
            requests of the worker once its answer begins. Empty for none.
        crashing_path: A request for this path ends the worker once it runs;
            empty for none.
        crashed: Whether it has ended in that way.
        rate_limit: Requests a second that it states as its limit; empty for
            none.
        at_fault: Member that the head names in a 503; empty for none.
        hold_after: Event after which streams wait for `released`.
        work_ms: Time before each answer and each event.
        grouped: Whether it serves only as the head of an open group.
        ended: Called at the end of each execution, with whether its answer
            is complete.
    """

    def __init__(
        self,
        worker_id: str,
        service: str = "chat",
        zone: str = "z1",
        domain: str = "d1",
        load_ms: int = 10,
        clock: clocks.Clock | None = None,
        form_ms: int = 10,
    ) -> None:
        super().__init__(
            worker_id, service, zone, domain, load_ms, clock, form_ms
        )
        self.faults = dict.fromkeys((*FAULTS, *STREAM_FAULTS), 0)
        self.executions: list[Execution] = []
        self.abandoned = 0
        self.events = 5
        self.crashing_part = ""
        self.crashing_path = ""
        self.crashed = False
        self.rate_limit = ""
        self.at_fault = ""
        self.hold_after = -1
        self.released = asyncio.Event()
        self.work_ms = 0
        self.grouped = False
        self.ended: Callable[[Execution, bool], None] = lambda *_: None

    def spend(self, fault: str) -> bool:
        """Uses up one occurrence of a fault."""
        if self.faults[fault] <= 0:
            return False
        self.faults[fault] -= 1
        return True

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if self.spend("reset_before"):
            return self._reset(request)
        early = self.spend("early_answer")
        body = b"" if early else await request.read()
        if self.spend("other_worker") or self._other(request):
            return self._refusal(421)
        if self.spend("refuse"):
            return self._refusal(503)
        if self.grouped and (self.group is None or self.group.rank):
            return self._refusal(421)
        if self.grouped and not self._is_open():
            return self._refusal(503)
        execution = Execution(
            request_id=request.headers.get(names.REQUEST_ID, ""),
            headers={k.lower(): v for k, v in request.headers.items()},
            path=request.raw_path,
            body=body,
            port=self._port(request),
            began_ms=self.clock.now_ms(),
        )
        self.log(f"{self.id} runs {execution.request_id}")
        self.executions.append(execution)
        self._running.append(request)
        complete = False
        try:
            response = await self._answer(request, body)
            complete = True
            return response
        except (asyncio.CancelledError, ConnectionError):
            self.abandoned += 1
            raise
        finally:
            self._running.remove(request)
            self.ended(execution, complete)

    async def _answer(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        if self.crashing_path and request.path == self.crashing_path:
            self.crashed = True
            await self.crash()
            raise asyncio.CancelledError
        if self.spend("reset_after"):
            return self._reset(request)
        if self.spend("stall"):
            await asyncio.Event().wait()
        if self.at_fault:
            named = {names.FAILED_WORKER: self.at_fault}
            return web.json_response({}, status=503, headers=named)
        said = {names.LEAVING: "1"} if self.says_draining else {}
        if self.spend("fail"):
            return web.json_response({}, status=500, headers=said)
        if self.spend("broken"):
            return web.json_response({}, status=503)
        headers = {
            names.REQUEST_ID: request.headers.get(names.REQUEST_ID, ""),
            names.WORKER_ID: self.id,
            names.SIGNATURE: hashlib.sha256(body).hexdigest(),
            **said,
        }
        if self.rate_limit:
            headers[names.RATE_LIMIT] = self.rate_limit
        if self.spend("wrong_request_id"):
            headers[names.REQUEST_ID] = "another"
        if self.spend("no_signature"):
            del headers[names.SIGNATURE]
        if request.path.startswith("/stream"):
            return await self._stream(request, headers)
        whole = json.dumps({"worker": self.id, "bytes": len(body)}).encode()
        whole = whole.ljust(int(request.query.get("bytes", "0")))
        await self._wait_gap(request)
        if self.spend("no_length_reset"):
            return await self._raw(request, headers, whole[:5], reset=True)
        if self.spend("extra_bytes"):
            headers["Content-Length"] = str(len(whole))
            return await self._raw(request, headers, whole + whole)
        return web.Response(body=whole, headers=headers)

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        if self.spend("no_length_reset"):
            event = b"id: 0\ndata: 0\n\n"
            return await self._raw(request, headers, event, reset=True)
        if self.spend("no_length_empty"):
            return await self._raw(request, headers, b"")
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        prompt = request.headers.get(names.PROMPT_PREFIX, "")
        if self.crashing_part and f"{self.crashing_part}:" in prompt:
            # Lets the head reach the reader before the reset drops it.
            await self.clock.sleep_ms(20)
            for other in tuple(self._running):
                self._reset(other)
            return self._reset(request)
        first = int(request.headers.get(names.LAST_EVENT_ID, "-1")) + 1
        size = int(request.query.get("bytes", "0"))
        for number in range(
            first, int(request.query.get("events", self.events))
        ):
            await self._wait_gap(request)
            data = f"id: {number}\ndata: {number:<{size or 1}}\n\n".encode()
            if number == 2 and self.spend("reset_in_event"):
                await response.write(data[:8])
                # Lets the part reach the reader before the reset drops it.
                await self.clock.sleep_ms(20)
                return self._reset(request)
            await response.write(data)
            if number == self.hold_after:
                await self.released.wait()
        await response.write_eof()
        return response

    async def _wait_gap(self, request: web.Request) -> None:
        await self._wait_for_link()
        gap_ms = int(request.query.get("gap_ms", "0")) or self.work_ms
        if gap_ms:
            await self.clock.sleep_ms(gap_ms)

    async def _raw(
        self,
        request: web.Request,
        headers: dict[str, str],
        body: bytes,
        reset: bool = False,
    ) -> web.Response:
        """Writes an answer without the library's framing."""
        head = "".join(
            f"{name}: {value}\r\n" for name, value in headers.items()
        )
        transport = request.transport
        assert transport is not None
        transport.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + body)
        if reset:
            await self.clock.sleep_ms(20)
            return self._reset(request)
        transport.close()
        return web.Response()

    def _port(self, request: web.Request) -> int:
        transport = request.transport
        return transport.get_extra_info("peername")[1] if transport else 0

    def _reset(self, request: web.Request) -> web.Response:
        """Ends the connection with a reset in place of its usual end."""
        transport = request.transport
        if transport is not None:
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            transport.abort()
        return web.Response()
