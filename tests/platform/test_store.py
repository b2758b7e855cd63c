"""Tests of the HTTP store client against a simulated metadata store."""

import asyncio
import contextlib
import struct

import pytest
from aiohttp import web

from oleanderbay.gateway import feed, interfaces, positions
from oleanderbay.platform import names, store
from oleanderbay.process import clock as clocks
from oleanderbay.standins import metadata_store, server
from tests.gateway import parts
from tests.platform import endless

CONFIGURATION = interfaces.Topic.CONFIGURATION
GATEWAYS = interfaces.Topic.GATEWAYS


@contextlib.asynccontextmanager
async def client(partitions=1, timeout_ms=2_000):
    stand_in = metadata_store.MetadataStore(partitions)
    await stand_in.start()
    store_client = store.HttpStore(stand_in.address, partitions, timeout_ms)
    await store_client.start()
    yield stand_in, store_client
    await store_client.close()
    await stand_in.close()


@contextlib.asynccontextmanager
async def fixed_response(status, body):
    """Runs a server that returns the same response to every call."""

    async def handle(request):
        return web.Response(status=status, body=body)

    async with running_handler(handle, 2_000) as store_client:
        yield store_client


@contextlib.asynccontextmanager
async def running_handler(handle, timeout_ms):
    """Runs a server that answers every call with the given handler."""
    app, listener = web.Application(), server.HttpServer()
    app.router.add_route("*", "/{path:.*}", handle)
    address = await listener.start(app, "127.0.0.1", 0)
    store_client = store.HttpStore(address, 1, timeout_ms)
    await store_client.start()
    yield store_client
    await store_client.close()
    await listener.close()


async def test_answer_may_take_longer_than_the_timeout_while_it_arrives():
    """A slow link could otherwise never bring a large configuration."""
    record = b"\x01k" + bytes(100_000)
    body = b"".join(
        (struct.pack(">QQ", 1, 0), struct.pack(">I", len(record)), record)
    )

    async def handle(request):
        response = web.StreamResponse()
        await response.prepare(request)
        for start in range(0, len(body), 2_000):
            await response.write(body[start : start + 2_000])
            await asyncio.sleep(0.02)
        return response

    async with running_handler(handle, timeout_ms=500) as store_client:
        page = await store_client.read(CONFIGURATION, 0, 0)
    assert len(page.records[0].value) == 100_000


async def test_endless_answer_is_given_up(monkeypatch):
    """It would otherwise use up the gateway's memory."""
    monkeypatch.setattr(store, "MAX_RESPONSE_BYTES", 100_000)
    async with endless.running() as endless_server:
        store_client = store.HttpStore(endless_server.address, 1, 2_000)
        await store_client.start()
        with pytest.raises(interfaces.StoreError, match="too large"):
            await store_client.read(CONFIGURATION, 0, 0)
        await store_client.close()


async def test_answer_that_stops_arriving_is_given_up():
    """A connection may turn silent in the middle of an answer."""

    async def handle(request):
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(bytes(100))
        await asyncio.Event().wait()

    async with running_handler(handle, timeout_ms=100) as store_client:
        with pytest.raises(interfaces.StoreError, match="Timeout"):
            await store_client.read(CONFIGURATION, 0, 5_000)


async def test_records_round_trip():
    """A wrong offset or key would mix up records of the topic."""
    async with client() as (_, store_client):
        await store_client.put(GATEWAYS, "a", b"\x00\xff")
        await store_client.put(GATEWAYS, "ä", b"2")
        await store_client.put(GATEWAYS, "a", None)
        page = await store_client.read(GATEWAYS, 1, 0)
        assert page.records == (
            interfaces.KeyedRecord(1, "ä", b"2"),
            interfaces.KeyedRecord(2, "a", None),
        )
        assert page.end_offset == 3
        newest = await store_client.newest(GATEWAYS)
        assert newest.records == (interfaces.KeyedRecord(1, "ä", b"2"),)
        assert newest.end_offset == 3


