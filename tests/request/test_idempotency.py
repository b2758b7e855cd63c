"""Tests that the request of a key runs at most once."""

import asyncio

import pytest

from oleanderbay.process import interfaces
from oleanderbay.request import claims, idempotency, keys, outcome
from tests.request import keyed_world as worlds

Refusal = outcome.Refusal
Reason = outcome.Reason


@pytest.fixture(params=("ticket", "log"))
def key(request, world):
    """A key with a ticket, and one without, which is claimed in the log."""
    return (
        world.ticketed_key()
        if request.param == "ticket"
        else world.timestamped_key()
    )


async def test_same_key_on_three_entries_at_once(world, key):
    """A caller may retry at all of its entries; only one may run it."""
    results = await world.wait(
        asyncio.gather(
            *(
                entry.claim_key(key, worlds.DIGEST, 60_000)
                for entry in world.entries.values()
            )
        )
    )
    claimed = [r for r in results if isinstance(r, idempotency.Claim)]
    refused = [r for r in results if isinstance(r, Refusal)]
    assert len(claimed) == 1
    assert [r.reason for r in refused] == [Reason.KEY_IN_PROGRESS] * 2
    assert all(r.outcome is outcome.Outcome.UNKNOWN for r in refused)


async def test_recorded_response_is_replayed(world, key):
    """A retry after a lost response must get that response, not a new run."""
    claim = await world.claim_key("s1", key)
    claim.record_response(worlds.RESPONSE)
    await world.send_outcomes()
    for id in world.entries:
        replay = await world.claim_key(id, key)
        assert isinstance(replay, idempotency.Replay)
        assert replay.record == claims.OutcomeRecord(
            outcome.Outcome.ANSWERED, worlds.RESPONSE
        )


async def test_large_response_is_recorded_without_its_body(world, key):
    """Large responses would fill the memory and the log."""
    claim = await world.claim_key("s1", key)
    claim.record_response(claims.StoredResponse(status=200, body=bytes(20_000)))
    await world.send_outcomes()
    replay = await world.claim_key("s2", key)
    assert replay.record == claims.OutcomeRecord(outcome.Outcome.ANSWERED, None)


async def test_different_request_with_the_same_key_is_refused(world, key):
    """A reused key must not get the response to another request."""
    await world.claim_key("s1", key)
    result = await world.claim_key(
        "s2", key, keys.request_digest("POST", "/x", b"")
    )
    assert result.reason is Reason.KEY_REUSED
    assert result.outcome is outcome.Outcome.NOT_RUN


async def test_entry_killed_before_it_records_the_outcome(world, key):
    """The request may have run, so it must not run again."""
    await world.claim_key("s1", key)
    world.cluster.kill("s1")
    await world.advance(3_000)
    for id in ("s0", "s2"):
        result = await world.claim_key(id, key)
        assert result.reason is Reason.KEY_LOST
        assert result.outcome is outcome.Outcome.UNKNOWN


async def test_released_key_can_be_claimed_again(world, key):
    """A request that reached no upstream must not use up the key."""
    claim = await world.claim_key("s1", key)
    claim.release()
    await world.send_outcomes()
    again = await world.claim_key("s2", key)
    assert isinstance(again, idempotency.Claim)
    again.record_unknown()
    await world.send_outcomes()
    replay = await world.claim_key("s0", key)
    assert replay.record.outcome is outcome.Outcome.UNKNOWN


async def test_outcome_is_unknown_after_loss_of_home_entry(world):
    """Another entry has no record of whether the request ran."""
    key = world.ticketed_key("s0")
    world.cluster.kill("s0")
    result = await world.claim_key("s1", key)
    assert result.reason is Reason.KEY_LOST
    assert result.outcome is outcome.Outcome.UNKNOWN


async def test_claim_is_released_after_timeout_of_home_entry(world):
    """The home entry recorded the claim, but its response was lost.

    The request was not sent, so the claim must not block the key.
    """
    key = world.ticketed_key("s0")
    world.cluster.cut("s0", "s1", both=False)
    assert isinstance(await world.claim_key("s1", key), Refusal)
    world.cluster.heal()
    await world.send_outcomes()
    assert isinstance(await world.claim_key("s2", key), idempotency.Claim)


async def test_expired_keys_are_refused(world):
    """A key that was removed from the table would run a second time."""
    ticket, logged = world.ticketed_key(), world.timestamped_key()
    for key in (ticket, logged):
        claim = await world.claim_key("s0", key)
        claim.record_response(worlds.RESPONSE)
    world.clock.set_ms(world.clock.now_ms() + 600_000)
    await world.advance(500)
    result = await world.claim_key("s1", ticket)
    assert result.reason is Reason.KEY_EXPIRED
    assert len(world.entries["s0"].claim_table) == 0
    world.clock.set_ms(86_400_000 + 1_000)
    await world.advance(500)
    result = await world.claim_key("s1", logged)
    assert result.reason is Reason.KEY_EXPIRED
    assert result.outcome is outcome.Outcome.UNKNOWN


async def test_forged_time_of_issue_is_refused(world):
    """A key with a future time of issue would outlive its recorded outcome."""
    ticket = keys.Ticket(start_id="s0", issued_ms=10**9, nonce="n")
    key = keys.parse_key("s", f"{ticket}:k")
    assert (await world.claim_key("s0", key)).reason is Reason.KEY_EXPIRED
    key = keys.parse_key("s", "k", str(world.clock.wall_ms() + 10**6))
    assert (await world.claim_key("s0", key)).reason is Reason.BAD_REQUEST


async def test_malformed_peer_messages_are_refused(world):
    """Malformed messages must raise PeerError, which the peer receives."""
    node = world.cluster.nodes["s0"]
    for kind in ("claim", "outcome"):
        for body in (None, 3, [1], [[1, 2, 3]], [1, 2, 3, 4, 5]):
            with pytest.raises(interfaces.PeerError):
                await node.handlers[kind](node.me, body)
