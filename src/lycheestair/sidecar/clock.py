"""Monotonic clock that also advances while the system is suspended."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time


def _read_boot_time_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_read_s: Callable[[], float] = _read_boot_time_s


def read_s() -> float:
    """Returns the seconds since boot, including suspended time.

    CLOCK_MONOTONIC stops while the system is suspended. Measured with it, a
    deadline that passes during a suspension has not expired when the system
    resumes.
    """
    return _read_s()


@contextlib.contextmanager
def replace(read_virtual_s: Callable[[], float]) -> Iterator[None]:
    """Replaces the clock of this process, to play loads in virtual time."""
    global _read_s
    _read_s = read_virtual_s
    try:
        yield
    finally:
        _read_s = _read_boot_time_s
