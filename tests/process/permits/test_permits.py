"""Tests of acquiring permits and of holding them."""

import asyncio
import dataclasses

import pytest

from oleanderbay.process import interfaces
from oleanderbay.request import outcome
from tests.process.permits import world as worlds


async def test_no_owner_leaves_a_warm_upstream_its_last_share(world):
    """Losing the owner of a warm upstream must not stop its service."""
    await world.settle()
    for id in world.permits:
        await world.ask(id)
    await worlds.warm_up(world)
    holder = worlds.others(world)[0]
    for _ in range(2):
        assert not isinstance(await world.ask(holder), outcome.Refusal)
    world.cluster.isolate(holder)
    await world.advance(2_500)
    before = world.permits[holder].in_flight("g0")
    assert before == 2
    world.finish(len(world.running) - 1)
    assert not isinstance(await world.ask(holder), outcome.Refusal)
    results = [await world.ask(holder, wait_ms=200) for _ in range(4)]
    assert isinstance(results[-1], outcome.Refusal)
    assert world.permits[holder].in_flight("g0") <= before + 1


async def test_cold_again_voids_permits_at_once(world):
    """An upstream that restarts must not get the load of its last life."""
    await world.settle()
    await worlds.warm_up(world)
    await world.ask("s0")
    while world.running:
        world.finish()
    upstream = world.fleet.list["g0"]
    world.engines["g0"].restart()
    world.engines["g0"].report()
    world.fleet.set(dataclasses.replace(upstream, start_id="g0-2"))
    for id in world.permits:
        for _ in range(4):
            world.cluster.spawn(world.send(id, "g0"))
    await world.advance(500)
    assert world.engines["g0"].peak_cold == 2


async def test_killed_holder_keeps_its_place_until_reports_show_it(world):
    """Requests of a killed entry still run at the upstream."""
    await world.settle()
    victim = worlds.others(world)[0]
    await world.ask(victim)
    await world.ask(victim)
    assert world.engines["g0"].in_flight == 2
    world.cluster.kill(victim)
    await world.advance(12_000)
    survivor = next(id for id in world.permits if id != victim)
    assert isinstance(await world.ask(survivor), outcome.Refusal)
    world.finish()
    await world.advance(1_000)
    assert not isinstance(await world.ask(survivor), outcome.Refusal)
    assert world.engines["g0"].overloads == 0


async def test_requests_to_one_owner_share_a_message():
    """One message for each permit would exceed the byte budget."""
    world = worlds.World(upstreams=12)
    await world.settle()
    node = world.cluster.nodes["s0"]
    before = node.sent_messages
    for id in world.fleet.list:
        world.cluster.spawn(world.send("s0", id))
    await world.clock.advance(10)
    assert node.sent_messages - before == 2
    assert len(world.running) == 12
    await world.close()


async def test_cancelled_acquire_gives_its_permit_back(world):
    """A permit of a caller that has gone would stay counted for good."""
    await world.settle()
    holder = world.permits["s0"]
    task = world.cluster.spawn(holder.acquire(world.fleet.list["g0"], 10**9))
    await asyncio.sleep(0)
    task.cancel()
    await world.advance(500)
    assert holder.in_flight("g0") == 0


async def test_waiting_request_is_refused_when_its_upstream_leaves(world):
    """A request that waits for a drained upstream must try another."""
    await world.settle()
    await world.ask("s0")
    await world.ask("s0")
    waiting = world.cluster.spawn(world.send("s0", "g0", 60_000))
    await world.advance(300)
    assert not waiting.done()
    world.fleet.remove("g0")
    await world.advance(100)
    assert isinstance(waiting.result(), outcome.Refusal)


async def test_malformed_message_is_refused(world):
    """A broken peer must get a typed error, not break the owner."""
    for body in (None, [1], [1, {"s": [["g0"]]}], [1, {"s": [[1] * 7]}], "x"):
        with pytest.raises(interfaces.PeerError):
            await world.cluster.nodes["s0"].handlers["permit"](
                world.cluster.nodes["s1"].me, body
            )
