"""Tests of planned changes, each with at most one failure."""

import pytest

from oleanderbay.version import resources
from tests.process import world as worlds

Stage = resources.ChangeStage


async def test_drain_waits_for_streams_and_replaces_first():
    """A drain replaces groups first and interrupts no stream (P9, P4)."""
    world = await worlds.started(domains="ab", per_domain=4, groups=2)
    group = worlds.by_zone(world, "za")[0]
    engine = world.engine(group.members[0])
    engine.add_stream()
    world.change(id="c", kind=resources.ChangeKind.DRAIN_ZONE, zone="za")
    await world.run(1_000)
    assert group.id not in set().union(*world.offered().values())
    await world.run(30_000)
    assert world.stage("c") is Stage.DRAINING
    assert len(worlds.by_zone(world, "zb")) == 2
    assert group in world.groups()
    engine.running.clear()
    await world.run(5_000)
    assert world.stage("c") is Stage.DONE
    assert not worlds.by_zone(world, "za")
    assert not [r for r in engine.records if r["event"] == "interrupted"]


async def test_drain_with_start_time_prepares_first():
    """Groups must not stop before their replacements serve."""
    world = await worlds.started(
        domains="ab", per_domain=4, groups=2, load_ms=1_000
    )
    group = worlds.by_zone(world, "za")[0]
    start = world.clock.wall_ms() + 2_000
    world.change(
        id="c",
        kind=resources.ChangeKind.DRAIN_ZONE,
        zone="za",
        start_at_ms=start,
    )
    while group.id in world.offered_by_all():
        await world.run(500)
        assert world.clock.now_ms() < 60_000
        serving = world.offered_by_all()
    assert len(serving) >= 2
    await world.run(20_000)
    assert world.stage("c") is Stage.DONE


async def test_domain_lost_during_a_drain():
    """A drain must not wait forever for a group whose members are lost."""
    world = await worlds.started(domains="abc", per_domain=2, groups=3)
    world.change(id="c", kind=resources.ChangeKind.DRAIN_ZONE, zone="za")
    await world.run(3_000)
    for id in ("a0", "a1"):
        world.engine(id).down = True
    await world.run(40_000)
    assert world.stage("c") is Stage.DONE
    assert len(world.offered_by_all()) == 2
    pending = world.entries[0].proposer.pending
    assert pending[0].nearest_shape == 0


async def test_zone_restored_while_draining():
    """Restoring a zone must cancel its drain."""
    world = await worlds.started(domains="ab", per_domain=2, groups=2)
    group = worlds.by_zone(world, "za")[0]
    world.engine(group.members[0]).add_stream()
    world.change(id="c", kind=resources.ChangeKind.DRAIN_ZONE, zone="za")
    await world.run(10_000)
    assert len(world.offered_by_all()) == 1
    world.change(id="d", kind=resources.ChangeKind.RESTORE_ZONE, zone="za")
    await world.run(10_000)
    assert world.stage("c") is Stage.CANCELLED
    assert world.stage("d") is Stage.DONE
    assert group.id in world.offered_by_all()


async def test_retired_instance_leaves_after_its_streams():
    """Retiring a member must not interrupt a stream (P8, P9)."""
    world = await worlds.started(domains="ab", per_domain=3, groups=2)
    group = worlds.by_zone(world, "za")[0]
    engine = world.engine(group.members[0])
    engine.add_stream()
    world.change(
        id="c",
        kind=resources.ChangeKind.RETIRE_INSTANCES,
        instances=(group.members[1],),
    )
    await world.run(15_000)
    assert group.id not in world.offered_by_all()
    assert group in world.groups()
    engine.running.clear()
    await world.run(30_000)
    assert world.stage("c") is Stage.DONE
    repaired = worlds.by_zone(world, "za")[0]
    assert repaired.id == group.id, (
        "a spare must replace the member in the same group"
    )
    members = {m for g in world.groups() for m in g.members}
    assert group.members[1] not in members
    assert len(world.offered_by_all()) == 2
    assert not [r for r in engine.records if r["event"] == "interrupted"]


async def test_retired_instance_without_a_spare_ends_its_group():
    """A retirement must not wait forever for a spare."""
    world = await worlds.started(domains="ab", per_domain=2, groups=2)
    group = worlds.by_zone(world, "za")[0]
    world.change(
        id="c",
        kind=resources.ChangeKind.RETIRE_INSTANCES,
        instances=(group.members[1],),
    )
    await world.run(20_000)
    assert world.stage("c") is Stage.DONE
    assert not worlds.by_zone(world, "za")


@pytest.mark.parametrize("per_domain", [2, 4])
async def test_roll_goes_group_by_group(per_domain):
    """A rolling update must not stop all groups of a service at once."""
    world = await worlds.started(
        domains="ab", per_domain=per_domain, groups=2, load_ms=1_000
    )
    world.change(
        id="c",
        kind=resources.ChangeKind.ROLL_MODEL,
        service="s",
        model_version="2",
    )
    min_serving = 2
    while world.stage("c") is not Stage.DONE:
        await world.run(500)
        min_serving = min(min_serving, len(world.offered_by_all()))
        assert world.clock.now_ms() < 240_000, world.entries[
            0
        ].change_controller.progress
    assert min_serving == (2 if per_domain == 4 else 1)
    assert {g.model_version for g in world.groups()} == {"2"}
    assert len(world.offered_by_all()) == 2
    events = [r for e in world.engines.values() for r in e.records]
    assert not [r for r in events if r["event"] == "interrupted"]
