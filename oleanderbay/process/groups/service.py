"""The parts that form serving groups and say which may serve."""

import dataclasses
from collections.abc import Callable
from typing import Any

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.groups import driver, fleet, orders, proposer
from oleanderbay.process.observation import (
    eligibility,
    engines,
    inventory,
    reports,
)


class Groups(mode.Service):  # type: ignore[misc]
    """Owns reports, eligibility, proposals, orders and planned changes.

    Attributes:
        catalogue: The configuration in force.
        inventory: The instance list as last read.
        reports: Member reports.
        eligible: Upstreams that may get work.
        proposer: Proposes groups.
        orders: Gives orders to engines.
        driver: Advances planned changes.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        *,
        catalogue: interfaces.CatalogueSource,
        membership: interfaces.MembershipView,
        transport: interfaces.PeerTransport,
        appender: interfaces.LogAppender,
        listing: native.InstanceList,
        store: native.WeightStore | None,
        engine_at: engines.EngineFactory,
        confirmation_age_ms: Callable[[], int | None],
        interval_ms: int,
    ) -> None:
        """Makes the parts.

        Args:
            clock: Time.
            catalogue: The configuration in force.
            membership: Entries that there are.
            transport: Messages to other entries.
            appender: Appends proposals.
            listing: The instance list.
            store: The weight store; None if there is none.
            engine_at: Makes the control side of an engine from its address.
            confirmation_age_ms: Age of the newest confirmation that this
                entry applied the whole log.
            interval_ms: How often the instance list is read.
        """
        super().__init__()
        self.catalogue = catalogue
        self.inventory = inventory.Inventory(listing, clock, interval_ms)
        self.reports = reports.ReportService(
            catalogue, membership, transport, self.inventory, engine_at, clock
        )
        self.eligible = eligibility.Eligibility(
            catalogue, self.inventory, self.reports, clock
        )
        self.proposer = proposer.Proposer(
            catalogue,
            membership,
            self.inventory,
            self.reports,
            appender,
            store,
            confirmation_age_ms,
            clock,
        )
        self.orders = orders.Orders(
            catalogue, membership, self.reports, confirmation_age_ms, clock
        )
        self.driver = driver.Driver(
            catalogue,
            membership,
            self.inventory,
            self.reports,
            appender,
            engine_at,
            confirmation_age_ms,
            clock,
        )

    async def on_start(self) -> None:
        """Starts the parts."""
        for part in (
            self.inventory,
            self.reports,
            self.orders,
            self.proposer,
            self.driver,
        ):
            await self.add_runtime_dependency(part)

    def status(self) -> dict[str, Any]:
        """Returns what can't be formed, served or advanced, and why."""
        view = self.catalogue.current
        reasons = {
            group.id: self.eligible.ineligibility_reason(group)
            for group in fleet.groups(view)
        }
        return {
            "offset": view.offset,
            "pending_groups": [
                dataclasses.asdict(item) for item in self.proposer.pending
            ],
            "ineligible_groups": {k: v for k, v in reasons.items() if v},
            "planned_changes": dict(self.driver.progress),
        }
