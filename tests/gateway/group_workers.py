"""Workers that serve in groups, simulated by the published rules of orders."""

import asyncio
import dataclasses

from oleanderbay.gateway import interfaces, workers

RESULT = interfaces.OrderResult
STATE = workers.MemberState

FORM_MS = 300
STALL_MS = 6_000
REJOIN_MS = 200
HEARTBEAT_MS = 1_200
REPORT_LAG_MS = 200


class SimulatedWorker:
    """One worker; it obeys orders by its epoch and its fencing token.

    Attributes:
        rig: The deployment that it belongs to.
        id: Its id, which a new incarnation keeps.
        zone: Its zone.
        born_ms: Start of this incarnation.
        alive: Whether it runs.
        draining: Whether it says that it drains.
        cut: Whether nothing reaches it and it reaches nothing.
        cut_from_store: Whether its records can't reach the store.
        thawed: Not set while the worker is frozen.
        group: Its membership; None for none.
        members: Ids of the members of its group, the head first.
    """

    def __init__(self, rig, worker_id, zone):
        self.rig = rig
        self.id = worker_id
        self.zone = zone
        self.alive = False
        self.thawed = asyncio.Event()
        self.staged = frozenset()
        self.start()

    def start(self):
        """Begins a new incarnation, which knows nothing of the last one."""
        self.born_ms = self.rig.clock.now_ms() + 1
        self.alive = True
        self.draining = False
        self.cut = False
        self.cut_from_store = False
        self.thawed.set()
        self.group = None
        self.members = ()
        self.model = ""
        self.sequence = 0
        self.fence = -1
        self.epoch = -1
        self.stalled_ms = -1
        self.history = []
        self.changed()

    def record(self):
        """Returns what the worker says of itself."""
        return workers.Worker(
            id=self.id,
            service="chat",
            address="127.0.0.1:9",
            zone=self.zone,
            domain="d",
            slots=4,
            draining=self.draining,
            started_ms=self.born_ms,
            sequence=self.sequence,
            models=(self.model,) if self.model else (),
            staged=self.staged,
            membership=self.group,
        )

    def changed(self):
        """Keeps the state for reports and writes a record."""
        self.history.append((self.rig.clock.now_ms(), self.record()))
        self.rig.write_record(self)

    def report(self):
        """Returns a report, which is some hundred ms old."""
        until_ms = self.rig.clock.now_ms() - REPORT_LAG_MS
        known = self.history[0][1]
        for changed_ms, record in self.history:
            if changed_ms <= until_ms:
                known = record
        return interfaces.Report(
            membership=known.membership,
            models=known.models,
            staged=known.staged,
            started_ms=known.started_ms,
        )

    def freeze(self):
        """Stops the worker until it is thawed."""
        self.thawed.clear()
        self.rig.update_stalls()

    def thaw(self):
        """Lets a frozen worker go on."""
        self.thawed.set()
        self.rig.update_stalls()

    def runs(self):
        """Whether the worker is alive and not frozen."""
        return self.alive and self.thawed.is_set()

    async def _sleep_ms(self, delay_ms):
        await self.rig.clock.sleep_ms(delay_ms)
        await self.thawed.wait()

    def in_group(self, name, epoch):
        """Whether the worker is a member of a group."""
        return self.group is not None and (
            (self.group.group, self.group.epoch) == (name, epoch)
        )

    def serves(self):
        """Whether it is the head of a group and does not count as broken."""
        return (
            self.alive
            and self.group is not None
            and not self.group.rank
            and self.group.state in (STATE.OPEN, STATE.CLOSING)
        )

    def obey(
        self,
        operation,
        fence,
        group="",
        epoch=0,
        model="",
        members=(),
        abrupt=True,
    ):
        """Carries out an order and returns the result."""
        if fence < self.fence:
            return RESULT.FENCED
        self.fence = fence
        if operation == "stage":
            self.staged = frozenset((model,))
            self.changed()
            return RESULT.BEGUN
        same = self.in_group(group, epoch)
        if operation == "join":
            return self._join(group, epoch, model, tuple(members), same)
        if not same:
            return RESULT.DONE if operation == "leave" else RESULT.CONFLICT
        if operation == "leave":
            self.rig.invariants.check_leave(self)
            self._set(None)
            return RESULT.DONE
        if self.group.rank or self.group.state in (
            STATE.JOINING,
            STATE.BROKEN,
        ):
            return RESULT.CONFLICT
        if operation == "open":
            if self.group.state is STATE.OPEN:
                return RESULT.DONE
            self.sequence += 1
            self.rig.run(self._open(self.group))
            return RESULT.BEGUN
        if self.group.state is STATE.READY:
            return RESULT.DONE
        self.sequence += 1
        if abrupt:
            self._set_state(STATE.READY)
        elif self.group.state is STATE.OPEN:
            self._set_state(STATE.CLOSING)
            self.rig.run(self._finish(self.group))
        return RESULT.BEGUN

    async def _finish(self, group):
        await self._sleep_ms(self.rig.rng.randint(100, 2_000))
        if self.group is group and self.alive:
            self._set_state(STATE.READY)

    def break_up(self):
        """Ends the service of a head that has stood still for too long."""
        self.stalled_ms = -1
        self._set_state(STATE.BROKEN)

    def _set(self, group):
        self.group = group
        self.sequence += 1
        self.rig.update_stalls()
        self.changed()

    def _set_state(self, state):
        self._set(dataclasses.replace(self.group, state=state))

    def _join(self, group, epoch, model, members, same):
        if epoch < self.epoch:
            return RESULT.FENCED
        if same:
            return RESULT.DONE if members == self.members else RESULT.FENCED
        self.rig.invariants.check_join(self, group)
        known = self.model == model
        self.epoch, self.members = epoch, members
        if not known:
            self.model = ""
        self.stalled_ms = -1
        self._set(
            workers.Membership(
                group=group,
                epoch=epoch,
                rank=members.index(self.id),
                state=STATE.JOINING,
            )
        )
        staged = model in self.staged
        load_ms = self.rig.load_ms(model, staged)
        self.rig.run(self._load(model, REJOIN_MS if known else load_ms))
        return RESULT.BEGUN

    async def _load(self, model, load_ms):
        group, born_ms = self.group, self.born_ms
        await self._sleep_ms(load_ms)
        if self.group is group and self.born_ms == born_ms and self.alive:
            self.model, self.staged = model, frozenset((model,))
            self._set_state(STATE.READY)
            self.rig.invariants.record_ready(self)

    async def _open(self, group):
        born_ms = self.born_ms
        await self._sleep_ms(FORM_MS)
        if self.group is group and self.born_ms == born_ms and self.alive:
            self.rig.invariants.check_open(self)
            self._set_state(STATE.OPEN)


def update_stalls(members, links, now_ms):
    """Notes which heads have begun to stand still, and breaks some.

    A head stands still while one of its members is gone, frozen, cut off from
    it, or in no group or another one.
    """
    for head in members.values():
        if not head.alive or head.group is None or head.group.rank:
            head.stalled_ms = -1
            continue
        if head.group.state not in (STATE.OPEN, STATE.CLOSING):
            head.stalled_ms = -1
            continue
        if is_whole(head, members, links):
            head.stalled_ms = -1
        elif head.stalled_ms < 0:
            head.stalled_ms = now_ms
        elif now_ms - head.stalled_ms >= STALL_MS and head.thawed.is_set():
            head.break_up()


def is_whole(head, members, links):
    """Whether a head reaches all members of its group."""
    return not head.cut and all(
        members[other].runs()
        and not members[other].cut
        and members[other].in_group(head.group.group, head.group.epoch)
        and links.is_open_both_ways(head.id, other)
        for other in head.members
    )
