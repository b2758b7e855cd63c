"""Tests of metrics and traces of one gateway."""

import asyncio
import subprocess
import sys

import multidict
import pytest
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter

from oleanderbay.gateway import interfaces, settings, telemetry, workers
from oleanderbay.request import outcome

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
WORKER = workers.Worker(id="w1", service="s", address="", zone="z")
REFUSAL = outcome.Refusal(
    reason=outcome.Reason.NO_ROUTE,
    outcome=outcome.Outcome.NOT_RUN,
    message="",
    status=404,
)


def _call():
    return interfaces.Call(
        id="r1",
        method="GET",
        host="h",
        target="/",
        headers=multidict.CIMultiDict({"traceparent": PARENT}),
    )


@pytest.fixture
def made():
    return telemetry.Telemetry(
        settings.TelemetrySettings(metrics="prometheus"), "g"
    )


def _value(made, name, **labels):
    """Returns the value of the sample that has these labels."""
    wanted = {f'{key}="{value}"' for key, value in labels.items()}
    for line in made.exposition().decode().splitlines():
        head, _, value = line.rpartition(" ")
        found, _, rest = head.partition("{")
        if found == name and wanted <= set(rest.rstrip("}").split(",")):
            return float(value)
    return None


class Orders:
    """Gives one scripted answer to each order."""

    def __init__(self, answer):
        self.answer = answer

    def __getattr__(self, name):
        async def give(*arguments):
            return self.answer

        return give


class Store(Orders):
    """Fails each call with the scripted error."""

    def __getattr__(self, name):
        async def fail(*arguments):
            raise self.answer

        return fail


def test_the_sdk_is_imported_only_if_an_exporter_is_chosen():
    """It costs memory on every instance."""
    program = (
        "import sys; from oleanderbay.gateway import entry, telemetry;"
        "from oleanderbay.cli import gateway;"
        "print([m for m in sys.modules if m.startswith(("
        "'opentelemetry.sdk', 'opentelemetry.exporter', 'prometheus_client',"
        "'grpc', 'google.protobuf', 'requests'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True
    )
    assert done.stdout == "[]\n", done.stderr


def test_requests_are_counted_by_service_outcome_and_reason(made):
    """An answered request must not look like a refused or cancelled one."""
    with made.request(_call()) as seen:
        seen.service = "chat"
        seen.first_event(12)
    with made.request(_call()) as seen:
        seen.refusal = REFUSAL
    with pytest.raises(asyncio.CancelledError), made.request(_call()) as seen:
        seen.service = "chat"
        raise asyncio.CancelledError
    with pytest.raises(KeyError), made.request(_call()):
        raise KeyError
    for service, known, reason in (
        ("chat", "answered", ""),
        ("none", "not-run", "no_route"),
        ("chat", "unknown", "cancelled"),
        ("none", "unknown", "fault"),
    ):
        assert (
            _value(
                made,
                "oleanderbay_requests_total",
                service=service,
                outcome=known,
                reason=reason,
            )
            == 1
        )
    name = "oleanderbay_first_event_milliseconds_sum"
    assert _value(made, name, service="chat") == 12


@pytest.mark.parametrize(
    ("ended", "result"),
    [
        ((True, False, False), "answered"),
        ((False, True, True), "failed"),
        ((False, False, True), "refused"),
        ((False, False, False), "not_connected"),
        (None, "cancelled"),
    ],
)
def test_attempts_are_counted_by_result(made, ended, result):
    """A worker that refuses was counted like one that fails."""
    with made.attempt("chat", "w1") as seen:
        if ended is not None:
            seen.ended(*ended)
    name = "oleanderbay_attempts_total"
    assert _value(made, name, service="chat", result=result) == 1


