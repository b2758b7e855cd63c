"""Checks what callers and workers saw of planned stops."""

import collections
import dataclasses
from collections.abc import Callable

from bench import stop_callers, stop_fleet

# A request that is sent this late must not be cut off by the end of the grace
# period; one that was sent before may, if its worker was at work in the last
# sixth of that period.
EXCUSED_UNTIL_MS = 3_000
LAST_PART = 1 / 6
# A request that was read is answered, or its connection ends, within this time.
LOSS_SLACK_MS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What a run has shown.

    Attributes:
        answered: Number of complete answers with status 200.
        refused: Number of answers with status 503.
        failed: Number of other complete answers.
        crossed: Number of requests that crossed the close of their connection.
        cut: Number of requests that the grace period ended, as is allowed.
        lost: Requests that a stop must not lose, one line each.
        broken: Other promises that were broken, one line each.
        stops_ms: How long each stop took.
    """

    answered: int
    refused: int
    failed: int
    crossed: int
    cut: int
    lost: list[str]
    broken: list[str]
    stops_ms: list[int]

    @property
    def holds(self) -> bool:
        """Whether requests were answered and all promises held."""
        return bool(self.answered) and not self.lost and not self.broken


class Judge:
    """Compares what callers and workers saw with the promises of a stop.

    Attributes:
        name_of: Returns the name of a start of a gateway in reports.
    """

    def __init__(
        self,
        fleet: stop_fleet.Fleet,
        name_of: Callable[[str, int], str] = lambda gateway, start: gateway,
    ) -> None:
        self.fleet = fleet
        self.name_of = name_of
        self.began = fleet.began()
        self.stops = {(stop.gateway, stop.start): stop for stop in fleet.stops}

    def report(self, sent: list[stop_callers.Sent]) -> Report:
        """Judges all requests of a run."""
        statuses = [request.status for request in sent if request.complete]
        verdicts = {request.id: self._verdict(request) for request in sent}
        counts = collections.Counter(verdicts.values())
        return Report(
            answered=statuses.count(200),
            refused=statuses.count(503),
            failed=sum(status not in (200, 503) for status in statuses),
            crossed=counts["crossed"],
            cut=counts["cut"],
            lost=[
                self._describe(request)
                for request in sent
                if verdicts[request.id] == "lost"
            ],
            broken=[
                *(line for request in sent for line in self._broken(request)),
                *(
                    f"{self.name_of(stop.gateway, stop.start)} was killed at"
                    " the end of its grace period"
                    for stop in self.fleet.stops
                    if stop.killed
                ),
            ],
            stops_ms=[
                stop.ended_ms - stop.term_ms for stop in self.fleet.stops
            ],
        )

    def _verdict(self, request: stop_callers.Sent) -> str:
        stop = self.stops.get((request.gateway, request.start))
        if request.complete:
            return "answered"
        ran = self.fleet.executions.get(request.id)
        waited_ms = request.ended_ms - request.sent_ms
        if waited_ms >= request.kind.deadline_ms and request.id in self.began:
            return "expired"
        if stop is None or request.ended_ms < stop.term_ms:
            return "lost"
        if request.id not in self.began:
            return "crossed" if waited_ms <= LOSS_SLACK_MS else "lost"
        last_ms = stop.term_ms + (1 - LAST_PART) * self.fleet.options.grace_ms
        worked_until_ms = ran[-1].ended_ms if ran else request.ended_ms
        at_work = min(worked_until_ms, request.ended_ms) >= last_ms
        if at_work and request.sent_ms <= stop.term_ms + EXCUSED_UNTIL_MS:
            return "cut"
        return "lost"

    def _broken(self, request: stop_callers.Sent) -> list[str]:
        ran = self.fleet.executions.get(request.id, [])
        broken = []
        if len(ran) > 1:
            broken.append(f"{request.id} ran {len(ran)} times")
        if not request.complete:
            return broken
        if request.status not in (200, 503, 504):
            broken.append(f"{request.id} was answered with {request.status}")
        elif request.status == 503 and request.id in self.began:
            broken.append(f"{request.id} was refused as not run and has run")
        elif request.status == 200 and not (ran and ran[-1].complete):
            broken.append(f"{request.id} has an answer that is not whole")
        elif request.status == 200 and not _has_all_events(request):
            broken.append(f"{request.id} lacks events")
        return broken

    def _describe(self, request: stop_callers.Sent) -> str:
        stop = self.stops.get((request.gateway, request.start))
        since_ms = stop.term_ms if stop is not None else request.sent_ms
        work = "not passed on"
        for execution in self.fleet.executions.get(request.id, ()):
            work = (
                f"worker ended at {execution.ended_ms - since_ms} ms"
                f" ({'whole' if execution.complete else 'cut'})"
            )
        process = (
            f"process ended at {stop.ended_ms - since_ms} ms"
            if stop is not None
            else "no stop"
        )
        return (
            f"{request.id} ({request.kind.name}"
            f"{', slow' if request.slow else ''})"
            f" at {self.name_of(request.gateway, request.start)}:"
            f" sent at {request.sent_ms - since_ms} ms,"
            f" ended at {request.ended_ms - since_ms} ms,"
            f" status {request.status}, {work}, {process}"
        )


def _has_all_events(request: stop_callers.Sent) -> bool:
    """Whether an answer has each event once; other answers have none."""
    if not request.kind.path.startswith("/stream"):
        return True
    events = request.kind.path.partition("events=")[2].partition("&")[0]
    ids = [
        int(line[4:])
        for line in request.body.split(b"\n")
        if line.startswith(b"id: ")
    ]
    return ids == list(range(int(events)))
