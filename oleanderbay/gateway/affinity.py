"""Assignment of models to fabric domains."""

from collections.abc import Mapping

from oleanderbay.gateway import planner, table


def model_for_spare(
    engine: table.Engine,
    needs: Mapping[str, planner.ModelDemand],
    preferred: table.Model | None,
) -> table.Model:
    """Returns the model that a spare worker without a model should load.

    This is the model assigned to its domain, unless another model is short of
    capacity and the assigned one is not.

    Args:
        engine: Description of the engine.
        needs: Demand and capacity by model.
        preferred: The model assigned to the worker's domain, if any.
    """

    def utilization(model: table.Model) -> float:
        need = needs.get(model.name, planner.ModelDemand(0.0, 0.0))
        return need.demand / (need.capacity + engine.slots / 2)

    most = max(engine.models, key=utilization)
    if preferred is None or (
        utilization(most) > planner.HIGH_UTILIZATION
        and utilization(preferred) < planner.HIGH_UTILIZATION
    ):
        return most
    return preferred


def assign_domains(
    engine: table.Engine, domains: Mapping[str, tuple[str, int]]
) -> dict[str, table.Model]:
    """Assigns a model to each domain by the declared shares of the models.

    The result is deterministic, so that all gateways that know the same
    domains agree. The domains of a zone get different models as far as
    possible.

    Args:
        engine: Description of the engine.
        domains: Zone and number of workers by domain.
    """
    positions: list[tuple[int, str, str]] = []
    zone_counts: dict[str, int] = {}
    for domain in sorted(domains):
        zone = domains[domain][0]
        positions.append((zone_counts.get(zone, 0), zone, domain))
        zone_counts[zone] = zone_counts.get(zone, 0) + 1
    slots = {model.name: 0.0 for model in engine.models}
    assigned = {}
    for _, _, domain in sorted(positions):
        size = domains[domain][1]
        eligible = [
            model for model in engine.models if model.group_size <= size
        ]
        if not eligible:
            continue
        chosen = max(
            eligible, key=lambda m: slot_demand(m) / (slots[m.name] + 1)
        )
        slots[chosen.name] += engine.slots * (size // chosen.group_size)
        assigned[domain] = chosen
    return assigned


def slot_demand(model: table.Model) -> float:
    """Returns the declared demand for slots of a model, up to a factor.

    Shares are fractions of the workers, and a group has the same number of
    slots whatever its size.
    """
    return model.expected_share / model.group_size
