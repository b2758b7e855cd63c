"""Tests of appends whose answers are lost, late or refused by the budget."""

import asyncio
import random

import pytest

from oleanderbay.native import interfaces as native
from oleanderbay.process import clock as clocks
from oleanderbay.process.configuration import appender, budget
from oleanderbay.standins import log
from oleanderbay.version import records
from tests.process.configuration import cluster


class Bench:
    """An appender on an in-process log."""

    def __init__(self, per_s=300.0):
        self.clock = clocks.ManualClock()
        self.log = log.Log(self.clock)
        self.client = log.LogClient(self.log)
        self.budget = budget.AppendBudget(self.clock, per_s)
        self.appender = appender.Appender(
            self.client, self.budget, self.clock, random.Random(1)
        )

    def append(self, data, use="operator", timeout_ms=5_000):
        return self.appender.append("config", data, use, timeout_ms)

    async def run(self, awaitable):
        task = asyncio.ensure_future(awaitable)
        while not task.done():
            await self.clock.advance(5)
        return await task

    def stored(self):
        return [r.data for r in self.log.read_now("config", 1, 1_000).records]


RECORD = cluster.team_record("t")
OTHER = cluster.team_record("other")


async def test_lost_answer_is_resolved_by_reading():
    """A lost answer must not lead to a second record."""
    bench = Bench()
    await bench.run(bench.append(OTHER))
    bench.log.faults.lose_answers = 1
    assert await bench.run(bench.append(RECORD)) == 2
    assert bench.stored() == [OTHER, RECORD]


@pytest.mark.parametrize("hold_ms", [10, 100, 5_000])
async def test_delayed_append_is_found_or_repeated_with_the_same_id(hold_ms):
    """A delayed append may land before or after its repetition."""
    bench = Bench()
    bench.log.faults.hold_appends, bench.log.faults.hold_ms = 1, hold_ms
    offset = await bench.run(bench.append(RECORD))
    await bench.clock.advance(10_000)
    assert offset == 1
    assert set(bench.stored()) == {RECORD}
    await bench.log.close()


async def test_log_down_after_a_lost_answer_stays_unknown():
    """Saying "not accepted" would be a lie if the record took effect."""
    bench = Bench()
    bench.log.faults.lose_answers = 1
    bench.log.faults.read_delay_ms = 50
    task = asyncio.ensure_future(bench.append(RECORD, "claim", 1_000))
    await bench.clock.advance(10)
    assert bench.stored() == [RECORD]
    bench.client.cut = True
    with pytest.raises(native.PlatformUnknownError):
        await bench.run(task)


async def test_refused_append_is_unavailable():
    """Nothing was appended, so the caller may say so."""
    bench = Bench()
    bench.log.faults.down = True
    with pytest.raises(native.PlatformUnavailableError):
        await bench.run(bench.append(RECORD))
    assert bench.log.appended == 0


async def test_expired_records_do_not_stop_the_search():
    """The search may start before what the log still holds."""
    bench = Bench()
    for number in range(5):
        bench.log.append_now("config", b"%d" % number)
    bench.log.expire("config", 4)
    bench.log.faults.lose_answers = 1
    assert await bench.run(bench.append(RECORD)) == 6


async def test_same_record_at_the_same_time_is_appended_once():
    """A caller's retry must not cost a second append."""
    bench = Bench()
    bench.log.faults.append_delay_ms = 10
    both = asyncio.gather(bench.append(RECORD), bench.append(RECORD))
    assert await bench.run(both) == [1, 1]
    assert bench.log.appended == 1
    await bench.appender.close()


async def test_used_up_budget_says_when_to_try_again():
    """Backpressure must be marked as not accepted."""
    bench = Bench(per_s=4.0)
    errors = []
    for number in range(10):
        data = cluster.team_record(f"t{number}")
        try:
            await bench.run(bench.append(data, "checkpoint"))
        except appender.AppendBudgetError as error:
            errors.append(error)
            assert data not in bench.stored()
    assert errors and all(error.retry_after_ms > 0 for error in errors)
    assert isinstance(errors[0], native.PlatformUnavailableError)
    with pytest.raises(ValueError):
        await bench.append(RECORD, "nothing")


def takes(clock, bucket, wanted, seconds):
    """Counts what each use gets when it asks `wanted` times a second."""
    got = dict.fromkeys(wanted, 0)
    for _ in range(seconds * 100):
        clock.set_ms(clock.now_ms() + 10)
        for use, per_s in wanted.items():
            for _ in range(per_s // 100):
                got[use] += bucket.take(use) == 0
    return {use: count / seconds for use, count in got.items()}


def test_operators_burst_does_not_starve_other_uses():
    """200 changes a second are accepted and claims keep their share."""
    clock = clocks.ManualClock()
    bucket = budget.AppendBudget(clock, 400.0)
    got = takes(clock, bucket, {"operator": 200}, 20)
    assert got["operator"] == 200
    got = takes(clock, bucket, {"operator": 1_000, "claim": 100}, 20)
    assert got["claim"] == 100
    assert sum(got.values()) <= 400 * 1.05


def test_uses_are_shed_in_the_stated_order():
    """Under overload every use keeps its share, in the order of the page."""
    clock = clocks.ManualClock()
    bucket = budget.AppendBudget(clock, 100.0)
    got = takes(clock, bucket, dict.fromkeys(budget.SHARES, 1_000), 20)
    for use, share in budget.SHARES.items():
        assert got[use] >= share.guaranteed * 100 * 0.95
    clock = clocks.ManualClock()
    bucket = budget.AppendBudget(clock, 100.0)
    shed = [
        use for _ in range(200) for use in budget.SHARES if bucket.take(use) > 0
    ]
    assert list(dict.fromkeys(shed)) == list(budget.SHARES)


def test_rate_follows_what_others_append():
    """All entries together must stay below what the log takes."""
    bucket = budget.AppendBudget(clocks.ManualClock(), 280.0)
    bucket.set_others(7, 0)
    assert bucket.rate_per_s == 280
    bucket.set_others(7, 200)
    assert bucket.rate_per_s == 80
    bucket.set_others(7, 1_000)
    assert bucket.rate_per_s == 40


def test_record_id_is_read_from_any_map():
    """Claims are other maps with an id; anything else has none."""
    assert appender._id(RECORD) == records.decode(RECORD).id
    for data in (b"", b"\xc1", b"\x01", b"\x81"):
        assert appender._id(data) is None
