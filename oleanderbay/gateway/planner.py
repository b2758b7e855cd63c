"""Plans which groups to form from the free workers of one domain."""

import dataclasses
import itertools
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence

from oleanderbay.gateway import table, workers

# Time for which a new group is expected to serve.
HORIZON_MS = 30_000
# Demand as a share of the capacity above which a model needs more groups.
HIGH_UTILIZATION = 0.7
# Time for a worker to join a group of the model that it served last.
REJOIN_MS = 200
# Largest number of mixes that are all compared; above it a greedy search is
# used. Comparing one takes about 2 us, and a decision may take 20 ms, half of
# which is left for everything else.
MAX_MIXES = 5_000
# Largest number of mixes for which worker assignments are tried until one is
# feasible. One assignment takes about 50 us.
MAX_ASSIGNED_MIXES = 1_000
# Limits on the model orders in which workers are assigned: the number of
# orders, and the number of workers summed over all orders. Assigning one
# worker takes about 3 us.
MAX_ORDERS = 24
MAX_ASSIGNED_WORKERS = 2_000
# Largest domain in which worker assignments are tried for each mix.
MAX_ASSIGNED_DOMAIN = 12
# Weight of slots beyond the demand. The demand is a mean and varies, so spare
# slots are useful, but they only decide where the demand is met or no mix
# meets it better.
SPARE_SLOT_WEIGHT = 0.01
# Demand is rounded to this fraction of a slot. Smaller differences would be
# lost in the floating-point rounding of the scores.
DEMAND_STEPS_PER_SLOT = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class FreeWorker:
    """A worker that may join a group.

    Attributes:
        worker: The worker.
        last_model: Model of its last group since its start; empty if none.
    """

    worker: workers.Worker
    last_model: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedGroup:
    """A group to be formed.

    Attributes:
        model: The model that it serves.
        members: Its members, the head first.
        ready_ms: Predicted time until all members are ready.
        loads: Number of members that load from the weight store.
    """

    model: table.Model
    members: tuple[FreeWorker, ...]
    ready_ms: int
    loads: int


