"""Tests of forming and repairing groups with simulated workers."""

import asyncio
import dataclasses
import random

import pytest

from oleanderbay.gateway import (
    controller,
    demand,
    dialing,
    domain_ownership,
    interfaces,
    workers,
)
from oleanderbay.process import clock as clocks
from tests.gateway import parts

RESULT = interfaces.OrderResult
STATE = workers.MemberState


class Simulation:
    """A controller and workers that carry out orders at once.

    A test decides when a worker becomes ready, and when the workers' records
    show what they have done since.

    Attributes:
        actual: Workers as they are, by id; records may be older.
        sent: Orders as operation, worker id and fencing token.
        results: Results of orders that a worker does not carry out, by
            operation and worker id.
        broken_paths: Workers that only other gateways reach.
        uninterrupted_ms: Time for which the store has answered without a gap.
    """

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.gateway = parts.GatewayParts(self.clock)
        self.sent = []
        self.results = {}
        self.actual = {}
        self.broken_paths = set()
        self.uninterrupted_ms = 10_000
        self.store = parts.Store()
        self.ownership = domain_ownership.DomainOwnership(
            self.store, self.clock, "g1", 1_500, 500
        )
        self.controller = controller.GroupController(
            self.gateway.state,
            lambda: self.uninterrupted_ms,
            self.gateway.worker_health,
            self.ownership,
            self,
            self.gateway.loads,
            demand.Demand(self.clock),
            parts.SETTINGS,
            self.clock,
            random.Random(1),
            "g1",
        )
        self.tasks = [
            asyncio.create_task(self.ownership.run()),
            asyncio.create_task(self.controller.run()),
        ]

    def add(self, worker_id, group=None, rank=0, member="open", **changes):
        added = parts.worker(
            worker_id, group, rank, member, service="chat", **changes
        )
        self.actual[worker_id] = added
        self.gateway.add(added)

    def ready(self, worker_id):
        """Makes a worker ready, without a new record."""
        self._set_state(worker_id, STATE.READY)

    def publish(self):
        """Brings the records of all workers up to date."""
        self.gateway.add(*self.actual.values())

    def _set_state(self, worker_id, state):
        worker = self.actual[worker_id]
        self.actual[worker_id] = dataclasses.replace(
            worker,
            membership=dataclasses.replace(worker.membership, state=state),
        )

    def _reaches(self, worker):
        return worker.id in self.actual and (
            worker.id not in self.broken_paths
            or dialing._TARGET.get() is not None
        )

    def _order(self, operation, worker, fence):
        if worker.id in self.broken_paths and not self._reaches(worker):
            return RESULT.UNREACHABLE
        self.sent.append((operation, worker.id, fence))
        return self.results.get((operation, worker.id), RESULT.DONE)

    async def join_group(self, worker, fence, group, epoch, model, members):
        result = self._order("join", worker, fence)
        if result is RESULT.DONE:
            self.actual[worker.id] = dataclasses.replace(
                self.actual[worker.id],
                models=(model,),
                membership=workers.Membership(
                    group=group,
                    epoch=epoch,
                    rank=list(members).index(worker.id),
                    state=STATE.JOINING,
                ),
            )
        return result

    async def open_group(self, worker, fence, group, epoch):
        result = self._order("open", worker, fence)
        if result is RESULT.DONE:
            self._set_state(worker.id, STATE.OPEN)
        return result

    async def close_group(self, worker, fence, group, epoch, abrupt):
        result = self._order("close", worker, fence)
        if result is RESULT.DONE:
            self._set_state(worker.id, STATE.READY)
        return result

    async def leave_group(self, worker, fence, group, epoch):
        result = self._order("leave", worker, fence)
        if result is RESULT.DONE:
            self.actual[worker.id] = dataclasses.replace(
                self.actual[worker.id], membership=None
            )
        return result

    async def stage_model(self, worker, fence, model):
        return self._order("stage", worker, fence)

    async def is_healthy(self, worker, path, timeout_ms):
        return worker.id in self.actual

    async def fetch_report(self, worker, timeout_ms):
        if not self._reaches(worker):
            return RESULT.UNREACHABLE
        current = self.actual[worker.id]
        return interfaces.Report(
            membership=current.membership, started_ms=current.started_ms
        )

    def orders(self, *operations):
        """Returns orders without their tokens, by default all but staging."""
        return [
            (operation, worker_id)
            for operation, worker_id, _ in self.sent
            if operation in (operations or ("join", "open", "close", "leave"))
        ]


@pytest.fixture
async def simulation():
    created = Simulation()
    yield created
    for task in created.tasks:
        task.cancel()


