"""Decides what the workers of a fabric domain are used for."""

import collections
import random
from collections.abc import Mapping, Sequence

import structlog

from oleanderbay.gateway import (
    affinity,
    conversion,
    demand,
    dissolution,
    formation,
    planner,
    request_load,
    reservation,
    staging,
    table,
    workers,
)
from oleanderbay.gateway import capacity as capacity_module
from oleanderbay.gateway import telemetry as telemetry_module

# Utilization above which workers that are warm for a model are not loaded with
# another one.
KEEP_WARM_UTILIZATION = 0.4
# Probability that the owner of a domain considers a conversion in one pass.
CONVERSION_PROBABILITY = 0.04

log = structlog.get_logger()


class Allocator:
    """Decides for one domain at a time and starts what it has decided.

    Attributes:
        reservations: Members of converted groups.
        staging: Loads onto hosts.
    """

    def __init__(
        self,
        capacity: capacity_module.Capacity,
        formations: formation.Formations,
        group_dissolution: dissolution.Dissolution,
        requests: request_load.RequestLoad,
        measured_demand: demand.Demand,
        rng: random.Random,
        reservations: reservation.Reservations,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self.staging = staging.Staging(capacity, formations, telemetry)
        self.reservations = reservations
        self.capacity = capacity
        self.formations = formations
        self.dissolution = group_dissolution
        self.requests = requests
        self.demand = measured_demand
        self.rng = rng
        self.telemetry = telemetry

    def convert(
        self,
        engine: table.Engine,
        demands: Mapping[str, planner.ModelDemand],
        free: list[planner.FreeWorker],
        groups: list[workers.Group],
    ) -> None:
        """Occasionally considers a conversion of groups of a domain.

        Owners of other domains see the same pressures. Each therefore checks
        at random times, and only one conversion is begun at a time.

        Args:
            engine: Parameters of the domain's engine.
            demands: Demand and capacity by model.
            free: The domain's free workers.
            groups: The domain's active groups.
        """
        if (
            not self.demand.has_traffic
            or self.rng.random() >= CONVERSION_PROBABILITY
            or self.capacity.converting()
        ):
            return
        _, unreserved = self.reservations.split(free)
        chosen = conversion.choose_conversion(
            engine,
            demands,
            [self._open_group(group) for group in groups if group.open],
            {
                model.name: sum(
                    not planner.needs_load(candidate, model)
                    for candidate in unreserved
                )
                for model in engine.models
            },
        )
        if chosen is None:
            return
        if not chosen.warm:
            self.staging.stage_for_conversion(engine, chosen, groups)
            return
        self.capacity.record_planned(chosen.model.name)
        by_key = {(group.name, group.epoch): group for group in groups}
        for donor in chosen.groups:
            log.info(
                "group converted", group=donor.name, model=chosen.model.name
            )
            self.telemetry.count_group_change("converted")
            self.reservations.add(donor.name, donor.epoch, chosen.model)
            self.dissolution.start(by_key[donor.name, donor.epoch], True)

    def allocate(
        self,
        engine: table.Engine,
        demands: Mapping[str, planner.ModelDemand],
        free: list[planner.FreeWorker],
        groups: list[workers.Group],
        preferred: table.Model | None,
    ) -> None:
        """Forms groups of free workers and stages models on the others.

        Args:
            engine: Parameters of the domain's engine.
            demands: Demand and capacity by model.
            free: The domain's free workers.
            groups: The domain's active groups.
            preferred: The model that the domain is assigned to.
        """
        taken: set[str] = set()
        for planned in self._plan_groups(engine, free, demands, preferred):
            self.capacity.record_loads(planned.loads)
            self.telemetry.instruments.loads.add(planned.loads)
            self.formations.begin(planned)
            taken |= {member.worker.id for member in planned.members}
        left = [c for c in free if c.worker.id not in taken]
        self.staging.stage_spares(engine, demands, left, preferred)
        if not self.demand.has_traffic and not taken:
            # Loads are short and not limited before the first request.
            self.staging.stage_alternatives(engine, groups)

    def preferred_model(
        self,
        engine: table.Engine,
        domain: str,
        domains: Mapping[str, Sequence[workers.Worker]],
    ) -> table.Model | None:
        """Returns the model that a domain is assigned to, if any.

        With one model per domain, each spare and each member of a broken group
        is warm for every repair there. A domain keeps the model that most of
        its workers are warm for. Domains without warm workers are assigned by
        the declared shares.
        """
        warm = collections.Counter(
            model
            for worker in domains[domain]
            for model in sorted(worker.staged.union(worker.models[:1]))
        )
        warm.update(
            self.formations.joining[worker.id]
            for worker in domains[domain]
            if worker.id in self.formations.joining
        )
        if warm:
            return engine.model(warm.most_common(1)[0][0])
        if len(domains) < len(engine.models):
            return None
        sizes = {
            name: (members[0].zone, len(members))
            for name, members in domains.items()
        }
        return affinity.assign_domains(engine, sizes).get(domain)

    def _plan_groups(
        self,
        engine: table.Engine,
        free: list[planner.FreeWorker],
        demands: Mapping[str, planner.ModelDemand],
        preferred: table.Model | None,
    ) -> list[planner.PlannedGroup]:
        """Returns the groups to form now.

        Workers that have to load a model first are staged as spares instead,
        so that a later repair takes the time of a warm start. Only a model
        with high utilization gets groups whose members have to load.
        """
        if not self.demand.has_traffic:
            if preferred is not None:
                demands = {preferred.name: demands[preferred.name]}
            return planner.plan_groups(free, engine, demands, len(free))
        reserved, unreserved = self.reservations.split(free)
        planned = []
        for name, candidates in reserved.items():
            planned += self._plan_reserved(engine, name, candidates, unreserved)
        taken = {member for group in planned for member in group.members}
        planned += planner.plan_groups(
            [c for c in unreserved if c not in taken],
            engine,
            _eligible_demands(engine, demands, preferred),
            0,
        )
        taken = {member for group in planned for member in group.members}
        left = [c for c in unreserved if c not in taken]
        urgent = {
            name: model_demand
            for name, model_demand in demands.items()
            if model_demand.exceeds(planner.HIGH_UTILIZATION)
        }
        if urgent:
            # Workers that are warm for a model that may need them soon are not
            # loaded with another one.
            available = [
                c
                for c in left
                if not any(
                    demands[model].exceeds(KEEP_WARM_UTILIZATION)
                    for model in c.worker.staged
                    if model in demands and model not in urgent
                )
            ]
            planned += planner.plan_groups(
                available, engine, urgent, self.capacity.remaining_loads(engine)
            )
        return planned

    def _plan_reserved(
        self,
        engine: table.Engine,
        name: str,
        reserved: list[planner.FreeWorker],
        unreserved: list[planner.FreeWorker],
    ) -> list[planner.PlannedGroup]:
        """Returns the groups of workers that are reserved for a model."""
        model = engine.model(name)
        if model is None:
            return []
        if len(reserved) < model.group_size:
            reserved = reserved + [
                c for c in unreserved if not planner.needs_load(c, model)
            ]
        # The planned group already counts as capacity, so the real figures
        # would show no demand for it.
        return planner.plan_groups(
            reserved, engine, {name: planner.ModelDemand(1.0, 0.0)}, 0
        )

    def _open_group(self, group: workers.Group) -> conversion.OpenGroup:
        return conversion.OpenGroup(
            group.name,
            group.epoch,
            group.model,
            self.requests.in_flight(group.members[0].id),
            frozenset.intersection(*(w.staged for w in group.members.values())),
        )


def _eligible_demands(
    engine: table.Engine,
    demands: Mapping[str, planner.ModelDemand],
    preferred: table.Model | None,
) -> Mapping[str, planner.ModelDemand]:
    """Returns the demands that a domain's free workers may serve.

    If there are too few workers for a group of the domain's preferred model,
    they wait for one more, unless another model has a higher pressure.
    """
    if preferred is None or preferred.name not in demands:
        return demands
    preferred_pressure = conversion.pressure(
        demands[preferred.name], engine.slots
    )
    return {
        name: model_demand
        for name, model_demand in demands.items()
        if name == preferred.name
        or conversion.pressure(model_demand, engine.slots) > preferred_pressure
    }