@pytest.mark.parametrize("key", ["k" * 256, "ä" * 128, "\ud800"])
async def test_a_key_that_the_store_can_not_hold_is_refused(key):
    """A ValueError ended the exchange of addresses, which began again."""
    async with client() as (stand_in, store_client):
        with pytest.raises(interfaces.StoreRefusedError, match="255 bytes"):
            await store_client.put(GATEWAYS, key, b"1")
        assert stand_in.calls == []
        await store_client.put(GATEWAYS, "ä" * 127 + "k", b"1")
        assert (await store_client.newest(GATEWAYS)).records


async def test_a_read_waits_at_the_store_for_the_first_record():
    """Polling without a wait would exhaust the store's rate limit."""
    async with client() as (stand_in, store_client):
        task = asyncio.create_task(store_client.read(CONFIGURATION, 0, 60_000))
        await parts.wait_until(lambda: stand_in.calls)
        await stand_in.put(names.CONFIGURATION_TOPIC, "config", b"1")
        assert [r.value for r in (await task).records] == [b"1"]
        assert stand_in.calls == ["/log-read"]


async def test_a_record_written_between_two_pages_is_not_lost():
    """Pages are no snapshot: the next read starts at the first page's end."""
    async with client() as (stand_in, store_client):
        for key in ("a", "c", "d"):
            await stand_in.put(names.WORKERS_TOPIC, key, b"1")
        written = []

        async def write_once():
            if not written:
                written.append("b")
                await stand_in.put(names.WORKERS_TOPIC, "b", b"1")
                await stand_in.put(names.WORKERS_TOPIC, "d", b"2")

        stand_in.between_pages = write_once
        page = await store_client.newest(interfaces.Topic.WORKERS)
        assert [r.key for r in page.records] == ["a", "c", "d"]
        assert page.end_offset == 3
        tail = await store_client.read(
            interfaces.Topic.WORKERS, page.end_offset, 0
        )
        assert [(r.key, r.offset) for r in tail.records] == [("b", 3), ("d", 4)]


ERROR = interfaces.StoreError
REFUSED = interfaces.StoreRefusedError


@pytest.mark.parametrize(
    ("statuses", "error"),
    [
        ((400, 403, 404, 413, 429, 503, 507), REFUSED),
        ((409, 412), interfaces.ConditionFailedError),
        ((302, 500, 502), ERROR),
    ],
)
async def test_refusals_and_unknown_results_are_distinguished(statuses, error):
    """A write that took effect would be missed if a 500 counted as refusal."""
    async with client() as (stand_in, store_client):
        for stand_in.refuse_status in statuses:
            stand_in.faults["refuse"] = 2
            with pytest.raises(ERROR) as caught:
                await store_client.put(GATEWAYS, "a", b"1")
            assert type(caught.value) is error
            with pytest.raises(error):
                await store_client.join("a", 1_000, 0)
        assert stand_in.topics == {} and stand_in.members == {}


async def test_lost_slow_and_expired_responses():
    """A lost response is not a refusal, and a slow one is not a failure."""
    async with client(timeout_ms=100) as (stand_in, store_client):
        for fault in ("lose_answer", "silent"):
            stand_in.faults[fault] = 1
            with pytest.raises(ERROR) as caught:
                await store_client.put(GATEWAYS, "a", b"1")
            assert type(caught.value) is ERROR
        assert len(stand_in.topics[names.GATEWAYS_TOPIC]) == 1
        store_client.timeout_ms = 1_000
        stand_in.slow_ms, stand_in.faults["slow"] = 100, 1
        await store_client.put(GATEWAYS, "a", b"2")
        stand_in.faults["expire"] = 1
        with pytest.raises(interfaces.HistoryGoneError):
            await store_client.read(GATEWAYS, 0, 0)


