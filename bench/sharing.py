"""What reading the workers' topic costs with and without a shared reader.

Gateways of three zones run on a manual clock with a store in memory. Bytes are
those of HTTP with short headers, and of the frames between gateways; those of
TCP and IP are left out.
"""

import asyncio
import collections
import json
import logging
from collections.abc import Iterator
from typing import Any

import structlog

from bench import gateway_parts, harness
from oleanderbay.gateway import feed, interfaces, shared_reads
from oleanderbay.platform import names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import metadata_store, zone

ZONES = 3
# Gateways and workers.
SIZES = ((7, 63), (31, 300), (101, 1_000))
WORKERS = (63, 300, 1_000, 12_000)
# Pages must be long enough for the largest size.
PAGE_ITEMS = 1_000
SILENCE_MS = 800
WARM_UP_MS = 3_600
MEASURED_MS = 6_000
RECORD_MS = 1_200
STEPS = 12
# One worker in this many is in a cold start, whose records are all forwarded.
COLD_EVERY = 20


def _record(number: int, now_ms: int) -> bytes:
    """Returns a worker's record, of which only the load changes."""
    cold = number % COLD_EVERY == 0
    return gateway_parts.worker(
        number,
        size=4,
        zone=f"zone-{number % ZONES}",
        domain=f"domain-{number // 16}",
        in_flight=now_ms // RECORD_MS % 64,
        cold_remaining_ms=600_000 - now_ms if cold else 0,
    )


class _Fleet:
    """Gateways that read one store, and workers that write to it."""

    def __init__(self, gateways: int, workers: int, silence_ms: int) -> None:
        self.clock = clocks.ManualClock()
        self.site = metadata_store.MetadataStore(
            clock=self.clock, page_items=PAGE_ITEMS
        )
        self.network = zone.Network()
        self.workers = workers
        hosts = tuple(zone.host_of(number) for number in range(gateways))
        self.nodes = [
            zone.Node(
                self.network,
                self.site,
                self.clock,
                zone.gateway_settings(
                    number, f"zone-{number % ZONES}", hosts, silence_ms
                ),
            )
            for number in range(gateways)
        ]

    async def run(self) -> dict[str, float]:
        """Returns the counts of a second, after the start."""
        body = {"version": 1, "routes": [], "services": []}
        await self.site.put(
            names.CONFIGURATION_TOPIC,
            names.CONFIGURATION_KEY,
            json.dumps(body).encode(),
        )
        await self._write(0, self.workers)
        for node in self.nodes:
            node.start()
        await self._pass(WARM_UP_MS)
        self.network.sent.clear()
        for node in self.nodes:
            node.store.calls.clear()
            node.store.moved.clear()
        await self._pass(MEASURED_MS)
        counts = self._counts()
        for node in self.nodes:
            node.kill()
        return counts

    async def _pass(self, duration_ms: int) -> None:
        part_ms = RECORD_MS // STEPS
        for step in range(duration_ms // part_ms):
            share = self.workers / STEPS
            place = step % STEPS
            await self._write(round(place * share), round((place + 1) * share))
            await self.clock.advance(part_ms)

    async def _write(self, begin: int, end: int) -> None:
        for number in range(begin, end):
            await self.site.put(
                names.WORKERS_TOPIC,
                f"worker-{number}",
                _record(number, self.clock.now_ms()),
            )

    def _counts(self) -> dict[str, float]:
        seconds = MEASURED_MS / 1_000
        calls: collections.Counter[str] = collections.Counter()
        moved: collections.Counter[str] = collections.Counter()
        for node in self.nodes:
            calls += node.store.calls
            moved += node.store.moved
        each = [sum(node.store.moved.values()) for node in self.nodes]
        sent: collections.Counter[str] = collections.Counter()
        received: collections.Counter[str] = collections.Counter()
        for (source, target), size in self.network.sent.items():
            sent[source] += size
            received[target] += size
        between = sum(sent.values())
        links = len(self.network.sent) // 2
        return {
            "readers": float(
                sum(
                    not n.gateway.shared_reads.is_following()
                    for n in self.nodes
                )
            ),
            "store_calls": sum(calls.values()) / seconds,
            "store_bytes": sum(moved.values()) / seconds,
            "store_calls_a_gateway": sum(calls.values())
            / seconds
            / len(self.nodes),
            "store_bytes_a_gateway": sum(moved.values())
            / seconds
            / len(self.nodes),
            "store_bytes_of_the_busiest": max(each) / seconds,
            "store_bytes_of_the_least_busy": min(each) / seconds,
            "peer_bytes": between / seconds,
            "peer_bytes_a_link": between / seconds / links if links else 0.0,
            "peer_bytes_of_the_busiest": max(
                (sent[n.host] + received[n.host] for n in self.nodes),
                default=0,
            )
            / seconds,
        }


def _point(gateways: int, workers: int) -> Iterator[harness.Result]:
    found: dict[str, dict[str, float]] = {}
    for name, silence_ms in (("before", 0), ("after", SILENCE_MS)):
        fleet = _Fleet(gateways, workers, silence_ms)
        found[name] = asyncio.run(fleet.run())
    detail: dict[str, Any] = {"gateways": gateways, "workers": workers}
    for name, counts in found.items():
        detail[name] = {key: round(value, 2) for key, value in counts.items()}
    yield harness.Result(
        name=f"sharing.bytes_ratio_{gateways}",
        value=(found["after"]["store_bytes"] + found["after"]["peer_bytes"])
        / found["before"]["store_bytes"],
        unit="ratio",
        deterministic=True,
        detail=detail,
    )


def _points(
    sizes: tuple[tuple[int, int], ...],
) -> Iterator[harness.Result]:
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for gateways, workers in sizes:
        yield from _point(gateways, workers)


def _batch_us(workers: int) -> float:
    """Returns the time to pack an empty batch, which all subscribers share."""
    clock = clocks.ManualClock()
    followed = feed.Feed(
        zone.LocalStore(metadata_store.MetadataStore(), clock),
        interfaces.Topic.WORKERS,
        clock,
        lambda _: feed.Effect.REPEATED,
        0,
        500,
    )
    found = [
        interfaces.KeyedRecord(number, f"worker-{number}", b"x")
        for number in range(workers)
    ]
    followed.replace(interfaces.Page(tuple(found), workers))
    publisher = shared_reads.Publisher(followed, clock)

    def pack() -> None:
        followed.answered_reads += 1
        publisher._batch(followed.offset)

    return harness.cpu_us_per_call(pack, max(10, 20_000 // workers))


def _batches() -> Iterator[harness.Result]:
    series = [(count, _batch_us(count)) for count in WORKERS]
    yield harness.Result(
        name="sharing.batch_by_workers",
        value=series[-1][1],
        unit="us",
        detail={"series": [list(point) for point in series]},
    )


def counts() -> Iterator[harness.Result]:
    """Counts at the smallest size, which are quick enough for CI."""
    yield from _points(SIZES[:1])


def run() -> Iterator[harness.Result]:
    """Runs all sizes."""
    yield from _points(SIZES)
    yield from _batches()
