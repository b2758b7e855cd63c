"""Quarantine of prompt parts, and of whole requests, that crash workers.

A crash breaks off all requests at a worker, and any part of their prompts may
have caused it. The cause is found among the parts of those requests whose
answers had hardly begun: it recurs in crash after crash, and no request with
it survives.
"""

import collections
import dataclasses
import itertools
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
)
from typing import Any

import structlog

from oleanderbay.gateway import workers
from oleanderbay.process import clock as clocks

# An answer with this many events has survived its beginning, in which a part
# that crashes workers does so.
SURVIVED_EVENTS = 3
# Crashes that put a part into quarantine. Requests with a part that is often
# used are among the victims of many crashes, so a part with which requests
# have been answered needs more.
MIN_CRASHES = 3
MIN_CRASHES_AFTER_SURVIVAL = 6
# How long a crash counts against a part.
EVIDENCE_MS = 60_000
# How long a gateway reports a crash to its peers, and the number of crashes
# that it reports at most.
REPORT_MS = 10_000
MAX_REPORTED = 64
# Callers choose the ids of parts, so the number of tracked ones is limited. Of
# the parts of a request, the first ones count.
MAX_PARTS_PER_REQUEST = 32
MAX_SUSPECTS = 1_000
MAX_SURVIVED = 10_000

log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash that this gateway observed.

    Attributes:
        observed_ms: Monotonic time of the observation.
        part: Id of a part of a request that was broken off.
        incarnation: Id and start time of the worker.
    """

    observed_ms: int
    part: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A combination of parts whose requests are refused.

    Attributes:
        parts: The parts; a request with all of them is refused.
        end_ms: Monotonic time at which the quarantine ends.
    """

    parts: frozenset[str]
    end_ms: int


