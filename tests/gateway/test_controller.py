"""Tests of forming and repairing groups with scripted workers."""

import asyncio
import dataclasses
import random

import pytest

from oleanderbay.gateway import (
    controller,
    demand,
    domain_ownership,
    interfaces,
    workers,
)
from oleanderbay.process import clock as clocks
from tests.gateway import parts

RESULT = interfaces.OrderResult
STATE = workers.MemberState


class World:
    """Workers that obey orders at once and are ready when a test says so.

    Attributes:
        given: Orders as operation and worker, with the token.
        results: What a worker answers to an operation in place of obeying.
    """

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.known = parts.Known(self.clock)
        self.given = []
        self.results = {}
        self.actual = {}
        self.steady_ms = 10_000
        self.store = parts.Store()
        self.owner = domain_ownership.DomainOwnership(
            self.store, self.clock, "g1", 1_500, 500
        )
        self.keeper = controller.GroupController(
            self.known.state,
            lambda: self.steady_ms,
            self.known.evidence,
            self.owner,
            self,
            self.known.loads,
            demand.Demand(self.clock),
            parts.SETTINGS,
            self.clock,
            random.Random(1),
            "g1",
        )
        self.tasks = [
            asyncio.create_task(self.owner.run()),
            asyncio.create_task(self.keeper.run()),
        ]

    def add(self, worker_id, group=None, rank=0, member="open", **changes):
        made = parts.worker(
            worker_id, group, rank, member, service="chat", **changes
        )
        self.actual[worker_id] = made
        self.known.add(made)

    def ready(self, worker_id):
        self._move(worker_id, STATE.READY)

    def publish(self):
        self.known.add(*self.actual.values())

    def _move(self, worker_id, state):
        made = self.actual[worker_id]
        self.actual[worker_id] = dataclasses.replace(
            made, membership=dataclasses.replace(made.membership, state=state)
        )

    def _order(self, operation, worker, fence):
        self.given.append((operation, worker.id, fence))
        return self.results.get((operation, worker.id), RESULT.DONE)

    async def join(self, worker, fence, group, epoch, model, members):
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

    async def open(self, worker, fence, group, epoch):
        result = self._order("open", worker, fence)
        if result is RESULT.DONE:
            self._move(worker.id, STATE.OPEN)
        return result

    async def close_group(self, worker, fence, group, epoch, abrupt):
        result = self._order("close", worker, fence)
        if result is RESULT.DONE:
            self._move(worker.id, STATE.READY)
        return result

    async def leave(self, worker, fence, group, epoch):
        result = self._order("leave", worker, fence)
        if result is RESULT.DONE:
            self.actual[worker.id] = dataclasses.replace(
                self.actual[worker.id], membership=None
            )
        return result

    async def stage(self, worker, fence, model):
        return self._order("stage", worker, fence)

    async def healthy(self, worker, path, timeout_ms):
        return worker.id in self.actual

    async def report(self, worker, timeout_ms):
        if worker.id not in self.actual:
            return RESULT.UNREACHABLE
        made = self.actual[worker.id]
        return interfaces.Report(
            membership=made.membership, started_ms=made.started_ms
        )

    def orders(self, *operations):
        """Returns orders without their tokens; staging harms no group."""
        return [
            (operation, worker_id)
            for operation, worker_id, _ in self.given
            if operation in (operations or ("join", "open", "close", "leave"))
        ]


@pytest.fixture
async def world():
    made = World()
    yield made
    for task in made.tasks:
        task.cancel()


async def test_no_group_opens_before_all_members_are_ready(world):
    """Requests would begin in an incomplete group."""
    world.add("a")
    world.add("b")
    await world.clock.advance(1_400)
    assert sorted(world.orders()) == [("join", "a"), ("join", "b")]
    world.ready("a")
    await world.clock.advance(2_000)
    assert not world.orders("open")
    world.ready("b")
    await world.clock.advance(400)
    assert world.orders("open") == [("open", "a")]


async def test_no_worker_is_reused_by_an_old_record(world):
    """Orders given while the store was down are not in the records yet."""
    world.add("a")
    world.add("b")
    open_head = parts.worker("a", "g", 0, service="chat")
    world.actual["a"] = open_head
    await world.clock.advance(5_000)
    assert not world.orders()


async def test_nothing_is_planned_until_the_records_are_current(world):
    """The first records after an outage may be older than the outage."""
    world.steady_ms = 0
    world.add("a")
    world.add("b")
    await world.clock.advance(5_000)
    assert not world.orders()
    world.steady_ms = 10_000
    await world.clock.advance(2_000)
    assert world.orders("join")


