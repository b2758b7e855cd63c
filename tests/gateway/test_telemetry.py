"""Tests of a gateway's metrics and traces."""

import asyncio
import subprocess
import sys
from types import SimpleNamespace
from unittest import mock

import multidict
import pytest
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter

from oleanderbay.gateway import (
    attempt,
    health,
    interfaces,
    pipeline,
    quarantine,
    response,
    settings,
    table,
    telemetry,
    worker_client,
    workers,
)
from oleanderbay.process import clock as clocks
from oleanderbay.request import outcome

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
HEADERS = multidict.CIMultiDict({"traceparent": PARENT})
CALL = interfaces.CallerRequest(
    id="r1", method="GET", host="h", target="/", headers=HEADERS
)
WORKER = workers.Worker(id="w1", service="s", address="", zone="z")
ROUTE = table.Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=table.RouteKind.STREAM,
    timeout_ms=5_000,
    latency_target_ms=800,
    service_weights=(("chat", 1.0),),
    max_attempts=2,
    resumable=True,
)


@pytest.fixture
def gateway_telemetry():
    return telemetry.Telemetry(
        settings.TelemetrySettings(metrics="prometheus"), "g"
    )


def _value(gateway_telemetry, name, **labels):
    """Returns the value of the first sample with these labels."""
    expected = {f'{key}="{value}"' for key, value in labels.items()}
    for line in gateway_telemetry.exposition().decode().splitlines():
        sample, _, value = line.rpartition(" ")
        sample_name, _, sample_labels = sample.partition("{")
        if sample_name == f"oleanderbay_{name}" and expected <= set(
            sample_labels.rstrip("}").split(",")
        ):
            return float(value)
    return None


def test_the_sdk_is_imported_only_if_an_exporter_is_chosen():
    """Importing the SDK would cost memory on every instance."""
    program = (
        "import sys; from oleanderbay.gateway import entry;"
        "print([m for m in sys.modules if m.startswith(("
        "'opentelemetry.sdk', 'opentelemetry.exporter', 'prometheus_client',"
        "'grpc', 'google.protobuf', 'requests'))])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True
    )
    assert completed.stdout == "[]\n", completed.stderr


async def test_a_resumed_stream_is_two_attempts_of_one_request(
    gateway_telemetry,
):
    """The pipeline must count each attempt and the request once."""
    service = table.Service(name="chat", health_path="")
    current = mock.Mock(key_required=False, services={"chat": service})
    current.route.return_value = ROUTE
    exchanges = [
        mock.AsyncMock(status=200, headers={}, reused=False, close=mock.Mock())
        for _ in "ab"
    ]
    stream_error = worker_client.AttemptError("broke off", True)
    exchanges[0].try_read.side_effect = [b"id: 0\n\n", stream_error]
    exchanges[1].try_read.side_effect = [b"id: 1\n\n", b""]
    sink = mock.AsyncMock(started=False)
    sink.begin.side_effect = lambda *_: setattr(sink, "started", True)
    clock = clocks.ManualClock()
    shared = {
        "selector": mock.Mock(rest_left_ms=lambda *_: 0),
        "worker_health": health.HealthTracker(clock),
        "retry_budget": mock.Mock(),
        "prompt_quarantine": quarantine.PromptQuarantine(clock, 1_000),
        "request_quarantine": quarantine.PromptQuarantine(clock, 1_000),
        "clock": clock,
        "telemetry": gateway_telemetry,
    }
    attempts = attempt.Dependencies(
        client=mock.Mock(send_request=mock.AsyncMock(side_effect=exchanges)),
        translator=mock.Mock(
            classify_response=lambda *_: interfaces.ResponseClass.SUCCESS,
            rest_ms=lambda *_: 0,
            is_leaving=lambda _: False,
        ),
        limits=mock.Mock(),
        max_answer_bytes=1,
        max_event_bytes=100,
        **shared,
    )
    parts = pipeline.Dependencies(
        gateway_state=SimpleNamespace(table=current),
        queues=mock.Mock(acquire_worker=mock.AsyncMock(return_value=WORKER)),
        loads=mock.Mock(),
        demand=mock.Mock(),
        attempt_runner=attempt.AttemptRunner(attempts),
        pause_detector=mock.AsyncMock(),
        crash_detector=mock.Mock(),
        rng=mock.Mock(),
        **shared,
    )
    assert await pipeline.Pipeline(parts).run(CALL, sink) is None
    chat = {"service": "chat"}
    assert (
        _value(gateway_telemetry, "requests_total", outcome="answered", **chat)
        == 1
    )
    assert (
        _value(gateway_telemetry, "attempts_total", result="failed", **chat)
        == 1
    )
    assert (
        _value(gateway_telemetry, "attempts_total", result="answered", **chat)
        == 1
    )
    assert _value(gateway_telemetry, "resumed_streams_total", **chat) == 1
    assert (
        _value(gateway_telemetry, "first_event_milliseconds_count", **chat) == 1
    )


