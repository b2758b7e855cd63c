"""Newest report of each instance that this entry reads, and its history."""

import dataclasses
import enum
import statistics
from collections.abc import Iterable, Mapping

from oleanderbay.native import interfaces as native
from oleanderbay.version import resources

# A report that is older says nothing about the present (section 6.5).
REPORT_MAX_AGE_MS = 2_000

# A flapping member keeps its group out until it was stable for this long;
# the time doubles with each further flap.
INITIAL_HOLD_DOWN_MS = 5_000
MAX_HOLD_DOWN_MS = 60_000

# A member that was stable for so long starts again with the first hold.
FLAP_RESET_MS = 300_000

# A reachable member that does not take its role for this long is replaced.
ROLE_TIMEOUT_MS = 30_000

# Figures for a slow member: 3 times the median of its group over 10 s.
SLOW_FACTOR = 3.0
SLOW_DURATION_MS = 10_000


class Status(enum.StrEnum):
    """What one reader knows of a group."""

    OK = "ok"
    LOADING = "loading"
    SILENT = "silent"
    CONTRADICTED = "contradicted"
    HELD = "held"


@dataclasses.dataclass(slots=True)
class MemberState:
    """What is known of one instance.

    Attributes:
        report: Newest report; None before the first.
        observed_at_ms: Local time that the report's figures are from.
        responding_since_ms: Since when it answers without a gap.
        hold_down_ms: How long it must be stable before its group serves.
        epoch: Newest epoch that it agreed to while ready.
        confirmed_start_id: Process start that agreed to that epoch.
        good: Whether it was good when it was last judged.
        unhealthy_since_ms: Since when it is not good for its present role; None
            while it is good.
        role: Group and epoch that `unhealthy_since_ms` is about.
        slow_since_ms: Since when it is slow; None while it is not.
    """

    report: native.EngineReport | None = None
    observed_at_ms: int = 0
    responding_since_ms: int = 0
    hold_down_ms: int = 0
    confirmed_epoch: int = 0
    confirmed_start_id: str = ""
    healthy: bool = False
    unhealthy_since_ms: int | None = None
    role: tuple[str, int] = ("", 0)
    slow_since_ms: int | None = None

    def is_fresh(self, now_ms: int) -> bool:
        """Whether the newest report is young enough."""
        return (
            self.report is not None
            and now_ms - self.observed_at_ms < REPORT_MAX_AGE_MS
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupState:
    """A reader's judgement of one group.

    Attributes:
        epoch: Epoch that was judged.
        status: The worst status of a member.
        reason: Why it is not `ok`, for people.
        start_id: Joined process starts of the members.
        running: Requests in flight at rank 0.
        queued: Requests waiting at rank 0.
        served: Requests completed at rank 0.
        cold: Whether any member is cold.
        time_to_first_token_ms: Median at rank 0.
        time_per_token_ms: Median at rank 0.
        cache_sequence: Newest cache event at rank 0.
        missing: For each member that is not good: for how many ms, and
            whether it answers.
        unready: Members that have not loaded the model.
        slow: Member that slows the group down; empty if none.
        age_ms: Age of the oldest report that was judged.
    """

    epoch: int
    status: Status
    reason: str = ""
    start_id: str = ""
    running: int = 0
    queued: int = 0
    served: int = 0
    cold: bool = True
    time_to_first_token_ms: float = 0.0
    time_per_token_ms: float = 0.0
    cache_sequence: int = 0
    missing: Mapping[str, tuple[int, bool]] = dataclasses.field(
        default_factory=dict
    )
    unready: int = 0
    slow: str = ""
    age_ms: int = 0


class MemberTracker:
    """Reports and flap history by instance."""

    def __init__(self) -> None:
        self.by_id: dict[str, MemberState] = {}

    def get(self, instance: str) -> MemberState:
        """Returns what is known of an instance."""
        return self.by_id.setdefault(instance, MemberState())

    def retain(self, instances: Iterable[str]) -> None:
        """Forgets all other instances."""
        wanted = set(instances)
        for id in [id for id in self.by_id if id not in wanted]:
            del self.by_id[id]

    def record_report(self, report: native.EngineReport, now_ms: int) -> None:
        """Takes in a report that was asked for at `now_ms`."""
        member = self.get(report.instance)
        old = member.report
        if (
            old is not None
            and old.start_id == report.start_id
            and report.sequence < old.sequence
        ):
            return
        observed_at_ms = now_ms - report.age_ms
        if not member.is_fresh(now_ms):
            member.responding_since_ms = now_ms
        member.report = report
        member.observed_at_ms = observed_at_ms

    def assess(self, group: resources.ServingGroup, now_ms: int) -> GroupState:
        """Judges a group by the reports of its members."""
        worst = Status.OK
        reason = ""
        missing: dict[str, tuple[int, bool]] = {}
        unready = 0
        starts = []
        for rank, id in enumerate(group.members):
            member = self.get(id)
            status, member_reason = self._assess_member(group, rank, id, now_ms)
            if status is not Status.OK and _SEVERITY[status] > _SEVERITY[worst]:
                worst, reason = status, f"{id}: {member_reason}"
            report = member.report
            starts.append(report.start_id if report else "")
            unready += report is None or not report.ready
            if member.unhealthy_since_ms is not None and self._is_missing(
                member, status, now_ms
            ):
                missing[id] = (
                    now_ms - member.unhealthy_since_ms,
                    member.is_fresh(now_ms),
                )
        lead = self.get(group.members[0]).report or native.EngineReport(
            instance=group.members[0], start_id=""
        )
        reports = [self.get(id).report for id in group.members]
        return GroupState(
            epoch=group.epoch,
            status=worst,
            reason=reason,
            start_id=",".join(starts),
            running=lead.running,
            queued=lead.queued,
            served=lead.served,
            cold=any(r is None or r.cold for r in reports[:1]),
            time_to_first_token_ms=lead.time_to_first_token_ms,
            time_per_token_ms=lead.time_per_token_ms,
            cache_sequence=lead.cache_sequence,
            missing=missing,
            unready=unready,
            slow=self._slow_member(group, now_ms),
            age_ms=max(
                now_ms - self.get(id).observed_at_ms for id in group.members
            ),
        )

    def _is_missing(
        self, member: MemberState, status: Status, now_ms: int
    ) -> bool:
        if status is Status.LOADING:
            # A load may take long; only a member that does not take its role
            # is missing.
            report = member.report
            assert report is not None and member.unhealthy_since_ms is not None
            took_role = (report.group, report.epoch) == member.role
            return (
                not took_role
                and now_ms - member.unhealthy_since_ms > ROLE_TIMEOUT_MS
            )
        return status in (Status.SILENT, Status.CONTRADICTED)

    def _assess_member(
        self, group: resources.ServingGroup, rank: int, id: str, now_ms: int
    ) -> tuple[Status, str]:
        member = self.get(id)
        role = (group.id, group.epoch)
        if member.role != role:
            member.role = role
            member.unhealthy_since_ms = now_ms
            member.healthy = False
        status, reason = self._check_role(group, rank, member, now_ms)
        if status is Status.OK:
            report = member.report
            assert report is not None
            member.confirmed_epoch = group.epoch
            member.confirmed_start_id = report.start_id
            member.unhealthy_since_ms = None
            stable_ms = now_ms - member.responding_since_ms
            if not member.healthy:
                member.healthy = True
                member.responding_since_ms = (
                    now_ms
                    if member.hold_down_ms
                    else (member.responding_since_ms)
                )
                stable_ms = now_ms - member.responding_since_ms
            if stable_ms > FLAP_RESET_MS:
                member.hold_down_ms = 0
            if stable_ms < member.hold_down_ms:
                return (
                    Status.HELD,
                    f"must be stable for {member.hold_down_ms} ms",
                )
            return status, reason
        if member.healthy:
            member.healthy = False
            member.hold_down_ms = min(
                max(INITIAL_HOLD_DOWN_MS, 2 * member.hold_down_ms),
                MAX_HOLD_DOWN_MS,
            )
        if member.unhealthy_since_ms is None:
            # It was good until its last report.
            member.unhealthy_since_ms = min(now_ms, member.observed_at_ms)
        return status, reason

    def _check_role(
        self,
        group: resources.ServingGroup,
        rank: int,
        member: MemberState,
        now_ms: int,
    ) -> tuple[Status, str]:
        report = member.report
        if report is None or not member.is_fresh(now_ms):
            return Status.SILENT, "no recent report"
        if (
            member.confirmed_epoch == group.epoch
            and member.confirmed_start_id != report.start_id
        ):
            return Status.CONTRADICTED, "the process was restarted"
        found = (report.group, report.epoch, report.rank)
        wanted = (group.id, group.epoch, rank)
        if found != wanted:
            if member.confirmed_epoch == group.epoch:
                return Status.CONTRADICTED, f"reports role {found}"
            return Status.LOADING, f"has not taken its role, reports {found}"
        if not report.ready:
            return Status.LOADING, "loads the model"
        loaded = (report.model, report.model_version, report.adapter)
        if loaded != (group.model, group.model_version, group.adapter):
            return Status.CONTRADICTED, f"has loaded {loaded}"
        return Status.OK, ""

    def _slow_member(self, group: resources.ServingGroup, now_ms: int) -> str:
        times = {
            id: report.time_per_token_ms
            for id in group.members
            if (report := self.get(id).report) and report.time_per_token_ms
        }
        found = ""
        if len(times) >= 3:
            limit_ms = SLOW_FACTOR * statistics.median(times.values())
            for id in group.members:
                member = self.get(id)
                if times.get(id, 0.0) <= limit_ms:
                    member.slow_since_ms = None
                    continue
                if member.slow_since_ms is None:
                    member.slow_since_ms = now_ms
                if now_ms - member.slow_since_ms >= SLOW_DURATION_MS:
                    found = found or id
        return found


_SEVERITY = {
    Status.OK: 0,
    Status.HELD: 1,
    Status.LOADING: 2,
    Status.SILENT: 3,
    Status.CONTRADICTED: 4,
}
