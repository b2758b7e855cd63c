"""Links to peers: keeps one good link each, and carries messages."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import mode
import structlog

from oleanderbay.connection import frames, peer
from oleanderbay.process import clock as clocks
from oleanderbay.process import deadline, interfaces

# Of two entries the one with the lower id dials at once; the other dials only
# after this time without a good link, so that a one-way block of connections
# does not keep them apart.
SECOND_DIALER_DELAY_MS = 400
FIRST_BACKOFF_MS = 100
LAST_BACKOFF_MS = 2_000
CHECK_MS = 100
# A link is closed for good when nothing has come for this long, twice the
# time after which the peer is considered dead.
CLOSE_SILENT_MS = 4_000
# Heartbeats come every 500 ms at most; only a link without them needs a ping.
IDLE_MS = 550

Connection = tuple[asyncio.StreamReader, peer.Writer]
Dialer = Callable[[str], Awaitable[Connection]]
LinkCallback = Callable[[interfaces.Entry, bool], None]


async def dial_tcp(address: str) -> Connection:
    """Opens a TCP connection to `host:port`."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host.strip("[]"), int(port))


class Peers(mode.Service):
    """Implements `PeerTransport` over one link to each peer.

    Attributes:
        me: This entry; replaced when it starts to leave.
        links: The link in use for each start id.
        sent_bytes: Bytes sent over all links that are gone.
    """

    def __init__(
        self,
        me: interfaces.Entry,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        listen_address: str = "",
        dial: Dialer = dial_tcp,
        limits: peer.LinkLimits | None = None,
    ) -> None:
        super().__init__()
        self.me = me
        self.links: dict[str, peer.Link] = {}
        self.sent_bytes = 0
        self.listen_address = listen_address
        self._clock = clock
        self._rng = rng
        self._dial = dial
        self._limits = limits or peer.LinkLimits()
        self._handlers: dict[str, interfaces.PeerHandler] = {}
        self._callbacks: list[LinkCallback] = []
        self._targets: dict[str, tuple[str, asyncio.Task[None]]] = {}
        self._retired: set[peer.Link] = set()
        self._accepted: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._attempt = 0
        self._log = structlog.get_logger("peers")

    async def on_start(self) -> None:
        """Listens for peers if there is an address to listen on."""
        if self.listen_address:
            host, _, port = self.listen_address.rpartition(":")
            self._server = await asyncio.start_server(
                self._on_connection, host.strip("[]"), int(port)
            )
            bound = self._server.sockets[0].getsockname()
            self.listen_address = f"{host}:{bound[1]}"

    async def on_stop(self) -> None:
        """Closes the listener and all links."""
        if self._server is not None:
            self._server.close()
        tasks = [task for _, task in self._targets.values()]
        tasks += list(self._accepted)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._targets.clear()

    @mode.Service.task
    async def _tend(self) -> None:
        # Keeps idle links from looking silent and closes silent ones.
        while not self.should_stop:
            await self._clock.sleep_ms(CHECK_MS)
            now_ms = self._clock.now_ms()
            for link in list(self.links.values()):
                if link.received_ms < now_ms - CLOSE_SILENT_MS:
                    link.close("nothing received")
                elif link.sent_ms <= now_ms - IDLE_MS:
                    link.send("ping", None)
            for link in [old for old in self._retired if old.silent]:
                link.close("replaced by a newer link")

    def register(self, kind: str, handler: interfaces.PeerHandler) -> None:
        """Sets the handler of a message kind; its result is the answer.

        Handlers of messages without an answer run one after the other in the
        reader of the link and must not wait for long.
        """
        self._handlers[kind] = handler

    def on_link(self, callback: LinkCallback) -> None:
        """Calls back when a peer's first link is up or its last one down."""
        self._callbacks.append(callback)

    def send(self, start_id: str, kind: str, body: Any) -> None:
        """Queues a message without an answer; drops it if there's no link."""
        link = self.links.get(start_id)
        if link is not None:
            link.send(kind, body)

    def broadcast(self, kind: str, body: Any) -> None:
        """Queues a message to every linked peer."""
        frame = frames.encode(kind, 0, body)
        for link in self.links.values():
            link.send_encoded(frame)

    async def request(
        self, start_id: str, kind: str, body: Any, timeout_ms: int
    ) -> Any:
        """Sends a message and returns the answer.

        Raises:
            PeerError: No link, no answer in time, or the peer refused.
        """
        link = self.links.get(start_id)
        if link is None:
            raise interfaces.PeerError(f"no link to {start_id}")
        try:
            return await link.request(kind, body, timeout_ms)
        except (peer.LinkError, frames.FrameError, TimeoutError) as error:
            raise interfaces.PeerError(f"{kind}: {error}") from error

    def set_targets(self, targets: Iterable[tuple[str, str]]) -> None:
        """Sets the entries to keep links with.

        Args:
            targets: Entry id and peer address of each.
        """
        wanted = {id: address for id, address in targets if id != self.me.id}
        for id, (address, task) in list(self._targets.items()):
            if wanted.get(id) != address:
                task.cancel()
                self._accepted.add(task)
                task.add_done_callback(self._accepted.discard)
                del self._targets[id]
        for id, address in wanted.items():
            if id not in self._targets:
                task = asyncio.create_task(self._keep(id, address))
                self._targets[id] = (address, task)

    def total_sent_bytes(self) -> int:
        """Returns the bytes sent over all links so far."""
        return self.sent_bytes + sum(
            link.sent_bytes for link in self.links.values()
        )

    def link_to(self, id: str) -> peer.Link | None:
        """Returns the newest link to an entry id."""
        for link in self.links.values():
            if link.remote.id == id and not link.closed:
                return link
        return None

    async def accept(
        self, reader: asyncio.StreamReader, writer: peer.Writer
    ) -> None:
        """Serves one incoming connection until it ends."""
        try:
            remote = await peer.receive_hello(
                reader, self._clock, self._limits.handshake_ms
            )
            mine = self._hello(0, False)
            try:
                peer.check_version(mine, remote)
                link = self._link(reader, writer, remote, False, remote.attempt)
                if remote.start_id == self.me.start_id:
                    raise peer.HandshakeError("connected to itself")
                if not remote.replace and not self._preferred(link):
                    raise peer.HandshakeError("there is a better link")
            except peer.HandshakeError as error:
                writer.write(frames.encode("refuse", 0, str(error)))
                await writer.drain()
                raise
            await peer.send_hello(writer, mine)
        except (peer.HandshakeError, OSError) as error:
            self._log.info("peer connection refused", reason=str(error))
            writer.close()
            return
        except asyncio.CancelledError:
            writer.close()
            raise
        await self._run(link)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._accepted.add(task)
        try:
            await self.accept(reader, writer)
        except asyncio.CancelledError:
            # The stream server's own callback logs a cancelled task as an
            # error; the task ends here in any case.
            return
        finally:
            self._accepted.discard(task)

    async def _keep(self, id: str, address: str) -> None:
        # Keeps a good link to one entry for as long as it is a target. The
        # link may come from either end.
        backoff_ms = FIRST_BACKOFF_MS
        dials: set[asyncio.Task[None]] = set()
        try:
            while True:
                link = self.link_to(id)
                if link is not None and not link.silent:
                    backoff_ms = FIRST_BACKOFF_MS
                    await self._clock.sleep_ms(CHECK_MS)
                    continue
                if self.me.id > id:
                    await self._clock.sleep_ms(SECOND_DIALER_DELAY_MS)
                    link = self.link_to(id)
                    if link is not None and not link.silent:
                        continue
                established = await self._try_dial(address, link, dials)
                if not established:
                    await self._clock.sleep_ms(
                        backoff_ms * self._rng.uniform(0.5, 1.5)
                    )
                    backoff_ms = min(backoff_ms * 2, LAST_BACKOFF_MS)
        finally:
            for task in dials:
                task.cancel()
            await asyncio.gather(*dials, return_exceptions=True)

    async def _try_dial(
        self,
        address: str,
        old: peer.Link | None,
        dials: set[asyncio.Task[None]],
    ) -> bool:
        self._attempt += 1
        hello = self._hello(self._attempt, old is not None)
        connection: Connection | None = None
        try:
            connection = await deadline.within(
                self._clock, self._dial(address), self._limits.handshake_ms
            )
            reader, writer = connection
            await peer.send_hello(writer, hello)
            remote = await peer.receive_hello(
                reader, self._clock, self._limits.handshake_ms
            )
            peer.check_version(hello, remote)
            if remote.start_id == self.me.start_id:
                raise peer.HandshakeError("connected to itself")
            link = self._link(reader, writer, remote, True, hello.attempt)
            if not hello.replace and not self._preferred(link):
                raise peer.HandshakeError("there is a better link")
        except (peer.HandshakeError, TimeoutError, OSError) as error:
            if connection is not None:
                connection[1].close()
            self._log.debug("no link", address=address, reason=str(error))
            return False
        except asyncio.CancelledError:
            if connection is not None:
                connection[1].close()
            raise
        task = asyncio.create_task(self._run(link))
        dials.add(task)
        task.add_done_callback(dials.discard)
        return True

    def _preferred(self, link: peer.Link) -> bool:
        # Both ends prefer the link dialed by the lower entry id, and of those
        # the newest, so that they keep the same one.
        old = self.links.get(link.remote.start_id)
        if old is None or old.closed or old.silent:
            return True
        return self._rank(link) > self._rank(old)

    def _rank(self, link: peer.Link) -> tuple[bool, int]:
        by_lower = link.dialed == (self.me.id < link.remote.id)
        return by_lower, link.attempt

    async def _run(self, link: peer.Link) -> None:
        start_id = link.remote.start_id
        old = self.links.get(start_id)
        if old is not None:
            self.sent_bytes += old.sent_bytes
            if link.dialed:
                old.close("replaced by a newer link")
            else:
                # Closing it before the dialer has seen the new link would
                # leave the dialer without one for a moment.
                self._retired.add(old)
        self.links[start_id] = link
        for other in list(self.links.values()):
            if other.remote.id == link.remote.id and other is not link:
                other.close("replaced by a new start of the entry")
        if old is None:
            self._tell(link, True)
        try:
            await link.run()
        finally:
            link.close()
            self._retired.discard(link)
            if self.links.get(start_id) is link:
                del self.links[start_id]
                self.sent_bytes += link.sent_bytes
                self._tell(link, False)

    def _tell(self, link: peer.Link, up: bool) -> None:
        self._log.info(
            "peer link", peer=link.remote.id, up=up, reason=link.end_reason
        )
        for callback in self._callbacks:
            callback(_entry(link.remote), up)

    def _hello(self, attempt: int, replace: bool) -> peer.Hello:
        return peer.Hello(
            **dataclasses.asdict(self.me), attempt=attempt, replace=replace
        )

    def _link(
        self,
        reader: asyncio.StreamReader,
        writer: peer.Writer,
        remote: peer.Hello,
        dialed: bool,
        attempt: int,
    ) -> peer.Link:
        return peer.Link(
            reader,
            writer,
            clock=self._clock,
            remote=remote,
            dialed=dialed,
            attempt=attempt,
            handler=self._handle,
            limits=self._limits,
        )

    async def _handle(self, link: peer.Link, kind: str, body: Any) -> Any:
        handler = self._handlers.get(kind)
        if handler is None:
            raise peer.LinkError(f"unknown message kind {kind!r}")
        try:
            return await handler(_entry(link.remote), body)
        except (peer.LinkError, asyncio.CancelledError):
            raise
        except interfaces.PeerError as error:
            raise peer.LinkError(str(error)) from error
        except Exception as error:
            # A body that one handler can't read must not end the link, which
            # carries the messages of all others.
            self._log.warning(
                "peer message failed",
                kind=kind,
                peer=link.remote.id,
                error=f"{type(error).__name__}: {error}",
            )
            raise peer.LinkError(f"{kind} failed") from error


def _entry(remote: peer.Hello) -> interfaces.Entry:
    return interfaces.Entry(
        id=remote.id,
        start_id=remote.start_id,
        zone=remote.zone,
        caller_address=remote.caller_address,
        peer_address=remote.peer_address,
        leaving=remote.leaving,
    )
