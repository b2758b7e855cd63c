"""Which open groups give their workers to another model."""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from oleanderbay.gateway import planner, table

# A group is dissolved only if the pressures differ by this factor,
PRESSURE_FACTOR = 2.0
# the higher one is above this,
HIGH_PRESSURE = 0.7
# and the lower one stays below this without the group. The gap between both
# limits prevents the reverse change while the demand stays the same.
LOW_PRESSURE = 0.6
# Time in which a group that is being closed finishes its requests.
FINISH_MS = 1_500


@dataclasses.dataclass(frozen=True, slots=True)
class OpenGroup:
    """An open group of one domain.

    Attributes:
        name: Its name.
        epoch: Its epoch.
        model: Name of its model.
        load: Requests in flight at it.
    """

    name: str
    epoch: int
    model: str
    load: int


def surplus(
    engine: table.Engine,
    needs: Mapping[str, planner.Need],
    groups: Iterable[OpenGroup],
    free: int = 0,
    horizon_ms: int = planner.HORIZON_MS,
) -> tuple[OpenGroup, ...]:
    """Returns the groups to dissolve for a model with too few, if any.

    All are of one model, and as few as the other model's next group takes.
    The gain is the demand above `HIGH_PRESSURE` that the new groups take from
    the end of their load to the horizon. The cost is what the dissolved groups
    still have to finish; the model that gives them stays below `LOW_PRESSURE`,
    so that its other groups have room for what would have come.

    Args:
        engine: Figures of the domain's engine.
        needs: Demand and capacity by model, over all domains.
        groups: The open groups of one domain.
        free: Free workers of the domain, which join the new groups.
        horizon_ms: Time for which the new groups are expected to serve.
    """
    by_model: dict[str, list[OpenGroup]] = {}
    for group in sorted(groups, key=lambda group: group.load):
        by_model.setdefault(group.model, []).append(group)
    best: tuple[OpenGroup, ...] = ()
    best_gain = 0.0
    for name, able in by_model.items():
        model = engine.model(name)
        low = needs.get(name)
        if model is None or low is None:
            continue
        for target in engine.models:
            high = needs.get(target.name)
            if target is model or high is None or not _differs(high, low):
                continue
            if free >= target.size:
                # The free workers form a group without any change.
                continue
            count = math.ceil((target.size - free) / model.size)
            formed = (free + count * model.size) // target.size
            if count > len(able) or not _spare(low, count * engine.slots):
                continue
            eased = _excess(high) - _excess(
                planner.Need(high.demand, high.capacity + formed * engine.slots)
            )
            chosen = tuple(able[:count])
            gain = (
                eased * (horizon_ms - target.load_ms)
                - sum(group.load for group in chosen) * FINISH_MS
            )
            if gain > best_gain:
                best, best_gain = chosen, gain
    return best


def _spare(need: planner.Need, slots: int) -> bool:
    """Whether a model can do without one of its groups."""
    # The pressure is unlimited without any group.
    return _pressure(need.demand, need.capacity - slots) < LOW_PRESSURE


def _differs(high: planner.Need, low: planner.Need) -> bool:
    """Whether the difference of the pressures is worth a change."""
    pressure = _pressure(high.demand, high.capacity)
    return pressure > HIGH_PRESSURE and pressure >= PRESSURE_FACTOR * _pressure(
        low.demand, low.capacity
    )


def _pressure(demand: float, capacity: float) -> float:
    if demand <= 0:
        return 0.0
    return demand / capacity if capacity > 0 else math.inf


def _excess(need: planner.Need) -> float:
    return max(0.0, need.demand - HIGH_PRESSURE * need.capacity)
