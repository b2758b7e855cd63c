"""Forms, repairs and dissolves the groups of the domains owned here."""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any

import structlog

from oleanderbay.gateway import (
    affinity,
    conversion,
    demand,
    duties,
    health,
    interfaces,
    load,
    planner,
    state,
    table,
    workers,
)
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

STEP_MS = 100
# Added to a heartbeat before records count as current after a gap.
SETTLE_MS = 300
# Time between two looks at a member that should be ready or closed.
LOOK_MS = 200
REPORT_TIMEOUT_MS = 400
ORDER_TRIES = 4
ORDER_RETRY_MS = 150
# Added to the predicted time of a formation before it is given up, and the
# factor on it for loads that share the weight store.
FORMATION_SLACK_MS = 3_000
FORMATION_FACTOR = 3
# How long a member without a record that is lost stays in its group's list.
ABSENT_MS = 2_000
# Looks at a head that vanished before its group counts as orphaned.
ORPHAN_LOOKS = 2
# How long a group with a member that leaves may finish its requests.
DRAIN_WAIT_MS = 1_500
# Loads are left to spare below the limit of the weight store, since each
# owner hears of the others' loads a heartbeat late.
LOAD_SHARE = 0.7
# Loads before the first request take this part of their time.
EARLY_LOAD_SHARE = 0.1
EPOCH_BITS = 16
# Pressure from which the warm workers of a model are kept for it.
ENOUGH = 0.4
# How often the owner of a domain considers to convert a group.
SURPLUS_CHANCE = 0.04

SERVING = (workers.MemberState.OPEN, workers.MemberState.CLOSING)
ACCEPTED = (interfaces.OrderResult.DONE, interfaces.OrderResult.BEGUN)

Key = tuple[str, int]

log = structlog.get_logger()


class FormationError(Exception):
    """A group could not be formed."""


