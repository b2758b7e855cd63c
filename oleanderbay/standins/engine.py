"""A stand-in for a model engine: HTTP for requests and for control."""

import asyncio
import dataclasses
import json
import uuid
from typing import Any

from aiohttp import web

from oleanderbay.native import interfaces
from oleanderbay.process import clock as clocks
from oleanderbay.standins import engine_state, server, tokens

REQUEST_ID = "Oleanderbay-Request-Id"
ATTEMPT = "Oleanderbay-Attempt"
RESUME_FROM = "Oleanderbay-Resume-From"
PRIORITY = "Oleanderbay-Priority"
OUTCOME = "Oleanderbay-Outcome"


class EngineStandIn(engine_state.EngineState):
    """Serves an engine's state over HTTP; only rank 0 takes requests.

    Attributes:
        address: `host:port` that it listens on.
    """

    def __init__(
        self,
        instance: str,
        settings: engine_state.EngineSettings | None = None,
        clock: clocks.Clock | None = None,
    ) -> None:
        super().__init__(instance, settings, clock)
        self.address = ""
        self._server = server.HttpServer(cancels=True)
        self._snapshot: tuple[int, interfaces.EngineReport] | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens; port 0 picks a free one, see `address`."""
        app = web.Application(middlewares=[self._hold_while_paused])
        app.add_routes(
            [
                web.post("/v1/completions", self._serve),
                web.post("/v1/chat/completions", self._serve),
                web.get("/control/report", self._on_report),
                web.post("/control/order", self._on_order),
                web.post("/control/cancel/{id}", self._on_cancel),
                web.get("/control/cache-events", self._on_cache_events),
                web.get("/control/cache/{block}", self._on_export),
                web.put("/control/cache/{block}", self._on_import),
                web.get("/control/records", self._on_records),
                web.post("/control/fault", self._on_fault),
            ]
        )
        self.address = await self._server.start(app, host, port)

    async def close(self) -> None:
        """Stops listening and ends what runs."""
        self.awake.set()
        await self.stop_loading()
        await self._server.close()

    @web.middleware
    async def _hold_while_paused(
        self, request: web.Request, handler: Any
    ) -> Any:
        if request.path not in ("/control/fault", "/control/records"):
            await self.awake.wait()
        return await handler(request)

    # Requests.

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        try:
            body = await request.json()
            prompt = tokens.prompt_of(body)
            count = int(body.get("max_tokens") or 16)
            first = int(request.headers.get(RESUME_FROM, "0"))
        except (ValueError, TypeError, AttributeError) as error:
            return _refusal(400, "invalid_request_error", str(error))
        request_id = request.headers.get(REQUEST_ID) or uuid.uuid4().hex
        attempt = request.headers.get(ATTEMPT, "0")
        role = self.role
        if role is None or not self.ready or role.rank != 0:
            return _refusal(503, "not_ready", "this engine takes no requests")
        if self.spend("silent"):
            self.record("silent", request_id=request_id, attempt=attempt)
            await asyncio.Event().wait()
        in_flight = len(self.running) + len(self.waiting)
        if self.cold and in_flight >= self.settings.cold_limit:
            self.record("overload", request_id=request_id, in_flight=in_flight)
            return _refusal(500, "overloaded", "cold engine failed", ran=True)
        task = asyncio.current_task()
        assert task is not None
        running = engine_state.Running(
            request_id,
            attempt,
            int(request.headers.get(PRIORITY, "5")),
            task,
            asyncio.Event(),
        )
        self.waiting.append(running)
        self.admit()
        finished = "cancelled"
        try:
            await running.start.wait()
            self.record(
                "executed",
                request_id=request_id,
                attempt=attempt,
                group=role.group,
                epoch=role.fence,
                path=request.path,
                first=first,
                count=count,
                idempotency_key=request.headers.get("Idempotency-Key", ""),
            )
            response = await self._answer(request, running, body, prompt, first)
            finished = "finished"
            self.served += 1
            return response
        finally:
            self.waiting = [r for r in self.waiting if r is not running]
            self.running = [r for r in self.running if r is not running]
            self.admit()
            self.record(finished, request_id=request_id, attempt=attempt)

    async def _answer(
        self,
        request: web.Request,
        running: engine_state.Running,
        body: dict[str, Any],
        prompt: str,
        first: int,
    ) -> web.StreamResponse:
        began_ms = self.clock.now_ms()
        count = int(body.get("max_tokens") or 16)
        chat = request.path.endswith("/chat/completions")
        stream = bool(body.get("stream"))
        cut_at = -1
        if self.spend("truncate"):
            cut_at = first + self.faults.truncate_at
        dropped = self.spend("drop_answer")
        missing = self.use_cache(tokens.prefix_blocks(prompt))
        await self._pass_ms(missing * self.settings.prefill_block_ms)
        headers = {
            REQUEST_ID: running.request_id,
            ATTEMPT: running.attempt,
        }
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        if stream and not dropped:
            await response.prepare(request)
        for at in range(first, count):
            await self.awake.wait()
            if at == cut_at:
                return _cut(request)
            await self._pass_ms(self.settings.token_interval_ms)
            if at == first:
                self.first_ms.append(self.clock.now_ms() - began_ms)
            if stream and not dropped:
                event = _chunk(running, body, chat, at, count, prompt)
                await response.write(event)
        elapsed_ms = self.clock.now_ms() - began_ms
        self.token_ms.append(elapsed_ms / max(1, count - first))
        if dropped:
            self.record("answer_dropped", request_id=running.request_id)
            return _cut(request)
        if stream:
            await response.write(b"data: [DONE]\n\n")
            await response.write_eof()
            return response
        text = tokens.answer(prompt, count)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        used = len(prompt.split())
        answer = {
            "id": running.request_id,
            "object": "chat.completion" if chat else "text_completion",
            "model": body.get("model", self.loaded[0]),
            "choices": [choice],
            "usage": {
                "prompt_tokens": used,
                "completion_tokens": count,
                "total_tokens": used + count,
            },
        }
        return web.json_response(answer, headers=headers)

    async def _pass_ms(self, delay_ms: float) -> None:
        if delay_ms > 0:
            await self.clock.sleep_ms(delay_ms * self.faults.slow)

    # Control.

    async def _on_report(self, request: web.Request) -> web.Response:
        del request
        now_ms = self.clock.now_ms()
        if (
            self._snapshot is None
            or now_ms - self._snapshot[0] >= self.settings.report_lag_ms
        ):
            self._snapshot = (now_ms, self.report())
        taken_ms, report = self._snapshot
        report = dataclasses.replace(report, age_ms=now_ms - taken_ms)
        return web.json_response(dataclasses.asdict(report))

    async def _on_order(self, request: web.Request) -> web.Response:
        arrived_ms = self.clock.now_ms()
        order = interfaces.Order(**await request.json())
        await self.awake.wait()
        refusal = self.order(order, self.clock.now_ms() - arrived_ms)
        if refusal:
            return web.json_response({"refused": refusal}, status=409)
        self._snapshot = None
        if self.spend("drop_order_answer"):
            return _cut(request)
        return web.json_response(dataclasses.asdict(self.report()))

    async def _on_cancel(self, request: web.Request) -> web.Response:
        wanted = request.match_info["id"]
        found = 0
        for running in [*self.running, *self.waiting]:
            if running.request_id == wanted:
                running.task.cancel()
                found += 1
        return web.json_response({"cancelled": found})

    async def _on_cache_events(self, request: web.Request) -> web.Response:
        since = int(request.query.get("since", "0"))
        events = [
            dataclasses.asdict(event)
            for event in self.events
            if event.sequence > since
        ]
        return web.json_response({"events": events})

    async def _on_export(self, request: web.Request) -> web.Response:
        data = self.cache.get(int(request.match_info["block"]))
        if data is None:
            return web.Response(status=404)
        return web.Response(body=data)

    async def _on_import(self, request: web.Request) -> web.Response:
        block = int(request.match_info["block"])
        data = await request.read()
        self.use_cache((block,))
        self.cache[block] = data
        self.record("imported", block=block, bytes=len(data))
        return web.json_response({})

    async def _on_records(self, request: web.Request) -> web.Response:
        since = int(request.query.get("since", "0"))
        return web.json_response({"records": self.records[since:]})

    async def _on_fault(self, request: web.Request) -> web.Response:
        wanted = await request.json()
        self.record("fault", **{"fault": wanted})
        try:
            self.set_faults(wanted)
        except ValueError as error:
            return _refusal(400, "invalid_request_error", str(error))
        return web.json_response(dataclasses.asdict(self.faults))


def _cut(request: web.Request) -> web.Response:
    """Closes the connection without (the rest of) an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def _refusal(
    status: int, kind: str, message: str, ran: bool = False
) -> web.Response:
    headers = {} if ran else {OUTCOME: "not-run"}
    body = {"error": {"type": kind, "code": kind, "message": message}}
    return web.json_response(body, status=status, headers=headers)


def _chunk(
    running: engine_state.Running,
    body: dict[str, Any],
    chat: bool,
    at: int,
    count: int,
    prompt: str,
) -> bytes:
    token = tokens.token_at(prompt, at)
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": "length" if at == count - 1 else None,
    }
    if chat:
        choice["delta"] = {"content": token}
    else:
        choice["text"] = token
    chunk = {
        "id": running.request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "model": body.get("model", ""),
        "choices": [choice],
    }
    event_id = f"{running.request_id}/{running.attempt}/{at}"
    return f"id: {event_id}\ndata: {json.dumps(chunk)}\n\n".encode()
