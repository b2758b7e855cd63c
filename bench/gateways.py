"""What one gateway spends on control, against the size of the fleet."""

import asyncio
import functools
import json
import logging
import random
import socket
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import aiohttp
import msgpack
import multidict
import structlog
from aiohttp import test_utils, web

from bench import harness
from oleanderbay.gateway import (
    attempt,
    entry,
    feed,
    interfaces,
    sending,
    settings,
    workers,
)
from oleanderbay.platform import ingress, names, records, store
from oleanderbay.process import clock as clocks
from oleanderbay.standins import metadata_store

PEERS = (6, 29, 99, 299, 1_099)
IN_FLIGHT = (0, 14, 63, 375, 1_500)
WORKERS = (63, 260, 1_040, 4_160, 12_000)
ROUTES = (100, 300, 1_000, 3_000, 10_000)
GROUPS = (10, 63, 375, 1_500, 3_750)
STORE_GATEWAYS = (7, 14, 30, 100)
STORE_WORKERS = (0, 60, 120, 240, 480)
GROUP_SIZE = 32
# 46 full domains of this size hold the workers of the design size.
DOMAIN_SIZE = 260
ZONES = 26
RECORD_MS = 1_200
STORE_SECONDS = 4
EVENTS = 2_000


class _Wire:
    """Sends all datagrams to one socket on loopback that is never read."""

    def __init__(self) -> None:
        self.sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sink.bind(("127.0.0.1", 0))
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.last = b""

    def sendto(self, packed: bytes, place: Any) -> None:
        self.last = packed
        self.socket.sendto(packed, self.sink.getsockname())

    def close(self) -> None:
        self.sink.close()
        self.socket.close()


def _settings(number: int, address: str) -> settings.Settings:
    host = f"127.{1 + number // 62_500}.{number // 250 % 250}.{number % 250}"
    return settings.Settings(
        entry=settings.EntrySettings(
            id=f"gateway-{number}", zone=f"zone-{number % ZONES}", host=host
        ),
        listeners=settings.ListenerSettings(
            callers=f"{host}:8090", readiness=f"{host}:8091"
        ),
        peers=settings.PeerSettings(port=8_093),
        store=settings.StoreSettings(address=address),
    )


def _gateway(
    number: int = 0,
    client: store.HttpStore | None = None,
    clock: clocks.Clock | None = None,
) -> entry.Gateway:
    """Makes a gateway whose sockets are not opened."""
    address = client.address if client else "127.0.0.1:9"
    return entry.Gateway(
        _settings(number, address),
        client or store.HttpStore(address, 1, 500),
        _NoOrders(),
        records.JsonDecoder(),
        ingress.HeaderTranslator(),
        clock or clocks.ManualClock(),
        random.Random(1),
    )


class _NoOrders:
    """Fails each order; a fleet without faults needs none."""

    def __getattr__(self, name: str) -> Any:
        raise AssertionError(f"unexpected order: {name}")


def _configuration(routes: int, version: int = 1) -> bytes:
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"route-{number}",
                    "host": f"host-{number % 50}.example",
                    "path_prefix": f"/path/{number}/",
                    "kind": "streaming",
                    "timeout_ms": 60_000,
                    "target_latency_ms": 1_000,
                    "target_gap_ms": 27,
                    "max_attempts": 3,
                    "resumable": True,
                    "traffic_split": [{"service": "chat", "weight": 1}],
                }
                for number in range(routes)
            ],
            "services": [
                {
                    "name": "chat",
                    "engine": {
                        "slots": 64,
                        "models": [
                            {"name": "large", "size": GROUP_SIZE, "share": 1}
                        ],
                    },
                }
            ],
        }
    ).encode()


def _worker(number: int, born: int = 1, size: int = GROUP_SIZE) -> bytes:
    group, rank = divmod(number, size)
    return json.dumps(
        {
            "service": "chat",
            "address": f"10.0.{number // 250}.{number % 250}:8000",
            "zone": f"zone-{number // DOMAIN_SIZE % ZONES}",
            "domain": f"domain-{number // DOMAIN_SIZE}",
            "slots": 64,
            "state": "ready",
            "born": born,
            "sequence": 3,
            "models": [{"name": "large"}],
            "staged": ["large"],
            "group": {
                "name": f"gateway-1/abcdef012345-{group}",
                "epoch": 65_536 + group,
                "rank": rank,
                "state": "ready" if rank else "open",
            },
        }
    ).encode()


