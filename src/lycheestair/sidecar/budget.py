"""Retry budgets, whose limits apply to all nodes together."""

import math
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import members
from lycheestair.sidecar import settings as settings_lib

# Fraction of the permitted retries that the budgets of all nodes add up to. The
# remainder covers nodes that receive more than an even share of the traffic,
# and restarted nodes, which begin with a full budget.
SPENDABLE_RATIO: Final = 0.85
# Tokens earned by requests accumulate for this long because failures come in
# bursts. Such tokens can be spent in the following window as well, so the
# earned ratio is reduced accordingly.
CARRYOVER_S: Final = 2.0
# Fraction of the allowance that may be spent at once; the rest accrues over
# time.
BURST_RATIO: Final = 0.5
# A retried request is charged for the calls that its execution makes. The
# average number of calls is derived from counters with this half-life.
COUNT_HALF_LIFE_S: Final = 5.0
# Limits the charge while few executions have been counted.
MAX_CALLS_PER_EXECUTION: Final = 4.0


class _DecayingCounter:
    """Event counter with exponential decay."""

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_at = clock.read_s()

    def add(self) -> None:
        """Records an event."""
        self._value = self.read() + 1.0
        self._updated_at = clock.read_s()

    def read(self) -> float:
        """Returns the decayed count."""
        age_s = clock.read_s() - self._updated_at
        return float(self._value * 0.5 ** (age_s / COUNT_HALF_LIFE_S))

    def read_rate(self) -> float:
        """Returns the event rate per second."""
        return self.read() * math.log(2) / COUNT_HALF_LIFE_S


class RetryBudget:
    """Token bucket: requests to a service add tokens and retries take them.

    Within a window it spends at most the burst, the tokens that accrue over
    time and the configured ratio of the requests. Over all nodes these stay
    within SPENDABLE_RATIO of the permitted retries.

    Attributes:
      requests: Requests to the service that were received by this node.
      dependency_calls: The subset of them that the local backend server made.
    """

    def __init__(self, bounds: settings_lib.Bounds, table: members.MemberTable):
        self.requests = _DecayingCounter()
        self.dependency_calls = _DecayingCounter()
        self._ratio = (
            bounds.retry_ratio
            * SPENDABLE_RATIO
            * bounds.retry_window_s
            / (bounds.retry_window_s + CARRYOVER_S)
        )
        self._allowance = bounds.retry_allowance * SPENDABLE_RATIO
        self._window_s = bounds.retry_window_s
        self._table = table
        self._tokens = self._burst
        self._updated_at = clock.read_s()

    @property
    def _allowance_per_node(self) -> float:
        # The configured allowance applies to all nodes together.
        return self._allowance / max(1, len(self._table))

    @property
    def _burst(self) -> float:
        carryover = self.requests.read_rate() * CARRYOVER_S * self._ratio
        return max(1.0, self._allowance_per_node * BURST_RATIO + carryover)

    def record_request(self, from_local_backend: bool = False) -> None:
        """Adds the tokens earned by one request.

        Args:
          from_local_backend: Whether the local backend server made the request.
        """
        if from_local_backend:
            self.dependency_calls.add()
        now = clock.read_s()
        allowance_per_s = (
            self._allowance_per_node * (1.0 - BURST_RATIO) / self._window_s
        )
        earned = (now - self._updated_at) * allowance_per_s + self._ratio
        self._updated_at = now
        self.requests.add()
        self._tokens = min(self._burst, self._tokens + earned)

    @property
    def _reserve(self) -> float:
        """Tokens that only calls of the local backend server may take.

        A call that fails wastes the work done for the request that made it, and
        backend servers do not retry. Its share of the burst is that of the
        calls among the requests.
        """
        requests = self.requests.read()
        if not requests:
            return 0.0
        return self._burst * min(1.0, self.dependency_calls.read() / requests)

    def try_spend(self, from_local_backend: bool = False) -> bool:
        """Takes the token for one retry; returns whether there was one.

        Args:
          from_local_backend: Whether the local backend server made the request.
        """
        reserve = 0.0 if from_local_backend else self._reserve
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True

    def charge(self, retries: float) -> None:
        """Takes tokens for retries that can't be refused.

        The number of tokens may become negative.
        """
        self._tokens -= retries


class RetryBudgets:
    """Retry budgets by service."""

    def __init__(
        self,
        own: ids.ServiceName,
        bounds: settings_lib.Bounds,
        table: members.MemberTable,
    ):
        """Initializes the budgets.

        Args:
          own: Service of the local backend server.
          bounds: Retry limits of all nodes together.
          table: All known nodes.
        """
        self._local_service = own
        self._bounds = bounds
        self._table = table
        self._budgets: dict[ids.ServiceName, RetryBudget] = {}
        self._executions = _DecayingCounter()

    def find(self, service: ids.ServiceName) -> RetryBudget:
        """Returns the budget of a service, creating it if needed."""
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(self._bounds, self._table)
            self._budgets[service] = found
        return found

    def record_execution(self, is_retry: bool) -> None:
        """Records that the local backend server executes a request.

        Calls made by the execution of a retry are retries from the point of
        view of the called services. Calls can't be attributed to individual
        executions, so the average number of calls is charged.
        """
        self._executions.add()
        if not is_retry:
            return
        executions = self._executions.read()
        for service, budget in self._budgets.items():
            if service != self._local_service:
                calls_per_execution = (
                    budget.dependency_calls.read() / executions
                )
                budget.charge(min(MAX_CALLS_PER_EXECUTION, calls_per_execution))
