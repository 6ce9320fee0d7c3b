"""Steady time that also counts while the machine is suspended."""

import time


def read_s() -> float:
    """Returns seconds since the machine started.

    A deadline that passes during a suspension has passed afterwards, which
    the monotonic clock would not show.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