class Keeper:
    """Carries the plan out.

    Attributes:
        forming: Groups that are being formed, with their models.
        closed: Groups whose heads were seen to serve no more.
        orphaned: Groups whose heads can't be reached by this gateway.
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
        self.orders = orders
        self.loads = loads
        self.needs = needs
        self.config = config
        self.clock = clock
        self.rng = rng
        self.name = name
        self.forming: dict[Key, table.Model] = {}
        self.closed: set[Key] = set()
        self.orphaned: set[Key] = set()
        self.begun_loads: collections.deque[int] = collections.deque()
        self.told_loads: dict[str, int] = {}
        self.told_planned: dict[str, Mapping[str, int]] = {}
        self._planned: list[tuple[int, str]] = []
        # Workers that are being made members, with the model.
        self._busy: dict[str, str] = {}
        self._heads: dict[Key, workers.Worker] = {}
        self._staging: set[tuple[str, int]] = set()
        self._tasks: dict[object, asyncio.Task[None]] = {}
        self._first_seen_ms: dict[str, int] = {}
        self._counter = 0

    async def run(self) -> None:
        """Looks after the owned domains until cancelled."""
        try:
            while True:
                self.step()
                await self.clock.sleep_ms(STEP_MS)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def step(self) -> None:
        """Reviews all owned domains once."""
        current = self.known.table
        self.needs.sample()
        # After a gap the records may be older than the orders given since;
        # each worker writes once in a heartbeat.
        if current is None or self.steady_ms() < (
            self.config.workers.heartbeat_ms + SETTLE_MS
        ):
            return
        for worker in tuple(self.known.absent.values()):
            # The owner of the domain forgets it after its peers have heard.
            if worker.id not in self.evidence.lost and self._is_lost(worker):
                self.known.forget(worker.id)
        groups = self.known.groups()
        self._remember_heads(groups)
        for service in current.services.values():
            if service.engine is None or not service.engine.models:
                continue
            domains: dict[str, list[workers.Worker]] = {}
            for worker in self.known.of_service(service.name):
                domains.setdefault(worker.domain, []).append(worker)
            for worker in tuple(self.known.absent.values()):
                if worker.service == service.name and self.owner.owns(
                    f"{service.name}/{worker.domain}"
                ):
                    self._spawn(
                        ("absent", worker.id), self._look_for(service, worker)
                    )
            for domain, members in domains.items():
                if self.owner.owns(f"{service.name}/{domain}"):
                    self._domain(
                        service,
                        members,
                        groups,
                        self._preferred(service.engine, domain, domains),
                    )

    def loads_begun(self) -> int:
        """Returns the own loads within the window of the limit."""
        before_ms = self.clock.now_ms() - self.config.limits.load_window_ms
        while self.begun_loads and self.begun_loads[0] <= before_ms:
            self.begun_loads.popleft()
        return len(self.begun_loads)

    def keep(self, peer_ids: frozenset[str]) -> None:
        """Forgets what all other peers said."""
        for told in (self.told_loads, self.told_planned):
            for peer_id in tuple(told):
                if peer_id not in peer_ids:
                    del told[peer_id]

    def planned(self) -> dict[str, int]:
        """Returns groups by model that conversions will soon allow."""
        now_ms = self.clock.now_ms()
        self._planned = [item for item in self._planned if item[0] > now_ms]
        return dict(collections.Counter(model for _, model in self._planned))

    def _domain(
        self,
        service: table.Service,
        members: list[workers.Worker],
        groups: Mapping[Key, workers.Group],
        preferred: table.Model | None,
    ) -> None:
        engine = service.engine
        assert engine is not None
        own = {
            (w.membership.group, w.membership.epoch)
            for w in members
            if w.membership is not None
        }
        for key in own:
            self._review(engine, groups[key])
        for worker in members:
            if self.evidence.lost.get(worker.id, -1) == worker.born_ms:
                self._spawn(("again", worker.id), self._look_again(worker))
        free = [
            planner.Free(worker, worker.models[0] if worker.models else "")
            for worker in members
            if self._free(worker, groups)
        ]
        if self._gathering(members):
            return
        needs = self._needs(service, groups, own)
        if self.needs.begun and self.rng.random() < SURPLUS_CHANCE:
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
        for formation in self._formations(engine, free, needs, preferred):
            self._begin(service, formation)
            taken |= {member.worker.id for member in formation.members}
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
        if key in self.forming or key in self.closed:
            return
        if head is None or model is None:
            return
        assert head.membership is not None
        members = group.members.values()
        if any(self.evidence.suspected(w.id) for w in members):
            self._spawn(("probe", key), self._probe(group))
        lost = not group.complete(model.size) or any(
            self._is_lost(w) for w in members
        )
        leaving = any(w.draining for w in members)
        if head.membership.state in SERVING:
            if (lost or leaving) and not self._is_lost(head):
                self._spawn(("close", key), self._close(group, not lost))
        elif (
            head.membership.state is not workers.MemberState.BROKEN
            and not lost
            and not leaving
            and ("close", key) not in self._tasks
            and not any(w.id in self._busy for w in members)
        ):
            self._adopt(group, model)

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
            self._busy[worker.id]
            for worker in domains[domain]
            if worker.id in self._busy
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

    def _formations(
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
        if not self.needs.begun:
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
                idle, engine, pressing, self._loads_left(engine)
            )
        return formed

    def _gathering(self, members: list[workers.Worker]) -> bool:
        """Whether a domain's workers are still coming in at the start.

        Groups that are formed of the first ones leave no choice of models
        for the others.
        """
        if self.needs.begun:
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
            or worker.id in self._busy
            or worker.zone in self.known.evacuated
            or self._is_lost(worker)
            or self.evidence.suspected(worker.id)
        ):
            return False
        if worker.membership is None:
            return True
        key = (worker.membership.group, worker.membership.epoch)
        if key in self.forming or ("adopt", key) in self._tasks:
            return False
        if key in self.closed:
            return True
        head = groups[key].head
        if head is not None:
            assert head.membership is not None
            if head.membership.state in SERVING:
                return self._is_lost(head) and self._headless(key)
            return ("close", key) not in self._tasks
        former = self._heads.get(key)
        present = former and self.known.workers.get(former.id)
        if present is not None and not self._is_lost(present):
            # The head is alive and in no group or in another one.
            return True
        return self._headless(key)

    def _headless(self, key: Key) -> bool:
        """Whether the members of a group without its head may be reused."""
        if key not in self.orphaned:
            self._spawn(("orphan", key), self._orphan(key))
        return key in self.orphaned

    async def _orphan(self, key: Key) -> None:
        """Ends a group whose head vanished or was found lost.

        A head that only the store can't reach still serves and is closed.
        One that can't be reached at all stays head until its members leave.
        """
        head = self._heads.get(key)
        for _ in range(ORPHAN_LOOKS if head is not None else 0):
            assert head is not None
            report = await self.orders.report(head, REPORT_TIMEOUT_MS)
            if isinstance(report, interfaces.Report):
                if _serves(report, key):
                    await self._close_head(head, key, True)
                else:
                    self.closed.add(key)
                return
            if report is interfaces.OrderResult.REFUSED:
                break
        self.orphaned.add(key)
        log.info("group orphaned", group=key[0])

    def _remember_heads(self, groups: Mapping[Key, workers.Group]) -> None:
        for key, group in groups.items():
            if group.head is not None:
                self._heads[key] = group.head
                if not self._is_lost(group.head):
                    self.orphaned.discard(key)
        for key in tuple(self._heads):
            if key not in groups:
                del self._heads[key]
        self.closed &= set(groups)
        self.orphaned &= set(groups)

    def _is_lost(self, worker: workers.Worker) -> bool:
        return self.evidence.is_lost(worker.id, worker.born_ms)

    def _needs(
        self,
        service: table.Service,
        groups: Mapping[Key, workers.Group],
        own: set[Key],
    ) -> dict[str, planner.Need]:
        engine = service.engine
        assert engine is not None
        capacity: dict[str, float] = {}
        local: dict[str, float] = {}
        for key, model in self.forming.items():
            if key not in groups:
                capacity[model.name] = (
                    capacity.get(model.name, 0.0) + engine.slots
                )
        for planned in (self.planned(), *self.told_planned.values()):
            for name, count in planned.items():
                capacity[name] = capacity.get(name, 0.0) + count * engine.slots
        for key, group in groups.items():
            found = engine.model(group.model)
            if found is None or key in self.closed:
                continue
            if not group.complete(found.size) or any(
                w.draining or self._is_lost(w) for w in group.members.values()
            ):
                continue
            capacity[found.name] = capacity.get(found.name, 0.0) + engine.slots
            if key in own:
                local[found.name] = local.get(found.name, 0.0) + engine.slots
        return self.needs.needs(service, capacity, local)

    def _loads_left(self, engine: table.Engine) -> int:
        if not self.needs.begun:
            return 1 << 20
        window_s = self.config.limits.load_window_ms / 1000
        allowed = int(LOAD_SHARE * engine.loads_per_s * window_s)
        return allowed - self.loads_begun() - sum(self.told_loads.values())

    def _count_loads(self, count: int) -> None:
        self.telemetry.instruments.loads.add(count)
        if self.needs.begun:
            self.begun_loads.extend([self.clock.now_ms()] * count)

    def _begin(
        self, service: table.Service, formation: planner.Formation
    ) -> None:
        self._counter += 1
        epoch = (self.owner.generation << EPOCH_BITS) | (
            self._counter & ((1 << EPOCH_BITS) - 1)
        )
        key = (f"{self.name}-{epoch}", epoch)
        self.forming[key] = formation.model
        for member in formation.members:
            self._busy[member.worker.id] = formation.model.name
        self._count_loads(formation.loads)
        assert service.engine is not None
        self._spawn(key, self._form(service, key, formation))

    def _adopt(self, group: workers.Group, model: table.Model) -> None:
        """Goes on with a formation that an earlier owner began."""
        key = (group.name, group.epoch)
        members = [group.members[rank] for rank in range(model.size)]
        if ("adopt", key) not in self._tasks:
            log.info("group adopted", group=group.name, epoch=group.epoch)
        self._spawn(
            ("adopt", key), self._finish(key, members, model, model.load_ms)
        )

    async def _form(
        self,
        service: table.Service,
        key: Key,
        formation: planner.Formation,
    ) -> None:
        members = [member.worker for member in formation.members]
        began_ms = self.clock.now_ms()
        try:
            await self._verify(members)
            await self._release_heads(members)
            await self._join(key, formation.model, members)
            await self._finish(
                key, members, formation.model, formation.ready_ms
            )
            log.info(
                "group open",
                group=key[0],
                model=formation.model.name,
                took_ms=self.clock.now_ms() - began_ms,
                predicted_ms=formation.ready_ms,
            )
        except FormationError as error:
            log.info("group not formed", group=key[0], error=str(error))
            # Time for the members' records to say what they are in now.
            await self.clock.sleep_ms(2 * self.config.store.worker_interval_ms)
        finally:
            self.forming.pop(key, None)
            for worker in members:
                self._busy.pop(worker.id, None)

    async def _verify(self, members: list[workers.Worker]) -> None:
        """Asks workers whether they are where their records say.

        Raises:
            FormationError: A record is older than what its worker says.
        """
        reports = await asyncio.gather(
            *(self.orders.report(w, REPORT_TIMEOUT_MS) for w in members)
        )
        for worker, report in zip(members, reports, strict=True):
            if not isinstance(report, interfaces.Report):
                self.evidence.suspect(worker.id)
                self._spawn(("again", worker.id), self._look_again(worker))
                raise FormationError(f"{worker.id}: report {report.value}")
            if report.born_ms not in (0, worker.born_ms) or _place(
                report.membership
            ) != _place(worker.membership):
                raise FormationError(f"{worker.id}: the record is old")
            if (
                report.membership is not None
                and report.membership.state in SERVING
                and _place(report.membership) not in self.closed
            ):
                raise FormationError(f"{worker.id}: serves a group")

    async def _release_heads(self, members: list[workers.Worker]) -> None:
        """Takes heads of former groups out of them before anything else.

        A late order to open finds no group then, also where the head itself
        joins the new group.
        """
        left: set[str] = set()
        groups = self.known.groups()
        for worker in members:
            if worker.membership is None:
                continue
            key = (worker.membership.group, worker.membership.epoch)
            group = groups.get(key)
            head = group.head if group is not None else None
            if key in self.orphaned:
                # Its head may stand still and not be broken yet.
                head = worker
            if head is None or head.id in left or self._is_lost(head):
                continue
            left.add(head.id)
            await self._ordered(
                head,
                lambda fence, head=head, key=key: self.orders.leave(  # type: ignore[misc]
                    head, fence, *key
                ),
            )

    async def _join(
        self, key: Key, model: table.Model, members: list[workers.Worker]
    ) -> None:
        ids = [worker.id for worker in members]

        async def join(worker: workers.Worker) -> None:
            await self._ordered(
                worker,
                lambda fence: self.orders.join(
                    worker, fence, *key, model.name, ids
                ),
            )

        results = await asyncio.gather(
            *(join(worker) for worker in members), return_exceptions=True
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result

    async def _finish(
        self,
        key: Key,
        members: list[workers.Worker],
        model: table.Model,
        predicted_ms: int,
    ) -> None:
        """Waits until all members are ready and opens the group."""
        begun_ms = self.clock.now_ms()
        give_up_ms = (
            begun_ms + FORMATION_FACTOR * predicted_ms + FORMATION_SLACK_MS
        )
        early = 1.0 if self.needs.begun else EARLY_LOAD_SHARE
        look_ms = begun_ms + round(early * predicted_ms)
        ready: set[str] = set()
        while True:
            look = self.clock.now_ms() >= look_ms
            if look:
                look_ms = self.clock.now_ms() + LOOK_MS
            for worker in members:
                if worker.id not in ready and await self._is_ready(
                    worker, key, look
                ):
                    ready.add(worker.id)
            # A member may be lost while the others become ready.
            for worker in members:
                self._present(worker)
            if len(ready) == len(members):
                break
            if self.clock.now_ms() >= give_up_ms:
                raise FormationError("members are not ready in time")
            await self.clock.sleep_ms(STEP_MS)
        head = members[0]
        await self._ordered(
            head, lambda fence: self.orders.open(head, fence, *key)
        )
        self.telemetry.group_changed("formed")
        # Until the head's record says that it is open.
        await self.clock.sleep_ms(2 * self.config.store.worker_interval_ms)

    def _present(self, worker: workers.Worker) -> workers.Worker:
        """Returns the newest record of a member.

        Raises:
            FormationError: The member is lost or leaves.
        """
        known = self.known.workers.get(worker.id)
        if known is None or known.born_ms != worker.born_ms:
            raise FormationError(f"{worker.id} is gone")
        if self._is_lost(worker) or known.draining:
            raise FormationError(f"{worker.id} is lost or leaves")
        return known

    async def _is_ready(
        self, worker: workers.Worker, key: Key, look: bool
    ) -> bool:
        known = self._present(worker)
        if _ready_in(known.membership, key):
            return True
        if not look:
            return False
        report = await self.orders.report(known, REPORT_TIMEOUT_MS)
        if not isinstance(report, interfaces.Report):
            if report is interfaces.OrderResult.UNREACHABLE:
                self.evidence.suspect(worker.id)
                self._spawn(("again", worker.id), self._look_again(known))
            return False
        if report.born_ms and report.born_ms != worker.born_ms:
            raise FormationError(f"{worker.id} started again")
        return _ready_in(report.membership, key)

    async def _close(self, group: workers.Group, graceful: bool) -> None:
        """Closes a group whose member is lost or leaves."""
        head = group.members[0]
        key = (group.name, group.epoch)
        if graceful:
            until_ms = self.clock.now_ms() + DRAIN_WAIT_MS
            while self.loads.at(head.id) and self.clock.now_ms() < until_ms:
                await self.clock.sleep_ms(STEP_MS)
        await self._close_head(head, key, not graceful)

    async def _close_head(
        self, head: workers.Worker, key: Key, abrupt: bool
    ) -> None:
        try:
            await self._ordered(
                head,
                lambda fence: self.orders.close_group(
                    head, fence, *key, abrupt
                ),
            )
        except FormationError as error:
            log.info("group not closed", group=key[0], error=str(error))
            await self.clock.sleep_ms(LOOK_MS)
            return
        until_ms = self.clock.now_ms() + 2 * self.config.workers.stall_ms
        while self.clock.now_ms() < until_ms:
            report = await self.orders.report(head, REPORT_TIMEOUT_MS)
            if isinstance(report, interfaces.Report) and not _serves(
                report, key
            ):
                self.closed.add(key)
                log.info("group closed", group=key[0])
                self.telemetry.group_changed("closed")
                return
            await self.clock.sleep_ms(LOOK_MS)

    async def _probe(self, group: workers.Group) -> None:
        """Asks all members of a suspected group for a report."""
        members = tuple(group.members.values())
        await asyncio.gather(*(self._look(worker) for worker in members))
        if not any(self._is_lost(worker) for worker in members):
            self.evidence.found_sound(group.members[0].id)

    async def _look(self, worker: workers.Worker) -> None:
        if self._is_lost(worker):
            return
        for _ in range(2):
            report = await self.orders.report(worker, REPORT_TIMEOUT_MS)
            if isinstance(report, interfaces.Report):
                if report.born_ms in (0, worker.born_ms):
                    return
                break
            if report is interfaces.OrderResult.REFUSED:
                break
        self.evidence.lost[worker.id] = worker.born_ms
        log.info("worker lost", worker=worker.id)

    async def _look_for(
        self, service: table.Service, worker: workers.Worker
    ) -> None:
        """Finds out whether a member without a record still takes part."""
        if self._is_lost(worker) or not await self.orders.healthy(
            worker, service.health_path, REPORT_TIMEOUT_MS
        ):
            self.evidence.lost[worker.id] = worker.born_ms
            await self.clock.sleep_ms(ABSENT_MS)
            # Its group was dissolved meanwhile; peers heard that it is lost.
            self.known.forget(worker.id)
            return
        await self.clock.sleep_ms(5 * LOOK_MS)

    async def _look_again(self, worker: workers.Worker) -> None:
        """Looks whether a worker that was lost answers again."""
        if not self._is_lost(worker):
            await self._look(worker)
            return
        await self.clock.sleep_ms(5 * LOOK_MS)
        report = await self.orders.report(worker, REPORT_TIMEOUT_MS)
        if isinstance(report, interfaces.Report) and report.born_ms in (
            0,
            worker.born_ms,
        ):
            self.evidence.lost.pop(worker.id, None)
            log.info("worker answers again", worker=worker.id)

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
        if self._loads_left(engine) < pressing.size:
            return
        able = {}
        for group in groups:
            key = (group.name, group.epoch)
            if ("close", key) in self._tasks:
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
        self._planned.append(
            (self.clock.now_ms() + self.config.workers.stall_ms, pressing.name)
        )
        for given in chosen:
            log.info("group converted", group=given.name, model=pressing.name)
            self.telemetry.group_changed("converted")
            key = (given.name, given.epoch)
            closed = next(g for g in groups if (g.name, g.epoch) == key)
            self._spawn(("close", key), self._close(closed, True))

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
            mark = (worker.id, worker.born_ms)
            if worker.staged or worker.models or mark in self._staging:
                continue
            if self._loads_left(engine) < 1:
                return
            self._staging.add(mark)
            self._count_loads(1)
            self._spawn(("stage", *mark), self._stage_one(worker, model))

    async def _stage_one(
        self, worker: workers.Worker, model: table.Model
    ) -> None:
        try:
            await self._ordered(
                worker,
                lambda fence: self.orders.stage(worker, fence, model.name),
            )
        except FormationError as error:
            log.info("model not staged", worker=worker.id, error=str(error))

    async def _ordered(
        self,
        worker: workers.Worker,
        give: Callable[[int], Awaitable[interfaces.OrderResult]],
    ) -> None:
        """Gives an order until it is accepted.

        Repeating an order is harmless: the worker answers that the state
        already holds.

        Raises:
            FormationError: It was not accepted.
        """
        result = interfaces.OrderResult.UNKNOWN
        for attempt in range(ORDER_TRIES):
            if attempt:
                await self.clock.sleep_ms(ORDER_RETRY_MS)
            if not self.owner.owns(f"{worker.service}/{worker.domain}"):
                raise FormationError("the domain has another owner")
            generation = self.owner.generation
            result = await give(generation)
            if result in ACCEPTED:
                return
            if result is interfaces.OrderResult.FENCED:
                self.owner.refused(generation)
                break
            if result is interfaces.OrderResult.UNREACHABLE and attempt:
                self.evidence.suspect(worker.id)
                self._spawn(("again", worker.id), self._look_again(worker))
                break
        raise FormationError(f"{worker.id}: order {result.value}")

    def _spawn(self, name: object, work: Coroutine[Any, Any, None]) -> None:
        """Runs a task unless one of that name is running."""
        if name in self._tasks:
            work.close()
            return
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[name] = task

        def ended(task: asyncio.Task[None]) -> None:
            self._tasks.pop(name, None)
            if not task.cancelled() and task.exception() is not None:
                error = task.exception()
                if isinstance(error, FormationError):
                    log.info("group left", task=str(name), error=str(error))
                else:
                    log.error("task failed", task=str(name), error=repr(error))

        task.add_done_callback(ended)


def _place(membership: workers.Membership | None) -> Key | None:
    if membership is None:
        return None
    return membership.group, membership.epoch


def _serves(report: interfaces.Report, key: Key) -> bool:
    """Whether a head serves a group, by its report."""
    membership = report.membership
    return (
        membership is not None
        and (membership.group, membership.epoch) == key
        and membership.state in SERVING
    )


def _ready_in(membership: workers.Membership | None, key: Key) -> bool:
    return (
        membership is not None
        and (membership.group, membership.epoch) == key
        and membership.state
        in (workers.MemberState.READY, workers.MemberState.OPEN)
    )
