"""Tests of links between peers over in-memory connections."""

import asyncio
import dataclasses
import random

import pytest

from oleanderbay.connection import frames, peer
from oleanderbay.process import clock as clocks
from oleanderbay.process import interfaces
from oleanderbay.process.membership import peers


class Pipe:
    """One direction of a connection; also its sending end's transport."""

    def __init__(self):
        self.reader = asyncio.StreamReader()
        self.lost = False
        self.closed = False
        self.transport = self

    def write(self, data):
        if not self.lost and not self.closed:
            self.reader.feed_data(data)

    async def drain(self):
        pass

    def close(self):
        if not self.closed and not self.lost and not self.reader.at_eof():
            self.reader.feed_eof()
        self.closed = True

    abort = close


class Fabric:
    """Lets `Peers` dial each other; keeps all pipes to break them."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.peers = {}
        self.pipes = []
        self.tasks = []
        self.refused = set()

    def add(self, id, run="1"):
        me = interfaces.Entry(
            id=id,
            start_id=f"{id}-{run}",
            zone="a",
            caller_address="",
            peer_address=id,
        )

        async def dial(address):
            if (id, address) in self.refused or address not in self.peers:
                raise ConnectionRefusedError(address)
            there, back = Pipe(), Pipe()
            self.pipes += [there, back]
            self.tasks.append(
                asyncio.create_task(
                    self.peers[address].accept(there.reader, back)
                )
            )
            return back.reader, there

        made = peers.Peers(me, self.clock, random.Random(id), dial=dial)
        self.peers[id] = made
        return made

    async def start(self, *ids):
        made = [self.add(id) for id in ids]
        for one in made:
            await one.start()
            one.set_targets((id, id) for id in ids)
        await self.clock.advance(2_000)
        return made

    async def close(self):
        for one in self.peers.values():
            await one.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def echo(entry, body):
    return [entry.id, body]


async def test_request_send_and_broadcast():
    """Messages must reach the handler with the sender's identity."""
    fabric = Fabric()
    a, b, c = await fabric.start("a", "b", "c")
    got = []

    async def take(entry, body):
        got.append((entry.id, body))

    for one in (a, b, c):
        one.register("echo", echo)
        one.register("take", take)
    assert await a.request("b-1", "echo", 7, 1_000) == ["a", 7]
    assert await b.request("a-1", "echo", 8, 1_000) == ["b", 8]
    a.broadcast("take", 1)
    c.send("a-1", "take", 2)
    c.send("nobody", "take", 3)
    await fabric.clock.advance(10)
    assert sorted(got) == [("a", 1), ("a", 1), ("c", 2)]
    for start_id, kind in (("nobody", "echo"), ("b-1", "unknown")):
        with pytest.raises(interfaces.PeerError):
            await a.request(start_id, kind, 1, 1_000)
    await fabric.close()


async def test_failing_handler_does_not_end_the_link():
    """One malformed message must not cost the messages of all others."""
    fabric = Fabric()
    a, b = await fabric.start("a", "b")

    async def fail(entry, body):
        raise KeyError("field")

    b.register("fail", fail)
    b.register("echo", echo)
    a.send("b-1", "fail", {})
    with pytest.raises(interfaces.PeerError):
        await a.request("b-1", "fail", {}, 1_000)
    assert await a.request("b-1", "echo", 1, 1_000) == ["a", 1]
    await fabric.close()


async def test_silent_connection_is_replaced_before_the_peer_is_dead():
    """A path that lost the connection's state must not look like a death."""
    fabric = Fabric()
    a, b = await fabric.start("a", "b")
    a.register("echo", echo)
    b.register("echo", echo)
    downs = []
    a.on_link(lambda entry, up: downs.append((fabric.clock.now_ms(), up)))
    first = a.links["b-1"]
    for pipe in fabric.pipes:
        pipe.lost = True
    lost_ms = first.received_ms
    while a.links["b-1"] is first:
        await fabric.clock.advance(50)
        assert fabric.clock.now_ms() - lost_ms < 1_500
    assert await a.request("b-1", "echo", 1, 100) == ["a", 1]
    assert await b.request("a-1", "echo", 2, 100) == ["b", 2]
    assert downs == []
    assert first.closed
    await fabric.close()


