"""Failures of groups, orders and planned changes, one at a time."""

import pytest

from oleanderbay.native import interfaces as native
from oleanderbay.version import resources
from tests.process import world as worlds

Stage = resources.ChangeStage


async def started(domains="ab", per_domain=3, groups=2, **options):
    """A world in which every group that fits serves."""
    service = options.pop("service", {})
    world = worlds.World(
        worlds.lines_of(domains, per_domain),
        worlds.items_of(sorted({d[0] for d in domains}), groups, **service),
        **options,
    )
    await world.run(5_000)
    assert len(world.offered_by_all()) == groups
    return world


def by_zone(world, zone):
    return [group for group in world.groups() if group.zone == zone]


async def test_dead_member_takes_its_group_out_and_is_replaced():
    """Guards against a group that serves without a member (P1)."""
    world = await started()
    group = by_zone(world, "za")[0]
    world.engine(group.members[1]).down = True
    await world.run(2_500)
    assert all(group.id not in ids for ids in world.offered().values())
    assert by_zone(world, "za")[0] == group
    await world.run(15_000)
    repaired = by_zone(world, "za")[0]
    assert repaired.members[0] == group.members[0]
    assert repaired.members[1] not in group.members
    assert group.id in world.offered_by_all()


@pytest.mark.parametrize("ticks", range(1, 25, 3))
@pytest.mark.parametrize("change", [None, "drain", "roll"])
async def test_member_dies_at_any_moment(ticks, change):
    """Guards against a step that only works if no member dies during it."""
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


async def test_one_flap_does_not_rebuild_the_group():
    """Guards against a load of weights for a pause of a few seconds."""
    world = await started()
    group = world.groups()[0]
    world.engine(group.members[0]).down = True
    await world.run(6_000)
    world.engine(group.members[0]).down = False
    await world.run(3_000)
    assert group.id not in world.offered_by_all(), "must be stable for 5 s"
    await world.run(6_000)
    assert group.id in world.offered_by_all()
    assert world.groups()[0].epoch == group.epoch


async def test_restarted_member_needs_a_new_epoch():
    """Guards against a member that lost its state and serves on."""
    world = await started(per_domain=2)
    group = world.groups()[0]
    engine = world.engine(group.members[1])
    engine.set_faults({"restart": True})
    engine.records.clear()
    await world.run(3_000)
    assert group.id not in world.offered_by_all()
    fences = [r["order"]["fence"] for r in engine.records if "order" in r]
    assert all(fence > group.epoch for fence in fences), "old epoch ordered"
    await world.run(5_000)
    again = next(g for g in world.groups() if g.id == group.id)
    assert again.epoch > group.epoch
    assert again.members == group.members
    assert group.id in world.offered_by_all()


@pytest.mark.parametrize("checks", [True, False])
async def test_proposer_paused_before_its_orders(checks):
    """Guards against orders of an epoch that ended during a pause."""
    world = await started(
        entries=3,
        checks_fencing=checks,
        service={"engines_check_fencing": checks},
    )
    old = by_zone(world, "za")[0]
    paused = world.entries[0]
    paused.paused = True
    world.engine(old.members[0]).down = True
    await world.run(20_000)
    newer = by_zone(world, "za")[0]
    assert newer.epoch > old.epoch
    world.engine(old.members[0]).down = False
    before = len(world.sent_orders)
    paused.paused = False
    # It wakes in the middle of a step: the catalogue is the old one and the
    # lease has ended.
    await paused.orders.step()
    assert len(world.sent_orders) == before
    await world.run(5_000)
    fences = [o.fence for _, _, o in world.sent_orders[before:]]
    assert all(fence >= newer.epoch for fence in fences)


@pytest.mark.parametrize("checks", [True, False])
async def test_order_that_arrives_late(checks):
    """Guards against a group that serves after an old order took a member."""
    world = await started(checks_fencing=checks)
    group = by_zone(world, "za")[0]
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


async def test_answer_to_an_order_is_lost():
    """Guards against a second order that restarts a load in progress."""
    world = worlds.World(
        worlds.lines_of("a", 2), worlds.items_of("a", 1), load_ms=3_000
    )
    for engine in world.engines.values():
        engine.lose_answers = 1
    await world.run(10_000)
    assert len(world.offered_by_all()) == 1
    assert len(world.sent_orders) == 2


