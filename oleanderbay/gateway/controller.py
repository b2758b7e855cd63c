"""Maintains the serving groups of the domains that this gateway owns."""

import random
from collections.abc import Callable, Mapping, Sequence

import structlog

from oleanderbay.gateway import (
    allocation,
    demand,
    dissolution,
    domain_ownership,
    fenced_orders,
    formation,
    health,
    interfaces,
    planner,
    probing,
    request_load,
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

RECONCILE_INTERVAL_MS = 100
# After a gap, records count as current after one heartbeat of the workers plus
# this margin.
RECORDS_MARGIN_MS = 300

Key = tuple[str, int]

log = structlog.get_logger()


class GroupController:
    """Reconciles the groups of the owned domains with demand and health.

    Attributes:
        capacity: Capacity and loads, over all gateways.
        formations: Groups that are being formed.
        dissolution: Groups that are being closed.
        active_groups: Counts the groups that serve or will serve.
        allocator: Decides what a domain's workers are used for.
    """

    def __init__(
        self,
        gateway_state: state.State,
        uninterrupted_ms: Callable[[], int],
        worker_health: health.HealthTracker,
        ownership: domain_ownership.DomainOwnership,
        orders: interfaces.Orders,
        requests: request_load.RequestLoad,
        measured_demand: demand.Demand,
        config: settings_module.Settings,
        clock: clocks.Clock,
        rng: random.Random,
        name_prefix: str,
        telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED,
    ) -> None:
        self.gateway_state = gateway_state
        self.uninterrupted_ms = uninterrupted_ms
        self.worker_health = worker_health
        self.ownership = ownership
        self.demand = measured_demand
        self.config = config
        self.clock = clock
        self.tasks = tasks_module.KeyedTasks(fenced_orders.OrderError)
        self.capacity = capacity_module.Capacity(clock, config, measured_demand)
        self.prober = probing.Prober(
            gateway_state, worker_health, orders, clock, self.tasks
        )
        sender = fenced_orders.OrderSender(ownership, self.prober, clock)
        self.dissolution = dissolution.Dissolution(
            orders,
            sender,
            self.prober,
            requests,
            config,
            clock,
            self.tasks,
            telemetry,
        )
        self.formations = formation.Formations(
            gateway_state,
            orders,
            sender,
            self.prober,
            self.dissolution,
            measured_demand,
            config,
            clock,
            self.tasks,
            telemetry,
            name_prefix,
        )
        self.active_groups = capacity_module.ActiveGroupCounter(
            gateway_state, worker_health, self.dissolution
        )
        self.allocator = allocation.Allocator(
            self.capacity,
            self.formations,
            self.dissolution,
            requests,
            measured_demand,
            rng,
            # A group that stalls is closed within this time.
            reservation.Reservations(clock, 2 * config.workers.stall_ms),
            telemetry,
        )
        self._first_seen_ms: dict[str, int] = {}

    async def run(self) -> None:
        """Reconciles the owned domains periodically until cancelled."""
        try:
            while True:
                self.reconcile()
                await self.clock.sleep_ms(RECONCILE_INTERVAL_MS)
        finally:
            self.tasks.close()

    def reconcile(self) -> None:
        """Checks all owned domains once and starts what their groups need."""
        current = self.gateway_state.table
        groups = self.gateway_state.groups()
        # Domains may change their owner while the records are not current.
        self.dissolution.forget_unowned(groups)
        self.demand.sample()
        # After a gap the records may be older than orders sent since then.
        # Each worker writes its record once per heartbeat.
        if current is None or self.uninterrupted_ms() < (
            self.config.workers.heartbeat_ms + RECORDS_MARGIN_MS
        ):
            return
        self._forget_lost()
        self._reprobe_lost()
        self._forget_gone()
        groups = self.gateway_state.groups()
        self.dissolution.update_heads(groups)
        for service in current.services.values():
            if service.engine is not None and service.engine.models:
                self._reconcile_service(service, service.engine, groups)

    def _forget_gone(self) -> None:
        """Forgets workers without a record."""
        self.formations.forget_gone_workers()
        for worker_id in tuple(self._first_seen_ms):
            if worker_id not in self.gateway_state.workers:
                del self._first_seen_ms[worker_id]

    def _forget_lost(self) -> None:
        """Forgets missing members that only peers have found lost."""
        for worker in tuple(self.gateway_state.missing_members.values()):
            # The owner of the domain forgets the worker later, when its peers
            # have learned of the loss.
            if worker.id not in self.worker_health.lost and (
                self.prober.is_lost(worker)
            ):
                self.gateway_state.forget_missing_member(worker.id)

    def _reprobe_lost(self) -> None:
        """Probes the workers again that this gateway has found lost.

        It may own their domains no longer, but its verdict stands until it
        takes it back.
        """
        for worker_id, started_ms in self.worker_health.lost.items():
            worker = self.gateway_state.workers.get(worker_id)
            if worker is not None and worker.started_ms == started_ms:
                self.tasks.start(
                    ("again", worker_id), self.prober.reprobe(worker)
                )

    def _reconcile_service(
        self,
        service: table.Service,
        engine: table.Engine,
        groups: Mapping[Key, workers.Group],
    ) -> None:
        for worker in self.gateway_state.missing_members.values():
            if worker.service == service.name and self.ownership.owns(
                f"{service.name}/{worker.domain}"
            ):
                self.tasks.start(
                    ("absent", worker.id),
                    self.prober.check_missing_member(service, worker),
                )
        domains = self.gateway_state.workers_by_domain(service.name)
        owned = [
            domain
            for domain in domains
            if self.ownership.owns(f"{service.name}/{domain}")
        ]
        if not owned:
            return
        # One count serves all domains: the tasks started here run after this
        # pass, so no domain changes which groups are active.
        active = self.active_groups.count(service)
        for domain in owned:
            self._reconcile_domain(
                service, engine, domain, domains, groups, active
            )

    def _reconcile_domain(
        self,
        service: table.Service,
        engine: table.Engine,
        domain: str,
        domains: Mapping[str, tuple[workers.Worker, ...]],
        groups: Mapping[Key, workers.Group],
        active: capacity_module.ActiveGroups,
    ) -> None:
        members = domains[domain]
        # Without duplicates, and in the same order in each run.
        local = tuple(
            dict.fromkeys(
                (w.membership.group, w.membership.epoch)
                for w in members
                if w.membership is not None
            )
        )
        for key in local:
            self._reconcile_group(engine, groups[key])
        free = [
            planner.FreeWorker(
                worker, worker.models[0] if worker.models else ""
            )
            for worker in members
            if self._is_free(worker, groups)
        ]
        if self._registering(members):
            return
        demands = self.capacity.demand_by_model(
            service, active, self.formations.unrecorded_models(groups), local
        )
        local_active = [groups[key] for key in local if key in active.models]
        self.allocator.convert(engine, demands, free, local_active)
        if not free and self.demand.has_traffic:
            return
        log.debug(
            "domain planned",
            domain=domain,
            free=len(free),
            needs={
                name: (round(item.demand, 1), item.capacity)
                for name, item in demands.items()
            },
        )
        preferred = self.allocator.preferred_model(engine, domain, domains)
        self.allocator.allocate(engine, demands, free, local_active, preferred)

    def _reconcile_group(
        self, engine: table.Engine, group: workers.Group
    ) -> None:
        """Probes, closes or adopts an existing group if it needs that."""
        key = (group.name, group.epoch)
        model = engine.model(group.model)
        head = group.head
        if key in self.formations.forming or key in self.dissolution.closed:
            return
        if head is None or model is None:
            return
        assert head.membership is not None
        members = group.members.values()
        if any(self.worker_health.is_suspected(w.id) for w in members):
            self.tasks.start(("probe", key), self.prober.probe(group))
        lost = not group.complete(model.group_size) or any(
            self.prober.is_lost(w) for w in members
        )
        draining = any(w.draining for w in members)
        if head.membership.state in dissolution.SERVING_STATES:
            if (lost or draining) and not self.prober.is_lost(head):
                self.dissolution.start(group, not lost)
        elif (
            head.membership.state is not workers.MemberState.BROKEN
            and not lost
            and not draining
            and not self.dissolution.is_closing(key)
            and not any(w.id in self.formations.joining for w in members)
        ):
            self.dissolution.idle.discard(key)
            self.formations.adopt(group, model)

    def _registering(self, members: Sequence[workers.Worker]) -> bool:
        """Whether a domain's workers are still registering at the start.

        Groups formed of the first ones would leave no choice of models for
        the others.
        """
        if self.demand.has_traffic:
            self._first_seen_ms.clear()
            return False
        now_ms = self.clock.now_ms()
        for worker in members:
            self._first_seen_ms.setdefault(worker.id, now_ms)
        newest_ms = max(self._first_seen_ms[w.id] for w in members)
        return now_ms - newest_ms < self.config.workers.heartbeat_ms

    def _is_free(
        self, worker: workers.Worker, groups: Mapping[Key, workers.Group]
    ) -> bool:
        """Whether a worker may safely join a new group."""
        if (
            worker.draining
            or worker.id in self.formations.joining
            or worker.zone in self.gateway_state.evacuated_zones
            or self.prober.is_lost(worker)
            or self.worker_health.is_suspected(worker.id)
        ):
            return False
        if worker.membership is None:
            return True
        key = (worker.membership.group, worker.membership.epoch)
        if key in self.formations.forming or self.formations.is_adopting(key):
            return False
        return self.dissolution.members_released(groups[key])
