"""A listener for tests that send raw bytes as callers, and sample requests."""

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


class ListenerHarness:
    """A gateway's listener for callers, with one worker."""

    def __init__(self, pipeline_harness, listeners, errors):
        self.pipeline_harness = pipeline_harness
        self.listeners = listeners
        self.errors = errors
        sockets = listeners._caller_sockets.sockets
        self.port = sockets[0].getsockname()[1]

    @property
    def executions(self):
        return self.pipeline_harness.workers[0].executions

    def set_limits(self, **changes):
        limits = dataclasses.replace(LIMITS, **changes)
        current = self.pipeline_harness.gateway.state.table
        self.pipeline_harness.gateway.configure(
            dataclasses.replace(
                current, version=current.version + 1, limits=limits
            )
        )

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def exchange(self, request):
        """Sends bytes and returns everything received until the close."""
        reader, writer = await self.connect()
        writer.write(request)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        received = b""
        async with asyncio.timeout(20):
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(65_536):
                    received += data
        writer.close()
        return received


@contextlib.asynccontextmanager
async def running_listener(clock=None, **changes):
    loop = asyncio.get_running_loop()
    errors = []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    error_handler = logging.Handler(logging.ERROR)
    error_handler.emit = errors.append
    web_log.server_logger.addHandler(error_handler)
    async with test_pipeline.running_pipeline(
        1, clock, **changes
    ) as pipeline_harness:
        listeners = listener.Listeners(
            CONFIG,
            pipeline_harness.gateway.state,
            pipeline_harness.pipeline,
            http_headers.HeaderTranslator(),
            pipeline_harness.gateway.clock,
            lambda: True,
            lambda: [],
            dict,
        )
        await listeners.start()
        harness = ListenerHarness(pipeline_harness, listeners, errors)
        harness.set_limits()
        try:
            yield harness
        finally:
            await listeners.close(1_000)
            web_log.server_logger.removeHandler(error_handler)
    assert not errors, errors


async def read_response(reader):
    """Reads one response; returns its status and its body."""
    async with asyncio.timeout(20):
        head = await reader.readuntil(END)
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line[15:])
        return int(head.split()[1]), await reader.readexactly(length)
