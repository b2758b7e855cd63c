"""A local copy of one keyed topic of the metadata store."""

from collections.abc import Awaitable, Callable, Iterable

import structlog

from oleanderbay.gateway import interfaces
from oleanderbay.process import clock as clocks

# Delay after a failed call to the store. The store charges for refused calls
# as well.
RETRY_MS = 250
# Two answers of the store that are further apart than this, plus the scheduled
# time between reads, count as interrupted.
GAP_MS = 700

log = structlog.get_logger()

# Applies a new record; returns True if it repeats the previous one of its key.
RecordHandler = Callable[[interfaces.KeyedRecord], bool | None]


async def _no_wait() -> None:
    """Lets a feed read the store without waiting for its turn."""


class Feed:
    """Keeps the newest record of each key and passes on new records.

    Attributes:
        topic: The topic that is read.
        offset: Offset of the next record to read; -1 before the first answer.
        latest: Newest record by key; a dropped key's record has no value.
        answered_ms: Monotonic time of the store's last answer, either to this
            gateway or to the reader that it follows; -1 if there was none.
        read_ms: Monotonic time of the last successful read by this gateway;
            -1 if there was none.
        failed_ms: Monotonic time of the last failed read by this gateway; -1
            if there was none.
        answered_reads: Number of successful reads by this gateway.
        complete_offset: Offset from which on all dropped keys are known; -1
            before the first read of the whole topic.
        uninterrupted_since_ms: Monotonic time since which the store has
            answered without a gap.
        wait_for_turn: Returns once this gateway has to read the store itself.
        after_read: Called after each successful read by this gateway.
    """

    def __init__(
        self,
        store: interfaces.Store,
        topic: interfaces.Topic,
        clock: clocks.Clock,
        apply_record: RecordHandler,
        wait_ms: int,
        interval_ms: int,
    ) -> None:
        self.store = store
        self.topic = topic
        self.clock = clock
        self.apply_record = apply_record
        self.wait_ms = wait_ms
        self.interval_ms = interval_ms
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
        self._failing = False
        self._changed_at: dict[str, int] = {}

    async def run(self) -> None:
        """Reads the topic repeatedly until cancelled."""
        # The first read after a start must return the whole topic: records
        # from peers may have moved the offset past keys that were never read.
        whole = True
        while True:
            more = False
            await self.wait_for_turn()
            try:
                if whole:
                    self.replace(await self.store.newest(self.topic))
                    whole = False
                else:
                    page = await self.store.read(
                        self.topic, max(0, self.offset), self.wait_ms
                    )
                    # Records from the reader or from a peer may have arrived
                    # during this read and be newer.
                    if page.end_offset >= self.offset:
                        self.merge(page.records, page.end_offset)
                    more = page.more
                self._record_own_read()
            except interfaces.HistoryGoneError:
                whole = True
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
            # The size of one read is limited, so above a certain rate of
            # records a feed that waited after each read would never catch up.
            if self.interval_ms and not more:
                await self.clock.sleep_ms(self.interval_ms)

    def age_ms(self) -> int:
        """Returns the time since the store's last answer."""
        if self.answered_ms < 0:
            return 1 << 30
        return self.clock.now_ms() - self.answered_ms

    def changed_since(self, offset: int) -> tuple[interfaces.KeyedRecord, ...]:
        """Returns the newest record of each key that changed since an offset.

        A record that repeats the previous one of its key is not a change.
        """
        return tuple(
            sorted(
                (
                    self.latest[key]
                    for key, changed_at in self._changed_at.items()
                    if changed_at >= offset
                ),
                key=lambda record: record.offset,
            )
        )

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
                self.replace(page)
            else:
                self.merge(page.records, page.end_offset)
        self._record_answer(answered_ms)

    def merge(
        self, records: Iterable[interfaces.KeyedRecord], end_offset: int
    ) -> None:
        """Applies those records, from the store or a peer, that are newer."""
        for record in records:
            known = self.latest.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            self._apply(record)
        self.offset = max(self.offset, end_offset)

    def replace(self, page: interfaces.Page) -> None:
        """Applies the whole topic and drops the keys that it lacks."""
        present = {record.key for record in page.records}
        for key, known in tuple(self.latest.items()):
            if (
                key not in present
                and known.value is not None
                and known.offset < page.end_offset
            ):
                # Uses the highest offset of the page, since gateways that
                # follow this one may have newer records of the key.
                self._apply(
                    interfaces.KeyedRecord(page.end_offset - 1, key, None)
                )
        self.merge(page.records, page.end_offset)
        self.complete_offset = self.offset

    def uninterrupted_ms(self) -> int:
        """Returns how long the store has been answering without a gap."""
        if self.answered_ms < 0 or self.age_ms() > self.gap_ms():
            return 0
        return self.clock.now_ms() - self.uninterrupted_since_ms

    def gap_ms(self) -> int:
        """Returns the longest time between answers that is not a gap."""
        return GAP_MS + self.wait_ms + self.interval_ms

    def _apply(self, record: interfaces.KeyedRecord) -> None:
        known = record.key in self.latest
        self.latest[record.key] = record
        if not self.apply_record(record) or not known:
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
        self.after_read()
        if self._failing:
            log.info("store answers again", topic=self.topic.value)
        self._failing = False
