"""Several gateways that share one domain of simulated workers."""

import asyncio
import random

from oleanderbay.gateway import dialing, interfaces
from tests.gateway import (
    group_gateways,
    group_invariants,
    group_network,
    group_store,
    group_workers,
)

RESULT = interfaces.OrderResult

EXPIRY_MS = 3 * group_workers.HEARTBEAT_MS


class Rig:
    """Gateways, workers, the store between them, and what disturbs them.

    Attributes:
        late_share: Share of the orders that get no answer and are carried out
            2 to 12 s later.
        lost_share: Share of the orders whose answer is lost.
        timeout_share: Share of the reports that a busy gateway misses.
        late_record_share: Share of the records that reach the store only after
            newer ones.
        next_orders: What happens to the next orders, as operation or
            empty for any, fault and delay.
        next_records: What happens to the next record of a worker, by its id,
            as delay or -1 for lost.
        invariants: Judges what the workers do.
        trace: What happened, with the time.
    """

    def __init__(self, seed, workers=12, gateways=3, zones=1):
        self.rng = random.Random(seed)
        self.clock = group_network.SettlingClock()
        self.links = group_network.Links()
        self.assignments = group_store.Assignments(self.clock, self.links)
        self.records = group_store.Records(self.clock)
        self.invariants = group_invariants.Invariants(self)
        self.zones = zones
        self.has_traffic = False
        self.late_share = 0.0
        self.lost_share = 0.0
        self.timeout_share = 0.0
        self.late_record_share = 0.0
        self.next_orders = []
        self.next_records = {}
        self.trace = []
        self.tasks = []
        self.workers = {}
        self.gateways = {}
        self.started = 0
        for _ in range(workers):
            self.add_worker()
        for _ in range(gateways):
            self.start_gateway()
        self.run(self._beat())

    @property
    def violations(self):
        """What broke a rule."""
        return self.invariants.violations

    def add_worker(self):
        """Starts a worker with a new id."""
        number = len(self.workers)
        worker_id = f"w{number}"
        self.workers[worker_id] = group_workers.SimulatedWorker(
            self, worker_id, f"z{1 + number % self.zones}"
        )

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
        self.gateways[name] = group_gateways.SimulatedGateway(
            self, name, f"z{1 + self.started % self.zones}"
        )
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
        """Whether a gateway gets answers of a worker."""
        return worker.thawed.is_set() and all(self.path(gateway, worker))

    def path(self, gateway, worker):
        """Returns whether requests arrive at a worker, and answers return.

        Tasks that `connecting_to` allows it may ask any other gateway.
        """
        if not worker.alive or worker.cut:
            return False, False
        arrives = False
        for one in (gateway, *self.gateways.values()):
            if one is not gateway and (
                dialing._TARGET.get() is None
                or not one.alive
                or not one.clock.running.is_set()
                or not self.links.is_open_both_ways(gateway.name, one.name)
            ):
                continue
            if (
                one.alive
                and worker.id not in one.cut_from
                and self.links.is_open(one.name, worker.id)
            ):
                arrives = True
                if self.links.is_open(worker.id, one.name):
                    return True, True
        return arrives, False

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
        order = group_invariants.SentOrder(
            gateway.name, self.clock.now_ms(), operation, fence, arguments
        )
        await self.clock.sleep_ms(self.rng.choice((1, 3, 10)))
        arrives, returns = self.path(gateway, worker)
        fault, late_ms = self._next_order_fault(operation)
        if not arrives or fault == "lost":
            await gateway.clock.sleep_ms(group_gateways.CONNECT_TIMEOUT_MS)
            return RESULT.UNREACHABLE
        drawn = self.rng.random()
        if drawn < self.late_share:
            fault, late_ms = "late", -1
        elif drawn < self.late_share + self.lost_share:
            returns = False
        if fault == "late" or not worker.thawed.is_set():
            self.run(self._carry_out_late(worker, order, late_ms))
            await gateway.clock.sleep_ms(group_gateways.ORDER_TIMEOUT_MS)
            return RESULT.UNKNOWN
        result = self.invariants.carry_out(worker, order)
        self.note(gateway.name, operation, worker.id, arguments, result.value)
        if fault == "unanswered" or not returns:
            await gateway.clock.sleep_ms(group_gateways.ORDER_TIMEOUT_MS)
            return RESULT.UNKNOWN
        await gateway.clock.sleep_ms(self.rng.choice((1, 3, 10)))
        return result

    def _next_order_fault(self, operation):
        for item in self.next_orders:
            if item[0] in ("", operation):
                self.next_orders.remove(item)
                self.note("order disturbed", *item)
                return item[1], item[2]
        return "", 0

    async def _carry_out_late(self, worker, order, late_ms):
        born_ms = worker.born_ms
        if late_ms < 0:
            late_ms = self.rng.randint(2_000, 12_000)
        await self.clock.sleep_ms(late_ms)
        await worker.thawed.wait()
        # A later incarnation gets it too, unless it waited in this process.
        if worker.alive and (late_ms or worker.born_ms == born_ms):
            result = self.invariants.carry_out(worker, order)
            self.note(
                "late",
                order.operation,
                worker.id,
                order.arguments,
                result.value,
            )

    def write_record(self, worker):
        """Writes a record of a worker to the store."""
        if (
            worker.cut
            or worker.cut_from_store
            or not self.links.is_open(worker.id, group_network.STORE)
        ):
            return
        late_ms = self.next_records.pop(worker.id, None)
        if late_ms is not None:
            self.note("record disturbed", worker.id, late_ms)
            if late_ms > 0:
                self.run(self._write_late(worker.id, worker.record(), late_ms))
            return
        if self.rng.random() < self.late_record_share:
            self.run(self._write_late(worker.id, worker.record(), -1))
            return
        self.records.append(worker.id, worker.record())

    async def _write_late(self, worker_id, record, late_ms):
        if late_ms < 0:
            late_ms = self.rng.randint(300, 3_000)
        await self.clock.sleep_ms(late_ms)
        self.records.append(worker_id, record)

    async def _beat(self):
        """Writes the workers' heartbeats, and drops records that expire."""
        while True:
            await self.clock.sleep_ms(100)
            now_ms = self.clock.now_ms()
            self.update_stalls()
            for worker in self.workers.values():
                written_ms = self.records.written_ms.get(worker.id)
                if worker.runs() and (
                    written_ms is None
                    or now_ms - written_ms >= group_workers.HEARTBEAT_MS
                ):
                    self.write_record(worker)
                written_ms = self.records.written_ms.get(worker.id)
                if written_ms is not None and now_ms - written_ms >= EXPIRY_MS:
                    self.records.append(worker.id, None)

    def update_stalls(self):
        """Updates which heads stand still."""
        group_invariants.update_stalls(self)
