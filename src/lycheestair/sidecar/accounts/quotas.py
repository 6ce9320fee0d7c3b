"""Decides at a coordinator which fraction of an account's requests is admitted.

Answers the load of an account that sends several times its allowance at all nodes
at once. Nodes report how many requests they were offered and how many of them they
admitted. While the bucket of an account is nearly empty, all nodes get the same
fraction of requests to admit: each node's share follows its present demand, so
that traffic which moves between nodes needs no new shares.
"""

import dataclasses
import heapq
import math
from typing import Final

from lycheestair import ids
from lycheestair.sidecar.accounts import buckets

# Time in which the rest of a bucket may be used up. Longer than nodes need to
# learn a fraction, so that they know it before the bucket is empty.
EMPTYING_S: Final = 0.15
# Time in which a debt is paid back. Several times the delay until a fraction takes
# effect: the fractions would oscillate otherwise.
REPAYMENT_S: Final = 0.5
# The demand is averaged over this many requests at the allowed rate, within the
# bounds: few requests give no rate, and many show a change soon.
AVERAGED_REQUESTS: Final = 4.0
MIN_AVERAGING_S: Final = 0.05
MAX_AVERAGING_S: Final = 1.0
# Requests that are refused within this time are asked to return spread over the
# time in which the allowance suffices for them.
RETURNING_S: Final = 0.5
MIN_RETRY_AFTER_S: Final = 0.05
MAX_RETRY_AFTER_S: Final = 5.0
# A debt of more than this time's requests is forgotten: a node with a wrong count
# must not stop an account for long.
MAX_DEBT_S: Final = 5.0
# Nodes that have reported requests of an account this lately are told its fraction.
RECEIVER_MEMORY_S: Final = 3.0
# A fraction that has fallen by this ratio is sent at once to the nodes that reported
# requests lately, any other to all nodes at the longer interval.
MIN_CHANGE_RATIO: Final = 0.3
MIN_SEND_INTERVAL_S: Final = 0.08
RENEWAL_S: Final = 0.3
# An account counts as limited for this long after a limit.
LASTING_S: Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """How much of an account's requests nodes admit.

    Attributes:
      fraction: Fraction of the requests to admit, from 0 to 1.
      retry_after_s: Time in seconds after which a refused request may return.
      spread_s: Time in seconds over which such requests are spread.
    """

    fraction: float
    retry_after_s: float = 0.0
    spread_s: float = 0.0


UNLIMITED: Final = Limit(1.0)


