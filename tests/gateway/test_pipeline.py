"""Tests of the request pipeline with stand-ins for workers that fail."""

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
    crash_detection,
    demand,
    interfaces,
    pauses,
    pipeline,
    quarantine,
    table,
    worker_client,
)
from oleanderbay.platform import http_headers, names
from oleanderbay.process import clock as clocks
from oleanderbay.standins import group_worker
from tests.gateway import parts

# Statuses by which the gateway guarantees that a request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
ROUTE = parts.ROUTE
WHOLE = b'{"worker": "w0", "bytes": 4}'
STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(5))


class Caller:
    """Records the response that a caller would get."""

    def __init__(self):
        self.started = False
        self.status = None
        self.body = b""
        self.complete = False
        self.heads = 0
        self.refusal = None

    async def begin(self, status, headers):
        self.started, self.status = True, status
        self.heads += 1

    async def write(self, data):
        self.body += data

    async def end(self):
        self.complete = True

    async def send_complete(self, status, headers, body):
        await self.begin(status, headers)
        self.body, self.complete = body, True


class PipelineHarness:
    """A pipeline and stand-ins for its workers."""

    def __init__(self, route, clock=None):
        self.gateway = parts.GatewayParts(
            clock or clocks.SystemClock(), parts.routing_table(routes=(route,))
        )
        self.workers = []
        self.calls = 0
        clock = self.gateway.clock
        self.sender = parts.make_client(
            clock, self.gateway.selector.accepting_worker
        )
        shared = {
            "selector": self.gateway.selector,
            "worker_health": self.gateway.worker_health,
            "retry_budget": budget.RetryBudget(
                clock, 0.2, 100, 10_000, lambda: 1
            ),
            "prompt_quarantine": quarantine.PromptQuarantine(clock, 600_000),
            "request_quarantine": quarantine.PromptQuarantine(
                clock, 600_000, combined=False
            ),
            "clock": clock,
        }
        attempts = attempt.Dependencies(
            client=self.sender,
            limits=self.gateway.limits,
            translator=http_headers.HeaderTranslator(),
            max_answer_bytes=1 << 20,
            max_event_bytes=1 << 10,
            **shared,
        )
        self.pipeline = pipeline.Pipeline(
            pipeline.Dependencies(
                gateway_state=self.gateway.state,
                queues=self.gateway.queues,
                loads=self.gateway.loads,
                demand=demand.Demand(clock),
                attempt_runner=attempt.AttemptRunner(attempts),
                pause_detector=pauses.PauseDetector(clock),
                rng=random.Random(1),
                crash_detector=crash_detection.CrashDetector(
                    clock,
                    shared["request_quarantine"].record_crash,
                    shared["prompt_quarantine"].record_crash,
                ),
                **shared,
            )
        )

    async def call(self, target="/whole", caller=None, **changes):
        caller = caller or Caller()
        self.calls += 1
        request_id = changes.pop("id", f"r{self.calls}")
        headers = multidict.CIMultiDict({names.REQUEST_ID: request_id})
        parts_with_own = (*changes.get("shared_parts", ()), "own")
        headers[names.PROMPT_PREFIX] = ",".join(
            f"{part}:9" for part in parts_with_own
        )
        fields = {"body": b"body", "timeout_ms": 0, **changes}
        refusal = await self.pipeline.run(
            interfaces.CallerRequest(
                id=request_id,
                method="POST",
                host="api",
                target=target,
                headers=headers,
                arrived_ms=self.gateway.clock.now_ms(),
                **fields,
            ),
            caller,
        )
        caller.refusal = refusal
        if refusal is not None and not caller.started:
            caller.status = refusal.status
        return caller

    def fault(self, name, *, all_workers=False):
        for worker in self.workers:
            worker.faults[name] = 99 if all_workers else 0
        self.workers[0].faults[name] = 99

    @property
    def runs(self):
        return sum(len(worker.executions) for worker in self.workers)