def _record(
    offset: int, number: int, size: int = GROUP_SIZE, born: int = 1
) -> interfaces.KeyedRecord:
    return interfaces.KeyedRecord(
        offset, f"worker-{number}", _worker(number, born, size)
    )


def _fill(
    gateway: entry.Gateway, count: int, size: int = GROUP_SIZE, routes: int = 1
) -> None:
    """Gives a gateway a configuration and workers, all in open groups."""
    configured = gateway.feeds["configuration"]
    body = json.loads(_configuration(routes))
    body["services"][0]["engine"]["models"][0]["size"] = size
    configured.merge(
        [
            interfaces.KeyedRecord(
                0, names.CONFIGURATION_KEY, json.dumps(body).encode()
            )
        ],
        1,
    )
    gateway.feeds["workers"].merge(
        [_record(number, number, size) for number in range(count)], count
    )


def _slope(series: Sequence[tuple[float, float]]) -> float:
    """Returns the slope of the line of least squares."""
    mean_x = sum(x for x, _ in series) / len(series)
    mean_y = sum(y for _, y in series) / len(series)
    return sum((x - mean_x) * (y - mean_y) for x, y in series) / sum(
        (x - mean_x) ** 2 for x, _ in series
    )


def _result(
    name: str,
    unit: str,
    series: Sequence[tuple[float, float]],
    deterministic: bool = False,
    **detail: Any,
) -> harness.Result:
    """Reports the largest size, with the slope over all sizes."""
    return harness.Result(
        name=f"gateways.{name}",
        value=series[-1][1],
        unit=unit,
        deterministic=deterministic,
        detail={
            "size": series[-1][0],
            "slope": _slope(series),
            "series": [list(point) for point in series],
            **detail,
        },
    )


def _busy(gateway: entry.Gateway, in_flight: int) -> None:
    for number in range(in_flight):
        gateway.loads.own[f"worker-{number * GROUP_SIZE}"] = 3


def _heartbeat(number: int, in_flight: int) -> dict[str, Any]:
    """Returns the heartbeat of a gateway as another one receives it."""
    sender = _gateway(number)
    _fill(sender, 0)
    _busy(sender, in_flight)
    sender.demand.own["large"] = 12.345
    sender.peers.add_address("127.0.0.1", "other")
    wire = _Wire()
    sender.peers._transport = wire  # type: ignore[assignment]
    sender.peers.send_heartbeats()
    body: dict[str, Any] = msgpack.unpackb(wire.last)
    wire.close()
    return body


def _hear(gateway: entry.Gateway, peers: int, in_flight: int = 0) -> None:
    body = _heartbeat(1, in_flight)
    for number in range(1, peers + 1):
        config = _settings(number, "")
        body |= {
            "id": config.entry.id,
            "host": config.entry.host,
            "callers": config.listeners.callers,
            "ready": True,
        }
        gateway.peers._received(msgpack.packb(body))


