"""The demonstration: what happens to a fleet, and which promises held."""

import asyncio
import dataclasses
import statistics
from collections.abc import Callable

from oleanderbay.checks import invariants
from oleanderbay.checks import records as checks
from oleanderbay.process import clock as clocks
from oleanderbay.process import entry, interfaces
from oleanderbay.standins import callers, evidence, fleet
from oleanderbay.version import records, resources

SAMPLE_MS = 100
STREAM_TOKENS = 25


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of the demonstration.

    Attributes:
        name: What was shown.
        held: Whether it went as promised.
        figures: What was measured, for people.
    """

    name: str
    held: bool
    figures: str


class Scenario:
    """Runs all steps over a fleet under load.

    Attributes:
        steps: What has been shown so far.
        seen: Records of what happened, for the checks.
    """

    def __init__(
        self,
        shown: fleet.Fleet,
        clock: clocks.Clock,
        progress: Callable[[str], None],
        load: int = 9,
    ) -> None:
        """Makes a scenario.

        Args:
            shown: The fleet; started by the scenario.
            clock: Time.
            progress: Told of each step.
            load: Streams at any time.
        """
        self.fleet = shown
        self.clock = clock
        self.progress = progress
        self.load = load
        self.steps: list[Step] = []
        self.seen: list[checks.Record] = []
        self.callers: list[callers.Caller] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.stopping = False
        self.prompts = 0
        self.groups: dict[str, resources.ServingGroup] = {}

    async def run(self) -> bool:
        """Runs every step; returns whether all promises held."""
        try:
            await self._form_groups()
            self._start_load()
            await self._stream()
            await self._drain()
            await self._kill_member()
            await self._lose_answer()
            await self._refuse()
            await self._restore()
            await self._stop_entry()
            await self._end_load()
            self._check()
        finally:
            await self.close()
        return all(step.held for step in self.steps)

    async def close(self) -> None:
        """Ends the load; the fleet is closed by its owner."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks = []
        for caller in self.callers:
            await caller.close()

    async def _form_groups(self) -> None:
        begun_ms = self.clock.now_ms()
        await self.fleet.start()
        ready = await self.fleet.wait(
            lambda: all(
                made.replication.lease.state().takes_work
                for made in self.fleet.entries
            ),
            5_000,
        )
        ready_ms = self.clock.now_ms() - begun_ms
        self.fleet.entries[0].replication.follower.on_change(self._note_groups)
        self.tasks.append(asyncio.create_task(self._sample()))
        offset = await self.fleet.apply(*self.fleet.declarations())
        applied_ms = self.clock.now_ms()
        await self.fleet.wait(lambda: self.fleet.in_force(offset), 6_000)
        force_ms = self.clock.now_ms() - applied_ms
        wanted = self.fleet.config.groups
        formed = await self.fleet.wait(
            lambda: self.fleet.eligible_count() >= wanted, 15_000
        )
        self._done(
            "entries start, declarations in force, groups formed",
            ready and formed,
            f"ready after {ready_ms} ms, in force everywhere {force_ms} ms "
            f"after acceptance, {self.fleet.eligible_count()} groups of "
            f"{self.fleet.config.members} after "
            f"{self.clock.now_ms() - begun_ms} ms",
        )

    def _start_load(self) -> None:
        zones = self.fleet.config.zones
        seeds = [made.me.caller_address for made in self.fleet.entries]
        for number in range(self.load):
            caller = callers.Caller(
                seeds[number % len(seeds) :] + seeds[: number % len(seeds)],
                {
                    "Oleanderbay-Fleet": fleet.FLEET,
                    "Oleanderbay-Team": fleet.TEAM,
                    "model": fleet.MODEL,
                },
                self.clock,
                zones[number % len(zones)],
            )
            self.callers.append(caller)
            self.tasks.append(asyncio.create_task(self._load(caller)))

    async def _load(self, caller: callers.Caller) -> None:
        while not self.stopping:
            self.prompts += 1
            await caller.stream(f"prompt {self.prompts}", STREAM_TOKENS)

    async def _stream(self) -> None:
        await self.fleet.wait(lambda: self._complete() >= 4 * self.load, 15_000)
        self._done(
            "completions stream through all entries",
            self._complete() >= 4 * self.load and not self._failed(),
            f"{self._complete()} complete streams of {STREAM_TOKENS} tokens, "
            f"first token at the median after {self._median_first(0)} ms",
        )

    async def _drain(self) -> None:
        zone = self.fleet.config.zones[1]
        before = self._failed()
        begun_ms = self.clock.now_ms()
        out_at_ms = self.clock.wall_ms()
        self.seen.append(checks.ZoneTakenOut(at_ms=out_at_ms, zone=zone))
        await self._change(resources.ChangeKind.DRAIN_ZONE, zone)
        done = await self.fleet.wait(self._drained, 15_000)
        spent_ms = self.clock.now_ms() - begun_ms
        last = max(
            (
                record.at_ms
                for record in self.fleet.work()
                if isinstance(record, checks.WorkStarted)
                and record.zone == zone
            ),
            default=0,
        )
        out_ms = last - out_at_ms
        self._done(
            f"{zone} is drained while streams run",
            done and self._failed() == before,
            f"done after {spent_ms} ms, last new work {max(0, out_ms)} ms "
            f"after the request, {self._failed() - before} streams cut off",
        )

    async def _kill_member(self) -> None:
        # The member of the highest rank: the request's connection survives,
        # yet the group may not serve without it.
        group = next(
            group
            for group in self.fleet.live_groups()
            if group.zone == f"id-{self.fleet.config.zones[0]}"
        )
        member = group.members[-1]
        begun_ms = self.clock.now_ms()
        await self.fleet.kill(member)
        out = await self.fleet.wait(
            lambda: all(
                group.id not in [u.id for u in self._upstreams(made)]
                for made in self.fleet.entries
            ),
            5_000,
        )
        out_ms = self.clock.now_ms() - begun_ms
        repaired = await self.fleet.wait(
            lambda: (
                not any(member in g.members for g in self.fleet.live_groups())
                and len(self._upstreams(self.fleet.entries[0]))
                >= len(self.fleet.live_groups())
            ),
            20_000,
        )
        self._done(
            f"member {member} is killed, its group is repaired",
            out and repaired,
            f"out of routing everywhere after {out_ms} ms, repaired after "
            f"{self.clock.now_ms() - begun_ms} ms",
        )

    async def _lose_answer(self) -> None:
        caller = self.callers[0]
        await caller.find()
        headers = {
            "Idempotency-Key": f"{caller.ticket}:booking-1",
        }
        for desk in self.fleet.desks:
            desk.faults["lose_answer"] = 1
        first = await caller.call(fleet.DESK, "book", b"kit 7", headers)
        again = await caller.call(fleet.DESK, "book", b"kit 7", headers)
        runs = self.fleet.bookings()
        for desk in self.fleet.desks:
            desk.faults["lose_answer"] = 0
        self._done(
            "a booking whose answer is lost runs once",
            runs == 1
            and (first.outcome, again.outcome) == ("unknown", "unknown"),
            f"outcome {first.outcome}, repeated with the same key: "
            f"{again.outcome}, executions {runs}",
        )

    async def _refuse(self) -> None:
        caller = self.callers[1]
        runs = self.fleet.bookings()
        refused = await caller.call(
            fleet.DESK, "book", b"kit 8", {"Oleanderbay-Team": "nobody"}
        )
        for desk in self.fleet.desks:
            desk.faults["refuse"] = 1
        by_all = await caller.call(fleet.DESK, "book", b"kit 8", {})
        before = self.fleet.bookings() - runs
        again = await caller.call(fleet.DESK, "book", b"kit 8", {})
        spent = self.fleet.bookings() - runs
        self._done(
            "a call that is said not to have run has not run",
            (refused.outcome, by_all.outcome) == ("not-run", "not-run")
            and before == 0
            and again.outcome == "answered"
            and spent == 1,
            f"unknown team: {refused.outcome}; refused by every upstream: "
            f"{by_all.outcome}, executions {before}; tried again: "
            f"{again.outcome}, executions {spent}",
        )

    async def _restore(self) -> None:
        zone = self.fleet.config.zones[1]
        before, begun_ms = self._failed(), self.clock.now_ms()
        await self._change(resources.ChangeKind.RESTORE_ZONE, zone)
        self.seen.append(
            checks.ZoneReturned(at_ms=self.clock.wall_ms(), zone=zone)
        )
        since_ms = self.clock.wall_ms()
        back = await self.fleet.wait(
            lambda: any(
                isinstance(record, checks.WorkStarted)
                and record.zone == zone
                and record.at_ms > since_ms
                for record in self.fleet.work()
            ),
            20_000,
        )
        self._done(
            f"{zone} is restored",
            back and self._failed() == before,
            f"serves again after {self.clock.now_ms() - begun_ms} ms, "
            f"{self._failed() - before} streams cut off",
        )

    async def _stop_entry(self) -> None:
        before, begun_ms = self._failed(), self.clock.now_ms()
        stopped = self.fleet.entries[-1]
        graceful = await stopped.shut_down()
        self._done(
            f"{stopped.me.id} leaves while streams run",
            graceful and self._failed() == before,
            f"stopped after {self.clock.now_ms() - begun_ms} ms, "
            f"{self._failed() - before} streams cut off",
        )

    async def _end_load(self) -> None:
        self.stopping = True
        _, late = await asyncio.wait(self.tasks[1:], timeout=10)
        self._done(
            "every stream came to its end",
            not late and not self._failed(),
            f"{self._complete()} streams, {self._failed()} failed",
        )
        for caller in self.callers:
            for failure in caller.failures[:3]:
                self.progress(f"  failed stream: {failure}")

    def _check(self) -> None:
        for caller in self.callers:
            self.seen.extend(caller.seen)
        self.seen.extend(self.fleet.work())
        for promise, check in invariants.ALL_CHECKS.items():
            found = list(check(sorted(self.seen, key=lambda r: r.at_ms)))
            self._done(
                f"{promise}: {(check.__doc__ or '').partition(': ')[2]}",
                not found,
                found[0].message if found else f"{len(self.seen)} records",
            )

    async def _change(self, kind: resources.ChangeKind, zone: str) -> None:
        id = f"{kind.value}-{records.new_id()[:8]}"
        offset = await self.fleet.apply(
            resources.PlannedChange(
                id=id, name=id, kind=kind, zone=f"id-{zone}"
            )
        )
        self.seen.append(
            checks.ChangeAccepted(at_ms=self.clock.wall_ms(), offset=offset)
        )

    def _drained(self) -> bool:
        current = self.fleet.entries[0].replication.follower.current
        return any(
            isinstance(change, resources.PlannedChange)
            and change.kind is resources.ChangeKind.DRAIN_ZONE
            and change.stage is resources.ChangeStage.DONE
            for change in current.all("planned_change")
        )

    def _upstreams(self, made: entry.Entry) -> tuple[interfaces.Upstream, ...]:
        return made.groups.eligible.upstreams(fleet.MODEL)

    def _note_groups(self, view: interfaces.CatalogueView) -> None:
        at_ms = self.clock.wall_ms()
        now = {
            group.id: group
            for group in view.all("serving_group")
            if isinstance(group, resources.ServingGroup)
        }
        self.seen.extend(evidence.group_records(self.groups, now, at_ms))
        self.groups = now

    async def _sample(self) -> None:
        while True:
            for made in self.fleet.entries:
                if made.should_stop:
                    continue
                current = made.replication.follower.current
                self.seen.append(
                    checks.EntryState(
                        at_ms=self.clock.wall_ms(),
                        entry=made.me.start_id,
                        offset=current.offset,
                        digest=current.digest,
                        takes_work=made.sending() is None,
                    )
                )
            await self.clock.sleep_ms(SAMPLE_MS)

    def _complete(self) -> int:
        return sum(len(caller.first_ms) for caller in self.callers)

    def _failed(self) -> int:
        return sum(len(caller.failures) for caller in self.callers)

    def _median_first(self, since_ms: int) -> int:
        times = [
            first
            for caller in self.callers
            for at_ms, first in caller.first_ms
            if at_ms >= since_ms
        ]
        return int(statistics.median(times)) if times else 0

    def _done(self, name: str, held: bool, figures: str) -> None:
        self.steps.append(Step(name, held, figures))
        self.progress(f"{'held  ' if held else 'BROKEN'}  {name}: {figures}")
