"""Tests of connections to workers through another gateway."""

import asyncio
import contextlib
import socket

import pytest

from oleanderbay.connection import frames, sockets
from oleanderbay.gateway import tunnels
from oleanderbay.process import clock as clocks
from tests.gateway import parts

OWN_HOST = "127.0.0.3"


class Rig:
    """A gateway that serves tunnels, and a worker behind it."""

    def __init__(self):
        self.worker = parts.worker("w", started_ms=5)
        self.known = {}
        self.arrived = asyncio.Queue()
        self.settled = 0
        self.writers = []
        self.served = []
        self.server = tunnels.TunnelServer(
            clocks.SystemClock(),
            500,
            {OWN_HOST}.__contains__,
            self.known.get,
            self._settle,
        )

    async def _settle(self):
        self.settled += 1

    async def start(self, stack):
        listeners = [
            await asyncio.start_server(serve, "127.0.0.1", 0)
            for serve in (self._accept_worker, self._accept_gateway)
        ]
        for listener in listeners:
            stack.callback(listener.close)
        host, port = listeners[0].sockets[0].getsockname()
        self.known["w"] = parts.worker(
            "w", started_ms=5, address=f"{host}:{port}"
        )
        self.listener = listeners[0]
        self.port = listeners[1].sockets[0].getsockname()[1]
        stack.push_async_callback(self._close)

    async def _close(self):
        for writer in self.writers:
            writer.transport.abort()
        await parts.wait_until(lambda: self.server.count == 0)

    async def _accept_worker(self, reader, writer):
        self.writers.append(writer)
        await self.arrived.put((reader, writer))

    async def _accept_gateway(self, reader, writer):
        self.served.append(writer)
        with contextlib.suppress(OSError, frames.FrameError):
            await self.server.serve(await frames.read(reader), reader, writer)
        writer.close()

    async def open(self, host=OWN_HOST, **changes):
        worker = parts.worker("w", **{"started_ms": 5, **changes})
        sock = await tunnels.open_tunnel("127.0.0.1", self.port, host, worker)
        reader, writer = await asyncio.open_connection(sock=sock)
        self.writers.append(writer)
        return reader, writer


@pytest.fixture
async def rig():
    async with contextlib.AsyncExitStack() as stack:
        started = Rig()
        await started.start(stack)
        yield started


async def test_bytes_pass_in_both_directions(rig):
    reader, writer = await rig.open()
    worker_reader, worker_writer = await rig.arrived.get()
    writer.write(b"request")
    assert await worker_reader.readexactly(7) == b"request"
    worker_writer.write(b"response")
    worker_writer.close()
    assert await reader.read() == b"response"
    await parts.wait_until(lambda: rig.server.count == 0)
    writer.close()


async def test_the_request_ends_at_the_worker_when_the_tunnel_is_closed(rig):
    """Guards against workers that go on after their caller has left."""
    _, writer = await rig.open()
    worker_reader, worker_writer = await rig.arrived.get()
    writer.write(b"request")
    await worker_reader.readexactly(7)
    writer.close()
    with contextlib.suppress(ConnectionError):
        assert await worker_reader.read() == b""
    await parts.wait_until(lambda: rig.server.count == 0)
    worker_writer.close()


async def test_a_cancelled_request_does_not_reach_the_worker(rig):
    """Guards against requests that are sent on after a pause of a gateway."""
    paused = asyncio.Event()
    rig.server.settle = paused.wait
    _, writer = await rig.open()
    worker_reader, worker_writer = await rig.arrived.get()
    writer.write(b"request")
    writer.close()
    await asyncio.sleep(0.05)
    paused.set()
    with contextlib.suppress(ConnectionError):
        assert await worker_reader.read() == b""
    worker_writer.close()


async def test_a_reset_of_the_worker_is_no_end_of_its_response(rig):
    """Guards against responses that are cut off and look complete."""
    reader, writer = await rig.open()
    _, worker_writer = await rig.arrived.get()
    worker_writer.write(b"half")
    assert await reader.readexactly(4) == b"half"
    sockets.reset_on_close(worker_writer.get_extra_info("socket"))
    worker_writer.transport.abort()
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.close()


async def test_an_early_answer_passes_though_the_request_is_not_read(rig):
    reader, writer = await rig.open()
    _, worker_writer = await rig.arrived.get()
    worker_writer.write(b"too large")
    await worker_writer.drain()
    worker_writer.close()
    assert await reader.readexactly(9) == b"too large"
    writer.close()


