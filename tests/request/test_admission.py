"""Tests of admission control and its fair queue."""

import asyncio
import collections

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from bench import naive_requests as naive
from oleanderbay.process import clock as clocks
from oleanderbay.request import admission, outcome
from oleanderbay.version import resources

SERVICE = resources.Service(id="s", name="s", kind=resources.ServiceKind.MODEL)
FAR_MS = 10**9


def team(id, **fields):
    return resources.Team(id=id, name=id, **fields)


def make_admission(**settings):
    clock = clocks.ManualClock()
    return clock, admission.Admission(
        clock, admission.AdmissionSettings(**settings)
    )


class Callers:
    """Sends requests as tasks and records the order of admission.

    Attributes:
        admission: The admission control under test.
        order: Team, name and slot of each admitted request.
        tasks: All requests in the order in which they were sent.
        served: Number of admitted requests that have ended.
    """

    def __init__(self, admission):
        self.admission = admission
        self.order = []
        self.tasks = []

    async def send(self, sender, name="", deadline_ms=FAR_MS, **options):
        async def request():
            result = await self.admission.admit(
                SERVICE, sender, deadline_ms, **options
            )
            if isinstance(result, admission.Slot):
                self.order.append((sender.id, name, result))
            return result

        self.tasks.append(asyncio.create_task(request()))
        await asyncio.sleep(0)
        return self.tasks[-1]

    async def serve(self):
        """Ends the admitted request that has run longest."""
        self.order[self.served][2].close()
        self.served += 1
        for _ in range(3):
            await asyncio.sleep(0)

    served = 0

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def test_one_team_is_served_like_a_first_come_queue():
    """Requests of one team that are alike must be served in FIFO order."""
    _, queue = make_admission(max_selecting=1)
    callers, first_come = Callers(queue), naive.Queue()
    for name in range(20):
        await callers.send(team("a"), name)
        first_come.push(name)
    for _ in range(19):
        await callers.serve()
    assert [name for _, name, _ in callers.order] == list(first_come.waiting)
    await callers.close()


@pytest.mark.parametrize("shares", ((1, 1), (1, 3)))
async def test_teams_are_served_by_their_shares(shares):
    """A team that sends ten times its share must not displace the others."""
    _, queue = make_admission(max_selecting=1)
    callers = Callers(queue)
    big, small = team("big", share=shares[0]), team("small", share=shares[1])
    for name in range(200):
        await callers.send(big, name)
    for name in range(40):
        await callers.send(small, name)
    for _ in range(40):
        await callers.serve()
    served = collections.Counter(id for id, _, _ in callers.order)
    expected = 40 * shares[1] / sum(shares)
    assert abs(served["small"] - expected) <= 2
    await callers.close()


async def test_full_queue_refuses_the_team_that_fills_it():
    """A queue that one team has filled must still accept other teams."""
    _, queue = make_admission(max_selecting=1, max_queued=10)
    callers = Callers(queue)
    for _ in range(20):
        await callers.send(team("big"))
    assert sum(task.done() for task in callers.tasks) == 10
    newcomer = await callers.send(team("small"))
    assert not newcomer.done()
    await asyncio.sleep(0)
    refused = [
        task.result()
        for task in callers.tasks
        if task.done() and isinstance(task.result(), outcome.Refusal)
    ]
    assert len(refused) == 10
    assert {r.reason for r in refused} == {outcome.Reason.QUEUE_FULL}
    assert all(r.retry_after_ms > 0 for r in refused)
    assert queue.queued("s") == 10
    await callers.close()


async def test_priority_then_deadline_within_a_team():
    """An urgent request must not wait behind its team's batch requests."""
    _, queue = make_admission(max_selecting=1)
    callers = Callers(queue)
    await callers.send(team("a"), "first")
    await callers.send(team("a"), "late", deadline_ms=9_000)
    await callers.send(team("a"), "soon", deadline_ms=5_000)
    await callers.send(team("a"), "urgent", priority=9)
    for _ in range(3):
        await callers.serve()
    names = [name for _, name, _ in callers.order]
    assert names == ["first", "urgent", "soon", "late"]
    await callers.close()


async def test_deadline_that_cannot_be_met_is_refused_at_once():
    """A request that can't meet its deadline must be refused immediately.

    A late refusal leaves the caller no time to try elsewhere.
    """
    clock, queue = make_admission(max_selecting=1)
    callers = Callers(queue)
    for _ in range(40):
        await callers.send(team("a"))
    for _ in range(20):
        clock.set_ms(clock.now_ms() + 100)
        await callers.serve()
    refused = await callers.send(team("a"), deadline_ms=clock.now_ms() + 500)
    assert refused.result().reason is outcome.Reason.DEADLINE
    assert refused.result().outcome is outcome.Outcome.NOT_RUN
    assert refused.result().retry_after_ms > 500
    small = await callers.send(team("b"), deadline_ms=clock.now_ms() + 500)
    assert not small.done()
    await callers.close()


