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
WORKER_QUEUE_SHARE = 0.0
# A worker in another zone is taken when it is this much emptier.
CROSS_ZONE_PENALTY = 0.1
# Candidates whose scores differ by less from the best are equally good.
SCORE_TOLERANCE = 0.06
# With more candidates a choice compares a random sample, since it may take
# 50 us and one candidate takes about 1 us.
SAMPLING_THRESHOLD = 48
# Candidates of the own zone and of the other zones in a sample. The benchmark
# `choosing` compares it with a choice among all 375 groups: at 0.95 of the
# capacity waits are a fifth longer with 24 + 4 and nearly half longer with
# 8 + 2; at 0.8 and below they are no longer with 24 + 4.
LOCAL_SAMPLE_SIZE = 24
REMOTE_SAMPLE_SIZE = 4


class NoWorker(enum.Enum):
    """Why there is no worker for a request."""

    NONE_ELIGIBLE = "none"
    ALL_FULL = "full"


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
class CandidatePool:
    """The candidates for one model or plain service.

    Attributes:
        candidates: All of them.
        near: Those of the gateway's zone.
        far: The others.
    """

    candidates: tuple[Candidate, ...] = ()
    near: tuple[Candidate, ...] = ()
    far: tuple[Candidate, ...] = ()


EMPTY_POOL = CandidatePool()


