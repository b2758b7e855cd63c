"""HTTP client for the platform's metadata store."""

import asyncio
import base64
import dataclasses
import json
import struct
from collections.abc import Mapping
from typing import Any

import aiohttp

from oleanderbay.connection import aiohttp_internals
from oleanderbay.gateway import fields, interfaces, positions
from oleanderbay.platform import names

TOPIC_NAMES = {
    interfaces.Topic.CONFIGURATION: names.CONFIGURATION_TOPIC,
    interfaces.Topic.WORKERS: names.WORKERS_TOPIC,
    interfaces.Topic.GATEWAYS: names.GATEWAYS_TOPIC,
    interfaces.Topic.QUARANTINE: names.QUARANTINE_TOPIC,
}
# Status codes that guarantee that the call had no effect.
REFUSED_STATUSES = frozenset((400, 403, 404, 413, 429, 503, 507))
MAX_READ_KB = 1_024
# The store's pages and reads are limited to about 1 MB, before base64.
MAX_RESPONSE_BYTES = 8 * MAX_READ_KB * 1_024
# A response with its head and the frames of its chunks.
MAX_CONNECTION_BYTES = 2 * MAX_RESPONSE_BYTES
# Limits of a whole topic: a page holds up to 500 records or 1 MB.
MAX_PAGES = 1_000
MAX_TOPIC_BYTES = 256 * 1_024 * 1_024
# The length of a key has one byte.
MAX_KEY_BYTES = 255
# Calls are limited by `HttpStore.timeout_ms` instead.
NO_TIMEOUT = aiohttp.ClientTimeout(total=None)
_RECORD_LENGTH = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer of the store.

    Attributes:
        status: HTTP status code.
        era: Era of the store.
        body: The complete body.
    """

    status: int
    era: int
    body: bytes

    def json(self, path: str) -> Any:
        """Returns the decoded body of a successful answer.

        Raises:
            StoreError: The call failed, or the body is not valid JSON.
        """
        _raise_for_status(self.status, path)
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise interfaces.StoreError(
                f"{path}: the response is not valid JSON"
            ) from error


class HttpStore:
    """A client of the store.

    Attributes:
        address: `host:port` of the store.
        partitions: Number of partitions of a topic.
        timeout_ms: Longest time without a byte of the response; a waiting
            read adds its wait to that of the first. The time for all of it
            depends on its size and on the link.
    """

    def __init__(self, address: str, partitions: int, timeout_ms: int) -> None:
        self.address = address
        self.partitions = partitions
        self.timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the client session; requires a running event loop."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp_internals.limit_answers(
                aiohttp.TCPConnector(limit=0, keepalive_timeout=10),
                MAX_CONNECTION_BYTES,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def newest(self, topic: interfaces.Topic) -> interfaces.Page:
        """Reads the newest record of each key; see `Store.newest`."""
        records: list[interfaces.KeyedRecord] = []
        end_offset: int | None = None
        era: int | None = None
        pages = size_bytes = 0
        query = {"topic": TOPIC_NAMES[topic], "part": "0"}
        while True:
            answer = await self._call("GET", "/log-newest", query)
            body = answer.json("/log-newest")
            if era not in (None, answer.era):
                raise interfaces.HistoryGoneError(
                    "the store was restored between two pages"
                )
            era = answer.era
            try:
                items = fields.items(body["items"])
                found = [_parse_newest_item(item, era) for item in items]
                # Pages are not a consistent snapshot: records that were
                # written after the first page may be missing. The end offset
                # of the first page makes the following read return them.
                end = _parse_offset(body["end_offset"], era)
                if end_offset is None:
                    end_offset = end
                # A topic without its last page would lack keys that exist.
                more = fields.flag(body["has_more"])
            except fields.PARSE_ERRORS as error:
                raise interfaces.StoreError(
                    f"malformed page of newest records: {error!r}"
                ) from error
            records += found
            if not more:
                break
            pages += 1
            if (
                pages >= MAX_PAGES
                or not found
                or found[-1].key == query.get("start_after")
            ):
                raise interfaces.StoreError(
                    f"the topic has no end after {pages} pages"
                )
            size_bytes += len(answer.body)
            if size_bytes > MAX_TOPIC_BYTES:
                raise interfaces.StoreError("the topic is too large")
            query["start_after"] = found[-1].key
        records.sort(key=lambda record: record.offset)
        return interfaces.Page(tuple(records), end_offset)

    async def read(
        self, topic: interfaces.Topic, start: int, wait_ms: int
    ) -> interfaces.Page:
        """Reads records starting at an offset; see `Store.read`."""
        query = {
            "topic": TOPIC_NAMES[topic],
            "part": "0",
            "from": str(positions.number_in_era(start)),
            "max_kb": str(MAX_READ_KB),
        }
        if wait_ms:
            query["wait_ms"] = str(wait_ms)
        answer = await self._call(
            "GET", "/log-read", query, head_timeout_ms=wait_ms + self.timeout_ms
        )
        if answer.status == 410:
            raise interfaces.HistoryGoneError(
                f"the store has no records from offset {query['from']} on"
            )
        _raise_for_status(answer.status, "read")
        if answer.era != positions.era_of(start):
            raise interfaces.HistoryGoneError(
                f"the store is in era {answer.era}, the read in era "
                f"{positions.era_of(start)}"
            )
        return _parse_page(answer.body, start)

    async def put(
        self, topic: interfaces.Topic, key: str, value: bytes | None
    ) -> None:
        """Appends a record; see `Store.put`."""
        encoded_key = _encode_key(key)
        content = bytes((len(encoded_key),)) + encoded_key + (value or b"")
        answer = await self._call(
            "POST",
            "/log-append",
            {"topic": TOPIC_NAMES[topic], "part": "0"},
            _RECORD_LENGTH.pack(len(content)) + content,
        )
        _raise_for_status(answer.status, "append")

    async def join(
        self, member: str, ttl_ms: int, generation: int
    ) -> interfaces.Ownership:
        """Joins the group of domain owners; see `Store.join`."""
        ownership = await self._join(member, ttl_ms, generation)
        # A restored store counts generations again, and takes one of an earlier
        # era for the confirmation of assignments that it has yet to make.
        if generation and positions.era_of(
            ownership.generation, positions.GENERATION_BITS
        ) != positions.era_of(generation, positions.GENERATION_BITS):
            ownership = await self._join(member, ttl_ms, ownership.generation)
        return ownership

    async def _join(
        self, member: str, ttl_ms: int, generation: int
    ) -> interfaces.Ownership:
        bits = positions.GENERATION_BITS
        request = {
            "group": names.DOMAIN_OWNERS_GROUP,
            "member": member,
            "topics": [names.DOMAINS_TOPIC],
            "ttl_ms": ttl_ms,
            "generation": positions.number_in_era(generation, bits),
        }
        answer = await self._call(
            "POST", "/log-join", {}, json.dumps(request).encode()
        )
        body = answer.json("/log-join")
        try:
            number = fields.whole(body["generation"], 0, (1 << bits) - 1)
            return interfaces.Ownership(
                positions.combine(answer.era, number, bits),
                frozenset(map(_parse_partition, fields.items(body["parts"]))),
            )
        except fields.PARSE_ERRORS as error:
            raise interfaces.StoreError(
                f"malformed response to a join: {error!r}"
            ) from error

    async def leave(self, member: str) -> None:
        """Releases all partitions of a member; see `Store.leave`."""
        request = {"group": names.DOMAIN_OWNERS_GROUP, "member": member}
        answer = await self._call(
            "POST", "/log-leave", {}, json.dumps(request).encode()
        )
        answer.json("/log-leave")

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        data: bytes | None = None,
        head_timeout_ms: int | None = None,
    ) -> Answer:
        assert self._session is not None
        headers = {} if data is None else {"Content-Type": "application/json"}
        loop = asyncio.get_running_loop()
        body = bytearray()
        try:
            async with (
                asyncio.timeout(
                    (head_timeout_ms or self.timeout_ms) / 1000
                ) as limit,
                self._session.request(
                    method,
                    f"http://{self.address}{path}",
                    params=query,
                    data=data,
                    headers=headers,
                    timeout=NO_TIMEOUT,
                ) as response,
            ):
                while True:
                    limit.reschedule(loop.time() + self.timeout_ms / 1000)
                    part = await response.content.readany()
                    if not part:
                        break
                    body += part
                    if len(body) > MAX_RESPONSE_BYTES:
                        response.close()
                        raise interfaces.StoreError(
                            f"{path}: the response is too large"
                        )
                return Answer(
                    response.status, _parse_era(response.headers), bytes(body)
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise interfaces.StoreError(
                f"{path}: {type(error).__name__}: {error}"
            ) from error


def _parse_era(headers: Mapping[str, str]) -> int:
    # Stores that were never restored may not state an era.
    text = headers.get(names.STORE_ERA, "0")
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise interfaces.StoreError(f"the era {text[:20]!r} is not a number")
    if int(text) > positions.MAX_ERA:
        raise interfaces.StoreError(f"the era {text} is too high")
    return int(text)


def _encode_key(key: str) -> bytes:
    try:
        encoded = key.encode()
    except UnicodeEncodeError:
        encoded = b""
    if not 0 < len(encoded) <= MAX_KEY_BYTES:
        raise interfaces.StoreRefusedError(
            f"append: a key has 1 to {MAX_KEY_BYTES} bytes in UTF-8"
        )
    return encoded


def _raise_for_status(status: int, operation: str) -> None:
    if 200 <= status < 300:
        return
    message = f"{operation}: HTTP status {status}"
    if status in (409, 412):
        raise interfaces.ConditionFailedError(message)
    if status in REFUSED_STATUSES:
        raise interfaces.StoreRefusedError(message)
    raise interfaces.StoreError(message)


def _parse_newest_item(item: Any, era: int) -> interfaces.KeyedRecord:
    return interfaces.KeyedRecord(
        _parse_offset(item["offset"], era),
        fields.text(item["key"]),
        base64.b64decode(fields.text(item["value"])),
    )


def _parse_offset(value: Any, era: int) -> int:
    """Returns the position of an offset; larger ones would become others."""
    return positions.combine(
        era, fields.whole(value, 0, (1 << positions.OFFSET_BITS) - 1)
    )


def _parse_partition(row: Any) -> int:
    topic, partition, *_ = fields.items(row)
    if topic != names.DOMAINS_TOPIC:
        raise ValueError(f"a partition of the topic {topic!r}")
    return fields.whole(partition)


def _parse_page(body: bytes, start: int) -> interfaces.Page:
    if len(body) < _PAGE_HEADER.size:
        raise interfaces.StoreError(
            "the response to a read is shorter than its header"
        )
    era = positions.era_of(start)
    try:
        end_offset, first_offset = (
            _parse_offset(offset, era)
            for offset in _PAGE_HEADER.unpack_from(body)
        )
    except ValueError as error:
        raise interfaces.StoreError(
            "the response to a read has no valid offsets"
        ) from error
    if start < first_offset:
        raise interfaces.HistoryGoneError(
            "the first retained record has offset "
            f"{positions.number_in_era(first_offset)}"
        )
    position, offset, records = _PAGE_HEADER.size, start, []
    while position + _RECORD_LENGTH.size <= len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise interfaces.StoreError("the last record is truncated")
        position += length
        records.append(_parse_record(offset, content))
        offset += 1
    if start > end_offset:
        raise interfaces.HistoryGoneError(
            "the read starts beyond the end offset "
            f"{positions.number_in_era(end_offset)}"
        )
    return interfaces.Page(tuple(records), offset, offset < end_offset)


def _parse_record(offset: int, content: bytes) -> interfaces.KeyedRecord:
    key_size = content[0] if content else 0
    key = content[1 : 1 + key_size].decode("utf-8", "replace")
    value = content[1 + key_size :]
    return interfaces.KeyedRecord(offset, key, value or None)
