"""Stand-ins for the platform's store, workers and the platform itself."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn

import aiohttp
from aiohttp import web

from oleanderbay.standins import metadata_store, ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_MS = 1_200
STALL_MS = 6_000
FORM_MS = 300
STORE_ANSWER_MS = 4
PARTITIONS = 24


def now_ms() -> int:
    """Returns the monotonic time in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def make_store() -> metadata_store.MetadataStore:
    """Returns the platform's store."""
    store = metadata_store.MetadataStore(
        PARTITIONS, page_items=metadata_store.PLATFORM_PAGE_ITEMS
    )
    store.answer_ms = STORE_ANSWER_MS
    return store


class Record:
    """Writes what happens to a file, one line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started_ms = now_ms()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Writes one line with the time since the start."""
        passed_s = (now_ms() - self.started_ms) / 1000
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def _ignore(*_: Any) -> None:
    """Does nothing."""


class Worker:
    """A worker, which serves alone or as a member of a group.

    Attributes:
        isolated: Whether nothing reaches it and it reaches nothing.
        cut_from_store: Whether its entry can't reach the store.
        listed: Whether the store has an entry of its id.
        written_ms: Time of the last entry; it expires after three heartbeats.
        on_ready: Called when it has become ready in a group and has written
            its entry.
        on_order: Called with each order that it has accepted, before the
            answer is sent and before its record is written.
        runs: Id of each request that began to run, with the time.
        running: Connections of the requests that run now, by their ids.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        store: metadata_store.MetadataStore,
        record: Record,
    ) -> None:
        self.id = worker_id
        self.service = service
        self.store = store
        self.record = record
        self.zone = "za"
        self.domain = ""
        self.models: dict[str, float] = {}
        self.born = time.time_ns() // 1_000_000
        self.address = ""
        self.state = "ready"
        self.group: dict[str, Any] | None = None
        self.members: tuple[str, ...] = ()
        self.model = ""
        self.staged: list[str] = []
        self.sequence = 0
        self.fence = 0
        self.epoch = 0
        self.work_s = 0.03
        self.isolated = False
        self.isolated_ms = 0
        self.cut_from_store = False
        self.opening = False
        self.runs: list[tuple[int, str]] = []
        self.running: dict[str, asyncio.BaseTransport | None] = {}
        self.on_order: Callable[[Worker, dict[str, Any]], None] = _ignore
        self.on_ready: Callable[[Worker], None] = _ignore
        self._sock = listening_socket("127.0.0.1")
        self._runner: web.AppRunner | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._blocked: list[socket.socket] = []
        self.written_ms = 0
        self.listed = False
        self.address = address_of(self._sock)

    async def start(self) -> None:
        """Listens, registers and writes heartbeats."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/report", self._on_report),
                web.post("/order", self._on_order),
                web.get("/healthz", self._on_health),
                web.route("*", "/{path:.*}", self._on_request),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        # With a short queue, connections are left unanswered once it is full.
        await web.SockSite(self._runner, self._sock, backlog=1).start()
        self.written_ms = now_ms()
        self.run(self._beat())
        self.run(self._expire())

    async def close(self) -> None:
        """Stops everything."""
        for task in self._tasks:
            task.cancel()
        for sock in self._blocked:
            sock.close()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def exit(self) -> None:
        """Ends at once, with the requests that run."""
        for transport in self.running.values():
            if isinstance(transport, asyncio.Transport):
                transport.abort()
        await self.close()

    def run(self, coroutine: Any) -> None:
        """Runs a coroutine until the worker is closed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def isolate(self) -> None:
        """Cuts the worker off from everything else; it goes on running."""
        self.isolated, self.isolated_ms = True, now_ms()
        asyncio.get_running_loop().remove_reader(self._sock.fileno())
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                sock.connect(self._sock.getsockname())
            self._blocked.append(sock)
        self.record.write(f"{self.id} is cut off; its state: {self.group}")

    @property
    def broken(self) -> bool:
        """Whether the group of this head has stood still for too long."""
        return self.isolated and now_ms() - self.isolated_ms >= STALL_MS

    def entry(self) -> dict[str, Any]:
        """Returns what the worker says of itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
            "stage": "prefill_decode",
            "models": [{"name": self.model, "version": 1, "adapters": []}]
            if self.model
            else [],
            "domain": self.domain,
            "staged": self.staged,
            "group": self.group,
        }

    async def write(self) -> None:
        """Writes the worker's entry unless it is cut off or not listed."""
        if not self.isolated and not self.cut_from_store:
            self.listed, self.written_ms = True, now_ms()
            await self.store.put(
                "keyed.servers", self.id, json.dumps(self.entry()).encode()
            )

    async def _beat(self) -> None:
        """Writes heartbeats; the store drops the entry after three of them."""
        while True:
            await self.write()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self.listed and now_ms() - self.written_ms >= 3 * HEARTBEAT_MS:
                self.listed = False
                await self.store.put("keyed.servers", self.id, b"")
                self.record.write(f"the entry of {self.id} expires")

    async def _pass_link(self) -> None:
        if self.isolated:
            await asyncio.Event().wait()

    def _other(self, request: web.Request) -> bool:
        expected = request.headers.get("X-Expect-Instance", self.id)
        return expected != self.id

    def _misdirected(self) -> web.Response:
        return web.Response(status=421, headers={"X-Instance-Id": self.id})

    async def _on_health(self, _: web.Request) -> web.Response:
        await self._pass_link()
        return web.Response(
            status=200 if self.state == "ready" else 503,
            headers={"X-Instance-Id": self.id},
        )

    async def _on_report(self, request: web.Request) -> web.Response:
        await self._pass_link()
        if self._other(request):
            return self._misdirected()
        return web.json_response(
            {
                **self.entry(),
                "busy": False,
                "queue_depth": 0,
                "in_flight": 0,
                "kv_used": 0,
                "kv_total": 90_000,
                "handles": 0,
            },
            headers={"X-Instance-Id": self.id},
        )

    async def _on_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        await self._pass_link()
        if self._other(request):
            return self._misdirected()
        before = self.group
        status = self._obey(order)
        said = {k: v for k, v in order.items() if k != "fence"}
        self.record.write(f"{self.id} takes {said}: {status}, before: {before}")
        if status == 202:
            self.sequence += 1
        if status in (200, 202):
            self.on_order(self, order)
        await self._pass_link()
        self.run(self.write())
        return web.Response(status=status)

    def _obey(self, order: dict[str, Any]) -> int:
        if order.get("fence", 0) < self.fence:
            return 412
        self.fence = order.get("fence", 0)
        if order["operation"] == "stage":
            self.run(self._stage(order["model"]))
            return 202
        group = self.group
        key = (order["group"], order["epoch"])
        same = group is not None and (group["name"], group["epoch"]) == key
        if order["operation"] == "join":
            return self._join(order, same)
        if group is None or not same:
            return 200 if order["operation"] == "leave" else 409
        if order["operation"] == "leave":
            self.group = None
            return 200
        if group["rank"] or group["state"] in ("joining", "broken"):
            return 409
        if order["operation"] == "open":
            if self.opening or group["state"] == "open":
                return 200
            self.run(self._open(group))
            return 202
        if group["state"] == "ready":
            return 200
        self.group = {**group, "state": "ready"}
        return 202

    async def _open(self, group: dict[str, Any]) -> None:
        self.opening = True
        await asyncio.sleep(FORM_MS / 1000)
        self.opening = False
        if self.group == group:
            self.group = {**group, "state": "open"}
            self.record.write(f"{self.id} opens {group['name']}")
            await self.write()

    def _join(self, order: dict[str, Any], same: bool) -> int:
        members = tuple(order["members"])
        if order["epoch"] < self.epoch:
            return 412
        if same:
            return 200 if members == self.members else 412
        self.epoch, self.members = order["epoch"], members
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": members.index(self.id),
            "state": "joining",
        }
        load_s = (
            0.2 if self.model == order["model"] else self.models[order["model"]]
        )
        self.model = ""
        self.run(self._load(order["model"], order["epoch"], load_s))
        return 202

    async def _load(self, model: str, epoch: int, load_s: float) -> None:
        await asyncio.sleep(load_s)
        if self.group is not None and self.group["epoch"] == epoch:
            self.model, self.staged = model, [model]
            self.group = {**self.group, "state": "ready"}
            self.record.write(f"{self.id} is ready in {self.group['name']}")
            await self.write()
            self.on_ready(self)

    async def _stage(self, model: str) -> None:
        await asyncio.sleep(self.models[model])
        self.staged = [model]
        await self.write()

    async def _on_request(self, request: web.Request) -> web.Response:
        await self._pass_link()
        request_id = request.headers.get("X-Request-Id", "")
        body = await request.read()
        if self._other(request):
            return self._misdirected()
        if self.models and (self.group is None or self.group["rank"]):
            return self._misdirected()
        if self.models and self.group and self.group["state"] != "open":
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        self.runs.append((now_ms(), request_id))
        self.record.write(f"{self.id} runs {request_id}")
        self.running[request_id] = request.transport
        try:
            await asyncio.sleep(self.work_s)
        finally:
            del self.running[request_id]
        await self._pass_link()
        return web.Response(
            body=b"answer to " + request_id.encode() + body,
            headers={
                "X-Request-Id": request_id,
                "X-Response-Seal": f"seal-{request_id}",
                "X-Instance-Id": self.id,
            },
        )


