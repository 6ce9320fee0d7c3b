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
# Bounds of latency histograms in milliseconds; finer around the 0.96 ms that
# the request path may add.
LATENCY_BOUNDS_MS: Final = (
    0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 25, 50, 100, 250, 500, 1_000, 5_000,
)  # fmt: skip
# Spans that wait for export; more are dropped, so that a slow log reader does
# not hold up requests.
MAX_QUEUED_SPANS: Final = 2_048

_TRACEPARENT_PATTERN: Final = re.compile(
    r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})"
)
_RATIO_RANGE: Final = 1 << 56

Attributes = Mapping[str, str | int | float | bool]
# Current values of a gauge, each with its attributes.
Observations = Iterable[tuple[float, Attributes]]


class Hop(Protocol):
    """The part of a request's trace that one process handles."""

    @property
    def traceparent(self) -> str:
        """Header value to send with the requests made on its behalf."""

    def annotate(self, **attributes: str | int | float | bool) -> None:
        """Adds attributes."""

    def end(self, failed: bool = False) -> None:
        """Ends the hop; called exactly once."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnsampledHop:
    """Hop of a request that is not sampled; only passes the context on."""

    traceparent: str

    def annotate(self, **attributes: str | int | float | bool) -> None:
        """Implements Hop.annotate."""

    def end(self, failed: bool = False) -> None:
        """Implements Hop.end."""


class SampledHop:
    """Hop with a span."""

    def __init__(self, span: trace.Span):
        self._span = span
        own = span.get_span_context()
        self.traceparent = f"00-{own.trace_id:032x}-{own.span_id:016x}-01"

    def annotate(self, **attributes: str | int | float | bool) -> None:
        """Implements Hop.annotate."""
        self._span.set_attributes(attributes)

    def end(self, failed: bool = False) -> None:
        """Implements Hop.end."""
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
    own = span.get_span_context()
    start, end = span.start_time or 0, span.end_time or 0
    return {
        "name": span.name,
        "trace_id": f"{own.trace_id:032x}" if own else "",
        "span_id": f"{own.span_id:016x}" if own else "",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "start": start / 1e9,
        "duration_ms": round((end - start) / 1e6, 3),
        "failed": span.status.status_code is trace.StatusCode.ERROR,
        "attributes": {
            key: logs.redact(value) if isinstance(value, str) else value
            for key, value in (span.attributes or {}).items()
        },
    }


class _TraceIds(id_generator.RandomIdGenerator):
    """Gives a new trace the id for which it was sampled.

    A chain of calls passes several caller listeners; each decides by the
    trace id, so that all of them decide alike.
    """

    def __init__(self) -> None:
        self.chosen = threading.local()

    def generate_trace_id(self) -> int:
        """Implements IdGenerator.generate_trace_id."""
        return int(self.chosen.trace_id)


class Tracing:
    """Starts hops. Costs a few microseconds for requests not sampled."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        exporter: export.SpanExporter | None = None,
    ):
        """Initializes tracing.

        Args:
          settings: Settings of the node.
          exporter: Receives the spans; the log by default.
        """
        percent = settings.telemetry.trace_sample_percent
        self._bound = int(percent / 100 * _RATIO_RANGE)
        self._ids = _TraceIds()
        self._provider = sdk_trace.TracerProvider(
            resource=_build_resource(settings),
            shutdown_on_exit=False,
            id_generator=self._ids,
        )
        self._provider.add_span_processor(
            export.BatchSpanProcessor(
                exporter or LogSpanExporter(), max_queue_size=MAX_QUEUED_SPANS
            )
        )
        self._tracer = self._provider.get_tracer("lycheestair")

    def start_hop(
        self, name: str, traceparent: str | None, from_peer: bool
    ) -> Hop:
        """Starts the part of a request that this process handles.

        Args:
          name: Name of the span.
          traceparent: Header of the request, None without one. A malformed
            one is replaced, as the W3C recommendation requires.
          from_peer: Whether the request comes from another node, whose
            sampling decision is followed. A caller's decision is not, because
            callers could make every request costly.
        """
        match = (
            _TRACEPARENT_PATTERN.fullmatch(traceparent) if traceparent else None
        )
        if match is None:
            trace_id = random.getrandbits(128) | 1
            if not self._is_in_sample(trace_id):
                return UnsampledHop(
                    f"00-{trace_id:032x}-{random.getrandbits(64) | 1:016x}-00"
                )
            self._ids.chosen.trace_id = trace_id
            return SampledHop(self._tracer.start_span(name, context.Context()))
        trace_id = int(match[1], 16)
        sampled = (
            bool(int(match[3], 16) & 1)
            if from_peer
            else self._is_in_sample(trace_id)
        )
        if not sampled:
            return UnsampledHop(f"00-{match[1]}-{match[2]}-00")
        return self._start_span(name, trace_id, int(match[2], 16))

    def shutdown(self) -> None:
        """Exports what is queued."""
        self._provider.shutdown()

    def _is_in_sample(self, trace_id: int) -> bool:
        # The W3C recommendation gives 56 random bits to the lower half.
        return trace_id % _RATIO_RANGE < self._bound

    def _start_span(self, name: str, trace_id: int, parent_id: int) -> Hop:
        parent = trace.SpanContext(
            trace_id,
            parent_id,
            is_remote=True,
            trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
        )
        return SampledHop(
            self._tracer.start_span(
                name, trace.set_span_in_context(trace.NonRecordingSpan(parent))
            )
        )


class Metrics:
    """Instruments of a node and their rendering."""

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
                        LATENCY_BOUNDS_MS
                    ),
                )
            ],
        )
        self._meter = self._provider.get_meter("lycheestair")

    def create_counter(self, name: str, description: str) -> metrics.Counter:
        """Creates a counter, named without the suffix `_total`."""
        return self._meter.create_counter(
            f"lycheestair_{name}", description=description
        )

    def create_histogram(
        self, name: str, description: str
    ) -> metrics.Histogram:
        """Creates a histogram of milliseconds."""
        return self._meter.create_histogram(
            f"lycheestair_{name}", unit="ms", description=description
        )

    def observe(
        self, name: str, description: str, read: Callable[[], Observations]
    ) -> None:
        """Adds a gauge that is read when the metrics are rendered."""

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
        """Releases the instruments."""
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
