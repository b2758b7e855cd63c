"""Opens connections to workers, directly or through another gateway."""

import asyncio
import contextlib
import contextvars
import dataclasses
import functools
import random
import socket
from collections.abc import Awaitable, Callable, Iterable, Iterator

from oleanderbay.connection import sockets
from oleanderbay.gateway import (
    membership,
    paths,
    pauses,
    settings,
    tunnels,
    workers,
)
from oleanderbay.process import clock as clocks

# Parts of the connect timeout after which another gateway is asked as well,
# and then a second one: the first may be partitioned and not know it yet.
# Connections to sound workers take a few milliseconds.
FIRST_GATEWAY_SHARE = 0.4
SECOND_GATEWAY_SHARE = 0.2
# Time for which a gateway that opened no tunnel is asked last.
AVOID_MS = 500


@dataclasses.dataclass(slots=True)
class Target:
    """The worker that the current task connects to.

    Attributes:
        worker: The worker.
        gateway: Id of the gateway that the connection leads through; empty
            for a direct one.
    """

    worker: workers.Worker
    gateway: str = ""


_TARGET: contextvars.ContextVar[Target | None] = contextvars.ContextVar(
    "target", default=None
)


@contextlib.contextmanager
def connecting_to(worker: workers.Worker) -> Iterator[Target]:
    """Allows the current task to reach a worker through other gateways."""
    target = Target(worker)
    token = _TARGET.set(target)
    try:
        yield target
    finally:
        _TARGET.reset(token)


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """One way to open a connection.

    Attributes:
        gateway: Id of the gateway that it leads through; empty for a direct
            connection.
        connect: Opens the connection.
        patience_ms: Time after which the next way is tried as well.
    """

    gateway: str
    connect: Callable[[], Awaitable[socket.socket]]
    patience_ms: float


class Dialer:
    """Opens connections to workers.

    A worker that does not accept a connection at once may be lost, or the
    path to it may be broken. Other gateways are then asked to open one, and
    the first connection is used.

    Attributes:
        paths: Which workers this gateway reaches directly.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        members: membership.Membership,
        connect_timeout_ms: int,
        known_paths: paths.Paths,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.members = members
        self.connect_timeout_ms = connect_timeout_ms
        self.paths = known_paths
        self._avoided_until_ms: dict[str, int] = {}

    async def open_socket(self, host: str, port: int) -> socket.socket:
        """Opens a connection, by any way if `connecting_to` allows it.

        Raises:
            TimeoutError, OSError: No way leads to the address.
        """
        target = _TARGET.get()
        async with asyncio.timeout(self.connect_timeout_ms / 1000):
            if target is None:
                return await sockets.connect(host, port)
            worker = target.worker
            broken = self.paths.is_broken(worker)
            direct = Way(
                "",
                lambda: sockets.connect(host, port),
                FIRST_GATEWAY_SHARE * self.connect_timeout_ms,
            )
            target.gateway, sock = await try_in_turn(
                self._ways(worker, direct, broken)
            )
        if not target.gateway:
            self.paths.record_reached(worker)
        elif not broken:
            self.paths.record_broken(worker)
        return sock

    async def check(self, worker: workers.Worker) -> None:
        """Opens a connection to a worker by any way, and closes it again.

        Raises:
            TimeoutError, OSError: No way leads to the worker.
        """
        with connecting_to(worker):
            sock = await self.open_socket(
                *settings.split_address(worker.address)
            )
        sock.close()

    def _ways(
        self, worker: workers.Worker, direct: Way, broken: bool
    ) -> Iterator[Way]:
        """Yields the ways to a worker in the order of their use.

        Gateways are chosen only when they are needed, as that visits all.
        """
        if not broken:
            yield direct
        for gateway_id, host in self._gateways(worker):
            yield Way(
                gateway_id,
                functools.partial(self._open_tunnel, gateway_id, host, worker),
                SECOND_GATEWAY_SHARE * self.connect_timeout_ms,
            )
        if broken:
            yield direct

    def _gateways(self, worker: workers.Worker) -> list[tuple[str, str]]:
        """Returns id and host of up to two gateways to ask.

        They are in different zones if possible, since a zone may be
        partitioned as a whole. Bytes within a zone cost least.
        """
        now_ms = self.clock.now_ms()
        own_zone = self.members.config.entry.zone
        found = self.members.ready_gateways()
        self.rng.shuffle(found)
        found.sort(
            key=lambda gateway: (
                self._avoided_until_ms.get(gateway.id, 0) > now_ms,
                gateway.zone not in (own_zone, worker.zone),
                gateway.zone != own_zone,
            )
        )
        chosen = found[:1]
        others = [g for g in found[1:] if g.zone != chosen[0].zone] or found[1:]
        return [(g.id, g.host) for g in (*chosen, *others[:1])]

    async def _open_tunnel(
        self, gateway_id: str, host: str, worker: workers.Worker
    ) -> socket.socket:
        config = self.members.config
        try:
            return await tunnels.open_tunnel(
                host, config.peers.port, config.entry.host, worker
            )
        except OSError:
            now_ms = self.clock.now_ms()
            self._avoided_until_ms = {
                known: until_ms
                for known, until_ms in self._avoided_until_ms.items()
                if until_ms > now_ms
            }
            self._avoided_until_ms[gateway_id] = now_ms + AVOID_MS
            raise


async def try_direct(worker: workers.Worker, timeout_ms: int) -> bool:
    """Whether a direct connection to a worker can be opened."""
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            sock = await sockets.connect(
                *settings.split_address(worker.address)
            )
    except (TimeoutError, OSError):
        return False
    sock.close()
    return True


async def try_in_turn(ways: Iterable[Way]) -> tuple[str, socket.socket]:
    """Opens one connection, by the way that succeeds first.

    A way is tried when the time of the one before is over, or when all earlier
    ones have failed.

    Returns:
        The gateway of the way and the connection.

    Raises:
        OSError: All ways failed; the error is that of the direct one.
    """
    left = iter(ways)
    tasks: dict[asyncio.Task[socket.socket], str] = {}
    won: asyncio.Task[socket.socket] | None = None
    try:
        while won is None:
            way = next(left, None)
            if way is not None:
                tasks[asyncio.ensure_future(way.connect())] = way.gateway
            running = [task for task in tasks if not task.done()]
            if not running:
                break
            await asyncio.wait(
                running,
                timeout=None if way is None else way.patience_ms / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            # If this process is delayed, timers fire before connections that
            # are ready are noticed.
            for _ in range(pauses.SETTLE_TURNS):
                await clocks.next_turn()
            won = next(
                (t for t in tasks if t.done() and t.exception() is None), None
            )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in tasks:
            if task is not won and _succeeded(task):
                task.result().close()
    if won is not None:
        return tasks[won], won.result()
    failed = sorted(tasks, key=lambda task: tasks[task])
    error = failed[0].exception()
    assert error is not None
    raise error


def _succeeded(task: asyncio.Task[socket.socket]) -> bool:
    return not task.cancelled() and task.exception() is None
