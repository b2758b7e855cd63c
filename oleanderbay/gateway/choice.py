"""Which worker gets a request."""

import dataclasses
import enum
import random
from collections.abc import Collection, Iterable, Iterator

from oleanderbay.gateway import (
    budget,
    health,
    load,
    state,
    table,
    workers,
)

# Requests that a worker may have in its own queue, as a share of its slots. The
# gateway's queue keeps the order between teams and kinds, and a worker's queue
# makes urgent requests late: with 0.1 the benchmark `admission` loses a fifth
# of the goodput at twice the capacity.
QUEUED_SHARE = 0.0
# A worker in another zone is taken when it is this much emptier.
ZONE_PENALTY = 0.1
# Candidates whose scores differ by less from the best are equally good.
EQUAL_SCORE = 0.06
# With more candidates a choice compares a random sample, since it may take
# 50 us and one candidate takes about 1 us.
SAMPLE_ABOVE = 48
# Candidates of the own zone and of the other zones in a sample. The benchmark
# `choosing` compares it with a choice among all 375 groups: at 0.95 of the
# capacity waits are a fifth longer with 24 + 4 and nearly half longer with
# 8 + 2; at 0.8 and below they are no longer with 24 + 4.
NEAR_SAMPLES = 24
FAR_SAMPLES = 4


class Missing(enum.Enum):
    """Why there is no worker for a request."""

    NONE = "none"
    FULL = "full"


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that may get requests by the records.

    Attributes:
        worker: The worker.
        members: Workers without which it can't serve.
    """

    worker: workers.Worker
    members: tuple[workers.Worker, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The candidates for one model or plain service.

    Attributes:
        candidates: All of them.
        near: Those of the gateway's zone.
        far: The others.
    """

    candidates: tuple[Candidate, ...] = ()
    near: tuple[Candidate, ...] = ()
    far: tuple[Candidate, ...] = ()


EMPTY = Pool()


