"""Tests of the forecast of free places."""

import random

from oleanderbay.gateway import forecast


def test_places_get_free_at_the_rate_of_the_requests_in_flight():
    """A wrong rate refuses requests that would have been in time."""
    made = forecast.WaitForecast()
    for held_ms in (500, 1_500):
        made.record_slot_time(held_ms)
    assert made.wait_ms(1, 10) == 100
    assert made.wait_ms(5, 10) == 500
    for _ in range(200):
        made.record_slot_time(2_000)
    assert 1_950 < made.mean_slot_time_ms <= 2_000


def test_callers_come_back_when_a_place_is_free_and_not_together():
    """Callers that come back together are refused together."""
    rng = random.Random(1)
    times = [forecast.retry_after_ms(400, 6_000, rng) for _ in range(50)]
    assert min(times) >= 400 and max(times) <= 600
    assert len(set(times)) > 20


def test_a_caller_is_not_asked_to_wait_longer_than_it_accepts():
    """It comes back only if it waits at most a third of its time."""
    rng = random.Random(1)
    times = [forecast.retry_after_ms(400, 900, rng) for _ in range(50)]
    assert min(times) >= 1 and max(times) <= 300
    assert len(set(times)) > 20
