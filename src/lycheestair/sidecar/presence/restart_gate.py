"""Decides when a backend server may be used after a restart of its node.

Answers the restart of many nodes while the store is away: then nothing remembers
that a backend server has left, and a heartbeat that it sent before looks like that of
a server that still runs.
"""

from typing import Final

# A heartbeat may be delayed by as many intervals. Nodes also wait this long for the
# next one before they withdraw a backend server.
MAX_DELAY_INTERVALS: Final = 4
# Fraction of the interval between heartbeats after which the next one can't be an
# earlier one that was delayed together with the first.
MIN_HEARTBEAT_RATIO: Final = 0.5

# Instance and start in Unix milliseconds.
Incarnation = tuple[str, int]


class RestartGate:
    """Holds a backend server back until it is known to run.

    A successful health check shows it, because a server that leaves fails its health
    check. Otherwise the server is used after two heartbeats, the second of which was
    sent after the node had started.

    Attributes:
      is_open: Whether a backend server has been found to run since the node started.
        What leaves after that is known to the process.
    """

    def __init__(self, heartbeat_interval_s: float, started_at: float):
        """Initializes the gate of a node.

        Args:
          heartbeat_interval_s: Time in seconds between heartbeats of a server.
          started_at: Time in seconds at which the node started.
        """
        self.is_open = False
        self._min_distance_s = heartbeat_interval_s * MIN_HEARTBEAT_RATIO
        self._fresh_from = (
            started_at + heartbeat_interval_s * MAX_DELAY_INTERVALS
        )
        self._incarnation: Incarnation | None = None
        self._first_heartbeat_at = 0.0

    def observe_heartbeat(self, incarnation: Incarnation, now: float) -> bool:
        """Returns whether the sender of a heartbeat may be used."""
        if self.is_open:
            return True
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._first_heartbeat_at = now
            return False
        self.is_open = (
            now >= self._fresh_from
            and now - self._first_heartbeat_at >= self._min_distance_s
        )
        return self.is_open

    def observe_health(self, incarnation: Incarnation) -> bool:
        """Applies a successful health check.

        Returns:
          Whether the gate has been opened by it. It isn't if the check was of
          another server than that of the latest heartbeat.
        """
        if self.is_open or incarnation != self._incarnation:
            return False
        self.is_open = True
        return True