@pytest.mark.parametrize(
    ("body", "error"),
    [
        (b"short", interfaces.StoreError),
        (struct.pack(">QQI", 9, 0, 100) + b"torn", interfaces.StoreError),
        (struct.pack(">QQ", 9, 5), interfaces.HistoryGoneError),
        (struct.pack(">QQ", 1, 0), interfaces.HistoryGoneError),
        # Offsets beyond those of an era were taken for others.
        (struct.pack(">QQ", (1 << 40) + 2, 0), interfaces.StoreError),
        (struct.pack(">QQ", 9, 1 << 40), interfaces.StoreError),
    ],
)
async def test_malformed_pages_are_rejected(body, error):
    """A truncated page must not advance the offset past unread records."""
    async with fixed_response(200, body) as store_client:
        with pytest.raises(error):
            await store_client.read(CONFIGURATION, 2, 0)


async def test_records_without_a_valid_key_do_not_stop_a_read():
    """Arbitrary bytes in a topic must not prevent reading the rest."""
    async with client() as (stand_in, store_client):
        for content in (b"", b"\xff", b"\x02\xff\xfe" + b"value"):
            await stand_in.append(names.WORKERS_TOPIC, content)
        page = await store_client.read(interfaces.Topic.WORKERS, 0, 0)
        assert [r.offset for r in page.records] == [0, 1, 2]
        assert page.end_offset == 3


ITEM = b'{"key": "a", "value": "MQ==", "offset": 4}'


def newest_body(item=ITEM, more=b"false", end=b"6"):
    return b'{"items": [%b], "has_more": %b, "end_offset": %b}' % (
        item,
        more,
        end,
    )


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"items": 1}',
        b'{"items":[{}]}',
        b"[" * 100_000,
        # Without a statement that it is the last one, a page was taken for
        # the end of the topic, and all later keys for dropped.
        b'{"items": [%b], "end_offset": 6}' % ITEM,
        newest_body(more=b"null"),
        newest_body(more=b'"false"'),
        newest_body(item=b"", more=b"true"),
        newest_body(end=b"1e400"),
        newest_body(end=b"-1"),
        newest_body(end=b"true"),
        newest_body(end=b"1099511627776"),
        newest_body(item=ITEM.replace(b"4", b"1e400")),
        newest_body(item=ITEM.replace(b"4", b'"4"')),
        newest_body(item=ITEM.replace(b"4", b"1099511627776")),
        newest_body(item=ITEM.replace(b'"a"', b"null")),
        newest_body(item=ITEM.replace(b'"MQ=="', b"7")),
        b'{"generation": 1e400, "parts": []}',
        b'{"generation": -1, "parts": []}',
        b'{"generation": true, "parts": []}',
        b'{"generation": 16777216, "parts": []}',
        b'{"generation": 1, "parts": [["domains", 1e400, 0]]}',
        b'{"generation": 1, "parts": [["domains", "0", 0]]}',
        b'{"generation": 1, "parts": [["another", 0, 0]]}',
        b'{"generation": 1, "parts": [[]]}',
        b'{"generation": 1, "parts": {"domains": 0}}',
        b'{"generation": 1}',
    ],
)
async def test_malformed_responses_raise_store_errors(body):
    """Any other exception would end the task that follows the topic."""
    async with fixed_response(200, body) as store_client:
        with pytest.raises(interfaces.StoreError):
            await store_client.newest(CONFIGURATION)
        with pytest.raises(interfaces.StoreError):
            await store_client.join("a", 1_000, 0)


async def test_partitions_move_only_with_a_new_generation():
    """Two owners of a domain would send conflicting orders."""
    async with client(partitions=2) as (_, store_client):
        first = await store_client.join("a", 60_000, 0)
        assert first.partitions == {0, 1}
        second = await store_client.join("b", 60_000, 0)
        assert (
            second.partitions == frozenset()
            and second.generation > first.generation
        )
        # By confirming the newer generation the owner releases a partition.
        assert (
            await store_client.join("a", 60_000, second.generation)
        ).partitions == {0}
        assert (
            await store_client.join("b", 60_000, second.generation)
        ).partitions == {1}
        await store_client.leave("a")
        third = await store_client.join("b", 60_000, second.generation)
        assert third.generation > second.generation
        assert third.partitions == {0, 1}


