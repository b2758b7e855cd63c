"""Tests of callers' bytes on a raw socket, against a worker's stand-in."""

import asyncio
import contextlib
import json

import hypothesis
import pytest
from hypothesis import strategies

from oleanderbay.process import clock as clocks
from tests.gateway import parts
from tests.gateway import site as callers

END, GET, CHUNKED = callers.END, callers.GET, callers.CHUNKED
HEAD = callers.HEAD
post, answer, site = callers.post, callers.answer, callers.site


async def test_a_body_is_asked_for():
    """A caller with Expect waits; one whose body is refused must not send."""
    async with site() as made:
        reader, writer = await made.connect()
        expect = b"Expect: 100-continue\r\nContent-Length: "
        writer.write(post(expect + b"2\r\n"))
        assert (await answer(reader))[0] == 100
        writer.write(b"ab")
        assert (await answer(reader))[0] == 200
        writer.write(post(expect + b"101\r\n"))
        assert (await answer(reader))[0] == 413
        writer.close()


async def test_pipelined_requests_are_answered_in_order():
    """An answer out of order would go to the wrong request."""
    async with site() as made:
        data = b"".join(
            post(b"Content-Length: %d\r\n" % n, b"x" * n) for n in range(90)
        )
        reader, writer = await made.connect()
        writer.write(data)
        for number in range(90):
            status, body = await answer(reader)
            assert (status, json.loads(body)["bytes"]) == (200, number)
        writer.close()


async def test_malformed_bytes_do_not_cost_the_requests_before_them():
    """The parser drops what it is given together with malformed bytes."""
    async with site() as made:
        first = GET + post(b"Content-Length: 2\r\n", b"ab")
        got = await made.exchange(first + b"?\r\n")
        assert [s for s in got.split() if s in (b"200", b"400")] == [
            b"200",
            b"200",
            b"400",
        ]
        assert len(made.executions) == 2


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
async def test_what_is_too_large_is_refused(data, status):
    """Memory for one caller must have a limit."""
    async with site() as made:
        reader, writer = await made.connect()
        writer.write(data)
        found, body = await answer(reader)
        assert found == status
        assert json.loads(body)["error"]["outcome"] == "not-run"
        writer.close()
        assert not made.executions


async def test_limits_of_the_configuration_in_force_apply():
    """An open connection must follow a change of its limits."""
    async with site() as made:
        data = post(b"A: " + b"b" * 1_000 + b"\r\n", start=GET[:15])
        reader, writer = await made.connect()
        writer.write(GET)
        assert (await answer(reader))[0] == 200
        made.limit(max_header_bytes=100_000)
        writer.write(data)
        assert (await answer(reader))[0] == 200
        writer.close()


# What was sent before the head begins, and the first bytes of the head.
PARTS = {
    "new": (b"", GET[:20]),
    "first byte": (b"", GET[:1]),
    "after a request": (GET, GET[:20]),
    "with a request": (GET, GET[:20]),
    "with a body": (post(b"Content-Length: 2\r\n", b"ab"), GET[:20]),
    "with chunks": (post(CHUNKED, b"1\r\na\r\n0" + END), GET[:20]),
}


@pytest.mark.parametrize("name", PARTS)
async def test_a_head_must_arrive_in_time(name):
    """A slow head would hold a connection, or be closed as an idle one."""
    before, begun = PARTS[name]
    clock = clocks.ManualClock()
    async with site(clock) as made:
        reader, writer = await made.connect()
        if name.startswith("with"):
            writer.write(before + begun)
        else:
            writer.write(before)
        if before:
            assert (await answer(reader))[0] == 200
        if not name.startswith("with"):
            writer.write(begun)
        await parts.until(lambda: made.listeners._caller_server.head_since_ms)
        await clock.advance(2_900)
        assert (
            not reader.at_eof() and made.listeners._caller_server.head_since_ms
        )
        await clock.advance(300)
        status, body = await answer(reader)
        assert status == 408
        assert json.loads(body)["error"]["outcome"] == "not-run"
        assert not await reader.read()
        writer.close()
        assert len(made.executions) == bool(before)


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
async def test_an_idle_connection_ends_after_its_limit(before, step):
    """A close before the limit would cross a caller's next request."""
    clock = clocks.ManualClock()
    async with site(clock) as made:
        reader, writer = await made.connect()
        for start in range(0, len(before), step):
            writer.write(before[start : start + step])
            await asyncio.sleep(0)
        if before:
            assert (await answer(reader))[0] == 200
        await parts.until(lambda: made.listeners._caller_server.idle_since_ms)
        await clock.advance(14_900)
        assert made.listeners._caller_server.idle_since_ms
        await clock.advance(300)
        async with asyncio.timeout(20):
            assert not await reader.read()
        writer.close()


async def test_an_idle_close_does_not_cross_a_request():
    """Bytes that are there but not read yet belong to a request."""
    clock = clocks.ManualClock()
    async with site(clock) as made:
        reader, writer = await made.connect()
        await parts.until(lambda: made.listeners._caller_server.idle_since_ms)
        await clock.advance(14_950)
        writer.write(GET)
        # The sweep runs before the loop reads the socket.
        await clock.advance(200)
        assert (await answer(reader))[0] == 200
        writer.close()


async def test_a_slow_body_ends_by_the_deadline():
    """A request must have its answer in time, also if it never arrives."""
    async with site(timeout_ms=100) as made:
        reader, writer = await made.connect()
        writer.write(post(b"Content-Length: 2\r\n", b"a"))
        assert (await answer(reader))[0] == 408 and not made.executions
        writer.close()


PIECES = [
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
                strategies.sampled_from(PIECES), strategies.binary(max_size=3)
            ),
            max_size=14,
        ).map(b"".join),
    ),
    step=strategies.sampled_from((1, 5, 1_000)),
)
def test_any_bytes_end_in_answers(data, step):
    """No bytes may hang a connection, cause a fault or make up a request."""

    async def run():
        async with site() as made:
            reader, writer = await made.connect()
            for start in range(0, len(data), step):
                writer.write(data[start : start + step])
                await asyncio.sleep(0)
            made.limit(header_timeout_ms=100, idle_timeout_ms=100)
            got = b""
            async with asyncio.timeout(20):
                with contextlib.suppress(ConnectionError):
                    while part := await reader.read(65_536):
                        got += part
            writer.close()
            assert b" 500 " not in got
            heads = data.count(b"/a HTTP/1.")
            assert len(made.executions) <= heads
            for found in made.executions:
                assert found.path == "/a" and found.body in data.replace(
                    b"3\r\nabc\r\n", b"abc"
                )

    asyncio.run(run())
