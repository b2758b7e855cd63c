"""Tests of the queue for requests that find all workers full."""

import asyncio

import pytest

from oleanderbay.gateway import queueing
from tests.gateway import parts


class Queue:
    """One full worker, and requests that wait for it."""

    def __init__(self):
        self.known = parts.Known()
        self.known.add(parts.worker("a"))
        self.known.loads.started("a")
        self.placed = []
        self.tasks = []

    def wait(self, name, priority=0, tried=(), until_ms=10_000, **more):
        async def place():
            found = await self.known.waiting.acquire_worker(
                parts.PLAIN, "", tried, priority, until_ms, **more
            )
            self.placed.append((name, getattr(found, "id", found)))
            if found == self.known.state.workers["a"]:
                self.known.loads.started("a")

        self.tasks.append(asyncio.create_task(place()))
        return self.tasks[-1]

    async def serve(self, count):
        """Gives a number of places; returns who got them."""
        before = len(self.placed)
        for done in range(before + 1, before + count + 1):
            self.free()
            await parts.until(lambda done=done: len(self.placed) >= done)
        return [name for name, _ in self.placed[before:]]

    def free(self):
        self.known.loads.finished("a")
        self.known.waiting.dispatch("plain", "")


@pytest.fixture
async def queue():
    made = Queue()
    yield made
    for task in made.tasks:
        task.cancel()


async def test_the_most_urgent_waits_least(queue):
    """Equal priorities are served in the order of their arrival."""
    for name, priority in (("late", 5), ("x", 1), ("y", 1), ("first", 0)):
        queue.wait(name, priority)
        await asyncio.sleep(0)
    for count in range(1, 5):
        queue.free()
        await parts.until(lambda count=count: len(queue.placed) == count)
    assert [name for name, _ in queue.placed] == ["first", "x", "y", "late"]


async def test_a_wake_up_is_not_lost_with_a_cancelled_request(queue):
    """The next one would wait although a worker is free."""
    first = queue.wait("first")
    queue.wait("second")
    await asyncio.sleep(0)
    queue.free()
    first.cancel()
    await parts.until(lambda: queue.placed)
    assert queue.placed == [("second", "a")]


async def test_a_request_that_has_had_the_worker_does_not_block_others(queue):
    """It can't take the free place, and it may wait for a whole target."""
    queue.wait("retry", -1, tried={"a"})
    await asyncio.sleep(0)
    queue.wait("new", 1)
    await asyncio.sleep(0)
    queue.free()
    await parts.until(lambda: queue.placed)
    assert queue.placed == [("new", "a")]


async def test_the_wait_ends_at_its_time(queue):
    """A refusal that comes late costs as much as a lost request."""
    queue.wait("now", until_ms=0)
    await parts.until(lambda: queue.placed)
    queue.wait("later", until_ms=50)
    await asyncio.sleep(0)
    queue.known.clock.set_ms(50)
    await parts.until(lambda: len(queue.placed) == 2)
    missing = parts.selection.NoWorker.ALL_FULL
    assert queue.placed == [("now", missing), ("later", missing)]


async def test_a_large_team_does_not_hold_up_a_small_one(queue):
    """First come, first served gives all places to who sends the most."""
    for _ in range(10):
        queue.wait("large", team="large")
        await asyncio.sleep(0)
    queue.wait("small", team="small")
    await asyncio.sleep(0)
    assert "small" in await queue.serve(2)


async def test_a_less_urgent_kind_is_not_starved(queue):
    """Under overload there is always a more urgent request."""
    for _ in range(20):
        queue.wait("urgent", 0)
        queue.wait("patient", 2)
    await asyncio.sleep(0)
    served = await queue.serve(20)
    assert served[:2] == ["urgent", "urgent"]
    # Half of all requests are served, so a quarter as often is one in eight.
    assert 20 / 8 <= served.count("patient") <= 10


async def test_a_request_that_was_begun_goes_first(queue):
    """Its work would be lost while a less urgent kind catches up."""
    for _ in range(20):
        queue.wait("urgent", 0)
        queue.wait("patient", 2)
    await asyncio.sleep(0)
    turns = queue.known.waiting._queue("plain", "").fairness
    while not turns.is_underserved(2):
        assert await queue.serve(1) == ["urgent"]
    queue.wait("begun", queueing.STARTED_PRIORITY)
    await asyncio.sleep(0)
    assert await queue.serve(2) == ["begun", "patient"]


async def test_a_hopeless_request_is_refused_at_once(queue):
    """A wait that ends in a refusal wastes the time of the caller."""
    queue.known.waiting.record_slot_time("plain", "", 1_000)
    queue.wait("late", until_ms=600, free_until_ms=300)
    await parts.until(lambda: queue.placed)
    assert queue.placed == [("late", parts.selection.NoWorker.ALL_FULL)]
    queue.wait("in time", until_ms=3_000, free_until_ms=300)
    queue.wait("behind it", until_ms=2_900, free_until_ms=300)
    await asyncio.sleep(0)
    assert [name for name, _ in queue.placed] == ["late", "behind it"]
    queue.known.clock.set_ms(400)
    assert await queue.serve(1) == ["in time"]


async def test_a_free_refusal_is_not_missed(queue):
    """Urgent requests that come later can make the forecast worse."""
    queue.known.waiting.record_slot_time("plain", "", 1_000)
    queue.wait("patient", 2, until_ms=5_000, free_until_ms=500)
    await asyncio.sleep(0)
    for _ in range(4):
        queue.wait("urgent", 0)
    await asyncio.sleep(0)
    queue.known.clock.set_ms(500)
    await parts.until(lambda: queue.placed)
    assert queue.placed == [("patient", parts.selection.NoWorker.ALL_FULL)]


async def test_a_request_that_stays_is_not_overtaken_until_it_is_late(queue):
    """Its refusal would no longer be free."""
    queue.known.waiting.record_slot_time("plain", "", 100)
    queue.wait("patient", 2, until_ms=4_000, free_until_ms=500)
    await asyncio.sleep(0)
    queue.known.clock.set_ms(500)
    queue.known.waiting.dispatch("plain", "")
    queue.wait("urgent", 0)
    queue.wait("urgent", 0)
    await asyncio.sleep(0)
    assert await queue.serve(1) == ["urgent"]
    queue.known.clock.set_ms(2_300)
    assert await queue.serve(1) == ["patient"]


async def test_a_new_gateway_expects_places_at_workers_that_others_fill(queue):
    """It holds none of them itself, and would refuse all its requests."""
    queue.known.loads.finished("a")
    queue.known.add(parts.worker("b", slots=9))
    queue.known.loads.update_peer("p", {"a": 1, "b": 9})
    queue.known.waiting.record_slot_time("plain", "", 1_000)
    queue.wait("new", until_ms=600, free_until_ms=100)
    await asyncio.sleep(0)
    assert not queue.placed


async def test_a_cancelled_request_returns_its_place(queue):
    """The place counts as load from the time at which it was given."""
    task = queue.wait("cancelled")
    await asyncio.sleep(0)
    queue.free()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert queue.known.loads.in_flight("a") == 0
    queue.wait("next")
    await parts.until(lambda: queue.placed)
    assert queue.placed == [("next", "a")]