@contextlib.asynccontextmanager
async def running_feed(stand_in, store_client, topic, apply_record, **changes):
    """Runs a feed of a topic over the client; waits for its first read."""
    options = {"wait_ms": 100, "interval_ms": 0, **changes}
    topic_feed = feed.Feed(
        store_client, topic, clocks.SystemClock(), apply_record, **options
    )
    task = asyncio.create_task(topic_feed.run())
    await parts.wait_until(lambda: topic_feed.complete_offset >= 0)
    try:
        yield topic_feed
    finally:
        task.cancel()


async def test_records_after_a_restoration_of_the_store_are_applied():
    """Restored stores give out offsets again, with newer records at them.

    A gateway that took those for records that it has already read would keep
    an old configuration in force until the offsets have caught up.
    """
    async with client() as (stand_in, store_client):
        for version in (b"1", b"2", b"3"):
            await stand_in.put(names.CONFIGURATION_TOPIC, "config", version)
        applied = []
        async with running_feed(
            stand_in,
            store_client,
            CONFIGURATION,
            lambda record: applied.append(record.value),
        ):
            await stand_in.restore({names.CONFIGURATION_TOPIC: 1}, 1)
            await stand_in.put(names.CONFIGURATION_TOPIC, "config", b"4")
            await parts.wait_until(lambda: b"4" in applied, limit_s=5)


async def test_restored_store_is_not_read_without_pause():
    """A read beyond the restored end is refused at once, each time."""
    async with client() as (stand_in, store_client):
        for version in (b"1", b"2", b"3"):
            await stand_in.put(names.CONFIGURATION_TOPIC, "config", version)
        async with running_feed(
            stand_in, store_client, CONFIGURATION, lambda record: None
        ):
            await stand_in.restore({names.CONFIGURATION_TOPIC: 1}, 1)
            await parts.wait_until(lambda: "/log-newest" in stand_in.calls)
            stand_in.calls.clear()
            await parts.wait_until(lambda: len(stand_in.calls) >= 10)
            assert stand_in.calls.count("/log-newest") <= 1


async def test_generations_increase_across_a_restoration():
    """Workers would refuse the orders of an owner with a lower generation."""
    async with client(partitions=2) as (stand_in, store_client):
        first = await store_client.join("a", 60_000, 0)
        await store_client.join("b", 60_000, first.generation)
        known = await store_client.join("a", 60_000, first.generation)
        await stand_in.restore({}, 0)
        after = await store_client.join("a", 60_000, known.generation)
        assert after.generation > known.generation
        assert after.partitions == {0, 1}
        # The store would take a generation of before the restoration for the
        # confirmation of later assignments.
        assert stand_in.members["a"].generation <= stand_in.generation
        await store_client.join("a", 60_000, after.generation)
        assert stand_in.members["a"].generation == stand_in.generation


async def test_restoration_between_two_pages_starts_the_read_again():
    """The pages would mix records of two eras."""
    async with client() as (stand_in, store_client):
        for key in ("a", "b", "c"):
            await stand_in.put(names.WORKERS_TOPIC, key, b"1")

        async def restore():
            stand_in.between_pages = None
            await stand_in.restore({names.WORKERS_TOPIC: 3}, 1)

        stand_in.between_pages = restore
        with pytest.raises(interfaces.HistoryGoneError):
            await store_client.newest(interfaces.Topic.WORKERS)
        page = await store_client.newest(interfaces.Topic.WORKERS)
        assert {positions.era_of(r.offset) for r in page.records} == {1}


