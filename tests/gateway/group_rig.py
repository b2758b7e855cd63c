"""Several gateways that share one domain of simulated workers."""

import asyncio
import dataclasses
import random

from oleanderbay.gateway import dialing, interfaces
from oleanderbay.process import clock as clocks
from tests.gateway import group_gateways, group_workers

RESULT = interfaces.OrderResult

EXPIRY_MS = 3 * group_workers.HEARTBEAT_MS


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
        self.assignments = group_gateways.Assignments(self.clock)
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
        self.gateways[name] = group_gateways.SimulatedGateway(self, name)
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
        found = next(m for m in group_gateways.MODELS if m.name == model)
        share = 1.0 if self.has_traffic else 0.1
        return found.warm_load_ms if staged else round(found.load_ms * share)

    async def deliver(self, gateway, record, operation, fence, arguments):
        """Carries an order to a worker; returns what the gateway learns."""
        worker = self.workers[record.id]
        await self.clock.sleep_ms(self.rng.choice((1, 3, 10)))
        if not self.reaches(gateway, worker):
            await gateway.clock.sleep_ms(group_gateways.CONNECT_TIMEOUT_MS)
            return RESULT.UNREACHABLE
        drawn = self.rng.random()
        if drawn < self.late_share:
            self.run(self._carry_out_late(worker, operation, fence, arguments))
            await gateway.clock.sleep_ms(group_gateways.ORDER_TIMEOUT_MS)
            return RESULT.UNKNOWN
        result = worker.obey(operation, fence, **arguments)
        self.note(gateway.name, operation, worker.id, arguments, result.value)
        if drawn < self.late_share + self.lost_share:
            await gateway.clock.sleep_ms(group_gateways.ORDER_TIMEOUT_MS)
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
