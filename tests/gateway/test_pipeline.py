"""Tests of one request against workers' stand-ins with faults."""

import asyncio
import contextlib
import dataclasses
import random
from unittest import mock

import multidict
import pytest

from oleanderbay.gateway import (
    attempt,
    budget,
    demand,
    interfaces,
    pipeline,
    table,
    worker_client,
)
from oleanderbay.platform import http_headers, names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import group_worker
from tests.gateway import parts

# A status by which the gateway promises that a request did not run.
PROMISES = (408, 421, 429, 503)
ROUTE = parts.ROUTE
WHOLE = b'{"worker": "w0", "bytes": 4}'
STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(5))


class Caller:
    """Keeps what a caller would get."""

    def __init__(self):
        self.started = False
        self.status = None
        self.body = b""
        self.complete = False

    async def begin(self, status, headers):
        self.started, self.status = True, status

    async def write(self, data):
        self.body += data

    async def end(self):
        self.complete = True

    async def send_complete(self, status, headers, body):
        await self.begin(status, headers)
        self.body, self.complete = body, True


class World:
    """A pipeline and its workers."""

    def __init__(self, route, clock=None):
        self.known = parts.Known(
            clock or clocks.SystemClock(), parts.tables(routes=(route,))
        )
        self.workers = []
        clock = self.known.clock
        self.sender = parts.sender(clock, self.known.choices.accepting_worker)
        shared = {
            "selector": self.known.choices,
            "worker_health": self.known.evidence,
            "retry_budget": budget.RetryBudget(
                clock, 0.2, 100, 10_000, lambda: 1
            ),
            "clock": clock,
        }
        attempts = attempt.Dependencies(
            sender=self.sender,
            translator=http_headers.HeaderTranslator(),
            max_answer_bytes=1 << 20,
            max_event_bytes=1 << 10,
            **shared,
        )
        self.pipeline = pipeline.Pipeline(
            pipeline.Dependencies(
                known=self.known.state,
                queues=self.known.waiting,
                loads=self.known.loads,
                demand=demand.Demand(clock),
                attempt_runner=attempt.AttemptRunner(attempts),
                rng=random.Random(1),
                **shared,
            )
        )

    async def call(self, target="/whole", caller=None, **changes):
        caller = caller or Caller()
        headers = multidict.CIMultiDict({names.REQUEST_ID: "r1"})
        fields = {"body": b"body", "timeout_ms": 0, **changes}
        refusal = await self.pipeline.run(
            interfaces.CallerRequest(
                id="r1",
                method="POST",
                host="api",
                target=target,
                headers=headers,
                arrived_ms=self.known.clock.now_ms(),
                **fields,
            ),
            caller,
        )
        if refusal is not None and not caller.started:
            caller.status = refusal.status
        return caller

    def fault(self, name, *, all_workers=False):
        for one in self.workers:
            one.faults[name] = 99 if all_workers else 0
        self.workers[0].faults[name] = 99

    @property
    def runs(self):
        return sum(len(one.executions) for one in self.workers)


@contextlib.asynccontextmanager
async def world(count=2, clock=None, **changes):
    made = World(dataclasses.replace(parts.ROUTE, **changes), clock)
    await made.sender.start()
    for number in range(count):
        one = group_worker.GroupWorker(f"w{number}", "plain")
        await one.start()
        made.workers.append(one)
        # The first worker is the one that requests are sent to first.
        zone = "z2" if number else "z1"
        made.known.add(
            parts.worker(one.id, address=one.address, slots=4, zone=zone)
        )
    yield made
    await made.sender.close()
    for one in made.workers:
        await one.close()


@pytest.mark.parametrize("path", ["/whole", "/stream"])
@pytest.mark.parametrize("fault", group_worker.FAULTS)
async def test_a_non_idempotent_request_runs_at_most_once(fault, path):
    """A second run can't be undone; a promise must hold for all workers."""
    async with world(
        kind=table.RouteKind.NON_IDEMPOTENT, timeout_ms=400
    ) as made:
        made.fault(fault)
        caller = await made.call(path)
        assert made.runs <= 1
        assert caller.status not in PROMISES or made.runs == 0
        if fault == "extra_bytes" and caller.status == 200:
            assert caller.body in (WHOLE, STREAM)
        ends_well = (*group_worker.NOT_RUN, "extra_bytes", "early_answer")
        if fault in ("refuse", "other_worker"):
            # It did not run, so that another worker answers.
            assert caller.status == 200 and made.workers[1].executions
        elif fault not in ends_well and not (
            fault == "reset_in_event" and path == "/whole"
        ):
            assert not (caller.status == 200 and caller.complete)


