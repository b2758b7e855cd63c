"""Tests of connection reuse against a worker with scripted raw responses."""

import asyncio
import contextlib
import dataclasses
import os
import socket

import multidict
import pytest

from oleanderbay.gateway import interfaces, worker_client
from oleanderbay.process import clock as clocks
from tests.gateway import parts

OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 3\r\n"
TRANSFER_ENCODING = b"Transfer-Encoding: chunked\r\n"
FIXED = OK + LENGTH + b"\r\nabc"
CHUNKED = OK + TRANSFER_ENCODING + b"\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"
TRAILERS = CHUNKED[:-2] + b"A: b\r\n\r\n"
EMPTY = OK + b"Content-Length: 0\r\n\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
REUSABLE = (FIXED, CHUNKED, TRAILERS, EMPTY)


class Worker:
    """Sends one scripted response to each request.

    Attributes:
        responses: Raw responses; the last one is repeated.
        connections: Writers of the connections, in order.
        requests: Index of the connection of each request.
    """

    def __init__(self, *responses, step=0):
        self.responses = list(responses)
        self.step = step
        self.connections = []
        self.requests = []
        self.closed_connections = 0

    async def serve(self, reader, writer):
        number = len(self.connections)
        self.connections.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await self._respond(number, reader, writer)
        self.closed_connections += 1
        writer.close()

    async def _respond(self, number, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"length: 4" in head.lower():
            await reader.readexactly(4)
        self.requests.append(number)
        if len(self.responses) > 1:
            response = self.responses.pop(0)
        else:
            response = self.responses[0]
        if not response:
            raise ConnectionResetError
        step = self.step or len(response)
        for start in range(0, len(response), step):
            writer.write(response[start : start + step])
            await asyncio.sleep(0)


class ClientHarness:
    """A client, a worker and the worker's record."""

    def __init__(self, worker, clock, changes):
        self.worker = worker
        self.clock = clock
        self.record = None
        self.requests = 0
        self.client = parts.make_client(clock, lambda _: self.record, **changes)

    @property
    def idle(self):
        return sum(map(len, self.client.pool.idle.values()))

    async def open(self, reuse=True, body=b"body", method="POST"):
        self.requests += 1
        caller_request = interfaces.CallerRequest(
            id=f"r{self.requests}",
            method=method,
            host="api",
            target="/a",
            headers=multidict.CIMultiDict(Host="api"),
            body=body,
        )
        return await self.client.send_request(
            self.record, caller_request, caller_request.headers, 5_000, reuse
        )

    async def call(self, **options):
        """Sends one request and returns its connection to the pool."""
        received = await self.open(**options)
        body = await received.read_all(5_000, 1 << 24)
        received.close(keep=True)
        return body


@contextlib.asynccontextmanager
async def running_client(*responses, step=0, receive_buffer=0, **changes):
    worker = Worker(*responses, step=step)
    listening_socket = socket.create_server(("127.0.0.1", 0))
    if receive_buffer:
        listening_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
        )
    server = await asyncio.start_server(worker.serve, sock=listening_socket)
    host, port = server.sockets[0].getsockname()
    harness = ClientHarness(worker, clocks.ManualClock(), changes)
    harness.record = parts.worker("w0", address=f"{host}:{port}")
    await harness.client.start()
    try:
        yield harness
    finally:
        await harness.client.close()
        server.close()
        await parts.wait_until(
            lambda: worker.closed_connections == len(worker.connections)
        )


@pytest.mark.parametrize("step", [0, 1, 5])
@pytest.mark.parametrize("response", REUSABLE)
async def test_connection_is_reused(response, step):
    """A new connection would cost a round trip."""
    async with running_client(response, CHUNKED, step=step) as harness:
        for expected in (b"" if response == EMPTY else b"abc", b"abc", b"abc"):
            assert await harness.call() == expected
        assert harness.worker.requests == [0, 0, 0]


