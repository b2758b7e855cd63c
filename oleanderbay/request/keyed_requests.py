"""Calls with an idempotency key."""

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

Runner = Callable[
    [attempt.CallerRequest, delivery.ResponseSink],
    Awaitable[outcome.Refusal | None],
]


class KeyedRequests:
    """Runs each key once and records what became of it.

    The call runs in a task of its own: when the caller leaves, it goes on, so
    that its outcome is known when the caller asks again with the same key.

    Attributes:
        running: Calls in progress.
    """

    def __init__(self, claimed: idempotency.Idempotency, run: Runner) -> None:
        self.claimed = claimed
        self.run_call = run
        self.running: set[asyncio.Task[outcome.Refusal | None]] = set()

    async def run(
        self, call: attempt.CallerRequest, sink: delivery.ResponseSink
    ) -> outcome.Refusal | None:
        """Runs a call with a key, or replays what is recorded for it."""
        context = call.context
        key = keys.parse_key(
            f"{call.service.id}/{call.team.id}",
            context.key,
            str(context.key_issued_ms or ""),
        )
        if isinstance(key, outcome.Refusal):
            return key
        body = call.body if isinstance(call.body, bytes) else b""
        begun = await self.claimed.begin(
            key,
            keys.body_digest(call.method, call.path, body),
            call.deadline_at_ms,
        )
        if isinstance(begun, outcome.Refusal):
            return begun
        if isinstance(begun, idempotency.Replay):
            return await _replay(begun.record, sink)
        task = asyncio.create_task(self._once(begun, call, sink))
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Waits for calls in progress; each has a deadline."""
        await asyncio.gather(*self.running, return_exceptions=True)

    async def _once(
        self,
        claim: idempotency.Claim,
        call: attempt.CallerRequest,
        sink: delivery.ResponseSink,
    ) -> outcome.Refusal | None:
        recorder = Recorder(sink, self.claimed.settings.max_answer_bytes)
        try:
            refusal = await self.run_call(call, recorder)
            if refusal is None and recorder.complete:
                claim.answered(recorder.answer())
            elif (
                refusal is not None
                and refusal.outcome is outcome.Outcome.NOT_RUN
                and not recorder.started
            ):
                claim.not_run()
            return refusal
        finally:
            # Without effect if the outcome was recorded above.
            claim.unknown()


class Recorder:
    """A sink that keeps a small answer and outlives its caller.

    Attributes:
        gone: Whether the caller has left.
        complete: Whether the whole answer was seen.
        status: HTTP status of the answer.
        headers: Its headers.
        parts: Its body as far as it is kept.
    """

    def __init__(self, sink: delivery.ResponseSink, max_bytes: int) -> None:
        self.sink = sink
        self.max_bytes = max_bytes
        self.gone = False
        self.complete = False
        self.status = 0
        self.headers: Mapping[str, str] = {}
        self.parts: list[bytes] = []
        self.size = 0

    @property
    def started(self) -> bool:
        """Whether the head has been written."""
        return self.status != 0

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Writes the head."""
        self.status = status
        self.headers = headers
        await self._pass(self.sink.begin(status, headers))

    async def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        # One byte more than allowed is enough to show that it's too large.
        self.parts.append(data[: self.max_bytes + 1 - self.size])
        self.size += len(self.parts[-1])
        await self._pass(self.sink.write(data))

    async def end(self) -> None:
        """Ends the body."""
        self.complete = True
        await self._pass(self.sink.end())

    async def send_complete(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Writes a complete answer."""
        self.status = status
        self.headers = headers
        self.parts = [body]
        self.complete = True
        await self._pass(self.sink.send_complete(status, headers, body))

    def abort(self) -> None:
        """Shows that the answer is not complete."""
        self.sink.abort()

    def answer(self) -> claims.Answer:
        """Returns the answer for replay."""
        return claims.Answer(
            status=self.status,
            headers=tuple((str(k), str(v)) for k, v in self.headers.items()),
            body=b"".join(self.parts),
        )

    async def _pass(self, written: Awaitable[None]) -> None:
        if self.gone:
            # Closes the coroutine that won't be awaited.
            getattr(written, "close", lambda: None)()
            return
        try:
            await written
        except ConnectionError:
            self.gone = True


async def _replay(
    record: claims.Record, sink: delivery.ResponseSink
) -> outcome.Refusal | None:
    if record.answer is not None:
        answer = record.answer
        await sink.send_complete(
            answer.status, dict(answer.headers), answer.body
        )
        return None
    known = record.outcome is outcome.Outcome.ANSWERED
    return outcome.Refusal(
        reason=outcome.Reason.KEY_LOST,
        outcome=record.outcome,
        message=(
            "an earlier call with this key was answered; the answer was too "
            "large to keep"
            if known
            else "it is not known whether an earlier call with this key ran"
        ),
        status=409,
    )
