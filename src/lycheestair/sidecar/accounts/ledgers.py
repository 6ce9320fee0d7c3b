"""Decides at an entry node whether a request of an account is admitted.

The decision takes no message: the node applies the latest limit that it has from
the account's coordinator. Without an answer from a coordinator it admits no more
than its own share of the allowance.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar.accounts import buckets
from lycheestair.sidecar.accounts import quotas

# A limit that isn't renewed ends after this time, three times the interval at
# which it is.
LIMIT_LIFETIME_S: Final = 1.0
# While no coordinator answers, the latest limit stays in force for this long in
# addition: the own shares of many nodes are more than the allowance of an account
# with few requests.
MAX_SILENCE_S: Final = 10.0
# A node's own share of an allowance is at least this many requests, or a node with
# few requests of an account could never admit one.
MIN_OWN_BURST: Final = 1.0
# An account without requests for this long is forgotten.
MEMORY_S: Final = 60.0
MIN_SPAN_S: Final = 0.02
_NO_LIMIT: Final = (quotas.UNLIMITED, -math.inf)
# Requests that nodes have not reported are at most these many at each, or those
# which the allowance yields for each node in a report interval.
MIN_UNREPORTED: Final = 2


@dataclasses.dataclass(slots=True)
class _Tally:
    """State of an account at a node.

    Attributes:
      offered: Requests that have not been reported.
      admitted: Admitted ones among them, less those that did not run.
      credit: Part of a request that the limit leaves over.
      bucket: The node's own share of the allowance.
      used_at: Time of the latest request.
    """

    credit: float
    bucket: buckets.DebtBucket
    used_at: float
    offered: int = 0
    admitted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Requests of an account that a node reports."""

    account: ids.AccountName
    offered: int
    admitted: int


# A report of more requests than a node can be offered in a report interval.
MAX_COUNT: Final = 1_000_000


def decode_count(fields: list[Any]) -> Count:
    """Decodes a reported count.

    Raises:
      TypeError, ValueError: It is malformed.
    """
    account, offered, admitted = fields
    if not isinstance(account, str):
        raise TypeError("account of a report is not a name")
    if not 0 <= offered <= MAX_COUNT or abs(admitted) > MAX_COUNT:
        raise ValueError("count of a report is out of range")
    return Count(ids.AccountName(account), int(offered), int(admitted))


class Ledger:
    """Counts the requests of accounts at one node and applies their limits."""

    def __init__(self, draw: Callable[[], float] = random.random):
        """Initializes an empty ledger.

        Args:
          draw: Returns random numbers in [0, 1).
        """
        self._draw = draw
        self._tallies: dict[ids.AccountName, _Tally] = {}
        self._unreported: set[ids.AccountName] = set()
        # Limits and when they end, also of accounts without a request here.
        self._limits: dict[ids.AccountName, tuple[quotas.Limit, float]] = {}

    def admit(
        self,
        account: ids.AccountName,
        own_allowance: buckets.Allowance,
        is_coordinated: bool,
        now: float,
    ) -> float | None:
        """Counts a request and decides on it.

        Args:
          account: Account with an allowance.
          own_allowance: The node's own share of it.
          is_coordinated: Whether the coordinator of the account answers.
          now: Current time.

        Returns:
          None if the request is admitted; otherwise the time in seconds after
          which it may return.
        """
        own = dataclasses.replace(
            own_allowance, burst=max(MIN_OWN_BURST, own_allowance.burst)
        )
        tally = self._tallies.get(account)
        if tally is None:
            # Random, so that the first requests at many nodes are neither all
            # admitted nor all refused.
            tally = self._tallies[account] = _Tally(
                self._draw(), buckets.DebtBucket(own.burst, now), now
            )
        tally.used_at = now
        tally.offered += 1
        self._unreported.add(account)
        tally.bucket.fill(own, now)
        retry_after_s: float | None = None
        limit = self._find_limit(
            account, now if is_coordinated else now - MAX_SILENCE_S
        )
        if not is_coordinated and tally.bucket.level <= 0.0:
            retry_after_s = max(
                quotas.MIN_RETRY_AFTER_S,
                min(
                    quotas.MAX_RETRY_AFTER_S,
                    -tally.bucket.level / own.rate_per_s,
                ),
            )
        elif limit is not None:
            tally.credit += limit.fraction
            if tally.credit < 1.0:
                retry_after_s = (
                    limit.retry_after_s + self._draw() * limit.spread_s
                )
            else:
                tally.credit -= 1.0
        if retry_after_s is None:
            tally.admitted += 1
            tally.bucket.take(1.0, MIN_OWN_BURST)
        return retry_after_s

    def adjust(self, account: ids.AccountName, count: int) -> None:
        """Changes the number of admitted requests after the decision.

        Args:
          account: Account of the requests.
          count: Number of requests that were sent in addition; negative if they
            were not sent.
        """
        tally = self._tallies.get(account)
        if tally is None:
            return
        tally.admitted += count
        tally.bucket.take(count, MIN_OWN_BURST)
        self._unreported.add(account)

    def is_report_urgent(
        self, account: ids.AccountName, expected: float, now: float
    ) -> bool:
        """Returns whether more requests are unreported than usual.

        With a limit, the coordinator knows of them already.

        Args:
          account: Account of the latest request.
          expected: Requests that the allowance yields for each node in a report
            interval.
          now: Current time.
        """
        tally = self._tallies.get(account)
        return (
            tally is not None
            and tally.offered >= max(MIN_UNREPORTED, expected)
            and self._find_limit(account, now) is None
        )

    def list_unreported(self) -> list[ids.AccountName]:
        """Returns the accounts whose counts have changed."""
        return list(self._unreported)

    def take_counts(self, accounts: Iterable[ids.AccountName]) -> list[Count]:
        """Returns the counts of accounts, which are taken as reported."""
        counts = []
        for account in accounts:
            self._unreported.discard(account)
            tally = self._tallies.get(account)
            if tally is not None:
                counts.append(Count(account, tally.offered, tally.admitted))
                tally.offered = tally.admitted = 0
        return counts

    def restore_counts(self, counts: Iterable[Count]) -> None:
        """Takes back counts that could not be reported."""
        for count in counts:
            tally = self._tallies[count.account]
            tally.offered += count.offered
            tally.admitted += count.admitted
            self._unreported.add(count.account)

    def apply_limit(
        self, account: ids.AccountName, limit: quotas.Limit, now: float
    ) -> None:
        """Applies a limit that the coordinator has sent."""
        if limit.fraction < 1.0:
            self._limits[account] = (limit, now + LIMIT_LIFETIME_S)
        else:
            self._limits.pop(account, None)

    def _find_limit(
        self, account: ids.AccountName, now: float
    ) -> quotas.Limit | None:
        limit, ends_at = self._limits.get(account, _NO_LIMIT)
        return limit if now < ends_at else None

    def count_limited(self, now: float) -> int:
        """Returns the number of accounts with a limit."""
        return sum(now < ends_at for _, ends_at in self._limits.values())

    def forget_unused(self, now: float) -> None:
        """Forgets accounts that had no request for long."""
        for account, tally in list(self._tallies.items()):
            if (
                now - tally.used_at > MEMORY_S
                and account not in self._unreported
            ):
                del self._tallies[account]
        for account, (_, ends_at) in list(self._limits.items()):
            if ends_at + MAX_SILENCE_S < now:
                del self._limits[account]