NOT_REUSABLE = {
    "close": FIXED.replace(LENGTH, LENGTH + b"Connection: close\r\n"),
    "close in a list": FIXED.replace(
        LENGTH, LENGTH + b"Connection: Keep-Alive, CLOSE\r\n"
    ),
    "last request": FIXED.replace(LENGTH, LENGTH + b"Keep-Alive: max=0\r\n"),
    "interim": EARLY_HINTS + FIXED,
    "old version": FIXED.replace(b"1.1", b"1.0").replace(
        LENGTH, LENGTH + b"Connection: keep-alive\r\n"
    ),
    "no body": b"HTTP/1.1 204 No Content\r\n\r\n",
    "not modified": b"HTTP/1.1 304 Not Modified\r\n" + LENGTH + b"\r\n",
    "zero timeout": FIXED.replace(
        LENGTH, LENGTH + b"Keep-Alive: timeout=0\r\n"
    ),
}


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize("response", NOT_REUSABLE.values(), ids=NOT_REUSABLE)
async def test_connection_is_closed_after_some_responses(response, step):
    """The next request could get a part of this response, or no response."""
    async with running_client(response, FIXED, step=step) as harness:
        await harness.call()
        assert not harness.idle
        assert await harness.call() == b"abc"
        assert harness.worker.requests == [0, 1]


async def test_connection_is_closed_if_the_end_is_uncertain():
    """It is unknown whether the next byte starts another response."""
    size = 1 << 20
    large = OK + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    async with running_client(OK + b"\r\n", large, FIXED) as harness:
        assert await harness.call(method="HEAD") == b""
        # The parser buffers data that its reader has no room for.
        assert len(await harness.call()) == size
        await harness.call()
        assert harness.worker.requests == [0, 1, 2]


@pytest.mark.parametrize("response", REUSABLE)
@pytest.mark.parametrize(
    "surplus", [b"x", b"H", b"\r\n", b"\r\n\r\n", FIXED, EARLY_HINTS]
)
async def test_surplus_bytes_close_the_connection(response, surplus):
    """They would be parsed as the start of the next response."""
    data = response + surplus
    for step in range(1, len(data) + 1):
        async with running_client(data, step=step) as harness:
            received = await harness.open()
            await received.read_all(5_000, 1_000)
            received.close(keep=True)
            # The rest may arrive after the connection was returned to the pool.
            await parts.wait_until(
                lambda o=received: not o.response.tcp_connection.reusable
            )
            assert harness.client.pool.acquire(harness.record) is None, step


@pytest.mark.parametrize("data", [b"x", None])
@pytest.mark.parametrize("read", [True, False])
async def test_data_or_close_ends_an_idle_connection(data, read):
    """The event loop may not have read it when the next request is sent."""
    async with running_client(FIXED) as harness:
        await harness.call()
        assert harness.idle == 1
        worker_socket = harness.worker.connections[0].get_extra_info("socket")
        if data is None:
            worker_socket = socket.fromfd(
                worker_socket.fileno(), socket.AF_INET, socket.SOCK_STREAM
            )
            worker_socket.shutdown(socket.SHUT_WR)
            worker_socket.close()
        else:
            os.write(worker_socket.fileno(), data)
        if read:
            await parts.wait_until(lambda: not harness.idle)
        assert await harness.call() == b"abc"
        assert harness.worker.requests == [0, 1]


async def test_unread_response_closes_the_connection():
    """The rest of it would be parsed as the start of the next response."""
    async with running_client(FIXED, CHUNKED[:-5], FIXED) as harness:
        (await harness.open()).close(keep=True)
        received = await harness.open()
        assert await received.read(5_000)
        received.close(keep=True)
        received = await harness.open()
        await received.read_all(5_000, 1_000)
        received.close()
        assert not harness.idle
        assert harness.worker.requests == [0, 1, 2]


async def test_cancelled_request_closes_the_connection():
    """A late response must not be matched to the next request."""
    async with running_client(FIXED, EARLY_HINTS) as harness:
        await harness.call()
        task = asyncio.create_task(harness.open())
        await parts.wait_until(lambda: harness.worker.requests == [0, 0])
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await parts.wait_until(lambda: harness.worker.closed_connections == 1)
        assert not harness.idle


