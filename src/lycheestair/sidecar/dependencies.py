"""Calls of the own backend server that failed, by the request they were for.

A backend server fails a request when a call that it needs fails. That says
nothing of the backend server or its version. A call carries no reference to
its request, but ends at the same deadline.
"""

import collections
from typing import Final

# Deadlines are sent in whole milliseconds of what is left, and arrive late by
# the time that a busy machine takes to read them.
DEADLINE_TOLERANCE_S: Final = 0.03
# Bounds the memory; a backend server runs fewer requests at a time.
MAX_CALLS: Final = 256


class FailedCalls:
    """Deadlines of the calls that failed lately."""

    def __init__(self) -> None:
        self._deadlines: collections.deque[float] = collections.deque(
            maxlen=MAX_CALLS
        )

    def add(self, deadline: float) -> None:
        """Notes a failed call; its deadline is a steady time in seconds."""
        self._deadlines.append(deadline)

    def explain(self, deadline: float) -> bool:
        """Returns whether a request with this deadline lacked a call."""
        return any(
            abs(known - deadline) < DEADLINE_TOLERANCE_S
            for known in self._deadlines
        )
