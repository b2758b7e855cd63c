"""Records what a version of gateways sends to others and stores.

Runs with the package and the tests of that version, so that later versions
can show that they still read its messages:

    git archive COMMIT oleanderbay tests | tar -x -C FOLDER
    cd FOLDER && PYTHONPATH=. python REPOSITORY/tests/gateway/capture_forms.py \
        > REPOSITORY/tests/gateway/forms/COMMIT.json
"""

import asyncio
import base64
import collections
import contextlib
import importlib
import json
import logging
import sys
import types

import aiohttp
import structlog

from oleanderbay.connection import frames
from oleanderbay.gateway import (
    domain_ownership,
    fetching,
    peers,
    shared_reads,
    summaries,
)
from oleanderbay.platform import names
from oleanderbay.process import clock as clocks
from tests.gateway import parts, test_peers

try:
    from tests.gateway import site
except ImportError:
    # Up to 1718494, the module of its tests held the site.
    from tests.gateway import test_entry as site

# Kinds of datagrams by a key that only they have.
DATAGRAM_KEYS = {"summaries": "summaries", "lists": "lists request"}
# Keys of heartbeats that hold something only at times.
OPTIONAL_KEYS = {
    "crashes",
    "limits",
    "request_crashes",
    "request_survived",
    "survived",
}


def main():
    """Prints the messages by kind, in base64."""
    logging.disable(logging.CRITICAL)
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    captured = asyncio.run(capture())
    json.dump(
        {
            kind: base64.b64encode(data).decode()
            for kind, data in sorted(captured.items())
        },
        sys.stdout,
        indent=1,
    )
    print()


async def capture():
    """Returns one message of each kind."""
    captured, frame_counts = {}, collections.Counter()
    encode, send = frames.encode, peers.Peers._send

    def keep(kind, data):
        """Keeps the longest message, which leaves out the least."""
        if len(data) >= len(captured.get(kind, b"")):
            captured[kind] = data

    def record_frame(kind, request_id, body, *arguments):
        data = encode(kind, request_id, body, *arguments)
        frame_counts[kind] += 1
        # A request of each kind comes before its answer.
        part = "request" if frame_counts[kind] == 1 else "answer"
        keep(f"{kind} {part}", data)
        return data

    def record_datagram(sender, host, packed):
        body = peers.msgpack.unpackb(packed)
        for key, kind in DATAGRAM_KEYS.items():
            if key in body:
                keep(kind, packed)
                break
        else:
            optional = sorted(OPTIONAL_KEYS & body.keys())
            keep(" ".join(("heartbeat", *optional)), packed)
        send(sender, host, packed)

    frames.encode, peers.Peers._send = record_frame, record_datagram
    try:
        async with contextlib.AsyncExitStack() as stack:
            await _exchange(stack, captured)
    finally:
        frames.encode, peers.Peers._send = encode, send
    captured["decisions"] = json.dumps(decisions()).encode()
    return captured


def decisions():
    """Returns what gateways decide alone and have to decide alike."""
    ids = [f"g{number}" for number in range(12)]
    gateway = test_peers.make_gateway("g1", "127.0.0.1")
    for number in range(2, 9):
        gateway.add_address(f"127.0.0.{number}", f"g{number}")
    listed = [
        summaries.ListedGateway(name, "s", "h", "h:1", True, False, False)
        for name in ids
    ]
    return {
        "relays": {
            zone: summaries.choose_relays(zone, ids) for zone in ("z1", "z2")
        },
        "list digest": summaries.digest(listed),
        "reader": {zone: _reader(zone, ids) for zone in ("z1", "z2")},
        "rank": {name: gateway.rank(name) for name in ("w1", "w2", "w3")},
        "partition": {
            name: _partition(name) for name in ("d1", "d2", "chat/d1")
        },
    }


def _reader(zone, ids):
    """Returns the ids in the order in which they become the zone's reader."""
    election = shared_reads.ReaderElection(
        "", zone, None, {}, {}, lambda: False, 0
    )
    return sorted(ids, key=election._rank)


def _partition(domain):
    """Returns the partition whose owner orders the workers of a domain."""

    def owns(number):
        member = types.SimpleNamespace(
            clock=clocks.ManualClock(),
            confirmed_ms=0,
            leaving=False,
            suspended=lambda: False,
            refused_generation=0,
            generation=1,
            ttl_ms=1_000,
            store=types.SimpleNamespace(partitions=24),
            partitions={number},
        )
        return domain_ownership.DomainOwnership.owns(member, domain)

    return [number for number in range(24) if owns(number)]


async def _exchange(stack, captured):
    """Makes two gateways send each kind of message."""
    fleet = site.Site()
    await fleet.start(stack)
    await fleet.wait_for_groups()
    first, second = fleet.gateways
    # Heartbeats then hold requests in flight, demand, a crash, a limit and a
    # lost worker.
    for worker in fleet.workers:
        worker.hold_after = 1
        worker.rate_limit = "1"
    calls = [
        asyncio.create_task(fleet.call(gateway, "/stream/a"))
        for gateway in fleet.gateways
    ]
    await asyncio.sleep(0.3)
    for worker in fleet.workers:
        worker.hold_after = -1
        worker.released.set()
    await asyncio.gather(*calls, return_exceptions=True)
    for worker in fleet.workers:
        worker.crashing_part = "aa"
    with contextlib.suppress(aiohttp.ClientError):
        await fleet.call(first, "/stream/a", prompt="aa:100")
    await asyncio.sleep(0.2)
    await fleet.workers[-1].close()
    await asyncio.sleep(0.5)
    host = second.config.entry.host
    reader, writer = await first.peers.fetcher.connect(host)
    writer.write(frames.encode(fetching.RECORDS, 1, ["workers", 0]))
    await frames.read(reader)
    writer.close()
    reader, writer = await first.peers.fetcher.connect(host)
    writer.write(frames.encode(shared_reads.SUBSCRIBE, 1, [0, 0]))
    await frames.read(reader)
    writer.close()
    # Earlier versions have no tunnels.
    with contextlib.suppress(ImportError):
        tunnels = importlib.import_module("oleanderbay.gateway.tunnels")
        worker = next(iter(first.gateway_state.workers.values()))
        sock = await tunnels.open_tunnel(
            host, first.config.peers.port, first.config.entry.host, worker
        )
        sock.close()
    builder = first.peers.summary_builder
    offsets = {n: f.offset for n, f in first.peers.feeds.items()}
    summary = builder.build_own(first.peers.get_contents(), offsets, 0, 200)
    first.peers._send(host, first.peers._pack([summary], False))
    first.peers._request_list(first.config.entry.zone, host)
    for kind in ("parts", "requests"):
        first.quarantine_records._record_change(kind, frozenset("ab"), True)
    topics = fleet.store.topics
    await parts.wait_until(
        lambda: len(topics.get(names.QUARANTINE_TOPIC, ())) >= 2
    )
    for content in topics[names.QUARANTINE_TOPIC]:
        captured[f"quarantine of {_value(content)['kind']}"] = content
    captured["address"] = topics[names.GATEWAYS_TOPIC][0]


def _value(content):
    return json.loads(content[1 + content[0] :])


if __name__ == "__main__":
    main()
