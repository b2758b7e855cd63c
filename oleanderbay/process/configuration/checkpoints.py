"""Writes checkpoints of the state to the log before records expire."""

import random

import mode
import structlog

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.configuration import follower as followers
from oleanderbay.process.configuration import freshness
from oleanderbay.process.membership import membership, rendezvous
from oleanderbay.version import checkpoint, records, verdicts

APPEND_TIMEOUT_MS = 5_000
# A start reads back to the last checkpoint, so its distance is bounded even
# if the log keeps records for long.
MAX_TAIL_RECORDS = 50_000


class CheckpointWriter(mode.Service):
    """Writes a checkpoint at half of the retention unless another entry did.

    The entries are ranked by rendezvous hashing; each waits one step longer
    than the one before. Two checkpoints of one state are the same records.

    Attributes:
        written: Checkpoints that this entry has written.
    """

    def __init__(
        self,
        follower: followers.Follower,
        appender: interfaces.LogAppender,
        lease: freshness.FreshnessLease,
        members: membership.Membership,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        retention_ms: int,
        max_tail_records: int = MAX_TAIL_RECORDS,
    ) -> None:
        super().__init__()
        self.written = 0
        self.retention_ms = retention_ms
        self.max_tail_records = max_tail_records
        self._follower = follower
        self._appender = appender
        self._lease = lease
        self._members = members
        self._clock = clock
        self._rng = rng
        self._step_ms = max(1, min(10_000, retention_ms // 32))
        # The age of the last checkpoint is not known at first, so one is due
        # unless another entry writes it.
        self._seen_ms = clock.now_ms() - retention_ms // 2 + self._step_ms
        self._seen_offset = 0
        self._parts: dict[tuple[int, str, int], set[int]] = {}
        self._log = structlog.get_logger("checkpoints")
        follower.on_record(self._note_record)

    def due(self) -> bool:
        """Whether this entry is to write a checkpoint now."""
        current = self._follower.current
        if current.offset == 0:
            return False
        # Only a state that covers the whole log is worth writing.
        if self._lease.state() is not interfaces.Freshness.FRESH:
            return False
        if current.offset - self._seen_offset > self.max_tail_records:
            age_ms = self.retention_ms // 2 + self._rank() * self._step_ms
        else:
            age_ms = self._clock.now_ms() - self._seen_ms
        return age_ms >= self.retention_ms // 2 + self._rank() * self._step_ms

    async def write(self) -> bool:
        """Appends a checkpoint; returns whether all parts were appended."""
        state = self._follower.current
        # In the last quarter of the retention the state is at risk, which is
        # worse than a late repair.
        age_ms = self._clock.now_ms() - self._seen_ms
        use = "group" if age_ms > self.retention_ms * 3 // 4 else "checkpoint"
        try:
            for data in checkpoint.dump(state, self._members.me.start_id):
                await self._appender.append(
                    records.STREAM, data, use, APPEND_TIMEOUT_MS
                )
        except native.PlatformError as error:
            self._log.warning("checkpoint not written", error=str(error))
            return False
        self.written += 1
        self._note_seen(state.offset)
        return True

    @mode.Service.task
    async def _write_when_due(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(
                self._step_ms * self._rng.uniform(0.2, 0.4)
            )
            if self.due():
                await self.write()

    def _rank(self) -> int:
        ids = [entry.id for entry in self._members.live()]
        order = rendezvous.ranked(f"checkpoint\0{self._seen_offset}", ids)
        return order.index(self._members.me.id)

    def _note_record(
        self, record: native.LogRecord, verdict: verdicts.Verdict
    ) -> None:
        if verdict.kind != "checkpoint":
            return
        part = checkpoint.read_part(record.data)
        if part is None:
            return
        key = (part.offset, part.digest, part.parts)
        found = self._parts.setdefault(key, set())
        found.add(part.part)
        if len(found) == part.parts:
            self._note_seen(part.offset)

    def _note_seen(self, offset: int) -> None:
        # A checkpoint that was delayed on its way covers less.
        if offset < self._seen_offset:
            return
        self._seen_offset = offset
        self._seen_ms = self._clock.now_ms()
        self._parts = {
            key: found for key, found in self._parts.items() if key[0] > offset
        }
