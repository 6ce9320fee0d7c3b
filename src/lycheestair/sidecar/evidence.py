"""Detection of a bad version by comparing its outcomes with those of others."""

import collections
from collections.abc import Mapping
import dataclasses
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import members

# A version is bad if, on any route, it has at least MIN_FAILURES failures and
# its failure rate is above both MIN_FAILURE_RATE and FAILURE_FACTOR times that
# of the other versions.
MIN_FAILURES: Final = 4
MIN_FAILURE_RATE: Final = 0.12
FAILURE_FACTOR: Final = 2.5
# A version is also bad if, on any route, its mean latency is above both
# MIN_SLOW_MS and SLOW_FACTOR times that of the other versions, with at least
# MIN_SLOW_ANSWERS answers on both sides. The latencies of backend servers of
# one version differ by a factor of less than three.
MIN_SLOW_ANSWERS: Final = 8
SLOW_FACTOR: Final = 3.0
MIN_SLOW_MS: Final = 100.0
# Failures of the new version don't count if, within this window, its failure
# rate is at most FAILURE_FACTOR times that of the other versions. The others
# must have failed at least once and given at least MIN_RECENT_ANSWERS answers.
# Each node sends two status reports in a window.
RECENT_WINDOW_S: Final = 1.0
MIN_RECENT_ANSWERS: Final = 8


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

    def add(self, count: members.RouteCount) -> None:
        """Adds the outcomes at one backend server."""
        self.answers += count.answers
        self.failures += count.failures
        self.total_latency_ms += count.total_latency_ms

    def subtract(self, earlier: "OutcomeTotals") -> "OutcomeTotals":
        """Returns the outcomes since an earlier time."""
        return OutcomeTotals(
            self.answers - earlier.answers,
            self.failures - earlier.failures,
            self.total_latency_ms - earlier.total_latency_ms,
        )

    @property
    def failure_rate(self) -> float:
        """Failures divided by answers."""
        # Totals shrink when a backend server leaves or restarts, so that a
        # difference of two of them may be negative.
        return self.failures / self.answers if self.answers > 0 else 0.0

    @property
    def mean_ms(self) -> float:
        """Mean latency of an answer."""
        return self.total_latency_ms / self.answers if self.answers else 0.0


class Evidence:
    """Outcomes of the versions of a service during a rollout."""

    def __init__(self) -> None:
        # Time of each sample, and the totals of the new version and of the
        # others at that time.
        self._samples: dict[
            ids.RouteName,
            collections.deque[tuple[float, OutcomeTotals, OutcomeTotals]],
        ] = {}

    def find_fault(
        self,
        new: Mapping[ids.RouteName, OutcomeTotals],
        others: Mapping[ids.RouteName, OutcomeTotals],
    ) -> str:
        """Returns what is wrong with the new version, empty if nothing is.

        Args:
          new: Outcomes of the new version since the start of the rollout.
          others: Outcomes of the other versions since then.
        """
        for route, totals in new.items():
            other_totals = others.get(route, OutcomeTotals())
            is_common = self._is_common_failure(route, totals, other_totals)
            fault = _find_failures(route, totals, other_totals)
            if fault and not is_common:
                return fault
            fault = _find_slowness(route, totals, other_totals)
            if fault:
                return fault
        return ""

    def _is_common_failure(
        self, route: ids.RouteName, new: OutcomeTotals, others: OutcomeTotals
    ) -> bool:
        """Whether the other versions have failed as often recently.

        A fault of a dependency affects all versions alike. Once the new version
        has most of the requests, totals over the whole rollout would attribute
        the failures to it, so only recent outcomes are compared.
        """
        now = clock.read_s()
        samples = self._samples.setdefault(route, collections.deque())
        samples.append((now, new, others))
        while len(samples) > 1 and samples[1][0] <= now - RECENT_WINDOW_S:
            samples.popleft()
        _, new_at_start, others_at_start = samples[0]
        recent_others = others.subtract(others_at_start)
        if (
            recent_others.answers < MIN_RECENT_ANSWERS
            or not recent_others.failures
        ):
            return False
        limit = FAILURE_FACTOR * recent_others.failure_rate
        return new.subtract(new_at_start).failure_rate <= limit


def _find_failures(
    route: ids.RouteName, new: OutcomeTotals, others: OutcomeTotals
) -> str:
    limit = max(MIN_FAILURE_RATE, FAILURE_FACTOR * others.failure_rate)
    if new.failures < MIN_FAILURES or new.failure_rate <= limit:
        return ""
    return (
        f"{new.failures} of {new.answers} requests failed on {route},"
        f" {others.failures} of {others.answers} for the other versions"
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
