"""Stand-ins for the platform's store, workers and the platform itself."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn

import aiohttp

from oleanderbay.standins import group_worker, metadata_store, ports

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


async def start_worker(
    worker: group_worker.GroupWorker,
    store: metadata_store.MetadataStore,
    record: "Record",
) -> None:
    """Starts a worker, which writes its entry and to the record."""
    worker.log = record.write
    await worker.start()
    worker.register(store, HEARTBEAT_MS)


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
