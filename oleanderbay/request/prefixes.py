"""Which upstream has which prompt prefix in its cache."""

import collections
import random
from collections.abc import Callable, Iterable, Sequence

import xxhash

from oleanderbay.native import interfaces

BLOCK_BYTES = 512


def block_hashes(
    prompt: bytes, block_bytes: int = BLOCK_BYTES, max_blocks: int = 64
) -> tuple[int, ...]:
    """Returns one hash per full block; each covers all bytes before it."""
    hashes = []
    state = xxhash.xxh3_64()
    blocks = min(len(prompt) // block_bytes, max_blocks)
    for index in range(blocks):
        state.update(prompt[index * block_bytes : (index + 1) * block_bytes])
        hashes.append(state.intdigest())
    return tuple(hashes)


class _Holders:
    """A set of upstream ids that a random one can be taken from in O(1)."""

    __slots__ = ("ids", "positions")

    def __init__(self) -> None:
        self.ids: list[str] = []
        self.positions: dict[str, int] = {}

    def add(self, upstream: str) -> None:
        if upstream not in self.positions:
            self.positions[upstream] = len(self.ids)
            self.ids.append(upstream)

    def discard(self, upstream: str) -> None:
        position = self.positions.pop(upstream, None)
        if position is None:
            return
        last = self.ids.pop()
        if last != upstream:
            self.ids[position] = last
            self.positions[last] = position


class _Cached:
    """Blocks of one upstream, least recently used first."""

    __slots__ = ("blocks", "sequence", "stale")

    def __init__(self) -> None:
        self.blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.sequence = 0
        self.stale = False


class PrefixIndex:
    """Index of cached prefix blocks, bounded for each upstream.

    Attributes:
        resync: Called with an upstream's id when its cache events have a gap;
            the reader of its events then calls `replace`.
    """

    def __init__(
        self,
        rng: random.Random,
        resync: Callable[[str], None],
        max_blocks_per_upstream: int = 4_096,
    ) -> None:
        self.resync = resync
        self.max_blocks_per_upstream = max_blocks_per_upstream
        self._rng = rng
        self._upstreams: dict[str, _Cached] = {}
        self._holders: dict[int, _Holders] = {}

    def apply(self, upstream: str, event: interfaces.CacheEvent) -> bool:
        """Applies a cache event; returns False if it was not applied.

        An event that was seen before is ignored. A gap marks the upstream
        stale: its blocks are dropped, since removals may have been missed.
        """
        cached = self._upstreams.setdefault(upstream, _Cached())
        if cached.stale or event.sequence <= cached.sequence:
            return False
        if event.sequence != cached.sequence + 1:
            self._mark_stale(upstream, cached)
            return False
        cached.sequence = event.sequence
        for block in event.removed:
            self._remove(upstream, cached, block)
        for block in reversed(event.added):
            self._add(upstream, cached, block)
        return True

    def expect(self, upstream: str, sequence: int) -> None:
        """Takes the newest sequence of a load report as a sign of loss.

        A report that names events which have not arrived may only be ahead
        of them; one with a lower number means that the engine restarted.
        """
        cached = self._upstreams.get(upstream)
        if cached is not None and sequence < cached.sequence:
            self._mark_stale(upstream, cached)

    def replace(
        self, upstream: str, sequence: int, blocks: Iterable[int]
    ) -> None:
        """Sets the whole content of an upstream's cache after a resync."""
        self.forget(upstream)
        cached = self._upstreams[upstream] = _Cached()
        cached.sequence = sequence
        for block in blocks:
            self._add(upstream, cached, block)

    def forget(self, upstream: str) -> None:
        """Drops an upstream, for example when its start id has changed."""
        cached = self._upstreams.pop(upstream, None)
        if cached is not None:
            self._clear(upstream, cached)

    def sent(self, upstream: str, prefix: Sequence[int]) -> None:
        """Notes a prefix that the upstream is about to compute.

        Cache events arrive late, so without this a burst with one prefix
        would be spread over all upstreams before the first event.
        """
        cached = self._upstreams.setdefault(upstream, _Cached())
        # Leading blocks are touched last: the index, like an engine, then
        # forgets the end of a prefix before its beginning.
        if not cached.stale:
            for block in reversed(prefix):
                self._add(upstream, cached, block)

    def is_stale(self, upstream: str) -> bool:
        """Whether the upstream waits for a resync."""
        cached = self._upstreams.get(upstream)
        return cached is not None and cached.stale

    def overlap(self, upstream: str, prefix: Sequence[int]) -> int:
        """Returns how many leading blocks the upstream holds.

        A block is only of use with all blocks before it and engines evict
        the last blocks first, so a binary search finds the boundary.
        """
        cached = self._upstreams.get(upstream)
        if cached is None or not prefix:
            return 0
        blocks = cached.blocks
        low, high = 0, len(prefix)
        while low < high:
            middle = (low + high + 1) // 2
            if prefix[middle - 1] in blocks:
                low = middle
            else:
                high = middle - 1
        return low

    def best(self, prefix: Sequence[int], count: int = 2) -> list[str]:
        """Returns a few random holders of the longest known prefix."""
        low, high = 0, len(prefix)
        while low < high:
            middle = (low + high + 1) // 2
            if prefix[middle - 1] in self._holders:
                low = middle
            else:
                high = middle - 1
        if low == 0:
            return []
        ids = self._holders[prefix[low - 1]].ids
        if len(ids) <= count:
            return list(ids)
        return self._rng.sample(ids, count)

    def sequence(self, upstream: str) -> int:
        """Returns the number of the newest event that was applied."""
        cached = self._upstreams.get(upstream)
        return cached.sequence if cached else 0

    def known(self) -> tuple[str, ...]:
        """Returns the upstreams that this entry has sent prompts to."""
        return tuple(self._upstreams)

    def block_count(self, upstream: str) -> int:
        """Returns the number of blocks known of an upstream."""
        cached = self._upstreams.get(upstream)
        return len(cached.blocks) if cached else 0

    def _mark_stale(self, upstream: str, cached: _Cached) -> None:
        self._clear(upstream, cached)
        cached.stale = True
        self.resync(upstream)

    def _clear(self, upstream: str, cached: _Cached) -> None:
        for block in list(cached.blocks):
            self._remove(upstream, cached, block)

    def _add(self, upstream: str, cached: _Cached, block: int) -> None:
        if block in cached.blocks:
            cached.blocks.move_to_end(block)
            return
        if len(cached.blocks) >= self.max_blocks_per_upstream:
            oldest = next(iter(cached.blocks))
            self._remove(upstream, cached, oldest)
        cached.blocks[block] = None
        self._holders.setdefault(block, _Holders()).add(upstream)

    def _remove(self, upstream: str, cached: _Cached, block: int) -> None:
        if block not in cached.blocks:
            return
        del cached.blocks[block]
        holders = self._holders[block]
        holders.discard(upstream)
        if not holders.ids:
            del self._holders[block]
