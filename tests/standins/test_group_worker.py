"""Tests of the stand-in for a worker that serves in groups."""

import asyncio
import contextlib
import json

import aiohttp
import pytest

from oleanderbay.platform import names, records
from oleanderbay.standins import group_worker, metadata_store
from tests.gateway import parts

HEARTBEAT_MS = 50
JOIN = {
    "operation": "join",
    "group": "g",
    "epoch": 1,
    "model": "m",
    "members": ["w1", "w2"],
    "fence": 1,
}
OPEN = {"operation": "open", "group": "g", "epoch": 1, "fence": 1}


@contextlib.asynccontextmanager
async def registered(**changes):
    """Runs a worker that writes to a store, and a client."""
    store = metadata_store.MetadataStore()
    worker = group_worker.GroupWorker("w1", **changes)
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=0.3)
    ) as session:
        await worker.start()
        worker.register(store, HEARTBEAT_MS)
        yield worker, store, session
        await worker.close()


def entry(store):
    found = store.newest(names.WORKERS_TOPIC).get("w1")
    return None if found is None else json.loads(found[1])


async def status(worker, session, path="/x"):
    async with session.get(f"http://{worker.address}{path}") as response:
        return response.status


async def test_an_entry_has_every_field_and_follows_changes():
    """Gateways would not use the worker, or would miss its group."""
    async with registered() as (worker, store, _):
        await parts.wait_until(lambda: entry(store))
        assert {
            *("service", "address", "zone", "version", "slots", "state"),
            *("cold_remaining_ms", "sequence", "born"),
        } <= entry(store).keys()
        worker.obey(JOIN)
        await parts.wait_until(lambda: entry(store)["group"])
        decoded = records.JsonDecoder().worker(
            "w1", json.dumps(entry(store)).encode()
        )
        assert decoded.membership == worker.group
        written = len(store.topics[names.WORKERS_TOPIC])
        await parts.wait_until(
            lambda: len(store.topics[names.WORKERS_TOPIC]) > written + 3
        )


async def test_an_entry_is_removed_after_silence_and_comes_back():
    """A worker that is cut off from the store would be used for ever."""
    async with registered() as (worker, store, session):
        await parts.wait_until(lambda: entry(store))
        worker.registration.reaches_store = False
        await parts.wait_until(lambda: not entry(store))
        assert await status(worker, session) == 200
        worker.registration.reaches_store = True
        await parts.wait_until(lambda: entry(store))


async def test_a_worker_that_is_cut_off_answers_nothing():
    """A half cut would let orders through that no partition lets through."""
    async with registered() as (worker, store, session):
        assert await status(worker, session) == 200
        worker.isolate()
        for path in ("/x", "/healthz", names.REPORT_PATH):
            with pytest.raises(TimeoutError):
                await status(worker, session, path)
        async with aiohttp.ClientSession(timeout=session.timeout) as other:
            with pytest.raises(TimeoutError):
                await status(worker, other)
        await parts.wait_until(lambda: not entry(store))
        assert len(worker.executions) == 1


async def test_only_the_head_of_an_open_group_serves():
    """Requests that no group serves would count as served."""
    opened = []
    async with registered(load_ms=1, form_ms=1) as (worker, store, session):
        worker.grouped = True
        worker.ready = lambda ready: opened.append(entry(store)["group"])
        assert await status(worker, session) == 421
        worker.obey(JOIN)
        await parts.wait_until(lambda: opened)
        # The entry is written before anything else learns of the state.
        assert opened[0]["state"] == "ready"
        assert await status(worker, session) == 503
        assert worker.obey(OPEN) == 202
        await parts.wait_until(lambda: entry(store)["group"]["state"] == "open")
        assert await status(worker, session) == 200
        assert worker.obey({**OPEN, "operation": "leave"}) == 200
        assert await status(worker, session) == 421


async def test_a_worker_that_crashes_writes_nothing_more():
    """A crash would be taken for a worker that has only lost connections."""
    async with registered() as (worker, store, session):
        worker.crashing_path = "/crash"
        with pytest.raises(aiohttp.ClientError):
            await status(worker, session, "/crash")
        await parts.wait_until(lambda: not entry(store))
        assert worker.crashed


async def test_a_worker_that_exits_ends_its_requests():
    """They would be answered by a process that is gone."""
    async with registered() as (worker, _, session):
        worker.work_ms = 200
        request = asyncio.create_task(status(worker, session))
        await parts.wait_until(lambda: worker.running)
        await worker.exit()
        with pytest.raises(aiohttp.ClientError):
            await request
