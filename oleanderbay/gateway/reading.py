"""One reader of the workers' topic for the gateways of a zone.

A subscriber sends a request for each batch, and the reader answers it after
its next read of the store. The request states what the subscriber has, so the
reader keeps nothing for it.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgpack
import structlog
import xxhash

from oleanderbay.connection import frames
from oleanderbay.gateway import feed, interfaces, membership
from oleanderbay.process import clock as clocks

SUBSCRIBE = "subscribe"
# Field of a heartbeat; see `Candidates.fit`.
STORE_ANSWERS = "store_answers"
# Longest time between two reviews of who reads.
STEP_MS = 100
# Time between connections to a reader, so that one that is in reach of
# heartbeats only does not cost a connection in each step.
RETRY_MS = 500
# A subscriber asks for the next batch at once; without a request for this long
# its connection may be cut off, which would never end by itself.
UNASKED_MS = 1_600

log = structlog.get_logger()

Connect = Callable[
    [str], Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
]


class Candidates:
    """Chooses the reader among the gateways of the zone.

    Attributes:
        id: Id of this gateway.
        zone: Its availability zone.
        feeds: Its feeds; those that it reads itself show the store's state.
        live: Live peers by id.
        leaving: Whether this gateway leaves.
        silence_ms: How long the store may leave a reader without an answer.
    """

    def __init__(
        self,
        gateway_id: str,
        zone: str,
        clock: clocks.Clock,
        feeds: Mapping[str, feed.Feed],
        live: Mapping[str, membership.Peer],
        leaving: Callable[[], bool],
        silence_ms: int,
    ) -> None:
        self.id = gateway_id
        self.zone = zone
        self.clock = clock
        self.feeds = feeds
        self.live = live
        self.leaving = leaving
        self.silence_ms = silence_ms
        self._fit: set[str] = set()

    def fit(self) -> bool:
        """Whether the store itself has recently answered this gateway.

        Answers that came through a reader don't count: a gateway that the
        store refuses would be chosen for what it hears from the reader.
        """
        feeds = self.feeds.values()
        if any(followed.whole_offset < 0 for followed in feeds):
            return False
        read_ms = max(followed.read_ms for followed in feeds)
        failed_ms = max(followed.failed_ms for followed in feeds)
        age_ms = self.clock.now_ms() - read_ms
        if failed_ms > read_ms:
            return age_ms <= self.silence_ms
        # A subscriber only hears from the store after its longest wait.
        return age_ms <= max(followed.gap_ms() for followed in feeds)

    def update_peer(self, peer_id: str, body: Mapping[str, Any]) -> None:
        """Takes from a heartbeat whether the store answers a peer.

        Gateways of an earlier version don't say it and serve no subscribers.
        """
        if body.get(STORE_ANSWERS, False):
            self._fit.add(peer_id)
        else:
            self._fit.discard(peer_id)

    def retain_peers(self, live: frozenset[str]) -> None:
        """Drops what is known of other peers."""
        self._fit &= live

    def reader(self) -> membership.Peer | None:
        """Returns the peer to follow; None if this gateway has to read."""
        fit = [
            peer
            for peer in self.live.values()
            if peer.zone == self.zone
            and not peer.leaving
            and peer.id in self._fit
        ]
        first = min(fit, key=lambda peer: self._rank(peer.id), default=None)
        if (
            first is not None
            and self.fit()
            and not self.leaving()
            and self._rank(self.id) < self._rank(first.id)
        ):
            return None
        return first

    def _rank(self, gateway_id: str) -> tuple[int, str]:
        key = f"reader/{self.zone}/{gateway_id}"
        return xxhash.xxh64_intdigest(key.encode()), gateway_id


class Publisher:
    """Serves the subscribers of this gateway.

    Attributes:
        followed: The feed whose records are served.
    """

    def __init__(self, followed: feed.Feed, clock: clocks.Clock) -> None:
        self.followed = followed
        self.clock = clock
        # When a subscriber was sent its last batch; None while it waits.
        self._sent_ms: dict[asyncio.StreamWriter, int | None] = {}
        self._next = asyncio.Event()
        self._batches: dict[int, bytes] = {}
        self._batches_answer = -1

    @property
    def busy(self) -> bool:
        """Whether there are subscribers."""
        return bool(self._sent_ms)

    def publish(self) -> None:
        """Lets subscribers have what the store just answered."""
        now_ms = self.clock.now_ms()
        for writer, sent_ms in self._sent_ms.items():
            if sent_ms is not None and now_ms - sent_ms > UNASKED_MS:
                writer.transport.abort()
        waiting, self._next = self._next, asyncio.Event()
        waiting.set()

    def close(self) -> None:
        """Ends the connections of all subscribers."""
        for writer in self._sent_ms:
            writer.transport.abort()

    async def serve(
        self,
        asked: frames.Frame,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers the requests of one subscriber until it disconnects.

        Raises:
            FrameError, OSError: The connection ended.
            ValueError, TypeError: A request is malformed.
        """
        try:
            while True:
                received_ms = self.clock.now_ms()
                self._sent_ms[writer] = None
                number, offset = (int(value) for value in asked.body)
                while self.followed.answers <= number:
                    await self._next.wait()
                body = [
                    self.followed.answers,
                    self.followed.read_ms - received_ms,
                    self._batch(offset),
                ]
                writer.write(frames.encode(SUBSCRIBE, asked.request_id, body))
                self._sent_ms[writer] = self.clock.now_ms()
                await writer.drain()
                asked = await frames.read(reader)
        finally:
            del self._sent_ms[writer]

    def _batch(self, offset: int) -> bytes:
        """Returns the packed records that a subscriber lacks."""
        if self._batches_answer != self.followed.answers:
            self._batches_answer = self.followed.answers
            self._batches.clear()
        packed = self._batches.get(offset)
        if packed is None:
            # The keys that were dropped before the first read are unknown.
            whole = offset < self.followed.whole_offset
            records = [
                (record.offset, record.key, record.value)
                for record in self.followed.since(0 if whole else offset)
            ]
            packed = msgpack.packb((whole, self.followed.offset, records))
            assert isinstance(packed, bytes)
            self._batches[offset] = packed
        return packed


