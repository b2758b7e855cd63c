"""Records of quarantined prompt parts in the store.

They tell all gateways of a quarantine at once, and those that start later.
"""

import asyncio
import json

import structlog
import xxhash

from oleanderbay.gateway import feed, interfaces, quarantine
from oleanderbay.process import clock as clocks

RETRY_MS = 500
# A read waits long at the store, since there are hardly ever new records.
WAIT_MS = 10_000

log = structlog.get_logger()


class QuarantineRecords:
    """Keeps the quarantine and its records in the store consistent.

    Attributes:
        feed: Reads the records.
    """

    def __init__(
        self,
        store: interfaces.Store,
        clock: clocks.Clock,
        prompt_quarantine: quarantine.PromptQuarantine,
    ) -> None:
        self.store = store
        self.clock = clock
        self.quarantine = prompt_quarantine
        self.feed = feed.Feed(
            store,
            interfaces.Topic.QUARANTINE,
            clock,
            self._apply,
            WAIT_MS,
            0,
        )
        self._pending: dict[str, bytes | None] = {}
        self._changed = asyncio.Event()
        prompt_quarantine.on_change = self._record_change

    async def run(self) -> None:
        """Writes changes of the quarantine to the store until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
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

    def _record_change(self, parts: frozenset[str], held: bool) -> None:
        names = sorted(parts)
        # The names may be longer than a key may be.
        key = xxhash.xxh64_hexdigest(json.dumps(names).encode())
        body = {"parts": names, "began_ms": self.clock.wall_ms()}
        self._pending[key] = json.dumps(body).encode() if held else None
        self._changed.set()

    def _apply(self, record: interfaces.KeyedRecord) -> None:
        if record.value is None:
            self.quarantine.apply_record(record.key, frozenset(), 0)
            return
        try:
            body = json.loads(record.value)
            parts = frozenset(map(str, body["parts"]))
            began_ms = int(body["began_ms"])
        except (ValueError, KeyError, TypeError, OverflowError):
            log.warning(
                "record skipped", key=record.key, reason="not a quarantine"
            )
            return
        self.quarantine.apply_record(record.key, parts, began_ms)
