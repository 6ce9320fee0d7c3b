"""Decides which requests a node accepts while it shuts down.

Answers the requests that arrive on open connections after the node was told to
stop. Most end long before the process does, but one that is still running then
is cut off without an answer.
"""

import math
from typing import Final

# Fraction of the shutdown during which any request is accepted. After that, a
# request must time out before the end.
ACCEPT_RATIO: Final = 0.5


class Shutdown:
    """The time that a node has left, unlimited before `begin`.

    Times are in seconds, of the clock of the requests' deadlines.
    """

    def __init__(self) -> None:
        self._accepts_all_until = math.inf
        self._ends_at = math.inf

    def begin(self, now: float, duration_s: float) -> None:
        """Starts the shutdown.

        Args:
          now: Current time.
          duration_s: Time until requests in progress are cut off.
        """
        self._accepts_all_until = now + duration_s * ACCEPT_RATIO
        self._ends_at = now + duration_s

    def accepts(self, deadline: float, now: float) -> bool:
        """Returns whether a request with a deadline may start."""
        return now < self._accepts_all_until or deadline <= self._ends_at
