"""A listener for callers on a raw socket, and the bytes that callers send."""

import asyncio
import contextlib
import dataclasses
import logging

from aiohttp import log as web_log

from oleanderbay.gateway import listener, settings, table
from oleanderbay.platform import http_headers
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
            http_headers.HeaderTranslator(),
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
