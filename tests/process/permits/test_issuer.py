"""Tests that all owners together grant no more than the limit."""

import random
import types

import pytest

from oleanderbay.process.permits import messages, owner_state, ownership
from oleanderbay.request import outcome
from tests.process.permits import permit_harness


async def test_no_grant_before_first_grant_delay(harness):
    """After a restart of all entries, a new owner waits before its first grant.

    Without the delay, permits of a previous owner could still be valid and the
    limit would be granted twice.
    """
    result = await harness.send_and_wait("s0")
    assert isinstance(result, outcome.Refusal)
    assert result.outcome is outcome.Outcome.NOT_RUN
    assert (
        harness.clock.now_ms() < ownership.PermitSettings().first_grant_delay_ms
    )
    await harness.wait_for_grants()
    tasks = [
        harness.cluster.spawn(harness.send(id, "g0"))
        for id in harness.permits
        for _ in range(4)
    ]
    await harness.advance(600)
    assert harness.engines["g0"].peak_cold == 2
    assert sum(task.done() for task in tasks) == 2


async def test_limit_rises_with_responses_not_with_time(harness):
    """The limit rises to the warm limit only as responses arrive.

    A limit that rises with time alone would overload an upstream that has not
    responded yet.
    """
    await harness.wait_for_grants()
    await harness.advance(10_000)
    limits = []
    for _ in range(20):
        for id in harness.permits:
            for _ in range(4):
                harness.cluster.spawn(harness.send(id, "g0", 300))
        await harness.advance(700)
        while harness.running:
            harness.finish()
        await harness.advance(700)
        limits.append(
            harness.permits[permit_harness.owner_id(harness)].issuer.limit("g0")
        )
    assert limits[0] == 2
    assert limits[-1] == 8
    assert harness.engines["g0"].overloads == 0


async def test_owner_stops_granting_after_long_pause(harness):
    """A replaced owner must not grant next to its successor after a pause."""
    await harness.wait_for_grants()
    paused = permit_harness.owner_id(harness)
    harness.cluster.paused.add(paused)
    remaining = [id for id in harness.permits if id != paused]
    assert isinstance(
        await harness.send_and_wait(remaining[0]), outcome.Refusal
    )
    await harness.advance(9_000)
    for id in remaining:
        await harness.send_and_wait(id)
    assert harness.engines["g0"].in_flight == 2
    harness.cluster.paused.discard(paused)
    # Messages in transit now reach the old owner, before a heartbeat tells it
    # that it was replaced.
    assert harness.permits[paused].issuer.check_majority() is False
    await harness.advance(8_000)
    assert isinstance(await harness.send_and_wait(paused), outcome.Refusal)
    assert harness.engines["g0"].overloads == 0


async def test_unnoticed_pause_restarts_first_grant_delay():
    """An owner must not grant right after a pause that heartbeats conceal.

    Heartbeats that arrive before the first majority check make the majority
    look uninterrupted.
    """
    harness = permit_harness.PermitHarness()
    await harness.wait_for_grants()
    node = harness.cluster.nodes[permit_harness.owner_id(harness)]
    issuer = harness.permits[node.me.start_id].issuer
    request = messages.PermitRequest("g0", messages.start_tag("g0-1"), 1, 0)
    assert issuer.handle_requests("x", 1, "s", [request])["g0"] is not None
    for _ in range(60):
        await harness.clock.advance(500)
        harness.cluster.beat()
    assert issuer.handle_requests("x", 2, "s", [request])["g0"] is None
    await harness.close()


async def test_minority_side_of_partition_gets_no_permits():
    """Owners on both sides of a partition would each grant the whole limit."""
    harness = permit_harness.PermitHarness(entries=5)
    await harness.wait_for_grants()
    isolated = permit_harness.owner_id(harness)
    harness.cluster.isolate(isolated)
    await harness.advance(3_000)
    assert isinstance(await harness.send_and_wait(isolated), outcome.Refusal)
    await harness.advance(8_000)
    majority = [id for id in harness.permits if id != isolated]
    for id in majority[:3]:
        await harness.send_and_wait(id)
    assert harness.engines["g0"].in_flight == 2
    harness.cluster.heal()
    await harness.wait_for_grants()
    await harness.send_and_wait(isolated)
    assert harness.engines["g0"].overloads == 0


