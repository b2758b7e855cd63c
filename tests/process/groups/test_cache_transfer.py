"""Moves of prefix caches, decided from measured sizes."""

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
    ends = [world.engine(by_zone[z].members[0]) for z in ("za", "zb")]
    return world, *ends


@pytest.mark.parametrize(("move_ms", "moved"), [(1, 5), (50, 1)])
async def test_moves_while_it_pays(move_ms, moved):
    """Guards against a move that costs more than computing again."""
    world, source, target = await two_groups()
    source.use_cache((1, 2, 3, 4, 5))
    world.block_move_ms = move_ms
    entry = world.entries[0]
    done = await cache_transfer.transfer(
        entry.engine_at(source.instance),
        entry.engine_at(target.instance),
        5.0,
        world.clock,
    )
    assert done.blocks == len(target.cache) == moved


async def test_newest_blocks_first_and_removed_ones_not_at_all():
    """Guards against time spent on blocks that are not cached any more."""
    world, source, _ = await two_groups(cache_blocks=2)
    for block in (1, 2, 3):
        source.use_cache((block,))
    client = world.entries[0].engine_at(source.instance)
    assert await cache_transfer.cached_blocks(client) == [3, 2]


async def test_drain_moves_the_cache_of_its_groups():
    """Guards against a drain that forgets the prefix cache."""
    world, source, target = await two_groups()
    source.use_cache((1, 2))
    world.change(id="c", kind=resources.ChangeKind.DRAIN_ZONE, zone="za")
    await world.run(5_000)
    assert sorted(target.cache) == [1, 2]


async def test_unreachable_target_ends_the_move():
    """Guards against a planned change that stops at a failed move."""
    world, source, target = await two_groups()
    source.use_cache((1,))
    target.down = True
    entry = world.entries[0]
    done = await cache_transfer.transfer(
        entry.engine_at(source.instance),
        entry.engine_at(target.instance),
        5.0,
        world.clock,
    )
    assert (done.blocks, done.reason) == (0, f"{target.instance} is down")
