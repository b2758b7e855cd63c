"""Entries with permits in front of cold upstreams, without sockets."""

from bench import fakes_requests as fakes
from oleanderbay.process import clock as clocks
from oleanderbay.process.permits import ownership, permits
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


def owner(world, upstream="g0"):
    live = world.cluster.nodes["s0"].live()
    return ownership.owner_of(upstream, live).start_id


def others(world):
    return [id for id in world.permits if id != owner(world)]


async def warm_up(world):
    for _ in range(20):
        for id in world.permits:
            for _ in range(4):
                world.cluster.spawn(world.send(id, "g0", 200))
        await world.advance(500)
        while world.running:
            world.finish()
        await world.advance(500)
