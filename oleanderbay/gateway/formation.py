"""Forms groups: joins their members and opens them."""

import asyncio
from collections.abc import Container

import structlog

from oleanderbay.gateway import (
    demand,
    dissolution,
    inspection,
    interfaces,
    ordering,
    planner,
    state,
    table,
    workers,
)
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import tasks as tasks_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

STEP_MS = 100
# Time between two looks at a member that should be ready.
LOOK_MS = 200
# Added to the predicted time of a formation before it is given up, and the
# factor on it for loads that share the weight store.
FORMATION_SLACK_MS = 3_000
FORMATION_FACTOR = 3
# Loads before the first request take this part of their time.
EARLY_LOAD_SHARE = 0.1
EPOCH_BITS = 16

Key = tuple[str, int]

log = structlog.get_logger()


class Formations:
    """Runs one task for each group that is being formed.

    Attributes:
        forming: Groups that are being formed, with their models.
        busy: Workers that are being made members, with the model.
    """

    def __init__(
        self,
        known: state.State,
        orders: interfaces.Orders,
        giver: ordering.Ordering,
        inspector: inspection.Inspection,
        ended: dissolution.Dissolution,
        needs: demand.Demand,
        config: settings_module.Settings,
        clock: clocks.Clock,
        tasks: tasks_module.Tasks,
        telemetry: telemetry_module.Telemetry,
        name: str,
    ) -> None:
        self.known = known
        self.orders = orders
        self.ordering = giver
        self.inspector = inspector
        self.dissolution = ended
        self.demand = needs
        self.config = config
        self.clock = clock
        self.tasks = tasks
        self.telemetry = telemetry
        self.name = name
        self.forming: dict[Key, table.Model] = {}
        self.busy: dict[str, str] = {}
        self._staging: dict[tuple[str, int], str] = {}
        self._counter = 0

    def begin(self, formation: planner.Formation) -> None:
        """Begins to form a group under a name and epoch never used before."""
        self._counter += 1
        generation = self.ordering.owner.generation
        epoch = (generation << EPOCH_BITS) | (
            self._counter & ((1 << EPOCH_BITS) - 1)
        )
        key = (f"{self.name}-{epoch}", epoch)
        self.forming[key] = formation.model
        for member in formation.members:
            self.busy[member.worker.id] = formation.model.name
        self.tasks.start(key, self._form(key, formation))

    def unrecorded(self, groups: Container[Key]) -> list[str]:
        """Returns the models of groups that no record shows yet."""
        return [
            model.name
            for key, model in self.forming.items()
            if key not in groups
        ]

    def adopting(self, key: Key) -> bool:
        """Whether the formation of an earlier owner is carried on."""
        return self.tasks.running(("adopt", key))

    def staged(self, worker: workers.Worker, model: str) -> bool:
        """Whether this start of a worker was told to load a model last."""
        return self._staging.get((worker.id, worker.born_ms)) == model

    def stage(self, worker: workers.Worker, model: table.Model) -> None:
        """Lets a worker load a model onto its host."""
        mark = (worker.id, worker.born_ms)
        self._staging[mark] = model.name
        self.tasks.start(("stage", *mark), self._stage_one(worker, model))

    def adopt(self, group: workers.Group, model: table.Model) -> None:
        """Goes on with a formation that an earlier owner began."""
        key = (group.name, group.epoch)
        members = [group.members[rank] for rank in range(model.size)]
        if not self.adopting(key):
            log.info("group adopted", group=group.name, epoch=group.epoch)
        self.tasks.start(
            ("adopt", key), self._finish(key, members, model, model.load_ms)
        )

    async def _form(
        self,
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
        except ordering.OrderError as error:
            log.info("group not formed", group=key[0], error=str(error))
            # Time for the members' records to say what they are in now.
            await self.clock.sleep_ms(2 * self.config.store.worker_interval_ms)
        finally:
            self.forming.pop(key, None)
            for worker in members:
                self.busy.pop(worker.id, None)

    async def _verify(self, members: list[workers.Worker]) -> None:
        """Asks workers whether they are where their records say.

        Raises:
            ordering.OrderError: A record is older than what its worker says.
        """
        reports = await asyncio.gather(
            *(
                self.orders.report(w, inspection.REPORT_TIMEOUT_MS)
                for w in members
            )
        )
        for worker, report in zip(members, reports, strict=True):
            if not isinstance(report, interfaces.Report):
                self.inspector.suspect(worker)
                raise ordering.OrderError(f"{worker.id}: report {report.value}")
            if report.born_ms not in (0, worker.born_ms) or _place(
                report.membership
            ) != _place(worker.membership):
                raise ordering.OrderError(f"{worker.id}: the record is old")
            if (
                report.membership is not None
                and report.membership.state in dissolution.SERVING
                and _place(report.membership) not in self.dissolution.closed
            ):
                raise ordering.OrderError(f"{worker.id}: serves a group")

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
            if key in self.dissolution.orphaned:
                # Its head may stand still and not be broken yet.
                head = worker
            if head is None or head.id in left or self.inspector.is_lost(head):
                continue
            left.add(head.id)
            await self.ordering.give(
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
            await self.ordering.give(
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
        early = 1.0 if self.demand.begun else EARLY_LOAD_SHARE
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
                raise ordering.OrderError("members are not ready in time")
            await self.clock.sleep_ms(STEP_MS)
        head = members[0]
        await self.ordering.give(
            head, lambda fence: self.orders.open(head, fence, *key)
        )
        self.telemetry.count_group_change("formed")
        # Until the head's record says that it is open.
        await self.clock.sleep_ms(2 * self.config.store.worker_interval_ms)

    def _present(self, worker: workers.Worker) -> workers.Worker:
        """Returns the newest record of a member.

        Raises:
            ordering.OrderError: The member is lost or leaves.
        """
        known = self.known.workers.get(worker.id)
        if known is None or known.born_ms != worker.born_ms:
            raise ordering.OrderError(f"{worker.id} is gone")
        if self.inspector.is_lost(worker) or known.draining:
            raise ordering.OrderError(f"{worker.id} is lost or leaves")
        return known

    async def _is_ready(
        self, worker: workers.Worker, key: Key, look: bool
    ) -> bool:
        known = self._present(worker)
        if _ready_in(known.membership, key):
            return True
        if not look:
            return False
        report = await self.orders.report(known, inspection.REPORT_TIMEOUT_MS)
        if not isinstance(report, interfaces.Report):
            if report is interfaces.OrderResult.UNREACHABLE:
                self.inspector.suspect(known)
            return False
        if report.born_ms and report.born_ms != worker.born_ms:
            raise ordering.OrderError(f"{worker.id} started again")
        return _ready_in(report.membership, key)

    async def _stage_one(
        self, worker: workers.Worker, model: table.Model
    ) -> None:
        try:
            await self.ordering.give(
                worker,
                lambda fence: self.orders.stage(worker, fence, model.name),
            )
        except ordering.OrderError as error:
            log.info("model not staged", worker=worker.id, error=str(error))


def _place(membership: workers.Membership | None) -> Key | None:
    if membership is None:
        return None
    return membership.group, membership.epoch


def _ready_in(membership: workers.Membership | None, key: Key) -> bool:
    return (
        membership is not None
        and (membership.group, membership.epoch) == key
        and membership.state
        in (workers.MemberState.READY, workers.MemberState.OPEN)
    )
