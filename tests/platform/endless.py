"""A server whose responses never end."""

import asyncio
import contextlib

from aiohttp import web

from oleanderbay.standins import server


class EndlessServer:
    """Answers every call with a body without end.

    Attributes:
        address: `host:port` of the server.
        sent: Number of bytes sent so far, over all responses.
    """

    def __init__(self):
        self.address = ""
        self.sent = 0

    async def handle(self, request):
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(bytes(10_000))
            self.sent += 10_000


@contextlib.asynccontextmanager
async def running():
    """Runs an `EndlessServer`."""
    endless = EndlessServer()
    app, listener = web.Application(), server.HttpServer()
    app.router.add_route("*", "/{path:.*}", endless.handle)
    endless.address = await listener.start(app, "127.0.0.1", 0)
    yield endless
    await listener.close()


# Answers that never end, though no part of them is long: interim responses,
# empty lines before the head, and the size and the extension of a chunk.
ENDLESS_FRAMING = {
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400),
    "lines": (b"", b"\r\n" * 5_000),
    "size": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"0" * 10_000,
    ),
    "extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        b"x" * 10_000,
    ),
}


class FramingServer:
    """Answers every call with framing without end.

    Attributes:
        address: `host:port` of the server.
        sent: Number of bytes sent so far, over all connections.
    """

    def __init__(self, start, repeated):
        self.address = ""
        self.sent = 0
        self._start = start
        self._repeated = repeated
        self._tasks = set()

    async def handle(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            while True:
                writer.write(self._repeated)
                await writer.drain()
                self.sent += len(self._repeated)
        except OSError:
            pass
        finally:
            writer.close()

    async def wait_closed(self):
        """Waits until no connection is served."""
        await asyncio.wait(self._tasks)


@contextlib.asynccontextmanager
async def running_framing(kind):
    """Runs a `FramingServer`."""
    endless = FramingServer(*ENDLESS_FRAMING[kind])
    listener = await asyncio.start_server(endless.handle, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    endless.address = f"{host}:{port}"
    yield endless
    listener.close()
    await endless.wait_closed()