class WorkerSelector:
    """Chooses among the workers that may get a request.

    Attributes:
        zone: Zone of this gateway.
        sampling_threshold: Number of candidates above which only a
            sample is compared.
    """

    def __init__(
        self,
        known: state.State,
        worker_health: health.HealthTracker,
        loads: load.Load,
        cold: budget.ColdStartBudget,
        rng: random.Random,
        zone: str,
    ) -> None:
        self.known = known
        self.worker_health = worker_health
        self.loads = loads
        self.cold = cold
        self.rng = rng
        self.zone = zone
        self.sampling_threshold = SAMPLING_THRESHOLD
        self._pools: dict[tuple[str, str], CandidatePool] = {}
        self._revision = -1

    def select(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        max_fill: float = 1.0,
    ) -> workers.Worker | NoWorker:
        """Chooses a worker.

        Args:
            service: The service that the request goes to.
            model: Its model; empty for a plain service.
            tried: Workers that have had the request.
            max_fill: Factor on what a worker may hold.
        """
        chosen = self.peek(service, model, tried, max_fill)
        if isinstance(chosen, workers.Worker) and self.known.is_cold(chosen):
            self.cold.record_request(chosen.id)
        return chosen

    def peek(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        max_fill: float = 1.0,
    ) -> workers.Worker | NoWorker:
        """Returns what `select` would choose, without using it."""
        pool = self.pool(service, model)
        if len(pool.candidates) > self.sampling_threshold:
            sampled = self._fresh(self._sample(pool), tried)
            found = self._emptiest(service, self._good(sampled), max_fill)
            if found is not None:
                return found
        fresh = self._fresh(pool.candidates, tried)
        # Never all workers of a service are left out for failures alone.
        candidates = self._good(fresh) or fresh
        if not candidates:
            return NoWorker.NONE_ELIGIBLE
        found = self._emptiest(service, candidates, max_fill)
        return NoWorker.ALL_FULL if found is None else found

    def _fresh(
        self, candidates: Iterable[Candidate], tried: Collection[str]
    ) -> list[workers.Worker]:
        """Returns the workers that can serve and have not had the request."""
        return [w for w in self._serving(candidates) if w.id not in tried]

    def _good(self, found: list[workers.Worker]) -> list[workers.Worker]:
        return [w for w in found if not self.worker_health.excluded(w.id)]

    def _emptiest(
        self,
        service: table.Service,
        candidates: list[workers.Worker],
        max_fill: float,
    ) -> workers.Worker | None:
        """Returns a worker with room and the least load, if there is one."""
        scored: list[tuple[float, workers.Worker]] = []
        for worker in candidates:
            if not self._room(service, worker, max_fill):
                continue
            slots = self._slots(service, worker)
            used = self.loads.in_flight(worker.id)
            far = CROSS_ZONE_PENALTY if worker.zone != self.zone else 0.0
            scored.append(((used + 1) / slots + far, worker))
        if not scored:
            return None
        # Gateways that see the same loads must not all pick the same worker.
        least = min(score for score, _ in scored)
        near = [w for score, w in scored if score <= least + SCORE_TOLERANCE]
        return self.rng.choice(near)

    def _sample(self, pool: CandidatePool) -> Iterator[Candidate]:
        """Draws candidates of the own zone and some of the others.

        One sample of all would rarely hold a worker of the own zone where
        there are many zones. Others take the place of those that it lacks.
        """
        lacking = max(0, LOCAL_SAMPLE_SIZE - len(pool.near))
        for part, count in (
            (pool.near, LOCAL_SAMPLE_SIZE),
            (pool.far, REMOTE_SAMPLE_SIZE + lacking),
        ):
            if len(part) <= count:
                yield from part
            else:
                # One may come twice, which does no harm and takes less time
                # than a sample without repeats.
                random_of, size = self.rng.random, len(part)
                for _ in range(count):
                    yield part[int(random_of() * size)]

    def can_select(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        max_fill: float = 1.0,
    ) -> bool:
        """Whether `peek` would choose a worker.

        The first one that may get the request ends the search, which runs
        for each event of a stream.
        """
        excluded_has_room = any_good = False
        for worker in self._serving(self.pool(service, model).candidates):
            if worker.id in tried:
                continue
            excluded = self.worker_health.excluded(worker.id)
            any_good = any_good or not excluded
            if (excluded and excluded_has_room) or not self._room(
                service, worker, max_fill
            ):
                continue
            if not excluded:
                return True
            excluded_has_room = True
        return excluded_has_room and not any_good

    def _room(
        self, service: table.Service, worker: workers.Worker, max_fill: float
    ) -> bool:
        """Whether a worker may hold one more request."""
        slots = self._slots(service, worker)
        if self.loads.in_flight(worker.id) >= max_fill * slots * (
            1 + WORKER_QUEUE_SHARE
        ):
            return False
        return not self.known.is_cold(worker) or self.cold.available(
            worker.id, service.cold_requests_per_s
        )

    def serving_workers(
        self, service: table.Service, model: str
    ) -> list[workers.Worker]:
        """Returns the workers that can serve a model at the moment."""
        return list(self._serving(self.pool(service, model).candidates))

    def accepting_worker(self, worker_id: str) -> workers.Worker | None:
        """Returns a worker if it may get new requests."""
        worker = self.known.workers.get(worker_id)
        if (
            worker is None
            or self._leaving(worker)
            or self.worker_health.suspected(worker.id)
            or self.worker_health.is_lost(worker.id, worker.started_ms)
        ):
            return None
        return worker

    def pool(self, service: table.Service, model: str) -> CandidatePool:
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
        return self._pools.get((service.name, model), EMPTY_POOL)

    def _collect(self) -> dict[tuple[str, str], CandidatePool]:
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
                    for worker in self.known.service_workers(service.name)
                    if not self._leaving(worker)
                ]
        return {key: self._split(listed) for key, listed in found.items()}

    def _split(self, listed: list[Candidate]) -> CandidatePool:
        return CandidatePool(
            tuple(listed),
            tuple(c for c in listed if c.worker.zone == self.zone),
            tuple(c for c in listed if c.worker.zone != self.zone),
        )

    def _leaving(self, worker: workers.Worker) -> bool:
        return worker.draining or worker.zone in self.known.evacuated_zones

    def _serving(
        self, candidates: Iterable[Candidate]
    ) -> Iterator[workers.Worker]:
        """Yields the workers that no gateway suspects or found lost."""
        for candidate in candidates:
            if not self.worker_health.suspected(
                candidate.worker.id
            ) and not self.worker_health.lost_among(candidate.members):
                yield candidate.worker

    def _slots(self, service: table.Service, worker: workers.Worker) -> int:
        return service.engine.slots if service.engine else worker.slots


def _grouped(service: table.Service) -> bool:
    """Whether groups serve a service, not single workers."""
    return service.engine is not None and bool(service.engine.models)
