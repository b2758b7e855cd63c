"""Ends groups, so that their members may join others."""

from collections.abc import Mapping

import structlog

from oleanderbay.gateway import (
    inspection,
    interfaces,
    load,
    ordering,
    workers,
)
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import tasks as tasks_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

STEP_MS = 100
# Time between two looks at a head that is being closed.
LOOK_MS = 200
# Looks at a head that vanished before its group counts as orphaned.
ORPHAN_LOOKS = 2
# How long a group with a member that leaves may finish its requests.
DRAIN_WAIT_MS = 1_500

SERVING = (workers.MemberState.OPEN, workers.MemberState.CLOSING)

Key = tuple[str, int]

log = structlog.get_logger()


class Dissolution:
    """Closes groups and knows which have ended.

    Attributes:
        closed: Groups whose heads were seen to serve no more.
        orphaned: Groups whose heads can't be reached by this gateway.
    """

    def __init__(
        self,
        orders: interfaces.Orders,
        giver: ordering.Ordering,
        inspector: inspection.Inspection,
        loads: load.Load,
        config: settings_module.Settings,
        clock: clocks.Clock,
        tasks: tasks_module.Tasks,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self.orders = orders
        self.ordering = giver
        self.inspector = inspector
        self.loads = loads
        self.config = config
        self.clock = clock
        self.tasks = tasks
        self.telemetry = telemetry
        self.closed: set[Key] = set()
        self.orphaned: set[Key] = set()
        self._heads: dict[Key, workers.Worker] = {}

    def update_heads(self, groups: Mapping[Key, workers.Group]) -> None:
        """Takes note of the heads of all groups that there are."""
        for key, group in groups.items():
            if group.head is not None:
                self._heads[key] = group.head
                if not self.inspector.is_lost(group.head):
                    self.orphaned.discard(key)
        for key in tuple(self._heads):
            if key not in groups:
                del self._heads[key]
        self.closed &= set(groups)
        self.orphaned &= set(groups)

    def start(self, group: workers.Group, graceful: bool) -> None:
        """Begins to close a group unless that is under way."""
        key = (group.name, group.epoch)
        self.tasks.start(("close", key), self.close_group(group, graceful))

    def closing(self, key: Key) -> bool:
        """Whether a group is being closed."""
        return self.tasks.running(("close", key))

    def ended(self, group: workers.Group) -> bool:
        """Whether the members of a group may join another one."""
        key = (group.name, group.epoch)
        if key in self.closed:
            return True
        head = group.head
        if head is not None:
            assert head.membership is not None
            if head.membership.state in SERVING:
                return self.inspector.is_lost(head) and self.headless(key)
            return not self.closing(key)
        former = self._heads.get(key)
        present = former and self.inspector.known.workers.get(former.id)
        if present is not None and not self.inspector.is_lost(present):
            # The head is alive and in no group or in another one.
            return True
        return self.headless(key)

    def headless(self, key: Key) -> bool:
        """Whether the members of a group without its head may be reused."""
        if key not in self.orphaned:
            self.tasks.start(("orphan", key), self._orphan(key))
        return key in self.orphaned

    async def _orphan(self, key: Key) -> None:
        """Ends a group whose head vanished or was found lost.

        A head that only the store can't reach still serves and is closed.
        One that can't be reached at all stays head until its members leave.
        """
        head = self._heads.get(key)
        for _ in range(ORPHAN_LOOKS if head is not None else 0):
            assert head is not None
            report = await self.orders.report(
                head, inspection.REPORT_TIMEOUT_MS
            )
            if isinstance(report, interfaces.Report):
                if serves(report, key):
                    await self._close_head(head, key, True)
                else:
                    self.closed.add(key)
                return
            if report is interfaces.OrderResult.REFUSED:
                break
        self.orphaned.add(key)
        log.info("group orphaned", group=key[0])

    async def close_group(self, group: workers.Group, graceful: bool) -> None:
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
            await self.ordering.give(
                head,
                lambda fence: self.orders.close_group(
                    head, fence, *key, abrupt
                ),
            )
        except ordering.OrderError as error:
            log.info("group not closed", group=key[0], error=str(error))
            await self.clock.sleep_ms(LOOK_MS)
            return
        until_ms = self.clock.now_ms() + 2 * self.config.workers.stall_ms
        while self.clock.now_ms() < until_ms:
            report = await self.orders.report(
                head, inspection.REPORT_TIMEOUT_MS
            )
            if isinstance(report, interfaces.Report) and not serves(
                report, key
            ):
                self.closed.add(key)
                log.info("group closed", group=key[0])
                self.telemetry.count_group_change("closed")
                return
            await self.clock.sleep_ms(LOOK_MS)


def serves(report: interfaces.Report, key: Key) -> bool:
    """Whether a head serves a group, by its report."""
    membership = report.membership
    return (
        membership is not None
        and (membership.group, membership.epoch) == key
        and membership.state in SERVING
    )
