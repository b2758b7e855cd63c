"""Tests of the allocation of a domain's workers."""

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
HIGH_DEMAND_B = {
    "a": planner.ModelDemand(1.0, 12.0),
    "b": planner.ModelDemand(8.0, 4.0),
}
LOW_DEMAND = {
    "a": planner.ModelDemand(4.0, 12.0),
    "b": planner.ModelDemand(2.0, 8.0),
}


class Recorder:
    """Replaces capacity, formations and dissolution and records the calls.

    Attributes:
        load_limit: Loads that may begin.
        peer_converting: Whether another gateway has begun a conversion.
    """

    def __init__(self):
        self.load_limit = 10
        self.joining = {}
        self.formed = []
        self.staged = []
        self.closed = []
        self.planned = []
        self.loads = 0
        self.peer_converting = False

    def remaining_loads(self, engine):
        return self.load_limit - self.loads

    def record_loads(self, count):
        self.loads += count

    def begin(self, group):
        self.formed.append(group)

    def staging_requested(self, worker, model):
        return (worker.id, model) in self.staged

    def stage(self, worker, model):
        self.staged.append((worker.id, model.name))

    def is_closing(self, key):
        return False

    def start(self, group, graceful):
        self.closed.append(group.name)

    def record_planned(self, name):
        self.planned.append(name)

    def converting(self):
        return self.peer_converting or bool(self.planned)


def make_allocator(has_traffic=True):
    recorder = Recorder()
    measured_demand = demand.Demand(clocks.ManualClock())
    measured_demand.has_traffic = has_traffic
    gateway = parts.GatewayParts()
    reservations = reservation.Reservations(measured_demand.clock, 1_000)
    return recorder, allocation.Allocator(
        recorder,
        recorder,
        recorder,
        gateway.loads,
        measured_demand,
        random.Random(1),
        reservations,
        telemetry_module.DISABLED,
    )


def groups(count, staged=()):
    members = [
        parts.worker(
            f"g{n}{r}", f"g{n}", r, models=("a",), staged=frozenset(staged)
        )
        for n in range(count)
        for r in (0, 1)
    ]
    return list(workers.build_groups(members).values())


def free(count, **changes):
    return [
        planner.FreeWorker(parts.worker(f"w{n}", **changes))
        for n in range(count)
    ]


def try_conversions(allocator, demands, active):
    """Makes so many attempts that a conversion is all but certain."""
    for _ in range(500):
        allocator.convert(ENGINE, demands, [], active)


@pytest.mark.parametrize(
    ("demands", "converted"), [(HIGH_DEMAND_B, 1), (LOW_DEMAND, 0)]
)
def test_a_group_is_converted_under_pressure_only(demands, converted):
    """Guards against needless conversions and against missing ones.

    Either takes workers from a model that needs them or leaves them idle.
    """
    recorder, allocator = make_allocator()
    try_conversions(allocator, demands, groups(3, staged="b"))
    assert len(recorder.closed) == converted
    assert recorder.planned == ["b"] * converted


def test_a_group_serves_until_its_members_have_the_other_model():
    """Guards against closing a group before the other model is staged.

    Its slots would be missing for the whole load.
    """
    recorder, allocator = make_allocator()
    try_conversions(allocator, HIGH_DEMAND_B, groups(3))
    assert not recorder.closed
    assert recorder.staged == [("g00", "b"), ("g01", "b")]


def test_conversions_are_begun_one_at_a_time():
    """Guards against too many conversions.

    Several owners see the same pressure, and each would convert a group.
    """
    recorder, allocator = make_allocator()
    recorder.peer_converting = True
    try_conversions(allocator, HIGH_DEMAND_B, groups(3, staged="b"))
    assert not recorder.closed


def test_members_of_a_converted_group_form_no_group_of_its_model():
    """Guards against undoing a conversion.

    The freed members rejoin their former model fastest, so its group would be
    formed again at once.
    """
    recorder, allocator = make_allocator()
    active = groups(3, staged="b")
    try_conversions(allocator, HIGH_DEMAND_B, active)
    members = next(
        g for g in active if g.name == recorder.closed[0]
    ).members.values()
    idle = [planner.FreeWorker(worker, "a") for worker in members]
    # The planned group already counts as capacity of the other model.
    demands = {
        "a": planner.ModelDemand(8.0, 8.0),
        "b": planner.ModelDemand(8.0, 16.0),
    }
    allocator.allocate(ENGINE, demands, idle[:1], active, ENGINE.models[0])
    assert not recorder.formed
    allocator.allocate(ENGINE, demands, idle, active, ENGINE.models[0])
    assert [group.model.name for group in recorder.formed] == ["b"]