async def test_two_proposers_make_one_group():
    """Guards against an instance in two groups when entries race (P2)."""
    world = worlds.World(worlds.lines_of("ab", 2), worlds.items_of("ab", 1))
    for _ in range(2):
        for entry in world.entries:
            entry.follow()
            await entry.inventory.step()
            await entry.reports.step()
            await world.deliver(entry)
            if not world.clock.now_ms():
                await entry.proposer.step()
        await world.clock.advance(3_000)
    for entry in world.entries:
        # Each believes that it is alone, so that none waits for another.
        entry.live = lambda entry=entry: (entry.me,)
        entry.confirmed_ms = world.clock.now_ms()
        await entry.reports.step()
        await entry.proposer.step()
        del entry.live
    assert len(world.log) == 4
    await world.run(20_000)
    assert len(world.groups()) == 1
    assert len(world.offered_by_all()) == 1


async def test_append_answer_lost_forms_one_group():
    """Guards against a second group for an append that took effect."""
    world = worlds.World(worlds.lines_of("ab", 2), worlds.items_of("ab", 1))
    world.lose_appends = 2
    await world.run(10_000)
    assert len(world.groups()) == 1


async def test_lost_domain_is_one_event():
    """Guards against repairs inside a domain that is gone."""
    world = await started(domains=("a1", "b1"), per_domain=4, groups=2)
    lost = by_zone(world, "za")[0]
    for id in ("a10", "a11", "a12", "a13"):
        world.engine(id).down = True
    before = len(world.log)
    await world.run(30_000)
    assert {g.zone for g in world.groups()} == {"zb"}
    assert lost.id not in {g.id for g in world.groups()}
    assert len(world.log) == before + 2, "one dissolve and one assign"
    assert len(world.offered_by_all()) == 2


async def test_drain_waits_for_streams_and_replaces_first():
    """Guards against a planned stop that ends a stream (P9, P4)."""
    world = await started(domains="ab", per_domain=4, groups=2)
    group = by_zone(world, "za")[0]
    engine = world.engine(group.members[0])
    engine.add_stream()
    world.change(id="c", kind=resources.ChangeKind.DRAIN_ZONE, zone="za")
    await world.run(1_000)
    assert group.id not in set().union(*world.offered().values())
    await world.run(30_000)
    assert world.stage("c") is Stage.DRAINING
    assert len(by_zone(world, "zb")) == 2
    assert group in world.groups()
    engine.running.clear()
    await world.run(5_000)
    assert world.stage("c") is Stage.DONE
    assert not by_zone(world, "za")
    assert not [r for r in engine.records if r["event"] == "interrupted"]


async def test_drain_with_start_time_prepares_first():
    """Guards against a drain that breaks before it makes."""
    world = await started(domains="ab", per_domain=4, groups=2, load_ms=1_000)
    group = by_zone(world, "za")[0]
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
    """Guards against a drain that waits forever for a dead group."""
    world = await started(domains="abc", per_domain=2, groups=3)
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
    """Guards against a drain that goes on after a restore."""
    world = await started(domains="ab", per_domain=2, groups=2)
    group = by_zone(world, "za")[0]
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
    """Guards against a retired member that ends a stream (P8, P9)."""
    world = await started(domains="ab", per_domain=3, groups=2)
    group = by_zone(world, "za")[0]
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
    again = by_zone(world, "za")[0]
    assert again.id == group.id, "the spare takes the place in the group"
    members = {m for g in world.groups() for m in g.members}
    assert group.members[1] not in members
    assert len(world.offered_by_all()) == 2
    assert not [r for r in engine.records if r["event"] == "interrupted"]


async def test_retired_instance_without_a_spare_ends_its_group():
    """Guards against a retirement that waits forever for a spare."""
    world = await started(domains="ab", per_domain=2, groups=2)
    group = by_zone(world, "za")[0]
    world.change(
        id="c",
        kind=resources.ChangeKind.RETIRE_INSTANCES,
        instances=(group.members[1],),
    )
    await world.run(20_000)
    assert world.stage("c") is Stage.DONE
    assert not by_zone(world, "za")


