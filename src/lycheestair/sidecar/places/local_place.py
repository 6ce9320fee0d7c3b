"""Decides whether a call may run at the local backend server's place."""

from collections.abc import Callable
import math
from typing import Final

from lycheestair import errors
from lycheestair import ids
from lycheestair.sidecar import calls
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar.places import evacuations as evacuations_lib
from lycheestair.sidecar.places import regions

# A node that has not run for this long was frozen. It may have missed an
# evacuation that binds it by now.
MAX_PAUSE_S: Final = 2.0
# Time in which it connects to other nodes again, which tell it the known set.
REFRESH_S: Final = 0.5


class LocalPlace:
    """Region and failure domain of the local backend server.

    Attributes:
      read_catalog: Returns the configuration in force.
      evacuations: Evacuations that this node knows.
      refused_for_region: Calls refused because of their allowed regions.
      refused_for_evacuation: Calls refused because the domain is evacuated.
    """

    def __init__(
        self,
        region: ids.Region,
        domain: ids.FailureDomain,
        honours_places: bool = False,
    ):
        """Initializes the place of a server.

        Args:
          region: Region of the server.
          domain: Failure domain of the server.
          honours_places: Whether the domain may be evacuated.
        """
        self.read_catalog: Callable[[], catalog_lib.Catalog] = lambda: (
            catalog_lib.EMPTY
        )
        self.evacuations = evacuations_lib.Evacuations()
        self.refused_for_region = 0
        self.refused_for_evacuation = 0
        self._honours_places = honours_places
        self._alive_at = math.inf
        self._refreshed_at = 0.0
        self._was_evacuated = False
        self._region = region
        self._domain = domain

    @property
    def is_evacuated(self) -> bool:
        """Whether the failure domain of the backend server is evacuated."""
        return self.evacuations.contains(self._domain)

    def has_evacuation_ended(self) -> bool:
        """Returns whether an evacuation has ended since the last query."""
        was_evacuated, self._was_evacuated = (
            self._was_evacuated,
            self.is_evacuated,
        )
        return was_evacuated and not self.is_evacuated

    def note_alive(self, now: float) -> None:
        """Tells that this node is running; called at short intervals."""
        if self._honours_places and now - self._alive_at > MAX_PAUSE_S:
            self._refreshed_at = now + REFRESH_S
        self._alive_at = now

    def refuse(self, call: calls.Call, now: float) -> calls.Refusal | None:
        """Returns the refusal of a call that may not run here, else None.

        Also updates `call.regions`, which isn't sent to the serving node. The
        configuration may change while a call is queued, so it is checked again
        when the call has got its slot.
        """
        # Requests are read before the periodic work that would notice a pause.
        if now - self._alive_at > MAX_PAUSE_S:
            self.note_alive(now)
        if now < self._refreshed_at:
            return calls.Refusal(
                errors.ErrorKind.DRAINING, "evacuations not known after a pause"
            )
        if self.is_evacuated:
            self.refused_for_evacuation += 1
            return calls.Refusal(
                errors.ErrorKind.DRAINING, f"{self._domain} is evacuated"
            )
        call.regions = regions.find(self.read_catalog(), call)
        if regions.allows(call.regions, self._region):
            return None
        self.refused_for_region += 1
        return calls.Refusal(
            errors.ErrorKind.DRAINING,
            f"region {self._region} is not allowed for the request",
        )
