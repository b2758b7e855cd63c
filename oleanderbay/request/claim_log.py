"""Claims of keys without a ticket, which are stored in the log."""

import asyncio
import collections
import dataclasses
from typing import Any, Protocol

import msgpack

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.request import claims

CLAIMS_STREAM = "claims"
SCHEMA_VERSION = 1
# Records per read.
_PAGE_RECORDS = 512
# Records read per step of the binary search by time. The time of a record is
# by its author's clock and an append may be delayed, so a step takes the newest
# time of several records.
_PROBE_RECORDS = 16


class LogReader(Protocol):
    """The part of `native.LogService` that reads claims."""

    async def read(
        self,
        stream: str,
        start: int,
        limit: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> native.LogPage:
        """Reads from an offset; see `native.LogService.read`."""
        ...


class HistoryExpiredError(Exception):
    """Claims made since a key was issued may no longer be available."""


@dataclasses.dataclass(slots=True)
class KeyHolder:
    """The claim that holds a key: the first one by offset.

    Attributes:
        claim_id: Id of the claim.
        claimer: Start id of the entry that made the claim.
        digest: Hash of the request.
        claimed_at_ms: Wall time of the claim by the claimer's clock.
        record: Outcome of the request; None while there is none.
    """

    claim_id: str
    claimer: str
    digest: bytes
    claimed_at_ms: int
    record: claims.OutcomeRecord | None = None


class ClaimLog:
    """Claims keys by appending to a stream and reading it back.

    A claim holds its key if no earlier claim held the key at its offset, on
    which all readers agree. A claim that lost stays without effect, even after
    the holder has released the key.

    Attributes:
        clock: Clock for wall times and delays.
        log: The log, for reading.
        appender: Appends to the log, within its rate limit.
        start_id: This entry's start id.
        skew_ms: How far clocks of entries and callers may differ.
        max_keys: Maximum number of keys in memory.
        max_pending: Maximum number of queued outcomes.
        timeout_ms: Timeout of one append or read.
        claim_appends: Number of appends of claims.
        outcome_appends: Number of appends of outcomes, with many outcomes in
            each.
        skipped_records: Number of malformed records.
        dropped_outcomes: Number of outcomes dropped because the queue was full
            while the log was unavailable.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        log: LogReader,
        appender: interfaces.LogAppender,
        start_id: str,
        skew_ms: int = 60_000,
        max_keys: int = 100_000,
        max_pending: int = 10_000,
        timeout_ms: int = 2_000,
    ) -> None:
        """Creates a claim log.

        Args:
            clock: Clock for wall times and delays.
            log: The log, for reading.
            appender: Appends to the log, within its rate limit.
            start_id: This entry's start id.
            skew_ms: How far clocks of entries and callers may differ.
            max_keys: Maximum number of keys in memory.
            max_pending: Maximum number of queued outcomes.
            timeout_ms: Timeout of one append or read.
        """
        self.clock = clock
        self.log = log
        self.appender = appender
        self.start_id = start_id
        self.skew_ms = skew_ms
        self.max_keys = max_keys
        self.max_pending = max_pending
        self.timeout_ms = timeout_ms
        self.claim_appends = 0
        self.outcome_appends = 0
        self.skipped_records = 0
        self.dropped_outcomes = 0
        self._lock = asyncio.Lock()
        self._next_offset = 0
        self._complete_since_ms = -1
        self._holders: dict[bytes, KeyHolder] = {}
        self._key_by_claim: dict[str, bytes] = {}
        self._claim_order: collections.deque[tuple[int, bytes, str]] = (
            collections.deque()
        )
        self._released_claims: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._pending: list[list[Any]] = []

    async def claim(
        self, key: bytes, issued_ms: int, digest: bytes, claim_id: str
    ) -> KeyHolder | None:
        """Appends a claim and returns the claim that holds the key.

        Args:
            key: Hash of the key.
            issued_ms: Wall time at which the key was issued.
            digest: Hash of the request.
            claim_id: Unique id of the claim.

        Returns:
            The holder of the key at the offset of the new claim. None if that
            holder has released the key since; the new claim has lost even so.

        Raises:
            PlatformError: The holder is not known; the claim may be in the
                log.
            HistoryExpiredError: Older claims of the key may have expired.
        """
        data = self._encode("claim", claim_id, {"key": key, "digest": digest})
        self.claim_appends += 1
        try:
            offset = await self.appender.append(
                CLAIMS_STREAM, data, "claim", self.timeout_ms
            )
        except native.PlatformUnavailableError:
            raise
        except BaseException:
            # The append may take effect, even if it was cancelled. The caller
            # of this method won't send the request, so the claim is released.
            self.queue_outcome(claim_id, None)
            raise
        try:
            async with self._lock:
                since_ms = issued_ms - self.skew_ms
                await self._ensure_history(since_ms)
                await self._read_to(offset)
                if since_ms < self._complete_since_ms:
                    # More keys were claimed since then than fit in memory.
                    raise HistoryExpiredError
        except BaseException:
            self.queue_outcome(claim_id, None)
            raise
        return self._holders.get(key)

    def queue_outcome(
        self, claim_id: str, record: claims.OutcomeRecord | None
    ) -> None:
        """Queues an outcome; None releases the key as not run."""
        if len(self._pending) >= self.max_pending:
            # The key of the dropped outcome stays without an outcome, which
            # counts as unknown.
            self._pending.pop(0)
            self.dropped_outcomes += 1
        self._pending.append([claim_id, record.encode() if record else None])

    @property
    def pending_count(self) -> int:
        """Number of outcomes that are queued for the log."""
        return len(self._pending)

    async def flush(self, batch: int = 128) -> None:
        """Appends the queued outcomes, up to `batch` in one record.

        Raises:
            PlatformError: An append failed or may have failed. Its outcomes
                stay queued; appending an outcome twice has no further
                effect.
        """
        while self._pending:
            outcomes = self._pending[:batch]
            data = self._encode("outcome", "", outcomes)
            self.outcome_appends += 1
            await self.appender.append(
                CLAIMS_STREAM, data, "claim", self.timeout_ms
            )
            sent = {id(queued) for queued in outcomes}
            self._pending = [
                queued for queued in self._pending if id(queued) not in sent
            ]

    def _encode(self, kind: str, id: str, body: Any) -> bytes:
        return msgpack.packb(
            {
                "schema": SCHEMA_VERSION,
                "id": id,
                "kind": kind,
                "author": self.start_id,
                "at_ms": self.clock.wall_ms(),
                "body": body,
            }
        )

    async def _ensure_history(self, since_ms: int) -> None:
        """Restarts reading unless all claims since a wall time are covered."""
        if self._next_offset and since_ms >= self._complete_since_ms:
            return
        start = await self._find_offset(since_ms)
        self._holders.clear()
        self._key_by_claim.clear()
        self._claim_order.clear()
        self._released_claims.clear()
        self._next_offset = start
        self._complete_since_ms = since_ms

    async def _find_offset(self, since_ms: int) -> int:
        """Returns an offset before which all records are older than a time."""
        first = 1
        try:
            page = await self._read(1, 1)
        except native.RecordsExpiredError as error:
            first = error.first
            page = await self._read(first, _PROBE_RECORDS)
            if self._newest_ms(page.records) >= since_ms:
                raise HistoryExpiredError from error
        low, high = first, page.end
        while low < high:
            middle = (low + high) // 2
            page = await self._read(middle, _PROBE_RECORDS)
            if self._newest_ms(page.records) < since_ms:
                low = middle + 1
            else:
                high = middle
        return low

    async def _read_to(self, offset: int) -> None:
        while self._next_offset <= offset:
            try:
                page = await self._read(self._next_offset, _PAGE_RECORDS)
            except native.RecordsExpiredError:
                # No claim was made for so long that unread records expired.
                # The next claim looks up its start offset again.
                self._next_offset = 0
                raise
            for record in page.records:
                self._apply_record(record.data)
                self._next_offset = record.offset + 1
            if not page.records:
                # Reads from the log may lag behind appends.
                await self.clock.sleep_ms(5)

    async def _read(self, start: int, limit: int) -> native.LogPage:
        return await self.log.read(
            CLAIMS_STREAM, start, limit, 0, self.timeout_ms
        )

    def _newest_ms(self, records: tuple[native.LogRecord, ...]) -> int:
        """Returns the newest time of records; a malformed one counts as new."""
        newest_ms = -1
        for record in records:
            fields = _decode(record.data)
            if fields is None:
                return 1 << 62
            newest_ms = max(newest_ms, fields["at_ms"])
        return newest_ms

    def _apply_record(self, data: bytes) -> None:
        fields = _decode(data)
        if fields is None:
            self.skipped_records += 1
            return
        try:
            if fields["kind"] == "claim":
                body = fields["body"]
                self._apply_claim(
                    KeyHolder(
                        claim_id=fields["id"],
                        claimer=fields["author"],
                        digest=body["digest"],
                        claimed_at_ms=fields["at_ms"],
                    ),
                    body["key"],
                )
            elif fields["kind"] == "outcome":
                for claim_id, encoded in fields["body"]:
                    record = None
                    if encoded is not None:
                        record = claims.OutcomeRecord.decode(encoded)
                    self._apply_outcome(claim_id, record)
        except (KeyError, TypeError, ValueError):
            self.skipped_records += 1

    def _apply_claim(self, holder: KeyHolder, key: bytes) -> None:
        if key in self._holders or holder.claim_id in self._released_claims:
            return
        if holder.claim_id in self._key_by_claim:
            return
        while len(self._holders) >= self.max_keys:
            claimed_at_ms, oldest_key, claim_id = self._claim_order.popleft()
            # The log must be read again for a key that was issued earlier
            # than this.
            self._complete_since_ms = max(
                self._complete_since_ms, claimed_at_ms + 2 * self.skew_ms
            )
            if self._key_by_claim.pop(claim_id, None) is not None:
                del self._holders[oldest_key]
        self._holders[key] = holder
        self._key_by_claim[holder.claim_id] = key
        self._claim_order.append((holder.claimed_at_ms, key, holder.claim_id))

    def _apply_outcome(
        self, claim_id: str, record: claims.OutcomeRecord | None
    ) -> None:
        key = self._key_by_claim.get(claim_id)
        if key is not None:
            holder = self._holders[key]
            if record is not None:
                holder.record = holder.record or record
                return
            if holder.record is None:
                del self._key_by_claim[claim_id]
                del self._holders[key]
        if record is None:
            # The claim may be appended after its release and must not hold the
            # key then.
            self._released_claims[claim_id] = None
            if len(self._released_claims) > self.max_keys:
                self._released_claims.popitem(last=False)


def _decode(data: bytes) -> dict[str, Any] | None:
    try:
        fields = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException):
        return None
    if not isinstance(fields, dict):
        return None
    if not isinstance(fields.get("at_ms"), int) or "kind" not in fields:
        return None
    if fields.get("schema") != SCHEMA_VERSION:
        return None
    return fields