async def test_no_group_opens_before_all_members_are_ready(simulation):
    """Guards against requests to an incomplete group."""
    simulation.add("a")
    simulation.add("b")
    await simulation.clock.advance(1_400)
    assert sorted(simulation.orders()) == [("join", "a"), ("join", "b")]
    simulation.ready("a")
    await simulation.clock.advance(2_000)
    assert not simulation.orders("open")
    simulation.ready("b")
    await simulation.clock.advance(400)
    assert simulation.orders("open") == [("open", "a")]


async def test_no_worker_is_reused_by_an_outdated_record(simulation):
    """Guards against orders based on outdated records.

    The effect of orders sent while the store was down is not in them yet.
    """
    simulation.add("a")
    simulation.add("b")
    open_head = parts.worker("a", "g", 0, service="chat")
    simulation.actual["a"] = open_head
    await simulation.clock.advance(5_000)
    assert not simulation.orders()


async def test_nothing_is_planned_until_the_records_are_current(simulation):
    """Guards against orders based on records from before an outage."""
    simulation.uninterrupted_ms = 0
    simulation.add("a")
    simulation.add("b")
    await simulation.clock.advance(5_000)
    assert not simulation.orders()
    simulation.uninterrupted_ms = 10_000
    await simulation.clock.advance(2_000)
    assert simulation.orders("join")


@pytest.mark.parametrize("loss", ["restarts", "drains", "is_lost"])
async def test_no_group_opens_after_a_ready_member_is_lost(simulation, loss):
    """Guards against opening an incomplete group.

    A member that was ready may be lost before the last one is ready.
    """
    simulation.add("a")
    simulation.add("b")
    await simulation.clock.advance(1_400)
    simulation.ready("b")
    await simulation.clock.advance(1_000)
    if loss == "is_lost":
        simulation.gateway.worker_health.lost["b"] = 0
    else:
        changes = (
            {"started_ms": 9} if loss == "restarts" else {"draining": True}
        )
        simulation.gateway.add(parts.worker("b", service="chat", **changes))
    simulation.ready("a")
    await simulation.clock.advance(1_000)
    assert not simulation.orders("open")


async def test_members_join_elsewhere_only_after_their_head_closed(simulation):
    """Guards against taking members from a head that still serves.

    It would go on to accept requests that its group can't finish.
    """
    simulation.add("a", "g", 0)
    simulation.add("c")
    simulation.results["close", "a"] = RESULT.UNKNOWN
    await simulation.clock.advance(5_000)
    assert set(simulation.orders()) == {("close", "a")}
    del simulation.results["close", "a"]
    await simulation.clock.advance(3_000)
    order = simulation.orders()
    assert order.index(("join", "a")) < order.index(("join", "c"))
    assert ("close", "a") in order


async def test_an_absent_member_is_lost_only_if_it_does_not_answer(simulation):
    """Guards against closing a complete group.

    A member that only the store can't reach still serves its group.
    """
    simulation.add("a", "g", 0)
    simulation.add("b", "g", 1, "ready")
    await simulation.clock.advance(1_400)
    simulation.gateway.drop("b")
    await simulation.clock.advance(3_000)
    assert not simulation.orders()
    del simulation.actual["b"]
    await simulation.clock.advance(3_000)
    assert ("close", "a") in simulation.orders()


async def make_head_unreachable(simulation):
    simulation.add("a", "g", 0)
    simulation.add("b", "g", 1, "ready")
    simulation.add("c")
    await simulation.clock.advance(1_400)
    del simulation.actual["a"]
    simulation.gateway.drop("a")


async def test_members_leave_a_group_whose_head_is_unreachable(simulation):
    """Guards against a head that serves again with members of a new group.

    This may happen when the head can be reached again.
    """
    await make_head_unreachable(simulation)
    await simulation.clock.advance(parts.SETTINGS.workers.stall_ms + 1_000)
    assert simulation.orders("leave") == [("leave", "b")]
    order = simulation.orders()
    assert order.index(("leave", "b")) < order.index(("join", "b"))
    assert sorted(simulation.orders("join")) == [("join", "b"), ("join", "c")]


async def test_a_delayed_open_order_finds_no_group(simulation):
    """Guards against an earlier owner's order to open a former group.

    It may arrive after the members have joined another group.
    """
    simulation.add("a", "g", 0, "ready", draining=True)
    simulation.add("b", "g", 1, "ready")
    simulation.add("c")
    simulation.results["leave", "a"] = RESULT.UNKNOWN
    await simulation.clock.advance(4_000)
    assert set(simulation.orders()) == {("leave", "a")}
    del simulation.results["leave", "a"]
    await simulation.clock.advance(4_000)
    assert sorted(simulation.orders("join")) == [("join", "b"), ("join", "c")]


def left_before_joining(simulation, worker_id):
    """Whether a worker was told to leave before it was told to join."""
    order = simulation.orders()
    return ("join", worker_id) in order and (
        ("leave", worker_id) in order[: order.index(("join", worker_id))]
    )


