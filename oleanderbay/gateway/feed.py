"""A local copy of one keyed topic of the metadata store."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import structlog

from oleanderbay.gateway import fields, interfaces, positions
from oleanderbay.process import clock as clocks

# Delay after a failed call to the store. The store charges for refused calls
# as well.
RETRY_MS = 250
# Two answers of the store that are further apart than this, plus the scheduled
# time between reads, count as interrupted.
GAP_MS = 700

# After a restoration of the store, records that its copy lacks stay for this
# long. Their writers have written them again about 2 s after its return.
SETTLE_MS = 3_000

log = structlog.get_logger()


class Effect(enum.Enum):
    """What a record means for the known one of its key.

    Attributes:
        CHANGED: It replaces the known one.
        REPEATED: It replaces the known one and says the same.
        REJECTED: It can't be used, and the known one holds.
    """

    CHANGED = "changed"
    REPEATED = "repeated"
    REJECTED = "rejected"


# Applies a new record; None stands for `Effect.CHANGED`.
RecordHandler = Callable[[interfaces.KeyedRecord], Effect | None]
# Returns True if the second record, which a restored store gave out, is older
# than the first one, which is from before the restoration.
RecordComparison = Callable[
    [interfaces.KeyedRecord, interfaces.KeyedRecord], bool
]


def _never_outdated(
    _: interfaces.KeyedRecord, __: interfaces.KeyedRecord
) -> bool:
    return False


async def _no_wait() -> None:
    """Lets a feed read the store without waiting for its turn."""


class Feed:
    """Keeps the newest record of each key and passes on new records.

    A record that is rejected does not replace the known one of its key. If the
    key's writer then stays silent for `silence_ms`, the known one is dropped:
    the store may hold nothing else of a writer that is gone.

    If the store is restored from an older copy, records that are newer than
    those of the copy are kept. Keys that the copy lacks are dropped once their
    writers have had time to write them again.

    Attributes:
        topic: The topic that is read.
        offset: Offset of the next record to read; -1 before the first answer.
        latest: Newest record by key that was not rejected; a dropped key's
            record has no value.
        answered_ms: Monotonic time of the store's last answer, either to this
            gateway or to the reader that it follows; -1 if there was none.
        read_ms: Monotonic time of the last successful read by this gateway;
            -1 if there was none.
        failed_ms: Monotonic time of the last failed read by this gateway; -1
            if there was none.
        answered_reads: Number of successful reads by this gateway.
        complete_offset: Offset from which on all dropped keys are known; -1
            before the first read of the whole topic.
        is_outdated: Compares records of a restored store with known ones.
        keeps_dropped: Whether a dropped key that is in the copy of a restored
            store stays dropped until it is written again.
        silence_ms: Time after a rejected record of a key within which the
            key's writer has to write again.
        uninterrupted_since_ms: Monotonic time since which the store has
            answered without a gap or a restoration.
        wait_for_turn: Returns once this gateway has to read the store itself.
        after_read: Called after each successful read by this gateway.
        after_restoration: Called after the first whole read of a restored
            store, with the known records that it lacks.
    """

    def __init__(
        self,
        store: interfaces.Store,
        topic: interfaces.Topic,
        clock: clocks.Clock,
        apply_record: RecordHandler,
        wait_ms: int,
        interval_ms: int,
        is_outdated: RecordComparison = _never_outdated,
        keeps_dropped: bool = False,
        silence_ms: int = SETTLE_MS,
    ) -> None:
        self.store = store
        self.topic = topic
        self.clock = clock
        self.apply_record = apply_record
        self.wait_ms = wait_ms
        self.interval_ms = interval_ms
        self.is_outdated = is_outdated
        self.keeps_dropped = keeps_dropped
        self.silence_ms = silence_ms
        self.offset = -1
        self.latest: dict[str, interfaces.KeyedRecord] = {}
        self.answered_ms = -1
        self.read_ms = -1
        self.failed_ms = -1
        self.answered_reads = 0
        self.complete_offset = -1
        self.uninterrupted_since_ms = -1
        self.wait_for_turn: Callable[[], Awaitable[None]] = _no_wait
        self.after_read: Callable[[], None] = lambda: None
        self.after_restoration: Callable[
            [list[interfaces.KeyedRecord]], None
        ] = lambda _: None
        self._failing = False
        self._changed_at: dict[str, int] = {}
        # Rejected records since the last one of the key that was not: the
        # newest, and the monotonic time of the first.
        self._rejected: dict[str, tuple[interfaces.KeyedRecord, int]] = {}
        # Monotonic time at which keys that a restored store lacks are dropped;
        # -1 if there are none.
        self._settled_ms = -1

    async def run(self) -> None:
        """Reads the topic repeatedly until cancelled."""
        # The first read after a start must return the whole topic: records
        # from peers may have moved the offset past keys that were never read.
        whole = True
        # Whether the last read of records found that its history is gone.
        gone = False
        while True:
            pause_ms = self.interval_ms
            await self.wait_for_turn()
            started_ms = self.clock.now_ms()
            try:
                if whole or not self.is_complete():
                    self._replace_newer(await self.store.newest(self.topic))
                    whole = False
                else:
                    page = await self.store.read(
                        self.topic, max(0, self.offset), self.wait_ms
                    )
                    # Records from the reader or from a peer may have arrived
                    # during this read and be newer.
                    if page.end_offset >= self.offset:
                        self.merge(page.records, page.end_offset)
                    gone = False
                    # The size of one read is limited, so above a certain rate
                    # of records a feed that waited after each read would never
                    # catch up. A store that returns none at once would be
                    # asked without end.
                    if page.records and page.more:
                        pause_ms = 0
                    elif not page.records and not pause_ms:
                        elapsed_ms = self.clock.now_ms() - started_ms
                        pause_ms = max(0, RETRY_MS - elapsed_ms)
                self._record_own_read()
            except interfaces.HistoryGoneError:
                if gone:
                    await self.clock.sleep_ms(RETRY_MS)
                whole = gone = True
                continue
            except interfaces.StoreError as error:
                if not self._failing:
                    log.warning(
                        "store read failed",
                        topic=self.topic.value,
                        error=str(error),
                    )
                self._failing = True
                self.failed_ms = self.clock.now_ms()
                await self.clock.sleep_ms(RETRY_MS)
                continue
            if pause_ms:
                await self.clock.sleep_ms(pause_ms)

    def is_complete(self) -> bool:
        """Whether the whole topic was read since the store's restoration."""
        return self.complete_offset >= 0 and positions.era_of(
            self.complete_offset
        ) == positions.era_of(self.offset)

    def age_ms(self) -> int:
        """Returns the time since the store's last answer."""
        if self.answered_ms < 0:
            return 1 << 30
        return self.clock.now_ms() - self.answered_ms

    def changed_since(self, offset: int) -> tuple[interfaces.KeyedRecord, ...]:
        """Returns the newest record of each key that changed since an offset.

        A record that repeats the previous one of its key is not a change.
        Rejected records are included: they show that the key is in the store,
        and their silence is measured by each gateway.
        """
        changed = [
            self.latest[key]
            for key, changed_at in self._changed_at.items()
            if changed_at >= offset
        ]
        changed += [
            record
            for record, _ in self._rejected.values()
            if record.offset >= offset
        ]
        return tuple(sorted(changed, key=lambda record: record.offset))

    def apply_from_reader(
        self, page: interfaces.Page, whole: bool, answered_ms: int
    ) -> None:
        """Applies records that the store returned to another gateway.

        Args:
            page: Records that this feed lacks, or the whole topic.
            whole: Whether the page holds the whole topic.
            answered_ms: Monotonic time by which the other gateway had
                received the store's answer.
        """
        # The page is outdated if the other gateway is behind this one.
        if page.end_offset >= self.offset:
            if whole:
                self.replace(page, from_reader=True)
            else:
                self.merge(page.records, page.end_offset)
        self._record_answer(answered_ms)
        self._drop_unconfirmed()
        self._drop_silent()

    def merge(
        self, records: Iterable[interfaces.KeyedRecord], end_offset: int
    ) -> None:
        """Applies those records, from the store or a peer, that are newer."""
        for record in records:
            known = self.latest.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            if (
                known is not None
                and _is_restored(known, record)
                and self.is_outdated(known, record)
            ):
                record = dataclasses.replace(record, value=known.value)
            self._apply(record)
        self.offset = max(self.offset, end_offset)

    def replace(self, page: interfaces.Page, from_reader: bool = False) -> None:
        """Applies the whole topic and drops the keys that it lacks.

        Args:
            page: The whole topic.
            from_reader: Whether it comes from another gateway, which has
                compared it with what it knew and forwards no repeats later.
        """
        era = positions.era_of(page.end_offset)
        restored = (
            self.complete_offset >= 0
            and positions.era_of(self.complete_offset) < era
        )
        present = {record.key for record in page.records}
        for key, (rejected, _) in tuple(self._rejected.items()):
            if key not in present and rejected.offset < page.end_offset:
                del self._rejected[key]
        lacking = []
        for key, known in tuple(self.latest.items()):
            if (
                key in present
                or known.value is None
                or known.offset >= page.end_offset
            ):
                continue
            if positions.era_of(known.offset) < era:
                lacking.append(known)
                continue
            # Uses the highest offset of the page, since gateways that follow
            # this one may have newer records of the key.
            self._apply(interfaces.KeyedRecord(page.end_offset - 1, key, None))
        stale = {
            record.key
            for record in page.records
            if not from_reader and self._stays_dropped(record)
        }
        lacking += [self.latest[key] for key in stale]
        self.merge(
            [r for r in page.records if r.key not in stale], page.end_offset
        )
        self.complete_offset = self.offset
        if restored:
            log.warning(
                "store restored",
                topic=self.topic.value,
                era=era,
                lacking=len(lacking),
            )
            now_ms = self.clock.now_ms()
            self._settled_ms = now_ms + SETTLE_MS
            self.uninterrupted_since_ms = now_ms
            self.after_restoration(lacking)

    def uninterrupted_ms(self) -> int:
        """Returns how long the store has been answering without a gap."""
        if self.answered_ms < 0 or self.age_ms() > self.gap_ms():
            return 0
        return self.clock.now_ms() - self.uninterrupted_since_ms

    def gap_ms(self) -> int:
        """Returns the longest time between answers that is not a gap."""
        return GAP_MS + self.wait_ms + self.interval_ms

    def _replace_newer(self, page: interfaces.Page) -> None:
        if positions.era_of(page.end_offset) < positions.era_of(self.offset):
            raise interfaces.StoreError("the answer is from an earlier era")
        self.replace(page)

    def _stays_dropped(self, record: interfaces.KeyedRecord) -> bool:
        known = self.latest.get(record.key)
        return (
            self.keeps_dropped
            and known is not None
            and known.value is None
            and _is_restored(known, record)
        )

    def _drop_unconfirmed(self) -> None:
        """Drops keys that a restored store lacks, once writers had time."""
        if (
            self._settled_ms < 0
            or self.clock.now_ms() < self._settled_ms
            or not self.is_complete()
        ):
            return
        self._settled_ms = -1
        era = positions.era_of(self.offset)
        for record in tuple(self.latest.values()):
            if (
                record.value is not None
                and positions.era_of(record.offset) < era
            ):
                self._drop(record.key)

    def _drop_silent(self) -> None:
        """Drops keys whose writers are silent since a rejected record.

        Only time in which the store answered counts, since writers can't
        write otherwise.
        """
        now_ms = self.clock.now_ms()
        for key, (_, since_ms) in tuple(self._rejected.items()):
            since_ms = max(since_ms, self.uninterrupted_since_ms)
            known = self.latest.get(key)
            if (
                known is not None
                and known.value is not None
                and now_ms - since_ms >= self.silence_ms
            ):
                log.info("writer silent since a rejected record", key=key)
                self._drop(key)

    def _drop(self, key: str) -> None:
        # The next record of the key may have the offset that this feed has
        # reached; followers ask for changes from that one on.
        self._apply(interfaces.KeyedRecord(self.offset - 1, key, None))
        self._changed_at[key] = self.offset

    def _apply(self, record: interfaces.KeyedRecord) -> None:
        known = self.latest.get(record.key)
        effect = self.apply_record(record)
        rejected = self._rejected.pop(record.key, None)
        if effect is Effect.REJECTED:
            since_ms = rejected[1] if rejected else self.clock.now_ms()
            self._rejected[record.key] = (record, since_ms)
            return
        self.latest[record.key] = record
        # Followers need a repeat too if it is the first record after a
        # restoration or a rejected record, as it shows that the key's writer
        # is still there.
        if (
            effect is not Effect.REPEATED
            or known is None
            or rejected is not None
            or _is_restored(known, record)
        ):
            self._changed_at[record.key] = record.offset

    def _record_answer(self, answered_ms: int) -> None:
        if (
            self.answered_ms < 0
            or answered_ms - self.answered_ms > self.gap_ms()
        ):
            self.uninterrupted_since_ms = answered_ms
        self.answered_ms = max(self.answered_ms, answered_ms)

    def _record_own_read(self) -> None:
        self.read_ms = self.clock.now_ms()
        self._record_answer(self.read_ms)
        self.answered_reads += 1
        self._drop_unconfirmed()
        self._drop_silent()
        self.after_read()
        if self._failing:
            log.info("store answers again", topic=self.topic.value)
        self._failing = False


def parse_answer(rows: Any, end_offset: Any) -> interfaces.Page:
    """Returns records that another gateway sent, all of which are valid.

    Raises:
        One of `fields.PARSE_ERRORS`: They are malformed.
    """
    records = []
    for row in fields.items(rows):
        offset, key, value = fields.items(row)
        if value is not None and not isinstance(value, bytes):
            raise TypeError("the value of a record is not bytes")
        records.append(
            interfaces.KeyedRecord(
                fields.whole(offset, -1, positions.MAX_POSITION),
                fields.text(key),
                value,
            )
        )
    return interfaces.Page(
        tuple(records), fields.whole(end_offset, -1, positions.MAX_POSITION)
    )


def _is_restored(
    known: interfaces.KeyedRecord, record: interfaces.KeyedRecord
) -> bool:
    """Whether the store was restored between two records."""
    return positions.era_of(known.offset) < positions.era_of(record.offset)
