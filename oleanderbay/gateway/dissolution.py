"""Closes groups, so that their members may join others."""

from collections.abc import Mapping

import structlog

from oleanderbay.gateway import (
    fenced_orders,
    interfaces,
    probing,
    request_load,
    workers,
)
from oleanderbay.gateway import settings as settings_module
from oleanderbay.gateway import tasks as tasks_module
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

DRAIN_POLL_INTERVAL_MS = 100
# Time before each report of a head that is being closed; a report is at most
# this old.
REPORT_INTERVAL_MS = 200
# Reports asked of a head before its group counts as orphaned.
HEAD_REPORT_ATTEMPTS = 2
# Time that a group with a draining member has to finish its requests.
DRAIN_TIMEOUT_MS = 1_500

SERVING_STATES = (workers.MemberState.OPEN, workers.MemberState.CLOSING)

Key = tuple[str, int]

log = structlog.get_logger()


class Dissolution:
    """Closes groups and tracks which ones no longer serve.

    Attributes:
        closed: Groups whose heads obeyed an order to close.
        idle: Groups whose heads reported that they don't serve, without such
            an order. They may be about to open.
        orphaned: Groups whose heads can't be reached.
    """

    def __init__(
        self,
        orders: interfaces.Orders,
        sender: fenced_orders.OrderSender,
        prober: probing.Prober,
        requests: request_load.RequestLoad,
        config: settings_module.Settings,
        clock: clocks.Clock,
        tasks: tasks_module.KeyedTasks,
        telemetry: telemetry_module.Telemetry,
    ) -> None:
        self.orders = orders
        self.sender = sender
        self.prober = prober
        self.requests = requests
        self.config = config
        self.clock = clock
        self.tasks = tasks
        self.telemetry = telemetry
        self.closed: set[Key] = set()
        self.idle: set[Key] = set()
        self.orphaned: set[Key] = set()
        # Last known head of each group.
        self._heads: dict[Key, workers.Worker] = {}
        # Reason of the last log line on each group's members.
        self._released: dict[Key, str] = {}

    def update_heads(self, groups: Mapping[Key, workers.Group]) -> None:
        """Records the heads of all groups and forgets what no longer holds."""
        for key, group in groups.items():
            if self._serves_by_record(group):
                self.idle.discard(key)
            if group.head is not None:
                self._heads[key] = group.head
                if not self.prober.is_lost(group.head):
                    self.orphaned.discard(key)
        for key in tuple(self._heads):
            if key not in groups:
                del self._heads[key]
        self._released = {
            key: reason
            for key, reason in self._released.items()
            if key in groups
        }

    def forget_unowned(self, groups: Mapping[Key, workers.Group]) -> None:
        """Forgets the groups of domains that this gateway does not own.

        Another owner may open a group again that this one has closed.
        """
        for key in self.closed | self.idle | self.orphaned:
            group = groups.get(key)
            if group is None or not self.sender.owns(
                next(iter(group.members.values()))
            ):
                for known in (self.closed, self.idle, self.orphaned):
                    known.discard(key)

    def start(self, group: workers.Group, graceful: bool) -> None:
        """Starts to close a group unless this is already in progress."""
        key = (group.name, group.epoch)
        self.tasks.start(("close", key), self.close_group(group, graceful))

    def is_closing(self, key: Key) -> bool:
        """Whether a group is being closed, or checked and closed if needed."""
        return self.tasks.running(("close", key)) or self.tasks.running(
            ("check", key)
        )

    def members_released(self, group: workers.Group) -> bool:
        """Whether the members of a group may join another one.

        They may once the head has reported that it does not serve, or can't be
        reached. A record alone does not tell: the head may have accepted an
        order to open since. Starts to ask the head unless its record says that
        it serves.
        """
        key = (group.name, group.epoch)
        for reason, known in (
            ("closed", self.closed),
            ("idle", self.idle),
            ("orphaned", self.orphaned),
        ):
            if key not in known:
                continue
            if self._released.get(key) != reason:
                self._released[key] = reason
                log.info("members released", group=key[0], reason=reason)
            return True
        head = group.head
        if not self._serves_by_record(group) and (
            head is None
            or self.prober.is_lost(head)
            or not self.is_closing(key)
        ):
            self.tasks.start(("check", key), self._check_head(key))
        return False

    def _serves_by_record(self, group: workers.Group) -> bool:
        """Whether a group's head serves by its record and is not lost."""
        head = group.head
        return (
            head is not None
            and head.membership is not None
            and head.membership.state in SERVING_STATES
            and not self.prober.is_lost(head)
        )

    async def _check_head(self, key: Key) -> None:
        """Finds out whether a group may still serve, and ends it if it should.

        A head that only the store can't reach still serves and is closed. One
        that no gateway reaches stays the head until the members have left.
        """
        head = self._heads.get(key)
        if head is None or not await self._settle(key, head):
            self.orphaned.add(key)
            log.info("group orphaned", group=key[0])

    async def _settle(self, key: Key, head: workers.Worker) -> bool:
        """Acts on the report of a head; returns whether it can be reached."""
        listed = head.id in self.prober.gateway_state.workers
        for _ in range(HEAD_REPORT_ATTEMPTS):
            report = await self.prober.fetch_report(head)
            if isinstance(report, interfaces.Report):
                if not serves(report, key):
                    self.idle.add(key)
                elif listed:
                    # Its record will follow, or will be dropped.
                    log.info("head serves unlike its record", group=key[0])
                    await self.clock.sleep_ms(REPORT_INTERVAL_MS)
                else:
                    await self._close_head(head, key, True)
                return True
            if report is interfaces.OrderResult.REFUSED:
                return False
        if listed:
            self.prober.worker_health.record_lost(head)
        return False

    async def close_group(self, group: workers.Group, graceful: bool) -> None:
        """Closes a group.

        Args:
            group: The group.
            graceful: Whether to let its requests finish first, for a limited
                time.
        """
        head = group.members[0]
        key = (group.name, group.epoch)
        if graceful:
            deadline_ms = self.clock.now_ms() + DRAIN_TIMEOUT_MS
            while (
                self.requests.in_flight(head.id)
                and self.clock.now_ms() < deadline_ms
            ):
                await self.clock.sleep_ms(DRAIN_POLL_INTERVAL_MS)
        await self._close_head(head, key, not graceful)

    async def _close_head(
        self, head: workers.Worker, key: Key, abrupt: bool
    ) -> None:
        """Orders a head to close and waits until it no longer serves."""
        try:
            await self.sender.send(
                head,
                lambda fence: self.orders.close_group(
                    head, fence, *key, abrupt
                ),
                operation="close",
                group=key[0],
            )
        except fenced_orders.OrderError as error:
            log.info("group not closed", group=key[0], error=str(error))
            await self.clock.sleep_ms(REPORT_INTERVAL_MS)
            return
        deadline_ms = self.clock.now_ms() + 2 * self.config.workers.stall_ms
        while self.clock.now_ms() < deadline_ms:
            # A report may be as old as this interval. One from before the
            # order could show the head as it was before it last opened.
            await self.clock.sleep_ms(REPORT_INTERVAL_MS)
            report = await self.prober.fetch_report(head)
            if isinstance(report, interfaces.Report) and not serves(
                report, key
            ):
                self.closed.add(key)
                log.info("group closed", group=key[0])
                self.telemetry.count_group_change("closed")
                return


def serves(report: interfaces.Report, key: Key) -> bool:
    """Whether a worker serves as the head of a group, by its report."""
    membership = report.membership
    return (
        membership is not None
        and (membership.group, membership.epoch) == key
        and membership.state in SERVING_STATES
    )
