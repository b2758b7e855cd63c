"""State of sockets that the event loop has not processed yet."""

import asyncio
import select
import socket
from asyncio import trsock

from oleanderbay.process import clock as clocks

# Turns of the event loop that asyncio takes to accept a connection.
ACCEPT_TURNS = 3


def has_input(sock: socket.socket | trsock.TransportSocket) -> bool:
    """Whether a socket has something to read or to accept."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def accept_pending(server: asyncio.Server) -> None:
    """Waits until a server has accepted all connections to its sockets.

    Closing a listening socket resets the connections that wait for it.
    """
    pending = True
    while pending:
        pending = any(map(has_input, server.sockets))
        for _ in range(ACCEPT_TURNS):
            await clocks.next_turn()
