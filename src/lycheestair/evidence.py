"""Outcome counts and latency histograms by version and route.

Outcomes are counted over short intervals, which are kept for a sliding window.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import threading
from typing import Final

import numpy as np
import numpy.typing as npt

from lycheestair import evidence_pb2
from lycheestair import ids
from lycheestair import observations
from lycheestair import settings as settings_lib

LATENCY_BUCKET_COUNT: Final = 64
# Maximum count in a decoded row, far above what a node serves in an interval.
MAX_ROW_CALLS: Final = 1_000_000_000
LOWEST_BOUND_MS: Final = 0.25
HIGHEST_BOUND_MS: Final = 64_000.0
# Upper bounds of the latency buckets in geometric progression, factor 1.22. The
# last bucket has no upper bound.
LATENCY_BOUNDS_MS: Final[npt.NDArray[np.float64]] = np.geomspace(
    LOWEST_BOUND_MS, HIGHEST_BOUND_MS, LATENCY_BUCKET_COUNT - 1
)
# Samples buffered until the interval is closed. Further samples replace the
# oldest, so that a stalled reader can't exhaust memory.
MAX_PENDING_SAMPLES: Final = 100_000

Histogram = npt.NDArray[np.int64]
ServiceVersion = tuple[ids.ServiceName, ids.VersionName]
Sample = tuple[observations.VersionRoute, bool, float]


@dataclasses.dataclass
class OutcomeCounts:
    """Outcome counts of one version on one route.

    Attributes:
      histogram: Calls by latency bucket, shape (LATENCY_BUCKET_COUNT,).
    """

    calls: int = 0
    failed: int = 0
    histogram: Histogram = dataclasses.field(
        default_factory=lambda: np.zeros(LATENCY_BUCKET_COUNT, np.int64)
    )

    def add(self, other: "OutcomeCounts") -> None:
        """Adds other counts to these."""
        self.calls += other.calls
        self.failed += other.failed
        self.histogram = self.histogram + other.histogram

    @property
    def total_latency_ms(self) -> float:
        """Total time of all calls in the backend servers.

        Approximate: each call counts with the geometric midpoint of its bucket,
        or with HIGHEST_BOUND_MS in the last bucket, which has no upper bound.
        """
        return float(self.histogram @ _BUCKET_MIDPOINTS_MS)


_BUCKET_MIDPOINTS_MS: Final[npt.NDArray[np.float64]] = np.append(
    LATENCY_BOUNDS_MS
    / (HIGHEST_BOUND_MS / LOWEST_BOUND_MS)
    ** (0.5 / (LATENCY_BUCKET_COUNT - 2)),
    HIGHEST_BOUND_MS,
)

Rows = Mapping[observations.VersionRoute, OutcomeCounts]


@dataclasses.dataclass(frozen=True)
class Interval:
    """Counts of one interval.

    Attributes:
      sequence: Number of the interval in its log, without gaps.
      ended_at: End of the interval, monotonic time of the log's owner in
        seconds.
    """

    sequence: int
    ended_at: float
    rows: Rows


def merge_rows(
    parts: Iterable[Rows],
) -> dict[observations.VersionRoute, OutcomeCounts]:
    """Returns the sum of the counts of all parts."""
    merged: dict[observations.VersionRoute, OutcomeCounts] = {}
    for rows in parts:
        for target, counts in rows.items():
            merged.setdefault(target, OutcomeCounts()).add(counts)
    return merged


def select_rows(rows: Rows, services: frozenset[ids.ServiceName]) -> Rows:
    """Returns the rows of the given services."""
    return {
        target: counts
        for target, counts in rows.items()
        if target.service in services
    }


def count_samples(samples: Iterable[Sample]) -> Rows:
    """Aggregates samples into counts by version and route."""
    outcomes_by_target: dict[
        observations.VersionRoute, list[tuple[bool, float]]
    ] = {}
    for target, failed, latency_ms in samples:
        outcomes_by_target.setdefault(target, []).append((failed, latency_ms))
    return {
        target: OutcomeCounts(
            len(outcomes),
            sum(failed for failed, _ in outcomes),
            np.bincount(
                np.searchsorted(LATENCY_BOUNDS_MS, [ms for _, ms in outcomes]),
                minlength=LATENCY_BUCKET_COUNT,
            ).astype(np.int64),
        )
        for target, outcomes in outcomes_by_target.items()
    }


class EvidenceLog:
    """Intervals within a sliding window. Thread-safe."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._lock = threading.Lock()
        self._intervals: collections.deque[Interval] = collections.deque()
        self._last_sequence = 0

    def append(self, rows: Rows, now: float) -> Interval:
        """Adds an interval that ends now and drops expired intervals."""
        with self._lock:
            self._last_sequence += 1
            interval = Interval(self._last_sequence, now, rows)
            self._intervals.append(interval)
            while self._intervals[0].ended_at < now - self._window_s:
                self._intervals.popleft()
            return interval

    def read_after(self, sequence: int) -> tuple[Interval, ...]:
        """Returns the intervals that follow a sequence number."""
        with self._lock:
            return tuple(
                interval
                for interval in self._intervals
                if interval.sequence > sequence
            )


