"""OpenTelemetry metrics and traces.

Metrics are rendered as Prometheus text for `GET /metrics`. Spans of sampled
requests are written to the log as JSON lines.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random
import re
import threading
from typing import Final
from typing import Protocol

from opentelemetry import context
from opentelemetry import metrics
from opentelemetry import trace
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources as sdk_resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.metrics import view
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import id_generator
import prometheus_client

from lycheestair import ids
from lycheestair import logs
from lycheestair import settings as settings_lib

TRACEPARENT: Final = "traceparent"
CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
# Bounds are closer together around 0.96 ms, the limit of the latency that the
# request path adds.
LATENCY_BUCKET_BOUNDS_MS: Final = (
    0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 25, 50, 100, 250, 500, 1_000, 5_000,
)  # fmt: skip
# When the queue is full, further spans are dropped, so that a slow log reader
# does not delay requests.
MAX_QUEUED_SPANS: Final = 2_048

_TRACEPARENT_PATTERN: Final = re.compile(
    # Ids of zeros only are invalid.
    r"00-(?!0{32})([0-9a-f]{32})-(?!0{16})([0-9a-f]{16})-([0-9a-f]{2})"
)
# The W3C Trace Context level 2 recommendation makes the rightmost 56 bits of a
# trace id random; the sampling decision depends on them.
_RANDOM_PART_RANGE: Final = 1 << 56

Attributes = Mapping[str, str | int | float | bool]
# Current values of a gauge, each with its attributes.
Observations = Iterable[tuple[float, Attributes]]


class RequestSpan(Protocol):
    """Span of a request in this process, sampled or not."""

    @property
    def traceparent(self) -> str:
        """Value of the header in requests sent on behalf of this request."""

    def add_attributes(self, **attributes: str | int | float | bool) -> None:
        """Adds attributes to the span."""

    def end(self, failed: bool = False) -> None:
        """Ends the span. Must be called exactly once."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnsampledSpan:
    """Only propagates the trace context; records nothing."""

    traceparent: str

    def add_attributes(self, **attributes: str | int | float | bool) -> None:
        """Implements RequestSpan.add_attributes."""

    def end(self, failed: bool = False) -> None:
        """Implements RequestSpan.end."""


class SampledSpan:
    """Records an OpenTelemetry span."""

    def __init__(self, span: trace.Span):
        self._span = span
        span_context = span.get_span_context()
        self.traceparent = (
            f"00-{span_context.trace_id:032x}-{span_context.span_id:016x}-01"
        )

    def add_attributes(self, **attributes: str | int | float | bool) -> None:
        """Implements RequestSpan.add_attributes."""
        self._span.set_attributes(attributes)

    def end(self, failed: bool = False) -> None:
        """Implements RequestSpan.end."""
        if failed:
            self._span.set_status(trace.StatusCode.ERROR)
        self._span.end()


