"""Callers that keep their connections while gateways are stopped."""

import asyncio
import dataclasses
import itertools
import random
import socket
from collections.abc import Callable

from oleanderbay.platform import names
from oleanderbay.process import clock as clocks

READ_BYTES = 256
SLOW_READ_MS = 20
# Receive buffer of slow callers, so that answers wait at the gateway.
SLOW_BUFFER_BYTES = 4_096
CONNECT_TIMEOUT_S = 1.0
# Callers use directory answers for up to this multiple of their time to live.
KEPT_FACTOR = 3
DIRECTORY_TTL_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Name in reports.
        path: Path with query.
        deadline_ms: Time for which the caller waits.
        body: Body that is sent.
        headers: Further headers.
        repeatable: Whether it may run more than once.
    """

    name: str
    path: str
    deadline_ms: int
    body: bytes = b"prompt"
    headers: tuple[tuple[str, str], ...] = ()
    repeatable: bool = False


def _stream(events: int, gap_ms: int, deadline_ms: int) -> Kind:
    return Kind(
        name=f"stream of {events * gap_ms} ms",
        path=f"/stream/x?events={events}&gap_ms={gap_ms}&bytes=150",
        deadline_ms=deadline_ms,
    )


KINDS = (
    _stream(12, 100, 10_000),
    _stream(36, 100, 10_000),
    _stream(33, 200, 10_000),
    Kind(name="post", path="/post/x?gap_ms=60&bytes=800", deadline_ms=2_500),
)


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """One request and what its caller saw of it; times are monotonic.

    Attributes:
        gateway: Host of the gateway.
        start: Number of the start of that gateway that got the request.
        ended_ms: When the answer was complete or the connection ended.
        status: HTTP status; 0 if there is no head.
        complete: Whether the answer is complete.
        answered_id: Request id that the answer states; empty for none.
    """

    id: str
    kind: Kind
    gateway: str
    start: int
    slow: bool
    sent_ms: int
    ended_ms: int = 0
    status: int = 0
    complete: bool = False
    body: bytes = b""
    answered_id: str = ""


class IncompleteError(Exception):
    """The connection ended before a complete answer."""


class Connection:
    """One connection of a caller, which carries a request at a time.

    Attributes:
        start: Number of the gateway's start that it leads to.
        closing: Whether the gateway closes it after its last answer.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        start: int,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.start = start
        self.closing = False

    @property
    def open(self) -> bool:
        """Whether the gateway has not closed the connection yet."""
        return not (
            self.closing or self.reader.at_eof() or self.writer.is_closing()
        )

    async def exchange(self, sent: Sent, clock: clocks.Clock) -> None:
        """Sends a request and reads its answer into `sent`.

        Raises:
            IncompleteError: The connection ended before the answer did.
        """
        kind = sent.kind
        head = (
            f"POST {kind.path} HTTP/1.1\r\nHost: api\r\n"
            f"{names.REQUEST_ID}: {sent.id}\r\n"
            f"{names.DEADLINE}: {kind.deadline_ms}\r\n"
            + "".join(f"{name}: {value}\r\n" for name, value in kind.headers)
            + f"Content-Length: {len(kind.body)}\r\n\r\n"
        )
        try:
            self.writer.write(head.encode() + kind.body)
            await self.writer.drain()
            await self._read_answer(sent, clock)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            raise IncompleteError(repr(error)) from error

    async def _read_answer(self, sent: Sent, clock: clocks.Clock) -> None:
        lines = (
            (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        )
        sent.status = int(lines[0].split()[1])
        headers = {
            name.strip().lower(): value.strip().lower()
            for name, _, value in (line.partition(":") for line in lines[1:-2])
        }
        self.closing = headers.get("connection") == "close"
        sent.answered_id = headers.get(names.REQUEST_ID.lower(), "")
        if headers.get("transfer-encoding") != "chunked":
            length = int(headers["content-length"])
            sent.body = await self._read(length, sent.slow, clock)
            return
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            sent.body += await self._read(size, sent.slow, clock)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)

    async def _read(self, size: int, slow: bool, clock: clocks.Clock) -> bytes:
        body = b""
        while len(body) < size:
            step = size - len(body)
            if slow:
                step = min(step, max(READ_BYTES, size // 256))
                await clock.sleep_ms(SLOW_READ_MS)
            body += await self.reader.readexactly(step)
        return body

    def close(self) -> None:
        """Closes the connection."""
        self.writer.transport.abort()


class Callers:
    """A load of callers over all gateways.

    Attributes:
        kinds: Kinds of requests, which are drawn alike.
        directory: Returns the hosts that the directory names now.
        start_of: Returns the number of the newest start of a gateway.
        sent: All requests.
    """

    def __init__(
        self,
        count: int,
        slow_share: float,
        kinds: tuple[Kind, ...],
        port: int,
        directory: Callable[[], list[str]],
        start_of: Callable[[str], int],
        seed: int,
        clock: clocks.Clock,
    ) -> None:
        self.count = count
        self.slow_share = slow_share
        self.kinds = kinds
        self.port = port
        self.directory = directory
        self.start_of = start_of
        self.seed = seed
        self.clock = clock
        self.sent: list[Sent] = []
        self._ids = itertools.count()
        self._ending = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts all callers."""
        for number in range(self.count):
            rng = random.Random(f"{self.seed}/{number}")
            slow = number < self.slow_share * self.count
            self._tasks.append(asyncio.create_task(self._run(rng, slow)))

    async def close(self) -> None:
        """Ends the load after the requests in progress."""
        self._ending = True
        await asyncio.gather(*self._tasks)

    async def _run(self, rng: random.Random, slow: bool) -> None:
        kept: dict[str, Connection] = {}
        hosts, until_ms = self.directory(), 0
        factor = rng.choice((1, KEPT_FACTOR))
        while not self._ending:
            await self.clock.sleep_ms(rng.uniform(0, 200))
            if self.clock.now_ms() >= until_ms:
                hosts = self.directory() or hosts
                until_ms = self.clock.now_ms() + factor * DIRECTORY_TTL_MS
            usable = sorted(host for host in kept if kept[host].open)
            # An open connection is also used when the directory has dropped
            # its gateway.
            if usable and rng.random() < 0.5:
                host = rng.choice(usable)
            else:
                host = rng.choice(hosts)
            if host not in usable:
                if host in kept:
                    kept.pop(host).close()
                connection = await self.connect(host, slow)
                if connection is None:
                    hosts = [h for h in hosts if h != host] or self.directory()
                    continue
                kept[host] = connection
            await self.ask(host, kept[host], rng.choice(self.kinds), slow)
        for connection in kept.values():
            connection.close()

    async def connect(self, host: str, slow: bool) -> Connection | None:
        """Opens a connection; returns None if the gateway accepts none."""
        sock = socket.socket()
        sock.setblocking(False)
        if slow:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
            )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(
                    sock, (host, self.port)
                )
            streams = await asyncio.open_connection(
                sock=sock, limit=SLOW_BUFFER_BYTES if slow else 1 << 16
            )
        except (TimeoutError, OSError):
            sock.close()
            return None
        return Connection(*streams, self.start_of(host))

    async def ask(
        self, host: str, connection: Connection, kind: Kind, slow: bool
    ) -> Sent:
        """Sends one request and waits for the end of its answer."""
        now_ms = self.clock.now_ms()
        sent = Sent(
            id=f"q{self.seed}-{next(self._ids)}",
            kind=kind,
            gateway=host,
            start=connection.start,
            slow=slow,
            sent_ms=now_ms,
        )
        self.sent.append(sent)
        try:
            async with asyncio.timeout(kind.deadline_ms / 1000):
                await connection.exchange(sent, self.clock)
            sent.complete = True
        except (TimeoutError, IncompleteError):
            connection.close()
        sent.ended_ms = self.clock.now_ms()
        if connection.closing:
            connection.close()
        return sent