async def test_waiting_request_is_refused_at_its_deadline():
    """A request that stayed queued past its deadline would block its caller."""
    clock, queue = make_admission(max_selecting=1)
    callers = Callers(queue)
    await callers.send(team("a"))
    waiting = await callers.send(team("a"), deadline_ms=1_000)
    await queue.start()
    await clock.advance(990)
    assert not waiting.done()
    await clock.advance(30)
    assert waiting.result().reason is outcome.Reason.DEADLINE
    late = await callers.send(team("a"))
    await queue.stop()
    await asyncio.sleep(0)
    assert late.result().reason is outcome.Reason.LEAVING
    await callers.close()


async def test_team_limit_is_refused_and_freed():
    """A team must not exceed its limit of requests in flight at an entry."""
    _, queue = make_admission()
    callers = Callers(queue)
    limited = team("a", max_in_flight=2)
    for _ in range(3):
        await callers.send(limited)
    await asyncio.sleep(0)
    assert callers.tasks[2].result().reason is outcome.Reason.TEAM_LIMIT
    assert callers.tasks[2].result().status == 429
    await callers.serve()
    assert isinstance(await (await callers.send(limited)), admission.Slot)


async def test_slot_is_free_at_once_when_its_caller_goes():
    """A cancelled request must release its place, and only once."""
    _, queue = make_admission(max_selecting=1)
    callers = Callers(queue)
    first = await callers.send(team("a"))
    second = await callers.send(team("a"))
    third = await callers.send(team("b"))
    second.cancel()
    await asyncio.sleep(0)
    assert queue.queued("s") == 1
    # Cancelled in the event loop iteration in which it is granted a slot.
    first.result().close()
    third.cancel()
    await asyncio.gather(third, return_exceptions=True)
    assert queue.in_flight("s") == 0
    fourth = await callers.send(team("a"))
    assert isinstance(await fourth, admission.Slot)
    fourth.result().close()
    fourth.result().close()
    assert queue.in_flight("s") == 0


class QueueMachine(stateful.RuleBasedStateMachine):
    """Checks counts and fairness under arrivals, ends and cancellations."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.clock, self.queue = make_admission(max_selecting=2, max_queued=12)
        self.callers = Callers(self.queue)
        # Consecutive admissions of the big team while the small one waited.
        self.overtaken = 0
        self.seen = 0

    def run(self, coroutine):
        return self.runner.run(coroutine)

    @stateful.rule(n=st.integers(1, 10))
    def flood(self, n):
        for _ in range(n):
            self.run(self.callers.send(team("big")))

    @stateful.rule(wait_ms=st.sampled_from((50, 500, FAR_MS)))
    def small(self, wait_ms):
        deadline_ms = self.clock.now_ms() + wait_ms
        self.run(self.callers.send(team("small"), deadline_ms=deadline_ms))

    @stateful.rule(n=st.integers(1, 4))
    def serve(self, n):
        for _ in range(n):
            if self.callers.served < len(self.callers.order):
                self.clock.set_ms(self.clock.now_ms() + 20)
                self.run(self.callers.serve())

    @stateful.rule(index=st.integers(0, 200))
    def cancel(self, index):
        if index < len(self.callers.tasks):
            self.callers.tasks[index].cancel()
            self.run(asyncio.sleep(0))

    @stateful.rule()
    def expire(self):
        self.queue.step()
        self.run(asyncio.sleep(0))

    @stateful.invariant()
    def counts_add_up(self):
        held = len(self.callers.order) - self.callers.served
        waiting = sum(not task.done() for task in self.callers.tasks)
        assert self.queue.in_flight("s") == held <= 2
        assert self.queue.queued("s") == waiting <= 12
        assert held == 2 or waiting == 0

    @stateful.invariant()
    def small_team_is_not_starved(self):
        queue = self.queue._queues.get("s")
        flow = queue.flows.get("small") if queue else None
        for id, _, _ in self.callers.order[self.seen :]:
            waits = flow is not None and flow.queued_count
            self.overtaken = self.overtaken + 1 if id == "big" and waits else 0
        self.seen = len(self.callers.order)
        assert self.overtaken <= 3

    def teardown(self):
        self.run(self.callers.close())
        self.runner.close()


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)
