"""Interfaces of the request path to outcome recording and share caps."""

import dataclasses
from typing import Protocol

from lycheestair import ids


@dataclasses.dataclass(frozen=True)
class VersionRoute:
    """A backend server version on one route."""

    service: ids.ServiceName
    version: ids.VersionName
    route: ids.RouteName


class OutcomeRecorder(Protocol):
    """Records outcomes of attempts. Called on the request path."""

    def record(
        self, target: VersionRoute, failed: bool, latency_ms: float
    ) -> None:
        """Records one attempt that reached a backend server.

        Args:
          target: Version and route of the attempt.
          failed: Whether the attempt counts as a failure of the version: a 5xx
            response, a lost connection, a crash, or a timeout after
            admission.
          latency_ms: Time in the backend server, without queueing time.
        """


class ShareCaps(Protocol):
    """Local caps on the traffic shares of versions."""

    def read_cap_bps(
        self, service: ids.ServiceName, version: ids.VersionName
    ) -> int | None:
        """Returns the maximum share in basis points, or None without a cap."""
