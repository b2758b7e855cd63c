"""Tests of the server for callers over a raw socket, with a worker stand-in."""

import asyncio
import contextlib
import json

import hypothesis
import pytest
from hypothesis import strategies

from oleanderbay.process import clock as clocks
from tests.gateway import listener_harness, parts

END, GET, CHUNKED = (
    listener_harness.END,
    listener_harness.GET,
    listener_harness.CHUNKED,
)
HEAD = listener_harness.HEAD
post, read_response, running_listener = (
    listener_harness.post,
    listener_harness.read_response,
    listener_harness.running_listener,
)


async def test_expect_100_continue():
    """A caller that sends Expect waits for 100 or for a final status."""
    async with running_listener() as harness:
        reader, writer = await harness.connect()
        expect = b"Expect: 100-continue\r\nContent-Length: "
        writer.write(post(expect + b"2\r\n"))
        assert (await read_response(reader))[0] == 100
        writer.write(b"ab")
        assert (await read_response(reader))[0] == 200
        writer.write(post(expect + b"101\r\n"))
        assert (await read_response(reader))[0] == 413
        writer.close()


async def test_responses_to_pipelined_requests_are_in_order():
    """A response out of order would be matched to the wrong request."""
    async with running_listener() as harness:
        data = b"".join(
            post(b"Content-Length: %d\r\n" % n, b"x" * n) for n in range(90)
        )
        reader, writer = await harness.connect()
        writer.write(data)
        for number in range(90):
            status, body = await read_response(reader)
            assert (status, json.loads(body)["bytes"]) == (200, number)
        writer.close()


async def test_malformed_bytes_do_not_affect_earlier_requests():
    """The parser drops requests received together with malformed bytes."""
    async with running_listener() as harness:
        first = GET + post(b"Content-Length: 2\r\n", b"ab")
        received = await harness.exchange(first + b"?\r\n")
        assert [s for s in received.split() if s in (b"200", b"400")] == [
            b"200",
            b"200",
            b"400",
        ]
        assert len(harness.executions) == 2


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (post(b"Content-Length: 101\r\n"), 413),
        (post(CHUNKED, b"65\r\n" + b"x" * 101), 413),
        (post(b"A: " + b"b" * 1_000 + b"\r\n"), 431),
        (post(b"A: b\r\n" * 170), 431),
        (post(b"A: b\r\n" * 170)[:-2], 431),
        (GET.replace(b"/a", b"/" + b"a" * 1_000), 431),
    ],
)
async def test_oversized_requests_are_refused(data, status):
    """The memory used for one caller must be bounded."""
    async with running_listener() as harness:
        reader, writer = await harness.connect()
        writer.write(data)
        received_status, body = await read_response(reader)
        assert received_status == status
        assert json.loads(body)["error"]["outcome"] == "not-run"
        writer.close()
        assert not harness.executions


async def test_limits_follow_configuration_changes():
    """Changed limits must apply to connections that are already open."""
    async with running_listener() as harness:
        data = post(b"A: " + b"b" * 1_000 + b"\r\n", start=GET[:15])
        reader, writer = await harness.connect()
        writer.write(GET)
        assert (await read_response(reader))[0] == 200
        harness.set_limits(max_header_bytes=100_000)
        writer.write(data)
        assert (await read_response(reader))[0] == 200
        writer.close()


# Data sent before the head, and the first bytes of the head.
INCOMPLETE_HEADS = {
    "new": (b"", GET[:20]),
    "first byte": (b"", GET[:1]),
    "after a request": (GET, GET[:20]),
    "with a request": (GET, GET[:20]),
    "with a body": (post(b"Content-Length: 2\r\n", b"ab"), GET[:20]),
    "with chunks": (post(CHUNKED, b"1\r\na\r\n0" + END), GET[:20]),
}


