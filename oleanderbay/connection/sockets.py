"""State of sockets that the event loop has not processed yet."""

import array
import asyncio
import fcntl
import os
import select
import socket
import struct
import termios
from asyncio import trsock
from collections.abc import Callable

from oleanderbay.process import clock as clocks

# Turns of the event loop that asyncio takes to accept a connection.
ACCEPT_TURNS = 3
# Connections that are accepted in one turn of the event loop.
ACCEPTED_PER_TURN = 16
# Value of SO_LINGER that makes close() discard unsent data and send a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# A peer that is gone is noticed after the idle time and all probes. Its
# silence for a few seconds is no loss.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3


def has_input(sock: socket.socket | trsock.TransportSocket) -> bool:
    """Whether a socket has something to read or to accept."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def count_unacknowledged(sock: socket.socket | trsock.TransportSocket) -> int:
    """Returns the number of bytes sent that the peer hasn't acknowledged."""
    count = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    return count[0]


async def connect(host: str, port: int) -> socket.socket:
    """Opens a connection.

    Raises:
        OSError: The connection was not established.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(
            sock, (host.strip("[]"), port)
        )
    except BaseException:
        sock.close()
        raise
    return sock


def reset_on_close(sock: socket.socket | trsock.TransportSocket) -> None:
    """Makes the close of a socket discard unsent data and send a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def detect_loss(sock: socket.socket | trsock.TransportSocket) -> None:
    """Makes the operating system close a connection whose peer is gone.

    TCP_USER_TIMEOUT limits the time for unacknowledged data, and it replaces
    the number of keep-alive probes, so both end after the same time.
    """
    tcp = socket.IPPROTO_TCP
    lost_s = KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, 1_000 * lost_s)


async def create_server(
    protocol: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    backlog: int,
) -> asyncio.Server:
    """Opens a listening socket.

    asyncio takes one number for the connections that may wait and for the
    attempts to accept in a turn of the event loop. Without a free descriptor
    all of these fail, and it logs and repeats each of them.

    Args:
        protocol: Creates the protocol of one connection.
        host: Host to listen on.
        port: Port to listen on; 0 takes a free one.
        backlog: Number of connections that may wait.
    """
    server = await asyncio.get_running_loop().create_server(
        protocol, host, port, backlog=ACCEPTED_PER_TURN
    )
    for sock in server.sockets:
        with _duplicate(sock) as listening:
            listening.listen(backlog)
    return server


async def stop_accepting(
    server: asyncio.Server, protocol: Callable[[], asyncio.BaseProtocol]
) -> None:
    """Accepts the connections that wait for a server, then closes its sockets.

    Closing a listening socket resets the connections that wait for it, and
    asyncio forgets those that it is accepting at that moment.

    Args:
        server: The server.
        protocol: Creates the protocol of one connection.
    """
    loop = asyncio.get_running_loop()
    try:
        listening = [_duplicate(sock) for sock in server.sockets]
    except OSError:
        # Without a free descriptor no connection can be accepted either.
        listening = []
    for sock in server.sockets:
        loop.remove_reader(sock)
    for _ in range(ACCEPT_TURNS):
        await clocks.next_turn()
    # Nothing is awaited before the close: peers that reconnect as soon as they
    # are answered would keep the socket open, and a connection that comes after
    # the last accept would be reset.
    accepted = [
        connection for sock in listening for connection in _accept(sock)
    ]
    server.close()
    for sock in listening:
        sock.close()
    for connection in accepted:
        await loop.connect_accepted_socket(protocol, connection)


def _duplicate(
    sock: socket.socket | trsock.TransportSocket,
) -> socket.socket:
    return socket.socket(fileno=os.dup(sock.fileno()))


def _accept(sock: socket.socket) -> list[socket.socket]:
    """Accepts the connections that wait for a listening socket."""
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _ = sock.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            return accepted
        connection.setblocking(False)
        accepted.append(connection)
