"""Tests that only complete and healthy groups are eligible."""

from oleanderbay.native import interfaces as native
from tests.process import world as worlds


async def test_one_flap_does_not_rebuild_the_group():
    """A group must not be re-formed, and its weights reloaded, after one flap.

    A member that is unreachable for a few seconds only takes its group out
    until the hold-down ends.
    """
    world = await worlds.started()
    group = world.groups()[0]
    world.engine(group.members[0]).down = True
    await world.run(6_000)
    world.engine(group.members[0]).down = False
    await world.run(3_000)
    assert group.id not in world.offered_by_all(), "must be stable for 5 s"
    await world.run(6_000)
    assert group.id in world.offered_by_all()
    assert world.groups()[0].epoch == group.epoch


async def test_leaving_instance_gets_no_new_work():
    """A group with a leaving instance must not get new work (P8)."""
    world = await worlds.started()
    group = world.groups()[0]
    id = group.members[0]
    world.lines[id] = worlds.replaced(
        world.lines[id], state=native.InstanceState.LEAVING
    )
    await world.run(1_000)
    assert all(group.id not in ids for ids in world.offered().values())


async def test_one_reader_cut_off_from_a_member():
    """A group stays eligible while one of its readers can reach all members."""
    world = await worlds.started(entries=4)
    group = worlds.by_zone(world, "za")[0]
    world.cut.add(("e0", group.members[0]))
    await world.run(5_000)
    assert group.id in world.offered_by_all()


async def test_suspicion_spreads_and_ends():
    """A suspicion must reach all entries, and end after the hold-down."""
    world = await worlds.started()
    group = world.groups()[0]
    world.entries[0].eligible.suspect(group.id, "connection reset")
    await world.deliver(world.entries[0])
    assert all(group.id not in ids for ids in world.offered().values())
    await world.run(6_000)
    assert group.id in world.offered_by_all()