async def test_leaving_instance_gets_no_new_work():
    """Guards against new work at an instance that announced to leave (P8)."""
    world = await started()
    group = world.groups()[0]
    id = group.members[0]
    world.lines[id] = worlds.replaced(
        world.lines[id], state=native.InstanceState.LEAVING
    )
    await world.run(1_000)
    assert all(group.id not in ids for ids in world.offered().values())


@pytest.mark.parametrize("per_domain", [2, 4])
async def test_roll_goes_group_by_group(per_domain):
    """Guards against a roll that takes the whole service out."""
    world = await started(
        domains="ab", per_domain=per_domain, groups=2, load_ms=1_000
    )
    world.change(
        id="c",
        kind=resources.ChangeKind.ROLL_MODEL,
        service="s",
        model_version="2",
    )
    fewest = 2
    while world.stage("c") is not Stage.DONE:
        await world.run(500)
        fewest = min(fewest, len(world.offered_by_all()))
        assert world.clock.now_ms() < 240_000, world.entries[0].driver.progress
    assert fewest == (2 if per_domain == 4 else 1)
    assert {g.model_version for g in world.groups()} == {"2"}
    assert len(world.offered_by_all()) == 2
    events = [r for e in world.engines.values() for r in e.records]
    assert not [r for r in events if r["event"] == "interrupted"]


async def test_instance_list_lags():
    """Guards against a group formed from instances that are gone."""
    world = await started(domains="a", per_domain=4, groups=1)
    spares = {"a0", "a1", "a2", "a3"} - set(world.groups()[0].members)
    gone = sorted(spares)[0]
    # The list still shows the instance; its reports have stopped.
    world.engine(gone).down = True
    await world.run(5_000)
    world.engine(world.groups()[0].members[0]).down = True
    await world.run(15_000)
    assert gone not in world.groups()[0].members
    assert len(world.offered_by_all()) == 1


async def test_weight_store_stalled():
    """Guards against loads that are started without a store."""
    world = worlds.World(
        worlds.lines_of("a", 2),
        worlds.items_of("a", 1, weight_bytes=100),
    )
    world.store_rate = 0
    await world.run(5_000)
    assert not world.groups()
    assert "stalled" in world.entries[0].proposer.pending[0].reason
    world.store_rate = 1_000
    await world.run(5_000)
    assert len(world.offered_by_all()) == 1


async def test_log_down_in_the_middle_of_a_repair():
    """Guards against orders without a lease and against a lost repair."""
    world = await started()
    group = by_zone(world, "za")[0]
    world.engine(group.members[0]).down = True
    await world.run(9_000)
    world.log_down = True
    before = len(world.sent_orders)
    await world.run(30_000)
    assert by_zone(world, "za") == [group]
    assert len(world.sent_orders) == before
    assert group.id not in set().union(*world.offered().values())
    assert len(world.offered_by_all()) == 1, "the other group serves on"
    world.log_down = False
    await world.run(10_000)
    assert len(world.offered_by_all()) == 2


async def test_one_reader_cut_off_from_a_member():
    """Guards against a partition of one reader that stops a whole group."""
    world = await started(entries=4)
    group = by_zone(world, "za")[0]
    world.cut.add(("e0", group.members[0]))
    await world.run(5_000)
    assert group.id in world.offered_by_all()


async def test_doubt_spreads_and_ends():
    """Guards against an entry that keeps a suspicion to itself."""
    world = await started()
    group = world.groups()[0]
    world.entries[0].eligible.doubt(group.id, "connection reset")
    await world.deliver(world.entries[0])
    assert all(group.id not in ids for ids in world.offered().values())
    await world.run(6_000)
    assert group.id in world.offered_by_all()


async def test_slow_member_is_replaced():
    """Guards against one slow member that slows its group for good."""
    world = await started(
        domains="a", per_domain=4, groups=1, service={"instances_per_group": 3}
    )
    group = world.groups()[0]
    for id in group.members:
        world.engine(id).token_ms.append(10.0)
    world.engine(group.members[1]).token_ms.extend([99.0] * 3)
    await world.run(60_000)
    assert group.members[1] not in world.groups()[0].members
    assert len(world.offered_by_all()) == 1
