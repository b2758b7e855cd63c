"""What the cases with serving groups share."""

import asyncio
import json
import pathlib
from typing import Any

import aiohttp
import standins

from oleanderbay.standins import group_member, group_worker

LOAD_S = 12.0
MODEL = {
    "name": "m",
    "size": 2,
    "share": 1.0,
    "pace": 1.0,
    "load_s": LOAD_S,
    "warm_s": 1.1,
}
CONFIGURATION = {
    "version": 7,
    "limits": {},
    "routes": [
        {
            "name": "r",
            "host": "ask.example",
            "path_prefix": "/ask/",
            "kind": "idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 300,
            "priority": 1,
            "service": "chat",
            "max_attempts": 2,
        }
    ],
    "services": [
        {
            "name": "chat",
            "health_path": "/healthz",
            "max_connections": 298,
            "engine": {
                "slots": 4,
                "kv_capacity_tokens": 900_000,
                "models": [MODEL],
                "step_ms": 7.8,
                "read_per_s": 45_900.0,
                "loads_per_s": 5.0,
                "loads_at_once": 7,
                "form_ms": 300.0,
                "cached_prefixes": 1,
            },
        }
    ],
}


def is_broken(head: group_worker.GroupWorker) -> bool:
    """Whether the group of a head has stood still for too long."""
    passed_ms = standins.now_ms() - head.isolated_ms
    return head.isolated_ms >= 0 and passed_ms >= standins.STALL_MS


class GroupCase:
    """A small deployment with one model, which watches its workers' orders.

    Attributes:
        worker_count: Number of workers.
        workers: The workers by id.
        opened: Set when a worker has accepted an order to open.
        sent: Number of requests that were sent.
        answered: Number of them that were answered with success.
    """

    worker_count = 3

    def __init__(self, record: standins.Record) -> None:
        self.record = record
        self.store = standins.make_store()
        self.platform = standins.Platform(self.store, record, 3)
        self.workers: dict[str, group_worker.GroupWorker] = {}
        # Group and head of each worker after its last order.
        self.before: dict[str, tuple[str, str] | None] = {}
        self.broken_rules: list[str] = []
        self.opened = asyncio.Event()
        self.sent = 0
        self.answered = 0

    def taken(
        self, worker: group_worker.GroupWorker, order: dict[str, Any]
    ) -> None:
        """Checks an order that a worker has accepted."""
        before = self.before.get(worker.id)
        if order["operation"] == "join" and before is not None:
            name, head_id = before
            head = self.workers[head_id]
            serving = (
                head.group is not None
                and head.group.group == name
                and head.group.state is group_member.STATE.OPEN
                and not is_broken(head)
            )
            if name != order["group"] and serving:
                self.broken_rules.append(
                    f"TWO: {worker.id} takes a join of {order['group']} while"
                    f" {head_id}, the head of its group {name}, is open and"
                    " not yet broken"
                )
                self.record.write(self.broken_rules[-1])
        if worker.group is None:
            self.before[worker.id] = None
        elif worker.members:
            self.before[worker.id] = (worker.group.group, worker.members[0])
        if order["operation"] == "open":
            self.opened.set()

    def ready(self, worker: group_worker.GroupWorker) -> None:
        """Called when a worker has become ready in a group."""

    async def play(self) -> None:
        """Plays the case once the first group has been told to open."""
        raise NotImplementedError

    async def serve(self, seconds: float) -> None:
        """Sends about 20 requests a second, at most eight at a time."""
        end_ms = standins.now_ms() + round(seconds * 1000)
        async with (
            aiohttp.ClientSession() as session,
            asyncio.TaskGroup() as all,
        ):
            for _ in range(8):
                all.create_task(self._ask(session, end_ms))

    async def _ask(self, session: aiohttp.ClientSession, end_ms: int) -> None:
        while standins.now_ms() < end_ms:
            self.sent += 1
            request_id = f"q{self.sent}"
            gateway = self.platform.gateways[self.sent % 3]
            url = f"http://{gateway.host}:{gateway.ports['callers']}/ask/x"
            headers = {
                "Host": "ask.example",
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "2000",
                "X-Model": "m",
                "X-Token-Counts": "100,10",
            }
            self.record.write(f"{request_id} is sent")
            async with session.get(url, headers=headers) as response:
                await response.read()
                self.record.write(f"{request_id} is answered {response.status}")
                self.answered += response.status == 200
            await asyncio.sleep(0.35)

    async def run(self) -> int:
        """Runs the case and returns the exit code."""
        try:
            await self.store.start()
            value = json.dumps(CONFIGURATION).encode()
            await self.store.put("keyed.op", "config", value)
            await self.platform.start()
            for number in range(1, self.worker_count + 1):
                worker = group_worker.GroupWorker(
                    f"w{number}",
                    zone="za",
                    # Loads take a tenth of the time before the first request.
                    load_ms=round(LOAD_S * 100),
                    form_ms=standins.FORM_MS,
                )
                worker.grouped = True
                worker.work_ms = 30
                worker.ordered = self.taken
                worker.ready = self.ready
                self.workers[worker.id] = worker
                await standins.start_worker(worker, self.store, self.record)
            async with asyncio.timeout(30):
                await self.opened.wait()
            await self.play()
        finally:
            logs = await self.platform.close()
            for worker in self.workers.values():
                await worker.close()
            await self.store.close()
        self.record.write("what the gateways logged of groups:")
        for line in logs.splitlines():
            if "group" in line:
                self.record.write(line)
        self.record.write(f"broken rules: {self.broken_rules or 'none'}")
        if self.broken_rules:
            return 1
        return 0 if self.answered else 2


def main(folder: pathlib.Path, case: type[GroupCase]) -> None:
    """Runs a case and exits with its code."""
    standins.finish(folder, lambda record: case(record).run())