@pytest.mark.parametrize(
    ("changes", "host"),
    [
        ({"started_ms": 6}, OWN_HOST),
        ({}, "127.0.0.4"),
    ],
)
async def test_only_gateways_reach_only_known_workers(rig, changes, host):
    """Guards against a gateway that connects anybody to any address."""
    with pytest.raises(tunnels.TunnelError):
        await rig.open(host, **changes)
    assert rig.arrived.empty()


async def test_a_worker_that_must_get_no_requests_gets_none(rig):
    """Guards against requests that reach a draining worker over a detour."""
    del rig.known["w"]
    with pytest.raises(tunnels.TunnelError, match="unavailable"):
        await rig.open()


async def test_an_unreachable_worker_is_reported(rig):
    rig.listener.close()
    await rig.listener.wait_closed()
    with pytest.raises(tunnels.TunnelError, match="unreachable"):
        await rig.open()


async def test_the_number_of_tunnels_is_bounded(rig, monkeypatch):
    monkeypatch.setattr(tunnels, "MAX_TUNNELS", 1)
    _, writer = await rig.open()
    with pytest.raises(tunnels.TunnelError, match="busy"):
        await rig.open()
    writer.close()


async def test_a_stop_waits_for_tunnels_and_opens_no_more(rig):
    """Guards against requests that the stop of another gateway cuts off."""
    _, writer = await rig.open()
    clock = rig.server.clock
    rig.server.leave()
    drain = asyncio.create_task(rig.server.drain(clock.now_ms() + 20_000))
    await asyncio.sleep(0)
    with pytest.raises(tunnels.TunnelError, match="busy"):
        await rig.open()
    assert not drain.done()
    writer.close()
    await drain


# A tunnel whose connection was being opened at the signal carried a request
# that the end of the stop may cut off.
async def test_a_tunnel_that_is_being_opened_at_a_stop_is_refused(
    rig, monkeypatch
):
    connecting, leaving = asyncio.Event(), asyncio.Event()
    connect = rig.server._connect

    async def connect_slowly(worker):
        connecting.set()
        await leaving.wait()
        return await connect(worker)

    monkeypatch.setattr(rig.server, "_connect", connect_slowly)
    opened = asyncio.create_task(rig.open())
    await connecting.wait()
    rig.server.leave()
    leaving.set()
    with pytest.raises(tunnels.TunnelError, match="busy"):
        await opened


# The end of an answer that a gateway had read, but could not send yet, was lost
# when its process ended.
async def test_a_tunnel_lasts_until_its_answer_is_sent(rig):
    small = socket.socket()
    small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    small.bind((OWN_HOST, 0))
    small.connect(("127.0.0.1", rig.port))
    small.setblocking(False)
    # The reader takes no more than its buffer holds until it is read from.
    reader, writer = await asyncio.open_connection(sock=small, limit=1_024)
    writer.write(frames.encode(tunnels.TUNNEL, 1, ["w", 5]))
    assert (await frames.read(reader)).body == tunnels.Answer.OPEN
    (served,) = rig.served
    served.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096
    )
    _, worker_writer = await rig.arrived.get()
    answer = 60_000 * b"a"
    worker_writer.write(answer)
    worker_writer.close()
    await asyncio.sleep(0.2)
    assert served.transport.get_write_buffer_size() > 0
    assert rig.server.count == 1
    assert await reader.read() == answer
    await parts.wait_until(lambda: rig.server.count == 0)
    writer.close()


async def test_bytes_after_the_answer_are_left_to_the_connection(rig):
    """Guards against bytes of the worker that are lost with the answer."""

    async def serve(reader, writer):
        await frames.read(reader)
        writer.write(frames.encode(tunnels.TUNNEL, 1, "open") + b"early")
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    sock = await tunnels.open_tunnel("127.0.0.1", port, OWN_HOST, rig.worker)
    assert await asyncio.get_running_loop().sock_recv(sock, 100) == b"early"
    sock.close()
    listener.close()


def test_a_lost_peer_is_noticed_after_the_same_time_busy_or_idle():
    """Guards against a TCP_USER_TIMEOUT that cuts keep-alive probes short."""
    with socket.socket() as sock:
        sockets.detect_loss(sock)
        option = sock.getsockopt
        tcp = socket.IPPROTO_TCP
        idle_s = option(tcp, socket.TCP_KEEPIDLE)
        probes_s = option(tcp, socket.TCP_KEEPINTVL) * option(
            tcp, socket.TCP_KEEPCNT
        )
        assert option(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert option(tcp, socket.TCP_USER_TIMEOUT) == 1_000 * (
            idle_s + probes_s
        )