async def test_members_leave_a_group_whose_head_was_cut_off_as_it_opened(
    simulation,
):
    """Guards against a worker in two groups at once.

    The head's last record is older than the order to open, which it accepted.
    """
    simulation.add("a", "g", 0, "ready")
    simulation.add("b", "g", 1, "ready")
    simulation.add("c")
    await simulation.clock.advance(1_400)
    assert set(simulation.orders()) == {("open", "a")}
    del simulation.actual["a"]
    simulation.results["open", "a"] = RESULT.UNREACHABLE
    await simulation.clock.advance(5_000)
    assert left_before_joining(simulation, "b")


async def test_members_leave_a_group_that_another_owner_has_opened_again(
    simulation,
):
    """Guards against a worker in two groups at once.

    This gateway closed the group in an earlier term as the owner, and the store
    has lost the record of the head since.
    """
    simulation.add("a", "g", 0, draining=True)
    simulation.add("b", "g", 1, "ready")
    await simulation.clock.advance(1_400)
    assert simulation.orders() == [("close", "a")]
    simulation.add("a", "g", 0)
    simulation.gateway.drop("a")
    simulation.add("c")
    await simulation.clock.advance(5_000)
    assert left_before_joining(simulation, "b")


async def test_members_leave_a_group_whose_head_is_found_lost_meanwhile(
    simulation,
):
    """Guards against a worker in two groups at once.

    A peer finds the head lost after the members have been found free.
    """
    simulation.add("a", "g", 0, "ready", draining=True)
    simulation.add("b", "g", 1, "ready")
    simulation.add("c")
    simulation.results["leave", "a"] = RESULT.UNKNOWN
    await simulation.clock.advance(1_500)
    simulation.gateway.worker_health.update_peer("g2", (), (), {"a": 0})
    await simulation.clock.advance(5_000)
    assert left_before_joining(simulation, "b")


async def test_a_group_is_kept_while_its_head_serves_unlike_its_record(
    simulation,
):
    """Guards against requests that are cut off.

    The head has accepted an order to open after it wrote its record.
    """
    simulation.add("a", "g", 0, "ready", draining=True)
    simulation.actual["a"] = parts.worker(
        "a", "g", 0, service="chat", draining=True
    )
    simulation.add("b", "g", 1, "ready")
    simulation.add("c")
    await simulation.clock.advance(4_000)
    assert simulation.orders() == []
    simulation.publish()
    await simulation.clock.advance(500)
    assert simulation.orders()[:1] == [("close", "a")]


async def test_a_group_that_opens_after_its_head_was_asked_is_kept(simulation):
    """Guards against requests that are cut off.

    A new owner may ask the head right before it obeys an order of the last one.
    """
    simulation.add("a", "g", 0, "ready")
    await simulation.clock.advance(1_400)
    simulation.add("a", "g", 0)
    simulation.add("b", "g", 1, "ready")
    simulation.add("c")
    await simulation.clock.advance(3_000)
    assert simulation.orders("leave", "close", "join") == []


async def test_a_group_that_another_owner_has_opened_again_is_kept(simulation):
    """Guards against requests that are cut off.

    This gateway closed the group before the domain had another owner.
    """
    simulation.add("a", "g", 0, draining=True)
    simulation.add("b", "g", 1, "ready")
    await simulation.clock.advance(1_400)
    assert simulation.orders() == [("close", "a")]
    simulation.ownership.suspended = lambda: True
    await simulation.clock.advance(600)
    simulation.add("a", "g", 0)
    simulation.ownership.suspended = lambda: False
    simulation.add("c")
    await simulation.clock.advance(3_000)
    assert simulation.orders() == [("close", "a")]


async def test_a_group_is_not_opened_while_it_is_being_closed(simulation):
    """Guards against requests that are cut off.

    The head's record returns before it is known whether the head has closed.
    """
    simulation.add("a", "g", 0)
    simulation.add("b", "g", 1, "ready")
    await simulation.clock.advance(1_400)
    simulation.results["close", "a"] = RESULT.UNKNOWN
    simulation.gateway.drop("a")
    await simulation.clock.advance(200)
    assert ("close", "a") in simulation.orders()
    simulation.gateway.add(parts.worker("a", "g", 0, "ready", service="chat"))
    await simulation.clock.advance(200)
    assert not simulation.orders("open")


async def test_a_group_is_adopted_although_its_head_was_asked_before(
    simulation,
):
    """Guards against a whole group that is formed again at a hand-over.

    The record of one member reached the new owner late.
    """
    simulation.add("a", "g", 0, "ready")
    await simulation.clock.advance(1_400)
    assert simulation.controller.dissolution.idle
    simulation.add("b", "g", 1, "ready")
    await simulation.clock.advance(500)
    assert set(simulation.orders()) == {("open", "a")}


