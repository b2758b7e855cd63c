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
from typing import Any

from aiohttp import web

from oleanderbay.platform import names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import server

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
    """

    request_id: str
    headers: dict[str, str]
    path: str
    body: bytes
    port: int = 0


class GroupWorker:
    """One worker with faults.

    Attributes:
        address: `host:port` that it listens on.
        faults: Remaining number of requests that each fault happens to.
        executions: The requests that ran.
        abandoned: Requests whose connection ended before the answer did.
        orders: Orders that were received, with the status given.
        events: Number of events in a stream.
        crashing_part: Id of a prompt's part; a request with it ends all
            requests of the worker once its answer begins. Empty for none.
        crashing_path: A request for this path ends the worker once it runs;
            empty for none.
        crashed: Whether it has ended in that way.
        rate_limit: Requests a second that it states as its limit; empty for
            none.
        says_draining: Whether its responses state that it drains, which its
            record need not.
        rest_s: Retry-After of refusals; empty for none.
        refused: Number of requests that were refused.
        at_fault: Member that the head names in a 503; empty for none.
        hold_after: Event after which streams wait for `released`.
        changed: Called after each change of the record.
        began: Called when a request begins to run.
        ended: Called at the end of each execution, with whether its answer
            is complete.
        obeyed: Called after each order with the order, the status given and
            the worker's group and members before it.
    """

    def __init__(
        self,
        worker_id: str,
        service: str = "chat",
        zone: str = "z1",
        domain: str = "d1",
        load_ms: int = 10,
        clock: clocks.Clock | None = None,
    ) -> None:
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.domain = domain
        self.load_ms = load_ms
        self.clock = clock or clocks.SystemClock()
        self.born_ms = self.clock.wall_ms()
        self.address = ""
        self.draining = False
        self.faults = dict.fromkeys((*FAULTS, *STREAM_FAULTS), 0)
        self.executions: list[Execution] = []
        self.abandoned = 0
        self.orders: list[tuple[dict[str, Any], int]] = []
        self.events = 5
        self.crashing_part = ""
        self.crashing_path = ""
        self.crashed = False
        self.rate_limit = ""
        self.says_draining = False
        self.rest_s = ""
        self.refused = 0
        self.at_fault = ""
        self.hold_after = -1
        self.released = asyncio.Event()
        self.changed: Callable[[], None] = lambda: None
        self.began: Callable[[Execution], None] = lambda *_: None
        self.ended: Callable[[Execution, bool], None] = lambda *_: None
        self.obeyed: Callable[
            [dict[str, Any], int, dict[str, Any] | None, tuple[str, ...]], None
        ] = lambda *_: None
        self.group: dict[str, Any] | None = None
        self.members: tuple[str, ...] = ()
        self.model = ""
        self.staged: list[str] = []
        self._fence = 0
        self._epoch = 0
        self._open: list[web.Request] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = server.HttpServer(cancels=True)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens; port 0 picks a free one, see `address`."""
        app = web.Application(client_max_size=1 << 30)
        app.add_routes(
            [
                web.get(names.REPORT_PATH, self._on_report),
                web.post(names.ORDER_PATH, self._on_order),
                web.route("*", "/{path:.*}", self._serve),
            ]
        )
        self.address = await self._server.start(app, host, port)

    async def close(self) -> None:
        """Stops listening and ends its loads."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.close()

    @property
    def in_progress(self) -> int:
        """Number of requests that run."""
        return len(self._open)

    def record(self) -> dict[str, Any]:
        """Returns what the worker writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "domain": self.domain,
            "state": "draining" if self.draining else "ready",
            "slots": 4,
            "cold_remaining_ms": 0,
            "born": self.born_ms,
            "sequence": len(self.orders),
            "models": [{"name": self.model}] if self.model else [],
            "staged": [{"name": name} for name in self.staged],
            "group": self.group,
        }

    def spend(self, fault: str) -> bool:
        """Uses up one occurrence of a fault."""
        if self.faults[fault] <= 0:
            return False
        self.faults[fault] -= 1
        return True

    async def _on_report(self, request: web.Request) -> web.Response:
        if self._other(request):
            return self._refusal(421)
        report = {
            **self.record(),
            "busy": False,
            "queue_depth": 0,
            "in_flight": len(self._open),
            "pace": 1.0,
        }
        return web.json_response(report, headers={names.WORKER_ID: self.id})

    async def _on_order(self, request: web.Request) -> web.Response:
        if self._other(request):
            return self._refusal(421)
        order = await request.json()
        group, members = self.group, self.members
        status = self._obey(order)
        self.orders.append((order, status))
        self.obeyed(order, status, group, members)
        self.changed()
        return web.json_response(self.record(), status=status)

    def _obey(self, order: dict[str, Any]) -> int:
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        operation = order["operation"]
        if operation == "stage":
            self.staged.append(order["model"])
            return 202
        epoch, group = order["epoch"], self.group
        same = group is not None and (group["name"], group["epoch"]) == (
            order["group"],
            epoch,
        )
        if operation == "join":
            return self._joined(order, same)
        if not same:
            return 200 if operation == "leave" else 409
        assert group is not None
        if operation == "leave":
            self.group = None
        elif group["rank"] != 0 or group["state"] == "joining":
            return 409
        elif operation == "open":
            self.group = {**group, "state": "open"}
        else:
            self.group = {**group, "state": "ready"}
        return 200

    def _joined(self, order: dict[str, Any], same: bool) -> int:
        members = tuple(order["members"])
        if order["epoch"] < self._epoch or self.id not in members:
            return 409
        if same:
            return 200 if members == self.members else 409
        self._epoch, self.members = order["epoch"], members
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": members.index(self.id),
            "state": "joining",
        }
        task = asyncio.get_running_loop().create_task(
            self._load(order["model"], order["epoch"])
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return 202

    async def _load(self, model: str, epoch: int) -> None:
        await self.clock.sleep_ms(self.load_ms)
        if self.group is not None and self.group["epoch"] == epoch:
            self.model = model
            self.group = {**self.group, "state": "ready"}
            self.changed()

    def _other(self, request: web.Request) -> bool:
        expected = request.headers.get(names.EXPECTED_WORKER, self.id)
        return expected != self.id

    def _refusal(self, status: int) -> web.Response:
        self.refused += 1
        headers = {names.NOT_EXECUTED: "true"}
        if self.says_draining:
            headers[names.LEAVING] = "1"
        if self.rest_s and status == 503:
            headers["Retry-After"] = self.rest_s
        return web.json_response({}, status=status, headers=headers)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if self.spend("reset_before"):
            return self._reset(request)
        early = self.spend("early_answer")
        body = b"" if early else await request.read()
        if self.spend("other_worker") or self._other(request):
            return self._refusal(421)
        if self.spend("refuse"):
            return self._refusal(503)
        execution = Execution(
            request_id=request.headers.get(names.REQUEST_ID, ""),
            headers={k.lower(): v for k, v in request.headers.items()},
            path=request.raw_path,
            body=body,
            port=self._port(request),
        )
        self.executions.append(execution)
        self.began(execution)
        self._open.append(request)
        complete = False
        try:
            response = await self._answer(request, body)
            complete = True
            return response
        except (asyncio.CancelledError, ConnectionError):
            self.abandoned += 1
            raise
        finally:
            self._open.remove(request)
            self.ended(execution, complete)

    async def _answer(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        if self.crashing_path and request.path == self.crashing_path:
            self.crashed = True
            await self._server.crash()
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
            for other in tuple(self._open):
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
        gap_ms = int(request.query.get("gap_ms", "0"))
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
