"""Evidence on a new version: its outcomes against those of the others."""

import collections
from collections.abc import Mapping
import dataclasses
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import members

# Failures that are enough to judge a version, and how many more than the
# others it may have.
MIN_FAILURES: Final = 4
MIN_FAILURE_SHARE: Final = 0.12
FAILURE_FACTOR: Final = 2.5
# Answers that are enough to judge its latency on a route, and the factor
# against the others that counts as slow. Backend servers of one version differ
# by less than three times.
MIN_SLOW_ANSWERS: Final = 8
SLOW_FACTOR: Final = 3.0
MIN_SLOW_MS: Final = 100.0
# Failures of the others within this time, two reports of each node, excuse
# those of the new version, if the others had so many answers.
RECENT_S: Final = 1.0
MIN_RECENT_ANSWERS: Final = 8


@dataclasses.dataclass(slots=True)
class Sums:
    """Outcomes of a route at the backend servers of a side."""

    answers: int = 0
    failures: int = 0
    busy_ms: int = 0

    def add(self, count: members.RouteCount) -> None:
        """Adds the outcomes at one backend server."""
        self.answers += count.answers
        self.failures += count.failures
        self.busy_ms += count.busy_ms

    def subtract(self, earlier: "Sums") -> "Sums":
        """Returns what has come since an earlier time."""
        return Sums(
            self.answers - earlier.answers,
            self.failures - earlier.failures,
            self.busy_ms - earlier.busy_ms,
        )

    @property
    def failure_share(self) -> float:
        """Failures by answer."""
        # Sums shrink when a backend server leaves or starts again.
        return self.failures / self.answers if self.answers > 0 else 0.0

    @property
    def mean_ms(self) -> float:
        """Mean time of an answer."""
        return self.busy_ms / self.answers if self.answers else 0.0


class Evidence:
    """Outcomes since a rollout was ordered."""

    def __init__(self) -> None:
        # Sums of the new version and of the others, and when they were taken.
        self._earlier: dict[
            ids.RouteName, collections.deque[tuple[float, Sums, Sums]]
        ] = {}

    def find_fault(
        self,
        new: Mapping[ids.RouteName, Sums],
        others: Mapping[ids.RouteName, Sums],
    ) -> str:
        """Returns what is wrong with the new version, empty if nothing is.

        Args:
          new: Outcomes of the new version since the order.
          others: Outcomes of the other versions since the order.
        """
        for route, sums in new.items():
            base = others.get(route, Sums())
            shared = self._is_shared(route, sums, base)
            fault = _find_failures(route, sums, base)
            if fault and not shared:
                return fault
            fault = _find_slowness(route, sums, base)
            if fault:
                return fault
        return ""

    def _is_shared(self, route: ids.RouteName, new: Sums, others: Sums) -> bool:
        """Whether the others have failed as often lately.

        A fault of what a service depends on hits all versions alike, but when
        the new one has most requests, sums over the whole rollout blame it.
        """
        now = clock.read_s()
        earlier = self._earlier.setdefault(route, collections.deque())
        earlier.append((now, new, others))
        while len(earlier) > 1 and earlier[1][0] <= now - RECENT_S:
            earlier.popleft()
        _, start, base_start = earlier[0]
        base = others.subtract(base_start)
        if base.answers < MIN_RECENT_ANSWERS or not base.failures:
            return False
        limit = FAILURE_FACTOR * base.failure_share
        return new.subtract(start).failure_share <= limit


def _find_failures(route: ids.RouteName, new: Sums, others: Sums) -> str:
    limit = max(MIN_FAILURE_SHARE, FAILURE_FACTOR * others.failure_share)
    if new.failures < MIN_FAILURES or new.failure_share <= limit:
        return ""
    return (
        f"{new.failures} of {new.answers} failed on {route},"
        f" {others.failures} of {others.answers} at the other versions"
    )


def _find_slowness(route: ids.RouteName, new: Sums, others: Sums) -> str:
    if min(new.answers, others.answers) < MIN_SLOW_ANSWERS:
        return ""
    if new.mean_ms <= max(MIN_SLOW_MS, SLOW_FACTOR * others.mean_ms):
        return ""
    return (
        f"{new.mean_ms:.0f} ms on {route},"
        f" {others.mean_ms:.0f} ms at the other versions"
    )
