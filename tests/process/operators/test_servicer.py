"""Tests of operators' calls over gRPC."""

import contextlib

import grpc
import pytest
from google.protobuf import message as message_module
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from oleanderbay.process import clock
from oleanderbay.process.operators import listener as listeners
from oleanderbay.process.operators import servicer as servicers
from oleanderbay.process.operators import watches
from oleanderbay.schema import convert, operators_pb2, operators_pb2_grpc
from oleanderbay.version import records
from tests.process.configuration import test_submission
from tests.version import samples

ACCEPTED = operators_pb2.STATUS_ACCEPTED
REJECTED = operators_pb2.STATUS_REJECTED


@contextlib.asynccontextmanager
async def serve():
    entry = test_submission.FakeEntry()
    entry.use_clock(clock.SystemClock())
    servicer = servicers.Servicer(
        entry.submissions, watches.Watches(entry, entry.clock)
    )
    listener = listeners.Listener(servicer, "127.0.0.1:0")
    await listener.start()
    address = f"127.0.0.1:{listener.port}"
    try:
        async with grpc.aio.insecure_channel(address) as channel:
            yield entry, operators_pb2_grpc.OperatorsStub(channel)
    finally:
        await listener.close(0)


def message(*items, **options):
    return convert.change_to_message(samples.change(*items, **options))


async def test_get_list_and_where():
    async with serve() as (entry, stub):
        for request in (
            operators_pb2.GetRequest(kind="team", id="t1"),
            operators_pb2.GetRequest(kind="team", fleet="f1", name="team one"),
        ):
            answer = await stub.Get(request)
            team = convert.resource_from_message(answer.resource)
            assert team == entry.current.get("team", "t1")
        answer = await stub.List(operators_pb2.ListRequest(kind="zone"))
        assert [item.zone.id for item in answer.resources] == [
            "z1",
            "z2",
            "z3",
        ]
        answer = await stub.List(operators_pb2.ListRequest(fleet="f1"))
        assert len(answer.resources) == len(samples.BASE)
        where = await stub.Where(operators_pb2.WhereRequest())
        assert [entry.offset for entry in where.entries] == [1, 0, 0]


async def test_wrong_calls_get_a_status_and_no_stack_trace():
    async with serve() as (_, stub):
        for call, request, code in (
            (stub.Get, operators_pb2.GetRequest(kind="x"), "INVALID_ARGUMENT"),
            (
                stub.Get,
                operators_pb2.GetRequest(kind="team", id="x"),
                "NOT_FOUND",
            ),
            (
                stub.List,
                operators_pb2.ListRequest(kind="x"),
                "INVALID_ARGUMENT",
            ),
            (
                stub.ChangeStatus,
                operators_pb2.ChangeStatusRequest(id="x"),
                "NOT_FOUND",
            ),
        ):
            with pytest.raises(grpc.aio.AioRpcError) as caught:
                await call(request)
            assert caught.value.code().name == code


async def test_plan_changes_nothing_and_apply_does():
    async with serve() as (entry, stub):
        change = message(test_submission.TEAM)
        plan = await stub.Plan(operators_pb2.PlanRequest(change=change))
        assert not plan.conflicts
        assert entry.current.get("team", "t9") is None
        answer = await stub.Apply(operators_pb2.ApplyRequest(change=change))
        assert answer.status == ACCEPTED
        plan = await stub.Plan(operators_pb2.PlanRequest(change=change))
        assert plan.conflicts[0].version == answer.offset


async def test_invalid_changes_are_refused_without_an_append():
    async with serve() as (entry, stub):
        bad = samples.resources.Team(id="", name="n", fleet="f1", share=-1)
        for change, paths in (
            (message(bad), ["id", "share"]),
            (operators_pb2.Change(), ["change"]),
            (message((test_submission.TEAM, 2**60)), [""]),
        ):
            answer = await stub.Apply(operators_pb2.ApplyRequest(change=change))
            assert answer.status == REJECTED
            assert [item.path for item in answer.conflicts] == paths
        assert entry.appends == 0


async def test_a_drain_is_shown_and_cancelled_with_retries():
    async with serve() as (entry, stub):
        drain = message(samples.drain())
        await stub.Apply(operators_pb2.ApplyRequest(change=drain))
        status = await stub.ChangeStatus(
            operators_pb2.ChangeStatusRequest(id="c1")
        )
        assert status.in_effect and status.entries_applied == 3
        assert entry.current.drained_zones() == {"z1"}
        cancel = operators_pb2.CancelChangeRequest(id="c1", request_id="r")
        first = await stub.CancelChange(cancel)
        again = await stub.CancelChange(cancel)
        assert first.status == again.status == ACCEPTED
        assert first.offset == again.offset
        assert not entry.current.drained_zones()
        other = await stub.CancelChange(
            operators_pb2.CancelChangeRequest(id="c1")
        )
        assert other.conflicts[0].code == "wrong_stage"


