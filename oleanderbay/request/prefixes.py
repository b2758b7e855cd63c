"""Index of the prompt prefixes that upstreams hold in their caches."""

import collections
import random
from collections.abc import Callable, Iterable, Sequence

import xxhash

from oleanderbay.native import interfaces

# Size of a block of prompt bytes that is hashed as a unit.
BLOCK_BYTES = 512


def block_hashes(
    prompt: bytes, block_bytes: int = BLOCK_BYTES, max_blocks: int = 64
) -> tuple[int, ...]:
    """Hashes a prompt in full blocks.

    Each hash covers its block and all blocks before it.
    """
    hashes = []
    state = xxhash.xxh3_64()
    blocks = min(len(prompt) // block_bytes, max_blocks)
    for index in range(blocks):
        state.update(prompt[index * block_bytes : (index + 1) * block_bytes])
        hashes.append(state.intdigest())
    return tuple(hashes)


class _HolderSet:
    """Set of upstream ids that supports random sampling by position.

    Adding, discarding and accessing an id by position take O(1).
    """

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


class _CachedBlocks:
    """Cached blocks of one upstream.

    Attributes:
        blocks: Block hashes, least recently used first.
        sequence: Sequence number of the last event that was applied.
        stale: Whether events were missed and a resync is pending.
    """

    __slots__ = ("blocks", "sequence", "stale")

    def __init__(self) -> None:
        self.blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.sequence = 0
        self.stale = False


class PrefixIndex:
    """Index of cached prefix blocks, with a limit per upstream.

    Attributes:
        request_resync: Called with an upstream's id when events of its cache
            were missed; the reader of its events then calls `replace`.
        max_blocks_per_upstream: Maximum number of blocks per upstream; the
            least recently used ones are evicted.
    """

    def __init__(
        self,
        rng: random.Random,
        request_resync: Callable[[str], None],
        max_blocks_per_upstream: int = 4_096,
    ) -> None:
        self.request_resync = request_resync
        self.max_blocks_per_upstream = max_blocks_per_upstream
        self._rng = rng
        self._upstreams: dict[str, _CachedBlocks] = {}
        self._holders: dict[int, _HolderSet] = {}

    def apply(self, upstream: str, event: interfaces.CacheEvent) -> bool:
        """Applies a cache event; returns False if it was not applied.

        An event that was already applied is ignored. A gap marks the upstream
        as stale and removes its blocks, since the missed events may have
        removed blocks.
        """
        cached = self._upstreams.setdefault(upstream, _CachedBlocks())
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

    def check_sequence(self, upstream: str, sequence: int) -> None:
        """Detects a restarted engine by the sequence number of a load report.

        A number lower than that of the last applied event means that the
        engine restarted, so the upstream is marked as stale. A higher number
        is no sign of a lost event, since the report may arrive first.
        """
        cached = self._upstreams.get(upstream)
        if cached is not None and sequence < cached.sequence:
            self._mark_stale(upstream, cached)

    def replace(
        self, upstream: str, sequence: int, blocks: Iterable[int]
    ) -> None:
        """Replaces all blocks of an upstream after a resync."""
        self.remove_upstream(upstream)
        cached = self._upstreams[upstream] = _CachedBlocks()
        cached.sequence = sequence
        for block in blocks:
            self._add(upstream, cached, block)

    def remove_upstream(self, upstream: str) -> None:
        """Removes an upstream, for example when its start id has changed."""
        cached = self._upstreams.pop(upstream, None)
        if cached is not None:
            self._clear(upstream, cached)

    def record_sent_prefix(self, upstream: str, prefix: Sequence[int]) -> None:
        """Adds a prefix that the upstream is about to compute.

        Cache events arrive with a delay. Without this, a burst of requests
        with the same prefix would be spread over all upstreams before the
        first event arrives.
        """
        cached = self._upstreams.setdefault(upstream, _CachedBlocks())
        # Leading blocks are added last and so become the most recently used
        # ones. Like an engine, the index then evicts the end of a prefix
        # before its beginning.
        if not cached.stale:
            for block in reversed(prefix):
                self._add(upstream, cached, block)

    def is_stale(self, upstream: str) -> bool:
        """Whether the upstream is stale and needs a resync."""
        cached = self._upstreams.get(upstream)
        return cached is not None and cached.stale

    def count_cached_blocks(self, upstream: str, prefix: Sequence[int]) -> int:
        """Returns how many leading blocks of a prefix the upstream holds.

        A block is useful only together with all blocks before it. Engines
        evict the last blocks of a prefix first, so a binary search finds the
        boundary.
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

    def find_holders(self, prefix: Sequence[int], count: int = 2) -> list[str]:
        """Returns random holders of the longest indexed part of a prefix.

        Args:
            prefix: Hashes of the prefix's blocks.
            count: Maximum number of holders.
        """
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

    def last_sequence(self, upstream: str) -> int:
        """Returns the sequence number of the last applied event."""
        cached = self._upstreams.get(upstream)
        return cached.sequence if cached else 0

    def upstream_ids(self) -> tuple[str, ...]:
        """Returns the ids of the upstreams that this entry sent prompts to."""
        return tuple(self._upstreams)

    def block_count(self, upstream: str) -> int:
        """Returns the number of indexed blocks of an upstream."""
        cached = self._upstreams.get(upstream)
        return len(cached.blocks) if cached else 0

    def _mark_stale(self, upstream: str, cached: _CachedBlocks) -> None:
        self._clear(upstream, cached)
        cached.stale = True
        self.request_resync(upstream)

    def _clear(self, upstream: str, cached: _CachedBlocks) -> None:
        for block in list(cached.blocks):
            self._remove(upstream, cached, block)

    def _add(self, upstream: str, cached: _CachedBlocks, block: int) -> None:
        if block in cached.blocks:
            cached.blocks.move_to_end(block)
            return
        if len(cached.blocks) >= self.max_blocks_per_upstream:
            oldest = next(iter(cached.blocks))
            self._remove(upstream, cached, oldest)
        cached.blocks[block] = None
        self._holders.setdefault(block, _HolderSet()).add(upstream)

    def _remove(self, upstream: str, cached: _CachedBlocks, block: int) -> None:
        if block not in cached.blocks:
            return
        del cached.blocks[block]
        holders = self._holders[block]
        holders.discard(upstream)
        if not holders.ids:
            del self._holders[block]
