"""Detection of a bad version by comparing its outcomes with those of others."""

import collections
from collections.abc import Iterable
import dataclasses
import math
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import latencies as latencies_lib
from lycheestair.sidecar import members

# A version is bad if, on any route, it has at least MIN_FAILURES failures and
# its failure rate is above both MIN_FAILURE_RATE and FAILURE_FACTOR times that
# of the other versions.
MIN_FAILURES: Final = 4
MIN_FAILURE_RATE: Final = 0.12
FAILURE_FACTOR: Final = 2.5
# The same for the failures of the last RECENT_FAILURES_WINDOW_S. Fewer outcomes
# are compared, so more of them must have failed.
MIN_RECENT_FAILURES: Final = 5
MIN_RECENT_FAILURE_RATE: Final = 0.2
RECENT_FAILURES_WINDOW_S: Final = 2.0
# A version is also bad if, on any route, its mean latency is above both
# MIN_SLOW_MS and SLOW_FACTOR times that of the other versions, with at least
# MIN_SLOW_ANSWERS answers on both sides. The latencies of backend servers of
# one version differ by a factor of less than three.
MIN_SLOW_ANSWERS: Final = 8
SLOW_FACTOR: Final = 3.0
MIN_SLOW_MS: Final = 100.0
# A version is also bad if clearly more than MAX_SLOW_RATE of its answers, on a
# route or in all, are slower than SLOW_QUANTILE of the answers that the other
# versions gave at the same time. Clearly means by SLOW_CONFIDENCE standard
# deviations. Answers are compared in spans of at least MIN_SPAN_S in which the
# others have given at least MIN_REFERENCE_ANSWERS.
SLOW_QUANTILE: Final = 0.9
MAX_SLOW_RATE: Final = 0.18
SLOW_CONFIDENCE: Final = 2.0
MIN_COMPARED_ANSWERS: Final = 16
MIN_SPAN_S: Final = 1.0
MIN_REFERENCE_ANSWERS: Final = 20
# Failures of the new version don't count if, within this window, its failure
# rate is at most FAILURE_FACTOR times that of the other versions. The others
# must have failed at least once and given at least MIN_RECENT_ANSWERS answers.
# Each node sends two status reports in a window.
RECENT_WINDOW_S: Final = 1.0
MIN_RECENT_ANSWERS: Final = 8
# Key of the outcomes of all routes together.
ALL_ROUTES: Final = ids.RouteName("all routes")


@dataclasses.dataclass(slots=True)
class OutcomeTotals:
    """Outcomes on a route, summed over backend servers.

    Attributes:
      answers: All outcomes, including failures without a response.
      total_latency_ms: Total processing time of these requests.
    """

    answers: int = 0
    failures: int = 0
    total_latency_ms: int = 0
    latencies: latencies_lib.Histogram = dataclasses.field(
        default_factory=latencies_lib.Histogram
    )

    def add(self, other: "OutcomeTotals | members.RouteCount") -> None:
        """Adds further outcomes."""
        self.answers += other.answers
        self.failures += other.failures
        self.total_latency_ms += other.total_latency_ms
        self.latencies.update(dict(other.latencies))

    @property
    def failure_rate(self) -> float:
        """Failures divided by answers."""
        return self.failures / self.answers if self.answers else 0.0

    @property
    def mean_ms(self) -> float:
        """Mean latency of an answer."""
        return self.total_latency_ms / self.answers if self.answers else 0.0


@dataclasses.dataclass(slots=True)
class SlowAnswers:
    """Answers of the new version, compared with those of the others.

    Attributes:
      compared: Answers that were compared.
      slow: Those slower than SLOW_QUANTILE of the others' answers.
    """

    compared: int = 0
    slow: int = 0

    def add(self, other: "SlowAnswers") -> None:
        """Adds further answers."""
        self.compared += other.compared
        self.slow += other.slow

    def find_fault(self, route: ids.RouteName) -> str:
        """Returns what is wrong, empty if nothing is or too little is known."""
        if self.compared < MIN_COMPARED_ANSWERS:
            return ""
        # Lower limit of the Wilson interval of the rate.
        rate = self.slow / self.compared
        z2 = SLOW_CONFIDENCE**2 / self.compared
        deviation = SLOW_CONFIDENCE * math.sqrt(
            rate * (1 - rate) / self.compared + z2 / (4 * self.compared)
        )
        if (rate + z2 / 2 - deviation) / (1 + z2) <= MAX_SLOW_RATE:
            return ""
        return (
            f"{self.slow} of {self.compared} answers on {route} were slower"
            f" than {SLOW_QUANTILE:.0%} of those of the other versions"
        )


