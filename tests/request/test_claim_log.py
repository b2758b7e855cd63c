"""Tests of claims in the log: faults of appends and of reads."""

import msgpack
import pytest

from oleanderbay.request import idempotency, keys, outcome
from tests.request import keyed_world as worlds

Refusal = outcome.Refusal
Reason = outcome.Reason


async def test_tickets_work_while_the_log_is_down(world):
    """Ticketed keys need no append; others are refused as not run."""
    world.log.down = True
    assert isinstance(
        await world.begin("s1", world.ticketed()), idempotency.Claim
    )
    result = await world.begin("s1", world.logged())
    assert result.reason is Reason.LOG_UNAVAILABLE
    assert result.outcome is outcome.Outcome.NOT_RUN


@pytest.mark.parametrize("fault", ("lose", "lost_before"))
async def test_lost_append_answer_never_leads_to_two_runs(world, fault):
    """The claim may or may not be in the log; this request is not sent."""
    key = world.logged()
    setattr(world.log, fault, 1)
    result = await world.begin("s1", key)
    assert result.reason is Reason.LOG_UNAVAILABLE
    await world.step()
    assert isinstance(await world.begin("s2", key), idempotency.Claim)
    assert isinstance(await world.begin("s0", key), Refusal)


async def test_delayed_append_of_a_released_claim_has_no_effect(world):
    """A claim that lands after its release would hold the key for good."""
    key = world.logged()
    world.log.lost_before = 1
    sent = []
    append = world.log.append

    async def capture(stream, data, use, timeout_ms):
        sent.append(data)
        return await append(stream, data, use, timeout_ms)

    world.entries["s1"].claim_log.appender = type("A", (), {"append": capture})
    await world.begin("s1", key)
    await world.step()
    world.log.streams["claims"].append(sent[0])
    assert isinstance(await world.begin("s2", key), idempotency.Claim)


async def test_new_entry_finds_an_old_claim_in_a_long_log(world):
    """An entry that starts later must read back to the key's issue."""
    key = world.logged()
    claim = await world.begin("s0", key)
    claim.answered(worlds.ANSWER)
    await world.step()
    for index in range(2_000):
        other = keys.parse_key("s", f"o{index}", str(world.clock.wall_ms()))
        fields = {"key": other.id, "digest": worlds.DIGEST}
        data = world.entries["s0"].claim_log._encode(
            "claim", f"c{index}", fields
        )
        await world.log.append("claims", data, "claim", 1_000)
        if index % 20 == 0:
            world.clock.set_ms(world.clock.now_ms() + 10_000)
    await world.advance(500)
    replay = await world.begin("s2", key)
    assert isinstance(replay, idempotency.Replay)
    reads = world.log.reads
    newer = keys.parse_key("s", "n", str(world.clock.wall_ms()))
    world.cluster.add("s9")
    world.attach("s9")
    await world.begin("s9", newer)
    assert world.log.reads - reads < 20


async def test_expired_records_make_an_old_key_unknown(world):
    """Claims that the log has dropped may have run the call."""
    key = world.logged()
    await world.begin("s0", key)
    world.clock.set_ms(world.clock.now_ms() + 200_000)
    await world.advance(500)
    await world.begin("s0", world.logged("other"))
    world.log.first = 2
    result = await world.begin("s2", key)
    assert result.reason is Reason.KEY_EXPIRED


async def test_malformed_records_are_skipped(world):
    """One broken record must not stop every call with a key."""
    good = world.entries["s0"].claim_log._encode("claim", "x", 7)
    world.log.streams["claims"] = [b"\xc1", msgpack.packb(3), b"", good]
    assert isinstance(
        await world.begin("s1", world.logged()), idempotency.Claim
    )
