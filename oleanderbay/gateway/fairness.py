"""Shares of free places among kinds of requests and teams."""

import collections
from collections.abc import Iterable

from oleanderbay.process import clock as clocks

# Counts are halved this often, so that shares follow the present traffic.
HALF_LIFE_MS = 2_000
# A priority is served at least this part as often as all requests. The rule
# is a quarter; the margin covers requests that leave and the decay of counts.
PRIORITY_FLOOR = 0.45
# Teams share equally, except that the weight of a team is at least this part
# of its requests. All weights together are at most 1.5 times the equal ones,
# so that no team gets less than a third of its proportional part.
TEAM_FLOOR = 0.5


class FairScheduler:
    """Decides whose turn it is, from recent arrivals and grants."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.virtual = 0.0
        self._finish: dict[str, float] = {}
        self._arrived: collections.defaultdict[int, float] = (
            collections.defaultdict(float)
        )
        self._granted: collections.defaultdict[int, float] = (
            collections.defaultdict(float)
        )
        self._teams: dict[str, float] = {}
        self._halved_ms = clock.now_ms()

    def arrived(self, priority: int, team: str) -> None:
        """Counts a request."""
        self._halve()
        self._arrived[priority] += 1
        self._teams[team] = self._teams.get(team, 0.0) + 1

    def granted(self, priority: int, team: str) -> None:
        """Counts a place that was given to a request."""
        self._granted[priority] += 1
        self.virtual = self.start(team)
        self._finish[team] = self.virtual + 1 / self.weight(team)

    def weight(self, team: str) -> float:
        """Returns a team's weight; 1 is an equal share."""
        total = sum(self._teams.values())
        if not total:
            return 1.0
        part = self._teams.get(team, 0.0) / total
        return max(1.0, TEAM_FLOOR * part * len(self._teams))

    def start(self, team: str) -> float:
        """Returns the virtual time at which a team's next request starts."""
        return max(self.virtual, self._finish.get(team, 0.0))

    def short(self, priority: int) -> bool:
        """Whether a priority is at least one place behind its least share."""
        due = PRIORITY_FLOOR * self._overall() * self._arrived[priority]
        return self._granted[priority] + 1 <= due

    def next_priority(self, waiting: Iterable[int]) -> int:
        """Returns the priority that gets the next free place."""
        found = sorted(set(waiting))
        short = [each for each in found if self.short(each)]
        return min(short, key=self._ratio) if short else found[0]

    def rest(self, priority: int) -> float:
        """Returns the part of the places left by more urgent requests."""
        granted = sum(self._granted.values())
        arrived = sum(self._arrived.values())
        if not granted or not arrived:
            return 1.0
        # Its least share is kept even while it gets nothing; otherwise a
        # priority without grants would be refused forever.
        least = PRIORITY_FLOOR * self._arrived[priority] / arrived
        left = sum(n for p, n in self._granted.items() if p >= priority)
        return max(left / granted, least, 0.01)

    def _ratio(self, priority: int) -> float:
        return self._granted[priority] / max(1e-9, self._arrived[priority])

    def _overall(self) -> float:
        arrived = sum(self._arrived.values())
        return sum(self._granted.values()) / arrived if arrived else 0.0

    def _halve(self) -> None:
        passed_ms = self.clock.now_ms() - self._halved_ms
        if passed_ms < HALF_LIFE_MS:
            return
        self._halved_ms = self.clock.now_ms()
        factor = 0.5 ** (passed_ms // HALF_LIFE_MS)
        for counts in (self._arrived, self._granted):
            for priority in counts:
                counts[priority] *= factor
        self._teams = {
            team: count * factor
            for team, count in self._teams.items()
            if count * factor >= 0.5
        }
        # A team that is behind the virtual time has no debt to remember.
        self._finish = {
            team: at for team, at in self._finish.items() if at > self.virtual
        }
