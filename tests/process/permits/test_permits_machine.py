"""Random sequences of failures while upstreams are cold or warm."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.process.permits import world as worlds

ENTRIES = st.integers(0, 4)


class PermitMachine(stateful.RuleBasedStateMachine):
    """Mixes failures; a cold upstream never gets more than its limit."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = self.run(self.make())
        self.run(self.world.settle())

    async def make(self):
        return worlds.World(
            entries=5, upstreams=2, cold=2, warm=6, warm_after=6
        )

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
