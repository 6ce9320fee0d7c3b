"""Time that work takes at a server now, compared with the usual time.

Answers servers that share their machine with others: for some hundred
milliseconds, work takes several times as long there.
"""

from typing import Final

# As usual, in percent.
USUAL_PERCENT: Final = 100.0
# A slowdown without news decays to the usual time within this time. Episodes last
# about 0.6 s, so that an older figure says nothing any more.
MAX_AGE_S: Final = 1.0


def decay(percent: float, age_s: float) -> float:
    """Returns the expected figure after a time without news, in percent."""
    if age_s >= MAX_AGE_S:
        return USUAL_PERCENT
    weight = 1.0 - max(0.0, age_s) / MAX_AGE_S
    return USUAL_PERCENT + (percent - USUAL_PERCENT) * weight


def encode_report(percent: float) -> list[int]:
    """Returns the optional last element of a load report.

    It is left out if work takes as long as usual: nodes of the previous release
    can't read it.
    """
    rounded = round(percent)
    return [] if rounded == USUAL_PERCENT else [rounded]


class Slowdown:
    """The latest figure of the local backend server."""

    def __init__(self) -> None:
        self._percent = USUAL_PERCENT
        self._updated_at = 0.0

    @property
    def is_usual(self) -> bool:
        """Whether the latest figure is the usual one."""
        return self._percent == USUAL_PERCENT

    def update(self, percent: float, now: float) -> None:
        """Records the figure of a response."""
        self._percent = percent
        self._updated_at = now

    def reset(self) -> None:
        """Discards the figure of an earlier backend server."""
        self._percent = USUAL_PERCENT

    def read_percent(self, now: float) -> float:
        """Returns the figure weighted by its age, 100 without one."""
        if self.is_usual:
            return USUAL_PERCENT
        return decay(self._percent, now - self._updated_at)