class _LatencyComparison:
    """Compares the latencies of a route in spans of time."""

    def __init__(self) -> None:
        self._span_started_at = clock.read_s()
        self._new = latencies_lib.Histogram()
        self._others = latencies_lib.Histogram()

    def add(
        self,
        now: float,
        new: latencies_lib.Histogram,
        others: latencies_lib.Histogram,
    ) -> SlowAnswers:
        """Adds answers; returns those of the span if it ends."""
        self._new.update(new)
        self._others.update(others)
        if (
            now - self._span_started_at < MIN_SPAN_S
            or self._others.total() < MIN_REFERENCE_ANSWERS
        ):
            return SlowAnswers()
        bucket = latencies_lib.find_quantile_bucket(self._others, SLOW_QUANTILE)
        result = SlowAnswers(
            self._new.total(), latencies_lib.count_above(self._new, bucket)
        )
        self._span_started_at = now
        self._new.clear()
        self._others.clear()
        return result


class IncrementReader:
    """Reads what members have counted since their previous reports.

    Outcomes stay counted when their member leaves or restarts.
    """

    def __init__(self) -> None:
        # Latest report of each member.
        self._reports: dict[ids.NodeId, tuple[members.RouteCount, ...]] = {}
        # Incarnation and latest counts of each member.
        self._known: dict[
            ids.NodeId, tuple[int, dict[ids.RouteName, members.RouteCount]]
        ] = {}

    def read(self, member: members.Member) -> list[members.RouteCount]:
        """Returns the outcomes that are new in a member's latest report."""
        record = member.record
        if self._reports.get(record.node_id) is member.counts:
            return []
        self._reports[record.node_id] = member.counts
        incarnation, known = self._known.get(record.node_id, (0, {}))
        latest = {count.route: count for count in member.counts}
        if incarnation != record.incarnation or any(
            route in latest and latest[route].answers < count.answers
            for route, count in known.items()
        ):
            known = {}
        if latest:
            self._known[record.node_id] = (record.incarnation, known | latest)
        return [
            count.subtract(known[route]) if route in known else count
            for route, count in latest.items()
        ]


