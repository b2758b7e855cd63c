"""Relays responses from upstreams to callers."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol

from oleanderbay.connection import hops, http
from oleanderbay.connection import upstream as connections
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces, telemetry, watch
from oleanderbay.process import settings as settings_module
from oleanderbay.request import attempt, event_stream, outcome


class ResponseSink(Protocol):
    """Receives the response to one caller."""

    @property
    def started(self) -> bool:
        """Whether the response head has been written."""
        ...

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Writes the head of a response of unknown length."""
        ...

    async def write(self, data: bytes) -> None:
        """Writes a chunk of the body."""
        ...

    async def end(self) -> None:
        """Ends the body, which marks the response as complete."""
        ...

    async def send_complete(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Writes a complete response."""
        ...

    def abort(self) -> None:
        """Closes the connection so that the response is seen as incomplete."""
        ...


@dataclasses.dataclass(slots=True)
class RequestState:
    """Progress of a request across its attempts.

    Attributes:
        caller_request: The request.
        event_filter: Filters the events of a stream; None if the response is
            not a stream.
        attempts: Number of attempts started.
        may_have_run: Whether an upstream may have run the request, even in
            part.
        failed_upstreams: Ids of upstreams that are not tried again.
        stalled_upstreams: Ids of upstreams whose connection stalled once.
        upstream: Upstream of the latest attempt; None before the first one.
        attempt_started_ms: Monotonic time when the latest attempt started.
        first_byte_ms: Time from the start of an attempt to the first byte
            of its response; 0 if there was none.
    """

    caller_request: attempt.CallerRequest
    event_filter: event_stream.EventStreamFilter | None = None
    attempts: int = 0
    may_have_run: bool = False
    failed_upstreams: set[str] = dataclasses.field(default_factory=set)
    stalled_upstreams: set[str] = dataclasses.field(default_factory=set)
    upstream: interfaces.Upstream | None = None
    attempt_started_ms: int = 0
    first_byte_ms: int = 0

    @property
    def outcome_without_response(self) -> outcome.Outcome:
        """Outcome to report if the request ends without a response."""
        if self.may_have_run:
            return outcome.Outcome.UNKNOWN
        return outcome.Outcome.NOT_RUN


class Delivery:
    """Relays responses from upstreams to callers."""

    def __init__(
        self,
        config: settings_module.UpstreamSettings,
        buffer_bytes: int,
        deadlines: watch.Watch,
        clock: clocks.Clock,
        instruments: telemetry.Instruments,
    ) -> None:
        """Creates an instance.

        Args:
            config: Timeouts and limits of requests to upstreams.
            buffer_bytes: Responses up to this size are buffered until complete.
            deadlines: Detects stalled reads.
            clock: Monotonic clock.
            instruments: Metrics.
        """
        self.config = config
        self.buffer_bytes = buffer_bytes
        self.deadlines = deadlines
        self.clock = clock
        self.instruments = instruments

    async def deliver(
        self,
        response: connections.Exchange,
        run: RequestState,
        sink: ResponseSink,
    ) -> attempt.FailedAttempt | None:
        """Relays one response; returns the failure if it is incomplete."""
        response.limit_ms = self.config.first_byte_timeout_ms
        self.deadlines.watched.add(response)
        try:
            if run.event_filter is not None and response.status == 200:
                return await self._relay_stream(
                    response, run, run.event_filter, sink
                )
            if sink.started:
                # A head and a body can't follow what the caller has received.
                return _failure("the stream can't be resumed here")
            return await self._relay_body(response, run, sink)
        except connections.UpstreamError as error:
            return _failure(str(error), stalled=error.stalled)
        finally:
            self.deadlines.watched.discard(response)
            # Closes the connection unless the body was read to its end. The
            # upstream then cancels its work.
            response.abort()

    async def _relay_stream(
        self,
        response: connections.Exchange,
        run: RequestState,
        event_filter: event_stream.EventStreamFilter,
        sink: ResponseSink,
    ) -> attempt.FailedAttempt | None:
        event_filter.start_attempt(run.attempts - 1)
        counted_drops = event_filter.dropped_events
        read, write = response.read_some, sink.write
        response.awaiting_since_ms = self.clock.now_ms()
        while True:
            chunk = await read()
            if not chunk:
                return _failure("the stream ended early")
            data = event_filter.feed(chunk)
            if data:
                if not run.first_byte_ms:
                    self._record_first_byte(run)
                    response.limit_ms = self.config.stall_ms
                    if not sink.started:
                        await sink.begin(200, _stream_headers(response))
                await write(data)
                response.awaiting_since_ms = self.clock.now_ms()
            if event_filter.dropped_events != counted_drops:
                self.instruments.late_frames.add(
                    event_filter.dropped_events - counted_drops
                )
                counted_drops = event_filter.dropped_events
            if event_filter.done:
                await sink.end()
                await response.read_rest()
                return None
            if event_filter.error:
                return _failure(event_filter.error)

    async def _relay_body(
        self,
        response: connections.Exchange,
        run: RequestState,
        sink: ResponseSink,
    ) -> attempt.FailedAttempt | None:
        call = run.caller_request
        self._record_first_byte(run)
        headers = hops.end_to_end(response.headers, drop=http.OWN)
        length = response.response.content_length
        if call.method == "HEAD" or response.status in (204, 304):
            await sink.send_complete(response.status, headers, b"")
            return None
        if call.prompt or (length is not None and length <= self.buffer_bytes):
            body = await response.read_all(self.config.max_response_bytes)
            response.release()
            await sink.send_complete(response.status, headers, body)
            return None
        await sink.begin(response.status, headers)
        while part := await response.read_some():
            await sink.write(part)
        await sink.end()
        response.release()
        return None

    def _record_first_byte(self, run: RequestState) -> None:
        run.first_byte_ms = max(1, self.clock.now_ms() - run.attempt_started_ms)


def _failure(message: str, stalled: bool = False) -> attempt.FailedAttempt:
    return attempt.FailedAttempt(
        outcome=outcome.Outcome.UNKNOWN, message=message, stalled=stalled
    )


def _stream_headers(response: connections.Exchange) -> dict[str, str]:
    return {
        "Content-Type": response.headers.get(
            "Content-Type", "text/event-stream"
        ),
        "Cache-Control": "no-cache",
    }
