"""Attribution of failed requests to failed dependency calls.

A dependency call is a request that the local backend server sends to another
service while it executes a request. When it fails, the backend server
immediately fails the request that depends on it. Such a failure is no evidence
against the backend server or its version. Dependency calls carry no reference
to the request that caused them, so they are matched by time.
"""

import math
from typing import Final

from lycheestair.sidecar import clock

# Maximum delay between a failed call and the failure of the request that
# depends on it. 90% of such requests failed within this time while a service
# was failing (docs/notes/platform.md).
MAX_DELAY_S: Final = 0.05


class FailedDependencyCalls:
    """Remembers the time of the latest failed dependency call."""

    def __init__(self) -> None:
        self._latest_failure_s = -math.inf

    def add(self) -> None:
        """Records a failed dependency call."""
        self._latest_failure_s = clock.read_s()

    def may_explain_failure(self) -> bool:
        """Whether a failed call may explain a request that fails now."""
        return clock.read_s() - self._latest_failure_s <= MAX_DELAY_S
