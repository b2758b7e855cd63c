"""Checks what callers and workers saw of an upgrade."""

import collections
import dataclasses

from bench import stop_callers, stop_judge, upgrade_fleet


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What a trial has shown.

    Attributes:
        answered: Number of complete answers with status 200.
        refused: Number of answers with status 503, by kind.
        failed: Number of other complete answers.
        crossed: Number of requests that crossed the close of their connection.
        cut: Number of requests that the grace period ended, as is allowed.
        lost: Requests that were lost, one line each.
        doubled: Requests that ran more than once, one line each.
        foreign: Requests that got another's answer, one line each.
        broken: Other rules that were broken, one line each.
        worst_gap_ms: Longest time without a complete answer while gateways
            were replaced, by kind.
        formed: Number of groups that were opened.
        replaced: Number of gateways that were replaced.
        worst_stop_ms: Longest planned stop.
    """

    answered: int
    refused: dict[str, int]
    failed: int
    crossed: int
    cut: int
    lost: list[str]
    doubled: list[str]
    foreign: list[str]
    broken: list[str]
    worst_gap_ms: dict[str, int]
    formed: int
    replaced: int
    worst_stop_ms: int

    @property
    def holds(self) -> bool:
        """Whether all kinds were served and no rule was broken."""
        return bool(self.answered and self.formed) and not (
            self.lost or self.doubled or self.foreign or self.broken
        )


def report(
    fleet: upgrade_fleet.UpgradeFleet,
    sent: list[stop_callers.Sent],
    started_ms: int,
    ended_ms: int,
) -> Report:
    """Judges a trial.

    Args:
        fleet: The fleet, whose gateways have ended.
        sent: All requests.
        started_ms: Monotonic time at which the first gateway was stopped.
        ended_ms: Monotonic time at which the last one had been replaced.
    """
    stops = stop_judge.Judge(
        fleet,
        lambda host, start: f"{host} of {fleet.versions.get((host, start))}",
    ).report(sent)
    doubled = [
        f"{request.id} ({request.kind.name}) ran {times} times"
        for request in sent
        if (times := len(fleet.executions.get(request.id, ()))) > 1
    ]
    return Report(
        answered=stops.answered,
        refused=dict(
            collections.Counter(
                request.kind.name
                for request in sent
                if request.complete and request.status == 503
            )
        ),
        failed=stops.failed,
        crossed=stops.crossed,
        cut=stops.cut,
        lost=stops.lost,
        doubled=doubled,
        foreign=[
            f"{request.id} got the answer to {request.answered_id}"
            for request in sent
            if request.answered_id not in ("", request.id)
        ],
        broken=[
            *(line for line in stops.broken if not line.endswith(" times")),
            *fleet.violations,
            *fleet.late_requests(),
        ],
        worst_gap_ms=_worst_gaps(sent, started_ms, ended_ms),
        formed=sum(
            order["operation"] == "open" and status < 300
            for worker in fleet.all_workers()
            for order, status in worker.orders
        ),
        replaced=len(fleet.stops),
        worst_stop_ms=max(stops.stops_ms, default=0),
    )


def _worst_gaps(
    sent: list[stop_callers.Sent], started_ms: int, ended_ms: int
) -> dict[str, int]:
    """Returns the longest time without a complete answer, by kind."""
    served: dict[str, list[int]] = collections.defaultdict(list)
    for request in sent:
        times = served[request.kind.name]
        if (
            request.complete
            and request.status == 200
            and started_ms <= request.ended_ms <= ended_ms
        ):
            times.append(request.ended_ms)
    return {
        name: max(
            later - earlier
            for earlier, later in zip(
                [started_ms, *times], [*times, ended_ms], strict=True
            )
        )
        for name, times in (
            (name, sorted(served[name])) for name in sorted(served)
        )
    }
