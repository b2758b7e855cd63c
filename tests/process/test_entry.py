"""Tests of a whole entry: readiness, metrics and graceful shutdown."""

import asyncio
import contextlib
import dataclasses
import json

import aiohttp

from oleanderbay.process import clock as clocks
from oleanderbay.process import entry as entries
from oleanderbay.process import settings
from oleanderbay.standins import callers, fleet

SMALL = fleet.FleetSettings(
    zones=("zone-a",),
    groups=1,
    members=1,
    engines_per_zone=1,
    load_ms=0,
    token_interval_ms=20,
)
HEADERS = {
    "Oleanderbay-Fleet": fleet.FLEET,
    "Oleanderbay-Team": fleet.TEAM,
    "model": fleet.MODEL,
}


@contextlib.asynccontextmanager
async def _serving():
    """Runs a fleet of one entry and one engine until it serves."""
    shown = fleet.Fleet(SMALL)
    try:
        async with asyncio.timeout(60):
            await shown.start()
            entry = shown.entries[0]
            await shown.wait(lambda: entry.sending() is None, 10_000)
            await shown.apply(*shown.declarations())
            await shown.wait(lambda: shown.eligible_count() == 1, 20_000)
            caller = callers.Caller(
                [entry.me.caller_address], HEADERS, shown.clock
            )
            # The first permits come only seconds after the start; a stream
            # that still waits for one is not in progress at an engine.
            while not (await caller.stream("warm", 1)).complete:
                caller.failures.clear()
            yield shown, entry, caller
            await caller.close()
    finally:
        await shown.close()


async def _running(shown, count):
    """Waits until the engine runs a number of streams."""
    return await shown.wait(
        lambda: sum(len(e.running) for e in shown.engines.values()) == count,
        20_000,
    )


async def _step(shown, clock, condition):
    """Moves the clock of a shutdown until a condition holds."""
    while not condition():
        await clock.advance(entries.SHUTDOWN_STEP_MS)
        await shown.clock.sleep_ms(entries.SHUTDOWN_STEP_MS)


async def _get(entry, path):
    url = f"http://127.0.0.1:{entry.admin.port}{path}"
    async with (
        aiohttp.ClientSession() as session,
        session.get(url) as answer,
    ):
        return answer.status, await answer.text()


async def test_graceful_shutdown_cuts_off_nothing():
    """A planned stop must let streams end and refuse the rest as not run."""
    async with _serving() as (shown, entry, caller):
        assert (await _get(entry, "/healthz"))[0] == 200
        assert (await _get(entry, "/readyz"))[0] == 200
        status = json.loads((await _get(entry, "/status"))[1])
        assert status["pending_groups"] == []
        assert status["ineligible_groups"] == {}
        streams = [
            asyncio.create_task(caller.stream(f"p {number}", 150))
            for number in range(2)
        ]
        assert await _running(shown, 2)
        # The address answer of the warm-up lasts 1 s, which had passed
        # before the shutdown in slow runs. The shutdown starts in its last ms.
        clock = clocks.ManualClock()
        clock.set_ms(entry.serving.directory.last_expiry_ms - 1)
        assert clock.now_ms() > 0
        entry.clock = clock
        stopping = asyncio.create_task(entry.shut_down())
        await shown.wait(lambda: entry.replication.members.me.leaving, 10_000)
        assert (await _get(entry, "/readyz"))[0] == 503
        assert entry.serving.directory.build_response("")["addresses"] == []
        # Callers may use the address until their answer expires.
        assert entry.arriving() is None
        status, metrics = await _get(entry, "/metrics")
        assert status == 200
        assert "oleanderbay_requests_in_progress" in metrics
        await _step(shown, clock, lambda: entry.closing)
        refused = await caller.call(fleet.DESK, "x", b"", {})
        assert refused.outcome == "not-run"
        await _step(shown, clock, stopping.done)
        replies = await asyncio.gather(*streams)
        assert [reply.complete for reply in replies] == [True, True]
        assert not caller.failures
        assert await stopping is True
        assert shown.bookings() == 0


async def _stream(entry, count):
    """Returns status, outcome and whether the answer was whole."""
    body = {
        "model": fleet.MODEL,
        "prompt": "late",
        "max_tokens": count,
        "stream": True,
    }
    url = f"http://{entry.me.caller_address}/v1/completions"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=body, headers=HEADERS) as answer,
    ):
        known = answer.headers["Oleanderbay-Outcome"]
        try:
            await answer.read()
        except aiohttp.ClientError:
            return answer.status, known, False
        return answer.status, known, True


# With a short limit, streams were accepted until callers' address answers had
# expired, up to the very end of a planned stop, and then cut off.
async def test_a_request_late_in_a_short_shutdown_is_refused_as_not_run():
    async with _serving() as (shown, entry, _):
        entry.config = dataclasses.replace(
            entry.config, shutdown=settings.ShutdownSettings(limit_ms=900)
        )
        clock = clocks.ManualClock()
        clock.set_ms(entry.serving.directory.last_expiry_ms - 800)
        entry.clock = clock
        stopping = asyncio.create_task(entry.shut_down())
        await shown.wait(lambda: entry.replication.members.me.leaving, 10_000)
        early = asyncio.create_task(_stream(entry, 10))
        assert await early == (200, "answered", True)
        for _ in range(500 // entries.SHUTDOWN_STEP_MS):
            await clock.advance(entries.SHUTDOWN_STEP_MS)
            await shown.clock.sleep_ms(entries.SHUTDOWN_STEP_MS)
        late = asyncio.create_task(_stream(entry, 150))
        await shown.clock.sleep_ms(500)
        await _step(shown, clock, stopping.done)
        assert await late == (503, "not-run", True)
        assert await stopping is True


async def test_a_second_signal_ends_the_wait_if_settings_say_so():
    """An operator in a hurry must not have to kill the process."""
    async with _serving() as (shown, entry, caller):
        stream = asyncio.create_task(caller.stream("p", 100_000))
        assert await _running(shown, 1)
        again = asyncio.Event()
        again.set()
        entry.config = dataclasses.replace(
            entry.config,
            shutdown=settings.ShutdownSettings(second_signal="abort"),
        )
        assert await entry.shut_down(again) is False
        reply = await stream
        assert not reply.complete
