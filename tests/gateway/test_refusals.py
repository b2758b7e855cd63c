"""Tests of the log of refused requests."""

import structlog

from oleanderbay.gateway import refusals
from oleanderbay.process import clock as clocks
from tests.gateway import parts


def record(refusal_log, model="small"):
    refusal_log.record("chat", model, "no_capacity", lambda: {"lost": 2})


# In incident inc1 (RECOVER), nothing showed which gateway refused and why.
def test_refusals_are_counted_and_logged_once_per_interval():
    clock = clocks.ManualClock()
    refusal_log = refusals.RefusalLog(clock)
    with structlog.testing.capture_logs() as lines:
        for _ in range(3):
            record(refusal_log)
        clock.set_ms(clock.now_ms() + refusals.LOG_INTERVAL_MS)
        record(refusal_log)
    assert [(line["event"], line["count"], line["lost"]) for line in lines] == [
        ("requests refused", 1, 2),
        ("requests refused", 3, 2),
    ]


def test_kinds_that_callers_make_up_are_not_kept():
    clock = clocks.ManualClock()
    refusal_log = refusals.RefusalLog(clock)
    for number in range(100):
        record(refusal_log, f"m{number}")
        record(refusal_log, f"m{number}")
        clock.set_ms(clock.now_ms() + refusals.LOG_INTERVAL_MS)
    assert len(refusal_log._counts) <= 3
    assert len(refusal_log._logged_ms) <= 3


def test_availability_counts_workers_by_the_state_that_prevents_their_use():
    gateway = parts.GatewayParts()
    gateway.add(*(parts.worker(worker_id) for worker_id in "abcd"))
    gateway.selector.rests.record(parts.worker("d"), 1_000)
    gateway.worker_health.suspect("a")
    gateway.worker_health.lost["b"] = 0
    gateway.loads.record_start("c")
    assert gateway.selector.availability(parts.PLAIN_SERVICE, "") == {
        "candidates": 4,
        "suspected": 1,
        "lost": 1,
        "excluded": 0,
        "resting": 1,
        "full": 1,
    }