@dataclasses.dataclass(slots=True)
class _Comparison:
    """Outcomes on a route of the new version and of the others.

    Attributes:
      recent: Time of each increment, and the increments of both sides.
      slow_answers: Answers of the new version whose latency was compared.
    """

    new: OutcomeTotals = dataclasses.field(default_factory=OutcomeTotals)
    others: OutcomeTotals = dataclasses.field(default_factory=OutcomeTotals)
    recent: collections.deque[tuple[float, OutcomeTotals, OutcomeTotals]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    slow_answers: SlowAnswers = dataclasses.field(default_factory=SlowAnswers)
    latencies: _LatencyComparison = dataclasses.field(
        default_factory=_LatencyComparison
    )

    def add(
        self, now: float, new: OutcomeTotals, others: OutcomeTotals
    ) -> None:
        self.new.add(new)
        self.others.add(others)
        self.recent.append((now, new, others))
        while self.recent[0][0] <= now - RECENT_FAILURES_WINDOW_S:
            self.recent.popleft()

    def sum_recent(self, window_s: float) -> "_Comparison":
        """Returns the outcomes within a window that ends now."""
        result = _Comparison()
        start = clock.read_s() - window_s
        for at, new, others in self.recent:
            if at > start:
                result.new.add(new)
                result.others.add(others)
        return result


class Evidence:
    """Outcomes of the versions of a service during a rollout."""

    def __init__(self) -> None:
        self._comparisons: dict[ids.RouteName, _Comparison] = {}

    @property
    def new_answers(self) -> int:
        """Outcomes of the new version."""
        return self._all_routes.new.answers

    @property
    def all_answers(self) -> int:
        """Outcomes of all versions."""
        both = self._all_routes
        return both.new.answers + both.others.answers

    @property
    def _all_routes(self) -> _Comparison:
        return self._comparisons.setdefault(ALL_ROUTES, _Comparison())

    def add(
        self,
        new: Iterable[members.RouteCount],
        others: Iterable[members.RouteCount],
    ) -> None:
        """Adds outcomes that were reported since the previous call.

        Args:
          new: Outcomes of the new version.
          others: Outcomes of the other versions.
        """
        now = clock.read_s()
        new_by_route = _sum_by_route(new)
        others_by_route = _sum_by_route(others)
        for route in (
            self._comparisons.keys()
            | new_by_route.keys()
            | others_by_route.keys()
        ):
            comparison = self._comparisons.setdefault(route, _Comparison())
            new_totals = new_by_route.get(route, OutcomeTotals())
            other_totals = others_by_route.get(route, OutcomeTotals())
            comparison.add(now, new_totals, other_totals)
            if route != ALL_ROUTES:
                slow_answers = comparison.latencies.add(
                    now, new_totals.latencies, other_totals.latencies
                )
                comparison.slow_answers.add(slow_answers)
                self._all_routes.slow_answers.add(slow_answers)

    def find_fault(self) -> str:
        """Returns what is wrong with the new version, empty if nothing is."""
        faults = (
            self._find_fault_on_route(route, comparison)
            for route, comparison in self._comparisons.items()
            if comparison.new.answers
        )
        return next(filter(None, faults), "")

    def _find_fault_on_route(
        self, route: ids.RouteName, comparison: _Comparison
    ) -> str:
        if not _is_common_failure(comparison):
            fault = _find_failures(route, comparison) or _find_recent_failures(
                route, comparison
            )
            if fault:
                return fault
        fault = comparison.slow_answers.find_fault(route)
        # The versions may have different shares of slow routes, so that means
        # over all routes can't be compared.
        if fault or route == ALL_ROUTES:
            return fault
        return _find_slowness(route, comparison.new, comparison.others)


def _sum_by_route(
    counts: Iterable[members.RouteCount],
) -> dict[ids.RouteName, OutcomeTotals]:
    totals: dict[ids.RouteName, OutcomeTotals] = {}
    for count in counts:
        for route in (count.route, ALL_ROUTES):
            totals.setdefault(route, OutcomeTotals()).add(count)
    return totals


def _is_common_failure(comparison: _Comparison) -> bool:
    """Whether the other versions have failed as often recently.

    A fault of a dependency affects all versions alike. Once the new version
    has most of the requests, totals over the whole rollout would attribute
    the failures to it, so only recent outcomes are compared.
    """
    recent = comparison.sum_recent(RECENT_WINDOW_S)
    if recent.others.answers < MIN_RECENT_ANSWERS or not recent.others.failures:
        return False
    limit = FAILURE_FACTOR * recent.others.failure_rate
    return recent.new.failure_rate <= limit


def _find_failures(route: ids.RouteName, comparison: _Comparison) -> str:
    new, others = comparison.new, comparison.others
    limit = max(MIN_FAILURE_RATE, FAILURE_FACTOR * others.failure_rate)
    if new.failures < MIN_FAILURES or new.failure_rate <= limit:
        return ""
    return (
        f"{new.failures} of {new.answers} requests failed on {route},"
        f" {others.failures} of {others.answers} for the other versions"
    )


def _find_recent_failures(route: ids.RouteName, comparison: _Comparison) -> str:
    """Finds failures that the successes before them would hide."""
    new = comparison.sum_recent(RECENT_FAILURES_WINDOW_S).new
    others = comparison.others
    limit = max(MIN_RECENT_FAILURE_RATE, FAILURE_FACTOR * others.failure_rate)
    if new.failures < MIN_RECENT_FAILURES or new.failure_rate <= limit:
        return ""
    return (
        f"{new.failures} of {new.answers} requests failed on {route} in"
        f" {RECENT_FAILURES_WINDOW_S} s, {others.failures} of"
        f" {others.answers} for the other versions since the start"
    )


def _find_slowness(
    route: ids.RouteName, new: OutcomeTotals, others: OutcomeTotals
) -> str:
    if min(new.answers, others.answers) < MIN_SLOW_ANSWERS:
        return ""
    if new.mean_ms <= max(MIN_SLOW_MS, SLOW_FACTOR * others.mean_ms):
        return ""
    return (
        f"mean latency {new.mean_ms:.0f} ms on {route},"
        f" {others.mean_ms:.0f} ms for the other versions"
    )
