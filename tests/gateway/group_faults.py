"""Disturbs a deployment of simulated workers and gateways at random."""

import asyncio
import random

from tests.gateway import group_gateways, group_rig

KINDS = (
    "crash",
    "crash_several",
    "drain",
    "store_cut",
    "worker_cut",
    "path_cut",
    "rebalance",
    "rebalance_at_once",
    "kill_gateway",
    "freeze_gateway",
    "reads_stop",
    "late_orders",
    "lost_answers",
    "busy",
    "late_records",
    "assignments_down",
    "demand",
)
TRAFFIC_FROM_MS = 5_000
LENGTH_MS = 45_000


class Faults:
    """Draws faults of some kinds and lets them happen.

    Attributes:
        kinds: Kinds of the faults that are drawn.
    """

    def __init__(self, rig, seed, kinds):
        self.rig = rig
        self.kinds = kinds
        self.rng = random.Random(seed)

    async def run(self, mean_gap_ms):
        """Draws faults until cancelled."""
        while True:
            await self.rig.clock.sleep_ms(self.rng.randint(1, 2 * mean_gap_ms))
            kind = self.rng.choice(self.kinds)
            self.rig.note("fault", kind)
            self.rig.run(getattr(self, kind)())

    async def _wait(self, low_ms, high_ms):
        await self.rig.clock.sleep_ms(self.rng.randint(low_ms, high_ms))

    def _worker(self):
        alive = [w for w in self.rig.workers.values() if w.alive]
        in_groups = [w for w in alive if w.group is not None]
        return self.rng.choice(in_groups or alive) if alive else None

    def _gateways(self):
        return [g for g in self.rig.gateways.values() if g.alive]

    async def _end(self, worker):
        if worker is None or not worker.alive:
            return
        worker.alive = False
        self.rig.note("end", worker.id, worker.group)
        self.rig.update_stalls()
        await self._wait(500, 8_000)
        if not worker.alive:
            worker.start()

    async def crash(self):
        await self._end(self._worker())

    async def crash_several(self):
        await asyncio.gather(*(self._end(self._worker()) for _ in range(3)))

    async def drain(self):
        worker = self._worker()
        if worker is None:
            return
        worker.draining = True
        worker.changed()
        await self._wait(2_000, 5_000)
        if worker.draining:
            await self._end(worker)

    async def store_cut(self):
        worker = self._worker()
        if worker is None:
            return
        worker.cut_from_store = True
        self.rig.note("cut from store", worker.id, worker.group)
        await self._wait(1_000, 8_000)
        worker.cut_from_store = False

    async def worker_cut(self):
        worker = self._worker()
        if worker is None:
            return
        worker.cut = True
        self.rig.note("cut", worker.id, worker.group)
        self.rig.update_stalls()
        await self._wait(1_000, 8_000)
        worker.cut = False
        self.rig.update_stalls()

    async def path_cut(self):
        gateway = self.rng.choice(self._gateways())
        share = self.rng.choice((0.1, 0.5, 1.0))
        gateway.cut_from = {
            worker_id
            for worker_id in self.rig.workers
            if self.rng.random() < share
        }
        self.rig.note("path cut", gateway.name, sorted(gateway.cut_from))
        await self._wait(1_000, 8_000)
        gateway.cut_from = set()

    async def rebalance(self):
        self.rig.assignments.rebalance(
            self.rng.choice(self._gateways()).name, at_once=False
        )

    async def rebalance_at_once(self):
        self.rig.assignments.rebalance(
            self.rng.choice(self._gateways()).name, at_once=True
        )

    async def kill_gateway(self):
        alive = self._gateways()
        if len(alive) > 1:
            self.rig.kill(self.rng.choice(alive))
        await self._wait(200, 3_000)
        if len(self._gateways()) < 3:
            self.rig.start_gateway()

    async def freeze_gateway(self):
        gateway = self.rng.choice(self._gateways())
        gateway.clock.running.clear()
        await self._wait(300, 4_000)
        gateway.clock.running.set()

    async def reads_stop(self):
        gateway = self.rng.choice(self._gateways())
        gateway.reads = False
        await self._wait(300, 4_000)
        gateway.reads = True
        gateway.read_from_ms = self.rig.clock.now_ms()

    async def _raise(self, name, values, longest_ms=4_000):
        setattr(self.rig, name, self.rng.choice(values))
        await self._wait(1_000, longest_ms)
        setattr(self.rig, name, 0.0)

    async def late_orders(self):
        await self._raise("late_share", (0.1, 0.35), 10_000)

    async def lost_answers(self):
        await self._raise("lost_share", (0.1, 0.5))

    async def busy(self):
        await self._raise("timeout_share", (0.2, 0.6))

    async def late_records(self):
        await self._raise("late_record_share", (0.1, 0.4))

    async def assignments_down(self):
        self.rig.assignments.down = True
        await self._wait(500, 4_000)
        self.rig.assignments.down = False

    async def demand(self):
        for model in group_gateways.MODELS:
            wanted = self.rng.choice((0, 2, 6, 12))
            for gateway in self._gateways():
                current = gateway.demand._in_progress[model.name]
                for _ in range(max(0, wanted - current)):
                    gateway.demand.record_start(model.name)
                for _ in range(max(0, current - wanted)):
                    gateway.demand.record_end(model.name)


async def play(seed, on_start=None):
    """Plays one deployment until a rule is broken or its time is over.

    Args:
        seed: Seed of the faults and of the deployment.
        on_start: Called with the rig before anything happens.

    Returns:
        The rig after the play.
    """
    rng = random.Random(seed)
    kinds = rng.sample(KINDS, rng.randint(2, 6))
    gap_ms = rng.choice((300, 700, 1_500))
    rig = group_rig.Rig(seed)
    if on_start is not None:
        on_start(rig)
    faults = Faults(rig, seed, kinds)
    try:
        await rig.clock.advance(TRAFFIC_FROM_MS)
        rig.begin_traffic()
        await faults.demand()
        rig.run(faults.run(gap_ms))
        while rig.clock.now_ms() < LENGTH_MS and not rig.violations:
            await rig.clock.advance(1_000)
    finally:
        rig.close()
        await asyncio.sleep(0)
    return rig
