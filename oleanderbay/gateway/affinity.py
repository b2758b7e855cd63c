"""Which model a fabric domain is for."""

from collections.abc import Mapping

from oleanderbay.gateway import planner, table


def spare_model(
    engine: table.Engine,
    needs: Mapping[str, planner.ModelDemand],
    preferred: table.Model | None,
) -> table.Model:
    """Returns the model that a spare worker without any should load.

    Args:
        engine: Figures of the engine.
        needs: Demand and capacity by model.
        preferred: The model that the spare's domain is for.
    """

    def pressure(model: table.Model) -> float:
        need = needs.get(model.name, planner.ModelDemand(0.0, 0.0))
        return need.demand / (need.capacity + engine.slots / 2)

    most = max(engine.models, key=pressure)
    if preferred is None or (
        pressure(most) > planner.HIGH_UTILIZATION
        and pressure(preferred) < planner.HIGH_UTILIZATION
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
        able = [model for model in engine.models if model.group_size <= size]
        if not able:
            continue
        chosen = max(
            able, key=lambda m: slots_share(m) / (capacity[m.name] + 1)
        )
        capacity[chosen.name] += engine.slots * (size // chosen.group_size)
        assigned[domain] = chosen
    return assigned


def slots_share(model: table.Model) -> float:
    """Returns a model's declared demand for slots, up to a factor.

    The share counts work by the workers that do it, and a group has the same
    slots for each size.
    """
    return model.expected_share / model.group_size
