"""Tests that owners together grant no more than the limit."""

from oleanderbay.process.permits import messages, ownership
from oleanderbay.request import outcome
from tests.process.permits import world as worlds


async def test_all_entries_restarted_before_a_cold_fleet(world):
    """Owners that grant before their majority has held could grant twice."""
    result = await world.ask("s0")
    assert isinstance(result, outcome.Refusal)
    assert result.outcome is outcome.Outcome.NOT_RUN
    assert (
        world.clock.now_ms() < ownership.PermitSettings().first_grant_delay_ms
    )
    await world.settle()
    tasks = [
        world.cluster.spawn(world.send(id, "g0"))
        for id in world.permits
        for _ in range(4)
    ]
    await world.advance(600)
    assert world.engines["g0"].peak_cold == 2
    assert sum(task.done() for task in tasks) == 2


async def test_ramp_reaches_the_warm_limit_on_evidence(world):
    """A ramp by time would load an upstream that has answered nothing."""
    await world.settle()
    await world.advance(10_000)
    limits = []
    for _ in range(20):
        for id in world.permits:
            for _ in range(4):
                world.cluster.spawn(world.send(id, "g0", 300))
        await world.advance(700)
        while world.running:
            world.finish()
        await world.advance(700)
        limits.append(world.permits[worlds.owner(world)].issuer.limit("g0"))
    assert limits[0] == 2
    assert limits[-1] == 8
    assert world.engines["g0"].overloads == 0


async def test_owner_paused_beyond_its_lease(world):
    """A paused owner must not go on granting next to its successor."""
    await world.settle()
    paused = worlds.owner(world)
    world.cluster.paused.add(paused)
    rest = [id for id in world.permits if id != paused]
    assert isinstance(await world.ask(rest[0]), outcome.Refusal)
    await world.advance(9_000)
    for id in rest:
        await world.ask(id)
    assert world.engines["g0"].in_flight == 2
    world.cluster.paused.discard(paused)
    # Messages to the old owner that were under way arrive now, before any
    # heartbeat has told it that it was replaced.
    assert world.permits[paused].issuer.check_majority() is False
    await world.advance(8_000)
    assert isinstance(await world.ask(paused), outcome.Refusal)
    assert world.engines["g0"].overloads == 0


async def test_pause_that_an_entry_does_not_notice_needs_a_new_hold():
    """Heartbeats that arrive before the first check hide a long pause."""
    world = worlds.World()
    await world.settle()
    node = world.cluster.nodes[worlds.owner(world)]
    granting = world.permits[node.me.start_id].issuer
    line = messages.PermitRequest("g0", messages.start_tag("g0-1"), 1, 0)
    assert granting.handle_requests("x", 1, "s", [line])["g0"] is not None
    for _ in range(60):
        await world.clock.advance(500)
        world.cluster.beat()
    assert granting.handle_requests("x", 2, "s", [line])["g0"] is None
    await world.close()


async def test_partition_leaves_the_minority_without_permits():
    """Owners on both sides would each grant the whole limit."""
    world = worlds.World(entries=5)
    await world.settle()
    alone = worlds.owner(world)
    world.cluster.isolate(alone)
    await world.advance(3_000)
    assert isinstance(await world.ask(alone), outcome.Refusal)
    await world.advance(8_000)
    majority = [id for id in world.permits if id != alone]
    for id in majority[:3]:
        await world.ask(id)
    assert world.engines["g0"].in_flight == 2
    world.cluster.heal()
    await world.settle()
    await world.ask(alone)
    assert world.engines["g0"].overloads == 0


async def test_asymmetric_partition_stops_the_owner_that_is_not_heard():
    """An owner that hears all but is heard by none has no majority."""
    world = worlds.World(entries=3)
    await world.settle()
    mute = worlds.owner(world)
    for other in worlds.others(world):
        world.cluster.cut(mute, other, both=False)
    await world.advance(4_000)
    assert world.permits[mute].issuer.check_majority() is False
    assert isinstance(await world.ask(mute), outcome.Refusal)


async def test_report_back_at_zero_returns_the_limit_to_cold(world):
    """A restart that keeps the start id shows only in the report."""
    await world.settle()
    await worlds.warm_up(world)
    granting = world.permits[worlds.owner(world)].issuer
    assert granting.limit("g0") == 8
    world.engines["g0"].restart()
    await world.advance(600)
    assert granting.limit("g0") == 2
