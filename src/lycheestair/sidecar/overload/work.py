"""Expected time for which requests of each route hold a slot.

Answers the load of a backend server whose kinds of requests differ tenfold in
the time that they take. One average for all of them predicts long waits for
short requests and short waits for long ones.
"""

from typing import Final

from lycheestair import ids

# Expected time before any request has finished.
INITIAL_WORK_S: Final = 0.15
# Weight of the latest request in the moving averages.
LATEST_WEIGHT: Final = 0.1
# The prior of a route counts as this many requests, so that one exceptional
# request doesn't decide how the next ones are queued.
PRIOR_REQUESTS: Final = 2
# Routes that are remembered. More than a backend server gets requests for.
MAX_ROUTES: Final = 256


class WorkEstimator:
    """Moving averages of slot times in seconds, in total and by route."""

    def __init__(self) -> None:
        self._average_s = INITIAL_WORK_S
        # Number of requests and average, the route used last at the end.
        self._routes: dict[ids.RouteName, tuple[int, float]] = {}

    @property
    def average_s(self) -> float:
        """Average over the requests of all routes."""
        return self._average_s

    def observe(self, route: ids.RouteName, duration_s: float) -> None:
        """Adds the slot time of a request that has run to its end."""
        count, expected_s = self._routes.pop(route, (0, self._average_s))
        weight = max(LATEST_WEIGHT, 1.0 / (count + 1 + PRIOR_REQUESTS))
        expected_s += weight * (duration_s - expected_s)
        self._routes[route] = (count + 1, expected_s)
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]
        self._average_s += LATEST_WEIGHT * (duration_s - self._average_s)

    def expect_s(self, route: ids.RouteName) -> float:
        """Returns the expected slot time of a request in seconds."""
        known = self._routes.get(route)
        return self._average_s if known is None else known[1]
