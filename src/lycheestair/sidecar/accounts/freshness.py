"""Decides whether a node may still rely on the keys that it knows."""

import math


class KeyFreshness:
    """Time since the store was last known to be reached.

    Keys may have been removed from the configuration meanwhile.
    """

    def __init__(self, revocation_s: float):
        """Initializes the state of a node that has not heard of the store.

        Args:
          revocation_s: Time in seconds for which keys are relied on.
        """
        self._revocation_s = revocation_s
        self._reached_at = -math.inf

    def note(self, is_store_reached: bool, now: float) -> None:
        """Notes whether a feeder reaches the store."""
        if is_store_reached:
            self._reached_at = now

    def is_lost(self, now: float) -> bool:
        """Returns whether keys must not be relied on any more."""
        return now - self._reached_at >= self._revocation_s
