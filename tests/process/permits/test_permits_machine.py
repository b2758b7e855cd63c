"""State machine test of permits under random sequences of failures."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.process.permits import permit_harness

ENTRY_INDEXES = st.integers(0, 4)


class PermitMachine(stateful.RuleBasedStateMachine):
    """Checks that a cold upstream never gets more requests than its limit.

    The rules mix traffic with pauses, partitions, replaced entries and
    restarted upstreams.
    """

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.harness = self.run(self.create_harness())
        self.run(self.harness.wait_for_grants())

    async def create_harness(self):
        return permit_harness.PermitHarness(
            entries=5, upstreams=2, cold=2, warm=6, warm_after=6
        )

    def run(self, coroutine):
        return self.runner.run(coroutine)

    def entry_id(self, index):
        return sorted(self.harness.permits)[index]

    async def spawn(self, entry, upstream):
        self.harness.cluster.spawn(self.harness.send(entry, upstream, 2_000))
        await asyncio.sleep(0)

    @stateful.rule(n=st.integers(1, 3), ms=st.sampled_from((0, 100, 700)))
    def send_everywhere(self, n, ms):
        for id in self.harness.permits:
            for upstream in self.harness.fleet.list:
                for _ in range(n if self.harness.is_up(id) else 0):
                    self.run(self.spawn(id, upstream))
        self.run(self.harness.advance(ms))

    @stateful.rule(rounds=st.integers(1, 6), keep=st.integers(0, 2))
    def serve(self, rounds, keep):
        """Sends and finishes requests so that upstreams can warm up."""
        for _ in range(rounds):
            self.send_everywhere(1, 200)
            for index in reversed(range(len(self.harness.running) - keep)):
                self.finish(index, False)
            self.run(self.harness.advance(300))

    @stateful.rule(index=ENTRY_INDEXES, failed=st.booleans())
    def finish(self, index, failed):
        running = self.harness.running
        if index < len(running) and self.harness.is_up(running[index][0]):
            self.harness.finish(index, failed)

    @stateful.rule(ms=st.sampled_from((100, 300, 1_000, 2_200, 5_000)))
    def wait(self, ms):
        self.run(self.harness.advance(ms))

    @stateful.rule(index=ENTRY_INDEXES)
    def pause(self, index):
        self.harness.cluster.paused.add(self.entry_id(index))

    @stateful.rule(index=ENTRY_INDEXES)
    def resume(self, index):
        self.harness.cluster.paused.discard(self.entry_id(index))

    @stateful.rule(one=ENTRY_INDEXES, other=ENTRY_INDEXES, both=st.booleans())
    def cut(self, one, other, both):
        if one != other:
            self.harness.cluster.cut(
                self.entry_id(one), self.entry_id(other), both
            )

    @stateful.rule(index=ENTRY_INDEXES)
    def isolate(self, index):
        self.harness.cluster.isolate(self.entry_id(index))

    @stateful.rule(ms=st.sampled_from((0, 300, 6_000)))
    def heal(self, ms):
        self.harness.cluster.heal()
        self.harness.cluster.paused.clear()
        self.run(self.harness.advance(ms))

    @stateful.rule(index=ENTRY_INDEXES)
    def replace(self, index):
        harness = self.harness
        old = self.entry_id(index)
        new = f"{old}x"
        harness.cluster.kill(old)
        harness.cluster.add(new)
        harness.add_permits(new)
        del harness.permits[old]

    @stateful.rule(upstream=st.sampled_from(("g0", "g1")))
    def restart_upstream(self, upstream):
        harness = self.harness
        harness.engines[upstream].restart()
        harness.engines[upstream].report()
        old = harness.fleet.list[upstream]
        harness.fleet.set(dataclasses.replace(old, start_id=old.start_id + "+"))
        # Requests to the previous process fail because their connections close.
        for index in reversed(range(len(harness.running))):
            if harness.running[index][1].id == upstream:
                harness.finish(index, failed=True)

    @stateful.invariant()
    def cold_limit_holds(self):
        for engine in self.harness.engines.values():
            assert engine.peak_cold <= 2

    def teardown(self):
        self.run(self.harness.close())
        self.runner.close()


TestPermitMachine = PermitMachine.TestCase


TestPermitMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=25, stateful_step_count=30
)
