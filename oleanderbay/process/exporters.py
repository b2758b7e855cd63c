"""Exporters of metrics and traces; imports the OpenTelemetry SDK."""

from typing import Protocol

import prometheus_client
from opentelemetry import metrics, trace
from opentelemetry.exporter import prometheus as prometheus_exporter
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.metrics import export as metrics_export
from opentelemetry.sdk.trace import export as trace_export


class Config(Protocol):
    """The settings of the exporters.

    Attributes:
        metrics: `none`, `prometheus` or `otlp`.
        traces: `none` or `otlp`.
        otlp_endpoint: Base address of the OTLP receiver over HTTP.
        interval_ms: How often metrics are pushed by OTLP.
    """

    @property
    def metrics(self) -> str: ...  # noqa: D102

    @property
    def traces(self) -> str: ...  # noqa: D102

    @property
    def otlp_endpoint(self) -> str: ...  # noqa: D102

    @property
    def interval_ms(self) -> int: ...  # noqa: D102


class Exporters:
    """Owns the exporters of one entry or gateway.

    Nothing is registered globally, so several of them can share a process.

    Attributes:
        meter: Makes instruments.
        tracer: Makes spans.
    """

    def __init__(self, config: Config, instance_id: str) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        resource = sdk_resources.Resource(
            {"service.name": "oleanderbay", "service.instance.id": instance_id}
        )
        self._metrics_provider: sdk_metrics.MeterProvider | None = None
        self._trace_provider: sdk_trace.TracerProvider | None = None
        meter_provider: metrics.MeterProvider = metrics.NoOpMeterProvider()
        # The owner closes the providers. Their own handlers at the end of
        # the process would wait up to 30 s for a receiver that is down.
        if config.metrics != "none":
            self._metrics_provider = sdk_metrics.MeterProvider(
                [self._reader(config)], resource, shutdown_on_exit=False
            )
            meter_provider = self._metrics_provider
        tracer_provider: trace.TracerProvider = trace.NoOpTracerProvider()
        if config.traces == "otlp":
            self._trace_provider = _otlp_traces(config, resource)
            tracer_provider = self._trace_provider
        self.meter = meter_provider.get_meter("oleanderbay")
        self.tracer = tracer_provider.get_tracer("oleanderbay")

    def exposition(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Flushes and stops the exporters; may block on the network."""
        if self._metrics_provider is not None:
            self._metrics_provider.shutdown()
        if self._trace_provider is not None:
            self._trace_provider.shutdown()

    def _reader(self, config: Config) -> metrics_export.MetricReader:
        if config.metrics == "otlp":
            # Imported here because it takes 0.1 s that most starts save.
            from opentelemetry.exporter.otlp.proto.http import metric_exporter

            return metrics_export.PeriodicExportingMetricReader(
                metric_exporter.OTLPMetricExporter(
                    endpoint=f"{config.otlp_endpoint}/v1/metrics"
                ),
                export_interval_millis=config.interval_ms,
            )
        return prometheus_exporter.PrometheusMetricReader(
            registry=self._registry
        )


def _otlp_traces(
    config: Config, resource: sdk_resources.Resource
) -> sdk_trace.TracerProvider:
    from opentelemetry.exporter.otlp.proto.http import trace_exporter

    provider = sdk_trace.TracerProvider(
        resource=resource, shutdown_on_exit=False
    )
    provider.add_span_processor(
        trace_export.BatchSpanProcessor(
            trace_exporter.OTLPSpanExporter(
                endpoint=f"{config.otlp_endpoint}/v1/traces"
            )
        )
    )
    return provider
