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
# Field of a heartbeat; see `ReaderElection.is_eligible`.
STORE_ANSWERS = "store_answers"
# Longest time between two reviews of who reads.
REVIEW_INTERVAL_MS = 100
# Time between connections to a reader, so that one that is in reach of
# heartbeats only does not cost a connection in each step.
RECONNECT_INTERVAL_MS = 500
# A subscriber asks for the next batch at once; without a request for this long
# its connection may be cut off, which would never end by itself.
SUBSCRIBER_TIMEOUT_MS = 1_600

log = structlog.get_logger()

Connect = Callable[
    [str], Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
]


class ReaderElection:
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
        self._eligible_peers: set[str] = set()

    def is_eligible(self) -> bool:
        """Whether the store itself has recently answered this gateway.

        Answers that came through a reader don't count: a gateway that the
        store refuses would be chosen for what it hears from the reader.
        """
        feeds = self.feeds.values()
        if any(followed.complete_offset < 0 for followed in feeds):
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
            self._eligible_peers.add(peer_id)
        else:
            self._eligible_peers.discard(peer_id)

    def retain_peers(self, live: frozenset[str]) -> None:
        """Drops what is known of other peers."""
        self._eligible_peers &= live

    def elected_reader(self) -> membership.Peer | None:
        """Returns the peer to follow; None if this gateway has to read."""
        eligible = [
            peer
            for peer in self.live.values()
            if peer.zone == self.zone
            and not peer.leaving
            and peer.id in self._eligible_peers
        ]
        first = min(
            eligible, key=lambda peer: self._rank(peer.id), default=None
        )
        if (
            first is not None
            and self.is_eligible()
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
        workers_feed: The feed whose records are served.
    """

    def __init__(self, workers_feed: feed.Feed, clock: clocks.Clock) -> None:
        self.workers_feed = workers_feed
        self.clock = clock
        # When a subscriber was sent its last batch; None while it waits.
        self._sent_ms: dict[asyncio.StreamWriter, int | None] = {}
        self._next_answer = asyncio.Event()
        self._batches: dict[int, bytes] = {}
        self._batches_answer = -1

    @property
    def has_subscribers(self) -> bool:
        """Whether there are subscribers."""
        return bool(self._sent_ms)

    def publish(self) -> None:
        """Lets subscribers have what the store just answered."""
        now_ms = self.clock.now_ms()
        for writer, sent_ms in self._sent_ms.items():
            if sent_ms is not None and now_ms - sent_ms > SUBSCRIBER_TIMEOUT_MS:
                writer.transport.abort()
        waiting, self._next_answer = self._next_answer, asyncio.Event()
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
                while self.workers_feed.answered_reads <= number:
                    await self._next_answer.wait()
                body = [
                    self.workers_feed.answered_reads,
                    self.workers_feed.read_ms - received_ms,
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
        if self._batches_answer != self.workers_feed.answered_reads:
            self._batches_answer = self.workers_feed.answered_reads
            self._batches.clear()
        packed = self._batches.get(offset)
        if packed is None:
            # The keys that were dropped before the first read are unknown.
            whole = offset < self.workers_feed.complete_offset
            records = [
                (record.offset, record.key, record.value)
                for record in self.workers_feed.changed_since(
                    0 if whole else offset
                )
            ]
            packed = msgpack.packb((whole, self.workers_feed.offset, records))
            assert isinstance(packed, bytes)
            self._batches[offset] = packed
        return packed


class Subscription:
    """One connection to a reader.

    Attributes:
        peer: The reader.
        last_batch_ms: Monotonic time of the last batch, or of the start.
        answered_ms: Latest time at which the reader is known to have had its
            last answer from the store; -1 before the first batch.
    """

    def __init__(
        self,
        peer: membership.Peer,
        workers_feed: feed.Feed,
        clock: clocks.Clock,
        connect: Connect,
    ) -> None:
        self.peer = peer
        self.workers_feed = workers_feed
        self.clock = clock
        self.connect = connect
        self.last_batch_ms = clock.now_ms()
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
                number = await self._fetch_batch(number, reader, writer)
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

    async def _fetch_batch(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> int:
        """Asks for the batch after the answer with a number; applies it."""
        sent_ms = self.clock.now_ms()
        writer.write(
            frames.encode(
                SUBSCRIBE, 1, [number, max(0, self.workers_feed.offset)]
            )
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
        self.workers_feed.apply_from_reader(page, bool(whole), answered_ms)
        if self.answered_ms < 0:
            log.info("reader followed", peer=self.peer.id)
        self.last_batch_ms = now_ms
        self.answered_ms = answered_ms
        return int(number)


class SharedReads:
    """Decides whether this gateway reads the workers' topic or follows a peer.

    Attributes:
        workers_feed: The feed of the workers' topic.
        election: Who may be the reader.
        publisher: What serves other gateways.
        subscription: The connection to the reader, if there is one.
        silence_ms: Age of the reader's last answer from the store at which
            this gateway reads for itself; 0 if it always does.
    """

    def __init__(
        self,
        workers_feed: feed.Feed,
        election: ReaderElection,
        clock: clocks.Clock,
        connect: Connect,
        silence_ms: int,
    ) -> None:
        self.workers_feed = workers_feed
        self.election = election
        self.clock = clock
        self.connect = connect
        self.silence_ms = silence_ms
        self.publisher = Publisher(workers_feed, clock)
        self.subscription: Subscription | None = None
        self._next_attempt_ms = 0
        workers_feed.wait_for_turn = self.wait_for_turn
        workers_feed.after_read = self.publisher.publish

    async def run(self) -> None:
        """Keeps the connection to the chosen reader until cancelled."""
        while self.silence_ms:
            self.update_subscription()
            await self.clock.sleep_ms(REVIEW_INTERVAL_MS)

    def close(self) -> None:
        """Ends the connections to the reader and to the subscribers."""
        self._close_subscription()
        self.publisher.close()

    async def wait_for_turn(self) -> None:
        """Returns when this gateway has to read the store itself."""
        peer_id = ""
        while self.is_following():
            assert self.subscription is not None
            peer_id = self.subscription.peer.id
            left_ms = self.silence_ms - self._age_ms(self.subscription) + 1
            await self.clock.sleep_ms(min(left_ms, REVIEW_INTERVAL_MS))
        if peer_id:
            log.info("reader not followed", peer=peer_id)

    def is_following(self) -> bool:
        """Whether the records of a reader replace own reads now.

        A gateway with subscribers reads, also if it is not the chosen reader:
        two gateways that follow each other would hear nothing.
        """
        return (
            self.subscription is not None
            and not self.subscription.task.done()
            and self.subscription.answered_ms >= 0
            and self._age_ms(self.subscription) <= self.silence_ms
            and not self.publisher.has_subscribers
        )

    def update_subscription(self) -> None:
        """Connects to the chosen reader, or leaves one that is not usable."""
        chosen = None
        if self.workers_feed.complete_offset >= 0:
            chosen = self.election.elected_reader()
        if self.subscription is not None and not self._is_usable(
            self.subscription, chosen
        ):
            self._close_subscription()
        now_ms = self.clock.now_ms()
        if self.subscription is None and chosen is not None:
            if now_ms < self._next_attempt_ms:
                return
            self._next_attempt_ms = now_ms + RECONNECT_INTERVAL_MS
            self.subscription = Subscription(
                chosen, self.workers_feed, self.clock, self.connect
            )

    def _is_usable(
        self, subscription: Subscription, chosen: membership.Peer | None
    ) -> bool:
        silent_ms = self.clock.now_ms() - subscription.last_batch_ms
        return (
            chosen is not None
            and (chosen.id, chosen.start_id, chosen.host)
            == (
                subscription.peer.id,
                subscription.peer.start_id,
                subscription.peer.host,
            )
            and not subscription.task.done()
            and silent_ms <= 2 * self.silence_ms
        )

    def _age_ms(self, subscription: Subscription) -> int:
        return self.clock.now_ms() - subscription.answered_ms

    def _close_subscription(self) -> None:
        if self.subscription is not None:
            self.subscription.close()
            self.subscription = None