@contextlib.asynccontextmanager
async def running_pipeline(count=2, clock=None, **changes):
    harness = PipelineHarness(
        dataclasses.replace(parts.ROUTE, **changes), clock
    )
    await harness.sender.start()
    for number in range(count):
        worker = group_worker.GroupWorker(f"w{number}", "plain")
        await worker.start()
        harness.workers.append(worker)
        # Requests are sent to the first worker first, as its zone is local.
        zone = "z2" if number else "z1"
        harness.gateway.add(
            parts.worker(worker.id, address=worker.address, slots=4, zone=zone)
        )
    try:
        yield harness
    finally:
        await harness.sender.close()
        for worker in harness.workers:
            await worker.close()


@pytest.mark.parametrize("path", ["/whole", "/stream"])
@pytest.mark.parametrize("fault", group_worker.FAULTS)
async def test_a_non_idempotent_request_runs_at_most_once(fault, path):
    """A second run can't be undone; a not-run status covers all workers."""
    async with running_pipeline(
        kind=table.RouteKind.NON_IDEMPOTENT, timeout_ms=400
    ) as harness:
        harness.fault(fault)
        caller = await harness.call(path)
        assert harness.runs <= 1
        assert caller.status not in NOT_RUN_STATUSES or harness.runs == 0
        if fault == "extra_bytes" and caller.status == 200:
            assert caller.body in (WHOLE, STREAM)
        may_succeed = (*group_worker.NOT_RUN, "extra_bytes", "early_answer")
        if fault in ("refuse", "other_worker"):
            # It did not run, so another worker gets it and responds.
            assert caller.status == 200 and harness.workers[1].executions
        elif fault not in may_succeed and not (
            fault == "reset_in_event" and path == "/whole"
        ):
            assert not (caller.status == 200 and caller.complete)


@pytest.mark.parametrize("fault", group_worker.FAULTS)
async def test_a_not_run_status_is_sent_only_if_nothing_ran(fault):
    """Callers retry any request after a 503, even a non-idempotent one."""
    for path in ("/whole", "/stream"):
        async with running_pipeline(timeout_ms=400, max_attempts=2) as harness:
            harness.fault(fault, all_workers=True)
            caller = await harness.call(path)
            assert harness.runs <= 2
            assert caller.status not in NOT_RUN_STATUSES or harness.runs == 0


async def test_a_later_refusal_does_not_hide_an_earlier_run():
    """The first worker may have run the request that the second refused."""
    async with running_pipeline() as harness:
        harness.workers[0].faults["reset_after"] = 1
        harness.workers[1].faults["refuse"] = 1
        assert (await harness.call()).status == 502
        harness.workers[0].faults["reset_after"] = 1
        harness.workers[1].faults["broken"] = 1
        assert (await harness.call()).status == 502


@pytest.mark.parametrize(
    "fault",
    [
        f
        for f in group_worker.FAULTS
        if f not in ("extra_bytes", "early_answer")
    ],
)
async def test_an_idempotent_request_succeeds_at_another_worker(fault):
    """A single failing worker must not fail a retryable request."""
    async with running_pipeline() as harness:
        harness.fault(fault)
        caller = await harness.call()
        assert caller.status == 200 and caller.complete
        assert caller.body.replace(b"w1", b"w0") == WHOLE


STREAMING = {
    "kind": table.RouteKind.STREAM,
    "gap_target_ms": 200,
    "resumable": True,
}


async def test_a_broken_stream_resumes_after_the_last_complete_event():
    """No event may be missing, duplicated or truncated."""
    for fault, resumed in (("reset_in_event", "1"), ("no_length_reset", "0")):
        async with running_pipeline(**STREAMING) as harness:
            harness.fault(fault)
            caller = await harness.call("/stream")
            assert caller.body == STREAM and caller.complete
            (second,) = harness.workers[1].executions
            assert second.headers[names.LAST_EVENT_ID.lower()] == resumed


# Incident inc1: requests with one part of a prompt crashed worker after worker.
async def test_a_part_that_crashes_workers_stops_reaching_them():
    async with running_pipeline(12, max_attempts=2, **STREAMING) as harness:
        for worker in harness.workers:
            worker.crashing_part = "bad"
        callers = [
            await harness.call("/stream", shared_parts=("first", "bad"))
            for _ in range(10)
        ]
        # The rule allows three requests after the fifth crash.
        assert harness.runs <= 8
        assert callers[-1].status == 503
        sound = await harness.call("/stream", shared_parts=("first", "good"))
        assert sound.complete and sound.body == STREAM


