"""Fair sharing of free slots among priorities and teams."""

import collections
from collections.abc import Iterable

from oleanderbay.process import clock as clocks

# Counts decay with this half-life, so that shares follow the current traffic.
HALF_LIFE_MS = 2_000
# The share of served requests of a priority is at least this part of the share
# of all requests. The requirement is 0.25; the margin covers requests that
# leave the queue and the decay of the counts.
PRIORITY_FLOOR = 0.45
# Teams have equal weights, but the weight of a team is at least this part of
# its share of the requests. All weights together are then at most 1.5 times
# the equal ones, so each team gets at least a third of its proportional share.
TEAM_FLOOR = 0.5


class FairScheduler:
    """Orders waiting requests by recent arrivals and grants.

    Teams are served by start-time fair queueing; a priority that falls below
    its minimum share is served before more urgent ones.

    Attributes:
        virtual_time: Start time of the request that was served last, in the
            virtual time of fair queueing.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.virtual_time = 0.0
        self._finish_times: dict[str, float] = {}
        self._arrived: collections.defaultdict[int, float] = (
            collections.defaultdict(float)
        )
        self._granted: collections.defaultdict[int, float] = (
            collections.defaultdict(float)
        )
        self._team_arrivals: dict[str, float] = {}
        self._decayed_ms = clock.now_ms()

    def record_arrival(self, priority: int, team: str) -> None:
        """Counts a request that arrives."""
        self._decay()
        self._arrived[priority] += 1
        self._team_arrivals[team] = self._team_arrivals.get(team, 0.0) + 1

    def record_grant(self, priority: int, team: str) -> None:
        """Counts a slot that a request got."""
        self._granted[priority] += 1
        self.virtual_time = self.start_time(team)
        self._finish_times[team] = self.virtual_time + 1 / self.weight(team)

    def weight(self, team: str) -> float:
        """Returns the weight of a team; 1 is an equal share."""
        total = sum(self._team_arrivals.values())
        if not total:
            return 1.0
        part = self._team_arrivals.get(team, 0.0) / total
        return max(1.0, TEAM_FLOOR * part * len(self._team_arrivals))

    def start_time(self, team: str) -> float:
        """Returns the virtual start time of the next request of a team."""
        return max(self.virtual_time, self._finish_times.get(team, 0.0))

    def is_underserved(self, priority: int) -> bool:
        """Whether a priority is at least one slot below its minimum share."""
        due = PRIORITY_FLOOR * self._grant_ratio() * self._arrived[priority]
        return self._granted[priority] + 1 <= due

    def next_priority(self, waiting: Iterable[int]) -> int:
        """Returns the priority that gets the next free slot."""
        found = sorted(set(waiting))
        underserved = [each for each in found if self.is_underserved(each)]
        return (
            min(underserved, key=self._priority_grant_ratio)
            if underserved
            else found[0]
        )

    def available_share(self, priority: int) -> float:
        """Returns the share of the slots that more urgent requests leave."""
        granted = sum(self._granted.values())
        arrived = sum(self._arrived.values())
        if not granted or not arrived:
            return 1.0
        # The minimum share applies even without any grants; otherwise all
        # requests of a priority that gets no slots would be refused forever.
        minimum = PRIORITY_FLOOR * self._arrived[priority] / arrived
        left = sum(n for p, n in self._granted.items() if p >= priority)
        return max(left / granted, minimum, 0.01)

    def _priority_grant_ratio(self, priority: int) -> float:
        return self._granted[priority] / max(1e-9, self._arrived[priority])

    def _grant_ratio(self) -> float:
        arrived = sum(self._arrived.values())
        return sum(self._granted.values()) / arrived if arrived else 0.0

    def _decay(self) -> None:
        passed_ms = self.clock.now_ms() - self._decayed_ms
        if passed_ms < HALF_LIFE_MS:
            return
        self._decayed_ms = self.clock.now_ms()
        factor = 0.5 ** (passed_ms // HALF_LIFE_MS)
        for counts in (self._arrived, self._granted):
            for priority in counts:
                counts[priority] *= factor
        self._team_arrivals = {
            team: count * factor
            for team, count in self._team_arrivals.items()
            if count * factor >= 0.5
        }
        # A finish time that the virtual time has passed no longer matters.
        self._finish_times = {
            team: at
            for team, at in self._finish_times.items()
            if at > self.virtual_time
        }
