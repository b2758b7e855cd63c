"""The listener that every stand-in has."""

import asyncio
import contextlib
import os
import socket

from aiohttp import web

# Connections that do not end by themselves are closed after this.
SHUTDOWN_TIMEOUT_S = 0.1
# Connections that fill the queue of a listener that accepts none.
FILLERS = 3


class HttpServer:
    """Serves one application on one address.

    Attributes:
        cancels: Whether a closed connection cancels its request's work.
    """

    def __init__(self, cancels: bool = False) -> None:
        self.cancels = cancels
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._fillers: list[socket.socket] = []

    async def start(self, app: web.Application, host: str, port: int) -> str:
        """Listens and returns the address; port 0 takes any free port."""
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=self.cancels,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, host, port)
        await self._site.start()
        bound = self._runner.addresses[0]
        return f"{bound[0]}:{bound[1]}"

    async def crash(self) -> None:
        """Resets all connections and refuses new ones."""
        assert self._runner is not None
        if self._site is not None:
            await self._site.stop()
            self._site = None
        if self._runner.server is not None:
            for connection in self._runner.server.connections:
                if connection.transport is not None:
                    connection.transport.abort()

    def stop_accepting(self) -> None:
        """Leaves new connections without an answer, as if cut off."""
        assert self._site is not None
        listeners = getattr(self._site._server, "sockets", ())
        for listener in listeners:
            asyncio.get_running_loop().remove_reader(listener.fileno())
            with socket.socket(fileno=os.dup(listener.fileno())) as same:
                same.listen(0)
                address = same.getsockname()
            for _ in range(FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(address)
                self._fillers.append(filler)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        for filler in self._fillers:
            filler.close()
        if self._runner is not None:
            await self._runner.cleanup()
