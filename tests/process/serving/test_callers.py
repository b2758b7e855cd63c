"""Tests for the caller listener: invalid input is refused as not run."""

import asyncio
import contextlib
import json
import os
import socket

import hypothesis
import multidict
import pytest
from hypothesis import strategies

from oleanderbay.connection import caller, hops, http
from oleanderbay.process import clock as clocks
from oleanderbay.process.serving import callers
from oleanderbay.request import outcome
from tests import serving_path

PROMPT = {"model": "model", "prompt": "p"}


def _check_refused(response, status, reason):
    """Checks the outcome header and the error body of a refusal."""
    assert response[0] == status
    assert response[1]["Oleanderbay-Outcome"] == "not-run"
    error = json.loads(response[2])["error"]
    assert error["outcome"] == "not-run"
    assert error["code"] == reason
    assert error["request_id"] == response[1]["Oleanderbay-Request-Id"]
    assert b"Traceback" not in response[2]


async def _exchange_bytes(path, data, half_close=True):
    """Sends bytes and returns everything received until the end."""
    host, port = path.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    if half_close:
        writer.write_eof()
    received = await reader.read()
    writer.close()
    return received


@pytest.mark.parametrize(
    ("headers", "reason", "status"),
    [
        ({"Oleanderbay-Fleet": "other"}, "unknown_fleet", 404),
        ({"Oleanderbay-Team": "other"}, "unknown_team", 404),
        ({"Oleanderbay-Fleet": ""}, "bad_request", 400),
        ({"Oleanderbay-Team": "x" * 200}, "bad_request", 400),
        ({"Oleanderbay-Priority": "10"}, "bad_request", 400),
        ({"Oleanderbay-Priority": "\u0661"}, "bad_request", 400),
        ({"Oleanderbay-Deadline-Ms": "-1"}, "bad_request", 400),
        ({"Oleanderbay-Deadline-Ms": "soon"}, "bad_request", 400),
        ({"Oleanderbay-Deadline-Ms": "9" * 40}, "bad_request", 400),
        ({"Oleanderbay-Deadline-Ms": "0"}, "deadline", 504),
        ({"Oleanderbay-Idempotent": "maybe"}, "bad_request", 400),
        ({"Idempotency-Key": "k" * 300}, "bad_request", 400),
        ({"Idempotency-Key": "k"}, "bad_request", 400),
        ({"Idempotency-Key": "tk.nonsense:k"}, "bad_request", 400),
        ({"Idempotency-Key": "tk.1.n.s"}, "bad_request", 400),
        (
            {"Idempotency-Key": "k", "Oleanderbay-Key-Issued-Ms": "x"},
            "bad_request",
            400,
        ),
    ],
)
async def test_invalid_headers_are_refused_as_not_run(headers, reason, status):
    """A misread header would run a request for the wrong team."""
    async with (
        serving_path.running() as path,
        serving_path.plain_service(path) as service,
    ):
        response = await path.call("/s/plain/x", headers=headers, data=b"b")
        _check_refused(response, status, reason)
        assert not service.executions


@pytest.mark.parametrize(
    ("target", "body", "reason", "status"),
    [
        ("/v1/completions", b"{", "bad_request", 400),
        ("/v1/completions", b"\xff\xfe", "bad_request", 400),
        ("/v1/completions", b"[" * 100_000, "bad_request", 400),
        ("/v1/completions", b"[]", "bad_request", 400),
        ("/v1/completions", {"prompt": "p"}, "bad_request", 400),
        ("/v1/completions", {"model": 1, "prompt": "p"}, "bad_request", 400),
        ("/v1/completions", {**PROMPT, "prompt": 1}, "bad_request", 400),
        ("/v1/completions", {**PROMPT, "prompt": []}, "bad_request", 400),
        ("/v1/completions", {**PROMPT, "stream": "yes"}, "bad_request", 400),
        ("/v1/completions", {**PROMPT, "max_tokens": True}, "bad_request", 400),
        ("/v1/completions", {**PROMPT, "max_tokens": 0}, "bad_request", 400),
        ("/v1/completions", {**PROMPT, "model": "x"}, "unknown_service", 404),
        ("/v1/completions", {**PROMPT, "model": "plain"}, "bad_request", 404),
        ("/v1/chat/completions", PROMPT, "bad_request", 400),
        (
            "/v1/chat/completions",
            {"model": "model", "messages": [{"content": "c"}]},
            "bad_request",
            400,
        ),
        (
            "/v1/chat/completions",
            {"model": "model", "messages": [{"role": "u", "content": 1}]},
            "bad_request",
            400,
        ),
        ("/v1/unknown", b"", "bad_request", 404),
        ("/s/absent/x", b"", "unknown_service", 404),
        ("/s/model/x", b"", "bad_request", 404),
        ("/s/", b"", "bad_request", 404),
    ],
)
async def test_invalid_requests_are_refused_as_not_run(
    target, body, reason, status
):
    """An engine would respond to these with errors of its own."""
    async with serving_path.running() as path:
        data = body if isinstance(body, bytes) else json.dumps(body)
        _check_refused(await path.call(target, data=data), status, reason)