@dataclasses.dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for and capacity of one model, both in slots.

    Attributes:
        demand: Slots that requests take.
        capacity: Slots of groups that are open or being formed.
    """

    demand: float
    capacity: float

    def exceeds(self, utilization: float) -> bool:
        """Whether the demand exceeds a share of the capacity."""
        return self.demand > utilization * self.capacity


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """A number of groups for each model.

    Attributes:
        score: Score on the assumption that each model chooses first.
        counts: Number of groups, in the order of the plan's models.
    """

    score: float
    counts: tuple[int, ...]


def join_ms(candidate: FreeWorker, model: table.Model) -> int:
    """Returns the time that a worker needs to be ready for a model."""
    if candidate.last_model == model.name:
        return REJOIN_MS
    if model.name in candidate.worker.staged:
        return model.warm_load_ms
    return model.load_ms


def needs_load(candidate: FreeWorker, model: table.Model) -> bool:
    """Whether a worker loads from the weight store to join a model."""
    return (
        candidate.last_model != model.name
        and model.name not in candidate.worker.staged
    )


def plan_groups(
    free: Sequence[FreeWorker],
    engine: table.Engine,
    demands: Mapping[str, ModelDemand],
    max_loads: int,
    horizon_ms: int = HORIZON_MS,
) -> list[PlannedGroup]:
    """Chooses the groups to form, ordered by the time until they are ready.

    All feasible mixes of models are scored by the slots of demand that they
    serve within the horizon, plus a little for spare slots. Workers are then
    assigned to the groups of the best mix. Scoring assumes for each model that
    it chooses its workers first, so more demand for a model never gives it
    fewer groups.

    Args:
        free: The free workers of one domain.
        engine: Parameters of their engine.
        demands: Demand and capacity by model; other models get no group.
        max_loads: Loads from the weight store that may begin now.
        horizon_ms: Time for which groups are expected to serve. It is extended
            to twice the longest load.
    """
    plan = _Plan(free, engine, demands, max_loads, horizon_ms)
    for mix in plan.mixes():
        planned = plan.assign(mix.counts)
        if planned is not None:
            return planned
    return []


def mixes(
    free: Sequence[FreeWorker],
    engine: table.Engine,
    demands: Mapping[str, ModelDemand],
    max_loads: int,
    horizon_ms: int = HORIZON_MS,
) -> list[Mix]:
    """Returns the mixes that `plan_groups` compares, the best first."""
    return list(_Plan(free, engine, demands, max_loads, horizon_ms).mixes())


class _Plan:
    """Computes the plan for one domain at one moment."""

    def __init__(
        self,
        free: Sequence[FreeWorker],
        engine: table.Engine,
        demands: Mapping[str, ModelDemand],
        max_loads: int,
        horizon_ms: int,
    ) -> None:
        self.free = free
        self.slots = engine.slots
        self.demands = demands
        # A negative limit must not keep warm workers from forming a group.
        self.max_loads = max(0, max_loads)
        self.models = [
            model
            for model in engine.models
            if model.group_size <= len(free)
            and model.name in demands
            and demands[model.name].demand > 0
        ]
        # A model that takes longer to load than the horizon would otherwise
        # never get a group.
        self.horizon_ms = max(
            [horizon_ms, *(2 * model.load_ms for model in self.models)]
        )
        affordable_orders = max(1, MAX_ASSIGNED_WORKERS // max(1, len(free)))
        possible_orders = math.factorial(min(len(self.models), 5))
        self.max_orders = min(possible_orders, MAX_ORDERS, affordable_orders)
        # Total score and loads by model and number of groups.
        self._scores: list[list[float]] = []
        self._loads: list[list[int]] = []
        for model in self.models:
            groups = _split(self._ranked(free, model, ()), model)
            scores = self._group_scores(
                model, [group.ready_ms for group in groups]
            )
            self._scores.append(list(itertools.accumulate(scores, initial=0.0)))
            loads = itertools.accumulate((g.loads for g in groups), initial=0)
            self._loads.append(list(loads))
        self._mix_count = math.prod(len(scores) for scores in self._scores)
        self._reserved: dict[str, list[FreeWorker]] = {}
        if (
            len(free) > MAX_ASSIGNED_DOMAIN
            or self._mix_count > MAX_ASSIGNED_MIXES
        ):
            self._reserve()

    def mixes(self) -> Iterator[Mix]:
        """Yields mixes, the best first.

        The order between equal scores does not depend on the demand.
        """
        if self._mix_count > MAX_MIXES:
            return iter([self._greedy_mix()])
        candidates = self._feasible_counts(0, len(self.free), self.max_loads)
        return iter(
            sorted(
                (
                    Mix(sum(self._model_scores(counts)), counts)
                    for counts in candidates
                ),
                key=lambda mix: (-mix.score, [-n for n in mix.counts]),
            )
        )

    def assign(self, counts: Sequence[int]) -> list[PlannedGroup] | None:
        """Assigns workers to a mix; None if it needs too many loads."""
        wanted = [
            (model, count)
            for model, count in zip(self.models, counts, strict=True)
            if count
        ]
        upper_bound = sum(self._model_scores(counts))
        best: list[PlannedGroup] | None = None
        best_score = -1.0
        for planned in self._assignments(wanted):
            if sum(group.loads for group in planned) > self.max_loads:
                continue
            score = 0.0
            for model, _ in wanted:
                times = [g.ready_ms for g in planned if g.model is model]
                score += sum(self._group_scores(model, times))
            if best is None or score > best_score:
                best, best_score = planned, score
            if score >= upper_bound:
                break
        if best is None:
            return None
        return sorted(best, key=lambda group: group.ready_ms)

    def _reserve(self) -> None:
        """Counts each worker as warm for one model only.

        The loads of different models then add up, so every mix within the
        limit is feasible and no assignment has to be tried.
        """
        names = {model.name for model in self.models}
        self._reserved = {model.name: [] for model in self.models}
        for candidate in self.free:
            warm = sorted(names & candidate.worker.staged)
            if candidate.last_model in names:
                self._reserved[candidate.last_model].append(candidate)
            elif warm:
                self._reserved[warm[0]].append(candidate)
        self._loads = [
            [
                max(0, k * model.group_size - len(self._reserved[model.name]))
                for k in range(len(self.free) // model.group_size + 1)
            ]
            for model in self.models
        ]

    def _assignments(
        self, wanted: Sequence[tuple[table.Model, int]]
    ) -> Iterator[list[PlannedGroup]]:
        """Yields assignments of workers to the wanted numbers of groups."""
        if self._reserved:
            yield self._assign_reserved(wanted)
        orders = itertools.permutations(wanted)
        for order in itertools.islice(orders, self.max_orders):
            yield self._assign_in_order(order)

    def _assign_reserved(
        self, wanted: Sequence[tuple[table.Model, int]]
    ) -> list[PlannedGroup]:
        """Assigns the reserved workers of each model before any others."""
        reserved = {
            model.name: self._ranked(self._reserved[model.name], model, ())[
                : model.group_size * count
            ]
            for model, count in wanted
        }
        taken = {c.worker.id for chosen in reserved.values() for c in chosen}
        left = [c for c in self.free if c.worker.id not in taken]
        planned: list[PlannedGroup] = []
        for model, count in wanted:
            missing = model.group_size * count - len(reserved[model.name])
            ranked = self._ranked(left, model, ())
            members = reserved[model.name] + ranked[:missing]
            planned += _split(self._ranked(members, model, ()), model)
            left = ranked[missing:]
        return planned

    def _model_scores(self, counts: Sequence[int]) -> list[float]:
        return [self._scores[i][count] for i, count in enumerate(counts)]

    def _feasible_counts(
        self, position: int, workers_left: int, loads_left: int
    ) -> Iterator[tuple[int, ...]]:
        """Yields counts for the models from a position on."""
        if position == len(self.models):
            yield ()
            return
        size = self.models[position].group_size
        for count, loads in enumerate(self._loads[position]):
            if count * size > workers_left or loads > loads_left:
                return
            for rest in self._feasible_counts(
                position + 1, workers_left - count * size, loads_left - loads
            ):
                yield (count, *rest)

    def _greedy_mix(self) -> Mix:
        """Repeatedly adds the group with the highest score per worker."""
        counts = [0] * len(self.models)
        workers_left = len(self.free)
        loads_left = self.max_loads
        while True:
            best: int | None = None
            best_score = 0.0
            for i, model in enumerate(self.models):
                k = counts[i]
                if (
                    model.group_size > workers_left
                    or k + 1 >= len(self._scores[i])
                    or self._loads[i][k + 1] - self._loads[i][k] > loads_left
                ):
                    continue
                score = self._marginal_score(i, k) / model.group_size
                if score > best_score:
                    best, best_score = i, score
            if best is None:
                return Mix(sum(self._model_scores(counts)), tuple(counts))
            k = counts[best]
            loads_left -= self._loads[best][k + 1] - self._loads[best][k]
            workers_left -= self.models[best].group_size
            counts[best] += 1

    def _marginal_score(self, position: int, count: int) -> float:
        scores = self._scores[position]
        return scores[count + 1] - scores[count]

    def _group_scores(
        self, model: table.Model, ready_ms: Iterable[int]
    ) -> Iterator[float]:
        """Yields the score of each group of a model, the first ready first."""
        model_demand = self.demands[model.name]
        demand = (
            max(1, round(model_demand.demand * DEMAND_STEPS_PER_SLOT))
            / DEMAND_STEPS_PER_SLOT
        )
        capacity = model_demand.capacity
        # Half a group is added to the capacity, so that the first group of a
        # model without any has a high but finite score.
        half = self.slots / 2
        for group_ready_ms in sorted(ready_ms):
            serving_ms = max(0, self.horizon_ms - group_ready_ms)
            increased = capacity + self.slots
            served = min(demand, increased) - min(demand, capacity)
            spare = math.log((increased + half) / (capacity + half))
            yield serving_ms * (served + SPARE_SLOT_WEIGHT * demand * spare)
            capacity = increased

    def _assign_in_order(
        self, order: Iterable[tuple[table.Model, int]]
    ) -> list[PlannedGroup]:
        """Lets the models choose their workers in the given order."""
        wanted = list(order)
        left = list(self.free)
        planned: list[PlannedGroup] = []
        for i, (model, count) in enumerate(wanted):
            later_models = [later for later, _ in wanted[i + 1 :]]
            ranked = self._ranked(left, model, later_models)
            taken = count * model.group_size
            planned += _split(ranked[:taken], model)
            left = ranked[taken:]
        return planned

    def _ranked(
        self,
        free: Iterable[FreeWorker],
        model: table.Model,
        later_models: Sequence[table.Model],
    ) -> list[FreeWorker]:
        """Sorts workers by the time that they need to join a model.

        Among workers with the same time, those that are warm for other models
        come last and so are left to them.
        """
        return sorted(
            free,
            key=lambda candidate: (
                join_ms(candidate, model),
                sum(m.load_ms - join_ms(candidate, m) for m in later_models),
                len(candidate.worker.staged - {model.name}),
                candidate.worker.id,
            ),
        )


def _split(
    ranked: Sequence[FreeWorker], model: table.Model
) -> list[PlannedGroup]:
    """Splits ranked workers into groups, the earliest ready first."""
    planned = []
    for start in range(0, len(ranked) - model.group_size + 1, model.group_size):
        members = tuple(ranked[start : start + model.group_size])
        planned.append(
            PlannedGroup(
                model,
                members,
                max(join_ms(member, model) for member in members),
                sum(needs_load(member, model) for member in members),
            )
        )
    return planned
