"""First requests of a new version, one at a time over the whole fleet.

At thin traffic, a share of the requests does not bound how many of them a bad
version gets: by chance, several nodes choose it before the first failure is known.
Therefore the controller names one node that sends a single request to the new
version, a probe, and names the next one only when the outcome is known and the
requests of the move so far allow for it. A version that answers a probe gets its
planned share.

The decisions depend on counts and times only. Counts include all attempts of the
move's service and route.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import math
from typing import Final

import xxhash

from lycheestair import evidence
from lycheestair import ids
from lycheestair import planner
from lycheestair import resources

# Calls of the move for each request that a bad version may get.
CALLS_PER_PROBE: Final = round(1 / planner.MAX_EXPOSURE_FRACTION)
# From this rate on, the smallest share is spread evenly enough and gives enough
# answers for a verdict within a few seconds, so that no probes are needed.
MAX_RATE_PER_S: Final = 300.0
# A service with fewer calls after NO_TRAFFIC_WAIT_S has no traffic to protect, and
# a probe would wait for a request for too long.
MIN_RATE_PER_S: Final = 1.0
NO_TRAFFIC_WAIT_S: Final = 3.0
# Time after which the rate of calls is known, and how late calls are counted.
RATE_WAIT_S: Final = 2.0
EVIDENCE_DELAY_S: Final = 0.7
# Time between the first probe and the calls that allow for the second one, so that
# both are sent within FAILURE_WINDOW_S if both fail.
LEAD_S: Final = 2.0
# After a failed first probe, a second one may only be outstanding within this time
# from the order of the first one. Nodes learn of the end up to a second later,
# and a bad version gets no request later than 5 s after its first failure.
FAILURE_WINDOW_S: Final = 4.0
# Minimum time for a node to learn of a probe and to get a request for it.
MIN_PROBE_S: Final = 0.5
# A probe without an outcome is withdrawn after this time, which includes the
# distribution of the order and two intervals of evidence. After MAX_QUICK_PROBES
# the time doubles with each probe, because each order is a generation.
PROBE_TIMEOUT_S: Final = 2.0
MAX_PROBE_TIMEOUT_S: Final = 20.0
MAX_QUICK_PROBES: Final = 4
# Time after a withdrawal in which the node may still send the probe, and a failure
# reaches the controller.
SETTLE_S: Final = 1.0
# Calls of the old version, all successful, from which failed probes prove the new
# version bad. With equal failure rates p, the probability of k failed probes before
# n successful calls of the old version is p^k (1 - p)^n, which is at most 0.001
# for one probe and 0.00003 for two, whatever p is.
MIN_OLD_CALLS_BY_FAILURES: Final = {1: 368, 2: 150}


NO_NODE: Final = ids.NodeId("")


class Step(enum.Enum):
    """What the controller does next."""

    # Wait for calls, for an outcome, or for a verdict.
    WAIT = "wait"
    # Name a node for the next probe.
    PROBE = "probe"
    # Withdraw the outstanding probe.
    WITHDRAW = "withdraw"
    # Follow the plan of the move.
    FOLLOW_PLAN = "follow_plan"
    # Roll the move back.
    ROLL_BACK = "roll_back"


@dataclasses.dataclass
class _Counts:
    calls: int = 0
    failed: int = 0


class Probing:
    """Probes of the new version of one move. Not thread-safe."""

    def __init__(self, move: resources.Move, plan: planner.Plan, now: float):
        """Initializes the state.

        Args:
          move: The move.
          plan: Plan of the move.
          now: Unix time in seconds, as in all methods.
        """
        self._move = move
        self._started_at = now
        # Calls of the service, including those of routes that are not moved.
        self._service_calls = 0
        # Later, the plan would be late: each of its last steps takes time.
        self._latest_start = min(
            plan.latest[min(2, len(plan.latest) - 1)],
            plan.latest[-1] - 2 * planner.MIN_HOLD_S,
        )
        self._counts = {
            move.from_version: _Counts(),
            move.to_version: _Counts(),
        }
        self._ended = move.share_bps > 0
        self._ordered_at: float | None = None
        self._withdrawn_at = -math.inf
        self._first_ordered_at = math.inf
        self._calls_before_probe = 0
        self._unanswered = 0
        # Whether the plan had to wait for a probe.
        self.has_delayed = False

    @property
    def failures(self) -> int:
        """Failed calls of the new version so far."""
        return self._new.failed

    @property
    def _old(self) -> _Counts:
        return self._counts[self._move.from_version]

    @property
    def _new(self) -> _Counts:
        return self._counts[self._move.to_version]

    @property
    def _calls(self) -> int:
        return self._old.calls + self._new.calls

    def observe(self, parts: Iterable[evidence.Rows]) -> None:
        """Adds the counts of one interval, by failure domain."""
        if self._ended:
            return
        for rows in parts:
            for target, outcome in rows.items():
                if target.service == self._move.service:
                    self._service_calls += outcome.calls
                counts = self._counts.get(target.version)
                if (
                    counts is None
                    or target.service != self._move.service
                    or self._move.route not in ("", target.route)
                ):
                    continue
                counts.calls += outcome.calls
                counts.failed += outcome.failed

    def decide(self, now: float, has_nodes: bool) -> Step:
        """Returns what to do next. `order` has to follow a PROBE."""
        if self._ended or self._has_passed(now, has_nodes):
            self._ended = True
            return Step.FOLLOW_PLAN
        self.has_delayed = True
        if self._is_bad():
            return Step.ROLL_BACK
        if self._ordered_at is not None:
            return self._await_outcome(self._ordered_at, now)
        if now - self._withdrawn_at < SETTLE_S:
            return Step.WAIT
        if not self._new.failed:
            return Step.PROBE if self._is_first_due(now) else Step.WAIT
        return Step.PROBE if self._allows_another(now) else Step.WAIT

    def order(self, now: float) -> None:
        """Notes that a probe was ordered."""
        self._ordered_at = now
        self._first_ordered_at = min(self._first_ordered_at, now)
        self._calls_before_probe = self._new.calls

    def describe(self) -> str:
        """Returns the counts behind a verdict, for operators."""
        return (
            f"failed on first requests: {self._new.failed} of"
            f" {self._new.calls} calls, old version {self._old.failed} of"
            f" {self._old.calls}"
        )

    def _has_passed(self, now: float, has_nodes: bool) -> bool:
        new = self._new
        if new.calls > new.failed or not has_nodes:
            return True
        if new.failed:
            return False
        elapsed_s = now - self._started_at
        if (
            self._first_ordered_at == math.inf
            and self._calls >= MAX_RATE_PER_S * max(1.0, elapsed_s)
        ):
            return True
        if not self._calls and self._service_calls >= MAX_RATE_PER_S:
            return True
        return (
            elapsed_s >= NO_TRAFFIC_WAIT_S
            and self._calls < MIN_RATE_PER_S * elapsed_s
        )

    def _is_bad(self) -> bool:
        failures = min(self._new.failed, max(MIN_OLD_CALLS_BY_FAILURES))
        return (
            failures > 0
            and not self._old.failed
            and self._old.calls >= MIN_OLD_CALLS_BY_FAILURES[failures]
        )

    def _is_first_due(self, now: float) -> bool:
        """Whether to send the first probe.

        It is sent so late that a second one can follow soon if it fails. If the
        traffic is too thin for that, it is sent at once.
        """
        if now >= self._latest_start:
            return True
        elapsed_s = now - self._started_at
        rate_per_s = self._calls / max(1.0, elapsed_s - EVIDENCE_DELAY_S)
        second_calls = 2 * CALLS_PER_PROBE
        if self._calls >= max(
            CALLS_PER_PROBE, second_calls - LEAD_S * rate_per_s
        ):
            return True
        latest_second = self._latest_start + FAILURE_WINDOW_S - MIN_PROBE_S
        return (
            elapsed_s >= RATE_WAIT_S
            and self._calls > 0
            and self._calls + rate_per_s * (latest_second - now) < second_calls
        )

    def _await_outcome(self, ordered_at: float, now: float) -> Step:
        if self._new.calls > self._calls_before_probe:
            self._ordered_at = None
            self._unanswered = 0
            return Step.WITHDRAW
        # A failure is reported at once, a withdrawn probe may still be sent.
        is_late = self._new.failed > 0 and now >= (
            self._first_ordered_at + FAILURE_WINDOW_S
        )
        if not is_late and now - ordered_at < self._compute_timeout_s():
            return Step.WAIT
        self._ordered_at = None
        self._withdrawn_at = now
        self._unanswered += 1
        return Step.WITHDRAW

    def _compute_timeout_s(self) -> float:
        doublings = max(0, self._unanswered + 1 - MAX_QUICK_PROBES)
        return min(
            MAX_PROBE_TIMEOUT_S, PROBE_TIMEOUT_S * math.ldexp(1.0, doublings)
        )

    def _allows_another(self, now: float) -> bool:
        """Whether another probe may follow failed ones."""
        if self._calls < CALLS_PER_PROBE * (self._new.calls + 1):
            return False
        # Failures of both versions: the tests of the regression detector decide,
        # with more calls.
        return self._old.failed > 0 or (
            now + MIN_PROBE_S < self._first_ordered_at + FAILURE_WINDOW_S
        )


def choose_node(
    nodes: Sequence[ids.NodeId], move: resources.Move
) -> ids.NodeId:
    """Returns the node for the next probe of a move.

    Consecutive probes go to different nodes, in an order that depends on the move.
    """
    ranked = sorted(
        nodes,
        key=lambda node: xxhash.xxh64_intdigest(f"{move.id}/{node}".encode()),
    )
    return ranked[move.probe_number % len(ranked)]
