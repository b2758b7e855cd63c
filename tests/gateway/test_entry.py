"""Tests of two gateways with a store and six workers on loopback ports."""

import asyncio
import collections
import contextlib
import re
import uuid

import aiohttp
import msgpack
import pytest

from oleanderbay.gateway import (
    entry,
    interfaces,
    peers,
    settings,
    summaries,
)
from oleanderbay.platform import names
from tests.gateway import parts, test_datagrams
from tests.gateway import site as site_module

STREAM = site_module.STREAM


@pytest.fixture
async def site():
    async with contextlib.AsyncExitStack() as stack:
        started = site_module.Site()
        await started.start(stack)
        await started.wait_for_groups()
        yield started


async def test_streams_survive_a_lost_member_and_a_graceful_stop(site):
    """Guards against components that only work in isolation."""
    first, second = site.gateways
    await parts.wait_until(
        lambda: first.status()["reader"] == second.status()["reader"]
    )
    assert await site.call(first, "/stream/a") == (200, STREAM)

    # The head of a group that lost a member accepts requests, but its streams
    # stall.
    (serving,) = (w for w in site.workers if w.executions)
    serving.executions.clear()
    for worker in site.workers:
        worker.hold_after = 1
    first_data = asyncio.Event()
    call = asyncio.create_task(site.call(second, "/stream/a", first_data))
    await first_data.wait()
    (head,) = (w for w in site.workers if w.executions)
    group = next(
        g for g in site.open_groups(second) if g["members"][0] == head.id
    )
    (lost,) = (w for w in site.workers if w.id == group["members"][1])
    await lost.close()
    assert await call == (200, STREAM)
    await parts.wait_until(
        lambda: "close" in [order["operation"] for order, _ in head.orders]
    )
    await parts.wait_until(
        lambda: (
            group["name"] not in [g["name"] for g in site.open_groups(first)]
        )
    )
    for worker in site.workers:
        worker.hold_after = -1
    assert await site.call(first, "/stream/a") == (200, STREAM)

    for worker in site.workers:
        worker.hold_after = 1
    first_data = asyncio.Event()
    call = asyncio.create_task(site.call(second, "/stream/whole/a", first_data))
    await first_data.wait()
    stop = asyncio.create_task(second.stop_gracefully())
    await parts.wait_until(
        lambda: first.addresses() == [first.config.listeners.callers]
    )
    assert not second.ready() and not call.done()
    for worker in site.workers:
        worker.released.set()
    assert await call == (200, STREAM)
    await stop
    with pytest.raises(aiohttp.ClientConnectorError):
        await site.call(second, "/stream/a")
    assert await site.call(first, "/stream/a") == (200, STREAM)


# During a planned stop under load, requests that had just been accepted were
# cut off without an answer.
async def test_no_request_is_cut_off_while_gateways_stop_in_turn(site):
    first, second = site.gateways
    results = collections.Counter()

    async def call_until_gone(gateway):
        """Keeps a connection, as callers do, until nothing listens."""
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.post(
                        f"http://{gateway.config.listeners.callers}/stream/whole/a",
                        headers={
                            "Host": "api",
                            names.REQUEST_ID: uuid.uuid4().hex,
                            names.MODEL: "small",
                        },
                        data=b"prompt",
                    ) as response:
                        await response.read()
                        results[response.status] += 1
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError as error:
                    results[repr(error)] += 1

    for gateway in (first, second):
        before = results[200]
        callers = [
            asyncio.create_task(call_until_gone(gateway)) for _ in range(6)
        ]
        await parts.wait_until(lambda b=before: results[200] > b + 30)
        await gateway.stop_gracefully()
        async with asyncio.timeout(20):
            await asyncio.gather(*callers)
    assert set(results) <= {200, 503}, results


# A store that takes its time for an answer, within the limit that it is given
# for each byte, held a stop until the process was killed with its requests.
async def test_a_stop_does_not_wait_for_the_store(site, monkeypatch):
    gateway, _ = site.gateways
    asked = asyncio.Event()

    async def leave(member):
        asked.set()
        await asyncio.Event().wait()

    monkeypatch.setattr(gateway.domain_ownership.store, "leave", leave)
    async with asyncio.timeout(5):
        await gateway.stop_gracefully()
    assert asked.is_set()


