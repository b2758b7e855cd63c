"""Follows one keyed topic of the store."""

from collections.abc import Callable, Iterable

import structlog

from oleanderbay.gateway import interfaces
from oleanderbay.process import clock as clocks

# Time between calls while the store gives no answer. Calls that the store
# refuses are charged like others.
RETRY_MS = 250
# Time between two answers, beyond the interval, that counts as a gap.
GAP_MS = 700

log = structlog.get_logger()

Change = Callable[[interfaces.KeyedRecord], None]


class Feed:
    """Holds the newest record of each key and hands on what changes.

    Attributes:
        topic: The topic that is followed.
        offset: Offset of the next record to come; -1 before the first answer.
        latest: Newest record by key; a dropped key is kept without a value.
        answered_ms: Monotonic time of the store's last answer; -1 for never.
        steady_since_ms: Since when the store has answered without a gap.
    """

    def __init__(
        self,
        store: interfaces.Store,
        topic: interfaces.Topic,
        clock: clocks.Clock,
        changed: Change,
        wait_ms: int,
        interval_ms: int,
    ) -> None:
        self.store = store
        self.topic = topic
        self.clock = clock
        self.changed = changed
        self.wait_ms = wait_ms
        self.interval_ms = interval_ms
        self.offset = -1
        self.latest: dict[str, interfaces.KeyedRecord] = {}
        self.answered_ms = -1
        self.steady_since_ms = -1
        self._failing = False

    async def run(self) -> None:
        """Follows the topic until cancelled."""
        # The first read after a start has to be whole: records from peers
        # may have moved the offset past keys that were never seen.
        whole = True
        while True:
            more = False
            try:
                if whole:
                    self.replace(await self.store.newest(self.topic))
                    whole = False
                else:
                    page = await self.store.read(
                        self.topic, max(0, self.offset), self.wait_ms
                    )
                    self.merge(page.records, page.end_offset)
                    more = page.more
                self._answered()
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
                await self.clock.sleep_ms(RETRY_MS)
                continue
            # One read holds a limited size; a feed that waited after each
            # would fall behind for good above a certain rate of records.
            if self.interval_ms and not more:
                await self.clock.sleep_ms(self.interval_ms)

    def age_ms(self) -> int:
        """Returns the time since the store's last answer."""
        if self.answered_ms < 0:
            return 1 << 30
        return self.clock.now_ms() - self.answered_ms

    def since(self, offset: int) -> tuple[interfaces.KeyedRecord, ...]:
        """Returns the newest records from an offset on."""
        return tuple(
            sorted(
                (r for r in self.latest.values() if r.offset >= offset),
                key=lambda record: record.offset,
            )
        )

    def merge(
        self, records: Iterable[interfaces.KeyedRecord], end_offset: int
    ) -> None:
        """Applies records, from the store or a peer, that are newer."""
        for record in records:
            known = self.latest.get(record.key)
            if known is not None and known.offset >= record.offset:
                continue
            self.latest[record.key] = record
            self.changed(record)
        self.offset = max(self.offset, end_offset)

    def replace(self, page: interfaces.Page) -> None:
        """Applies the whole topic; keys that it lacks are dropped."""
        present = {record.key for record in page.records}
        for key, known in tuple(self.latest.items()):
            if (
                key not in present
                and known.value is not None
                and known.offset < page.end_offset
            ):
                dropped = interfaces.KeyedRecord(known.offset, key, None)
                self.latest[key] = dropped
                self.changed(dropped)
        self.merge(page.records, page.end_offset)

    def steady_ms(self) -> int:
        """Returns for how long the store has answered without a gap."""
        if self.answered_ms < 0 or self.age_ms() > self._gap_ms():
            return 0
        return self.clock.now_ms() - self.steady_since_ms

    def _gap_ms(self) -> int:
        return GAP_MS + self.wait_ms + self.interval_ms

    def _answered(self) -> None:
        if self.answered_ms < 0 or self.age_ms() > self._gap_ms():
            self.steady_since_ms = self.clock.now_ms()
        self.answered_ms = self.clock.now_ms()
        if self._failing:
            log.info("store answers again", topic=self.topic.value)
        self._failing = False
