"""Idempotency keys claimed in the memory of their home entry."""

import collections
import dataclasses
import enum
from collections.abc import Collection
from typing import Any

from oleanderbay.request import outcome


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredResponse:
    """A small response that is stored for replay.

    Attributes:
        status: HTTP status.
        headers: Headers to replay.
        body: The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRecord:
    """Outcome of the request that a key was claimed for.

    Attributes:
        outcome: `ANSWERED` or `UNKNOWN`; both are final.
        response: The response; None if there is none or if it was too large
            to store.
    """

    outcome: outcome.Outcome
    response: StoredResponse | None = None

    def encode(self) -> list[Any]:
        """Returns the form used in peer messages and log records."""
        if self.response is None:
            return [self.outcome.value, None]
        response = self.response
        headers = [list(header) for header in response.headers]
        return [self.outcome.value, [response.status, headers, response.body]]

    @staticmethod
    def decode(data: Any) -> "OutcomeRecord":
        """Decodes a record.

        Raises:
            ValueError: The data is malformed.
        """
        try:
            value, parts = data
            response = None
            if parts is not None:
                status, headers, body = parts
                response = StoredResponse(
                    status=int(status),
                    headers=tuple((str(k), str(v)) for k, v in headers),
                    body=bytes(body),
                )
            return OutcomeRecord(outcome.Outcome(value), response)
        except TypeError as error:
            raise ValueError("malformed outcome record") from error


class ClaimStatus(enum.StrEnum):
    """Result of claiming a key.

    Attributes:
        RUN: The key was free; the claimer may run the request.
        DONE: The request has a recorded outcome.
        IN_PROGRESS: The holder of the key has not recorded an outcome yet.
        LOST: The holder left no outcome, so the request may have run.
        REUSED: The key was used for a request with another digest.
        EXPIRED: The key is older than outcomes are kept.
        FULL: The table has no space for another key.
    """

    RUN = "run"
    DONE = "done"
    IN_PROGRESS = "in_progress"
    LOST = "lost"
    REUSED = "reused"
    EXPIRED = "expired"
    FULL = "full"


def _refusal(
    reason: outcome.Reason,
    known_outcome: outcome.Outcome,
    status: int,
    message: str,
    retry_after_ms: int = 0,
) -> outcome.Refusal:
    return outcome.Refusal(
        reason=reason,
        outcome=known_outcome,
        message=message,
        retry_after_ms=retry_after_ms,
        status=status,
    )


LOST_REFUSAL = _refusal(
    outcome.Reason.KEY_LOST,
    outcome.Outcome.UNKNOWN,
    410,
    "the first call with this key left no outcome, or the entry that issued "
    "the ticket is gone",
)

# Refusals of requests that must not run, by claim status.
REFUSALS = {
    ClaimStatus.DONE: LOST_REFUSAL,
    ClaimStatus.LOST: LOST_REFUSAL,
    ClaimStatus.IN_PROGRESS: _refusal(
        outcome.Reason.KEY_IN_PROGRESS,
        outcome.Outcome.UNKNOWN,
        409,
        "another call with this key has not ended yet",
        retry_after_ms=500,
    ),
    ClaimStatus.REUSED: _refusal(
        outcome.Reason.KEY_REUSED,
        outcome.Outcome.NOT_RUN,
        422,
        "the key was used for a different request",
    ),
    ClaimStatus.EXPIRED: _refusal(
        outcome.Reason.KEY_EXPIRED,
        outcome.Outcome.UNKNOWN,
        410,
        "the key is older than outcomes are kept",
    ),
    ClaimStatus.FULL: _refusal(
        outcome.Reason.NO_CAPACITY,
        outcome.Outcome.NOT_RUN,
        503,
        "the entry keeps no further keys",
        retry_after_ms=1_000,
    ),
}

LOG_UNAVAILABLE_REFUSAL = _refusal(
    outcome.Reason.LOG_UNAVAILABLE,
    outcome.Outcome.NOT_RUN,
    503,
    "a key without a ticket needs the log, which is unavailable",
    retry_after_ms=2_000,
)

# The claim that held the key was released as not run, so neither request ran.
RELEASED_HOLDER_REFUSAL = _refusal(
    outcome.Reason.KEY_IN_PROGRESS,
    outcome.Outcome.NOT_RUN,
    409,
    "another call with this key was given up at the same time",
    retry_after_ms=100,
)


@dataclasses.dataclass(slots=True)
class _ClaimedKey:
    digest: bytes
    claim_id: str
    claimer: str
    outcome_due_ms: int
    record: OutcomeRecord | None = None


class ClaimTable:
    """Claims of the keys whose tickets this process issued.

    A claimed key stays in the table until it would be refused for its age, so
    that no key is claimed twice, even if its first claimer fails.

    Attributes:
        retention_ms: Age from which a key is refused as expired.
        max_claims: Maximum number of keys.
    """

    def __init__(self, retention_ms: int, max_claims: int) -> None:
        self.retention_ms = retention_ms
        self.max_claims = max_claims
        self._claimed_keys: dict[bytes, _ClaimedKey] = {}
        self._key_by_claim: dict[str, bytes] = {}
        # Expiry time, key and claim id, in the order of expiry.
        self._expiries: collections.deque[tuple[int, bytes, str]] = (
            collections.deque()
        )

    def claim(
        self,
        key: bytes,
        digest: bytes,
        issued_ms: int,
        claim_id: str,
        claimer: str,
        outcome_timeout_ms: int,
        live_entries: Collection[str],
        now_ms: int,
    ) -> tuple[ClaimStatus, OutcomeRecord | None]:
        """Claims a key.

        Args:
            key: Hash of the key.
            digest: Hash of the request.
            issued_ms: Monotonic time at which this process issued the ticket.
            claim_id: Unique id of this claim.
            claimer: Start id of the entry that would run the request.
            outcome_timeout_ms: Time within which the claimer records an
                outcome.
            live_entries: Start ids of the live entries.
            now_ms: Monotonic time.

        Returns:
            The status and, if it is `DONE`, the recorded outcome.
        """
        self.prune(now_ms)
        # A time of issue later than this process's own clock is forged.
        if not 0 <= now_ms - issued_ms < self.retention_ms:
            return ClaimStatus.EXPIRED, None
        claimed = self._claimed_keys.get(key)
        if claimed is None:
            if len(self._claimed_keys) >= self.max_claims:
                return ClaimStatus.FULL, None
            self._claimed_keys[key] = _ClaimedKey(
                digest=digest,
                claim_id=claim_id,
                claimer=claimer,
                outcome_due_ms=now_ms + outcome_timeout_ms,
            )
            self._key_by_claim[claim_id] = key
            # The ticket expires no later than this, whatever its time of
            # issue.
            self._expiries.append((now_ms + self.retention_ms, key, claim_id))
            return ClaimStatus.RUN, None
        if claimed.digest != digest:
            return ClaimStatus.REUSED, None
        if claimed.record is not None:
            return ClaimStatus.DONE, claimed.record
        if (
            claimed.claimer not in live_entries
            or now_ms >= claimed.outcome_due_ms
        ):
            return ClaimStatus.LOST, None
        return ClaimStatus.IN_PROGRESS, None

    def record_outcome(self, claim_id: str, record: OutcomeRecord) -> None:
        """Records the outcome of a claim; the first one is final."""
        key = self._key_by_claim.get(claim_id)
        if key is not None and self._claimed_keys[key].record is None:
            self._claimed_keys[key].record = record

    def release(self, claim_id: str) -> None:
        """Frees a key whose claimer sent nothing to an upstream."""
        key = self._key_by_claim.get(claim_id)
        if key is not None and self._claimed_keys[key].record is None:
            del self._key_by_claim[claim_id]
            del self._claimed_keys[key]

    def prune(self, now_ms: int) -> None:
        """Removes keys that are too old to be claimed again."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key, claim_id = self._expiries.popleft()
            if self._key_by_claim.pop(claim_id, None) is not None:
                del self._claimed_keys[key]

    def __len__(self) -> int:
        return len(self._claimed_keys)
