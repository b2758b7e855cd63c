"""Spans and the propagation of their context between hops."""

from collections.abc import Iterator, Mapping, MutableMapping
from contextlib import contextmanager
from typing import Any

from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


@contextmanager
def hop(
    tracer: trace.Tracer,
    name: str,
    kind: trace.SpanKind,
    carrier: Mapping[str, str] | None,
    attributes: Mapping[str, Any],
) -> Iterator[dict[str, str]]:
    """Runs one span and yields the headers for the next hop.

    Args:
        tracer: Makes the span.
        name: Name of the span.
        kind: Side of the call.
        carrier: Headers that may hold `traceparent`; None makes a child of
            the current span.
        attributes: Attributes of the span.
    """
    parent = None if carrier is None else _PROPAGATOR.extract(carrier)
    with tracer.start_as_current_span(
        name, context=parent, kind=kind, attributes=dict(attributes)
    ):
        outgoing: dict[str, str] = {}
        inject(outgoing)
        yield outgoing


def inject(headers: MutableMapping[str, str]) -> None:
    """Writes the context of the current span to the headers of a call."""
    _PROPAGATOR.inject(headers)
