"""Tests of several entries together, on a manual clock and without sockets."""

import asyncio

import pytest

from oleanderbay.native import interfaces as native
from oleanderbay.process import interfaces
from oleanderbay.process.membership import neighbours
from tests.process.configuration import cluster

FRESH = interfaces.Freshness.FRESH
OUTAGE = interfaces.Freshness.OUTAGE
CUT_OFF = interfaces.Freshness.CUT_OFF


def states(entries):
    return [node.state for node in entries.nodes.values()]


def digests(entries):
    return {
        (node.offset, node.replica.follower.current.digest)
        for node in entries.nodes.values()
    }


async def test_change_reaches_all_entries():
    """An accepted change must be in force everywhere with one digest."""
    async with cluster.Cluster(7) as entries:
        assert states(entries) == [FRESH] * 7
        offset = await entries.while_running(
            entries[0].replica.appender.append(
                "config", cluster.fleet_record(), "operator", 5_000
            )
        )
        follower = entries[0].replica.follower
        await entries.while_running(follower.wait_accepted(offset, 5_000))
        await entries.clock.advance(200)
        assert len(digests(entries)) == 1
        assert all(node.offset == 1 for node in entries.nodes.values())
        assert follower.current.find("fleet", "", "f") is not None


async def test_author_learns_of_the_majority_without_waiting_for_a_beat():
    """Operators must not wait half a second more for each change."""
    async with cluster.Cluster(7) as entries:
        for number in range(3):
            entries[number].log.cut = True
        await entries.clock.advance(5_000)
        await entries.while_running(
            entries[6].replica.appender.append(
                "config", cluster.fleet_record(), "operator", 5_000
            )
        )
        await entries.clock.advance(150)
        assert entries[6].replica.follower.is_accepted(1)
        assert len(digests(entries)) == 1


async def test_half_of_the_entries_cut_off_from_the_log_keep_up():
    """Entries without the log must get records and confirmations by peers."""
    async with cluster.Cluster(7) as entries:
        for number in range(3):
            entries[number].log.cut = True
        await entries.clock.advance(5_000)
        entries.log.append_now("config", cluster.fleet_record())
        await entries.clock.advance(1_500)
        assert len(digests(entries)) == 1
        assert entries[0].offset == 1
        assert states(entries) == [FRESH] * 7
        assert entries[0].replica.relay.pulled == 1


async def test_records_cross_bounded_links():
    """Entries beyond the full mesh must get records hop by hop."""
    async with cluster.Cluster(24, bounded=True) as entries:
        readers = neighbours.log_readers(
            entries[0].replica.members.known_zones()
        )
        assert len(readers) == 6
        for id, node in entries.nodes.items():
            node.log.cut = id not in readers
        await entries.clock.advance(2_000)
        entries.log.append_now("config", cluster.fleet_record())
        await entries.clock.advance(2_000)
        assert len(digests(entries)) == 1
        assert entries[0].offset == 1
        pulled = [n.replica.relay.pulled for n in entries.nodes.values()]
        assert sorted(pulled) == [0] * 6 + [1] * 18


async def test_log_outage_leaves_the_configuration_in_force():
    """Every entry stopping for a log outage would be an outage of its own."""
    async with cluster.Cluster(7) as entries:
        entries.log.append_now("config", cluster.fleet_record())
        await entries.clock.advance(1_000)
        entries.log.faults.down = True
        await entries.clock.advance(60_000)
        assert states(entries) == [OUTAGE] * 7
        with pytest.raises(native.PlatformUnavailableError):
            await entries.while_running(
                entries[0].replica.appender.append(
                    "config", cluster.team_record("t"), "operator", 2_000
                )
            )
        entries.log.faults.down = False
        await entries.clock.advance(2_000)
        assert states(entries) == [FRESH] * 7


async def test_minority_without_the_log_is_cut_off():
    """A minority can't know what the others have accepted meanwhile."""
    async with cluster.Cluster(7) as entries:
        for number in range(3):
            entries[number].log.cut = True
        entries.partition(range(3), range(3, 7))
        await entries.clock.advance(4_000)
        assert states(entries) == [CUT_OFF] * 3 + [FRESH] * 4
        entries.log.append_now("config", cluster.fleet_record())
        entries.partition()
        await entries.clock.advance(2_000)
        assert states(entries) == [FRESH] * 7
        assert entries[0].offset == 1


