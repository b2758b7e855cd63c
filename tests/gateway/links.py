"""Paths between gateways and workers on loopback, which tests can cut."""

import asyncio
import contextlib
import dataclasses
import enum
import socket

from oleanderbay.gateway import workers
from oleanderbay.platform import records

BUFFER_BYTES = 65_536


class Cut(enum.Enum):
    """What happens to the connections of a path that is cut."""

    SILENT = "silent"
    RESET = "reset"
    NEW_REFUSED = "new refused"


class Link:
    """The path from one gateway to one worker.

    Attributes:
        address: `host:port` at which the gateway finds the worker.
        opened: Number of connections so far.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.opened = 0
        self._cut = None
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._flow = asyncio.Event()
        self._flow.set()
        self._blocked = []

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self):
        self._server.close()
        self._unblock()
        for writer in tuple(self._writers):
            writer.transport.abort()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def cut(self, how):
        """Cuts the path until `restore`."""
        self._cut = how
        self._server.close()
        if how is Cut.SILENT:
            self._flow.clear()
            self._block()
        elif how is Cut.RESET:
            for writer in tuple(self._writers):
                writer.transport.abort()

    async def restore(self):
        """Ends a cut; connections that were silent are reset."""
        self._unblock()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._flow.set()
        self._cut = None
        await self.start(int(self.address.rpartition(":")[2]))

    def _block(self):
        """Listens with a full queue, so that further connections hang."""
        port = int(self.address.rpartition(":")[2])
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(("127.0.0.1", port))
        listening.listen(0)
        self._blocked.append(listening)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
            self._blocked.append(filler)

    def _unblock(self):
        for blocked in self._blocked:
            blocked.close()
        self._blocked.clear()

    async def _serve(self, reader, writer):
        self.opened += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            host, _, port = self.target.rpartition(":")
            back, forth = await asyncio.open_connection(host, int(port))
            self._writers.add(forth)
            try:
                await asyncio.gather(
                    self._pump(reader, forth), self._pump(back, writer)
                )
            finally:
                forth.transport.abort()
                self._writers.discard(forth)
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _pump(self, reader, writer):
        while data := await reader.read(BUFFER_BYTES):
            await self._flow.wait()
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


class LinkDecoder(records.JsonDecoder):
    """Decodes workers' records with the addresses of one gateway's links.

    Attributes:
        links: The links by worker id; other workers keep their addresses.
    """

    def __init__(self):
        super().__init__()
        self.links = {}

    def worker(self, key, value):
        decoded = super().worker(key, value)
        if isinstance(decoded, workers.Worker) and key in self.links:
            return dataclasses.replace(decoded, address=self.links[key].address)
        return decoded
