"""Selection of the worker that serves a request."""

import dataclasses
import enum
import random
from collections.abc import Collection, Iterable, Iterator

from oleanderbay.gateway import (
    budget,
    health,
    request_load,
    rests,
    state,
    table,
    worker_limits,
    workers,
)

# Requests that a worker may have in its own queue, as a share of its slots.
# The order of priorities and teams is kept in the gateway's queue only, so a
# queue at the worker delays urgent requests: with 0.1, the benchmark
# `admission` loses a fifth of the goodput at twice the capacity.
WORKER_QUEUE_SHARE = 0.0
# Added to the load (per slot) of workers in other zones, so that traffic stays
# within the zone unless a remote worker is this much less loaded.
CROSS_ZONE_PENALTY = 0.1
# Candidates whose scores are within this distance of the best are equivalent.
SCORE_TOLERANCE = 0.06
# With more candidates, only a random sample is compared: a selection may take
# 50 us, and each candidate takes about 1 us.
SAMPLING_THRESHOLD = 48
# Candidates in a sample from this gateway's zone and from other zones. The
# benchmark `choosing` compares sampling with a selection among all 375 groups.
# At 95% of the capacity, waits are a fifth longer with 24 + 4 candidates and
# nearly half longer with 8 + 2; at 80% and below, 24 + 4 makes no difference.
LOCAL_SAMPLE_SIZE = 24
REMOTE_SAMPLE_SIZE = 4


