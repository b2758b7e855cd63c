"""Tests of positions across restorations of the store."""

import hypothesis
import pytest
from hypothesis import strategies

from oleanderbay.gateway import positions

ERAS = strategies.integers(0, 1 << 20)
OFFSETS = strategies.integers(0, (1 << positions.OFFSET_BITS) - 1)


@hypothesis.given(ERAS, OFFSETS, ERAS, OFFSETS)
def test_positions_compare_by_era_first(era, offset, other_era, other_offset):
    """A lower offset of a later era belongs to a newer record."""
    first = positions.combine(era, offset)
    second = positions.combine(other_era, other_offset)
    assert (first < second) == ((era, offset) < (other_era, other_offset))
    assert positions.era_of(first) == era
    assert positions.number_in_era(first) == offset


def test_position_before_the_first_answer_stays_negative():
    """Feeds start there, and must take any record for newer."""
    assert positions.combine(3, -1) == positions.number_in_era(-1) == -1
    assert positions.era_of(-1) == 0


def test_messages_of_earlier_versions_hold_offsets_of_the_first_era():
    """Otherwise gateways of different versions could not run together."""
    offsets = {"workers": positions.combine(2, 7), "configuration": -1}
    body = positions.split_offsets(offsets)
    assert body["offsets"] == {"workers": 7, "configuration": -1}
    assert positions.parse_offsets(body) == offsets
    assert positions.parse_offsets({"offsets": {"workers": 7}}) == {
        "workers": 7
    }


@pytest.mark.parametrize("era", [0, 1, 8_000])
def test_epochs_of_groups_stay_exact_in_json(era):
    """Workers may read numbers as floating point."""
    generation = positions.combine(
        era, (1 << positions.GENERATION_BITS) - 1, positions.GENERATION_BITS
    )
    epoch = generation << 16
    assert int(float(epoch)) == epoch
