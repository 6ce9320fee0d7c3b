"""Limits that backend servers name for the requests that they accept.

Answers the load of a backend server in need, which takes fewer requests per
second than its slots could run, summed over all nodes. All its requests pass
through the node beside it, and that node starts them at the rate of the limit.
"""

import dataclasses
import math
import re
from typing import Any
from typing import Final

# A double has up to 17 significant digits, after up to as many zeros.
_DECIMAL_NUMBER: Final = re.compile(rb"\d{1,9}(\.\d{1,40})?")
# Requests of this time, at the rate of the limit, may start at once.
BURST_S: Final = 0.5
# A server that accepts almost nothing gets one request in this time, because
# only a response can tell that the limit has ended.
MAX_START_INTERVAL_S: Final = 4.0


def parse_limit(value: bytes | None) -> float | None:
    """Returns the requests per second that a header value allows.

    Args:
      value: The value, None if the response has no such header and thus no
        limit.

    Raises:
      ValueError: The value is not a decimal number of at least 0.
    """
    if value is None:
        return None
    text = value.strip()
    if not _DECIMAL_NUMBER.fullmatch(text):
        raise ValueError(f"{value[:32]!r} is not a limit")
    return float(text)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLimit:
    """Limit that a backend server instance has named."""

    instance: str
    limit_per_s: float

    def encode(self) -> list[Any]:
        """Returns the limit as a list of plain values."""
        return [self.instance, self.limit_per_s]


def decode_instance_limit(fields: Any) -> InstanceLimit | None:
    """Decodes a limit; None stands for no limit.

    Raises:
      ValueError: The fields are malformed.
    """
    if fields is None:
        return None
    match fields:
        case [str(instance), float(limit_per_s)] if 0 <= limit_per_s < math.inf:
            return InstanceLimit(instance, limit_per_s)
    raise ValueError("limit of an instance is malformed")


class StartLimiter:
    """Token bucket for the requests that start at one backend server.

    Times are in seconds, of any clock that doesn't jump.

    Attributes:
      limit_per_s: Requests per second that the server accepts, None if it names
        no limit.
    """

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self._rate_per_s = 0.0
        self._tokens = 0.0
        self._updated_at = 0.0

    def update(self, limit_per_s: float | None, now: float) -> None:
        """Applies the limit that a response names, None if it names none."""
        self._refill(now)
        self.limit_per_s = limit_per_s
        if limit_per_s is not None:
            self._rate_per_s = max(limit_per_s, 1.0 / MAX_START_INTERVAL_S)
            self._tokens = min(self._tokens, self._burst)

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate_per_s * BURST_S)

    def _refill(self, now: float) -> None:
        self._tokens = min(
            self._burst,
            self._tokens + (now - self._updated_at) * self._rate_per_s,
        )
        self._updated_at = now

    def try_start(self, now: float) -> bool:
        """Takes the token for a request; returns whether there was one."""
        self._refill(now)
        if self.limit_per_s is None:
            # Counted for a limit that returns soon after it has ended.
            self._tokens = max(-self._rate_per_s, self._tokens - 1.0)
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def cancel_start(self) -> None:
        """Returns the token of a request that was not sent."""
        self._tokens += 1.0

    def predict_wait_s(self, queued: int, now: float) -> float:
        """Returns the time in seconds until a queued request may start.

        Args:
          queued: Requests that start before this one.
          now: Current time.
        """
        if self.limit_per_s is None:
            return 0.0
        self._refill(now)
        return max(0.0, (queued + 1 - self._tokens) / self._rate_per_s)