@pytest.mark.parametrize("name", INCOMPLETE_HEADS)
async def test_slow_head_times_out(name):
    """A slow head must end with 408, not hold or silently lose a connection."""
    before, head_start = INCOMPLETE_HEADS[name]
    clock = clocks.ManualClock()
    async with running_listener(clock) as harness:
        reader, writer = await harness.connect()
        if name.startswith("with"):
            writer.write(before + head_start)
        else:
            writer.write(before)
        if before:
            assert (await read_response(reader))[0] == 200
        if not name.startswith("with"):
            writer.write(head_start)
        await parts.wait_until(
            lambda: harness.listeners._caller_server.head_since_ms
        )
        await clock.advance(2_900)
        assert (
            not reader.at_eof()
            and harness.listeners._caller_server.head_since_ms
        )
        await clock.advance(300)
        status, body = await read_response(reader)
        assert status == 408
        assert json.loads(body)["error"]["outcome"] == "not-run"
        assert not await reader.read()
        writer.close()
        assert len(harness.executions) == bool(before)


@pytest.mark.parametrize(
    "before",
    [
        b"",
        GET,
        post(b"Content-Length: 2\r\n", b"ab"),
        post(CHUNKED, b"1\r\na\r\n0" + END),
        GET + b"\r\n",
    ],
)
@pytest.mark.parametrize("step", [1, 1_000])
async def test_idle_connection_is_closed_after_limit(before, step):
    """Closing before the limit could coincide with the next request."""
    clock = clocks.ManualClock()
    async with running_listener(clock) as harness:
        reader, writer = await harness.connect()
        for start in range(0, len(before), step):
            writer.write(before[start : start + step])
            await asyncio.sleep(0)
        if before:
            assert (await read_response(reader))[0] == 200
        await parts.wait_until(
            lambda: harness.listeners._caller_server.idle_since_ms
        )
        await clock.advance(14_900)
        assert harness.listeners._caller_server.idle_since_ms
        await clock.advance(300)
        async with asyncio.timeout(20):
            assert not await reader.read()
        writer.close()


async def test_idle_close_does_not_drop_a_received_request():
    """Data in the socket buffer at the time of the check must be answered."""
    clock = clocks.ManualClock()
    async with running_listener(clock) as harness:
        reader, writer = await harness.connect()
        await parts.wait_until(
            lambda: harness.listeners._caller_server.idle_since_ms
        )
        await clock.advance(14_950)
        writer.write(GET)
        # The check runs before the event loop reads the socket.
        await clock.advance(200)
        assert (await read_response(reader))[0] == 200
        writer.close()


async def test_slow_body_times_out():
    """A request must be answered in time even if its body never arrives."""
    async with running_listener(timeout_ms=100) as harness:
        reader, writer = await harness.connect()
        writer.write(post(b"Content-Length: 2\r\n", b"a"))
        assert (await read_response(reader))[
            0
        ] == 408 and not harness.executions
        writer.close()


FRAGMENTS = [
    b"GET /a HTTP/1.1\r\n", b"POST /a HTTP/1.1\r\n", HEAD, b"\r\n", b"0" + END,
    b"Content-Length: 3\r\n", CHUNKED, b"3\r\nabc\r\n", b"abc", b"\r", b"\n",
    b"A: b\r\n", b" ", b":", GET, b"Connection: close\r\n", b"HTTP/1.0\r\n",
    b"Upgrade: websocket\r\nConnection: upgrade\r\n",
]  # fmt: skip


@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(
    data=strategies.one_of(
        strategies.binary(max_size=300),
        strategies.lists(
            strategies.one_of(
                strategies.sampled_from(FRAGMENTS),
                strategies.binary(max_size=3),
            ),
            max_size=14,
        ).map(b"".join),
    ),
    step=strategies.sampled_from((1, 5, 1_000)),
)
def test_arbitrary_bytes_are_handled(data, step):
    """No input may hang a connection, cause a 500 or create a request."""

    async def run():
        async with running_listener() as harness:
            reader, writer = await harness.connect()
            for start in range(0, len(data), step):
                writer.write(data[start : start + step])
                await asyncio.sleep(0)
            harness.set_limits(header_timeout_ms=100, idle_timeout_ms=100)
            received = b""
            async with asyncio.timeout(20):
                with contextlib.suppress(ConnectionError):
                    while chunk := await reader.read(65_536):
                        received += chunk
            writer.close()
            assert b" 500 " not in received
            head_count = data.count(b"/a HTTP/1.")
            assert len(harness.executions) <= head_count
            for execution in harness.executions:
                assert (
                    execution.path == "/a"
                    and execution.body in data.replace(b"3\r\nabc\r\n", b"abc")
                )

    asyncio.run(run())
