"""Tests of the size limit of answers, for each adapter."""

import aiohttp
import pytest

from oleanderbay.native import (
    engine_http,
    instances_http,
    interfaces,
    log_http,
    weights_http,
)
from tests.platform import endless
from tests.standins.test_engine import ORDER

TIMEOUT_MS = 20_000
MAX_SENT_BYTES = 64_000_000


async def append(address, session):
    log = log_http.HttpLog(f"http://{address}", session)
    await log.append("config", b"a", TIMEOUT_MS)


async def read(address, session):
    log = log_http.HttpLog(f"http://{address}", session)
    await log.read("config", 1, 10, 0, TIMEOUT_MS)


async def list_instances(address, session):
    instances = instances_http.HttpInstanceList(f"http://{address}", session)
    await instances.instances(TIMEOUT_MS)


async def order(address, _):
    await engine_http.HttpEngine(address).order(ORDER, TIMEOUT_MS)


async def export_cache(address, _):
    engine = engine_http.HttpEngine(address)
    try:
        await engine.export_cache(1, TIMEOUT_MS)
    finally:
        await engine.close()


async def weight_store_state(address, _):
    weight_store = weights_http.HttpWeightStore(address)
    try:
        await weight_store.state(TIMEOUT_MS)
    finally:
        await weight_store.close()


# A body without an end grew the memory of an entry by 1.4 GB in 4 s.
@pytest.mark.parametrize(
    "call",
    [append, read, list_instances, order, export_cache, weight_store_state],
)
async def test_endless_body_is_given_up(monkeypatch, call):
    monkeypatch.setattr(interfaces, "MAX_BODY_BYTES", 100_000)
    monkeypatch.setattr(engine_http, "MAX_CACHE_BYTES", 100_000)
    monkeypatch.setattr(log_http, "MAX_PAGE_BYTES", 100_000)
    async with (
        endless.running() as endless_server,
        aiohttp.ClientSession() as session,
    ):
        with pytest.raises(interfaces.PlatformUnknownError, match="larger"):
            await call(endless_server.address, session)
        assert endless_server.sent < MAX_SENT_BYTES