@pytest.mark.parametrize("fault", group_worker.FAULTS)
async def test_a_promise_not_to_have_run_holds(fault):
    """A caller repeats a request after a 503, whatever its kind."""
    for path in ("/whole", "/stream"):
        async with world(timeout_ms=400, max_attempts=2) as made:
            made.fault(fault, all_workers=True)
            caller = await made.call(path)
            assert made.runs <= 2
            assert caller.status not in PROMISES or made.runs == 0


async def test_a_later_refusal_does_not_hide_an_earlier_run():
    """The first worker may have run what the second one refused."""
    async with world() as made:
        made.workers[0].faults["reset_after"] = 1
        made.workers[1].faults["refuse"] = 1
        assert (await made.call()).status == 502
        made.workers[0].faults["reset_after"] = 1
        made.workers[1].faults["broken"] = 1
        assert (await made.call()).status == 502


@pytest.mark.parametrize(
    "fault",
    [
        f
        for f in group_worker.FAULTS
        if f not in ("extra_bytes", "early_answer")
    ],
)
async def test_an_idempotent_request_succeeds_at_another_worker(fault):
    """One bad worker must not cost a request that may be repeated."""
    async with world() as made:
        made.fault(fault)
        caller = await made.call()
        assert caller.status == 200 and caller.complete
        assert caller.body.replace(b"w1", b"w0") == WHOLE


STREAMING = {
    "kind": table.RouteKind.STREAM,
    "gap_target_ms": 200,
    "resumable": True,
}


async def test_a_broken_stream_goes_on_after_the_last_whole_event():
    """No event may be missing, repeated or cut."""
    for fault, resumed in (("reset_in_event", "1"), ("no_length_reset", "0")):
        async with world(**STREAMING) as made:
            made.fault(fault)
            caller = await made.call("/stream")
            assert caller.body == STREAM and caller.complete
            (second,) = made.workers[1].executions
            assert second.headers[names.LAST_EVENT_ID.lower()] == resumed


async def test_a_silent_stream_goes_on_at_another_worker():
    """A group that lost a member goes on to accept but writes nothing."""
    async with world(**STREAMING) as made:
        made.workers[0].hold_after = 2
        caller = await made.call("/stream")
        assert caller.body == STREAM and caller.complete
        await parts.until(lambda: made.workers[0].abandoned == 1)


@pytest.mark.parametrize("fault", ["reset_in_event", "no_length_reset"])
async def test_a_stream_that_can_not_go_on_is_incomplete(fault):
    """A part of a stream must not look like the whole."""
    async with world(**{**STREAMING, "resumable": False}) as made:
        made.fault(fault)
        caller = await made.call("/stream")
        assert caller.started and not caller.complete
        assert STREAM.startswith(caller.body) and made.runs == 1


async def test_only_a_repeatable_request_goes_on_an_idle_connection():
    """A worker may close it as the request arrives."""
    for kind, ports in ((table.RouteKind.NON_IDEMPOTENT, 2), (ROUTE.kind, 1)):
        async with world(1, kind=kind) as made:
            for _ in range(2):
                assert (await made.call()).status == 200
            assert len({e.port for e in made.workers[0].executions}) == ports


async def test_a_connection_that_ends_as_it_is_used_is_not_a_failure():
    """The only worker gets the request again, on a new connection."""
    for changes, left, status in (
        ({}, 100, 200),
        ({"max_attempts": 1}, 100, 502),
        ({}, 0, 502),
    ):
        async with world(1, **changes) as made:
            await made.call()
            made.pipeline.deps.retry_budget.extra = left
            made.pipeline.deps.retry_budget.ratio = 0
            made.workers[0].faults["reset_before"] = 1
            assert (await made.call()).status == status
            assert not made.known.evidence.worker("w0").failures
            made.fault("reset_before")
            assert (await made.call()).status in (502, 503)
            assert made.known.evidence.worker("w0").failures


