"""A stand-in for a plain service that records what it ran.

`POST /control/fault` with `{"fault": name, "times": N}` sets what happens to
the next N calls; `GET /control/records` lists executions.
"""

import asyncio
import dataclasses
import hashlib
import json
from typing import Any

from aiohttp import web

from oleanderbay.process import clock as clocks
from oleanderbay.standins import server

FAULTS = (
    "lose_answer",
    "close_before_body",
    "close_during_body",
    "close_after_body",
    "silent",
    "truncate",
    "refuse",
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """One call that ran.

    Attributes:
        at_ms: Wall time.
        request_id: Id that the caller's system gave to the request.
        attempt: Number of the attempt.
        key: Idempotency key; may be empty.
        method: HTTP method.
        path: Path with query.
        digest: SHA-256 of the body.
    """

    at_ms: int
    request_id: str
    attempt: str
    key: str
    method: str
    path: str
    digest: str


class PlainStandIn:
    """A plain HTTP service with faults.

    Attributes:
        address: `host:port` that it listens on.
        executions: The calls that ran.
        faults: Remaining number of calls that each fault happens to.
        truncate_at: Bytes of the answer that `truncate` lets through.
    """

    def __init__(self, clock: clocks.Clock | None = None) -> None:
        self.clock = clock or clocks.SystemClock()
        self.address = ""
        self.executions: list[Execution] = []
        self.faults = dict.fromkeys(FAULTS, 0)
        self.truncate_at = 0
        self.delay_ms = 0
        self._server = server.HttpServer(cancels=True)

    async def start(self, host: str, port: int) -> None:
        """Listens; port 0 picks a free one, see `address`."""
        app = web.Application(client_max_size=1 << 30)
        app.add_routes(
            [
                web.get("/control/records", self._on_records),
                web.post("/control/fault", self._on_fault),
                web.route("*", "/{path:.*}", self._serve),
            ]
        )
        self.address = await self._server.start(app, host, port)

    async def close(self) -> None:
        """Stops listening."""
        await self._server.close()

    def spend(self, fault: str) -> bool:
        """Uses up one occurrence of a fault."""
        if self.faults[fault] <= 0:
            return False
        self.faults[fault] -= 1
        return True

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if self.spend("close_before_body"):
            return self._cut(request)
        if self.spend("silent"):
            await asyncio.Event().wait()
        if self.spend("close_during_body"):
            await request.content.readany()
            return self._cut(request)
        body = await request.read()
        if self.spend("refuse"):
            return web.json_response(
                {"error": "busy"},
                status=503,
                headers={"Oleanderbay-Outcome": "not-run"},
            )
        if self.spend("close_after_body"):
            return self._cut(request)
        number = self._run(request, body)
        if self.delay_ms:
            await self.clock.sleep_ms(self.delay_ms)
        if self.spend("lose_answer"):
            return self._cut(request)
        answer = json.dumps(
            {
                "execution": number,
                "method": request.method,
                "path": request.raw_path,
                "bytes": len(body),
                "digest": hashlib.sha256(body).hexdigest(),
            }
        ).encode()
        if self.spend("truncate"):
            return await self._truncated(request, answer)
        request_id = request.headers.get("Oleanderbay-Request-Id", "")
        return web.Response(
            body=answer,
            content_type="application/json",
            headers={"Oleanderbay-Request-Id": request_id},
        )

    def _run(self, request: web.Request, body: bytes) -> int:
        self.executions.append(
            Execution(
                at_ms=self.clock.wall_ms(),
                request_id=request.headers.get("Oleanderbay-Request-Id", ""),
                attempt=request.headers.get("Oleanderbay-Attempt", ""),
                key=request.headers.get("Idempotency-Key", ""),
                method=request.method,
                path=request.raw_path,
                digest=hashlib.sha256(body).hexdigest(),
            )
        )
        return len(self.executions)

    async def _truncated(
        self, request: web.Request, answer: bytes
    ) -> web.StreamResponse:
        """Sends the first bytes of the whole answer, head included."""
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(answer)}\r\n\r\n"
        ).encode()
        transport = request.transport
        if transport is not None:
            transport.write((head + answer)[: self.truncate_at])
            transport.close()
        return web.Response()

    def _cut(self, request: web.Request) -> web.Response:
        if request.transport is not None:
            request.transport.abort()
        return web.Response()

    async def _on_records(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"records": [dataclasses.asdict(e) for e in self.executions]}
        )

    async def _on_fault(self, request: web.Request) -> web.Response:
        wanted: dict[str, Any] = await request.json()
        if wanted.get("fault") not in FAULTS:
            return web.json_response(
                {"error": f"known faults: {', '.join(FAULTS)}"}, status=400
            )
        self.faults[wanted["fault"]] = int(wanted.get("times", 1))
        self.truncate_at = int(wanted.get("truncate_at", self.truncate_at))
        return web.json_response(self.faults)
