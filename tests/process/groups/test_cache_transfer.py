"""Tests of prefix cache transfers, which depend on measured costs."""

import pytest

from oleanderbay.process.groups import cache_transfer
from oleanderbay.version import resources
from tests.process import world as worlds


async def two_groups(**options):
    world = worlds.World(
        worlds.lines_of("ab", 2), worlds.items_of("ab", 2), **options
    )
    await world.run(6_000)
    by_zone = {group.zone: group for group in world.groups()}
    engines = [world.engine(by_zone[z].members[0]) for z in ("za", "zb")]
    return world, *engines


@pytest.mark.parametrize(("move_ms", "expected"), [(1, 5), (50, 1)])
async def test_transfers_while_worthwhile(move_ms, expected):
    """The transfer must end once computing blocks anew would be faster."""
    world, source, target = await two_groups()
    source.use_cache((1, 2, 3, 4, 5))
    world.block_move_ms = move_ms
    entry = world.entries[0]
    result = await cache_transfer.transfer(
        entry.engine_at(source.instance),
        entry.engine_at(target.instance),
        5.0,
        world.clock,
    )
    assert result.blocks == len(target.cache) == expected


async def test_newest_blocks_first_and_removed_ones_not_at_all():
    """No time may be spent on blocks that are no longer cached."""
    world, source, _ = await two_groups(cache_blocks=2)
    for block in (1, 2, 3):
        source.use_cache((block,))
    client = world.entries[0].engine_at(source.instance)
    assert await cache_transfer.cached_blocks(client) == [3, 2]


async def test_drain_transfers_the_cache_of_its_groups():
    """A drain must transfer the prefix caches of its groups."""
    world, source, target = await two_groups()
    source.use_cache((1, 2))
    world.change(id="c", kind=resources.ChangeKind.DRAIN_ZONE, zone="za")
    await world.run(5_000)
    assert sorted(target.cache) == [1, 2]


async def test_unreachable_target_ends_the_transfer():
    """A failed transfer must not stop the planned change."""
    world, source, target = await two_groups()
    source.use_cache((1,))
    target.down = True
    entry = world.entries[0]
    result = await cache_transfer.transfer(
        entry.engine_at(source.instance),
        entry.engine_at(target.instance),
        5.0,
        world.clock,
    )
    assert (result.blocks, result.reason) == (0, f"{target.instance} is down")
