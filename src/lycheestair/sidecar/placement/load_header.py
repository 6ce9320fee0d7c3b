"""Parser of the load that backend servers name in their responses."""

import dataclasses
import math
import re
from typing import Final

from lycheestair.sidecar.placement import slowdown

# Bounds the digits that are converted. No server has as many requests.
_MAX_DIGITS: Final = 6
_SEPARATOR: Final = re.compile(rb"[ \t]*[,;/][ \t]*|[ \t]+")
# Longest value that is examined.
_MAX_LENGTH: Final = 64
# Bounds of the slowdown in percent. A figure beyond them would keep a server from
# all requests, or give it all of them.
MIN_SLOWDOWN_PERCENT: Final = 10
MAX_SLOWDOWN_PERCENT: Final = 10_000
# A server that names malformed loads does so in all its responses.
MIN_PROBLEM_INTERVAL_S: Final = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load as named by a backend server.

    Attributes:
      slowdown_percent: Time that work takes now, in percent of the usual time;
        None if it isn't named.
    """

    running: int
    waiting: int
    slots: int
    slowdown_percent: int | None = None


def parse(value: bytes) -> ServerLoad:
    """Parses the value of the load header.

    Raises:
      ValueError: The value isn't three or four whole numbers within the bounds.
    """
    fields = _SEPARATOR.split(value[: _MAX_LENGTH + 1].strip(b" \t"))
    if (
        len(value) > _MAX_LENGTH
        or len(fields) not in (3, 4)
        or not all(
            field.isdigit() and len(field) <= _MAX_DIGITS for field in fields
        )
    ):
        raise ValueError(f"{value[:32]!r} is not a load")
    running, waiting, slots, *rest = map(int, fields)
    if not rest:
        return ServerLoad(running, waiting, slots)
    if not MIN_SLOWDOWN_PERCENT <= rest[0] <= MAX_SLOWDOWN_PERCENT:
        raise ValueError(f"slowdown of {rest[0]}% is out of range")
    return ServerLoad(running, waiting, slots, rest[0])


class LoadReader:
    """Keeps the slowdown that responses name."""

    def __init__(self, known: slowdown.Slowdown):
        self._slowdown = known
        self._problem_reported_at = -math.inf

    def read(self, value: bytes, now: float) -> str | None:
        """Reads the value of a response's load header.

        Returns:
          The problem of a malformed value, None if the value is well-formed or a
          problem was returned recently.
        """
        try:
            load = parse(value)
        except ValueError as error:
            if now - self._problem_reported_at < MIN_PROBLEM_INTERVAL_S:
                return None
            self._problem_reported_at = now
            return str(error)
        if load.slowdown_percent is not None:
            self._slowdown.update(load.slowdown_percent, now)
        return None