async def test_each_order_is_counted_by_operation_and_result(made):
    """The wrapper must pass every operation on and lose no answer."""
    given = made.orders(Orders(interfaces.OrderResult.FENCED))
    answers = [
        await given.join(WORKER, 1, "g", 1, "m", ["w1"]),
        await given.open(WORKER, 1, "g", 1),
        await given.close_group(WORKER, 1, "g", 1, False),
        await given.leave(WORKER, 1, "g", 1),
        await given.stage(WORKER, 1, "m"),
        await given.report(WORKER, 1),
    ]
    assert answers == [interfaces.OrderResult.FENCED] * 6
    for operation in ("join", "open", "close", "leave", "stage", "report"):
        name = "oleanderbay_orders_total"
        assert _value(made, name, operation=operation, result="fenced") == 1


async def test_failures_of_the_store_are_counted_and_raised(made):
    """History that is gone is an answer; a feed reads anew after it."""
    topic = interfaces.Topic.WORKERS
    down = made.store(Store(interfaces.StoreError("down")))
    gone = made.store(Store(interfaces.HistoryGoneError("gone")))
    for failing in (
        down.newest(topic),
        down.read(topic, 0, 0),
        down.put(topic, "k", b""),
        down.join("m", 1, 1),
        down.leave("m"),
    ):
        with pytest.raises(interfaces.StoreError):
            await failing
    with pytest.raises(interfaces.HistoryGoneError):
        await gone.read(topic, 0, 0)
    for operation in ("newest", "read", "put", "join", "leave"):
        name = "oleanderbay_store_failures_total"
        assert _value(made, name, operation=operation) == 1
    name = "oleanderbay_store_reads_total"
    assert _value(made, name, topic="workers", result="failed") == 2
    assert _value(made, name, topic="workers", result="history_gone") == 1


def test_a_gauge_without_a_value_is_left_out(made):
    """A version of 0 would look like a configuration."""
    values = [None, 7]
    made.gauge("configuration_version", "", lambda: values.pop(0))
    assert _value(made, "oleanderbay_configuration_version") is None
    assert _value(made, "oleanderbay_configuration_version") == 7


def test_without_an_exporter_headers_are_unchanged():
    """A worker must get what the caller sent."""
    call = _call()
    off = telemetry.OFF
    with off.request(call), off.attempt("s", "w1"):
        off.inject(call.headers)
    assert call.headers == {"traceparent": PARENT}
    assert off.exposition() is None
    store = Store(None)
    assert off.store(store) is store and off.orders(store) is store


async def test_each_hop_is_one_span_in_the_trace_of_the_caller():
    """A trace that ends at the gateway does not show the slow worker."""
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
    with traced.request(_call()) as request:
        request.service = "chat"
        with traced.attempt("chat", "w1") as attempt:
            traced.inject(headers)
            attempt.ended(True, False, False)
    orders = traced.orders(Orders(interfaces.OrderResult.DONE))
    await orders.open(WORKER, 1, "g", 1)

    async def fetch():
        return True

    await traced.records("workers", "g2", fetch())
    sent, received, order, records = spans.get_finished_spans()
    assert [s.name for s in (sent, received, order, records)] == [
        "attempt",
        "request",
        "order",
        "records",
    ]
    assert f"{received.context.trace_id:032x}" == PARENT.split("-")[1]
    assert sent.parent.span_id == received.context.span_id
    assert headers["traceparent"].split("-")[2] == (
        f"{sent.context.span_id:016x}"
    )
    assert received.attributes["outcome"] == "answered"
    assert sent.attributes["result"] == "answered"
    assert order.attributes["operation"] == "open"
    assert records.attributes["result"] == "ok"


def test_a_missing_package_is_named(monkeypatch):
    """The gateway's own requirements do not include the SDK."""
    monkeypatch.setitem(sys.modules, "oleanderbay.process.exporters", None)
    monkeypatch.delattr("oleanderbay.process.exporters", raising=False)
    with pytest.raises(telemetry.TelemetryError, match="not installed"):
        telemetry.Telemetry(settings.TelemetrySettings(metrics="otlp"), "g")
