"""Warm and cold slots of a version's backend servers."""

from collections.abc import Mapping
import dataclasses
from typing import Final

from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import resources
from lycheestair import snapshot as snapshot_lib

# Cold starts raise a version's latency without being a fault. Its latency is
# ignored for at most this long; the budget refills by a fraction of the time
# that the version is warm.
COLD_START_BUDGET_S: Final = 15.0
BUDGET_REFILL_FRACTION: Final = 0.25

_PRESENT_STATES: Final = frozenset(
    {members_lib.MemberState.ALIVE, members_lib.MemberState.SUSPECTED}
)


@dataclasses.dataclass(frozen=True)
class Slots:
    """Slots of a version's serving backend servers.

    Suspected nodes count too, so that shares don't change with every suspicion
    of the failure detector.

    Attributes:
      serving: Slots of all backend servers that serve.
      warm: Slots of those that have served for at least the ramp time.
    """

    serving: int
    warm: int

    @property
    def cold(self) -> bool:
        """Whether some of the serving slots are not warm yet."""
        return self.warm < self.serving


def list_routes_with_own_shares(
    snapshot: snapshot_lib.Snapshot, service: ids.ServiceName
) -> frozenset[ids.RouteName]:
    """Returns the routes that override the traffic shares of a service."""
    return frozenset(
        route.name
        for route in snapshot.select(resources.Route)
        if route.service == service and route.shares
    )


def count_slots(
    members: Mapping[ids.NodeId, members_lib.Member],
    service: ids.ServiceName,
    version: ids.VersionName,
    now: float,
    ramp_s: float,
) -> Slots:
    """Returns the slots of a version on alive and suspected nodes."""
    endpoints = [
        member.endpoint
        for member in members.values()
        if member.state in _PRESENT_STATES
        and member.endpoint is not None
        and member.endpoint.service == service
        and member.endpoint.version == version
        and member.endpoint.state is members_lib.EndpointState.SERVING
    ]
    return Slots(
        sum(endpoint.slots for endpoint in endpoints),
        sum(
            endpoint.slots
            for endpoint in endpoints
            if now - endpoint.started_at >= ramp_s
        ),
    )


class ColdStartBudget:
    """Limits the time for which cold starts exclude latency from evaluation.

    Without a limit, the latency of a version whose backend servers repeatedly
    crash and restart would never be evaluated.
    """

    def __init__(self, started_at: float):
        self._remaining_s = COLD_START_BUDGET_S
        self._updated_at = started_at

    def should_ignore_latency(self, cold: bool, now: float) -> bool:
        """Returns whether to ignore the latency of the interval ending now."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        if not cold:
            self._remaining_s = min(
                COLD_START_BUDGET_S,
                self._remaining_s + elapsed_s * BUDGET_REFILL_FRACTION,
            )
            return False
        self._remaining_s -= elapsed_s
        return self._remaining_s > 0
