"""CUSUM tests that compare the event rates of two versions.

Each test sums the log-likelihood ratio of the hypothesis "the new version has
`ratio` times the old version's rate" to "both have the same rate". A sum that
falls below zero is reset to zero (CUSUM), so that a late fault is found as fast
as an early one.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import Final

# Rate ratios of the alternative hypotheses. Small ratios find slight faults, and
# larger ones detect severe faults fast. The largest is for versions that fail
# almost always, for which three failures have to be enough.
RATIOS: Final = (2.0, 4.0, 8.0, 256.0)
# A time slot adds at most this fraction of the threshold to a sum, so that one
# short fault, such as the crash of an instance, can't raise an alarm alone.
MAX_FRACTION_PER_TIME_SLOT: Final = 0.5
TIME_SLOT_S: Final = 0.5
# For each of RATIOS, the fraction of its threshold from which a sum counts as a
# warning. With 0.3 for the large ratios, one failure at a small share is a
# warning until a few dozen calls have succeeded. Sums of the small ratios need
# 0.5, because they often stay at 0.3 of the threshold for long by chance.
WARNING_FRACTIONS: Final = (0.5, 0.5, 0.3, 0.3)
# A version with a lower failure rate is healthy whatever the old version's is.
ACCEPTED_FAILURE_RATE: Final = 0.002
# Smallest of RATIOS for which the new version's failure rate also has to exceed
# ACCEPTED_FAILURE_RATE.
MIN_ACCEPTED_RATE_RATIO: Final = 8.0
# After a comparison, rates of the new version up to the old version's rate in
# the comparison raise no suspicion for this long. Otherwise a fault of both
# versions would trigger one comparison after another.
RAISED_BASELINE_S: Final = 60.0
# Log-likelihood ratio from which the new version's rate is taken to have fallen
# to RECOVERY_RATIO of the raised baseline rate. The raised baseline then ends
# before RAISED_BASELINE_S.
RECOVERY_THRESHOLD: Final = 7.0
RECOVERY_RATIO: Final = 0.7
# A fault is attributed to both versions if the old version's rate in a
# comparison exceeds its rate before the comparison by this factor.
COMMON_FAULT_RATIO: Final = 2.0


@dataclasses.dataclass(frozen=True)
class CountPair:
    """Events and calls of both versions in one interval."""

    new_events: int
    new_calls: int
    old_events: int
    old_calls: int


def compute_llr(pair: CountPair, ratio: float) -> float:
    """Returns the log-likelihood ratio of different rates to equal rates.

    Under the alternative, the new version has `ratio` times the old version's
    rate. The likelihoods are conditioned on the total number of events, so that
    they don't depend on the common rate. Zero if a version has no calls.
    """
    if not pair.new_calls or not pair.old_calls:
        return 0.0
    if not pair.new_events and not pair.old_events:
        return 0.0
    new_fraction = pair.new_calls / (pair.new_calls + pair.old_calls)
    alternative_fraction = (
        ratio * new_fraction / (ratio * new_fraction + 1 - new_fraction)
    )
    return pair.new_events * math.log(
        alternative_fraction / new_fraction
    ) + pair.old_events * math.log(
        (1 - alternative_fraction) / (1 - new_fraction)
    )


def add_pairs(pairs: Iterable[CountPair]) -> CountPair:
    """Returns the sums of all fields."""
    return CountPair(
        *map(sum, zip(*map(dataclasses.astuple, pairs), strict=True))
    )


def compute_llrs(pair: CountPair) -> list[float]:
    """Returns the log-likelihood ratio for each of RATIOS."""
    return [compute_llr(pair, ratio) for ratio in RATIOS]


def compute_accepted_rate_llr(pair: CountPair, ratio: float) -> float:
    """Returns the log-likelihood ratio of a high to the accepted failure rate.

    The high rate is `ratio` times ACCEPTED_FAILURE_RATE.
    """
    return pair.new_events * math.log(ratio) - (
        pair.new_calls * ACCEPTED_FAILURE_RATE * (ratio - 1)
    )


def compute_failure_llrs(pair: CountPair) -> list[float]:
    """Returns the log-likelihood ratio of failures for each of RATIOS.

    For large ratios the new version also has to exceed the accepted rate.
    Otherwise a few failures would never be outweighed when the old version does
    not fail at all.
    """
    return [
        (
            compute_llr(pair, ratio)
            if ratio < MIN_ACCEPTED_RATE_RATIO
            else min(
                compute_llr(pair, ratio), compute_accepted_rate_llr(pair, ratio)
            )
        )
        for ratio in RATIOS
    ]


@dataclasses.dataclass
class CusumTest:
    """CUSUM tests of one signal on one route, or on all routes together."""

    sums: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * len(RATIOS)
    )
    # Current time slot, and what it has added to each sum.
    time_slot: int = -1
    time_slot_increments: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * len(RATIOS)
    )
    # How often each sum has left zero (its starts), and what that adds to its
    # threshold. The k-th start is allotted a false alarm probability
    # proportional to 1 / (k (k + 1)). These add up to a bound for moves of any
    # length, and the threshold stays low for services with few calls, which
    # have few starts.
    starts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * len(RATIOS)
    )
    start_penalties: list[float] = dataclasses.field(
        default_factory=lambda: [math.log(2)] * len(RATIOS)
    )
    any_positive: bool = False
    suspicion: float = 0.0
    new_events: int = 0
    new_calls: int = 0
    old_events: int = 0
    old_calls: int = 0
    # Events and calls of the old version since it last had almost no traffic.
    recent_old_events: int = 0
    recent_old_calls: int = 0
    # Baseline rate after a comparison, when it expires, and the CUSUM that ends
    # it early.
    raised_baseline_rate: float = 0.0
    raised_baseline_until: float = -math.inf
    recovery_sum: float = 0.0

    def add(
        self,
        llrs: list[float],
        pair: CountPair,
        base: float,
        time_slot: int,
    ) -> None:
        """Adds an interval to the sums.

        Args:
          llrs: Log-likelihood ratio of the interval for each of RATIOS.
          pair: Events and calls of the interval.
          base: Threshold without the start penalties.
          time_slot: Index of the time slot in which the interval ends.
        """
        self.new_events += pair.new_events
        self.new_calls += pair.new_calls
        self.old_events += pair.old_events
        self.old_calls += pair.old_calls
        self.recent_old_events += pair.old_events
        self.recent_old_calls += pair.old_calls
        if not self.any_positive and not pair.new_events:
            return
        if time_slot != self.time_slot:
            self.time_slot = time_slot
            self.time_slot_increments = [0.0] * len(RATIOS)
        for index, llr in enumerate(llrs):
            if self.sums[index] == 0.0 and llr > 0.0:
                self.starts[index] += 1
                self.start_penalties[index] = math.log(
                    self.starts[index] * (self.starts[index] + 1)
                )
            limit = (
                base + self.start_penalties[index]
            ) * MAX_FRACTION_PER_TIME_SLOT
            increment = min(llr, limit - self.time_slot_increments[index])
            self.time_slot_increments[index] += increment
            self.sums[index] = max(0.0, self.sums[index] + increment)
        self.any_positive = any(self.sums)

    def has_warning(self, base: float) -> bool:
        """Whether a sum has reached its warning fraction."""
        return self.any_positive and any(
            value >= fraction * (base + penalty)
            for value, penalty, fraction in zip(
                self.sums, self.start_penalties, WARNING_FRACTIONS, strict=True
            )
        )

    def compute_alarm_fraction(self, base: float) -> float:
        """Returns the largest sum as a fraction of its threshold."""
        if not self.any_positive:
            return 0.0
        return max(
            value / (base + penalty)
            for value, penalty in zip(
                self.sums, self.start_penalties, strict=True
            )
        )

    def reset_suspicion(self, now: float) -> None:
        """Resets suspicion at the end of a comparison.

        For RAISED_BASELINE_S, the old version's rate in the comparison is the
        baseline rate.
        """
        if self.recent_old_calls:
            self.raised_baseline_rate = (
                self.recent_old_events + 3
            ) / self.recent_old_calls
            self.raised_baseline_until = now + RAISED_BASELINE_S
            self.recovery_sum = 0.0
        self.suspicion = 0.0

    def select_baseline_rate(
        self, pair: CountPair, rate: float, now: float
    ) -> float:
        """Returns the baseline rate to use, given the one before comparisons.

        The baseline from a comparison ends early on evidence that the new
        version's rate has fallen below it: the common fault is over, and its
        rate must not mask another fault.
        """
        if (
            now >= self.raised_baseline_until
            or self.raised_baseline_rate <= rate
        ):
            return rate
        self.recovery_sum = max(
            0.0,
            self.recovery_sum
            + pair.new_events * math.log(RECOVERY_RATIO)
            + pair.new_calls * self.raised_baseline_rate * (1 - RECOVERY_RATIO),
        )
        if self.recovery_sum >= RECOVERY_THRESHOLD:
            self.raised_baseline_until = -math.inf
            return rate
        return self.raised_baseline_rate

    def has_common_fault(self) -> bool:
        """Whether the old version was worse in a comparison than before."""
        earlier_calls = self.old_calls - self.recent_old_calls
        earlier_events = self.old_events - self.recent_old_events
        return (
            self.recent_old_calls > 0
            and earlier_calls > 0
            and self.recent_old_events / self.recent_old_calls
            > COMMON_FAULT_RATIO * (earlier_events + 3) / earlier_calls
        )

    def describe(self) -> str:
        """Returns the counts of both versions, for operators."""
        return (
            f"{self.new_events} of {self.new_calls} calls, old version"
            f" {self.old_events} of {self.old_calls}"
        )
