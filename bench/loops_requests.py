"""Loops over a fake clock that drive the real request policy."""

import asyncio
import collections
import heapq
import math
import random
from collections.abc import Sequence

from bench import fakes_requests as fakes
from bench import naive_requests as naive
from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.permits import permits
from oleanderbay.request import admission, outcome, prefixes, routing
from oleanderbay.version import resources

SERVICE = resources.Service(id="s", name="s", kind=resources.ServiceKind.MODEL)
TICK_MS = 10


def team(id: str, share: float = 1.0) -> resources.Team:
    return resources.Team(id=id, name=id, share=share)


class Load:
    """Poisson arrivals of teams at one entry with a fixed capacity."""

    def __init__(
        self,
        rates: dict[str, float],
        seed: int,
        servers: int = 32,
        run_ms: int = 400,
        first_token_ms: int = 200,
        spread: float = 0.5,
    ) -> None:
        self.rates = rates
        self.rng = random.Random(seed)
        self.servers = servers
        self.run_ms = run_ms
        self.first_token_ms = first_token_ms
        self.spread = spread
        self.next_ms: dict[str, float] = {}
        self.first_tokens: dict[str, list[int]] = collections.defaultdict(list)

    def arrivals(self, now_ms: int) -> list[str]:
        result = []
        for id, per_s in self.rates.items():
            due = self.next_ms.setdefault(id, 0.0)
            while due <= now_ms:
                result.append(id)
                due += self.rng.expovariate(per_s / 1000)
            self.next_ms[id] = due
        return result

    def duration_ms(self) -> int:
        low, high = 1 - self.spread, 1 + self.spread
        return int(self.run_ms * self.rng.uniform(low, high))

    async def run(self, seconds: int) -> None:
        """Drives the fair queue; keeps times to first token by team."""
        clock = clocks.ManualClock()
        queue = admission.Admission(
            clock,
            admission.AdmissionSettings(
                max_in_flight=self.servers, max_selecting=self.servers
            ),
        )
        teams = {id: team(id) for id in self.rates}
        ends: list[tuple[int, int, admission.Slot]] = []
        tasks: set[asyncio.Task[None]] = set()

        async def request(id: str) -> None:
            start_ms = clock.now_ms()
            result = await queue.admit(
                SERVICE,
                teams[id],
                start_ms + 1_000,
                run_ms=self.first_token_ms,
            )
            if isinstance(result, admission.Slot):
                waited_ms = clock.now_ms() - start_ms
                self.first_tokens[id].append(waited_ms + self.first_token_ms)
                end_ms = clock.now_ms() + self.duration_ms()
                heapq.heappush(ends, (end_ms, self.rng.getrandbits(60), result))

        for _ in range(seconds * 1000 // TICK_MS):
            clock.set_ms(clock.now_ms() + TICK_MS)
            while ends and ends[0][0] <= clock.now_ms():
                heapq.heappop(ends)[2].close()
            queue.step()
            for id in self.arrivals(clock.now_ms()):
                task = asyncio.create_task(request(id))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            for _ in range(4):
                await asyncio.sleep(0)
        for task in list(tasks):
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def run_naive(self, seconds: int) -> None:
        """The same load first come, first served."""
        queue = naive.Queue()
        ends: list[int] = []
        now_ms = 0
        for _ in range(seconds * 1000 // TICK_MS):
            now_ms += TICK_MS
            while ends and ends[0] <= now_ms:
                heapq.heappop(ends)
            for id in self.arrivals(now_ms):
                queue.push((id, now_ms))
            while len(ends) < self.servers and queue.waiting:
                popped = queue.pop()
                assert isinstance(popped, tuple)
                id, start_ms = popped
                self.first_tokens[id].append(
                    now_ms - start_ms + self.first_token_ms
                )
                heapq.heappush(ends, now_ms + self.duration_ms())

    def goodput(self) -> int:
        return sum(
            time_ms <= 1_000
            for times in self.first_tokens.values()
            for time_ms in times
        )


def p95(values: Sequence[float]) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(0.95 * len(ordered)) - 1)]


