"""Planning of the steps of a move, backwards from its deadline.

The plan depends only on the move and the settings, so that a controller that
takes over continues the same plan.
"""

import dataclasses
import enum
import math
from typing import Final

from lycheestair import resources
from lycheestair import settings as settings_lib

# Minimum time between steps. At shares above the first one, a fault is detected
# and reported within this time.
MIN_HOLD_S: Final = 2.0
# Minimum time at a share before a step that is based on evidence.
EVIDENCE_HOLD_S: Final = 5.0
# Highest share to which a step without proof of health is taken before it is
# due.
# 1% is also the limit of bad calls in a whole move.
MAX_UNPROVEN_SHARE_BPS: Final = 100
# Time from the onset of a fault at a high share until all nodes have stopped
# the new version, including a comparison with the old one.
DETECTION_TIME_S: Final = 6.0
# A step based on evidence is limited so that a fault that begins right after it
# affects at most this fraction of the calls since the move was created.
MAX_EXPOSURE_FRACTION: Final = 0.01
# Fraction of a move's duration in which shares are raised without proof of
# health.
UNPROVEN_STEPS_FRACTION: Final = 0.25
# Maximum ratio of a share to the one before.
MAX_GROWTH: Final = 2.0
MIN_STEPS: Final = 3
# Planned utilization of the new version's warm slots.
SLOT_UTILIZATION: Final = 0.85
# A share is lowered for lack of slots only if the limit is below this fraction
# of it, because load estimates vary from tick to tick.
SLOT_TOLERANCE: Final = 0.8


class Policy(enum.Enum):
    """What triggers the steps of a move.

    Nodes use BOUNDED, which combines the other two. FIXED (by time only) and
    EVIDENCE (by evidence only) are used for measurements.
    """

    FIXED = "fixed"
    EVIDENCE = "evidence"
    BOUNDED = "bounded"


@dataclasses.dataclass(frozen=True)
class Plan:
    """Shares of a move and the time by which each is reached.

    Attributes:
      shares: Ascending shares in basis points, the last one is the target.
      latest: For each share the Unix time in seconds by which it is reached
        even without proof of health.
    """

    shares: tuple[int, ...]
    latest: tuple[float, ...]

    def find_due_share_bps(self, now: float) -> int:
        """Returns the share that is due by now, 0 for none."""
        return max(
            (
                share
                for share, due_at in zip(self.shares, self.latest, strict=True)
                if due_at <= now
            ),
            default=0,
        )

    def next_share_above(self, share_bps: int) -> int:
        """Returns the next higher share of the plan."""
        return next(
            (share for share in self.shares if share > share_bps),
            self.shares[-1],
        )


def plan_move(
    move: resources.Move,
    settings: settings_lib.MoveSettings,
    policy: Policy = Policy.BOUNDED,
) -> Plan:
    """Plans a move backwards from its deadline.

    The last share is reached a margin before the deadline. The steps before it
    have equal duration, at least MIN_HOLD_S, and take up the last
    UNPROVEN_STEPS_FRACTION of the move, or all of it under FIXED. A move that
    is too short for all steps gets fewer and larger ones.
    """
    duration_s = max(0.0, move.deadline - move.created_at)
    end = move.deadline - duration_s * settings.deadline_margin_percent / 100
    available_s = max(0.0, end - move.created_at)
    first = min(settings.first_share_bps, move.target_bps)
    wanted_steps = 1 + math.ceil(
        math.log(move.target_bps / first, MAX_GROWTH) - 1e-9
    )
    fitting_steps = int(available_s / MIN_HOLD_S)
    step_count = max(min(wanted_steps, max(fitting_steps, MIN_STEPS)), 1)
    shares = _space_shares(first, move.target_bps, step_count)
    later_steps = max(len(shares) - 1, 1)
    fraction = 1.0 if policy is Policy.FIXED else UNPROVEN_STEPS_FRACTION
    hold_s = max(MIN_HOLD_S, duration_s * fraction / later_steps)
    hold_s = min(hold_s, available_s / later_steps)
    latest = tuple(
        end - (len(shares) - 1 - index) * hold_s for index in range(len(shares))
    )
    # The first share is due at once, because evidence starts with it.
    return Plan(shares, (move.created_at, *latest[1:]))


def _space_shares(first: int, target: int, count: int) -> tuple[int, ...]:
    if count == 1 or first >= target:
        return (target,)
    growth = (target / first) ** (1 / (count - 1))
    shares = [round(first * growth**index) for index in range(count - 1)]
    return (*sorted({*shares} - {target}), target)


def choose_share(
    move: resources.Move,
    plan: Plan,
    now: float,
    healthy: bool,
    warning: bool,
    policy: Policy = Policy.BOUNDED,
) -> int:
    """Returns the share of the new version from now on.

    It is never lower than the current share.

    Args:
      move: The move in its current state.
      plan: Plan of the move.
      now: Unix time in seconds.
      healthy: Whether the evidence proves the new version healthy.
      warning: Whether there is a warning of a fault, which stops all steps.
      policy: What triggers steps.
    """
    share = move.share_bps
    held_s = now - move.changed_at
    if warning or share >= move.target_bps:
        return share
    next_share = plan.next_share_above(share)
    if share == 0:
        return next_share
    due = policy is not Policy.EVIDENCE and plan.find_due_share_bps(now) > share
    if due and held_s >= MIN_HOLD_S:
        return next_share
    if policy is Policy.FIXED or held_s < EVIDENCE_HOLD_S:
        return share
    if next_share <= MAX_UNPROVEN_SHARE_BPS:
        return next_share
    if healthy and next_share <= _compute_exposure_limit_bps(
        now - move.created_at
    ):
        return next_share
    return share


def _compute_exposure_limit_bps(elapsed_s: float) -> float:
    fraction = elapsed_s * MAX_EXPOSURE_FRACTION / DETECTION_TIME_S
    return fraction * resources.FULL_SHARE_BPS


def limit_share(
    share_bps: int, wanted_bps: int, warm_bps: int, serving_bps: int
) -> int:
    """Limits a step to the capacity of the new version's slots.

    Args:
      share_bps: Current share.
      wanted_bps: Share chosen by the plan, at least the current one.
      warm_bps: Share that the warm slots can serve.
      serving_bps: Share that all slots can serve, including cold ones.

    Returns:
      A share that is raised at most to the capacity of the warm slots, and
      lowered only if all slots together are clearly too few.
    """
    if serving_bps < share_bps * SLOT_TOLERANCE:
        return serving_bps
    return max(share_bps, min(wanted_bps, warm_bps))


def compute_slot_limit(slots: int, busy_slots: float) -> int:
    """Returns the share that a number of slots can serve.

    Args:
      slots: Slots of the new version's backend servers.
      busy_slots: Mean number of slots in use by all traffic of the move.
    """
    if slots <= 0:
        return 0
    if busy_slots <= 0:
        return resources.FULL_SHARE_BPS
    fraction = slots * SLOT_UTILIZATION / busy_slots
    return min(
        resources.FULL_SHARE_BPS, int(fraction * resources.FULL_SHARE_BPS)
    )