# Incident of 2026-12-05: a stop accepted requests of any length long after
# callers' directory answers had expired.
async def test_long_requests_come_too_late_once_directory_answers_expired(site):
    gateway = site.gateways[1]
    stop_settings, clock = gateway.config.stop, gateway.clock
    expired_ms = stop_settings.directory_ttl_ms * stop_settings.kept_factor
    limit = gateway.listeners.pipeline.stop_limit
    begun_ms = clock.now_ms()
    stop = asyncio.create_task(gateway.stop_gracefully())
    await parts.wait_until(lambda: gateway.leaving)
    end_ms = begun_ms + stop_settings.grace_ms
    assert not limit.comes_too_late(end_ms)
    await clock.sleep_ms(begun_ms + expired_ms + 20 - clock.now_ms())
    assert limit.comes_too_late(end_ms)
    assert not limit.comes_too_late(clock.now_ms() + 1_000)
    await stop


# Incident inc1: gateways sent what had crashed workers before other gateways,
# which includes what these knew before all of them were restarted.
async def test_a_part_that_crashes_workers_is_refused_by_all_gateways(site):
    def arrivals():
        return sum(len(worker.executions) for worker in site.workers)

    async def send_bad(gateway):
        prompt = f"first:9,bad:9,own{arrivals()}:9"
        with contextlib.suppress(aiohttp.ClientError):
            return (await site.call(gateway, "/stream/a", prompt=prompt))[0]

    async with contextlib.AsyncExitStack() as stack:
        for worker in site.workers:
            worker.crashing_part = "bad"
        for number in range(3):
            await send_bad(site.gateways[number % 2])
        await asyncio.sleep(1)
        reached = arrivals()
        for gateway in site.gateways:
            assert await send_bad(gateway) == 503
        await site.restart_gateways(stack)
        for gateway in site.gateways:
            assert await send_bad(gateway) == 503
            sound = await site.call(gateway, "/stream/a", prompt="first:9,o:9")
            assert sound == (200, STREAM)
        assert arrivals() == reached + len(site.gateways)


# Incident second1: a request crashed workers through all gateways in turn, and
# gateways that have started since would know nothing of it.
async def test_a_request_that_crashes_workers_is_refused_by_all_gateways(site):
    async with contextlib.AsyncExitStack() as stack:
        for worker in site.workers:
            worker.crashing_path = "/stream/bad"
        await site.call(site.gateways[0], "/stream/a")
        for number in range(3):
            with contextlib.suppress(aiohttp.ClientError):
                await site.call(site.gateways[number % 2], "/stream/bad")
            await site.replace_ended()
        await parts.wait_until(
            lambda: all(
                g.status()["quarantined_requests"] for g in site.gateways
            )
        )
        for gateway in site.gateways:
            assert (await site.call(gateway, "/stream/bad"))[0] == 503
            assert await site.call(gateway, "/stream/a") == (
                200,
                STREAM,
            )
        await site.restart_gateways(stack)
        await parts.wait_until(
            lambda: all(
                g.status()["quarantined_requests"] for g in site.gateways
            )
        )
        for gateway in site.gateways:
            assert (await site.call(gateway, "/stream/bad"))[0] == 503


# The day restored: gateways that had read further than the copy went applied no
# configuration, and new owners would have sent orders with lower fences.
async def test_gateways_follow_a_store_that_was_restored_from_a_copy(
    site, monkeypatch
):
    monkeypatch.setattr(entry, "ADDRESS_REFRESH_MS", 100)
    async with contextlib.AsyncExitStack() as stack:
        await site.restart_gateways(stack)
        copy = {topic: len(held) for topic, held in site.store.topics.items()}
        del copy[names.GATEWAYS_TOPIC]
        for version in (2, 3, 4):
            await site.configure(version)
        await site.wait_for_version(4)
        generation = site.store.generation
        await site.store.restore(copy, generation - 2)
        site.published.clear()
        await asyncio.sleep(0.5)
        assert {g.status()["version"] for g in site.gateways} == {4}
        await site.configure(4)
        await site.configure(5)
        await site.wait_for_version(5)
        await parts.wait_until(
            lambda: (
                set(site.store.newest(names.GATEWAYS_TOPIC))
                == {g.config.entry.id for g in site.gateways}
            )
        )
        await site.workers[0].close()
        await site.workers[1].close()
        del site.workers[:2]
        await site.wait_for_groups()
        assert await site.call(site.gateways[0], "/stream/a") == (
            200,
            STREAM,
        )


