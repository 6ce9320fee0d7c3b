"""Order of the calls that wait for a slot.

Answers the load of a full backend server: the call that is cheapest to lose
waits longest. That is decided by priority, by whether the call can still meet
its objective, by the share that its client account has had, by the work that it
needs, and by its objective, in this order.

Short calls go before long ones of the same priority, because more requests are
answered in time this way. Within kinds of similar work the earliest objective
goes first, so that a client's retry isn't put behind newer requests.

The accounts with waiting calls get equal shares of the work within a priority. All
requests without an account count as one account. Dependency calls take no part in
this and go first: the requests that made them have got their share.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math
from typing import Final
from typing import Generic
from typing import TypeVar

from lycheestair import ids
from lycheestair.sidecar.accounts import fairness

# Calls whose expected work differs by less than a factor of two are alike: the
# estimates vary from request to request.
_SHORTEST_WORK_S: Final = 0.01
# A call is hopeless if even this fraction of its expected wait exceeds the time
# that it may wait. Estimates are uncertain, and a slot may become free sooner.
HOPELESS_WAIT_RATIO: Final = 0.75

T = TypeVar("T")

# Sorts before the rank of a call that gets its slot later.
Rank = tuple[int, bool, float, int, float]
# Tag of all calls while no account is known, and of dependency calls otherwise.
_COMMON_TAG: Final = -1.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Entry(Generic[T]):
    """A waiting call.

    Attributes:
      priority: 0 is the highest.
      objective: Time by which its response should arrive.
      latest_start: Time after which it is refused.
      late: Whether it could not meet its objective when it arrived.
      is_dependency: Whether it is a dependency call.
      token: Identifies the call to the caller.
      account: Client account of the call, empty if it has none.
    """

    priority: int
    route: ids.RouteName
    objective: float
    latest_start: float
    late: bool
    is_dependency: bool
    token: T
    account: ids.AccountName = ids.AccountName("")


class WaitQueue(Generic[T]):
    """Calls that wait for a slot of one backend server.

    Times are in seconds, of any clock that doesn't jump.
    """

    def __init__(self, expect_work_s: Callable[[ids.RouteName], float]):
        """Initializes an empty queue.

        Args:
          expect_work_s: Returns the expected slot time of a route's requests.
        """
        self._expect_work_s = expect_work_s
        self._entries: list[Entry[T]] = []
        self._shares = fairness.FairShares()
        self._knows_accounts = False
        # Tags of the waiting calls of accounts, None if they must be computed.
        self._tags: dict[Entry[T], float] | None = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry[T]]:
        return iter(self._entries)

    def add(self, entry: Entry[T]) -> None:
        """Adds a call."""
        self._entries.append(entry)
        self._knows_accounts = self._knows_accounts or bool(entry.account)
        self._tags = None

    def remove(self, entry: Entry[T]) -> None:
        """Removes a call that is in the queue."""
        self._entries.remove(entry)
        self._tags = None

    def clear(self) -> None:
        """Removes all calls."""
        self._entries.clear()
        self._tags = None

    def pop_first(self) -> Entry[T]:
        """Removes and returns the call that gets the next slot."""
        first = min(self._entries, key=self.rank)
        if self._has_share(first):
            self._shares.start(
                first.priority,
                first.account,
                self._find_tag(first),
                self._expect_work_s(first.route),
            )
        self.remove(first)
        return first

    def rank(self, entry: Entry[T]) -> Rank:
        """Returns the present rank of a call, which need not be in the queue."""
        work_s = self._expect_work_s(entry.route)
        return (
            entry.priority,
            entry.late,
            self._find_tag(entry),
            _compute_length(work_s),
            entry.objective,
        )

    def _has_share(self, entry: Entry[T]) -> bool:
        """Returns whether a call takes part in the shares of accounts."""
        return self._knows_accounts and not entry.is_dependency

    def _find_tag(self, entry: Entry[T]) -> float:
        if not self._has_share(entry):
            return _COMMON_TAG
        if self._tags is None:
            self._tags = self._compute_tags()
        tag = self._tags.get(entry)
        if tag is not None:
            return tag
        # The call is not in the queue. It follows those of its account that would
        # go before it.
        order = self._compute_order(entry)
        return self._shares.find_tag(entry.priority, entry.account) + sum(
            self._expect_work_s(other.route)
            for other in self._entries
            if other.account == entry.account
            and other.priority == entry.priority
            and self._compute_order(other) <= order
        )

    def _compute_tags(self) -> dict[Entry[T], float]:
        """Returns the tags of all calls, as if no other call arrived."""
        tags = {}
        next_tags: dict[tuple[int, ids.AccountName], float] = {}
        waiting = filter(self._has_share, self._entries)
        for entry in sorted(waiting, key=self._compute_order):
            key = (entry.priority, entry.account)
            tag = next_tags.get(key)
            if tag is None:
                tag = self._shares.find_tag(entry.priority, entry.account)
            tags[entry] = tag
            next_tags[key] = tag + self._expect_work_s(entry.route)
        return tags

    def _compute_order(self, entry: Entry[T]) -> tuple[int, float]:
        """Returns the rank of a call among those of its account."""
        work_s = self._expect_work_s(entry.route)
        return _compute_length(work_s), entry.objective

    def list_work_before_s(self, rank: Rank) -> list[float]:
        """Returns the expected work of the calls that a new one finds before it."""
        return [
            self._expect_work_s(entry.route)
            for entry in self._entries
            if self.rank(entry) <= rank
        ]

    def list_hopeless(
        self, running_s: Sequence[float], now: float
    ) -> list[Entry[T]]:
        """Returns the calls that won't get a slot in the time that they may wait.

        Args:
          running_s: Expected slot times of the calls that hold the slots, all of
            which are in use.
          now: Current time.
        """
        hopeless = []
        slots = len(running_s)
        work_s = sum(running_s) / slots
        for entry in sorted(self._entries, key=self.rank):
            wait_s = work_s / slots
            if HOPELESS_WAIT_RATIO * wait_s > entry.latest_start - now:
                hopeless.append(entry)
            else:
                work_s += self._expect_work_s(entry.route)
        return hopeless


def _compute_length(work_s: float) -> int:
    """Returns the same number for kinds of calls with similar work."""
    return math.floor(math.log2(max(work_s, _SHORTEST_WORK_S)))
