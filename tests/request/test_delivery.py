"""Tests of responses that upstreams send late, twice or in place of others."""

import asyncio
import contextlib

import pytest

from tests import serving_path
from tests.gateway import scripted_worker

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
REQUEST = {"model": "model", "prompt": "p", "max_tokens": 3, "stream": True}


def answer(body, request_id="", status=200, not_run=False):
    """Returns the bytes of an upstream's answer."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    if request_id:
        lines.append(f"Oleanderbay-Request-Id: {request_id}")
    if not_run:
        lines.append("Oleanderbay-Outcome: not-run")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def own(body, **changes):
    """Returns a step that answers a request by its id."""

    def step(request, writer):
        request_id = request.header("Oleanderbay-Request-Id")
        return answer(body, request_id, **changes)

    return step


@contextlib.asynccontextmanager
async def running(service, *scripts, **upstreams_config):
    async with serving_path.running(upstreams=upstreams_config) as path:
        upstreams = []
        for script in scripts:
            upstream = scripted_worker.ScriptedWorker(*script)
            await upstream.start()
            path.eligible.put(service, upstream.address)
            upstreams.append(upstream)
        try:
            yield path, upstreams
        finally:
            for upstream in upstreams:
                await upstream.close()


def begin_stream(request, writer):
    """Writes the first event of a stream and breaks it off."""
    request_id = request.header("Oleanderbay-Request-Id")
    event = f"id: {request_id}/0/0\ndata: {{}}\n\n".encode()
    return STREAM_HEAD + b"%x\r\n%b\r\n" % (len(event), event)


# A stream had begun and broke off; the head and the body of the next
# upstream's error came in the middle of it.
@pytest.mark.parametrize("status", [200, 400, 404, 409, 422, 500, 503])
@pytest.mark.parametrize("not_run", [False, True])
async def test_an_error_does_not_follow_a_stream_that_has_begun(
    status, not_run
):
    error = answer(
        b'{"error": "no such model"}', status=status, not_run=not_run
    )
    script = [begin_stream, error]
    async with running("model", list(script), list(script)) as (path, _):
        async with path.client.post(
            f"http://{path.address}/v1/completions",
            headers=serving_path.HEADERS,
            json=REQUEST,
        ) as response:
            body = await response.content.read()
        assert response.status == 200
        assert b"HTTP/1.1" not in body and b"no such model" not in body
        # An explicit error event is how a stream that failed ends.
        assert b"event: error" in body and b"[DONE]" not in body


async def _after_head(request, writer, late):
    """Writes a late answer once the request has been read."""
    writer.write(late)
    await writer.drain()
    return own(b"second")(request, writer)


# An upstream sent a second copy of an answer on a connection that was in use
# again, and the next caller got it.
@pytest.mark.parametrize(
    "late",
    [
        answer(b"first"),
        answer(b"first", "another"),
        answer(b"busy", status=503, not_run=True),
        answer(b"busy", "another", status=503, not_run=True),
        answer(b"no", "another", status=404),
    ],
)
@pytest.mark.parametrize("echoes", [False, True])
async def test_a_late_answer_does_not_answer_the_next_request(late, echoes):
    async def second(request, writer):
        return await _after_head(request, writer, late)

    first = own(b"first") if echoes else answer(b"first")
    script = [first, first, *[own(b"second")] * 4]
    if echoes:
        script.insert(2, second)
    async with running("plain", script) as (path, upstreams):
        for _ in range(2):
            assert (await path.call("/s/plain/x", data=b"b"))[2] == b"first"
        status, _, body = await path.call("/s/plain/x", data=b"b")
        assert (status, body) == (200, b"second")
        used = [request.connection for request in upstreams[0].received]
        # Without the id nothing would tell a late answer from the right one.
        assert used[:3] == ([0, 1, 1] if echoes else [0, 1, 2])


async def test_an_early_copy_closes_the_connection_before_it_is_used():
    """Bytes on an idle connection belong to no request."""

    async def first(request, writer):
        mine = own(b"first")(request, writer)
        writer.write(mine)
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.write(mine)
        await writer.drain()

    script = [own(b"first"), first, *[own(b"second")] * 2]
    async with running("plain", script) as (path, upstreams):
        for _ in range(2):
            assert (await path.call("/s/plain/x", data=b"b"))[2] == b"first"
        await asyncio.sleep(0.1)
        status, _, body = await path.call("/s/plain/x", data=b"b")
        assert (status, body) == (200, b"second")
        assert upstreams[0].received[-1].connection > 1


@pytest.mark.parametrize("piece", [b"x", b": alive\n\n"])
async def test_bytes_that_complete_no_event_do_not_prolong_a_stall(piece):
    """A stalled stream that sent a byte now and then lasted for minutes."""

    async def stall(request, writer):
        writer.write(begin_stream(request, writer))
        while not writer.is_closing():
            await asyncio.sleep(0.02)
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            await writer.drain()

    async def finish(request, writer):
        request_id = request.header("Oleanderbay-Request-Id")
        position = request.header("Oleanderbay-Resume-From")
        event = f"id: {request_id}/1/{position}\ndata: {{}}\n\n".encode()
        rest = event + b"data: [DONE]\n\n"
        return STREAM_HEAD + b"%x\r\n%b\r\n0\r\n\r\n" % (len(rest), rest)

    scripts = [[stall, finish]]
    async with running("model", *scripts, stall_ms=4_000) as (path, upstreams):
        body = (await path.call("/v1/completions", json=REQUEST))[2]
        assert body.endswith(b"data: [DONE]\n\n") and b"error" not in body
        assert len(upstreams[0].received) == 2
