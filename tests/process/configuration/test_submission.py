"""Tests of how a proposal is appended, read back and reported."""

import asyncio

import pytest

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock
from oleanderbay.process.configuration import applied, submission
from oleanderbay.version import records
from tests.version import samples

Status = submission.Status


class ShedError(native.PlatformUnavailableError):
    retry_after_ms = 250


class FakeEntry:
    """One entry with a log in memory.

    `faults` holds what the next appends do: "lost" appends and loses the
    answer, "dropped" loses both, "late" keeps the record in `delayed`.
    """

    def __init__(self):
        self.log = samples.Log(*samples.BASE)
        self.callbacks = []
        self.faults = []
        self.delayed = []
        self.appends = 0
        self.others = [0, 0]
        self.leaving = []
        self.follows = True
        self.use_clock(clock.ManualClock())

    def use_clock(self, source):
        self.clock = source
        self.callbacks.clear()
        self.submissions = submission.Submission(
            source=self,
            appender=self,
            verdict_source=applied.AppliedVerdicts(self, source),
            versions=self,
            clock=source,
            author="a",
        )

    @property
    def current(self):
        return self.log.state

    def on_change(self, callback):
        self.callbacks.append(callback)

    def entries(self):
        return [
            submission.EntryVersion(
                entry=f"e{n}",
                start_id=f"s{n}",
                zone="z",
                offset=o,
                age_ms=0,
                counts=n not in self.leaving,
            )
            for n, o in enumerate([self.current.offset, *self.others])
        ]

    def known_count(self):
        return 3

    def apply(self, data):
        self.log.append(data)
        if self.follows:
            self.others = [self.current.offset] * 2
        for callback in self.callbacks:
            callback(self.current)

    async def append(self, stream, data, use, timeout_ms):
        self.appends += 1
        fault = self.faults.pop(0) if self.faults else ""
        if isinstance(fault, Exception):
            raise fault
        if fault == "late":
            self.delayed.append(data)
        elif fault != "dropped":
            self.apply(data)
        if fault:
            raise native.PlatformUnknownError("no answer")
        return self.current.offset

    async def submit(self, body, request_id="", advance_ms=0, **options):
        task = asyncio.ensure_future(
            self.submissions.submit(body, request_id, **options)
        )
        await self.clock.advance(advance_ms)
        return await task


TEAM = samples.resources.Team(id="t9", name="nine", fleet="f1")


async def test_accepted_after_read_back_at_a_majority():
    entry = FakeEntry()
    result = await entry.submit(samples.change(TEAM))
    assert result.status is Status.ACCEPTED
    assert (result.entries_applied, result.entries_known) == (3, 3)
    assert entry.current.get("team", "t9").version == result.offset


async def test_not_reported_as_accepted_before_most_entries_applied_it():
    """Guards against a change that an entry in outage mode may not have."""
    entry = FakeEntry()
    entry.follows = False
    result = await entry.submit(samples.change(TEAM), "r", advance_ms=10_000)
    assert result.status is Status.UNKNOWN
    assert result.offset and result.entries_applied == 1
    task = asyncio.ensure_future(
        entry.submissions.submit(samples.change(TEAM), "r")
    )
    await entry.clock.advance(1_000)
    assert not task.done()
    entry.others = [result.offset, 0]
    await entry.clock.advance(100)
    assert (await task).status is Status.ACCEPTED
    assert entry.appends == 1


async def test_entries_that_leave_do_not_count_towards_the_majority():
    """A change known only to leaving entries could be lost to the others.

    The known set leaves them out, so counting their offsets reported a
    change as accepted that no majority of the known set had applied.
    """
    entry = FakeEntry()
    entry.follows = False
    entry.others = [10**6, 0]
    entry.leaving = [1]
    result = await entry.submit(samples.change(TEAM), "r", advance_ms=10_000)
    assert result.status is Status.UNKNOWN
    assert result.entries_applied == 1


@pytest.mark.parametrize("fault", ["lost", "dropped", "late"])
async def test_a_lost_append_response_changes_state_once(fault):
    """Guards against a change applied twice after a lost response."""
    entry = FakeEntry()
    entry.faults = [fault]
    result = await entry.submit(samples.change(TEAM), advance_ms=2_000)
    assert result.status is Status.ACCEPTED
    version = entry.current.get("team", "t9").version
    for data in entry.delayed:
        entry.apply(data)
    assert entry.current.get("team", "t9").version == version
    assert entry.appends == (1 if fault == "lost" else 2)