# Incident second1: a repeated request of a plain service, which has no prompt,
# crashed worker after worker; on idle connections the crashes went unnoticed.
@pytest.mark.parametrize("kind", ["IDEMPOTENT", "NON_IDEMPOTENT"])
@pytest.mark.parametrize("idle", [False, True])
async def test_a_request_that_crashes_workers_stops_reaching_them(kind, idle):
    async with running_pipeline(
        12, max_attempts=2, kind=table.RouteKind[kind]
    ) as harness:
        if idle:
            await asyncio.gather(*(harness.call() for _ in range(30)))
        for worker in harness.workers:
            worker.crashing_path = "/bad"
            worker.executions.clear()
        for _ in range(10):
            caller = await harness.call("/bad")
            await asyncio.sleep(0.1)
        # The rule allows three requests after the third crash.
        assert harness.runs <= 6
        assert caller.status == 503
        assert (await harness.call("/bad", body=b"other")).status == 502
        assert (await harness.call()).status == 200


# Requests that shared only a part of their prompts crashed workers; on idle
# connections, the crashes did not count against the part.
async def test_a_part_that_crashes_workers_on_idle_connections_is_refused():
    async with running_pipeline(12, max_attempts=1) as harness:
        await asyncio.gather(*(harness.call() for _ in range(30)))
        for worker in harness.workers:
            worker.crashing_path = "/bad"
            worker.executions.clear()
        for number in range(10):
            caller = await harness.call(
                "/bad", body=b"%d" % number, shared_parts=("bad",)
            )
            await asyncio.sleep(0.1)
        # The rule allows three requests after the fifth crash.
        assert harness.runs <= 8
        assert caller.status == 503
        sound = await harness.call(body=b"other", shared_parts=("good",))
        assert sound.status == 200


# Rule LIMIT: a worker in need got all that fitted into its slots.
async def test_a_worker_gets_no_more_than_the_rate_that_it_states():
    async with running_pipeline() as harness:
        limited, other = harness.workers
        limited.rate_limit = "2.5"
        for _ in range(60):
            assert (await harness.call()).status == 200
        # The rule allows this many in 4 s; the calls take less.
        assert len(limited.executions) <= 1.5 * 4 * 2.5 + 5
        assert len(other.executions) >= 40
        limited.rate_limit = ""
        await asyncio.sleep(0.5)
        limited.executions.clear()
        for _ in range(30):
            await harness.call()
        # The worker is preferred again once it states no limit.
        assert len(limited.executions) >= 15


# A worker that crashes ends a stream without a length like one that is done.
async def test_a_stream_without_length_and_events_is_broken_off():
    async with running_pipeline(**STREAMING) as harness:
        harness.workers[0].faults["no_length_empty"] = 1
        caller = await harness.call("/stream")
        assert caller.complete and caller.body == STREAM
        for worker in harness.workers:
            worker.faults["no_length_empty"] = 9
        assert (await harness.call("/stream")).status == 502


async def test_a_silent_stream_resumes_at_another_worker():
    """A group that lost a member accepts requests but sends no events."""
    async with running_pipeline(**STREAMING) as harness:
        harness.workers[0].hold_after = 2
        caller = await harness.call("/stream")
        assert caller.body == STREAM and caller.complete
        await parts.wait_until(lambda: harness.workers[0].abandoned == 1)


@pytest.mark.parametrize("fault", ["reset_in_event", "no_length_reset"])
async def test_a_stream_that_can_not_resume_is_incomplete(fault):
    """A truncated stream must not look like a complete one."""
    async with running_pipeline(**{**STREAMING, "resumable": False}) as harness:
        harness.fault(fault)
        caller = await harness.call("/stream")
        assert caller.started and not caller.complete
        assert STREAM.startswith(caller.body) and harness.runs == 1


async def test_only_a_retryable_request_uses_an_idle_connection():
    """The worker may close it just as the request arrives."""
    for kind, ports in ((table.RouteKind.NON_IDEMPOTENT, 2), (ROUTE.kind, 1)):
        async with running_pipeline(1, kind=kind) as harness:
            for _ in range(2):
                assert (await harness.call()).status == 200
            assert len({e.port for e in harness.workers[0].executions}) == ports