class PrefixLoad:
    """Prompts with shared beginnings over engines with small caches."""

    def __init__(self, seed: int, engines: int = 60, prompts: int = 600):
        self.rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.fleet = fakes.make_fleet(self.clock, engines)
        self.caches: dict[str, collections.OrderedDict[int, None]] = {
            id: collections.OrderedDict() for id in self.fleet.list
        }
        self.sequences = dict.fromkeys(self.fleet.list, 0)
        self.index = prefixes.PrefixIndex(self.rng, self._resync)
        self.prompts = [
            tuple(self.rng.getrandbits(63) for _ in range(8))
            for _ in range(prompts)
        ]
        self.weights = [1 / (rank + 1) for rank in range(prompts)]
        self.hits = 0
        self.asked = 0
        self.counts: collections.Counter[str] = collections.Counter()
        self.resyncs = 0
        self.late: collections.deque[tuple[str, native.CacheEvent]] = (
            collections.deque()
        )

    def _resync(self, id: str) -> None:
        self.resyncs += 1
        self.index.replace(id, self.sequences[id], list(self.caches[id]))

    def _serve(self, id: str, prefix: tuple[int, ...]) -> None:
        cache = self.caches[id]
        self.counts[id] += 1
        self.asked += len(prefix)
        added, removed = [], []
        for block in prefix:
            if block in cache:
                self.hits += 1
            else:
                added.append(block)
        for block in reversed(prefix):
            cache[block] = None
            cache.move_to_end(block)
        while len(cache) > 8 * 12:
            removed.append(cache.popitem(last=False)[0])
        if added or removed:
            self.sequences[id] += 1
            # Events are late by 200 requests; one in a hundred is lost.
            if self.rng.random() >= 0.01:
                event = native.CacheEvent(
                    sequence=self.sequences[id],
                    added=tuple(added),
                    removed=tuple(removed),
                )
                self.late.append((id, event))

    def run(self, router: routing.Router | naive.Router, count: int) -> None:
        running: collections.deque[str] = collections.deque()
        for _ in range(count):
            self.clock.set_ms(self.clock.now_ms() + 2)
            prefix = self.rng.choices(self.prompts, self.weights)[0]
            choice = router.choose("s", "z0", prefix, (), self.clock.now_ms())
            assert isinstance(choice, interfaces.Upstream)
            running.append(choice.id)
            if isinstance(router, routing.Router):
                router.record_start(choice.id)
                self.index.record_sent_prefix(choice.id, prefix)
            self._serve(choice.id, prefix)
            # 400 requests are in flight: a little over 40% of the fleet.
            if len(running) > 400:
                ended = running.popleft()
                if isinstance(router, routing.Router):
                    router.record_end(ended)
            while len(self.late) > 200:
                id, event = self.late.popleft()
                self.index.apply(id, event)

    @property
    def hit_rate(self) -> float:
        return self.hits / self.asked

    @property
    def balance(self) -> float:
        """Most requests of one engine over the mean."""
        mean = sum(self.counts.values()) / len(self.fleet.list)
        return max(self.counts.values()) / mean


class RampEngine(fakes.Engine):
    """An engine that handles twice as much after each full round."""

    def __init__(self, fleet: fakes.Fleet, id: str) -> None:
        super().__init__(fleet, id)
        self.level = fleet.list[id].cold_limit
        self.left = self.level

    @property
    def cold(self) -> bool:
        return self.level == self.fleet.list[self.id].cold_limit

    @property
    def capacity(self) -> int:
        return self.level

    def end(self, life: int) -> None:
        super().end(life)
        self.left -= 1
        if self.left == 0:
            warm = self.fleet.list[self.id].warm_limit
            self.level = min(warm, self.level * 2)
            self.left = self.level


class ColdFleet:
    """Entries at full demand in front of engines that are all cold."""

    def __init__(
        self, entries: int, upstreams: int, run_ms: int, seed: int
    ) -> None:
        self.clock = clocks.ManualClock()
        self.cluster = fakes.Cluster(self.clock, entries)
        self.fleet = fakes.make_fleet(self.clock, upstreams, 1, 16)
        self.engines = {
            id: RampEngine(self.fleet, id) for id in self.fleet.list
        }
        self.run_ms = run_ms
        self.permits = {
            id: permits.Permits(self.clock, node, node, self.fleet)
            for id, node in self.cluster.nodes.items()
        }
        self.routers = {
            id: routing.Router(
                self.fleet,
                random.Random(f"{seed}{id}"),
                available_permits=self.permits[id].available_permits,
            )
            for id in self.permits
        }
        self.series: list[tuple[int, int]] = []

    async def _worker(self, id: str) -> None:
        router, holder = self.routers[id], self.permits[id]
        while True:
            now_ms = self.clock.now_ms()
            choice = router.choose("s", "z0", (), (), now_ms)
            assert isinstance(choice, interfaces.Upstream)
            router.record_start(choice.id)
            permit = await holder.acquire(choice, now_ms + 500)
            if isinstance(permit, outcome.Refusal):
                router.record_end(choice.id)
                await self.clock.sleep_ms(min(permit.retry_after_ms, 200))
                continue
            engine = self.engines[choice.id]
            life = engine.begin()
            await self.clock.sleep_ms(self.run_ms)
            engine.end(life)
            router.record_end(choice.id)
            permit.close(first_token_ms=100)

    async def run(self, workers: int, limit_ms: int, stop_at: int) -> int:
        """Returns when so many requests ran at once; 0 if they never did."""
        for id in self.permits:
            for _ in range(workers):
                self.cluster.spawn(self._worker(id))
        reached_ms = 0
        while self.clock.now_ms() < limit_ms and not reached_ms:
            await self.tick(50)
            running = sum(e.in_flight for e in self.engines.values())
            self.series.append((self.clock.now_ms(), running))
            if running >= stop_at:
                reached_ms = self.clock.now_ms()
        return reached_ms

    async def tick(self, ms: int) -> None:
        now_ms = self.clock.now_ms()
        if now_ms % 500 == 0:
            self.cluster.beat()
            for engine in self.engines.values():
                engine.report()
        for holder in self.permits.values():
            holder.tick()
        await self.clock.advance(ms)

    async def close(self) -> None:
        await self.cluster.close()
        for holder in self.permits.values():
            await holder.on_stop()

    def first_ms(self) -> int:
        return next((at_ms for at_ms, running in self.series if running), 0)

    def overloads(self) -> int:
        return sum(engine.overloads for engine in self.engines.values())
