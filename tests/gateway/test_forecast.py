"""Tests of the forecast of free slots."""

import random

from oleanderbay.gateway import forecast


def test_slots_become_free_at_the_rate_of_the_requests_in_flight():
    """A rate that is too low refuses requests that would meet their target."""
    wait_forecast = forecast.WaitForecast()
    for slot_time_ms in (500, 1_500):
        wait_forecast.record_slot_time(slot_time_ms)
    assert wait_forecast.wait_ms(1, 10) == 100
    assert wait_forecast.wait_ms(5, 10) == 500
    for _ in range(200):
        wait_forecast.record_slot_time(2_000)
    assert 1_950 < wait_forecast.mean_slot_time_ms <= 2_000


def test_retry_delays_cover_the_forecast_and_are_spread():
    """Callers that retry together are refused together."""
    rng = random.Random(1)
    times = [forecast.retry_after_ms(400, 6_000, rng) for _ in range(50)]
    assert min(times) >= 400 and max(times) <= 600
    assert len(set(times)) > 20


def test_a_retry_delay_is_at_most_a_third_of_the_remaining_time():
    """Callers do not retry after a longer delay."""
    rng = random.Random(1)
    times = [forecast.retry_after_ms(400, 900, rng) for _ in range(50)]
    assert min(times) >= 1 and max(times) <= 300
    assert len(set(times)) > 20