@pytest.mark.parametrize("loss", ["restarts", "drains", "is_lost"])
async def test_no_group_opens_after_a_ready_member_is_lost(world, loss):
    """A member that was ready may be gone before the last one is ready."""
    world.add("a")
    world.add("b")
    await world.clock.advance(1_400)
    world.ready("b")
    await world.clock.advance(1_000)
    if loss == "is_lost":
        world.known.evidence.lost["b"] = 0
    else:
        changes = (
            {"started_ms": 9} if loss == "restarts" else {"draining": True}
        )
        world.known.add(parts.worker("b", service="chat", **changes))
    world.ready("a")
    await world.clock.advance(1_000)
    assert not world.orders("open")


async def test_members_join_elsewhere_only_after_their_head_closed(world):
    """The head goes on to accept requests that nobody finishes."""
    world.add("a", "g", 0)
    world.add("c")
    world.results["close", "a"] = RESULT.UNKNOWN
    await world.clock.advance(5_000)
    assert set(world.orders()) == {("close", "a")}
    del world.results["close", "a"]
    await world.clock.advance(3_000)
    order = world.orders()
    assert order.index(("join", "a")) < order.index(("join", "c"))
    assert ("close", "a") in order


async def test_an_absent_member_is_lost_only_if_it_does_not_answer(world):
    """A worker that only the store can't reach still does its part."""
    world.add("a", "g", 0)
    world.add("b", "g", 1, "ready")
    await world.clock.advance(1_400)
    world.known.drop("b")
    await world.clock.advance(3_000)
    assert not world.orders()
    del world.actual["b"]
    await world.clock.advance(3_000)
    assert ("close", "a") in world.orders()


async def unreachable_head(world):
    world.add("a", "g", 0)
    world.add("b", "g", 1, "ready")
    world.add("c")
    await world.clock.advance(1_400)
    del world.actual["a"]
    world.known.drop("a")


async def test_members_leave_a_group_whose_head_is_unreachable(world):
    """The head must not find them in its group when it is heard again."""
    await unreachable_head(world)
    await world.clock.advance(parts.SETTINGS.workers.stall_ms + 1_000)
    assert world.orders("leave") == [("leave", "b")]
    order = world.orders()
    assert order.index(("leave", "b")) < order.index(("join", "b"))
    assert sorted(world.orders("join")) == [("join", "b"), ("join", "c")]


async def test_a_late_open_finds_no_group(world):
    """An earlier owner's order may arrive after the members have left."""
    world.add("a", "g", 0, "ready", draining=True)
    world.add("b", "g", 1, "ready")
    world.add("c")
    world.results["leave", "a"] = RESULT.UNKNOWN
    await world.clock.advance(4_000)
    assert set(world.orders()) == {("leave", "a")}
    del world.results["leave", "a"]
    await world.clock.advance(4_000)
    assert sorted(world.orders("join")) == [("join", "b"), ("join", "c")]


async def test_groups_are_used_again_after_all_gateways_were_lost(world):
    """A whole fleet would load its models again."""
    world.add("a", "g", 0)
    world.add("b", "g", 1, "ready")
    world.add("c", "h", 0, "ready")
    world.add("d", "h", 1, "joining")
    await world.clock.advance(2_000)
    assert world.orders() == []
    world.ready("d")
    world.publish()
    await world.clock.advance(500)
    assert world.orders() == [("open", "c")]


async def test_a_refused_token_stops_all_orders(world):
    """Another gateway owns the domain by now."""
    world.results["join", "a"] = RESULT.FENCED
    world.add("a")
    world.add("b")
    await world.clock.advance(8_000)
    assert world.orders().count(("join", "a")) == 1
    assert not world.orders("open")
    count = len(world.given)
    world.results.clear()
    world.store.generation = 2
    await world.clock.advance(4_000)
    assert {fence for _, _, fence in world.given[count:]} == {2}


async def test_a_gateway_without_ownership_gives_no_order(world):
    """During an outage of the store no groups are formed."""
    world.store.down = True
    await world.clock.advance(world.owner.ttl_ms)
    world.add("a")
    world.add("b")
    await world.clock.advance(8_000)
    assert world.given == []


async def test_epochs_and_names_are_never_used_twice(world):
    """A late order of a given-up group would meet its successor."""
    world.results["join", "b"] = RESULT.CONFLICT
    world.add("a")
    world.add("b")
    seen = []
    for _ in range(60):
        await world.clock.advance(100)
        seen.extend(
            key for key in world.keeper.formations.forming if key not in seen
        )
    assert len(seen) > 1
    assert len({name for name, _ in seen}) == len(seen)
    assert [epoch for _, epoch in seen] == sorted({e for _, e in seen})