class NoWorker(enum.Enum):
    """Why no worker can be selected for a request."""

    NONE_ELIGIBLE = "none"
    ALL_FULL = "full"


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that may get requests according to the store's records.

    Attributes:
        worker: The worker; the head if a group serves the requests.
        members: All workers that are needed to serve a request.
    """

    worker: workers.Worker
    members: tuple[workers.Worker, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CandidatePool:
    """The candidates for one model or plain service.

    Attributes:
        candidates: All candidates.
        local: Candidates in the zone of this gateway.
        remote: Candidates in other zones.
    """

    candidates: tuple[Candidate, ...] = ()
    local: tuple[Candidate, ...] = ()
    remote: tuple[Candidate, ...] = ()


EMPTY_POOL = CandidatePool()


class WorkerSelector:
    """Selects the worker that a request is sent to.

    Attributes:
        zone: Zone of this gateway.
        rests: Workers that want no requests for a time.
        sampling_threshold: Number of candidates above which only a sample is
            compared.
    """

    def __init__(
        self,
        gateway_state: state.State,
        worker_health: health.HealthTracker,
        loads: request_load.RequestLoad,
        cold_budget: budget.ColdStartBudget,
        limits: worker_limits.WorkerLimits,
        rng: random.Random,
        zone: str,
    ) -> None:
        self.gateway_state = gateway_state
        self.worker_health = worker_health
        self.loads = loads
        self.cold_budget = cold_budget
        self.limits = limits
        self.rng = rng
        self.zone = zone
        self.sampling_threshold = SAMPLING_THRESHOLD
        self.rests = rests.Rests(gateway_state.clock)
        self._pools: dict[tuple[str, str], CandidatePool] = {}
        self._revision = -1

    def select(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        max_fill: float = 1.0,
    ) -> workers.Worker | NoWorker:
        """Selects a worker, and counts the request if its rate is limited.

        Args:
            service: The service that the request goes to.
            model: Its model; empty for a plain service.
            tried: Ids of workers that the request was already sent to.
            max_fill: Load limit as a factor on each worker's capacity.
        """
        chosen = self.peek(service, model, tried, max_fill)
        if isinstance(chosen, workers.Worker):
            self.limits.record_request(chosen.id)
            if self.gateway_state.is_cold(chosen):
                self.cold_budget.record_request(chosen.id)
        return chosen

    def peek(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        max_fill: float = 1.0,
    ) -> workers.Worker | NoWorker:
        """Returns what `select` would return, without counting a request."""
        pool = self.pool(service, model)
        if len(pool.candidates) > self.sampling_threshold:
            sampled = self._untried_workers(
                self._sample_candidates(pool), tried
            )
            found = self._least_loaded(
                service, self._not_excluded(sampled), max_fill
            )
            if found is not None:
                return found
        fresh = self._untried_workers(pool.candidates, tried)
        # If all workers are excluded after failures, they are used anyway.
        candidates = self._not_excluded(fresh) or fresh
        if not candidates:
            return NoWorker.NONE_ELIGIBLE
        found = self._least_loaded(service, candidates, max_fill)
        return NoWorker.ALL_FULL if found is None else found

    def _untried_workers(
        self, candidates: Iterable[Candidate], tried: Collection[str]
    ) -> list[workers.Worker]:
        """Returns the available workers that have not had the request."""
        return [
            w for w in self._available_workers(candidates) if w.id not in tried
        ]

    def _not_excluded(
        self, candidates: list[workers.Worker]
    ) -> list[workers.Worker]:
        return [
            w for w in candidates if not self.worker_health.is_excluded(w.id)
        ]

    def _least_loaded(
        self,
        service: table.Service,
        candidates: list[workers.Worker],
        max_fill: float,
    ) -> workers.Worker | None:
        """Returns one of the least loaded workers; None if all are full."""
        scored: list[tuple[float, workers.Worker]] = []
        for worker in candidates:
            if not self._has_room(service, worker, max_fill):
                continue
            slots = self._slots(service, worker)
            in_flight = self.loads.in_flight(worker.id)
            penalty = CROSS_ZONE_PENALTY if worker.zone != self.zone else 0.0
            scored.append(((in_flight + 1) / slots + penalty, worker))
        if not scored:
            return None
        # Gateways that see the same loads must not all select the same worker.
        least = min(score for score, _ in scored)
        best = [w for score, w in scored if score <= least + SCORE_TOLERANCE]
        return self.rng.choice(best)

    def _sample_candidates(self, pool: CandidatePool) -> Iterator[Candidate]:
        """Draws a random sample, mostly from this gateway's zone.

        With many zones, a uniform sample would rarely contain a worker of this
        zone. If the zone has too few candidates, more remote ones are drawn.
        """
        missing = max(0, LOCAL_SAMPLE_SIZE - len(pool.local))
        for part, count in (
            (pool.local, LOCAL_SAMPLE_SIZE),
            (pool.remote, REMOTE_SAMPLE_SIZE + missing),
        ):
            if len(part) <= count:
                yield from part
            else:
                # Sampling with replacement is faster, and duplicates are
                # harmless.
                random_fraction, size = self.rng.random, len(part)
                for _ in range(count):
                    yield part[int(random_fraction() * size)]

    def can_select(
        self,
        service: table.Service,
        model: str,
        tried: Collection[str],
        max_fill: float = 1.0,
    ) -> bool:
        """Whether `peek` would return a worker.

        This runs for each event of a stream, so the search stops at the first
        suitable worker.
        """
        excluded_has_room = any_not_excluded = False
        for worker in self._available_workers(
            self.pool(service, model).candidates
        ):
            if worker.id in tried:
                continue
            excluded = self.worker_health.is_excluded(worker.id)
            any_not_excluded = any_not_excluded or not excluded
            if (excluded and excluded_has_room) or not self._has_room(
                service, worker, max_fill
            ):
                continue
            if not excluded:
                return True
            excluded_has_room = True
        return excluded_has_room and not any_not_excluded

    def _has_room(
        self, service: table.Service, worker: workers.Worker, max_fill: float
    ) -> bool:
        """Whether a worker may get one more request."""
        slots = self._slots(service, worker)
        if self.loads.in_flight(worker.id) >= max_fill * slots * (
            1 + WORKER_QUEUE_SHARE
        ) or not self.limits.available(worker.id):
            return False
        return not self.gateway_state.is_cold(
            worker
        ) or self.cold_budget.available(worker.id, service.cold_requests_per_s)

    def serving_workers(
        self, service: table.Service, model: str
    ) -> list[workers.Worker]:
        """Returns the workers that can currently serve a model."""
        return list(
            self._available_workers(self.pool(service, model).candidates)
        )

    def availability(
        self, service: table.Service, model: str
    ) -> dict[str, int]:
        """Returns the number of candidates in each state that prevents use."""
        counts = dict.fromkeys(
            (
                "candidates",
                "suspected",
                "lost",
                "excluded",
                "resting",
                "full",
            ),
            0,
        )
        for candidate in self.pool(service, model).candidates:
            worker = candidate.worker
            counts["candidates"] += 1
            counts["suspected"] += self.worker_health.is_suspected(worker.id)
            counts["lost"] += self.worker_health.lost_among(candidate.members)
            counts["excluded"] += self.worker_health.is_excluded(worker.id)
            counts["resting"] += self.rests.left_ms(worker) > 0
            counts["full"] += not self._has_room(service, worker, 1.0)
        return counts

    def accepting_worker(self, worker_id: str) -> workers.Worker | None:
        """Returns a worker if it accepts new requests, otherwise None."""
        worker = self.gateway_state.workers.get(worker_id)
        if (
            worker is None
            or self._is_leaving(worker)
            or self.worker_health.is_suspected(worker.id)
            or self.worker_health.is_lost(worker.id, worker.started_ms)
            or self.rests.left_ms(worker)
        ):
            return None
        return worker

    def may_receive(self, worker: workers.Worker) -> bool:
        """Whether a worker that was selected may still get the request."""
        known = self.gateway_state.workers.get(worker.id)
        return (
            known is not None
            and (known.address, known.started_ms)
            == (worker.address, worker.started_ms)
            and not self._is_leaving(known)
            and not self.rests.left_ms(known)
        )

    def rest_left_ms(self, service: table.Service, model: str) -> int:
        """Returns the time until the first candidate takes requests again.

        Returns 0 unless all candidates have asked for a rest.
        """
        if not self.rests.any:
            return 0
        return min(
            (
                self.rests.left_ms(candidate.worker)
                for candidate in self.pool(service, model).candidates
            ),
            default=0,
        )

    def pool(self, service: table.Service, model: str) -> CandidatePool:
        """Returns the workers that may serve a model according to the records.

        Args:
            service: The service.
            model: Its model; ignored for a plain service.
        """
        if self._revision != self.gateway_state.revision:
            self._pools = self._build_pools()
            self._revision = self.gateway_state.revision
        if not service.uses_groups:
            model = ""
        return self._pools.get((service.name, model), EMPTY_POOL)

    def _build_pools(self) -> dict[tuple[str, str], CandidatePool]:
        found: dict[tuple[str, str], list[Candidate]] = {}
        current = self.gateway_state.table
        if current is None:
            return {}
        for group in self.gateway_state.groups().values():
            service = current.services.get(group.service)
            engine = service.engine if service else None
            model = engine.model(group.model) if engine else None
            if model is None or not group.open:
                continue
            if not group.complete(model.group_size):
                continue
            members = tuple(group.members.values())
            if any(map(self._is_leaving, members)):
                continue
            found.setdefault((group.service, group.model), []).append(
                Candidate(group.members[0], members)
            )
        for service in current.services.values():
            if not service.uses_groups:
                found[service.name, ""] = [
                    Candidate(worker, (worker,))
                    for worker in self.gateway_state.service_workers(
                        service.name
                    )
                    if not self._is_leaving(worker)
                ]
        return {
            key: self._split_by_zone(candidates)
            for key, candidates in found.items()
        }

    def _split_by_zone(self, candidates: list[Candidate]) -> CandidatePool:
        return CandidatePool(
            tuple(candidates),
            tuple(c for c in candidates if c.worker.zone == self.zone),
            tuple(c for c in candidates if c.worker.zone != self.zone),
        )

    def _is_leaving(self, worker: workers.Worker) -> bool:
        return (
            worker.draining or worker.zone in self.gateway_state.evacuated_zones
        )

    def _available_workers(
        self, candidates: Iterable[Candidate]
    ) -> Iterator[workers.Worker]:
        """Yields the workers that take requests and lost no member."""
        for candidate in candidates:
            if self.rests.any and self.rests.left_ms(candidate.worker):
                continue
            if not self.worker_health.is_suspected(
                candidate.worker.id
            ) and not self.worker_health.lost_among(candidate.members):
                yield candidate.worker

    def _slots(self, service: table.Service, worker: workers.Worker) -> int:
        return service.engine.slots if service.engine else worker.slots
