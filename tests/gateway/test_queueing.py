"""Tests of the queues of requests that wait for a slot."""

import asyncio

import pytest

from oleanderbay.gateway import queueing
from tests.gateway import parts


class Queue:
    """One full worker and the requests that wait for it."""

    def __init__(self):
        self.gateway = parts.GatewayParts()
        self.gateway.add(parts.worker("a"))
        self.gateway.loads.record_start("a")
        self.assigned = []
        self.tasks = []

    def wait(self, name, priority=0, tried=(), wait_until_ms=10_000, **more):
        async def acquire():
            found = await self.gateway.queues.acquire_worker(
                parts.PLAIN_SERVICE, "", tried, priority, wait_until_ms, **more
            )
            self.assigned.append((name, getattr(found, "id", found)))
            if found == self.gateway.state.workers["a"]:
                self.gateway.loads.record_start("a")

        self.tasks.append(asyncio.create_task(acquire()))
        return self.tasks[-1]

    async def serve(self, count):
        """Frees a number of slots; returns the requests that got them."""
        before = len(self.assigned)
        for done in range(before + 1, before + count + 1):
            self.free()
            await parts.wait_until(lambda done=done: len(self.assigned) >= done)
        return [name for name, _ in self.assigned[before:]]

    def free(self):
        self.gateway.loads.record_end("a")
        self.gateway.queues.dispatch("plain", "")


@pytest.fixture
async def queue():
    made = Queue()
    yield made
    for task in made.tasks:
        task.cancel()


async def test_requests_are_served_by_priority_and_arrival(queue):
    """Requests of equal priority are served first come, first served."""
    for name, priority in (("late", 5), ("x", 1), ("y", 1), ("first", 0)):
        queue.wait(name, priority)
        await asyncio.sleep(0)
    for count in range(1, 5):
        queue.free()
        await parts.wait_until(lambda count=count: len(queue.assigned) == count)
    assert [name for name, _ in queue.assigned] == ["first", "x", "y", "late"]


async def test_a_cancelled_request_passes_its_slot_on(queue):
    """Otherwise the next request would wait although a worker is free."""
    first = queue.wait("first")
    queue.wait("second")
    await asyncio.sleep(0)
    queue.free()
    first.cancel()
    await parts.wait_until(lambda: queue.assigned)
    assert queue.assigned == [("second", "a")]


async def test_a_retried_request_does_not_block_others(queue):
    """It can't use the worker that it was sent to, and may wait for long."""
    queue.wait("retry", -1, tried={"a"})
    await asyncio.sleep(0)
    queue.wait("new", 1)
    await asyncio.sleep(0)
    queue.free()
    await parts.wait_until(lambda: queue.assigned)
    assert queue.assigned == [("new", "a")]


async def test_a_wait_ends_at_its_time_limit(queue):
    """A late refusal is as bad for the caller as a lost request."""
    queue.wait("now", wait_until_ms=0)
    await parts.wait_until(lambda: queue.assigned)
    queue.wait("later", wait_until_ms=50)
    await asyncio.sleep(0)
    queue.gateway.clock.set_ms(50)
    await parts.wait_until(lambda: len(queue.assigned) == 2)
    full = parts.selection.NoWorker.ALL_FULL
    assert queue.assigned == [("now", full), ("later", full)]


async def test_a_large_team_does_not_hold_up_a_small_one(queue):
    """First come, first served gives most slots to the largest team."""
    for _ in range(10):
        queue.wait("large", team="large")
        await asyncio.sleep(0)
    queue.wait("small", team="small")
    await asyncio.sleep(0)
    assert "small" in await queue.serve(2)


async def test_a_less_urgent_priority_is_not_starved(queue):
    """Under overload, there is always a more urgent request waiting."""
    for _ in range(20):
        queue.wait("urgent", 0)
        queue.wait("patient", 2)
    await asyncio.sleep(0)
    served = await queue.serve(20)
    assert served[:2] == ["urgent", "urgent"]
    # Half of all requests are served; a quarter of that share is one in eight.
    assert 20 / 8 <= served.count("patient") <= 10


