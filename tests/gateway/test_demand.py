"""Tests of the measured demand for models."""

import math

from oleanderbay.gateway import demand, table
from oleanderbay.process import clock as clocks


def model(name, share):
    return table.Model(
        name=name,
        group_size=2,
        expected_share=share,
        time_factor=1.0,
        load_ms=1,
        warm_load_ms=1,
    )


SERVICE = table.Service(
    name="chat",
    health_path="",
    engine=table.Engine(slots=4, models=(model("a", 0.5), model("b", 0.5))),
)


def test_declared_shares_and_local_capacity_before_the_first_request():
    """Guards against domains that count on each other's groups.

    All domains form their groups at the same time, so each is planned alone.
    """
    measured = demand.Demand(clocks.ManualClock())
    found = measured.by_model(SERVICE, {"a": 8.0, "b": 8.0}, {"a": 4.0})
    assert found["a"].demand == found["b"].demand == 0.25
    assert (found["a"].capacity, found["b"].capacity) == (4.0, 0.0)


def test_the_first_request_causes_no_loads():
    """Guards against loads by all spares at the first request (issue 11).

    Until the mean had its first sample, a domain assigned to one model seemed
    to have no capacity of the other one, which all its spares then loaded.
    """
    measured = demand.Demand(clocks.ManualClock())
    measured.record_start("a")
    found = measured.by_model(SERVICE, {"a": 8.0, "b": 8.0}, {"a": 4.0})
    assert not any(need.exceeds(0.0) for need in found.values())
    assert found["b"].capacity == 8.0


async def test_the_mean_follows_requests_in_progress():
    """Guards against a mean without running requests or the peers' means."""
    clock = clocks.ManualClock()
    measured = demand.Demand(clock)
    measured.record_start("a")
    await clock.advance(demand.SMOOTHING_MS)
    measured.sample()
    assert math.isclose(measured.mean("a"), 1 - math.exp(-1))
    measured.update_peer("p", {"a": 2.0})
    assert math.isclose(measured.mean("a"), 3 - math.exp(-1))
    measured.retain_peers(frozenset())
    assert math.isclose(measured.mean("a"), 1 - math.exp(-1))
