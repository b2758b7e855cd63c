"""Tests of the link between two entries over a socket."""

import asyncio
import contextlib

import pytest

from oleanderbay.connection import frames, peer
from oleanderbay.process import clock as clocks

HELLO = peer.Hello(
    id="e1",
    start_id="s1",
    **{
        name: "x"
        for name in peer._IDENTITY_FIELDS
        if name not in ("id", "start_id")
        and peer.Hello.__dataclass_fields__[name].type is str
    },
)
LIMITS = peer.LinkLimits(silent_ms=400)
BODY = b"x" * 300_000


@contextlib.asynccontextmanager
async def running_link(serve):
    """Runs a link to a peer that is played by a function."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)

    async def refuse(link, kind, body):
        raise peer.LinkError("nothing is asked here")

    link = peer.Link(
        reader,
        writer,
        clock=clocks.SystemClock(),
        remote=HELLO,
        dialed=True,
        attempt=0,
        handler=refuse,
        limits=LIMITS,
    )
    task = asyncio.create_task(link.run())
    try:
        yield link
    finally:
        link.close()
        await task
        server.close()


async def _write_slowly(writer, data, pieces, interval_s):
    size = -(-len(data) // pieces)
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await writer.drain()
        await asyncio.sleep(interval_s)


# Incident inc1: an answer that arrives slowly was given up again and again, and
# the link was taken for silent while it carried the answer.
async def test_an_answer_that_is_arriving_is_waited_for():
    silent = []

    async def serve(reader, writer):
        request = await frames.read(reader)
        answer = frames.encode("answer", request.request_id, BODY)
        await _write_slowly(writer, answer, 20, 0.05)

    async with running_link(serve) as link:
        request = asyncio.create_task(link.request("records", [], 300))
        while not request.done():
            silent.append(link.silent)
            await asyncio.sleep(0.02)
        assert await request == BODY
        assert not any(silent)


@pytest.mark.parametrize("size", [0, 100])
async def test_an_answer_that_stops_arriving_is_given_up(size):
    """A peer that falls silent must not hold up its reader."""

    async def serve(reader, writer):
        request = await frames.read(reader)
        answer = frames.encode("answer", request.request_id, BODY)
        writer.write(answer[:size])
        await reader.read()

    async with running_link(serve) as link:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(20):
                await link.request("records", [], 200)
        assert not link._waiting


async def test_other_messages_do_not_prolong_the_wait_for_an_answer():
    """A busy link whose peer does not answer would be waited for for good."""

    async def serve(reader, writer):
        while not writer.is_closing():
            writer.write(frames.encode("ping", 0, None))
            await writer.drain()
            await asyncio.sleep(0.02)

    async with running_link(serve) as link:
        with pytest.raises(TimeoutError, match="nothing happened"):
            async with asyncio.timeout(20):
                await link.request("records", [], 200)
