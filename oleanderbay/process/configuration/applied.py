"""What became of a record, once this entry has applied it."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.version import catalogue, verdicts


class WholeCatalogueSource(Protocol):
    """A `CatalogueSource` whose catalogue also knows applied records."""

    @property
    def current(self) -> catalogue.Catalogue:
        """The catalogue in force."""
        ...

    def on_change(
        self, callback: Callable[[interfaces.CatalogueView], None]
    ) -> None:
        """Calls back after each new offset was applied."""
        ...


class AppliedVerdicts:
    """Verdicts read from the catalogue that a source has in force."""

    def __init__(
        self, source: WholeCatalogueSource, clock: clocks.Clock
    ) -> None:
        self.source = source
        self.clock = clock
        self.waiters: dict[str, list[asyncio.Future[verdicts.Verdict]]] = {}
        self.seen = source.current.offset
        source.on_change(self._changed)

    async def wait_verdict(
        self, record_id: str, timeout_ms: int
    ) -> verdicts.Verdict | None:
        """Returns the verdict; None if there is none in time."""
        verdict = self.source.current.verdict(record_id)
        if verdict is not None or timeout_ms <= 0:
            return verdict
        waiter: asyncio.Future[verdicts.Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiters.setdefault(record_id, []).append(waiter)
        timer = asyncio.ensure_future(self.clock.sleep_ms(timeout_ms))
        try:
            await asyncio.wait(
                (waiter, timer), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
            await asyncio.gather(timer, return_exceptions=True)
            rest = self.waiters[record_id]
            rest.remove(waiter)
            if not rest:
                del self.waiters[record_id]
        return waiter.result() if waiter.done() else None

    def _changed(self, view: interfaces.CatalogueView) -> None:
        current = self.source.current
        ids: Iterable[str | None] = tuple(self.waiters)
        if current.offset - self.seen < len(self.waiters):
            # In a burst many calls wait; only new records can end a wait.
            ids = (
                current.applied_order.get(offset)
                for offset in range(self.seen + 1, current.offset + 1)
            )
        self.seen = current.offset
        for record_id in ids:
            waiters = self.waiters.get(record_id or "")
            verdict = current.verdict(record_id) if record_id else None
            if verdict is None or waiters is None:
                continue
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(verdict)
