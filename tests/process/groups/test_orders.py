"""Tests of orders to engines that restart, lag or lose responses."""

import pytest

from oleanderbay.native import interfaces as native
from tests.process import world as worlds


async def test_restarted_member_needs_a_new_epoch():
    """A restarted member lost its state and must not serve in the old epoch."""
    world = await worlds.started(per_domain=2)
    group = world.groups()[0]
    engine = world.engine(group.members[1])
    engine.set_faults({"restart": True})
    engine.records.clear()
    await world.run(3_000)
    assert group.id not in world.offered_by_all()
    fences = [r["order"]["fence"] for r in engine.records if "order" in r]
    assert all(fence > group.epoch for fence in fences), (
        "order of an old epoch was sent"
    )
    await world.run(5_000)
    repaired = next(g for g in world.groups() if g.id == group.id)
    assert repaired.epoch > group.epoch
    assert repaired.members == group.members
    assert group.id in world.offered_by_all()


@pytest.mark.parametrize("checks", [True, False])
async def test_proposer_paused_before_its_orders(checks):
    """A resumed entry must send no orders of an epoch that has ended."""
    world = await worlds.started(
        entries=3,
        checks_fencing=checks,
        service={"engines_check_fencing": checks},
    )
    old = worlds.by_zone(world, "za")[0]
    paused = world.entries[0]
    paused.paused = True
    world.engine(old.members[0]).down = True
    await world.run(20_000)
    newer = worlds.by_zone(world, "za")[0]
    assert newer.epoch > old.epoch
    world.engine(old.members[0]).down = False
    before = len(world.sent_orders)
    paused.paused = False
    # The entry resumes before it reads the log: its catalogue is outdated and
    # its lease has expired.
    await paused.orders.send_due()
    assert len(world.sent_orders) == before
    await world.run(5_000)
    fences = [o.fence for _, _, o in world.sent_orders[before:]]
    assert all(fence >= newer.epoch for fence in fences)


@pytest.mark.parametrize("checks", [True, False])
async def test_order_that_arrives_late(checks):
    """A group must not serve after an old order took one of its members."""
    world = await worlds.started(checks_fencing=checks)
    group = worlds.by_zone(world, "za")[0]
    engine = world.engine(group.members[0])
    late = native.Order(
        fence=1,
        group="old",
        service="s",
        rank=0,
        size=2,
        model="m",
        model_version="0",
    )
    refused = engine.order(late)
    assert bool(refused) is checks
    await world.run(2_500)
    assert (group.id in world.offered_by_all()) is checks
    await world.run(30_000)
    assert group.id in world.offered_by_all()


async def test_response_to_an_order_is_lost():
    """A lost response must not lead to an order that restarts the load."""
    world = worlds.World(
        worlds.lines_of("a", 2), worlds.items_of("a", 1), load_ms=3_000
    )
    for engine in world.engines.values():
        engine.lose_answers = 1
    await world.run(10_000)
    assert len(world.offered_by_all()) == 1
    assert len(world.sent_orders) == 2


# Around a hand-over between two entries, both acted for a moment: the former
# one was paused after its checks and before the order was written.
async def test_an_order_is_not_written_after_its_lease():
    world = worlds.World(
        worlds.lines_of("a", 2), worlds.items_of("a", 1), load_ms=3_000
    )
    for engine in world.engines.values():
        engine.on_connect = lambda: world.clock.set_ms(
            world.clock.now_ms() + 10_000
        )
    await world.run(10_000)
    assert not world.sent_orders
    for engine in world.engines.values():
        engine.on_connect = lambda: None
    await world.run(20_000)
    assert world.sent_orders and len(world.offered_by_all()) == 1
