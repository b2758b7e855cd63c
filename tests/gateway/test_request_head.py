"""Tests of malformed and unusual request heads, with a worker stand-in."""

import asyncio
import contextlib
import json

import pytest

from tests.gateway import listener_harness

END, GET, CHUNKED = (
    listener_harness.END,
    listener_harness.GET,
    listener_harness.CHUNKED,
)
post, read_response, running_listener = (
    listener_harness.post,
    listener_harness.read_response,
    listener_harness.running_listener,
)


MALFORMED = {
    "length and coding": post(b"Content-Length: 3\r\n" + CHUNKED, b"0" + END),
    "two lengths": post(b"Content-Length: 1\r\nContent-Length: 2\r\n", b"ab"),
    "list of lengths": post(b"Content-Length: 1, 2\r\n", b"ab"),
    "signed length": post(b"Content-Length: +1\r\n", b"a"),
    "chunk size": post(CHUNKED, b"x\r\na\r\n0" + END),
    "chunk size overflow": post(CHUNKED, b"1" + b"0" * 17 + b"\r\na"),
    "signed chunk size": post(CHUNKED, b"-1\r\na\r\n0" + END),
    "chunk end": post(CHUNKED, b"1\r\nab\r\n0" + END),
    "chunk with bare LF": post(CHUNKED, b"1\na\n0\n\n"),
    "folding": post(b"A: b\r\n c\r\n"),
    "space before colon": post(b"A : b\r\n"),
    "no colon": post(b"A\r\n"),
    "bare CR": post(b"A: b\rc\r\n"),
    "bare LF": post(b"A: b\nC: d\r\n"),
    "NUL": post(b"A: b\0\r\n"),
    "only LF": GET.replace(b"\r\n", b"\n"),
    "header not in UTF-8": post(b"A: \xff\r\n"),
    "method": GET.replace(b"GET", b"G(T"),
    "lower-case method": GET.replace(b"GET", b"get"),
    "CONNECT": GET.replace(b"GET /a", b"CONNECT api:80"),
    "no target": GET.replace(b"/a ", b""),
    "relative target": GET.replace(b"/a", b"a"),
    "scheme": GET.replace(b"/a", b"ftp://api/a"),
    "scheme only": GET.replace(b"/a", b"http:a"),
    "no host in target": GET.replace(b"/a", b"http:///a"),
    "only a port in target": GET.replace(b"/a", b"http://:80/a"),
    "user in target": GET.replace(b"/a", b"http://u@api/a"),
    "port in target": GET.replace(b"/a", b"http://api:x/a"),
    "fragment in absolute target": GET.replace(b"/a", b"http://api/a#b"),
    "asterisk of a host": GET.replace(b"GET /a", b"OPTIONS http://api"),
    "absolute target without Host": GET.replace(b"/a", b"http://api/a").replace(
        b"Host: api\r\n", b""
    ),
    "asterisk": GET.replace(b"GET /a", b"OPTIONS *"),
    "fragment": GET.replace(b"/a", b"/a#b"),
    "raw byte in target": GET.replace(b"/a", b"/\xff"),
    "space in target": GET.replace(b"/a", b"/a b"),
    "no host": GET.replace(b"Host: api\r\n", b""),
    "two hosts": GET.replace(b"Host", b"Host: api\r\nHost"),
    "no host in HTTP/1.0": GET.replace(b"Host: api\r\n", b"").replace(
        b"/1.1", b"/1.0"
    ),
    "coding in HTTP/1.0": post(CHUNKED, b"0" + END, start=b"POST /a HTTP/1.0"),
    "unknown coding": post(b"Transfer-Encoding: gzip, chunked\r\n", b"0" + END),
    "coding not last": post(b"Transfer-Encoding: chunked, gzip\r\n", b"0"),
    "other protocol": b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "HTTP/0.9": b"GET /a\r\n\r\n",
    "no request id": GET.replace(b"X-Request-Id: r1\r\n", b""),
}


async def test_malformed_requests_are_refused():
    """Gateway and worker could parse malformed requests differently."""
    async with running_listener() as harness:
        for name, data in MALFORMED.items():
            if name == "no request id":
                data = data.replace(b"\r\n\r\n", b"\r\nConnection: close" + END)
            for step in (len(data), 1):
                reader, writer = await harness.connect()
                for start in range(0, len(data), step):
                    writer.write(data[start : start + step])
                    if step == 1:
                        await asyncio.sleep(0)
                status, body = await read_response(reader)
                error = json.loads(body)["error"]
                assert (status, error["code"]) in (
                    (400, "bad_request"),
                    (505, "bad_request"),
                ), name
                assert error["outcome"] == "not-run", name
                async with asyncio.timeout(20):
                    with contextlib.suppress(ConnectionError):
                        assert not await reader.read(), name
                writer.close()
                assert not harness.executions, name


VALID = {
    "plain": (GET, b""),
    "HTTP/1.0": (GET.replace(b"/1.1", b"/1.0"), b""),
    "HEAD": (GET.replace(b"GET", b"HEAD"), b""),
    "body on GET": (
        post(b"Content-Length: 2\r\n", b"ab", b"GET /a HTTP/1.1"),
        b"ab",
    ),
    "chunks": (post(CHUNKED, b"1;x=y\r\na\r\n1\r\nb\r\n0" + END), b"ab"),
    "trailer": (post(CHUNKED, b"1\r\na\r\n0\r\nA: b" + END), b"a"),
    "empty lines": (b"\r\n\r\n" + GET, b""),
    "upgrade": (
        post(b"Connection: upgrade\r\nUpgrade: websocket\r\n", start=GET[:15]),
        b"",
    ),
}


@pytest.mark.parametrize("name", VALID)
async def test_unusual_valid_requests_are_forwarded(name):
    """A valid request must not be refused because of an unusual form."""
    data, body = VALID[name]
    async with running_listener() as harness:
        reader, writer = await harness.connect()
        for start in range(0, len(data), 7):
            writer.write(data[start : start + 7])
            await asyncio.sleep(0)
        head = await reader.readuntil(END)
        assert head.split()[1] == b"200"
        writer.close()
        (execution,) = harness.executions
        assert (execution.path, execution.body) == ("/a", body)


@pytest.mark.parametrize(
    ("target", "path"),
    [
        (b"http://api/a?b=c", "/a?b=c"),
        (b"HTTPS://API/a/../b", "/a/../b"),
        (b"http://api//a", "//a"),
        (b"http://api", "/"),
        (b"http://api?", "/?"),
        (b"http://api?a=http://b/c", "/?a=http://b/c"),
    ],
)
async def test_host_of_absolute_target_takes_precedence(target, path):
    """Servers must accept the absolute form and ignore the Host header."""
    data = GET.replace(b"/a", target).replace(b"Host: api", b"Host: other")
    async with running_listener() as harness:
        reader, writer = await harness.connect()
        writer.write(data)
        assert (await read_response(reader))[0] == 200
        writer.write(GET.replace(b"/a", b"http://other/a"))
        assert (await read_response(reader))[0] == 404
        writer.close()
        (execution,) = harness.executions
        assert execution.path == path
        assert execution.headers["host"].lower() == "api"
