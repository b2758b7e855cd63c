"""The fleet of the failure run: processes, load and what they record."""

import asyncio
import json
import random
from collections.abc import Iterator, Sequence
from typing import Any

import aiohttp
import grpc

from bench import failure_declarations as declared
from bench import processes
from oleanderbay.checks import invariants
from oleanderbay.checks import records as checks
from oleanderbay.native import log_http
from oleanderbay.process import clock as clocks
from oleanderbay.schema import operators_pb2, operators_pb2_grpc
from oleanderbay.standins import callers, evidence
from oleanderbay.version import apply, catalogue, resources

LOAD_MS = 300
STREAM_TOKENS = 20
SAMPLE_MS = 200

# An upstream that turns cold without notice can get work until its next
# report was read and passed on; the promise counts from then.
COLD_NOTICE_MS = invariants.DETECTION_LIMIT_MS


class FailureFleet:
    """Owns the processes, the load and the records of one run.

    Attributes:
        seen: Records for the checks.
        failures: Steps that did not go as expected.
    """

    def __init__(self, seed: int, entries: int) -> None:
        self.rng = random.Random(seed)
        self.clock = clocks.SystemClock()
        self.processes = processes.Processes()
        self.entries = [f"entry-{number}" for number in range(entries)]
        self.engines = [
            f"{zone}-{number}"
            for zone in declared.ZONES
            for number in range(declared.ENGINES_PER_ZONE)
        ]
        self.seen: list[checks.Record] = []
        self.failures: list[str] = []
        self.callers: list[callers.Caller] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.stopping = False
        self.bookings = 0
        self.cold_at_ms: dict[str, int] = {}
        self.outcomes: dict[str, int] = {}
        self._begun_ms = self.clock.now_ms()

    def say(self, line: str) -> None:
        """Prints a line with the time since the start of the run."""
        spent_s = (self.clock.now_ms() - self._begun_ms) / 1000
        print(f"{spent_s:6.1f} s  {line}", flush=True)

    async def close(self) -> None:
        """Ends the load and the processes."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for caller in self.callers:
            await caller.close()
        await self.processes.close()

    # Set-up.

    async def _start(self) -> None:
        parts = self.processes
        log = await parts.start_standin("log", "log", "--append-delay-ms", "10")
        listing = await parts.start_standin(
            "instances", "instances", "--lag-ms", "500"
        )
        desks = [
            await parts.start_standin(
                f"desk-{number}", "plain", "--id", f"desk-{number}"
            )
            for number in range(2)
        ]
        await asyncio.gather(
            *(self._start_engine(name, listing) for name in self.engines)
        )
        for number, name in enumerate(self.entries):
            await parts.start_entry(
                name,
                {
                    "entry": {
                        "id": name,
                        "zone": declared.ZONES[number % len(declared.ZONES)],
                    },
                    "callers": {"address_ttl_ms": 1000},
                    "platform": {
                        "log": f"http://{log}",
                        "instances": f"http://{listing}",
                        "instances_interval_ms": 500,
                    },
                },
            )
        path = parts.directory / "declarations.json"
        path.write_text(json.dumps(declared.declarations(desks)))
        await self._until("all entries are ready", self._all_ready, 15)
        code, output = await self._command("apply", str(path), "--wait")
        self._expect("declarations are applied", code == 0, output)
        await self._until("all groups are formed", self._all_formed, 40)

    async def _start_engine(self, name: str, listing: str) -> None:
        zone = name.rpartition("-")[0]
        await self.processes.start_standin(
            name,
            "engine",
            *("--id", name, "--zone", zone, "--domain", f"rack-{zone}"),
            *("--instances", f"http://{listing}"),
            *("--load-ms", str(LOAD_MS), "--token-interval-ms", "20"),
        )

    def _start_load(self) -> None:
        seeds = [self._address(name, "callers") for name in self.entries]
        for number in range(6):
            order = seeds[number % len(seeds) :] + seeds[: number % len(seeds)]
            caller = callers.Caller(
                order,
                {
                    "Oleanderbay-Fleet": declared.FLEET,
                    "Oleanderbay-Team": declared.TEAM,
                    "model": declared.MODEL,
                },
                self.clock,
                declared.ZONES[number % len(declared.ZONES)],
            )
            self.callers.append(caller)
            load = self._stream if number < 4 else self._book
            self.tasks.append(asyncio.create_task(load(caller)))
        self.tasks.append(asyncio.create_task(self._sample()))

    async def _stream(self, caller: callers.Caller) -> None:
        number = 0
        while not self.stopping:
            number += 1
            reply = await self._in_time(
                caller.stream(f"prompt {id(caller)} {number}", STREAM_TOKENS)
            )
            self._count("stream", reply)

    async def _book(self, caller: callers.Caller) -> None:
        while not self.stopping:
            self.bookings += 1
            number = self.bookings
            await caller.find()
            headers = {
                "Idempotency-Key": f"{caller.ticket}:{number}",
            }
            body = b"kit %d" % number
            for _ in range(2):
                reply = await self._in_time(
                    caller.call(declared.DESK, "book", body, headers)
                )
                self._count("booking", reply)
                if reply is not None and reply.outcome == "answered":
                    break
                # The caller repeats the call with the same key elsewhere.
                caller.until_ms = -1
                await self.clock.sleep_ms(200)
            await self.clock.sleep_ms(self.rng.randrange(50, 150))

    async def _in_time(self, call: Any) -> callers.Reply | None:
        # A caller gives up on an entry that is paused.
        try:
            reply: callers.Reply = await asyncio.wait_for(call, 8)
        except TimeoutError:
            return None
        return reply

    def _count(self, kind: str, reply: callers.Reply | None) -> None:
        outcome = "timeout" if reply is None else reply.outcome
        if reply is not None and kind == "stream" and reply.complete:
            outcome = "complete"
        key = f"{kind} {outcome}"
        self.outcomes[key] = self.outcomes.get(key, 0) + 1

    # Observation.

    async def _sample(self) -> None:
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=1)
        ) as session:
            while not self.stopping:
                await asyncio.gather(
                    *(self._sample_entry(session, n) for n in self.entries)
                )
                await self.clock.sleep_ms(SAMPLE_MS)

    async def _sample_entry(
        self, session: aiohttp.ClientSession, name: str
    ) -> None:
        # What was true when the sample was asked for may be older than the
        # answer, so the time before the question counts.
        at_ms = self.clock.wall_ms()
        try:
            admin = self._address(name, "admin")
            async with session.get(f"http://{admin}/readyz") as answer:
                conditions = (await answer.json())["conditions"]
            line = await self._where(name)
        except (aiohttp.ClientError, TimeoutError, OSError, grpc.RpcError):
            return
        self.seen.append(
            checks.EntryState(
                at_ms=at_ms,
                entry=line.start_id,
                offset=line.offset,
                takes_work=conditions["fresh"],
            )
        )

    async def _where(self, name: str) -> Any:
        async with grpc.aio.insecure_channel(
            self._address(name, "operators")
        ) as channel:
            answer: Any = await operators_pb2_grpc.OperatorsStub(channel).Where(
                operators_pb2.WhereRequest(), timeout=1
            )
        return next(line for line in answer.entries if line.entry == name)

    async def _ready(self, name: str) -> bool:
        admin = self._address(name, "admin")
        try:
            async with (
                aiohttp.ClientSession(
                    timeout=aiohttp.ClientTimeout(total=1)
                ) as session,
                session.get(f"http://{admin}/readyz") as answer,
            ):
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _all_ready(self) -> bool:
        return all([await self._ready(name) for name in self.entries])

    async def _all_formed(self) -> bool:
        return len(await self._groups()) == declared.GROUPS

    async def _history(
        self,
    ) -> list[tuple[int, catalogue.Catalogue]]:
        """Replays the log; returns the state after each record."""
        async with aiohttp.ClientSession() as session:
            log = log_http.HttpLog(
                f"http://{self.processes.addresses['log']}", session
            )
            page = await log.read("config", 1, 100_000, 0, 5_000)
        state = catalogue.Catalogue.empty()
        history = []
        for record in page.records:
            state, _ = apply.apply_record(state, record.offset, record.data)
            history.append((record.offset, state))
        return history

    async def _groups(self) -> list[resources.ServingGroup]:
        history = await self._history()
        return _groups_of(history[-1][1]) if history else []

    async def _work_of(self, name: str) -> list[checks.Record]:
        zone = name.rpartition("-")[0]
        items = await self.processes.fetch_records(name)
        cold_ms = self.cold_at_ms.get(name)
        return [
            record
            for item in items
            if _is_noticed(item, cold_ms)
            for record in evidence.engine_records(item, name, zone)
        ]

    async def _collect(self) -> None:
        for name in self.engines:
            self.seen.extend(await self._work_of(name))
        for name in ("desk-0", "desk-1"):
            for item in await self.processes.fetch_records(name):
                self.seen.append(
                    checks.WorkStarted(
                        at_ms=item["at_ms"],
                        upstream=name,
                        zone="",
                        request=item["request_id"],
                        key=item["key"],
                        non_idempotent=True,
                    )
                )
        for caller in self.callers:
            self.seen.extend(caller.seen)
        self.seen.extend(_group_records(await self._history()))

    def _all_failures(self) -> list[str]:
        return [f for caller in self.callers for f in caller.failures]

    async def _end_load(self) -> None:
        self.stopping = True
        _, late = await asyncio.wait(self.tasks, timeout=12)
        self._expect("the load ends", not late, f"{len(late)} calls hang")

    # Small parts.

    def _address(self, name: str, listener: str) -> str:
        return self.processes.addresses[f"{name}/{listener}"]

    async def _command(self, *arguments: str) -> tuple[int, str]:
        return await self.processes.run(
            *arguments,
            "--address",
            self._address(self.entries[0], "operators"),
        )

    async def _pass_s(self, seconds: float) -> None:
        await self.clock.sleep_ms(seconds * 1000)

    async def _until(self, name: str, condition: Any, limit_s: int) -> None:
        until_ms = self.clock.now_ms() + limit_s * 1000
        while not await condition():
            if self.clock.now_ms() > until_ms:
                self._expect(name, False, f"not within {limit_s} s")
                return
            await self.clock.sleep_ms(200)
        self.say(f"  {name}")

    def _expect(self, name: str, held: bool, detail: str) -> None:
        if not held:
            self.failures.append(f"{name}: {detail}")
            self.say(f"  FAILED {name}: {detail.strip()[-300:]}")


def _is_noticed(item: dict[str, Any], cold_at_ms: int | None) -> bool:
    """Whether entries could know that the engine had turned cold."""
    return (
        item["event"] != "overload"
        or not cold_at_ms
        or not 0 <= item["at_ms"] - cold_at_ms <= COLD_NOTICE_MS
    )


def _groups_of(state: catalogue.Catalogue) -> list[resources.ServingGroup]:
    return [
        group
        for group in state.all("serving_group")
        if isinstance(group, resources.ServingGroup)
    ]


def _group_records(
    history: Sequence[tuple[int, catalogue.Catalogue]],
) -> Iterator[checks.Record]:
    before: dict[str, resources.ServingGroup] = {}
    for _, state in history:
        now = {group.id: group for group in _groups_of(state)}
        yield from evidence.group_records(before, now, state.time_ms)
        before = now
