"""A server whose responses never end."""

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
