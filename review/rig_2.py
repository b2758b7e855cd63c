"""Gateways as processes, a stand-in of the platform, and callers.

The cases of the second review share this module. Everything listens on loopback
addresses and free ports, and the settings come from the deploy file's template.
"""

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

from oleanderbay.platform import names
from oleanderbay.standins import metadata_store, ports, settings_template

ROOT = pathlib.Path(__file__).parents[1]
TEMPLATE = ROOT / "deploy" / "gateway.json5"
COMMAND = ("python3", "-m", "oleanderbay", "gateway")
READY_TIMEOUT_S = 20
HEARTBEAT_MS = 1_200
# The bounds of the pages' example settings.
BOUNDS = {
    "stall_ms": 6000,
    "retry_budget_ratio": 0.2,
    "budget_extra": 105,
    "budget_window_s": 10,
    "ceiling_window_s": 5,
    "grace_s": 8,
}


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


def now_ms() -> int:
    """Returns monotonic time."""
    return time.monotonic_ns() // 1_000_000


class Record:
    """Writes what happens, with the time since the start of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started_ms = now_ms()
        self.file = path.open("w", encoding="utf-8")

    def log(self, line: str) -> None:
        """Writes one line."""
        seconds = (now_ms() - self.started_ms) / 1000
        self.file.write(f"{seconds:8.3f} {line}\n")

    def say(self, line: str) -> None:
        """Writes one line to the record and to standard output."""
        self.log(line)
        self.file.flush()
        print(line, flush=True)


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got.

    Attributes:
        status: Status; 0 if the connection ended without a whole answer.
        headers: Headers, with names in lower case.
        body: The body.
        error: Why there is no whole answer.
    """

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    error: str = ""

    @property
    def closes(self) -> bool:
        """Whether the connection ends with this answer."""
        return self.headers.get("connection", "").lower() == "close"


