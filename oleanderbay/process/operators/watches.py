"""Streams of configuration updates to operators."""

import asyncio
import collections
import dataclasses
from collections.abc import AsyncGenerator, Iterator

from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.configuration import applied
from oleanderbay.version import resources

MAX_WATCHES = 64

# Changes within this time are sent as one event. Finding what changed costs
# time proportional to the kinds that did, so a burst must not repeat it.
COALESCE_MS = 100

# An event this long stays far below the message limit of 4 MB.
EVENT_ITEMS = 1_000

# Catalogues share most of their memory. Those whose offsets were sent are
# kept, so that a client can resume with what was deleted meanwhile.
HISTORY_LENGTH = 120


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Update:
    """What changed between two offsets.

    Attributes:
        offset: Offset to resume from; 0 if more of this update follows.
        initial: Whether it starts with the whole state.
        upserts: Resources that are new or changed.
        deletes: Kind and id of resources that are gone.
    """

    offset: int
    initial: bool = False
    upserts: tuple[resources.Resource, ...] = ()
    deletes: tuple[tuple[str, str], ...] = ()


class TooManyWatchesError(Exception):
    """The limit of concurrent watches is reached."""


class Watches:
    """All watches of one entry."""

    def __init__(
        self, source: applied.WholeCatalogueSource, clock: clocks.Clock
    ) -> None:
        self.source = source
        self.clock = clock
        self.sent: collections.OrderedDict[int, interfaces.CatalogueView] = (
            collections.OrderedDict()
        )
        self.events: set[asyncio.Event] = set()
        source.on_change(self._changed)

    async def watch(
        self, kinds: frozenset[str], after_offset: int
    ) -> AsyncGenerator[Update, None]:
        """Yields the state and then updates, until it is closed.

        Args:
            kinds: Kinds of interest; empty for all.
            after_offset: Offset of the last update that was handled; 0 for
                the whole state.

        Raises:
            TooManyWatchesError: Too many watches are open.
        """
        if len(self.events) >= MAX_WATCHES:
            raise TooManyWatchesError(f"{MAX_WATCHES} watches are open")
        event = asyncio.Event()
        self.events.add(event)
        try:
            last = self.sent.get(after_offset)
            while True:
                event.clear()
                current = self.source.current
                # A client that comes from an entry that was ahead waits, so
                # that it never sees an older state.
                if current.offset >= after_offset and (
                    last is None or last.offset != current.offset
                ):
                    self._keep(current)
                    for update in _updates(last, current, kinds):
                        yield update
                    last = current
                await event.wait()
                await self.clock.sleep_ms(COALESCE_MS)
        finally:
            self.events.discard(event)

    def _keep(self, view: interfaces.CatalogueView) -> None:
        self.sent[view.offset] = view
        self.sent.move_to_end(view.offset)
        while len(self.sent) > HISTORY_LENGTH:
            self.sent.popitem(last=False)

    def _changed(self, view: interfaces.CatalogueView) -> None:
        for event in self.events:
            event.set()


def _updates(
    last: interfaces.CatalogueView | None,
    current: interfaces.CatalogueView,
    kinds: frozenset[str],
) -> Iterator[Update]:
    upserts: list[resources.Resource] = []
    deletes: list[tuple[str, str]] = []
    for kind in resources.RESOURCE_KINDS:
        if kinds and kind not in kinds:
            continue
        new = current.all(kind)
        old = last.all(kind) if last is not None else ()
        if old is new:
            continue
        before = {resource.id: resource for resource in old}
        for resource in new:
            if before.pop(resource.id, None) != resource:
                upserts.append(resource)
        deletes += [(kind, id) for id in before]
    initial = last is None
    for start in range(0, max(1, len(upserts)), EVENT_ITEMS):
        stop = start + EVENT_ITEMS
        is_last = stop >= len(upserts)
        yield Update(
            offset=current.offset if is_last else 0,
            initial=initial and start == 0,
            upserts=tuple(upserts[start:stop]),
            deletes=tuple(deletes) if is_last else (),
        )
