"""One link to a peer: handshake, reader, writer and requests."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from oleanderbay.connection import frames
from oleanderbay.process import clock as clocks
from oleanderbay.process import deadline

# Range of protocol versions that this code speaks.
OLDEST_VERSION = 1
NEWEST_VERSION = 1

MAX_TEXT_LENGTH = 256
_IDENTITY_FIELDS = ("id", "start_id", "zone", "caller_address", "peer_address")


class LinkError(Exception):
    """A link to a peer can't be set up or used."""


class HandshakeError(LinkError):
    """The other end is not a peer that this entry can talk to."""


class LinkClosedError(LinkError):
    """The link closed before the answer came."""


class LinkBusyError(LinkError):
    """The send queue is full."""


class PeerRefusedError(LinkError):
    """The peer answered a request with an error."""


class Writer(Protocol):
    """The part of `asyncio.StreamWriter` that a link uses."""

    @property
    def transport(self) -> Any:
        """Has `abort`, which closes without sending what is buffered."""
        ...

    def write(self, data: bytes) -> None:
        """Buffers bytes."""
        ...

    async def drain(self) -> None:
        """Waits until the buffer is small enough."""
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message in each direction.

    Attributes:
        id: Entry id.
        start_id: Unique id of this run of the process.
        zone: The platform's name of its availability zone.
        caller_address: `host:port` for callers.
        peer_address: `host:port` for peers.
        leaving: Whether the entry has announced that it leaves.
        attempt: Number of the dial, rising within a start id.
        replace: Whether the sender found an older link to be silent.
        oldest_version: Oldest protocol version spoken.
        newest_version: Newest protocol version spoken.
    """

    id: str
    start_id: str
    zone: str
    caller_address: str
    peer_address: str
    leaving: bool = False
    attempt: int = 0
    replace: bool = False
    oldest_version: int = OLDEST_VERSION
    newest_version: int = NEWEST_VERSION


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkLimits:
    """Bounds of one link.

    Attributes:
        handshake_ms: Time for the handshake.
        silent_ms: Time without any frame after which a link is replaced.
            Heartbeats come every 500 ms and a peer is dead after 2,000 ms,
            so a new connection has a second to carry one.
        queue_frames: Frames waiting to be written.
        requests: Requests of the peer handled at the same time.
    """

    handshake_ms: int = 1_000
    silent_ms: int = 900
    queue_frames: int = 1_024
    requests: int = 128


def decode_hello(body: Any) -> Hello:
    """Returns a checked hello; unknown fields are ignored.

    Raises:
        HandshakeError: A field is missing or has another type.
    """
    if not isinstance(body, dict):
        raise HandshakeError("the handshake is not a map")
    known: dict[str, Any] = {}
    for field in dataclasses.fields(Hello):
        if field.name not in body:
            continue
        value = body[field.name]
        expected = field.type if isinstance(field.type, type) else object
        if type(value) is not expected:
            raise HandshakeError(f"{field.name} has the wrong type")
        if isinstance(value, str) and len(value) > MAX_TEXT_LENGTH:
            raise HandshakeError(f"{field.name} is too long")
        known[field.name] = value
    missing = [name for name in _IDENTITY_FIELDS if name not in known]
    if missing:
        raise HandshakeError(f"{missing[0]} is missing")
    if not known["id"] or not known["start_id"]:
        raise HandshakeError("id and start_id must not be empty")
    return Hello(**known)


def check_version(mine: Hello, theirs: Hello) -> int:
    """Returns the newest protocol version that both ends speak.

    Raises:
        HandshakeError: There is none.
    """
    version = min(mine.newest_version, theirs.newest_version)
    if version < max(mine.oldest_version, theirs.oldest_version):
        raise HandshakeError(
            f"the peer speaks protocol versions {theirs.oldest_version} to "
            f"{theirs.newest_version}, this entry {mine.oldest_version} to "
            f"{mine.newest_version}"
        )
    return version


async def send_hello(writer: Writer, hello: Hello) -> None:
    """Sends one side's handshake."""
    writer.write(frames.encode("hello", 0, dataclasses.asdict(hello)))
    await writer.drain()


async def receive_hello(
    reader: asyncio.StreamReader, clock: clocks.Clock, timeout_ms: int
) -> Hello:
    """Reads the other side's handshake.

    Raises:
        HandshakeError: It did not come in time, is malformed, or the peer
            refused the link.
    """
    try:
        # The identity fits easily; a larger frame is no handshake.
        frame = await deadline.within(
            clock, frames.read(reader, 16 * 1024), timeout_ms
        )
    except TimeoutError as error:
        raise HandshakeError("no handshake in time") from error
    except frames.FrameError as error:
        raise HandshakeError(f"no handshake: {error}") from error
    if frame.kind == "refuse":
        raise HandshakeError(f"refused by the peer: {frame.body}")
    if frame.kind != "hello":
        raise HandshakeError(f"expected a handshake, found {frame.kind}")
    return decode_hello(frame.body)


FrameHandler = Callable[["Link", str, Any], Awaitable[Any]]


