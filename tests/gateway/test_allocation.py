"""Tests of what a domain's workers are used for."""

import random

import pytest

from oleanderbay.gateway import (
    allocation,
    demand,
    planner,
    reservation,
    table,
    workers,
)
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks
from tests.gateway import parts


def model(name, size, share):
    return table.Model(
        name=name,
        group_size=size,
        expected_share=share,
        time_factor=1.0,
        load_ms=1_000,
        warm_load_ms=500,
    )


ENGINE = table.Engine(
    slots=4, models=(model("a", 2, 0.5), model("b", 2, 0.5)), loads_per_s=10
)
PRESSURE = {
    "a": planner.ModelDemand(1.0, 12.0),
    "b": planner.ModelDemand(8.0, 4.0),
}
STILL = {
    "a": planner.ModelDemand(4.0, 12.0),
    "b": planner.ModelDemand(2.0, 8.0),
}


class Recorded:
    """Stands for capacity, formations and dissolution; notes what begins."""

    def __init__(self):
        self.left = 10
        self.busy = {}
        self.begun = []
        self.stages = []
        self.closed = []
        self.plans = []
        self.loads = 0
        self.elsewhere = False

    def remaining_loads(self, engine):
        return self.left - self.loads

    def record_loads(self, count):
        self.loads += count

    def begin(self, formed):
        self.begun.append(formed)

    def staging_requested(self, worker, model):
        return (worker.id, model) in self.stages

    def stage(self, worker, model):
        self.stages.append((worker.id, model.name))

    def is_closing(self, key):
        return False

    def start(self, group, graceful):
        self.closed.append(group.name)

    def record_planned(self, name):
        self.plans.append(name)

    def converting(self):
        return self.elsewhere or bool(self.plans)


def made(begun=True):
    noted = Recorded()
    needs = demand.Demand(clocks.ManualClock())
    needs.has_traffic = begun
    known = parts.Known()
    kept = reservation.Reservations(needs.clock, 1_000)
    return noted, allocation.Allocator(
        noted,
        noted,
        noted,
        known.loads,
        needs,
        random.Random(1),
        kept,
        telemetry_module.DISABLED,
    )


def groups(count, staged=()):
    found = [
        parts.worker(
            f"g{n}{r}", f"g{n}", r, models=("a",), staged=frozenset(staged)
        )
        for n in range(count)
        for r in (0, 1)
    ]
    return list(workers.build_groups(found).values())


def free(count, **changes):
    return [
        planner.FreeWorker(parts.worker(f"w{n}", **changes))
        for n in range(count)
    ]


def consider(one, needs, standing):
    for _ in range(500):
        one.convert(ENGINE, needs, [], standing)


@pytest.mark.parametrize(("needs", "converted"), [(PRESSURE, 1), (STILL, 0)])
def test_a_group_is_converted_under_pressure_only(needs, converted):
    """Workers would be taken from a model that needs them, or stand idle."""
    noted, one = made()
    consider(one, needs, groups(3, staged="b"))
    assert len(noted.closed) == converted
    assert noted.plans == ["b"] * converted


def test_a_group_serves_until_its_members_have_the_other_model():
    """Closing it before the load took its slots away for the whole load."""
    noted, one = made()
    consider(one, PRESSURE, groups(3))
    assert not noted.closed
    assert noted.stages == [("g00", "b"), ("g01", "b")]


def test_conversions_are_begun_one_at_a_time():
    """Several owners saw the same pressure and together gave too much."""
    noted, one = made()
    noted.elsewhere = True
    consider(one, PRESSURE, groups(3, staged="b"))
    assert not noted.closed


def test_members_of_a_converted_group_form_no_group_of_its_model():
    """They join their former model at once, which undid conversions."""
    noted, one = made()
    standing = groups(3, staged="b")
    consider(one, PRESSURE, standing)
    members = next(
        g for g in standing if g.name == noted.closed[0]
    ).members.values()
    idle = [planner.FreeWorker(worker, "a") for worker in members]
    # The planned group counts as capacity of the other model.
    needs = {
        "a": planner.ModelDemand(8.0, 8.0),
        "b": planner.ModelDemand(8.0, 16.0),
    }
    one.allocate(ENGINE, needs, idle[:1], standing, ENGINE.models[0])
    assert not noted.begun
    one.allocate(ENGINE, needs, idle, standing, ENGINE.models[0])
    assert [formed.model.name for formed in noted.begun] == ["b"]


