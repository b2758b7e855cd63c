"""Tests of callers' bytes on a raw socket, against a worker's stand-in."""

import asyncio
import contextlib
import dataclasses
import json
import logging

import hypothesis
import pytest
from aiohttp import log as web_log
from hypothesis import strategies

from oleanderbay.gateway import listener, settings, table
from oleanderbay.platform import ingress
from oleanderbay.process import clock as clocks
from tests.gateway import parts, test_pipeline

CONFIG = dataclasses.replace(
    parts.SETTINGS,
    listeners=settings.ListenerSettings(
        callers="127.0.0.1:0", readiness="127.0.0.1:0"
    ),
)
LIMITS = table.Limits(
    max_header_bytes=1_000,
    max_body_bytes=100,
    header_timeout_ms=3_000,
    idle_timeout_ms=15_000,
)
END = b"\r\n\r\n"
HEAD = b"Host: api\r\nX-Request-Id: r1\r\n"
GET = b"GET /a HTTP/1.1\r\n" + HEAD + b"\r\n"


def post(headers=b"", body=b"", start=b"POST /a HTTP/1.1", head=HEAD):
    return start + b"\r\n" + head + headers + b"\r\n" + body


CHUNKED = b"Transfer-Encoding: chunked\r\n"


class Site:
    """A gateway's listener for callers with one worker."""

    def __init__(self, world, listeners, errors):
        self.world = world
        self.listeners = listeners
        self.errors = errors
        sockets = listeners._caller_sockets.sockets
        self.port = sockets[0].getsockname()[1]

    @property
    def executions(self):
        return self.world.workers[0].executions

    def limit(self, **changes):
        limits = dataclasses.replace(LIMITS, **changes)
        current = self.world.known.state.table
        self.world.known.configure(
            dataclasses.replace(
                current, version=current.version + 1, limits=limits
            )
        )

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def exchange(self, data):
        """Sends bytes, then returns all answers up to the end."""
        reader, writer = await self.connect()
        writer.write(data)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        got = b""
        async with asyncio.timeout(20):
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(65_536):
                    got += part
        writer.close()
        return got


@contextlib.asynccontextmanager
async def site(clock=None, **changes):
    loop = asyncio.get_running_loop()
    errors = []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    faults = logging.Handler(logging.ERROR)
    faults.emit = errors.append
    web_log.server_logger.addHandler(faults)
    async with test_pipeline.world(1, clock, **changes) as world:
        listeners = listener.Listeners(
            CONFIG,
            world.known.state,
            world.pipeline,
            ingress.HeaderTranslator(),
            world.known.clock,
            lambda: True,
            lambda: [],
            dict,
        )
        await listeners.start()
        made = Site(world, listeners, errors)
        made.limit()
        try:
            yield made
        finally:
            await listeners.close(1_000)
            web_log.server_logger.removeHandler(faults)
    assert not errors, errors


async def answer(reader):
    """Reads one answer; returns its status and its body."""
    async with asyncio.timeout(20):
        head = await reader.readuntil(END)
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line[15:])
        return int(head.split()[1]), await reader.readexactly(length)


MALFORMED = {
    "length and coding": post(b"Content-Length: 3\r\n" + CHUNKED, b"0" + END),
    "two lengths": post(b"Content-Length: 1\r\nContent-Length: 2\r\n", b"ab"),
    "list of lengths": post(b"Content-Length: 1, 2\r\n", b"ab"),
    "signed length": post(b"Content-Length: +1\r\n", b"a"),
    "chunk size": post(CHUNKED, b"x\r\na\r\n0" + END),
    "chunk size overflow": post(CHUNKED, b"1" + b"0" * 17 + b"\r\na"),
    "signed chunk size": post(CHUNKED, b"-1\r\na\r\n0" + END),
    "chunk end": post(CHUNKED, b"1\r\nab\r\n0" + END),
    "chunk with bare LF": post(CHUNKED, b"1\na\n0\n\n"),
    "folding": post(b"A: b\r\n c\r\n"),
    "space before colon": post(b"A : b\r\n"),
    "no colon": post(b"A\r\n"),
    "bare CR": post(b"A: b\rc\r\n"),
    "bare LF": post(b"A: b\nC: d\r\n"),
    "NUL": post(b"A: b\0\r\n"),
    "only LF": GET.replace(b"\r\n", b"\n"),
    "header not in UTF-8": post(b"A: \xff\r\n"),
    "method": GET.replace(b"GET", b"G(T"),
    "lower-case method": GET.replace(b"GET", b"get"),
    "CONNECT": GET.replace(b"GET /a", b"CONNECT api:80"),
    "no target": GET.replace(b"/a ", b""),
    "relative target": GET.replace(b"/a", b"a"),
    "scheme": GET.replace(b"/a", b"ftp://api/a"),
    "scheme only": GET.replace(b"/a", b"http:a"),
    "no host in target": GET.replace(b"/a", b"http:///a"),
    "only a port in target": GET.replace(b"/a", b"http://:80/a"),
    "user in target": GET.replace(b"/a", b"http://u@api/a"),
    "port in target": GET.replace(b"/a", b"http://api:x/a"),
    "fragment in absolute target": GET.replace(b"/a", b"http://api/a#b"),
    "asterisk of a host": GET.replace(b"GET /a", b"OPTIONS http://api"),
    "absolute target without Host": GET.replace(b"/a", b"http://api/a").replace(
        b"Host: api\r\n", b""
    ),
    "asterisk": GET.replace(b"GET /a", b"OPTIONS *"),
    "fragment": GET.replace(b"/a", b"/a#b"),
    "raw byte in target": GET.replace(b"/a", b"/\xff"),
    "space in target": GET.replace(b"/a", b"/a b"),
    "no host": GET.replace(b"Host: api\r\n", b""),
    "two hosts": GET.replace(b"Host", b"Host: api\r\nHost"),
    "no host in HTTP/1.0": GET.replace(b"Host: api\r\n", b"").replace(
        b"/1.1", b"/1.0"
    ),
    "coding in HTTP/1.0": post(CHUNKED, b"0" + END, start=b"POST /a HTTP/1.0"),
    "unknown coding": post(b"Transfer-Encoding: gzip, chunked\r\n", b"0" + END),
    "coding not last": post(b"Transfer-Encoding: chunked, gzip\r\n", b"0"),
    "other protocol": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "HTTP/0.9": b"GET /a\r\n\r\n",
    "no request id": GET.replace(b"X-Request-Id: r1\r\n", b""),
}