async def test_import_reports_every_clash_and_resolves_none():
    fleet = samples.resources.Fleet(id="f2", name="fleet two")
    service = samples.SERVICE
    taken = {**convert.to_plain(convert.resource_to_message(service).service)}
    taken.update(id="s2", kind=service.kind, cold_start=service.cold_start)
    same_fleet = type(service)(**{**taken, "upstreams": ()})
    other_fleet = type(service)(
        **{**taken, "upstreams": (), "id": "s3", "fleet": "f2"}
    )

    def request(*items, **options):
        return operators_pb2.ImportRequest(
            resources=[convert.resource_to_message(item) for item in items],
            **options,
        )

    async with serve() as (entry, stub):
        report = await stub.Import(
            request(fleet, same_fleet, other_fleet, commit=True)
        )
        # s3 clashes with s1 and with the incoming s2, which hold its name in
        # the other fleet.
        assert [
            (clash.id, clash.other_id, clash.blocking)
            for clash in report.clashes
        ] == [("s2", "s1", True), ("s3", "s1", False), ("s3", "s2", False)]
        assert [item.code for item in report.conflicts] == ["name_taken"]
        assert not report.HasField("result")
        assert entry.appends == 0
        wanted = request(fleet, other_fleet, samples.TEAM, request_id="r")
        report = await stub.Import(wanted)
        assert (report.to_create, report.already_present) == (2, 1)
        assert entry.current.get("service", "s3") is None
        wanted.commit = True
        for _ in range(2):
            report = await stub.Import(wanted)
            assert report.result.status == ACCEPTED
        assert entry.appends == 1


async def test_watch_sends_state_then_updates_and_resumes():
    """Guards against deletes that a resumed watch never hears of."""
    async with serve() as (entry, stub):
        call = stub.Watch(operators_pb2.WatchRequest(kinds=["team"]))
        event = await call.read()
        assert event.initial and event.offset == 1
        assert [item.team.id for item in event.upserts] == ["t1"]
        call.cancel()
        entry.apply(entry.log.encode(samples.change(test_submission.TEAM)))
        entry.apply(
            entry.log.encode(samples.change(deletes=[("team", "t1", 1)]))
        )
        call = stub.Watch(
            operators_pb2.WatchRequest(kinds=["team"], after_offset=1)
        )
        event = await call.read()
        assert not event.initial and event.offset == 3
        assert [item.team.id for item in event.upserts] == ["t9"]
        assert [item.id for item in event.deletes] == ["t1"]
        call.cancel()
        # An offset that was never sent can't be resumed from.
        call = stub.Watch(operators_pb2.WatchRequest(after_offset=2))
        assert (await call.read()).initial
        call.cancel()


async def test_watch_never_goes_back_for_a_client_that_was_ahead():
    async with serve() as (entry, stub):
        call = stub.Watch(operators_pb2.WatchRequest(after_offset=2))
        data = entry.log.encode(samples.change(test_submission.TEAM))
        await stub.Where(operators_pb2.WhereRequest())
        entry.apply(data)
        event = await call.read()
        assert event.offset == 2
        call.cancel()


REQUESTS = {
    "Get": operators_pb2.GetRequest,
    "List": operators_pb2.ListRequest,
    "Plan": operators_pb2.PlanRequest,
    "Apply": operators_pb2.ApplyRequest,
    "ChangeStatus": operators_pb2.ChangeStatusRequest,
    "CancelChange": operators_pb2.CancelChangeRequest,
    "Import": operators_pb2.ImportRequest,
}


class AbortedError(Exception):
    """What `abort` of the fake context raises."""


class FakeContext:
    async def abort(self, code, details):
        assert isinstance(code, grpc.StatusCode) and details
        raise AbortedError


@settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    st.lists(samples.ANY_RESOURCE, max_size=3),
    st.text(max_size=5),
    st.integers(-(2**63), 2**63 - 1),
)
async def test_any_resources_get_a_typed_answer(items, text, number):
    """Guards against exceptions that reach gRPC as a stack trace."""
    entry = test_submission.FakeEntry()
    servicer = servicers.Servicer(
        entry.submissions, watches.Watches(entry, entry.clock)
    )
    change = convert.change_to_message(
        records.Change(
            upserts=tuple(
                records.Upsert(resource=item, expected=0) for item in items
            )
        )
    )
    change.deletes.add(kind=text, id=text, expected=number)
    if items:
        change.upserts[0].expected = number
    wrapped = [convert.resource_to_message(item) for item in items]
    requests = [
        ("Plan", operators_pb2.PlanRequest(change=change)),
        ("Apply", operators_pb2.ApplyRequest(change=change)),
        (
            "Import",
            operators_pb2.ImportRequest(resources=wrapped, commit=True),
        ),
        (
            "CancelChange",
            operators_pb2.CancelChangeRequest(
                id=text, request_id=text, reason=text, expected=number
            ),
        ),
        ("Get", operators_pb2.GetRequest(kind="team", id=text, name=text)),
    ]
    for name, request in requests:
        with contextlib.suppress(AbortedError):
            answer = await getattr(servicer, name)(request, FakeContext())
            assert answer.SerializeToString() is not None


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.sampled_from(sorted(REQUESTS)), st.binary(max_size=60))
async def test_any_bytes_that_parse_get_a_typed_answer(name, data):
    try:
        request = REQUESTS[name].FromString(data)
    except message_module.DecodeError:
        # gRPC answers bytes that don't parse by itself.
        return
    entry = test_submission.FakeEntry()
    servicer = servicers.Servicer(
        entry.submissions, watches.Watches(entry, entry.clock)
    )
    with contextlib.suppress(AbortedError):
        answer = await getattr(servicer, name)(request, FakeContext())
        assert answer.SerializeToString() is not None
