"""A worker that answers each request with the raw bytes of a script."""

import asyncio
import contextlib
import dataclasses
import inspect

from oleanderbay.gateway import table
from oleanderbay.platform import names
from tests.gateway import parts, test_pipeline

# Stands for the id of the request that is answered.
REQUEST_ID = "REQUEST-ID"
HEAD_END = b"\r\n\r\n"
EVENT_STREAM = ("Content-Type: text/event-stream",)
NOT_EXECUTED = (f"{names.NOT_EXECUTED}: true",)


def answer(
    body=b"",
    *headers,
    status=200,
    request_id="",
    sealed=True,
    framing="length",
):
    """Returns the bytes of an answer.

    Args:
        body: The body.
        headers: Further header lines.
        status: HTTP status.
        request_id: The id that the answer names; empty for the id of the
            request, None for none.
        sealed: Whether it has a signature.
        framing: `length`, `chunks`, `open` for chunks without the last one, or
            `none`.
    """
    lines = [f"HTTP/1.1 {status} Status", *headers]
    if request_id is not None:
        request_id = request_id or REQUEST_ID
        lines.append(f"{names.REQUEST_ID}: {request_id}")
    if sealed:
        lines.append(f"{names.SIGNATURE}: s")
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing in ("chunks", "open"):
        lines.append("Transfer-Encoding: chunked")
        body = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        if framing == "chunks":
            body += b"0\r\n\r\n"
    return "\r\n".join(lines).encode() + HEAD_END + body


def events(first, last):
    """Returns the events with the ids from `first` to `last` - 1."""
    return b"".join(
        b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last)
    )


def stream(first, last, *headers, framing="chunks", **changes):
    """Returns the answer of a stream with some events."""
    return answer(
        events(first, last),
        *(headers or EVENT_STREAM),
        framing=framing,
        **changes,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """One request that a worker has read.

    Attributes:
        connection: Number of the connection, from 0.
        head: The request line and the headers.
        body: The body.
    """

    connection: int
    head: str
    body: bytes

    def fill_in(self, answer_bytes):
        """Returns an answer with the id of this request."""
        request_id = self.header(names.REQUEST_ID).encode()
        return answer_bytes.replace(REQUEST_ID.encode(), request_id)

    def header(self, name):
        """Returns the value of a header; empty if there is none."""
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return ""


class ScriptedWorker:
    """Answers each request as its script says.

    A step of the script is the bytes to write, or a function of the request
    and of the stream writer, which may be asynchronous. Bytes that have no
    end are followed by the end of the connection.

    Attributes:
        script: Steps that are left.
        received: Requests in the order in which they were read.
        writers: Stream writers by number of the connection.
        answers_heads: Whether a step runs once the head of a request has been
            read, rather than its body too.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.received = []
        self.writers = []
        self.address = ""
        self.answers_heads = False
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1")
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self):
        self._server.close()
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader, writer):
        number = len(self.writers)
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(HEAD_END)).decode()
                length = Received(0, head, b"").header("Content-Length")
                body = b""
                if not self.answers_heads:
                    body = await reader.readexactly(int(length or 0))
                request = Received(number, head, body)
                self.received.append(request)
                step = self.script.pop(0) if self.script else b""
                if not isinstance(step, bytes):
                    step = step(request, writer)
                    if inspect.isawaitable(step):
                        step = await step
                if step is None:
                    continue
                writer.write(request.fill_in(step))
                if self.answers_heads:
                    await reader.readexactly(int(length or 0))
                open_end = b"chunked" in step and not step.endswith(
                    b"0\r\n\r\n"
                )
                if not step or open_end:
                    break
            await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def running_pipeline(*scripts, **changes):
    """Runs a pipeline with one scripted worker for each script.

    The first worker is preferred.
    """
    async with test_pipeline.running_pipeline(0, **changes) as harness:
        for number, script in enumerate(scripts):
            worker = ScriptedWorker(*script)
            await worker.start()
            harness.workers.append(worker)
            harness.gateway.add(
                parts.worker(
                    f"w{number}",
                    address=worker.address,
                    slots=4,
                    zone="z2" if number else "z1",
                )
            )
        yield harness


STREAMING = {
    "kind": table.RouteKind.STREAM,
    "gap_target_ms": 200,
    "resumable": True,
}
