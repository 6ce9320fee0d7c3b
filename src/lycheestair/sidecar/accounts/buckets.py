"""Token bucket that may go into debt, and the allowances that it is filled by."""

import dataclasses
from typing import Final

from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar.accounts import records

# Part of the permitted excess by which a bucket is larger than the burst. The rest
# covers requests that are admitted before the nodes learn that the bucket is empty.
BUCKET_SLACK_RATIO: Final = 0.45
# Avoids divisions by numbers that are rounded to 0.
_MIN_RATE_PER_S: Final = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """What the requests of an account may take.

    Attributes:
      rate_per_s: Requests a second.
      burst: Size of the bucket.
      slack: Part of the burst that goes beyond the configured one. A bucket whose
        earlier content isn't known begins with it.
    """

    rate_per_s: float
    burst: float
    slack: float

    def scale(self, share: float) -> "Allowance":
        """Returns a share of the allowance."""
        return Allowance(
            self.rate_per_s * share, self.burst * share, self.slack * share
        )


def compute_allowance(
    account: records.Account, bounds: settings_lib.Bounds
) -> Allowance:
    """Returns the allowance of an account over all nodes."""
    excess = (
        account.rate_per_s * bounds.allowance_window_s + account.burst
    ) * bounds.allowance_overshoot + bounds.allowance_slack
    slack = excess * BUCKET_SLACK_RATIO
    return Allowance(
        max(_MIN_RATE_PER_S, account.rate_per_s), account.burst + slack, slack
    )


class DebtBucket:
    """Token bucket whose level may become negative.

    Attributes:
      level: Requests that may be admitted now; negative after too many were.
    """

    def __init__(self, level: float, now: float):
        self.level = level
        self._filled_at = now

    def fill(self, allowance: Allowance, now: float) -> None:
        """Adds the tokens since the previous call."""
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self.level = min(
            allowance.burst, self.level + elapsed_s * allowance.rate_per_s
        )

    def take(self, count: float, max_debt: float) -> None:
        """Takes tokens, also if there are not enough.

        Args:
          count: Number of tokens; negative if they are given back.
          max_debt: Least level is the negative of this.
        """
        self.level = max(-max_debt, self.level - count)
