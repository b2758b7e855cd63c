"""Tests of which groups are proposed, also by concurrent proposers."""

from tests.process import world as worlds


async def test_two_proposers_make_one_group():
    """Concurrent proposals must not put an instance in two groups (P2)."""
    world = worlds.World(worlds.lines_of("ab", 2), worlds.items_of("ab", 1))
    for _ in range(2):
        for entry in world.entries:
            entry.follow()
            await entry.inventory.step()
            await entry.reports.step()
            await world.deliver(entry)
            if not world.clock.now_ms():
                await entry.proposer.propose_due()
        await world.clock.advance(3_000)
    for entry in world.entries:
        # Each entry sees only itself as live, so that all propose at once.
        entry.live = lambda entry=entry: (entry.me,)
        entry.confirmed_ms = world.clock.now_ms()
        await entry.reports.step()
        await entry.proposer.propose_due()
        del entry.live
    assert len(world.log) == 4
    await world.run(20_000)
    assert len(world.groups()) == 1
    assert len(world.offered_by_all()) == 1


async def test_append_answer_lost_forms_one_group():
    """An append that took effect without a response forms no second group."""
    world = worlds.World(worlds.lines_of("ab", 2), worlds.items_of("ab", 1))
    world.lose_appends = 2
    await world.run(10_000)
    assert len(world.groups()) == 1


async def test_lost_domain_is_one_event():
    """Groups must not be repaired within a domain that is lost as a whole."""
    world = await worlds.started(domains=("a1", "b1"), per_domain=4, groups=2)
    lost = worlds.by_zone(world, "za")[0]
    for id in ("a10", "a11", "a12", "a13"):
        world.engine(id).down = True
    before = len(world.log)
    await world.run(30_000)
    assert {g.zone for g in world.groups()} == {"zb"}
    assert lost.id not in {g.id for g in world.groups()}
    assert len(world.log) == before + 2, "one dissolve and one assign"
    assert len(world.offered_by_all()) == 2


async def test_instance_list_lags():
    """An instance that is gone but still listed must not get into a group."""
    world = await worlds.started(domains="a", per_domain=4, groups=1)
    spares = {"a0", "a1", "a2", "a3"} - set(world.groups()[0].members)
    gone = sorted(spares)[0]
    # The list still contains the instance, but its reports have stopped.
    world.engine(gone).down = True
    await world.run(5_000)
    world.engine(world.groups()[0].members[0]).down = True
    await world.run(15_000)
    assert gone not in world.groups()[0].members
    assert len(world.offered_by_all()) == 1


async def test_weight_store_stalled():
    """No model load may start while the weight store is stalled."""
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


async def test_slow_member_is_replaced():
    """A slow member that slows down its group must be replaced."""
    world = await worlds.started(
        domains="a", per_domain=4, groups=1, service={"instances_per_group": 3}
    )
    group = world.groups()[0]
    for id in group.members:
        world.engine(id).token_ms.append(10.0)
    world.engine(group.members[1]).token_ms.extend([99.0] * 3)
    await world.run(60_000)
    assert group.members[1] not in world.groups()[0].members
    assert len(world.offered_by_all()) == 1
