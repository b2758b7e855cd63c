"""Tests of workers' answers, byte by byte."""

import asyncio
import contextlib
import socket

import multidict
import pytest

from oleanderbay.gateway import interfaces, listener, worker_client
from tests.gateway import parts

OK = b"HTTP/1.1 200 OK\r\n"
FIXED = OK + b"Content-Length: 3\r\n\r\nabc"
CHUNKED = (
    OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"
)
NOTHING = b"HTTP/1.1 204 No Content\r\n\r\n"
INTERIM = (
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
)
HEADERS = multidict.CIMultiDict(Host="api")
EXTRA = (b"", b"x", b"\r\n\r\n", b"\0" * 70_000, FIXED, INTERIM)


@contextlib.asynccontextmanager
async def serving(serve):
    """Runs a worker; gives a sender and the worker's record."""
    server = await asyncio.start_server(serve, "127.0.0.1")
    host, port = server.sockets[0].getsockname()
    sender = parts.sender()
    await sender.start()
    try:
        yield sender, parts.worker("w0", address=f"{host}:{port}")
    finally:
        await sender.close()
        server.close()


async def exchange(answer, step=0, read=True, reset=False, target="/a"):
    """Returns what is sent to a worker, and its answer or the error."""
    sent = bytearray()

    async def serve(reader, writer):
        if read:
            sent.extend(await reader.readuntil(b"\r\n\r\n"))
            if b"length: " in sent.lower():
                await reader.readexactly(4)
        for start in range(0, len(answer), step or len(answer)):
            writer.write(answer[start : start + (step or len(answer))])
            if step:
                await asyncio.sleep(0)
        if reset:
            # Lets the part reach the reader before the reset drops it.
            await asyncio.sleep(0.02)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, listener.RESET_ON_CLOSE
            )
            writer.transport.abort()
        else:
            writer.close()

    call = interfaces.CallerRequest(
        id="r1",
        method="POST",
        host="api",
        target=target,
        headers=HEADERS,
        body=b"body",
    )
    async with serving(serve) as (sender, worker):
        try:
            opened = await sender.send_request(
                worker, call, call.headers, 5_000
            )
            result = opened.status, await opened.read_all(5_000, 1_000)
            opened.close()
        except worker_client.AttemptError as error:
            result = error
    return bytes(sent), result


@pytest.mark.parametrize("step", [0, 5])
@pytest.mark.parametrize("answer", [FIXED, CHUNKED, NOTHING])
@pytest.mark.parametrize("interim", [b"", INTERIM])
async def test_bytes_after_an_answer_do_not_cost_it(answer, interim, step):
    """A request that ran must not run again for an answer that is there."""
    expected = (204, b"") if answer == NOTHING else (200, b"abc")
    for extra in EXTRA:
        if step and len(extra) > 1_000:
            continue
        _, result = await exchange(interim + answer + extra, step)
        assert result == expected, extra[:20]


async def test_an_answer_before_the_body_was_read_counts():
    """A worker may answer without reading the body."""
    _, result = await exchange(FIXED, read=False)
    assert result == (200, b"abc")


@pytest.mark.parametrize("answer", [FIXED, CHUNKED, INTERIM + CHUNKED])
async def test_a_cut_answer_is_never_complete(answer):
    """A part of an answer must not look like the whole."""
    for end in range(len(answer)):
        _, result = await exchange(answer[:end])
        assert (
            isinstance(result, worker_client.AttemptError)
            and result.may_have_arrived
        ), end


@pytest.mark.parametrize(
    "answer",
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
async def test_a_malformed_answer_fails(answer, step):
    """A malformed answer must not hang the request or look complete."""
    _, result = await exchange(answer, step)
    assert (
        isinstance(result, worker_client.AttemptError) and not result.timed_out
    )


async def test_an_answer_without_a_length_ends_with_its_connection():
    """A reset in place of the end means that a part is missing."""
    whole = OK + b"\r\nabc"
    assert (await exchange(whole))[1] == (200, b"abc")
    _, result = await exchange(whole, reset=True)
    assert isinstance(result, worker_client.AttemptError)


@pytest.mark.parametrize(
    "target", ["/a?", "/?", "/a/../b", "/a//b", "//a", "/%zz?b=%2f&c", "/a??"]
)
async def test_a_target_is_sent_unchanged(target):
    """A worker must get what the caller sent."""
    sent, _ = await exchange(FIXED, target=target)
    assert sent.split()[1].decode() == target


@pytest.mark.parametrize("method", ["GET", "PUT"])
async def test_the_library_sends_no_request_again(method):
    """The gateway alone decides on repeats, by route and by budget."""
    arrived = 0

    async def serve(reader, writer):
        nonlocal arrived
        await reader.readuntil(b"\r\n\r\n")
        arrived += 1
        writer.close()

    async with serving(serve) as (sender, worker):
        call = interfaces.CallerRequest(
            id="r1", method=method, host="api", target="/a", headers=HEADERS
        )
        with pytest.raises(worker_client.AttemptError) as failed:
            await sender.send_request(worker, call, call.headers, 5_000)
    assert failed.value.may_have_arrived and arrived == 1
