"""Connections to workers that lead through another gateway."""

import asyncio
import contextlib
import enum
import socket
from collections.abc import Callable
from typing import Any

import structlog

from oleanderbay.connection import frames, sockets
from oleanderbay.gateway import fields, settings, workers
from oleanderbay.process import clock as clocks

# Kind of the frames that open a tunnel.
TUNNEL = "tunnel"
# Bounds the memory that the callers of other gateways can take.
MAX_TUNNELS = 128
READ_BYTES = 65_536
# An answer holds one word.
MAX_ANSWER_BYTES = 256
DRAIN_POLL_MS = 50

log = structlog.get_logger()


class Answer(enum.StrEnum):
    """Answer of a gateway to a request for a tunnel.

    Attributes:
        OPEN: All further bytes are those of the worker.
        UNREACHABLE: The gateway can't connect to the worker either.
        UNAVAILABLE: By its records, the worker must get no new requests.
        BUSY: It serves too many tunnels, or it is leaving.
    """

    OPEN = "open"
    UNREACHABLE = "unreachable"
    UNAVAILABLE = "unavailable"
    BUSY = "busy"


class TunnelError(OSError):
    """No tunnel was opened, so the worker got no byte."""


async def open_tunnel(
    host: str,
    port: int,
    own_host: str,
    worker: workers.Worker,
) -> socket.socket:
    """Opens a connection to a worker through another gateway.

    Args:
        host: Host of the other gateway.
        port: Port for traffic between gateways.
        own_host: Host of this gateway, by which the other one knows it.
        worker: The worker.

    Returns:
        A socket on which the worker can be sent a request.

    Raises:
        TunnelError: The other gateway opened no connection.
        OSError: The other gateway is not reachable.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.bind((own_host, 0))
        await loop.sock_connect(sock, (host, port))
        body = [worker.id, worker.started_ms]
        await loop.sock_sendall(sock, frames.encode(TUNNEL, 1, body))
        # Reads no byte beyond the answer, since these are the worker's.
        size = int.from_bytes(await _read_exactly(sock, 4), "big")
        if size > MAX_ANSWER_BYTES:
            raise TunnelError("the answer is too long")
        answer = frames.decode(await _read_exactly(sock, size))
        if answer.body != Answer.OPEN:
            raise TunnelError(f"the gateway answered {answer.body!r}")
    except frames.FrameError as error:
        sock.close()
        raise TunnelError(str(error)) from error
    except BaseException:
        sock.close()
        raise
    return sock


async def _read_exactly(sock: socket.socket, size: int) -> bytes:
    loop = asyncio.get_running_loop()
    data = b""
    while len(data) < size:
        part = await loop.sock_recv(sock, size - len(data))
        if not part:
            raise TunnelError("the gateway closed the connection")
        data += part
    return data


class TunnelServer:
    """Connects other gateways to workers that they can't reach.

    The other gateway selects the worker, keeps its limits and judges its
    responses. This one passes bytes on, and opens connections only to workers
    that it may itself send requests to.

    Attributes:
        count: Number of tunnels that are open or being opened.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        connect_timeout_ms: int,
        is_gateway: Callable[[str], bool],
        find_worker: Callable[[str], workers.Worker | None],
        settle: Callable[[], Any],
    ) -> None:
        """Creates a server without tunnels.

        Args:
            clock: Source of time.
            connect_timeout_ms: Timeout of connections to workers.
            is_gateway: Whether a host is that of a gateway.
            find_worker: Returns the worker with the given id, or None if it
                must not get new requests.
            settle: Waits if this process was paused, until the messages that
                have arrived meanwhile are applied.
        """
        self.clock = clock
        self.connect_timeout_ms = connect_timeout_ms
        self.is_gateway = is_gateway
        self.find_worker = find_worker
        self.settle = settle
        self.count = 0
        self._leaving = False

    async def serve(
        self,
        request: frames.Frame,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serves one tunnel until either end closes it.

        Raises:
            One of `fields.PARSE_ERRORS`: The request is malformed.
            OSError: The other gateway closed the connection.
        """
        worker_id, started_ms = fields.items(request.body)
        worker_id = fields.text(worker_id)
        started_ms = fields.whole(started_ms, -(2**63), 2**63 - 1)
        host = writer.get_extra_info("peername")[0]
        if not self.is_gateway(host):
            log.warning("tunnel refused", host=host)
            return
        self.count += 1
        worker_writer = None
        try:
            answer = Answer.OPEN
            worker = self.find_worker(worker_id)
            if self._leaving or self.count > MAX_TUNNELS:
                answer = Answer.BUSY
            elif worker is None or worker.started_ms != started_ms:
                answer = Answer.UNAVAILABLE
            else:
                try:
                    worker_reader, worker_writer = await self._connect(worker)
                except (TimeoutError, OSError):
                    answer = Answer.UNREACHABLE
                else:
                    answer = Answer.BUSY if self._leaving else Answer.OPEN
            writer.write(frames.encode(TUNNEL, request.request_id, answer))
            await writer.drain()
            if answer is Answer.OPEN and worker_writer is not None:
                sockets.detect_loss(writer.get_extra_info("socket"))
                # A tunnel ends only once the kernel has the whole answer, which
                # the end of this process then doesn't lose.
                writer.transport.set_write_buffer_limits(0)
                await self._relay(reader, writer, worker_reader, worker_writer)
        finally:
            self.count -= 1
            if worker_writer is not None:
                worker_writer.transport.abort()

    def leave(self) -> None:
        """Opens no more tunnels.

        The other gateway does not know when this one stops, so it can't tell
        which of its requests would be cut off.
        """
        self._leaving = True

    async def drain(self, end_ms: int) -> None:
        """Waits until all tunnels are closed, after `leave`.

        Args:
            end_ms: Monotonic time at which the wait ends in any case.
        """
        while self.count and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(DRAIN_POLL_MS)

    async def _connect(
        self, worker: workers.Worker
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        async with asyncio.timeout(self.connect_timeout_ms / 1000):
            return await asyncio.open_connection(
                *settings.split_address(worker.address)
            )

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        worker_reader: asyncio.StreamReader,
        worker_writer: asyncio.StreamWriter,
    ) -> None:
        """Passes bytes on in both directions until either end closes."""
        forward = asyncio.create_task(self._pass_request(reader, worker_writer))
        back = asyncio.create_task(_pass_response(worker_reader, writer))
        try:
            await asyncio.wait(
                (forward, back), return_when=asyncio.FIRST_COMPLETED
            )
            # The other gateway closes the tunnel to cancel the request. A
            # worker may answer a request that it does not read to its end.
            if forward.done() and forward.exception() is not None:
                await asyncio.wait((back,))
            if not back.done() or back.exception() is not None:
                # The end of the response must not look like its completion.
                sockets.reset_on_close(writer.get_extra_info("socket"))
                writer.transport.abort()
        finally:
            forward.cancel()
            back.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(forward, back, return_exceptions=True)

    async def _pass_request(
        self,
        reader: asyncio.StreamReader,
        worker_writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            # A request that was cancelled while this process was paused must
            # not reach the worker.
            await self.settle()
            await clocks.next_turn()
            if reader.at_eof() or reader.exception() is not None:
                return
            worker_writer.write(data)
            await worker_writer.drain()


async def _pass_response(
    worker_reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await worker_reader.read(READ_BYTES):
        writer.write(data)
        await writer.drain()
