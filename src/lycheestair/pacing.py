"""Paces costly work, so that other work of the process is done in between.

Answers foreign bytes that take much time to decode, arriving without end on several
connections at once. Time is counted instead of pieces, because the same piece takes
longer on a slow or busy processor.
"""

import threading
from typing import Final

# Fraction of the time that all paced work of a process may take together.
MAX_SHARE: Final = 0.1
# Work of this duration is done without a pause.
TURN_S: Final = 0.001
# The decoding of one body isn't paced until it has taken this long.
UNPACED_S: Final = 0.002
# A turn counts as no longer than this. It takes longer if the process was suspended
# or had to wait for a processor.
MAX_CHARGED_TURN_S: Final = 0.01


class Pacer:
    """Spaces turns so that they take a bounded share of the time together."""

    def __init__(self, max_share: float = MAX_SHARE):
        self._max_share = max_share
        self._next_at = 0.0
        self._lock = threading.Lock()

    def charge(self, now: float, used_s: float) -> float:
        """Counts a turn.

        Args:
          now: Monotonic time in seconds at the end of the turn.
          used_s: Duration of the turn in seconds.

        Returns:
          The time in seconds until the next turn of the same work.
        """
        charged_s = min(used_s, MAX_CHARGED_TURN_S)
        with self._lock:
            self._next_at = (
                max(now, self._next_at) + charged_s / self._max_share
            )
            return self._next_at - now


class BodyPace:
    """The time that the decoding of one body takes."""

    def __init__(self, pacer: Pacer):
        self._pacer = pacer
        self._unpaced_s = UNPACED_S
        self._turn_s = 0.0

    def charge(self, now: float, used_s: float) -> float:
        """Counts time that was used for the body.

        Args:
          now: Monotonic time in seconds.
          used_s: Time used since the previous call, in seconds.

        Returns:
          The time in seconds until decoding may go on.
        """
        paced_s = max(0.0, used_s - self._unpaced_s)
        self._unpaced_s = max(0.0, self._unpaced_s - used_s)
        self._turn_s += paced_s
        if self._turn_s < TURN_S:
            return 0.0
        turn_s, self._turn_s = self._turn_s, 0.0
        return self._pacer.charge(now, turn_s)
