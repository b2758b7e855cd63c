"""Tests of the rests that workers ask for."""

import hypothesis
from hypothesis import strategies

from oleanderbay.gateway import rests
from oleanderbay.process import clock as clocks
from tests.gateway import parts


def test_a_new_incarnation_has_asked_for_no_rest():
    """Guards against workers that stay idle after a restart."""
    known = rests.Rests(clocks.ManualClock())
    known.record(parts.worker("w", started_ms=1), 1_000)
    assert known.left_ms(parts.worker("w", started_ms=1)) == 1_000
    assert known.left_ms(parts.worker("w", started_ms=2)) == 0
    known.record(parts.worker("w", started_ms=2), 10)
    assert known.left_ms(parts.worker("w", started_ms=2)) == 10


def test_rests_that_are_over_are_forgotten():
    clock = clocks.ManualClock()
    known = rests.Rests(clock)
    for number in range(100):
        known.record(parts.worker(f"w{number}"), 10)
        clock.set_ms(clock.now_ms() + 10)
    assert len(known._rests) <= 1


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2 * rests.MAX_REST_MS),
            strategies.integers(1, 2 * rests.MAX_REST_MS),
        ),
        min_size=1,
    )
)
def test_a_rest_lasts_as_long_as_the_longest_request_for_it(asked):
    """Guards against a shorter rest that ends a longer one."""
    clock = clocks.ManualClock()
    known, worker, until_ms = rests.Rests(clock), parts.worker("w"), 0
    for passed_ms, rest_ms in asked:
        clock.set_ms(clock.now_ms() + passed_ms)
        known.record(worker, rest_ms)
        until_ms = max(
            until_ms, clock.now_ms() + min(rest_ms, rests.MAX_REST_MS)
        )
        assert known.left_ms(worker) == until_ms - clock.now_ms()
