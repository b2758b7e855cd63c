"""Tests that a call with one key runs at most once."""

import asyncio

import pytest

from oleanderbay.process import interfaces
from oleanderbay.request import claims, idempotency, keys, outcome
from tests.request import keyed_world as worlds

Refusal = outcome.Refusal
Reason = outcome.Reason


@pytest.fixture(params=("ticket", "log"))
def key(request, world):
    return world.ticketed() if request.param == "ticket" else world.logged()


async def test_same_key_on_three_entries_at_once(world, key):
    """A caller that retries on all fallbacks must cause one run."""
    results = await world.wait(
        asyncio.gather(
            *(
                entry.begin(key, worlds.DIGEST, 60_000)
                for entry in world.entries.values()
            )
        )
    )
    claimed = [r for r in results if isinstance(r, idempotency.Claim)]
    refused = [r for r in results if isinstance(r, Refusal)]
    assert len(claimed) == 1
    assert [r.reason for r in refused] == [Reason.KEY_IN_PROGRESS] * 2
    assert all(r.outcome is outcome.Outcome.UNKNOWN for r in refused)


async def test_recorded_answer_is_replayed(world, key):
    """A caller that lost the answer must get it again, not a second run."""
    claim = await world.begin("s1", key)
    claim.answered(worlds.ANSWER)
    await world.step()
    for id in world.entries:
        replay = await world.begin(id, key)
        assert isinstance(replay, idempotency.Replay)
        assert replay.record == claims.Record(
            outcome.Outcome.ANSWERED, worlds.ANSWER
        )


async def test_large_answer_is_recorded_without_its_body(world, key):
    """Large answers would fill the memory and the log."""
    claim = await world.begin("s1", key)
    claim.answered(claims.Answer(status=200, body=bytes(20_000)))
    await world.step()
    replay = await world.begin("s2", key)
    assert replay.record == claims.Record(outcome.Outcome.ANSWERED, None)


async def test_other_body_with_the_same_key_is_refused(world, key):
    """A reused key must not answer a different call."""
    await world.begin("s1", key)
    result = await world.begin("s2", key, keys.body_digest("POST", "/x", b""))
    assert result.reason is Reason.KEY_REUSED
    assert result.outcome is outcome.Outcome.NOT_RUN


async def test_entry_killed_between_sending_and_recording(world, key):
    """Nobody knows whether the call ran, so it must not run again."""
    await world.begin("s1", key)
    world.cluster.kill("s1")
    await world.advance(3_000)
    for id in ("s0", "s2"):
        result = await world.begin(id, key)
        assert result.reason is Reason.KEY_LOST
        assert result.outcome is outcome.Outcome.UNKNOWN


async def test_key_is_free_after_a_claim_that_sent_nothing(world, key):
    """A refused upstream must not use up the caller's key."""
    claim = await world.begin("s1", key)
    claim.not_run()
    await world.step()
    again = await world.begin("s2", key)
    assert isinstance(again, idempotency.Claim)
    again.unknown()
    await world.step()
    replay = await world.begin("s0", key)
    assert replay.record.outcome is outcome.Outcome.UNKNOWN


async def test_home_entry_gone_means_unknown(world):
    """A second home would have no record of the first run."""
    key = world.ticketed("s0")
    world.cluster.kill("s0")
    result = await world.begin("s1", key)
    assert result.reason is Reason.KEY_LOST
    assert result.outcome is outcome.Outcome.UNKNOWN


async def test_home_that_answers_too_late_does_not_block_the_key(world):
    """The claim of a call that was never sent is given back."""
    key = world.ticketed("s0")
    world.cluster.cut("s0", "s1", both=False)
    assert isinstance(await world.begin("s1", key), Refusal)
    world.cluster.heal()
    await world.step()
    assert isinstance(await world.begin("s2", key), idempotency.Claim)


async def test_keys_past_their_retention_are_unknown(world):
    """A forgotten key would run a second time."""
    ticket, logged = world.ticketed(), world.logged()
    for key in (ticket, logged):
        claim = await world.begin("s0", key)
        claim.answered(worlds.ANSWER)
    world.clock.set_ms(world.clock.now_ms() + 600_000)
    await world.advance(500)
    result = await world.begin("s1", ticket)
    assert result.reason is Reason.KEY_EXPIRED
    assert len(world.entries["s0"].table) == 0
    world.clock.set_ms(86_400_000 + 1_000)
    await world.advance(500)
    result = await world.begin("s1", logged)
    assert result.reason is Reason.KEY_EXPIRED
    assert result.outcome is outcome.Outcome.UNKNOWN


async def test_forged_time_of_issue_is_refused(world):
    """A key from the future would outlive the memory of its first run."""
    ticket = keys.Ticket(start_id="s0", issued_ms=10**9, nonce="n")
    key = keys.parse_key("s", f"{ticket}:k")
    assert (await world.begin("s0", key)).reason is Reason.KEY_EXPIRED
    key = keys.parse_key("s", "k", str(world.clock.wall_ms() + 10**6))
    assert (await world.begin("s0", key)).reason is Reason.BAD_REQUEST


async def test_malformed_peer_messages_are_refused(world):
    """A broken peer must get a typed error."""
    node = world.cluster.nodes["s0"]
    for kind in ("claim", "outcome"):
        for body in (None, 3, [1], [[1, 2, 3]], [1, 2, 3, 4, 5]):
            with pytest.raises(interfaces.PeerError):
                await node.handlers[kind](node.me, body)
