"""Limits the requests that start at a cold backend server.

Answers a server that bears only a few requests a second for a while after its start
and crashes at higher rates. All its requests pass through the node beside it.
"""

import collections
import math
from typing import Final

# Requests of this time, at the current rate, may start at once. The operator's
# bound for any second allows several times as many.
BURST_S: Final = 0.1
# Span in which the operator counts the requests of a cold server.
WINDOW_S: Final = 1.0
# After the cold time the rate doubles in this time, so that caches and pools of
# the server fill before its usual rate arrives.
RAMP_DOUBLING_S: Final = 0.5
# The rate is limited for this long after the cold time. It is then a thousand
# times that of the cold server, more than any server gets.
RAMP_S: Final = 5.0
# Starts that are remembered from before the server became cold.
MAX_STARTS: Final = 1_000


class ColdLimiter:
    """Token bucket whose rate rises after the cold time.

    In addition, the starts within any second are limited while the server is
    cold. A server may become cold while it is busy, and the requests of the last
    second count then.

    Times are in seconds, of any clock that doesn't jump.
    """

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._cold_until = -math.inf
        self._starts: collections.deque[float] = collections.deque(
            maxlen=MAX_STARTS
        )
        self._tokens = 1.0
        self._updated_at = 0.0

    def set_rate(self, rate_per_s: float) -> None:
        """Sets the rate that a cold server bears; 0 if there is no limit."""
        self._rate_per_s = rate_per_s

    def mark_cold(self, now: float) -> None:
        """Tells that the server may be cold, until `tell_remaining`."""
        self._refill(now)
        self._cold_until = math.inf

    def tell_remaining(self, remaining_s: float, now: float) -> None:
        """Applies the remaining cold time that the server tells.

        Args:
          remaining_s: The time; 0 if it isn't cold.
          now: Current time.
        """
        self._refill(now)
        if remaining_s > 0:
            self._cold_until = now + remaining_s
        else:
            self._cold_until = min(self._cold_until, now)

    def is_cold(self, now: float) -> bool:
        """Returns whether the server is cold or may be."""
        return now < self._cold_until

    def is_told(self) -> bool:
        """Returns whether the end of the cold time is known."""
        return self._cold_until < math.inf

    def read_limit_per_s(self, now: float) -> float | None:
        """Returns the present rate, None if there is no limit."""
        if not self._rate_per_s or now >= self._cold_until + RAMP_S:
            return None
        warm_s = max(0.0, now - self._cold_until)
        return float(self._rate_per_s * 2.0 ** (warm_s / RAMP_DOUBLING_S))

    def _refill(self, now: float) -> None:
        rate_per_s = self.read_limit_per_s(now) or self._rate_per_s
        self._tokens = min(
            max(1.0, rate_per_s * BURST_S),
            self._tokens + (now - self._updated_at) * rate_per_s,
        )
        self._updated_at = now
        while self._starts and now - self._starts[0] >= WINDOW_S:
            self._starts.popleft()

    def _count_excess(self, now: float) -> int:
        """Returns how many starts must leave the window before the next one."""
        if not self.is_cold(now):
            return 0
        allowed = max(1, math.ceil(self._rate_per_s))
        return max(0, len(self._starts) - allowed + 1)

    def try_start(self, now: float) -> bool:
        """Counts the start of a request; returns whether it is allowed."""
        self._refill(now)
        if self.read_limit_per_s(now) is None:
            # Counted for a server that becomes cold.
            self._tokens = max(0.0, self._tokens - 1.0)
        elif self._tokens < 1.0 or self._count_excess(now):
            return False
        else:
            self._tokens -= 1.0
        self._starts.append(now)
        return True

    def cancel_start(self) -> None:
        """Takes back the latest start, of a request that was not sent."""
        self._tokens += 1.0
        if self._starts:
            self._starts.pop()

    def predict_wait_s(self, queued: int, now: float) -> float:
        """Returns the time in seconds until a queued request may start.

        Args:
          queued: Requests that start before this one.
          now: Current time.
        """
        rate_per_s = self.read_limit_per_s(now)
        if rate_per_s is None:
            return 0.0
        self._refill(now)
        wait_s = max(0.0, (queued + 1 - self._tokens) / rate_per_s)
        excess = self._count_excess(now)
        if excess:
            leaves_at = self._starts[excess - 1] + WINDOW_S
            wait_s = max(wait_s, leaves_at - now + queued / rate_per_s)
        return wait_s
