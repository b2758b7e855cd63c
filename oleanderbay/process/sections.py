"""How settings are declared, and the sections that entries and gateways share.

A section is a frozen data class; the metadata of its fields holds the limits
that `checker` checks.
"""

import dataclasses
from typing import Any

METRICS_EXPORTERS = ("none", "prometheus", "otlp")
TRACES_EXPORTERS = ("none", "otlp")
LOG_LEVELS = ("debug", "info", "warning", "error", "critical")


def setting(
    default: Any = dataclasses.MISSING,
    *,
    low: float | None = None,
    high: float | None = None,
    choices: tuple[str, ...] = (),
    empty: bool = True,
    max_bytes: int | None = None,
    address: bool = False,
    rounds: bool = False,
) -> Any:
    """Declares a setting with its limits.

    Args:
        default: The value if the file has none; required if left out.
        low: Least number allowed; None for no limit.
        high: Greatest number allowed; None for no limit.
        choices: The texts allowed; empty if any text is.
        empty: Whether an empty text is allowed.
        max_bytes: Most bytes that a text may have in UTF-8; None for no
            limit.
        address: Whether a text must be `host:port`.
        rounds: Whether a fraction is rounded to an integer.
    """
    limits = {
        "low": low,
        "high": high,
        "choices": choices,
        "empty": empty,
        "max_bytes": max_bytes,
        "address": address,
        "rounds": rounds,
    }
    return dataclasses.field(default=default, metadata=limits)


def milliseconds(
    default: int, low: int = 1, high: int = 3_600_000, *, rounds: bool = False
) -> Any:
    """Declares a time in ms, by default from 1 ms to an hour."""
    return setting(default, low=low, high=high, rounds=rounds)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TelemetrySettings:
    """Metrics and traces; each exporter costs memory.

    Attributes:
        metrics: Exporter of metrics; `prometheus` is `/metrics` of the
            listener for readiness.
        traces: Exporter of traces.
        otlp_endpoint: Base address of the OTLP receiver over HTTP.
        interval_ms: How often metrics are pushed by OTLP.
    """

    metrics: str = setting("none", choices=METRICS_EXPORTERS)
    traces: str = setting("none", choices=TRACES_EXPORTERS)
    otlp_endpoint: str = ""
    interval_ms: int = milliseconds(10_000)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoggingSettings:
    """Logs on standard error.

    Attributes:
        level: Lowest level that is written.
    """

    level: str = setting("info", choices=LOG_LEVELS)
