"""Submits one proposal and follows it until a majority has applied it."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.configuration import applied
from oleanderbay.version import records, verdicts

DEFAULT_TIMEOUT_MS = 10_000
MAX_TIMEOUT_MS = 60_000

# An append whose response is lost is looked for in the log for this long
# before it is repeated with the same id.
READ_BACK_MS = 1_000
ATTEMPT_TIMEOUT_MS = 2_000
MAJORITY_POLL_MS = 50

# Used when the log is unavailable and no other time is stated.
RETRY_AFTER_MS = 1_000


class VerdictSource(Protocol):
    """Tells what became of a record once this entry has applied it."""

    async def wait_verdict(
        self, record_id: str, timeout_ms: int
    ) -> verdicts.Verdict | None:
        """Returns the verdict; None if there is none in time."""
        ...


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryVersion:
    """The offset in force at one entry, as this entry knows.

    Attributes:
        entry: Entry id.
        start_id: Process start id.
        zone: The platform's name of its availability zone.
        offset: Offset that it has applied.
        age_ms: Age of its newest confirmation that nothing newer exists.
        counts: Whether it is one of the known entries that majorities are
            counted against; one that leaves is not.
    """

    entry: str
    start_id: str
    zone: str
    offset: int
    age_ms: int
    counts: bool = True


class EntryVersions(Protocol):
    """Lists the offset in force at each entry, this one included."""

    def entries(self) -> Sequence[EntryVersion]:
        """Returns one line for each entry that is heard from."""
        ...

    def known_count(self) -> int:
        """Size of the known set that majorities are counted against."""
        ...


class Status(enum.StrEnum):
    """What is known about a proposal; see `Status` in the schema."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"
    REQUEST_ID_REUSED = "request_id_reused"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The answer to a proposal.

    Attributes:
        status: What is known.
        request_id: Id to use for a retry.
        offset: Offset of the record that decided; 0 if none is known.
        conflicts: Why it was rejected.
        retry_after_ms: When to try again; 0 where that does not help.
        message: One sentence for people.
        entries_applied: Entries that have applied the offset.
        entries_known: Entries that majorities are counted against.
    """

    status: Status
    request_id: str
    offset: int = 0
    conflicts: tuple[verdicts.Conflict, ...] = ()
    retry_after_ms: int = 0
    message: str = ""
    entries_applied: int = 0
    entries_known: int = 0


class Submission:
    """Submits proposals and finds out what became of them."""

    def __init__(
        self,
        *,
        source: applied.WholeCatalogueSource,
        appender: interfaces.LogAppender,
        verdict_source: VerdictSource,
        versions: EntryVersions,
        clock: clocks.Clock,
        author: str,
    ) -> None:
        self.source = source
        self.appender = appender
        self.verdict_source = verdict_source
        self.versions = versions
        self.clock = clock
        self.author = author

    async def submit(
        self,
        body: records.Body,
        request_id: str,
        timeout_ms: int = 0,
        *,
        same_body: bool = True,
    ) -> Result:
        """Proposes a body and returns what is known by the deadline.

        Args:
            body: What is proposed.
            request_id: The caller's id; empty for a new one.
            timeout_ms: Time for the whole call; 0 for the default.
            same_body: Whether an earlier record with this id must have had
                the same body. False where the body depends on the state.
        """
        request_id = request_id or records.new_id()
        record_id = records.id_of_request(request_id)
        timeout_ms = min(timeout_ms or DEFAULT_TIMEOUT_MS, MAX_TIMEOUT_MS)
        deadline_ms = self.clock.now_ms() + timeout_ms
        verdict = self.source.current.verdict(record_id)
        if verdict is None:
            answer = await self._append(
                body, request_id, record_id, deadline_ms
            )
            if isinstance(answer, Result):
                return answer
            verdict = answer
        if (
            same_body
            and verdict.body_digest
            and verdict.body_digest != records.body_digest(body)
        ):
            return Result(
                status=Status.REQUEST_ID_REUSED,
                request_id=request_id,
                offset=verdict.offset,
                message="the request id was used for another change",
            )
        if not verdict.accepted:
            return Result(
                status=Status.REJECTED,
                request_id=request_id,
                offset=verdict.offset,
                conflicts=verdict.conflicts,
                message="rejected",
            )
        return await self._await_majority(
            verdict.offset, request_id, deadline_ms
        )

    async def _append(
        self,
        body: records.Body,
        request_id: str,
        record_id: str,
        deadline_ms: int,
    ) -> verdicts.Verdict | Result:
        data = records.encode(
            records.Record(
                id=record_id,
                author=self.author,
                base=self.source.current.offset,
                at_ms=self.clock.wall_ms(),
                body=body,
            )
        )
        # A record that can't be read would never get a verdict.
        readable = records.decode(data)
        if isinstance(readable, records.Malformed):
            return self._malformed(request_id, readable.reason)
        use = "operator" if isinstance(body, records.Change) else "stage"
        may_be_appended = False
        while True:
            left_ms = deadline_ms - self.clock.now_ms()
            if left_ms <= 0:
                break
            wait_ms = min(left_ms, READ_BACK_MS)
            try:
                await self.appender.append(
                    records.STREAM, data, use, min(left_ms, ATTEMPT_TIMEOUT_MS)
                )
                may_be_appended = True
                wait_ms = deadline_ms - self.clock.now_ms()
            except native.PlatformUnavailableError as error:
                if not may_be_appended:
                    return self._not_accepted(request_id, error)
            except native.PlatformUnknownError:
                may_be_appended = True
            wait_ms = min(wait_ms, deadline_ms - self.clock.now_ms())
            verdict = await self.verdict_source.wait_verdict(record_id, wait_ms)
            if verdict is not None:
                return verdict
        return Result(
            status=Status.UNKNOWN,
            request_id=request_id,
            message="not read back in time; retry with the same request id",
        )

    def _malformed(self, request_id: str, reason: str) -> Result:
        conflict = verdicts.Conflict(
            code=verdicts.ConflictCode.MALFORMED, message=reason
        )
        return Result(
            status=Status.REJECTED,
            request_id=request_id,
            conflicts=(conflict,),
            message="rejected before it was appended",
        )

    def _not_accepted(self, request_id: str, error: Exception) -> Result:
        # The appender states the time when its budget is exhausted.
        retry_after_ms = getattr(error, "retry_after_ms", RETRY_AFTER_MS)
        return Result(
            status=Status.NOT_ACCEPTED,
            request_id=request_id,
            retry_after_ms=int(retry_after_ms),
            message=f"not accepted: {error}",
        )

    async def _await_majority(
        self, offset: int, request_id: str, deadline_ms: int
    ) -> Result:
        """Waits until more than half of the known entries are at an offset."""
        while True:
            applied = sum(
                entry.counts and entry.offset >= offset
                for entry in self.versions.entries()
            )
            known = max(1, self.versions.known_count())
            reached = 2 * applied > known
            if reached or self.clock.now_ms() >= deadline_ms:
                break
            await self.clock.sleep_ms(MAJORITY_POLL_MS)
        return Result(
            status=Status.ACCEPTED if reached else Status.UNKNOWN,
            request_id=request_id,
            offset=offset,
            message=(
                "accepted"
                if reached
                else "in the log, but not yet known to be applied by most "
                "entries; retry with the same request id"
            ),
            entries_applied=applied,
            entries_known=known,
        )
