"""Records of quarantined prompt parts and requests in the store.

They tell all gateways of a quarantine at once, and those that start later.
"""

import asyncio
import functools
import json
import random
from collections.abc import Mapping

import structlog
import xxhash

from oleanderbay.gateway import feed, fields, interfaces, quarantine
from oleanderbay.process import clock as clocks

PARTS = "parts"
REQUESTS = "requests"
RETRY_MS = 500
# A read waits long at the store, since there are hardly ever new records.
WAIT_MS = 10_000
# Records that a restored store lacks are written again within this time, before
# the feed drops them.
REWRITE_SPREAD_MS = feed.SETTLE_MS // 2
# Largest wall-clock time, which is exact in JSON.
MAX_TIME_MS = 2**53

log = structlog.get_logger()


class QuarantineRecords:
    """Keeps the quarantine and its records in the store consistent.

    Attributes:
        quarantines: The quarantines of prompt parts and of requests, by the
            kind that their records state.
        feed: Reads the records.
    """

    def __init__(
        self,
        store: interfaces.Store,
        clock: clocks.Clock,
        quarantines: Mapping[str, quarantine.PromptQuarantine],
        rng: random.Random,
    ) -> None:
        self.store = store
        self.rng = rng
        self.clock = clock
        self.quarantines = quarantines
        self.feed = feed.Feed(
            store,
            interfaces.Topic.QUARANTINE,
            clock,
            self._apply,
            WAIT_MS,
            0,
            keeps_dropped=True,
        )
        self.feed.after_restoration = self._record_restoration
        self._pending: dict[str, bytes | None] = {}
        self._lacking: list[interfaces.KeyedRecord] = []
        self._changed = asyncio.Event()
        for kind, tracker in quarantines.items():
            tracker.on_change = functools.partial(self._record_change, kind)

    async def run(self) -> None:
        """Writes changes of the quarantine to the store until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            if self._lacking:
                # All gateways hold these records. After different delays, most
                # of them find that another one has written them again.
                await self.clock.sleep_ms(self.rng.randrange(REWRITE_SPREAD_MS))
                self._add_lacking()
            while self._pending:
                key, value = next(iter(self._pending.items()))
                try:
                    await self.store.put(
                        interfaces.Topic.QUARANTINE, key, value
                    )
                except interfaces.StoreError as error:
                    log.info("quarantine not recorded", error=str(error))
                    await self.clock.sleep_ms(RETRY_MS)
                    continue
                # A newer change may have arrived during the call.
                if self._pending.get(key) == value:
                    del self._pending[key]

    def _record_change(
        self, kind: str, parts: frozenset[str], held: bool
    ) -> None:
        names = sorted(parts)
        # The names may be longer than a key may be.
        named = names if kind == PARTS else [kind, names]
        key = xxhash.xxh64_hexdigest(json.dumps(named).encode())
        body = {
            "kind": kind,
            "parts": names,
            "began_ms": self.clock.wall_ms(),
        }
        self._pending[key] = json.dumps(body).encode() if held else None
        self._changed.set()

    def _record_restoration(
        self, lacking: list[interfaces.KeyedRecord]
    ) -> None:
        self._lacking = lacking
        if lacking:
            self._changed.set()

    def _add_lacking(self) -> None:
        for record in self._lacking:
            if self.feed.latest[record.key] == record:
                self._pending.setdefault(record.key, record.value)
        self._lacking = []

    def _apply(self, record: interfaces.KeyedRecord) -> None:
        if record.value is None:
            for tracker in self.quarantines.values():
                tracker.apply_record(record.key, frozenset(), 0)
            return
        try:
            body = json.loads(record.value)
            # Gateways before e81720f state no kind.
            tracker = self.quarantines[body.get("kind", PARTS)]
            parts = frozenset(fields.texts(body["parts"]))
            began_ms = fields.whole(body["began_ms"], high=MAX_TIME_MS)
            if not parts:
                raise ValueError("a quarantine without parts")
        except fields.PARSE_ERRORS:
            log.warning(
                "record skipped", key=record.key, reason="not a quarantine"
            )
            return
        tracker.apply_record(record.key, parts, began_ms)