async def test_an_idle_connection_that_is_closed_is_not_a_worker_failure():
    """The same worker gets the request again, on a new connection."""
    for changes, extra, status in (
        ({}, 100, 200),
        ({"max_attempts": 1}, 100, 502),
        ({}, 0, 502),
    ):
        async with running_pipeline(1, **changes) as harness:
            await harness.call()
            harness.pipeline.deps.retry_budget.extra = extra
            harness.pipeline.deps.retry_budget.ratio = 0
            harness.workers[0].faults["reset_before"] = 1
            assert (await harness.call()).status == status
            assert not harness.gateway.worker_health.worker("w0").failures
            harness.fault("reset_before")
            assert (await harness.call()).status in (502, 503)
            assert harness.gateway.worker_health.worker("w0").failures


async def test_a_retry_uses_a_new_connection():
    """A worker that closes one idle connection may close all of them."""
    async with running_pipeline(1) as harness:
        await asyncio.gather(harness.call(), harness.call())
        idle = {e.port for e in harness.workers[0].executions}
        assert len(idle) == 2
        harness.workers[0].faults["reset_before"] = 1
        assert (await harness.call()).status == 200
        assert harness.workers[0].executions[-1].port not in idle


async def test_a_worker_is_suspected_after_connection_failures():
    """Otherwise further requests would wait for an unreachable worker."""
    async with running_pipeline(1) as harness:
        for error in (
            worker_client.AttemptError("refused", False),
            worker_client.AttemptError(
                "unconfirmed", True, True, unreachable=True
            ),
        ):
            harness.sender.send_request = mock.AsyncMock(side_effect=error)
            await harness.call()
            assert harness.gateway.worker_health.suspected_workers() == ["w0"]
            harness.gateway.worker_health.record_activity("w0")


async def test_a_response_on_a_reused_connection_must_name_the_request():
    """Unsolicited data must not be taken as the response to a request."""
    async with running_pipeline(1) as harness:
        await harness.call()
        harness.workers[0].faults["fail"] = 1
        assert (await harness.call()).status == 200
        harness.workers[0].faults["fail"] = 2
        assert (await harness.call()).status == 502
        assert harness.runs == 5


@pytest.mark.parametrize(
    ("headers", "matches"),
    [
        ({names.REQUEST_ID: "r1"}, True),
        ({names.REQUEST_ID: "r1", names.WORKER_ID: "w0"}, True),
        ({names.REQUEST_ID: "r1", names.WORKER_ID: "w1"}, False),
        ({names.REQUEST_ID: "r2", names.WORKER_ID: "w0"}, False),
        ({names.WORKER_ID: "w0"}, False),
    ],
)
def test_a_response_matches_the_request_that_it_names(headers, matches):
    """The response to an earlier request may arrive late."""
    runner = attempt.AttemptRunner(
        mock.Mock(translator=http_headers.HeaderTranslator())
    )
    request = mock.Mock(caller_request=mock.Mock(id="r1"))
    worker_response = mock.Mock(headers=headers)
    assert (
        runner._matches_request(request, parts.worker("w0"), worker_response)
        is matches
    )


@pytest.mark.parametrize("named", ["m0", "w0", "m1", "unknown"])
async def test_a_member_that_a_head_reports_in_a_503_is_suspected(named):
    """Detecting the failure by stalls would delay each further request."""
    async with running_pipeline(service_weights=(("chat", 1.0),)) as harness:
        for number, worker in enumerate(harness.workers):
            group = f"g{number}"
            harness.gateway.add(
                parts.worker(worker.id, group, 0, address=worker.address),
                parts.worker(f"m{number}", group, 1),
            )
        harness.workers[0].at_fault = named
        harness.gateway.worker_health.suspect("w1")
        await harness.call(model="small")
        # A head can report members of its own group only.
        expected = {named, "w0"} if named in ("m0", "w0") else set()
        found = harness.gateway.worker_health.suspected_workers()
        assert {one for one in found if one != "w1"} == expected
        harness.gateway.worker_health.record_activity("w1")
        able = harness.gateway.selector.serving_workers(
            parts.MODEL_SERVICE, "small"
        )
        assert [worker.id for worker in able][-1] == "w1"
        assert len(able) == (1 if expected else 2)


