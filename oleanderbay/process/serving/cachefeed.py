"""Keeps the prefix index in step with the caches of engines in use."""

import mode
import structlog

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.observation import engines
from oleanderbay.request import prefixes
from oleanderbay.version import resources

log = structlog.get_logger()

INTERVAL_MS = 1_000

# Engines asked in one interval. It bounds what an entry spends on caches,
# however many groups there are; the others have their turn later.
MAX_READS = 16


class CacheFeed(mode.Service):  # type: ignore[misc]
    """Reads cache events of the upstreams that this entry sends prompts to.

    An engine is asked only if its load report names events that the index
    lacks, or after a gap.

    Attributes:
        index: The prefix index.
        reads: How often an engine was asked.
    """

    def __init__(
        self,
        index: prefixes.PrefixIndex,
        catalogue: interfaces.CatalogueSource,
        eligible: interfaces.EligibleUpstreams,
        engine_at: engines.EngineFactory,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self.index = index
        self.reads = 0
        self._catalogue = catalogue
        self._eligible = eligible
        self._engine_at = engine_at
        self._clock = clock
        self._engines: dict[str, native.ModelEngine] = {}
        self._starts: dict[str, str] = {}
        self._gaps: set[str] = set()
        self._turn = 0

    def resync(self, upstream: str) -> None:
        """Notes that events of an upstream were missed."""
        self._gaps.add(upstream)

    async def step(self) -> None:
        """Reads the events of a bounded number of upstreams."""
        upstreams = self._in_use()
        await self._forget_others(upstreams)
        due = [u for u in upstreams.values() if self._is_due(u)]
        self._turn = self._turn % len(due) if due else 0
        for upstream in (due[self._turn :] + due[: self._turn])[:MAX_READS]:
            self._turn += 1
            try:
                await self._read(upstream)
            except native.PlatformError as error:
                # Without events the index only ages; routing goes on.
                log.info(
                    "cache events not read",
                    upstream=upstream.id,
                    error=str(error),
                )

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.step()
            await self._clock.sleep_ms(INTERVAL_MS)

    async def on_stop(self) -> None:
        """Closes the connections to engines."""
        for id in list(self._engines):
            await self._close_engine(id)

    def _in_use(self) -> dict[str, interfaces.Upstream]:
        known = set(self.index.upstream_ids())
        return {
            upstream.id: upstream
            for service in self._catalogue.current.all("service")
            if isinstance(service, resources.Service)
            and service.kind is resources.ServiceKind.MODEL
            for upstream in self._eligible.upstreams(service.id)
            if upstream.id in known
        }

    async def _forget_others(
        self, upstreams: dict[str, interfaces.Upstream]
    ) -> None:
        for id in self.index.upstream_ids():
            upstream = upstreams.get(id)
            started = self._starts.get(id)
            if upstream is None or started not in (None, upstream.start_id):
                # A group that left, or whose engine restarted with an empty
                # cache.
                self.index.remove_upstream(id)
                self._gaps.discard(id)
                self._starts.pop(id, None)
                await self._close_engine(id)

    def _is_due(self, upstream: interfaces.Upstream) -> bool:
        if upstream.id in self._gaps:
            return True
        load = self._eligible.load(upstream.id)
        if load is None:
            return False
        self.index.check_sequence(upstream.id, load.cache_sequence)
        return load.cache_sequence != self.index.last_sequence(upstream.id)

    async def _read(self, upstream: interfaces.Upstream) -> None:
        self.reads += 1
        self._starts[upstream.id] = upstream.start_id
        engine = self._engines.get(upstream.id)
        if engine is None:
            engine = self._engine_at(upstream.address)
            self._engines[upstream.id] = engine
        if upstream.id not in self._gaps:
            since = self.index.last_sequence(upstream.id)
            async for event in engine.cache_events(since):
                if not self.index.apply(upstream.id, event):
                    break
        if upstream.id in self._gaps:
            await self._replace(upstream.id, engine)

    async def _replace(self, id: str, engine: native.ModelEngine) -> None:
        """Builds the content anew from the events that the engine holds.

        Blocks that were added before the oldest event are missing then, which
        lowers hits and nothing else.
        """
        held: dict[int, None] = {}
        sequence = 0
        async for event in engine.cache_events(0):
            sequence = event.sequence
            held.update(dict.fromkeys(event.added))
            for block in event.removed:
                held.pop(block, None)
        self.index.replace(id, sequence, held)
        self._gaps.discard(id)

    async def _close_engine(self, id: str) -> None:
        engine = self._engines.pop(id, None)
        if engine is not None:
            await engines.close_engine(engine)
