"""Tracks the health of instances and derives the state of their groups."""

import dataclasses
import enum
import statistics
from collections.abc import Iterable, Mapping

from oleanderbay.native import interfaces as native
from oleanderbay.version import resources

# Reports older than this are ignored (section 6.5).
REPORT_MAX_AGE_MS = 2_000

# Hold-down of a member that recovers from a failure: its group is not eligible
# until the member was stable for this long. It doubles with each further flap.
INITIAL_HOLD_DOWN_MS = 5_000
MAX_HOLD_DOWN_MS = 60_000

# A member that was stable for this long starts over with the initial hold-down.
FLAP_RESET_MS = 300_000

# A reachable member that has not taken its role after this long is replaced.
ROLE_TIMEOUT_MS = 30_000

# A member is slow if its time per token exceeds the median of its group by this
# factor for this long.
SLOW_FACTOR = 3.0
SLOW_DURATION_MS = 10_000


class Status(enum.StrEnum):
    """Status of a member or a group, as assessed by one reader.

    Attributes:
        OK: Has its role, is ready and has loaded the model.
        LOADING: Has not taken its role yet, or is loading the model.
        SILENT: Has sent no recent report.
        CONTRADICTED: Reports another role, model or process start than
            expected.
        HELD: Healthy again, but still in hold-down.
    """

    OK = "ok"
    LOADING = "loading"
    SILENT = "silent"
    CONTRADICTED = "contradicted"
    HELD = "held"


@dataclasses.dataclass(slots=True)
class MemberState:
    """Newest report of an instance and its health history.

    Attributes:
        report: Newest report; None before the first.
        observed_at_ms: Local time at which the figures of the report were
            taken.
        stable_since_ms: When it became stable: its reports resumed after a gap,
            or it recovered with a hold-down.
        hold_down_ms: How long it must be stable before its group is eligible.
        confirmed_epoch: Newest epoch at which it was ready in its role.
        confirmed_start_id: Process start that was ready at this epoch.
        healthy: Result of the last assessment.
        unhealthy_since_ms: Since when it does not fulfil its current role;
            None while it does.
        role: Group and epoch that `unhealthy_since_ms` refers to.
        slow_since_ms: Since when it is slow; None while it is not.
    """

    report: native.EngineReport | None = None
    observed_at_ms: int = 0
    stable_since_ms: int = 0
    hold_down_ms: int = 0
    confirmed_epoch: int = 0
    confirmed_start_id: str = ""
    healthy: bool = False
    unhealthy_since_ms: int | None = None
    role: tuple[str, int] = ("", 0)
    slow_since_ms: int | None = None

    def is_fresh(self, now_ms: int) -> bool:
        """Whether the newest report is recent enough to be used."""
        return (
            self.report is not None
            and now_ms - self.observed_at_ms < REPORT_MAX_AGE_MS
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupState:
    """State of one group, as assessed by one reader.

    The fields are sent to other entries in this order.

    Attributes:
        epoch: Epoch that was assessed.
        status: Worst status among the members.
        reason: Why the status is not `ok`, in readable form.
        start_id: Process starts of the members, joined by commas.
        running: Requests in flight at rank 0.
        queued: Requests waiting at rank 0.
        served: Requests completed at rank 0.
        cold: Whether rank 0 is cold.
        time_to_first_token_ms: Median at rank 0.
        time_per_token_ms: Median at rank 0.
        cache_sequence: Sequence number of the newest cache event at rank 0.
        missing: For each missing member, how many milliseconds it has
            been unhealthy and whether its report is recent.
        unready: Number of members that have not loaded the model.
        slow: First slow member; empty if there is none.
        age_ms: Age of the oldest report used.
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
    """Records reports by instance and assesses groups from them."""

    def __init__(self) -> None:
        self.by_id: dict[str, MemberState] = {}

    def get(self, instance: str) -> MemberState:
        """Returns the state of an instance, creating it if necessary."""
        return self.by_id.setdefault(instance, MemberState())

    def retain(self, instances: Iterable[str]) -> None:
        """Drops the state of all instances except the given ones."""
        retained = set(instances)
        for id in [id for id in self.by_id if id not in retained]:
            del self.by_id[id]

    def record_report(self, report: native.EngineReport, now_ms: int) -> None:
        """Records a report received at `now_ms`.

        Reports that arrive out of order are ignored.
        """
        member = self.get(report.instance)
        previous = member.report
        if (
            previous is not None
            and previous.start_id == report.start_id
            and report.sequence < previous.sequence
        ):
            return
        observed_at_ms = now_ms - report.age_ms
        if not member.is_fresh(now_ms):
            member.stable_since_ms = now_ms
        member.report = report
        member.observed_at_ms = observed_at_ms

    def assess(self, group: resources.ServingGroup, now_ms: int) -> GroupState:
        """Assesses a group from the newest reports of its members."""
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
        first_report = self.get(group.members[0]).report or native.EngineReport(
            instance=group.members[0], start_id=""
        )
        reports = [self.get(id).report for id in group.members]
        return GroupState(
            epoch=group.epoch,
            status=worst,
            reason=reason,
            start_id=",".join(starts),
            running=first_report.running,
            queued=first_report.queued,
            served=first_report.served,
            cold=any(r is None or r.cold for r in reports[:1]),
            time_to_first_token_ms=first_report.time_to_first_token_ms,
            time_per_token_ms=first_report.time_per_token_ms,
            cache_sequence=first_report.cache_sequence,
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
            # Loading may take long, so a loading member counts as missing
            # only if it has not taken its role in time.
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
        """Assesses a member and updates its hold-down."""
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
            stable_ms = now_ms - member.stable_since_ms
            if not member.healthy:
                member.healthy = True
                member.stable_since_ms = (
                    now_ms if member.hold_down_ms else member.stable_since_ms
                )
                stable_ms = now_ms - member.stable_since_ms
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
            # It was healthy at the time of its last report.
            member.unhealthy_since_ms = min(now_ms, member.observed_at_ms)
        return status, reason

    def _check_role(
        self,
        group: resources.ServingGroup,
        rank: int,
        member: MemberState,
        now_ms: int,
    ) -> tuple[Status, str]:
        """Compares the newest report of a member with its role."""
        report = member.report
        if report is None or not member.is_fresh(now_ms):
            return Status.SILENT, "no recent report"
        if (
            member.confirmed_epoch == group.epoch
            and member.confirmed_start_id != report.start_id
        ):
            return Status.CONTRADICTED, "the process was restarted"
        reported = (report.group, report.epoch, report.rank)
        expected = (group.id, group.epoch, rank)
        if reported != expected:
            if member.confirmed_epoch == group.epoch:
                return Status.CONTRADICTED, f"reports role {reported}"
            return Status.LOADING, f"has not taken its role, reports {reported}"
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
        slow_member = ""
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
                    slow_member = slow_member or id
        return slow_member


_SEVERITY = {
    Status.OK: 0,
    Status.HELD: 1,
    Status.LOADING: 2,
    Status.SILENT: 3,
    Status.CONTRADICTED: 4,
}
