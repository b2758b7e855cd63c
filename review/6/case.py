"""Late copies of orders return a head to a group that it has left.

A head leaves its first order to join and its first order to open unanswered,
and carries them out late. The gateway sends both again, and the group opens. A
member crashes, the group is closed, and the head is ordered to leave it and to
join another one. The head leaves it, and leaves the first orders to join the
other one unanswered, too.
"""

import asyncio
import pathlib
from typing import Any

from aiohttp import web

from oleanderbay.standins import group_member, group_worker
from review import rig_2

STATE = group_member.STATE
MODEL = "small"
SIZE = 2
WORKERS = 5
# The pages: orders that get no answer are carried out 2 to 12 s later.
LATEST_MS = 12_000
# The member crashes after its first heartbeat from then on, counted from the
# head's first order to join.
CRASH_MS = 4_000
# When the head carries out its first orders to join and to open, counted from
# the crash.
JOIN_COPY_MS = 4_900
OPEN_COPY_MS = 5_500
# How many orders to join the next group the head leaves unanswered, and how
# late it carries them out.
UNANSWERED = 3
NEXT_COPY_MS = 4_000
LOAD_MS = 1_100
FORM_MS = 300
CALLERS = 6
END_S = 14.0
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "chat",
            "host": "api",
            "path_prefix": "/stream/",
            "kind": "streaming",
            "timeout_ms": 6_000,
            "target_latency_ms": 1_000,
            "target_gap_ms": 300,
            "max_attempts": 2,
            "service": "chat",
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": "chat",
            "health_path": "/healthz",
            "max_connections": 298,
            "engine": {
                "slots": 4,
                "loads_per_s": 5.0,
                "form_ms": FORM_MS,
                "models": [
                    {
                        "name": MODEL,
                        "size": SIZE,
                        "share": 1,
                        "load_s": 12.0,
                        "warm_s": LOAD_MS / 1000,
                    }
                ],
            },
        }
    ],
}


class LateWorker(group_worker.GroupWorker):
    """A worker that may leave orders unanswered and carry them out late.

    Attributes:
        trouble: Whether one of the workers does so.
        late: The worker that does so, once it is known.
        notes: Where it writes what happens.
        former: Key of the first group that it is the head of; None before.
        joined_ms: When the first order to join that group came.
        crash_seen: Set when the member crashes.
        late_orders: Number of orders that were left unanswered.
        all_orders: Number of all orders.
        violations: Joins that it took while its own group was open.
    """

    def __init__(
        self, worker_id: str, record: rig_2.Record, late: "list[LateWorker]"
    ) -> None:
        super().__init__(worker_id, load_ms=LOAD_MS, form_ms=FORM_MS)
        self.late = late
        self.grouped = True
        self.work_ms = 30
        self.trouble = False
        self.notes = record
        self.former: tuple[str, int] | None = None
        self.joined_ms = 0
        self.crash_seen = asyncio.Event()
        self.late_orders = 0
        self.all_orders = 0
        self.violations: list[str] = []
        self._seen: set[tuple[str, str]] = set()
        self._next_joins = 0
        self.log = record.log

    def before_join(self, group: str) -> None:
        """Notes whether the worker's own group is open."""
        if (
            self.group is not None
            and self.group.rank == 0
            and self.group.state in (STATE.OPEN, STATE.CLOSING)
            and self.group.group != group
        ):
            line = (
                f"{self.id} is joined to {group} while {self.group.group}, of "
                f"which it is the head, is {self.group.state.value}"
            )
            self.notes.say(line)
            self.violations.append(line)

    async def _on_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.all_orders += 1
        late_ms = self._late_ms(order)
        if late_ms is None:
            return await super()._on_order(request)
        self.late_orders += 1
        self.notes.log(
            f"{self.id} leaves {order['operation']} {order['group']} unanswered"
        )
        self.run(self._carry_out(order, late_ms))
        await asyncio.Event().wait()
        raise AssertionError

    def _late_ms(self, order: dict[str, Any]) -> int | None:
        """Returns how late an order is carried out; None if at once.

        Those of the former group count from the crash.
        """
        operation = order["operation"]
        if not self.trouble or operation not in ("join", "open"):
            return None
        key = (order["group"], order["epoch"])
        if not self.late and order["members"][0] == self.id:
            self.late.append(self)
            self.former, self.joined_ms = key, rig_2.now_ms()
        if self.former is None:
            return None
        if key == self.former:
            first = (operation, order["group"]) not in self._seen
            self._seen.add((operation, order["group"]))
            if not first:
                return None
            return JOIN_COPY_MS if operation == "join" else OPEN_COPY_MS
        if operation == "join" and self._next_joins < UNANSWERED:
            self._next_joins += 1
            return NEXT_COPY_MS
        return None

    async def _carry_out(self, order: dict[str, Any], late_ms: int) -> None:
        sent_ms = rig_2.now_ms()
        if self.former == (order["group"], order["epoch"]):
            await self.crash_seen.wait()
        await asyncio.sleep(late_ms / 1000)
        before = self.group
        passed_ms = rig_2.now_ms() - sent_ms
        if passed_ms > LATEST_MS:
            raise rig_2.CannotRunError("a copy is too late")
        status = self.obey(order)
        self.notes.log(
            f"{self.id} carries out {order['operation']} {order['group']}, "
            f"{passed_ms} ms after it was sent: {status:d}, before: {before}"
        )


