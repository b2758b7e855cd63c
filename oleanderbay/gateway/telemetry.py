"""Metrics and traces of a gateway."""

import asyncio
import contextlib
import functools
import threading
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterable,
    Mapping,
    MutableMapping,
)
from types import TracebackType
from typing import TYPE_CHECKING, Any, Protocol, Self

from opentelemetry import metrics, trace

from oleanderbay.gateway import feed, interfaces, settings, state
from oleanderbay.gateway import instruments as instruments_module
from oleanderbay.process import spans
from oleanderbay.request import outcome

if TYPE_CHECKING:
    from oleanderbay.process import exporters

# Time for the exporters to flush at the end of a graceful stop.
FLUSH_TIMEOUT_MS = 300
# Label of requests that were refused before their service was known.
UNKNOWN_SERVICE = "none"

_NO_SPAN = contextlib.nullcontext()


class TelemetryError(Exception):
    """The packages of an exporter are not installed."""


class AttemptFailure(Protocol):
    """The part of a failed attempt that its metrics depend on.

    Attributes:
        may_have_run: Whether the request may have run at the worker.
        may_have_arrived: Whether it may have arrived there.
    """

    @property
    def may_have_run(self) -> bool: ...  # noqa: D102

    @property
    def may_have_arrived(self) -> bool: ...  # noqa: D102


class Telemetry:
    """Owns the exporters, the instruments and the tracer of a gateway.

    Without exporters, all instruments are no-ops, no spans are recorded and
    headers are forwarded unchanged.

    Attributes:
        instruments: The instruments that record the metrics.
    """

    def __init__(
        self, config: settings.TelemetrySettings, gateway_id: str
    ) -> None:
        """Loads the exporters that the settings select.

        Raises:
            TelemetryError: A package that an exporter requires is missing.
        """
        self._config = config
        self._exporters: exporters.Exporters | None = None
        if config.metrics != "none" or config.traces != "none":
            self._exporters = _load_exporters(config, gateway_id)
        self._meter: metrics.Meter = (
            self._exporters.meter
            if self._exporters is not None
            else metrics.NoOpMeterProvider().get_meter("oleanderbay")
        )
        self._tracer: trace.Tracer | None = None
        if self._exporters is not None and config.traces != "none":
            self._tracer = self._exporters.tracer
        self.instruments = instruments_module.create(self._meter)

    def exposition(self) -> bytes | None:
        """Returns the Prometheus metrics; None without that exporter."""
        if self._exporters is None or self._config.metrics != "prometheus":
            return None
        return self._exporters.exposition()

    def register_gauge(
        self,
        name: str,
        unit: str,
        description: str,
        read: Callable[[], int | None],
    ) -> None:
        """Registers a gauge whose value is read for each export.

        Args:
            name: Name of the metric without its prefix.
            unit: Unit of the value.
            description: Description of the metric.
            read: Returns the value; None omits the gauge from the export.
        """

        def observe(
            options: metrics.CallbackOptions,
        ) -> Iterable[metrics.Observation]:
            value = read()
            return () if value is None else (metrics.Observation(value),)

        self._meter.create_observable_gauge(
            f"oleanderbay.{name}", [observe], unit, description
        )

    def register_gauges(
        self,
        gateway_state: state.State,
        feeds: Mapping[str, feed.Feed],
        peers: Collection[object],
        behind_ms: Callable[[str], int],
    ) -> None:
        """Registers gauges of the configuration, the feeds and the peers."""

        def read_version() -> int | None:
            return (
                gateway_state.table.version
                if gateway_state.table is not None
                else None
            )

        def read_age(topic_feed: feed.Feed) -> int | None:
            return topic_feed.age_ms() if topic_feed.answered_ms >= 0 else None

        self.register_gauge(
            "configuration_version", "", "Configuration in force.", read_version
        )
        for name, topic_feed in feeds.items():
            self.register_gauge(
                f"{name}_age",
                "ms",
                f"Time since the store's last answer about {name}.",
                functools.partial(read_age, topic_feed),
            )
            self.register_gauge(
                f"{name}_behind",
                "ms",
                f"Time for which records about {name} that a peer has have "
                "been missing.",
                functools.partial(behind_ms, name),
            )
        self.register_gauge(
            "peers_live", "", "Peers heard from lately.", lambda: len(peers)
        )

    def observe_request(
        self, request: interfaces.CallerRequest
    ) -> "RequestObservation":
        """Returns a context manager that records a caller's request."""
        return RequestObservation(self, request)

    def observe_attempt(
        self, service: str, worker_id: str
    ) -> "AttemptObservation":
        """Returns a context manager that records an attempt at a worker."""
        return AttemptObservation(self, service, worker_id)

    def inject_trace_context(self, headers: MutableMapping[str, str]) -> None:
        """Adds the current span's context to the headers of a request."""
        if self._tracer is not None:
            spans.inject(headers)

    def count_connection(self, *, reused: bool) -> None:
        """Counts a connection that is used for a request to a worker."""
        use = "reused" if reused else "opened"
        self.instruments.connections.add(1, {"use": use})

    def count_resumed_stream(self, service: str) -> None:
        """Counts a stream that is resumed at another worker."""
        self.instruments.resumed.add(1, {"service": service})

    def record_first_event(self, service: str, took_ms: int) -> None:
        """Records the time from a request's arrival to its first event."""
        self.instruments.first_event.record(took_ms, {"service": service})

    def count_group_change(self, change: str) -> None:
        """Counts a group that was formed, closed or converted."""
        self.instruments.group_changes.add(1, {"change": change})

    def count_refusal(self, refusal: outcome.Refusal) -> None:
        """Counts a request that the gateway refused itself."""
        self.instruments.refusals.add(
            1, {"reason": refusal.reason.value, "status": refusal.status}
        )

    async def observe_peer_read(
        self, topic: str, peer_id: str, fetch: Awaitable[bool]
    ) -> None:
        """Records a read of a topic's records from a peer.

        Args:
            topic: Name of the feed.
            peer_id: Id of the peer.
            fetch: Reads the records and returns whether that succeeded.
        """
        with self.span(
            "records", trace.SpanKind.CLIENT, {"topic": topic, "peer": peer_id}
        ):
            result = "ok" if await fetch else "failed"
            self.set_span_attributes({"result": result})
        self.instruments.peer_reads.add(1, {"topic": topic, "result": result})

    def instrument_orders(self, orders: interfaces.Orders) -> interfaces.Orders:
        """Returns the orders, instrumented if there is an exporter."""
        if self._exporters is None:
            return orders
        # Imported here because it is only needed with an exporter.
        from oleanderbay.gateway import instrumentation

        return instrumentation.instrument_orders(self, orders)

    def instrument_store(self, store: interfaces.Store) -> interfaces.Store:
        """Returns the store, instrumented if there is an exporter."""
        if self._exporters is None:
            return store
        from oleanderbay.gateway import instrumentation

        return instrumentation.instrument_store(self, store)

    def span(
        self,
        name: str,
        kind: trace.SpanKind,
        attributes: Mapping[str, Any],
        carrier: Mapping[str, str] | None = None,
    ) -> contextlib.AbstractContextManager[Any]:
        """Returns a span; a no-op without an exporter of traces."""
        if self._tracer is None:
            return _NO_SPAN
        return spans.hop(self._tracer, name, kind, carrier, attributes)

    def set_span_attributes(self, attributes: Mapping[str, str]) -> None:
        """Sets attributes of the current span."""
        if self._tracer is not None:
            trace.get_current_span().set_attributes(attributes)

    async def close(self) -> None:
        """Flushes and stops the exporters, waiting a limited time.

        The flush runs in a daemon thread, so that an unavailable receiver
        does not delay the end of the process beyond its grace period.
        """
        if self._exporters is None:
            return
        flushed = asyncio.Event()
        loop = asyncio.get_running_loop()
        stop = self._exporters.close

        def flush() -> None:
            try:
                stop()
            finally:
                with contextlib.suppress(RuntimeError):
                    loop.call_soon_threadsafe(flushed.set)

        threading.Thread(target=flush, daemon=True).start()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_MS / 1000):
                await flushed.wait()


