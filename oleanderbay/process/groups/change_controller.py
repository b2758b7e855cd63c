"""Advances planned changes through their stages; any entry can continue one."""

from collections.abc import Callable

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.groups import (
    cache_transfer,
    fleet_state,
    proposer,
    rollout,
)
from oleanderbay.process.membership import rendezvous
from oleanderbay.process.observation import (
    engines,
    inventory,
    readers,
    reports,
)
from oleanderbay.version import records, resources

RUN_INTERVAL_MS = 500
APPEND_TIMEOUT_MS = 3_000

# Limits how long `preparing` waits for replacement groups to serve, and how
# long a rolling update waits for groups that can't be formed.
PREPARE_TIMEOUT_MS = 120_000

# Time in which a model engine computes one prefix block, used where no figure
# for the group is known.
DEFAULT_PREFILL_BLOCK_MS = 5.0

_Stage = resources.ChangeStage
_Kind = resources.ChangeKind
_Transition = tuple[resources.ChangeStage, str]


class ChangeController(mode.Service):
    """Advances planned changes.

    All decisions follow from the log and from reports, so another entry can
    take over at any time; it only restarts the waiting times.

    Attributes:
        progress: What each unfinished change waits for, by change id; part of
            the status.
    """

    def __init__(
        self,
        catalogue: interfaces.CatalogueSource,
        membership: interfaces.MembershipView,
        instance_inventory: inventory.Inventory,
        reports_service: reports.ReportService,
        appender: interfaces.LogAppender,
        engine_at: engines.EngineFactory,
        confirmation_age_ms: Callable[[], int | None],
        clock: clocks.Clock,
        prefill_block_ms: float = DEFAULT_PREFILL_BLOCK_MS,
        new_id: Callable[[], str] = records.new_id,
    ) -> None:
        super().__init__()
        self.progress: dict[str, str] = {}
        self._catalogue = catalogue
        self._membership = membership
        self._inventory = instance_inventory
        self._reports = reports_service
        self._appender = appender
        self._engine_at = engine_at
        self._confirmation_age_ms = confirmation_age_ms
        self._clock = clock
        self._new_id = new_id
        self._prefill_block_ms = prefill_block_ms
        self._stage_since_ms: dict[tuple[str, _Stage], int] = {}
        self._transition_due_ms: dict[tuple[str, _Stage], int] = {}
        self._stage_records: dict[
            tuple[str, int], tuple[records.Stage, bytes]
        ] = {}
        self._appended_ms: dict[tuple[str, int], int] = {}
        self._transferred: set[str] = set()
        # Time since which no group has the old version, by id of the rolling
        # update.
        self._all_replaced_ms: dict[str, int] = {}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.advance_all()
            await self._clock.sleep_ms(RUN_INTERVAL_MS)

    async def advance_all(self) -> None:
        """Advances every change that is due.

        For each change the entries are ranked. An entry waits longer the
        higher its rank, so that it acts only where those before it have not.
        """
        age_ms = self._confirmation_age_ms()
        if age_ms is None or age_ms > proposer.MAX_CONFIRMATION_AGE_MS:
            return
        now_ms = self._clock.now_ms()
        changes = [
            change
            for change in self._catalogue.current.all("planned_change")
            if isinstance(change, resources.PlannedChange)
            and not change.stage.is_final
        ]
        ids = {change.id for change in changes}
        self.progress = {k: v for k, v in self.progress.items() if k in ids}
        self._transferred &= ids
        self._all_replaced_ms = {
            k: v for k, v in self._all_replaced_ms.items() if k in ids
        }
        self._stage_since_ms = {
            (c.id, c.stage): self._stage_since_ms.get((c.id, c.stage), now_ms)
            for c in changes
        }
        self._stage_records = {
            k: v for k, v in self._stage_records.items() if k[0] in ids
        }
        self._appended_ms = {
            k: v
            for k, v in self._appended_ms.items()
            if k in self._stage_records
            and now_ms - v < proposer.APPLY_TIMEOUT_MS
        }
        for change in changes:
            await self._advance(change, now_ms)

    async def _advance(
        self, change: resources.PlannedChange, now_ms: int
    ) -> None:
        key = (change.id, change.stage)
        waited_ms = now_ms - self._stage_since_ms[key]
        rank = readers.preference_rank(change.id, self._membership)
        if rank == 0 and change.stage is _Stage.STOPPING:
            await self._transfer_caches(change)
        transition = self.next_transition(change, waited_ms)
        if transition is None:
            self._transition_due_ms.pop(key, None)
            return
        due_ms = self._transition_due_ms.setdefault(key, now_ms)
        if now_ms - due_ms >= rank * proposer.RANK_DELAY_MS:
            await self._append(change, *transition)

    def next_transition(
        self, change: resources.PlannedChange, waited_ms: int
    ) -> _Transition | None:
        """Returns the next stage of a change and the reason, or None.

        Args:
            change: The change.
            waited_ms: How long this entry has seen the change in its stage.
        """
        wall_ms = self._clock.wall_ms()
        if change.deadline_ms and wall_ms >= change.deadline_ms:
            left = self.progress.get(change.id, "")
            return _Stage.FAILED, f"deadline passed in {change.stage}; {left}"
        if change.stage is _Stage.PENDING:
            if wall_ms < change.start_at_ms:
                self.progress[change.id] = "waits for its start time"
                return None
            return _Stage.PREPARING, "started"
        if change.kind is _Kind.RESTORE_ZONE:
            return self._restore_transition(change)
        if change.kind is _Kind.ROLL_MODEL:
            return self._rollout_transition(change)
        if change.stage is _Stage.PREPARING:
            return self._preparing_transition(change, waited_ms)
        if change.stage is _Stage.STOPPING:
            if waited_ms < proposer.STOP_GRACE_MS:
                self.progress[change.id] = "new work is being stopped"
                return None
            return _Stage.DRAINING, "no new work; waits for streams to end"
        return self._draining_transition(change)

    def _affected_groups(
        self, change: resources.PlannedChange
    ) -> list[resources.ServingGroup]:
        removals = fleet_state.Removals(
            frozenset([change.zone]) if change.zone else frozenset(),
            frozenset(change.instances),
        )
        groups = fleet_state.live_groups(self._catalogue.current)
        return [group for group in groups if removals.affects(group)]

    def _is_serving(self, group: resources.ServingGroup) -> bool:
        return self._reports.group_states.is_serving(
            group, self._clock.now_ms()
        )

    def _preparing_transition(
        self, change: resources.PlannedChange, waited_ms: int
    ) -> _Transition | None:
        if change.start_at_ms == 0:
            return _Stage.STOPPING, "takes no new work"
        view = self._catalogue.current
        affected = {group.id for group in self._affected_groups(change)}
        requests = {
            group.request
            for group in fleet_state.live_groups(view)
            if group.id in affected
        }
        unreplaced = 0
        for id in requests:
            request = view.get("group_request", id)
            if isinstance(request, resources.GroupRequest):
                serving = sum(
                    self._is_serving(group)
                    for group in fleet_state.live_groups(view)
                    if group.request == id and group.id not in affected
                )
                unreplaced += max(0, request.groups - serving)
        if (
            unreplaced
            and waited_ms < PREPARE_TIMEOUT_MS
            and self._is_forming(change)
        ):
            self.progress[change.id] = (
                f"{unreplaced} of {len(affected)} groups have no replacement "
                "yet"
            )
            return None
        return (
            _Stage.STOPPING,
            f"{len(affected)} groups stop, {unreplaced} without a replacement",
        )

    def _is_forming(self, change: resources.PlannedChange) -> bool:
        """Whether any unaffected group is being or about to be formed."""
        stage_ms = self._stage_since_ms.get((change.id, change.stage))
        if stage_ms is not None and self._clock.now_ms() - stage_ms < 10_000:
            # Replacements may not have been proposed yet.
            return True
        affected = {group.id for group in self._affected_groups(change)}
        return any(
            not self._is_serving(group)
            for group in fleet_state.live_groups(self._catalogue.current)
            if group.id not in affected
        )

    def _draining_transition(
        self, change: resources.PlannedChange
    ) -> _Transition | None:
        remaining = self._affected_groups(change)
        if not remaining:
            return _Stage.DONE, "no group is left"
        now_ms = self._clock.now_ms()
        running = 0
        for group in remaining:
            states = self._reports.group_states.fresh_states(
                group.id, group.epoch, now_ms
            )
            running += max((s.running + s.queued for s in states), default=0)
        self.progress[change.id] = (
            f"{len(remaining)} groups with {running} requests in flight are "
            "left"
        )
        return None

    def _restore_transition(
        self, change: resources.PlannedChange
    ) -> _Transition | None:
        view = self._catalogue.current
        in_zone = [
            g for g in fleet_state.live_groups(view) if g.zone == change.zone
        ]
        loading = sum(not self._is_serving(group) for group in in_zone)
        if loading:
            self.progress[change.id] = (
                f"{loading} of {len(in_zone)} groups do not serve yet"
            )
            return None
        return _Stage.DONE, f"{len(in_zone)} groups of the zone serve"

    def _rollout_transition(
        self, change: resources.PlannedChange
    ) -> _Transition | None:
        view = self._catalogue.current
        service = fleet_state.target_services(view).get(change.service)
        if service is None:
            return _Stage.FAILED, "the service was deleted"
        own_groups = [
            g for g in fleet_state.live_groups(view) if g.service == service.id
        ]
        outdated = [
            g for g in own_groups if not rollout.has_target_version(g, service)
        ]
        not_serving = sum(not self._is_serving(g) for g in own_groups)
        requested = fleet_state.requested_groups(view, service.id)
        now_ms = self._clock.now_ms()
        if outdated:
            self._all_replaced_ms.pop(change.id, None)
        since_ms = self._all_replaced_ms.setdefault(change.id, now_ms)
        # Members of the group dissolved last may still be in quarantine. The
        # wait is limited, as there may be no instances for missing groups.
        incomplete = (
            len(own_groups) < requested
            and now_ms - since_ms < PREPARE_TIMEOUT_MS
        )
        if outdated or not_serving or incomplete:
            self.progress[change.id] = (
                f"{len(own_groups) - len(outdated)} of {requested} groups have "
                f"the new version, {not_serving} do not serve"
            )
            return None
        return _Stage.DONE, f"{len(own_groups)} groups have the new version"

    async def _transfer_caches(self, change: resources.PlannedChange) -> None:
        """Copies prefix caches of stopping groups to groups that continue.

        Each group is copied at most once per change, to a serving group with
        the same service, model version and adapter.
        """
        if change.id in self._transferred:
            return
        self._transferred.add(change.id)
        affected = self._affected_groups(change)
        leaving = {group.id for group in affected}
        others = [
            group
            for group in fleet_state.live_groups(self._catalogue.current)
            if group.id not in leaving and self._is_serving(group)
        ]
        for group in affected:
            candidates = [
                other
                for other in others
                if (other.service, other.model_version, other.adapter)
                == (group.service, group.model_version, group.adapter)
            ]
            if not candidates:
                continue
            target = rendezvous.ranked(
                group.id, (o.members[0] for o in candidates)
            )[0]
            instances = self._inventory.instances
            if group.members[0] not in instances or target not in instances:
                continue
            source = self._engine_at(instances[group.members[0]].address)
            into = self._engine_at(instances[target].address)
            try:
                result = await cache_transfer.transfer(
                    source, into, self._prefill_block_ms, self._clock
                )
            finally:
                await engines.close_engine(source)
                await engines.close_engine(into)
            self.log.info(
                "transferred %d cache blocks (%d bytes) of %s to %s: %s",
                result.blocks,
                result.bytes,
                group.id,
                target,
                result.reason,
            )

    async def _append(
        self,
        change: resources.PlannedChange,
        stage: resources.ChangeStage,
        detail: str,
    ) -> None:
        key = (change.id, change.version)
        if key in self._appended_ms:
            return
        previous = self._stage_records.get(key)
        if previous is not None and previous[0].stage is stage:
            # Retries an append without a response with the same record id, so
            # that the stage is recorded only once.
            body, data = previous
        else:
            body = records.Stage(
                change=change.id,
                expected=change.version,
                stage=stage,
                detail=detail,
            )
            data = records.encode(
                records.Record(
                    id=self._new_id(),
                    author=self._membership.me.start_id,
                    base=self._catalogue.current.offset,
                    at_ms=self._clock.wall_ms(),
                    body=body,
                )
            )
            self._stage_records[key] = (body, data)
        try:
            await self._appender.append(
                records.STREAM, data, "stage", APPEND_TIMEOUT_MS
            )
        except native.PlatformError as error:
            self.log.warning(
                "stage %s of %s not confirmed: %s",
                stage.value,
                change.id,
                error,
            )
        else:
            self._appended_ms[key] = self._clock.now_ms()
            self.log.info(
                "planned change %s: %s, %s", change.id, stage.value, detail
            )
