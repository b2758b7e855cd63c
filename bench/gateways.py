"""What one gateway spends on control, against the size of the fleet."""

import logging
from collections.abc import Iterator

import structlog

from bench import (
    gateway_heartbeats,
    gateway_keeper,
    gateway_records,
    gateway_requests,
    gateway_store,
    harness,
)


def counts() -> Iterator[harness.Result]:
    """Counts that each run gives alike."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    yield from gateway_heartbeats.counted()


def run() -> Iterator[harness.Result]:
    """Runs everything."""
    yield from counts()
    yield from gateway_heartbeats.heartbeats()
    yield from gateway_records.worker_records()
    yield from gateway_records.configurations()
    yield from gateway_records.memory()
    yield from gateway_keeper.steps()
    yield from gateway_requests.choices()
    yield from gateway_requests.directory()
    yield from gateway_requests.streams()
    yield from gateway_store.store_use()