async def test_read_from_a_position_before_a_restoration_is_refused():
    """The offset may hold another record by then."""
    async with client() as (stand_in, store_client):
        for number in range(3):
            await stand_in.put(names.WORKERS_TOPIC, "a", b"%d" % number)
        page = await store_client.read(interfaces.Topic.WORKERS, 0, 0)
        await stand_in.restore({names.WORKERS_TOPIC: 3}, 1)
        await stand_in.put(names.WORKERS_TOPIC, "a", b"new")
        with pytest.raises(interfaces.HistoryGoneError, match="era"):
            await store_client.read(
                interfaces.Topic.WORKERS, page.end_offset, 0
            )


@pytest.mark.parametrize(
    "era", ["x", "-1", "1.5", "\u00b2", "4194304", "9" * 5_000]
)
async def test_answer_with_a_malformed_era_is_rejected(era):
    """Its records would get wrong positions."""

    async def handle(request):
        return web.Response(body=bytes(16), headers={names.STORE_ERA: era})

    async with running_handler(handle, 2_000) as store_client:
        with pytest.raises(interfaces.StoreError, match="era"):
            await store_client.read(CONFIGURATION, 0, 0)


@pytest.mark.parametrize("repeats", [False, True])
async def test_pages_without_end_are_given_up(repeats, monkeypatch):
    """A store that always has more pages would use up the gateway's memory."""
    monkeypatch.setattr(store, "MAX_PAGES", 5)
    calls = []

    async def handle(request):
        calls.append(request.query.get("start_after"))
        key = b"a" if repeats else b"k%d" % len(calls)
        return web.Response(
            body=newest_body(
                item=ITEM.replace(b'"a"', b'"%b"' % key), more=b"true"
            )
        )

    async with running_handler(handle, 2_000) as store_client:
        with pytest.raises(interfaces.StoreError, match="pages"):
            await store_client.newest(CONFIGURATION)
    assert len(calls) == (2 if repeats else 5)


async def test_a_topic_that_is_too_large_is_given_up(monkeypatch):
    """Pages within their limit add up to more than the memory holds."""
    monkeypatch.setattr(store, "MAX_TOPIC_BYTES", 1_000)
    calls = []

    async def handle(request):
        calls.append(1)
        item = b'{"key": "k%d", "value": "%b", "offset": 4}' % (
            len(calls),
            b"MTIz" * 100,
        )
        return web.Response(body=newest_body(item=item, more=b"true"))

    async with running_handler(handle, 2_000) as store_client:
        with pytest.raises(interfaces.StoreError, match="too large"):
            await store_client.newest(CONFIGURATION)
    assert len(calls) == 3


async def test_a_key_that_no_record_can_hold_is_refused():
    """The error ended the task in place of the call."""
    async with client() as (_, store_client):
        with pytest.raises(interfaces.StoreRefusedError, match="key"):
            await store_client.put(GATEWAYS, "k" * 256, b"1")


@pytest.mark.parametrize("kind", endless.ENDLESS_FRAMING)
async def test_endless_framing_is_given_up(kind, monkeypatch):
    """The call read gigabytes until its timeout, beside all requests."""
    monkeypatch.setattr(store, "MAX_CONNECTION_BYTES", 1_000_000)
    async with endless.running_framing(kind) as framing_server:
        store_client = store.HttpStore(framing_server.address, 1, 5_000)
        await store_client.start()
        with pytest.raises(interfaces.StoreError, match="too large"):
            await store_client.read(CONFIGURATION, 0, 0)
        assert framing_server.sent < 64_000_000
        await store_client.close()


async def test_answers_of_one_connection_are_limited_one_by_one():
    """A kept connection would end in the middle of a sound answer."""
    record = struct.pack(">QQI", 1, 0, 400_002) + b"\x01k" + bytes(400_000)
    connections = set()

    async def handle(request):
        connections.add(request.transport)
        return web.Response(body=record)

    async with running_handler(handle, 2_000) as store_client:
        for _ in range(60):
            page = await store_client.read(CONFIGURATION, 0, 0)
            assert page.end_offset == 1
    assert len(connections) == 1
