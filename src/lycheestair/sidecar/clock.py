"""Monotonic clock that also advances while the system is suspended."""

import time


def read_s() -> float:
    """Returns the seconds since boot, including suspended time.

    CLOCK_MONOTONIC stops during a suspension, so a deadline that passes during
    one would not have expired when the system resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
