"""Tests of claims in the log under failed appends and reads."""

import msgpack
import pytest

from oleanderbay.request import idempotency, keys, outcome
from tests.request import idempotency_harness

Refusal = outcome.Refusal
Reason = outcome.Reason


async def test_tickets_work_while_the_log_is_down(harness):
    """Only keys without a ticket need the log; they are refused as not run."""
    harness.log.down = True
    assert isinstance(
        await harness.claim_key("s1", harness.ticketed_key()), idempotency.Claim
    )
    result = await harness.claim_key("s1", harness.timestamped_key())
    assert result.reason is Reason.LOG_UNAVAILABLE
    assert result.outcome is outcome.Outcome.NOT_RUN


@pytest.mark.parametrize("fault", ("lose", "lost_before"))
async def test_failed_append_never_leads_to_two_runs(harness, fault):
    """The append fails, before or after the claim got into the log.

    The request is refused and its claim released, so that the key can be
    claimed once more.
    """
    key = harness.timestamped_key()
    setattr(harness.log, fault, 1)
    result = await harness.claim_key("s1", key)
    assert result.reason is Reason.LOG_UNAVAILABLE
    await harness.send_outcomes()
    assert isinstance(await harness.claim_key("s2", key), idempotency.Claim)
    assert isinstance(await harness.claim_key("s0", key), Refusal)


async def test_delayed_append_of_a_released_claim_has_no_effect(harness):
    """A claim that is appended after its release must not hold the key."""
    key = harness.timestamped_key()
    harness.log.lost_before = 1
    appended = []
    append = harness.log.append

    async def recording_append(stream, data, use, timeout_ms):
        appended.append(data)
        return await append(stream, data, use, timeout_ms)

    harness.entries["s1"].claim_log.appender = type(
        "A", (), {"append": recording_append}
    )
    await harness.claim_key("s1", key)
    await harness.send_outcomes()
    harness.log.streams["claims"].append(appended[0])
    assert isinstance(await harness.claim_key("s2", key), idempotency.Claim)


async def test_new_entry_finds_an_old_claim_in_a_long_log(harness):
    """An entry must read the claims since the key's issue, and only those."""
    key = harness.timestamped_key()
    claim = await harness.claim_key("s0", key)
    claim.record_response(idempotency_harness.RESPONSE)
    await harness.send_outcomes()
    for index in range(2_000):
        other = keys.parse_key("s", f"o{index}", str(harness.clock.wall_ms()))
        fields = {"key": other.id, "digest": idempotency_harness.DIGEST}
        data = harness.entries["s0"].claim_log._encode(
            "claim", f"c{index}", fields
        )
        await harness.log.append("claims", data, "claim", 1_000)
        if index % 20 == 0:
            harness.clock.set_ms(harness.clock.now_ms() + 10_000)
    await harness.advance(500)
    replay = await harness.claim_key("s2", key)
    assert isinstance(replay, idempotency.Replay)
    reads = harness.log.reads
    newer = keys.parse_key("s", "n", str(harness.clock.wall_ms()))
    harness.cluster.add("s9")
    harness.attach("s9")
    await harness.claim_key("s9", newer)
    assert harness.log.reads - reads < 20


async def test_old_key_is_refused_after_records_expired(harness):
    """An expired claim may have been the one that ran the request."""
    key = harness.timestamped_key()
    await harness.claim_key("s0", key)
    harness.clock.set_ms(harness.clock.now_ms() + 200_000)
    await harness.advance(500)
    await harness.claim_key("s0", harness.timestamped_key("other"))
    harness.log.first = 2
    result = await harness.claim_key("s2", key)
    assert result.reason is Reason.KEY_EXPIRED


async def test_malformed_records_are_skipped(harness):
    """A malformed record must not block all requests with a key."""
    good = harness.entries["s0"].claim_log._encode("claim", "x", 7)
    harness.log.streams["claims"] = [b"\xc1", msgpack.packb(3), b"", good]
    assert isinstance(
        await harness.claim_key("s1", harness.timestamped_key()),
        idempotency.Claim,
    )
