"""Answers of upstreams passed on to callers."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from oleanderbay.connection import hops, http
from oleanderbay.connection import upstream as connections
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces, telemetry, watch
from oleanderbay.process import settings as settings_module
from oleanderbay.request import attempt, outcome, relay


class Sink(Protocol):
    """Where the answer goes."""

    @property
    def started(self) -> bool:
        """Whether the head has been written."""
        ...

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Writes the head."""
        ...

    async def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        ...

    async def end(self) -> None:
        """Ends the body."""
        ...

    async def whole(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Writes a complete answer."""
        ...

    def abort(self) -> None:
        """Shows that the answer is not complete."""
        ...


@dataclasses.dataclass(slots=True)
class Run:
    """What has happened to a request so far.

    Attributes:
        call: The request.
        events: Checks the stream's events; None if it isn't a stream.
        attempts: Attempts begun.
        may_have_run: Whether an upstream may have run any of it.
        failed: Ids of upstreams that are not to be tried again.
        stalled: Ids of upstreams whose connection stalled once.
        upstream: The upstream of the newest attempt; None before it.
        first_byte_ms: Time from the start of an attempt to the first byte
            of its answer; 0 if there was none.
    """

    call: attempt.CallerRequest
    events: relay.Events | None = None
    attempts: int = 0
    may_have_run: bool = False
    failed: set[str] = dataclasses.field(default_factory=set)
    stalled: set[str] = dataclasses.field(default_factory=set)
    upstream: interfaces.Upstream | None = None
    begun_ms: int = 0
    first_byte_ms: int = 0

    @property
    def known(self) -> outcome.Outcome:
        """Outcome if the request ended now without an answer."""
        if self.may_have_run:
            return outcome.Outcome.UNKNOWN
        return outcome.Outcome.NOT_RUN


class Delivery:
    """Passes answers of upstreams on to callers."""

    def __init__(
        self,
        config: settings_module.UpstreamSettings,
        buffer_bytes: int,
        deadlines: watch.Watch,
        clock: clocks.Clock,
        instruments: telemetry.Instruments,
    ) -> None:
        """Makes the delivery.

        Args:
            config: Limits towards upstreams.
            buffer_bytes: Answers up to this size are held until complete.
            deadlines: Notices stalled reads.
            clock: Time.
            instruments: Metrics.
        """
        self.config = config
        self.buffer_bytes = buffer_bytes
        self.deadlines = deadlines
        self.clock = clock
        self.instruments = instruments

    async def deliver(
        self, exchange: connections.Exchange, run: Run, sink: Sink
    ) -> attempt.FailedAttempt | None:
        """Passes one answer on; returns why it could not be completed."""
        exchange.limit_ms = self.config.first_byte_timeout_ms
        self.deadlines.watched.add(exchange)
        try:
            if run.events is not None and exchange.status == 200:
                return await self._stream(exchange, run, run.events, sink)
            if run.events is not None and run.events.position:
                return _failure("the stream can't be resumed here")
            return await self._body(exchange, run, sink)
        except connections.UpstreamError as error:
            return _failure(str(error), stalled=error.stalled)
        finally:
            self.deadlines.watched.discard(exchange)
            # Closes the connection unless the body was read to its end, and
            # so cancels the work at the upstream.
            exchange.abort()

    async def _stream(
        self,
        exchange: connections.Exchange,
        run: Run,
        events: relay.Events,
        sink: Sink,
    ) -> attempt.FailedAttempt | None:
        events.begin(run.attempts - 1)
        dropped = events.dropped
        read, write = exchange.read_some, sink.write
        while True:
            chunk = await read()
            if not chunk:
                return _failure("the stream ended early")
            passed = events.feed(chunk)
            if passed:
                if not run.first_byte_ms:
                    self._first_byte(run)
                    exchange.limit_ms = self.config.stall_ms
                    if not sink.started:
                        await sink.begin(200, _stream_headers(exchange))
                await write(passed)
            if events.dropped != dropped:
                self.instruments.late_frames.add(events.dropped - dropped)
                dropped = events.dropped
            if events.done:
                await sink.end()
                await exchange.read_rest()
                return None
            if events.broken:
                return _failure(events.broken)

    async def _body(
        self, exchange: connections.Exchange, run: Run, sink: Sink
    ) -> attempt.FailedAttempt | None:
        call = run.call
        self._first_byte(run)
        headers = hops.end_to_end(exchange.headers, drop=http.OWN)
        length = exchange.response.content_length
        if call.method == "HEAD" or exchange.status in (204, 304):
            await sink.whole(exchange.status, headers, b"")
            return None
        if call.prompt or (length is not None and length <= self.buffer_bytes):
            body = await exchange.read_all(self.config.max_response_bytes)
            exchange.release()
            await sink.whole(exchange.status, headers, body)
            return None
        await sink.begin(exchange.status, headers)
        while part := await exchange.read_some():
            await sink.write(part)
        await sink.end()
        exchange.release()
        return None

    def _first_byte(self, run: Run) -> None:
        run.first_byte_ms = max(1, self.clock.now_ms() - run.begun_ms)


def _failure(message: str, stalled: bool = False) -> attempt.FailedAttempt:
    return attempt.FailedAttempt(
        outcome=outcome.Outcome.UNKNOWN, message=message, stalled=stalled
    )


def _stream_headers(exchange: connections.Exchange) -> dict[str, str]:
    return {
        "Content-Type": exchange.headers.get(
            "Content-Type", "text/event-stream"
        ),
        "Cache-Control": "no-cache",
    }
