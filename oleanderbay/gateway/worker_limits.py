"""Rates of requests that workers state as their limit over all gateways."""

import dataclasses
import math
from collections.abc import Callable, Mapping

from oleanderbay.process import clock as clocks

# Time without a statement after which a worker counts as unlimited again.
STATEMENT_MS = 30_000
# How long a gateway reports to its peers what a worker has stated to it.
REPORT_MS = 10_000
# Workers that state less get this rate all the same, since only a response
# shows that they bear more again.
MIN_PER_S = 0.1
# How long it is kept whether this gateway sends to a worker: it is needed for
# each selection, and computing it visits all gateways.
SENDER_CACHE_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a worker stated about its limit.

    Attributes:
        per_s: Requests a second; None if it stated none after an earlier one.
        stated_ms: Monotonic time of the response.
    """

    per_s: float | None
    stated_ms: int


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens for the requests of this gateway to one worker.

    Attributes:
        tokens: Requests that may be sent now; at most those of one second,
            or one.
        updated_ms: Monotonic time to which `tokens` refers.
        senders: Number of gateways that send to the worker.
        is_sender: Whether this gateway is one of them.
        checked_ms: Monotonic time at which these two were determined.
    """

    tokens: float
    updated_ms: int
    senders: int = 1
    is_sender: bool = False
    checked_ms: int = -SENDER_CACHE_MS


class WorkerLimits:
    """Keeps this gateway's share of the limits that workers state.

    Attributes:
        gateway_count: Returns the number of gateways.
        rank: Returns the position of this gateway in a worker's own order of
            the gateways.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        gateway_count: Callable[[], int],
        rank: Callable[[str], int],
    ) -> None:
        self.clock = clock
        self.gateway_count = gateway_count
        self.rank = rank
        self._own: dict[str, Statement] = {}
        # The newest statement that any gateway got, by worker id.
        self._newest: dict[str, Statement] = {}
        self._buckets: dict[str, TokenBucket] = {}

    def record_statement(self, worker_id: str, per_s: float | None) -> None:
        """Records what a response states, or that it states no limit."""
        if per_s is None and worker_id not in self._newest:
            return
        statement = Statement(per_s, self.clock.now_ms())
        self._own[worker_id] = statement
        self._apply(worker_id, statement)

    def available(self, worker_id: str) -> bool:
        """Whether a worker may get a request from this gateway now."""
        per_s = self._per_s(worker_id)
        if per_s is None:
            return True
        return self._refill(worker_id, per_s).tokens >= 1

    def record_request(self, worker_id: str) -> None:
        """Counts a request to a worker."""
        per_s = self._per_s(worker_id)
        if per_s is not None:
            self._refill(worker_id, per_s).tokens -= 1

    def stated(self) -> dict[str, float]:
        """Returns the limits in force, by worker id."""
        limits = {
            worker_id: self._per_s(worker_id) for worker_id in self._newest
        }
        return {w: per_s for w, per_s in limits.items() if per_s is not None}

    def report(self) -> dict[str, tuple[float | None, int]]:
        """Returns limits and ages in ms of the statements made here lately."""
        now_ms = self.clock.now_ms()
        self._expire(now_ms)
        return {
            worker_id: (statement.per_s, now_ms - statement.stated_ms)
            for worker_id, statement in self._own.items()
        }

    def update_peer(
        self, statements: Mapping[str, tuple[float | None, int]]
    ) -> None:
        """Applies the statements that a peer or the gateways of a zone got."""
        now_ms = self.clock.now_ms()
        for worker_id, (per_s, age_ms) in statements.items():
            self._apply(
                worker_id,
                Statement(
                    None if per_s is None else max(0.0, float(per_s)),
                    now_ms - max(0, int(age_ms)),
                ),
            )

    def _apply(self, worker_id: str, statement: Statement) -> None:
        known = self._newest.get(worker_id)
        if known is None or known.stated_ms <= statement.stated_ms:
            self._newest[worker_id] = statement

    def _per_s(self, worker_id: str) -> float | None:
        statement = self._newest.get(worker_id)
        if (
            statement is None
            or self.clock.now_ms() - statement.stated_ms > STATEMENT_MS
        ):
            return None
        if statement.per_s is None:
            return None
        return max(MIN_PER_S, statement.per_s)

    def _refill(self, worker_id: str, per_s: float) -> TokenBucket:
        """Adds the tokens of the time that has passed.

        Each gateway may send one request at once, so only as many gateways
        send to a worker as its limit bears; the others have no tokens.
        """
        now_ms = self.clock.now_ms()
        bucket = self._buckets.get(worker_id)
        if bucket is None:
            bucket = self._buckets[worker_id] = TokenBucket(0.0, now_ms)
        if now_ms - bucket.checked_ms >= SENDER_CACHE_MS:
            bucket.checked_ms = now_ms
            bucket.senders = min(self.gateway_count(), math.floor(per_s) + 1)
            bucket.is_sender = self.rank(worker_id) < bucket.senders
        passed_s = (now_ms - bucket.updated_ms) / 1000
        bucket.updated_ms = now_ms
        if bucket.is_sender:
            share_per_s = per_s / bucket.senders
            bucket.tokens = min(
                max(1.0, share_per_s), bucket.tokens + passed_s * share_per_s
            )
        else:
            bucket.tokens = 0.0
        return bucket

    def _expire(self, now_ms: int) -> None:
        for worker_id, statement in tuple(self._own.items()):
            if now_ms - statement.stated_ms > REPORT_MS:
                del self._own[worker_id]
        for worker_id, statement in tuple(self._newest.items()):
            if now_ms - statement.stated_ms > STATEMENT_MS:
                del self._newest[worker_id]
                self._buckets.pop(worker_id, None)
