"""Sequential tests of a new version against the old one.

Events (failures, slow calls) of both versions are compared within the same
interval, failure domain and route. Given the number of events of both
together, the new version's part depends only on its part of the calls if it
is as good as the old one, whatever the common rate of events is. Faults that
both versions share therefore do not decide, and few calls carry little weight.

The tests themselves are in `sums`.
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

# Bound on the probability that a good version is believed bad in a move, for
# all sums and all their starts together (Wald's bound for each start).
FALSE_ALARM: Final = 1e-3
# Probability that a version with twice the failures is believed healthy.
FALSE_PASS: Final = 1e-3
# A call is slow when it is this many sketch buckets (factor 1.5) above the
# 90th percentile of the old version on the same route.
SLOW_QUANTILE: Final = 0.9
SLOW_BUCKETS: Final = 2
MIN_LATENCY_CALLS: Final = 200
# Without calls of the old version at the same time, its earlier rate is all
# there is to compare with; that raises suspicion but decides nothing.
MIN_CONCURRENT_PART: Final = 0.02
MIN_BASELINE_CALLS: Final = 500
# Stands in for the baseline at a controller that takes over at full share.
DEFAULT_FAILURE_RATE: Final = 0.02
SUSPICION_RATIO: Final = 2.0
SUSPICION_THRESHOLD: Final = 12.0
# Both versions fail this often: nothing is learned about health.
COMMON_FAULT_RATE: Final = 0.2
ALL_ROUTES: Final = ids.RouteName("")


class Verdict(enum.Enum):
    """What the evidence says of the new version."""

    UNDECIDED = "undecided"
    HEALTHY = "healthy"
    SUSPECTED = "suspected"
    BAD = "bad"


class Signal(enum.Enum):
    """Events that are compared."""

    FAILED = "failed"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True)
class Finding:
    """Verdict with the figures it rests on, for operators."""

    verdict: Verdict
    reason: str = ""


class Judge:
    """Tests of one move. Not safe for use by several threads."""

    def __init__(
        self,
        move_service: ids.ServiceName,
        old_version: ids.VersionName,
        new_version: ids.VersionName,
        route: ids.RouteName = ALL_ROUTES,
        judges: int = 1,
    ):
        """Initializes the tests.

        Args:
          move_service: Service of the move.
          old_version: Version to compare with.
          new_version: Version that is judged.
          route: Route that the move is limited to, empty for all.
          judges: Judges at work on the same move, each on its own evidence;
            the false alarms of all together are bounded.
        """
        self._service = move_service
        self._old = old_version
        self._new = new_version
        self._route = route
        self._judges = judges
        self._suspicion_threshold = SUSPICION_THRESHOLD + math.log(judges)
        self._now = -math.inf
        self._tests: dict[tuple[Signal, str], sums.Test] = {}
        self._slow_buckets: dict[ids.RouteName, int] = {}
        self._baseline: dict[ids.RouteName, evidence.Counts] = {}
        # Sums of the tests that the version is healthy: relative to the old
        # version, and against the accepted rate.
        self._health = [0.0, 0.0]
        self.calls = 0
        # Whether the last comparison showed a fault of both versions.
        self.found_common = False
        # Routes with shares of their own. All others have the same shares, so
        # that their calls may be added up.
        self.separate: frozenset[ids.RouteName] = frozenset()

    def observe(
        self, rows: evidence.Rows, now: float, judge_latency: bool = True
    ) -> None:
        """Adds one interval of one failure domain.

        Args:
          rows: Evidence; rows of other services are ignored.
          now: Unix time in seconds.
          judge_latency: Whether slow calls count.
        """
        self._now = now
        pooled: dict[Signal, list[sums.Pair]] = {}
        for route, new, old in self._pair_rows(rows):
            self.calls += new.calls
            for signal, pair in self._list_pairs(route, new, old):
                if signal is Signal.SLOW and not judge_latency:
                    continue
                self._add(signal, route, pair)
                if route not in self.separate:
                    pooled.setdefault(signal, []).append(pair)
            self._baseline.setdefault(route, evidence.Counts()).add(old)
        for signal, pairs in pooled.items():
            pair = sums.add_pairs(pairs)
            self._add(signal, "", pair)
            if signal is Signal.FAILED:
                self._add_health(pair)

    def _pair_rows(
        self, rows: evidence.Rows
    ) -> Iterator[tuple[ids.RouteName, evidence.Counts, evidence.Counts]]:
        routes = {
            target.route
            for target in rows
            if target.service == self._service
            and (not self._route or target.route == self._route)
        }
        empty = evidence.Counts()
        for route in sorted(routes):
            new, old = (
                rows.get(
                    observations.VersionRoute(self._service, version, route),
                    empty,
                )
                for version in (self._new, self._old)
            )
            yield route, new, old

    def _list_pairs(
        self,
        route: ids.RouteName,
        new: evidence.Counts,
        old: evidence.Counts,
    ) -> Iterator[tuple[Signal, sums.Pair]]:
        yield Signal.FAILED, sums.Pair(
            new.failed, new.calls, old.failed, old.calls
        )
        baseline = self._baseline.get(route)
        if baseline is None or baseline.calls < MIN_LATENCY_CALLS:
            return
        # Found once: a bound that moves by a bucket changes the rate of slow
        # calls, which then looks like a change of the version.
        first = self._slow_buckets.get(route)
        if first is None:
            first = _find_slow_bucket(baseline.histogram)
            self._slow_buckets[route] = first
        yield Signal.SLOW, sums.Pair(
            int(new.histogram[first:].sum()),
            new.calls,
            int(old.histogram[first:].sum()),
            old.calls,
        )

    def _add(self, signal: Signal, route: str, pair: sums.Pair) -> None:
        test = self._tests.setdefault((signal, route), sums.Test())
        if pair.old_calls < pair.new_calls * MIN_CONCURRENT_PART:
            test.recent_events = test.recent_calls = 0
            self._suspect(signal, test, pair)
        parts = (
            sums.compute_failure_parts(pair)
            if signal is Signal.FAILED
            else sums.compute_parts(pair)
        )
        test.add(parts, pair, self._base, int(self._now / sums.SLOT_S))

    def _suspect(
        self, signal: Signal, test: sums.Test, pair: sums.Pair
    ) -> None:
        if test.old_calls >= MIN_BASELINE_CALLS:
            # Three more events keep a short baseline from being too low.
            rate = (test.old_events + 3) / test.old_calls
        elif signal is Signal.FAILED:
            rate = DEFAULT_FAILURE_RATE
        else:
            return
        rate = test.relieve(pair, rate, self._now)
        part = pair.new_events * math.log(SUSPICION_RATIO) - (
            pair.new_calls * rate * (SUSPICION_RATIO - 1)
        )
        limit = self._suspicion_threshold * sums.MAX_PART_PER_SLOT
        test.suspicion = max(0.0, test.suspicion + min(part, limit))

    def _add_health(self, pair: sums.Pair) -> None:
        if pair.old_events > COMMON_FAULT_RATE * pair.old_calls:
            return
        self._health[0] += sums.compute_ratio(pair, 2.0)
        self._health[1] += sums.compare_with_floor(pair, 2.0)

    @property
    def _base(self) -> float:
        count = max(len(self._tests), 1) * len(sums.RATIOS)
        return math.log(self._judges * count / FALSE_ALARM)

    def find(self) -> Finding:
        """Returns the verdict on all evidence so far."""
        base = self._base
        for (signal, route), test in self._tests.items():
            if test.measure_alarm(base) >= 1.0:
                return Finding(
                    Verdict.BAD, _describe(signal, route, test.describe())
                )
        for (signal, route), test in self._tests.items():
            if test.suspicion >= self._suspicion_threshold:
                return Finding(
                    Verdict.SUSPECTED, _describe(signal, route, test.describe())
                )
        if self.has_sign():
            return Finding(Verdict.UNDECIDED, "sign of a fault")
        if min(self._health) <= math.log(FALSE_PASS):
            return Finding(Verdict.HEALTHY)
        return Finding(Verdict.UNDECIDED, f"{self.calls} calls are too few")

    def has_sign(self) -> bool:
        """Whether a test is on its way to an alarm."""
        base = self._base
        return any(test.has_sign(base) for test in self._tests.values())

    def dismiss_suspicion(self) -> None:
        """Starts suspicion anew after both versions were compared."""
        self.found_common = any(
            test.found_common() for test in self._tests.values()
        )
        for test in self._tests.values():
            test.dismiss(self._now)


def _find_slow_bucket(histogram: evidence.Histogram) -> int:
    """Returns the first latency bucket that counts as slow."""
    reached = np.cumsum(histogram) >= SLOW_QUANTILE * histogram.sum()
    return min(int(np.argmax(reached)) + SLOW_BUCKETS + 1, evidence.BUCKETS)


def _describe(signal: Signal, route: str, figures: str) -> str:
    where = f"on route {route!r}" if route else "on all routes"
    return f"{signal.value} {where}: {figures}"