async def test_a_reservation_ends():
    """Guards against idle members for good after a failed conversion."""
    recorder, allocator = make_allocator()
    active = groups(3, staged="b")
    try_conversions(allocator, HIGH_DEMAND_B, active)
    member = next(g for g in active if g.name == recorder.closed[0]).members[0]
    assert allocator.reservations.model(member) is ENGINE.models[1]
    await allocator.demand.clock.advance(1_000)
    assert allocator.reservations.model(member) is None


def test_free_workers_wait_for_a_group_of_their_domains_model():
    """Guards against giving a larger model's spares to another model.

    They were too few for a group of their own, so a smaller model with spare
    capacity took them.
    """
    idle = free(2, staged=frozenset("ab"))
    large = table.Engine(
        slots=4, models=(model("a", 3, 0.5), model("b", 2, 0.5)), loads_per_s=10
    )
    demands = {
        "a": planner.ModelDemand(6.0, 8.0),
        "b": planner.ModelDemand(6.0, 24.0),
    }
    recorder, allocator = make_allocator()
    allocator.allocate(large, demands, idle, [], large.models[0])
    assert not recorder.formed
    recorder, allocator = make_allocator()
    demands = {
        "a": planner.ModelDemand(6.0, 24.0),
        "b": planner.ModelDemand(6.0, 8.0),
    }
    allocator.allocate(large, demands, idle, [], large.models[0])
    assert [group.model.name for group in recorder.formed] == ["b"]


def test_alternatives_are_staged_before_the_first_request_only():
    """Guards against staging that slows down the loads of repairs."""
    recorder, allocator = make_allocator(has_traffic=False)
    allocator.allocate(ENGINE, LOW_DEMAND, [], groups(1), ENGINE.models[0])
    assert recorder.staged == [("g00", "b"), ("g01", "b")]
    allocator.allocate(ENGINE, LOW_DEMAND, [], groups(1), ENGINE.models[0])
    assert len(recorder.staged) == 2
    recorder, allocator = make_allocator()
    allocator.allocate(ENGINE, LOW_DEMAND, [], groups(1), ENGINE.models[0])
    assert not recorder.staged


def test_nothing_is_converted_before_the_first_request():
    """Guards against conversions based on the declared shares.

    Before the first request they stand in for the measured demand.
    """
    recorder, allocator = make_allocator(has_traffic=False)
    try_conversions(allocator, HIGH_DEMAND_B, groups(3, staged="b"))
    assert not recorder.closed


def test_spares_are_staged_up_to_the_load_limit():
    """Guards against loads above the limit, which slow down all others."""
    recorder, allocator = make_allocator()
    recorder.load_limit = 3
    allocator.allocate(ENGINE, LOW_DEMAND, free(5), [], ENGINE.models[0])
    assert not recorder.formed
    assert recorder.staged == [("w0", "a"), ("w1", "a"), ("w2", "a")]


def test_only_a_highly_utilized_model_forms_groups_that_load():
    """Guards against a model with spare capacity that uses up the loads."""
    recorder, allocator = make_allocator()
    allocator.allocate(ENGINE, HIGH_DEMAND_B, free(2), [], ENGINE.models[0])
    assert [group.model.name for group in recorder.formed] == ["b"]
    warm_recorder, allocator = make_allocator()
    demands = {"a": planner.ModelDemand(6.0, 12.0), "b": HIGH_DEMAND_B["b"]}
    idle = free(2, staged=frozenset("a"))
    allocator.allocate(ENGINE, demands, idle, [], ENGINE.models[0])
    assert [group.model.name for group in warm_recorder.formed] != ["b"]


def test_a_domain_stays_with_the_model_that_it_is_warm_for():
    """Guards against repairs that have to load from the weight store."""
    recorder, allocator = make_allocator(has_traffic=False)
    cold = {
        "d0": (parts.worker("x"), parts.worker("y")),
        "d1": (parts.worker("z"), parts.worker("u")),
    }
    assigned = {
        allocator.preferred_model(ENGINE, name, cold).name for name in cold
    }
    assert assigned == {"a", "b"}
    warm = {**cold, "d0": (parts.worker("x", staged=frozenset("b")),)}
    assert allocator.preferred_model(ENGINE, "d0", warm).name == "b"
    recorder.joining["z"] = "a"
    assert allocator.preferred_model(ENGINE, "d1", cold).name == "a"
