"""Finds out by their reports which workers are gone."""

import asyncio

import structlog

from oleanderbay.gateway import health, interfaces, state, table, workers
from oleanderbay.gateway import tasks as tasks_module
from oleanderbay.process import clock as clocks

REPORT_TIMEOUT_MS = 400
# Time between two looks at a worker that was lost or has no record.
AGAIN_MS = 1_000
# How long a member without a record that is lost stays in its group's list.
ABSENT_MS = 2_000

log = structlog.get_logger()


class Inspection:
    """Asks workers that a gateway suspects or misses."""

    def __init__(
        self,
        known: state.State,
        evidence: health.Health,
        orders: interfaces.Orders,
        clock: clocks.Clock,
        tasks: tasks_module.Tasks,
    ) -> None:
        self.known = known
        self.evidence = evidence
        self.orders = orders
        self.clock = clock
        self.tasks = tasks

    def is_lost(self, worker: workers.Worker) -> bool:
        """Whether this incarnation of a worker was found gone."""
        return self.evidence.is_lost(worker.id, worker.started_ms)

    def suspect(self, worker: workers.Worker) -> None:
        """Suspects a worker that did not answer and looks at it."""
        self.evidence.suspect(worker.id)
        self.tasks.start(("again", worker.id), self.reprobe(worker))

    async def probe(self, group: workers.Group) -> None:
        """Asks all members of a suspected group for a report."""
        members = tuple(group.members.values())
        await asyncio.gather(*(self.probe_worker(worker) for worker in members))
        if not any(self.is_lost(worker) for worker in members):
            self.evidence.mark_sound(group.members[0].id)

    async def probe_worker(self, worker: workers.Worker) -> None:
        """Finds out whether a worker is gone."""
        if self.is_lost(worker):
            return
        for _ in range(2):
            report = await self.orders.report(worker, REPORT_TIMEOUT_MS)
            if isinstance(report, interfaces.Report):
                if report.born_ms in (0, worker.started_ms):
                    return
                break
            if report is interfaces.OrderResult.REFUSED:
                break
        self.evidence.lost[worker.id] = worker.started_ms
        log.info("worker lost", worker=worker.id)

    async def check_absent(
        self, service: table.Service, worker: workers.Worker
    ) -> None:
        """Finds out whether a member without a record still takes part."""
        if self.is_lost(worker) or not await self.orders.healthy(
            worker, service.health_path, REPORT_TIMEOUT_MS
        ):
            self.evidence.lost[worker.id] = worker.started_ms
            await self.clock.sleep_ms(ABSENT_MS)
            # Its group was dissolved meanwhile; peers heard that it is lost.
            self.known.forget_missing_member(worker.id)
            return
        await self.clock.sleep_ms(AGAIN_MS)

    async def reprobe(self, worker: workers.Worker) -> None:
        """Looks whether a worker that was lost answers again."""
        if not self.is_lost(worker):
            await self.probe_worker(worker)
            return
        await self.clock.sleep_ms(AGAIN_MS)
        report = await self.orders.report(worker, REPORT_TIMEOUT_MS)
        if isinstance(report, interfaces.Report) and report.born_ms in (
            0,
            worker.started_ms,
        ):
            self.evidence.lost.pop(worker.id, None)
            log.info("worker answers again", worker=worker.id)
