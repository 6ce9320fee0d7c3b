"""Budget of repeats that all nodes share."""

import math
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import members
from lycheestair.sidecar import settings as settings_lib

# Part of the allowed repeats that is used. The rest is for nodes that get more
# than an even part of the traffic, and for those that start again.
USED_SHARE: Final = 0.85
# What requests have earned is kept for this long, since failures come in
# groups. It counts in two windows, so that less is earned.
CARRY_S: Final = 2.0
# Part of the slack that may be spent at once; the rest comes with time.
BURST_SHARE: Final = 0.5
# A repeated request is charged for the calls that its run makes, from what
# runs and calls were counted with this half-life.
COUNT_HALF_LIFE_S: Final = 5.0
# Bounds the charge while few runs have been counted.
MAX_CALLS_PER_RUN: Final = 4.0


class _Count:
    """Number of events; old ones count less."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at = clock.read_s()

    def add(self) -> None:
        """Counts an event."""
        self._value = self.read() + 1.0
        self._at = clock.read_s()

    def read(self) -> float:
        """Returns the decayed number."""
        age_s = clock.read_s() - self._at
        return float(self._value * 0.5 ** (age_s / COUNT_HALF_LIFE_S))

    def read_rate(self) -> float:
        """Returns events per second."""
        return self.read() * math.log(2) / COUNT_HALF_LIFE_S


class RetryBudget:
    """Tokens earned by the requests for a service, spent by repeats.

    In a window it spends no more than the burst, what time adds, and its ratio
    of the requests: together the used share of what is allowed.

    Attributes:
      requests: Requests for the service that began at this node.
      calls: Those of them that the own backend server made.
    """

    def __init__(self, bounds: settings_lib.Bounds, table: members.MemberTable):
        self.requests = _Count()
        self.calls = _Count()
        self._ratio = (
            bounds.retry_ratio
            * USED_SHARE
            * bounds.retry_window_s
            / (bounds.retry_window_s + CARRY_S)
        )
        self._slack = bounds.retry_slack * USED_SHARE
        self._window_s = bounds.retry_window_s
        self._table = table
        self._tokens = self._burst
        self._at = clock.read_s()

    @property
    def _even_slack(self) -> float:
        # The slack is for all nodes together.
        return self._slack / max(1, len(self._table))

    @property
    def _burst(self) -> float:
        carried = self.requests.read_rate() * CARRY_S * self._ratio
        return max(1.0, self._even_slack * BURST_SHARE + carried)

    def add_request(self, own_call: bool = False) -> None:
        """Earns the share of one request.

        Args:
          own_call: Whether the own backend server makes it.
        """
        if own_call:
            self.calls.add()
        now = clock.read_s()
        rate = self._even_slack * (1.0 - BURST_SHARE) / self._window_s
        earned = (now - self._at) * rate + self._ratio
        self._at = now
        self.requests.add()
        self._tokens = min(self._burst, self._tokens + earned)

    def try_spend(self) -> bool:
        """Takes the budget of one repeat if there is enough."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def charge(self, repeats: float) -> None:
        """Takes the budget of repeats that can't be prevented."""
        self._tokens -= repeats


class RetryBudgets:
    """One budget for each service."""

    def __init__(
        self,
        own: ids.ServiceName,
        bounds: settings_lib.Bounds,
        table: members.MemberTable,
    ):
        """Initializes the budgets.

        Args:
          own: Service of the backend server beside the node.
          bounds: What all nodes together may spend.
          table: All known nodes.
        """
        self._own = own
        self._bounds = bounds
        self._table = table
        self._budgets: dict[ids.ServiceName, RetryBudget] = {}
        self._runs = _Count()

    def find(self, service: ids.ServiceName) -> RetryBudget:
        """Returns the budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(self._bounds, self._table)
            self._budgets[service] = found
        return found

    def add_run(self, repeat: bool) -> None:
        """Counts a run at the own backend server.

        The calls of a repeated run are repeats at the services called. Which
        calls a run has made is not known, so that the usual number is charged.
        """
        self._runs.add()
        if not repeat:
            return
        runs = self._runs.read()
        for service, budget in self._budgets.items():
            if service != self._own:
                calls_per_run = budget.calls.read() / runs
                budget.charge(min(MAX_CALLS_PER_RUN, calls_per_run))
