"""Forms groups: makes workers their members and opens them."""

from collections.abc import Container

import structlog

from oleanderbay.gateway import (
    demand,
    dissolution,
    fenced_orders,
    interfaces,
    joining,
    planner,
    probing,
    state,
    table,
    workers,
)
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import tasks as tasks_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

POLL_INTERVAL_MS = 100
# Time between two reports of a member that should be ready by now.
REPORT_INTERVAL_MS = 200
# A formation is abandoned after its predicted time, multiplied by the factor
# since concurrent loads share the weight store, plus the slack.
FORMATION_SLACK_MS = 3_000
FORMATION_TIMEOUT_FACTOR = 3
# Loads before the first request take this part of the usual time.
EARLY_LOAD_SHARE = 0.1
# How long it is kept what was staged on a worker without a record. Records
# expire while the store is down and return; the load goes on meanwhile.
MISSING_RECORD_MS = 30_000
# Time after which a model that was not staged on a worker may be again. The
# worker may refuse orders for as long as it loads.
STAGING_RETRY_MS = 5_000
# Low bits of an epoch that count the groups of one generation of ownership.
EPOCH_COUNTER_BITS = 16

Key = tuple[str, int]

log = structlog.get_logger()


class Formations:
    """Runs one task for each group that is being formed.

    Attributes:
        name_prefix: Prefix of the names of the groups formed by this gateway.
        forming: Models of the groups that are being formed, by group.
        joining: Names of the models whose groups workers are joining, by
            worker id.
    """

    def __init__(
        self,
        gateway_state: state.State,
        orders: interfaces.Orders,
        sender: fenced_orders.OrderSender,
        prober: probing.Prober,
        group_dissolution: dissolution.Dissolution,
        measured_demand: demand.Demand,
        config: settings_module.Settings,
        clock: clocks.Clock,
        tasks: tasks_module.KeyedTasks,
        telemetry: telemetry_module.Telemetry,
        name_prefix: str,
    ) -> None:
        self.gateway_state = gateway_state
        self.orders = orders
        self.sender = sender
        self.prober = prober
        self.dissolution = group_dissolution
        self.joiner = joining.GroupJoiner(
            gateway_state, orders, sender, prober, group_dissolution
        )
        self.demand = measured_demand
        self.config = config
        self.clock = clock
        self.tasks = tasks
        self.telemetry = telemetry
        self.name_prefix = name_prefix
        self.forming: dict[Key, table.Model] = {}
        self.joining: dict[str, str] = {}
        # Model last staged, by worker id and start time of the worker, and the
        # time at which those without a record were last seen.
        self._staging_requests: dict[tuple[str, int], str] = {}
        self._missing_since_ms: dict[tuple[str, int], int] = {}
        self._group_count = 0
        # Generation of ownership in which the last group was planned.
        self._last_generation = -1

    def begin(self, planned: planner.PlannedGroup) -> None:
        """Starts to form a group under a name and epoch never used before.

        If the epochs of the generation of ownership are used up, the group is
        left to be planned again in a new one.
        """
        generation = self.sender.ownership.generation
        counter = (self._group_count + 1) & ((1 << EPOCH_COUNTER_BITS) - 1)
        if counter == 0 and generation <= self._last_generation:
            log.info("epochs used up", generation=generation)
            self.sender.ownership.renew()
            return
        self._group_count += 1
        self._last_generation = generation
        epoch = (generation << EPOCH_COUNTER_BITS) | counter
        key = (f"{self.name_prefix}-{epoch}", epoch)
        log.info(
            "group planned",
            group=key[0],
            model=planned.model.name,
            members=[member.worker.id for member in planned.members],
        )
        self.forming[key] = planned.model
        for member in planned.members:
            self.joining[member.worker.id] = planned.model.name
        self.tasks.start(key, self._form(key, planned))

    def unrecorded_models(self, recorded: Container[Key]) -> list[str]:
        """Returns the models of groups that no record shows yet."""
        return [
            model.name
            for key, model in self.forming.items()
            if key not in recorded
        ]

    def is_adopting(self, key: Key) -> bool:
        """Whether a formation that an earlier owner began is continued."""
        return self.tasks.running(("adopt", key))

    def staging_requested(self, worker: workers.Worker, model: str) -> bool:
        """Whether a model is the last one staged on this run of a worker.

        While an order is sent, or failed a moment ago, there is no other one.
        """
        incarnation = (worker.id, worker.started_ms)
        return self._staging_requests.get(
            incarnation
        ) == model or self.tasks.running(("stage", *incarnation))

    def forget_gone_workers(self) -> None:
        """Forgets what was staged on workers that are gone or restarted."""
        now_ms = self.clock.now_ms()
        missing = {
            incarnation: self._missing_since_ms.get(incarnation, now_ms)
            for incarnation in self._staging_requests
            if not self._is_registered(*incarnation)
        }
        for incarnation, since_ms in tuple(missing.items()):
            if now_ms - since_ms >= MISSING_RECORD_MS:
                del self._staging_requests[incarnation]
                del missing[incarnation]
        self._missing_since_ms = missing

    def _is_registered(self, worker_id: str, started_ms: int) -> bool:
        worker = self.gateway_state.workers.get(worker_id)
        return worker is not None and worker.started_ms == started_ms

    def stage(self, worker: workers.Worker, model: table.Model) -> None:
        """Makes a worker load a model onto its host."""
        incarnation = (worker.id, worker.started_ms)
        self._staging_requests[incarnation] = model.name
        self.tasks.start(
            ("stage", *incarnation), self._stage_one(worker, model)
        )

    def adopt(self, group: workers.Group, model: table.Model) -> None:
        """Continues a formation that an earlier owner began."""
        key = (group.name, group.epoch)
        members = [group.members[rank] for rank in range(model.group_size)]
        if not self.is_adopting(key):
            log.info("group adopted", group=group.name, epoch=group.epoch)
        self.tasks.start(
            ("adopt", key),
            self._open_when_ready(key, members, model, model.load_ms),
        )

    async def _form(
        self,
        key: Key,
        planned: planner.PlannedGroup,
    ) -> None:
        members = [member.worker for member in planned.members]
        started_ms = self.clock.now_ms()
        try:
            await self.joiner.join(key, planned.model, members)
            await self._open_when_ready(
                key, members, planned.model, planned.ready_ms
            )
            log.info(
                "group open",
                group=key[0],
                model=planned.model.name,
                took_ms=self.clock.now_ms() - started_ms,
                predicted_ms=planned.ready_ms,
            )
        except fenced_orders.OrderError as error:
            log.info("group not formed", group=key[0], error=str(error))
            # Wait until the records show which groups the members are in now.
            await self.clock.sleep_ms(2 * self.config.store.worker_interval_ms)
        finally:
            self.forming.pop(key, None)
            for worker in members:
                self.joining.pop(worker.id, None)

    async def _open_when_ready(
        self,
        key: Key,
        members: list[workers.Worker],
        model: table.Model,
        predicted_ms: int,
    ) -> None:
        """Waits until all members are ready and opens the group."""
        started_ms = self.clock.now_ms()
        deadline_ms = (
            started_ms
            + FORMATION_TIMEOUT_FACTOR * predicted_ms
            + FORMATION_SLACK_MS
        )
        time_share = 1.0 if self.demand.has_traffic else EARLY_LOAD_SHARE
        next_report_ms = started_ms + round(time_share * predicted_ms)
        ready: set[str] = set()
        while True:
            ask = self.clock.now_ms() >= next_report_ms
            if ask:
                next_report_ms = self.clock.now_ms() + REPORT_INTERVAL_MS
            for worker in members:
                if worker.id not in ready and await self._is_ready(
                    worker, key, ask
                ):
                    ready.add(worker.id)
            # A member that was ready may be lost before the last one is.
            for worker in members:
                self._current_record(worker)
            if len(ready) == len(members):
                break
            if self.clock.now_ms() >= deadline_ms:
                raise fenced_orders.OrderError(
                    "the members were not ready in time"
                )
            await self.clock.sleep_ms(POLL_INTERVAL_MS)
        head = members[0]

        async def open_group(
            fence: int, report: interfaces.Report
        ) -> interfaces.OrderResult:
            if key in self.dissolution.closed or self.dissolution.is_closing(
                key
            ):
                raise fenced_orders.OrderError("the group is being closed")
            if workers.group_key(report.membership) != key:
                return interfaces.OrderResult.CONFLICT
            return await self.orders.open_group(
                head, fence, *key, report.accepted_orders
            )

        await self.sender.send_reported(
            head,
            open_group,
            operation="open",
            group=key[0],
        )
        self.telemetry.count_group_change("formed")
        # Wait until the head's record shows that the group is open.
        await self.clock.sleep_ms(2 * self.config.store.worker_interval_ms)

    def _current_record(self, worker: workers.Worker) -> workers.Worker:
        """Returns the newest record of a member.

        Raises:
            fenced_orders.OrderError: The member is lost, restarted or draining.
        """
        record = self.gateway_state.workers.get(worker.id)
        if record is None or record.started_ms != worker.started_ms:
            raise fenced_orders.OrderError(
                f"worker {worker.id} is gone or has restarted"
            )
        if self.prober.is_lost(worker) or record.draining:
            raise fenced_orders.OrderError(
                f"worker {worker.id} is lost or draining"
            )
        return record

    async def _is_ready(
        self, worker: workers.Worker, key: Key, ask: bool
    ) -> bool:
        """Whether a member is ready by its record or, if asked, its report."""
        record = self._current_record(worker)
        if _ready_in(record.membership, key):
            return True
        if not ask:
            return False
        report = await self.prober.fetch_report(record)
        if not isinstance(report, interfaces.Report):
            if report is interfaces.OrderResult.UNREACHABLE:
                self.prober.suspect(record)
            return False
        if report.started_ms and report.started_ms != worker.started_ms:
            raise fenced_orders.OrderError(f"worker {worker.id} has restarted")
        return _ready_in(report.membership, key)

    async def _stage_one(
        self, worker: workers.Worker, model: table.Model
    ) -> None:
        try:
            await self.sender.send(
                worker,
                lambda fence: self.orders.stage_model(
                    worker, fence, model.name
                ),
                operation="stage",
                model=model.name,
            )
        except fenced_orders.OrderError as error:
            log.info("model not staged", worker=worker.id, error=str(error))
            await self.clock.sleep_ms(STAGING_RETRY_MS)
            self._staging_requests.pop((worker.id, worker.started_ms), None)


def _ready_in(membership: workers.Membership | None, key: Key) -> bool:
    return (
        membership is not None
        and workers.group_key(membership) == key
        and membership.state
        in (workers.MemberState.READY, workers.MemberState.OPEN)
    )
