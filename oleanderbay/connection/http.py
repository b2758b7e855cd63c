"""HTTP towards callers: hop-by-hop headers, bodies and answers."""

import asyncio
import json
from collections.abc import AsyncIterator, Mapping
from typing import Any

import multidict
from aiohttp import streams, web

from oleanderbay.connection import aiohttp_internals, caller
from oleanderbay.request import outcome

# What this system says itself; a caller can't say it to an upstream.
OWN = frozenset(
    name.lower()
    for name in (
        caller.REQUEST_ID,
        caller.OUTCOME,
        caller.PRIORITY,
        caller.DEADLINE,
        caller.KEY_ISSUED,
        caller.IDEMPOTENT,
        "Oleanderbay-Attempt",
        "Oleanderbay-Resume-From",
    )
)


class BodyTooLargeError(Exception):
    """A request body is larger than allowed."""


class AnswerStartedError(Exception):
    """A second head was to be written into an answer that has begun."""


class BodyCutOffError(Exception):
    """The caller went away in the middle of its request body."""


async def read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Reads a request body into memory.

    Raises:
        BodyTooLargeError: It is larger than `max_bytes`.
        BodyCutOffError: The caller did not send all of it.
    """
    parts, size = [], 0
    async for part in body_parts(request, max_bytes):
        size += len(part)
        parts.append(part)
    return b"".join(parts)


async def body_parts(
    request: web.BaseRequest, max_bytes: int
) -> AsyncIterator[bytes]:
    """Yields a request body as it arrives.

    Raises:
        BodyTooLargeError: It is larger than `max_bytes`.
        BodyCutOffError: The caller did not send all of it.
    """
    if (request.content_length or 0) > max_bytes:
        raise BodyTooLargeError
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
    size = 0
    while True:
        try:
            part = await request.content.readany()
        except (web.RequestPayloadError, OSError) as error:
            raise BodyCutOffError from error
        if not part:
            return
        size += len(part)
        if size > max_bytes:
            raise BodyTooLargeError
        yield part


class StreamedBody:
    """A request body that is passed on as it arrives; can be read once.

    Attributes:
        error: What went wrong at the caller's side; None if nothing.
    """

    def __init__(self, request: web.BaseRequest, max_bytes: int) -> None:
        self.request = request
        self.max_bytes = max_bytes
        self.error: BodyTooLargeError | BodyCutOffError | None = None

    async def __aiter__(self) -> AsyncIterator[bytes]:
        # The HTTP client turns an error of the body into one of its own
        # connection, so the reason is kept here.
        try:
            async for part in body_parts(self.request, self.max_bytes):
                yield part
        except (BodyTooLargeError, BodyCutOffError) as error:
            self.error = error
            raise


class Answer:
    """The answer to one caller, written as it becomes known.

    Attributes:
        started: Whether the head has been written.
        response: What aiohttp needs at the end of the handler.
        close_connection: Whether the connection ends with the answer.
    """

    __slots__ = ("close_connection", "request", "request_id", "response")

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str,
        close_connection: bool = False,
    ) -> None:
        self.request = request
        self.request_id = request_id
        self.close_connection = close_connection
        self.response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Whether the head has been written."""
        return self.response is not None

    async def begin(
        self,
        status: int,
        headers: Mapping[str, str],
        known: outcome.Outcome = outcome.Outcome.ANSWERED,
    ) -> None:
        """Writes the head of the answer.

        Raises:
            AnswerStartedError: The answer has begun.
        """
        if self.started:
            raise AnswerStartedError
        response = web.StreamResponse(status=status, headers=headers)
        response.headers[caller.REQUEST_ID] = self.request_id
        response.headers[caller.OUTCOME] = known.value
        if self.close_connection:
            response.force_close()
        self.response = response
        await response.prepare(self.request)

    async def write(self, data: bytes) -> None:
        """Writes a part of the body; waits while the caller is slow."""
        assert self.response is not None
        await self.response.write(data)

    async def end(self) -> None:
        """Ends the body."""
        assert self.response is not None
        await self.response.write_eof()

    async def send_complete(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
        known: outcome.Outcome = outcome.Outcome.ANSWERED,
    ) -> None:
        """Writes a complete answer.

        Raises:
            AnswerStartedError: The answer has begun.
        """
        merged = multidict.CIMultiDict(headers)
        if self.request.method != "HEAD" and status not in (204, 304):
            merged["Content-Length"] = str(len(body))
        await self.begin(status, merged, known)
        if body:
            await self.write(body)
        await self.end()

    async def refuse(self, refusal: outcome.Refusal) -> None:
        """Writes a refusal as the answer."""
        headers = {"Content-Type": "application/json"}
        if refusal.retry_after_ms:
            # The header counts in whole seconds; the body has the exact time.
            seconds = -(-refusal.retry_after_ms // 1000)
            headers["Retry-After"] = str(seconds)
        body = {"error": error_object(refusal, self.request_id)}
        await self.send_complete(
            refusal.status, headers, json.dumps(body).encode(), refusal.outcome
        )

    def abort(self) -> None:
        """Closes the connection so that a partial answer is seen as such."""
        transport = self.request.transport
        if transport is not None:
            transport.abort()


def error_object(
    refusal: outcome.Refusal, request_id: str
) -> dict[str, object]:
    """Returns an error in the usual OpenAI format, with the outcome."""
    kind = "invalid_request_error" if refusal.status < 500 else "server_error"
    return {
        "message": refusal.message,
        "type": kind,
        "code": refusal.reason.value,
        "param": None,
        "outcome": refusal.outcome.value,
        "request_id": request_id,
        "retry_after_ms": refusal.retry_after_ms,
    }


def too_large(known: outcome.Outcome) -> outcome.Refusal:
    """Returns the refusal of a request whose body is too large."""
    return outcome.Refusal(
        reason=outcome.Reason.TOO_LARGE,
        outcome=known,
        message="the request body is too large",
        status=413,
    )


def caller_failed(error: Exception, known: outcome.Outcome) -> outcome.Refusal:
    """Returns the refusal of a request whose body the caller broke off."""
    if isinstance(error, BodyTooLargeError):
        return too_large(known)
    return outcome.Refusal(
        reason=outcome.Reason.BAD_REQUEST,
        outcome=known,
        message="the request body was cut off",
        status=400,
    )


class Server(aiohttp_internals.Server):
    """An HTTP server that refuses malformed requests in the usual format."""

    def __call__(self) -> "_Connection":
        """Makes the protocol of one connection."""
        connection = self.create_protocol(_Connection)
        assert isinstance(connection, _Connection)
        return connection


class _Connection(aiohttp_internals.ServerProtocol):
    """The server side of a caller's connection."""

    __slots__ = ("_body", "_has_partial_head")

    def __init__(
        self,
        server: Server,
        loop: asyncio.AbstractEventLoop,
        options: dict[str, Any],
    ) -> None:
        super().__init__(server, loop=loop, **options)
        self._has_partial_head = False
        # The body of the most recent request.
        self._body: streams.StreamReader = streams.EMPTY_PAYLOAD

    @property
    def has_partial_head(self) -> bool:
        """Whether a part of a request's head has arrived."""
        return self._has_partial_head

    def data_received(self, data: bytes) -> None:
        """Parses data and notes whether it leaves a part of a head."""
        count, had_whole_body = self.parsed_count, self._body.is_eof()
        super().data_received(data)
        if self.parsed_count == count:
            self._has_partial_head = had_whole_body
        else:
            self._has_partial_head = False
            _, self._body = self.last_parsed

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Ends a response; lingers if the connection closes after it."""
        result = await super().finish_response(request, resp, start_time)
        if not result[1] and not resp.keep_alive and self._body.is_eof():
            await self.linger()
        return result

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
        parsed = status < 500
        refusal = outcome.Refusal(
            reason=(
                outcome.Reason.BAD_REQUEST
                if parsed
                else outcome.Reason.UPSTREAM_FAILED
            ),
            # A malformed request was never looked at; after a fault in this
            # process nothing is certain.
            outcome=(
                outcome.Outcome.NOT_RUN if parsed else outcome.Outcome.UNKNOWN
            ),
            message=(
                f"the HTTP request is malformed: {type(exc).__name__}"
                if parsed
                else "internal fault"
            ),
            status=status,
        )
        request_id = caller.new_request_id()
        body: dict[str, Any] = {"error": error_object(refusal, request_id)}
        response = web.Response(
            status=status,
            body=json.dumps(body).encode(),
            headers={
                "Content-Type": "application/json",
                caller.REQUEST_ID: request_id,
                caller.OUTCOME: refusal.outcome.value,
            },
        )
        response.force_close()
        return response
