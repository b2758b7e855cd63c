"""Keeps the groups of the domains that this gateway owns."""

import collections
import random
from collections.abc import Callable, Mapping

import structlog

from oleanderbay.gateway import (
    affinity,
    conversion,
    demand,
    dissolution,
    duties,
    formation,
    health,
    inspection,
    interfaces,
    load,
    ordering,
    planner,
    state,
    table,
    workers,
)
from oleanderbay.gateway import capacity as capacity_module
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import tasks as tasks_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

STEP_MS = 100
# Added to a heartbeat before records count as current after a gap.
SETTLE_MS = 300
# Pressure from which the warm workers of a model are kept for it.
ENOUGH = 0.4
# How often the owner of a domain considers to convert a group.
SURPLUS_CHANCE = 0.04

Key = tuple[str, int]

log = structlog.get_logger()


class Keeper:
    """Reviews the owned domains and starts what their groups need.

    Attributes:
        capacity: Capacity and loads, over all gateways.
        formations: Groups that are being formed.
        dissolution: Groups that are being closed.
    """

    def __init__(
        self,
        known: state.State,
        steady_ms: Callable[[], int],
        evidence: health.Health,
        owner: duties.Duties,
        orders: interfaces.Orders,
        loads: load.Load,
        needs: demand.Demand,
        config: settings_module.Settings,
        clock: clocks.Clock,
        rng: random.Random,
        name: str,
        telemetry: telemetry_module.Telemetry = telemetry_module.OFF,
    ) -> None:
        self.telemetry = telemetry
        self.known = known
        self.steady_ms = steady_ms
        self.evidence = evidence
        self.owner = owner
        self.loads = loads
        self.demand = needs
        self.config = config
        self.clock = clock
        self.rng = rng
        self.tasks = tasks_module.Tasks(ordering.OrderError)
        self.capacity = capacity_module.Capacity(clock, config, needs)
        self.inspection = inspection.Inspection(
            known, evidence, orders, clock, self.tasks
        )
        giver = ordering.Ordering(owner, self.inspection, clock)
        self.dissolution = dissolution.Dissolution(
            orders,
            giver,
            self.inspection,
            loads,
            config,
            clock,
            self.tasks,
            telemetry,
        )
        self.formations = formation.Formations(
            known,
            orders,
            giver,
            self.inspection,
            self.dissolution,
            needs,
            config,
            clock,
            self.tasks,
            telemetry,
            name,
        )
        self._first_seen_ms: dict[str, int] = {}

    async def run(self) -> None:
        """Looks after the owned domains until cancelled."""
        try:
            while True:
                self.step()
                await self.clock.sleep_ms(STEP_MS)
        finally:
            self.tasks.close()

    def step(self) -> None:
        """Reviews all owned domains once."""
        current = self.known.table
        self.demand.sample()
        # After a gap the records may be older than the orders given since;
        # each worker writes once in a heartbeat.
        if current is None or self.steady_ms() < (
            self.config.workers.heartbeat_ms + SETTLE_MS
        ):
            return
        self._forget_lost()
        groups = self.known.groups()
        self.dissolution.update_heads(groups)
        for service in current.services.values():
            if service.engine is not None and service.engine.models:
                self._service(service, service.engine, groups)

    def _forget_lost(self) -> None:
        for worker in tuple(self.known.absent.values()):
            # The owner of the domain forgets it after its peers have heard.
            if worker.id not in self.evidence.lost and (
                self.inspection.is_lost(worker)
            ):
                self.known.forget(worker.id)

    def _service(
        self,
        service: table.Service,
        engine: table.Engine,
        groups: Mapping[Key, workers.Group],
    ) -> None:
        domains: dict[str, list[workers.Worker]] = {}
        for worker in self.known.of_service(service.name):
            domains.setdefault(worker.domain, []).append(worker)
        for worker in self.known.absent.values():
            if worker.service == service.name and self.owner.owns(
                f"{service.name}/{worker.domain}"
            ):
                self.tasks.start(
                    ("absent", worker.id),
                    self.inspection.check_absent(service, worker),
                )
        for domain, members in domains.items():
            if self.owner.owns(f"{service.name}/{domain}"):
                self._domain(
                    service,
                    engine,
                    members,
                    groups,
                    self._preferred(engine, domain, domains),
                )

    def _domain(
        self,
        service: table.Service,
        engine: table.Engine,
        members: list[workers.Worker],
        groups: Mapping[Key, workers.Group],
        preferred: table.Model | None,
    ) -> None:
        own = {
            (w.membership.group, w.membership.epoch)
            for w in members
            if w.membership is not None
        }
        for key in own:
            self._review(engine, groups[key])
        for worker in members:
            if self.evidence.lost.get(worker.id, -1) == worker.born_ms:
                self.tasks.start(
                    ("again", worker.id), self.inspection.reprobe(worker)
                )
        free = [
            planner.Free(worker, worker.models[0] if worker.models else "")
            for worker in members
            if self._free(worker, groups)
        ]
        if self._gathering(members):
            return
        standing = self._standing(engine, groups)
        needs = self.capacity.needs(
            service,
            standing.values(),
            self._unrecorded(groups),
            [group for key, group in standing.items() if key in own],
        )
        if self.demand.begun and self.rng.random() < SURPLUS_CHANCE:
            self._convert(engine, needs, len(free), [groups[k] for k in own])
        if not free:
            return
        log.debug(
            "domain planned",
            domain=members[0].domain,
            free=len(free),
            needs={
                name: (round(need.demand, 1), need.capacity)
                for name, need in needs.items()
            },
        )
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

    def _review(self, engine: table.Engine, group: workers.Group) -> None:
        """Starts what an existing group needs."""
        key = (group.name, group.epoch)
        model = engine.model(group.model)
        head = group.head
        if key in self.formations.forming or key in self.dissolution.closed:
            return
        if head is None or model is None:
            return
        assert head.membership is not None
        members = group.members.values()
        if any(self.evidence.suspected(w.id) for w in members):
            self.tasks.start(("probe", key), self.inspection.probe(group))
        lost = not group.complete(model.size) or any(
            self.inspection.is_lost(w) for w in members
        )
        leaving = any(w.draining for w in members)
        if head.membership.state in dissolution.SERVING:
            if (lost or leaving) and not self.inspection.is_lost(head):
                self.dissolution.start(group, not lost)
        elif (
            head.membership.state is not workers.MemberState.BROKEN
            and not lost
            and not leaving
            and not self.dissolution.closing(key)
            and not any(w.id in self.formations.busy for w in members)
        ):
            self.formations.adopt(group, model)

    def _preferred(
        self,
        engine: table.Engine,
        domain: str,
        domains: Mapping[str, list[workers.Worker]],
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

    def _gathering(self, members: list[workers.Worker]) -> bool:
        """Whether a domain's workers are still coming in at the start.

        Groups that are formed of the first ones leave no choice of models
        for the others.
        """
        if self.demand.begun:
            return False
        now_ms = self.clock.now_ms()
        for worker in members:
            self._first_seen_ms.setdefault(worker.id, now_ms)
        newest_ms = max(self._first_seen_ms[w.id] for w in members)
        return now_ms - newest_ms < self.config.workers.heartbeat_ms

    def _free(
        self, worker: workers.Worker, groups: Mapping[Key, workers.Group]
    ) -> bool:
        """Whether a worker may join a new group without any harm."""
        if (
            worker.draining
            or worker.id in self.formations.busy
            or worker.zone in self.known.evacuated
            or self.inspection.is_lost(worker)
            or self.evidence.suspected(worker.id)
        ):
            return False
        if worker.membership is None:
            return True
        key = (worker.membership.group, worker.membership.epoch)
        if key in self.formations.forming or self.formations.adopting(key):
            return False
        return self.dissolution.ended(groups[key])

    def _standing(
        self, engine: table.Engine, groups: Mapping[Key, workers.Group]
    ) -> dict[Key, workers.Group]:
        """Returns the groups that serve or will serve."""
        found = {}
        for key, group in groups.items():
            model = engine.model(group.model)
            if (
                model is not None
                and key not in self.dissolution.closed
                and group.complete(model.size)
                and not any(
                    worker.draining or self.inspection.is_lost(worker)
                    for worker in group.members.values()
                )
            ):
                found[key] = group
        return found

    def _unrecorded(self, groups: Mapping[Key, workers.Group]) -> list[str]:
        """Returns the models of groups that no record shows yet."""
        return [
            model.name
            for key, model in self.formations.forming.items()
            if key not in groups
        ]

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
