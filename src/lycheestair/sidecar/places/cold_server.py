"""Tracks whether the local backend server is cold."""

import re
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import event_log
from lycheestair.sidecar.places import cold_limiter
from lycheestair.sidecar.places import cold_values

# Used for a cold server while this node has no configuration, which has the rate.
# Below the rates that occur.
RATE_WITHOUT_CONFIGURATION_PER_S: Final = 5.0
_MILLISECONDS: Final = re.compile(rb"\d{1,12}(\.\d{1,12})?")


def parse_milliseconds(value: bytes) -> float:
    """Returns the seconds that a header value tells; UNREADABLE if none."""
    text = value.strip()
    if not _MILLISECONDS.fullmatch(text):
        return cold_values.UNREADABLE
    return float(text) / 1000


def is_usable(remaining_s: float) -> bool:
    """Returns whether a server can be cold for this time."""
    return 0 <= remaining_s <= cold_values.MAX_COLD_S


class ColdServer:
    """Applies what is known of a server's cold time to the limiter of starts.

    Without a rate in the configuration nothing is limited.

    Attributes:
      limiter: Limits the requests that start.
    """

    def __init__(self, honours_places: bool, log: event_log.EventLog):
        """Initializes the state of a server that isn't known yet.

        Args:
          honours_places: Whether servers may be cold before this node has a
            configuration.
          log: Log of this node.
        """
        self.limiter = cold_limiter.ColdLimiter()
        self._honours_places = honours_places
        self._log = log
        self._limits: catalog_lib.ServiceLimits | None = None
        self._was_cold = False
        self._logged_value: float | None = None

    def mark_cold(self, now: float) -> None:
        """Takes the server as cold until it tells its remaining time."""
        self.limiter.mark_cold(now)

    def tell_remaining(
        self, remaining_s: float, instance: str, now: float
    ) -> None:
        """Applies the remaining cold time of a heartbeat or response.

        An unusable one leaves the known time as it is, but must not keep a server
        cold for ever.
        """
        if is_usable(remaining_s):
            self.limiter.tell_remaining(remaining_s, now)
            return
        if remaining_s != self._logged_value:
            self._logged_value = remaining_s
            self._log.write(
                "cold time ignored", instance=instance, value=remaining_s
            )
        if not self.limiter.is_told():
            self.limiter.tell_remaining(
                cold_values.read_cold_s(self._limits), now
            )

    def update(
        self,
        catalog: catalog_lib.Catalog,
        service: ids.ServiceName | None,
        now: float,
    ) -> None:
        """Applies the rate of the configuration in force; logs changes.

        Args:
          catalog: The configuration in force.
          service: Service of the server, None if there is no server.
          now: Current time.
        """
        if catalog.generation:
            self._limits = (
                catalog.services.get(service) if service is not None else None
            )
            rate_per_s = cold_values.read_rate_per_s(self._limits)
        elif self._honours_places:
            rate_per_s = RATE_WITHOUT_CONFIGURATION_PER_S
        else:
            rate_per_s = 0.0
        self.limiter.set_rate(rate_per_s)
        is_cold = self.is_limited_as_cold(now)
        if is_cold != self._was_cold:
            self._was_cold = is_cold
            self._log.write(
                "backend server is cold"
                if is_cold
                else "backend server is no longer cold",
                service=service,
                limit_per_s=rate_per_s,
            )

    def is_limited_as_cold(self, now: float) -> bool:
        """Returns whether the server gets only the rate of a cold one."""
        return (
            self.limiter.is_cold(now)
            and self.limiter.read_limit_per_s(now) is not None
        )

    def read_limit_per_s(self, now: float) -> float:
        """Returns the present limit for the metrics; -1 if there is none."""
        limit_per_s = self.limiter.read_limit_per_s(now)
        return -1.0 if limit_per_s is None else limit_per_s
