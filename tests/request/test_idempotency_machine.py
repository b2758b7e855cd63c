"""Stateful test of idempotency keys under random failures."""

import asyncio
import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from oleanderbay.request import idempotency
from tests.request import keyed_world as worlds

KEYS = st.integers(0, 3)
ENTRIES = st.integers(0, 2)


class KeyMachine(stateful.RuleBasedStateMachine):
    """Mixes retries, crashes, network partitions and faults of the log."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = self.run(self.make_world())
        # Two keys with tickets and two that are claimed in the log.
        self.keys = [
            self.world.ticketed_key("s0", "a"),
            self.world.ticketed_key("s1", "b"),
            self.world.timestamped_key("c"),
            self.world.timestamped_key("d"),
        ]
        self.claims = []
        self.runs = collections.Counter()

    async def make_world(self):
        world = worlds.World()
        await world.advance(500)
        return world

    def run(self, coroutine):
        return self.runner.run(coroutine)

    @stateful.rule(key=KEYS, entries=st.lists(ENTRIES, min_size=1, max_size=3))
    def claim_at_entries(self, key, entries):
        world = self.world
        ids = [f"s{i}" for i in entries if f"s{i}" not in world.cluster.dead]

        async def claim_concurrently():
            return await world.wait(
                asyncio.gather(
                    *(
                        world.entries[id].claim_key(
                            self.keys[key], worlds.DIGEST, 10**12
                        )
                        for id in ids
                    )
                )
            )

        for id, result in zip(ids, self.run(claim_concurrently()), strict=True):
            if isinstance(result, idempotency.Claim):
                self.claims.append((key, id, result))

    @stateful.rule(index=st.integers(0, 5))
    def execute(self, index):
        """Runs a claimed request; its response is recorded or lost."""
        if index < len(self.claims):
            key, id, claim = self.claims.pop(index)
            if id in self.world.cluster.dead:
                return
            self.runs[key] += 1
            if index % 2:
                claim.record_response(worlds.RESPONSE)

    @stateful.rule(index=st.integers(0, 5))
    def release_claim(self, index):
        if index < len(self.claims):
            self.claims.pop(index)[2].release()

    @stateful.rule()
    def send_outcomes(self):
        self.run(self.world.send_outcomes())

    @stateful.rule(index=ENTRIES)
    def kill(self, index):
        if len(self.world.cluster.dead) < 2:
            self.world.cluster.kill(f"s{index}")

    @stateful.rule(one=ENTRIES, other=ENTRIES, both=st.booleans())
    def cut(self, one, other, both):
        self.world.cluster.cut(f"s{one}", f"s{other}", both)

    @stateful.rule()
    def heal(self):
        self.world.cluster.heal()
        self.world.log.down = False

    @stateful.rule(fault=st.sampled_from(("down", "lose", "lost_before")))
    def break_log(self, fault):
        setattr(self.world.log, fault, 1)

    @stateful.rule(ms=st.sampled_from((500, 3_000, 20_000)))
    def wait(self, ms):
        self.run(self.world.advance(ms))

    @stateful.invariant()
    def each_key_runs_at_most_once(self):
        open_claims = collections.Counter(key for key, _, _ in self.claims)
        for key in range(4):
            assert self.runs[key] + open_claims[key] <= 1

    def teardown(self):
        self.run(self.world.cluster.close())
        self.runner.close()


TestKeyMachine = KeyMachine.TestCase


TestKeyMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=25
)
