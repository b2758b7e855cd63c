"""Processes that the serving benchmark starts besides the entry.

`python -m bench.serving_parts backend` runs a log, an instance list and an
engine that writes one event to every stream at a fixed interval;
`... relay HOST:PORT` runs a bare aiohttp relay in front of an address. Each
prints one JSON line with its addresses.
"""

import asyncio
import json
import sys

import aiohttp
from aiohttp import web

from oleanderbay.native import interfaces
from oleanderbay.process import clock as clocks
from oleanderbay.standins import engine, engine_state, instances, log

HOST = "127.0.0.1"
INTERVAL_MS = 20
IDLE_MS = 600_000
# About the size of a chunk of a chat completion.
DATA = json.dumps(
    {
        "id": "0" * 32,
        "object": "text_completion",
        "model": "bench",
        "choices": [{"index": 0, "finish_reason": None, "text": "token "}],
    }
)


class Stream:
    """One stream that the ticker writes to."""

    def __init__(
        self, transport: asyncio.Transport, prefix: str, count: int
    ) -> None:
        self.transport = transport
        self.prefix = prefix
        self.count = count
        self.at = 0
        self.done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    def write(self) -> None:
        """Writes the next event, or the end."""
        if self.done.done() or self.transport.is_closing():
            self.at = self.count + 1
            return
        if self.at < self.count:
            event = f"id: {self.prefix}/{self.at}\ndata: {DATA}\n\n".encode()
            self.transport.write(b"%x\r\n%b\r\n" % (len(event), event))
        else:
            self.transport.write(b"e\r\ndata: [DONE]\n\n\r\n")
            self.done.set_result(None)
        self.at += 1


class PacedEngine(engine.EngineStandIn):
    """An engine that writes straight to the connections, at one pace."""

    streams: set[Stream]

    async def _answer(self, request: web.Request, running, body, prompt, first):  # type: ignore[no-untyped-def]
        count = int(body["max_tokens"])
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        assert isinstance(request.transport, asyncio.Transport)
        stream = Stream(
            request.transport, f"{running.request_id}/{running.attempt}", count
        )
        stream.write()
        if not body.get("idle"):
            self.streams.add(stream)
        await stream.done
        await response.write_eof()
        return response

    async def tick(self) -> None:
        """Writes one event to every stream at each interval."""
        while True:
            await asyncio.sleep(INTERVAL_MS / 1000)
            for stream in tuple(self.streams):
                stream.write()
                if stream.at > stream.count:
                    self.streams.discard(stream)


async def backend() -> None:
    """Runs the log, the instance list and the engine."""
    clock = clocks.SystemClock()
    log_server = log.LogServer(log.Log(clock))
    listing = instances.Instances(clock)
    list_server = instances.InstancesServer(listing)
    paced = PacedEngine(
        "engine-1",
        engine_state.EngineSettings(cold_limit=100_000, max_running=100_000),
    )
    paced.streams = set()
    await log_server.start(HOST, 0)
    await list_server.start(HOST, 0)
    await paced.start(HOST, 0)
    listing.put(
        interfaces.Instance(
            id="engine-1",
            role="engine",
            address=paced.address,
            zone="zone-a",
            domain="domain-a",
        )
    )
    print(
        json.dumps(
            {
                "log": log_server.address,
                "instances": list_server.address,
                "engine": paced.address,
            }
        ),
        flush=True,
    )
    await paced.tick()


async def relay(upstream: str) -> None:
    """Runs the bare relay."""
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        async with session.post(
            f"http://{upstream}{request.raw_path}",
            data=body,
            headers={"Content-Type": "application/json"},
            timeout=aiohttp.ClientTimeout(total=None),
        ) as answer:
            response = web.StreamResponse(
                status=answer.status,
                headers={"Content-Type": answer.headers["Content-Type"]},
            )
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, HOST, 0, backlog=1024).start()
    print(json.dumps({"relay": f"{HOST}:{runner.addresses[0][1]}"}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    if sys.argv[1] == "backend":
        asyncio.run(backend())
    else:
        asyncio.run(relay(sys.argv[2]))
