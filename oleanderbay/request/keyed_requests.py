"""Requests with an idempotency key."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from oleanderbay.request import (
    attempt,
    claims,
    delivery,
    idempotency,
    keys,
    outcome,
)

RequestHandler = Callable[
    [attempt.CallerRequest, delivery.ResponseSink],
    Awaitable[outcome.Refusal | None],
]


class KeyedRequests:
    """Runs the request of each key at most once and records its outcome.

    A request runs in its own task and continues when its caller disconnects,
    so that a later request with the same key gets the outcome.

    Attributes:
        idempotency: Claims keys and records outcomes.
        run_once: Runs a request whose key has been claimed.
        running: Tasks of requests in progress.
    """

    def __init__(
        self, key_claims: idempotency.Idempotency, run_once: RequestHandler
    ) -> None:
        self.idempotency = key_claims
        self.run_once = run_once
        self.running: set[asyncio.Task[outcome.Refusal | None]] = set()

    async def run(
        self,
        caller_request: attempt.CallerRequest,
        sink: delivery.ResponseSink,
    ) -> outcome.Refusal | None:
        """Runs a request with a key, or replays its recorded outcome."""
        context = caller_request.context
        key = keys.parse_key(
            f"{caller_request.service.id}/{caller_request.team.id}",
            context.key,
            str(context.key_issued_ms or ""),
        )
        if isinstance(key, outcome.Refusal):
            return key
        body = (
            caller_request.body
            if isinstance(caller_request.body, bytes)
            else b""
        )
        result = await self.idempotency.claim_key(
            key,
            keys.request_digest(
                caller_request.method, caller_request.path, body
            ),
            caller_request.deadline_at_ms,
        )
        if isinstance(result, outcome.Refusal):
            return result
        if isinstance(result, idempotency.Replay):
            return await _replay(result.record, sink)
        task = asyncio.create_task(
            self._run_claimed(result, caller_request, sink)
        )
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Waits for requests in progress; each has a deadline."""
        await asyncio.gather(*self.running, return_exceptions=True)

    async def _run_claimed(
        self,
        claim: idempotency.Claim,
        caller_request: attempt.CallerRequest,
        sink: delivery.ResponseSink,
    ) -> outcome.Refusal | None:
        recorder = RecordingSink(
            sink, self.idempotency.settings.max_answer_bytes
        )
        try:
            refusal = await self.run_once(caller_request, recorder)
            if refusal is None and recorder.complete:
                claim.record_response(recorder.stored_response())
            elif (
                refusal is not None
                and refusal.outcome is outcome.Outcome.NOT_RUN
                and not recorder.started
            ):
                claim.release()
            return refusal
        finally:
            # Has no effect if the outcome was recorded above.
            claim.record_unknown()


class RecordingSink:
    """A sink that stores a small response, even if the caller disconnects.

    Attributes:
        sink: Sink of the caller's connection.
        max_bytes: Largest body that is stored for replay.
        caller_disconnected: Whether writing to the caller has failed.
        complete: Whether the response was received in full.
        status: HTTP status of the response; 0 before its head.
        headers: Headers of the response.
        chunks: Body of the response, at most one byte more than `max_bytes`
            if it is streamed.
        size: Size of the stored chunks of a streamed body.
    """

    def __init__(self, sink: delivery.ResponseSink, max_bytes: int) -> None:
        self.sink = sink
        self.max_bytes = max_bytes
        self.caller_disconnected = False
        self.complete = False
        self.status = 0
        self.headers: Mapping[str, str] = {}
        self.chunks: list[bytes] = []
        self.size = 0

    @property
    def started(self) -> bool:
        """Whether the response head has been written."""
        return self.status != 0

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Writes the head of a response of unknown length."""
        self.status = status
        self.headers = headers
        await self._write_to_caller(self.sink.begin(status, headers))

    async def write(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        # One byte more than the limit is enough to detect that the body is
        # too large to store.
        kept = data[: self.max_bytes + 1 - self.size]
        if kept:
            self.chunks.append(kept)
            self.size += len(kept)
        await self._write_to_caller(self.sink.write(data))

    async def end(self) -> None:
        """Ends the body, which marks the response as complete."""
        self.complete = True
        await self._write_to_caller(self.sink.end())

    async def send_complete(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Writes a complete response."""
        self.status = status
        self.headers = headers
        self.chunks = [body]
        self.complete = True
        await self._write_to_caller(
            self.sink.send_complete(status, headers, body)
        )

    def abort(self) -> None:
        """Closes the connection so that the response is seen as incomplete."""
        self.sink.abort()

    def stored_response(self) -> claims.StoredResponse:
        """Returns the response to store for replay."""
        return claims.StoredResponse(
            status=self.status,
            headers=tuple((str(k), str(v)) for k, v in self.headers.items()),
            body=b"".join(self.chunks),
        )

    async def _write_to_caller(self, writing: Awaitable[None]) -> None:
        if self.caller_disconnected:
            # Closes the coroutine, which is never awaited.
            getattr(writing, "close", lambda: None)()
            return
        try:
            await writing
        except ConnectionError:
            self.caller_disconnected = True


async def _replay(
    record: claims.OutcomeRecord, sink: delivery.ResponseSink
) -> outcome.Refusal | None:
    if record.response is not None:
        response = record.response
        await sink.send_complete(
            response.status, dict(response.headers), response.body
        )
        return None
    answered = record.outcome is outcome.Outcome.ANSWERED
    return outcome.Refusal(
        reason=outcome.Reason.KEY_LOST,
        outcome=record.outcome,
        message=(
            "an earlier call with this key was answered; the answer was too "
            "large to keep"
            if answered
            else "it is not known whether an earlier call with this key ran"
        ),
        status=409,
    )
