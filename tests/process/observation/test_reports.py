"""Tests of the exchange of judgements between entries."""

import pytest

from oleanderbay.process.observation import group_states, reports
from tests.process import world as worlds


async def started(monkeypatch, full_groups):
    monkeypatch.setattr(reports, "FULL_UPDATE_MAX_GROUPS", full_groups)
    world = worlds.World(worlds.lines_of("ab", 2), worlds.items_of("ab", 2))
    await world.run(6_000)
    return world


@pytest.mark.parametrize("full_groups", [0, 32])
async def test_lost_update_leaves_no_group_out(monkeypatch, full_groups):
    """Guards against a lost message that takes groups out for good."""
    world = await started(monkeypatch, full_groups)
    for entry in world.entries:
        await entry.step()
        entry.outbox.clear()
    await world.run(1_500)
    assert len(world.offered_by_all()) == 2


@pytest.mark.parametrize("full_groups", [0, 32])
async def test_readers_gone_end_what_they_said(monkeypatch, full_groups):
    """Guards against a group offered on the word of a dead reader (P1)."""
    world = await started(monkeypatch, full_groups)
    world.entries[0].paused = world.entries[1].paused = True
    world.engines.clear()
    await world.clock.advance(group_states.GROUP_STATE_MAX_AGE_MS)
    assert not world.entries[2].eligible.upstreams("s")
