"""Tests of the rates that workers state as their limit."""

import collections

import pytest
import xxhash

from oleanderbay.gateway import worker_limits
from oleanderbay.process import clock as clocks

STEP_MS = 20
WINDOW_MS = 4_000


def pass_time(clock, duration_ms):
    clock.set_ms(clock.now_ms() + duration_ms)


def make_gateways(clock, count):
    def rank(own, worker_id):
        orders = [
            xxhash.xxh64_intdigest(f"{worker_id}/{n}".encode())
            for n in range(count)
        ]
        return sorted(range(count), key=orders.__getitem__).index(own)

    return [
        worker_limits.WorkerLimits(
            clock, lambda: count, lambda worker_id, n=n: rank(n, worker_id)
        )
        for n in range(count)
    ]


def share_reports(gateways):
    for sender in gateways:
        for receiver in gateways:
            if receiver is not sender:
                receiver.update_peer(sender.report())


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def limits(clock):
    return make_gateways(clock, 1)[0]


@pytest.mark.parametrize("count", [1, 7, 83])
@pytest.mark.parametrize("per_s", [0.3, 1.8, 5.0, 40.0])
def test_all_gateways_together_keep_the_limit(clock, count, per_s):
    """The rule allows half more and five in 4 s, over all gateways."""
    gateways = make_gateways(clock, count)
    sent = collections.deque()
    total = 0
    for now_ms in range(0, 24_000, STEP_MS):
        if now_ms % 200 == 0:
            gateways[0].record_statement("w", per_s)
            share_reports(gateways)
        for gateway in gateways:
            while gateway.available("w"):
                gateway.record_request("w")
                sent.append(now_ms)
                total += 1
        while sent and sent[0] <= now_ms - WINDOW_MS:
            sent.popleft()
        assert len(sent) <= 1.5 * per_s * WINDOW_MS / 1000 + 5
        pass_time(clock, STEP_MS)
    # What the worker bears should be used.
    assert total >= 0.7 * per_s * 24 - 1


def test_a_worker_without_a_statement_is_not_limited(limits):
    """Most workers state none."""
    for _ in range(100):
        assert limits.available("w")
        limits.record_request("w")
    limits.record_statement("w", None)
    assert not limits.report()


def test_a_peer_that_sends_nothing_learns_the_end_of_a_limit(clock):
    """It gets no responses, so the limit would stay."""
    first, second = make_gateways(clock, 2)
    first.record_statement("w", 1.0)
    second.update_peer(first.report())
    assert second.stated() == {"w": 1.0}
    pass_time(clock, 100)
    first.record_statement("w", None)
    second.update_peer(first.report())
    assert not second.stated() and second.available("w")


def test_the_newest_statement_counts(clock):
    """A report of a peer may be older than the last own response."""
    first, second = make_gateways(clock, 2)
    first.record_statement("w", 1.0)
    pass_time(clock, 100)
    second.record_statement("w", 2.0)
    second.update_peer(first.report())
    assert second.stated() == {"w": 2.0}


def test_a_worker_that_takes_nothing_is_asked_now_and_then(clock, limits):
    """Only a response shows that the limit has ended."""
    limits.record_statement("w", 0.0)
    assert not limits.available("w")
    pass_time(clock, round(1_000 / worker_limits.MIN_PER_S))
    assert limits.available("w")


def test_a_statement_expires(clock, limits):
    """A worker whose requests end elsewhere would stay limited for good."""
    limits.record_statement("w", 1.0)
    pass_time(clock, worker_limits.REPORT_MS + 1)
    assert not limits.report() and limits.stated()
    pass_time(clock, worker_limits.STATEMENT_MS)
    limits.report()
    assert limits.available("w") and not limits._newest and not limits._buckets
