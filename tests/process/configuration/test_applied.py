"""Tests of waiting for what became of a record."""

from oleanderbay.process.configuration import applied
from oleanderbay.version import records
from tests.process.configuration import cluster


async def test_verdict_of_an_own_record_can_be_awaited():
    """A proposer learns the result by reading its own record back."""
    async with cluster.Cluster(3) as entries:
        verdicts = applied.AppliedVerdicts(
            entries[0].replica.follower, entries.clock
        )
        data = cluster.fleet_record()
        entries.log.append_now("config", data)
        record_id = records.decode(data).id
        verdict = await entries.while_running(
            verdicts.wait_verdict(record_id, 5_000)
        )
        assert verdict.accepted
        again = await verdicts.wait_verdict(record_id, 5_000)
        assert again.accepted
        unknown = await entries.while_running(verdicts.wait_verdict("00", 500))
        assert unknown is None
