"""Tests of planned stops of gateways that run as separate processes."""

import asyncio
import contextlib
import os
import pathlib
import re
import resource
import signal
import socket

import pytest

from bench import stop_callers, stop_fleet
from oleanderbay.gateway import tunnels, workers
from oleanderbay.process import clock as clocks
from tests.gateway import parts

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


def answer(size):
    return stop_callers.Kind(
        name="post", path=f"/post/x?bytes={size}", deadline_ms=10_000
    )


def count_buffered_bytes():
    """Returns how much the kernel takes for a caller that does not read."""
    with contextlib.ExitStack() as stack:
        listening = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        caller = stack.enter_context(socket.socket())
        caller.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            stop_callers.SLOW_BUFFER_BYTES,
        )
        caller.connect(listening.getsockname())
        accepted = stack.enter_context(listening.accept()[0])
        accepted.setblocking(False)
        size = 0
        with contextlib.suppress(BlockingIOError):
            while True:
                size += accepted.send(bytes(1 << 23))
        return size


class LateReader:
    """Reads nothing from a connection until an event is set."""

    def __init__(self, reader, released):
        self.reader = reader
        self.released = released

    async def readuntil(self, separator):
        await self.released.wait()
        return await self.reader.readuntil(separator)

    async def readexactly(self, size):
        return await self.reader.readexactly(size)

    def at_eof(self):
        return self.reader.at_eof()


class Stopped:
    """Gateway processes with one worker; the first one gets a SIGTERM."""

    def __init__(self, gateways):
        self.clock = clocks.SystemClock()
        self.fleet = stop_fleet.Fleet(
            stop_fleet.Options(
                gateways=gateways,
                workers=1,
                callers=0,
                grace_ms=GRACE_MS,
            ),
            self.clock,
        )
        self.host, *_ = self.fleet.hosts
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
async def stopped(request):
    run = Stopped(getattr(request, "param", 1))
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


async def test_requests_that_end_in_time_are_served_throughout_a_stop(stopped):
    """Guards against refusals of what a stop has time for."""
    kept, busy = [await stopped.connect() for _ in range(2)]
    stopped.terminate()
    long = asyncio.create_task(stopped.ask(busy, stream(LONG_MS)))
    await stopped.sleep_until(EXCUSED_UNTIL_MS - 500)
    # Callers may still have a directory answer that names the gateway.
    new = await stopped.callers.connect(stopped.host, slow=False)
    stopped.connections.append(new)
    short = stream(500, deadline_ms=2_000)
    assert (await stopped.ask(new, short)).status == 200
    await stopped.sleep_until(EXCUSED_UNTIL_MS + 1_000)
    assert (await stopped.ask(kept, short)).status == 200
    sent = await long
    assert sent.complete and sent.status == 200
    assert await stopped.wait_for_exit() < GRACE_MS


# An answer was in the write buffer of its connection when the process ended,
# and its caller, which read slowly, got only a part of it.
async def test_an_answer_that_is_read_slowly_is_not_cut_off(stopped):
    # What the kernel does not take, less than 64 KB, waits in the process.
    kinds = [
        answer(count_buffered_bytes() + size)
        for size in (8_192, 24_576, 40_960, 57_344)
    ]
    released = asyncio.Event()
    asked = []
    for kind in kinds:
        connection = await stopped.callers.connect(stopped.host, slow=True)
        stopped.connections.append(connection)
        connection.reader = LateReader(connection.reader, released)
        asked.append(
            asyncio.create_task(stopped.ask(connection, kind, slow=False))
        )
    await parts.wait_until(lambda: len(stopped.fleet.executions) == len(kinds))
    stopped.terminate()
    await stopped.sleep_until(EXCUSED_UNTIL_MS + 1_000)
    released.set()
    for sent in await asyncio.gather(*asked):
        assert sent.complete and sent.status == 200, sent.kind.path
    assert await stopped.wait_for_exit() < GRACE_MS


