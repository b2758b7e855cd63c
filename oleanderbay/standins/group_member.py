"""The rules by which a worker takes orders about its serving group."""

import dataclasses
import enum
from collections.abc import Coroutine, Mapping
from typing import Any

from oleanderbay.gateway import workers
from oleanderbay.process import clock as clocks

STATE = workers.MemberState

# Time of a join to a group of the model that the worker holds already.
REJOIN_MS = 200


class Outcome(enum.IntEnum):
    """What became of an order, as the status of the response."""

    DONE = 200
    BEGUN = 202
    CONFLICT = 409
    FENCED = 412


class GroupMember:
    """One worker's membership, models and fences, without any connection.

    A subclass runs what takes time, and is told of what happens. A restart
    forgets everything but the staged models, which are the host's.

    Attributes:
        id: The worker's id.
        alive: Whether it runs; what is under way ends without effect if not.
        form_ms: Time from the order to open to the open group.
        group: Its membership; None for none.
        members: Ids of the members of its newest group, the head first.
        model: Model that it holds; empty for none.
        staged: Models on its host.
        sequence: Number that rises with each order that begins something and
            each change of the membership.
        accepted_orders: Number of orders that have begun something.
        fence: Highest fencing token seen; -1 for none.
        epoch: Highest epoch seen; -1 for none.
    """

    def __init__(
        self, worker_id: str, clock: clocks.Clock, form_ms: int
    ) -> None:
        self.id = worker_id
        self.clock = clock
        self.form_ms = form_ms
        self.staged: frozenset[str] = frozenset()
        self.restart()

    def restart(self) -> None:
        """Begins a new incarnation, which knows nothing of the last one."""
        self.alive = True
        self.group: workers.Membership | None = None
        self.members: tuple[str, ...] = ()
        self.model = ""
        self.sequence = 0
        self.accepted_orders = 0
        self.fence = -1
        self.epoch = -1

    # What a subclass provides.

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs something that takes time."""
        raise NotImplementedError

    def load_time_ms(self, model: str, staged: bool) -> int:
        """Returns the time of a load."""
        raise NotImplementedError

    def stage_time_ms(self, model: str) -> int:
        """Returns the time to stage a model; 0 to stage it at once."""
        raise NotImplementedError

    async def finish_work(self) -> None:
        """Waits for the work of a head that closes after it."""
        raise NotImplementedError

    def changed(self) -> None:
        """Called after each change of what the worker says of itself."""

    def order_accepted(self) -> None:
        """Called when an order has been counted, before it takes effect."""

    def membership_changed(self) -> None:
        """Called after each change of the membership, before `changed`."""

    def before_join(self, group: str) -> None:
        """Called when a join is accepted, before it takes effect."""

    def before_leave(self) -> None:
        """Called when a leave is accepted, before it takes effect."""

    def before_open(self) -> None:
        """Called before a head begins to serve."""

    def became_ready(self) -> None:
        """Called when a member has become ready in its group."""

    # The rules.

    def in_group(self, name: str, epoch: int) -> bool:
        """Whether the worker is a member of a group."""
        return self.group is not None and (
            (self.group.group, self.group.epoch) == (name, epoch)
        )

    def obey(self, order: Mapping[str, Any]) -> Outcome:
        """Carries out an order, given by its fields, or begins to."""
        fence = order.get("fence", 0)
        if fence < self.fence:
            return Outcome.FENCED
        self.fence = fence
        expected = order.get("expected")
        if expected is not None and expected != self.accepted_orders:
            return Outcome.CONFLICT
        operation = order["operation"]
        if operation == "stage":
            return self._stage(order["model"])
        name, epoch = order["group"], order["epoch"]
        same = self.in_group(name, epoch)
        if operation == "join":
            members = tuple(order["members"])
            return self._join(name, epoch, order["model"], members, same)
        if self.group is None or not same:
            return Outcome.DONE if operation == "leave" else Outcome.CONFLICT
        if operation == "leave":
            self.before_leave()
            self._accept()
            self._set(None)
            return Outcome.DONE
        if self.group.rank or self.group.state in (STATE.JOINING, STATE.BROKEN):
            return Outcome.CONFLICT
        if operation == "open":
            return self._open(self.group)
        return self._close(self.group, order.get("close_mode") == "queue")

    def set_state(self, state: workers.MemberState) -> None:
        """Changes the state of the membership."""
        assert self.group is not None
        self._set(dataclasses.replace(self.group, state=state))

    def _accept(self) -> None:
        """Counts an order that begins something."""
        self.accepted_orders += 1
        self.sequence += 1
        self.order_accepted()

    def _set(self, group: workers.Membership | None) -> None:
        self.group = group
        self.sequence += 1
        self.membership_changed()
        self.changed()

    def _holds(self, group: workers.Membership | None) -> bool:
        """Whether nothing has changed since something was begun."""
        return self.group is group and self.alive

    def _join(
        self,
        name: str,
        epoch: int,
        model: str,
        members: tuple[str, ...],
        same: bool,
    ) -> Outcome:
        if self.id not in members:
            return Outcome.CONFLICT
        if epoch < self.epoch:
            return Outcome.FENCED
        if same:
            return Outcome.DONE if members == self.members else Outcome.FENCED
        self.before_join(name)
        self._accept()
        known = self.model == model
        self.epoch, self.members = epoch, members
        if not known:
            self.model = ""
        self._set(
            workers.Membership(
                group=name,
                epoch=epoch,
                rank=members.index(self.id),
                state=STATE.JOINING,
            )
        )
        load_ms = self.load_time_ms(model, model in self.staged)
        self.run(self._load(self.group, model, REJOIN_MS if known else load_ms))
        return Outcome.BEGUN

    async def _load(
        self, group: workers.Membership | None, model: str, load_ms: int
    ) -> None:
        await self.clock.sleep_ms(load_ms)
        if self._holds(group):
            self.model, self.staged = model, frozenset((model,))
            self.set_state(STATE.READY)
            self.became_ready()

    def _open(self, group: workers.Membership) -> Outcome:
        if group.state is STATE.OPEN:
            return Outcome.DONE
        self._accept()
        self.run(self._form(group))
        return Outcome.BEGUN

    async def _form(self, group: workers.Membership) -> None:
        await self.clock.sleep_ms(self.form_ms)
        if self._holds(group):
            self.before_open()
            self.set_state(STATE.OPEN)

    def _close(self, group: workers.Membership, queue: bool) -> Outcome:
        if group.state is STATE.READY:
            return Outcome.DONE
        self._accept()
        if not queue:
            self.set_state(STATE.READY)
        elif group.state is STATE.OPEN:
            self.set_state(STATE.CLOSING)
            self.run(self._finish(self.group))
        return Outcome.BEGUN

    async def _finish(self, group: workers.Membership | None) -> None:
        await self.finish_work()
        if self._holds(group):
            self.set_state(STATE.READY)

    def _stage(self, model: str) -> Outcome:
        self._accept()
        load_ms = self.stage_time_ms(model)
        if load_ms:
            self.run(self._finish_staging(model, load_ms))
        else:
            self._set_staged(model)
        return Outcome.BEGUN

    async def _finish_staging(self, model: str, load_ms: int) -> None:
        await self.clock.sleep_ms(load_ms)
        if self.alive:
            self._set_staged(model)

    def _set_staged(self, model: str) -> None:
        self.staged = frozenset((model,))
        self.changed()
