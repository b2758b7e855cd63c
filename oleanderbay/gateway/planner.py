"""Which groups to form from the free workers of one domain."""

import dataclasses
import itertools
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence

from oleanderbay.gateway import table, workers

# Time for which a new group is expected to serve.
HORIZON_MS = 30_000
# Demand as a share of the capacity above which a model needs more groups.
PRESSING = 0.7
# Time to join again with the model of the last group.
REJOIN_MS = 200
# Mixes of models that are compared. One takes about 2 us, and a decision may
# take 20 ms, half of which is left for the rest of it. Domains with more mixes
# are planned greedily.
MAX_MIXES = 5_000
# Mixes of which any number may be tried with actual workers, which takes about
# 50 us each.
MAX_TRIED = 1_000
# Orders of models that are tried when workers are assigned, and workers that
# are assigned in all orders. One takes about 3 us.
MAX_ORDERS = 24
MAX_ASSIGNED = 2_000
# Largest domain where mixes are tried with actual workers.
SMALL_DOMAIN = 12
# Weight of slots beyond the demand: they matter only where the demand is met
# or can't be met better, since the demand is a mean and varies.
SPARE_WEIGHT = 0.01
# Steps of demand that are told apart. Smaller differences would be lost in the
# rounding of the scores.
DEMAND_STEPS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Free:
    """A worker that may join a group.

    Attributes:
        worker: The worker.
        last_model: Model of its last group since its start; empty if none.
    """

    worker: workers.Worker
    last_model: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Formation:
    """A group to be formed.

    Attributes:
        model: The model that it serves.
        members: Its members, the head first.
        ready_ms: Predicted time until all are ready.
        loads: Members that load from the weight store.
    """

    model: table.Model
    members: tuple[Free, ...]
    ready_ms: int
    loads: int


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """Demand for and capacity of one model, both in slots.

    Attributes:
        demand: Slots that requests take.
        capacity: Slots of groups that are open or being formed.
    """

    demand: float
    capacity: float

    def above(self, pressure: float) -> bool:
        """Whether the demand exceeds a share of the capacity."""
        return self.demand > pressure * self.capacity


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """A number of groups of each model.

    Attributes:
        score: Predicted use if each model could choose its workers first.
        counts: Groups by the position of the model.
    """

    score: float
    counts: tuple[int, ...]


def join_ms(free: Free, model: table.Model) -> int:
    """Returns the time that a worker needs to be ready for a model."""
    if free.last_model == model.name:
        return REJOIN_MS
    if model.name in free.worker.staged:
        return model.warm_load_ms
    return model.load_ms


def needs_load(free: Free, model: table.Model) -> bool:
    """Whether a worker loads from the weight store to join a model."""
    return (
        free.last_model != model.name and model.name not in free.worker.staged
    )


def form(
    free: Sequence[Free],
    engine: table.Engine,
    needs: Mapping[str, Need],
    max_loads: int,
    horizon_ms: int = HORIZON_MS,
) -> list[Formation]:
    """Chooses the groups to form, those that are ready first in front.

    All mixes of models that fit are compared by the slots of demand that they
    serve within the horizon; a little is added for spare slots. Then the
    workers are assigned to the groups of the best mix. The scores of the mixes
    assume for each model that it has the first choice of workers, so more
    demand for a model never gives it fewer groups.

    Args:
        free: The free workers of one domain.
        engine: Figures of their engine.
        needs: Demand and capacity by model; others get no group.
        max_loads: Loads from the weight store that may begin now.
        horizon_ms: Time for which groups are expected to serve. It is extended
            to twice the longest load.
    """
    plan = _Plan(free, engine, needs, max_loads, horizon_ms)
    for mix in plan.mixes():
        formed = plan.assign(mix.counts)
        if formed is not None:
            return formed
    return []


def mixes(
    free: Sequence[Free],
    engine: table.Engine,
    needs: Mapping[str, Need],
    max_loads: int,
    horizon_ms: int = HORIZON_MS,
) -> list[Mix]:
    """Returns the mixes that `form` compares, the best first."""
    return list(_Plan(free, engine, needs, max_loads, horizon_ms).mixes())


