"""Runs the parts that form serving groups and decide which may serve."""

import dataclasses
from collections.abc import Callable
from typing import Any

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.groups import (
    change_controller,
    fleet_state,
    orders,
    proposer,
)
from oleanderbay.process.observation import (
    eligibility,
    engines,
    inventory,
    reports,
)


class GroupManager(mode.Service):  # type: ignore[misc]
    """Runs reports, eligibility, proposals, orders and planned changes.

    Attributes:
        catalogue: The configuration in force.
        inventory: The instance list as last read.
        reports: Reports of group members.
        eligible: Upstreams that may get work.
        proposer: Proposes to form and dissolve groups.
        orders: Sends orders to engines.
        change_controller: Advances planned changes.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        *,
        catalogue: interfaces.CatalogueSource,
        membership: interfaces.MembershipView,
        transport: interfaces.PeerTransport,
        appender: interfaces.LogAppender,
        instance_list: native.InstanceList,
        weight_store: native.WeightStore | None,
        engine_at: engines.EngineFactory,
        confirmation_age_ms: Callable[[], int | None],
        interval_ms: int,
    ) -> None:
        """Initializes the parts.

        Args:
            clock: Source of time.
            catalogue: The configuration in force.
            membership: The live entries.
            transport: Sends messages to other entries.
            appender: Appends records to the log.
            instance_list: The instance list.
            weight_store: The weight store; None if there is none.
            engine_at: Makes a control client for the engine at an address.
            confirmation_age_ms: Returns the age of the newest confirmation
                that this entry applied the whole log; None if there was none.
            interval_ms: Interval between reads of the instance list.
        """
        super().__init__()
        self.catalogue = catalogue
        self.inventory = inventory.Inventory(instance_list, clock, interval_ms)
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
            weight_store,
            confirmation_age_ms,
            clock,
        )
        self.orders = orders.OrderSender(
            catalogue, membership, self.reports, confirmation_age_ms, clock
        )
        self.change_controller = change_controller.ChangeController(
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
        """Starts the parts as dependencies of this service."""
        for part in (
            self.inventory,
            self.reports,
            self.orders,
            self.proposer,
            self.change_controller,
        ):
            await self.add_runtime_dependency(part)

    def status(self) -> dict[str, Any]:
        """Returns groups and changes that wait or are blocked, and why."""
        view = self.catalogue.current
        reasons = {
            group.id: self.eligible.ineligibility_reason(group)
            for group in fleet_state.live_groups(view)
        }
        return {
            "offset": view.offset,
            "pending_groups": [
                dataclasses.asdict(item) for item in self.proposer.pending
            ],
            "ineligible_groups": {k: v for k, v in reasons.items() if v},
            "planned_changes": dict(self.change_controller.progress),
        }
