"""Tests of the listener for callers over a raw socket."""

import asyncio
import contextlib
import socket

import multidict
import pytest
from structlog import testing

from oleanderbay.gateway import listener, table
from oleanderbay.process import clock as clocks
from oleanderbay.request import outcome
from tests.gateway import listener_harness, parts

REFUSAL = outcome.Refusal(
    reason=outcome.Reason.UPSTREAM_FAILED,
    outcome=outcome.Outcome.UNKNOWN,
    message="failed",
    status=502,
)


async def _begin_again(caller_response):
    await caller_response.begin(200, multidict.CIMultiDict())


async def _send_complete(caller_response):
    await caller_response.send_complete(404, multidict.CIMultiDict(), b"error")


async def _refuse(caller_response):
    await caller_response.refuse(REFUSAL)


# A fault of the pipeline wrote a whole error into the middle of a stream.
@pytest.mark.parametrize(
    "write_second_head", [_begin_again, _send_complete, _refuse]
)
async def test_a_response_has_one_head(write_second_head):
    async def run(caller_request, caller_response):
        await caller_response.begin(200, multidict.CIMultiDict())
        await caller_response.write(b"data")
        await write_second_head(caller_response)

    async with listener_harness.running_listener() as harness:
        harness.pipeline_harness.pipeline.run = run
        received = await harness.exchange(listener_harness.GET)
        harness.errors.clear()
        assert received.count(b"HTTP/1.1 ") == 1
        assert received.endswith(b"4\r\ndata\r\n")


def _send_at_once(port, data):
    """Sends bytes on a new connection before the event loop runs again."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(data)
    sock.setblocking(False)
    return sock


async def _read_all(sock):
    received = b""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(20):
        with contextlib.suppress(ConnectionError):
            while data := await loop.sock_recv(sock, 65_536):
                received += data
    sock.close()
    return received


async def _stop(harness, limit_ms=5_000):
    listeners = harness.listeners
    end_ms = listeners.clock.now_ms() + limit_ms
    listeners.leave(end_ms, expected_until_ms=end_ms)
    await listeners.drain(end_ms)
    await listeners.close(50)


# During a planned stop under load, requests that had just been accepted were
# cut off without an answer.
async def test_a_stop_answers_connections_that_are_not_accepted_yet():
    async with listener_harness.running_listener() as harness:
        callers = [
            _send_at_once(harness.port, listener_harness.GET) for _ in range(5)
        ]
        await _stop(harness)
        for sock in callers:
            assert (await _read_all(sock)).startswith(b"HTTP/1.1 200")


# A caller that connected just before the listener closed sent its request into
# a connection that the stop had closed as idle.
async def test_a_stop_answers_the_first_request_of_a_new_connection():
    async with listener_harness.running_listener() as harness:
        callers = [_send_at_once(harness.port, b"") for _ in range(3)]
        stop = asyncio.create_task(_stop(harness))
        await asyncio.sleep(0.15)
        for sock in callers:
            sock.send(listener_harness.GET)
        for sock in callers:
            assert (await _read_all(sock)).startswith(b"HTTP/1.1 200")
        await stop


# A stop must not wait for its whole limit if a caller never sends a request.
async def test_a_stop_waits_a_short_time_for_first_requests():
    async with listener_harness.running_listener() as harness:
        sock = _send_at_once(harness.port, b"")
        await parts.wait_until(
            lambda: harness.listeners._caller_server.connections
        )
        async with asyncio.timeout(2):
            await _stop(harness, limit_ms=20_000)
        assert await _read_all(sock) == b""


async def test_a_stop_answers_a_request_that_is_not_read_yet():
    """The next request on a kept connection may be in the socket's buffer."""
    async with listener_harness.running_listener() as harness:
        loop = asyncio.get_running_loop()
        sock = _send_at_once(harness.port, listener_harness.GET)
        assert (await loop.sock_recv(sock, 65_536)).startswith(b"HTTP/1.1 200")
        # The listener waits for the next request; its bytes come unread.
        await asyncio.sleep(0.05)
        sock.setblocking(True)
        sock.sendall(listener_harness.GET)
        sock.setblocking(False)
        await _stop(harness)
        answer = await _read_all(sock)
        assert answer.startswith(b"HTTP/1.1 200") and b"close" in answer