async def test_higher_id_dials_when_the_lower_can_not():
    """A one-way block of connections must not keep two entries apart."""
    fabric = Fabric()
    fabric.refused.add(("a", "b"))
    a, b = await fabric.start("a", "b")
    a.register("echo", echo)
    assert not a.links["b-1"].dialed
    assert await b.request("a-1", "echo", 1, 1_000) == ["b", 1]
    await fabric.close()


async def test_new_start_of_an_entry_replaces_the_old_link():
    """Messages for a process that is gone must not go to its successor."""
    fabric = Fabric()
    a, b = await fabric.start("a", "b")
    await b.stop()
    again = fabric.add("b", "2")
    await again.start()
    again.set_targets([("a", "a")])
    await fabric.clock.advance(3_000)
    assert list(a.links) == ["b-2"]
    with pytest.raises(interfaces.PeerError):
        await a.request("b-1", "echo", 1, 100)
    await fabric.close()


HELLO = peer.Hello(
    id="x", start_id="x-1", zone="a", caller_address="", peer_address="x"
)


@pytest.mark.parametrize(
    "frame, reason",
    [
        (
            ["hello", 0, {"oldest_version": 9, "newest_version": 9}],
            "protocol versions",
        ),
        (["hello", 0, {"start_id": "a-1"}], "itself"),
        (["hello", 0, {"start_id": ""}], "empty"),
        (["hello", 0, {"attempt": "1"}], "wrong type"),
        (["hello", 0, {"zone": "z" * 300}], "too long"),
        (["heartbeat", 0, {}], "expected a handshake"),
    ],
)
async def test_other_peers_are_refused(frame, reason):
    """A peer of another protocol version must be told why."""
    fabric = Fabric()
    (a,) = await fabric.start("a")
    kind, request_id, changed = frame
    there, back = Pipe(), Pipe()
    there.write(
        frames.encode(
            kind, request_id, {**dataclasses.asdict(HELLO), **changed}
        )
    )
    await a.accept(there.reader, back)
    assert back.closed and a.links == {}
    if reason in ("protocol versions", "itself"):
        answer = await frames.read(back.reader)
        assert answer.kind == "refuse" and reason in answer.body
    await fabric.close()


async def test_silent_dialer_is_dropped_and_a_full_queue_refuses():
    """An idle or slow peer must not hold memory without bound."""
    fabric = Fabric()
    (a,) = await fabric.start("a")
    there, back = Pipe(), Pipe()
    task = asyncio.create_task(a.accept(there.reader, back))
    await fabric.clock.advance(1_100)
    assert task.done() and back.closed
    link = peer.Link(
        there.reader,
        back,
        clock=fabric.clock,
        remote=HELLO,
        dialed=True,
        attempt=1,
        handler=echo,
        limits=peer.LinkLimits(queue_frames=2),
    )
    assert [link.send("k", 1) for _ in range(3)] == [True, True, False]
    with pytest.raises(peer.LinkBusyError):
        await link.request("k", 1, 10)
    link.close()
    with pytest.raises(peer.LinkClosedError):
        await link.request("k", 1, 10)
    await fabric.close()


async def test_links_over_tcp():
    """The real listener and dialer must fit together."""
    clock = clocks.SystemClock()
    made = []
    for id in ("a", "b"):
        me = interfaces.Entry(
            id=id,
            start_id=f"{id}-1",
            zone="a",
            caller_address="",
            peer_address="",
        )
        one = peers.Peers(
            me, clock, random.Random(id), listen_address="127.0.0.1:0"
        )
        one.register("echo", echo)
        await one.start()
        made.append(one)
    a, b = made
    linked = asyncio.Event()
    a.on_link(lambda entry, up: linked.set())
    a.set_targets([("b", b.listen_address)])
    await asyncio.wait_for(linked.wait(), 10)
    assert await a.request("b-1", "echo", b"x", 5_000) == ["a", b"x"]
    await a.stop()
    await b.stop()
