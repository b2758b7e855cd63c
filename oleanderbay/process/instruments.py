"""Instruments that entries and gateways have in common."""

import dataclasses

from opentelemetry import metrics


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestCounters:
    """Counters of the request path.

    Attributes:
        requests: Finished requests by service, outcome and reason.
        attempts: Attempts by service and result.
        resumed: Streams that continued on another connection.
    """

    requests: metrics.Counter
    attempts: metrics.Counter
    resumed: metrics.Counter


def request_counters(meter: metrics.Meter) -> dict[str, metrics.Counter]:
    """Makes the fields of `RequestCounters`."""
    return {
        "requests": meter.create_counter(
            "oleanderbay.requests", description="Finished requests."
        ),
        "attempts": meter.create_counter(
            "oleanderbay.attempts", description="Attempts at upstreams."
        ),
        "resumed": meter.create_counter(
            "oleanderbay.resumed_streams",
            description="Streams that continued on another connection.",
        ),
    }
