"""A stand-in for the platform's metadata store.

Topics are created by their first append. Keyed records are one byte with the
length of the key, the key and the value; an empty value drops the key. Calls
may not write to the topics of the operator and of the workers; these records
are put directly.
"""

import asyncio
import base64
import dataclasses
import struct
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from oleanderbay.platform import names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import server

FAULTS = ("refuse", "silent", "lose_answer", "slow", "expire")
READ_ONLY_TOPICS = (names.CONFIGURATION_TOPIC, names.WORKERS_TOPIC)
# Pages of the newest records are this short, so that tests see several.
PAGE_ITEMS = 2
# The platform's own pages are this long.
PLATFORM_PAGE_ITEMS = 500

_LENGTH = struct.Struct(">I")
_ENDS = struct.Struct(">QQ")


@dataclasses.dataclass(slots=True)
class Member:
    """One member of a group that shares partitions.

    Attributes:
        generation: Newest generation that it has confirmed.
        until_ms: When its membership expires.
    """

    generation: int
    until_ms: int


class MetadataStore:
    """An append-only log with keyed topics and one kind of group.

    Attributes:
        address: `host:port` that it listens on.
        partitions: Partitions that members share.
        page_items: Number of the newest records in a page.
        faults: Remaining number of calls that each fault happens to.
        refuse_status: Status of the fault `refuse`.
        slow_ms: Delay of the fault `slow`.
        answer_ms: Delay of each answer, after the call has taken effect.
        topics: Records of each topic; the place in the list is the offset.
        first: Oldest offset held, by topic.
        calls: Paths that were called.
        between_pages: Called after each page of the newest records.
        era: Number that answers carry, which rises with each restoration.
    """

    def __init__(
        self,
        partitions: int = 1,
        clock: clocks.Clock | None = None,
        page_items: int = PAGE_ITEMS,
    ) -> None:
        self.partitions = partitions
        self.page_items = page_items
        self.clock = clock or clocks.SystemClock()
        self.address = ""
        self.faults = dict.fromkeys(FAULTS, 0)
        self.refuse_status = 503
        self.slow_ms = 100
        self.answer_ms = 0
        self.topics: dict[str, list[bytes]] = {}
        self.first: dict[str, int] = {}
        self.calls: list[str] = []
        self.between_pages: Any = None
        self.era = 0
        self.generation = 0
        self.members: dict[str, Member] = {}
        self.holders: dict[int, str] = {}
        self._written = asyncio.Condition()
        self._server = server.HttpServer(cancels=True)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens; port 0 picks a free one, see `address`."""
        app = web.Application(middlewares=[self._faulty])
        app.add_routes(
            [
                web.post("/log-append", self._on_append),
                web.get("/log-read", self._on_read),
                web.get("/log-newest", self._on_newest),
                web.post("/log-join", self._on_join),
                web.post("/log-leave", self._on_leave),
            ]
        )
        self.address = await self._server.start(app, host, port)

    async def close(self) -> None:
        """Stops listening."""
        await self._server.close()

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Appends a keyed record and returns its offset."""
        name = key.encode()
        return await self.append(topic, bytes((len(name),)) + name + value)

    async def append(self, topic: str, content: bytes) -> int:
        """Appends any bytes and returns their offset."""
        records = self.topics.setdefault(topic, [])
        records.append(content)
        async with self._written:
            self._written.notify_all()
        return len(records) - 1

    async def restore(self, kept: Mapping[str, int], generation: int) -> None:
        """Continues from an older copy, which lacks all later records.

        Args:
            kept: Number of records that the copy holds, by topic; none of the
                topics left out.
            generation: Generation of the group in the copy.
        """
        self.era += 1
        for topic, records in self.topics.items():
            del records[kept.get(topic, 0) :]
        self.generation = generation
        self.members.clear()
        self.holders.clear()
        async with self._written:
            self._written.notify_all()

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Returns offset and value of each key that was not dropped."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, content in enumerate(self.topics.get(topic, ())):
            size = content[0] if content else 0
            key = content[1 : 1 + size].decode("utf-8", "replace")
            found[key] = (offset, content[1 + size :])
        return {key: item for key, item in found.items() if item[1]}

    def spend(self, fault: str) -> bool:
        """Uses up one occurrence of a fault."""
        if self.faults[fault] <= 0:
            return False
        self.faults[fault] -= 1
        return True

    @web.middleware
    async def _faulty(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        self.calls.append(request.path)
        if self.spend("refuse"):
            return web.json_response({}, status=self.refuse_status)
        if self.spend("silent"):
            await asyncio.Event().wait()
        if self.spend("slow"):
            await self.clock.sleep_ms(self.slow_ms)
        response: web.StreamResponse = await handler(request)
        response.headers.setdefault(names.STORE_ERA, str(self.era))
        if self.answer_ms:
            await self.clock.sleep_ms(self.answer_ms)
        if self.spend("lose_answer") and request.transport is not None:
            request.transport.abort()
        return response

    async def _on_append(self, request: web.Request) -> web.Response:
        topic, body, position = request.query["topic"], await request.read(), 0
        if topic in READ_ONLY_TOPICS:
            return web.json_response({}, status=403)
        first = len(self.topics.get(topic, ()))
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            content = body[position : position + length]
            position += length
            await self.append(topic, content)
        end = len(self.topics.get(topic, ()))
        return web.json_response({"offset": first, "end_offset": end})

    async def _on_read(self, request: web.Request) -> web.Response:
        topic = request.query["topic"]
        start = int(request.query["from"])
        wait_ms = int(request.query.get("wait_ms", "0"))
        first = self.first.get(topic, 0)
        if start < first or self.spend("expire"):
            return web.json_response({"first_offset": first}, status=410)
        records = self.topics.setdefault(topic, [])
        if start > len(records):
            return web.json_response({"first_offset": first}, status=410)
        if wait_ms and start >= len(records):
            try:
                async with asyncio.timeout(wait_ms / 1000), self._written:
                    await self._written.wait_for(lambda: start != len(records))
            except TimeoutError:
                pass
        if start > len(records):
            return web.json_response({"first_offset": first}, status=410)
        body = _ENDS.pack(len(records), first) + b"".join(
            _LENGTH.pack(len(content)) + content for content in records[start:]
        )
        return web.Response(body=body)

    async def _on_newest(self, request: web.Request) -> web.Response:
        topic = request.query["topic"]
        after = request.query.get("start_after", "")
        found = self.newest(topic)
        keys = sorted(key for key in found if key > after)
        body = {
            "items": [
                {
                    "key": key,
                    "offset": found[key][0],
                    "value": base64.b64encode(found[key][1]).decode(),
                }
                for key in keys[: self.page_items]
            ],
            "end_offset": len(self.topics.get(topic, ())),
            "has_more": len(keys) > self.page_items,
        }
        headers = {names.STORE_ERA: str(self.era)}
        if self.between_pages is not None:
            await self.between_pages()
        return web.json_response(body, headers=headers)

    async def _on_join(self, request: web.Request) -> web.Response:
        body = await request.json()
        name = body["member"]
        self._expire()
        if name not in self.members:
            self.generation += 1
        self.members[name] = Member(
            int(body["generation"]), self.clock.now_ms() + int(body["ttl_ms"])
        )
        self._assign()
        mine = [p for p, holder in self.holders.items() if holder == name]
        return web.json_response(
            {
                "generation": self.generation,
                "parts": [[names.DOMAINS_TOPIC, p, 0] for p in sorted(mine)],
            }
        )

    async def _on_leave(self, request: web.Request) -> web.Response:
        self._remove((await request.json())["member"])
        return web.json_response({})

    def _expire(self) -> None:
        now_ms = self.clock.now_ms()
        for name, member in tuple(self.members.items()):
            if member.until_ms <= now_ms:
                self._remove(name)

    def _remove(self, name: str) -> None:
        if self.members.pop(name, None) is not None:
            self.generation += 1
        for partition, holder in tuple(self.holders.items()):
            if holder == name:
                del self.holders[partition]

    def _assign(self) -> None:
        """Spreads the partitions; a holder keeps one until it knows."""
        order = sorted(self.members)
        for partition in range(self.partitions):
            wanted = order[partition % len(order)]
            holder = self.holders.get(partition)
            if holder is None or (
                holder != wanted
                and self.members[holder].generation >= self.generation
            ):
                self.holders[partition] = wanted