@pytest.mark.parametrize("size", [1, 20, len(listener_harness.GET) - 1])
async def test_a_stop_waits_for_the_rest_of_a_head(size):
    async with listener_harness.running_listener() as harness:
        reader, writer = await harness.connect()
        writer.write(listener_harness.GET[:size])
        await asyncio.sleep(0.05)
        stop = asyncio.create_task(_stop(harness))
        await asyncio.sleep(0.2)
        writer.write(listener_harness.GET[size:])
        assert (await reader.read()).startswith(b"HTTP/1.1 200")
        await stop
        writer.close()


async def test_a_stop_waits_for_the_rest_of_a_body():
    async with listener_harness.running_listener() as harness:
        reader, writer = await harness.connect()
        request = listener_harness.post(b"Content-Length: 4\r\n", b"body")
        writer.write(request[:-2])
        await asyncio.sleep(0.05)
        stop = asyncio.create_task(_stop(harness))
        await asyncio.sleep(0.2)
        writer.write(request[-2:])
        assert (await reader.read()).startswith(b"HTTP/1.1 200")
        await stop
        writer.close()


async def test_a_stop_does_not_wait_for_idle_connections():
    """Callers may keep connections for longer than a stop may take."""
    async with listener_harness.running_listener() as harness:
        reader, writer = await harness.connect()
        writer.write(listener_harness.GET)
        await listener_harness.read_response(reader)
        async with asyncio.timeout(20):
            await _stop(harness, limit_ms=600_000)
        assert await reader.read() == b""
        writer.close()


async def test_a_request_that_waits_at_the_end_of_a_stop_is_refused():
    """It has not run, and its caller can ask another gateway."""
    async with listener_harness.running_listener(
        latency_target_ms=60_000, timeout_ms=60_000
    ) as harness:
        pipeline_harness = harness.pipeline_harness
        for _ in range(50):
            pipeline_harness.gateway.loads.record_start("w0")
        reader, writer = await harness.connect()
        writer.write(listener_harness.GET)
        await parts.wait_until(lambda: harness.listeners.in_progress)
        await _stop(harness, limit_ms=200)
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 503") and b"not-run" in answer
        assert b"Retry-After" in answer
        writer.close()


# Report of operators: late in a planned stop, requests were passed on and then
# cut off without an answer, also ones that must not be repeated.
async def test_a_request_that_comes_late_in_a_stop_is_answered_or_not_run():
    async with listener_harness.running_listener(
        timeout_ms=60_000, kind=table.RouteKind.NON_IDEMPOTENT
    ) as harness:
        (worker, *_) = harness.pipeline_harness.workers
        for other in harness.pipeline_harness.workers:
            other.faults["stall"] = 99
        early = await harness.connect()
        late = await harness.connect()
        early[1].write(listener_harness.GET)
        await parts.wait_until(lambda: worker.executions)
        stop = asyncio.create_task(_stop(harness, limit_ms=3_000))
        await asyncio.sleep(1.2)
        late[1].write(listener_harness.GET)
        answer = await late[0].read()
        assert answer.startswith(b"HTTP/1.1 503") and b"not-run" in answer
        assert b"Connection: close" in answer and b"Retry-After" in answer
        # The other one may have run, which is said before the end.
        answer = await early[0].read()
        assert answer.startswith(b"HTTP/1.1 504") and b"unknown" in answer
        await stop
        assert (
            sum(len(w.executions) for w in harness.pipeline_harness.workers)
            == 1
        )
        for _, writer in (early, late):
            writer.close()


