"""Selection of the backend server for the next attempt of a call."""

import random
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import calls
from lycheestair.sidecar import members
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import versions as versions_lib

# Cost of sending a request to another failure domain or region, expressed as
# milliseconds of waiting: traffic between them is billed by volume. See
# docs/notes/platform.md.
FAILURE_DOMAIN_COST_MS: Final = 150.0
REGION_COST_MS: Final = 300.0
REGION_COST_MS_PER_BYTE: Final = 0.05
# Fraction of the service time that is added to the cost: a slower backend
# server costs little while no request is queued.
SERVICE_TIME_COST_RATIO: Final = 0.5
REGION_ROUND_TRIP_MS: Final = 45.0
# Multiplied by the failure rate of the member.
FAILURE_COST_MS: Final = 800.0
# Makes unresponsive nodes the last choice.
UNRESPONSIVE_COST_MS: Final = 1_000.0
# Subtracted for a member of the same region to which this node has not sent a
# request yet.
UNTRIED_MEMBER_BONUS_MS: Final = 100.0
# Candidates whose costs differ by less than this are tied. A random one of them
# is selected, so that nodes do not all select the same backend server.
TIE_MARGIN_MS: Final = 5.0


class Balancer:
    """Selects backend servers by version, expected latency and distance."""

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        table: members.MemberTable,
        planner: versions_lib.VersionPlanner,
    ):
        self._settings = settings
        self._table = table
        self._planner = planner

    def choose(
        self, call: calls.Call, excluded: set[ids.NodeId]
    ) -> members.Member | None:
        """Returns the member for the next attempt, or None if none is left.

        Also sets `call.instance` to the backend server of the member.
        """
        by_version: dict[ids.VersionName, list[members.Member]] = {}
        for member in self._table.list_serving(call.service):
            if (
                member.endpoint is not None
                and member.reachable
                and (not member.leaving or member is self._table.own)
            ):
                by_version.setdefault(member.endpoint.version, []).append(
                    member
                )
        shares = self._planner.compute_shares(
            call.service,
            self._table.list_versions(call.service),
        )
        allowed = {v: shares[v] for v in by_version if shares.get(v)}
        if not allowed:
            return None
        selected = _choose_weighted(allowed)
        # If the selected version has no candidates left, only versions with at
        # least the same share replace it, so that a new version never gets more
        # than its share.
        for version in sorted(
            allowed, key=lambda v: (v != selected, -allowed[v])
        ):
            candidates = [
                member
                for member in by_version[version]
                if member.record.node_id not in excluded
            ]
            if candidates and allowed[version] >= allowed[selected]:
                return self._choose_cheapest(call, candidates)
        return None

    def _choose_cheapest(
        self, call: calls.Call, candidates: list[members.Member]
    ) -> members.Member:
        best: list[members.Member] = []
        min_cost_ms = 0.0
        for member in candidates:
            cost_ms = self._estimate_cost_ms(member, len(call.body))
            if not best or cost_ms < min_cost_ms - TIE_MARGIN_MS:
                best, min_cost_ms = [member], cost_ms
            elif cost_ms < min_cost_ms + TIE_MARGIN_MS:
                best.append(member)
        member = random.choice(best)
        assert member.endpoint is not None
        call.instance = member.endpoint.instance
        return member

    def _estimate_cost_ms(
        self, member: members.Member, body_bytes: int
    ) -> float:
        """Returns the cost of sending a request to a member.

        The cost is the expected latency plus penalties for distance and
        failures, in milliseconds.
        """
        endpoint = member.endpoint
        assert endpoint is not None
        # The service time is 0 until the member reports its load. The default
        # is that of a new Admission, INITIAL_SERVICE_TIME_S.
        service_time_ms = member.load.service_time_ms or 150.0
        slots = max(1, endpoint.slots)
        queued = member.outstanding + 1 - slots
        cost_ms = service_time_ms * SERVICE_TIME_COST_RATIO
        if queued > 0:
            cost_ms += queued * service_time_ms / slots
        cost_ms += member.failure_rate * FAILURE_COST_MS
        cost_ms += member.ping_overdue * UNRESPONSIVE_COST_MS
        settings = self._settings
        if member is self._table.own:
            return cost_ms
        if not member.was_tried and member.record.region == settings.region:
            # Prefers a backend server that this node has not tried yet.
            return cost_ms - UNTRIED_MEMBER_BONUS_MS
        if member.record.region != settings.region:
            return (
                cost_ms
                + REGION_COST_MS
                + REGION_ROUND_TRIP_MS
                + body_bytes * REGION_COST_MS_PER_BYTE
            )
        if member.record.failure_domain != settings.failure_domain:
            return cost_ms + FAILURE_DOMAIN_COST_MS
        return cost_ms


def _choose_weighted(
    shares: dict[ids.VersionName, float],
) -> ids.VersionName:
    if len(shares) == 1:
        return next(iter(shares))
    return random.choices(list(shares), list(shares.values()))[0]
