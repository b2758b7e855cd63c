"""Tests for acquiring, holding and releasing permits."""

import asyncio
import dataclasses

import pytest

from oleanderbay.process import interfaces
from oleanderbay.request import outcome
from tests.process.permits import permit_harness


async def test_warm_upstream_keeps_last_share_without_owner(harness):
    """A warm upstream still gets requests when its owner is unreachable.

    The holder may use its last share, but no more.
    """
    await harness.wait_for_grants()
    for id in harness.permits:
        await harness.send_and_wait(id)
    await permit_harness.warm_up(harness)
    holder = permit_harness.non_owner_ids(harness)[0]
    for _ in range(2):
        assert not isinstance(
            await harness.send_and_wait(holder), outcome.Refusal
        )
    harness.cluster.isolate(holder)
    await harness.advance(2_500)
    before = harness.permits[holder].in_flight("g0")
    assert before == 2
    harness.finish(len(harness.running) - 1)
    assert not isinstance(await harness.send_and_wait(holder), outcome.Refusal)
    results = [
        await harness.send_and_wait(holder, wait_ms=200) for _ in range(4)
    ]
    assert isinstance(results[-1], outcome.Refusal)
    assert harness.permits[holder].in_flight("g0") <= before + 1


async def test_upstream_restart_clears_permits(harness):
    """A restarted upstream is cold and gets only the cold limit.

    Permits granted to the previous process would overload it.
    """
    await harness.wait_for_grants()
    await permit_harness.warm_up(harness)
    await harness.send_and_wait("s0")
    while harness.running:
        harness.finish()
    upstream = harness.fleet.list["g0"]
    harness.engines["g0"].restart()
    harness.engines["g0"].report()
    harness.fleet.set(dataclasses.replace(upstream, start_id="g0-2"))
    for id in harness.permits:
        for _ in range(4):
            harness.cluster.spawn(harness.send(id, "g0"))
    await harness.advance(500)
    assert harness.engines["g0"].peak_cold == 2


async def test_requests_of_killed_holder_count_until_they_end(harness):
    """Requests of a killed entry still run at the upstream.

    Their permits must not be granted again before load reports show the end.
    """
    await harness.wait_for_grants()
    victim = permit_harness.non_owner_ids(harness)[0]
    await harness.send_and_wait(victim)
    await harness.send_and_wait(victim)
    assert harness.engines["g0"].in_flight == 2
    harness.cluster.kill(victim)
    await harness.advance(12_000)
    survivor = next(id for id in harness.permits if id != victim)
    assert isinstance(await harness.send_and_wait(survivor), outcome.Refusal)
    harness.finish()
    await harness.advance(1_000)
    assert not isinstance(
        await harness.send_and_wait(survivor), outcome.Refusal
    )
    assert harness.engines["g0"].overloads == 0


async def test_requests_to_one_owner_share_a_message():
    """One message per permit would exceed the byte budget between entries."""
    harness = permit_harness.PermitHarness(upstreams=12)
    await harness.wait_for_grants()
    node = harness.cluster.nodes["s0"]
    before = node.sent_messages
    for id in harness.fleet.list:
        harness.cluster.spawn(harness.send("s0", id))
    await harness.clock.advance(10)
    assert node.sent_messages - before == 2
    assert len(harness.running) == 12
    await harness.close()


async def test_cancelled_acquire_releases_permit(harness):
    """Without it, a cancelled request would count as in flight forever."""
    await harness.wait_for_grants()
    holder = harness.permits["s0"]
    task = harness.cluster.spawn(
        holder.acquire(harness.fleet.list["g0"], 10**9)
    )
    await asyncio.sleep(0)
    task.cancel()
    await harness.advance(500)
    assert holder.in_flight("g0") == 0


async def test_waiting_request_is_refused_when_upstream_is_removed(harness):
    """A request must not keep waiting for an upstream that gets no more work.

    The refusal lets it try another upstream.
    """
    await harness.wait_for_grants()
    await harness.send_and_wait("s0")
    await harness.send_and_wait("s0")
    waiting = harness.cluster.spawn(harness.send("s0", "g0", 60_000))
    await harness.advance(300)
    assert not waiting.done()
    harness.fleet.remove("g0")
    await harness.advance(100)
    assert isinstance(waiting.result(), outcome.Refusal)


async def test_malformed_message_is_refused(harness):
    """A malformed message raises `PeerError` instead of another exception."""
    for body in (None, [1], [1, {"s": [["g0"]]}], [1, {"s": [[1] * 7]}], "x"):
        with pytest.raises(interfaces.PeerError):
            await harness.cluster.nodes["s0"].handlers["permit"](
                harness.cluster.nodes["s1"].me, body
            )
