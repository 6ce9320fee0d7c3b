"""Attribution of failed requests to failed calls of the local backend server.

A backend server fails a request immediately when a call that the request
depends on fails. Such a failure is no evidence against the backend server or
its version. Calls carry no reference to the request that caused them, so they
are matched by time.
"""

import math
from typing import Final

from lycheestair.sidecar import clock

# Maximum delay between a failed call and the failure of the request that
# depends on it. 90% of such requests failed within this time while a service
# was failing (docs/notes/platform.md).
MAX_DELAY_S: Final = 0.05


class FailedCalls:
    """Time of the latest failed call of the backend server."""

    def __init__(self) -> None:
        self._latest_failure_s = -math.inf

    def add(self) -> None:
        """Records a failed call."""
        self._latest_failure_s = clock.read_s()

    def may_explain_failure(self) -> bool:
        """Returns whether a call may have caused a failure that occurs now."""
        return clock.read_s() - self._latest_failure_s <= MAX_DELAY_S
