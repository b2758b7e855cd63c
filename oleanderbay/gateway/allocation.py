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
    """Decides for one domain at a time and starts what was decided."""

    def __init__(
        self,
        capacity: capacity_module.Capacity,
        formations: formation.Formations,
        closing: dissolution.Dissolution,
        loads: load.Load,
        needs: demand.Demand,
        rng: random.Random,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
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
        free: int,
        groups: list[workers.Group],
    ) -> None:
        """Considers now and then to convert a group of a domain.

        Args:
            engine: Figures of the domain's engine.
            needs: Demand and capacity by model.
            free: Number of the domain's free workers.
            groups: The domain's groups.
        """
        if self.demand.begun and self.rng.random() < SURPLUS_CHANCE:
            self._convert(engine, needs, free, groups)

    def allocate(
        self,
        engine: table.Engine,
        needs: Mapping[str, planner.Need],
        free: list[planner.Free],
        preferred: table.Model | None,
    ) -> None:
        """Begins groups of free workers and stages models on the others.

        Args:
            engine: Figures of the domain's engine.
            needs: Demand and capacity by model.
            free: The domain's free workers.
            preferred: The model that the domain is for.
        """
        taken: set[str] = set()
        for formed in self._formed(engine, free, needs, preferred):
            self.capacity.begin_loads(formed.loads)
            self.telemetry.instruments.loads.add(formed.loads)
            self.formations.begin(formed)
            taken |= {member.worker.id for member in formed.members}
        self._stage(
            engine,
            needs,
            [item for item in free if item.worker.id not in taken],
            preferred,
        )

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
        formed = planner.form(free, engine, needs, 0)
        taken = {member for f in formed for member in f.members}
        left = [item for item in free if item not in taken]
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

    def _convert(
        self,
        engine: table.Engine,
        needs: Mapping[str, planner.Need],
        free: int,
        groups: list[workers.Group],
    ) -> None:
        """Closes a group whose workers a model under pressure needs more.

        Owners of other domains see the same pressures, so each looks only
        now and then; the next one counts what was begun.
        """
        pressing = max(
            engine.models,
            key=lambda m: needs[m.name].demand / (needs[m.name].capacity + 1),
        )
        if self.capacity.loads_left(engine) < pressing.size:
            return
        able = {}
        for group in groups:
            key = (group.name, group.epoch)
            if self.dissolution.closing(key):
                return
            if group.open:
                able[key] = conversion.OpenGroup(
                    group.name,
                    group.epoch,
                    group.model,
                    self.loads.at(group.members[0].id),
                )
        chosen = conversion.surplus(engine, needs, able.values(), free)
        if not chosen:
            return
        self.capacity.plan(pressing.name)
        for given in chosen:
            log.info("group converted", group=given.name, model=pressing.name)
            self.telemetry.group_changed("converted")
            key = (given.name, given.epoch)
            self.dissolution.start(
                next(g for g in groups if (g.name, g.epoch) == key), True
            )

    def _stage(
        self,
        engine: table.Engine,
        needs: Mapping[str, planner.Need],
        spare: list[planner.Free],
        preferred: table.Model | None,
    ) -> None:
        """Loads models onto hosts of spare workers that have none."""
        model = affinity.spare_model(engine, needs, preferred)
        for item in spare:
            worker = item.worker
            if worker.staged or worker.models:
                continue
            if self.formations.staged(worker):
                continue
            if self.capacity.loads_left(engine) < 1:
                return
            self.capacity.begin_loads(1)
            self.telemetry.instruments.loads.add(1)
            self.formations.stage(worker, model)
