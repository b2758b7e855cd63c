"""Several gateways that share one domain of simulated workers."""

import asyncio
import dataclasses
import random

import structlog

from oleanderbay.connection import permissions
from oleanderbay.gateway import (
    controller,
    demand,
    dialing,
    domain_ownership,
    health,
    interfaces,
    request_load,
    state,
    table,
)
from oleanderbay.process import clock as clocks
from tests.gateway import group_workers, parts

RESULT = interfaces.OrderResult

MODELS = (
    table.Model(
        name="large",
        group_size=4,
        expected_share=0.5,
        time_factor=1.0,
        load_ms=5_000,
        warm_load_ms=1_600,
    ),
    table.Model(
        name="small",
        group_size=2,
        expected_share=0.5,
        time_factor=0.6,
        load_ms=4_000,
        warm_load_ms=1_100,
    ),
)
SERVICE = table.Service(
    name="chat",
    health_path="/health",
    engine=table.Engine(
        slots=4, models=MODELS, loads_per_s=100.0, max_staged_models=1
    ),
)
CONNECT_TIMEOUT_MS = 250
ORDER_TIMEOUT_MS = 600
EXPIRY_MS = 3 * group_workers.HEARTBEAT_MS
HEARTBEAT_MS = 200
OWNERSHIP_TTL_MS = 1_400
JOIN_INTERVAL_MS = 500


class PausableClock:
    """The shared clock as one gateway sees it, which may stand still."""

    def __init__(self, clock):
        self.clock = clock
        self.running = asyncio.Event()
        self.running.set()
        self.now_ms = clock.now_ms
        self.wall_ms = clock.wall_ms
        self.boot_ms = clock.boot_ms

    async def sleep_ms(self, delay_ms):
        await self.clock.sleep_ms(delay_ms)
        await self.running.wait()


class Assignments:
    """Gives one domain to one of the gateways at a time.

    A holder that is alive gives the domain up when it learns of a new
    generation, unless all assignments are made anew at once.
    """

    partitions = 1

    def __init__(self, clock):
        self.clock = clock
        self.generation = 0
        self.wanted = ""
        self.holder = ""
        self.members = {}
        self.down = False

    async def join(self, member, ttl_ms, generation):
        await self.clock.sleep_ms(4)
        if self.down:
            raise interfaces.StoreError("down")
        now_ms = self.clock.now_ms()
        for other, (_, until_ms) in tuple(self.members.items()):
            if until_ms <= now_ms and other != member:
                await self.leave(other)
        if member not in self.members:
            self.generation += 1
            self.wanted = self.wanted or member
        self.members[member] = (generation, now_ms + ttl_ms)
        if self.holder != self.wanted and (
            not self.holder
            or (self.holder == member and generation >= self.generation)
        ):
            self.holder = self.wanted
        held = member == self.holder == self.wanted
        return interfaces.Ownership(
            self.generation, frozenset((0,)) if held else frozenset()
        )

    async def leave(self, member):
        if self.members.pop(member, None) is not None:
            self.generation += 1
        if self.holder == member:
            self.holder = ""
        if self.wanted == member:
            self.wanted = next(iter(self.members), "")

    def rebalance(self, member, at_once):
        """Assigns the domain to a member.

        Args:
            member: The member.
            at_once: Whether the holder loses it without having learned of it.
        """
        if member in self.members:
            self.generation += 1
            self.wanted = member
            if at_once:
                self.holder = member


