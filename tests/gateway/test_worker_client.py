"""Tests of the client's handling of workers' raw responses."""

import asyncio
import contextlib
import socket

import multidict
import pytest

from oleanderbay.connection import sockets
from oleanderbay.gateway import dialing, interfaces, worker_client
from tests.gateway import parts

OK = b"HTTP/1.1 200 OK\r\n"
FIXED = OK + b"Content-Length: 3\r\n\r\nabc"
CHUNKED = (
    OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"
)
NO_CONTENT = b"HTTP/1.1 204 No Content\r\n\r\n"
INTERIM = (
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
)
HEADERS = multidict.CIMultiDict(Host="api")
SURPLUS = (b"", b"x", b"\r\n\r\n", b"\0" * 70_000, FIXED, INTERIM)


@contextlib.asynccontextmanager
async def running_worker(serve):
    """Runs a worker; yields a client and the worker's record."""
    server = await asyncio.start_server(serve, "127.0.0.1")
    host, port = server.sockets[0].getsockname()
    client = parts.make_client()
    await client.start()
    try:
        yield client, parts.worker("w0", address=f"{host}:{port}")
    finally:
        await client.close()
        server.close()


async def exchange(
    response, step=0, read=True, reset=False, target="/a", max_bytes=1_000
):
    """Returns the request that was sent, and the response or the error."""
    sent = bytearray()

    async def serve(reader, writer):
        if read:
            sent.extend(await reader.readuntil(b"\r\n\r\n"))
            if b"length: " in sent.lower():
                await reader.readexactly(4)
        for start in range(0, len(response), step or len(response)):
            writer.write(response[start : start + (step or len(response))])
            if step:
                await asyncio.sleep(0)
        if reset:
            # Lets the client read the data before the reset discards it.
            await asyncio.sleep(0.02)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, sockets.RESET_ON_CLOSE
            )
            writer.transport.abort()
        else:
            writer.close()

    caller_request = interfaces.CallerRequest(
        id="r1",
        method="POST",
        host="api",
        target=target,
        headers=HEADERS,
        body=b"body",
    )
    async with running_worker(serve) as (client, worker):
        try:
            received = await client.send_request(
                worker, caller_request, caller_request.headers, 5_000
            )
            result = received.status, await received.read_all(5_000, max_bytes)
            received.close()
        except worker_client.AttemptError as error:
            result = error
    return bytes(sent), result


@pytest.mark.parametrize("step", [0, 5])
@pytest.mark.parametrize("response", [FIXED, CHUNKED, NO_CONTENT])
@pytest.mark.parametrize("interim", [b"", INTERIM])
async def test_surplus_bytes_do_not_invalidate_a_response(
    response, interim, step
):
    """A request with a complete response must not be sent again."""
    expected = (204, b"") if response == NO_CONTENT else (200, b"abc")
    for surplus in SURPLUS:
        if step and len(surplus) > 1_000:
            continue
        _, result = await exchange(interim + response + surplus, step)
        assert result == expected, surplus[:20]


async def test_response_before_the_body_is_read():
    """A worker may respond without reading the request body."""
    _, result = await exchange(FIXED, read=False)
    assert result == (200, b"abc")


@pytest.mark.parametrize("response", [FIXED, CHUNKED, INTERIM + CHUNKED])
async def test_truncated_response_is_never_complete(response):
    """A truncated response must not be taken for a complete one."""
    for end in range(len(response)):
        _, result = await exchange(response[:end])
        assert (
            isinstance(result, worker_client.AttemptError)
            and result.may_have_arrived
        ), end


@pytest.mark.parametrize(
    "response",
    [
        CHUNKED.replace(b"2\r", b"x\r"),
        CHUNKED.replace(b"2\r", b"1\r"),
        FIXED.replace(b": 3", b": x"),
        FIXED.replace(b"\r\n\r\n", b"\r\nContent-Length: 2\r\n\r\n"),
        FIXED.replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"),
        b"\0" + FIXED,
    ],
)
@pytest.mark.parametrize("step", [0, 5])
async def test_malformed_response_fails(response, step):
    """A malformed response must not time out or look complete."""
    _, result = await exchange(response, step)
    assert (
        isinstance(result, worker_client.AttemptError) and not result.timed_out
    )


async def test_response_without_length_ends_at_close():
    """A reset instead of a close means that data is missing."""
    response = OK + b"\r\nabc"
    assert (await exchange(response))[1] == (200, b"abc")
    _, result = await exchange(response, reset=True)
    assert isinstance(result, worker_client.AttemptError)


@pytest.mark.parametrize(
    "target", ["/a?", "/?", "/a/../b", "/a//b", "//a", "/%zz?b=%2f&c", "/a??"]
)
async def test_target_is_sent_unchanged(target):
    """A worker must receive exactly the target that the caller sent."""
    sent, _ = await exchange(FIXED, target=target)
    assert sent.split()[1].decode() == target