class Subscription:
    """One connection to a reader.

    Attributes:
        peer: The reader.
        heard_ms: Monotonic time of the last batch, or of the start.
        answered_ms: Latest time at which the reader is known to have had its
            last answer from the store; -1 before the first batch.
    """

    def __init__(
        self,
        peer: membership.Peer,
        followed: feed.Feed,
        clock: clocks.Clock,
        connect: Connect,
    ) -> None:
        self.peer = peer
        self.followed = followed
        self.clock = clock
        self.connect = connect
        self.heard_ms = clock.now_ms()
        self.answered_ms = -1
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Ends the connection."""
        self.task.cancel()

    async def _run(self) -> None:
        writer: asyncio.StreamWriter | None = None
        try:
            reader, writer = await self.connect(self.peer.host)
            number = 0
            while True:
                number = await self._next(number, reader, writer)
        except (
            OSError,
            frames.FrameError,
            ValueError,
            TypeError,
            msgpack.UnpackException,
        ) as error:
            log.info("reader lost", peer=self.peer.id, error=repr(error))
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _next(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> int:
        """Asks for the batch after the answer with a number; applies it."""
        sent_ms = self.clock.now_ms()
        writer.write(
            frames.encode(SUBSCRIBE, 1, [number, max(0, self.followed.offset)])
        )
        answer = await frames.read(reader)
        number, after_ms, packed = answer.body
        whole, end_offset, rows = msgpack.unpackb(packed)
        records = tuple(
            interfaces.KeyedRecord(int(offset), key, value)
            for offset, key, value in rows
        )
        now_ms = self.clock.now_ms()
        # The reader counts from the arrival of the request, which was after
        # it was sent. A batch that was held up on its way is as old as it is.
        answered_ms = min(now_ms, sent_ms + int(after_ms))
        page = interfaces.Page(records, int(end_offset))
        self.followed.hear(page, bool(whole), answered_ms)
        if self.answered_ms < 0:
            log.info("reader followed", peer=self.peer.id)
        self.heard_ms = now_ms
        self.answered_ms = answered_ms
        return int(number)


class Reading:
    """Decides whether this gateway reads the workers' topic or follows a peer.

    Attributes:
        followed: The feed of the workers' topic.
        candidates: Who may be the reader.
        publisher: What serves other gateways.
        source: The connection to the reader, if there is one.
        silence_ms: Age of the reader's last answer from the store at which
            this gateway reads for itself; 0 if it always does.
    """

    def __init__(
        self,
        followed: feed.Feed,
        candidates: Candidates,
        clock: clocks.Clock,
        connect: Connect,
        silence_ms: int,
    ) -> None:
        self.followed = followed
        self.candidates = candidates
        self.clock = clock
        self.connect = connect
        self.silence_ms = silence_ms
        self.publisher = Publisher(followed, clock)
        self.source: Subscription | None = None
        self._retry_ms = 0
        followed.turn = self.turn
        followed.after_read = self.publisher.publish

    async def run(self) -> None:
        """Keeps the connection to the chosen reader until cancelled."""
        while self.silence_ms:
            self.review()
            await self.clock.sleep_ms(STEP_MS)

    def close(self) -> None:
        """Ends the connections to the reader and to the subscribers."""
        self._drop()
        self.publisher.close()

    async def turn(self) -> None:
        """Returns when this gateway has to read the store itself."""
        peer_id = ""
        while self.follows():
            assert self.source is not None
            peer_id = self.source.peer.id
            left_ms = self.silence_ms - self._age_ms(self.source) + 1
            await self.clock.sleep_ms(min(left_ms, STEP_MS))
        if peer_id:
            log.info("reader not followed", peer=peer_id)

    def follows(self) -> bool:
        """Whether the records of a reader replace own reads now.

        A gateway with subscribers reads, also if it is not the chosen reader:
        two gateways that follow each other would hear nothing.
        """
        return (
            self.source is not None
            and not self.source.task.done()
            and self.source.answered_ms >= 0
            and self._age_ms(self.source) <= self.silence_ms
            and not self.publisher.busy
        )

    def review(self) -> None:
        """Connects to the chosen reader, or leaves one that is not usable."""
        chosen = None
        if self.followed.whole_offset >= 0:
            chosen = self.candidates.reader()
        if self.source is not None and not self._usable(self.source, chosen):
            self._drop()
        now_ms = self.clock.now_ms()
        if self.source is None and chosen is not None:
            if now_ms < self._retry_ms:
                return
            self._retry_ms = now_ms + RETRY_MS
            self.source = Subscription(
                chosen, self.followed, self.clock, self.connect
            )

    def _usable(
        self, source: Subscription, chosen: membership.Peer | None
    ) -> bool:
        silent_ms = self.clock.now_ms() - source.heard_ms
        return (
            chosen is not None
            and (chosen.id, chosen.start_id, chosen.host)
            == (source.peer.id, source.peer.start_id, source.peer.host)
            and not source.task.done()
            and silent_ms <= 2 * self.silence_ms
        )

    def _age_ms(self, source: Subscription) -> int:
        return self.clock.now_ms() - source.answered_ms

    def _drop(self) -> None:
        if self.source is not None:
            self.source.close()
            self.source = None