class PromptQuarantine:
    """Decides which parts of prompts are not sent to workers.

    It also serves for whole requests, of which each is its only part.

    Attributes:
        hold_ms: How long a quarantine lasts.
        combined: Whether parts that can't be told apart are refused only in
            requests that have all of them; otherwise each is refused.
        on_change: Called with parts that this gateway saw crash workers, and
            with whether they are in quarantine now.
    """

    def __init__(
        self, clock: clocks.Clock, hold_ms: int, combined: bool = True
    ) -> None:
        self.clock = clock
        self.hold_ms = hold_ms
        self.combined = combined
        self.on_change: Callable[[frozenset[str], bool], None] = (
            lambda parts, held: None
        )
        # Ends of the quarantines that follow from crashes, and quarantines
        # that follow from records of the store, by key.
        self._held: dict[frozenset[str], int] = {}
        self._recorded: dict[str, Quarantine] = {}
        # Monotonic times at which crashes became known, by part and worker.
        self._crashes: collections.OrderedDict[str, dict[str, int]] = (
            collections.OrderedDict()
        )
        self._own_crashes: collections.deque[Crash] = collections.deque(
            maxlen=MAX_REPORTED
        )
        # Monotonic time at which a request with a part last survived.
        self._survived: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._own_survived: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def left_ms(self, parts: Collection[str]) -> int:
        """Returns for how long a request with these parts is refused.

        Returns:
            Remaining time of the quarantine; 0 if the request is not refused.
        """
        if not self._held and not self._recorded:
            return 0
        now_ms = self.clock.now_ms()
        return max(
            (
                held.end_ms - now_ms
                for held in self._quarantines()
                if held.end_ms > now_ms and held.parts.issubset(parts)
            ),
            default=0,
        )

    def held_parts(self) -> list[list[str]]:
        """Returns the combinations of parts that are in quarantine."""
        now_ms = self.clock.now_ms()
        held = {q.parts for q in self._quarantines() if q.end_ms > now_ms}
        return sorted(sorted(parts) for parts in held)

    def record_crash(
        self, worker: workers.Worker, parts: Iterable[str]
    ) -> None:
        """Records that a worker broke off a request soon after its start."""
        incarnation = f"{worker.id}/{worker.started_ms}"
        now_ms = self.clock.now_ms()
        for part in itertools.islice(parts, MAX_PARTS_PER_REQUEST):
            self._own_crashes.append(Crash(now_ms, part, incarnation))
            self._add_crash(part, incarnation)
        self._evaluate()

    def record_survival(self, parts: Collection[str]) -> None:
        """Records that a worker has written an answer to a request."""
        now_ms = self.clock.now_ms()
        for part in itertools.islice(parts, MAX_PARTS_PER_REQUEST):
            _store_limited(self._own_survived, part, now_ms, MAX_SURVIVED)
            self._add_survival(part, now_ms)
        if any(
            not held.parts.isdisjoint(parts) for held in self._quarantines()
        ):
            self._evaluate()
            for held in tuple(self._recorded.values()):
                if held.parts.issubset(parts):
                    self._release(held.parts, "a request survived")

    def report(self) -> dict[str, dict[str, Any]]:
        """Returns what peers need to know, as part of a heartbeat.

        Returns:
            `crashes`: the incarnations of crashed workers by part;
            `survived`: by part, the time in ms since a request survived, for
            parts that more than one crash counts against.
        """
        now_ms = self.clock.now_ms()
        self._expire(now_ms)
        crashes: dict[str, list[str]] = {}
        for crash in self._own_crashes:
            if now_ms - crash.observed_ms <= REPORT_MS:
                known = crashes.setdefault(crash.part, [])
                if crash.incarnation not in known:
                    known.append(crash.incarnation)
        survived = {
            part: now_ms - self._own_survived[part]
            for part, incarnations in self._crashes.items()
            if len(incarnations) > 1 and part in self._own_survived
        }
        return {"crashes": crashes, "survived": survived}

    def update_peer(
        self,
        crashes: Mapping[str, Collection[str]],
        survived: Mapping[str, int],
    ) -> None:
        """Adds what a peer or the gateways of a zone reported."""
        now_ms = self.clock.now_ms()
        for part, age_ms in survived.items():
            self._add_survival(part, now_ms - max(0, int(age_ms)))
        added = [
            self._add_crash(part, incarnation)
            for part, incarnations in crashes.items()
            for incarnation in incarnations
        ]
        if any(added) or any(
            not parts.isdisjoint(survived) for parts in self._held
        ):
            self._evaluate()

    def apply_record(
        self, key: str, parts: frozenset[str], began_ms: int
    ) -> None:
        """Applies a record of the store.

        Args:
            key: Key of the record.
            parts: The parts in quarantine; empty if they were released.
            began_ms: Wall-clock time at which the quarantine began.
        """
        # The wall clocks of gateways may differ and jump.
        left_ms = min(
            began_ms + self.hold_ms - self.clock.wall_ms(), self.hold_ms
        )
        if parts and left_ms > 0:
            end_ms = self.clock.now_ms() + left_ms
            self._recorded[key] = Quarantine(parts, end_ms)
        else:
            self._recorded.pop(key, None)

    def _quarantines(self) -> Iterator[Quarantine]:
        for parts, end_ms in self._held.items():
            yield Quarantine(parts, end_ms)
        yield from self._recorded.values()

    def _add_crash(self, part: str, incarnation: str) -> bool:
        """Adds a crash; returns whether it is new."""
        known = self._crashes.setdefault(part, {})
        if incarnation in known:
            return False
        known[incarnation] = self.clock.now_ms()
        if len(self._crashes) > MAX_SUSPECTS:
            # A part in quarantine without evidence would be released.
            kept = self._parts_held()
            oldest = next((p for p in self._crashes if p not in kept), part)
            del self._crashes[oldest]
        return True

    def _parts_held(self) -> frozenset[str]:
        return frozenset[str]().union(*self._held)

    def _add_survival(self, part: str, survived_ms: int) -> None:
        survived_ms = max(survived_ms, self._survived.get(part, 0))
        _store_limited(self._survived, part, survived_ms, MAX_SURVIVED)

    def _evaluate(self) -> None:
        """Derives the quarantines from the crashes since the last survival."""
        now_ms = self.clock.now_ms()
        self._expire(now_ms)
        suspects = self._suspects()
        held: dict[frozenset[str], frozenset[str]] = {}
        explained: set[str] = set()
        previous = 0
        for parts, crashes in sorted(
            suspects, key=lambda suspect: len(suspect[1]), reverse=True
        ):
            # Parts of victims share some crashes with the part that caused
            # them, so crashes of parts that have more of them do not count.
            if len(crashes) < previous:
                explained.update(*held.values())
            previous = len(crashes)
            unexplained = crashes - explained
            needed = (
                MIN_CRASHES_AFTER_SURVIVAL
                if any(part in self._survived for part in parts)
                else MIN_CRASHES
            )
            if len(unexplained) >= needed:
                held[parts] = crashes
        for parts, crashes in held.items():
            if parts not in self._held:
                self._held[parts] = now_ms + self.hold_ms
                log.warning(
                    "prompt parts quarantined"
                    if self.combined
                    else "request quarantined",
                    parts=sorted(parts),
                    crashes=sorted(crashes),
                )
                self._notify(parts, True)
        for parts in self._held.keys() - held.keys():
            self._release(parts, "the crashes no longer count against them")

    def _suspects(self) -> list[tuple[frozenset[str], frozenset[str]]]:
        """Returns suspected parts with the crashes that count against them.

        Parts of the same crashes can't be told apart, so they are suspected
        only together. One with which requests have survived before is not
        suspected beside others.
        """
        found: dict[frozenset[str], set[str]] = {}
        for part, incarnations in self._crashes.items():
            survived_ms = self._survived.get(part, -1)
            crashes = frozenset(
                incarnation
                for incarnation, known_ms in incarnations.items()
                if known_ms > survived_ms
            )
            if len(crashes) >= MIN_CRASHES:
                found.setdefault(crashes, set()).add(part)
        if not self.combined:
            return [
                (frozenset((part,)), crashes)
                for crashes, parts in found.items()
                for part in parts
            ]
        return [
            (
                frozenset(
                    {part for part in parts if part not in self._survived}
                    or parts
                ),
                crashes,
            )
            for crashes, parts in found.items()
        ]

    def _release(self, parts: frozenset[str], reason: str) -> None:
        self._held.pop(parts, None)
        for key, held in tuple(self._recorded.items()):
            if held.parts == parts:
                del self._recorded[key]
        log.warning(
            "prompt parts released" if self.combined else "request released",
            parts=sorted(parts),
            reason=reason,
        )
        self._notify(parts, False)

    def _notify(self, parts: frozenset[str], held: bool) -> None:
        """Passes on changes that follow from this gateway's own requests.

        All gateways come to the same result; only some of them write it.
        """
        if any(crash.part in parts for crash in self._own_crashes) or (
            not held and any(part in self._own_survived for part in parts)
        ):
            self.on_change(parts, held)

    def _expire(self, now_ms: int) -> None:
        for parts in [p for p, end in self._held.items() if end <= now_ms]:
            for part in parts:
                self._crashes.pop(part, None)
            self._release(parts, "the time is over")
        for key, held in tuple(self._recorded.items()):
            if held.end_ms <= now_ms:
                del self._recorded[key]
        # The crashes of parts in quarantine are kept, since there are no new
        # ones that would confirm it.
        kept = self._parts_held()
        for part in [p for p in self._crashes if p not in kept]:
            incarnations = self._crashes[part]
            for incarnation, known_ms in tuple(incarnations.items()):
                if now_ms - known_ms > EVIDENCE_MS:
                    del incarnations[incarnation]
            if not incarnations:
                del self._crashes[part]


def _store_limited(
    stored: collections.OrderedDict[str, int],
    key: str,
    value: int,
    limit: int,
) -> None:
    """Stores a value as the newest one and drops the oldest above a limit."""
    stored[key] = value
    stored.move_to_end(key)
    while len(stored) > limit:
        stored.popitem(last=False)
