"""Tests of shares whose sum keeps a global limit."""

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
def test_repeats_of_all_gateways_keep_the_rule(count, steps):
    """At each repeat the window before it has at most 0.2 x requests + 105."""
    clock = clocks.ManualClock()
    shares = [
        budget.RetryBudget(clock, RATIO, EXTRA, WINDOW_MS, lambda: count)
        for _ in range(count)
    ]
    requests, repeats, now_ms = [], [], 0
    for gateway, later_ms, many in steps:
        now_ms += later_ms
        clock.set_ms(now_ms)
        share = shares[gateway % count]
        share.record_request("s")
        requests.append(now_ms)
        for _ in range(40 if many else 1):
            if share.try_take("s"):
                repeats.append(now_ms)
        since_ms = now_ms - WINDOW_MS
        asked = sum(at > since_ms for at in requests)
        taken = sum(at > since_ms for at in repeats)
        assert taken <= RATIO * asked + EXTRA


def test_a_budget_returns_after_its_window():
    """Retries would otherwise end for good after the first failures."""
    clock = clocks.ManualClock()
    share = budget.RetryBudget(clock, RATIO, 10, WINDOW_MS, lambda: 1)
    assert sum(share.try_take("s") for _ in range(20)) == 9
    assert share.try_take("other")
    clock.set_ms(WINDOW_MS)
    assert share.available("s")


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(1, 100), st.integers(1, 20))
def test_cold_workers_get_no_more_than_the_rule(count, per_s):
    """In one second at most per_s x 1.5 + 5 requests of all gateways."""
    clock = clocks.ManualClock()
    shares = [
        budget.ColdStartBudget(clock, lambda: count, lambda _, rank=rank: rank)
        for rank in range(count)
    ]
    sent = []
    for now_ms in range(0, 2_000, 250):
        clock.set_ms(now_ms)
        for share in shares:
            while share.available("w", per_s):
                share.record_request("w")
                sent.append(now_ms)
        recent = sum(at > now_ms - 1_000 for at in sent)
        assert recent <= per_s * 1.5 + 5
