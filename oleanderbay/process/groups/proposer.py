"""Proposes assign and dissolve records; the log decides."""

import dataclasses
from collections.abc import Callable, Hashable

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.groups import fleet, rolls
from oleanderbay.process.observation import inventory, readers, reports
from oleanderbay.version import placement, records, resources
from oleanderbay.version import situation as situations

STEP_INTERVAL_MS = 500
APPEND_TIMEOUT_MS = 3_000
STORE_TIMEOUT_MS = 1_000

# The entry of rank r proposes what the entries before it left undone for r
# seconds.
RANK_DELAY_MS = 1_000

# Nothing is proposed from a catalogue that was not confirmed for so long.
MAX_CONFIRMATION_AGE_MS = 3_000

# A record that was appended but is not applied here for so long is no longer
# waited for.
APPLY_WAIT_MS = 10_000

# After a start, readers need a moment to say which instances are alive.
START_DELAY_MS = 3_000

# After a group takes no new work, entries may use the permits and lists that
# they have for this long.
STOP_GRACE_MS = 6_000

# A slow instance gets no group for this long.
AVOID_SLOW_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Decision:
    """A record body to propose, and what tells it from others."""

    key: Hashable
    body: records.Assign | records.Dissolve


class Proposer(mode.Service):
    """Turns the situation into proposals.

    Attributes:
        pending: Groups that can't be formed, for `status`.
        avoided: Slow instances, with the time until which they get no group.
    """

    def __init__(
        self,
        catalogue: interfaces.CatalogueSource,
        membership: interfaces.MembershipView,
        listing: inventory.Inventory,
        reports_service: reports.ReportService,
        appender: interfaces.LogAppender,
        store: native.WeightStore | None,
        confirmation_age_ms: Callable[[], int | None],
        clock: clocks.Clock,
        new_id: Callable[[], str] = records.new_id,
    ) -> None:
        super().__init__()
        self.pending: tuple[situations.Pending, ...] = ()
        self.avoided: dict[str, int] = {}
        self._catalogue = catalogue
        self._membership = membership
        self._inventory = listing
        self._reports = reports_service
        self._appender = appender
        self._store = store
        self._confirmation_age_ms = confirmation_age_ms
        self._clock = clock
        self._new_id = new_id
        self._store_state: native.WeightStoreState | None = None
        self._needed_ms: dict[Hashable, int] = {}
        self._stopped_ms: dict[str, int] = {}
        # Offset and time of the last append that is not applied here yet.
        self._awaited: tuple[int, int] | None = None
        self._started_ms: int | None = None
        # Records whose append had no answer, by decision.
        self._unknown: dict[Hashable, tuple[object, bytes]] = {}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.step()
            await self._clock.sleep_ms(STEP_INTERVAL_MS)

    async def step(self) -> None:
        """Decides once and proposes what it is this entry's turn for."""
        age_ms = self._confirmation_age_ms()
        if (
            age_ms is None
            or age_ms > MAX_CONFIRMATION_AGE_MS
            or self._inventory.read_at_ms is None
            or self._waits_for_log()
        ):
            return
        if self._started_ms is None:
            self._started_ms = self._clock.now_ms()
        if self._clock.now_ms() - self._started_ms < START_DELAY_MS:
            return
        await self._read_store()
        decisions = self.decide()
        now_ms = self._clock.now_ms()
        self._needed_ms = {
            d.key: self._needed_ms.get(d.key, now_ms) for d in decisions
        }
        self._unknown = {
            key: kept
            for key, kept in self._unknown.items()
            if key in self._needed_ms
        }
        rank = readers.preference_rank("proposer", self._membership)
        for decision in decisions:
            waited_ms = now_ms - self._needed_ms[decision.key]
            if waited_ms >= rank * RANK_DELAY_MS and not await self._append(
                decision
            ):
                return

    def decide(self) -> list[_Decision]:
        """Returns what should be proposed, in order."""
        view = self._catalogue.current
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        self._note_slow(view, now_ms)
        emptied = self._emptied(view, now_ms)

        def situation(replaced: frozenset[str]) -> situations.Situation:
            return fleet.situation(
                view,
                self._inventory,
                self._reports.group_states,
                self._store_state,
                now_ms,
                wall_ms,
                replaced,
                self.avoided,
                emptied,
            )

        start = situation(frozenset())
        step = rolls.next_step(
            view, self._reports.group_states, _room(view, start), now_ms
        )
        if step.replaced:
            start = situation(step.replaced)
        plan = placement.decide(start)
        self._note_pending(plan.pending)
        stops = {d.group: d.reason for d in plan.dissolutions}
        stops.update(step.stopped)
        repaired = {formation.group for formation in plan.formations}
        for id in emptied - repaired:
            stops[id] = "stopped, no requests in flight"
        stops.update(self._slow_stops(start))
        live = {group.id: group for group in start.groups}
        decisions = [
            _Decision(
                ("dissolve", id),
                records.Dissolve(
                    group=id, expected=live[id].version, reason=reason
                ),
            )
            for id, reason in sorted(stops.items())
        ]
        for index, formation in enumerate(plan.formations):
            key = (formation.request.id, formation.group or index)
            old = live.get(formation.group)
            decisions.append(
                _Decision(("assign", *key), _assign(formation, old))
            )
        return decisions

    def _note_pending(self, pending: tuple[situations.Pending, ...]) -> None:
        if pending != self.pending:
            for item in pending:
                self.log.info(
                    "%d groups of request %s are pending: %s; nearest "
                    "possible shape %d of %d",
                    item.groups,
                    item.request,
                    item.reason,
                    item.nearest_shape,
                    item.shape,
                )
        self.pending = pending

    def _note_slow(self, view: interfaces.CatalogueView, now_ms: int) -> None:
        self.avoided = {k: v for k, v in self.avoided.items() if v > now_ms}
        for group in fleet.groups(view):
            for state in self._reports.group_states.fresh_states(
                group.id, group.epoch, now_ms
            ):
                if state.slow:
                    self.avoided[state.slow] = now_ms + AVOID_SLOW_MS

    def _slow_stops(self, situation: situations.Situation) -> dict[str, str]:
        """Stops one group with a slow member where a spare can replace it."""
        taken = {m for group in situation.groups for m in group.members}
        spare_domains = {
            node.domain
            for id, node in situation.nodes.items()
            if id not in taken and id not in situation.quarantined
        }
        for group in situation.groups:
            slow = [m for m in group.members if m in self.avoided]
            if slow and group.domain in spare_domains:
                return {group.id: f"member {slow[0]} is slow"}
        return {}

    def _emptied(
        self, view: interfaces.CatalogueView, now_ms: int
    ) -> frozenset[str]:
        """Returns the groups that were stopped and have no work left."""
        out = fleet.stopped(view, self._inventory)
        stopped = [group for group in fleet.groups(view) if out.holds(group)]
        self._stopped_ms = {
            group.id: self._stopped_ms.get(group.id, now_ms)
            for group in stopped
        }
        idle = set()
        for group in stopped:
            if now_ms - self._stopped_ms[group.id] < STOP_GRACE_MS:
                continue
            states = self._reports.group_states.fresh_states(
                group.id, group.epoch, now_ms
            )
            # A group that nobody hears may still run streams; it is dissolved
            # once its members are known to be lost.
            busy = any(state.running or state.queued for state in states)
            gone = all(
                len(state.missing) == len(group.members)
                and min(since for since, _ in state.missing.values())
                >= fleet.LOST_AFTER_MS
                for state in states
            )
            if states and (gone or not busy):
                idle.add(group.id)
        return frozenset(idle)

    def _waits_for_log(self) -> bool:
        if self._awaited is None:
            return False
        offset, since_ms = self._awaited
        if (
            self._catalogue.current.offset >= offset
            or self._clock.now_ms() - since_ms > APPLY_WAIT_MS
        ):
            self._awaited = None
            return False
        return True

    async def _read_store(self) -> None:
        if self._store is None:
            return
        try:
            self._store_state = await self._store.state(STORE_TIMEOUT_MS)
        except native.PlatformError as error:
            self.log.warning("weight store not read: %s", error)
            self._store_state = native.WeightStoreState(
                rate_bytes_per_s=0, active_loads=0
            )

    async def _append(self, decision: _Decision) -> bool:
        body = decision.body
        kept = self._unknown.get(decision.key)
        if kept is not None and kept[0] == body:
            # The first append may have happened, so the id stays the same.
            data = kept[1]
        else:
            record_id = self._new_id()
            if isinstance(body, records.Assign) and not body.group.id:
                group_id = f"g-{record_id}"
                named = dataclasses.replace(
                    body.group, id=group_id, name=group_id
                )
                body = dataclasses.replace(body, group=named)
            data = records.encode(
                records.Record(
                    id=record_id,
                    author=self._membership.me.start_id,
                    base=self._catalogue.current.offset,
                    at_ms=self._clock.wall_ms(),
                    body=body,
                )
            )
        now_ms = self._clock.now_ms()
        try:
            offset = await self._appender.append(
                records.STREAM, data, "group", APPEND_TIMEOUT_MS
            )
        except native.PlatformUnavailableError as error:
            self.log.warning("%s not proposed: %s", body.KIND, error)
            return False
        except native.PlatformUnknownError as error:
            self.log.warning("%s may be proposed: %s", body.KIND, error)
            self._unknown[decision.key] = (decision.body, data)
            return False
        self._unknown.pop(decision.key, None)
        self._awaited = (offset, now_ms)
        self.log.info("proposed %s at offset %d: %s", body.KIND, offset, body)
        return True


def _assign(
    formation: situations.Formation, old: resources.ServingGroup | None
) -> records.Assign:
    service = formation.service
    # A repaired group keeps its version; the members that stay have it.
    source = old or service
    group = resources.ServingGroup(
        id=formation.group,
        name=old.name if old else formation.group,
        fleet=formation.request.fleet,
        request=formation.request.id,
        service=service.id,
        domain=formation.domain,
        zone=formation.zone,
        epoch=0,
        members=formation.members,
        model=source.model,
        model_version=source.model_version,
        adapter=source.adapter,
    )
    return records.Assign(group=group, expected=old.version if old else 0)


def _room(
    view: interfaces.CatalogueView, situation: situations.Situation
) -> frozenset[str]:
    """Rolled services for which one more group could be formed at once."""
    found = set()
    for request in situation.requests:
        if fleet.roll_of(view, request.service) is None:
            continue
        more = dataclasses.replace(request, groups=request.groups + 1)
        plan = placement.decide(
            dataclasses.replace(situation, requests=(more,))
        )
        if any(not f.group for f in plan.formations):
            found.add(request.service)
    return frozenset(found)
