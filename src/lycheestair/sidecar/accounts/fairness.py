"""Equal shares of a server's slots for the accounts with waiting requests.

Answers the load of one account that sends many times its usual rate while servers
are lost: without shares, its requests fill the queue and the others' are refused.

Start-time fair queueing: the work that an account gets moves its next request back
by as much, and an account that had no request waiting begins at the present tag. It
gets no credit for the time before.
"""

from collections.abc import Hashable
from typing import Final

# Beyond this number, accounts that have no advantage or debt are forgotten.
MAX_ACCOUNTS: Final = 256


class FairShares:
    """Tags of accounts; the request with the lowest tag is next.

    Tags are in seconds of work, and compare within one priority only.
    """

    def __init__(self) -> None:
        # Tag of the request that was started last, by priority.
        self._present: dict[int, float] = {}
        # Tag after the work that an account got last.
        self._next: dict[tuple[int, Hashable], float] = {}

    def find_tag(self, priority: int, account: Hashable) -> float:
        """Returns the tag of the account's next request."""
        present = self._present.get(priority, 0.0)
        return max(present, self._next.get((priority, account), 0.0))

    def start(
        self, priority: int, account: Hashable, tag: float, work_s: float
    ) -> None:
        """Notes that a request with a tag was started."""
        self._present[priority] = max(self._present.get(priority, 0.0), tag)
        self._next[priority, account] = tag + work_s
        if len(self._next) > MAX_ACCOUNTS:
            self._next = {
                (known, other): next_tag
                for (known, other), next_tag in self._next.items()
                if next_tag > self._present.get(known, 0.0)
            }