async def test_unknown_when_nothing_can_be_read_back():
    entry = FakeEntry()
    entry.faults = ["dropped"] * 100
    result = await entry.submit(
        samples.change(TEAM), "r", advance_ms=5_000, timeout_ms=5_000
    )
    assert result.status is Status.UNKNOWN
    assert result.request_id == "r"
    entry.faults = []
    again = await entry.submit(samples.change(TEAM), "r")
    assert again.status is Status.ACCEPTED


async def test_not_accepted_passes_on_when_to_try_again():
    entry = FakeEntry()
    entry.faults = [ShedError("budget")]
    result = await entry.submit(samples.change(TEAM))
    assert result.status is Status.NOT_ACCEPTED
    assert result.retry_after_ms == 250
    assert entry.current.get("team", "t9") is None


async def test_refusal_after_a_lost_append_is_not_called_not_accepted():
    """Guards against "not accepted" for a record that is in the log."""
    entry = FakeEntry()
    entry.faults = ["late", ShedError("budget"), ShedError("budget")]
    task = asyncio.ensure_future(
        entry.submissions.submit(samples.change(TEAM), "r")
    )
    await entry.clock.advance(1_500)
    entry.apply(entry.delayed[0])
    await entry.clock.advance(100)
    assert (await task).status is Status.ACCEPTED


async def test_the_loser_of_a_race_gets_the_winning_version():
    entry = FakeEntry()
    assert (await entry.submit(samples.change(TEAM))).offset == 2
    result = await entry.submit(samples.change(TEAM))
    assert result.status is Status.REJECTED
    (conflict,) = result.conflicts
    assert (conflict.code, conflict.version) == ("stale_version", 2)


async def test_a_request_id_means_one_change():
    entry = FakeEntry()
    first = await entry.submit(samples.change(TEAM), "r")
    again = await entry.submit(samples.change(TEAM), "r")
    assert again == first
    other = await entry.submit(samples.change(deletes=[("team", "t1", 1)]), "r")
    assert other.status is Status.REQUEST_ID_REUSED
    assert entry.current.get("team", "t1")
    assert entry.appends == 1


async def test_a_change_that_no_entry_could_read_is_not_appended():
    entry = FakeEntry()
    teams = [
        samples.resources.Team(id=f"x{n}", name=f"x{n}" * 30, fleet="f1")
        for n in range(9_000)
    ]
    result = await entry.submit(samples.change(*teams))
    assert result.status is Status.REJECTED
    assert result.conflicts[0].code == "malformed"
    assert entry.appends == 0


async def test_waiters_are_removed_when_the_caller_gives_up():
    """Guards against memory that grows with each abandoned call."""
    entry = FakeEntry()
    entry.faults = ["dropped"] * 100
    task = asyncio.ensure_future(
        entry.submissions.submit(samples.change(TEAM), records.new_id())
    )
    await entry.clock.advance(100)
    assert entry.submissions.verdict_source.waiters
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert not entry.submissions.verdict_source.waiters


@pytest.mark.parametrize("waiting", [1, 9])
async def test_every_waiting_call_hears_of_records_applied_together(waiting):
    """Guards against a call that waits on although its record is applied."""
    entry = FakeEntry()
    entry.faults = ["late"] * waiting
    names = [f"x{n}" for n in range(waiting)]
    tasks = [
        asyncio.ensure_future(
            entry.submissions.submit(
                samples.change(samples.resources.Fleet(id=name, name=name)), ""
            )
        )
        for name in names
    ]
    await entry.clock.advance(10)
    callbacks, entry.callbacks = entry.callbacks, []
    for batch in (entry.delayed[:4], entry.delayed[4:]):
        # One callback for several records, one of them malformed.
        for data in (*batch[:2], b"junk", *batch[2:]):
            entry.apply(data)
        for callback in callbacks:
            callback(entry.current)
        await entry.clock.advance(10)
    assert all(task.done() for task in tasks)
    assert {task.result().status for task in tasks} == {Status.ACCEPTED}
    assert entry.appends == waiting
