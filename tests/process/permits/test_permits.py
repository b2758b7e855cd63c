"""Tests of permits: no cold upstream gets more than it can handle."""

import asyncio
import dataclasses

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from bench import fakes_requests as fakes
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.permits import asks, permits
from oleanderbay.request import outcome

REPORT_MS = 500
TICK_MS = 100


class World:
    """Entries with permits in front of cold upstreams."""

    def __init__(self, entries=3, upstreams=1, cold=2, warm=8, warm_after=4):
        self.clock = clocks.ManualClock()
        self.cluster = fakes.Cluster(self.clock, entries)
        self.fleet = fakes.make_fleet(self.clock, upstreams, cold, warm)
        self.engines = {
            id: fakes.Engine(self.fleet, id, warm_after)
            for id in self.fleet.list
        }
        self.permits = {}
        self.running = []
        self.frozen = False
        for id in self.cluster.nodes:
            self.attach(id)

    def attach(self, id):
        node = self.cluster.nodes[id]
        self.permits[id] = permits.Permits(self.clock, node, node, self.fleet)

    def up(self, id):
        return id not in self.cluster.paused | self.cluster.dead

    async def advance(self, ms):
        for _ in range(ms // TICK_MS):
            now_ms = self.clock.now_ms()
            if now_ms % fakes.HEARTBEAT_MS == 0:
                self.cluster.beat()
            if now_ms % REPORT_MS == 0 and not self.frozen:
                for engine in self.engines.values():
                    engine.report()
            for id, holder in self.permits.items():
                if self.up(id):
                    holder.tick()
            await self.clock.advance(TICK_MS)

    async def send(self, entry, upstream, wait_ms=1_000):
        result = await self.permits[entry].acquire(
            self.fleet.list[upstream], self.clock.now_ms() + wait_ms
        )
        if isinstance(result, outcome.Refusal):
            return result
        engine = self.engines[upstream]
        self.running.append((entry, engine, result, engine.begin()))
        return result

    def finish(self, index=0, failed=False):
        entry, engine, permit, life = self.running.pop(index)
        engine.end(life)
        if entry not in self.cluster.dead:
            permit.close(first_token_ms=0 if failed else 100, failed=failed)

    async def settle(self):
        # The hold of the owners, the age of a report, and its period.
        await self.advance(7_000)

    async def ask(self, entry, upstream="g0", wait_ms=1_000):
        task = self.cluster.spawn(self.send(entry, upstream, wait_ms))
        await self.advance(wait_ms + 2 * TICK_MS)
        return task.result()

    async def close(self):
        for holder in self.permits.values():
            await holder.on_stop()
        await self.cluster.close()


@pytest.fixture
async def world():
    made = World()
    yield made
    await made.close()


def owner(world, upstream="g0"):
    live = world.cluster.nodes["s0"].live()
    return asks.owner_of(upstream, live).start_id


def others(world):
    return [id for id in world.permits if id != owner(world)]


async def test_all_entries_restarted_before_a_cold_fleet(world):
    """Owners that grant before their majority has held could grant twice."""
    result = await world.ask("s0")
    assert isinstance(result, outcome.Refusal)
    assert result.outcome is outcome.Outcome.NOT_RUN
    assert world.clock.now_ms() < asks.PermitSettings().hold_ms
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
        limits.append(world.permits[owner(world)].grants.limit("g0"))
    assert limits[0] == 2
    assert limits[-1] == 8
    assert world.engines["g0"].overloads == 0


async def test_owner_paused_beyond_its_lease(world):
    """A paused owner must not go on granting next to its successor."""
    await world.settle()
    paused = owner(world)
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
    assert world.permits[paused].grants.check() is False
    await world.advance(8_000)
    assert isinstance(await world.ask(paused), outcome.Refusal)
    assert world.engines["g0"].overloads == 0


async def test_pause_that_an_entry_does_not_notice_needs_a_new_hold():
    """Heartbeats that arrive before the first check hide a long pause."""
    world = World()
    await world.settle()
    node = world.cluster.nodes[owner(world)]
    granting = world.permits[node.me.start_id].grants
    line = asks.Ask("g0", asks.start_tag("g0-1"), 1, 0)
    assert granting.handle("x", 1, "s", [line])["g0"] is not None
    for _ in range(60):
        await world.clock.advance(500)
        world.cluster.beat()
    assert granting.handle("x", 2, "s", [line])["g0"] is None
    await world.close()


async def test_partition_leaves_the_minority_without_permits():
    """Owners on both sides would each grant the whole limit."""
    world = World(entries=5)
    await world.settle()
    alone = owner(world)
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
    world = World(entries=3)
    await world.settle()
    mute = owner(world)
    for other in others(world):
        world.cluster.cut(mute, other, both=False)
    await world.advance(4_000)
    assert world.permits[mute].grants.check() is False
    assert isinstance(await world.ask(mute), outcome.Refusal)


async def test_no_owner_leaves_a_warm_upstream_its_last_share(world):
    """Losing the owner of a warm upstream must not stop its service."""
    await world.settle()
    for id in world.permits:
        await world.ask(id)
    await warm_up(world)
    holder = others(world)[0]
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
    await warm_up(world)
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


async def test_report_back_at_zero_returns_the_limit_to_cold(world):
    """A restart that keeps the start id shows only in the report."""
    await world.settle()
    await warm_up(world)
    granting = world.permits[owner(world)].grants
    assert granting.limit("g0") == 8
    world.engines["g0"].restart()
    await world.advance(600)
    assert granting.limit("g0") == 2


async def test_killed_holder_keeps_its_place_until_reports_show_it(world):
    """Requests of a killed entry still run at the upstream."""
    await world.settle()
    victim = others(world)[0]
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
    world = World(upstreams=12)
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


async def warm_up(world):
    for _ in range(20):
        for id in world.permits:
            for _ in range(4):
                world.cluster.spawn(world.send(id, "g0", 200))
        await world.advance(500)
        while world.running:
            world.finish()
        await world.advance(500)


ENTRIES = st.integers(0, 4)


class PermitMachine(stateful.RuleBasedStateMachine):
    """Mixes failures; a cold upstream never gets more than its limit."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = self.run(self.make())
        self.run(self.world.settle())

    async def make(self):
        return World(entries=5, upstreams=2, cold=2, warm=6, warm_after=6)

    def run(self, coroutine):
        return self.runner.run(coroutine)

    def entry(self, index):
        return sorted(self.world.permits)[index]

    async def spawn(self, entry, upstream):
        self.world.cluster.spawn(self.world.send(entry, upstream, 2_000))
        await asyncio.sleep(0)

    @stateful.rule(n=st.integers(1, 3), ms=st.sampled_from((0, 100, 700)))
    def send_everywhere(self, n, ms):
        for id in self.world.permits:
            for upstream in self.world.fleet.list:
                for _ in range(n if self.world.up(id) else 0):
                    self.run(self.spawn(id, upstream))
        self.run(self.world.advance(ms))

    @stateful.rule(rounds=st.integers(1, 6), keep=st.integers(0, 2))
    def serve(self, rounds, keep):
        """Sends and finishes, so that upstreams can warm up."""
        for _ in range(rounds):
            self.send_everywhere(1, 200)
            for index in reversed(range(len(self.world.running) - keep)):
                self.finish(index, False)
            self.run(self.world.advance(300))

    @stateful.rule(index=ENTRIES, failed=st.booleans())
    def finish(self, index, failed):
        running = self.world.running
        if index < len(running) and self.world.up(running[index][0]):
            self.world.finish(index, failed)

    @stateful.rule(ms=st.sampled_from((100, 300, 1_000, 2_200, 5_000)))
    def wait(self, ms):
        self.run(self.world.advance(ms))

    @stateful.rule(index=ENTRIES)
    def pause(self, index):
        self.world.cluster.paused.add(self.entry(index))

    @stateful.rule(index=ENTRIES)
    def resume(self, index):
        self.world.cluster.paused.discard(self.entry(index))

    @stateful.rule(one=ENTRIES, other=ENTRIES, both=st.booleans())
    def cut(self, one, other, both):
        if one != other:
            self.world.cluster.cut(self.entry(one), self.entry(other), both)

    @stateful.rule(index=ENTRIES)
    def isolate(self, index):
        self.world.cluster.isolate(self.entry(index))

    @stateful.rule(ms=st.sampled_from((0, 300, 6_000)))
    def heal(self, ms):
        self.world.cluster.heal()
        self.world.cluster.paused.clear()
        self.run(self.world.advance(ms))

    @stateful.rule(index=ENTRIES)
    def replace(self, index):
        world = self.world
        old = self.entry(index)
        new = f"{old}x"
        world.cluster.kill(old)
        world.cluster.add(new)
        world.attach(new)
        del world.permits[old]

    @stateful.rule(upstream=st.sampled_from(("g0", "g1")))
    def restart_upstream(self, upstream):
        world = self.world
        world.engines[upstream].restart()
        world.engines[upstream].report()
        old = world.fleet.list[upstream]
        world.fleet.set(dataclasses.replace(old, start_id=old.start_id + "+"))
        # The requests of the process before fail as their connections end.
        for index in reversed(range(len(world.running))):
            if world.running[index][1].id == upstream:
                world.finish(index, failed=True)

    @stateful.invariant()
    def cold_limit_holds(self):
        for engine in self.world.engines.values():
            assert engine.peak_cold <= 2

    def teardown(self):
        self.run(self.world.close())
        self.runner.close()


TestPermitMachine = PermitMachine.TestCase
TestPermitMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=25, stateful_step_count=30
)
