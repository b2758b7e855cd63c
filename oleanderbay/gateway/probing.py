"""Asks workers for reports to find out which of them are lost."""

import asyncio

import structlog

from oleanderbay.gateway import (
    dialing,
    health,
    interfaces,
    state,
    table,
    workers,
)
from oleanderbay.gateway import tasks as tasks_module
from oleanderbay.process import clock as clocks

REPORT_TIMEOUT_MS = 400
# Time between two probes of a worker that was lost or has no record.
REPROBE_INTERVAL_MS = 1_000
# Time for which a lost member without a record stays in its group's list.
MISSING_MEMBER_GRACE_MS = 2_000

log = structlog.get_logger()


class Prober:
    """Probes workers that are suspected or whose records are missing."""

    def __init__(
        self,
        gateway_state: state.State,
        worker_health: health.HealthTracker,
        orders: interfaces.Orders,
        clock: clocks.Clock,
        tasks: tasks_module.KeyedTasks,
    ) -> None:
        self.gateway_state = gateway_state
        self.worker_health = worker_health
        self.orders = orders
        self.clock = clock
        self.tasks = tasks

    def is_lost(self, worker: workers.Worker) -> bool:
        """Whether this incarnation of a worker was found lost."""
        return self.worker_health.is_lost(worker.id, worker.started_ms)

    def suspect(self, worker: workers.Worker) -> None:
        """Marks a worker that did not answer as suspected and probes it."""
        self.worker_health.suspect(worker.id)
        self.tasks.start(("again", worker.id), self.reprobe(worker))

    async def fetch_report(
        self, worker: workers.Worker
    ) -> interfaces.Report | interfaces.OrderResult:
        """Fetches a worker's report, through another gateway if needed."""
        with dialing.connecting_to(worker):
            return await self.orders.fetch_report(worker, REPORT_TIMEOUT_MS)

    async def probe(self, group: workers.Group) -> None:
        """Asks all members of a suspected group for a report.

        The head counts as healthy only if each of them reports that it is a
        member. A partitioned gateway can't tell members that don't report for
        lost, and learns nothing of the group.
        """
        members = tuple(group.members.values())
        reports = await asyncio.gather(
            *(self.probe_worker(worker) for worker in members)
        )
        if not any(self.is_lost(worker) for worker in members) and all(
            report is not None and _is_member(report, group)
            for report in reports
        ):
            self.worker_health.mark_healthy(group.members[0].id)

    async def probe_worker(
        self, worker: workers.Worker
    ) -> interfaces.Report | None:
        """Marks a worker as lost unless it reports as this incarnation.

        Returns:
            Its report; None if it gave none, or was lost before.
        """
        if self.is_lost(worker):
            return None
        for _ in range(2):
            # A worker that another gateway reaches is not lost.
            report = await self.fetch_report(worker)
            if isinstance(report, interfaces.Report):
                if report.started_ms == worker.started_ms:
                    return report
                break
            if report is interfaces.OrderResult.REFUSED:
                break
        self.worker_health.record_lost(worker)
        return None

    async def check_missing_member(
        self, service: table.Service, worker: workers.Worker
    ) -> None:
        """Checks whether a member without a record still serves its group."""
        with dialing.connecting_to(worker):
            healthy = not self.is_lost(worker) and await self.orders.is_healthy(
                worker, service.health_path, REPORT_TIMEOUT_MS
            )
        if not healthy and self.worker_health.record_lost(worker):
            await self.clock.sleep_ms(MISSING_MEMBER_GRACE_MS)
            # By now its group is dissolved and the peers know that it is lost.
            self.gateway_state.forget_missing_member(worker.id)
            return
        await self.clock.sleep_ms(REPROBE_INTERVAL_MS)

    async def reprobe(self, worker: workers.Worker) -> None:
        """Probes a suspected worker, or checks if a lost one answers again."""
        if not self.is_lost(worker):
            await self.probe_worker(worker)
            return
        await self.clock.sleep_ms(REPROBE_INTERVAL_MS)
        report = await self.fetch_report(worker)
        if (
            isinstance(report, interfaces.Report)
            and report.started_ms == worker.started_ms
        ):
            self.worker_health.lost.pop(worker.id, None)
            log.info("worker answers again", worker=worker.id)


def _is_member(report: interfaces.Report, group: workers.Group) -> bool:
    """Whether a worker is a member of a group that works, by its report."""
    membership = report.membership
    return (
        membership is not None
        and (membership.group, membership.epoch) == (group.name, group.epoch)
        and membership.state
        not in (workers.MemberState.JOINING, workers.MemberState.BROKEN)
    )
