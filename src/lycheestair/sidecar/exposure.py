"""Traffic share of a new version during a rollout.

Answers two loads: requests that a bad version gets before it is found, summed
over all nodes, and the whole traffic of the service, which the new version must
have taken over before the old servers are stopped.

The share stays small for most of the rollout, so that a fault is found with few
requests at any time. It then rises to the whole traffic at once, so late that
even without a verdict the new version gets about what a bad one may get.
"""

import dataclasses
from typing import Final

from lycheestair.sidecar import settings as settings_lib

# The old backend servers are stopped at the end of a rollout. Their requests
# get this time to finish after the new version has taken over.
FULL_SHARE_S: Final = 0.7
# Time before the rollout is due for writing the final state and for an operator
# to read it, which may poll the store only twice a second.
COMPLETION_LEAD_S: Final = 0.7
# Times before the new version takes over and after the rollout is due between which
# a fault must be found quickly, see `is_critical`.
CRITICAL_LEAD_S: Final = 0.5
CRITICAL_TAIL_S: Final = 2.0
# A rollout without evidence keeps its small share for longer: the old servers
# then get only this time to finish.
SHORT_FULL_SHARE_S: Final = 0.3
MIN_ANSWERS_FOR_FULL_SHARE: Final = 5
# Share while the rate of requests is unknown.
INITIAL_SHARE: Final = 0.03
# Answers that the new version gets at least before it takes over, so that a fault
# can show, unless that would exceed the share that a bad version may get.
MIN_ANSWERS_BEFORE_TAKEOVER: Final = 64
# Part of the allowance that is used to find a fault if the whole of it would not cover
# the requests after the takeover.
EVIDENCE_RATIO: Final = 0.5
# Share once the allowance is spent. Not 0, so that the new version still replaces
# old servers that have all failed.
SPENT_SHARE: Final = 0.003
# The allowance is spread over at least this time. Answers are counted late, so the
# rest of it seems larger than it is.
MIN_HORIZON_S: Final = 3.0
# The requests that the planned share gives vary by chance, and those that have
# not been reported yet are not counted.
SAFETY_RATIO: Final = 0.9
# A very short rollout takes over after this fraction of its duration.
MIN_TAKEOVER_RATIO: Final = 0.35
MAX_LEAD_RATIO: Final = 0.17


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutProgress:
    """How far a rollout is.

    Attributes:
      elapsed_s: Time in seconds since the rollout was ordered.
      duration_s: Time in seconds after which it is due.
      new_answers: Answers of the new version so far, at all nodes.
      all_answers: Answers of all versions so far, at all nodes.
    """

    elapsed_s: float
    duration_s: float
    new_answers: int
    all_answers: int


def compute_completion_s(duration_s: float) -> float:
    """Returns when a good version's rollout ends, in seconds from its start."""
    return duration_s - min(COMPLETION_LEAD_S, MAX_LEAD_RATIO * duration_s)


def compute_takeover_s(duration_s: float, has_evidence: bool = True) -> float:
    """Returns when the new version gets all requests, in seconds from the start.

    Args:
      duration_s: Time after which the rollout is due.
      has_evidence: Whether the new version has been tried.
    """
    full_share_s = FULL_SHARE_S if has_evidence else SHORT_FULL_SHARE_S
    return max(
        MIN_TAKEOVER_RATIO * duration_s,
        compute_completion_s(duration_s) - full_share_s,
    )


def is_critical(elapsed_s: float, duration_s: float) -> bool:
    """Whether a fault must be found within tenths of a second.

    The new version has the whole traffic, or is about to get it.
    """
    start_s = compute_takeover_s(duration_s) - CRITICAL_LEAD_S
    return start_s <= elapsed_s <= duration_s + CRITICAL_TAIL_S


def compute_share(
    progress: RolloutProgress, bounds: settings_lib.Bounds
) -> float:
    """Returns the share of the traffic that a new version gets, from 0 to 1."""
    duration_s = progress.duration_s
    has_evidence = (
        progress.new_answers >= MIN_ANSWERS_FOR_FULL_SHARE
        or progress.all_answers < MIN_ANSWERS_FOR_FULL_SHARE / INITIAL_SHARE
    )
    if progress.elapsed_s >= compute_takeover_s(duration_s, has_evidence):
        return 1.0
    takeover_s = compute_takeover_s(duration_s)
    rate_per_s = progress.all_answers / max(1.0, progress.elapsed_s)
    if not rate_per_s:
        return INITIAL_SHARE
    remaining = (
        _compute_answers_before_takeover(
            SAFETY_RATIO
            * (
                bounds.exposure_share * rate_per_s * duration_s
                + bounds.exposure_slack
            ),
            rate_per_s * (duration_s - takeover_s),
        )
        - progress.new_answers
    )
    expected = rate_per_s * max(MIN_HORIZON_S, takeover_s - progress.elapsed_s)
    return min(
        bounds.exposure_share,
        max(SPENT_SHARE, remaining / max(1.0, expected)),
    )


def _compute_answers_before_takeover(
    allowance: float, takeover_requests: float
) -> float:
    """Returns how many requests the new version may get before it takes over.

    Args:
      allowance: Requests that a bad version may get.
      takeover_requests: Requests that the version gets from then until the
        rollout is due.
    """
    if takeover_requests >= allowance:
        # A fault that isn't found before exceeds the allowance in any case.
        return max(MIN_ANSWERS_BEFORE_TAKEOVER, EVIDENCE_RATIO * allowance)
    return max(MIN_ANSWERS_BEFORE_TAKEOVER, allowance - takeover_requests)