class LogSpanExporter(export.SpanExporter):
    """Writes spans to the log, one JSON line each."""

    def export(
        self, spans: Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Implements SpanExporter.export."""
        for span in spans:
            logs.log_fields("span", {"span": _describe_span(span)})
        return export.SpanExportResult.SUCCESS


def _describe_span(span: sdk_trace.ReadableSpan) -> dict[str, object]:
    span_context = span.get_span_context()
    start_ns, end_ns = span.start_time or 0, span.end_time or 0
    return {
        "name": span.name,
        "trace_id": f"{span_context.trace_id:032x}" if span_context else "",
        "span_id": f"{span_context.span_id:016x}" if span_context else "",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "start": start_ns / 1e9,
        "duration_ms": round((end_ns - start_ns) / 1e6, 3),
        "failed": span.status.status_code is trace.StatusCode.ERROR,
        "attributes": {
            key: logs.redact(value) if isinstance(value, str) else value
            for key, value in (span.attributes or {}).items()
        },
    }


class _TraceIdGenerator(id_generator.RandomIdGenerator):
    """Returns the trace id that the sampling decision of a new trace used.

    A request that causes further requests passes several caller listeners. Each
    decides by the trace id alone, so all of them make the same decision.

    Attributes:
      thread_local: Holds `trace_id`, which is set before a root span starts.
    """

    def __init__(self) -> None:
        self.thread_local = threading.local()

    def generate_trace_id(self) -> int:
        """Implements IdGenerator.generate_trace_id."""
        return int(self.thread_local.trace_id)


class Tracing:
    """Starts spans. An unsampled request costs a few microseconds."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        exporter: export.SpanExporter | None = None,
    ):
        """Initializes tracing.

        Args:
          settings: Settings of the node.
          exporter: Exports the spans; to the log by default.
        """
        percent = settings.telemetry.trace_sample_percent
        self._sampling_bound = int(percent / 100 * _RANDOM_PART_RANGE)
        self._id_generator = _TraceIdGenerator()
        self._provider = sdk_trace.TracerProvider(
            resource=_build_resource(settings),
            shutdown_on_exit=False,
            id_generator=self._id_generator,
        )
        self._provider.add_span_processor(
            export.BatchSpanProcessor(
                exporter or LogSpanExporter(), max_queue_size=MAX_QUEUED_SPANS
            )
        )
        self._tracer = self._provider.get_tracer("lycheestair")

    def start_span(
        self, name: str, traceparent: str | None, from_peer: bool
    ) -> RequestSpan:
        """Starts the span of a request in this process.

        Args:
          name: Name of the span.
          traceparent: Value of the request's header, None if it has none. A
            malformed value starts a new trace, as the W3C recommendation
            requires.
          from_peer: Whether the request comes from another node. The sampling
            decision of another node is adopted. That of a caller is ignored,
            because callers could have every request traced, which is costly.
        """
        match = (
            _TRACEPARENT_PATTERN.fullmatch(traceparent) if traceparent else None
        )
        if match is None:
            trace_id = random.getrandbits(128) | 1
            if not self._is_sampled(trace_id):
                return UnsampledSpan(
                    f"00-{trace_id:032x}-{random.getrandbits(64) | 1:016x}-00"
                )
            self._id_generator.thread_local.trace_id = trace_id
            return SampledSpan(self._tracer.start_span(name, context.Context()))
        trace_id = int(match[1], 16)
        sampled = (
            bool(int(match[3], 16) & 1)
            if from_peer
            else self._is_sampled(trace_id)
        )
        if not sampled:
            return UnsampledSpan(f"00-{match[1]}-{match[2]}-00")
        return self._start_child_span(name, trace_id, int(match[2], 16))

    def shutdown(self) -> None:
        """Exports the queued spans and stops the exporter."""
        self._provider.shutdown()

    def _is_sampled(self, trace_id: int) -> bool:
        return trace_id % _RANDOM_PART_RANGE < self._sampling_bound

    def _start_child_span(
        self, name: str, trace_id: int, parent_id: int
    ) -> RequestSpan:
        parent = trace.SpanContext(
            trace_id,
            parent_id,
            is_remote=True,
            trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
        )
        return SampledSpan(
            self._tracer.start_span(
                name, trace.set_span_in_context(trace.NonRecordingSpan(parent))
            )
        )


class Metrics:
    """Creates the instruments of a node and renders their values."""

    def __init__(self, settings: settings_lib.Settings):
        self._registry = prometheus_client.CollectorRegistry()
        self._provider = sdk_metrics.MeterProvider(
            [
                otel_prometheus.PrometheusMetricReader(
                    disable_target_info=True,
                    scope_info_enabled=False,
                    registry=self._registry,
                )
            ],
            resource=_build_resource(settings),
            shutdown_on_exit=False,
            views=[
                view.View(
                    instrument_type=sdk_metrics.Histogram,
                    aggregation=view.ExplicitBucketHistogramAggregation(
                        LATENCY_BUCKET_BOUNDS_MS
                    ),
                )
            ],
        )
        self._meter = self._provider.get_meter("lycheestair")

    def create_counter(self, name: str, description: str) -> metrics.Counter:
        """Creates a counter. `name` is given without the suffix `_total`."""
        return self._meter.create_counter(
            f"lycheestair_{name}", description=description
        )

    def create_histogram(
        self, name: str, description: str
    ) -> metrics.Histogram:
        """Creates a histogram of durations in milliseconds."""
        return self._meter.create_histogram(
            f"lycheestair_{name}", unit="ms", description=description
        )

    def create_gauge(
        self, name: str, description: str, read: Callable[[], Observations]
    ) -> None:
        """Creates a gauge. `read` is called whenever metrics are rendered."""

        def callback(
            options: metrics.CallbackOptions,
        ) -> Iterable[metrics.Observation]:
            del options
            return [
                metrics.Observation(value, dict(attributes))
                for value, attributes in read()
            ]

        self._meter.create_observable_gauge(
            f"lycheestair_{name}", [callback], description=description
        )

    def render(self) -> bytes:
        """Renders all metrics as Prometheus text."""
        return prometheus_client.generate_latest(self._registry)

    def shutdown(self) -> None:
        """Shuts the meter provider down."""
        self._provider.shutdown()


def _build_resource(
    settings: settings_lib.Settings,
) -> sdk_resources.Resource:
    return sdk_resources.Resource(
        {
            "service.name": "lycheestair",
            "service.instance.id": ids.NodeId(settings.node.id),
        }
    )
