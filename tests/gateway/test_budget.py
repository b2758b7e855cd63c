"""Tests of the budgets that limit retries and cold starts."""

from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderbay.gateway import budget
from oleanderbay.process import clock as clocks

RATIO, EXTRA, WINDOW_MS = 0.2, 105, 10_000


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.integers(1, 40),
    st.lists(
        st.tuples(st.integers(0, 39), st.integers(0, 400), st.booleans()),
        max_size=200,
    ),
)
def test_retries_of_all_gateways_stay_within_the_limit(count, steps):
    """Each window has at most 0.2 retries per request and 105 more."""
    clock = clocks.ManualClock()
    budgets = [
        budget.RetryBudget(clock, RATIO, EXTRA, WINDOW_MS, lambda: count)
        for _ in range(count)
    ]
    requests, retries, now_ms = [], [], 0
    for gateway, delay_ms, burst in steps:
        now_ms += delay_ms
        clock.set_ms(now_ms)
        gateway_budget = budgets[gateway % count]
        gateway_budget.record_request("s")
        requests.append(now_ms)
        for _ in range(40 if burst else 1):
            if gateway_budget.try_take("s"):
                retries.append(now_ms)
        since_ms = now_ms - WINDOW_MS
        requested = sum(at > since_ms for at in requests)
        retried = sum(at > since_ms for at in retries)
        assert retried <= RATIO * requested + EXTRA


def test_a_budget_recovers_after_its_window():
    """Otherwise retries would stop for good after the first failures."""
    clock = clocks.ManualClock()
    gateway_budget = budget.RetryBudget(clock, RATIO, 10, WINDOW_MS, lambda: 1)
    assert sum(gateway_budget.try_take("s") for _ in range(20)) == 9
    assert gateway_budget.try_take("other")
    clock.set_ms(WINDOW_MS)
    assert gateway_budget.available("s")


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(1, 100), st.integers(1, 20))
def test_cold_workers_get_at_most_the_configured_rate(count, per_s):
    """In one second, all gateways send at most 1.5 * per_s + 5 requests."""
    clock = clocks.ManualClock()
    budgets = [
        budget.ColdStartBudget(clock, lambda: count, lambda _, rank=rank: rank)
        for rank in range(count)
    ]
    sent = []
    for now_ms in range(0, 2_000, 250):
        clock.set_ms(now_ms)
        for gateway_budget in budgets:
            while gateway_budget.available("w", per_s):
                gateway_budget.record_request("w")
                sent.append(now_ms)
        recent = sum(at > now_ms - 1_000 for at in sent)
        assert recent <= per_s * 1.5 + 5