class SimulatedGateway:
    """The parts of a gateway that decide about groups.

    Attributes:
        name: Name of this run of the gateway.
        alive: Whether it runs.
        cut_from: Ids of the workers that it can't reach.
        read_from_ms: Time from which on it reads records without a gap.
        delay_ms: Delay of the records.
    """

    def __init__(self, rig, name):
        self.rig = rig
        self.name = name
        self.alive = True
        self.cut_from = set()
        self.clock = PausableClock(rig.clock)
        self.decoder = parts.Decoder()
        self.state = state.State(self.decoder, self.clock)
        self.state.apply_configuration(
            self.decoder.record(
                1, "config", parts.routing_table(services=(SERVICE,))
            )
        )
        self.health = health.HealthTracker(self.clock)
        self.ownership = domain_ownership.DomainOwnership(
            rig.assignments,
            self.clock,
            name,
            OWNERSHIP_TTL_MS,
            JOIN_INTERVAL_MS,
        )
        self.demand = demand.Demand(self.clock)
        self.demand.has_traffic = rig.has_traffic
        self.read_from_ms = rig.clock.now_ms()
        self.reads = True
        self.applied = 0
        self.controller = controller.GroupController(
            self.state,
            self._uninterrupted_ms,
            self.health,
            self.ownership,
            self,
            request_load.RequestLoad(),
            self.demand,
            parts.SETTINGS,
            self.clock,
            random.Random(rig.rng.random()),
            name,
        )
        for run in (
            self.ownership.run,
            self.controller.run,
            self._read,
            self._exchange,
        ):
            rig.run(self._labelled(run), self)

    async def _labelled(self, run):
        structlog.contextvars.bind_contextvars(gateway=self.name)
        await run()

    def _uninterrupted_ms(self):
        if not self.reads:
            return 0
        return self.rig.clock.now_ms() - self.read_from_ms

    async def _read(self):
        while True:
            await self.clock.sleep_ms(self.rig.rng.choice((20, 100, 500)))
            if not self.reads:
                continue
            for offset, worker_id, record in self.rig.records[self.applied :]:
                self.state.apply_worker(
                    interfaces.KeyedRecord(offset, worker_id, None)
                    if record is None
                    else self.decoder.record(offset, worker_id, record)
                )
            self.applied = len(self.rig.records)

    async def _exchange(self):
        while True:
            await self.clock.sleep_ms(HEARTBEAT_MS)
            said = self.health.report()
            for peer in self.rig.gateways.values():
                if peer is not self and peer.alive:
                    peer.health.update_peer(
                        self.name,
                        said["suspects"],
                        said["sound"],
                        dict(said["lost"]),
                    )
                    peer.demand.has_traffic |= self.demand.has_traffic
            alive = frozenset(
                name for name, peer in self.rig.gateways.items() if peer.alive
            )
            self.health.retain_peers(alive, frozenset(self.state.workers))

    async def _order(self, operation, worker, fence, **arguments):
        """Sends an order and returns its result as the gateway learns it."""
        try:
            permissions.check()
        except permissions.PermissionExpiredError:
            return RESULT.EXPIRED
        return await self.rig.deliver(self, worker, operation, fence, arguments)

    async def join_group(self, worker, fence, group, epoch, model, members):
        return await self._order(
            "join",
            worker,
            fence,
            group=group,
            epoch=epoch,
            model=model,
            members=tuple(members),
        )

    async def open_group(self, worker, fence, group, epoch):
        return await self._order(
            "open", worker, fence, group=group, epoch=epoch
        )

    async def close_group(self, worker, fence, group, epoch, abrupt):
        return await self._order(
            "close", worker, fence, group=group, epoch=epoch, abrupt=abrupt
        )

    async def leave_group(self, worker, fence, group, epoch):
        return await self._order(
            "leave", worker, fence, group=group, epoch=epoch
        )

    async def stage_model(self, worker, fence, model):
        return await self._order("stage", worker, fence, model=model)

    async def fetch_report(self, worker, timeout_ms):
        target = self.rig.workers[worker.id]
        if not self.rig.reaches(self, target) or self.rig.times_out():
            await self.clock.sleep_ms(min(timeout_ms, CONNECT_TIMEOUT_MS))
            return RESULT.UNREACHABLE
        await self.clock.sleep_ms(self.rig.rng.choice((2, 5, 20)))
        return target.report()

    async def is_healthy(self, worker, path, timeout_ms):
        target = self.rig.workers[worker.id]
        await self.clock.sleep_ms(5)
        return (
            self.rig.reaches(self, target)
            and target.born_ms == worker.started_ms
            and not target.draining
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken.

    Attributes:
        at_ms: Time of the simulation.
        rule: Name of the rule.
        text: What happened.
    """

    at_ms: int
    rule: str
    text: str


class Rig:
    """Gateways, workers, the store between them, and what disturbs them.

    Attributes:
        late_share: Share of the orders that get no answer and are carried out
            2 to 12 s later.
        lost_share: Share of the orders whose answer is lost.
        timeout_share: Share of the reports that a busy gateway misses.
        late_record_share: Share of the records that reach the store only after
            newer ones.
        violations: What broke a rule.
        taken_apart: Orders to leave that ended a whole group that served.
        trace: What happened, with the time.
    """

    def __init__(self, seed, workers=12, gateways=3):
        self.rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.assignments = Assignments(self.clock)
        self.records = []
        self.written_ms = {}
        self.was_ready = set()
        self.has_traffic = False
        self.late_share = 0.0
        self.lost_share = 0.0
        self.timeout_share = 0.0
        self.late_record_share = 0.0
        self.violations = []
        self.taken_apart = 0
        self.trace = []
        self.tasks = []
        self.workers = {}
        self.gateways = {}
        self.started = 0
        for number in range(workers):
            worker_id = f"w{number}"
            self.workers[worker_id] = group_workers.SimulatedWorker(
                self, worker_id
            )
        for _ in range(gateways):
            self.start_gateway()
        self.run(self._beat())

    def note(self, *parts_of_line):
        """Adds a line to the trace."""
        self.trace.append(
            (self.clock.now_ms(), " ".join(map(str, parts_of_line)))
        )

    def run(self, coroutine, owner=None):
        """Runs a coroutine until its owner or the rig ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append((owner, task))

    def close(self):
        """Ends everything."""
        for _, task in self.tasks:
            task.cancel()
        for gateway in self.gateways.values():
            gateway.controller.tasks.close()

    def start_gateway(self):
        """Starts a gateway that knows nothing yet."""
        self.started += 1
        name = f"g{self.started}"
        self.gateways[name] = SimulatedGateway(self, name)
        self.note("start", name)

    def begin_traffic(self):
        """Lets the first request come."""
        self.has_traffic = True
        for gateway in self.gateways.values():
            gateway.demand.has_traffic = True

    def kill(self, gateway):
        """Ends a gateway at once; its orders under way may still arrive."""
        gateway.alive = False
        gateway.controller.tasks.close()
        for owner, task in self.tasks:
            if owner is gateway:
                task.cancel()
        self.note("kill", gateway.name)

    def reaches(self, gateway, worker):
        """Whether a gateway reaches a worker, by itself or if allowed to.

        Tasks that `connecting_to` allows it may ask any other gateway.
        """
        if not worker.alive or worker.cut:
            return False
        others = (
            self.gateways.values() if dialing._TARGET.get() is not None else ()
        )
        return any(
            one.alive and worker.id not in one.cut_from
            for one in (gateway, *others)
        )

    def times_out(self):
        """Whether a report comes too late for a busy gateway."""
        return self.rng.random() < self.timeout_share

    def load_ms(self, model, staged):
        """Returns the time of a load from the host or from the weight store."""
        found = next(m for m in MODELS if m.name == model)
        share = 1.0 if self.has_traffic else 0.1
        return found.warm_load_ms if staged else round(found.load_ms * share)

    async def deliver(self, gateway, record, operation, fence, arguments):
        """Carries an order to a worker; returns what the gateway learns."""
        worker = self.workers[record.id]
        await self.clock.sleep_ms(self.rng.choice((1, 3, 10)))
        if not self.reaches(gateway, worker):
            await gateway.clock.sleep_ms(CONNECT_TIMEOUT_MS)
            return RESULT.UNREACHABLE
        drawn = self.rng.random()
        if drawn < self.late_share:
            self.run(self._carry_out_late(worker, operation, fence, arguments))
            await gateway.clock.sleep_ms(ORDER_TIMEOUT_MS)
            return RESULT.UNKNOWN
        result = worker.obey(operation, fence, **arguments)
        self.note(gateway.name, operation, worker.id, arguments, result.value)
        if drawn < self.late_share + self.lost_share:
            await gateway.clock.sleep_ms(ORDER_TIMEOUT_MS)
            return RESULT.UNKNOWN
        await gateway.clock.sleep_ms(self.rng.choice((1, 3, 10)))
        return result

    async def _carry_out_late(self, worker, operation, fence, arguments):
        await self.clock.sleep_ms(self.rng.randint(2_000, 12_000))
        if worker.alive:
            result = worker.obey(operation, fence, **arguments)
            self.note("late", operation, worker.id, arguments, result.value)

    def write_record(self, worker):
        """Writes a record of a worker to the store."""
        if worker.cut or worker.cut_from_store:
            return
        if self.rng.random() < self.late_record_share:
            self.run(self._write_late(worker.id, worker.record()))
            return
        self._append(worker.id, worker.record())

    async def _write_late(self, worker_id, record):
        await self.clock.sleep_ms(self.rng.randint(300, 3_000))
        self._append(worker_id, record)

    def _append(self, worker_id, record):
        self.written_ms[worker_id] = self.clock.now_ms()
        self.records.append((len(self.records) + 1, worker_id, record))

    async def _beat(self):
        """Writes the workers' heartbeats, and drops records that expire."""
        while True:
            await self.clock.sleep_ms(100)
            now_ms = self.clock.now_ms()
            self.update_stalls()
            for worker in self.workers.values():
                written_ms = self.written_ms.get(worker.id)
                if worker.alive and (
                    written_ms is None
                    or now_ms - written_ms >= group_workers.HEARTBEAT_MS
                ):
                    self.write_record(worker)
                written_ms = self.written_ms.get(worker.id)
                if written_ms is not None and now_ms - written_ms >= EXPIRY_MS:
                    del self.written_ms[worker.id]
                    self.records.append(
                        (len(self.records) + 1, worker.id, None)
                    )

    def update_stalls(self):
        """Updates which heads stand still."""
        group_workers.update_stalls(self.workers, self.clock.now_ms())

    def check_join(self, worker, group):
        """Checks that no head serves the group that a worker leaves."""
        self.update_stalls()
        if worker.group is None:
            return
        head = self.workers[worker.members[0]]
        if (
            head.in_group(worker.group.group, worker.group.epoch)
            and head.serves()
        ):
            self._violate(
                "TWO",
                f"{worker.id} joins {group} while {head.id} serves"
                f" {worker.group.group}",
            )

    def check_leave(self, worker):
        """Counts an order that ends a whole group that serves."""
        self.update_stalls()
        head = self.workers[worker.members[0]]
        key = (worker.group.group, worker.group.epoch)
        if head.in_group(*key) and head.serves() and head.stalled_ms < 0:
            self.taken_apart += not any(
                self.workers[member].draining for member in head.members
            )

    def check_open(self, head):
        """Checks that all members of a group have been ready in it."""
        for member in head.members:
            if (member, head.group.group, head.members) not in self.was_ready:
                self._violate(
                    "PARTIAL", f"{head.id} opens without {member} being ready"
                )

    def _violate(self, rule, text):
        self.violations.append(Violation(self.clock.now_ms(), rule, text))
        self.note("violation", rule, text)
