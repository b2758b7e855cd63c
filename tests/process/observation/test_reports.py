"""Exchange of what readers say between entries."""

import pytest

from oleanderbay.process.observation import members, reports, sightings
from tests.process import world as worlds


async def started(monkeypatch, full_groups):
    monkeypatch.setattr(reports, "FULL_UPDATE_GROUPS", full_groups)
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
    await world.clock.advance(sightings.JUDGEMENT_MAX_AGE_MS)
    assert not world.entries[2].eligible.upstreams("s")


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"origin": "e", "sequence": "x"},
        {
            "origin": "e",
            "sequence": 1,
            "age_ms": 0,
            "full": True,
            "groups": {"g": [1, "ok"]},
            "gone": [],
            "idle": {},
        },
    ],
)
def test_malformed_update(body):
    """Guards against a malformed message that ends the peer's link."""
    with pytest.raises(sightings.SightingError):
        sightings.Sightings().apply_update(body, 0)


def test_state_survives_packing():
    """Guards against a field that peers read as another one."""
    state = members.GroupState(
        epoch=3,
        status=members.Status.SILENT,
        reason="a0: no recent report",
        missing={"a0": (700, False)},
        time_per_token_ms=2.5,
        slow="a1",
        age_ms=40,
    )
    assert sightings.unpack_state(sightings.pack_state(state)) == state