async def test_oversized_bodies_are_refused_with_and_without_a_length():
    """A body without a length must be counted while it is read."""

    async def parts():
        for _ in range(20):
            yield b"x" * 1_000

    async with (
        serving_path.running(
            callers={
                "max_body_bytes": 10_000,
                "keyed_body_bytes": 5_000,
                "buffer_bytes": 100,
            }
        ) as path,
        serving_path.plain_service(path) as service,
    ):
        for target in ("/v1/completions", "/s/plain/x"):
            for body in (b"x" * 20_000, parts()):
                response = await path.call(target, data=body)
                assert response[0] == 413
                assert json.loads(response[2])["error"]["code"] == "too_large"
        key = {
            "Idempotency-Key": f"{path.served.idempotency.issue_ticket()}:k",
        }
        response = await path.call("/s/plain/x", headers=key, data=b"x" * 6_000)
        _check_refused(response, 413, "too_large")
        assert not service.executions


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01\x02\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
        b"GET / HTTP/1.1\r\nA: " + b"x" * 40_000 + b"\r\n\r\n",
        b"GET /" + b"x" * 40_000 + b" HTTP/1.1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        b"Content-Length: 3\r\n\r\n",
    ],
)
async def test_malformed_http_is_refused_without_affecting_others(data):
    """A parser error must not affect other callers or expose a traceback."""
    async with (
        serving_path.running() as path,
        serving_path.plain_service(path),
    ):
        received = await _exchange_bytes(path, data, half_close=False)
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 4") or head.startswith(b"HTTP/1.0 4")
        assert b"Oleanderbay-Outcome: not-run" in head
        assert json.loads(body)["error"]["outcome"] == "not-run"
        assert (await path.call("/s/plain/x"))[0] == 200


async def test_a_body_that_is_cut_off_never_runs():
    """A service must not execute a truncated request."""
    async with (
        serving_path.running() as path,
        serving_path.plain_service(path) as service,
    ):
        await _exchange_bytes(
            path,
            b"POST /s/plain/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n"
            b"Oleanderbay-Fleet: fleet\r\nOleanderbay-Team: team\r\n\r\nhalf",
        )
        assert not service.executions
        assert (await path.call("/s/plain/x"))[0] == 200


async def test_a_body_that_never_arrives_is_refused_at_the_deadline():
    """A caller that stops sending must not keep a request open forever."""
    async with serving_path.running() as path:
        received = await _exchange_bytes(
            path,
            b"POST /s/plain/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n"
            b"Oleanderbay-Deadline-Ms: 4000\r\nConnection: close\r\n"
            b"Oleanderbay-Fleet: fleet\r\nOleanderbay-Team: team\r\n\r\n",
            half_close=False,
        )
        assert received.startswith(b"HTTP/1.1 504")
        assert b"Oleanderbay-Outcome: not-run" in received


async def test_an_entry_that_accepts_no_work_refuses_requests():
    """A cut-off entry refuses as not run and sends Retry-After."""
    async with (
        serving_path.running() as path,
        serving_path.plain_service(path) as service,
    ):
        path.holder["refusal"] = serving_path.not_run()
        response = await path.call("/s/plain/x")
        _check_refused(response, 503, "cut_off")
        assert response[1]["Retry-After"] == "2"
        assert not service.executions
        response = await path.call("/v1/addresses", "GET")
        assert json.loads(response[2])["addresses"] == []


