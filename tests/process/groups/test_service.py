"""Tests of group repair, from the loss of a member to the new epoch."""

import pytest

from oleanderbay.version import resources
from tests.process import world as worlds

Stage = resources.ChangeStage


async def test_dead_member_takes_its_group_out_and_is_replaced():
    """A group must not serve while a member is missing (P1)."""
    world = await worlds.started()
    group = worlds.by_zone(world, "za")[0]
    world.engine(group.members[1]).down = True
    await world.run(2_500)
    assert all(group.id not in ids for ids in world.offered().values())
    assert worlds.by_zone(world, "za")[0] == group
    await world.run(15_000)
    repaired = worlds.by_zone(world, "za")[0]
    assert repaired.members[0] == group.members[0]
    assert repaired.members[1] not in group.members
    assert group.id in world.offered_by_all()


@pytest.mark.parametrize("ticks", range(1, 25, 3))
@pytest.mark.parametrize("change", [None, "drain", "roll"])
async def test_member_dies_at_any_moment(ticks, change):
    """The loss of a member at any time must not block forming or changes."""
    world = worlds.World(
        worlds.lines_of("abc", 4), worlds.items_of("abc", 2), load_ms=1_500
    )
    if change:
        await world.run(8_000)
    if change == "drain":
        world.change(id="c", kind=resources.ChangeKind.DRAIN_ZONE, zone="za")
    elif change == "roll":
        world.change(
            id="c",
            kind=resources.ChangeKind.ROLL_MODEL,
            service="s",
            model_version="2",
        )
    await world.run(ticks * worlds.TICK_MS)
    newest = max(world.groups(), key=lambda g: g.epoch, default=None)
    dead = newest.members[1] if newest else "a0"
    world.engine(dead).down = True
    await world.run(60_000)
    assert len(world.offered_by_all()) == 2
    assert dead not in {m for g in world.groups() for m in g.members}
    assert change is None or world.stage("c") is Stage.DONE


async def test_log_down_in_the_middle_of_a_repair():
    """A log outage must not allow orders without a lease or lose a repair."""
    world = await worlds.started()
    group = worlds.by_zone(world, "za")[0]
    world.engine(group.members[0]).down = True
    await world.run(9_000)
    world.log_down = True
    before = len(world.sent_orders)
    await world.run(30_000)
    assert worlds.by_zone(world, "za") == [group]
    assert len(world.sent_orders) == before
    assert group.id not in set().union(*world.offered().values())
    assert len(world.offered_by_all()) == 1, "the other group must keep serving"
    world.log_down = False
    await world.run(10_000)
    assert len(world.offered_by_all()) == 2
