"""Which open groups give their workers to another model."""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from oleanderbay.gateway import planner, table

# A model below this pressure needs no further group.
HIGH_PRESSURE = 0.7
# The highest pressure has to fall by this factor, so that demand that stays
# the same never causes the reverse change.
EASE_FACTOR = 1.2
# Part of the capacity that counts after the loss of a group at least. A model
# with one group would otherwise have the pressure of a model without any.
LEAST_LEFT = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class OpenGroup:
    """An open group of one domain.

    Attributes:
        name: Its name.
        epoch: Its epoch.
        model: Name of its model.
        load: Requests in flight at it.
        warm: Models that all its members join without a load.
    """

    name: str
    epoch: int
    model: str
    load: int
    warm: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Conversion:
    """Groups that give their workers to a model with too few groups.

    Attributes:
        model: The model that gets the workers.
        groups: The groups to dissolve, all of one other model.
        warm: Whether their members join the model without a load.
    """

    model: table.Model
    groups: tuple[OpenGroup, ...]
    warm: bool


def surplus(
    engine: table.Engine,
    needs: Mapping[str, planner.Need],
    groups: Iterable[OpenGroup],
    free: Mapping[str, int],
) -> Conversion | None:
    """Returns the conversion that lowers the highest pressure most, if any.

    As few groups are dissolved as the next group of the other model takes;
    those with warm members and few requests go first.

    Args:
        engine: Figures of the domain's engine.
        needs: Demand and capacity by model, over all domains.
        groups: The open groups of one domain.
        free: Free workers of the domain that join a model without a load, by
            model. They become members of the new groups.
    """
    by_model: dict[str, list[OpenGroup]] = {}
    for group in groups:
        by_model.setdefault(group.model, []).append(group)
    best: Conversion | None = None
    best_ease = EASE_FACTOR
    for name, given in by_model.items():
        model = engine.model(name)
        if model is None or name not in needs:
            continue
        for target in engine.models:
            warm_free = free.get(target.name, 0)
            if (
                target is model
                or target.name not in needs
                # Enough free workers form a group without any change.
                or warm_free >= target.group_size
            ):
                continue
            count = math.ceil(
                (target.group_size - warm_free) / model.group_size
            )
            if count > len(given):
                continue
            formed = (warm_free + count * model.group_size) // target.group_size
            ease = _ease(
                needs[target.name], needs[name], formed, count, engine.slots
            )
            if ease >= best_ease:
                chosen = sorted(
                    given,
                    key=lambda g: (target.name not in g.warm, g.load),
                )[:count]
                warm = all(target.name in g.warm for g in chosen)
                best = Conversion(target, tuple(chosen), warm)
                best_ease = ease
    return best


def pressure(need: planner.Need, slots: int) -> float:
    """Returns the demand by the capacity that the loss of one group leaves.

    The model with fewer groups loses more with each of them, so at equal use
    it has the higher pressure.

    Args:
        need: Demand and capacity of a model.
        slots: Slots of one group.
    """
    if need.demand <= 0:
        return 0.0
    left = max(need.capacity - slots, LEAST_LEFT * need.capacity)
    return need.demand / left if left > 0 else math.inf


def _ease(
    high: planner.Need,
    low: planner.Need,
    formed: int,
    given: int,
    slots: int,
) -> float:
    """Returns the factor by which the highest of two pressures falls."""
    before = pressure(high, slots)
    after = max(
        pressure(
            planner.Need(high.demand, high.capacity + formed * slots), slots
        ),
        pressure(planner.Need(low.demand, low.capacity - given * slots), slots),
    )
    if before <= HIGH_PRESSURE or math.isinf(after):
        return 0.0
    return before / after if after > 0 else math.inf
