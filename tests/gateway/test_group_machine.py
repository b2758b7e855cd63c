"""State machine over the steps that disturb groups of several owners."""

import asyncio
import logging

import hypothesis
import structlog
from hypothesis import stateful
from hypothesis import strategies as st

from tests.gateway import group_rig, group_runs, group_steps


class GroupMachine(stateful.RuleBasedStateMachine):
    """A deployment under steps that hypothesis chooses and shortens.

    Guards against interleavings in which a rule of groups breaks, or after
    which a deployment does not settle.
    """

    def __init__(self):
        super().__init__()
        self.logs = structlog.get_config()
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(
                logging.CRITICAL
            )
        )
        self.runner = asyncio.Runner()
        self.runner.run(self._start())

    async def _start(self):
        self.rig = group_rig.Rig(1, zones=len(group_steps.ZONES))
        self.steps = group_steps.Steps(self.rig)
        await self.rig.clock.advance(group_runs.TRAFFIC_FROM_MS)
        self.rig.begin_traffic()
        self.steps.demand(large=6, small=6)

    @stateful.rule(delta_ms=st.integers(1, 3_000))
    def time_passes(self, delta_ms):
        self.runner.run(self.rig.clock.advance(delta_ms))

    @stateful.rule(
        kind=st.sampled_from(group_steps.KINDS),
        rng=st.randoms(use_true_random=False),
    )
    def disturb(self, kind, rng):
        step = group_steps.Step(
            self.rig.clock.now_ms(), kind, group_steps.DRAWS[kind](rng)
        )
        hypothesis.note(step.text())

        async def apply():
            self.steps.apply(step)

        self.runner.run(apply())

    @stateful.invariant()
    def no_rule_is_broken(self):
        assert not self.rig.violations

    def teardown(self):
        try:
            self.runner.run(self._settle())
        finally:
            self.runner.close()
            structlog.configure(**self.logs)

    async def _settle(self):
        try:
            self.steps.end_all()
            await group_runs.settle(self.rig)
            assert not self.rig.violations
        finally:
            self.rig.close()


TestGroups = GroupMachine.TestCase
TestGroups.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