@pytest.mark.parametrize(
    ("header", "expires_ms"),
    [
        (b"", 1_000),
        (b"Keep-Alive: max=7\r\n", 1_000),
        (b"Keep-Alive: timeout=5, max=7\r\n", 4_800),
        (b'Keep-Alive: Timeout="5"\r\n', 4_800),
        (b"Keep-Alive: timeout=5\r\nKeep-Alive: timeout=2\r\n", 1_800),
        (b"Keep-Alive: timeout=x\r\n", 1_000),
        (b"Keep-Alive: timeout=100\r\n", 29_800),
    ],
)
@pytest.mark.parametrize("checked", [True, False])
async def test_idle_connection_expires(header, expires_ms, checked):
    """A request is lost if the worker closes the connection meanwhile."""
    async with running_client(
        FIXED.replace(LENGTH, LENGTH + header)
    ) as harness:
        advance = (
            harness.clock.advance
            if checked
            else lambda by_ms: asyncio.sleep(
                0, harness.clock.set_ms(harness.clock.now_ms() + by_ms)
            )
        )
        await harness.call()
        await advance(expires_ms - 1)
        await harness.call()
        assert harness.worker.requests == [0, 0]
        await advance(expires_ms + 100)
        assert harness.idle == (not checked)
        await harness.call()
        assert harness.worker.requests == [0, 0, 1]


@pytest.mark.parametrize(
    "change",
    [
        None,
        {"started_ms": 1},
        {"address": "127.0.0.1:1"},
    ],
)
async def test_connections_to_an_unavailable_worker_are_closed(change):
    """A worker that restarted or left must get no requests on them."""
    async with running_client(FIXED) as harness:
        await harness.call()
        record = harness.record
        harness.record = change and dataclasses.replace(record, **change)
        assert harness.client.pool.acquire(record) is None
        harness.record = record
        await harness.call()
        harness.record = change and dataclasses.replace(record, **change)
        await harness.clock.advance(200)
        assert not harness.idle
        await parts.wait_until(lambda: harness.worker.closed_connections == 2)


async def test_unavailable_workers_accept_no_requests():
    """Idle connections are closed for every reason not to select a worker."""
    known = parts.GatewayParts()
    record = parts.worker("w0")
    for change in (
        lambda: known.drop("w0"),
        lambda: known.add(dataclasses.replace(record, draining=True)),
        lambda: known.worker_health.suspect("w0"),
        lambda: known.worker_health.lost.update(w0=record.started_ms),
        lambda: known.state.apply_configuration(
            interfaces.KeyedRecord(99, "zone/z1", b"1")
        ),
    ):
        known.add(record)
        assert known.selector.accepting_worker("w0") == record
        change()
        assert known.selector.accepting_worker("w0") is None
        known.worker_health.lost.clear()
        known.worker_health.record_activity("w0")


@pytest.mark.parametrize(
    ("pooled", "changes"),
    [
        (2, {"idle_per_worker": 2}),
        (2, {"idle_per_worker": 7, "gateway_count": 3}),
        (0, {"idle_per_worker": 2, "gateway_count": 3}),
        (3, {"idle_in_all": 3}),
        (0, {"idle_ms": 0}),
    ],
)
async def test_number_of_idle_connections_is_limited(pooled, changes):
    """Workers limit their connections over all gateways."""
    async with running_client(FIXED, **changes) as harness:
        responses = [await harness.open() for _ in range(5)]
        for response in responses:
            await response.read_all(5_000, 1_000)
        for response in responses:
            response.close(keep=True)
        assert harness.idle == pooled
        await parts.wait_until(
            lambda: harness.worker.closed_connections == 5 - pooled
        )
        # With more gateways, each gets a smaller share.
        harness.client.pool.gateway_count = lambda: 1_000
        await harness.clock.advance(200)
        assert not harness.idle
        late = await harness.open()
        await late.read_all(5_000, 1_000)
        await harness.client.close()
        late.close(keep=True)
        assert not harness.idle
        await parts.wait_until(lambda: harness.worker.closed_connections >= 5)


async def test_requests_that_must_not_reuse_a_connection():
    """A large body on a reused connection could time out at a busy worker."""
    async with running_client(FIXED) as harness:
        await harness.call()
        await harness.call(reuse=False)
        large = b"x" * (worker_client.MAX_REUSE_BODY_BYTES + 1)
        (await harness.open(body=large)).close()
        assert harness.worker.requests == [0, 1, 2]


async def test_unacknowledged_request_is_unreachable():
    """The operating system closes a connection without acknowledgements."""
    async with running_client(
        FIXED, receive_buffer=1, connect_timeout_ms=70
    ) as harness:
        await harness.call()
        # A full receive buffer keeps the peer from acknowledging data.
        transport = harness.worker.connections[0].transport
        transport.pause_reading()
        with pytest.raises(worker_client.AttemptError) as failed:
            await harness.open(body=b"x" * worker_client.MAX_REUSE_BODY_BYTES)
        transport.abort()
    assert failed.value.may_have_arrived and failed.value.unreachable
