"""Sharing one reader of the workers topic among the gateways of a zone.

One gateway reads the topic from the store, and the others subscribe to it. A
subscriber sends a request for each batch of records; the reader responds after
its next read of the store. The request carries the offset that the subscriber
has reached, so the reader keeps no state for it.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import msgpack
import structlog
import xxhash

from oleanderbay.connection import frames
from oleanderbay.gateway import (
    feed,
    fields,
    heartbeat_contents,
    membership,
    positions,
)
from oleanderbay.process import clock as clocks

# Gateways of earlier versions subscribe with offsets that lack the store's era.
SUBSCRIBE = "subscribe2"
STORE_ANSWERS = heartbeat_contents.STORE_ANSWERS
# Interval at which the subscription is checked against the elected reader.
REVIEW_INTERVAL_MS = 100
# Shortest time between connection attempts. Without it, a reader that is
# reachable for heartbeats only would cost one attempt per review.
RECONNECT_INTERVAL_MS = 500
# Subscribers request the next batch immediately. A subscriber without a request
# for this long is dropped, since a broken connection may never close.
SUBSCRIBER_TIMEOUT_MS = 1_600

log = structlog.get_logger()


class ReaderElection:
    """Elects the reader among the gateways of the zone.

    Each gateway determines the winner by itself, by rendezvous hashing over
    the gateways that report in their heartbeats that they are eligible.

    Attributes:
        id: Id of this gateway.
        zone: Its availability zone.
        feeds: Its feeds. Their own reads show whether the store answers.
        live: Live peers by id.
        leaving: Returns whether this gateway is shutting down.
        silence_ms: Time without an answer from the store after which a reader
            with a failed read is no longer eligible.
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
        """Whether the store has recently answered this gateway itself.

        Answers received through a reader don't count. Otherwise a gateway
        that the store refuses could be elected because of the records that
        it gets from the current reader.
        """
        feeds = self.feeds.values()
        if not all(f.is_complete() for f in feeds):
            return False
        read_ms = max(f.read_ms for f in feeds)
        failed_ms = max(f.failed_ms for f in feeds)
        age_ms = self.clock.now_ms() - read_ms
        if failed_ms > read_ms:
            return age_ms <= self.silence_ms
        # While it subscribes, a gateway reads only its other topics, and such
        # a read may wait for records up to its maximum time.
        return age_ms <= max(f.gap_ms() for f in feeds)

    def update_peer(self, peer_id: str, body: Mapping[str, Any]) -> None:
        """Records from a heartbeat whether a peer is eligible.

        Gateways of earlier versions don't send the field, and serve no
        subscribers.
        """
        if body.get(STORE_ANSWERS, False):
            self._eligible_peers.add(peer_id)
        else:
            self._eligible_peers.discard(peer_id)

    def retain_peers(self, live: frozenset[str]) -> None:
        """Forgets all peers other than the given ones."""
        self._eligible_peers &= live

    def elected_reader(self) -> membership.Peer | None:
        """Returns the elected peer; None if this gateway is to read itself."""
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
        workers_feed: Feed whose records are served.
    """

    def __init__(self, workers_feed: feed.Feed, clock: clocks.Clock) -> None:
        self.workers_feed = workers_feed
        self.clock = clock
        # Time at which a subscriber was sent its last batch; None while it
        # waits for the next one.
        self._sent_ms: dict[asyncio.StreamWriter, int | None] = {}
        self._next_answer = asyncio.Event()
        self._batches: dict[int, bytes] = {}
        self._batches_read = -1

    @property
    def has_subscribers(self) -> bool:
        """Whether there are subscribers."""
        return bool(self._sent_ms)

    def publish(self) -> None:
        """Answers waiting subscribers after a read; drops inactive ones."""
        now_ms = self.clock.now_ms()
        for writer, sent_ms in self._sent_ms.items():
            if sent_ms is not None and now_ms - sent_ms > SUBSCRIBER_TIMEOUT_MS:
                writer.transport.abort()
        waiting, self._next_answer = self._next_answer, asyncio.Event()
        waiting.set()

    def close(self) -> None:
        """Aborts the connections of all subscribers."""
        for writer in self._sent_ms:
            writer.transport.abort()

    async def serve(
        self,
        request: frames.Frame,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers the requests of one subscriber until it disconnects.

        Raises:
            FrameError, OSError: The connection ended.
            One of `fields.PARSE_ERRORS`: A request is malformed.
        """
        try:
            while True:
                received_ms = self.clock.now_ms()
                self._sent_ms[writer] = None
                number, offset = fields.items(request.body)
                number = fields.whole(number)
                offset = fields.whole(offset, -1, positions.MAX_POSITION)
                while (
                    self.workers_feed.answered_reads <= number
                    or not self.workers_feed.is_complete()
                ):
                    await self._next_answer.wait()
                body = [
                    self.workers_feed.answered_reads,
                    self.workers_feed.read_ms - received_ms,
                    self._batch(offset),
                ]
                writer.write(frames.encode(SUBSCRIBE, request.request_id, body))
                self._sent_ms[writer] = self.clock.now_ms()
                await writer.drain()
                request = await frames.read(reader)
        finally:
            del self._sent_ms[writer]

    def _batch(self, offset: int) -> bytes:
        """Returns the packed records that a subscriber lacks."""
        if self._batches_read != self.workers_feed.answered_reads:
            self._batches_read = self.workers_feed.answered_reads
            self._batches.clear()
        packed = self._batches.get(offset)
        if packed is None:
            # Keys that were dropped before the first read of the whole topic
            # are unknown, so a subscriber from before it gets the whole topic.
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
    """A connection to the reader.

    Attributes:
        peer: The reader.
        workers_feed: Feed to which the batches are applied.
        last_batch_ms: Monotonic time of the last batch, or of the creation
            of the subscription.
        answered_ms: Upper bound of the monotonic time at which the reader got
            the store's answer for the last batch; -1 before the first batch.
    """

    def __init__(
        self,
        peer: membership.Peer,
        workers_feed: feed.Feed,
        clock: clocks.Clock,
        connect: frames.Connect,
    ) -> None:
        self.peer = peer
        self.workers_feed = workers_feed
        self.clock = clock
        self.connect = connect
        self.last_batch_ms = clock.now_ms()
        self.answered_ms = -1
        self.task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Cancels the subscription and closes its connection."""
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
            *fields.PARSE_ERRORS,
        ) as error:
            log.info(
                "subscription to reader failed",
                peer=self.peer.id,
                error=repr(error),
            )
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _fetch_batch(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> int:
        """Requests and applies the batch that follows a read of the reader.

        Args:
            number: Number of the reader's read that returned the last batch;
                0 for none.
            reader: Incoming stream of the connection.
            writer: Outgoing stream of the connection.

        Returns:
            Number of the read that returned this batch.
        """
        sent_ms = self.clock.now_ms()
        # An incomplete feed asks for the whole topic.
        offset = (
            self.workers_feed.offset if self.workers_feed.is_complete() else 0
        )
        writer.write(frames.encode(SUBSCRIBE, 1, [number, offset]))
        answer = await frames.read(reader)
        number, after_ms, packed = fields.items(answer.body)
        whole, end_offset, rows = fields.items(msgpack.unpackb(packed))
        page = feed.parse_answer(rows, end_offset)
        whole = fields.flag(whole)
        number = fields.whole(number)
        # The reader may have read before the request arrived.
        after_ms = fields.whole(after_ms, -fields.MAX_NUMBER)
        now_ms = self.clock.now_ms()
        # `after_ms` counts from the arrival of the request at the reader,
        # which is after it was sent. Basing the time on the sending keeps a
        # batch that was delayed in transit from looking newer than it is.
        answered_ms = min(now_ms, sent_ms + after_ms)
        self.workers_feed.apply_from_reader(page, whole, answered_ms)
        if self.answered_ms < 0:
            log.info("following reader", peer=self.peer.id)
        self.last_batch_ms = now_ms
        self.answered_ms = answered_ms
        return number


class SharedReads:
    """Decides whether this gateway reads the workers topic or follows a peer.

    Attributes:
        workers_feed: Feed of the workers topic.
        election: Election of the reader.
        publisher: Server for the gateways that follow this one.
        subscription: Connection to the reader; None if there is none.
        silence_ms: Age of the reader's last answer from the store above which
            this gateway reads the store itself; 0 if it always does.
    """

    def __init__(
        self,
        workers_feed: feed.Feed,
        election: ReaderElection,
        clock: clocks.Clock,
        connect: frames.Connect,
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
        """Maintains the subscription to the elected reader until cancelled."""
        while self.silence_ms:
            self.update_subscription()
            await self.clock.sleep_ms(REVIEW_INTERVAL_MS)

    def close(self) -> None:
        """Closes the connections to the reader and to the subscribers."""
        self._close_subscription()
        self.publisher.close()

    async def wait_for_turn(self) -> None:
        """Returns once this gateway has to read the store itself."""
        peer_id = ""
        while self.is_following():
            assert self.subscription is not None
            peer_id = self.subscription.peer.id
            left_ms = self.silence_ms - self._age_ms(self.subscription) + 1
            await self.clock.sleep_ms(min(left_ms, REVIEW_INTERVAL_MS))
        if peer_id:
            log.info("no longer following reader", peer=peer_id)

    def is_following(self) -> bool:
        """Whether records from the reader currently replace own reads.

        A gateway with subscribers always reads, even if it is not the elected
        reader: two gateways that followed each other would get no records.
        """
        return (
            self.subscription is not None
            and not self.subscription.task.done()
            and self.subscription.answered_ms >= 0
            and self._age_ms(self.subscription) <= self.silence_ms
            and not self.publisher.has_subscribers
        )

    def update_subscription(self) -> None:
        """Subscribes to the elected reader; drops an unusable subscription."""
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
