"""A replay of failures through placement and through first fit.

The replay is a plain loop over simulated time that calls the same decision
code as the proposer. First fit sees the same failures, weight store and
engines, and also loads only the shards that a member does not hold.
"""

import dataclasses
import functools
import heapq
import random
from collections.abc import Callable
from typing import Any

from oleanderbay.process.groups import fleet_state
from oleanderbay.version import catalogue, placement, resources
from oleanderbay.version import situation as situations

SEED = 1
DAY_MS = 86_400_000
SHAPE = 32

# Rates of section 1.6, for 12,000 instances.
INSTANCES = 12_000
FAILURES_PER_DAY = 180
RESTARTS_PER_DAY = 3_400
DOMAINS_LOST_PER_WEEK = 1

# Assumptions of the replay that the design page does not state.
FAILED_MS = 3_600_000
RESTART_MS = 180_000
DOMAIN_LOST_MS = 7_200_000
SHARD_BYTES = 40_000_000_000
STORE_BYTES_PER_S = 40_000_000_000
ENGINE_START_MS = 30_000

# A member is missing for `LOST_AFTER_MS` after its last report is too old.
DETECT_MS = 2_000
POLL_MS = 500

SERVICE = resources.Service(
    id="s",
    name="s",
    kind=resources.ServiceKind.MODEL,
    instances_per_group=SHAPE,
    weight_bytes=SHARD_BYTES,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """Instances that are out for a time."""

    at_ms: int
    instances: tuple[str, ...]
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Instances by domain, and how many groups are wanted."""

    domains: dict[str, tuple[str, ...]]
    groups: int

    @property
    def size(self) -> int:
        """Number of instances."""
        return sum(len(ids) for ids in self.domains.values())


def site(sizes: list[int], groups: int) -> Site:
    """Returns a site with domains of the given sizes."""
    return Site(
        {
            f"d{at:03}": tuple(f"d{at:03}i{n:04}" for n in range(size))
            for at, size in enumerate(sizes)
        },
        groups,
    )


def script(place: Site, days: int) -> list[Outage]:
    """Returns the fixed sequence of failures at the stated rates."""
    rng = random.Random(SEED)
    ids = [id for members in place.domains.values() for id in members]
    share = place.size / INSTANCES
    outages = []
    for per_day, duration_ms in (
        (FAILURES_PER_DAY, FAILED_MS),
        (RESTARTS_PER_DAY, RESTART_MS),
    ):
        for _ in range(round(per_day * share * days)):
            at_ms = rng.randrange(days * DAY_MS)
            outages.append(Outage(at_ms, (rng.choice(ids),), duration_ms))
    for _ in range(round(DOMAINS_LOST_PER_WEEK * share * days / 7)):
        domain = rng.choice(sorted(place.domains))
        at_ms = rng.randrange(days * DAY_MS)
        outages.append(Outage(at_ms, place.domains[domain], DOMAIN_LOST_MS))
    return sorted(outages, key=lambda outage: outage.at_ms)


class Replay:
    """What both ways of placing have in common: time, loads, accounting.

    Attributes:
        down_ms: Group-milliseconds in which a wanted group did not serve.
        stranded_ms: Instance-milliseconds of live instances that were in no
            serving group.
        decisions: Number of decisions.
    """

    def __init__(self, place: Site, outages: list[Outage], days: int) -> None:
        self.place = place
        self.end_ms = days * DAY_MS
        self.now_ms = 0
        self.up = {i: True for ids in place.domains.values() for i in ids}
        self.domain_of = {
            id: domain for domain, ids in place.domains.items() for id in ids
        }
        # Outages overlap, so an instance counts how many hold it down.
        self.out: dict[str, int] = dict.fromkeys(self.up, 0)
        self.alive = len(self.up)
        self.serving: dict[str, tuple[str, ...]] = {}
        self.group_of: dict[str, str] = {}
        # Instances that are up and in no group, by domain.
        self.free = {domain: set(ids) for domain, ids in place.domains.items()}
        self.holds: dict[str, int] = {}
        self.store_free_ms = 0
        self.down_ms = 0
        self.stranded_ms = 0
        self.decisions = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._accounted_ms = 0
        for outage in outages:
            self.at(outage.at_ms, functools.partial(self._begin, outage))

    def at(self, time_ms: int, action: Callable[[], Any]) -> None:
        """Does something later."""
        self._count += 1
        heapq.heappush(self._events, (time_ms, self._count, action))

    def run(self) -> None:
        """Runs to the end."""
        while self._events and self._events[0][0] < self.end_ms:
            time_ms, _, action = heapq.heappop(self._events)
            self._account(time_ms)
            action()
        self._account(self.end_ms)

    def _account(self, time_ms: int) -> None:
        spent_ms = time_ms - self._accounted_ms
        self._accounted_ms = self.now_ms = time_ms
        count = len(self.serving)
        self.down_ms += spent_ms * (self.place.groups - count)
        self.stranded_ms += spent_ms * (self.alive - count * SHAPE)

    def _begin(self, outage: Outage) -> None:
        for id in outage.instances:
            self.out[id] += 1
            if self.out[id] == 1:
                self.alive -= 1
            self.up[id] = False
            self.holds.pop(id, None)
            self.free[self.domain_of[id]].discard(id)
            self.serving.pop(self.group_of.get(id, ""), None)
        self.failed(set(outage.instances))
        self.at(self.now_ms + outage.duration_ms, lambda: self._end(outage))

    def _end(self, outage: Outage) -> None:
        for id in outage.instances:
            self.out[id] -= 1
            if self.out[id] == 0:
                self.alive += 1
                self.up[id] = True
                if id not in self.group_of:
                    self.free[self.domain_of[id]].add(id)
        self.returned(set(outage.instances))

    def join(self, id: str, group: str) -> None:
        """Puts an instance into a group."""
        self.group_of[id] = group
        self.free[self.domain_of[id]].discard(id)

    def leave(self, id: str) -> None:
        """Takes an instance out of its group."""
        del self.group_of[id]
        if self.up[id]:
            self.free[self.domain_of[id]].add(id)

    def load(self, members: tuple[str, ...]) -> int:
        """Loads the shards that members do not hold; returns when all do."""
        missing = sum(
            self.holds.get(id) != rank for rank, id in enumerate(members)
        )
        for rank, id in enumerate(members):
            self.holds[id] = rank
        if not missing:
            return self.now_ms
        load_ms = missing * SHARD_BYTES * 1000 // STORE_BYTES_PER_S
        self.store_free_ms = max(self.store_free_ms, self.now_ms) + load_ms
        return self.store_free_ms

    def failed(self, gone: set[str]) -> None:
        """Instances have gone down."""
        raise NotImplementedError

    def returned(self, back: set[str]) -> None:
        """Instances are up again and empty."""
        raise NotImplementedError


class SystemReplay(Replay):
    """Groups as `placement.decide` forms them."""

    def __init__(
        self,
        place: Site,
        outages: list[Outage],
        days: int,
        spares_per_domain: int = 0,
    ) -> None:
        super().__init__(place, outages, days)
        self.request = resources.GroupRequest(
            id="q",
            name="q",
            service="s",
            groups=place.groups,
            spares_per_domain=spares_per_domain,
        )
        self.groups: dict[str, resources.ServingGroup] = {}
        self.lost: set[str] = set()
        self.quarantine: dict[str, int] = {}
        self.epoch = 0
        self.pending = False
        self.rate_bytes_per_s = 1 << 60
        self.decide()
        self.rate_bytes_per_s = STORE_BYTES_PER_S
        for group in self.groups.values():
            self.serving[group.id] = group.members
        self.store_free_ms = 0

    def failed(self, gone: set[str]) -> None:
        """Counts members as lost after the stated time."""
        self.at(
            self.now_ms + DETECT_MS + fleet_state.LOST_AFTER_MS,
            lambda: self._lose(gone),
        )

    def _lose(self, gone: set[str]) -> None:
        # A member that was assigned again since then holds its shard.
        lost = {m for m in gone if m in self.group_of and m not in self.holds}
        self.lost |= lost
        if lost:
            self.plan_soon(POLL_MS)

    def returned(self, back: set[str]) -> None:
        """Decides again if anything waits for instances."""
        del back
        if self.pending:
            self.plan_soon(POLL_MS)

    def plan_soon(self, delay_ms: int) -> None:
        """Decides after a delay, once for all that happened until then."""
        self.at(self.now_ms + delay_ms, self.decide)

    def situation(self, whole: bool = False) -> situations.Situation:
        """Returns what the proposer would see.

        Members of whole groups are left out unless `whole`: the decision
        never uses them, which `run` checks on samples.
        """
        broken = {self.group_of[m] for m in self.lost}
        ids = [id for free in self.free.values() for id in free]
        ids += [m for group in broken for m in self.groups[group].members]
        nodes = {
            id: situations.Node(
                id=id,
                domain=self.domain_of[id],
                zone=f"z{int(self.domain_of[id][1:]) % 26}",
            )
            for id in (self.up if whole else ids)
            if self.up[id]
        }
        self.quarantine = {
            k: v for k, v in self.quarantine.items() if v > self.now_ms
        }
        loading_ms = max(0, self.store_free_ms - self.now_ms)
        return situations.Situation(
            nodes=nodes,
            groups=tuple(self.groups.values()),
            requests=(self.request,),
            services={"s": SERVICE},
            lost=frozenset(self.lost),
            quarantined=frozenset(self.quarantine),
            rate_bytes_per_s=self.rate_bytes_per_s,
            loading_bytes=loading_ms * STORE_BYTES_PER_S // 1000,
        )

    def decide(self) -> None:
        """Decides and carries the plan out as the log would."""
        self.decisions += 1
        plan = placement.decide(self.situation())
        if self.decisions % 1000 == 0:
            assert plan == placement.decide(self.situation(whole=True))
        for dissolution in plan.dissolutions:
            self._release(self.groups.pop(dissolution.group).members)
            self.serving.pop(dissolution.group, None)
        for formation in plan.formations:
            self._assign(formation)
        self.pending = bool(plan.pending)
        if plan.pending and self.quarantine:
            self.plan_soon(catalogue.QUARANTINE_MS)
        elif plan.pending and self.store_free_ms > self.now_ms:
            self.plan_soon(placement.LOAD_WINDOW_MS // 2)

    def _release(self, members: tuple[str, ...]) -> None:
        for member in members:
            self.lost.discard(member)
            self.leave(member)
            self.quarantine[member] = self.now_ms + catalogue.QUARANTINE_MS

    def _assign(self, formation: situations.Formation) -> None:
        self.epoch += 1
        epoch = self.epoch
        id = formation.group or f"g{epoch}"
        old = self.groups.get(id)
        if old is not None:
            self._release(old.members)
        for member in formation.members:
            self.join(member, id)
            self.quarantine.pop(member, None)
        self.groups[id] = resources.ServingGroup(
            id=id,
            name=id,
            request="q",
            service="s",
            domain=formation.domain,
            zone=formation.zone,
            epoch=epoch,
            members=formation.members,
        )
        ready_ms = self.load(formation.members) + ENGINE_START_MS
        self.at(ready_ms, lambda: self._serve(id, epoch))

    def _serve(self, id: str, epoch: int) -> None:
        group = self.groups.get(id)
        if (
            group is not None
            and group.epoch == epoch
            and all(m in self.holds and self.up[m] for m in group.members)
        ):
            self.serving[id] = group.members
