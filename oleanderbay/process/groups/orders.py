"""Orders that tell engines to take the roles assigned to them in the log."""

import asyncio
from collections.abc import Callable

import mode

from oleanderbay.connection import permissions
from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.observation import inventory, reports
from oleanderbay.version import resources

# An entry may send orders for an epoch only if it confirmed less than this ago
# that the epoch was the newest (section 6.4 of the design page).
ORDER_LEASE_MS = 5_000

# Engines should ignore orders older than this.
ORDER_MAX_AGE_MS = 5_000

ORDER_TIMEOUT_MS = 2_000
RUN_INTERVAL_MS = 500

# An order is sent again after this time if the member has not taken the role.
# The second reader of a group waits this long before it sends orders.
RESEND_AFTER_MS = 2_000

ConfirmationAge = Callable[[], int | None]


class OrderSender(mode.Service):
    """Sends orders to the members of the groups that this entry reads.

    Both readers of a group send the same orders with the same fencing number,
    so a repeated order has no effect. The second reader sends its orders after
    a delay, so that it acts only where the first one does not.
    """

    def __init__(
        self,
        catalogue: interfaces.CatalogueSource,
        membership: interfaces.MembershipView,
        reports_service: reports.ReportService,
        confirmation_age_ms: ConfirmationAge,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the service.

        Args:
            catalogue: Source of the roles that members are assigned to.
            membership: The live entries.
            reports_service: Member reports and engine clients.
            confirmation_age_ms: Returns the age of the newest confirmation
                that this entry applied the whole log; None if there was none.
            clock: Source of time.
        """
        super().__init__()
        self._catalogue = catalogue
        self._membership = membership
        self._reports = reports_service
        self._confirmation_age_ms = confirmation_age_ms
        self._clock = clock
        # Fencing number and time of the last order, by instance.
        self._sent: dict[str, tuple[int, int]] = {}
        # Time at which this entry first read a group, by group id and epoch.
        self._first_seen_ms: dict[tuple[str, int], int] = {}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.send_due()
            await self._clock.sleep_ms(RUN_INTERVAL_MS)

    async def send_due(self) -> None:
        """Sends every order that is due."""
        groups = self._reports.assigned_groups()
        members = {member for group in groups for member in group.members}
        self._sent = {k: v for k, v in self._sent.items() if k in members}
        now_ms = self._clock.now_ms()
        self._first_seen_ms = {
            (g.id, g.epoch): self._first_seen_ms.get((g.id, g.epoch), now_ms)
            for g in groups
        }
        due = [
            (group, rank)
            for group in groups
            if self._rank_delay_passed(group, now_ms)
            for rank in range(len(group.members))
            if self._is_due(group, rank, now_ms)
        ]
        await asyncio.gather(*(self._send(*order) for order in due))

    def _rank_delay_passed(
        self, group: resources.ServingGroup, now_ms: int
    ) -> bool:
        names = inventory.zone_ids(self._catalogue.current)
        zone = next((n for n, id in names.items() if id == group.zone), "")
        chosen = self._reports.reader_assignment.readers_of(
            group.id, zone or group.zone
        )
        me = self._membership.me.start_id
        rank = chosen.index(me) if me in chosen else len(chosen)
        waited_ms = now_ms - self._first_seen_ms[group.id, group.epoch]
        return waited_ms >= rank * RESEND_AFTER_MS

    def _is_due(
        self, group: resources.ServingGroup, rank: int, now_ms: int
    ) -> bool:
        id = group.members[rank]
        member = self._reports.members.get(id)
        report = member.report
        if report is not None and member.is_fresh(now_ms):
            if report.epoch > group.epoch:
                # This entry has not applied the newer epoch yet.
                return False
            if (report.group, report.epoch, report.rank) == (
                group.id,
                group.epoch,
                rank,
            ):
                return False
            if (
                member.confirmed_epoch == group.epoch
                and member.confirmed_start_id != report.start_id
            ):
                # The engine restarted; it rejoins only with a new epoch.
                return False
        fence, sent_ms = self._sent.get(id, (0, 0))
        return fence != group.epoch or now_ms - sent_ms >= RESEND_AFTER_MS

    def remaining_lease_ms(self) -> int:
        """Returns how long this entry may still send orders.

        The result is zero or negative once the lease has expired.
        """
        age_ms = self._confirmation_age_ms()
        return 0 if age_ms is None else ORDER_LEASE_MS - age_ms

    def _is_newest(self, group: resources.ServingGroup) -> bool:
        known = self._catalogue.current.get("serving_group", group.id)
        return known == group

    async def _send(self, group: resources.ServingGroup, rank: int) -> None:
        id = group.members[rank]
        engine = self._reports.engine_adapters.get(id)
        if engine is None:
            return
        member = self._reports.members.get(id)
        report = member.report
        fresh = report is not None and member.is_fresh(self._clock.now_ms())
        order = native.Order(
            fence=group.epoch,
            group=group.id,
            service=group.service,
            rank=rank,
            size=len(group.members),
            model=group.model,
            model_version=group.model_version,
            adapter=group.adapter,
            expected_start_id=report.start_id if report and fresh else "",
            valid_ms=ORDER_MAX_AGE_MS,
        )
        # No await may come between these two checks and the order: after a
        # long await or a pause of the process, the epoch may be outdated. Both
        # are made again when the connection is open.
        if not self._is_newest(group):
            return
        lease_ms = self.remaining_lease_ms()
        if lease_ms <= 0:
            self.log.info("order to %s not sent: the lease has expired", id)
            return
        self._sent[id] = (group.epoch, self._clock.now_ms())
        try:
            with permissions.required(
                lambda: self._is_newest(group) and self.remaining_lease_ms() > 0
            ):
                new_report = await engine.order(
                    order, min(ORDER_TIMEOUT_MS, lease_ms)
                )
        except native.OrderRefusedError as error:
            self.log.info("%s refused epoch %d: %s", id, group.epoch, error)
        except native.PlatformUnavailableError as error:
            self.log.info("order not sent to %s: %s", id, error)
        except native.PlatformUnknownError as error:
            # The next report shows whether the order took effect.
            self.log.info("no response to the order to %s: %s", id, error)
        else:
            if new_report.instance == id:
                self._reports.members.record_report(
                    new_report, self._clock.now_ms()
                )
            self.log.info(
                "%s accepted rank %d of %s at epoch %d",
                id,
                rank,
                group.id,
                group.epoch,
            )
