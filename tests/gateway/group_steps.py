"""Steps that disturb a deployment of simulated workers and gateways.

Each step is explicit and ends what it begins by itself, so that a list of steps
can be shortened and played again.
"""

import dataclasses
from collections.abc import Mapping

from oleanderbay.gateway import workers
from tests.gateway import group_gateways, group_network

OPERATIONS = ("", "join", "open", "close", "leave")
ROLES = ("any", "head", "member")
DIRECTIONS = ("both", "to", "from")
ZONES = ("z1", "z2", "z3")
GATEWAYS = 3
MOST_WORKERS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One disturbance.

    Attributes:
        at_ms: Time at which it happens.
        kind: Name of the method of `Steps` that carries it out.
        arguments: Its arguments.
    """

    at_ms: int
    kind: str
    arguments: Mapping[str, object]

    def text(self):
        """Returns the step in one line."""
        arguments = " ".join(f"{k}={v}" for k, v in self.arguments.items())
        return f"{self.at_ms} {self.kind} {arguments}"


def _worker(rng):
    return {"role": rng.choice(ROLES), "number": rng.randrange(12)}


def _gateway(rng):
    return {"owner": rng.random() < 0.5, "number": rng.randrange(GATEWAYS)}


def _cut(rng):
    return {
        "direction": rng.choice(DIRECTIONS),
        "for_ms": rng.randint(300, 8_000),
    }


# What each kind of step draws as its arguments.
DRAWS = {
    "late_order": lambda rng: {
        "operation": rng.choice(OPERATIONS),
        "late_ms": rng.choice((rng.randint(1, 1_500), rng.randint(1, 12_000))),
    },
    "lost_order": lambda rng: {"operation": rng.choice(OPERATIONS)},
    "lost_answer": lambda rng: {"operation": rng.choice(OPERATIONS)},
    "disturb_record": lambda rng: {
        **_worker(rng),
        "late_ms": rng.choice((-1, rng.randint(100, 5_000))),
    },
    "busy": lambda rng: {
        "share": rng.choice((0.2, 0.6)),
        "for_ms": rng.randint(500, 4_000),
    },
    "kill_gateway": lambda rng: {
        **_gateway(rng),
        "back_ms": rng.randint(200, 4_000),
    },
    "freeze_gateway": lambda rng: {
        **_gateway(rng),
        "for_ms": rng.randint(100, 5_000),
    },
    "cut_workers_from_gateway": lambda rng: {
        **_gateway(rng),
        "every": rng.choice((1, 2, 5)),
        **_cut(rng),
    },
    "cut_peers": lambda rng: {**_gateway(rng), **_cut(rng)},
    "cut_store": lambda rng: {**_gateway(rng), **_cut(rng)},
    "cut_zones": lambda rng: {
        "zone": rng.choice(ZONES),
        "other": rng.choice((*ZONES, "all")),
        **_cut(rng),
    },
    "move_duties": lambda rng: {
        "number": rng.randrange(GATEWAYS),
        "at_once": rng.random() < 0.5,
    },
    "stop_assignments": lambda rng: {"for_ms": rng.randint(300, 5_000)},
    "end_worker": lambda rng: {
        **_worker(rng),
        "back_ms": rng.choice((0, rng.randint(100, 8_000))),
    },
    "add_worker": lambda rng: {},
    "cut_worker": lambda rng: {
        **_worker(rng),
        "for_ms": rng.randint(300, 9_000),
    },
    "cut_worker_from_store": lambda rng: {
        **_worker(rng),
        "for_ms": rng.randint(300, 9_000),
    },
    "cut_member": lambda rng: {"number": rng.randrange(12), **_cut(rng)},
    "freeze_worker": lambda rng: {
        **_worker(rng),
        "for_ms": rng.randint(100, 9_000),
    },
    "drain": lambda rng: {**_worker(rng), "for_ms": rng.randint(500, 9_000)},
    "demand": lambda rng: {
        "large": rng.choice((0, 2, 6, 12)),
        "small": rng.choice((0, 2, 6, 12)),
    },
    "evacuate": lambda rng: {
        "zone": rng.choice(ZONES),
        "for_ms": rng.randint(1_000, 12_000),
    },
    "restore_store": lambda rng: {"back_ms": rng.randint(100, 6_000)},
    "change_view": lambda rng: {
        **_gateway(rng),
        "worker": rng.randrange(12),
        "what": rng.choice(("old", "absent", "unreadable")),
    },
}
KINDS = tuple(DRAWS)


class Steps:
    """Carries out steps on a deployment."""

    def __init__(self, rig):
        self.rig = rig
        self.cuts = []

    def apply(self, step):
        """Carries out a step."""
        self.rig.note("step", step.kind, dict(step.arguments))
        getattr(self, step.kind)(**step.arguments)
        self.rig.update_stalls()

    def end_all(self):
        """Ends all disturbances; what has been killed starts again."""
        rig = self.rig
        rig.links.restore_all()
        rig.assignments.down = False
        rig.timeout_share = 0.0
        rig.next_orders.clear()
        rig.next_records.clear()
        for zone in tuple(rig.records.evacuated_ms):
            rig.records.set_evacuated(zone, False)
        for gateway in rig.gateways.values():
            gateway.clock.running.set()
        for worker in rig.workers.values():
            worker.thawed.set()
            if not worker.alive or worker.draining:
                worker.start()
        while len(self._gateways()) < GATEWAYS:
            rig.start_gateway()
        self.demand(large=2, small=6)

    def _later(self, delay_ms, action, *arguments):
        async def wait():
            await self.rig.clock.sleep_ms(delay_ms)
            action(*arguments)
            self.rig.update_stalls()

        self.rig.run(wait())

    def _gateways(self):
        return [g for g in self.rig.gateways.values() if g.alive]

    def _gateway(self, owner, number):
        alive = self._gateways()
        holder = self.rig.gateways.get(self.rig.assignments.holder)
        if owner and holder in alive:
            return holder
        return alive[number % len(alive)]

    def _find_worker(self, role, number):
        found = [w for w in self.rig.workers.values() if w.alive]
        if role != "any":
            in_role = [
                w
                for w in found
                if w.group is not None
                and (w.group.rank == 0) == (role == "head")
            ]
            found = in_role or found
        return found[number % len(found)] if found else None

    def _cut(self, pairs, for_ms):
        self._later(for_ms, self.rig.links.restore, self.rig.links.cut(pairs))

    def late_order(self, operation, late_ms):
        self.rig.next_orders.append((operation, "late", late_ms))

    def lost_order(self, operation):
        self.rig.next_orders.append((operation, "lost", 0))

    def lost_answer(self, operation):
        self.rig.next_orders.append((operation, "unanswered", 0))

    def disturb_record(self, role, number, late_ms):
        worker = self._find_worker(role, number)
        if worker is not None:
            self.rig.next_records[worker.id] = late_ms

    def busy(self, share, for_ms):
        self.rig.timeout_share = share
        self._later(for_ms, setattr, self.rig, "timeout_share", 0.0)

    def kill_gateway(self, owner, number, back_ms):
        if len(self._gateways()) > 1:
            self.rig.kill(self._gateway(owner, number))

            def start():
                if len(self._gateways()) < GATEWAYS:
                    self.rig.start_gateway()

            self._later(back_ms, start)

    def freeze_gateway(self, owner, number, for_ms):
        gateway = self._gateway(owner, number)
        gateway.clock.running.clear()
        self._later(for_ms, gateway.clock.running.set)

    def cut_workers_from_gateway(self, owner, number, every, direction, for_ms):
        gateway = self._gateway(owner, number)
        names = list(self.rig.workers)[number % every :: every]
        self._cut(
            group_network.between([gateway.name], names, direction), for_ms
        )

    def cut_peers(self, owner, number, direction, for_ms):
        gateway = self._gateway(owner, number)
        self._cut(
            group_network.between([gateway.name], self.rig.gateways, direction),
            for_ms,
        )

    def cut_store(self, owner, number, direction, for_ms):
        gateway = self._gateway(owner, number)
        self._cut(
            group_network.between(
                [gateway.name], [group_network.STORE], direction
            ),
            for_ms,
        )

    def _in_zone(self, zone):
        return [
            name
            for name, one in (
                *self.rig.gateways.items(),
                *self.rig.workers.items(),
            )
            if zone in (one.zone, "all")
        ]

    def cut_zones(self, zone, other, direction, for_ms):
        inside = self._in_zone(zone)
        others = [n for n in self._in_zone(other) if n not in inside]
        if other == "all":
            others.append(group_network.STORE)
        self._cut(group_network.between(inside, others, direction), for_ms)

    def move_duties(self, number, at_once):
        gateway = self._gateway(False, number)
        self.rig.assignments.rebalance(gateway.name, at_once)

    def stop_assignments(self, for_ms):
        self.rig.assignments.down = True
        self._later(for_ms, setattr, self.rig.assignments, "down", False)

    def _end(self, worker, back_ms):
        worker.alive = False
        self.rig.note("end", worker.id, worker.group)

        def start():
            if not worker.alive:
                worker.start()

        if back_ms:
            self._later(back_ms, start)

    def end_worker(self, role, number, back_ms):
        worker = self._find_worker(role, number)
        if worker is not None:
            self._end(worker, back_ms)

    def add_worker(self):
        if len(self.rig.workers) < MOST_WORKERS:
            self.rig.add_worker()

    def cut_worker(self, role, number, for_ms):
        worker = self._find_worker(role, number)
        if worker is not None:
            others = (
                *self.rig.workers,
                *self.rig.gateways,
                group_network.STORE,
            )
            self._cut(group_network.between([worker.id], others), for_ms)

    def cut_worker_from_store(self, role, number, for_ms):
        worker = self._find_worker(role, number)
        if worker is not None:
            self._cut(
                group_network.between([worker.id], [group_network.STORE]),
                for_ms,
            )

    def cut_member(self, number, direction, for_ms):
        worker = self._find_worker("member", number)
        if worker is not None and worker.group is not None:
            self._cut(
                group_network.between(
                    [worker.id], [worker.members[0]], direction
                ),
                for_ms,
            )

    def freeze_worker(self, role, number, for_ms):
        worker = self._find_worker(role, number)
        if worker is not None:
            worker.freeze()
            self._later(for_ms, worker.thaw)

    def drain(self, role, number, for_ms):
        worker = self._find_worker(role, number)
        if worker is None:
            return
        worker.draining = True
        worker.changed()
        born_ms = worker.born_ms

        def end():
            if worker.alive and worker.born_ms == born_ms:
                self._end(worker, 1_000)

        self._later(for_ms, end)

    def demand(self, large, small):
        wanted = {"large": large, "small": small}
        for model in group_gateways.MODELS:
            for gateway in self._gateways():
                current = gateway.demand._in_progress[model.name]
                for _ in range(wanted[model.name] - current):
                    gateway.demand.record_start(model.name)
                for _ in range(current - wanted[model.name]):
                    gateway.demand.record_end(model.name)

    def evacuate(self, zone, for_ms):
        self.rig.records.set_evacuated(zone, True)
        self._later(for_ms, self.rig.records.set_evacuated, zone, False)

    def restore_store(self, back_ms):
        until_ms = self.rig.clock.now_ms() - back_ms
        self.rig.records.restore(until_ms)
        self.rig.assignments.restore(until_ms)

    def change_view(self, owner, number, worker, what):
        gateway = self._gateway(owner, number)
        worker_id = f"w{worker}"
        if what == "absent":
            gateway.apply(0, worker_id, None)
        elif what == "unreadable":
            gateway.apply(0, worker_id, "unreadable")
        else:
            known = [
                record
                for _, name, record in self.rig.records.entries
                if name == worker_id and isinstance(record, workers.Worker)
            ]
            if known:
                gateway.apply(0, worker_id, known[max(0, len(known) - 3)])
