"""Tests of the encoding and exchange of group states."""

import pytest

from oleanderbay.process.observation import group_states, members


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
    """A malformed update must raise `InvalidUpdateError`.

    Any other exception would end the link to the peer.
    """
    with pytest.raises(group_states.InvalidUpdateError):
        group_states.GroupStates().apply_update(body, 0)


def test_pack_and_unpack_state():
    """Peers must not mistake one field of a group state for another."""
    state = members.GroupState(
        epoch=3,
        status=members.Status.SILENT,
        reason="a0: no recent report",
        missing={"a0": (700, False)},
        time_per_token_ms=2.5,
        slow="a1",
        age_ms=40,
    )
    assert group_states.unpack_state(group_states.pack_state(state)) == state