def _beat_us(peers: int, in_flight: int) -> float:
    gateway = _gateway()
    _fill(gateway, 12_000)
    _busy(gateway, in_flight)
    _hear(gateway, peers)
    wire = _Wire()
    gateway.peers._transport = wire  # type: ignore[assignment]
    try:
        return harness.cpu_us_per_call(
            gateway.peers.send_heartbeats, max(5, 1_000 // peers)
        )
    finally:
        wire.close()


def _received_us(peers: int, in_flight: int) -> float:
    gateway = _gateway()
    _fill(gateway, 12_000)
    _hear(gateway, peers, in_flight)
    body = _heartbeat(1, in_flight) | {"id": "gateway-1"}
    calls, repeats = 100, 5
    packed = iter(
        [
            msgpack.packb(body | {"sequence": number + 10})
            for number in range(calls * repeats)
        ]
    )
    return harness.cpu_us_per_call(
        lambda: gateway.peers._received(next(packed)), calls, repeats
    )


def _heartbeats() -> Iterator[harness.Result]:
    yield _result(
        "beat_by_peers",
        "us",
        [(peers, _beat_us(peers, 14)) for peers in PEERS],
        in_flight=14,
        interval_ms=[_interval_ms(peers) for peers in PEERS],
    )
    yield _result(
        "beat_by_in_flight",
        "us",
        [(n, _beat_us(PEERS[0], n)) for n in IN_FLIGHT],
        peers=PEERS[0],
    )
    yield _result(
        "heartbeat_heard_by_peers",
        "us",
        [(peers, _received_us(peers, 14)) for peers in PEERS],
        in_flight=14,
    )
    yield _result(
        "heartbeat_heard_by_in_flight",
        "us",
        [(n, _received_us(PEERS[0], n)) for n in IN_FLIGHT],
        peers=PEERS[0],
    )


def _interval_ms(peers: int) -> int:
    gateway = _gateway()
    _hear(gateway, peers)
    return gateway.peers.interval_ms()


def _heartbeat_counts() -> Iterator[harness.Result]:
    series = [
        (count, float(len(msgpack.packb(_heartbeat(1, count)))))
        for count in IN_FLIGHT
    ]
    yield _result("heartbeat_bytes", "B", series, deterministic=True)
    size = series[1][1]
    yield _result(
        "heartbeats_sent_rate",
        "count",
        [(p, 1_000 * p / _interval_ms(p)) for p in PEERS],
        deterministic=True,
        bytes_per_s=[size * 1_000 * p / _interval_ms(p) for p in PEERS],
        interval_ms=[_interval_ms(p) for p in PEERS],
    )


def _records_us(
    followed: feed.Feed,
    count: int,
    change: bool,
    then: Callable[[], object] = lambda: None,
) -> float:
    """Returns the time for one record, which may differ from the last one."""
    calls, repeats = 50, 3
    start = followed.offset
    made = iter(
        [
            _record(start + n, n % count, born=1 + change * (start + n))
            for n in range(calls * repeats)
        ]
    )

    def call() -> None:
        record = next(made)
        followed.merge([record], record.offset + 1)
        then()

    return harness.cpu_us_per_call(call, calls, repeats)


def _worker_records() -> Iterator[harness.Result]:
    same, changed, regrouped = [], [], []
    for count in WORKERS:
        gateway = _gateway()
        _fill(gateway, count)
        followed = gateway.feeds["workers"]
        current = gateway.known.table
        assert current is not None
        collect = functools.partial(
            gateway.choices.groups, current.services["chat"], "large"
        )
        same.append((count, _records_us(followed, count, False)))
        changed.append((count, _records_us(followed, count, True)))
        regrouped.append((count, _records_us(followed, count, True, collect)))
    yield _result("worker_record_repeated", "us", same)
    yield _result("worker_record_changed", "us", changed)
    yield _result("worker_record_and_groups", "us", regrouped)


def _configurations() -> Iterator[harness.Result]:
    series, sizes = [], []
    for routes in ROUTES:
        gateway = _gateway()
        calls, repeats = max(1, 1_000 // routes), 3
        made = iter(
            [
                interfaces.KeyedRecord(
                    version,
                    names.CONFIGURATION_KEY,
                    _configuration(routes, version),
                )
                for version in range(1, calls * repeats + 1)
            ]
        )
        spent_us = harness.cpu_us_per_call(
            lambda gateway=gateway, made=made: gateway.feeds[  # type: ignore[misc]
                "configuration"
            ].merge([next(made)], 0),
            calls,
            repeats,
        )
        series.append((routes, spent_us / 1_000))
        sizes.append(len(_configuration(routes)))
    yield _result("configuration", "ms", series, record_bytes=sizes)


def _held_kb(fill: Callable[[entry.Gateway], None]) -> float:
    gateway = _gateway()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        fill(gateway)
        gateway.known.groups()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) / 1_024


def _memory() -> Iterator[harness.Result]:
    yield _result(
        "memory_of_workers",
        "KB",
        [(n, _held_kb(lambda g, n=n: _fill(g, n))) for n in WORKERS],  # type: ignore[misc]
    )
    yield _result(
        "memory_of_routes",
        "KB",
        [
            (n, _held_kb(lambda g, n=n: _fill(g, 0, routes=n)))  # type: ignore[misc]
            for n in ROUTES
        ],
    )
    yield _result(
        "memory_of_peers",
        "KB",
        [(n, _held_kb(lambda g, n=n: _hear(g, n, 14))) for n in PEERS],  # type: ignore[misc]
        in_flight=14,
    )


def _step(gateway: entry.Gateway, change: bool) -> None:
    gateway.known.revision += change
    gateway.keeper.step()


def _steps(own: Callable[[str], bool], change: bool) -> list[Any]:
    series = []
    for count in WORKERS:
        clock = clocks.ManualClock()
        gateway = _gateway(clock=clock)
        whole = count // GROUP_SIZE * GROUP_SIZE
        _fill(gateway, whole)
        gateway.duties.owns = own  # type: ignore[method-assign, assignment]
        followed = gateway.feeds["workers"]
        followed.answered_ms = followed.steady_since_ms = 0
        clock.set_ms(10_000)
        followed.answered_ms = 10_000
        gateway.demand.begun = True
        step = functools.partial(_step, gateway, change)
        series.append((whole, harness.cpu_us_per_call(step, 5, 3) / 1_000))
    return series


def _keeper() -> Iterator[harness.Result]:
    for name, own in (
        ("keeper_step_all_owned", lambda _: True),
        ("keeper_step_one_domain", lambda domain: domain.endswith("-0")),
        ("keeper_step_none_owned", lambda _: False),
    ):
        yield _result(name, "ms", _steps(own, False))
        yield _result(f"{name}_changed", "ms", _steps(own, True))


def _choice_us(groups: int, peers: int) -> float:
    gateway = _gateway()
    _fill(gateway, GROUP_SIZE * groups)
    _hear(gateway, peers)
    current = gateway.known.table
    assert current is not None
    chat = current.services["chat"]
    call = functools.partial(gateway.choices.peek, chat, "large", ())
    return harness.cpu_us_per_call(call, max(3, 500 // groups), 3)


def _choices() -> Iterator[harness.Result]:
    series = []
    for count in GROUPS:
        gateway = _gateway()
        _fill(gateway, 4 * count, 4)
        current = gateway.known.table
        assert current is not None
        chat = current.services["chat"]
        chosen = gateway.choices.peek(chat, "large", ())
        assert isinstance(chosen, workers.Worker)
        series.append(
            (
                count,
                harness.cpu_us_per_call(
                    functools.partial(gateway.choices.peek, chat, "large", ()),
                    max(3, 2_000 // count),
                ),
            )
        )
    yield _result("choice", "us", series, members_of_a_group=4)
    for name, axis, sizes in (
        ("groups", "groups", [(n, 6) for n in (4, 14, 63, 375)]),
        ("peers", "peers", [(14, n) for n in PEERS]),
    ):
        points = [(pair[axis == "peers"], _choice_us(*pair)) for pair in sizes]
        yield _result(
            f"choice_of_large_by_{name}",
            "us",
            points,
            members_of_a_group=GROUP_SIZE,
        )


class _Events(sending.Exchange):
    """An answer whose events are there at once, one in each read."""

    def __init__(self, count: int) -> None:
        self.status = 200
        self.headers = multidict.CIMultiDictProxy(multidict.CIMultiDict())
        self.parts = iter(
            [b'id: %d\ndata: {"token": "word"}\n\n' % n for n in range(count)]
        )

    async def read(self, limit_ms: int) -> bytes:
        async with asyncio.timeout(limit_ms / 1_000):
            await asyncio.sleep(0)
            return next(self.parts, b"")


class _Sink:
    """Takes the events in place of a caller's connection."""

    started = False
    written = 0

    async def begin(self, status: int, headers: Any) -> None:
        self.started = True

    async def write(self, data: bytes) -> None:
        self.written += len(data)

    async def end(self) -> None:
        pass


def _run(gateway: entry.Gateway) -> tuple[attempt.Run, workers.Worker]:
    current = gateway.known.table
    assert current is not None
    route = current.hosts["host-0.example"][0]
    now_ms = gateway.clock.now_ms()
    call = interfaces.Call(
        id="r",
        method="POST",
        host=route.host,
        target=route.path_prefix,
        headers=multidict.CIMultiDict(),
        model="large",
        arrived_ms=now_ms,
    )
    run = attempt.Run(
        call=call,
        route=route,
        service=current.services["chat"],
        team=None,
        deadline_ms=now_ms + 60_000,
    )
    return run, gateway.known.workers["worker-0"]


async def _answer(gateway: entry.Gateway, request: web.Request) -> web.Response:
    answer = await gateway.listeners._serve_other(request)
    assert isinstance(answer, web.Response) and answer.status == 200
    return answer


async def _answer_us(gateway: entry.Gateway) -> float:
    calls = 50
    request = test_utils.make_mocked_request("GET", "/directory")
    best_us = float("inf")
    for _ in range(3):
        start_ns = time.process_time_ns()
        for _ in range(calls):
            await _answer(gateway, request)
        spent_us = (time.process_time_ns() - start_ns) / 1_000
        best_us = min(best_us, spent_us / calls)
    return best_us


def _directory() -> Iterator[harness.Result]:
    # Without the connection and the heads of request and answer.
    times, sizes = [], []
    for peers in PEERS:
        gateway = _gateway()
        _fill(gateway, 0)
        _hear(gateway, peers)
        times.append((1 + peers, asyncio.run(_answer_us(gateway))))
        request = test_utils.make_mocked_request("GET", "/directory")
        body = asyncio.run(_answer(gateway, request)).body
        assert isinstance(body, bytes)
        sizes.append((1 + peers, float(len(body))))
    yield _result("directory_answer", "us", times)
    yield _result("directory_answer_bytes", "B", sizes, deterministic=True)


async def _event_us(groups: int, peers: int) -> float:
    gateway = _gateway(clock=clocks.SystemClock())
    _fill(gateway, GROUP_SIZE * groups)
    _hear(gateway, peers)
    # Enough requests for a share of the repeats.
    for _ in range(10):
        gateway.retries.requested("chat")
    count = max(50, EVENTS // groups)
    best_us = float("inf")
    for _ in range(3):
        run, chosen = _run(gateway)
        sink = _Sink()
        start_ns = time.process_time_ns()
        await gateway.listeners.runner.parts.attempts._stream(
            run,
            chosen,
            _Events(count),
            sink,  # type: ignore[arg-type]
        )
        spent_ns = time.process_time_ns() - start_ns
        assert sink.written and run.last_id == count - 1
        best_us = min(best_us, spent_ns / 1_000 / count)
    return best_us


def _streams() -> Iterator[harness.Result]:
    # What a model's stream costs beside its sockets: reading, order, and the
    # limit of the next pause, which looks for another worker.
    yield _result(
        "event_by_groups",
        "us",
        [(n, asyncio.run(_event_us(n, 6))) for n in (1, 4, 14, 63, 375)],
        peers=6,
        members_of_a_group=GROUP_SIZE,
    )
    yield _result(
        "event_by_peers",
        "us",
        [(n, asyncio.run(_event_us(14, n))) for n in PEERS],
        groups=14,
        members_of_a_group=GROUP_SIZE,
    )


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
            await site.put(names.WORKERS_TOPIC, key, _worker(number % count))
            number += 1
        await asyncio.sleep(RECORD_MS / 12 / 1_000)


async def _store_use(gateways: int, count: int) -> tuple[_Counts, float]:
    """Lets gateways use one store in real time, without any listeners."""
    site = metadata_store.MetadataStore(partitions=46)
    await site.start()
    await site.put(
        names.CONFIGURATION_TOPIC, names.CONFIGURATION_KEY, _configuration(100)
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
            made = _gateway(number, client, clocks.SystemClock())
            for run in (
                *(followed.run for followed in made.feeds.values()),
                made.duties.run,
                made._announce,
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
    counts, seconds = asyncio.run(_store_use(gateways, count))
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


def _store() -> Iterator[harness.Result]:
    # The pages of tests are too short for the addresses of 100 gateways.
    shortest = metadata_store.PAGE_ITEMS
    metadata_store.PAGE_ITEMS = 1_000
    try:
        by_gateways = [_store_point(n, 60) for n in STORE_GATEWAYS]
        by_size = [
            (1 + peers, asyncio.run(_addresses(1 + peers))) for peers in PEERS
        ]
        by_workers = [_store_point(7, n) for n in STORE_WORKERS]
    finally:
        metadata_store.PAGE_ITEMS = shortest
    yield _result("store_bytes_of_addresses", "B", by_size)
    for name, axis, points in (
        ("gateways", "gateways", by_gateways),
        ("workers", "workers", by_workers),
    ):
        for what, unit in (("calls", "count"), ("bytes", "B")):
            yield _result(
                f"store_{what}_by_{name}",
                unit,
                [(p[axis], p[what]) for p in points],
                points=points,
            )


async def _addresses(count: int) -> float:
    """Returns the bytes of one read of the gateways' addresses."""
    site = metadata_store.MetadataStore()
    await site.start()
    counts = _Counts()
    client = store.HttpStore(site.address, 1, 5_000)
    client._session = aiohttp.ClientSession(trace_configs=[counts.trace()])
    try:
        for number in range(count):
            entry_ = _settings(number, "").entry
            body = json.dumps({"host": entry_.host}).encode()
            await site.put(names.GATEWAYS_TOPIC, entry_.id, body)
        page = await client.newest(interfaces.Topic.GATEWAYS)
        assert len(page.records) == count
    finally:
        await client.close()
        await site.close()
    return float(sum(counts.sent.values()) + sum(counts.received.values()))


def counts() -> Iterator[harness.Result]:
    """Counts that each run gives alike."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    yield from _heartbeat_counts()


def run() -> Iterator[harness.Result]:
    """Runs everything."""
    yield from counts()
    yield from _heartbeats()
    yield from _worker_records()
    yield from _configurations()
    yield from _memory()
    yield from _keeper()
    yield from _choices()
    yield from _directory()
    yield from _streams()
    yield from _store()