@pytest.mark.parametrize("method", ["GET", "PUT"])
async def test_aiohttp_does_not_retry(method):
    """Only the gateway may retry, depending on the route and the budget."""
    request_count = 0

    async def serve(reader, writer):
        nonlocal request_count
        await reader.readuntil(b"\r\n\r\n")
        request_count += 1
        writer.close()

    async with running_worker(serve) as (client, worker):
        caller_request = interfaces.CallerRequest(
            id="r1", method=method, host="api", target="/a", headers=HEADERS
        )
        with pytest.raises(worker_client.AttemptError) as failed:
            await client.send_request(
                worker, caller_request, caller_request.headers, 5_000
            )
    assert failed.value.may_have_arrived and request_count == 1


CHUNKED_HEAD = OK + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "endless"),
    [
        (b"", b"\r\n" * 4_096),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 256),
        (OK, b"A: b\r\n" * 1_024),
        (b"", b"\0\xff" * 4_096),
        (CHUNKED_HEAD + b"1;", b"a" * 8_192),
        (CHUNKED_HEAD, b"0" * 8_192),
        (CHUNKED_HEAD + b"0\r\n", b"A: b\r\n" * 1_024),
    ],
    ids=(
        "empty lines",
        "interim responses",
        "headers",
        "garbage",
        "chunk extension",
        "chunk size",
        "trailers",
    ),
)
async def test_endless_bytes_that_are_no_answer_end_the_attempt(start, endless):
    """Parsing them until the deadline would use up the processor."""
    closed = asyncio.Event()

    async def serve(reader, writer):
        with contextlib.suppress(OSError):
            writer.write(start)
            while True:
                writer.write(endless)
                await writer.drain()
                await asyncio.sleep(0)
        closed.set()
        writer.close()

    request = interfaces.CallerRequest(
        id="c", method="GET", host="api", target="/", headers=HEADERS
    )
    async with running_worker(serve) as (client, worker):
        with pytest.raises(worker_client.AttemptError) as failed:
            response = await client.send_request(
                worker, request, HEADERS.copy(), 20_000
            )
            await response.read_all(20_000, 1 << 20)
        assert failed.value.may_have_arrived and not failed.value.timed_out
        await parts.wait_until(closed.is_set)


# An attempt lasted for as long as single bytes kept coming, since the time was
# counted anew for each of them: 31 s in place of 6 s.
async def test_slow_body_ends_in_time():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK + b"Content-Length: 100\r\n\r\n")
        with contextlib.suppress(OSError):
            for _ in range(100):
                writer.write(b"a")
                await writer.drain()
                await asyncio.sleep(0.02)
        writer.close()

    request = interfaces.CallerRequest(
        id="c", method="GET", host="api", target="/", headers=HEADERS
    )
    async with running_worker(serve) as (client, worker):
        response = await client.send_request(
            worker, request, HEADERS.copy(), 1_000
        )
        with pytest.raises(worker_client.AttemptError) as failed:
            await response.read_all(200, 1_000)
        response.close()
        assert failed.value.timed_out


async def test_answer_in_small_chunks_is_not_limited():
    """Streams may send each event in a chunk of its own."""
    events = 20_000
    _, (status, body) = await exchange(
        CHUNKED_HEAD + b"1\r\na\r\n" * events + b"0\r\n\r\n",
        max_bytes=events,
    )
    assert (status, len(body)) == (200, events)


@contextlib.asynccontextmanager
async def tunnelled_response(data, reset=False):
    """Yields a response that came through another gateway."""
    served = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.02)
        if reset:
            sockets.reset_on_close(writer.get_extra_info("socket"))
            writer.transport.abort()
        writer.close()
        served.set()

    async def open_socket(host, port):
        dialing._TARGET.get().gateway = "g2"
        return await sockets.connect(host, port)

    server = await asyncio.start_server(serve, "127.0.0.1")
    host, port = server.sockets[0].getsockname()
    client = parts.make_client(idle_ms=1_000)
    client.dialer.open_socket = open_socket
    await client.start()
    caller_request = interfaces.CallerRequest(
        id="r1", method="GET", host="api", target="/a", headers=HEADERS
    )
    worker = parts.worker("w0", address=f"{host}:{port}")
    try:
        yield (
            client,
            await client.send_request(
                worker,
                caller_request,
                caller_request.headers,
                5_000,
                reuse=True,
            ),
        )
    finally:
        await served.wait()
        await client.close()
        server.close()


async def test_a_tunnelled_connection_is_not_kept():
    """Guards against requests on a path that is used only while needed."""
    async with tunnelled_response(FIXED) as (client, response):
        assert await response.read_all(5_000, 1_000) == b"abc"
        response.close(keep=True)
        assert not client.pool.idle


async def test_the_end_of_a_tunnel_does_not_complete_a_response():
    """Guards against a gateway whose end looks like that of an answer."""
    async with tunnelled_response(OK + b"\r\nabc") as (_, response):
        with pytest.raises(worker_client.AttemptError) as raised:
            await response.read_all(5_000, 1_000)
        assert raised.value.tunnelled and raised.value.may_have_arrived
        response.close()


async def test_a_broken_tunnel_is_no_crash_of_the_worker():
    async with tunnelled_response(FIXED[:-1], reset=True) as (_, response):
        with pytest.raises(worker_client.AttemptError) as raised:
            await response.read_all(5_000, 1_000)
        assert raised.value.tunnelled and not raised.value.broken_off
        response.close()
