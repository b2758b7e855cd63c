"""Translation of faults by the engine and weight store adapters."""

import pytest

from oleanderbay.connection import permissions
from oleanderbay.native import engine_http, interfaces, weights_http
from oleanderbay.standins import engine, weights
from tests.standins.test_engine import ORDER


@pytest.fixture
async def standin():
    stand_in = engine.EngineStandIn("i1")
    await stand_in.start("127.0.0.1", 0)
    yield stand_in
    await stand_in.close()


@pytest.fixture
async def adapter(standin):
    http_engine = engine_http.HttpEngine(standin.address)
    yield http_engine
    await http_engine.close()


async def test_nothing_listening_means_nothing_sent(standin, adapter):
    """Guards against a refused connection reported as an unknown effect."""
    await standin.close()
    with pytest.raises(interfaces.PlatformUnavailableError):
        await adapter.order(ORDER, 500)


async def test_lost_answer_is_unknown(standin, adapter):
    """Guards against an obeyed order reported as not given."""
    standin.set_faults({"drop_order_answer": 1})
    with pytest.raises(interfaces.PlatformUnknownError):
        await adapter.order(ORDER, 500)
    assert standin.role == ORDER


async def test_paused_engine_is_unknown(standin, adapter):
    """Guards against a timeout after sending reported as not sent."""
    standin.set_faults({"paused": True})
    with pytest.raises(interfaces.PlatformUnknownError):
        await adapter.order(ORDER, 100)


async def test_refusal_and_report(standin, adapter):
    """Guards against a fence refusal taken for a fault of the network."""
    report = await adapter.order(ORDER, 500)
    assert (report.group, report.epoch) == ("g1", 7)
    standin.role = interfaces.Order(
        **{**{f: getattr(ORDER, f) for f in ORDER.__slots__}, "fence": 8}
    )
    with pytest.raises(interfaces.OrderRefusedError):
        await adapter.order(ORDER, 500)
    assert (await adapter.report(500)).epoch == 8


async def test_an_order_is_not_written_without_permission(standin, adapter):
    """A lease that ran out while connecting must not lead to an order."""
    with (
        permissions.required(lambda: False),
        pytest.raises(interfaces.PlatformUnavailableError),
    ):
        await adapter.order(ORDER, 500)
    assert standin.role != ORDER


async def test_cache_block_moves(standin, adapter):
    """Guards against an import that the cache events do not show."""
    with pytest.raises(interfaces.PlatformError):
        await adapter.export_cache(5, 500)
    await adapter.import_cache(5, b"kv", 500)
    assert await adapter.export_cache(5, 500) == b"kv"
    events = [event async for event in adapter.cache_events(0)]
    assert [event.added for event in events] == [(5,)]


@pytest.mark.parametrize("body", [[], {}, {"instance": "i", "start_id": 3}])
def test_invalid_report(body):
    """Guards against a malformed report that ends the reader's task."""
    with pytest.raises(interfaces.PlatformError):
        engine_http.report_from(body)


async def test_weight_store_state():
    """Guards against a stalled store that looks like a fast one."""
    store = weights.WeightsStandIn(1_000)
    await store.start("127.0.0.1", 0)
    adapter = weights_http.HttpWeightStore(store.address)
    try:
        assert (await adapter.state(500)).rate_bytes_per_s == 1_000
        store.set_stalled(True)
        assert (await adapter.state(500)).rate_bytes_per_s == 0
        await store.close()
        with pytest.raises(interfaces.PlatformError):
            await adapter.state(500)
    finally:
        await adapter.close()
        await store.close()
