"""Tests of checkpoints and of starting from them."""

import dataclasses

import pytest

from oleanderbay.process import interfaces
from oleanderbay.process.configuration import bootstrap
from oleanderbay.standins import log
from oleanderbay.version import apply, catalogue, checkpoint
from tests.process.configuration import cluster

SETTINGS = cluster.limits(retention_ms=64_000)


def fill(state, count):
    """Appends a fleet and teams; returns the state after them."""
    current = catalogue.Catalogue.empty()
    data = [cluster.fleet_record()]
    data += [cluster.team_record(f"t{n}", base=1) for n in range(count)]
    for item in data:
        offset = state.append_now("config", item)
        current, _ = apply.apply_record(current, offset, item)
    return current


def loader(entries):
    return bootstrap.Bootstrap(log.LogClient(entries.log), None, None)


async def test_newest_complete_checkpoint_whose_tail_is_held():
    """Incomplete and delayed checkpoints must not be started from."""
    async with cluster.Cluster(0) as entries:
        old = fill(entries.log, 3)
        assert (await loader(entries).from_log()).offset == 0
        for data in checkpoint.dump(old, part_bytes=100):
            entries.log.append_now("config", data)
        current = fill(entries.log, 2)
        newer = dataclasses.replace(
            old, offset=entries.log.stream("config").end - 1
        )
        parts = checkpoint.dump(newer, part_bytes=100)
        assert len(parts) > 1
        for data in parts[:-1]:
            entries.log.append_now("config", data)
        loaded = await loader(entries).from_log()
        assert (loaded.offset, loaded.digest) == (old.offset, old.digest)
        entries.log.append_now("config", parts[-1])
        loaded = await loader(entries).from_log()
        assert loaded.offset == newer.offset
        # The old one arrives again, late; its tail has expired.
        for data in checkpoint.dump(old, part_bytes=100):
            entries.log.append_now("config", data)
        entries.log.expire("config", old.offset + 2)
        loaded = await loader(entries).from_log()
        assert loaded.offset == newer.offset
        assert current is not None


async def test_expired_log_without_checkpoint_gives_no_state():
    """An empty state would lose everything that was accepted."""
    async with cluster.Cluster(0) as entries:
        fill(entries.log, 3)
        entries.log.expire("config", 3)
        assert await loader(entries).from_log() is None


async def test_left_out_records_do_not_hide_a_checkpoint():
    """A page with a gap must be read again, and not for ever."""
    async with cluster.Cluster(0) as entries:
        state = fill(entries.log, 3)
        for data in checkpoint.dump(state):
            entries.log.append_now("config", data)
        entries.log.faults.skip_records = 5
        assert (await loader(entries).from_log()).offset == state.offset
        entries.log.faults.skip_records = 1_000
        with pytest.raises(Exception, match="leaves out"):
            await loader(entries).from_log()


async def test_checkpoint_is_written_by_one_entry_at_half_retention():
    """Records must not expire before a checkpoint covers them."""
    async with cluster.Cluster(5, settings=SETTINGS) as entries:
        entries.log.retention_ms = SETTINGS.retention_ms
        fill(entries.log, 3)
        await entries.clock.advance(200_000)
        written = [
            n.replica.checkpoints.written for n in entries.nodes.values()
        ]
        assert 5 <= sum(written) <= 9
        stream = entries.log.stream("config")
        assert stream.first > 4
        node = await entries.start("e5")
        await entries.clock.advance(3_000)
        assert len(node.replica.follower.current.all("team")) == 3
        assert node.state is interfaces.Freshness.FRESH


async def test_log_down_for_longer_than_the_retention():
    """Entries must keep the state, and give it to a new entry afterwards."""
    async with cluster.Cluster(3, settings=SETTINGS) as entries:
        entries.log.retention_ms = SETTINGS.retention_ms
        fill(entries.log, 3)
        await entries.clock.advance(1_000)
        entries.log.faults.down = True
        await entries.clock.advance(100_000)
        assert entries[0].state is interfaces.Freshness.OUTAGE
        entries.log.faults.down = False
        assert not entries.log.stream("config").records
        await entries.kill("e2")
        node = await entries.start("e2")
        await entries.clock.advance(5_000)
        assert len(node.replica.follower.current.all("team")) == 3
        assert node.state is interfaces.Freshness.FRESH


async def test_entry_cut_off_for_longer_than_the_retention():
    """A follower whose next record has expired must not stop for good."""
    async with cluster.Cluster(3) as entries:
        entries[0].log.cut = True
        entries.partition([0], [1, 2])
        fill(entries.log, 5)
        await entries.clock.advance(1_000)
        entries.log.expire("config", 6)
        for node in list(entries.nodes.values())[1:]:
            node.replica.follower._recent.clear()
        entries[0].log.cut = False
        entries.partition()
        await entries.clock.advance(4_000)
        assert entries[0].offset == 6
        assert entries[0].state is interfaces.Freshness.FRESH


async def test_damaged_snapshot_of_a_peer_is_refused():
    """A state that does not match its digest must not be served."""
    async with cluster.Cluster(2) as entries:
        fill(entries.log, 3)
        await entries.clock.advance(1_000)
        loader = entries[0].replica.loader
        state = await entries.while_running(loader.from_peers())
        assert state.offset == 4
        relay = entries[1].replica.relay
        for offset, (made_ms, _, parts) in list(relay._snapshots.items()):
            relay._snapshots[offset] = (made_ms, "00" * 16, parts)
        assert await entries.while_running(loader.from_peers()) is None
