"""Budget of repeats that all nodes share."""

from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import members
from lycheestair.sidecar import settings as settings_lib

# Part of the allowed repeats that is used; the rest is for repeats that nodes
# can't count, such as calls made by a repeated request.
USED_SHARE: Final = 0.5


class RetryBudget:
    """Tokens earned by the requests for a service, spent by repeats."""

    def __init__(self, bounds: settings_lib.Bounds, table: members.MemberTable):
        self._ratio = bounds.retry_ratio * USED_SHARE
        self._slack = bounds.retry_slack * USED_SHARE
        self._window_s = bounds.retry_window_s
        self._table = table
        self._tokens = self._limit
        self._at = clock.read_s()

    @property
    def _limit(self) -> float:
        # The slack is for all nodes together.
        return max(1.0, self._slack / max(1, len(self._table)))

    def add_request(self) -> None:
        """Earns the share of one request."""
        now = clock.read_s()
        earned = (now - self._at) * self._limit / self._window_s
        self._at = now
        self._tokens = min(self._limit, self._tokens + earned + self._ratio)

    def try_spend(self) -> bool:
        """Takes the budget of one repeat if there is enough."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudgets:
    """One budget for each service."""

    def __init__(self, bounds: settings_lib.Bounds, table: members.MemberTable):
        self._bounds = bounds
        self._table = table
        self._budgets: dict[ids.ServiceName, RetryBudget] = {}

    def find(self, service: ids.ServiceName) -> RetryBudget:
        """Returns the budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(self._bounds, self._table)
            self._budgets[service] = found
        return found