class Link:
    """One established connection to a peer.

    Attributes:
        remote: The peer's handshake.
        dialed: Whether this entry opened the connection.
        attempt: Number of the dial by the end that opened it.
        received_ms: When the last part of a frame came.
        sent_ms: When the last frame was queued.
        sent_bytes: Bytes queued for writing so far.
        dropped: Messages dropped because the queue was full.
        closed: Whether the link is closed.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: Writer,
        *,
        clock: clocks.Clock,
        remote: Hello,
        dialed: bool,
        attempt: int,
        handler: FrameHandler,
        limits: LinkLimits,
    ) -> None:
        self.remote = remote
        self.dialed = dialed
        self.attempt = attempt
        self.received_ms = clock.now_ms()
        self.sent_ms = clock.now_ms()
        self.sent_bytes = 0
        self.dropped = 0
        self.closed = False
        self.end_reason = ""
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._handler = handler
        self._limits = limits
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(limits.queue_frames)
        self._receiving = False
        self._next_request = 0
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._answering: set[asyncio.Task[None]] = set()
        self._writer_task: asyncio.Task[None] | None = None

    @property
    def silent(self) -> bool:
        """Whether nothing has come for too long."""
        silence_ms = self._clock.now_ms() - self.received_ms
        return silence_ms > self._limits.silent_ms

    def send(self, kind: str, body: Any) -> bool:
        """Queues a message; returns whether it was queued."""
        return self.send_encoded(frames.encode(kind, 0, body))

    def send_encoded(self, frame: bytes) -> bool:
        """Queues an encoded frame; returns whether it was queued."""
        if self.closed:
            return False
        try:
            self._queue.put_nowait(frame)
        except asyncio.QueueFull:
            self.dropped += 1
            return False
        self.sent_bytes += len(frame)
        self.sent_ms = self._clock.now_ms()
        return True

    async def request(self, kind: str, body: Any, timeout_ms: int) -> Any:
        """Sends a request and returns the answer.

        Args:
            kind: Kind of the request.
            body: Its body.
            timeout_ms: Longest wait; while a frame is arriving, the longest
                time without any part of it.

        Raises:
            LinkError: The link is closed or busy, or the peer refused.
            TimeoutError: No answer came in time.
        """
        self._next_request += 1
        request_id = self._next_request
        frame = frames.encode(kind, request_id, body)
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        if self.closed:
            raise LinkClosedError("the link is closed")
        if not self.send_encoded(frame):
            raise LinkBusyError("the send queue is full")
        self._waiting[request_id] = answer
        try:
            return await self._wait_for(answer, timeout_ms)
        finally:
            self._waiting.pop(request_id, None)

    async def _wait_for(
        self, answer: asyncio.Future[Any], timeout_ms: int
    ) -> Any:
        left_ms = timeout_ms
        while True:
            try:
                return await deadline.within(
                    self._clock, asyncio.shield(answer), left_ms
                )
            except TimeoutError:
                silence_ms = self._clock.now_ms() - self.received_ms
                if not self._receiving or silence_ms >= timeout_ms:
                    answer.cancel()
                    raise
                left_ms = timeout_ms - silence_ms

    def _record_part(self) -> None:
        self.received_ms = self._clock.now_ms()
        self._receiving = True

    async def run(self) -> None:
        """Carries messages until the connection ends or is closed."""
        self._writer_task = asyncio.create_task(self._write())
        try:
            while not self.closed:
                frame = await frames.read(
                    self._reader, on_part=self._record_part
                )
                self._receiving = False
                await self._receive(frame)
        except frames.FrameError as error:
            self.end_reason = self.end_reason or str(error)
        finally:
            self.close()
            tasks = [self._writer_task, *self._answering]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def close(self, reason: str = "closed") -> None:
        """Closes the connection; `run` then ends by itself."""
        if self.closed:
            return
        self.closed = True
        self.end_reason = self.end_reason or reason
        # A connection whose path is broken never sends what is buffered and
        # may never report its end.
        if self.silent:
            self._writer.transport.abort()
        else:
            self._writer.close()
        if not self._reader.at_eof():
            self._reader.feed_eof()
        for waiter in self._waiting.values():
            if not waiter.done():
                waiter.set_exception(LinkClosedError("the link closed"))

    async def _write(self) -> None:
        while not self.closed:
            frame = await self._queue.get()
            try:
                self._writer.write(frame)
                await self._writer.drain()
            except (OSError, RuntimeError) as error:
                self.close(f"write failed: {error}")

    async def _receive(self, frame: frames.Frame) -> None:
        if frame.kind in ("answer", "error"):
            waiter = self._waiting.get(frame.request_id)
            # An answer that comes after its deadline has no waiter.
            if waiter is None or waiter.done():
                return
            if frame.kind == "answer":
                waiter.set_result(frame.body)
            else:
                waiter.set_exception(PeerRefusedError(str(frame.body)))
        elif frame.kind == "ping":
            # Its arrival is all that it tells.
            return
        elif frame.request_id == 0:
            try:
                await self._handler(self, frame.kind, frame.body)
            except LinkError:
                # Without a request id there is nobody to tell.
                return
        elif len(self._answering) >= self._limits.requests:
            self._answer("error", frame.request_id, "too many requests")
        else:
            task = asyncio.create_task(self._handle(frame))
            self._answering.add(task)
            task.add_done_callback(self._answering.discard)

    async def _handle(self, frame: frames.Frame) -> None:
        try:
            result = await self._handler(self, frame.kind, frame.body)
        except LinkError as error:
            self._answer("error", frame.request_id, str(error))
        else:
            self._answer("answer", frame.request_id, result)

    def _answer(self, kind: str, request_id: int, body: Any) -> None:
        try:
            self.send_encoded(frames.encode(kind, request_id, body))
        except (frames.FrameTooLargeError, TypeError, ValueError) as error:
            self.send_encoded(
                frames.encode("error", request_id, f"no answer: {error}")
            )