async def test_a_head_that_serves_is_not_closed_by_the_word_of_a_peer(
    simulation,
):
    """Guards against requests that are cut off.

    The path between a peer and the head may be broken.
    """
    simulation.add("a", "g", 0)
    simulation.add("b", "g", 1, "ready")
    await simulation.clock.advance(1_400)
    simulation.gateway.worker_health.update_peer("g2", (), (), {"a": 0})
    await simulation.clock.advance(2_000)
    assert simulation.orders() == []


async def test_each_attempt_to_join_leaves_the_former_group_again(simulation):
    """Guards against a worker in two groups at once.

    Between two attempts, a delayed copy of an earlier join may return the
    worker to a group whose head can't be told to leave.
    """
    await make_head_unreachable(simulation)
    simulation.results["join", "b"] = RESULT.UNKNOWN
    await simulation.clock.advance(3_000)
    orders = [
        operation
        for operation, worker_id in simulation.orders()
        if worker_id == "b"
    ]
    joins = orders.count("join")
    assert joins > 1 and orders == ["leave", "join"] * joins


async def test_owners_reach_workers_through_other_gateways(simulation):
    """Guards against members of a group that no longer serve.

    The owner's path to the head may be the only one that is broken.
    """
    simulation.add("a", "g", 0, draining=True)
    simulation.add("b", "g", 1, "ready")
    simulation.add("c")
    simulation.broken_paths.add("a")
    await simulation.clock.advance(3_000)
    order = simulation.orders()
    assert order.index(("close", "a")) < order.index(("leave", "a"))
    assert sorted(simulation.orders("join")) == [("join", "b"), ("join", "c")]


async def test_groups_are_kept_after_all_gateways_were_lost(simulation):
    """Guards against a whole fleet that loads its models again."""
    simulation.add("a", "g", 0)
    simulation.add("b", "g", 1, "ready")
    simulation.add("c", "h", 0, "ready")
    simulation.add("d", "h", 1, "joining")
    await simulation.clock.advance(2_000)
    assert simulation.orders() == []
    simulation.ready("d")
    simulation.publish()
    await simulation.clock.advance(500)
    assert simulation.orders() == [("open", "c")]


async def test_a_refused_token_stops_all_orders(simulation):
    """Guards against orders in a domain that another gateway now owns."""
    simulation.results["join", "a"] = RESULT.FENCED
    simulation.add("a")
    simulation.add("b")
    await simulation.clock.advance(8_000)
    assert simulation.orders().count(("join", "a")) == 1
    assert not simulation.orders("open")
    count = len(simulation.sent)
    simulation.results.clear()
    simulation.store.generation = 2
    await simulation.clock.advance(4_000)
    assert {fence for _, _, fence in simulation.sent[count:]} == {2}


async def test_a_gateway_without_ownership_sends_no_order(simulation):
    """Guards against groups formed by two gateways.

    Ownership can't be confirmed during an outage of the store.
    """
    simulation.store.down = True
    await simulation.clock.advance(simulation.ownership.ttl_ms)
    simulation.add("a")
    simulation.add("b")
    await simulation.clock.advance(8_000)
    assert simulation.sent == []


async def test_epochs_and_names_are_never_used_twice(simulation):
    """Guards against delayed orders that affect a later group.

    An order to an abandoned group may arrive after its members have joined the
    next one.
    """
    simulation.results["join", "b"] = RESULT.CONFLICT
    simulation.add("a")
    simulation.add("b")
    seen = []
    for _ in range(60):
        await simulation.clock.advance(100)
        seen.extend(
            key
            for key in simulation.controller.formations.forming
            if key not in seen
        )
    assert len(seen) > 1
    assert len({name for name, _ in seen}) == len(seen)
    assert [epoch for _, epoch in seen] == sorted({e for _, e in seen})


# An owner that was partitioned kept workers lost for all gateways, as it gave
# their domain up before they answered again.
async def test_a_worker_is_probed_again_by_the_gateway_that_found_it_lost(
    simulation,
):
    simulation.add("a")
    simulation.gateway.worker_health.lost["a"] = 0
    simulation.ownership.suspended = lambda: True
    await simulation.clock.advance(3_000)
    assert not simulation.gateway.worker_health.lost


async def test_a_partitioned_gateway_finds_no_worker_lost(simulation):
    """Guards against probes that end after the partition was noticed."""
    simulation.add("a")
    health = simulation.gateway.worker_health
    worker = simulation.actual.pop("a")
    health.partitioned = lambda: True
    await simulation.controller.prober.probe_worker(worker)
    assert not health.lost
    health.partitioned = lambda: False
    await simulation.controller.prober.probe_worker(worker)
    assert health.lost == {"a": 0} and health.report()["lost"] == {"a": 0}
    health.partitioned = lambda: True
    assert health.report()["lost"] == {}
