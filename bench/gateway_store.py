"""Calls and bytes between gateways and the store."""

import asyncio
import json
import time
from collections.abc import Iterator
from typing import Any

import aiohttp

from bench import gateway_parts as parts
from bench import harness
from oleanderbay.gateway import interfaces
from oleanderbay.platform import names, store
from oleanderbay.process import clock as clocks
from oleanderbay.standins import metadata_store

STORE_GATEWAYS = (7, 14, 30, 100)
STORE_WORKERS = (0, 60, 120, 240, 480)
RECORD_MS = 1_200
STORE_SECONDS = 4
# The pages of tests are too short for the addresses of 100 gateways.
PAGE_ITEMS = 1_000


class _Counts:
    """Counts calls to the store and their bytes as HTTP/1.1 sends them."""

    def __init__(self) -> None:
        self.calls: dict[str, int] = {}
        self.sent: dict[str, int] = {}
        self.received: dict[str, int] = {}

    def trace(self) -> aiohttp.TraceConfig:
        """Returns the hooks for one client."""
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(self._headers_sent)
        trace.on_request_chunk_sent.append(self._chunk_sent)
        trace.on_response_chunk_received.append(self._chunk_received)
        trace.on_request_end.append(self._end)
        return trace

    async def _headers_sent(self, _: Any, __: Any, found: Any) -> None:
        line = len(f"{found.method} {found.url.raw_path_qs} HTTP/1.1\r\n\r\n")
        _add(self.sent, found.url.path, line + _headers(found.headers))

    async def _chunk_sent(self, _: Any, __: Any, found: Any) -> None:
        _add(self.sent, found.url.path, len(found.chunk))

    async def _chunk_received(self, _: Any, __: Any, found: Any) -> None:
        _add(self.received, found.url.path, len(found.chunk))

    async def _end(self, _: Any, __: Any, found: Any) -> None:
        _add(self.calls, found.url.path, 1)
        line = len(f"HTTP/1.1 {found.response.status} OK\r\n\r\n")
        _add(
            self.received,
            found.url.path,
            line + _headers(found.response.headers),
        )


def _add(counts: dict[str, int], path: str, count: int) -> None:
    counts[path] = counts.get(path, 0) + count


def _headers(headers: Any) -> int:
    return sum(len(f"{k}: {v}\r\n".encode()) for k, v in headers.items())


async def _publish(site: metadata_store.MetadataStore, count: int) -> None:
    """Writes each worker's record once in its heartbeat."""
    number = 0
    while True:
        for _ in range(count // 12):
            key = f"worker-{number % count}"
            await site.put(
                names.WORKERS_TOPIC, key, parts.worker(number % count)
            )
            number += 1
        await asyncio.sleep(RECORD_MS / 12 / 1_000)


async def _use(gateways: int, count: int) -> tuple[_Counts, float]:
    """Lets gateways use one store in real time, without any listeners."""
    site = metadata_store.MetadataStore(partitions=46, page_items=PAGE_ITEMS)
    await site.start()
    await site.put(
        names.CONFIGURATION_TOPIC,
        names.CONFIGURATION_KEY,
        parts.configuration(100),
    )
    counts = _Counts()
    clients: list[store.HttpStore] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        for number in range(gateways):
            client = store.HttpStore(site.address, 46, 2_000)
            client._session = aiohttp.ClientSession(
                trace_configs=[counts.trace()]
            )
            clients.append(client)
            made = parts.gateway(number, client, clocks.SystemClock())
            for run in (
                *(followed.run for followed in made.feeds.values()),
                made.domain_ownership.run,
                made._exchange_addresses,
            ):
                tasks.append(asyncio.create_task(run()))
        if count:
            tasks.append(asyncio.create_task(_publish(site, count)))
        # The reads of the start are not part of the steady use.
        await asyncio.sleep(2)
        for counted in (counts.calls, counts.sent, counts.received):
            counted.clear()
        begun = time.monotonic()
        await asyncio.sleep(STORE_SECONDS)
        return counts, time.monotonic() - begun
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in clients:
            await client.close()
        await site.close()


def _store_point(gateways: int, count: int) -> dict[str, Any]:
    counts, seconds = asyncio.run(_use(gateways, count))
    each = gateways * seconds
    moved = {
        path: counts.sent.get(path, 0) + counts.received.get(path, 0)
        for path in counts.calls
    }
    return {
        "gateways": gateways,
        "workers": count,
        "calls": sum(counts.calls.values()) / each,
        "bytes": sum(moved.values()) / each,
        "calls_by_path": {p: n / each for p, n in counts.calls.items()},
        "bytes_by_path": {p: n / each for p, n in moved.items()},
    }


def store_use() -> Iterator[harness.Result]:
    by_gateways = [_store_point(n, 60) for n in STORE_GATEWAYS]
    by_size = [
        (1 + peers, asyncio.run(_addresses(1 + peers))) for peers in parts.PEERS
    ]
    by_workers = [_store_point(7, n) for n in STORE_WORKERS]
    yield parts.result("store_bytes_of_addresses", "B", by_size)
    for name, axis, points in (
        ("gateways", "gateways", by_gateways),
        ("workers", "workers", by_workers),
    ):
        for what, unit in (("calls", "count"), ("bytes", "B")):
            yield parts.result(
                f"store_{what}_by_{name}",
                unit,
                [(p[axis], p[what]) for p in points],
                points=points,
            )


async def _addresses(count: int) -> float:
    """Returns the bytes of one read of the gateways' addresses."""
    site = metadata_store.MetadataStore(page_items=PAGE_ITEMS)
    await site.start()
    counts = _Counts()
    client = store.HttpStore(site.address, 1, 5_000)
    client._session = aiohttp.ClientSession(trace_configs=[counts.trace()])
    try:
        for number in range(count):
            entry_ = parts.settings_of(number, "").entry
            body = json.dumps({"host": entry_.host}).encode()
            await site.put(names.GATEWAYS_TOPIC, entry_.id, body)
        page = await client.newest(interfaces.Topic.GATEWAYS)
        assert len(page.records) == count
    finally:
        await client.close()
        await site.close()
    return float(sum(counts.sent.values()) + sum(counts.received.values()))
