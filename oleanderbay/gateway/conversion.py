"""Chooses the open groups whose workers are given to another model."""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from oleanderbay.gateway import planner, table

# A model needs no further group up to this pressure.
HIGH_PRESSURE = 0.7
# A conversion must lower the highest pressure by at least this factor, so that
# constant demand never triggers the reverse conversion.
MIN_PRESSURE_REDUCTION = 1.2
# Least share of the capacity that counts as remaining after the loss of a
# group. A model with one group would otherwise have the same pressure as a
# model without any.
MIN_REMAINING_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class OpenGroup:
    """An open group of one domain.

    Attributes:
        name: Its name.
        epoch: Its epoch.
        model: Name of its model.
        load: Requests in flight at it.
        warm: Models that all its members can join without a load.
    """

    name: str
    epoch: int
    model: str
    load: int
    warm: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Conversion:
    """Groups whose workers are given to a model with too few groups.

    Attributes:
        model: The model that gets the workers.
        groups: The groups to dissolve, all of one other model.
        warm: Whether their members join the model without a load.
    """

    model: table.Model
    groups: tuple[OpenGroup, ...]
    warm: bool


def choose_conversion(
    engine: table.Engine,
    demands: Mapping[str, planner.ModelDemand],
    groups: Iterable[OpenGroup],
    free: Mapping[str, int],
) -> Conversion | None:
    """Returns the conversion that lowers the highest pressure most, if any.

    It dissolves no more groups than are needed to form one group of the other
    model; those with warm members and few requests are chosen first.

    Args:
        engine: Parameters of the domain's engine.
        demands: Demand and capacity by model, over all domains.
        groups: The open groups of one domain.
        free: Number of the domain's free workers that join a model without a
            load, by model. They become members of the new groups.
    """
    by_model: dict[str, list[OpenGroup]] = {}
    for group in groups:
        by_model.setdefault(group.model, []).append(group)
    best: Conversion | None = None
    best_reduction = MIN_PRESSURE_REDUCTION
    for name, donors in by_model.items():
        model = engine.model(name)
        if model is None or name not in demands:
            continue
        for target in engine.models:
            warm_free = free.get(target.name, 0)
            if (
                target is model
                or target.name not in demands
                # The free workers can form a group without a conversion.
                or warm_free >= target.group_size
            ):
                continue
            count = math.ceil(
                (target.group_size - warm_free) / model.group_size
            )
            if count > len(donors):
                continue
            formed = (warm_free + count * model.group_size) // target.group_size
            reduction = _pressure_reduction(
                demands[target.name], demands[name], formed, count, engine.slots
            )
            if reduction >= best_reduction:
                chosen = sorted(
                    donors,
                    key=lambda g: (target.name not in g.warm, g.load),
                )[:count]
                warm = all(target.name in g.warm for g in chosen)
                best = Conversion(target, tuple(chosen), warm)
                best_reduction = reduction
    return best


def pressure(model_demand: planner.ModelDemand, slots: int) -> float:
    """Returns the demand divided by the capacity left after losing one group.

    Each group is a larger part of the capacity of a model that has fewer
    groups, so at equal utilization that model has the higher pressure.

    Args:
        model_demand: Demand and capacity of a model.
        slots: Slots of one group.
    """
    if model_demand.demand <= 0:
        return 0.0
    remaining = max(
        model_demand.capacity - slots,
        MIN_REMAINING_SHARE * model_demand.capacity,
    )
    return model_demand.demand / remaining if remaining > 0 else math.inf


def _pressure_reduction(
    target: planner.ModelDemand,
    donor: planner.ModelDemand,
    formed: int,
    dissolved: int,
    slots: int,
) -> float:
    """Returns the factor by which the higher of two pressures falls.

    It is 0 if the target's pressure is not high, or if the conversion would
    leave a model that has demand without capacity.
    """
    before = pressure(target, slots)
    after = max(
        pressure(
            planner.ModelDemand(
                target.demand, target.capacity + formed * slots
            ),
            slots,
        ),
        pressure(
            planner.ModelDemand(
                donor.demand, donor.capacity - dissolved * slots
            ),
            slots,
        ),
    )
    if before <= HIGH_PRESSURE or math.isinf(after):
        return 0.0
    return before / after if after > 0 else math.inf