async def first_head(workers: list[LateWorker]) -> LateWorker:
    """Waits for an open group and returns its head.

    Raises:
        CannotRunError: No group opens.
    """
    for _ in range(400):
        for worker in workers:
            if worker._is_open():
                return worker
        await asyncio.sleep(0.05)
    raise rig_2.CannotRunError("no group opens")


async def call(rig: rig_2.Rig, gateway: rig_2.Gateway, number: int) -> None:
    """Sends streams, one after the other."""
    sent = 0
    while True:
        sent += 1
        connection = await gateway.connect()
        await connection.request(
            "POST",
            "/stream/x?events=20",
            {
                "Host": "api",
                "X-Request-Id": f"s{number}-{sent}",
                "X-Model": MODEL,
                "X-Token-Counts": "100,100",
                "X-Prompt-Prefix": f"a{number:x}:100",
                "X-Deadline-Ms": "6000",
            },
            b"question",
        )
        connection.close()
        await asyncio.sleep(0.1)


async def case(record: rig_2.Record, trouble: bool) -> bool:
    """Runs the case; returns whether the rule was broken."""
    rig = rig_2.Rig(record, 2)
    late: list[LateWorker] = []
    workers = [LateWorker(f"w{n}", record, late) for n in range(WORKERS)]
    tasks: list[asyncio.Task[None]] = []
    try:
        for worker in workers:
            worker.trouble = trouble
            await worker.start()
            worker.register(rig.store, rig_2.HEARTBEAT_MS)
        await rig.start(CONFIGURATION)
        await rig.wait_ready()
        head = await first_head(late if trouble else workers)
        record.say(f"{head.id} is the head of an open group: {head.group}")
        tasks += [
            asyncio.create_task(call(rig, rig.gateways[n % 2], n))
            for n in range(CALLERS)
        ]
        member = next(w for w in workers if w.id == head.members[1])
        if trouble:
            left_ms = head.joined_ms + CRASH_MS - rig_2.now_ms()
            await asyncio.sleep(max(0, left_ms) / 1000)
            assert member.registration is not None
            written_ms = member.registration.written_ms
            for _ in range(2 * rig_2.HEARTBEAT_MS // 5):
                if member.registration.written_ms != written_ms:
                    break
                await asyncio.sleep(0.005)
            record.say(f"its member {member.id} crashes")
            await member.crash()
            head.crash_seen.set()
        await asyncio.sleep(END_S)
        violations = [line for w in workers for line in w.violations]
        record.say(
            f"orders: {sum(w.all_orders for w in workers)}, of which "
            f"{sum(w.late_orders for w in workers)} were left unanswered"
        )
        record.say(f"violations: {len(violations)}")
        return bool(violations)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await rig.close()
        for worker in workers:
            await worker.close()


if __name__ == "__main__":
    rig_2.main(pathlib.Path(__file__).with_name("record.txt"), case)
