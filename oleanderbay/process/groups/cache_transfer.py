"""Copies prefix caches from a stopping group to one that takes over."""

import dataclasses

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks

BLOCK_TIMEOUT_MS = 2_000

# Limits how long the cache of one group can delay a planned change; checked
# after each block.
MAX_TRANSFER_MS = 10_000

# Only this many of the newest blocks are transferred.
MAX_BLOCKS = 512


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TransferCost:
    """Measured mean size and transfer time of a block.

    Attributes:
        bytes: Size of a block.
        transfer_ms: Time to export and import a block.
    """

    bytes: int
    transfer_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TransferResult:
    """Result of a cache transfer.

    Attributes:
        blocks: Number of blocks transferred.
        bytes: Total size of these blocks.
        reason: Why the transfer ended.
    """

    blocks: int
    bytes: int
    reason: str


def is_worthwhile(
    cost: TransferCost, prefill_block_ms: float, expected_hits: float
) -> bool:
    """Whether transferring a block is faster than computing it again.

    Args:
        cost: Measured transfer cost of a block.
        prefill_block_ms: Time in which an engine computes one block.
        expected_hits: Expected number of cache hits of a block after the
            transfer.
    """
    return (
        cost.bytes > 0 and cost.transfer_ms < prefill_block_ms * expected_hits
    )


async def cached_blocks(engine: native.ModelEngine) -> list[int]:
    """Returns the blocks in an engine's cache, most recently added first.

    The list is derived from the engine's cache events.

    Raises:
        native.PlatformError: The events cannot be read.
    """
    cached: dict[int, None] = {}
    async for event in engine.cache_events(0):
        for block in event.added:
            cached.pop(block, None)
            cached[block] = None
        for block in event.removed:
            cached.pop(block, None)
    return list(reversed(cached))


async def transfer(
    source: native.ModelEngine,
    target: native.ModelEngine,
    prefill_block_ms: float,
    clock: clocks.Clock,
    expected_hits: float = 1.0,
) -> TransferResult:
    """Copies cache blocks, newest first, while that saves time.

    The first block is always transferred, to measure the cost. The transfer
    continues while the mean cost so far stays below the time that a block is
    expected to save. A platform error ends the transfer and is not raised.
    """
    start_ms = clock.now_ms()
    block_count = total_bytes = 0
    try:
        blocks = await cached_blocks(source)
        for block in blocks[:MAX_BLOCKS]:
            data = await source.export_cache(block, BLOCK_TIMEOUT_MS)
            await target.import_cache(block, data, BLOCK_TIMEOUT_MS)
            block_count += 1
            total_bytes += len(data)
            elapsed_ms = clock.now_ms() - start_ms
            cost = TransferCost(
                bytes=total_bytes // block_count,
                transfer_ms=elapsed_ms / block_count,
            )
            if not is_worthwhile(cost, prefill_block_ms, expected_hits):
                return TransferResult(
                    blocks=block_count,
                    bytes=total_bytes,
                    reason=f"a block of {cost.bytes} bytes takes "
                    f"{cost.transfer_ms:.1f} ms and saves "
                    f"{prefill_block_ms * expected_hits:.1f} ms",
                )
            if elapsed_ms > MAX_TRANSFER_MS:
                return TransferResult(
                    blocks=block_count, bytes=total_bytes, reason="time limit"
                )
    except native.PlatformError as error:
        return TransferResult(
            blocks=block_count, bytes=total_bytes, reason=str(error)
        )
    return TransferResult(
        blocks=block_count, bytes=total_bytes, reason="all blocks moved"
    )