async def test_a_caller_without_chunked_encoding_sees_a_broken_stream(site):
    """A regular close would look like the end of the stream, so it is reset."""
    for worker in site.workers:
        worker.faults["reset_in_event"] = 1
    address = site.gateways[0].config.listeners.callers
    reader, writer = await asyncio.open_connection(
        *settings.split_address(address)
    )
    writer.write(
        b"GET /stream/whole/a HTTP/1.0\r\nHost: api\r\n"
        + f"{names.REQUEST_ID}: r1\r\n{names.MODEL}: small\r\n\r\n".encode()
    )
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.close()


async def test_each_component_records_its_metrics(site):
    """A component without metrics would look idle."""
    assert await site.call(site.gateways[0], "/stream/a") == (
        200,
        STREAM,
    )
    exposition = ""
    for gateway in site.gateways:
        async with site.session.get(
            f"http://{gateway.config.listeners.readiness}/metrics"
        ) as response:
            exposition += await response.text()
    for sample in (
        r'requests_total{.*outcome="answered".*service="chat"} 1.0',
        r'attempts_total{.*result="answered",service="chat"} 1.0',
        r'first_event_milliseconds_count{.*service="chat"} 1.0',
        r'orders_total{.*operation="open",.*result="begun"}',
        r'group_changes_total{change="formed",.*} [1-9]',
        r"loads_total{.*} [1-9]",
        r'store_reads_total{.*result="ok",topic="workers"}',
        r"peers_live{.*} 1.0",
        r"configuration_version{.*} 1.0",
        r"workers_age_milliseconds{.*} ",
    ):
        assert re.search(f"^oleanderbay_{sample}", exposition, re.MULTILINE), (
            sample
        )


async def test_components_apply_and_expire_the_summary_of_a_zone(site):
    """In a large fleet, summaries are the only source about other zones."""
    gateway = site.gateways[0]
    sums = {
        **summaries.EMPTY_CONTENTS,
        "in_flight": {"w9": 3},
        "busy": 2,
        "demand": {"small": 2.5},
        "suspects": ["w9"],
        "lost": {"w8": 7},
        "loads_begun": 4,
        "planned": {"small": 1},
        "serving": True,
    }
    gateways = [["g9", "s", "127.0.0.9", "far:1", True, False, True]]
    body = {
        "zone": "z9",
        "id": "g9",
        "start_id": "s",
        "host": "127.0.0.9",
        "sequence": 1,
        "interval_ms": 50,
        "store_age_ms": 0,
        "offsets": {},
        "digest": 1,
        "sums": sums,
        "gateways": gateways,
    }
    message = {
        "protocol": peers.PROTOCOL,
        "id": "g9",
        "interval_ms": 50,
        "forwarded": False,
        "summaries": [body],
    }

    def applied():
        return (
            gateway.loads.in_flight("w9"),
            gateway.demand.mean("small")
            - gateway.demand.own_means.get("small", 0.0),
            gateway.worker_health.is_suspected("w9"),
            gateway.worker_health.is_lost("w8", 7),
            sum(gateway.group_controller.capacity.peer_loads.values()),
            "far:1" in gateway.addresses(),
        )

    gateway.peers._received(msgpack.packb(message))
    assert (
        applied() == (3, 2.5, True, True, 4, True)
        and gateway.demand.has_traffic
    )
    assert gateway.peers.gateway_count() == 3
    await parts.wait_until(
        lambda: applied() == (0, 0.0, False, False, 0, False)
    )
    assert gateway.peers.gateway_count() == 3


@pytest.mark.parametrize(
    "value",
    [
        b'{"host": {"a": 1}}',
        b'{"host": ""}',
        b'{"host": "a\\u0000b"}',
        b'{"host": null}',
        b'{"host": 7}',
        b"[" * 100_000,
        b"\xff",
        b"[]",
        b"{}",
    ],
)
async def test_a_damaged_address_record_is_skipped(value):
    """Datagrams to such a host closed the socket, or no others were read."""
    gateway = test_datagrams.make_gateway()
    before = dict(gateway.peers.addresses)
    gateway._apply_addresses(
        [
            interfaces.KeyedRecord(1, "g7", value),
            interfaces.KeyedRecord(2, "g8", b'{"host": "127.0.0.8"}'),
        ]
    )
    assert gateway.peers.addresses == {**before, "127.0.0.8": "g8"}
