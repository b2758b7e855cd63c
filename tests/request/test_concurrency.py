"""Tests of the adaptive concurrency limit of an upstream."""

import dataclasses

import pytest

from oleanderbay.process import interfaces
from oleanderbay.request import concurrency

UPSTREAM = interfaces.Upstream(
    id="g",
    service="s",
    zone="z",
    address="",
    start_id="1",
    cold_limit=2,
    warm_limit=20,
)


def report(at_ms, served=0, cold=False):
    return interfaces.UpstreamLoad(
        served=served, cold=cold, reported_at_ms=at_ms
    )


def test_ramp_doubles_after_full_rounds_only():
    """The limit must not grow before a full round has confirmed it."""
    limit = concurrency.AdaptiveLimit(UPSTREAM)
    seen = []
    for _ in range(5):
        for _ in range(limit.limit - 1):
            limit.record_results(1, 0, 100)
            assert limit.limit == (seen[-1] if seen else 2)
        limit.record_results(1, 0, 100)
        seen.append(limit.limit)
    assert seen == [4, 8, 16, 20, 20]
    assert not limit.is_cold


def test_cold_report_holds_the_limit():
    """Responses of a cold upstream must not raise its limit.

    A round that it completes while cold counts once a report says that it is
    warm.
    """
    limit = concurrency.AdaptiveLimit(UPSTREAM)
    limit.apply_load_report(report(1, cold=True))
    limit.record_results(50, 0, 100)
    assert limit.limit == 2
    limit.apply_load_report(report(2, served=50))
    assert limit.limit == 4
    limit.record_results(4, 0, 100)
    assert limit.limit == 8


def test_cold_report_that_ends_without_answers_leaves_the_limit():
    """A warm report without any responses must not raise the limit."""
    limit = concurrency.AdaptiveLimit(UPSTREAM)
    limit.apply_load_report(report(1, cold=True))
    limit.apply_load_report(report(2))
    assert limit.limit == 2


def make_warm_limit():
    limit = concurrency.AdaptiveLimit(UPSTREAM)
    limit.apply_load_report(report(1, served=5))
    for _ in range(4):
        limit.record_results(limit.limit, 0, 100)
    assert limit.limit == 20
    return limit


@pytest.mark.parametrize(
    "event",
    (
        lambda limit: limit.apply_load_report(report(2, served=1)),
        lambda limit: limit.apply_load_report(report(2, served=9, cold=True)),
        lambda limit: limit.record_results(1, 0, 900),
        lambda limit: limit.update_upstream(
            dataclasses.replace(UPSTREAM, start_id="2")
        ),
    ),
)
def test_signs_of_a_cold_start_reset_at_once(event):
    """Each sign of a cold upstream must reset the limit to the cold limit.

    The signs are a lower count of served requests, a cold report, a jump in
    latency and a new start id.
    """
    limit = make_warm_limit()
    assert event(limit)
    assert limit.limit == 2
    assert limit.is_cold


def test_old_report_does_not_reset():
    """The lower count of an outdated report must not look like a restart."""
    limit = make_warm_limit()
    assert not limit.apply_load_report(report(0, served=0, cold=True))
    assert limit.limit == 20


def test_slow_rounds_and_failures_shrink_then_grow_by_one():
    """Doubling the limit again after an overload would cause the next one."""
    limit = make_warm_limit()
    limit.record_results(20, 0, 300)
    assert limit.limit == 15
    limit.record_results(0, 1, 0)
    assert limit.limit == 11
    limit.record_results(11, 0, 100)
    assert limit.limit == 12
    for _ in range(30):
        limit.record_results(0, 1, 0)
    assert limit.limit == 2


def test_new_owner_starts_at_the_limit_of_a_warm_upstream():
    """A change of owner must not reset warm upstreams to the cold limit."""
    limit = concurrency.AdaptiveLimit(UPSTREAM)
    limit.apply_load_report(report(1, served=5))
    limit.initialize(12)
    assert limit.limit == 12
    cold = concurrency.AdaptiveLimit(UPSTREAM)
    cold.apply_load_report(report(1, cold=True))
    cold.initialize(12)
    assert cold.limit == 2
