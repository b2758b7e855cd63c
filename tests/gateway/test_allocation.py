"""Tests of what a domain's workers are used for."""

import random

import pytest

from oleanderbay.gateway import allocation, demand, planner, table, workers
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks
from tests.gateway import parts


def model(name, size, share):
    return table.Model(
        name=name,
        size=size,
        share=share,
        pace=1.0,
        load_ms=1_000,
        warm_ms=500,
    )


ENGINE = table.Engine(
    slots=4, models=(model("a", 2, 0.5), model("b", 2, 0.5)), loads_per_s=10
)
PRESSURE = {"a": planner.Need(1.0, 12.0), "b": planner.Need(8.0, 4.0)}
STILL = {"a": planner.Need(4.0, 12.0), "b": planner.Need(2.0, 4.0)}


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

    def loads_left(self, engine):
        return self.left - self.loads

    def begin_loads(self, count):
        self.loads += count

    def begin(self, formed):
        self.begun.append(formed)

    def staged(self, worker):
        return False

    def stage(self, worker, model):
        self.stages.append((worker.id, model.name))

    def closing(self, key):
        return False

    def start(self, group, graceful):
        self.closed.append(group.name)

    def plan(self, name):
        self.plans.append(name)


def made(begun=True):
    noted = Recorded()
    needs = demand.Demand(clocks.ManualClock())
    needs.begun = begun
    known = parts.Known()
    return noted, allocation.Allocation(
        noted,
        noted,
        noted,
        known.loads,
        needs,
        random.Random(1),
        telemetry_module.OFF,
    )


def groups(count):
    found = [
        parts.worker(f"g{n}{r}", f"g{n}", r, models=("a",))
        for n in range(count)
        for r in (0, 1)
    ]
    return list(workers.groups_of(found).values())


def free(count, **changes):
    return [
        planner.Free(parts.worker(f"w{n}", **changes)) for n in range(count)
    ]


@pytest.mark.parametrize(
    ("needs", "left", "converted"),
    [(PRESSURE, 10, 1), (STILL, 10, 0), (PRESSURE, 1, 0)],
)
def test_a_group_is_converted_under_pressure_only(needs, left, converted):
    """Workers would be taken from a model that needs them, or stand idle."""
    noted, one = made()
    noted.left = left
    while not noted.closed and one.rng.random() < 0.999:
        one.convert(ENGINE, needs, 0, groups(3))
    assert len(noted.closed) == converted
    assert noted.plans == ["b"] * converted


def test_nothing_is_converted_before_the_first_request():
    """The declared shares are no demand."""
    noted, one = made(begun=False)
    for _ in range(500):
        one.convert(ENGINE, PRESSURE, 0, groups(3))
    assert not noted.closed


def test_spares_load_while_the_weight_store_bears_it():
    """Loads above the limit slow down all others."""
    noted, one = made()
    noted.left = 3
    one.allocate(ENGINE, STILL, free(5), ENGINE.models[0])
    assert not noted.begun
    assert noted.stages == [("w0", "a"), ("w1", "a"), ("w2", "a")]


def test_only_a_model_under_pressure_loads_workers_into_groups():
    """A group of a model with room would take the loads of the other."""
    noted, one = made()
    one.allocate(ENGINE, PRESSURE, free(2), ENGINE.models[0])
    assert [formed.model.name for formed in noted.begun] == ["b"]
    warm, one = made()
    needs = {"a": planner.Need(6.0, 12.0), "b": PRESSURE["b"]}
    idle = free(2, staged=frozenset("a"))
    one.allocate(ENGINE, needs, idle, ENGINE.models[0])
    assert [formed.model.name for formed in warm.begun] != ["b"]


def test_a_domain_stays_with_the_model_that_it_is_warm_for():
    """Each repair would load from the weight store."""
    noted, one = made(begun=False)
    cold = {
        "d0": (parts.worker("x"), parts.worker("y")),
        "d1": (parts.worker("z"), parts.worker("u")),
    }
    given = {one.preferred(ENGINE, name, cold).name for name in cold}
    assert given == {"a", "b"}
    warm = {**cold, "d0": (parts.worker("x", staged=frozenset("b")),)}
    assert one.preferred(ENGINE, "d0", warm).name == "b"
    noted.busy["z"] = "a"
    assert one.preferred(ENGINE, "d1", cold).name == "a"