async def test_asymmetric_partition_does_not_confirm():
    """An entry that only hears but is not heard has no bounded ages."""
    async with cluster.Cluster(7) as entries:
        entries[0].log.cut = True
        entries.network.blocked = {("e0", f"e{n}") for n in range(1, 7)}
        await entries.clock.advance(5_000)
        assert entries[0].state is CUT_OFF
        assert len(entries[0].replica.members.live()) == 1
        assert len(entries[1].replica.members.live()) == 6


@pytest.mark.parametrize("log_down", [False, True])
async def test_entry_paused_for_a_minute_rechecks_its_leases(log_down):
    """The paused entry must not serve what it held before its pause."""
    async with cluster.Cluster(7) as entries:
        entries[0].clock.running.clear()
        await entries.clock.advance(30_000)
        entries.log.append_now("config", cluster.fleet_record())
        await entries.clock.advance(25_000)
        entries.log.faults.down = log_down
        await entries.clock.advance(5_000)
        assert entries[0].state is CUT_OFF
        entries[0].clock.running.set()
        # Messages that waited are read at once and must not count as new.
        for _ in range(200):
            await entries.clock.advance(5)
            assert entries[0].offset >= 1 or entries[0].state is CUT_OFF
        await entries.clock.advance(2_000)
        # An entry may have written a checkpoint in the meantime.
        assert entries[0].offset >= 1
        assert entries[0].state is (OUTAGE if log_down else FRESH)


async def test_entry_started_during_the_outage_takes_a_peer_snapshot():
    """A replaced entry must serve although the log is down."""
    async with cluster.Cluster(4) as entries:
        entries.log.append_now("config", cluster.fleet_record())
        await entries.clock.advance(1_000)
        entries.log.faults.down = True
        await entries.clock.advance(5_000)
        await entries.kill("e0")
        node = await entries.start("e0")
        assert node.state is CUT_OFF
        await entries.clock.advance(4_000)
        assert node.offset == 1
        assert node.state is OUTAGE
        assert len(digests(entries)) == 1


async def test_records_from_peers_may_overtake_the_bootstrap():
    """An entry that a peer's records overtook at start never served."""
    async with cluster.Cluster(3) as entries:
        entries.log.append_now("config", cluster.fleet_record())
        await entries.clock.advance(1_000)
        await entries.kill("e0")
        entries.log.faults.read_delay_ms = 1_400
        node = await entries.start("e0")
        await entries.clock.advance(1_000)
        assert node.offset == 1
        assert node.state is CUT_OFF
        await entries.clock.advance(6_000)
        assert node.state is FRESH


async def test_entry_without_log_and_peers_refuses_to_serve():
    """Without any state an entry would answer from an empty catalogue."""
    async with cluster.Cluster(0) as entries:
        entries.log.faults.down = True
        node = await entries.start("e0")
        await entries.clock.advance(10_000)
        assert node.state is CUT_OFF
        entries.log.faults.down = False
        await entries.clock.advance(5_000)
        assert node.state is FRESH


async def test_restart_of_a_majority_during_an_outage_does_not_vouch():
    """Restarted entries may lack what their earlier runs had accepted."""
    async with cluster.Cluster(7) as entries:
        # The change reaches e3 to e6 only and is thereby accepted.
        for number in range(3):
            entries[number].log.cut = True
        entries.partition(range(3), range(3, 7))
        entries.log.append_now("config", cluster.fleet_record())
        # Nobody waits for this record, so e3 learns by regular heartbeats.
        await entries.clock.advance(600)
        assert entries[3].replica.follower.is_accepted(1)
        entries.log.faults.down = True
        await entries.kill("e3")
        entries.partition((0, 1, 2, 3), (4, 5, 6))
        await entries.start("e3")
        for _ in range(100):
            await entries.clock.advance(100)
            if entries.clock.now_ms() > 8_200:
                assert [entries[n].state for n in range(4)] == [CUT_OFF] * 4