async def test_a_repeat_goes_on_a_new_connection():
    """A worker that closes one idle connection may close them all."""
    async with world(1) as made:
        await asyncio.gather(made.call(), made.call())
        idle = {e.port for e in made.workers[0].executions}
        assert len(idle) == 2
        made.workers[0].faults["reset_before"] = 1
        assert (await made.call()).status == 200
        assert made.workers[0].executions[-1].port not in idle


async def test_an_unreachable_worker_is_suspected_on_each_connection():
    """Further requests would wait for it as well."""
    async with world(1) as made:
        for error in (
            worker_client.AttemptError("refused", False),
            worker_client.AttemptError(
                "unconfirmed", True, True, unreachable=True
            ),
        ):
            made.sender.open = mock.AsyncMock(side_effect=error)
            await made.call()
            assert made.known.evidence.suspected_workers() == ["w0"]
            made.known.evidence.record_activity("w0")


async def test_an_answer_on_an_idle_connection_must_name_the_request():
    """What comes unasked must not answer the next request."""
    async with world(1) as made:
        await made.call()
        made.workers[0].faults["fail"] = 1
        assert (await made.call()).status == 200
        made.workers[0].faults["fail"] = 2
        assert (await made.call()).status == 502
        assert made.runs == 5


@pytest.mark.parametrize(
    ("headers", "belongs"),
    [
        ({names.REQUEST_ID: "r1"}, True),
        ({names.REQUEST_ID: "r1", names.WORKER_ID: "w0"}, True),
        ({names.REQUEST_ID: "r1", names.WORKER_ID: "w1"}, False),
        ({names.REQUEST_ID: "r2", names.WORKER_ID: "w0"}, False),
        ({names.WORKER_ID: "w0"}, False),
    ],
)
def test_an_answer_belongs_to_the_request_that_it_names(headers, belongs):
    """An answer to an earlier request could come late."""
    made = attempt.AttemptRunner(
        mock.Mock(translator=http_headers.HeaderTranslator())
    )
    run = mock.Mock(call=mock.Mock(id="r1"))
    exchange = mock.Mock(headers=headers)
    assert made._belongs(run, parts.worker("w0"), exchange) is belongs


@pytest.mark.parametrize("named", ["m0", "w0", "m1", "unknown"])
async def test_a_member_that_a_head_names_in_a_503_is_suspected(named):
    """Waiting for the stall to show costs each further request."""
    async with world(service_weights=(("chat", 1.0),)) as made:
        for number, one in enumerate(made.workers):
            group = f"g{number}"
            made.known.add(
                parts.worker(one.id, group, 0, address=one.address),
                parts.worker(f"m{number}", group, 1),
            )
        made.workers[0].at_fault = named
        made.known.evidence.suspect("w1")
        await made.call(model="small")
        # A group's head can't accuse the members of another group.
        expected = {named, "w0"} if named in ("m0", "w0") else set()
        found = made.known.evidence.suspected_workers()
        assert {one for one in found if one != "w1"} == expected
        made.known.evidence.record_activity("w1")
        able = made.known.choices.serving_workers(parts.ENGINE, "small")
        assert [one.id for one in able][-1] == "w1"
        assert len(able) == (1 if expected else 2)


async def test_work_ends_when_the_caller_leaves():
    """A slot at the worker would stay taken for nobody."""
    async with world(1, **STREAMING) as made:
        made.workers[0].hold_after = 1
        caller = Caller()
        task = asyncio.create_task(made.call("/stream", caller))
        await parts.until(lambda: caller.body)
        task.cancel()
        await parts.until(lambda: made.workers[0].abandoned == 1)
        assert not made.known.loads.own


async def test_the_final_answer_comes_at_the_timeout():
    """A stalled worker must not hold a caller for longer."""
    async with world(1) as made:
        made.fault("stall")
        assert (await made.call(timeout_ms=60)).status == 504
        for _ in range(5):
            made.known.loads.started("w0")
        assert (await made.call(timeout_ms=30)).status == 200 or made.runs
        made.known.drop("w0")
        assert (await made.call(timeout_ms=30)).status == 503