class Choice:
    """Chooses among the workers that may get a request.

    Attributes:
        zone: Zone of this gateway.
        sample_above: Number of candidates above which a sample is compared.
    """

    def __init__(
        self,
        known: state.State,
        evidence: health.Health,
        loads: load.Load,
        cold: budget.ColdBudget,
        rng: random.Random,
        zone: str,
    ) -> None:
        self.known = known
        self.evidence = evidence
        self.loads = loads
        self.cold = cold
        self.rng = rng
        self.zone = zone
        self.sample_above = SAMPLE_ABOVE
        self._pools: dict[tuple[str, str], Pool] = {}
        self._revision = -1

    def pick(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        overfill: float = 1.0,
    ) -> workers.Worker | Missing:
        """Chooses a worker.

        Args:
            service: The service that the request goes to.
            model: Its model; empty for a plain service.
            tried: Workers that have had the request.
            overfill: Factor on what a worker may hold.
        """
        chosen = self.peek(service, model, tried, overfill)
        if isinstance(chosen, workers.Worker) and self.known.cold(chosen):
            self.cold.sent(chosen.id)
        return chosen

    def peek(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        overfill: float = 1.0,
    ) -> workers.Worker | Missing:
        """Returns what `pick` would choose, without using it."""
        pool = self.pool(service, model)
        if len(pool.candidates) > self.sample_above:
            sampled = self._fresh(self._sample(pool), tried)
            found = self._emptiest(service, self._good(sampled), overfill)
            if found is not None:
                return found
        fresh = self._fresh(pool.candidates, tried)
        # Never all workers of a service are left out for failures alone.
        candidates = self._good(fresh) or fresh
        if not candidates:
            return Missing.NONE
        found = self._emptiest(service, candidates, overfill)
        return Missing.FULL if found is None else found

    def _fresh(
        self, candidates: Iterable[Candidate], tried: Collection[str]
    ) -> list[workers.Worker]:
        """Returns the workers that can serve and have not had the request."""
        return [w for w in self._serving(candidates) if w.id not in tried]

    def _good(self, found: list[workers.Worker]) -> list[workers.Worker]:
        return [w for w in found if not self.evidence.excluded(w.id)]

    def _emptiest(
        self,
        service: table.Service,
        candidates: list[workers.Worker],
        overfill: float,
    ) -> workers.Worker | None:
        """Returns a worker with room and the least load, if there is one."""
        scored: list[tuple[float, workers.Worker]] = []
        for worker in candidates:
            if not self._room(service, worker, overfill):
                continue
            slots = self._slots(service, worker)
            used = self.loads.in_flight(worker.id)
            far = ZONE_PENALTY if worker.zone != self.zone else 0.0
            scored.append(((used + 1) / slots + far, worker))
        if not scored:
            return None
        # Gateways that see the same loads must not all pick the same worker.
        least = min(score for score, _ in scored)
        near = [w for score, w in scored if score <= least + EQUAL_SCORE]
        return self.rng.choice(near)

    def _sample(self, pool: Pool) -> Iterator[Candidate]:
        """Draws candidates of the own zone and some of the others.

        One sample of all would rarely hold a worker of the own zone where
        there are many zones. Others take the place of those that it lacks.
        """
        lacking = max(0, NEAR_SAMPLES - len(pool.near))
        for part, count in (
            (pool.near, NEAR_SAMPLES),
            (pool.far, FAR_SAMPLES + lacking),
        ):
            if len(part) <= count:
                yield from part
            else:
                # One may come twice, which does no harm and takes less time
                # than a sample without repeats.
                random_of, size = self.rng.random, len(part)
                for _ in range(count):
                    yield part[int(random_of() * size)]

    def possible(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        overfill: float = 1.0,
    ) -> bool:
        """Whether `peek` would choose a worker.

        The first one that may get the request ends the search, which runs
        for each event of a stream.
        """
        excluded_has_room = any_good = False
        for worker in self._serving(self.pool(service, model).candidates):
            if worker.id in tried:
                continue
            excluded = self.evidence.excluded(worker.id)
            any_good = any_good or not excluded
            if (excluded and excluded_has_room) or not self._room(
                service, worker, overfill
            ):
                continue
            if not excluded:
                return True
            excluded_has_room = True
        return excluded_has_room and not any_good

    def _room(
        self, service: table.Service, worker: workers.Worker, overfill: float
    ) -> bool:
        """Whether a worker may hold one more request."""
        slots = self._slots(service, worker)
        if self.loads.in_flight(worker.id) >= overfill * slots * (
            1 + QUEUED_SHARE
        ):
            return False
        return not self.known.cold(worker) or self.cold.available(
            worker.id, service.cold_requests_per_s
        )

    def able(self, service: table.Service, model: str) -> list[workers.Worker]:
        """Returns the workers that can serve a model at the moment."""
        return list(self._serving(self.pool(service, model).candidates))

    def receiving(self, worker_id: str) -> workers.Worker | None:
        """Returns a worker if it may get new requests."""
        worker = self.known.workers.get(worker_id)
        if (
            worker is None
            or self._leaving(worker)
            or self.evidence.suspected(worker.id)
            or self.evidence.is_lost(worker.id, worker.born_ms)
        ):
            return None
        return worker

    def pool(self, service: table.Service, model: str) -> Pool:
        """Returns the workers that may serve a model by the records.

        Args:
            service: The service.
            model: Its model; ignored for a plain service.
        """
        if self._revision != self.known.revision:
            self._pools = self._collect()
            self._revision = self.known.revision
        if not _grouped(service):
            model = ""
        return self._pools.get((service.name, model), EMPTY)

    def _collect(self) -> dict[tuple[str, str], Pool]:
        found: dict[tuple[str, str], list[Candidate]] = {}
        current = self.known.table
        if current is None:
            return {}
        for group in self.known.groups().values():
            service = current.services.get(group.service)
            engine = service.engine if service else None
            model = engine.model(group.model) if engine else None
            if model is None or not group.open:
                continue
            if not group.complete(model.group_size):
                continue
            members = tuple(group.members.values())
            if any(map(self._leaving, members)):
                continue
            found.setdefault((group.service, group.model), []).append(
                Candidate(group.members[0], members)
            )
        for service in current.services.values():
            if not _grouped(service):
                found[service.name, ""] = [
                    Candidate(worker, (worker,))
                    for worker in self.known.of_service(service.name)
                    if not self._leaving(worker)
                ]
        return {key: self._split(listed) for key, listed in found.items()}

    def _split(self, listed: list[Candidate]) -> Pool:
        return Pool(
            tuple(listed),
            tuple(c for c in listed if c.worker.zone == self.zone),
            tuple(c for c in listed if c.worker.zone != self.zone),
        )

    def _leaving(self, worker: workers.Worker) -> bool:
        return worker.draining or worker.zone in self.known.evacuated

    def _serving(
        self, candidates: Iterable[Candidate]
    ) -> Iterator[workers.Worker]:
        """Yields the workers that no gateway suspects or found lost."""
        for candidate in candidates:
            if not self.evidence.suspected(
                candidate.worker.id
            ) and not self.evidence.lost_among(candidate.members):
                yield candidate.worker

    def _slots(self, service: table.Service, worker: workers.Worker) -> int:
        return service.engine.slots if service.engine else worker.slots


def _grouped(service: table.Service) -> bool:
    """Whether groups serve a service, not single workers."""
    return service.engine is not None and bool(service.engine.models)
