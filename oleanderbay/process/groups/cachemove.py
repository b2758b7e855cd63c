"""Moves prefix caches from a group that stops to one that takes over."""

import dataclasses

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks

BLOCK_TIMEOUT_MS = 2_000

# A planned change is not held up for longer than this by one group's cache.
MOVE_LIMIT_MS = 10_000

# Newest blocks that are moved at most.
MAX_BLOCKS = 512


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Measured size and time of moving one block.

    Attributes:
        bytes: Size of the block.
        moved_ms: Time to export and import it.
    """

    bytes: int
    moved_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Moved:
    """What was moved, and why not more.

    Attributes:
        blocks: Blocks moved.
        bytes: Their size.
        reason: Why it ended.
    """

    blocks: int
    bytes: int
    reason: str


def pays(sample: Sample, prefill_block_ms: float, reuses: float) -> bool:
    """Whether moving a block costs less than computing it again.

    Args:
        sample: Measured cost of one block.
        prefill_block_ms: Time that an engine takes to compute one block.
        reuses: How often a block is expected to be hit after the move.
    """
    return sample.bytes > 0 and sample.moved_ms < prefill_block_ms * reuses


async def cached_blocks(engine: native.ModelEngine) -> list[int]:
    """Returns the blocks that an engine's events name, newest first.

    Raises:
        native.PlatformError: The events could not be read.
    """
    held: dict[int, None] = {}
    async for event in engine.cache_events(0):
        for block in event.added:
            held.pop(block, None)
            held[block] = None
        for block in event.removed:
            held.pop(block, None)
    return list(reversed(held))


async def move(
    source: native.ModelEngine,
    target: native.ModelEngine,
    prefill_block_ms: float,
    clock: clocks.Clock,
    reuses: float = 1.0,
) -> Moved:
    """Moves blocks while that pays; faults only end the move.

    The first block is moved as a sample. Moving goes on while the cost
    measured so far stays below the time that the blocks save.
    """
    began_ms = clock.now_ms()
    count = size = 0
    try:
        blocks = await cached_blocks(source)
        for block in blocks[:MAX_BLOCKS]:
            data = await source.export_cache(block, BLOCK_TIMEOUT_MS)
            await target.import_cache(block, data, BLOCK_TIMEOUT_MS)
            count += 1
            size += len(data)
            spent_ms = clock.now_ms() - began_ms
            sample = Sample(bytes=size // count, moved_ms=spent_ms / count)
            if not pays(sample, prefill_block_ms, reuses):
                return Moved(
                    blocks=count,
                    bytes=size,
                    reason=f"a block of {sample.bytes} bytes takes "
                    f"{sample.moved_ms:.1f} ms and saves "
                    f"{prefill_block_ms * reuses:.1f} ms",
                )
            if spent_ms > MOVE_LIMIT_MS:
                return Moved(blocks=count, bytes=size, reason="time limit")
    except native.PlatformError as error:
        return Moved(blocks=count, bytes=size, reason=str(error))
    return Moved(blocks=count, bytes=size, reason="all blocks moved")
