"""First fit: the plan for free workers that the planner is compared with."""

from collections.abc import Mapping, Sequence

from oleanderbay.gateway import planner, table


def first_fit(
    free: Sequence[planner.FreeWorker],
    engine: table.Engine,
    needs: Mapping[str, planner.ModelDemand],
    max_loads: int,
) -> list[planner.PlannedGroup]:
    """Forms groups of each model, in order, until its demand is met.

    The first workers are taken, whatever is staged on their hosts.
    """
    left = list(free)
    formed: list[planner.PlannedGroup] = []
    for model in engine.models:
        need = needs[model.name]
        capacity = need.capacity
        while capacity < need.demand and len(left) >= model.group_size:
            members = tuple(left[: model.group_size])
            loads = sum(planner.needs_load(m, model) for m in members)
            if loads > max_loads:
                break
            ready_ms = max(planner.join_ms(m, model) for m in members)
            formed.append(planner.PlannedGroup(model, members, ready_ms, loads))
            del left[: model.group_size]
            max_loads -= loads
            capacity += engine.slots
    return formed
