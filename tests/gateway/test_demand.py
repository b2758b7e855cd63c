"""Tests of the demand for models."""

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


def test_declared_shares_and_the_domain_count_before_the_first_request():
    """All domains begin at once, so each is planned by itself."""
    needs = demand.Demand(clocks.ManualClock())
    found = needs.by_model(SERVICE, {"a": 8.0, "b": 8.0}, {"a": 4.0})
    assert found["a"].demand == found["b"].demand == 0.25
    assert (found["a"].capacity, found["b"].capacity) == (4.0, 0.0)


def test_the_first_request_leaves_the_spares_of_a_domain_alone():
    """Guards against loads at the first request (issue 11).

    Until the mean had its first sample, a domain that was for one model
    seemed to lack the other one, and all its spares loaded that one.
    """
    needs = demand.Demand(clocks.ManualClock())
    needs.started("a")
    found = needs.by_model(SERVICE, {"a": 8.0, "b": 8.0}, {"a": 4.0})
    assert not any(need.exceeds(0.0) for need in found.values())
    assert found["b"].capacity == 8.0


async def test_the_mean_follows_requests_that_are_present():
    """Refused and running requests take slots; peers' means are added."""
    clock = clocks.ManualClock()
    needs = demand.Demand(clock)
    needs.started("a")
    await clock.advance(demand.SMOOTHING_MS)
    needs.sample()
    assert math.isclose(needs.mean("a"), 1 - math.exp(-1))
    needs.update_peer("p", {"a": 2.0})
    assert math.isclose(needs.mean("a"), 3 - math.exp(-1))
    needs.retain_peers(frozenset())
    assert math.isclose(needs.mean("a"), 1 - math.exp(-1))
