"""Fetching of records that this gateway lacks from other gateways."""

import asyncio
import dataclasses
import zlib
from collections.abc import Mapping
from typing import Any

import msgpack
import structlog

from oleanderbay.connection import frames
from oleanderbay.gateway import feed, fields, positions
from oleanderbay.gateway import telemetry as telemetry_module
from oleanderbay.process import clock as clocks

# Gateways of earlier versions ask with offsets that lack the store's era.
RECORDS = "records2"
# Kind of an answer whose body is compressed. A gateway that understands it asks
# with this request id, which gateways of earlier versions repeat and ignore.
COMPRESSED = "records2z"
COMPRESSED_REQUEST_ID = 2
# Texts repeat their field names, so a fast compression saves most of the bytes.
COMPRESSION_LEVEL = 1
# Longest time without a byte of the answer. The time for all of it depends on
# its size and on the link, so a limit on that would fail each time.
SILENCE_MS = 500
# Time after which another peer is tried although the answer is arriving.
MAX_FETCH_MS = 4_000
# An answer is written in parts of this size, each of which has to be taken
# within `SILENCE_MS`.
PART_BYTES = 16_384
# Fetches that are answered at once. Gateways find at the same moment that they
# lack a record, and answering all of them would block the link for callers.
MAX_ANSWERS = 2

log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class _Fetch:
    """A fetch in progress.

    Attributes:
        end_offset: Offset of the own feed that makes the fetch needless.
        task: Task that runs it.
    """

    end_offset: int
    task: asyncio.Task[None]


class RecordFetcher:
    """Fetches the records of each topic from one gateway at a time.

    Answers of several gateways at once would hold the same records and could
    block the link for longer than any of them may take.

    Attributes:
        feeds: Feeds by topic, to which the records are applied.
        connect: Opens a connection to a host.
    """

    def __init__(
        self,
        feeds: Mapping[str, feed.Feed],
        clock: clocks.Clock,
        connect: frames.Connect,
        telemetry: telemetry_module.Telemetry = telemetry_module.DISABLED,
    ) -> None:
        self.feeds = feeds
        self.clock = clock
        self.connect = connect
        self.telemetry = telemetry
        self._fetches: dict[str, _Fetch] = {}
        self._answers = 0

    def start(
        self, gateway_id: str, host: str, name: str, end_offset: int
    ) -> None:
        """Starts a fetch unless one of the same topic is in progress.

        Args:
            gateway_id: Id of the gateway that has the records.
            host: Its host.
            name: Name of the topic.
            end_offset: Offset that its feed has reached.
        """
        if name in self._fetches:
            return
        task = asyncio.get_running_loop().create_task(
            self._run(gateway_id, host, name)
        )
        self._fetches[name] = _Fetch(end_offset, task)
        task.add_done_callback(lambda _: self._fetches.pop(name, None))

    @property
    def fetching(self) -> frozenset[str]:
        """Names of the topics that are being fetched."""
        return frozenset(self._fetches)

    def cancel_needless(self) -> None:
        """Cancels fetches whose records have arrived from elsewhere."""
        for name, fetch in self._fetches.items():
            if self.feeds[name].offset >= fetch.end_offset:
                fetch.task.cancel()

    def close(self) -> None:
        """Cancels all fetches."""
        for fetch in self._fetches.values():
            fetch.task.cancel()

    async def serve(
        self,
        request: frames.Frame,
        _: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answers a fetch of another gateway, unless there are too many.

        A gateway that gets no answer tries another one.

        Raises:
            OSError, TimeoutError: The other gateway does not take the answer.
            One of `fields.PARSE_ERRORS`: The request is malformed.
        """
        name, offset = fields.items(request.body)
        own_feed = self.feeds[name]
        offset = fields.whole(offset, -1, positions.MAX_POSITION)
        if self._answers >= MAX_ANSWERS:
            return
        records = [
            [record.offset, record.key, record.value]
            for record in own_feed.changed_since(offset)
        ]
        answer = _encode_answer(request.request_id, records, own_feed.offset)
        self._answers += 1
        try:
            await self._write(answer, writer)
        finally:
            self._answers -= 1

    async def _write(self, answer: bytes, writer: asyncio.StreamWriter) -> None:
        try:
            for start in range(0, len(answer), PART_BYTES):
                writer.write(answer[start : start + PART_BYTES])
                async with asyncio.timeout(SILENCE_MS / 1000):
                    await writer.drain()
        except TimeoutError:
            writer.transport.abort()
            raise

    async def _run(self, gateway_id: str, host: str, name: str) -> None:
        await self.telemetry.observe_peer_read(
            name, gateway_id, self._fetch(gateway_id, host, name)
        )

    async def _fetch(self, gateway_id: str, host: str, name: str) -> bool:
        own_feed = self.feeds[name]
        started_ms = self.clock.now_ms()
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(MAX_FETCH_MS / 1000):
                async with asyncio.timeout(SILENCE_MS / 1000):
                    reader, writer = await self.connect(host)
                writer.write(
                    frames.encode(
                        RECORDS,
                        COMPRESSED_REQUEST_ID,
                        [name, max(0, own_feed.offset)],
                    )
                )
                answer = await frames.read(reader, silence_s=SILENCE_MS / 1000)
            rows, end_offset = fields.items(_answer_body(answer))
            page = feed.parse_answer(rows, end_offset)
            own_feed.merge(page.records, page.end_offset)
        except (
            TimeoutError,
            OSError,
            frames.FrameError,
            zlib.error,
            *fields.PARSE_ERRORS,
        ) as error:
            log.info(
                "records not fetched",
                peer=gateway_id,
                topic=name,
                error=repr(error),
                took_ms=self.clock.now_ms() - started_ms,
            )
            return False
        finally:
            if writer is not None:
                writer.transport.abort()
        log.info(
            "records fetched",
            peer=gateway_id,
            topic=name,
            offset=positions.number_in_era(own_feed.offset),
            took_ms=self.clock.now_ms() - started_ms,
        )
        return True


def _encode_answer(request_id: int, records: list[Any], offset: int) -> bytes:
    """Returns an answer in the form that the other gateway understands."""
    body = [records, offset]
    if request_id != COMPRESSED_REQUEST_ID:
        return frames.encode(RECORDS, request_id, body)
    packed = zlib.compress(msgpack.packb(body), COMPRESSION_LEVEL)
    return frames.encode(COMPRESSED, request_id, packed)


def _answer_body(answer: frames.Frame) -> Any:
    """Returns the body of an answer.

    Raises:
        zlib.error: It can't be decompressed.
        One of `fields.PARSE_ERRORS`: It is malformed or too large.
    """
    if answer.kind != COMPRESSED:
        return answer.body
    decompressor = zlib.decompressobj()
    packed = decompressor.decompress(answer.body, frames.MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise ValueError("the answer is truncated or too large")
    return msgpack.unpackb(packed)
