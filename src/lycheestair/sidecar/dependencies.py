"""Calls of the own backend server that failed, by the time they did.

A backend server fails a request at once when a call that it needs fails. That
says nothing of the backend server or its version. A call carries no reference
to the request it is for.
"""

import math
from typing import Final

from lycheestair.sidecar import clock

# A backend server answers its request this soon after a call failed. Nine in
# ten did on a day with a failing service (docs/notes/platform.md).
MAX_LAG_S: Final = 0.05


class FailedCalls:
    """The latest failed call."""

    def __init__(self) -> None:
        self._latest = -math.inf

    def add(self) -> None:
        """Notes that a call has failed."""
        self._latest = clock.read_s()

    def explain(self) -> bool:
        """Returns whether a request that fails now may have lacked a call."""
        return clock.read_s() - self._latest <= MAX_LAG_S
