"""Detection of regressions of a new version by sequential tests.

Events (failures, slow calls) of both versions are compared within the same
interval, failure domain and route. Given the total number of events, the new
version's expected fraction of them equals its fraction of the calls if both
versions are equally good, whatever the common event rate is. Faults of both
versions therefore raise no alarm, and few calls have little weight.

The tests are implemented in `sums`.
"""

from collections.abc import Iterator
import dataclasses
import enum
import math
from typing import Final

import numpy as np

from lycheestair import evidence
from lycheestair import ids
from lycheestair import observations
from lycheestair import sums

# Upper bound on the probability that a good version is found bad during a move.
# It is divided among all CUSUM sums and all times that a sum leaves zero, and
# Wald's inequality holds for each of them.
FALSE_ALARM_PROBABILITY: Final = 1e-3
# Probability that a version with twice the failure rate is found healthy.
FALSE_HEALTHY_PROBABILITY: Final = 1e-3
# A call is slow if its latency is more than this many histogram buckets (a
# factor of 1.5) above this quantile of the old version on the same route.
SLOW_QUANTILE: Final = 0.9
SLOW_BUCKETS: Final = 2
# Slow calls on a route are counted after this many calls of the old version.
MIN_LATENCY_CALLS: Final = 200
# If the old version has fewer calls in an interval than this fraction of the
# new version's, the new version's event rate is tested against the baseline
# rate, which is the old version's rate so far. That test can raise suspicion
# but not an alarm.
MIN_CONCURRENT_FRACTION: Final = 0.02
# Calls of the old version from which its baseline rate is used.
MIN_BASELINE_CALLS: Final = 500
# Baseline rate of failures for a controller that takes over at full share and
# has seen fewer than MIN_BASELINE_CALLS of the old version.
DEFAULT_FAILURE_RATE: Final = 0.02
# The new version is suspected if the log-likelihood ratio of SUSPICION_RATIO
# times the baseline rate to the baseline rate reaches SUSPICION_THRESHOLD.
SUSPICION_RATIO: Final = 2.0
SUSPICION_THRESHOLD: Final = 12.0
# Intervals in which the old version has a higher failure rate are not used as
# proof that the new version is healthy.
COMMON_FAULT_RATE: Final = 0.2
ALL_ROUTES: Final = ids.RouteName("")


class Verdict(enum.Enum):
    """Conclusion about the new version."""

    UNDECIDED = "undecided"
    HEALTHY = "healthy"
    SUSPECTED = "suspected"
    BAD = "bad"


class Signal(enum.Enum):
    """Kinds of events whose rates are compared."""

    FAILED = "failed"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True)
class Finding:
    """Verdict, and the counts behind it for operators."""

    verdict: Verdict
    reason: str = ""


