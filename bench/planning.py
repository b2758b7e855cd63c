"""Plans for free workers against the optimum and against first fit."""

import collections
import dataclasses
import functools
import itertools
import random
from collections.abc import Iterable, Iterator, Mapping, Sequence

from bench import harness, naive_planning
from oleanderbay.gateway import planner, table, workers

CASES = 600
SEED = 1
MANY_SEEDS = range(1, 8)
DOMAINS = 1_200
DOMAIN_SIZE = 10
SLOTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One decision.

    Attributes:
        free: The free workers of a domain.
        engine: Their engine.
        needs: Demand and capacity by model.
        max_loads: Loads that may begin.
    """

    free: tuple[planner.FreeWorker, ...]
    engine: table.Engine
    needs: Mapping[str, planner.ModelDemand]
    max_loads: int


def case(rng: random.Random, size: int, models: int) -> Case:
    """Draws a case: some workers are warm, some loads may be refused."""
    names = "abc"[:models]
    engine = table.Engine(
        slots=SLOTS,
        models=tuple(
            table.Model(
                name=name,
                group_size=rng.choice((1, 2, 2, 3, 4, 5, 8)),
                expected_share=1 / models,
                time_factor=1.0,
                load_ms=rng.choice((4_000, 8_000, 15_000)),
                warm_load_ms=rng.choice((1_000, 2_000)),
            )
            for name in names
        ),
    )
    free = []
    for i in range(size):
        staged = rng.sample(names, rng.choice((0, 0, 1, 1, 2)))
        free.append(
            planner.FreeWorker(
                workers.Worker(
                    id=f"w{i:02}",
                    service="s",
                    address="",
                    zone="",
                    staged=frozenset(staged),
                ),
                rng.choice(("", "", "", *names)),
            )
        )
    needs = {
        name: planner.ModelDemand(
            rng.choice((0.5, 2.0, 6.0, 12.0, 20.0, 40.0)),
            rng.choice((0, 0, SLOTS, 2 * SLOTS)),
        )
        for name in names
    }
    return Case(tuple(free), engine, needs, rng.choice((2, 4, size)))


def model_worth(need: planner.ModelDemand, ready_ms: Iterable[int]) -> float:
    """Returns the demand that new groups of one model serve, in slot-ms."""
    capacity = need.capacity
    worth = 0.0
    for each_ms in sorted(ready_ms):
        more = capacity + SLOTS
        served = min(need.demand, more) - min(need.demand, capacity)
        worth += served * max(0, planner.HORIZON_MS - each_ms)
        capacity = more
    return worth


def worth(given: Case, formed: Sequence[planner.PlannedGroup]) -> float:
    """Returns the worth of a plan; refuses a plan that is not allowed."""
    used = [m.worker.id for f in formed for m in f.members]
    assert len(used) == len(set(used))
    assert sum(f.loads for f in formed) <= given.max_loads
    return sum(
        model_worth(
            given.needs[model.name],
            [f.ready_ms for f in formed if f.model is model],
        )
        for model in given.engine.models
    )


def optimum(given: Case) -> float:
    """Returns the highest worth of all plans.

    Workers that take equal times for all models are exchangeable, and the
    workers of a model are best split in the order of their times; every other
    choice is enumerated.
    """
    models = given.engine.models
    kinds = collections.Counter(
        tuple(
            (planner.join_ms(item, m), planner.needs_load(item, m))
            for m in models
        )
        for item in given.free
    )
    keys = tuple(kinds)

    @functools.cache
    def best(position: int, left: tuple[int, ...], loads: int) -> float:
        if position == len(models):
            return 0.0
        model = models[position]
        highest = 0.0
        for used in itertools.product(*(range(n + 1) for n in left)):
            if sum(used) % model.group_size:
                continue
            pairs = zip(keys, used, strict=True)
            taken = sorted(
                joining
                for key, count in pairs
                for joining in [key[position]] * count
            )
            need_loads = sum(load for _, load in taken)
            if need_loads > loads:
                continue
            ready = [time for time, _ in taken][
                model.group_size - 1 :: model.group_size
            ]
            rest = tuple(n - u for n, u in zip(left, used, strict=True))
            highest = max(
                highest,
                model_worth(given.needs[model.name], ready)
                + best(position + 1, rest, loads - need_loads),
            )
        return highest

    return best(0, tuple(kinds.values()), given.max_loads)


def _cases(seeds: Iterable[int]) -> Iterator[Case]:
    for seed in seeds:
        rng = random.Random(seed)
        for _ in range(CASES):
            yield case(rng, rng.randint(2, 10), rng.choice((2, 3)))


def _compare(name: str, seeds: Sequence[int]) -> Iterator[harness.Result]:
    ratios = []
    behind = 0
    naive_ratios = []
    for given in _cases(seeds):
        arguments = (given.free, given.engine, given.needs, given.max_loads)
        mine = worth(given, planner.plan_groups(*arguments))
        naive = worth(given, naive_planning.first_fit(*arguments))
        highest = optimum(given)
        behind += mine < naive
        if highest:
            ratios.append(mine / highest)
            naive_ratios.append(naive / highest)
    ratios.sort()
    detail = {
        "cases": len(ratios),
        "seeds": list(seeds),
        "least": ratios[0],
        "percentile_5": ratios[len(ratios) // 20],
        "optimal": sum(ratio > 1 - 1e-9 for ratio in ratios),
        "naive_mean": sum(naive_ratios) / len(naive_ratios),
    }
    yield harness.Result(
        name=f"planning.{name}worth_of_optimum",
        value=sum(ratios) / len(ratios),
        unit="ratio",
        deterministic=True,
        detail=detail,
    )
    yield harness.Result(
        name=f"planning.{name}cases_behind_first_fit",
        value=behind,
        unit="count",
        deterministic=True,
        detail=detail,
    )


def _fleet() -> list[Case]:
    rng = random.Random(SEED)
    return [case(rng, DOMAIN_SIZE, 3) for _ in range(DOMAINS)]


def _mixes(fleet: Sequence[Case]) -> harness.Result:
    counts = [
        len(planner.mixes(c.free, c.engine, c.needs, c.max_loads))
        for c in fleet
    ]
    return harness.Result(
        name="planning.mixes_per_decision",
        value=max(counts),
        unit="count",
        deterministic=True,
        detail={
            "domains": len(fleet),
            "workers": len(fleet) * DOMAIN_SIZE,
            "mean": sum(counts) / len(counts),
        },
    )


def _decision_times(fleet: Sequence[Case]) -> Iterator[harness.Result]:
    times = [_time(each, 2) for each in fleet]
    rng = random.Random(SEED)
    series = [
        [size, max(_time(case(rng, size, 3), 1) for _ in range(5))]
        for size in (10, 20, 40, 80, 160, 320)
    ]
    yield harness.Result(
        name="planning.decision_ms",
        value=max(times),
        unit="ms",
        detail={
            "workers": len(fleet) * DOMAIN_SIZE,
            "mean": sum(times) / len(times),
            "all_domains": sum(times),
            "series": series,
        },
    )


def _time(given: Case, calls: int) -> float:
    decide = functools.partial(
        planner.plan_groups,
        given.free,
        given.engine,
        given.needs,
        given.max_loads,
    )
    return harness.cpu_us_per_call(decide, calls=calls, repeats=3) / 1000


def run() -> Iterator[harness.Result]:
    """Runs everything."""
    yield from counts()
    yield from _compare("many_", MANY_SEEDS)
    yield from _decision_times(_fleet())


def counts() -> Iterator[harness.Result]:
    """Runs what each run gives alike."""
    yield from _compare("", [SEED])
    yield _mixes(_fleet())
