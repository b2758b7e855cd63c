"""HTTP listener for requests from callers."""

import asyncio
import json
import re
import urllib.parse
from collections.abc import Callable
from typing import Any

import mode
import structlog
from aiohttp import web

from oleanderbay.connection import caller, hops, http, sockets
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces, watch
from oleanderbay.process import settings as settings_module
from oleanderbay.process.serving import addresses, completions
from oleanderbay.request import attempt, outcome, pipeline
from oleanderbay.version import resources, routes

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
BACKLOG = 1_024
# How long a stop waits for the rest of a head, and how often it looks.
PARTIAL_HEAD_MS = 5_000
# Time in which callers that connected just before the listener closed send
# their first request.
FIRST_REQUEST_MS = 500
DRAIN_STEP_MS = 50
# How long a stop waits for a caller that takes nothing of its answer.
STALLED_ANSWER_MS = 30_000
# Time that handlers get to end once all connections are closed.
SHUTDOWN_LIMIT_S = 1.0
_PLAIN_PATH = re.compile(r"/s/([^/?]+)(/[^?]*)?(\?.*)?")

log = structlog.get_logger()


class CallerListener(mode.Service):  # type: ignore[misc]
    """Accepts HTTP requests from callers and sends the responses.

    Attributes:
        port: TCP port; after the start, the one that is bound.
        in_progress: Number of requests without a complete response.
        draining: Whether connections are closed after their next response.
    """

    def __init__(
        self,
        config: settings_module.CallersSettings,
        request_pipeline: pipeline.Pipeline,
        catalogue: interfaces.CatalogueSource,
        directory: addresses.AddressDirectory,
        deadlines: watch.Watch,
        clock: clocks.Clock,
        intake_refusal: Callable[[], outcome.Refusal | None],
    ) -> None:
        """Initializes the listener.

        Args:
            config: Listen address and limits on requests.
            request_pipeline: Executes the requests.
            catalogue: Resolves names of fleets, teams and services.
            directory: Returns the addresses that callers should use.
            deadlines: Cancels the reading of requests past their deadline.
            clock: Source of the monotonic time.
            intake_refusal: Returns the refusal that new requests receive at
                the moment; None if they are accepted.
        """
        super().__init__()
        self.config = config
        self.pipeline = request_pipeline
        self.catalogue = catalogue
        self.directory = directory
        self.deadlines = deadlines
        self.clock = clock
        self.intake_refusal = intake_refusal
        self.routes = routes.Routes()
        self.port = config.port
        self.in_progress = 0
        self.server: http.Server | None = None
        self.sockets: asyncio.Server | None = None
        self.draining = False

    async def on_start(self) -> None:
        """Binds the port and starts accepting connections."""
        self.server = http.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            # Seconds to read and discard the rest of a refused body.
            lingering_time=1.0,
            max_line_size=self.config.max_header_bytes,
            max_field_size=self.config.max_header_bytes,
        )
        self.sockets = await sockets.create_server(
            self.server, self.config.host, self.config.port, backlog=BACKLOG
        )
        self.port = self.sockets.sockets[0].getsockname()[1]

    async def drain(self, is_over: Callable[[], bool]) -> None:
        """Answers what callers have sent, then stops accepting connections.

        Args:
            is_over: Returns whether the wait must end.
        """
        if self.server is None or self.sockets is None:
            return
        self.draining = True
        await sockets.stop_accepting(self.sockets, self.server)
        moved_ms = self.clock.now_ms()
        until_ms = moved_ms + PARTIAL_HEAD_MS
        first_request_ms = moved_ms + FIRST_REQUEST_MS
        unsent_bytes = 0
        while not is_over():
            now_ms = self.clock.now_ms()
            # What is in the write buffers is lost when the process ends.
            left_bytes = self.server.unsent_bytes
            if self.in_progress or left_bytes != unsent_bytes:
                unsent_bytes, moved_ms = left_bytes, now_ms
            if not (
                self.in_progress
                or (left_bytes and now_ms - moved_ms < STALLED_ANSWER_MS)
                or (self.server.is_busy() and now_ms < until_ms)
                or (
                    self.server.awaits_first_request()
                    and now_ms < first_request_ms
                )
            ):
                return
            await self.clock.sleep_ms(DRAIN_STEP_MS)

    async def on_stop(self) -> None:
        """Stops listening and closes all connections."""
        if self.sockets is not None:
            self.sockets.close()
        if self.server is not None:
            self.server.pre_shutdown()
            await self.server.shutdown(SHUTDOWN_LIMIT_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = http.Answer(request, caller.new_request_id(), self.draining)
        self.in_progress += 1
        try:
            refusal = await self._route(request, response)
        except http.BodyTooLargeError:
            refusal = http.too_large(outcome.Outcome.NOT_RUN)
        except http.BodyCutOffError:
            refusal = caller.bad_request("the request body was cut off")
        except ConnectionError:
            # The caller closed the connection; no response can be sent.
            response.abort()
            refusal = None
        except Exception as error:
            log.error(
                "unhandled error while handling request",
                request_id=response.request_id,
                error=repr(error),
            )
            refusal = outcome.Refusal(
                reason=outcome.Reason.UPSTREAM_FAILED,
                outcome=outcome.Outcome.UNKNOWN,
                message="internal fault",
                status=500,
            )
        finally:
            self.in_progress -= 1
        if refusal is not None and response.started:
            response.abort()
        elif refusal is not None:
            try:
                await response.refuse(refusal)
            except ConnectionError:
                response.abort()
        if response.response is None:
            return web.Response(status=500)
        return response.response

    async def _route(
        self, request: web.BaseRequest, response: http.Answer
    ) -> outcome.Refusal | None:
        path = request.rel_url.raw_path
        if path == "/v1/addresses":
            return await self._send_addresses(request, response)
        if path == "/v1/models":
            return await self._send_models(request, response)
        plain_match = _PLAIN_PATH.fullmatch(request.raw_path)
        if path not in MODEL_PATHS and not plain_match:
            return _not_found(f"there is nothing at {path[:100]}")
        if path in MODEL_PATHS and request.method != "POST":
            return outcome.Refusal(
                reason=outcome.Reason.BAD_REQUEST,
                outcome=outcome.Outcome.NOT_RUN,
                message="only POST is allowed here",
                status=405,
            )
        refusal = self.intake_refusal()
        if refusal is not None:
            return refusal
        context = caller.parse(
            request.headers,
            response.request_id,
            self.clock,
            self.config.max_deadline_ms,
        )
        if isinstance(context, outcome.Refusal):
            return context
        latest_deadline_at_ms = (
            self.clock.now_ms() + self.config.max_deadline_ms
        )
        try:
            with self.deadlines.until(
                context.deadline_at_ms or latest_deadline_at_ms
            ):
                if plain_match:
                    name = urllib.parse.unquote(plain_match[1])
                    target = (plain_match[2] or "/") + (plain_match[3] or "")
                    parsed = await self._parse_plain_request(
                        request, context, name, target
                    )
                else:
                    parsed = await self._parse_model_request(
                        request, context, path
                    )
        except TimeoutError:
            return _deadline_refusal()
        if isinstance(parsed, outcome.Refusal):
            return parsed
        return await self.pipeline.run(parsed, response)

    async def _parse_model_request(
        self, request: web.BaseRequest, context: caller.CallerContext, path: str
    ) -> attempt.CallerRequest | outcome.Refusal:
        if request.headers.get("Content-Encoding", "identity") != "identity":
            return caller.bad_request("encoded request bodies aren't accepted")
        body = await http.read_body(request, self.config.max_body_bytes)
        try:
            fields = json.loads(body)
        except (ValueError, RecursionError):
            return caller.bad_request("the request body is not valid JSON")
        error = completions.find_error(fields, path)
        if error:
            return caller.bad_request(error)
        candidates = self._resolve(context, fields["model"])
        if isinstance(candidates, outcome.Refusal):
            return candidates
        if candidates.service.kind is not resources.ServiceKind.MODEL:
            return _not_found("this service has no models")
        return self._build_request(
            request,
            context,
            candidates,
            path=path,
            headers={"Content-Type": "application/json"},
            body=body,
            prompt=completions.prompt_text(fields),
            stream=bool(fields.get("stream", False)),
        )

    async def _parse_plain_request(
        self,
        request: web.BaseRequest,
        context: caller.CallerContext,
        name: str,
        path: str,
    ) -> attempt.CallerRequest | outcome.Refusal:
        candidates = self._resolve(context, name)
        if isinstance(candidates, outcome.Refusal):
            return candidates
        if candidates.service.kind is not resources.ServiceKind.PLAIN:
            return _not_found("this service is not a plain one")
        if request.method == "CONNECT":
            return caller.bad_request("tunnels aren't offered")
        headers = hops.end_to_end(
            request.headers, drop=http.OWN | {"host", "expect", "traceparent"}
        )
        return self._build_request(
            request,
            context,
            candidates,
            path=path,
            headers=headers,
            body=await self._read_plain_body(request, context, headers),
        )

    async def _read_plain_body(
        self,
        request: web.BaseRequest,
        context: caller.CallerContext,
        headers: Any,
    ) -> bytes | http.StreamedBody | None:
        """Returns the request body, streamed if it is large.

        The body of a request with an idempotency key is always read into
        memory, and so is a small one.
        """
        if not request.body_exists:
            return None
        if context.key:
            return await http.read_body(request, self.config.keyed_body_bytes)
        length = request.content_length
        if length is not None and length <= self.config.buffer_bytes:
            return await http.read_body(request, self.config.buffer_bytes)
        if length is not None and length > self.config.max_body_bytes:
            raise http.BodyTooLargeError
        return http.StreamedBody(request, self.config.max_body_bytes)

    def _build_request(
        self,
        request: web.BaseRequest,
        context: caller.CallerContext,
        candidates: routes.Candidates,
        **fields: Any,
    ) -> attempt.CallerRequest:
        team, service = candidates.team, candidates.service
        non_idempotent = bool(context.key) or (
            service.call_class is resources.CallClass.NON_IDEMPOTENT
        )
        if context.idempotent is not None and not context.key:
            non_idempotent = not context.idempotent
        return attempt.CallerRequest(
            context=context,
            candidates=candidates,
            method=request.method,
            non_idempotent=non_idempotent,
            priority=(
                team.priority if context.priority is None else context.priority
            ),
            deadline_at_ms=(
                context.deadline_at_ms
                or self.clock.now_ms() + service.timeout_ms
            ),
            **fields,
        )

    def _resolve(
        self, context: caller.CallerContext, service_name: str
    ) -> routes.Candidates | outcome.Refusal:
        return self.routes.resolve(
            self.catalogue.current, context.fleet, service_name, context.team
        )

    async def _send_addresses(
        self, request: web.BaseRequest, response: http.Answer
    ) -> outcome.Refusal | None:
        query = request.rel_url.query
        content = self.directory.build_response(query.get("zone", ""))
        await self._send_json(response, content)
        return None

    async def _send_models(
        self, request: web.BaseRequest, response: http.Answer
    ) -> outcome.Refusal | None:
        name = request.headers.get(caller.FLEET, "")
        snapshot = self.catalogue.current
        fleet = snapshot.find("fleet", "", name)
        if not isinstance(fleet, resources.Fleet):
            return _unknown_name(outcome.Reason.UNKNOWN_FLEET, name)
        models = [
            {"id": s.name, "object": "model", "created": 0, "owned_by": name}
            for s in snapshot.all("service")
            if isinstance(s, resources.Service)
            and s.fleet == fleet.id
            and s.kind is resources.ServiceKind.MODEL
        ]
        await self._send_json(response, {"object": "list", "data": models})
        return None

    async def _send_json(self, response: http.Answer, value: Any) -> None:
        await response.send_complete(
            200,
            {"Content-Type": "application/json"},
            json.dumps(value).encode(),
        )


def _deadline_refusal() -> outcome.Refusal:
    return outcome.Refusal(
        reason=outcome.Reason.DEADLINE,
        outcome=outcome.Outcome.NOT_RUN,
        message="the deadline passed before the request was complete",
        status=504,
    )


def _not_found(message: str) -> outcome.Refusal:
    return outcome.Refusal(
        reason=outcome.Reason.BAD_REQUEST,
        outcome=outcome.Outcome.NOT_RUN,
        message=message,
        status=404,
    )


def _unknown_name(reason: outcome.Reason, name: str) -> outcome.Refusal:
    kind = reason.value.removeprefix("unknown_")
    return outcome.Refusal(
        reason=reason,
        outcome=outcome.Outcome.NOT_RUN,
        message=f"there is no {kind} named {name[:128]!r}",
        status=404,
    )
