"""Paces costly work, so that other work of the process is done in between.

Answers foreign bytes that take much time to decode, arriving without end on several
connections at once.
"""

import threading
from typing import Final

# A turn takes less than a millisecond.
TURN_INTERVAL_S: Final = 0.01


class Pacer:
    """Gives turns at a fixed interval, in the order of the reservations."""

    def __init__(self, interval_s: float = TURN_INTERVAL_S):
        self._interval_s = interval_s
        self._next_at = 0.0
        self._lock = threading.Lock()

    def reserve(self, now: float) -> float:
        """Reserves the next turn.

        Args:
          now: Monotonic time in seconds.

        Returns:
          The time in seconds until the turn.
        """
        with self._lock:
            turn_at = max(now, self._next_at)
            self._next_at = turn_at + self._interval_s
        return turn_at - now