async def test_follower_tolerates_gaps_and_reordered_pages():
    """A record applied out of order would make entries differ for good."""
    async with cluster.Cluster(3) as entries:
        entries.log.faults.reorder_pages = True
        entries.log.faults.skip_records = 5
        entries.log.append_now("config", cluster.fleet_record())
        for number in range(20):
            entries.log.append_now(
                "config", cluster.team_record(f"t{number}", base=1)
            )
        entries.log.append_now("config", b"\x81")
        await entries.clock.advance(3_000)
        assert len(digests(entries)) == 1
        assert entries[0].offset == 22
        assert len(entries[0].replica.follower.current.all("team")) == 20
        assert states(entries) == [FRESH] * 3


async def test_slow_log_does_not_end_the_lease():
    """Waiting for new records on top of a slow answer exceeded the lease."""
    async with cluster.Cluster(3) as entries:
        entries.log.faults.read_delay_ms = 1_200
        entries.log.append_now("config", cluster.fleet_record())
        await entries.clock.advance(10_000)
        assert entries[0].offset == 1
        assert states(entries) == [FRESH] * 3


async def test_truncated_record_is_skipped_everywhere():
    """Every entry must skip the same records."""
    whole = cluster.fleet_record()
    async with cluster.Cluster(3) as entries:
        for length in range(0, len(whole), 7):
            entries.log.append_now("config", whole[:length])
        entries.log.append_now("config", whole)
        await entries.clock.advance(2_000)
        assert len(digests(entries)) == 1
        assert entries[0].replica.follower.current.get("fleet", "f")


async def test_diverged_entry_stops_serving():
    """An entry whose state differs must not serve it."""
    async with cluster.Cluster(4) as entries:
        entries.log.append_now("config", cluster.fleet_record())
        await entries.clock.advance(1_000)
        follower = entries[0].replica.follower
        follower._current = follower.current.remove("fleet", "f")
        entries.log.append_now("config", cluster.team_record("t", base=1))
        await entries.clock.advance(1_500)
        assert states(entries) == [CUT_OFF] + [FRESH] * 3


async def test_leaving_entry_shrinks_the_known_set():
    """An entry that left must not count against majorities for good."""
    async with cluster.Cluster(4) as entries:
        await entries.while_running(entries[3].replica.leave())
        await entries.clock.advance(1_000)
        members = entries[0].replica.members
        assert members.known_count() == 3
        assert [e.leaving for e in members.live()].count(True) == 1
        assert entries[3].state is FRESH


async def test_killed_entry_stays_known_until_the_list_drops_it():
    """Silence alone must not make a minority a majority."""
    async with cluster.Cluster(4) as entries:
        await entries.kill("e3")
        await entries.clock.advance(2_100)
        members = entries[0].replica.members
        assert len(members.live()) == 3
        assert members.known_count() == 4
        entries.instances.remove("e3")
        await entries.clock.advance(1_500)
        assert members.known_count() == 3
        assert members.view_confirmations(2_000) == 3


async def test_long_pages_let_other_tasks_run():
    """Streams must not wait while an entry applies hundreds of records."""
    async with cluster.Cluster(1) as entries:
        follower = entries[0].replica.follower
        records_ = [
            native.LogRecord(n, cluster.team_record(f"t{n}"))
            for n in range(1, 321)
        ]
        turns = 0

        async def other():
            nonlocal turns
            while follower.current.offset < 320:
                turns += 1
                await asyncio.sleep(0)

        _, applied = await asyncio.gather(
            other(), follower.catch_up(reversed(records_))
        )
        assert applied == 320
        assert turns >= 20


async def test_offsets_only_go_forward():
    """An older snapshot must never replace newer state."""
    async with cluster.Cluster(3) as entries:
        follower = entries[0].replica.follower
        old = follower.current
        entries.log.append_now("config", cluster.fleet_record())
        await entries.clock.advance(1_000)
        assert not follower.install(old)
        assert follower.current.offset == 1