async def test_malformed_requests_reach_no_worker():
    """Two readers of the same bytes could see different requests."""
    async with site() as made:
        for name, data in MALFORMED.items():
            if name == "no request id":
                data = data.replace(b"\r\n\r\n", b"\r\nConnection: close" + END)
            for step in (len(data), 1):
                reader, writer = await made.connect()
                for start in range(0, len(data), step):
                    writer.write(data[start : start + step])
                    if step == 1:
                        await asyncio.sleep(0)
                status, body = await answer(reader)
                error = json.loads(body)["error"]
                assert (status, error["code"]) in (
                    (400, "bad_request"),
                    (505, "bad_request"),
                ), name
                assert error["outcome"] == "not-run", name
                async with asyncio.timeout(20):
                    with contextlib.suppress(ConnectionError):
                        assert not await reader.read(), name
                writer.close()
                assert not made.executions, name


VALID = {
    "plain": (GET, b""),
    "HTTP/1.0": (GET.replace(b"/1.1", b"/1.0"), b""),
    "HEAD": (GET.replace(b"GET", b"HEAD"), b""),
    "body on GET": (
        post(b"Content-Length: 2\r\n", b"ab", b"GET /a HTTP/1.1"),
        b"ab",
    ),
    "chunks": (post(CHUNKED, b"1;x=y\r\na\r\n1\r\nb\r\n0" + END), b"ab"),
    "trailer": (post(CHUNKED, b"1\r\na\r\n0\r\nA: b" + END), b"a"),
    "empty lines": (b"\r\n\r\n" + GET, b""),
    "upgrade": (
        post(b"Connection: upgrade\r\nUpgrade: websocket\r\n", start=GET[:15]),
        b"",
    ),
}


@pytest.mark.parametrize("name", VALID)
async def test_unusual_requests_are_passed_on(name):
    """A valid request must not be refused, whatever its form."""
    data, body = VALID[name]
    async with site() as made:
        reader, writer = await made.connect()
        for start in range(0, len(data), 7):
            writer.write(data[start : start + 7])
            await asyncio.sleep(0)
        head = await reader.readuntil(END)
        assert head.split()[1] == b"200"
        writer.close()
        (found,) = made.executions
        assert (found.path, found.body) == ("/a", body)


@pytest.mark.parametrize(
    ("target", "path"),
    [
        (b"http://api/a?b=c", "/a?b=c"),
        (b"HTTPS://API/a/../b", "/a/../b"),
        (b"http://api//a", "//a"),
        (b"http://api", "/"),
        (b"http://api?", "/?"),
        (b"http://api?a=http://b/c", "/?a=http://b/c"),
    ],
)
async def test_the_host_of_an_absolute_target_counts(target, path):
    """Servers have to accept this form and to ignore the header Host."""
    data = GET.replace(b"/a", target).replace(b"Host: api", b"Host: other")
    async with site() as made:
        reader, writer = await made.connect()
        writer.write(data)
        assert (await answer(reader))[0] == 200
        writer.write(GET.replace(b"/a", b"http://other/a"))
        assert (await answer(reader))[0] == 404
        writer.close()
        (found,) = made.executions
        assert found.path == path
        assert found.headers["host"].lower() == "api"


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
        await parts.until(lambda: made.listeners._callers.heads)
        await clock.advance(2_900)
        assert not reader.at_eof() and made.listeners._callers.heads
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
        await parts.until(lambda: made.listeners._callers.idle)
        await clock.advance(14_900)
        assert made.listeners._callers.idle
        await clock.advance(300)
        async with asyncio.timeout(20):
            assert not await reader.read()
        writer.close()


async def test_an_idle_close_does_not_cross_a_request():
    """Bytes that are there but not read yet belong to a request."""
    clock = clocks.ManualClock()
    async with site(clock) as made:
        reader, writer = await made.connect()
        await parts.until(lambda: made.listeners._callers.idle)
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