async def test_a_reservation_ends():
    """Members whose conversion fails would stand idle for good."""
    noted, one = made()
    standing = groups(3, staged="b")
    consider(one, PRESSURE, standing)
    member = next(g for g in standing if g.name == noted.closed[0]).members[0]
    assert one.reservations.model(member) is ENGINE.models[1]
    await one.demand.clock.advance(1_000)
    assert one.reservations.model(member) is None


def test_free_workers_wait_for_one_more_of_their_domains_model():
    """A larger model's last spares went to a model that had room."""
    idle = free(2, staged=frozenset("ab"))
    large = table.Engine(
        slots=4, models=(model("a", 3, 0.5), model("b", 2, 0.5)), loads_per_s=10
    )
    needs = {
        "a": planner.ModelDemand(6.0, 8.0),
        "b": planner.ModelDemand(6.0, 24.0),
    }
    noted, one = made()
    one.allocate(large, needs, idle, [], large.models[0])
    assert not noted.begun
    noted, one = made()
    needs = {
        "a": planner.ModelDemand(6.0, 24.0),
        "b": planner.ModelDemand(6.0, 8.0),
    }
    one.allocate(large, needs, idle, [], large.models[0])
    assert [formed.model.name for formed in noted.begun] == ["b"]


def test_workers_load_another_model_before_the_first_request_only():
    """Later on, these loads would slow down those of repairs."""
    noted, one = made(begun=False)
    one.allocate(ENGINE, STILL, [], groups(1), ENGINE.models[0])
    assert noted.stages == [("g00", "b"), ("g01", "b")]
    one.allocate(ENGINE, STILL, [], groups(1), ENGINE.models[0])
    assert len(noted.stages) == 2
    noted, one = made()
    one.allocate(ENGINE, STILL, [], groups(1), ENGINE.models[0])
    assert not noted.stages


def test_nothing_is_converted_before_the_first_request():
    """The declared shares are no demand."""
    noted, one = made(begun=False)
    consider(one, PRESSURE, groups(3, staged="b"))
    assert not noted.closed


def test_spares_load_while_the_weight_store_bears_it():
    """Loads above the limit slow down all others."""
    noted, one = made()
    noted.left = 3
    one.allocate(ENGINE, STILL, free(5), [], ENGINE.models[0])
    assert not noted.begun
    assert noted.stages == [("w0", "a"), ("w1", "a"), ("w2", "a")]


def test_only_a_model_under_pressure_loads_workers_into_groups():
    """A group of a model with room would take the loads of the other."""
    noted, one = made()
    one.allocate(ENGINE, PRESSURE, free(2), [], ENGINE.models[0])
    assert [formed.model.name for formed in noted.begun] == ["b"]
    warm, one = made()
    needs = {"a": planner.ModelDemand(6.0, 12.0), "b": PRESSURE["b"]}
    idle = free(2, staged=frozenset("a"))
    one.allocate(ENGINE, needs, idle, [], ENGINE.models[0])
    assert [formed.model.name for formed in warm.begun] != ["b"]


def test_a_domain_stays_with_the_model_that_it_is_warm_for():
    """Each repair would load from the weight store."""
    noted, one = made(begun=False)
    cold = {
        "d0": (parts.worker("x"), parts.worker("y")),
        "d1": (parts.worker("z"), parts.worker("u")),
    }
    given = {one.preferred_model(ENGINE, name, cold).name for name in cold}
    assert given == {"a", "b"}
    warm = {**cold, "d0": (parts.worker("x", staged=frozenset("b")),)}
    assert one.preferred_model(ENGINE, "d0", warm).name == "b"
    noted.busy["z"] = "a"
    assert one.preferred_model(ENGINE, "d1", cold).name == "a"
