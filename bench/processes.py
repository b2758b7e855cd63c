"""Processes of a small fleet on loopback, for runs outside the system.

The system itself starts no process; a run that pauses and kills entries has
to, as an operator's shell would.
"""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import tempfile
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp

from oleanderbay.standins import ports

HOST = "127.0.0.1"
COMMAND = (sys.executable, "-m", "oleanderbay")


class Processes:
    """Owns the processes of one run and their logs.

    Attributes:
        directory: Where logs and settings are written.
        by_name: Running processes.
        addresses: Address of each by name and listener.
    """

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="oleanderbay-")
        self.directory = pathlib.Path(self._temporary.name)
        self.by_name: dict[str, asyncio.subprocess.Process] = {}
        self.addresses: dict[str, str] = {}
        self._commands: dict[str, tuple[str, ...]] = {}

    async def start(self, name: str, *arguments: str) -> None:
        """Starts `oleanderbay` with arguments; its output goes to a log."""
        self._commands[name] = arguments
        await self.start_command(name, (*COMMAND, *arguments))

    async def start_command(
        self,
        name: str,
        command: Sequence[str],
        environment: Mapping[str, str] | None = None,
        folder: pathlib.Path | None = None,
    ) -> None:
        """Starts any command; its output goes to a log.

        Args:
            name: Name of the process.
            command: Program and arguments.
            environment: Environment of the process; by default this one's.
            folder: Working directory; by default this process's.
        """
        output = (self.directory / f"{name}.log").open("ab")
        self.by_name[name] = await asyncio.create_subprocess_exec(
            *command, stdout=output, stderr=output, env=environment, cwd=folder
        )
        output.close()

    async def restart(self, name: str) -> None:
        """Starts a process again that has ended."""
        await self.start(name, *self._commands[name])

    async def start_standin(self, name: str, *arguments: str) -> str:
        """Starts a stand-in and returns its address."""
        port = ports.free_port(HOST)
        await self.start(name, "standin", *arguments, "--port", str(port))
        address = f"{HOST}:{port}"
        self.addresses[name] = address
        await self.wait_for_port(port)
        return address

    async def start_entry(self, name: str, settings: dict[str, Any]) -> None:
        """Starts an entry from settings, to which ports are added."""
        listeners = ("callers", "peers", "operators", "admin")
        found = ports.free_ports(len(listeners), (HOST,))
        for listener, port in zip(listeners, found, strict=True):
            settings.setdefault(listener, {}).update(host=HOST, port=port)
            self.addresses[f"{name}/{listener}"] = f"{HOST}:{port}"
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        await self.start(name, "serve", "--settings", str(path))

    async def wait_for_port(self, port: int) -> None:
        """Waits up to 10 s until something listens."""
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(HOST, port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise TimeoutError(f"nothing listens on port {port}")

    async def run(self, *arguments: str) -> tuple[int, str]:
        """Runs one command to its end; returns exit code and output."""
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a running process."""
        self.by_name[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        process = self.by_name.pop(name)
        process.kill()
        await process.wait()

    async def terminate(self, name: str, timeout_s: float) -> int | None:
        """Stops a process; returns its exit code, None if it did not end."""
        process = self.by_name[name]
        process.terminate()
        try:
            code = await asyncio.wait_for(process.wait(), timeout_s)
        except TimeoutError:
            return None
        del self.by_name[name]
        return code

    async def set_fault(self, name: str, path: str, **fields: Any) -> None:
        """Sets faults of a stand-in."""
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.addresses[name]}{path}"
            async with session.post(url, json=fields) as answer:
                if answer.status != 200:
                    raise RuntimeError(f"{url}: {await answer.text()}")

    async def fetch_records(self, name: str) -> list[dict[str, Any]]:
        """Returns the records of an upstream stand-in."""
        async with aiohttp.ClientSession() as session:
            url = f"http://{self.addresses[name]}/control/records"
            async with session.get(url) as answer:
                records: list[dict[str, Any]] = (await answer.json())["records"]
                return records

    async def close(self) -> None:
        """Ends every process of the run."""
        for name in list(self.by_name):
            process = self.by_name[name]
            # A process may have ended by itself.
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                await self.kill(name)
        self._temporary.cleanup()
