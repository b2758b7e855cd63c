"""A simulated cluster of entries that claim idempotency keys."""

import asyncio
import random

from bench import fakes_requests as fakes
from oleanderbay.process import clock as clocks
from oleanderbay.request import claim_log, claims, idempotency, keys

DIGEST = keys.request_digest("POST", "/book", b"{}")
RESPONSE = claims.StoredResponse(
    status=201, headers=(("a", "b"),), body=b"booked"
)


class IdempotencyHarness:
    """Entries connected by a simulated network, with a log and one clock.

    Attributes:
        entries: `Idempotency` services by start id.
    """

    def __init__(self, entries=3):
        self.clock = clocks.ManualClock()
        self.cluster = fakes.Cluster(self.clock, entries)
        self.log = fakes.Log(self.clock)
        self.entries = {}
        for id in list(self.cluster.nodes):
            self.attach(id)

    def attach(self, id):
        node = self.cluster.nodes[id]
        self.entries[id] = idempotency.Idempotency(
            self.clock,
            random.Random(id),
            node,
            node,
            claim_log.ClaimLog(self.clock, self.log, self.log, id),
        )

    async def advance(self, ms):
        """Advances the clock in steps and exchanges heartbeats."""
        for _ in range(max(1, ms // 500)):
            self.cluster.beat()
            await self.clock.advance(min(ms, 500))

    async def send_outcomes(self):
        for id, entry in self.entries.items():
            if id not in self.cluster.paused | self.cluster.dead:
                await self.wait(entry.send_outcomes())

    async def wait(self, coroutine):
        """Runs a coroutine while time advances."""
        task = asyncio.ensure_future(coroutine)
        while not task.done():
            await self.advance(100)
        return task.result()

    async def claim_key(self, id, key, digest=DIGEST):
        deadline_ms = self.clock.now_ms() + 10_000
        return await self.wait(
            self.entries[id].claim_key(key, digest, deadline_ms)
        )

    def ticketed_key(self, home="s0", value="k"):
        ticket = self.entries[home].issue_ticket()
        return keys.parse_key("s", f"{ticket}:{value}")

    def timestamped_key(self, value="k"):
        return keys.parse_key("s", value, str(self.clock.wall_ms()))