@dataclasses.dataclass(slots=True)
class Gateway:
    """A process of the project and its addresses."""

    host: str
    zone: str
    ports: dict[str, int]
    process: asyncio.subprocess.Process | None = None


class Platform:
    """Starts gateways with the command of the deploy file."""

    def __init__(
        self, store: metadata_store.MetadataStore, record: Record, count: int
    ) -> None:
        self.store = store
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        names = ("callers", "readiness", "directory", "peers")
        self.gateways = []
        hosts = [f"127.0.0.{11 + number}" for number in range(count)]
        # The ports are the same on all machines.
        found = ports.free_ports(len(names), hosts)
        by_name = dict(zip(names, found, strict=True))
        for host in hosts:
            zone = "z" + "abc"[len(self.gateways) % 3]
            self.gateways.append(Gateway(host, zone, by_name))

    async def start(self) -> None:
        """Starts all gateways and waits until they are ready."""
        for gateway in self.gateways:
            await self.start_one(gateway)
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    async def start_one(self, gateway: Gateway) -> None:
        """Starts one gateway."""
        path = pathlib.Path(self.folder.name) / f"{gateway.host}.json5"
        path.write_text(json.dumps(self.settings(gateway)), encoding="utf-8")
        log = (pathlib.Path(self.folder.name) / f"{gateway.host}.log").open("a")
        gateway.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oleanderbay",
            "gateway",
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "OLEANDERBAY_CONFIG": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    def settings(self, gateway: Gateway) -> dict[str, Any]:
        """Returns the settings, with the fields of the deploy template."""
        host, ports = gateway.host, gateway.ports
        return {
            "entry": {
                "id": f"edge-{host.rsplit('.', 1)[1]}",
                "zone": gateway.zone,
                "host": host,
            },
            "listeners": {
                "callers": f"{host}:{ports['callers']}",
                "readiness": f"{host}:{ports['readiness']}",
                "directory": f"{host}:{ports['directory']}",
                "directory_path": "/resolve",
            },
            "peers": {
                "port": ports["peers"],
                "seeds": [f"{g.host}:1" for g in self.gateways[:3]],
            },
            "store": {"address": self.store.address, "partitions": PARTITIONS},
            "workers": {"heartbeat_ms": HEARTBEAT_MS, "stall_ms": STALL_MS},
            "limits": {
                "retry_ratio": 0.2,
                "retry_extra": 105,
                "retry_window_ms": 10_000,
                "load_window_ms": 5_000,
            },
            "stop": {"grace_ms": 8_000},
        }

    async def wait_ready(self, gateway: Gateway) -> None:
        """Waits until a gateway says that it is ready."""
        url = f"http://{gateway.host}:{gateway.ports['readiness']}/readyz"
        async with aiohttp.ClientSession() as session:
            for _ in range(200):
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.1)
        raise CannotRunError(f"{gateway.host} is not ready")

    def send_signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Sends a signal to a gateway."""
        assert gateway.process is not None
        gateway.process.send_signal(number)

    async def close(self) -> str:
        """Ends all gateways; returns what they have logged."""
        for gateway in self.gateways:
            if gateway.process is not None:
                if gateway.process.returncode is None:
                    gateway.process.kill()
                await gateway.process.wait()
        return self._read_logs()

    def _read_logs(self) -> str:
        logs = "".join(
            f"--- {path.name}\n{path.read_text()}"
            for path in sorted(pathlib.Path(self.folder.name).glob("*.log"))
        )
        self.folder.cleanup()
        return logs


def finish(
    folder: pathlib.Path, run: Callable[[Record], Coroutine[Any, Any, int]]
) -> NoReturn:
    """Runs a case and exits: 1 if it broke its rule, 0 if not, 2 for a fault.

    A signal to end cancels the case, so that it ends what it has started.
    """
    record = Record(folder / "record.txt")

    async def main() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await run(record)

    code = 2
    try:
        code = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case can't run: {error!r}")
    finally:
        record.close()
    sys.exit(code)


class CannotRunError(Exception):
    """The case can't run here."""


def listening_socket(host: str) -> socket.socket:
    """Returns a socket that is bound to a free port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    return sock


def address_of(sock: socket.socket) -> str:
    """Returns the `host:port` of a socket."""
    host, port = sock.getsockname()
    return f"{host}:{port}"