class EvidenceTable:
    """Outcomes observed by the local node.

    The request path only appends to a deque, which needs no lock. Samples are
    counted when the interval is closed.
    """

    def __init__(self, settings: settings_lib.Settings):
        self._samples: collections.deque[Sample] = collections.deque(
            maxlen=MAX_PENDING_SAMPLES
        )
        self.log = EvidenceLog(settings.moves.window_s)
        self._urgent_versions: frozenset[ServiceVersion] = frozenset()
        self._failure_callback: Callable[[], None] = lambda: None

    def set_urgent_versions(self, urgent: frozenset[ServiceVersion]) -> None:
        """Sets the versions whose failures trigger an immediate report."""
        self._urgent_versions = urgent

    def set_failure_callback(self, callback: Callable[[], None]) -> None:
        """Sets the function called on each failure of an urgent version.

        It runs on the request path and must not block.
        """
        self._failure_callback = callback

    def record(
        self,
        target: observations.VersionRoute,
        failed: bool,
        latency_ms: float,
    ) -> None:
        """Implements OutcomeRecorder.record."""
        self._samples.append((target, failed, latency_ms))
        if failed and (target.service, target.version) in self._urgent_versions:
            self._failure_callback()

    def close_interval(self, now: float) -> Interval:
        """Closes the current interval and returns it.

        Args:
          now: Monotonic time in seconds.
        """
        samples = self._samples
        count = len(samples)
        drained = [samples.popleft() for _ in range(count)]
        return self.log.append(count_samples(drained), now)


def encode_rows(rows: Rows) -> list[evidence_pb2.Row]:
    """Encodes rows as messages, without empty latency buckets."""
    return [
        evidence_pb2.Row(
            service=target.service,
            version=target.version,
            route=target.route,
            calls=counts.calls,
            failed=counts.failed,
            buckets=np.flatnonzero(counts.histogram).tolist(),
            bucket_calls=counts.histogram[counts.histogram > 0].tolist(),
        )
        for target, counts in rows.items()
    ]


def decode_rows(messages: Iterable[evidence_pb2.Row]) -> Rows:
    """Decodes rows.

    Ignores buckets out of range and rows with a count above MAX_ROW_CALLS,
    which could overflow the histogram.
    """
    rows = {}
    for message in messages:
        counts = (message.calls, message.failed, *message.bucket_calls)
        if max(counts) > MAX_ROW_CALLS:
            continue
        histogram = np.zeros(LATENCY_BUCKET_COUNT, np.int64)
        for bucket, calls in zip(
            message.buckets, message.bucket_calls, strict=False
        ):
            if bucket < LATENCY_BUCKET_COUNT:
                histogram[bucket] += calls
        target = observations.VersionRoute(
            ids.ServiceName(message.service),
            ids.VersionName(message.version),
            ids.RouteName(message.route),
        )
        rows[target] = OutcomeCounts(message.calls, message.failed, histogram)
    return rows
