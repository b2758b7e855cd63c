"""Tests of the messages that judgements of groups travel in."""

import pytest

from oleanderbay.process.observation import members, sightings


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
