"""Tests of idle connections, byte by byte against a small worker."""

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
CODING = b"Transfer-Encoding: chunked\r\n"
FIXED = OK + LENGTH + b"\r\nabc"
CHUNKED = OK + CODING + b"\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"
TRAILERS = CHUNKED[:-2] + b"A: b\r\n\r\n"
EMPTY = OK + b"Content-Length: 0\r\n\r\n"
EARLY = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
WHOLE = (FIXED, CHUNKED, TRAILERS, EMPTY)


class Worker:
    """Gives one prepared answer to each request.

    Attributes:
        answers: What it writes, the last one for ever.
        connections: The connections, in order.
        requests: Number of the connection that each request came on.
    """

    def __init__(self, *answers, step=0):
        self.answers = list(answers)
        self.step = step
        self.connections = []
        self.requests = []
        self.ended = 0

    async def serve(self, reader, writer):
        number = len(self.connections)
        self.connections.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await self._answer(number, reader, writer)
        self.ended += 1
        writer.close()

    async def _answer(self, number, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"length: 4" in head.lower():
            await reader.readexactly(4)
        self.requests.append(number)
        if len(self.answers) > 1:
            answer = self.answers.pop(0)
        else:
            answer = self.answers[0]
        if not answer:
            raise ConnectionResetError
        step = self.step or len(answer)
        for start in range(0, len(answer), step):
            writer.write(answer[start : start + step])
            await asyncio.sleep(0)


class Site:
    """A sender, its worker and the worker's record."""

    def __init__(self, worker, clock, changes):
        self.worker = worker
        self.clock = clock
        self.record = None
        self.sender = parts.sender(clock, lambda _: self.record, **changes)

    @property
    def idle(self):
        return sum(map(len, self.sender.pool.idle.values()))

    async def open(self, reuse=True, body=b"body", method="POST"):
        call = interfaces.CallerRequest(
            id="r1",
            method=method,
            host="api",
            target="/a",
            headers=multidict.CIMultiDict(Host="api"),
            body=body,
        )
        return await self.sender.send_request(
            self.record, call, call.headers, 5_000, reuse
        )

    async def call(self, **options):
        """Sends one request and keeps its connection if that is allowed."""
        opened = await self.open(**options)
        body = await opened.read_all(5_000, 1 << 24)
        opened.close(keep=True)
        return body


@contextlib.asynccontextmanager
async def site(*answers, step=0, window=0, **changes):
    worker = Worker(*answers, step=step)
    listening = socket.create_server(("127.0.0.1", 0))
    if window:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    server = await asyncio.start_server(worker.serve, sock=listening)
    host, port = server.sockets[0].getsockname()
    made = Site(worker, clocks.ManualClock(), changes)
    made.record = parts.worker("w0", address=f"{host}:{port}")
    await made.sender.start()
    try:
        yield made
    finally:
        await made.sender.close()
        server.close()
        await parts.until(lambda: worker.ended == len(worker.connections))


@pytest.mark.parametrize("step", [0, 1, 5])
@pytest.mark.parametrize("answer", WHOLE)
async def test_a_connection_carries_the_next_request(answer, step):
    """A new connection costs a round trip."""
    async with site(answer, CHUNKED, step=step) as made:
        for expected in (b"" if answer == EMPTY else b"abc", b"abc", b"abc"):
            assert await made.call() == expected
        assert made.worker.requests == [0, 0, 0]


UNFIT = {
    "close": FIXED.replace(LENGTH, LENGTH + b"Connection: close\r\n"),
    "close in a list": FIXED.replace(
        LENGTH, LENGTH + b"Connection: Keep-Alive, CLOSE\r\n"
    ),
    "last request": FIXED.replace(LENGTH, LENGTH + b"Keep-Alive: max=0\r\n"),
    "interim": EARLY + FIXED,
    "old version": FIXED.replace(b"1.1", b"1.0").replace(
        LENGTH, LENGTH + b"Connection: keep-alive\r\n"
    ),
    "no body": b"HTTP/1.1 204 No Content\r\n\r\n",
    "not modified": b"HTTP/1.1 304 Not Modified\r\n" + LENGTH + b"\r\n",
    "no keeping": FIXED.replace(LENGTH, LENGTH + b"Keep-Alive: timeout=0\r\n"),
}


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize("answer", UNFIT.values(), ids=UNFIT)
async def test_some_answers_end_their_connection(answer, step):
    """The next request could get a part of this answer or none."""
    async with site(answer, FIXED, step=step) as made:
        await made.call()
        assert not made.idle
        assert await made.call() == b"abc"
        assert made.worker.requests == [0, 1]


async def test_an_answer_without_framing_or_check_ends_the_connection():
    """Nothing shows that the next byte begins another answer."""
    size = 1 << 20
    large = OK + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    async with site(OK + b"\r\n", large, FIXED) as made:
        assert await made.call(method="HEAD") == b""
        # The parser holds back what its reader has no room for.
        assert len(await made.call()) == size
        await made.call()
        assert made.worker.requests == [0, 1, 2]


@pytest.mark.parametrize("answer", WHOLE)
@pytest.mark.parametrize(
    "extra", [b"x", b"H", b"\r\n", b"\r\n\r\n", FIXED, EARLY]
)
async def test_a_surplus_byte_ends_the_connection(answer, extra):
    """It would be read as the begin of the next answer."""
    data = answer + extra
    for step in range(1, len(data) + 1):
        async with site(data, step=step) as made:
            opened = await made.open()
            await opened.read_all(5_000, 1_000)
            opened.close(keep=True)
            # The rest may come after the connection was kept.
            await parts.until(
                lambda o=opened: not o.response.tcp_connection.reusable
            )
            assert made.sender.pool.acquire(made.record) is None, step


@pytest.mark.parametrize("sign", [b"x", None])
@pytest.mark.parametrize("read", [True, False])
async def test_a_sign_of_life_ends_an_idle_connection(sign, read):
    """The loop may not have read it yet when the next request comes."""
    async with site(FIXED) as made:
        await made.call()
        assert made.idle == 1
        worker_socket = made.worker.connections[0].get_extra_info("socket")
        if sign is None:
            worker_socket = socket.fromfd(
                worker_socket.fileno(), socket.AF_INET, socket.SOCK_STREAM
            )
            worker_socket.shutdown(socket.SHUT_WR)
            worker_socket.close()
        else:
            os.write(worker_socket.fileno(), sign)
        if read:
            await parts.until(lambda: not made.idle)
        assert await made.call() == b"abc"
        assert made.worker.requests == [0, 1]


async def test_an_answer_that_is_not_read_to_its_end_ends_the_connection():
    """Its rest would be read as the begin of the next answer."""
    async with site(FIXED, CHUNKED[:-5], FIXED) as made:
        (await made.open()).close(keep=True)
        opened = await made.open()
        assert await opened.read(5_000)
        opened.close(keep=True)
        opened = await made.open()
        await opened.read_all(5_000, 1_000)
        opened.close()
        assert not made.idle
        assert made.worker.requests == [0, 1, 2]


async def test_a_request_without_an_answer_ends_the_connection():
    """A late answer must not reach the next request."""
    async with site(FIXED, EARLY) as made:
        await made.call()
        task = asyncio.create_task(made.open())
        await parts.until(lambda: made.worker.requests == [0, 0])
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await parts.until(lambda: made.worker.ended == 1)
        assert not made.idle


@pytest.mark.parametrize(
    ("stated", "kept_ms"),
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
@pytest.mark.parametrize("reviewed", [True, False])
async def test_a_connection_is_not_kept_for_longer_than_it_lasts(
    stated, kept_ms, reviewed
):
    """A worker that closes it would lose the request."""
    async with site(FIXED.replace(LENGTH, LENGTH + stated)) as made:
        advance = (
            made.clock.advance
            if reviewed
            else lambda by_ms: asyncio.sleep(
                0, made.clock.set_ms(made.clock.now_ms() + by_ms)
            )
        )
        await made.call()
        await advance(kept_ms - 1)
        await made.call()
        assert made.worker.requests == [0, 0]
        await advance(kept_ms + 100)
        assert made.idle == (not reviewed)
        await made.call()
        assert made.worker.requests == [0, 0, 1]


@pytest.mark.parametrize(
    "change",
    [
        None,
        {"started_ms": 1},
        {"address": "127.0.0.1:1"},
    ],
)
async def test_connections_of_a_worker_that_is_out_are_closed(change):
    """A worker that has restarted or left must get nothing on them."""
    async with site(FIXED) as made:
        await made.call()
        record = made.record
        made.record = change and dataclasses.replace(record, **change)
        assert made.sender.pool.acquire(record) is None
        made.record = record
        await made.call()
        made.record = change and dataclasses.replace(record, **change)
        await made.clock.advance(200)
        assert not made.idle
        await parts.until(lambda: made.worker.ended == 2)


async def test_a_worker_that_may_get_nothing_new_is_out():
    """Each reason not to choose a worker ends its idle connections."""
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
    ("kept", "changes"),
    [
        (2, {"idle_per_worker": 2}),
        (2, {"idle_per_worker": 7, "gateways": 3}),
        (0, {"idle_per_worker": 2, "gateways": 3}),
        (3, {"idle_in_all": 3}),
        (0, {"idle_ms": 0}),
    ],
)
async def test_the_number_of_idle_connections_is_bounded(kept, changes):
    """Workers bound their connections over all gateways."""
    async with site(FIXED, **changes) as made:
        opened = [await made.open() for _ in range(5)]
        for one in opened:
            await one.read_all(5_000, 1_000)
        for one in opened:
            one.close(keep=True)
        assert made.idle == kept
        await parts.until(lambda: made.worker.ended == 5 - kept)
        # More gateways leave a smaller share to each.
        made.sender.pool.gateway_count = lambda: 1_000
        await made.clock.advance(200)
        assert not made.idle
        late = await made.open()
        await late.read_all(5_000, 1_000)
        await made.sender.close()
        late.close(keep=True)
        assert not made.idle
        await parts.until(lambda: made.worker.ended >= 5)


async def test_only_a_request_that_may_use_an_idle_connection_does():
    """A large body could wait for a worker that is only busy."""
    async with site(FIXED) as made:
        await made.call()
        await made.call(reuse=False)
        large = b"x" * (worker_client.MAX_REUSE_BODY_BYTES + 1)
        (await made.open(body=large)).close()
        assert made.worker.requests == [0, 1, 2]


async def test_a_silent_connection_ends_like_a_refused_one():
    """The system gives up a request that the worker's does not confirm."""
    async with site(FIXED, window=1, connect_timeout_ms=70) as made:
        await made.call()
        # A full receive buffer is the way to keep the system from confirming.
        transport = made.worker.connections[0].transport
        transport.pause_reading()
        with pytest.raises(worker_client.AttemptError) as failed:
            await made.open(body=b"x" * worker_client.MAX_REUSE_BODY_BYTES)
        transport.abort()
    assert failed.value.may_have_arrived and failed.value.unreachable
