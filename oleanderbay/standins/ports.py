"""Free ports for listeners whose addresses are stated before they listen."""

import contextlib
import pathlib
import random
import socket
from collections.abc import Sequence

# Ports from here on are rarely those of a service of the machine.
FIRST_PORT = 10_000
# First port that Linux gives to outgoing connections, if none is set.
DEFAULT_FIRST_OUTGOING = 32_768
# With fewer ports to choose from, runs at once would often meet.
MIN_CHOICE = 1_000

_SETTING = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class NoFreePortsError(Exception):
    """There are too few free ports on the hosts."""


def free_ports(count: int, hosts: Sequence[str]) -> list[int]:
    """Returns different ports that are free on all hosts, for TCP and UDP.

    They lie below the range from which the operating system takes the ports
    of outgoing connections and of listeners on port 0. It would otherwise give
    a port away before its listener starts. The search starts at a random port,
    so that runs at once are unlikely to find the same ones.

    Raises:
        NoFreePortsError: There are not enough of them.
    """
    end = first_outgoing_port()
    if end < FIRST_PORT + MIN_CHOICE:
        # The whole range is given away, so a collision can't be ruled out.
        end = 65_536
    candidates = list(range(FIRST_PORT, end))
    start = random.randrange(len(candidates))
    found: list[int] = []
    for port in candidates[start:] + candidates[:start]:
        if len(found) == count:
            return found
        if _is_free(port, hosts):
            found.append(port)
    if len(found) < count:
        raise NoFreePortsError(f"{len(found)} of {count} ports are free")
    return found


def free_port(*hosts: str) -> int:
    """Returns one port that is free on all hosts; see `free_ports`."""
    return free_ports(1, hosts)[0]


def first_outgoing_port() -> int:
    """Returns the first port that is given to outgoing connections."""
    try:
        return int(_SETTING.read_text(encoding="ascii").split()[0])
    except (OSError, ValueError, IndexError):
        return DEFAULT_FIRST_OUTGOING


def _is_free(port: int, hosts: Sequence[str]) -> bool:
    with contextlib.ExitStack() as stack:
        for host in hosts:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                try:
                    sock.bind((host, port))
                except OSError:
                    return False
    return True