async def test_a_started_request_goes_first(queue):
    """Its work would be lost while a less urgent priority catches up."""
    for _ in range(20):
        queue.wait("urgent", 0)
        queue.wait("patient", 2)
    await asyncio.sleep(0)
    scheduler = queue.gateway.queues._queue("plain", "").fairness
    while not scheduler.is_underserved(2):
        assert await queue.serve(1) == ["urgent"]
    queue.wait("started", queueing.STARTED_PRIORITY)
    await asyncio.sleep(0)
    assert await queue.serve(2) == ["started", "patient"]


async def test_a_request_that_would_be_late_is_refused_immediately(queue):
    """A wait that ends in a refusal wastes the caller's time."""
    queue.gateway.queues.record_slot_time("plain", "", 1_000)
    queue.wait("late", wait_until_ms=600, free_refusal_until_ms=300)
    await parts.wait_until(lambda: queue.assigned)
    assert queue.assigned == [("late", parts.selection.NoWorker.ALL_FULL)]
    queue.wait("in time", wait_until_ms=3_000, free_refusal_until_ms=300)
    queue.wait("behind it", wait_until_ms=2_900, free_refusal_until_ms=300)
    await asyncio.sleep(0)
    assert [name for name, _ in queue.assigned] == ["late", "behind it"]
    queue.gateway.clock.set_ms(400)
    assert await queue.serve(1) == ["in time"]


async def test_a_request_is_refused_while_that_is_free(queue):
    """Urgent requests that arrive later can worsen its forecast."""
    queue.gateway.queues.record_slot_time("plain", "", 1_000)
    queue.wait("patient", 2, wait_until_ms=5_000, free_refusal_until_ms=500)
    await asyncio.sleep(0)
    for _ in range(4):
        queue.wait("urgent", 0)
    await asyncio.sleep(0)
    queue.gateway.clock.set_ms(500)
    await parts.wait_until(lambda: queue.assigned)
    assert queue.assigned == [("patient", parts.selection.NoWorker.ALL_FULL)]


async def test_a_committed_request_is_promoted_before_it_is_late(queue):
    """More urgent requests would overtake it until it has to be refused."""
    queue.gateway.queues.record_slot_time("plain", "", 100)
    queue.wait("patient", 2, wait_until_ms=4_000, free_refusal_until_ms=500)
    await asyncio.sleep(0)
    queue.gateway.clock.set_ms(500)
    queue.gateway.queues.dispatch("plain", "")
    queue.wait("urgent", 0)
    queue.wait("urgent", 0)
    await asyncio.sleep(0)
    assert await queue.serve(1) == ["urgent"]
    queue.gateway.clock.set_ms(2_300)
    assert await queue.serve(1) == ["patient"]


async def test_a_new_gateway_expects_slots_at_workers_that_peers_fill(queue):
    """It holds no slots yet and would otherwise refuse all its requests."""
    queue.gateway.loads.record_end("a")
    queue.gateway.add(parts.worker("b", slots=9))
    queue.gateway.loads.update_peer("p", {"a": 1, "b": 9})
    queue.gateway.queues.record_slot_time("plain", "", 1_000)
    queue.wait("new", wait_until_ms=600, free_refusal_until_ms=100)
    await asyncio.sleep(0)
    assert not queue.assigned


async def test_a_cancelled_request_releases_its_slot(queue):
    """A slot counts as load from the time at which it is assigned."""
    task = queue.wait("cancelled")
    await asyncio.sleep(0)
    queue.free()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert queue.gateway.loads.in_flight("a") == 0
    queue.wait("next")
    await parts.wait_until(lambda: queue.assigned)
    assert queue.assigned == [("next", "a")]


# A process that had been paused acted on a permission that had run out: a
# request got its slot before the pause and was sent after it.
async def test_a_slot_that_was_assigned_before_a_pause_is_assigned_anew(queue):
    gateway = queue.gateway
    gateway.add(parts.worker("b", zone="z2"))
    gateway.loads.record_start("b")
    queue.wait("x")
    await asyncio.sleep(0)
    queue.free()
    # The request has a slot, but its task has not run yet.
    gateway.clock.set_ms(gateway.clock.now_ms() + 3_000)
    gateway.add(parts.worker("a", draining=True))
    gateway.loads.record_end("b")
    await parts.wait_until(lambda: queue.assigned)
    assert queue.assigned == [("x", "b")]
    assert gateway.loads.in_flight("a") == 0