class RegressionDetector:
    """Tests of the new version of one move. Not thread-safe."""

    def __init__(
        self,
        move_service: ids.ServiceName,
        old_version: ids.VersionName,
        new_version: ids.VersionName,
        route: ids.RouteName = ALL_ROUTES,
        detector_count: int = 1,
    ):
        """Initializes the tests.

        Args:
          move_service: Service of the move.
          old_version: Version to compare with.
          new_version: Version to test.
          route: Route that the move is limited to, empty for all.
          detector_count: Number of detectors of the same move, each with
            evidence of its own; the bound on false alarms holds for all
            together.
        """
        self._service = move_service
        self._old = old_version
        self._new = new_version
        self._route = route
        self._detector_count = detector_count
        self._suspicion_threshold = SUSPICION_THRESHOLD + math.log(
            detector_count
        )
        self._now = -math.inf
        self._tests: dict[tuple[Signal, str], sums.CusumTest] = {}
        self._slow_buckets: dict[ids.RouteName, int] = {}
        # All counts of the old version so far, by route.
        self._old_counts: dict[ids.RouteName, evidence.OutcomeCounts] = {}
        # Log-likelihood ratios of "twice the reference failure rate" to "the
        # reference failure rate". The reference is the old version's rate for
        # the first and ACCEPTED_FAILURE_RATE for the second.
        self._health_llrs = [0.0, 0.0]
        self.new_calls = 0
        # Whether the last comparison found a fault of both versions.
        self.common_fault_found = False
        # Routes with their own shares. All other routes have the same shares,
        # so that their counts can be added.
        self.separate_routes: frozenset[ids.RouteName] = frozenset()

    def observe(
        self, rows: evidence.Rows, now: float, include_latency: bool = True
    ) -> None:
        """Adds one interval of one failure domain.

        Args:
          rows: Outcome counts; rows of other services are ignored.
          now: Unix time in seconds.
          include_latency: Whether to test for slow calls.
        """
        self._now = now
        pooled: dict[Signal, list[sums.CountPair]] = {}
        for route, new, old in self._pair_counts(rows):
            self.new_calls += new.calls
            for signal, pair in self._pair_signals(route, new, old):
                if signal is Signal.SLOW and not include_latency:
                    continue
                self._add_pair(signal, route, pair)
                if route not in self.separate_routes:
                    pooled.setdefault(signal, []).append(pair)
            self._old_counts.setdefault(route, evidence.OutcomeCounts()).add(
                old
            )
        for signal, pairs in pooled.items():
            pair = sums.add_pairs(pairs)
            self._add_pair(signal, "", pair)
            if signal is Signal.FAILED:
                self._add_health(pair)

    def _pair_counts(
        self, rows: evidence.Rows
    ) -> Iterator[
        tuple[ids.RouteName, evidence.OutcomeCounts, evidence.OutcomeCounts]
    ]:
        routes = {
            target.route
            for target in rows
            if target.service == self._service
            and (not self._route or target.route == self._route)
        }
        empty = evidence.OutcomeCounts()
        for route in sorted(routes):
            new, old = (
                rows.get(
                    observations.VersionRoute(self._service, version, route),
                    empty,
                )
                for version in (self._new, self._old)
            )
            yield route, new, old

    def _pair_signals(
        self,
        route: ids.RouteName,
        new: evidence.OutcomeCounts,
        old: evidence.OutcomeCounts,
    ) -> Iterator[tuple[Signal, sums.CountPair]]:
        yield Signal.FAILED, sums.CountPair(
            new.failed, new.calls, old.failed, old.calls
        )
        old_counts = self._old_counts.get(route)
        if old_counts is None or old_counts.calls < MIN_LATENCY_CALLS:
            return
        # Computed once: if the bound moved by a bucket, the rate of slow calls
        # would change as if the version had changed.
        slow_bucket = self._slow_buckets.get(route)
        if slow_bucket is None:
            slow_bucket = _find_slow_bucket(old_counts.histogram)
            self._slow_buckets[route] = slow_bucket
        yield Signal.SLOW, sums.CountPair(
            int(new.histogram[slow_bucket:].sum()),
            new.calls,
            int(old.histogram[slow_bucket:].sum()),
            old.calls,
        )

    def _add_pair(
        self, signal: Signal, route: str, pair: sums.CountPair
    ) -> None:
        test = self._tests.setdefault((signal, route), sums.CusumTest())
        if pair.old_calls < pair.new_calls * MIN_CONCURRENT_FRACTION:
            test.recent_old_events = test.recent_old_calls = 0
            self._update_suspicion(signal, test, pair)
        llrs = (
            sums.compute_failure_llrs(pair)
            if signal is Signal.FAILED
            else sums.compute_llrs(pair)
        )
        test.add(
            llrs, pair, self._base_threshold, int(self._now / sums.TIME_SLOT_S)
        )

    def _update_suspicion(
        self, signal: Signal, test: sums.CusumTest, pair: sums.CountPair
    ) -> None:
        if test.old_calls >= MIN_BASELINE_CALLS:
            # Three events are added so that a baseline of few events does not
            # underestimate the rate.
            rate = (test.old_events + 3) / test.old_calls
        elif signal is Signal.FAILED:
            rate = DEFAULT_FAILURE_RATE
        else:
            return
        rate = test.select_baseline_rate(pair, rate, self._now)
        llr = pair.new_events * math.log(SUSPICION_RATIO) - (
            pair.new_calls * rate * (SUSPICION_RATIO - 1)
        )
        limit = self._suspicion_threshold * sums.MAX_FRACTION_PER_TIME_SLOT
        test.suspicion = max(0.0, test.suspicion + min(llr, limit))

    def _add_health(self, pair: sums.CountPair) -> None:
        if pair.old_events > COMMON_FAULT_RATE * pair.old_calls:
            return
        self._health_llrs[0] += sums.compute_llr(pair, 2.0)
        self._health_llrs[1] += sums.compute_accepted_rate_llr(pair, 2.0)

    @property
    def _base_threshold(self) -> float:
        count = max(len(self._tests), 1) * len(sums.RATIOS)
        return math.log(self._detector_count * count / FALSE_ALARM_PROBABILITY)

    def evaluate(self) -> Finding:
        """Returns the verdict on all intervals so far."""
        base_threshold = self._base_threshold
        for (signal, route), test in self._tests.items():
            if test.compute_alarm_fraction(base_threshold) >= 1.0:
                return Finding(
                    Verdict.BAD, _describe(signal, route, test.describe())
                )
        for (signal, route), test in self._tests.items():
            if test.suspicion >= self._suspicion_threshold:
                return Finding(
                    Verdict.SUSPECTED, _describe(signal, route, test.describe())
                )
        if self.has_warning():
            return Finding(Verdict.UNDECIDED, "sign of a fault")
        if min(self._health_llrs) <= math.log(FALSE_HEALTHY_PROBABILITY):
            return Finding(Verdict.HEALTHY)
        return Finding(Verdict.UNDECIDED, f"{self.new_calls} calls are too few")

    def has_warning(self) -> bool:
        """Whether a sum of any test has reached its warning level."""
        base_threshold = self._base_threshold
        return any(
            test.has_warning(base_threshold) for test in self._tests.values()
        )

    def reset_suspicion(self) -> None:
        """Resets suspicion at the end of a comparison of both versions."""
        self.common_fault_found = any(
            test.has_common_fault() for test in self._tests.values()
        )
        for test in self._tests.values():
            test.reset_suspicion(self._now)


def _find_slow_bucket(histogram: evidence.Histogram) -> int:
    """Returns the first latency bucket that counts as slow."""
    reached = np.cumsum(histogram) >= SLOW_QUANTILE * histogram.sum()
    return min(
        int(np.argmax(reached)) + SLOW_BUCKETS + 1,
        evidence.LATENCY_BUCKET_COUNT,
    )


def _describe(signal: Signal, route: str, counts: str) -> str:
    scope = f"on route {route!r}" if route else "on all routes"
    return f"{signal.value} {scope}: {counts}"
