"""Settings of the C library's memory allocator.

Answers memory that many threads have freed and the process still holds: each of
up to eight arenas for a processor keeps what its threads have freed.
"""

import contextlib
import ctypes
from typing import Final

# Parameters of mallopt(3) in glibc.
_M_MMAP_THRESHOLD: Final = -3
_M_ARENA_MAX: Final = -8
# Larger blocks are returned to the system when they are freed. Without a fixed
# value, glibc raises it up to 32 MB with the largest block that was freed.
MMAP_THRESHOLD_BYTES: Final = 131_072
# Python's threads allocate one at a time, so they need few arenas.
MAX_ARENAS: Final = 2


def limit_held_memory() -> None:
    """Makes the allocator return large blocks; no effect without glibc."""
    with contextlib.suppress(AttributeError, OSError):
        library = ctypes.CDLL(None)
        library.mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        library.mallopt(_M_ARENA_MAX, MAX_ARENAS)