async def test_owner_whose_heartbeats_are_lost_has_no_majority():
    """An owner that hears all peers but is heard by none must not grant."""
    harness = permit_harness.PermitHarness(entries=3)
    await harness.wait_for_grants()
    unheard = permit_harness.owner_id(harness)
    for other in permit_harness.non_owner_ids(harness):
        harness.cluster.cut(unheard, other, both=False)
    await harness.advance(4_000)
    assert harness.permits[unheard].issuer.check_majority() is False
    assert isinstance(await harness.send_and_wait(unheard), outcome.Refusal)


async def test_reset_load_report_returns_limit_to_cold(harness):
    """An upstream restart that keeps the start id shows only in load reports.

    The number of served requests starts again from zero.
    """
    await harness.wait_for_grants()
    await permit_harness.warm_up(harness)
    issuer = harness.permits[permit_harness.owner_id(harness)].issuer
    assert issuer.limit("g0") == 8
    harness.engines["g0"].restart()
    await harness.advance(600)
    assert issuer.limit("g0") == 2


def _request(wanted, in_flight=0):
    tag = messages.start_tag("")
    return messages.PermitRequest("g0", tag, wanted, in_flight)


async def test_holders_are_told_of_a_reset_that_a_request_has_found(harness):
    """They kept the permits of a warm upstream until these expired.

    The load report of the restart was applied while a request of permits was
    answered, and the next look for resets found none.
    """
    await harness.wait_for_grants()
    await permit_harness.warm_up(harness)
    issuer = harness.permits[permit_harness.owner_id(harness)].issuer
    service = harness.fleet.list["g0"].service
    holder, other = permit_harness.non_owner_ids(harness)
    granted = issuer.handle_requests(holder, 10**6, service, [_request(8)])
    assert granted["g0"].count
    harness.engines["g0"].restart()
    harness.engines["g0"].report()
    issuer.handle_requests(other, 10**6, service, [_request(1)])
    assert issuer.limit("g0") == 2
    assert holder in issuer.collect_revocations()["g0"]
    assert issuer.collect_revocations() == {}


def _shares(harness, holders, limit):
    """Returns the fair shares of holders by wanted, in flight and granted."""
    states = []
    for wanted, in_flight, granted_ms in holders:
        state = owner_state.HolderState()
        state.wanted, state.in_flight = wanted, in_flight
        state.granted_ms = granted_ms
        states.append(state)
    owned = types.SimpleNamespace(holders=dict(enumerate(states)))
    issuer = harness.permits["s0"].issuer
    return [issuer._fair_share(owned, state, limit) for state in states]


@pytest.mark.parametrize(
    ("holders", "limit", "shares"),
    [
        # Requests in flight can't be given up; then the oldest grant counts.
        ([(4, 2, 50), (4, 0, 40), (4, 0, -1)], 2, [1, 0, 1]),
        ([(4, 0, 50), (4, 0, 40), (4, 0, -1)], 2, [0, 1, 1]),
        ([(4, 0, 50), (4, 0, 40), (4, 0, -1)], 1, [0, 0, 1]),
        ([(4, 0, 9), (1, 0, 9), (4, 0, 8)], 6, [2, 1, 3]),
        ([(4, 0, 9), (0, 0, -1)], 2, [2, 0]),
        ([(1, 0, 9), (1, 0, 8)], 8, [1, 1]),
    ],
)
async def test_the_remainder_goes_by_need(harness, holders, limit, shares):
    """It went to the last holders, so one with 2 in flight got nothing."""
    assert _shares(harness, holders, limit) == shares


async def test_fair_shares_use_the_limit_and_differ_by_one(harness):
    """Guards against permits that are lost, or granted twice, by rounding."""
    rng = random.Random(1)
    for _ in range(2_000):
        holders = [
            (rng.randrange(6), rng.randrange(4), rng.randrange(-1, 9))
            for _ in range(rng.randrange(1, 6))
        ]
        limit = rng.randrange(12)
        shares = _shares(harness, holders, limit)
        wanted = [holder[0] for holder in holders]
        assert sum(shares) == min(limit, sum(wanted))
        short = [s for s, w in zip(shares, wanted, strict=True) if s < w]
        assert all(s <= w for s, w in zip(shares, wanted, strict=True))
        assert not short or max(shares) - min(short) <= 1