class RequestObservation:
    """Records the span and the outcome of a caller's request.

    Attributes:
        service: Name of the request's service, set once it is known.
        refusal: Refusal of the request; None if it was answered.
    """

    __slots__ = ("_request", "_span", "_telemetry", "refusal", "service")

    def __init__(
        self, telemetry: Telemetry, request: interfaces.CallerRequest
    ) -> None:
        self._telemetry = telemetry
        self._request = request
        self.service = UNKNOWN_SERVICE
        self.refusal: outcome.Refusal | None = None

    def __enter__(self) -> Self:
        request = self._request
        self._span = self._telemetry.span(
            "request",
            trace.SpanKind.SERVER,
            {"request_id": request.id, "model": request.model},
            request.headers,
        )
        self._span.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        outcome_label, reason = outcome.Outcome.ANSWERED.value, ""
        if kind is not None:
            # The listener cancels the task when the caller disconnects.
            outcome_label = outcome.Outcome.UNKNOWN.value
            disconnected = issubclass(
                kind, (asyncio.CancelledError, ConnectionError)
            )
            reason = (
                outcome.Reason.CANCELLED.value
                if disconnected
                else outcome.Reason.FAULT.value
            )
        elif self.refusal is not None:
            outcome_label = self.refusal.outcome.value
            reason = self.refusal.reason.value
        labels = {
            "service": self.service,
            "outcome": outcome_label,
            "reason": reason,
        }
        self._telemetry.instruments.requests.add(1, labels)
        self._telemetry.set_span_attributes(labels)
        self._span.__exit__(kind, error, traceback)


class AttemptObservation:
    """Records the span and the result of an attempt at a worker.

    Attributes:
        result: Result of the attempt; "cancelled" until it is recorded.
    """

    __slots__ = ("_service", "_span", "_telemetry", "_worker_id", "result")

    def __init__(
        self, telemetry: Telemetry, service: str, worker_id: str
    ) -> None:
        self._telemetry = telemetry
        self._service = service
        self._worker_id = worker_id
        self.result = "cancelled"

    def __enter__(self) -> Self:
        self._span = self._telemetry.span(
            "attempt",
            trace.SpanKind.CLIENT,
            {"service": self._service, "worker": self._worker_id},
        )
        self._span.__enter__()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._telemetry.instruments.attempts.add(
            1, {"service": self._service, "result": self.result}
        )
        self._telemetry.set_span_attributes({"result": self.result})
        self._span.__exit__(kind, error, traceback)

    def record_result(self, failed: AttemptFailure | None) -> None:
        """Sets the result; None as the failure means a response."""
        if failed is None:
            self.result = "answered"
        elif failed.may_have_run:
            self.result = "failed"
        else:
            self.result = (
                "refused" if failed.may_have_arrived else "not_connected"
            )


def _load_exporters(
    config: settings.TelemetrySettings, gateway_id: str
) -> "exporters.Exporters":
    try:
        # Imported here so that gateways without exporters save the SDK's
        # memory.
        from oleanderbay.process import exporters

        return exporters.Exporters(config, gateway_id)
    except ImportError as error:
        raise TelemetryError(
            f"the exporter of metrics or traces requires the package "
            f"{error.name}, which is not installed"
        ) from error


# Default of components that are used without a gateway.
DISABLED = Telemetry(settings.TelemetrySettings(), "")
