"""Entries that share keys through tickets and the log, without sockets."""

import asyncio
import random

from bench import fakes_requests as fakes
from oleanderbay.process import clock as clocks
from oleanderbay.request import claim_log, claims, idempotency, keys

DIGEST = keys.body_digest("POST", "/book", b"{}")
ANSWER = claims.Answer(status=201, headers=(("a", "b"),), body=b"booked")


class World:
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
        for _ in range(max(1, ms // 500)):
            self.cluster.beat()
            await self.clock.advance(min(ms, 500))

    async def step(self):
        for id, entry in self.entries.items():
            if id not in self.cluster.paused | self.cluster.dead:
                await self.wait(entry.step())

    async def wait(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        while not task.done():
            await self.advance(100)
        return task.result()

    async def begin(self, entry, key, digest=DIGEST):
        deadline_ms = self.clock.now_ms() + 10_000
        return await self.wait(
            self.entries[entry].begin(key, digest, deadline_ms)
        )

    def ticketed(self, home="s0", value="k"):
        ticket = self.entries[home].ticket()
        return keys.parse_key("s", f"{ticket}:{value}")

    def logged(self, value="k"):
        return keys.parse_key("s", value, str(self.clock.wall_ms()))