# A stop that had found no requests waited for the tunnels of other gateways,
# and then cut off the requests that had come on open connections meanwhile.
@pytest.mark.parametrize("stopped", [2], indirect=True)
async def test_no_request_is_cut_off_once_the_last_tunnel_closes(stopped):
    kept = await stopped.connect()
    (worker,) = stopped.fleet.workers
    tunnel = await tunnels.open_tunnel(
        stopped.host,
        stopped.fleet.ports["peers"],
        stopped.fleet.hosts[1],
        workers.Worker(
            id=worker.id,
            service=worker.service,
            address=worker.address,
            zone=worker.zone,
            started_ms=worker.born_ms,
        ),
    )
    stopped.terminate()
    await stopped.sleep_until(EXCUSED_UNTIL_MS + 300)
    asked = asyncio.create_task(
        stopped.ask(kept, stream(1_500, deadline_ms=3_000))
    )
    await stopped.clock.sleep_ms(500)
    tunnel.close()
    late = await asked
    ran = [e for e in worker.executions if e.request_id == late.id]
    assert late.complete or not ran, "cut off by the stop"
    assert await stopped.wait_for_exit() < GRACE_MS


# The kernel resets a connection whose process has ended as soon as more bytes
# come from its caller, and discards the part of an answer that is under way.
async def test_an_answer_under_way_survives_further_bytes_of_its_caller(
    stopped,
):
    released = asyncio.Event()
    connection = await stopped.callers.connect(stopped.host, slow=True)
    stopped.connections.append(connection)
    connection.reader = LateReader(connection.reader, released)
    asked = asyncio.create_task(
        stopped.ask(connection, answer(1_000_000), slow=False)
    )
    await parts.wait_until(lambda: stopped.fleet.executions)
    stopped.terminate()
    await stopped.sleep_until(EXCUSED_UNTIL_MS + 500)
    # Empty lines between requests are allowed.
    connection.writer.write(b"\r\n")
    await stopped.clock.sleep_ms(300)
    released.set()
    assert (await asked).complete
    assert await stopped.wait_for_exit() < GRACE_MS


# The listener could not be closed without a free descriptor, so that the stop
# failed and cut off streams that had time to end.
async def test_a_stop_without_a_free_descriptor_cuts_off_no_request(stopped):
    kept = [await stopped.connect() for _ in range(2)]
    asked = [
        asyncio.create_task(stopped.ask(connection, stream(5_000)))
        for connection in kept
    ]
    await stopped.clock.sleep_ms(500)
    pid = stopped.fleet.processes.by_name[stopped.host].pid
    limit = 1 + max(map(int, os.listdir(f"/proc/{pid}/fd")))
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limit))
    # Take the descriptors that are free below the limit.
    for _ in range(20):
        connection = await stopped.callers.connect(stopped.host, slow=False)
        stopped.connections.append(connection)
    stopped.terminate()
    for sent in asked:
        assert (await sent).complete
    assert await stopped.wait_for_exit() < GRACE_MS


def ignores_sighup(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    masks = re.findall(r"^Sig(?:Ign|Cgt):\t(\w+)$", status, re.MULTILINE)
    return any(int(mask, 16) >> signal.SIGHUP - 1 & 1 for mask in masks)


def has_imported(pid, extension):
    return extension in pathlib.Path(f"/proc/{pid}/maps").read_text()


# The settings file may change while a process starts; a SIGHUP that came before
# all modules were imported ended it.
async def test_a_sighup_during_the_start_does_not_end_the_process(stopped):
    processes = stopped.fleet.processes
    await processes.kill(stopped.host)
    await stopped.fleet.start_gateway(stopped.host)
    pid = processes.by_name[stopped.host].pid
    async with asyncio.timeout(10):
        while not ignores_sighup(pid):
            await stopped.clock.sleep_ms(1)
    assert not has_imported(pid, "_http_parser")
    processes.send_signal(stopped.host, signal.SIGHUP)
    await stopped.fleet.wait_ready(stopped.host)
