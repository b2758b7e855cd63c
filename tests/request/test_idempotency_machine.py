"""Stateful test of idempotency keys under random failures."""

import asyncio
import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from oleanderbay.request import idempotency
from tests.request import idempotency_harness

KEYS = st.integers(0, 3)
ENTRIES = st.integers(0, 2)


class KeyMachine(stateful.RuleBasedStateMachine):
    """Mixes retries, crashes, network partitions and faults of the log."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.harness = self.run(self.make_harness())
        # Two keys with tickets and two that are claimed in the log.
        self.keys = [
            self.harness.ticketed_key("s0", "a"),
            self.harness.ticketed_key("s1", "b"),
            self.harness.timestamped_key("c"),
            self.harness.timestamped_key("d"),
        ]
        self.claims = []
        self.runs = collections.Counter()

    async def make_harness(self):
        harness = idempotency_harness.IdempotencyHarness()
        await harness.advance(500)
        return harness

    def run(self, coroutine):
        return self.runner.run(coroutine)

    @stateful.rule(key=KEYS, entries=st.lists(ENTRIES, min_size=1, max_size=3))
    def claim_at_entries(self, key, entries):
        harness = self.harness
        ids = [f"s{i}" for i in entries if f"s{i}" not in harness.cluster.dead]

        async def claim_concurrently():
            return await harness.wait(
                asyncio.gather(
                    *(
                        harness.entries[id].claim_key(
                            self.keys[key], idempotency_harness.DIGEST, 10**12
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
            if id in self.harness.cluster.dead:
                return
            self.runs[key] += 1
            if index % 2:
                claim.record_response(idempotency_harness.RESPONSE)

    @stateful.rule(index=st.integers(0, 5))
    def release_claim(self, index):
        if index < len(self.claims):
            self.claims.pop(index)[2].release()

    @stateful.rule()
    def send_outcomes(self):
        self.run(self.harness.send_outcomes())

    @stateful.rule(index=ENTRIES)
    def kill(self, index):
        if len(self.harness.cluster.dead) < 2:
            self.harness.cluster.kill(f"s{index}")

    @stateful.rule(one=ENTRIES, other=ENTRIES, both=st.booleans())
    def cut(self, one, other, both):
        self.harness.cluster.cut(f"s{one}", f"s{other}", both)

    @stateful.rule()
    def heal(self):
        self.harness.cluster.heal()
        self.harness.log.down = False

    @stateful.rule(fault=st.sampled_from(("down", "lose", "lost_before")))
    def break_log(self, fault):
        setattr(self.harness.log, fault, 1)

    @stateful.rule(ms=st.sampled_from((500, 3_000, 20_000)))
    def wait(self, ms):
        self.run(self.harness.advance(ms))

    @stateful.invariant()
    def each_key_runs_at_most_once(self):
        open_claims = collections.Counter(key for key, _, _ in self.claims)
        for key in range(4):
            assert self.runs[key] + open_claims[key] <= 1

    def teardown(self):
        self.run(self.harness.cluster.close())
        self.runner.close()


TestKeyMachine = KeyMachine.TestCase


TestKeyMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=25
)