class _Plan:
    """The choice for one domain at one moment."""

    def __init__(
        self,
        free: Sequence[Free],
        engine: table.Engine,
        needs: Mapping[str, Need],
        max_loads: int,
        horizon_ms: int,
    ) -> None:
        self.free = free
        self.slots = engine.slots
        self.needs = needs
        # Loads beyond the limit must not keep warm workers from a group.
        self.max_loads = max(0, max_loads)
        self.models = [
            model
            for model in engine.models
            if model.group_size <= len(free)
            and model.name in needs
            and needs[model.name].demand > 0
        ]
        # A model that takes longer to load than the horizon would otherwise
        # never get a group.
        self.horizon_ms = max(
            [horizon_ms, *(2 * model.load_ms for model in self.models)]
        )
        each = max(1, MAX_ASSIGNED // max(1, len(free)))
        orders = math.factorial(min(len(self.models), 5))
        self.orders = min(orders, MAX_ORDERS, each)
        self._scores: list[list[float]] = []
        self._loads: list[list[int]] = []
        for model in self.models:
            groups = _split(self._ranked(free, model, ()), model)
            uses = self._uses(model, [group.ready_ms for group in groups])
            self._scores.append(list(itertools.accumulate(uses, initial=0.0)))
            loads = itertools.accumulate((g.loads for g in groups), initial=0)
            self._loads.append(list(loads))
        self._count = math.prod(len(scores) for scores in self._scores)
        self._reserved: dict[str, list[Free]] = {}
        if len(free) > SMALL_DOMAIN or self._count > MAX_TRIED:
            self._reserve()

    def mixes(self) -> Iterator[Mix]:
        """Yields mixes, the best first.

        The order between equal scores does not depend on the demand.
        """
        if self._count > MAX_MIXES:
            return iter([self._greedy()])
        found = self._enumerated(0, len(self.free), self.max_loads)
        return iter(
            sorted(
                (Mix(sum(self._parts(counts)), counts) for counts in found),
                key=lambda mix: (-mix.score, [-n for n in mix.counts]),
            )
        )

    def assign(self, counts: Sequence[int]) -> list[Formation] | None:
        """Assigns workers to a mix; None if it needs too many loads."""
        wanted = [
            (model, count)
            for model, count in zip(self.models, counts, strict=True)
            if count
        ]
        bound = sum(self._parts(counts))
        best: list[Formation] | None = None
        best_score = -1.0
        for formed in self._assignments(wanted):
            if sum(f.loads for f in formed) > self.max_loads:
                continue
            score = 0.0
            for model, _ in wanted:
                times = [f.ready_ms for f in formed if f.model is model]
                score += sum(self._uses(model, times))
            if best is None or score > best_score:
                best, best_score = formed, score
            if score >= bound:
                break
        if best is None:
            return None
        return sorted(best, key=lambda formation: formation.ready_ms)

    def _reserve(self) -> None:
        """Counts each worker as warm for one model only.

        Loads of different models then add up, and each mix within the limit
        can be carried out, so that none has to be tried.
        """
        names = {model.name for model in self.models}
        self._reserved = {model.name: [] for model in self.models}
        for item in self.free:
            warm = sorted(names & item.worker.staged)
            if item.last_model in names:
                self._reserved[item.last_model].append(item)
            elif warm:
                self._reserved[warm[0]].append(item)
        self._loads = [
            [
                max(0, k * model.group_size - len(self._reserved[model.name]))
                for k in range(len(self.free) // model.group_size + 1)
            ]
            for model in self.models
        ]

    def _assignments(
        self, wanted: Sequence[tuple[table.Model, int]]
    ) -> Iterator[list[Formation]]:
        """Yields assignments of workers to numbers of groups."""
        if self._reserved:
            yield self._assigned_reserved(wanted)
        orders = itertools.permutations(wanted)
        for order in itertools.islice(orders, self.orders):
            yield self._assigned(order)

    def _assigned_reserved(
        self, wanted: Sequence[tuple[table.Model, int]]
    ) -> list[Formation]:
        own = {
            model.name: self._ranked(self._reserved[model.name], model, ())[
                : model.group_size * count
            ]
            for model, count in wanted
        }
        taken = {item.worker.id for items in own.values() for item in items}
        left = [item for item in self.free if item.worker.id not in taken]
        formed: list[Formation] = []
        for model, count in wanted:
            missing = model.group_size * count - len(own[model.name])
            ranked = self._ranked(left, model, ())
            members = own[model.name] + ranked[:missing]
            formed += _split(self._ranked(members, model, ()), model)
            left = ranked[missing:]
        return formed

    def _parts(self, counts: Sequence[int]) -> list[float]:
        return [self._scores[i][count] for i, count in enumerate(counts)]

    def _enumerated(
        self, position: int, room: int, loads: int
    ) -> Iterator[tuple[int, ...]]:
        if position == len(self.models):
            yield ()
            return
        size = self.models[position].group_size
        for count, used in enumerate(self._loads[position]):
            if count * size > room or used > loads:
                return
            for rest in self._enumerated(
                position + 1, room - count * size, loads - used
            ):
                yield (count, *rest)

    def _greedy(self) -> Mix:
        """Adds the group of the most use for each worker, again and again."""
        counts = [0] * len(self.models)
        room = len(self.free)
        loads = self.max_loads
        while True:
            best: int | None = None
            best_use = 0.0
            for i, model in enumerate(self.models):
                k = counts[i]
                if (
                    model.group_size > room
                    or k + 1 >= len(self._scores[i])
                    or self._loads[i][k + 1] - self._loads[i][k] > loads
                ):
                    continue
                use = self._marginal(i, k) / model.group_size
                if use > best_use:
                    best, best_use = i, use
            if best is None:
                return Mix(sum(self._parts(counts)), tuple(counts))
            k = counts[best]
            loads -= self._loads[best][k + 1] - self._loads[best][k]
            room -= self.models[best].group_size
            counts[best] += 1

    def _marginal(self, position: int, count: int) -> float:
        scores = self._scores[position]
        return scores[count + 1] - scores[count]

    def _uses(
        self, model: table.Model, ready_ms: Iterable[int]
    ) -> Iterator[float]:
        """Yields the use of each group of a model, the first ready in front."""
        need = self.needs[model.name]
        demand = max(1, round(need.demand * DEMAND_STEPS)) / DEMAND_STEPS
        capacity = need.capacity
        # Half of a group counts as standing, so that the first group of a
        # model without any has a high but finite use.
        half = self.slots / 2
        for each_ms in sorted(ready_ms):
            serving = max(0, self.horizon_ms - each_ms)
            more = capacity + self.slots
            served = min(demand, more) - min(demand, capacity)
            spare = math.log((more + half) / (capacity + half))
            yield serving * (served + SPARE_WEIGHT * demand * spare)
            capacity = more

    def _assigned(
        self, order: Iterable[tuple[table.Model, int]]
    ) -> list[Formation]:
        wanted = list(order)
        left = list(self.free)
        formed: list[Formation] = []
        for i, (model, count) in enumerate(wanted):
            others = [other for other, _ in wanted[i + 1 :]]
            ranked = self._ranked(left, model, others)
            taken = count * model.group_size
            formed += _split(ranked[:taken], model)
            left = ranked[taken:]
        return formed

    def _ranked(
        self,
        free: Iterable[Free],
        model: table.Model,
        others: Sequence[table.Model],
    ) -> list[Free]:
        """Sorts workers by their time for a model.

        Workers that are warm for other models are kept for them where all
        would take the same time.
        """
        return sorted(
            free,
            key=lambda item: (
                join_ms(item, model),
                sum(o.load_ms - join_ms(item, o) for o in others),
                len(item.worker.staged - {model.name}),
                item.worker.id,
            ),
        )


def _split(ranked: Sequence[Free], model: table.Model) -> list[Formation]:
    """Splits ranked workers into groups, the earliest ready first."""
    formed = []
    for start in range(0, len(ranked) - model.group_size + 1, model.group_size):
        members = tuple(ranked[start : start + model.group_size])
        formed.append(
            Formation(
                model,
                members,
                max(join_ms(item, model) for item in members),
                sum(needs_load(item, model) for item in members),
            )
        )
    return formed
