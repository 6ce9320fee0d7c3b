"""Admission of requests whose dependency calls may find no free capacity.

Answers the load of a service that runs requests although the service that they
call is full: their work is lost, and its retry repeats it. A serving node
learns from its own backend server's calls which routes make them, and starts
fewer requests of these routes while calls are refused. It waits for no other
node, so that services that call each other can't block each other.
"""

import collections
import dataclasses
from typing import Final

from lycheestair import ids

# Decay of the counters by event, so that they cover about 200 of them.
COUNTER_DECAY: Final = 0.995
# Calls per request from which on a route counts as one that makes calls.
MIN_CALLS_PER_REQUEST: Final = 0.2
# Additive increase per second and multiplicative decrease of the share of
# requests that start. The increase from the smallest share to the whole takes 6 s,
# well within the operators' time for recovery.
SHARE_INCREASE_PER_S: Final = 0.15
SHARE_DECREASE_FACTOR: Final = 0.7
# Calls that are refused within this time have the same cause.
MIN_DECREASE_INTERVAL_S: Final = 0.1
# Some requests start in any case: only their calls can show that there is capacity
# again.
MIN_SHARE: Final = 0.1


class _Counters:
    """Event counts by key that decay with each event."""

    def __init__(self) -> None:
        self._scale = 1.0
        self._counts: collections.defaultdict[ids.RouteName, float] = (
            collections.defaultdict(float)
        )

    def add(self, key: ids.RouteName, amount: float = 1.0) -> None:
        self._counts[key] += amount * self._scale

    def decay(self) -> None:
        self._scale /= COUNTER_DECAY
        if self._scale > 1e6:
            self._counts = collections.defaultdict(
                float,
                {
                    key: count / self._scale
                    for key, count in self._counts.items()
                    if count / self._scale > 1e-3
                },
            )
            self._scale = 1.0

    def read(self, key: ids.RouteName) -> float:
        return self._counts.get(key, 0.0) / self._scale


class CallCounts:
    """Counts the dependency calls that the requests of each route make."""

    def __init__(self) -> None:
        self._requests = _Counters()
        self._calls = _Counters()

    def record_request(self, route: ids.RouteName) -> None:
        """Records the start of a request."""
        self._requests.decay()
        self._calls.decay()
        self._requests.add(route)

    def record_call(self, route: ids.RouteName) -> None:
        """Records a call that a request of a route makes."""
        self._calls.add(route)

    def count_calls(self, route: ids.RouteName) -> float:
        """Returns how many calls a request of a route makes on average."""
        requests = self._requests.read(route)
        return self._calls.read(route) / requests if requests else 0.0

    def makes_calls(self, route: ids.RouteName) -> bool:
        """Returns whether requests of a route usually make calls."""
        return self.count_calls(route) >= MIN_CALLS_PER_REQUEST


class StartThrottle:
    """Share of the requests that start, by the fate of recent dependency calls.

    The least urgent requests are held back first.
    """

    def __init__(self) -> None:
        self._share = 1.0
        self._updated_at = 0.0
        self._decreased_at = 0.0
        # Recent requests and starts that have not been used, by priority.
        self._requests: dict[int, float] = {}
        self._credits: dict[int, float] = {}

    def read_share(self, now: float) -> float:
        """Returns the share of the requests that may start, from 0 to 1."""
        if self._share < 1.0:
            elapsed_s = max(0.0, now - self._updated_at)
            self._share = min(
                1.0, self._share + elapsed_s * SHARE_INCREASE_PER_S
            )
        self._updated_at = now
        return self._share

    def record_refused_call(self, now: float) -> None:
        """Records a call that has found no free capacity."""
        share = self.read_share(now)
        if now - self._decreased_at >= MIN_DECREASE_INTERVAL_S:
            self._decreased_at = now
            self._share = max(MIN_SHARE, share * SHARE_DECREASE_FACTOR)

    def try_start(self, priority: int, now: float) -> bool:
        """Returns whether a request that makes calls may start."""
        for known in self._requests:
            self._requests[known] *= COUNTER_DECAY
        self._requests[priority] = self._requests.get(priority, 0.0) + 1.0
        share = self.read_share(now)
        if share >= 1.0:
            self._credits.clear()
            return True
        preceding = sum(
            count for known, count in self._requests.items() if known < priority
        )
        left = share * sum(self._requests.values()) - preceding
        allowed = max(MIN_SHARE, min(1.0, left / self._requests[priority]))
        credit = self._credits.get(priority, 0.0) + allowed
        starts = credit >= 1.0
        self._credits[priority] = credit - starts
        return starts


@dataclasses.dataclass(frozen=True, slots=True)
class Parent:
    """A running request that makes a dependency call."""

    route: ids.RouteName
    priority: int


class ChainAdmission:
    """Decides for one backend server which requests that make calls start.

    A dependency call is recognized by its id, which extends the id of a running
    request by a dot and a part of its own. Both arrive from the same address, and a
    call has no other mark. A client could claim one only with the id of a request
    that runs at this very server.

    Attributes:
      counts: Which routes make dependency calls.
      throttle: Share of their requests that start.
    """

    def __init__(self) -> None:
        self.counts = CallCounts()
        self.throttle = StartThrottle()
        # Running requests by id.
        self._running: dict[bytes, Parent] = {}

    def try_start(
        self, route: ids.RouteName, priority: int, now: float
    ) -> bool:
        """Returns whether a request may start."""
        return not self.counts.makes_calls(route) or self.throttle.try_start(
            priority, now
        )

    def begin(
        self, request_id: bytes, route: ids.RouteName, priority: int
    ) -> None:
        """Records the start of a request."""
        self._running[request_id] = Parent(route, priority)
        self.counts.record_request(route)

    def end(self, request_id: bytes) -> None:
        """Records the end of a request."""
        self._running.pop(request_id, None)

    def find_parent(self, request_id: bytes) -> Parent | None:
        """Returns the running request that has made a call, None if none has."""
        parent_id, dot, _ = request_id.rpartition(b".")
        return self._running.get(parent_id) if dot else None

    def begin_call(self, parent: Parent) -> int:
        """Records a dependency call and returns the priority that it gets.

        It is more urgent by one than the request that made it: the work that has
        been spent on that request is lost with the call.
        """
        self.counts.record_call(parent.route)
        return parent.priority - 1

    def record_refused_call(self, now: float) -> None:
        """Records a dependency call that has found no free capacity."""
        self.throttle.record_refused_call(now)
