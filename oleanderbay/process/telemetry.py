"""Meters and tracer of one entry."""

import dataclasses
from collections.abc import Mapping
from contextlib import AbstractContextManager
from typing import Any

from opentelemetry import metrics, trace

from oleanderbay.process import exporters, spans
from oleanderbay.process import instruments as instruments_module
from oleanderbay.process import settings as settings_module


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Instruments(instruments_module.RequestCounters):
    """The metrics of the request path.

    Attributes:
        late_frames: Stream events that were dropped as late or duplicate.
        in_progress: Requests in progress.
        first_byte: Time from admission to the first byte in ms.
        duration: Time from arrival to the end in ms.
    """

    late_frames: metrics.Counter
    in_progress: metrics.UpDownCounter
    first_byte: metrics.Histogram
    duration: metrics.Histogram


class Telemetry:
    """Owns the exporters, the meter and the tracer of one entry.

    Attributes:
        meter: Makes instruments.
        tracer: Makes spans.
        instruments: The instruments of the request path.
    """

    def __init__(
        self, config: settings_module.TelemetrySettings, entry_id: str
    ) -> None:
        self._exporters = exporters.Exporters(config, entry_id)
        self.meter = self._exporters.meter
        self.tracer = self._exporters.tracer
        self.instruments = _instruments(self.meter)

    def exposition(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return self._exporters.exposition()

    def hop(
        self,
        name: str,
        kind: trace.SpanKind,
        carrier: Mapping[str, str],
        attributes: Mapping[str, Any],
    ) -> AbstractContextManager[dict[str, str]]:
        """Runs one span and yields the headers for the next hop.

        Args:
            name: Name of the span.
            kind: Side of the call.
            carrier: Headers that may hold `traceparent`.
            attributes: Attributes of the span.
        """
        return spans.hop(self.tracer, name, kind, carrier, attributes)

    def close(self) -> None:
        """Flushes and stops the exporters; may block on the network."""
        self._exporters.close()


def _instruments(meter: metrics.Meter) -> Instruments:
    return Instruments(
        **instruments_module.request_counters(meter),
        late_frames=meter.create_counter(
            "oleanderbay.late_frames",
            description="Stream events dropped as late or duplicate.",
        ),
        in_progress=meter.create_up_down_counter(
            "oleanderbay.requests_in_progress",
            description="Requests in progress.",
        ),
        first_byte=meter.create_histogram(
            "oleanderbay.first_byte", "ms", "Time to the first byte."
        ),
        duration=meter.create_histogram(
            "oleanderbay.duration", "ms", "Time to the end of the answer."
        ),
    )
