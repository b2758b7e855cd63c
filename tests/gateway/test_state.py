"""Tests of what is in force."""

from oleanderbay.gateway import interfaces
from tests.gateway import parts


def test_a_version_replaces_the_former_as_a_whole():
    """A mix of two versions would refuse requests that both allow."""
    known = parts.GatewayParts()
    newer = parts.tables(version=2, services=(parts.PLAIN,))
    known.configure(newer)
    assert known.state.table is newer


def test_a_version_never_reverts():
    """An older record, by offset or by version, must change nothing."""
    known = parts.GatewayParts()
    known.configure(parts.tables(version=5))
    for offset, version in ((known.offset, 6), (1, 7), (99, 4)):
        known.state.configuration_changed(
            known.decoder.record(offset, "config", parts.tables(version))
        )
        assert known.state.table.version == 5
    known.state.configuration_changed(
        interfaces.KeyedRecord(100, "config", None)
    )
    assert known.state.table.version == 5


def test_a_damaged_configuration_leaves_the_former_in_force():
    """All requests would be refused for one damaged record."""
    known = parts.GatewayParts()
    known.configure("damaged")
    assert known.state.table.version == 1 and known.state.skipped == 1
    known.configure(parts.tables(version=2))
    assert known.state.table.version == 2


def test_a_damaged_worker_record_identifies_no_worker():
    """The others stay, and the worker returns with its next record."""
    known = parts.GatewayParts()
    known.add(parts.worker("a"), parts.worker("b", cold_ms=500))
    revision = known.state.revision
    known.state.worker_changed(known.decoder.record(9, "a", "damaged"))
    assert set(known.state.workers) == {"b"}
    assert known.state.revision > revision
    known.add(parts.worker("a"))
    assert set(known.state.workers) == {"a", "b"}
    known.drop("b")
    assert [w.id for w in known.state.of_service("plain")] == ["a"]


async def test_a_cold_start_ends_by_itself():
    """A worker's next record may be late."""
    known = parts.GatewayParts()
    cold = parts.worker("a", cold_ms=500)
    known.add(cold)
    assert known.state.cold(cold)
    await known.clock.advance(500)
    assert not known.state.cold(cold)


def test_evacuations_come_and_go_and_foreign_keys_do_nothing():
    """A foreign key must not empty a zone."""
    known = parts.GatewayParts()
    for offset, key, value in (
        (5, "zone/z1", b"1"),
        (6, "foreign", b"1"),
        (7, "zone/z2", b"1"),
        (8, "zone/z1", None),
    ):
        known.state.configuration_changed(
            interfaces.KeyedRecord(offset, key, value)
        )
    assert known.state.evacuated == {"z2"}


def test_what_only_repeats_the_last_record_is_told():
    """Others would not hear of a drain, or hear each heartbeat."""
    known = parts.GatewayParts()

    def repeats(made, key="a"):
        return known.state.worker_changed(known.decoder.record(9, key, made))

    ready, cold = parts.worker("a"), parts.worker("a", cold_ms=2_000)
    assert not repeats(ready) and repeats(ready)
    assert not repeats(parts.worker("a", draining=True))
    assert not repeats(cold)
    known.clock.set_ms(600)
    assert repeats(parts.worker("a", cold_ms=1_400))
    assert not repeats(cold) and not repeats(parts.worker("a", cold_ms=900))
    assert not repeats(ready) and not repeats("damaged") and repeats("damaged")
    assert not repeats(ready)
    dropped = interfaces.KeyedRecord(10, "a", None)
    assert not known.state.worker_changed(dropped)
    assert known.state.worker_changed(dropped)
