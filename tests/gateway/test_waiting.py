"""Tests of the queue for requests that find all workers full."""

import asyncio

import pytest

from tests.gateway import parts


class Queue:
    """One full worker, and requests that wait for it."""

    def __init__(self):
        self.known = parts.Known()
        self.known.add(parts.worker("a"))
        self.known.loads.told("p", {"a": 1})
        self.known.loads.started("a")
        self.placed = []
        self.tasks = []

    def wait(self, name, priority=0, tried=(), until_ms=10_000):
        async def place():
            found = await self.known.waiting.place(
                parts.PLAIN, "", tried, priority, until_ms
            )
            self.placed.append((name, getattr(found, "id", found)))
            if found == self.known.state.workers["a"]:
                self.known.loads.started("a")

        self.tasks.append(asyncio.create_task(place()))
        return self.tasks[-1]

    def free(self):
        self.known.loads.finished("a")
        self.known.waiting.wake("plain", "")


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
    missing = parts.choice.Missing.FULL
    assert queue.placed == [("now", missing), ("later", missing)]