class Connection:
    """A caller's connection, which it keeps for further requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.answered = 0
        self.log: Callable[[str], None] = lambda _: None

    @classmethod
    async def open(cls, host: str, port: int) -> "Connection":
        """Connects within a second, as callers do."""
        async with asyncio.timeout(1):
            return cls(*await asyncio.open_connection(host, port))

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 10,
    ) -> Answer:
        """Sends one request and reads its answer."""
        name = headers.get(names.REQUEST_ID, "")
        self.log(f"{name} is sent")
        answer = await self._exchange(method, path, headers, body, timeout_s)
        self.log(f"{name} is answered: {answer.status or answer.error}")
        return answer

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Answer:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(head.encode() + body)
                await self.writer.drain()
                answer = await self.read_answer()
                self.answered += 1
                return answer
        except TimeoutError:
            return Answer(0, error="no answer in time")
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            return Answer(0, error=repr(error))

    async def read_answer(self) -> Answer:
        """Reads the next answer.

        Raises:
            OSError, asyncio.IncompleteReadError: The connection ends before.
        """
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.rstrip().split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in rest)
        }
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int(await self.reader.readline(), 16):
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readline()
        else:
            length = int(headers.get("content-length", "0"))
            body = await self.reader.readexactly(length)
        return Answer(int(first.split()[1]), headers, body)


class Gateway:
    """One gateway process.

    Attributes:
        node: Name of its machine.
        host: Its address.
        process: The process; None while there is none.
    """

    def __init__(self, rig: "Rig", node: str, zone: str, host: str) -> None:
        self.rig = rig
        self.node = node
        self.zone = zone
        self.host = host
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        folder = self.rig.folder
        settings = folder / f"{self.node}.json5"
        settings.write_text(
            settings_template.render(
                TEMPLATE.read_text(encoding="utf-8"), self._values()
            ),
            encoding="utf-8",
        )
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= {
            "OLEANDERBAY_CONFIG": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (folder / f"{self.node}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=env, stdout=output, stderr=output
            )
        self.rig.record.log(f"{self.node} starts")

    def _values(self) -> dict[str, Any]:
        rig = self.rig
        return {
            "node": self.node,
            "zone": self.zone,
            "ip": self.host,
            "listen": {
                "front": f"{self.host}:{rig.front_port}",
                "ready": f"{self.host}:{rig.ready_port}",
                "directory": f"{self.host}:{rig.directory_port}",
            },
            "internal_ports": [rig.peers_port, rig.peers_port],
            "seeds": [f"{g.host}:{rig.peers_port}" for g in rig.gateways[:3]],
            "platform": {"address": rig.store.address, "parts": 24},
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
        }

    async def connect(self) -> Connection:
        """Opens a caller's connection, of which the record tells."""
        connection = await Connection.open(self.host, self.rig.front_port)
        connection.log = lambda line: self.rig.record.log(
            f"{self.node}: {line}"
        )
        return connection

    async def is_ready(self) -> bool:
        """Asks the process once whether it is ready."""
        try:
            connection = await Connection.open(self.host, self.rig.ready_port)
        except OSError:
            return False
        answer = await connection.request(
            "GET", "/readyz", {"Host": "ready"}, timeout_s=1
        )
        connection.close()
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Waits until it is ready.

        Raises:
            CannotRunError: It is not ready in time.
        """
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.node} is not ready")

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self.process is not None
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.running:
            self.rig.record.log(f"{self.node} gets {number.name}")
            os.kill(self.pid, number)

    async def end(self) -> None:
        """Ends the process if it still runs."""
        if self.process is not None:
            if self.running:
                os.kill(self.pid, signal.SIGCONT)
                os.kill(self.pid, signal.SIGKILL)
            await self.process.wait()


class Rig:
    """The store, the gateways and a folder for their files."""

    def __init__(
        self, record: Record, count: int, zones: tuple[str, ...] = ("z1",)
    ) -> None:
        self.record = record
        self.hosts = [f"127.0.0.{11 + number}" for number in range(count)]
        self.front_port, self.ready_port, self.directory_port = (
            ports.free_ports(3, self.hosts)
        )
        self.peers_port = ports.free_port(*self.hosts)
        self.store = metadata_store.MetadataStore(
            24, page_items=metadata_store.PLATFORM_PAGE_ITEMS
        )
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.gateways = [
            Gateway(
                self,
                f"edge-{zones[number % len(zones)]}-{number + 1}",
                zones[number % len(zones)],
                host,
            )
            for number, host in enumerate(self.hosts)
        ]

    async def start(self, configuration: dict[str, Any]) -> None:
        """Starts the store with a configuration, and the gateways."""
        await self.store.start()
        await self.configure(configuration)
        for gateway in self.gateways:
            await gateway.start()

    async def configure(self, configuration: dict[str, Any]) -> None:
        """Writes a configuration as the operator does."""
        await self.store.put(
            names.CONFIGURATION_TOPIC,
            names.CONFIGURATION_KEY,
            json.dumps(configuration).encode(),
        )
        self.record.log(f"configuration {configuration['version']} is written")

    async def evacuate(self, zone: str) -> None:
        """Takes a zone out, as the operator does."""
        key = names.EVACUATION_PREFIX + zone
        await self.store.put(names.CONFIGURATION_TOPIC, key, b"{}")
        self.record.say(f"zone {zone} is to get no requests")

    async def take_back(self, zone: str) -> None:
        """Takes a zone back in, as the operator does."""
        key = names.EVACUATION_PREFIX + zone
        await self.store.put(names.CONFIGURATION_TOPIC, key, b"")
        self.record.say(f"zone {zone} is taken back")

    async def wait_ready(self) -> None:
        """Waits until all gateways are ready."""
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def close(self) -> None:
        """Ends all processes and removes the folder."""
        for gateway in self.gateways:
            await gateway.end()
        await self.store.close()
        if os.environ.get("KEEP_LOGS"):
            for path in self.folder.glob("*.log"):
                print(f"== {path.name}\n{path.read_text(encoding='utf-8')}")
        self.temporary.cleanup()


def main(path: pathlib.Path, case: Any) -> None:
    """Runs a case and exits with its result.

    Args:
        path: File that the record is written to.
        case: Called with the record and with whether there is trouble; returns
            whether the rule was broken.
    """
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"trouble: {'yes' if trouble else 'no'}")
    try:
        broken = asyncio.run(case(record, trouble))
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
        sys.exit(2)
    record.say("the rule was broken" if broken else "the rule held")
    record.file.close()
    sys.exit(1 if broken else 0)
