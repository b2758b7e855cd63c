"""Proposes to form and dissolve groups by appending records to the log.

Entries may propose concurrently; the order in the log decides which records
take effect.
"""

import dataclasses
from collections.abc import Callable, Hashable

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.groups import fleet_state, rollout
from oleanderbay.process.observation import inventory, readers, reports
from oleanderbay.version import placement, records, resources
from oleanderbay.version import situation as situations

RUN_INTERVAL_MS = 500
APPEND_TIMEOUT_MS = 3_000
STORE_TIMEOUT_MS = 1_000

# The entry of rank r proposes a record only after the record has been needed
# for r times this long, so that it acts only where the entries before it have
# not.
RANK_DELAY_MS = 1_000

# Nothing is proposed from a catalogue that was last confirmed longer ago.
MAX_CONFIRMATION_AGE_MS = 3_000

# After this time this entry no longer waits until it has applied a record that
# it appended.
APPLY_TIMEOUT_MS = 10_000

# After a start, readers need this time to report which instances are alive.
START_DELAY_MS = 3_000

# Entries may still use the permits and lists of upstreams that they hold for
# this long after a group stops taking new work.
STOP_GRACE_MS = 6_000

# A slow instance is not assigned to groups for this long.
SLOW_EXCLUSION_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Proposal:
    """A record body to propose, and a key that identifies it across runs."""

    key: Hashable
    body: records.Assign | records.Dissolve


