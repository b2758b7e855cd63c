"""Test harness for permits: several entries and upstreams without sockets."""

from bench import fakes_requests as fakes
from oleanderbay.process import clock as clocks
from oleanderbay.process.permits import ownership, permits
from oleanderbay.request import outcome

REPORT_INTERVAL_MS = 500
TICK_MS = 100


class PermitHarness:
    """Entries that acquire permits of simulated upstreams on a manual clock."""

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
        self.reports_paused = False
        for id in self.cluster.nodes:
            self.add_permits(id)

    def add_permits(self, id):
        node = self.cluster.nodes[id]
        self.permits[id] = permits.Permits(self.clock, node, node, self.fleet)

    def is_up(self, id):
        return id not in self.cluster.paused | self.cluster.dead

    async def advance(self, ms):
        for _ in range(ms // TICK_MS):
            now_ms = self.clock.now_ms()
            if now_ms % fakes.HEARTBEAT_MS == 0:
                self.cluster.beat()
            if now_ms % REPORT_INTERVAL_MS == 0 and not self.reports_paused:
                for engine in self.engines.values():
                    engine.report()
            for id, service in self.permits.items():
                if self.is_up(id):
                    service.tick()
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
        entry, engine, permit, generation = self.running.pop(index)
        engine.end(generation)
        if entry not in self.cluster.dead:
            permit.close(first_token_ms=0 if failed else 100, failed=failed)

    async def wait_for_grants(self):
        # Covers `first_grant_delay_ms` (4,500), `max_report_lag_ms` (1,000)
        # and one report interval (`REPORT_INTERVAL_MS`).
        await self.advance(7_000)

    async def send_and_wait(self, entry, upstream="g0", wait_ms=1_000):
        task = self.cluster.spawn(self.send(entry, upstream, wait_ms))
        await self.advance(wait_ms + 2 * TICK_MS)
        return task.result()

    async def close(self):
        for service in self.permits.values():
            await service.on_stop()
        await self.cluster.close()


def owner_id(harness, upstream="g0"):
    live = harness.cluster.nodes["s0"].live()
    return ownership.owner_of(upstream, live).start_id


def non_owner_ids(harness):
    return [id for id in harness.permits if id != owner_id(harness)]


async def warm_up(harness):
    for _ in range(20):
        for id in harness.permits:
            for _ in range(4):
                harness.cluster.spawn(harness.send(id, "g0", 200))
        await harness.advance(500)
        while harness.running:
            harness.finish()
        await harness.advance(500)