class DemandEstimate:
    """Rate of the requests that nodes report.

    A report tells of the requests since the previous one. It counts for as long as
    that took, so that the estimate doesn't depend on when nodes report.
    """

    def __init__(self, now: float) -> None:
        self._rate_per_s = 0.0
        self._average_per_s = 0.0
        self._updated_at = now
        self._reports: list[tuple[float, float]] = []

    def add(
        self, count: float, span_s: float, averaging_s: float, now: float
    ) -> None:
        """Adds a report."""
        self.read(averaging_s, now)
        rate_per_s = count / span_s
        heapq.heappush(self._reports, (now + span_s, rate_per_s))
        self._rate_per_s += rate_per_s

    def read(self, averaging_s: float, now: float) -> float:
        """Returns the average rate per second."""
        while self._reports and self._reports[0][0] <= now:
            ended_at, rate_per_s = heapq.heappop(self._reports)
            self._average(averaging_s, ended_at)
            self._rate_per_s -= rate_per_s
        self._average(averaging_s, now)
        if not self._reports:
            # Differences of rounding must not accumulate.
            self._rate_per_s = 0.0
        return self._average_per_s

    def _average(self, averaging_s: float, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        weight = 1.0 - math.exp(-elapsed_s / averaging_s)
        self._average_per_s += weight * (self._rate_per_s - self._average_per_s)


class Quota:
    """State of one account at its coordinator.

    Attributes:
      limit: Limit in force.
      is_limited: Whether there has been a limit lately.
      receivers: Nodes that have reported requests, and when they last did.
    """

    def __init__(self, allowance: buckets.Allowance, now: float):
        # The requests before are not known. A full bucket would let an account
        # begin anew at each change of its coordinator.
        self._bucket = buckets.DebtBucket(allowance.slack, now)
        self._demand = DemandEstimate(now)
        self.limit = UNLIMITED
        self.is_limited = False
        self._limited_at = -math.inf
        self.receivers: dict[ids.NodeId, float] = {}
        self._sent = UNLIMITED
        self._sent_at = -math.inf
        self._renewed_at = -math.inf

    def record(
        self,
        node_id: ids.NodeId,
        offered: float,
        admitted: float,
        span_s: float,
        allowance: buckets.Allowance,
        now: float,
    ) -> None:
        """Applies a report.

        Args:
          node_id: Node that was offered the requests.
          offered: Requests since its previous report.
          admitted: Requests that it admitted, less those that did not run.
          span_s: Time in seconds in which the requests came.
          allowance: What the reachable nodes may admit together.
          now: Current time.
        """
        self.receivers[node_id] = now
        self._bucket.fill(allowance, now)
        self._bucket.take(admitted, allowance.rate_per_s * MAX_DEBT_S)
        self._demand.add(offered, span_s, _compute_averaging_s(allowance), now)
        self.update(allowance, now)

    def update(self, allowance: buckets.Allowance, now: float) -> None:
        """Computes the limit."""
        self._bucket.fill(allowance, now)
        demand_per_s = self._demand.read(_compute_averaging_s(allowance), now)
        level = self._bucket.level
        rate_per_s = allowance.rate_per_s
        admissible_per_s = max(
            0.0,
            rate_per_s + level / (EMPTYING_S if level > 0 else REPAYMENT_S),
        )
        if demand_per_s <= admissible_per_s:
            self.limit = UNLIMITED
            return
        excess_ratio = max(0.0, demand_per_s - rate_per_s) / rate_per_s
        self.limit = Limit(
            admissible_per_s / demand_per_s,
            min(
                MAX_RETRY_AFTER_S,
                max(MIN_RETRY_AFTER_S, (1.0 - level) / rate_per_s),
            ),
            min(MAX_RETRY_AFTER_S, excess_ratio * RETURNING_S),
        )

    def is_idle(self, now: float) -> bool:
        """Returns whether no node needs to be told a limit."""
        return (
            now - max(self.receivers.values(), default=-math.inf)
            > MAX_DEBT_S + RECEIVER_MEMORY_S
        )

    @property
    def may_be_limited(self) -> bool:
        """Whether a node may have a limit, or needs one."""
        return min(self._sent.fraction, self.limit.fraction) < 1.0

    def has_changed_lastingly(self, now: float) -> bool:
        """Updates `is_limited` and returns whether it has changed.

        It ends some time after the limit, which comes and goes at accounts whose
        demand is about their allowance.
        """
        if self.limit.fraction < 1.0:
            self._limited_at = now
        was_limited = self.is_limited
        self.is_limited = now - self._limited_at < LASTING_S
        return self.is_limited is not was_limited

    def has_fallen(self, now: float) -> bool:
        """Returns whether nodes with requests must be told the limit at once."""
        known, latest = self._sent.fraction, self.limit.fraction
        return (
            now - self._sent_at >= MIN_SEND_INTERVAL_S
            and latest < (1 - MIN_CHANGE_RATIO) * known
        )

    def must_renew(self, now: float) -> bool:
        """Returns whether all nodes must be told the limit.

        Otherwise, each node with its first request for some time would admit it.
        """
        return self.may_be_limited and now - self._renewed_at >= RENEWAL_S

    def mark_renewed(self, now: float) -> None:
        """Notes that all nodes are told the limit."""
        self._sent, self._sent_at, self._renewed_at = self.limit, now, now

    def list_receivers(self, now: float) -> list[ids.NodeId]:
        """Returns the nodes with requests, and notes that they are told."""
        self._sent_at = now
        if self.limit.fraction < 1.0:
            # The end of a limit is told to all nodes.
            self._sent = self.limit
        self.receivers = {
            node_id: seen_at
            for node_id, seen_at in self.receivers.items()
            if now - seen_at < RECEIVER_MEMORY_S
        }
        return list(self.receivers)


def _compute_averaging_s(allowance: buckets.Allowance) -> float:
    return min(
        MAX_AVERAGING_S,
        max(MIN_AVERAGING_S, AVERAGED_REQUESTS / allowance.rate_per_s),
    )