async def test_hop_by_hop_headers_are_not_forwarded():
    """RFC 9110: they apply to a single connection only."""
    kept = hops.end_to_end(
        multidict.CIMultiDict(
            {
                "Connection": "close, X-One",
                "X-One": "1",
                "Keep-Alive": "1",
                "Transfer-Encoding": "chunked",
                "TE": "trailers",
                "Upgrade": "h2c",
                "X-Two": "2",
                "Oleanderbay-Attempt": "9",
            }
        ),
        drop=http.OWN,
    )
    assert dict(kept) == {"X-Two": "2"}


async def test_paths_and_bodies_are_forwarded_unchanged():
    """A decoded path or re-encoded body would change the request."""
    async with (
        serving_path.running(callers={"buffer_bytes": 10}) as path,
        serving_path.plain_service(path) as service,
    ):
        body = bytes(range(256)) * 10
        status, _, response = await path.call(
            "/s/plain/a%2Fb//c?x=%20&y", "PUT", data=body
        )
        assert status == 200
        assert service.executions[0].path == "/a%2Fb//c?x=%20&y"
        assert json.loads(response)["bytes"] == len(body)


_HEADER = strategies.text(
    strategies.characters(min_codepoint=1, max_codepoint=255), max_size=40
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    headers=strategies.dictionaries(
        strategies.sampled_from(
            [
                caller.FLEET,
                caller.TEAM,
                caller.PRIORITY,
                caller.DEADLINE,
                caller.KEY,
                caller.KEY_ISSUED,
                caller.IDEMPOTENT,
            ]
        ),
        _HEADER | strategies.integers().map(str),
    )
)
def test_any_headers_give_a_context_or_a_refusal(headers):
    """Fuzzes the caller's headers; parsed values must be within bounds."""
    parsed = caller.parse(headers, "r", clocks.ManualClock(), 1_000)
    if isinstance(parsed, outcome.Refusal):
        assert parsed.outcome is outcome.Outcome.NOT_RUN
    else:
        assert parsed.fleet and parsed.team
        assert parsed.priority is None or 0 <= parsed.priority <= 9
        assert 0 <= parsed.deadline_at_ms <= 1_000


@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(
    chunks=strategies.lists(
        strategies.binary(max_size=80)
        | strategies.sampled_from(
            [
                b"GET / HTTP/1.1\r\n",
                b"POST /v1/completions HTTP/1.1\r\n",
                b"Content-Length: 5\r\n",
                b"Transfer-Encoding: chunked\r\n",
                b"Oleanderbay-Fleet: fleet\r\n",
                b"Expect: 100-continue\r\n",
                b"\r\n",
                b"5\r\nhello\r\n0\r\n\r\n",
            ]
        ),
        max_size=8,
    )
)
def test_any_bytes_leave_the_listener_working(chunks):
    """Fuzzes the HTTP listener with almost valid requests."""

    async def run():
        async with serving_path.running() as path:
            await _exchange_bytes(path, b"".join(chunks))
            response = await path.call("/v1/models", "GET")
            assert response[0] == 200

    asyncio.run(run())


PLAIN_REQUEST = (
    b"GET /s/plain/x HTTP/1.1\r\nHost: h\r\n"
    b"Oleanderbay-Fleet: fleet\r\nOleanderbay-Team: team\r\n\r\n"
)


async def _read_to_end(reader):
    async with asyncio.timeout(20):
        return await reader.read()


