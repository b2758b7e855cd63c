"""Tests of gateways that are partitioned from workers."""

import asyncio
import contextlib
import dataclasses

import pytest

from oleanderbay.gateway import settings
from tests.gateway import links, parts
from tests.gateway import site as site_module

# Requests in a row that must be served for a gateway to count as serving.
STEADY_REQUESTS = 10


@pytest.fixture
async def site():
    async with contextlib.AsyncExitStack() as stack:
        started = site_module.Site(linked=True)
        await started.start(stack)
        await started.wait_for_groups()
        yield started


async def call(site, gateway, number=0):
    """Returns whether a request of a new id was served."""
    result = await site.call(
        gateway,
        "/stream/whole/a",
        request_id=f"{gateway.config.entry.id}-{number}",
    )
    return result == (200, site_module.STREAM)


async def serves(site, gateway):
    """Waits until a gateway serves several requests in a row."""
    in_a_row = 0

    async def try_once():
        nonlocal in_a_row
        in_a_row = in_a_row + 1 if await call(site, gateway) else 0
        return in_a_row >= STEADY_REQUESTS

    await parts.wait_for(try_once)


def cut(site, gateway, how):
    for link in site.links[gateway.config.entry.id].values():
        link.cut(how)


async def restore(site, gateway):
    for link in site.links[gateway.config.entry.id].values():
        await link.restore()


def owner(site):
    """Returns the gateway that owns the only domain, and the other one."""
    first, second = site.gateways
    return (
        (first, second)
        if first.domain_ownership.owns("chat/d1")
        else (second, first)
    )


# Incident inc1 (RECOVER): gateways that were partitioned from all workers
# served none of their callers, although other gateways reached the workers.
@pytest.mark.parametrize("how", links.Cut)
async def test_callers_of_a_partitioned_gateway_are_served(site, how):
    for gateway in site.gateways:
        await serves(site, gateway)
    cut(site, site.gateways[0], how)
    for gateway in site.gateways:
        await serves(site, gateway)


# Incident inc1 (RECOVER): an owner of domains that had lost its paths recorded
# their workers as lost, and the other gateways stopped using these.
@pytest.mark.parametrize("how", links.Cut)
async def test_workers_stay_in_use_if_their_owner_cannot_reach_them(site, how):
    partitioned, other = owner(site)
    await serves(site, partitioned)
    cut(site, partitioned, how)
    refused = 0
    for number in range(40):
        await call(site, partitioned, number)
        refused += not await call(site, other, number)
    assert refused == 0


# A partition resets requests at several workers at once, as requests do that
# crash workers; their prompts were refused afterwards.
async def test_a_partition_is_not_taken_for_a_prompt_that_crashes_workers(
    site,
):
    gateway = site.gateways[0]
    await serves(site, gateway)
    for worker in site.workers:
        worker.hold_after = 0
        worker.executions.clear()
    calls = []
    for number in range(12):
        calls.append(
            asyncio.create_task(
                site.call(
                    gateway,
                    "/stream/whole/a",
                    prompt=f"hot:9,own{number}:9",
                    request_id=f"r{number}",
                )
            )
        )
        await asyncio.sleep(0.05)
    assert sum(bool(worker.executions) for worker in site.workers) == 3
    cut(site, gateway, links.Cut.RESET)
    await asyncio.sleep(1)
    for worker in site.workers:
        worker.hold_after = -1
        worker.released.set()
    await asyncio.gather(*calls, return_exceptions=True)
    result = await site.call(gateway, "/stream/whole/a", prompt="hot:9,o:9")
    assert result == (200, site_module.STREAM)


@contextlib.asynccontextmanager
async def partitioned_beside_two():
    """Runs three gateways, the first of which reaches no worker itself."""
    async with contextlib.AsyncExitStack() as stack:
        site = site_module.Site(
            ("127.0.0.1", "127.0.0.2", "127.0.0.3"), linked=True
        )
        await site.start(stack)
        await site.wait_for_groups()
        cut(site, site.gateways[0], links.Cut.RESET)
        await serves(site, site.gateways[0])
        yield site


# Streams that were sent through a gateway after its SIGTERM, because its
# announcement was lost, were cut off at the end of its stop.
async def test_a_gateway_that_stops_carries_no_new_requests_of_others(
    monkeypatch,
):
    async with partitioned_beside_two() as site:
        partitioned, stopping, other = site.gateways
        stopping.config = dataclasses.replace(
            stopping.config,
            stop=settings.StopSettings(grace_ms=2_600, directory_ttl_ms=1_000),
        )
        monkeypatch.setattr(stopping.peers, "send_heartbeats", lambda: None)
        stop = asyncio.create_task(stopping.stop_gracefully())
        await asyncio.sleep(0.1)
        # The stopping gateway is asked first.
        avoided = partitioned.dialer._avoided_until_ms
        avoided[other.config.entry.id] = partitioned.clock.now_ms() + 1_000
        answers = await asyncio.gather(
            *(
                site.call(
                    partitioned,
                    "/stream/whole/a?events=25&gap_ms=100",
                    request_id=f"long{number}",
                )
                for number in range(4)
            ),
            return_exceptions=True,
        )
        await stop
        whole = [not isinstance(a, BaseException) for a in answers]
        assert whole == [True] * 4, answers
        for status, body in answers:
            assert status == 200
            assert body.count(b"id: ") == 25
