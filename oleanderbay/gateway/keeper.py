"""Keeps the groups of the domains that this gateway owns."""

import random
from collections.abc import Callable, Mapping, Sequence

import structlog

from oleanderbay.gateway import (
    allocation,
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
    reservation,
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

Key = tuple[str, int]

log = structlog.get_logger()


class Keeper:
    """Reviews the owned domains and starts what their groups need.

    Attributes:
        capacity: Capacity and loads, over all gateways.
        formations: Groups that are being formed.
        dissolution: Groups that are being closed.
        standing: Counts the groups that serve or will serve.
        allocation: Decides what a domain's workers are used for.
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
        telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED,
    ) -> None:
        self.known = known
        self.steady_ms = steady_ms
        self.evidence = evidence
        self.owner = owner
        self.demand = needs
        self.config = config
        self.clock = clock
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
        self.standing = capacity_module.Standings(
            known, evidence, self.dissolution
        )
        self.allocation = allocation.Allocation(
            self.capacity,
            self.formations,
            self.dissolution,
            loads,
            needs,
            rng,
            # A group that stalls is closed after this time at the latest.
            reservation.Reservations(clock, 2 * config.workers.stall_ms),
            telemetry,
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
        for worker in self.known.absent.values():
            if worker.service == service.name and self.owner.owns(
                f"{service.name}/{worker.domain}"
            ):
                self.tasks.start(
                    ("absent", worker.id),
                    self.inspection.check_absent(service, worker),
                )
        domains = self.known.domains(service.name)
        owned = [
            domain
            for domain in domains
            if self.owner.owns(f"{service.name}/{domain}")
        ]
        if not owned:
            return
        # Nothing that a step does changes which groups stand: what it starts
        # runs after it.
        standing = self.standing.count(service)
        for domain in owned:
            self._domain(service, engine, domain, domains, groups, standing)

    def _domain(
        self,
        service: table.Service,
        engine: table.Engine,
        domain: str,
        domains: Mapping[str, tuple[workers.Worker, ...]],
        groups: Mapping[Key, workers.Group],
        standing: capacity_module.Standing,
    ) -> None:
        members = domains[domain]
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
        needs = self.capacity.needs(
            service, standing, self.formations.unrecorded(groups), own
        )
        settled = [groups[key] for key in own if key in standing.models]
        self.allocation.convert(engine, needs, free, settled)
        if not free and self.demand.begun:
            return
        log.debug(
            "domain planned",
            domain=domain,
            free=len(free),
            needs={
                name: (round(need.demand, 1), need.capacity)
                for name, need in needs.items()
            },
        )
        preferred = self.allocation.preferred(engine, domain, domains)
        self.allocation.allocate(engine, needs, free, settled, preferred)

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

    def _gathering(self, members: Sequence[workers.Worker]) -> bool:
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