def test_requests_without_a_response_are_counted_by_reason(gateway_telemetry):
    """Cancelled and refused requests must be distinguishable."""
    for error, labels in (
        (asyncio.CancelledError, {"reason": "cancelled"}),
        (KeyError, {"reason": "fault"}),
    ):
        with pytest.raises(error), gateway_telemetry.observe_request(CALL):
            raise error
        labels = {"service": "none", "outcome": "unknown", **labels}
        assert _value(gateway_telemetry, "requests_total", **labels) == 1
    with gateway_telemetry.observe_request(CALL) as observation:
        observation.refusal = outcome.Refusal(
            reason=outcome.Reason.NO_ROUTE,
            outcome=outcome.Outcome.NOT_RUN,
            message="",
        )
    labels = {"outcome": "not-run", "reason": "no_route"}
    assert _value(gateway_telemetry, "requests_total", **labels) == 1


def test_attempts_are_counted_by_result(gateway_telemetry):
    """Refusals and failures of a worker must be distinguishable."""
    for failure, result in (
        ((None,), "answered"),
        (
            (
                response.FailedAttempt(
                    "", may_have_run=True, may_have_arrived=True
                ),
            ),
            "failed",
        ),
        (
            (
                response.FailedAttempt(
                    "", may_have_run=False, may_have_arrived=True
                ),
            ),
            "refused",
        ),
        (
            (
                response.FailedAttempt(
                    "", may_have_run=False, may_have_arrived=False
                ),
            ),
            "not_connected",
        ),
        ((), "cancelled"),
    ):
        with gateway_telemetry.observe_attempt("chat", "w1") as observation:
            if failure:
                observation.record_result(*failure)
        assert _value(gateway_telemetry, "attempts_total", result=result) == 1


async def test_each_order_is_counted_by_operation_and_result(gateway_telemetry):
    """The wrapper must forward every call and return its result."""
    fenced = interfaces.OrderResult.FENCED
    inner = mock.AsyncMock(
        **{
            f"{name}.return_value": fenced
            for name in (
                "join_group",
                "open_group",
                "close_group",
                "leave_group",
                "stage_model",
                "fetch_report",
            )
        }
    )
    instrumented = gateway_telemetry.instrument_orders(inner)
    assert (
        await instrumented.join_group(WORKER, 1, "g", 1, "m", ["w1"]) is fenced
    )
    assert await instrumented.open_group(WORKER, 1, "g", 1) is fenced
    assert await instrumented.close_group(WORKER, 1, "g", 1, False) is fenced
    assert await instrumented.leave_group(WORKER, 1, "g", 1) is fenced
    assert await instrumented.stage_model(WORKER, 1, "m") is fenced
    assert await instrumented.fetch_report(WORKER, 1) is fenced
    inner.is_healthy.return_value = False
    assert await instrumented.is_healthy(WORKER, "/", 1) is False
    assert _value(gateway_telemetry, "orders_total", result="unhealthy") == 1
    for operation in ("join", "open", "close", "leave", "stage", "report"):
        labels = {"operation": operation, "result": "fenced"}
        assert _value(gateway_telemetry, "orders_total", **labels) == 1


async def test_failures_of_the_store_are_counted_and_raised(gateway_telemetry):
    """Expired history is not a failure: the feed reads the topic again."""
    names = ("newest", "read", "put", "join", "leave")
    down = interfaces.StoreError("down")
    inner = mock.AsyncMock(**{f"{name}.side_effect": down for name in names})
    store, topic = (
        gateway_telemetry.instrument_store(inner),
        interfaces.Topic.WORKERS,
    )
    for failing in (
        store.newest(topic),
        store.read(topic, 0, 0),
        store.put(topic, "k", b""),
        store.join("m", 1, 1),
        store.leave("m"),
    ):
        with pytest.raises(interfaces.StoreError):
            await failing
    inner.read.side_effect = interfaces.HistoryGoneError("gone")
    with pytest.raises(interfaces.HistoryGoneError):
        await store.read(topic, 0, 0)
    for name in names:
        assert (
            _value(gateway_telemetry, "store_failures_total", operation=name)
            == 1
        )
    labels = {"topic": "workers"}
    assert (
        _value(
            gateway_telemetry, "store_reads_total", result="failed", **labels
        )
        == 2
    )
    labels["result"] = "history_gone"
    assert _value(gateway_telemetry, "store_reads_total", **labels) == 1


