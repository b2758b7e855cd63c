"""Relays the stream of one worker to a caller, event by event."""

from collections.abc import Callable

from oleanderbay.gateway import (
    event_stream,
    health,
    interfaces,
    quarantine,
    request_state,
    response,
    stalls,
    worker_client,
    workers,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

# Media type of streams; a worker may leave it out.
MEDIA_TYPE = "text/event-stream"
# A caller that takes longer than this for an event hides how long its worker
# takes for the next one.
PROMPT_WRITE_MS = 2


class SilentError(worker_client.AttemptError):
    """The worker is silent, and another one can take its stream over."""


class StreamRelay:
    """Passes on the whole events of one worker's stream as they arrive.

    Attributes:
        record_survival: Called when the worker has survived the beginning of
            the request, or its end.
    """

    def __init__(
        self,
        request: request_state.RequestState,
        worker: workers.Worker,
        worker_response: worker_client.WorkerResponse,
        sink: response.ResponseSink,
        worker_health: health.HealthTracker,
        stall_policy: stalls.StallPolicy,
        translator: interfaces.Translator,
        clock: clocks.Clock,
        max_event_bytes: int,
        record_survival: Callable[[], None],
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self.request = request
        self.worker = worker
        self.worker_response = worker_response
        self.sink = sink
        self.worker_health = worker_health
        self.stall_policy = stall_policy
        self.translator = translator
        self.clock = clock
        self.record_survival = record_survival
        self.telemetry = telemetry
        self._parser = event_stream.EventStreamParser(
            request.last_event_id, max_event_bytes
        )
        # Whether the time for the next event is that of the worker alone.
        self._measures_gap = False
        # What has arrived while another worker was asked for the rest.
        self._arrived: list[event_stream.Event] = []
        self._error: Exception | None = None

    async def run(self) -> None:
        """Relays the stream to its end.

        Raises:
            SilentError: The worker is silent; `go_on` waits for it again.
            AttemptError: The stream was cut off, or its time is over.
            EventStreamError: The bytes are not the expected events.
        """
        if self.sink.started:
            self.telemetry.count_resumed_stream(self.request.service.name)
        await self.go_on()

    def has_progress(self) -> bool:
        """Whether events or the end have arrived since the relay stopped."""
        if self._error is None:
            try:
                data = self.worker_response.read_arrived()
                self._arrived += self._parser.feed(data)
            except (
                worker_client.AttemptError,
                event_stream.EventStreamError,
            ) as error:
                self._error = error
        return self._error is None and (
            self.worker_response.ended
            or any(not event.is_comment for event in self._arrived)
        )

    async def go_on(self) -> None:
        """Relays the rest of the stream; raises the same as `run`."""
        while (received := await self._next_events()) is not None:
            await self._pass_on(received)
        if self._parser.has_partial_event:
            raise event_stream.PartialEventError(
                "the stream ends inside an event"
            )
        # Without events, only its framing shows that a response is complete,
        # and nothing shows that a stream ended with the last event before.
        if not self.request.events and (
            self.sink.started or not self.worker_response.framed
        ):
            raise event_stream.PartialEventError("the stream has no event")
        if not self.sink.started:
            await self._begin_response()
        self.worker_health.record_success(self.worker.id)
        if self.request.events:
            self.record_survival()
        await self.sink.end()

    async def _next_events(self) -> list[event_stream.Event] | None:
        """Waits for the next events; returns None at the end of the stream.

        The wait begins when the caller has taken the events before. Neither
        comments nor a part of an event prolong it, since a stalled worker may
        send both.
        """
        if self._error is not None:
            raise self._error
        if self._arrived:
            received, self._arrived = self._arrived, []
            return received
        since_ms = self.clock.now_ms()
        worker_health = self.worker_health.worker(self.worker.id)
        timer = self.stall_policy.schedule_suspicion(
            self.worker.id,
            worker_health.typical_gap_ms
            or self.stall_policy.gap_timeout_ms(self.request, worker_health),
        )
        try:
            while data := await self._read(since_ms):
                received = self._parser.feed(data)
                if any(not event.is_comment for event in received):
                    break
                await self._write(received)
            else:
                return None
        finally:
            timer.cancel()
        self.worker_health.record_activity(self.worker.id)
        if self._measures_gap:
            self.worker_health.record_event_gap(
                self.worker.id, self.clock.now_ms() - since_ms
            )
        return received

    async def _read(self, since_ms: int) -> bytes:
        """Reads from a stream whose next event is awaited since a time.

        Raises:
            SilentError: Another worker can take over.
            AttemptError: The stream was cut off, or its time is over.
        """
        limit_ms = (
            self.stall_policy.gap_timeout_ms(
                self.request, self.worker_health.worker(self.worker.id)
            )
            if self.request.events
            else self.stall_policy.first_event_timeout_ms(self.request)
        )
        while True:
            now_ms = self.clock.now_ms()
            waited_ms = now_ms - since_ms
            left_ms = self.request.deadline_ms - now_ms
            if left_ms <= 0:
                raise worker_client.AttemptError(
                    "the answer stalls", True, True
                )
            if waited_ms >= limit_ms and self._can_be_replaced():
                raise SilentError("the answer stalls", True, True)
            # Another worker may become able to take over at any time.
            next_check_ms = limit_ms - waited_ms % limit_ms
            data = await self.worker_response.try_read(
                min(next_check_ms, left_ms)
            )
            if data is not None:
                return data

    def _can_be_replaced(self) -> bool:
        """Whether another worker can go on in place of this silent one."""
        silent = self.request.silent
        return (
            silent is not None and silent.goes_on()
        ) or self.stall_policy.can_fail_over(self.request)

    async def _pass_on(self, received: list[event_stream.Event]) -> None:
        request, before = self.request, self.request.events
        request.has_unnumbered_events |= self._parser.has_unnumbered_events
        arrived_ms = self.clock.now_ms()
        if request.silent is not None and any(
            not event.is_comment for event in received
        ):
            request.close_silent()
        await self._write(received)
        self._measures_gap = self.clock.now_ms() - arrived_ms <= PROMPT_WRITE_MS
        request.waits_since_ms = self.clock.now_ms()
        request.last_event_id = self._parser.last_id
        request.events += sum(not event.is_comment for event in received)
        if before < quarantine.SURVIVED_EVENTS <= request.events:
            self.record_survival()

    async def _write(self, received: list[event_stream.Event]) -> None:
        if not received:
            return
        if not self.sink.started:
            self.telemetry.record_first_event(
                self.request.service.name,
                self.clock.now_ms() - self.request.caller_request.arrived_ms,
            )
            await self._begin_response()
        await self.sink.write(b"".join(event.data for event in received))

    async def _begin_response(self) -> None:
        self.request.stream_start = stream_start(self.worker_response)
        await self.sink.begin(
            self.worker_response.status,
            self.translator.response_headers(self.worker_response.headers),
        )


def stream_start(
    worker_response: worker_client.WorkerResponse,
) -> tuple[int, str]:
    """Returns the status and the media type of a response."""
    stated = worker_response.headers.get("Content-Type", "")
    media_type = stated.partition(";")[0].strip().lower()
    return worker_response.status, media_type or MEDIA_TYPE
