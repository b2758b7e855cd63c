"""A heartbeat of a worker is held up, and arrives after its leave.

The worker is cut off from the store for some seconds, not from the gateways.
Afterwards it reports on a new connection that it leaves. The heartbeat that was
under way when the cut began arrives later, with the transport's next repeat.
"""

import asyncio
import pathlib

from review import rig_2, workers_2

DRAIN_MS = 2_000
CUT_MS = 8_000
# The transport repeats what is not acknowledged after this time, then after
# twice that, and so on.
FIRST_REPEAT_MS = 200
USUAL_S = 6.0
# Time from the end of the cut to the report that the worker leaves.
LEAVES_AFTER_MS = 300
# The worker serves for a little longer than `DRAIN_MS`, then exits.
SERVES_MS = 2_700
CALLERS = 24
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "booking",
            "host": "api",
            "path_prefix": "/booking/",
            "kind": "non_idempotent",
            "timeout_ms": 1_200,
            "target_latency_ms": 200,
            "max_attempts": 1,
            "service": "desk",
        }
    ],
    "services": [
        {
            "name": "desk",
            "health_path": workers_2.HEALTH_PATH,
            "max_connections": 100,
        }
    ],
}


class HeldLink:
    """The way from a worker to the store, which is cut for some time.

    Each entry is sent on a connection of its own. What is sent during the cut
    arrives with the first repeat after it.
    """

    def __init__(self, worker: workers_2.Worker, record: rig_2.Record) -> None:
        self.worker = worker
        self.record = record
        self.until_ms = 0

    async def send(self, entry: bytes) -> None:
        """Delivers an entry, if need be late."""
        sent_ms, sequence = rig_2.now_ms(), self.worker.sequence
        state = "draining" if self.worker.draining else "ready"
        passed_ms, repeat_ms = 0, FIRST_REPEAT_MS
        while sent_ms + passed_ms < self.until_ms:
            passed_ms += repeat_ms
            repeat_ms *= 2
        await asyncio.sleep(passed_ms / 1000)
        await self.worker.deliver(entry)
        self.record.log(
            f"{self.worker.id}: the store takes entry {sequence} ({state}), "
            f"sent {rig_2.now_ms() - sent_ms} ms before"
        )


class Callers:
    """Callers that send bookings to both gateways."""

    def __init__(self, rig: rig_2.Rig) -> None:
        self.rig = rig
        self.statuses: dict[int, int] = {}
        self._sent = 0

    async def call(self, gateway: rig_2.Gateway) -> None:
        """Sends bookings on a kept connection."""
        connection: rig_2.Connection | None = None
        while True:
            if connection is None:
                connection = await gateway.connect()
            self._sent += 1
            answer = await connection.request(
                "POST",
                "/booking/x",
                {
                    "Host": "api",
                    "X-Request-Id": f"b{self._sent}",
                    "X-Deadline-Ms": "1200",
                },
                b"kit 10",
            )
            count = self.statuses.get(answer.status, 0)
            self.statuses[answer.status] = count + 1
            if not answer.status or answer.closes:
                connection.close()
                connection = None
            await asyncio.sleep(0.2)


async def case(record: rig_2.Record, trouble: bool) -> bool:
    """Runs the case; returns whether the rule was broken."""
    rig = rig_2.Rig(record, 2)
    workers = [
        workers_2.Worker(rig, f"desk-{n}", "desk", work_ms=200)
        for n in range(6)
    ]
    leaving = workers[0]
    link = HeldLink(leaving, record)
    leaving.send = link.send
    callers = Callers(rig)
    tasks: list[asyncio.Task[None]] = []
    try:
        await rig.start(CONFIGURATION)
        for worker in workers:
            await worker.start()
        await rig.wait_ready()
        await asyncio.sleep(2)
        tasks += [
            asyncio.create_task(callers.call(gateway))
            for gateway in rig.gateways
            for _ in range(CALLERS // 2)
        ]
        await asyncio.sleep(USUAL_S)
        if trouble:
            link.until_ms = rig_2.now_ms() + CUT_MS
            record.say(
                f"{leaving.id} is cut off from the store for {CUT_MS} ms"
            )
        await asyncio.sleep((CUT_MS + LEAVES_AFTER_MS) / 1000)
        await leaving.drain()
        acknowledged_ms = rig_2.now_ms()
        record.say(f"the store has accepted that {leaving.id} leaves")
        await asyncio.sleep(SERVES_MS / 1000)
        limit_ms = acknowledged_ms + DRAIN_MS
        late = [run for run in leaving.runs if run.arrived_ms > limit_ms]
        running = [run for run in leaving.runs if not run.complete]
        await leaving.end()
        record.say(f"{leaving.id} exits, with {len(running)} bookings that run")
        await asyncio.sleep(1)
        record.say(f"answers to callers, by status: {callers.statuses}")
        record.say(
            f"requests that {leaving.id} ran later than {DRAIN_MS} ms after "
            f"that: {len(late)}"
        )
        for run in late:
            record.log(
                f"{run.request_id}: {run.arrived_ms - acknowledged_ms} ms after"
            )
        return bool(late)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await rig.close()
        for worker in workers:
            await worker.end()


if __name__ == "__main__":
    rig_2.main(pathlib.Path(__file__).with_name("record.txt"), case)
