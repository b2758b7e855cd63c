"""Which worker gets a request."""

import enum
import random
from collections.abc import Collection, Iterator

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


class Missing(enum.Enum):
    """Why there is no worker for a request."""

    NONE = "none"
    FULL = "full"


class Choice:
    """Chooses among the workers that may get a request.

    Attributes:
        zone: Zone of this gateway.
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
        self._groups: dict[tuple[str, str], tuple[workers.Group, ...]] = {}
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
        able = self.able(service, model)
        fresh = [worker for worker in able if worker.id not in tried]
        good = [w for w in fresh if not self.evidence.excluded(w.id)]
        # Never all workers of a service are left out for failures alone.
        candidates = good or fresh
        if not candidates:
            return Missing.NONE
        scored: list[tuple[float, workers.Worker]] = []
        for worker in candidates:
            if not self._room(service, worker, overfill):
                continue
            slots = self._slots(service, worker)
            used = self.loads.at(worker.id)
            far = ZONE_PENALTY if worker.zone != self.zone else 0.0
            scored.append(((used + 1) / slots + far, worker))
        if not scored:
            return Missing.FULL
        # Gateways that see the same loads must not all pick the same worker.
        least = min(score for score, _ in scored)
        near = [w for score, w in scored if score <= least + 0.06]
        return self.rng.choice(near)

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
        for worker in self._able(service, model):
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
        if self.loads.at(worker.id) >= overfill * slots * (1 + QUEUED_SHARE):
            return False
        return not self.known.cold(worker) or self.cold.available(
            worker.id, service.cold_per_s
        )

    def able(self, service: table.Service, model: str) -> list[workers.Worker]:
        """Returns the workers that can serve a model at the moment."""
        return list(self._able(service, model))

    def _able(
        self, service: table.Service, model: str
    ) -> Iterator[workers.Worker]:
        if service.engine is not None and service.engine.models:
            for group in self.groups(service, model):
                if self._whole(group):
                    yield group.members[0]
            return
        for worker in self.known.of_service(service.name):
            if self.receiving(worker.id) is not None:
                yield worker

    def receiving(self, worker_id: str) -> workers.Worker | None:
        """Returns a worker if it may get new requests."""
        worker = self.known.workers.get(worker_id)
        if (
            worker is None
            or worker.draining
            or worker.zone in self.known.evacuated
            or self._gone(worker)
        ):
            return None
        return worker

    def groups(
        self, service: table.Service, model: str
    ) -> tuple[workers.Group, ...]:
        """Returns the open and complete groups of a model."""
        if self._revision != self.known.revision:
            self._groups = self._collect()
            self._revision = self.known.revision
        return self._groups.get((service.name, model), ())

    def _collect(self) -> dict[tuple[str, str], tuple[workers.Group, ...]]:
        found: dict[tuple[str, str], list[workers.Group]] = {}
        current = self.known.table
        if current is None:
            return {}
        for group in self.known.groups().values():
            service = current.services.get(group.service)
            engine = service.engine if service else None
            model = engine.model(group.model) if engine else None
            if model is None or not group.open:
                continue
            if not group.complete(model.size):
                continue
            if any(
                worker.draining or worker.zone in self.known.evacuated
                for worker in group.members.values()
            ):
                continue
            found.setdefault((group.service, group.model), []).append(group)
        return {key: tuple(groups) for key, groups in found.items()}

    def _whole(self, group: workers.Group) -> bool:
        if self.evidence.suspected(group.members[0].id):
            return False
        return not self.evidence.any_lost() or not any(
            self.evidence.is_lost(worker.id, worker.born_ms)
            for worker in group.members.values()
        )

    def _gone(self, worker: workers.Worker) -> bool:
        return self.evidence.suspected(worker.id) or self.evidence.is_lost(
            worker.id, worker.born_ms
        )

    def _slots(self, service: table.Service, worker: workers.Worker) -> int:
        return service.engine.slots if service.engine else worker.slots
