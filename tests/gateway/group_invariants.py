"""What must hold for groups at all times, judged by what workers take."""

import collections
import dataclasses

from oleanderbay.gateway import interfaces, workers
from tests.gateway import group_workers

RESULT = interfaces.OrderResult
STATE = workers.MemberState

# Time in which an order that was planned before a worker drains, or before its
# zone is evacuated, may still be sent: its record has to reach the owner.
PLANNED_MS = 4_000
CARRIED_OUT = (RESULT.DONE, RESULT.BEGUN)


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


@dataclasses.dataclass(frozen=True, slots=True)
class SentOrder:
    """An order as its sender sent it.

    Attributes:
        sender: Name of the gateway.
        sent_ms: Time at which it was sent.
        operation: What it asks for.
        fence: Its fencing token.
        arguments: Its other fields.
    """

    sender: str
    sent_ms: int
    operation: str
    fence: int
    arguments: dict


class Invariants:
    """Judges each order that a worker carries out.

    Attributes:
        violations: What broke a rule.
        taken_apart: Orders to leave that ended a whole group that served.
        reached: Number of orders by state of the group at the worker,
            decision of the gateway, and result.
    """

    def __init__(self, rig):
        self.rig = rig
        self.violations = []
        self.taken_apart = 0
        self.reached = collections.Counter()
        self._was_ready = set()
        self._fences = {}
        self._lists = {}
        self._closed_with = {}

    def violate(self, rule, text):
        """Records that a rule was broken."""
        self.violations.append(Violation(self.rig.clock.now_ms(), rule, text))
        self.rig.note("violation", rule, text)

    def record_ready(self, worker):
        """Records that a worker is ready in its group."""
        self._was_ready.add(
            (
                worker.id,
                worker.group.group,
                worker.group.epoch,
                worker.members,
            )
        )

    def check_join(self, worker, group):
        """TWO: no head serves the group that a worker leaves by a join."""
        self.rig.update_stalls()
        if worker.group is None:
            return
        head = self.rig.workers[worker.members[0]]
        if (
            head.in_group(worker.group.group, worker.group.epoch)
            and head.serves()
        ):
            self.violate(
                "TWO",
                f"{worker.id} joins {group} while {head.id} serves"
                f" {worker.group.group}",
            )

    def check_leave(self, worker):
        """Counts an order that ends a whole group that serves."""
        self.rig.update_stalls()
        head = self.rig.workers[worker.members[0]]
        key = (worker.group.group, worker.group.epoch)
        if head.in_group(*key) and head.serves() and head.stalled_ms < 0:
            self.taken_apart += not any(
                self.rig.workers[member].draining for member in head.members
            )

    def check_open(self, head):
        """PARTIAL: all members of a group have been ready in it."""
        key = (head.group.group, head.group.epoch, head.members)
        for member in head.members:
            if (member, *key) not in self._was_ready:
                self.violate(
                    "PARTIAL", f"{head.id} opens without {member} being ready"
                )

    def carry_out(self, worker, order):
        """Lets a worker carry out an order, and judges it.

        Returns:
            The result of the worker.
        """
        before = worker.group
        self.rig.update_stalls()
        stands = before is not None and worker.stalled_ms >= 0
        state = "none" if before is None else before.state.value
        if before is not None and before.rank:
            state += " member"
        if stands:
            state += " stalled"
        result = worker.obey(order.operation, order.fence, **order.arguments)
        decision = order.operation
        if order.arguments.get("abrupt"):
            decision += " now"
        self.reached[state, decision, result.value] += 1
        if result in CARRIED_OUT:
            self._check_fence(worker, order)
            self._check_duty(worker, order)
            if order.operation == "join":
                self._check_name(worker, order)
                if result is RESULT.BEGUN:
                    self._check_free(worker, order)
            self._check_close(worker, order, before, stands)
        return result

    def _check_fence(self, worker, order):
        """FENCE: no order is obeyed after one with a higher fence."""
        key = (worker.id, worker.born_ms)
        seen = self._fences.get(key, -1)
        if order.fence < seen:
            self.violate(
                "FENCE",
                f"{worker.id} obeys {order.operation} of {order.sender} with"
                f" {order.fence} after {seen}",
            )
        self._fences[key] = max(seen, order.fence)

    def _check_duty(self, worker, order):
        """DUTY: an order was sent while its sender could own the domain."""
        until_ms = self.rig.assignments.held_until_ms.get(order.sender, -1)
        if order.sent_ms > until_ms:
            self.violate(
                "DUTY",
                f"{worker.id} obeys {order.operation} that {order.sender} sent"
                f" at {order.sent_ms}, owner until {until_ms}",
            )

    def _check_name(self, worker, order):
        """EPOCH: a name and an epoch stand for one model and one list."""
        asked = order.arguments
        key = (asked["group"], asked["epoch"])
        meant = (asked["model"], asked["members"])
        if self._lists.setdefault(key, meant) != meant:
            self.violate(
                "EPOCH",
                f"{worker.id} joins {key[0]} as {meant}, before"
                f" {self._lists[key]}",
            )

    def _check_free(self, worker, order):
        """NEW: no new group for draining workers and evacuated zones."""
        for reason, since_ms in (
            (
                "drains",
                self.rig.records.drain_ms.get((worker.id, worker.born_ms)),
            ),
            (
                "is in an evacuated zone",
                self.rig.records.evacuated_ms.get(worker.zone),
            ),
        ):
            if since_ms is not None and order.sent_ms - since_ms > PLANNED_MS:
                self.violate(
                    "NEW",
                    f"{worker.id} {reason} since {since_ms} and joins"
                    f" {order.arguments['group']}, sent by {order.sender} at"
                    f" {order.sent_ms}",
                )

    def _check_close(self, worker, order, before, stands):
        """CLOSE: a head that closes for an owner is not made to leave by it."""
        if order.operation == "close":
            self._closed_with[worker.id, before.group, before.epoch] = (
                order.sender,
                order.fence,
            )
        elif (
            order.operation == "leave"
            and before is not None
            and worker.group is None
            and before.state is STATE.CLOSING
            and not stands
            and self._closed_with.get((worker.id, before.group, before.epoch))
            == (order.sender, order.fence)
        ):
            self.violate(
                "CLOSE",
                f"{worker.id} leaves {before.group} for {order.sender} while"
                " it closes",
            )

    def unsettled(self):
        """Returns what does not hold once all disturbances are over.

        Each item is a rule and a text.
        """
        self.rig.update_stalls()
        found = []
        alive = [w for w in self.rig.workers.values() if w.alive]
        serving = [
            w for w in alive if w.serves() and w.group.state is STATE.OPEN
        ]
        if not any(w.stalled_ms < 0 for w in serving):
            found.append(("SERVES", "no group of the domain serves"))
        for worker in alive:
            if worker.group is None:
                continue
            if worker.group.state in (STATE.JOINING, STATE.CLOSING):
                found.append(
                    ("LIMBO", f"{worker.id} is {worker.group.state.value}")
                )
            elif worker in serving and worker.stalled_ms >= 0:
                found.append(("LIMBO", f"{worker.id} serves without members"))
        for gateway in self.rig.gateways.values():
            if gateway.alive:
                found.extend(
                    ("TABLE", f"{gateway.name} keeps {text}")
                    for text in _kept(gateway, self.rig.workers)
                )
        return found


def _kept(gateway, members):
    """Yields entries of a gateway's tables for what is gone."""
    alive = {w.id: w for w in members.values() if w.alive}
    keys = {
        (w.group.group, w.group.epoch)
        for w in alive.values()
        if w.group is not None
    }
    state, groups = gateway.state, gateway.controller
    dissolution, formations = groups.dissolution, groups.formations
    for name, table in (
        ("workers", state.workers),
        ("missing_members", state.missing_members),
        ("lost", gateway.health.lost),
        ("joining", formations.joining),
    ):
        for worker_id in table:
            if worker_id not in alive:
                yield f"{worker_id} in {name}"
    for worker_id, known in state.workers.items():
        if worker_id in alive and known.started_ms != alive[worker_id].born_ms:
            yield f"a former start of {worker_id}"
    for name, table in (
        ("closed", dissolution.closed),
        ("idle", dissolution.idle),
        ("orphaned", dissolution.orphaned),
        ("heads", dissolution._heads),
        ("released", dissolution._released),
    ):
        for key in table:
            if key not in keys:
                yield f"{key[0]} in {name}"


def update_stalls(rig):
    """Notes which heads stand still."""
    group_workers.update_stalls(rig.workers, rig.links, rig.clock.now_ms())
