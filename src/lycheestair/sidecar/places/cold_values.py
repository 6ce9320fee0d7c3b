"""Values of a configuration that describe cold backend servers."""

import math
from typing import Any
from typing import Final

from lycheestair.sidecar import catalog as catalog_lib

# Stands for a value that can't be read. It is kept, so that each node can log it.
UNREADABLE: Final = -1.0
# Larger values would keep a backend server cold for good, or protect it from
# nothing.
MAX_COLD_S: Final = 3_600.0
MAX_REQUESTS_PER_S: Final = 1_000_000.0


def decode(value: Any) -> float:
    """Decodes a value of a configuration; an absent one is 0.

    An unreadable value must not stop the rest of the configuration.
    """
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        return UNREADABLE
    try:
        number = float(value)
    except OverflowError:
        return UNREADABLE
    return number if math.isfinite(number) else UNREADABLE


def read_cold_s(limits: catalog_lib.ServiceLimits | None) -> float:
    """Returns how long a server is cold after its start; 0 if unusable."""
    if limits is None or not 0 <= limits.cold_start_s <= MAX_COLD_S:
        return 0.0
    return limits.cold_start_s


def read_rate_per_s(limits: catalog_lib.ServiceLimits | None) -> float:
    """Returns the requests a second that a cold server bears; 0 for any."""
    if limits is None or not (
        0 <= limits.cold_requests_per_s <= MAX_REQUESTS_PER_S
    ):
        return 0.0
    return limits.cold_requests_per_s


def list_unusable(limits: catalog_lib.ServiceLimits) -> list[float]:
    """Returns the values of a service that are ignored."""
    return [
        value
        for value, is_usable in (
            (limits.cold_start_s, 0 <= limits.cold_start_s <= MAX_COLD_S),
            (
                limits.cold_requests_per_s,
                0 <= limits.cold_requests_per_s <= MAX_REQUESTS_PER_S,
            ),
        )
        if not is_usable
    ]
