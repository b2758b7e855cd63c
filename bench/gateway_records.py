"""What the records of the store cost a gateway in time and memory."""

import functools
import tracemalloc
from collections.abc import Callable, Iterator

from bench import gateway_parts as parts
from bench import harness
from oleanderbay.gateway import entry, feed, interfaces
from oleanderbay.platform import names

WORKERS = (63, 260, 1_040, 4_160, 12_000)
ROUTES = (100, 300, 1_000, 3_000, 10_000)


def _records_us(
    followed: feed.Feed,
    count: int,
    change: bool,
    then: Callable[[], object] = lambda: None,
) -> float:
    """Returns the time for one record, which may differ from the last one."""
    calls, repeats = 50, 3
    start = followed.offset
    made = iter(
        [
            parts.record(start + n, n % count, born=1 + change * (start + n))
            for n in range(calls * repeats)
        ]
    )

    def call() -> None:
        record = next(made)
        followed.merge([record], record.offset + 1)
        then()

    return harness.cpu_us_per_call(call, calls, repeats)


def worker_records() -> Iterator[harness.Result]:
    same, changed, regrouped = [], [], []
    for count in WORKERS:
        gateway = parts.gateway()
        parts.fill(gateway, count)
        followed = gateway.feeds["workers"]
        current = gateway.gateway_state.table
        assert current is not None
        collect = functools.partial(
            gateway.selector.pool, current.services["chat"], "large"
        )
        same.append((count, _records_us(followed, count, False)))
        changed.append((count, _records_us(followed, count, True)))
        regrouped.append((count, _records_us(followed, count, True, collect)))
    yield parts.result("worker_record_repeated", "us", same)
    yield parts.result("worker_record_changed", "us", changed)
    yield parts.result("worker_record_and_groups", "us", regrouped)


def configurations() -> Iterator[harness.Result]:
    series, sizes = [], []
    for routes in ROUTES:
        gateway = parts.gateway()
        calls, repeats = max(1, 1_000 // routes), 3
        made = iter(
            [
                interfaces.KeyedRecord(
                    version,
                    names.CONFIGURATION_KEY,
                    parts.configuration(routes, version),
                )
                for version in range(1, calls * repeats + 1)
            ]
        )
        spent_us = harness.cpu_us_per_call(
            lambda gateway=gateway, made=made: gateway.feeds[  # type: ignore[misc]
                "configuration"
            ].merge([next(made)], 0),
            calls,
            repeats,
        )
        series.append((routes, spent_us / 1_000))
        sizes.append(len(parts.configuration(routes)))
    yield parts.result("configuration", "ms", series, record_bytes=sizes)


def _held_kb(fill: Callable[[entry.Gateway], None]) -> float:
    gateway = parts.gateway()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        fill(gateway)
        gateway.gateway_state.groups()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / 1_024


def memory() -> Iterator[harness.Result]:
    yield parts.result(
        "memory_of_workers",
        "KB",
        [(n, _held_kb(lambda g, n=n: parts.fill(g, n))) for n in WORKERS],  # type: ignore[misc]
    )
    yield parts.result(
        "memory_of_routes",
        "KB",
        [
            (n, _held_kb(lambda g, n=n: parts.fill(g, 0, routes=n)))  # type: ignore[misc]
            for n in ROUTES
        ],
    )
    yield parts.result(
        "memory_of_peers",
        "KB",
        [
            (n, _held_kb(lambda g, n=n: parts.hear(g, n, 14)))  # type: ignore[misc]
            for n in parts.PEERS
        ],
        in_flight=14,
    )
