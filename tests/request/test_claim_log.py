"""Tests of claims in the log under failed appends and reads."""

import msgpack
import pytest

from oleanderbay.request import idempotency, keys, outcome
from tests.request import keyed_world as worlds

Refusal = outcome.Refusal
Reason = outcome.Reason


async def test_tickets_work_while_the_log_is_down(world):
    """Only keys without a ticket need the log; they are refused as not run."""
    world.log.down = True
    assert isinstance(
        await world.claim_key("s1", world.ticketed_key()), idempotency.Claim
    )
    result = await world.claim_key("s1", world.timestamped_key())
    assert result.reason is Reason.LOG_UNAVAILABLE
    assert result.outcome is outcome.Outcome.NOT_RUN


@pytest.mark.parametrize("fault", ("lose", "lost_before"))
async def test_failed_append_never_leads_to_two_runs(world, fault):
    """The append fails, before or after the claim got into the log.

    The request is refused and its claim released, so that the key can be
    claimed once more.
    """
    key = world.timestamped_key()
    setattr(world.log, fault, 1)
    result = await world.claim_key("s1", key)
    assert result.reason is Reason.LOG_UNAVAILABLE
    await world.send_outcomes()
    assert isinstance(await world.claim_key("s2", key), idempotency.Claim)
    assert isinstance(await world.claim_key("s0", key), Refusal)


async def test_delayed_append_of_a_released_claim_has_no_effect(world):
    """A claim that is appended after its release must not hold the key."""
    key = world.timestamped_key()
    world.log.lost_before = 1
    appended = []
    append = world.log.append

    async def recording_append(stream, data, use, timeout_ms):
        appended.append(data)
        return await append(stream, data, use, timeout_ms)

    world.entries["s1"].claim_log.appender = type(
        "A", (), {"append": recording_append}
    )
    await world.claim_key("s1", key)
    await world.send_outcomes()
    world.log.streams["claims"].append(appended[0])
    assert isinstance(await world.claim_key("s2", key), idempotency.Claim)


async def test_new_entry_finds_an_old_claim_in_a_long_log(world):
    """An entry must read the claims since the key's issue, and only those."""
    key = world.timestamped_key()
    claim = await world.claim_key("s0", key)
    claim.record_response(worlds.RESPONSE)
    await world.send_outcomes()
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
    replay = await world.claim_key("s2", key)
    assert isinstance(replay, idempotency.Replay)
    reads = world.log.reads
    newer = keys.parse_key("s", "n", str(world.clock.wall_ms()))
    world.cluster.add("s9")
    world.attach("s9")
    await world.claim_key("s9", newer)
    assert world.log.reads - reads < 20


async def test_old_key_is_refused_after_records_expired(world):
    """An expired claim may have been the one that ran the request."""
    key = world.timestamped_key()
    await world.claim_key("s0", key)
    world.clock.set_ms(world.clock.now_ms() + 200_000)
    await world.advance(500)
    await world.claim_key("s0", world.timestamped_key("other"))
    world.log.first = 2
    result = await world.claim_key("s2", key)
    assert result.reason is Reason.KEY_EXPIRED


async def test_malformed_records_are_skipped(world):
    """A malformed record must not block all requests with a key."""
    good = world.entries["s0"].claim_log._encode("claim", "x", 7)
    world.log.streams["claims"] = [b"\xc1", msgpack.packb(3), b"", good]
    assert isinstance(
        await world.claim_key("s1", world.timestamped_key()), idempotency.Claim
    )
