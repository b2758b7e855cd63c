"""Tests of the retry policy."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from bench import naive_requests as naive
from oleanderbay.request import outcome, retry

R = retry.Result


def attempt(result, upstream="g0"):
    return retry.Attempt(upstream=upstream, result=result)


def decide(results, idempotent=True, resumable=False, deadline_ms=10_000):
    retries = retry.RetryPolicy(random.Random(1))
    return retries.decide(
        "r",
        [attempt(result) for result in results],
        idempotent,
        resumable,
        0,
        deadline_ms,
    )


FAILED = st.sampled_from([R.NOT_SENT, R.REFUSED, R.FAILED, R.BROKEN])


@hypothesis.given(
    results=st.lists(FAILED, min_size=1, max_size=4),
    idempotent=st.booleans(),
    resumable=st.booleans(),
    deadline_ms=st.integers(0, 100),
)
@hypothesis.settings(derandomize=True)
def test_never_retries_what_the_naive_policy_would_not(
    results, idempotent, resumable, deadline_ms
):
    """The policy retries at most what a simple reference policy retries.

    A refusal must report not-run only if no attempt can have run.
    """
    decision = decide(results, idempotent, resumable, deadline_ms)
    attempts = [attempt(result) for result in results]
    if isinstance(decision, retry.Retry):
        assert naive.decides_to_retry(attempts, idempotent)
        assert decision.delay_ms < deadline_ms
        assert len(results) < 3
    else:
        not_run = all(r in (R.NOT_SENT, R.REFUSED) for r in results)
        expected = outcome.Outcome.UNKNOWN
        if not_run:
            expected = outcome.Outcome.NOT_RUN
        assert decision.outcome is expected


@pytest.mark.parametrize(
    ("result", "idempotent", "resumable", "retried"),
    (
        (R.NOT_SENT, False, False, True),
        (R.REFUSED, False, False, True),
        (R.FAILED, False, False, False),
        (R.FAILED, True, False, True),
        (R.BROKEN, True, False, False),
        (R.BROKEN, True, True, True),
        (R.BROKEN, False, True, False),
    ),
)
def test_single_failure(result, idempotent, resumable, retried):
    """A retry depends on the result, idempotence and resumability."""
    decision = decide([result], idempotent, resumable)
    assert isinstance(decision, retry.Retry) == retried
    if retried:
        assert decision.resume == (result is R.BROKEN)


def test_budget_bounds_retries_to_a_share_of_first_attempts():
    """Unlimited retries would triple the load of a failing fleet."""
    retries = retry.RetryPolicy(random.Random(1))
    allowed = 0
    for _ in range(1_000):
        retries.budget_for("r").record_first_attempt(0.1)
        decision = retries.decide(
            "r", [attempt(R.FAILED)], True, False, 0, 10_000
        )
        allowed += isinstance(decision, retry.Retry)
    assert 100 <= allowed <= 110
    other = retries.decide("q", [attempt(R.FAILED)], True, False, 0, 10_000)
    assert isinstance(other, retry.Retry)


def test_delays_are_spread():
    """Without jitter, all retries would arrive at the same moment."""
    retries = retry.RetryPolicy(random.Random(1))
    delays = {
        retries.decide(
            f"r{n}", [attempt(R.FAILED)] * 2, True, False, 0, 10_000
        ).delay_ms
        for n in range(50)
    }
    assert len(delays) > 10
    assert max(delays) <= 40


def test_hedging_needs_setting_idempotence_and_time():
    """Hedging a non-idempotent request would run it twice."""
    retries = retry.RetryPolicy(random.Random(1))
    assert retries.hedge_after_ms(True, True, 50, 0, 1_000) == 50
    assert retries.hedge_after_ms(False, True, 50, 0, 1_000) is None
    assert retries.hedge_after_ms(True, False, 50, 0, 1_000) is None
    assert retries.hedge_after_ms(True, True, 600, 0, 1_000) is None
    assert retries.hedge_after_ms(True, True, 0, 0, 1_000) is None


@pytest.mark.parametrize(
    ("result", "retried"),
    [(R.NOT_SENT, True), (R.REFUSED, False), (R.FAILED, False)],
)
def test_a_body_that_is_gone_takes_no_retry_of_the_budget(result, retried):
    """Such requests used up the retries of requests that can be repeated."""
    policy = retry.RetryPolicy(random.Random(1))
    before = policy.budget_for("r").tokens
    decision = policy.decide(
        "r", [attempt(result)], True, False, 0, 10_000, body_replayable=False
    )
    assert isinstance(decision, retry.Retry) is retried
    assert policy.budget_for("r").tokens == before - retried
    if not retried:
        not_run = result is R.REFUSED
        assert (decision.outcome is outcome.Outcome.NOT_RUN) is not_run
        assert decision.status == (503 if not_run else 502)
        assert "the body can't be sent again" in decision.message
