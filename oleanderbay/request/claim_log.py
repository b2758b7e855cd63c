"""Claims on keys in the log, for keys without a ticket."""

import asyncio
import collections
import dataclasses
from typing import Any, Protocol

import msgpack

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.request import claims

STREAM = "claims"
SCHEMA = 1
_PAGE = 512
# The time of a record is its author's, and an append may be delayed. A probe
# therefore reads several records and takes the newest time among them.
_PROBE = 16


class Reader(Protocol):
    """The part of `native.LogService` that claims are read with."""

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


class HistoryGoneError(Exception):
    """The log no longer holds all claims since a key was issued."""


@dataclasses.dataclass(slots=True)
class Winner:
    """The claim that holds a key: the first one by offset.

    Attributes:
        claim: Id of the claim.
        author: Process start of the claimer.
        digest: Hash of its request.
        at_ms: Wall time of the claim by its author's clock.
        record: What became of the call; None while it is not known.
    """

    claim: str
    author: str
    digest: bytes
    at_ms: int
    record: claims.Record | None = None


class ClaimLog:
    """Claims keys by appending to a stream and reading it back.

    A claim holds its key if no earlier claim held it at its offset; every
    reader finds the same. A claim that lost stays without effect, also after
    the holder has released the key.

    Attributes:
        appends: Appends for claims.
        outcome_appends: Appends that carry outcomes, many in each.
        skipped: Records that were malformed.
        dropped: Outcomes that were given up while the log was away.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        log: Reader,
        appender: interfaces.LogAppender,
        start_id: str,
        skew_ms: int = 60_000,
        max_keys: int = 100_000,
        max_pending: int = 10_000,
        timeout_ms: int = 2_000,
    ) -> None:
        """Makes a claim log.

        Args:
            clock: Source of time.
            log: The log, for reading.
            appender: Appends within the budget.
            start_id: This entry's process start.
            skew_ms: How far clocks of entries and callers may differ.
            max_keys: Keys kept in memory.
            max_pending: Outcomes that may wait for the log.
            timeout_ms: Longest time of one append or read.
        """
        self.clock = clock
        self.log = log
        self.appender = appender
        self.start_id = start_id
        self.skew_ms = skew_ms
        self.max_keys = max_keys
        self.max_pending = max_pending
        self.timeout_ms = timeout_ms
        self.appends = 0
        self.outcome_appends = 0
        self.skipped = 0
        self.dropped = 0
        self._lock = asyncio.Lock()
        self._position = 0
        self._covered_from_ms = -1
        self._winners: dict[bytes, Winner] = {}
        self._by_claim: dict[str, bytes] = {}
        self._ages: collections.deque[tuple[int, bytes, str]] = (
            collections.deque()
        )
        self._released: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._pending: list[list[Any]] = []

    async def claim(
        self, key: bytes, issued_ms: int, digest: bytes, claim: str
    ) -> Winner | None:
        """Appends a claim and returns who holds the key at its offset.

        Returns None if the holder has released the key since; this claim
        has lost all the same.

        Raises:
            PlatformError: It is not known who holds the key; the claim may
                be in the log.
            HistoryGoneError: Older claims of the key may have expired.
        """
        data = self._encode("claim", claim, {"key": key, "digest": digest})
        self.appends += 1
        try:
            offset = await self.appender.append(
                STREAM, data, "claim", self.timeout_ms
            )
        except native.PlatformUnavailableError:
            raise
        except BaseException:
            # Also a cancelled append may take effect. The caller sends
            # nothing, so the claim is given back.
            self.put(claim, None)
            raise
        try:
            async with self._lock:
                since_ms = issued_ms - self.skew_ms
                await self._cover(since_ms)
                await self._read_to(offset)
                if since_ms < self._covered_from_ms:
                    # More keys were claimed since than memory may hold.
                    raise HistoryGoneError
        except BaseException:
            self.put(claim, None)
            raise
        return self._winners.get(key)

    def put(self, claim: str, record: claims.Record | None) -> None:
        """Queues an outcome; None releases the key as not run."""
        if len(self._pending) >= self.max_pending:
            # Its key stays without an outcome, which reads as unknown.
            self._pending.pop(0)
            self.dropped += 1
        self._pending.append([claim, record.encode() if record else None])

    @property
    def pending(self) -> int:
        """Outcomes that wait to be appended."""
        return len(self._pending)

    async def flush(self, batch: int = 128) -> None:
        """Appends the queued outcomes, many in one record.

        Raises:
            PlatformError: They may not be in the log and stay queued; an
                outcome that is appended twice has no further effect.
        """
        while self._pending:
            lines = self._pending[:batch]
            data = self._encode("outcome", "", lines)
            self.outcome_appends += 1
            await self.appender.append(STREAM, data, "claim", self.timeout_ms)
            sent = {id(line) for line in lines}
            self._pending = [x for x in self._pending if id(x) not in sent]

    def _encode(self, kind: str, id: str, body: Any) -> bytes:
        return msgpack.packb(
            {
                "schema": SCHEMA,
                "id": id,
                "kind": kind,
                "author": self.start_id,
                "at_ms": self.clock.wall_ms(),
                "body": body,
            }
        )

    async def _cover(self, since_ms: int) -> None:
        """Makes sure that all claims since a wall time have been read."""
        if self._position and since_ms >= self._covered_from_ms:
            return
        start = await self._find(since_ms)
        self._winners.clear()
        self._by_claim.clear()
        self._ages.clear()
        self._released.clear()
        self._position = start
        self._covered_from_ms = since_ms

    async def _find(self, since_ms: int) -> int:
        """Returns an offset with nothing newer than a time before it."""
        first = 1
        try:
            page = await self._read(1, 1)
        except native.RecordsExpiredError as error:
            first = error.first
            page = await self._read(first, _PROBE)
            if self._newest(page.records) >= since_ms:
                raise HistoryGoneError from error
        low, high = first, page.end
        while low < high:
            middle = (low + high) // 2
            page = await self._read(middle, _PROBE)
            if self._newest(page.records) < since_ms:
                low = middle + 1
            else:
                high = middle
        return low

    async def _read_to(self, offset: int) -> None:
        while self._position <= offset:
            try:
                page = await self._read(self._position, _PAGE)
            except native.RecordsExpiredError:
                # Too long without a claim: the next one starts afresh.
                self._position = 0
                raise
            for record in page.records:
                self._apply(record.data)
                self._position = record.offset + 1
            if not page.records:
                # The reader of the log may lag behind the appender.
                await self.clock.sleep_ms(5)

    async def _read(self, start: int, limit: int) -> native.LogPage:
        return await self.log.read(STREAM, start, limit, 0, self.timeout_ms)

    def _newest(self, records: tuple[native.LogRecord, ...]) -> int:
        """Newest time among records; a malformed one counts as new."""
        newest_ms = -1
        for record in records:
            fields = _decode(record.data)
            if fields is None:
                return 1 << 62
            newest_ms = max(newest_ms, fields["at_ms"])
        return newest_ms

    def _apply(self, data: bytes) -> None:
        fields = _decode(data)
        if fields is None:
            self.skipped += 1
            return
        try:
            if fields["kind"] == "claim":
                body = fields["body"]
                self._apply_claim(
                    Winner(
                        claim=fields["id"],
                        author=fields["author"],
                        digest=body["digest"],
                        at_ms=fields["at_ms"],
                    ),
                    body["key"],
                )
            elif fields["kind"] == "outcome":
                for claim, encoded in fields["body"]:
                    record = None
                    if encoded is not None:
                        record = claims.Record.decode(encoded)
                    self._apply_outcome(claim, record)
        except (KeyError, TypeError, ValueError):
            self.skipped += 1

    def _apply_claim(self, winner: Winner, key: bytes) -> None:
        if key in self._winners or winner.claim in self._released:
            return
        if winner.claim in self._by_claim:
            return
        while len(self._winners) >= self.max_keys:
            at_ms, oldest, claim = self._ages.popleft()
            # From here on an older key needs another look at the log.
            self._covered_from_ms = max(
                self._covered_from_ms, at_ms + 2 * self.skew_ms
            )
            if self._by_claim.pop(claim, None) is not None:
                del self._winners[oldest]
        self._winners[key] = winner
        self._by_claim[winner.claim] = key
        self._ages.append((winner.at_ms, key, winner.claim))

    def _apply_outcome(self, claim: str, record: claims.Record | None) -> None:
        key = self._by_claim.get(claim)
        if key is not None:
            winner = self._winners[key]
            if record is not None:
                winner.record = winner.record or record
                return
            if winner.record is None:
                del self._by_claim[claim]
                del self._winners[key]
        if record is None:
            # A delayed append of the claim must not hold the key later.
            self._released[claim] = None
            if len(self._released) > self.max_keys:
                self._released.popitem(last=False)


def _decode(data: bytes) -> dict[str, Any] | None:
    try:
        fields = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException):
        return None
    if not isinstance(fields, dict):
        return None
    if not isinstance(fields.get("at_ms"), int) or "kind" not in fields:
        return None
    if fields.get("schema") != SCHEMA:
        return None
    return fields