async def test_the_attempt_is_cancelled_when_the_caller_disconnects():
    """Otherwise the request keeps its slot at the worker."""
    async with running_pipeline(1, **STREAMING) as harness:
        harness.workers[0].hold_after = 1
        caller = Caller()
        task = asyncio.create_task(harness.call("/stream", caller))
        await parts.wait_until(lambda: caller.body)
        task.cancel()
        await parts.wait_until(lambda: harness.workers[0].abandoned == 1)
        assert not harness.gateway.loads.own_counts


async def test_a_request_is_answered_at_its_timeout():
    """A stalled worker must not keep a caller waiting for longer."""
    async with running_pipeline(1) as harness:
        harness.fault("stall")
        assert (await harness.call(timeout_ms=60)).status == 504
        for _ in range(5):
            harness.gateway.loads.record_start("w0")
        assert (await harness.call(timeout_ms=30)).status == 200 or harness.runs
        harness.gateway.drop("w0")
        assert (await harness.call(timeout_ms=30)).status == 503


# Workers that asked for a rest got the first attempts and the repeats of all
# requests (BUDGET).
@pytest.mark.parametrize("kind", ["IDEMPOTENT", "NON_IDEMPOTENT"])
async def test_a_worker_that_asks_for_a_rest_gets_no_requests(kind):
    async with running_pipeline(kind=table.RouteKind[kind]) as harness:
        resting, other = harness.workers
        harness.fault("refuse")
        resting.faults["refuse"], resting.rest_s = 99, "30"
        for _ in range(12):
            assert (await harness.call()).status == 200
        assert (resting.refused, len(other.executions)) == (1, 12)


async def test_a_rest_ends_after_its_time():
    async with running_pipeline() as harness:
        resting = harness.workers[0]
        resting.faults["refuse"], resting.rest_s = 1, "0.1"
        await harness.call()
        await asyncio.sleep(0.15)
        await harness.call()
        assert (resting.refused, len(resting.executions)) == (1, 1)


async def test_callers_learn_when_the_first_of_resting_workers_is_back():
    """Guards against callers that come back while all workers rest.

    The refusal is known at once, and must not wait for a worker.
    """
    async with running_pipeline() as harness:
        harness.fault("refuse", all_workers=True)
        for worker, rest_s in zip(harness.workers, ("60", "30"), strict=True):
            worker.rest_s = rest_s
        assert (await harness.call()).status == 503
        refused = [worker.refused for worker in harness.workers]
        async with asyncio.timeout(10):
            callers = [await harness.call() for _ in range(20)]
        assert [worker.refused for worker in harness.workers] == refused
        delays_ms = {caller.refusal.retry_after_ms for caller in callers}
        assert min(delays_ms) > 29_000 and max(delays_ms) < 46_000
        assert len(delays_ms) > 10


async def test_a_rest_is_kept_by_a_request_that_was_already_assigned():
    """Guards against requests that wait for a connection during the answer."""
    async with running_pipeline() as harness:
        resting = harness.workers[0]
        send = harness.sender._send

        async def rest_before_sending(worker, *arguments):
            if worker.id == resting.id:
                harness.gateway.selector.rests.record(worker, 30_000)
            return await send(worker, *arguments)

        harness.sender._send = rest_before_sending
        assert (await harness.call()).status == 200
        assert not resting.executions


# Workers that say in their answers that they leave may do so long before their
# record says it, or without a record that does (DRAIN).
@pytest.mark.parametrize("fault", [None, "refuse", "fail", "no_signature"])
@pytest.mark.parametrize("path", ["/whole", "/stream"])
async def test_a_worker_that_says_that_it_leaves_gets_no_more_requests(
    fault, path
):
    async with running_pipeline(kind=table.RouteKind.STREAM) as harness:
        leaving = harness.workers[0]
        leaving.says_draining = True
        if fault is not None:
            leaving.faults[fault] = 1
        await harness.call(path)
        arrived = leaving.refused + len(leaving.executions)
        assert arrived == 1
        for _ in range(5):
            assert (await harness.call(path)).status == 200
        assert leaving.refused + len(leaving.executions) == arrived
