"""Tests of the exchange of group states between entries."""

import pytest

from oleanderbay.process.observation import group_states, reports
from tests.process import world as worlds


async def start_world(monkeypatch, full_groups):
    monkeypatch.setattr(reports, "FULL_UPDATE_MAX_GROUPS", full_groups)
    world = worlds.World(worlds.lines_of("ab", 2), worlds.items_of("ab", 2))
    await world.run(6_000)
    return world


@pytest.mark.parametrize("full_groups", [0, 32])
async def test_lost_update_leaves_no_group_out(monkeypatch, full_groups):
    """A lost update must not make groups ineligible for good."""
    world = await start_world(monkeypatch, full_groups)
    for entry in world.entries:
        await entry.step()
        entry.outbox.clear()
    await world.run(1_500)
    assert len(world.offered_by_all()) == 2


@pytest.mark.parametrize("full_groups", [0, 32])
async def test_states_of_dead_readers_expire(monkeypatch, full_groups):
    """A group must not stay eligible by the states of a dead reader (P1)."""
    world = await start_world(monkeypatch, full_groups)
    world.entries[0].paused = world.entries[1].paused = True
    world.engines.clear()
    await world.clock.advance(group_states.GROUP_STATE_MAX_AGE_MS)
    assert not world.entries[2].eligible.upstreams("s")