# Incident of 2026-12-05: the log did not tell which requests a stop had ended,
# nor when they had come.
async def test_a_stop_logs_the_requests_that_it_refuses_and_ends():
    async with listener_harness.running_listener(
        timeout_ms=60_000, kind=table.RouteKind.NON_IDEMPOTENT
    ) as harness:
        for worker in harness.pipeline_harness.workers:
            worker.faults["stall"] = 99
        early = await harness.connect()
        late = await harness.connect()
        early[1].write(listener_harness.GET)
        await parts.wait_until(lambda: harness.listeners.in_progress)
        with testing.capture_logs() as logs:
            stop = asyncio.create_task(_stop(harness, limit_ms=1_200))
            await asyncio.sleep(0.6)
            late[1].write(listener_harness.GET)
            await late[0].read()
            await early[0].read()
            await stop
        by_event = {line["event"]: line for line in logs}
        ended = by_event["request ended by stop"]
        assert ended["may_have_run"] and not ended["answer_started"]
        assert ended["arrived_after_ms"] < 600 <= ended["after_ms"]
        refused = by_event["request refused by stop"]
        assert refused["arrived_after_ms"] >= 600
        assert by_event["listener closes"]["busy"] == 1
        assert by_event["connections close"]["busy"] == 0
        for _, writer in (early, late):
            writer.close()


# Incident of 2026-12-06: a response that a gateway gave up after its beginning
# left no line, so that logs could not tell what had been lost, and why.
async def test_a_response_that_is_cut_off_is_logged_with_its_cause():
    async with listener_harness.running_listener(
        kind=table.RouteKind.STREAM
    ) as harness:
        harness.pipeline_harness.workers[0].faults["reset_in_event"] = 1
        stream = listener_harness.GET.replace(b"/a", b"/stream")
        with testing.capture_logs() as logs:
            received = await harness.exchange(stream)
        assert b"id: 1" in received and not received.endswith(b"0\r\n\r\n")
        cut_off = next(
            line for line in logs if line["event"].startswith("resp")
        )
        assert cut_off["event"] == "response cut off"
        assert cut_off["id"] == "r1" and cut_off["stop_after_ms"] is None
        assert cut_off["reason"] == outcome.Reason.UPSTREAM_FAILED.value
        assert cut_off["error"]


async def test_a_fault_after_the_beginning_of_a_response_is_logged():
    """The error handler of aiohttp can't answer then, and logs nothing."""

    async def run(caller_request, caller_response):
        await caller_response.begin(200, multidict.CIMultiDict())
        raise ValueError("fault")

    async with listener_harness.running_listener() as harness:
        harness.pipeline_harness.pipeline.run = run
        with testing.capture_logs() as logs:
            await harness.exchange(listener_harness.GET)
        harness.errors.clear()
        assert [line["event"] for line in logs] == [
            "response cut off by an internal fault"
        ]


async def test_a_short_request_late_in_a_stop_is_served():
    """Guards against refusals of requests for which there is enough time."""
    async with listener_harness.running_listener(timeout_ms=500) as harness:
        kept = await harness.connect()
        busy = await harness.connect()
        busy[1].write(listener_harness.GET[:20])
        await asyncio.sleep(0.05)
        stop = asyncio.create_task(_stop(harness, limit_ms=20_000))
        await asyncio.sleep(0.05)
        kept[1].write(listener_harness.GET)
        assert (await kept[0].read()).startswith(b"HTTP/1.1 200")
        busy[1].write(listener_harness.GET[20:])
        assert (await busy[0].read()).startswith(b"HTTP/1.1 200")
        await stop
        for _, writer in (kept, busy):
            writer.close()


# Small enough that a handler returns although the caller has read nothing.
ANSWER = bytes(60_000)


async def _answer(caller_request, caller_response):
    await caller_response.send_complete(200, multidict.CIMultiDict(), ANSWER)


async def _leave_answer_unsent(harness, request=listener_harness.GET):
    """Returns a caller whose answer waits in the gateway's write buffer."""
    harness.pipeline_harness.pipeline.run = _answer
    server = harness.listeners._caller_server
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect(("127.0.0.1", harness.port))
    sock.setblocking(False)
    await parts.wait_until(lambda: server.connections)
    (connection,) = server.connections
    connection.transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096
    )
    await asyncio.get_running_loop().sock_sendall(sock, request)
    await parts.wait_until(connection.transport.get_write_buffer_size)
    assert not connection.handling_request
    return sock


