"""Updates the prefix index from the cache events of engines in use."""

import mode
import structlog

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.observation import engines
from oleanderbay.request import prefixes
from oleanderbay.version import resources

log = structlog.get_logger()

POLL_INTERVAL_MS = 1_000

# Engines read in one poll. The limit bounds the cost per entry regardless of
# the number of groups; the remaining engines are read in later polls.
MAX_READS_PER_POLL = 16


class CacheFeed(mode.Service):  # type: ignore[misc]
    """Reads cache events of the upstreams that this entry sends prompts to.

    An engine is read only if its load report shows events that the index has
    not applied, or after a gap in the sequence.

    Attributes:
        index: The prefix index.
        read_count: Number of reads from engines.
    """

    def __init__(
        self,
        index: prefixes.PrefixIndex,
        catalogue: interfaces.CatalogueSource,
        eligible: interfaces.EligibleUpstreams,
        engine_factory: engines.EngineFactory,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self.index = index
        self.read_count = 0
        self._catalogue = catalogue
        self._eligible = eligible
        self._engine_factory = engine_factory
        self._clock = clock
        self._engines: dict[str, native.ModelEngine] = {}
        self._start_ids: dict[str, str] = {}
        self._pending_resyncs: set[str] = set()
        self._next_read = 0

    def schedule_resync(self, upstream: str) -> None:
        """Schedules a full reload of an upstream whose events were missed."""
        self._pending_resyncs.add(upstream)

    async def poll(self) -> None:
        """Reads the events of at most `MAX_READS_PER_POLL` upstreams."""
        upstreams = self._indexed_upstreams()
        await self._remove_stale(upstreams)
        due = [u for u in upstreams.values() if self._needs_read(u)]
        self._next_read = self._next_read % len(due) if due else 0
        for upstream in (due[self._next_read :] + due[: self._next_read])[
            :MAX_READS_PER_POLL
        ]:
            self._next_read += 1
            try:
                await self._read(upstream)
            except native.PlatformError as error:
                # Routing continues with the outdated index.
                log.info(
                    "reading cache events failed",
                    upstream=upstream.id,
                    error=str(error),
                )

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.poll()
            await self._clock.sleep_ms(POLL_INTERVAL_MS)

    async def on_stop(self) -> None:
        """Closes the connections to engines."""
        for id in list(self._engines):
            await self._close_engine(id)

    def _indexed_upstreams(self) -> dict[str, interfaces.Upstream]:
        indexed = set(self.index.upstream_ids())
        return {
            upstream.id: upstream
            for service in self._catalogue.current.all("service")
            if isinstance(service, resources.Service)
            and service.kind is resources.ServiceKind.MODEL
            for upstream in self._eligible.upstreams(service.id)
            if upstream.id in indexed
        }

    async def _remove_stale(
        self, upstreams: dict[str, interfaces.Upstream]
    ) -> None:
        for id in self.index.upstream_ids():
            upstream = upstreams.get(id)
            start_id = self._start_ids.get(id)
            if upstream is None or start_id not in (None, upstream.start_id):
                # The group is gone, or its engine restarted with an empty
                # cache.
                self.index.remove_upstream(id)
                self._pending_resyncs.discard(id)
                self._start_ids.pop(id, None)
                await self._close_engine(id)

    def _needs_read(self, upstream: interfaces.Upstream) -> bool:
        if upstream.id in self._pending_resyncs:
            return True
        load = self._eligible.load(upstream.id)
        if load is None:
            return False
        self.index.check_sequence(upstream.id, load.cache_sequence)
        return load.cache_sequence != self.index.last_sequence(upstream.id)

    async def _read(self, upstream: interfaces.Upstream) -> None:
        self.read_count += 1
        self._start_ids[upstream.id] = upstream.start_id
        engine = self._engines.get(upstream.id)
        if engine is None:
            engine = self._engine_factory(upstream.address)
            self._engines[upstream.id] = engine
        if upstream.id not in self._pending_resyncs:
            since = self.index.last_sequence(upstream.id)
            async for event in engine.cache_events(since):
                if not self.index.apply(upstream.id, event):
                    break
        if upstream.id in self._pending_resyncs:
            await self._reload(upstream.id, engine)

    async def _reload(self, id: str, engine: native.ModelEngine) -> None:
        """Rebuilds the index of an upstream from all events of its engine.

        Blocks that were added before the oldest retained event are then
        missing, which only lowers the hit rate.
        """
        blocks: dict[int, None] = {}
        sequence = 0
        async for event in engine.cache_events(0):
            sequence = event.sequence
            blocks.update(dict.fromkeys(event.added))
            for block in event.removed:
                blocks.pop(block, None)
        self.index.replace(id, sequence, blocks)
        self._pending_resyncs.discard(id)

    async def _close_engine(self, id: str) -> None:
        engine = self._engines.pop(id, None)
        if engine is not None:
            await engines.close_engine(engine)
