"""Random sequences of calls with keys and failures."""

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
    """Retries, crashes, partitions and a failing log, mixed."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = self.run(self.make())
        # Two ticketed keys, two in the log.
        self.keys = [
            self.world.ticketed("s0", "a"),
            self.world.ticketed("s1", "b"),
            self.world.logged("c"),
            self.world.logged("d"),
        ]
        self.claims = []
        self.runs = collections.Counter()

    async def make(self):
        world = worlds.World()
        await world.advance(500)
        return world

    def run(self, coroutine):
        return self.runner.run(coroutine)

    @stateful.rule(key=KEYS, entries=st.lists(ENTRIES, min_size=1, max_size=3))
    def call(self, key, entries):
        world = self.world
        ids = [f"s{i}" for i in entries if f"s{i}" not in world.cluster.dead]

        async def attempts():
            return await world.wait(
                asyncio.gather(
                    *(
                        world.entries[id].begin(
                            self.keys[key], worlds.DIGEST, 10**12
                        )
                        for id in ids
                    )
                )
            )

        for id, result in zip(ids, self.run(attempts()), strict=True):
            if isinstance(result, idempotency.Claim):
                self.claims.append((key, id, result))

    @stateful.rule(index=st.integers(0, 5))
    def execute(self, index):
        """Sends the call of a claim; the answer is recorded or lost."""
        if index < len(self.claims):
            key, id, claim = self.claims.pop(index)
            if id in self.world.cluster.dead:
                return
            self.runs[key] += 1
            if index % 2:
                claim.answered(worlds.ANSWER)

    @stateful.rule(index=st.integers(0, 5))
    def give_back(self, index):
        if index < len(self.claims):
            self.claims.pop(index)[2].not_run()

    @stateful.rule()
    def step(self):
        self.run(self.world.step())

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
    def one_run_for_each_key(self):
        held = collections.Counter(key for key, _, _ in self.claims)
        for key in range(4):
            assert self.runs[key] + held[key] <= 1

    def teardown(self):
        self.run(self.world.cluster.close())
        self.runner.close()


TestKeyMachine = KeyMachine.TestCase


TestKeyMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=25
)
