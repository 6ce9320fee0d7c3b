"""Monotonic clock that also advances while the system is suspended."""

import time


def read_s() -> float:
    """Returns the seconds since boot, including suspended time.

    CLOCK_MONOTONIC stops while the system is suspended. Measured with it, a
    deadline that passes during a suspension has not expired when the system
    resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