# During a planned stop under load, requests that had just been accepted were
# cut off without an answer.
async def test_a_stop_answers_what_callers_have_sent():
    async with (
        serving_path.running() as path,
        serving_path.plain_service(path) as service,
    ):
        host, port = path.address.split(":")
        kept_reader, kept_writer = await asyncio.open_connection(host, port)
        kept_writer.write(PLAIN_REQUEST)
        assert b"200" in await kept_reader.readuntil(b"\r\n\r\n")
        part_reader, part_writer = await asyncio.open_connection(host, port)
        part_writer.write(PLAIN_REQUEST[:30])
        await asyncio.sleep(0.05)
        # These bytes and connections come before the event loop runs again.
        kept_socket = kept_writer.get_extra_info("socket")
        os.write(kept_socket.fileno(), PLAIN_REQUEST)
        pending = [
            socket.create_connection((host, int(port))) for _ in range(5)
        ]
        for one in pending:
            one.sendall(PLAIN_REQUEST)
            one.setblocking(False)
        stop = asyncio.create_task(path.served.listener.drain(lambda: False))
        await asyncio.sleep(0.1)
        part_writer.write(PLAIN_REQUEST[30:])
        await stop
        await path.served.listener.on_stop()
        assert b"HTTP/1.1 200" in await _read_to_end(kept_reader)
        assert b"HTTP/1.1 200" in await _read_to_end(part_reader)
        for one in pending:
            reader, writer = await asyncio.open_connection(sock=one)
            answer = await _read_to_end(reader)
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in answer
            writer.close()
        assert len(service.executions) == 8
        kept_writer.close()
        part_writer.close()


# A caller that connected just before the listener closed sent its request into
# a connection that the stop had closed as idle.
async def test_a_stop_answers_the_first_request_of_a_new_connection():
    async with (
        serving_path.running() as path,
        serving_path.plain_service(path),
    ):
        host, port = path.address.split(":")
        sock = socket.create_connection((host, int(port)))
        sock.setblocking(False)

        async def stop():
            await path.served.listener.drain(lambda: False)
            await path.served.listener.on_stop()

        stopping = asyncio.create_task(stop())
        await path.clock.sleep_ms(150)
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(PLAIN_REQUEST)
        assert (await _read_to_end(reader)).startswith(b"HTTP/1.1 200")
        await stopping
        writer.close()


async def test_a_stop_does_not_wait_for_a_head_without_end():
    """A caller that sends half a head must not hold up the stop."""
    async with serving_path.running() as path:
        host, port = path.address.split(":")
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(PLAIN_REQUEST[:30])
        await asyncio.sleep(0.05)
        async with asyncio.timeout(20):
            await path.served.listener.drain(lambda: False)
        await path.served.listener.on_stop()
        assert await _read_to_end(reader) == b""
        writer.close()


@contextlib.asynccontextmanager
async def _slow_answer():
    """Runs an entry whose answer exceeds the buffers of the kernel."""
    async with (
        serving_path.running() as path,
        serving_path.engines(path),
    ):
        reader, writer = await _ask_slowly(path)
        yield path, path.served.listener, reader
        writer.close()


async def _ask_slowly(path):
    listener = path.served.listener
    listener.sockets.sockets[0].setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096
    )
    small = socket.socket()
    small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    small.connect(("127.0.0.1", listener.port))
    small.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=small, limit=1_024)
    body = json.dumps({**PROMPT, "max_tokens": 8_000}).encode()
    writer.write(
        b"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
        b"Oleanderbay-Fleet: fleet\r\nOleanderbay-Team: team\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    )
    await path.until(lambda: listener.in_progress)
    return reader, writer


# The end of an answer that its handler had written was lost with the process
# if its caller read slowly and the stop had lasted for 5 s.
async def test_a_stop_waits_until_answers_are_sent():
    async with _slow_answer() as (path, listener, reader):
        stop = asyncio.create_task(listener.drain(lambda: False))
        await path.until(lambda: not listener.in_progress)
        assert listener.server.unsent_bytes > 0
        await path.clock.sleep_ms(callers.PARTIAL_HEAD_MS + 1_000)
        assert not stop.done()
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.partition(b"Content-Length: ")[2].split()[0])
        async with asyncio.timeout(20):
            assert len(await reader.readexactly(length)) == length
            await stop
        assert listener.server.unsent_bytes == 0


# A caller that never reads its answer must not hold up a stop without a limit.
async def test_a_stop_gives_up_answers_that_are_not_read():
    async with _slow_answer() as (path, listener, reader):
        begun_ms = path.clock.now_ms()
        await listener.drain(lambda: False)
        spent_ms = path.clock.now_ms() - begun_ms
        assert listener.server.unsent_bytes > 0
        assert spent_ms >= callers.STALLED_ANSWER_MS
        assert reader.at_eof() is False
