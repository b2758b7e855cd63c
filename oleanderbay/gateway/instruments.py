"""Instruments for the metrics of a gateway."""

import dataclasses

from opentelemetry import metrics

from oleanderbay.process import instruments


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Instruments(instruments.RequestCounters):
    """The instruments that record the metrics of a gateway.

    Attributes:
        refusals: Requests refused by the gateway itself, by reason and status.
        first_event: Time from arrival to the first event of a stream, in ms.
        orders: Orders, health checks and reports, by operation and result.
        loads: Model loads that were started.
        group_changes: Changes of groups: formed, closed or converted.
        store_reads: Reads of the store, by topic and result.
        store_failures: Failed calls of the store, by operation.
        peer_reads: Reads of records from peers, by topic and result.
        connections: Connections for requests to workers, by use: opened or
            reused.
    """

    refusals: metrics.Counter
    first_event: metrics.Histogram
    orders: metrics.Counter
    loads: metrics.Counter
    group_changes: metrics.Counter
    store_reads: metrics.Counter
    store_failures: metrics.Counter
    peer_reads: metrics.Counter
    connections: metrics.Counter


def create(meter: metrics.Meter) -> Instruments:
    """Creates the instruments of a gateway."""

    def counter(name: str, description: str) -> metrics.Counter:
        return meter.create_counter(
            f"oleanderbay.{name}", description=description
        )

    return Instruments(
        **instruments.request_counters(meter),
        refusals=counter("refusals", "Answers of the gateway itself."),
        first_event=meter.create_histogram(
            "oleanderbay.first_event", "ms", "Time to the first event."
        ),
        orders=counter("orders", "Orders to workers."),
        loads=counter("loads", "Loads of models that were begun."),
        group_changes=counter(
            "group_changes", "Groups formed, closed or converted."
        ),
        store_reads=counter("store_reads", "Reads of the store."),
        store_failures=counter(
            "store_failures", "Calls of the store without a usable answer."
        ),
        peer_reads=counter("peer_reads", "Reads of records from peers."),
        connections=counter(
            "connections", "Connections for requests to workers."
        ),
    )