def test_gauges_without_a_value_are_left_out(gateway_telemetry):
    """A version of 0 would suggest that there is a configuration."""
    known = SimpleNamespace(table=None)
    feed = mock.Mock(answered_ms=-1, age_ms=lambda: 40)
    gateway_telemetry.register_gauges(
        known, {"configuration": feed}, {"g2": None}, {"configuration": 30}.get
    )
    assert _value(gateway_telemetry, "peers_live") == 1
    assert _value(gateway_telemetry, "configuration_version") is None
    assert _value(gateway_telemetry, "configuration_age_milliseconds") is None
    known.table, feed.answered_ms = mock.Mock(version=7), 0
    assert _value(gateway_telemetry, "configuration_version") == 7
    assert _value(gateway_telemetry, "configuration_age_milliseconds") == 40
    assert _value(gateway_telemetry, "configuration_behind_milliseconds") == 30


def test_without_an_exporter_headers_are_unchanged():
    """A worker must receive the headers that the caller sent."""
    disabled, headers, inner = telemetry.DISABLED, HEADERS.copy(), mock.Mock()
    with disabled.observe_request(CALL), disabled.observe_attempt("s", "w1"):
        disabled.inject_trace_context(headers)
    assert headers == HEADERS and disabled.exposition() is None
    assert (
        disabled.instrument_store(inner) is inner
        and disabled.instrument_orders(inner) is inner
    )


async def test_each_hop_is_one_span_in_the_trace_of_the_caller():
    """A trace that ended at the gateway would not show slow workers."""
    config = settings.TelemetrySettings(
        traces="otlp", otlp_endpoint="http://127.0.0.1:9"
    )
    traced = telemetry.Telemetry(config, "g")
    await traced.close()
    spans = in_memory_span_exporter.InMemorySpanExporter()
    provider = sdk_trace.TracerProvider()
    provider.add_span_processor(export.SimpleSpanProcessor(spans))
    traced._tracer = provider.get_tracer("test")
    headers = {}
    with (
        traced.observe_request(CALL),
        traced.observe_attempt("chat", "w1") as attempt,
    ):
        traced.inject_trace_context(headers)
        attempt.record_result(None)
    open_group = mock.AsyncMock(return_value=interfaces.OrderResult.DONE)
    await traced.instrument_orders(mock.Mock(open_group=open_group)).open_group(
        WORKER, 1, "g", 1
    )
    await traced.observe_peer_read(
        "workers", "g2", mock.AsyncMock(return_value=True)()
    )
    sent, received, order, records = spans.get_finished_spans()
    assert f"{received.context.trace_id:032x}" == PARENT.split("-")[1]
    assert sent.parent.span_id == received.context.span_id
    assert int(headers["traceparent"].split("-")[2], 16) == (
        sent.context.span_id
    )
    assert received.name == "request" and sent.name == "attempt"
    assert received.attributes["outcome"] == "answered"
    assert order.name == "order" and order.attributes["result"] == "done"
    assert records.name == "records" and records.attributes["peer"] == "g2"


def test_a_missing_package_is_named(monkeypatch):
    """The SDK is not among the gateway's mandatory dependencies."""
    monkeypatch.setitem(sys.modules, "oleanderbay.process.exporters", None)
    monkeypatch.delattr("oleanderbay.process.exporters", raising=False)
    with pytest.raises(telemetry.TelemetryError, match="not installed"):
        telemetry.Telemetry(settings.TelemetrySettings(metrics="otlp"), "g")


def test_connections_are_counted_by_use(gateway_telemetry):
    """The counts must show when connections are no longer reused."""
    for reused in (False, True, True):
        gateway_telemetry.count_connection(reused=reused)
    assert _value(gateway_telemetry, "connections_total", use="opened") == 1
    assert _value(gateway_telemetry, "connections_total", use="reused") == 2
