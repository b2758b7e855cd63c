"""Tests of the choice of groups in one domain."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oleanderbay.gateway import planner, table, workers

LOAD_MS = 10_000
WARM_MS = 2_000
NAMES = ("a", "b", "c")


def model(name, size, load_ms=LOAD_MS):
    return table.Model(
        name=name,
        size=size,
        share=0.5,
        pace=1.0,
        load_ms=load_ms,
        warm_ms=WARM_MS,
    )


def engine(*sizes, slots=8):
    pairs = zip(NAMES, sizes, strict=False)
    models = tuple(model(name, size) for name, size in pairs)
    return table.Engine(slots=slots, models=models)


def free(index, staged="", last=""):
    worker = workers.Worker(
        id=f"w{index:03}",
        service="s",
        address="",
        zone="",
        staged=frozenset(staged),
    )
    return planner.Free(worker, last)


def needs(*pairs):
    named = zip(NAMES, pairs, strict=False)
    return {name: planner.Need(*pair) for name, pair in named}


def models_of(formed):
    return "".join(sorted(f.model.name for f in formed))


@pytest.mark.parametrize(
    ("sizes", "domain", "wanted", "loads", "formed"),
    [
        # Too few workers, no demand, no loads left.
        ((2,), 1, [(8, 0)], 9, ""),
        ((2,), 4, [(0, 0)], 9, ""),
        ((2,), 4, [(8, 0)], 1, ""),
        ((2,), 4, [(8, 0)], 2, "a"),
        # Free workers are used although the demand is met.
        ((2,), 4, [(1, 8)], 9, "aa"),
        # The group of most use for a worker, taken first, would leave two
        # workers of five unused.
        ((3, 5), 5, [(8, 0), (12, 0)], 9, "b"),
        # A demand that is met gives way to one that isn't.
        ((2, 4), 4, [(8, 16), (8, 0)], 9, "b"),
        # Declared shares before traffic: no model is left without a group.
        ((2, 8), 10, [(0.9, 0), (0.1, 0)], 10, "ab"),
    ],
)
def test_mix_of_models(sizes, domain, wanted, loads, formed):
    """A greedy choice leaves workers unused or a model without a group."""
    found = planner.form(
        [free(i) for i in range(domain)], engine(*sizes), needs(*wanted), loads
    )
    assert models_of(found) == formed


def test_each_model_gets_its_warm_workers():
    """A model that takes workers in list order loads weights needlessly."""
    domain = [free(0, "b"), free(1, "b"), free(2, "a"), free(3, "ab", "a")]
    formed = planner.form(domain, engine(2, 2), needs((8, 0), (8, 0)), 0)
    members = {f.model.name: {m.worker.id for m in f.members} for f in formed}
    assert members == {"a": {"w002", "w003"}, "b": {"w000", "w001"}}
    assert all(f.ready_ms == WARM_MS and f.loads == 0 for f in formed)


def test_models_that_load_longer_than_the_horizon_get_groups():
    """A horizon below the load time gave such a model no group at all."""
    slow = table.Engine(slots=8, models=(model("a", 2, load_ms=40_000),))
    formed = planner.form([free(0), free(1)], slow, needs((8, 0)), 2)
    assert models_of(formed) == "a"


def test_workers_that_are_warm_do_not_count_as_loads():
    """Equal load and warm times made rejoining workers use up the budget."""
    equal = dataclasses.replace(model("a", 2), load_ms=WARM_MS)
    only = table.Engine(slots=8, models=(equal,))
    (formed,) = planner.form(
        [free(0, "a"), free(1, "a")], only, needs((8, 0)), 0
    )
    assert formed.loads == 0


def test_an_overdrawn_load_budget_leaves_warm_groups():
    """A budget below zero kept even warm workers from a group."""
    formed = planner.form(
        [free(0, "a"), free(1, "a")], engine(2), needs((8, 0)), -1
    )
    assert models_of(formed) == "a"


@st.composite
def situations(draw, largest=32, max_loads=150):
    count = draw(st.integers(1, 3))
    size_of = st.integers(1, largest)
    sizes = draw(st.lists(size_of, min_size=count, max_size=count))
    size = draw(st.one_of(st.integers(0, 12), st.integers(0, 150)))
    staged = st.sets(st.sampled_from(NAMES), max_size=2)
    last = st.sampled_from(("", *NAMES))
    domain = [free(i, draw(staged), draw(last)) for i in range(size)]
    demand = st.floats(0, 200)
    wanted = [(draw(demand), draw(st.integers(0, 100))) for _ in sizes]
    loads = draw(st.integers(0, min(size, max_loads)))
    return domain, engine(*sizes), needs(*wanted), loads


@settings(max_examples=300, deadline=None, derandomize=True)
@given(situations())
def test_every_plan_can_be_carried_out(situation):
    """A worker in two groups or too many loads would break R12 or R13."""
    domain, figures, wanted, loads = situation
    formed = planner.form(*situation)
    used = [m.worker.id for f in formed for m in f.members]
    assert len(used) == len(set(used))
    assert set(used) <= {item.worker.id for item in domain}
    assert sum(f.loads for f in formed) <= loads
    for formation in formed:
        assert len(formation.members) == formation.model.size
        assert wanted[formation.model.name].demand > 0
        times = [planner.join_ms(m, formation.model) for m in formation.members]
        assert formation.ready_ms == max(times)
    # With a load left for each worker, no group of a demanded model that
    # would still fit is left out.
    if loads == len(domain):
        rest = len(domain) - len(used)
        for each in figures.models:
            assert wanted[each.name].demand == 0 or each.size > rest


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    situations() | situations(largest=8, max_loads=4),
    st.integers(0, 2),
    st.floats(0, 100),
)
def test_more_demand_never_gives_fewer_groups(situation, index, more):
    """Otherwise a rising demand could cost a model its groups.

    With few loads and workers that are warm for two models, plans whose
    loads were only checked after the choice broke this.
    """
    domain, figures, wanted, loads = situation
    raised = figures.models[index % len(figures.models)].name
    need = wanted[raised]
    higher = {
        **wanted,
        raised: planner.Need(need.demand + more, need.capacity),
    }
    before = models_of(planner.form(domain, figures, wanted, loads))
    after = models_of(planner.form(domain, figures, higher, loads))
    assert after.count(raised) >= before.count(raised)


GROUPS = [
    planner.OpenGroup("g1", 1, "a", 3),
    planner.OpenGroup("g2", 2, "a", 1),
    planner.OpenGroup("g3", 3, "b", 8),
]
PRESSED = ((4, 32), (12, 8))


def dissolved(wanted, groups=GROUPS, sizes=(2, 2), spare=0, load_ms=LOAD_MS):
    models = tuple(
        model(name, size, load_ms)
        for name, size in zip(NAMES, sizes, strict=False)
    )
    found = planner.surplus(
        table.Engine(slots=8, models=models), needs(*wanted), groups, spare
    )
    return found.name if found else None


@pytest.mark.parametrize(
    ("wanted", "found"),
    [
        # Without any group of the other model, the pressure is unlimited.
        (PRESSED, "g2"),
        (((4, 32), (4, 0)), "g2"),
        # The higher pressure is at or just above 0.7.
        (((4, 32), (5.6, 8)), None),
        (((4, 32), (6.5, 8)), "g2"),
        # The pressures differ by less than 2, and by 2.
        (((16, 40), (6.3, 8)), None),
        (((16, 40), (6.4, 8)), "g2"),
        # The lower pressure after the change is 0.6, and below.
        (((14.4, 32), (16, 8)), None),
        (((14.3, 32), (16, 8)), "g2"),
        # The last group is kept unless nothing demands it.
        (((0.1, 8), (12, 8)), None),
        (((0.1, 16), (12, 8)), "g2"),
        (((0, 8), (12, 8)), "g2"),
        # Both models are short, or neither is.
        (((30, 32), (12, 8)), None),
        (((4, 32), (2, 32)), None),
    ],
)
def test_conditions_for_dissolving_a_group(wanted, found):
    """A missing condition lets groups change back and forth."""
    assert dissolved(wanted) == found


def test_a_group_is_dissolved_only_if_its_workers_suffice():
    """Workers that are too few for the other model would be lost to both."""
    assert dissolved(PRESSED, sizes=(2, 4)) is None
    assert dissolved(PRESSED, sizes=(2, 4), spare=1) is None
    assert dissolved(PRESSED, sizes=(2, 4), spare=2) == "g2"
    # The free workers form a group without the dissolved one.
    assert dissolved(PRESSED, sizes=(2, 4), spare=4) is None


def test_the_load_counts_against_the_change():
    """A long load, or a busy group, costs more than the change brings."""
    assert dissolved(PRESSED, load_ms=30_000) is None
    busy = [planner.OpenGroup("g1", 1, "a", 8)]
    # The excess falls from 6.4 to 0.8 slots: 5.6 x (30 s - load) against 8
    # requests over the load are equal at 12,353 ms.
    assert dissolved(PRESSED, busy, load_ms=12_400) is None
    assert dissolved(PRESSED, busy, load_ms=12_300) == "g1"


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.floats(0, 60), st.integers(1, 6)), min_size=2),
    st.tuples(st.integers(1, 4), st.integers(1, 4)),
)
def test_a_change_is_not_followed_by_its_reverse(pairs, sizes):
    """Without hysteresis, equal demand would load weights for ever."""
    counts = [pairs[0][1], pairs[1][1]]
    demand = [pairs[0][0], pairs[1][0]]
    changes = []
    for _ in range(20):
        groups = [
            planner.OpenGroup(f"{name}{i}", 1, name, 0)
            for name, count in zip("ab", counts, strict=True)
            for i in range(count)
        ]
        wanted = [(d, 8 * n) for d, n in zip(demand, counts, strict=True)]
        found = dissolved(wanted, groups, sizes)
        if found is None:
            break
        low = "ab".index(found[0])
        changes.append(low)
        counts[low] -= 1
        counts[1 - low] += sizes[low] // sizes[1 - low]
    assert len(set(changes)) <= 1
    assert len(changes) < 20
