"""The platform's metadata store over HTTP."""

import base64
import json
import struct
from collections.abc import Mapping
from typing import Any

import aiohttp

from oleanderbay.gateway import interfaces
from oleanderbay.platform import names

TOPICS = {
    interfaces.Topic.CONFIGURATION: names.CONFIGURATION_TOPIC,
    interfaces.Topic.WORKERS: names.WORKERS_TOPIC,
    interfaces.Topic.GATEWAYS: names.GATEWAYS_TOPIC,
}
# Answers after which nothing was done.
REFUSED_STATUSES = frozenset((400, 403, 404, 413, 429, 503, 507))
MAX_READ_KB = 1_024
_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")


class HttpStore:
    """A client of the store.

    Attributes:
        address: `host:port` of the store.
        partitions: Number of partitions of a topic.
        timeout_ms: Time for one call, without the wait of a read.
    """

    def __init__(self, address: str, partitions: int, timeout_ms: int) -> None:
        self.address = address
        self.partitions = partitions
        self.timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the session; needs a running event loop."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=10),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def newest(self, topic: interfaces.Topic) -> interfaces.Page:
        """Returns the newest record of each key; see `Store.newest`."""
        records: list[interfaces.KeyedRecord] = []
        end_offset: int | None = None
        query = {"topic": TOPICS[topic], "part": "0"}
        while True:
            body = await self._json("GET", "/log-newest", query)
            try:
                for item in body["items"]:
                    records.append(_newest_record(item))
                # Pages are no snapshot: what was written after the first
                # page was read comes again from its end on.
                if end_offset is None:
                    end_offset = int(body["end_offset"])
                if not body.get("has_more") or not body["items"]:
                    break
                query["start_after"] = str(body["items"][-1]["key"])
            except (KeyError, TypeError, ValueError) as error:
                raise interfaces.StoreError(
                    f"newest records are malformed: {error!r}"
                ) from error
        records.sort(key=lambda record: record.offset)
        return interfaces.Page(tuple(records), end_offset)

    async def read(
        self, topic: interfaces.Topic, start: int, wait_ms: int
    ) -> interfaces.Page:
        """Returns records from an offset on; see `Store.read`."""
        query = {
            "topic": TOPICS[topic],
            "part": "0",
            "from": str(start),
            "max_kb": str(MAX_READ_KB),
        }
        if wait_ms:
            query["wait_ms"] = str(wait_ms)
        status, body = await self._call(
            "GET", "/log-read", query, None, wait_ms + self.timeout_ms
        )
        if status == 410:
            raise interfaces.HistoryGoneError(f"offset {start} is gone")
        _check(status, "read")
        return _records(body, start)

    async def put(
        self, topic: interfaces.Topic, key: str, value: bytes | None
    ) -> None:
        """Appends a record; see `Store.put`."""
        name = key.encode()
        content = bytes((len(name),)) + name + (value or b"")
        status, _ = await self._call(
            "POST",
            "/log-append",
            {"topic": TOPICS[topic], "part": "0"},
            _LENGTH.pack(len(content)) + content,
            self.timeout_ms,
        )
        _check(status, "append")

    async def join(
        self, member: str, ttl_ms: int, generation: int
    ) -> interfaces.Ownership:
        """Joins the owners of domains; see `Store.join`."""
        body = await self._json(
            "POST",
            "/log-join",
            {},
            {
                "group": names.OWNERS_GROUP,
                "member": member,
                "topics": [names.DOMAINS_TOPIC],
                "ttl_ms": ttl_ms,
                "generation": generation,
            },
        )
        try:
            return interfaces.Ownership(
                int(body["generation"]),
                frozenset(int(row[1]) for row in body["parts"]),
            )
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise interfaces.StoreError(
                f"the answer to a join is malformed: {error!r}"
            ) from error

    async def leave(self, member: str) -> None:
        """Gives up all partitions; see `Store.leave`."""
        await self._json(
            "POST",
            "/log-leave",
            {},
            {"group": names.OWNERS_GROUP, "member": member},
        )

    async def _json(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: Any = None,
    ) -> Any:
        data = None if body is None else json.dumps(body).encode()
        status, answer = await self._call(
            method, path, query, data, self.timeout_ms
        )
        _check(status, path)
        try:
            return json.loads(answer)
        except ValueError as error:
            raise interfaces.StoreError(
                f"{path}: the answer is no JSON"
            ) from error

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        data: bytes | None,
        timeout_ms: int,
    ) -> tuple[int, bytes]:
        assert self._session is not None
        headers = {} if data is None else {"Content-Type": "application/json"}
        try:
            async with self._session.request(
                method,
                f"http://{self.address}{path}",
                params=query,
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_ms / 1000),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise interfaces.StoreError(
                f"{path}: {type(error).__name__}: {error}"
            ) from error


def _check(status: int, what: str) -> None:
    if 200 <= status < 300:
        return
    message = f"{what}: HTTP status {status}"
    if status in (409, 412):
        raise interfaces.ConditionFailedError(message)
    if status in REFUSED_STATUSES:
        raise interfaces.StoreRefusedError(message)
    raise interfaces.StoreError(message)


def _newest_record(item: Any) -> interfaces.KeyedRecord:
    return interfaces.KeyedRecord(
        int(item["offset"]),
        str(item["key"]),
        base64.b64decode(item["value"]),
    )


def _records(body: bytes, start: int) -> interfaces.Page:
    if len(body) < _ENDS.size:
        raise interfaces.StoreError("the answer to a read is too short")
    end_offset, first = _ENDS.unpack_from(body)
    if start < first:
        raise interfaces.HistoryGoneError(f"records begin at {first}")
    position, offset, records = _ENDS.size, start, []
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise interfaces.StoreError("a record is cut off")
        position += length
        records.append(_keyed(offset, content))
        offset += 1
    if start > end_offset:
        raise interfaces.HistoryGoneError(f"records end at {end_offset}")
    return interfaces.Page(tuple(records), offset, offset < end_offset)


def _keyed(offset: int, content: bytes) -> interfaces.KeyedRecord:
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", "replace")
    value = content[1 + size :]
    return interfaces.KeyedRecord(offset, key, value or None)
