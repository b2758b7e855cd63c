"""Evidence about workers from requests, reports and peers."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from oleanderbay.gateway import workers
from oleanderbay.process import clock as clocks

FAILURES_IN_A_ROW = 3
FIRST_EXCLUSION_MS = 1_000
LONGEST_EXCLUSION_MS = 8_000
# A suspicion is confirmed by the owner of the domain or ends by itself.
SUSPICION_MS = 1_500


@dataclasses.dataclass(slots=True)
class Evidence:
    """What is known of one worker.

    Attributes:
        failures: Failures since the last success.
        exclusion_ms: Length of the next exclusion.
        excluded_until_ms: End of the exclusion after failures.
        suspected_until_ms: End of the suspicion that it is gone.
        heard_ms: When it last sent a byte to this gateway.
        gap_ms: Usual time between two parts of a stream.
    """

    failures: int = 0
    exclusion_ms: int = FIRST_EXCLUSION_MS
    excluded_until_ms: int = 0
    suspected_until_ms: int = 0
    heard_ms: int = 0
    gap_ms: float = 0.0


class Health:
    """Judges workers.

    Attributes:
        lost: Workers that their owner found gone, with the start of the
            incarnation that is gone.
        first_ms: Usual time to the begin of an answer, by model or service.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.lost: dict[str, int] = {}
        self.first_ms: dict[str, float] = {}
        self._evidence: dict[str, Evidence] = {}
        self._sound_ms: dict[str, int] = {}
        self._by_peer: dict[str, frozenset[str]] = {}
        self._peer_sound: dict[str, frozenset[str]] = {}
        self._peer_lost: dict[str, Mapping[str, int]] = {}
        # How many peers say the same, so that no look-up visits each peer.
        self._suspecting: collections.Counter[str] = collections.Counter()
        self._finding_sound: collections.Counter[str] = collections.Counter()
        self._finding_lost: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )

    def of(self, worker_id: str) -> Evidence:
        """Returns the evidence about a worker."""
        return self._evidence.setdefault(worker_id, Evidence())

    def heard(self, worker_id: str) -> None:
        """Notes a byte from a worker, which ends a suspicion."""
        evidence = self.of(worker_id)
        evidence.heard_ms = self.clock.now_ms()
        evidence.suspected_until_ms = 0

    def gap(self, worker_id: str, gap_ms: int) -> None:
        """Notes the time between two parts of a stream."""
        evidence = self.of(worker_id)
        evidence.gap_ms += 0.1 * (gap_ms - evidence.gap_ms)

    def first(self, label: str, first_ms: int) -> None:
        """Notes the time to the begin of an answer."""
        usual_ms = self.first_ms.get(label, float(first_ms))
        self.first_ms[label] = usual_ms + 0.05 * (first_ms - usual_ms)

    def succeeded(self, worker_id: str) -> None:
        """Notes a whole answer."""
        evidence = self.of(worker_id)
        evidence.failures = 0
        evidence.exclusion_ms = FIRST_EXCLUSION_MS

    def failed(self, worker_id: str) -> None:
        """Notes a failure of the worker's own making."""
        evidence = self.of(worker_id)
        evidence.failures += 1
        if evidence.failures >= FAILURES_IN_A_ROW:
            now_ms = self.clock.now_ms()
            evidence.excluded_until_ms = now_ms + evidence.exclusion_ms
            evidence.exclusion_ms = min(
                2 * evidence.exclusion_ms, LONGEST_EXCLUSION_MS
            )
            evidence.failures = 0

    def suspect(self, worker_id: str) -> None:
        """Notes that a worker stalls or can't be reached."""
        self.of(worker_id).suspected_until_ms = (
            self.clock.now_ms() + SUSPICION_MS
        )

    def suspects(self) -> list[str]:
        """Returns the workers that this gateway suspects."""
        now_ms = self.clock.now_ms()
        return [
            worker_id
            for worker_id, evidence in self._evidence.items()
            if evidence.suspected_until_ms > now_ms
        ]

    def mark_sound(self, worker_id: str) -> None:
        """Notes that all members of a suspected head's group answer."""
        self._sound_ms[worker_id] = self.clock.now_ms()

    def sound(self) -> list[str]:
        """Returns heads that this gateway has just found sound."""
        since_ms = self.clock.now_ms() - SUSPICION_MS
        self._sound_ms = {
            worker_id: found_ms
            for worker_id, found_ms in self._sound_ms.items()
            if found_ms > since_ms
        }
        return list(self._sound_ms)

    def update_peer(
        self,
        peer_id: str,
        suspects: Iterable[str],
        sound: Iterable[str],
        lost: Mapping[str, int],
    ) -> None:
        """Takes what a peer found out in place of what it said before."""
        self._untold(peer_id)
        self._by_peer[peer_id] = frozenset(suspects)
        self._peer_sound[peer_id] = frozenset(sound)
        self._peer_lost[peer_id] = {w: int(born) for w, born in lost.items()}
        self._suspecting.update(self._by_peer[peer_id])
        self._finding_sound.update(self._peer_sound[peer_id])
        self._finding_lost.update(self._peer_lost[peer_id].items())

    def _untold(self, peer_id: str) -> None:
        """Takes back what a peer said."""
        for counter, said in (
            (self._suspecting, self._by_peer.pop(peer_id, ())),
            (self._finding_sound, self._peer_sound.pop(peer_id, ())),
            (self._finding_lost, self._peer_lost.pop(peer_id, {}).items()),
        ):
            for item in said:
                counter[item] -= 1  # type: ignore[index]
                if counter[item] <= 0:  # type: ignore[index]
                    del counter[item]  # type: ignore[arg-type]

    def retain_peers(
        self, peer_ids: frozenset[str], worker_ids: frozenset[str]
    ) -> None:
        """Forgets all other peers and workers."""
        for peer_id in tuple(self._by_peer):
            if peer_id not in peer_ids:
                self._untold(peer_id)
        for worker_id in tuple(self._evidence):
            if worker_id not in worker_ids:
                del self._evidence[worker_id]
        for worker_id in tuple(self.lost):
            if worker_id not in worker_ids:
                del self.lost[worker_id]

    def is_lost(self, worker_id: str, born_ms: int) -> bool:
        """Whether this incarnation of a worker was found gone."""
        return (
            self.lost.get(worker_id, -1) == born_ms
            or (worker_id, born_ms) in self._finding_lost
        )

    def any_lost(self) -> bool:
        """Whether any worker was found gone."""
        return bool(self.lost or self._finding_lost)

    def lost_among(self, members: Iterable[workers.Worker]) -> bool:
        """Whether any of some workers was found gone."""
        # Nearly always none is, and choices ask for each group.
        return self.any_lost() and any(
            self.is_lost(worker.id, worker.started_ms) for worker in members
        )

    def suspected(self, worker_id: str) -> bool:
        """Whether a worker is suspected by any gateway.

        Under overload all heads are slow to begin an answer; the owner of the
        domain then finds them sound.
        """
        found_ms = self._sound_ms.get(worker_id)
        if worker_id in self._finding_sound or (
            found_ms is not None
            and found_ms > self.clock.now_ms() - SUSPICION_MS
        ):
            return False
        evidence = self._evidence.get(worker_id)
        now_ms = self.clock.now_ms()
        if evidence is not None:
            if evidence.suspected_until_ms > now_ms:
                return True
            # What this gateway hears itself counts for more than a peer's
            # suspicion, which may come from a cut between those two.
            if now_ms - evidence.heard_ms < SUSPICION_MS // 3:
                return False
        return worker_id in self._suspecting

    def excluded(self, worker_id: str) -> bool:
        """Whether a worker is left out after failures."""
        evidence = self._evidence.get(worker_id)
        return (
            evidence is not None
            and evidence.excluded_until_ms > self.clock.now_ms()
        )
