"""Tests of the log adapter against the log stand-in."""

import contextlib

import aiohttp
import pytest
from aiohttp import web

from oleanderbay.native import interfaces, log_http
from oleanderbay.process import clock as clocks
from oleanderbay.standins import log


@contextlib.asynccontextmanager
async def log_client():
    server = log.LogServer(log.Log(clocks.SystemClock()))
    await server.start("127.0.0.1", 0)
    async with aiohttp.ClientSession() as session:
        yield (
            server.log,
            log_http.HttpLog(f"http://{server.address}", session),
        )
    await server.close()


async def test_append_and_read_round_trip():
    """Offsets start at 1 and data is binary-safe."""
    async with log_client() as (_, client):
        assert await client.append("config", b"\x00\xff", 1000) == 1
        assert await client.append("config", b"", 1000) == 2
        page = await client.read("config", 1, 10, 0, 1000)
        assert [(r.offset, r.data) for r in page.records] == [
            (1, b"\x00\xff"),
            (2, b""),
        ]
        assert (page.first, page.end) == (1, 3)
        assert (await client.read("config", 3, 10, 1, 1000)).records == ()


async def test_lost_answer_is_unknown_and_down_is_unavailable():
    """Taking a lost answer for a refusal would lose an accepted change."""
    async with log_client() as (state, client):
        state.faults.lose_answers = 1
        with pytest.raises(interfaces.PlatformUnknownError):
            await client.append("config", b"a", 1000)
        assert state.appended == 1
        state.faults.down = True
        with pytest.raises(interfaces.PlatformUnavailableError):
            await client.append("config", b"b", 1000)
        assert state.appended == 1


async def test_expired_records_name_the_oldest_offset():
    """A follower that is too far behind must learn where to restart."""
    async with log_client() as (state, client):
        for data in (b"a", b"b", b"c"):
            await client.append("config", data, 1000)
        state.expire("config", 3)
        with pytest.raises(interfaces.RecordsExpiredError) as caught:
            await client.read("config", 1, 10, 0, 1000)
        assert caught.value.first == 3


async def test_refused_connection_is_unavailable():
    """Nothing was sent, so the caller may safely try again."""
    async with aiohttp.ClientSession() as session:
        client = log_http.HttpLog("http://127.0.0.1:1", session)
        with pytest.raises(interfaces.PlatformUnavailableError):
            await client.append("config", b"a", 1000)


@pytest.mark.parametrize(
    "status, body, error",
    [
        (200, b"not json", interfaces.PlatformUnknownError),
        (200, b'{"offset": true}', interfaces.PlatformUnknownError),
        (200, b"[]", interfaces.PlatformUnknownError),
        (502, b"", interfaces.PlatformUnknownError),
        (504, b"", interfaces.PlatformUnknownError),
        (503, b"", interfaces.PlatformUnavailableError),
        (429, b"", interfaces.PlatformUnavailableError),
    ],
)
async def test_odd_answers_are_translated(status, body, error):
    """A gateway's error does not show that the append did not happen."""

    async def answer(request):
        return web.Response(status=status, body=body)

    app = web.Application()
    app.add_routes([web.route("*", "/{path:.*}", answer)])
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    async with aiohttp.ClientSession() as session:
        port = runner.addresses[0][1]
        client = log_http.HttpLog(f"http://127.0.0.1:{port}", session)
        with pytest.raises(error):
            await client.append("config", b"a", 1000)
        with pytest.raises(interfaces.PlatformError):
            await client.read("config", 1, 1, 0, 1000)
    await runner.cleanup()


async def test_in_process_client_delays_and_holds_appends():
    """The fake must show an append that lands after its caller gave up."""
    manual = clocks.ManualClock()
    state = log.Log(manual)
    client = log.LogClient(state)
    state.faults.hold_appends, state.faults.hold_ms = 1, 500
    with pytest.raises(interfaces.PlatformUnknownError):
        await client.append("config", b"late", 100)
    assert await client.append("config", b"early", 100) == 1
    await manual.advance(500)
    assert [r.data for r in state.read_now("config", 1, 9).records] == [
        b"early",
        b"late",
    ]
    await state.close()
