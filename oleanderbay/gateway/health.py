"""Worker health, derived from requests, reports and peer gateways."""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import structlog

from oleanderbay.gateway import workers
from oleanderbay.process import clock as clocks

MAX_CONSECUTIVE_FAILURES = 3
INITIAL_EXCLUSION_MS = 1_000
MAX_EXCLUSION_MS = 8_000
# A suspicion expires after this time unless the owner of the worker's fabric
# domain confirms it.
SUSPICION_TIMEOUT_MS = 1_500

log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Health of one worker as this gateway sees it.

    Attributes:
        failures: Failures since the last success or exclusion.
        exclusion_ms: Length of the next exclusion.
        excluded_until_ms: Monotonic time at which the exclusion after
            repeated failures ends.
        suspected_until_ms: Monotonic time at which the suspicion expires that
            the worker is unreachable or stalled.
        last_activity_ms: Monotonic time at which the worker last sent data to
            this gateway.
        typical_gap_ms: Moving average of the time between two chunks of a
            stream.
    """

    failures: int = 0
    exclusion_ms: int = INITIAL_EXCLUSION_MS
    excluded_until_ms: int = 0
    suspected_until_ms: int = 0
    last_activity_ms: int = 0
    typical_gap_ms: float = 0.0


class HealthTracker:
    """Tracks which workers are suspected, excluded or lost.

    Attributes:
        lost: Workers that the owner of their domain found lost, mapped to the
            start time of the lost incarnation.
        typical_first_byte_ms: Moving average of the time to the first byte of
            a response, by model or service.
        partitioned: Whether this gateway reaches no workers while others do.
            What it finds about workers is then due to its paths.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.lost: dict[str, int] = {}
        self.typical_first_byte_ms: dict[str, float] = {}
        self.partitioned: Callable[[], bool] = lambda: False
        self._workers: dict[str, WorkerHealth] = {}
        self._healthy_ms: dict[str, int] = {}
        self._peer_suspects: dict[str, frozenset[str]] = {}
        self._peer_healthy: dict[str, frozenset[str]] = {}
        self._peer_lost: dict[str, Mapping[str, int]] = {}
        # Number of peers that report each item, so that a lookup does not
        # have to visit every peer.
        self._suspect_counts: collections.Counter[str] = collections.Counter()
        self._healthy_counts: collections.Counter[str] = collections.Counter()
        self._lost_counts: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )

    def worker(self, worker_id: str) -> WorkerHealth:
        """Returns the health record of a worker, creating it if needed."""
        return self._workers.setdefault(worker_id, WorkerHealth())

    def record_activity(self, worker_id: str) -> None:
        """Records data from a worker, which clears a suspicion."""
        health = self.worker(worker_id)
        health.last_activity_ms = self.clock.now_ms()
        health.suspected_until_ms = 0

    def record_event_gap(self, worker_id: str, gap_ms: int) -> None:
        """Updates the average time between two chunks of a stream."""
        health = self.worker(worker_id)
        average_ms = health.typical_gap_ms or float(gap_ms)
        health.typical_gap_ms = average_ms + 0.1 * (gap_ms - average_ms)

    def record_first_byte(self, key: str, first_ms: int) -> None:
        """Updates the average time to the first byte of a response."""
        average_ms = self.typical_first_byte_ms.get(key, float(first_ms))
        self.typical_first_byte_ms[key] = average_ms + 0.05 * (
            first_ms - average_ms
        )

    def record_success(self, worker_id: str) -> None:
        """Records a complete response, which resets the failure count."""
        health = self.worker(worker_id)
        health.failures = 0
        health.exclusion_ms = INITIAL_EXCLUSION_MS

    def record_failure(self, worker_id: str) -> None:
        """Records a failure caused by the worker.

        Repeated failures exclude the worker; each exclusion is twice as long
        as the one before, up to `MAX_EXCLUSION_MS`.
        """
        health = self.worker(worker_id)
        health.failures += 1
        if health.failures >= MAX_CONSECUTIVE_FAILURES:
            now_ms = self.clock.now_ms()
            health.excluded_until_ms = now_ms + health.exclusion_ms
            health.exclusion_ms = min(2 * health.exclusion_ms, MAX_EXCLUSION_MS)
            health.failures = 0

    def suspect(self, worker_id: str) -> None:
        """Records that a worker stalls or can't be reached."""
        self.worker(worker_id).suspected_until_ms = (
            self.clock.now_ms() + SUSPICION_TIMEOUT_MS
        )

    def suspected_workers(self) -> list[str]:
        """Returns the workers that this gateway suspects."""
        now_ms = self.clock.now_ms()
        return [
            worker_id
            for worker_id, health in self._workers.items()
            if health.suspected_until_ms > now_ms
        ]

    def report(self) -> dict[str, Any]:
        """Returns what other gateways should know, for a heartbeat."""
        if self.partitioned():
            return {"suspects": [], "sound": [], "lost": {}}
        return {
            "suspects": self.suspected_workers(),
            "sound": self.healthy_heads(),
            "lost": self.lost,
        }

    def record_lost(self, worker: workers.Worker) -> bool:
        """Records that a worker is lost; returns whether that is certain."""
        if self.partitioned():
            return False
        self.lost[worker.id] = worker.started_ms
        log.info("worker lost", worker=worker.id)
        return True

    def forget_own(self) -> None:
        """Forgets which workers this gateway suspects or found lost."""
        self.lost.clear()
        self._healthy_ms.clear()
        for health in self._workers.values():
            health.suspected_until_ms = 0

    def mark_healthy(self, worker_id: str) -> None:
        """Records that all members of a suspected head's group respond."""
        self._healthy_ms[worker_id] = self.clock.now_ms()

    def healthy_heads(self) -> list[str]:
        """Returns the group heads that this gateway recently found healthy."""
        since_ms = self.clock.now_ms() - SUSPICION_TIMEOUT_MS
        self._healthy_ms = {
            worker_id: found_ms
            for worker_id, found_ms in self._healthy_ms.items()
            if found_ms > since_ms
        }
        return list(self._healthy_ms)

    def update_peer(
        self,
        peer_id: str,
        suspects: Iterable[str],
        healthy: Iterable[str],
        lost: Mapping[str, int],
    ) -> None:
        """Replaces the previous report of a peer gateway."""
        self._retract_peer(peer_id)
        self._peer_suspects[peer_id] = frozenset(suspects)
        self._peer_healthy[peer_id] = frozenset(healthy)
        self._peer_lost[peer_id] = {w: int(born) for w, born in lost.items()}
        self._suspect_counts.update(self._peer_suspects[peer_id])
        self._healthy_counts.update(self._peer_healthy[peer_id])
        self._lost_counts.update(self._peer_lost[peer_id].items())

    def _retract_peer(self, peer_id: str) -> None:
        """Removes the last report of a peer gateway."""
        for counter, items in (
            (self._suspect_counts, self._peer_suspects.pop(peer_id, ())),
            (self._healthy_counts, self._peer_healthy.pop(peer_id, ())),
            (self._lost_counts, self._peer_lost.pop(peer_id, {}).items()),
        ):
            for item in items:
                counter[item] -= 1  # type: ignore[index]
                if counter[item] <= 0:  # type: ignore[index]
                    del counter[item]  # type: ignore[arg-type]

    def retain_peers(
        self, peer_ids: frozenset[str], worker_ids: frozenset[str]
    ) -> None:
        """Removes the state of all other peers and workers."""
        for peer_id in tuple(self._peer_suspects):
            if peer_id not in peer_ids:
                self._retract_peer(peer_id)
        for worker_id in tuple(self._workers):
            if worker_id not in worker_ids:
                del self._workers[worker_id]
        for worker_id in tuple(self.lost):
            if worker_id not in worker_ids:
                del self.lost[worker_id]

    def is_lost(self, worker_id: str, born_ms: int) -> bool:
        """Whether this incarnation of a worker was found lost."""
        return (
            self.lost.get(worker_id, -1) == born_ms
            or (worker_id, born_ms) in self._lost_counts
        )

    def any_lost(self) -> bool:
        """Whether any worker was found lost."""
        return bool(self.lost or self._lost_counts)

    def lost_among(self, members: Iterable[workers.Worker]) -> bool:
        """Whether any of the given workers was found lost."""
        # Worker selection calls this for every group, and usually no worker
        # at all is lost.
        return self.any_lost() and any(
            self.is_lost(worker.id, worker.started_ms) for worker in members
        )

    def is_suspected(self, worker_id: str) -> bool:
        """Whether any gateway suspects a worker.

        Under overload all group heads are slow to respond and become
        suspected. The owner of their domain then finds them healthy, which
        overrides the suspicion.
        """
        found_ms = self._healthy_ms.get(worker_id)
        if worker_id in self._healthy_counts or (
            found_ms is not None
            and found_ms > self.clock.now_ms() - SUSPICION_TIMEOUT_MS
        ):
            return False
        health = self._workers.get(worker_id)
        now_ms = self.clock.now_ms()
        if health is not None:
            if health.suspected_until_ms > now_ms:
                return True
            # Recent data from the worker overrides a peer's suspicion, which
            # may be caused by a network partition between the peer and the
            # worker.
            if now_ms - health.last_activity_ms < SUSPICION_TIMEOUT_MS // 3:
                return False
        return worker_id in self._suspect_counts

    def is_excluded(self, worker_id: str) -> bool:
        """Whether a worker is excluded after repeated failures."""
        health = self._workers.get(worker_id)
        return (
            health is not None
            and health.excluded_until_ms > self.clock.now_ms()
        )
