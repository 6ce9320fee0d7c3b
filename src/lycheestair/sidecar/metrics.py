"""Counters and latency histograms, rendered as Prometheus text.

The OpenTelemetry SDK is not used here: with its exporter it adds 28 MB to a
process of 20 MB, and the platform bills memory use.
"""

import bisect
import collections
from collections.abc import Callable
from typing import Final

CONTENT_TYPE: Final = b"text/plain; version=0.0.4"
PREFIX: Final = "lycheestair_"
# Upper bounds in seconds, from the latency of one hop to the longest timeout of
# a route.
BUCKETS_S: Final = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
)

Labels = tuple[tuple[str, str], ...]


class _Histogram:

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0


class Metrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._counters: collections.Counter[tuple[str, Labels]] = (
            collections.Counter()
        )
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, **labels: str) -> None:
        """Increments a counter."""
        self._counters[name, tuple(labels.items())] += 1

    def observe(self, name: str, value_s: float, **labels: str) -> None:
        """Adds a duration in seconds to a histogram."""
        key = (name, tuple(labels.items()))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram()
        histogram.counts[bisect.bisect_left(BUCKETS_S, value_s)] += 1
        histogram.total_s += value_s

    def add_gauge(self, name: str, read_value: Callable[[], float]) -> None:
        """Adds a gauge whose value is read when the metrics are rendered."""
        self._gauges[name] = read_value

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        lines = [
            f"{PREFIX}{name}_total{_format_labels(labels)} {value}"
            for (name, labels), value in sorted(self._counters.items())
        ]
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            cumulative = 0
            for bound, bucket_count in zip(
                (*map(str, BUCKETS_S), "+Inf"), histogram.counts, strict=True
            ):
                cumulative += bucket_count
                bucket_labels = (*labels, ("le", bound))
                lines.append(
                    f"{PREFIX}{name}_seconds_bucket"
                    f"{_format_labels(bucket_labels)} {cumulative}"
                )
            lines += [
                f"{PREFIX}{name}_seconds_sum{_format_labels(labels)}"
                f" {histogram.total_s:.6f}",
                f"{PREFIX}{name}_seconds_count{_format_labels(labels)}"
                f" {cumulative}",
            ]
        lines += [
            f"{PREFIX}{name} {read_value()}"
            for name, read_value in sorted(self._gauges.items())
        ]
        return "\n".join([*lines, ""]).encode()


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
