"""Moves workers from their former groups into a new one."""

import asyncio
from collections.abc import Awaitable, Iterable, Mapping, Sequence

from oleanderbay.gateway import (
    dissolution,
    fenced_orders,
    interfaces,
    probing,
    state,
    table,
    workers,
)

Key = tuple[str, int]


class GroupJoiner:
    """Makes workers members of a new group.

    No worker joins before an order has been accepted that ends its former
    group. What a worker was ordered before is known by its own report: a join
    states the number of orders in it, so that the worker refuses the join if
    it has obeyed another order since. Copies of earlier joins are refused for
    the same reason, and can't return a worker to the group that it has left.
    """

    def __init__(
        self,
        gateway_state: state.State,
        orders: interfaces.Orders,
        sender: fenced_orders.OrderSender,
        prober: probing.Prober,
        group_dissolution: dissolution.Dissolution,
    ) -> None:
        self.gateway_state = gateway_state
        self.orders = orders
        self.sender = sender
        self.prober = prober
        self.dissolution = group_dissolution

    async def join(
        self, key: Key, model: table.Model, members: Sequence[workers.Worker]
    ) -> None:
        """Makes workers leave their former groups and join a new one.

        Args:
            key: The new group.
            model: Its model.
            members: Its members, the head first.

        Raises:
            fenced_orders.OrderError: A worker is not in the recorded state, or
                an order was not accepted.
        """
        reports = await self._verify_records(members)
        heads, leaving = self._former_groups(members)
        # A delayed order to open a former group finds no group once its head
        # has left, even if the head joins the new one.
        await _all_accepted(
            self._remove_head(head, former) for head, former in heads.values()
        )
        ids = [worker.id for worker in members]
        await _all_accepted(
            self._join_member(
                worker,
                key,
                model,
                ids,
                reports[worker.id],
                leaving.get(worker.id),
                worker.id in heads,
            )
            for worker in members
        )

    async def _verify_records(
        self, members: Sequence[workers.Worker]
    ) -> dict[str, interfaces.Report]:
        """Checks the records of workers against their own reports.

        Returns:
            The reports by worker id.

        Raises:
            fenced_orders.OrderError: A worker does not report, its record is
                outdated, or it still serves a group.
        """
        reports = await asyncio.gather(
            *(self.prober.fetch_report(worker) for worker in members)
        )
        verified: dict[str, interfaces.Report] = {}
        for worker, report in zip(members, reports, strict=True):
            if not isinstance(report, interfaces.Report):
                self.prober.suspect(worker)
                raise fenced_orders.OrderError(
                    f"worker {worker.id} did not report: {report.value}"
                )
            key = workers.group_key(report.membership)
            if report.started_ms not in (
                0,
                worker.started_ms,
            ) or key != workers.group_key(worker.membership):
                raise fenced_orders.OrderError(
                    f"the record of worker {worker.id} is outdated"
                )
            if (
                report.membership is not None
                and report.membership.state in dissolution.SERVING_STATES
                and key not in self.dissolution.closed
            ):
                raise fenced_orders.OrderError(
                    f"worker {worker.id} still serves a group"
                )
            verified[worker.id] = report
        return verified

    def _former_groups(
        self, members: Sequence[workers.Worker]
    ) -> tuple[Mapping[str, tuple[workers.Worker, Key]], Mapping[str, Key]]:
        """Returns who has to leave the members' former groups.

        Returns:
            The heads that can be told to leave, by their ids, and the former
            groups whose heads can't be told and may still serve, by the ids
            of the members that have to leave them themselves.
        """
        groups = self.gateway_state.groups()
        heads: dict[str, tuple[workers.Worker, Key]] = {}
        leaving: dict[str, Key] = {}
        for worker in members:
            key = workers.group_key(worker.membership)
            if key is None:
                continue
            group = groups.get(key)
            head = group.head if group is not None else None
            if (
                head is None
                or key in self.dissolution.orphaned
                or self.prober.is_lost(head)
            ):
                leaving[worker.id] = key
            else:
                heads[head.id] = (head, key)
        return heads, leaving

    async def _remove_head(self, head: workers.Worker, key: Key) -> None:
        """Makes the head of a former group leave it.

        Raises:
            fenced_orders.OrderError: It did not accept the order.
        """
        await self.sender.send(
            head,
            lambda fence: self.orders.leave_group(head, fence, *key),
            operation="leave",
            group=key[0],
        )

    async def _join_member(
        self,
        worker: workers.Worker,
        key: Key,
        model: table.Model,
        ids: Sequence[str],
        verified: interfaces.Report,
        leaving: Key | None,
        has_left: bool,
    ) -> None:
        """Makes one worker join, and leave its former group first if needed.

        Args:
            worker: The worker.
            key: The new group.
            model: Its model.
            ids: Ids of its members, the head first.
            verified: The report of the worker before any order.
            leaving: Group that the worker has to leave; None for none.
            has_left: Whether it has left its group since that report.

        Raises:
            fenced_orders.OrderError: It did not accept the order.
        """
        former = workers.group_key(worker.membership)

        async def leave_and_join(
            fence: int, report: interfaces.Report
        ) -> interfaces.OrderResult:
            current = workers.group_key(report.membership)
            if current not in (None, former, key):
                return interfaces.OrderResult.CONFLICT
            # Each attempt leaves again: a delayed copy of an earlier join,
            # sent by a version that stated no number of orders, may have
            # returned the worker to its former group.
            if leaving is not None:
                left = await self.orders.leave_group(worker, fence, *leaving)
                if left not in fenced_orders.ACCEPTED:
                    return left
            accepted = report.accepted_orders
            if (
                accepted is not None
                and current is not None
                and current == former
                and (leaving is not None or has_left)
            ):
                # The report is from before the worker left.
                accepted += 1
            return await self.orders.join_group(
                worker, fence, *key, model.name, ids, accepted
            )

        await self.sender.send_reported(
            worker,
            leave_and_join,
            verified,
            operation="join",
            group=key[0],
            head=ids[0],
            left=leaving[0] if leaving is not None else "",
        )


async def _all_accepted(orders: Iterable[Awaitable[None]]) -> None:
    """Waits for the end of all orders; raises the first error of any."""
    results = await asyncio.gather(*orders, return_exceptions=True)
    for result in results:
        if isinstance(result, BaseException):
            raise result
