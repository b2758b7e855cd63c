"""Which workers form groups or load models, and which groups are converted."""

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
    load,
    planner,
    reservation,
    staging,
    table,
    workers,
)
from oleanderbay.gateway import capacity as capacity_module
from oleanderbay.gateway import telemetry as telemetry_module

# Pressure from which the warm workers of a model are kept for it.
ENOUGH = 0.4
# How often the owner of a domain considers to convert a group.
SURPLUS_CHANCE = 0.04

log = structlog.get_logger()


class Allocation:
    """Decides for one domain at a time and starts what was decided.

    Attributes:
        reservations: Members of converted groups.
        staging: Loads onto hosts.
    """

    def __init__(
        self,
        capacity: capacity_module.Capacity,
        formations: formation.Formations,
        closing: dissolution.Dissolution,
        loads: load.Load,
        needs: demand.Demand,
        rng: random.Random,
        reservations: reservation.Reservations,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self.staging = staging.Staging(capacity, formations, telemetry)
        self.reservations = reservations
        self.capacity = capacity
        self.formations = formations
        self.dissolution = closing
        self.loads = loads
        self.demand = needs
        self.rng = rng
        self.telemetry = telemetry

    def convert(
        self,
        engine: table.Engine,
        needs: Mapping[str, planner.Need],
        free: list[planner.Free],
        groups: list[workers.Group],
    ) -> None:
        """Considers now and then to convert groups of a domain.

        Owners of other domains see the same pressures, so each looks only now
        and then, and one conversion at a time is begun.

        Args:
            engine: Figures of the domain's engine.
            needs: Demand and capacity by model.
            free: The domain's free workers.
            groups: The domain's groups that stand.
        """
        if (
            not self.demand.begun
            or self.rng.random() >= SURPLUS_CHANCE
            or self.capacity.converting()
        ):
            return
        _, others = self.reservations.split(free)
        chosen = conversion.surplus(
            engine,
            needs,
            [self._open_group(group) for group in groups if group.open],
            {
                model.name: sum(
                    not planner.needs_load(item, model) for item in others
                )
                for model in engine.models
            },
        )
        if chosen is None:
            return
        if not chosen.warm:
            self.staging.members(engine, chosen, groups)
            return
        self.capacity.plan(chosen.model.name)
        by_key = {(group.name, group.epoch): group for group in groups}
        for given in chosen.groups:
            log.info(
                "group converted", group=given.name, model=chosen.model.name
            )
            self.telemetry.count_group_change("converted")
            self.reservations.add(given.name, given.epoch, chosen.model)
            self.dissolution.start(by_key[given.name, given.epoch], True)

    def allocate(
        self,
        engine: table.Engine,
        needs: Mapping[str, planner.Need],
        free: list[planner.Free],
        groups: list[workers.Group],
        preferred: table.Model | None,
    ) -> None:
        """Begins groups of free workers and stages models on the others.

        Args:
            engine: Figures of the domain's engine.
            needs: Demand and capacity by model.
            free: The domain's free workers.
            groups: The domain's groups that stand.
            preferred: The model that the domain is for.
        """
        taken: set[str] = set()
        for formed in self._formed(engine, free, needs, preferred):
            self.capacity.begin_loads(formed.loads)
            self.telemetry.instruments.loads.add(formed.loads)
            self.formations.begin(formed)
            taken |= {member.worker.id for member in formed.members}
        left = [item for item in free if item.worker.id not in taken]
        self.staging.spares(engine, needs, left, preferred)
        if not self.demand.begun and not taken:
            # Loads are short and not limited before the first request.
            self.staging.alternatives(engine, groups)

    def preferred(
        self,
        engine: table.Engine,
        domain: str,
        domains: Mapping[str, Sequence[workers.Worker]],
    ) -> table.Model | None:
        """Returns the model that a domain is for.

        Within such a domain each spare and each member of a broken group is
        warm for every repair. A domain that has workers for a model stays
        with it; before that, domains are dealt out by the declared shares.
        """
        warm = collections.Counter(
            model
            for worker in domains[domain]
            for model in worker.staged.union(worker.models[:1])
        )
        warm.update(
            self.formations.busy[worker.id]
            for worker in domains[domain]
            if worker.id in self.formations.busy
        )
        if warm:
            return engine.model(warm.most_common(1)[0][0])
        if len(domains) < len(engine.models):
            return None
        sizes = {
            name: (members[0].zone, len(members))
            for name, members in domains.items()
        }
        return affinity.assign(engine, sizes).get(domain)

    def _formed(
        self,
        engine: table.Engine,
        free: list[planner.Free],
        needs: Mapping[str, planner.Need],
        preferred: table.Model | None,
    ) -> list[planner.Formation]:
        """Returns the groups to form now.

        Workers that have to load a model first are staged as spares, so that
        a later repair takes the time of a warm start. Only a model under
        pressure gets groups that have to load.
        """
        if not self.demand.begun:
            if preferred is not None:
                needs = {preferred.name: needs[preferred.name]}
            return planner.form(free, engine, needs, len(free))
        reserved, others = self.reservations.split(free)
        formed = []
        for name, items in reserved.items():
            formed += self._converted(engine, name, items, others)
        taken = {member for f in formed for member in f.members}
        formed += planner.form(
            [item for item in others if item not in taken],
            engine,
            _open_to(engine, needs, preferred),
            0,
        )
        taken = {member for f in formed for member in f.members}
        left = [item for item in others if item not in taken]
        pressing = {
            name: need
            for name, need in needs.items()
            if need.above(planner.PRESSING)
        }
        if pressing:
            # What is warm for a model that needs it is not loaded anew.
            idle = [
                item
                for item in left
                if not any(
                    needs[model].above(ENOUGH)
                    for model in item.worker.staged
                    if model in needs and model not in pressing
                )
            ]
            formed += planner.form(
                idle, engine, pressing, self.capacity.loads_left(engine)
            )
        return formed

    def _converted(
        self,
        engine: table.Engine,
        name: str,
        items: list[planner.Free],
        others: list[planner.Free],
    ) -> list[planner.Formation]:
        """Returns the groups of workers that are reserved for a model."""
        model = engine.model(name)
        if model is None:
            return []
        if len(items) < model.size:
            items = items + [
                item for item in others if not planner.needs_load(item, model)
            ]
        # The planned group counts as capacity already.
        return planner.form(items, engine, {name: planner.Need(1.0, 0.0)}, 0)

    def _open_group(self, group: workers.Group) -> conversion.OpenGroup:
        return conversion.OpenGroup(
            group.name,
            group.epoch,
            group.model,
            self.loads.at(group.members[0].id),
            frozenset.intersection(*(w.staged for w in group.members.values())),
        )


def _open_to(
    engine: table.Engine,
    needs: Mapping[str, planner.Need],
    preferred: table.Model | None,
) -> Mapping[str, planner.Need]:
    """Returns the needs that a domain's free workers may serve.

    Workers that are too few for a group of the domain's own model wait for
    one more, unless the other model lacks more.
    """
    if preferred is None or preferred.name not in needs:
        return needs
    own = conversion.pressure(needs[preferred.name], engine.slots)
    return {
        name: need
        for name, need in needs.items()
        if name == preferred.name
        or conversion.pressure(need, engine.slots) > own
    }
