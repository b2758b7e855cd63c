"""Orders that make engines take the roles that the log gave them."""

import asyncio
from collections.abc import Callable

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.observation import inventory, reports
from oleanderbay.version import resources

# An entry may give orders for an epoch only if it knew less than this ago
# that the epoch was the newest (section 6.4).
ORDER_LEASE_MS = 5_000

# Age after which an engine should ignore an order.
ORDER_MAX_AGE_MS = 5_000

ORDER_TIMEOUT_MS = 2_000
STEP_INTERVAL_MS = 500

# A member that does not agree gets its order again after this long.
REPEAT_AFTER_MS = 2_000

ConfirmationAge = Callable[[], int | None]


class Orders(mode.Service):
    """Gives orders to the members of the groups that this entry reads.

    Both readers of a group give the same orders: they carry the same number,
    so a second one changes nothing. The second reader waits, so that it acts
    only where the first does not.
    """

    def __init__(
        self,
        catalogue: interfaces.CatalogueSource,
        membership: interfaces.MembershipView,
        reports_service: reports.ReportService,
        confirmation_age_ms: ConfirmationAge,
        clock: clocks.Clock,
    ) -> None:
        """Makes the service.

        Args:
            catalogue: Which roles the members have.
            membership: Which entries there are.
            reports_service: Reports and connections of the members.
            confirmation_age_ms: Age of the newest confirmation that this
                entry applied the whole log; None if there was none.
            clock: Time.
        """
        super().__init__()
        self._catalogue = catalogue
        self._membership = membership
        self._reports = reports_service
        self._confirmation_age_ms = confirmation_age_ms
        self._clock = clock
        # Time of the last order by instance, with its fencing number.
        self._given: dict[str, tuple[int, int]] = {}
        self._seen: dict[tuple[str, int], int] = {}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.step()
            await self._clock.sleep_ms(STEP_INTERVAL_MS)

    async def step(self) -> None:
        """Gives every order that is due."""
        groups = self._reports.assigned_groups()
        live = {member for group in groups for member in group.members}
        self._given = {k: v for k, v in self._given.items() if k in live}
        now_ms = self._clock.now_ms()
        self._seen = {
            (g.id, g.epoch): self._seen.get((g.id, g.epoch), now_ms)
            for g in groups
        }
        due = [
            (group, rank)
            for group in groups
            if self._is_my_turn(group, now_ms)
            for rank in range(len(group.members))
            if self._is_due(group, rank, now_ms)
        ]
        await asyncio.gather(*(self._give(*order) for order in due))

    def _is_my_turn(self, group: resources.ServingGroup, now_ms: int) -> bool:
        names = inventory.zone_ids(self._catalogue.current)
        zone = next((n for n, id in names.items() if id == group.zone), "")
        chosen = self._reports.reader_assignment.readers_of(
            group.id, zone or group.zone
        )
        me = self._membership.me.start_id
        rank = chosen.index(me) if me in chosen else len(chosen)
        waited_ms = now_ms - self._seen[group.id, group.epoch]
        return waited_ms >= rank * REPEAT_AFTER_MS

    def _is_due(
        self, group: resources.ServingGroup, rank: int, now_ms: int
    ) -> bool:
        id = group.members[rank]
        member = self._reports.members.get(id)
        report = member.report
        if report is not None and member.is_fresh(now_ms):
            if report.epoch > group.epoch:
                # A newer epoch exists that this entry has not applied yet.
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
                # It was restarted; only a new epoch brings it back.
                return False
        fence, given_ms = self._given.get(id, (0, 0))
        return fence != group.epoch or now_ms - given_ms >= REPEAT_AFTER_MS

    def lease_left_ms(self) -> int:
        """Returns for how long this entry may still give orders."""
        age_ms = self._confirmation_age_ms()
        return 0 if age_ms is None else ORDER_LEASE_MS - age_ms

    async def _give(self, group: resources.ServingGroup, rank: int) -> None:
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
        # Nothing may come between these two checks and the order: what was
        # awaited before may have taken long, or the process was paused.
        if self._catalogue.current.get("serving_group", group.id) != group:
            return
        left_ms = self.lease_left_ms()
        if left_ms <= 0:
            self.log.info("order for %s withheld: the lease ended", id)
            return
        self._given[id] = (group.epoch, self._clock.now_ms())
        try:
            after = await engine.order(order, min(ORDER_TIMEOUT_MS, left_ms))
        except native.OrderRefusedError as error:
            self.log.info("%s refused epoch %d: %s", id, group.epoch, error)
        except native.PlatformUnavailableError as error:
            self.log.info("order not sent to %s: %s", id, error)
        except native.PlatformUnknownError as error:
            # The next report tells whether it took effect.
            self.log.info("order to %s has no answer: %s", id, error)
        else:
            if after.instance == id:
                self._reports.members.record_report(after, self._clock.now_ms())
            self.log.info(
                "ordered %s to rank %d of %s at epoch %d",
                id,
                rank,
                group.id,
                group.epoch,
            )
