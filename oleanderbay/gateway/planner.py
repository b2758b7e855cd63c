"""Which groups to form from the free workers of one domain."""

import dataclasses
from collections.abc import Collection, Mapping, Sequence

from oleanderbay.gateway import table, workers

# Time for which a new group is expected to serve.
HORIZON_MS = 30_000
# Demand as a share of the capacity above which a model needs more groups.
PRESSING = 0.7
# Time to join again with the model of the last group.
REJOIN_MS = 200


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


def join_ms(free: Free, model: table.Model) -> int:
    """Returns the time that a worker needs to be ready for a model."""
    if free.last_model == model.name:
        return REJOIN_MS
    if model.name in free.worker.staged:
        return model.warm_ms
    return model.load_ms


def form(
    free: Sequence[Free],
    engine: table.Engine,
    needs: Mapping[str, Need],
    max_loads: int,
    max_workers: int | None = None,
    unbounded: Collection[str] = (),
) -> list[Formation]:
    """Forms groups greedily, the most useful one first.

    The use of a group is the pressure on its model, times the part of the
    horizon in which it serves, for each worker that it takes.

    Args:
        free: The free workers of one domain.
        engine: Figures of their engine.
        needs: Demand and capacity by model; others get no group.
        max_loads: Loads from the weight store that may begin now.
        max_workers: Workers that may be used; all by default.
        unbounded: Models that may use all workers.
    """
    left = list(free)
    budget = len(left) if max_workers is None else max_workers
    capacity = {name: need.capacity for name, need in needs.items()}
    formed: list[Formation] = []
    while True:
        best: Formation | None = None
        best_use = 0.0
        for model in engine.models:
            candidate = _candidate(left, model)
            if candidate is None or candidate.loads > max_loads:
                continue
            if model.name not in needs or (
                model.size > budget and model.name not in unbounded
            ):
                continue
            need = needs[model.name]
            use = _use(
                candidate, need.demand, capacity.get(model.name, 0.0), engine
            )
            if use > best_use:
                best, best_use = candidate, use
        if best is None:
            return formed
        formed.append(best)
        max_loads -= best.loads
        budget -= best.model.size
        name = best.model.name
        capacity[name] = capacity.get(name, 0.0) + engine.slots
        left = [item for item in left if item not in best.members]


def _candidate(free: Sequence[Free], model: table.Model) -> Formation | None:
    if len(free) < model.size:
        return None
    # Workers that are warm for another model are kept for it where others
    # would have to load as well.
    ranked = sorted(
        free,
        key=lambda item: (
            join_ms(item, model),
            len(item.worker.staged - {model.name}),
            item.worker.id,
        ),
    )
    members = tuple(ranked[: model.size])
    times = [join_ms(item, model) for item in members]
    return Formation(
        model,
        members,
        max(times),
        sum(time == model.load_ms for time in times),
    )


def _use(
    formation: Formation,
    demand: float,
    capacity: float,
    engine: table.Engine,
) -> float:
    # Half of a group counts as standing, so that the first group of a model
    # without any has a high but finite pressure.
    pressure = demand / (capacity + engine.slots / 2)
    serving = max(0.0, HORIZON_MS - formation.ready_ms) / HORIZON_MS
    return pressure * serving / formation.model.size


def spare_model(
    engine: table.Engine,
    needs: Mapping[str, Need],
    preferred: table.Model | None,
) -> table.Model:
    """Returns the model that a spare worker without any should load.

    Args:
        engine: Figures of the engine.
        needs: Demand and capacity by model.
        preferred: The model that the spare's domain is for.
    """

    def pressure(model: table.Model) -> float:
        need = needs.get(model.name, Need(0.0, 0.0))
        return need.demand / (need.capacity + engine.slots / 2)

    most = max(engine.models, key=pressure)
    if preferred is None or (
        pressure(most) > PRESSING and pressure(preferred) < PRESSING
    ):
        return most
    return preferred


def assign(
    engine: table.Engine, domains: Mapping[str, tuple[str, int]]
) -> dict[str, table.Model]:
    """Deals domains out to models by the declared shares of the work.

    Every caller with the same domains gets the same result. The domains of a
    zone go to different models as far as possible.

    Args:
        engine: Figures of the engine.
        domains: Zone and number of workers by domain.
    """
    order: list[tuple[int, str, str]] = []
    seen: dict[str, int] = {}
    for domain in sorted(domains):
        zone = domains[domain][0]
        order.append((seen.get(zone, 0), zone, domain))
        seen[zone] = seen.get(zone, 0) + 1
    capacity = {model.name: 0.0 for model in engine.models}
    assigned = {}
    for _, _, domain in sorted(order):
        size = domains[domain][1]
        able = [model for model in engine.models if model.size <= size]
        if not able:
            continue
        chosen = max(
            able, key=lambda m: slots_share(m) / (capacity[m.name] + 1)
        )
        capacity[chosen.name] += engine.slots * (size // chosen.size)
        assigned[domain] = chosen
    return assigned


def slots_share(model: table.Model) -> float:
    """Returns a model's declared demand for slots, up to a factor.

    The share counts work by the workers that do it, and a group has the same
    slots for each size.
    """
    return model.share / model.size
