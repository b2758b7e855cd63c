"""Several owners of one domain, with orders and records that come late."""

import collections

import pytest

from tests.gateway import group_faults


# Workers were told to join another group because of a record, a peer's word or
# a memory of the owner, while the head of their group served.
@pytest.mark.parametrize(
    "seed", [23, 83, 174, 185, 191, 217, 231, 241, 263, *range(1, 10)]
)
async def test_no_worker_joins_a_group_while_its_former_group_serves(seed):
    rig = await group_faults.play(seed)
    assert not rig.violations
    accepted = collections.Counter(
        line.split()[1] for _, line in rig.trace if line.endswith("begun")
    )
    assert accepted["join"] and accepted["open"]
