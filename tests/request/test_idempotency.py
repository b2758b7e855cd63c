"""Tests that the request of a key runs at most once."""

import asyncio

import pytest

from oleanderbay.process import interfaces
from oleanderbay.request import claims, idempotency, keys, outcome
from tests.request import idempotency_harness

Refusal = outcome.Refusal
Reason = outcome.Reason


@pytest.fixture(params=("ticket", "log"))
def key(request, harness):
    """A key with a ticket, and one without, which is claimed in the log."""
    return (
        harness.ticketed_key()
        if request.param == "ticket"
        else harness.timestamped_key()
    )


async def test_same_key_on_three_entries_at_once(harness, key):
    """A caller may retry at all of its entries; only one may run it."""
    results = await harness.wait(
        asyncio.gather(
            *(
                entry.claim_key(key, idempotency_harness.DIGEST, 60_000)
                for entry in harness.entries.values()
            )
        )
    )
    claimed = [r for r in results if isinstance(r, idempotency.Claim)]
    refused = [r for r in results if isinstance(r, Refusal)]
    assert len(claimed) == 1
    assert [r.reason for r in refused] == [Reason.KEY_IN_PROGRESS] * 2
    assert all(r.outcome is outcome.Outcome.UNKNOWN for r in refused)


async def test_recorded_response_is_replayed(harness, key):
    """A retry after a lost response must get that response, not a new run."""
    claim = await harness.claim_key("s1", key)
    claim.record_response(idempotency_harness.RESPONSE)
    await harness.send_outcomes()
    for id in harness.entries:
        replay = await harness.claim_key(id, key)
        assert isinstance(replay, idempotency.Replay)
        assert replay.record == claims.OutcomeRecord(
            outcome.Outcome.ANSWERED, idempotency_harness.RESPONSE
        )


async def test_large_response_is_recorded_without_its_body(harness, key):
    """Large responses would fill the memory and the log."""
    claim = await harness.claim_key("s1", key)
    claim.record_response(claims.StoredResponse(status=200, body=bytes(20_000)))
    await harness.send_outcomes()
    replay = await harness.claim_key("s2", key)
    assert replay.record == claims.OutcomeRecord(outcome.Outcome.ANSWERED, None)


async def test_different_request_with_the_same_key_is_refused(harness, key):
    """A reused key must not get the response to another request."""
    await harness.claim_key("s1", key)
    result = await harness.claim_key(
        "s2", key, keys.request_digest("POST", "/x", b"")
    )
    assert result.reason is Reason.KEY_REUSED
    assert result.outcome is outcome.Outcome.NOT_RUN


async def test_entry_killed_before_it_records_the_outcome(harness, key):
    """The request may have run, so it must not run again."""
    await harness.claim_key("s1", key)
    harness.cluster.kill("s1")
    await harness.advance(3_000)
    for id in ("s0", "s2"):
        result = await harness.claim_key(id, key)
        assert result.reason is Reason.KEY_LOST
        assert result.outcome is outcome.Outcome.UNKNOWN


async def test_released_key_can_be_claimed_again(harness, key):
    """A request that reached no upstream must not use up the key."""
    claim = await harness.claim_key("s1", key)
    claim.release()
    await harness.send_outcomes()
    again = await harness.claim_key("s2", key)
    assert isinstance(again, idempotency.Claim)
    again.record_unknown()
    await harness.send_outcomes()
    replay = await harness.claim_key("s0", key)
    assert replay.record.outcome is outcome.Outcome.UNKNOWN


async def test_outcome_is_unknown_after_loss_of_home_entry(harness):
    """Another entry has no record of whether the request ran."""
    key = harness.ticketed_key("s0")
    harness.cluster.kill("s0")
    result = await harness.claim_key("s1", key)
    assert result.reason is Reason.KEY_LOST
    assert result.outcome is outcome.Outcome.UNKNOWN


async def test_claim_is_released_after_timeout_of_home_entry(harness):
    """The home entry recorded the claim, but its response was lost.

    The request was not sent, so the claim must not block the key.
    """
    key = harness.ticketed_key("s0")
    harness.cluster.cut("s0", "s1", both=False)
    assert isinstance(await harness.claim_key("s1", key), Refusal)
    harness.cluster.heal()
    await harness.send_outcomes()
    assert isinstance(await harness.claim_key("s2", key), idempotency.Claim)


async def test_expired_keys_are_refused(harness):
    """A key that was removed from the table would run a second time."""
    ticket, logged = harness.ticketed_key(), harness.timestamped_key()
    for key in (ticket, logged):
        claim = await harness.claim_key("s0", key)
        claim.record_response(idempotency_harness.RESPONSE)
    harness.clock.set_ms(harness.clock.now_ms() + 600_000)
    await harness.advance(500)
    result = await harness.claim_key("s1", ticket)
    assert result.reason is Reason.KEY_EXPIRED
    assert len(harness.entries["s0"].claim_table) == 0
    harness.clock.set_ms(86_400_000 + 1_000)
    await harness.advance(500)
    result = await harness.claim_key("s1", logged)
    assert result.reason is Reason.KEY_EXPIRED
    assert result.outcome is outcome.Outcome.UNKNOWN


async def test_forged_time_of_issue_is_refused(harness):
    """A key with a future time of issue would outlive its recorded outcome."""
    ticket = keys.Ticket(start_id="s0", issued_ms=10**9, nonce="n")
    key = keys.parse_key("s", f"{ticket}:k")
    assert (await harness.claim_key("s0", key)).reason is Reason.KEY_EXPIRED
    key = keys.parse_key("s", "k", str(harness.clock.wall_ms() + 10**6))
    assert (await harness.claim_key("s0", key)).reason is Reason.BAD_REQUEST


async def test_malformed_peer_messages_are_refused(harness):
    """Malformed messages must raise PeerError, which the peer receives."""
    node = harness.cluster.nodes["s0"]
    for kind in ("claim", "outcome"):
        for body in (None, 3, [1], [[1, 2, 3]], [1, 2, 3, 4, 5]):
            with pytest.raises(interfaces.PeerError):
                await node.handlers[kind](node.me, body)
