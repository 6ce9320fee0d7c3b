"""Evidence on a new version: its outcomes against those of the others.

Outcomes are compared within slices of time. A fault of what a service depends
on hits all versions alike, but their shares of the requests change during a
rollout, so that sums over all of it would blame the version that has most of
them then.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import members

# A slice lasts this long, and longer until the other versions have given
# MIN_BASE_ANSWERS answers. Nodes report twice a second.
SLICE_S: Final = 0.5
MIN_BASE_ANSWERS: Final = 8
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
            max(0, self.answers - earlier.answers),
            max(0, self.failures - earlier.failures),
            max(0, self.busy_ms - earlier.busy_ms),
        )


@dataclasses.dataclass(slots=True)
class _Route:
    """Comparison of one route.

    Attributes:
      start: Sums of the new version and of the others at the slice's start.
      new: Outcomes of the new version in closed slices.
      failures: Failures that it would have had with the others' rates.
      busy_ms: Time that its answers would have taken at the others.
    """

    started_at: float
    start: tuple[Sums, Sums]
    new: Sums = dataclasses.field(default_factory=Sums)
    failures: float = 0.0
    busy_ms: float = 0.0


class Evidence:
    """Outcomes since a rollout was ordered."""

    def __init__(self) -> None:
        self._routes: dict[ids.RouteName, _Route] = {}

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
        now = clock.read_s()
        for name, sums in new.items():
            base = others.get(name, Sums())
            route = self._routes.get(name)
            if route is None:
                route = _Route(now, (Sums(), Sums()))
                self._routes[name] = route
            fault = self._judge(name, route, sums, base, now)
            if fault:
                return fault
        return ""

    def _judge(
        self,
        name: ids.RouteName,
        route: _Route,
        new: Sums,
        others: Sums,
        now: float,
    ) -> str:
        part = new.subtract(route.start[0])
        base = others.subtract(route.start[1])
        if base.answers < MIN_BASE_ANSWERS:
            # Nothing to compare with yet; closed slices still count.
            return _compare(name, route.new, route.failures, route.busy_ms)
        scale = part.answers / base.answers
        total = Sums(
            route.new.answers + part.answers,
            route.new.failures + part.failures,
            route.new.busy_ms + part.busy_ms,
        )
        failures = route.failures + scale * base.failures
        busy_ms = route.busy_ms + scale * base.busy_ms
        if now - route.started_at >= SLICE_S:
            route.started_at = now
            route.start = (new, others)
            route.new, route.failures, route.busy_ms = total, failures, busy_ms
        return _compare(name, total, failures, busy_ms)


def add_counts(
    sides: Iterable[tuple[members.RouteCount, dict[ids.RouteName, Sums]]],
) -> None:
    """Adds each count to the sums of its side."""
    for count, side in sides:
        side.setdefault(count.route, Sums()).add(count)


def _compare(
    name: ids.RouteName, new: Sums, failures: float, busy_ms: float
) -> str:
    limit = max(MIN_FAILURE_SHARE * new.answers, FAILURE_FACTOR * failures)
    if new.failures >= MIN_FAILURES and new.failures > limit:
        return (
            f"{new.failures} of {new.answers} failed on {name},"
            f" {failures:.1f} would have at the other versions"
        )
    if new.answers < MIN_SLOW_ANSWERS:
        return ""
    mean, base_mean = new.busy_ms / new.answers, busy_ms / new.answers
    if base_mean and mean > max(MIN_SLOW_MS, SLOW_FACTOR * base_mean):
        return (
            f"{mean:.0f} ms on {name}, {base_mean:.0f} ms at the other versions"
        )
    return ""
