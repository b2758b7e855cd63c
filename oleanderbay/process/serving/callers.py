"""The listener for callers."""

import json
import re
import urllib.parse
from collections.abc import Callable
from typing import Any

import mode
import structlog
from aiohttp import web

from oleanderbay.connection import caller, hops, http
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces, watch
from oleanderbay.process import settings as settings_module
from oleanderbay.process.serving import addresses, completions
from oleanderbay.request import attempt, outcome, pipeline
from oleanderbay.version import resources, routes

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
_PLAIN_PATH = re.compile(r"/s/([^/?]+)(/[^?]*)?(\?.*)?")

log = structlog.get_logger()


class CallerListener(mode.Service):  # type: ignore[misc]
    """Answers callers over HTTP.

    Attributes:
        port: The port in use once started.
        in_progress: Requests that have not been answered in full.
    """

    def __init__(
        self,
        config: settings_module.CallersSettings,
        requests: pipeline.Pipeline,
        catalogue: interfaces.CatalogueSource,
        directory: addresses.Directory,
        deadlines: watch.Watch,
        clock: clocks.Clock,
        refusal: Callable[[], outcome.Refusal | None],
    ) -> None:
        """Makes the listener.

        Args:
            config: Where to listen and what to accept.
            requests: Runs the requests.
            catalogue: Names of fleets, teams and services.
            directory: Answers which addresses to use.
            deadlines: Ends requests whose time is over.
            clock: Time.
            refusal: Why no new work is taken at the moment; None if it is.
        """
        super().__init__()
        self.config = config
        self.requests = requests
        self.catalogue = catalogue
        self.directory = directory
        self.deadlines = deadlines
        self.clock = clock
        self.refusal = refusal
        self.routes = routes.Routes()
        self.port = config.port
        self.in_progress = 0
        self.server: http.Server | None = None
        self.runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Starts to listen."""
        self.server = http.Server(
            self._handle,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            # Time to discard the rest of a refused body.
            lingering_time=1.0,
            max_line_size=self.config.max_header_bytes,
            max_field_size=self.config.max_header_bytes,
        )
        self.runner = web.ServerRunner(self.server, shutdown_timeout=1.0)
        await self.runner.setup()
        site = web.TCPSite(
            self.runner, self.config.host, self.config.port, backlog=1024
        )
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Stops to listen and closes all connections."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        answer = http.Answer(request, caller.new_request_id())
        self.in_progress += 1
        try:
            refusal = await self._answer(request, answer)
        except http.BodyTooLargeError:
            refusal = http.too_large(outcome.Outcome.NOT_RUN)
        except http.BodyCutOffError:
            refusal = caller.bad_request("the request body was cut off")
        except ConnectionError:
            # The caller left; nobody reads an answer.
            answer.abort()
            refusal = None
        except Exception as error:
            log.error(
                "request failed by an internal fault",
                request_id=answer.request_id,
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
        if refusal is not None and answer.started:
            answer.abort()
        elif refusal is not None:
            try:
                await answer.refuse(refusal)
            except ConnectionError:
                answer.abort()
        if answer.response is None:
            return web.Response(status=500)
        return answer.response

    async def _answer(
        self, request: web.BaseRequest, answer: http.Answer
    ) -> outcome.Refusal | None:
        path = request.rel_url.raw_path
        if path == "/v1/addresses":
            return await self._addresses(request, answer)
        if path == "/v1/models":
            return await self._models(request, answer)
        plain = _PLAIN_PATH.fullmatch(request.raw_path)
        if path not in MODEL_PATHS and not plain:
            return _not_found(f"there is nothing at {path[:100]}")
        if path in MODEL_PATHS and request.method != "POST":
            return outcome.Refusal(
                reason=outcome.Reason.BAD_REQUEST,
                outcome=outcome.Outcome.NOT_RUN,
                message="only POST is allowed here",
                status=405,
            )
        refused = self.refusal()
        if refused is not None:
            return refused
        context = caller.parse(
            request.headers,
            answer.request_id,
            self.clock,
            self.config.max_deadline_ms,
        )
        if isinstance(context, outcome.Refusal):
            return context
        limit_at_ms = self.clock.now_ms() + self.config.max_deadline_ms
        try:
            with self.deadlines.until(context.deadline_at_ms or limit_at_ms):
                if plain:
                    name = urllib.parse.unquote(plain[1])
                    rest = (plain[2] or "/") + (plain[3] or "")
                    call = await self._plain_call(request, context, name, rest)
                else:
                    call = await self._model_call(request, context, path)
        except TimeoutError:
            return _late()
        if isinstance(call, outcome.Refusal):
            return call
        return await self.requests.run(call, answer)

    async def _model_call(
        self, request: web.BaseRequest, context: caller.CallerContext, path: str
    ) -> attempt.CallerRequest | outcome.Refusal:
        if request.headers.get("Content-Encoding", "identity") != "identity":
            return caller.bad_request("encoded request bodies aren't accepted")
        body = await http.read_body(request, self.config.max_body_bytes)
        try:
            fields = json.loads(body)
        except (ValueError, RecursionError):
            return caller.bad_request("the request body is not valid JSON")
        wrong = completions.wrong_field(fields, path)
        if wrong:
            return caller.bad_request(wrong)
        named = self._names(context, fields["model"])
        if isinstance(named, outcome.Refusal):
            return named
        if named.service.kind is not resources.ServiceKind.MODEL:
            return _not_found("this service has no models")
        return self._call(
            request,
            context,
            named,
            path=path,
            headers={"Content-Type": "application/json"},
            body=body,
            prompt=completions.prompt_of(fields),
            stream=bool(fields.get("stream", False)),
        )

    async def _plain_call(
        self,
        request: web.BaseRequest,
        context: caller.CallerContext,
        name: str,
        path: str,
    ) -> attempt.CallerRequest | outcome.Refusal:
        named = self._names(context, name)
        if isinstance(named, outcome.Refusal):
            return named
        if named.service.kind is not resources.ServiceKind.PLAIN:
            return _not_found("this service is not a plain one")
        if request.method == "CONNECT":
            return caller.bad_request("tunnels aren't offered")
        headers = hops.end_to_end(
            request.headers, drop=http.OWN | {"host", "expect", "traceparent"}
        )
        return self._call(
            request,
            context,
            named,
            path=path,
            headers=headers,
            body=await self._plain_body(request, context, headers),
        )

    async def _plain_body(
        self,
        request: web.BaseRequest,
        context: caller.CallerContext,
        headers: Any,
    ) -> bytes | http.StreamedBody | None:
        """Returns the body in memory where that is useful or it is small."""
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

    def _call(
        self,
        request: web.BaseRequest,
        context: caller.CallerContext,
        named: routes.Candidates,
        **parts: Any,
    ) -> attempt.CallerRequest:
        team, service = named.team, named.service
        non_idempotent = bool(context.key) or (
            service.call_class is resources.CallClass.NON_IDEMPOTENT
        )
        if context.idempotent is not None and not context.key:
            non_idempotent = not context.idempotent
        return attempt.CallerRequest(
            context=context,
            candidates=named,
            method=request.method,
            non_idempotent=non_idempotent,
            priority=(
                team.priority if context.priority is None else context.priority
            ),
            deadline_at_ms=(
                context.deadline_at_ms
                or self.clock.now_ms() + service.timeout_ms
            ),
            **parts,
        )

    def _names(
        self, context: caller.CallerContext, service_name: str
    ) -> routes.Candidates | outcome.Refusal:
        return self.routes.resolve(
            self.catalogue.current, context.fleet, service_name, context.team
        )

    async def _addresses(
        self, request: web.BaseRequest, answer: http.Answer
    ) -> outcome.Refusal | None:
        query = request.rel_url.query
        reply = self.directory.answer(query.get("zone", ""))
        await self._json(answer, reply)
        return None

    async def _models(
        self, request: web.BaseRequest, answer: http.Answer
    ) -> outcome.Refusal | None:
        name = request.headers.get(caller.FLEET, "")
        current = self.catalogue.current
        fleet = current.find("fleet", "", name)
        if not isinstance(fleet, resources.Fleet):
            return _unknown(outcome.Reason.UNKNOWN_FLEET, name)
        models = [
            {"id": s.name, "object": "model", "created": 0, "owned_by": name}
            for s in current.all("service")
            if isinstance(s, resources.Service)
            and s.fleet == fleet.id
            and s.kind is resources.ServiceKind.MODEL
        ]
        await self._json(answer, {"object": "list", "data": models})
        return None

    async def _json(self, answer: http.Answer, value: Any) -> None:
        await answer.send_complete(
            200,
            {"Content-Type": "application/json"},
            json.dumps(value).encode(),
        )


def _late() -> outcome.Refusal:
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


def _unknown(reason: outcome.Reason, name: str) -> outcome.Refusal:
    kind = reason.value.removeprefix("unknown_")
    return outcome.Refusal(
        reason=reason,
        outcome=outcome.Outcome.NOT_RUN,
        message=f"there is no {kind} named {name[:128]!r}",
        status=404,
    )
