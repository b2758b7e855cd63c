"""Moves planned changes from stage to stage; any entry can go on with one."""

from collections.abc import Callable

import mode

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.groups import cachemove, fleet, proposer, rolls
from oleanderbay.process.membership import rendezvous
from oleanderbay.process.observation import (
    engines,
    inventory,
    readers,
    reports,
)
from oleanderbay.version import records, resources

STEP_INTERVAL_MS = 500
APPEND_TIMEOUT_MS = 3_000

# How long `preparing` waits for groups elsewhere to serve.
PREPARE_LIMIT_MS = 120_000

# Time that a model engine takes to compute one prefix block, where the
# group's own figures do not tell.
DEFAULT_PREFILL_BLOCK_MS = 5.0

_Stage = resources.ChangeStage
_Kind = resources.ChangeKind
_Step = tuple[resources.ChangeStage, str]


class Driver(mode.Service):
    """Advances planned changes.

    Everything it decides from is in the log or in the reports, so it can be
    replaced at any moment; a new driver only starts the waits again.

    Attributes:
        progress: What each unfinished change waits for, for `status`.
    """

    def __init__(
        self,
        catalogue: interfaces.CatalogueSource,
        membership: interfaces.MembershipView,
        listing: inventory.Inventory,
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
        self._inventory = listing
        self._reports = reports_service
        self._appender = appender
        self._engine_at = engine_at
        self._confirmation_age_ms = confirmation_age_ms
        self._clock = clock
        self._new_id = new_id
        self._prefill_block_ms = prefill_block_ms
        self._since_ms: dict[tuple[str, _Stage], int] = {}
        self._due_ms: dict[tuple[str, _Stage], int] = {}
        self._records: dict[tuple[str, int], tuple[records.Stage, bytes]] = {}
        self._appended_ms: dict[tuple[str, int], int] = {}
        self._moved: set[str] = set()
        # Since when no group has the old version, by roll.
        self._replaced_ms: dict[str, int] = {}

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.step()
            await self._clock.sleep_ms(STEP_INTERVAL_MS)

    async def step(self) -> None:
        """Advances every change that is this entry's turn."""
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
        self._moved &= ids
        self._replaced_ms = {
            k: v for k, v in self._replaced_ms.items() if k in ids
        }
        self._since_ms = {
            (c.id, c.stage): self._since_ms.get((c.id, c.stage), now_ms)
            for c in changes
        }
        self._records = {k: v for k, v in self._records.items() if k[0] in ids}
        self._appended_ms = {
            k: v
            for k, v in self._appended_ms.items()
            if k in self._records and now_ms - v < proposer.APPLY_WAIT_MS
        }
        for change in changes:
            await self._advance(change, now_ms)

    async def _advance(
        self, change: resources.PlannedChange, now_ms: int
    ) -> None:
        key = (change.id, change.stage)
        waited_ms = now_ms - self._since_ms[key]
        rank = readers.preference_rank(change.id, self._membership)
        if rank == 0 and change.stage is _Stage.STOPPING:
            await self._move_caches(change)
        found = self.next_stage(change, waited_ms)
        if found is None:
            self._due_ms.pop(key, None)
            return
        due_ms = self._due_ms.setdefault(key, now_ms)
        if now_ms - due_ms >= rank * proposer.RANK_DELAY_MS:
            await self._append(change, *found)

    def next_stage(
        self, change: resources.PlannedChange, waited_ms: int
    ) -> _Step | None:
        """Returns the stage that a change can move to, with the detail.

        Args:
            change: The change.
            waited_ms: How long this entry has seen it in its stage.
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
            return self._restore(change)
        if change.kind is _Kind.ROLL_MODEL:
            return self._roll(change)
        if change.stage is _Stage.PREPARING:
            return self._prepare(change, waited_ms)
        if change.stage is _Stage.STOPPING:
            if waited_ms < proposer.STOP_GRACE_MS:
                self.progress[change.id] = "new work is being stopped"
                return None
            return _Stage.DRAINING, "no new work; waits for streams to end"
        return self._drain(change)

    def _affected(
        self, change: resources.PlannedChange
    ) -> list[resources.ServingGroup]:
        out = fleet.Outgoing(
            frozenset([change.zone]) if change.zone else frozenset(),
            frozenset(change.instances),
        )
        live = fleet.groups(self._catalogue.current)
        return [group for group in live if out.holds(group)]

    def _serving(self, group: resources.ServingGroup) -> bool:
        return self._reports.group_states.is_serving(
            group, self._clock.now_ms()
        )

    def _prepare(
        self, change: resources.PlannedChange, waited_ms: int
    ) -> _Step | None:
        if change.start_at_ms == 0:
            return _Stage.STOPPING, "takes no new work"
        view = self._catalogue.current
        affected = {group.id for group in self._affected(change)}
        requests = {
            group.request
            for group in fleet.groups(view)
            if group.id in affected
        }
        short = 0
        for id in requests:
            request = view.get("group_request", id)
            if isinstance(request, resources.GroupRequest):
                serving = sum(
                    self._serving(group)
                    for group in fleet.groups(view)
                    if group.request == id and group.id not in affected
                )
                short += max(0, request.groups - serving)
        if short and waited_ms < PREPARE_LIMIT_MS and self._is_forming(change):
            self.progress[change.id] = (
                f"{short} of {len(affected)} groups have no replacement yet"
            )
            return None
        return (
            _Stage.STOPPING,
            f"{len(affected)} groups stop, {short} without a replacement",
        )

    def _is_forming(self, change: resources.PlannedChange) -> bool:
        """Whether any group elsewhere is being formed or about to be."""
        stage_ms = self._since_ms.get((change.id, change.stage))
        if stage_ms is not None and self._clock.now_ms() - stage_ms < 10_000:
            # Proposals for the new situation take a moment.
            return True
        affected = {group.id for group in self._affected(change)}
        return any(
            not self._serving(group)
            for group in fleet.groups(self._catalogue.current)
            if group.id not in affected
        )

    def _drain(self, change: resources.PlannedChange) -> _Step | None:
        left = self._affected(change)
        if not left:
            return _Stage.DONE, "no group is left"
        now_ms = self._clock.now_ms()
        running = 0
        for group in left:
            states = self._reports.group_states.fresh_states(
                group.id, group.epoch, now_ms
            )
            running += max((s.running + s.queued for s in states), default=0)
        self.progress[change.id] = (
            f"{len(left)} groups with {running} requests in flight are left"
        )
        return None

    def _restore(self, change: resources.PlannedChange) -> _Step | None:
        view = self._catalogue.current
        in_zone = [g for g in fleet.groups(view) if g.zone == change.zone]
        loading = sum(not self._serving(group) for group in in_zone)
        if loading:
            self.progress[change.id] = (
                f"{loading} of {len(in_zone)} groups do not serve yet"
            )
            return None
        return _Stage.DONE, f"{len(in_zone)} groups of the zone serve"

    def _roll(self, change: resources.PlannedChange) -> _Step | None:
        view = self._catalogue.current
        service = fleet.services(view).get(change.service)
        if service is None:
            return _Stage.FAILED, "the service was deleted"
        mine = [g for g in fleet.groups(view) if g.service == service.id]
        old = [g for g in mine if not rolls.is_current(g, service)]
        waiting = sum(not self._serving(g) for g in mine)
        wanted = fleet.wanted_groups(view, service.id)
        now_ms = self._clock.now_ms()
        if old:
            self._replaced_ms.pop(change.id, None)
        since_ms = self._replaced_ms.setdefault(change.id, now_ms)
        # The members of the last group may still be in quarantine. Groups for
        # which there is no room don't hold the roll up for ever.
        short = len(mine) < wanted and now_ms - since_ms < PREPARE_LIMIT_MS
        if old or waiting or short:
            self.progress[change.id] = (
                f"{len(mine) - len(old)} of {wanted} groups have the new "
                f"version, {waiting} do not serve"
            )
            return None
        return _Stage.DONE, f"{len(mine)} groups have the new version"

    async def _move_caches(self, change: resources.PlannedChange) -> None:
        """Copies prefix caches of stopping groups to groups that go on."""
        if change.id in self._moved:
            return
        self._moved.add(change.id)
        affected = self._affected(change)
        leaving = {group.id for group in affected}
        others = [
            group
            for group in fleet.groups(self._catalogue.current)
            if group.id not in leaving and self._serving(group)
        ]
        for group in affected:
            same = [
                other
                for other in others
                if (other.service, other.model_version, other.adapter)
                == (group.service, group.model_version, group.adapter)
            ]
            if not same:
                continue
            target = rendezvous.ranked(group.id, (o.members[0] for o in same))[
                0
            ]
            lines = self._inventory.instances
            if group.members[0] not in lines or target not in lines:
                continue
            source = self._engine_at(lines[group.members[0]].address)
            into = self._engine_at(lines[target].address)
            try:
                moved = await cachemove.move(
                    source, into, self._prefill_block_ms, self._clock
                )
            finally:
                await engines.close_engine(source)
                await engines.close_engine(into)
            self.log.info(
                "moved %d cache blocks (%d bytes) of %s to %s: %s",
                moved.blocks,
                moved.bytes,
                group.id,
                target,
                moved.reason,
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
        kept = self._records.get(key)
        if kept is not None and kept[0].stage is stage:
            # An append without an answer is repeated with the same id.
            body, data = kept
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
            self._records[key] = (body, data)
        try:
            await self._appender.append(
                records.STREAM, data, "stage", APPEND_TIMEOUT_MS
            )
        except native.PlatformError as error:
            self.log.warning(
                "stage %s of %s: %s", stage.value, change.id, error
            )
        else:
            self._appended_ms[key] = self._clock.now_ms()
            self.log.info(
                "planned change %s: %s, %s", change.id, stage.value, detail
            )
