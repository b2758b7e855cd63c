"""Tests of planned stops of gateways that run as separate processes."""

import asyncio
import contextlib
import signal

import pytest

from bench import planned_stops, stop_callers
from oleanderbay.process import clock as clocks

GRACE_MS = 8_000
# Callers use directory answers until then, so the end of the grace period may
# cut off only requests that were sent before.
EXCUSED_UNTIL_MS = 3_000
LONG_MS = 6_600


def stream(duration_ms, deadline_ms=10_000):
    return stop_callers.Kind(
        name="stream",
        path=f"/stream/x?events={duration_ms // 100}&gap_ms=100&bytes=100",
        deadline_ms=deadline_ms,
    )


class Stopped:
    """One gateway process with one worker, which gets a SIGTERM."""

    def __init__(self):
        self.clock = clocks.SystemClock()
        self.fleet = planned_stops.Fleet(
            planned_stops.Options(
                gateways=1, workers=1, callers=0, grace_ms=GRACE_MS
            ),
            self.clock,
        )
        (self.host,) = self.fleet.hosts
        self.callers = stop_callers.Callers(
            0,
            0.0,
            (),
            self.fleet.ports["callers"],
            lambda: [self.host],
            lambda host: 1,
            1,
            self.clock,
        )
        self.term_ms = 0
        self.connections = []

    async def connect(self):
        """Returns a connection that has carried a request."""
        connection = await self.callers.connect(self.host, slow=False)
        assert connection is not None
        self.connections.append(connection)
        answer = await self.ask(connection, stream(100))
        assert answer.complete and connection.open
        return connection

    async def ask(self, connection, kind, slow=False):
        return await self.callers.ask(self.host, connection, kind, slow)

    def terminate(self):
        self.fleet.processes.send_signal(self.host, signal.SIGTERM)
        self.term_ms = self.clock.now_ms()

    async def sleep_until(self, after_ms):
        """Waits until a time after the SIGTERM."""
        await self.clock.sleep_ms(self.term_ms + after_ms - self.clock.now_ms())

    async def wait_for_exit(self):
        """Waits for the end of the process; returns ms after the SIGTERM."""
        await self.fleet.processes.by_name.pop(self.host).wait()
        return self.clock.now_ms() - self.term_ms


@pytest.fixture
async def stopped():
    run = Stopped()
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(run.fleet.close)
        await run.fleet.start()
        yield run
        for connection in run.connections:
            connection.close()


# Incident of 2026-12-05: streams that came later than callers' directory
# answers live were accepted, passed on and cut off at the end of a stop.
@pytest.mark.parametrize("after_ms", [EXCUSED_UNTIL_MS + 300, 4_200])
async def test_a_request_after_the_directory_expired_is_never_cut_off(
    after_ms, stopped
):
    kept, busy = [await stopped.connect() for _ in range(2)]
    stopped.terminate()
    # Keeps the process from ending before the late request.
    first = asyncio.create_task(stopped.ask(busy, stream(after_ms + 500)))
    await stopped.sleep_until(after_ms)
    late = await stopped.ask(kept, stream(LONG_MS))
    assert (await first).complete
    ran = stopped.fleet.executions.get(late.id, [])
    assert late.complete, f"status {late.status}, cut off by the stop"
    assert late.status == 503 and not ran
    assert await stopped.wait_for_exit() < GRACE_MS