class Proposer(mode.Service):
    """Proposes the assign and dissolve records that are needed.

    Attributes:
        pending: Groups that can't be formed; part of the status.
        excluded_until_ms: Time until which a slow instance is not assigned to
            groups, by instance id.
    """

    def __init__(
        self,
        catalogue: interfaces.CatalogueSource,
        membership: interfaces.MembershipView,
        instance_inventory: inventory.Inventory,
        reports_service: reports.ReportService,
        appender: interfaces.LogAppender,
        weight_store: native.WeightStore | None,
        confirmation_age_ms: Callable[[], int | None],
        clock: clocks.Clock,
        new_id: Callable[[], str] = records.new_id,
    ) -> None:
        super().__init__()
        self.pending: tuple[situations.Pending, ...] = ()
        self.excluded_until_ms: dict[str, int] = {}
        self._catalogue = catalogue
        self._membership = membership
        self._inventory = instance_inventory
        self._reports = reports_service
        self._appender = appender
        self._weight_store = weight_store
        self._confirmation_age_ms = confirmation_age_ms
        self._clock = clock
        self._new_id = new_id
        self._weight_store_state: native.WeightStoreState | None = None
        self._first_needed_ms: dict[Hashable, int] = {}
        self._stopped_since_ms: dict[str, int] = {}
        # Offset and time of the last append, until this entry has applied it.
        self._unapplied_append: tuple[int, int] | None = None
        self._started_ms: int | None = None
        # Bodies and encoded records of appends without a response, by key of
        # the proposal.
        self._unconfirmed_appends: dict[Hashable, tuple[object, bytes]] = {}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.propose_due()
            await self._clock.sleep_ms(RUN_INTERVAL_MS)

    async def propose_due(self) -> None:
        """Determines the needed records and appends those that are due."""
        age_ms = self._confirmation_age_ms()
        if (
            age_ms is None
            or age_ms > MAX_CONFIRMATION_AGE_MS
            or self._inventory.read_at_ms is None
            or self._awaits_applying()
        ):
            return
        if self._started_ms is None:
            self._started_ms = self._clock.now_ms()
        if self._clock.now_ms() - self._started_ms < START_DELAY_MS:
            return
        await self._read_weight_store()
        proposals = self.plan_proposals()
        now_ms = self._clock.now_ms()
        self._first_needed_ms = {
            p.key: self._first_needed_ms.get(p.key, now_ms) for p in proposals
        }
        self._unconfirmed_appends = {
            key: previous
            for key, previous in self._unconfirmed_appends.items()
            if key in self._first_needed_ms
        }
        rank = readers.preference_rank("proposer", self._membership)
        for proposal in proposals:
            waited_ms = now_ms - self._first_needed_ms[proposal.key]
            if waited_ms >= rank * RANK_DELAY_MS and not await self._append(
                proposal
            ):
                return

    def plan_proposals(self) -> list[_Proposal]:
        """Returns the records that should be proposed, in order."""
        view = self._catalogue.current
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        self._update_exclusions(view, now_ms)
        idle_groups = self._idle_stopped_groups(view, now_ms)

        def situation(replaced: frozenset[str]) -> situations.Situation:
            return fleet_state.build_situation(
                view,
                self._inventory,
                self._reports.group_states,
                self._weight_store_state,
                now_ms,
                wall_ms,
                replaced,
                self.excluded_until_ms,
                idle_groups,
            )

        start = situation(frozenset())
        step = rollout.next_step(
            view,
            self._reports.group_states,
            _expandable_services(view, start),
            now_ms,
        )
        if step.replaced:
            start = situation(step.replaced)
        plan = placement.decide(start)
        self._update_pending(plan.pending)
        dissolve_reasons = {d.group: d.reason for d in plan.dissolutions}
        dissolve_reasons.update(step.stopped)
        repaired = {formation.group for formation in plan.formations}
        for id in idle_groups - repaired:
            dissolve_reasons[id] = "stopped, no requests in flight"
        dissolve_reasons.update(self._slow_group_to_dissolve(start))
        groups_by_id = {group.id: group for group in start.groups}
        proposals = [
            _Proposal(
                ("dissolve", id),
                records.Dissolve(
                    group=id, expected=groups_by_id[id].version, reason=reason
                ),
            )
            for id, reason in sorted(dissolve_reasons.items())
        ]
        for index, formation in enumerate(plan.formations):
            key = (formation.request.id, formation.group or index)
            old = groups_by_id.get(formation.group)
            proposals.append(
                _Proposal(("assign", *key), _assign_record(formation, old))
            )
        return proposals

    def _update_pending(self, pending: tuple[situations.Pending, ...]) -> None:
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

    def _update_exclusions(
        self, view: interfaces.CatalogueView, now_ms: int
    ) -> None:
        self.excluded_until_ms = {
            k: v for k, v in self.excluded_until_ms.items() if v > now_ms
        }
        for group in fleet_state.live_groups(view):
            for state in self._reports.group_states.fresh_states(
                group.id, group.epoch, now_ms
            ):
                if state.slow:
                    self.excluded_until_ms[state.slow] = (
                        now_ms + SLOW_EXCLUSION_MS
                    )

    def _slow_group_to_dissolve(
        self, situation: situations.Situation
    ) -> dict[str, str]:
        """Selects one group with a slow member whose domain has a spare.

        Returns:
            The reason by group id; empty if there is no such group.
        """
        assigned = {m for group in situation.groups for m in group.members}
        spare_domains = {
            node.domain
            for id, node in situation.nodes.items()
            if id not in assigned and id not in situation.quarantined
        }
        for group in situation.groups:
            slow = [m for m in group.members if m in self.excluded_until_ms]
            if slow and group.domain in spare_domains:
                return {group.id: f"member {slow[0]} is slow"}
        return {}

    def _idle_stopped_groups(
        self, view: interfaces.CatalogueView, now_ms: int
    ) -> frozenset[str]:
        """Returns the ids of stopped groups without requests in flight."""
        removals = fleet_state.active_removals(view, self._inventory)
        stopped = [
            group
            for group in fleet_state.live_groups(view)
            if removals.affects(group)
        ]
        self._stopped_since_ms = {
            group.id: self._stopped_since_ms.get(group.id, now_ms)
            for group in stopped
        }
        idle = set()
        for group in stopped:
            if now_ms - self._stopped_since_ms[group.id] < STOP_GRACE_MS:
                continue
            states = self._reports.group_states.fresh_states(
                group.id, group.epoch, now_ms
            )
            # An unreachable group may still run streams; it is dissolved only
            # once all its members are lost.
            busy = any(state.running or state.queued for state in states)
            all_lost = all(
                len(state.missing) == len(group.members)
                and min(since for since, _ in state.missing.values())
                >= fleet_state.LOST_AFTER_MS
                for state in states
            )
            if states and (all_lost or not busy):
                idle.add(group.id)
        return frozenset(idle)

    def _awaits_applying(self) -> bool:
        if self._unapplied_append is None:
            return False
        offset, since_ms = self._unapplied_append
        if (
            self._catalogue.current.offset >= offset
            or self._clock.now_ms() - since_ms > APPLY_TIMEOUT_MS
        ):
            self._unapplied_append = None
            return False
        return True

    async def _read_weight_store(self) -> None:
        if self._weight_store is None:
            return
        try:
            self._weight_store_state = await self._weight_store.state(
                STORE_TIMEOUT_MS
            )
        except native.PlatformError as error:
            self.log.warning("weight store not read: %s", error)
            self._weight_store_state = native.WeightStoreState(
                rate_bytes_per_s=0, active_loads=0
            )

    async def _append(self, proposal: _Proposal) -> bool:
        body = proposal.body
        previous = self._unconfirmed_appends.get(proposal.key)
        if previous is not None and previous[0] == body:
            # Reuses the record id, as the first append may have succeeded.
            data = previous[1]
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
            self.log.warning(
                "unknown whether %s was proposed: %s", body.KIND, error
            )
            self._unconfirmed_appends[proposal.key] = (proposal.body, data)
            return False
        self._unconfirmed_appends.pop(proposal.key, None)
        self._unapplied_append = (offset, now_ms)
        self.log.info("proposed %s at offset %d: %s", body.KIND, offset, body)
        return True


def _assign_record(
    formation: situations.Formation, old: resources.ServingGroup | None
) -> records.Assign:
    service = formation.service
    # A repaired group keeps its model version, as its remaining members have
    # loaded it.
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


def _expandable_services(
    view: interfaces.CatalogueView, situation: situations.Situation
) -> frozenset[str]:
    """Returns services in a rolling update that could have one more group."""
    expandable = set()
    for request in situation.requests:
        if fleet_state.active_rollout(view, request.service) is None:
            continue
        extended = dataclasses.replace(request, groups=request.groups + 1)
        plan = placement.decide(
            dataclasses.replace(situation, requests=(extended,))
        )
        if any(not f.group for f in plan.formations):
            expandable.add(request.service)
    return frozenset(expandable)