# Answers to callers that read slowly were in the write buffers of their
# connections when the process ended, and were cut off.
@pytest.mark.parametrize("state", ["kept", "closed after answer", "closed"])
async def test_a_stop_waits_until_answers_have_left_the_write_buffers(state):
    async with listener_harness.running_listener() as harness:
        harness.listeners.leaving = state == "closed after answer"
        caller = await _leave_answer_unsent(harness)
        if state == "closed":
            (connection,) = harness.listeners._caller_server.connections
            connection.force_close()
        stop = asyncio.create_task(_stop(harness))
        await asyncio.sleep(0.2)
        assert not stop.done()
        assert (await _read_all(caller)).endswith(ANSWER)
        async with asyncio.timeout(1):
            await stop


# A caller that had sent its next request behind an answer with which its
# connection closes received a part of that answer and a reset.
@pytest.mark.parametrize("closed_by", ["gateway", "caller"])
async def test_input_behind_the_last_answer_does_not_cut_it_off(closed_by):
    async with listener_harness.running_listener() as harness:
        harness.listeners.leaving = closed_by == "gateway"
        request = listener_harness.GET
        if closed_by == "caller":
            request = request.replace(
                b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
            )
        caller = await _leave_answer_unsent(harness, request)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(caller, listener_harness.GET)
        await asyncio.sleep(0.05)
        received = b""
        async with asyncio.timeout(20):
            while data := await loop.sock_recv(caller, 2_000):
                received += data
                await loop.sock_sendall(caller, listener_harness.GET)
        assert received.endswith(ANSWER)
        assert received.count(b"HTTP/1.1 ") == 1
        caller.close()
        await parts.wait_until(
            lambda: not harness.listeners._caller_server.connections
        )


# A caller that never read took the time of refusals too, with which the end of
# the process came close to its kill.
async def test_a_stop_ends_in_time_although_a_caller_does_not_read():
    async with listener_harness.running_listener() as harness:
        caller = await _leave_answer_unsent(harness)
        with testing.capture_logs() as logs:
            async with asyncio.timeout(2):
                await _stop(harness, limit_ms=300)
        after_ms = {line["event"]: line["after_ms"] for line in logs}
        left_ms = after_ms["requests left at the end of a stop"]
        assert left_ms >= 300
        assert after_ms["connections close"] - left_ms < listener.REFUSAL_MS
        await _read_all(caller)


# aiohttp takes a request from its queue one turn of the event loop before its
# handler starts. A stop that looked in that turn saw an idle connection.
async def test_a_request_is_seen_in_each_turn_until_it_is_answered():
    async with listener_harness.running_listener() as harness:
        server = harness.listeners._caller_server
        sock = _send_at_once(harness.port, b"")
        await parts.wait_until(lambda: server.connections)
        await asyncio.sleep(0.05)
        assert not server.is_busy()
        sock.sendall(listener_harness.GET)
        seen = []
        async with asyncio.timeout(20):
            while not harness.executions:
                seen.append(server.is_busy())
                await clocks.next_turn()
        assert all(seen), seen
        answer = await asyncio.get_running_loop().sock_recv(sock, 65_536)
        assert answer.startswith(b"HTTP/1.1 200")
        await asyncio.sleep(0.05)
        assert not server.is_busy()
        sock.close()


# A request that came between the end of the wait for requests and the close of
# its connection was passed on to a worker and then cancelled without an answer.
# While tunnels of other gateways were open, that time was as long as they were.
async def test_no_request_is_passed_on_after_a_stop_has_found_none():
    async with listener_harness.running_listener() as harness:
        listeners = harness.listeners
        for worker in harness.pipeline_harness.workers:
            worker.faults["stall"] = 1
        reader, writer = await harness.connect()
        await parts.wait_until(lambda: listeners._caller_server.connections)
        end_ms = listeners.clock.now_ms() + 5_000
        listeners.leave(end_ms, expected_until_ms=end_ms)
        await listeners.drain(end_ms)
        writer.write(listener_harness.GET)
        await asyncio.sleep(0.05)
        await listeners.close(50)
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        assert not harness.executions
        writer.close()
