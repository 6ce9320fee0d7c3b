"""Choice of the backend server for the next attempt of a call."""

import random
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import calls
from lycheestair.sidecar import members
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import versions as versions_lib

# What a request costs on a way beside its time, as milliseconds of waiting:
# links between failure domains and regions are paid by volume. From the trials
# in docs/notes/platform.md.
ZONE_COST_MS: Final = 150.0
REGION_COST_MS: Final = 300.0
REGION_COST_MS_PER_BYTE: Final = 0.05
# A backend server that is only slower costs little as long as none waits.
SERVICE_WEIGHT: Final = 0.5
REGION_ROUND_TRIP_MS: Final = 45.0
FAILURE_COST_MS: Final = 800.0
# A node that owes a sign of life is chosen last.
SILENCE_COST_MS: Final = 1_000.0
NEW_MEMBER_BONUS_MS: Final = 100.0
# Loads within this are alike; one of them is chosen at random, so that all
# nodes don't choose the same.
SPREAD_MS: Final = 5.0


class Balancer:
    """Chooses by version, expected time and distance."""

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
        """Returns the member for the next attempt, None if none is left."""
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
        drawn = _choose_weighted(allowed)
        # A version whose backend servers have no room is replaced by one with
        # a larger share only: a new version gets no more than its share.
        for version in sorted(allowed, key=lambda v: (v != drawn, -allowed[v])):
            candidates = [
                member
                for member in by_version[version]
                if member.record.node_id not in excluded
            ]
            if candidates and allowed[version] >= allowed[drawn]:
                return self._choose_nearest(call, candidates)
        return None

    def _choose_nearest(
        self, call: calls.Call, candidates: list[members.Member]
    ) -> members.Member:
        best: list[members.Member] = []
        best_ms = 0.0
        for member in candidates:
            cost_ms = self._estimate_ms(member, len(call.body))
            if not best or cost_ms < best_ms - SPREAD_MS:
                best, best_ms = [member], cost_ms
            elif cost_ms < best_ms + SPREAD_MS:
                best.append(member)
        member = random.choice(best)
        assert member.endpoint is not None
        call.instance = member.endpoint.instance
        return member

    def _estimate_ms(self, member: members.Member, size: int) -> float:
        """Returns the expected time of a request at a member, and its cost."""
        endpoint = member.endpoint
        assert endpoint is not None
        service_ms = member.load.service_ms or 150.0
        slots = max(1, endpoint.slots)
        excess = member.outstanding + 1 - slots
        cost = service_ms * SERVICE_WEIGHT
        if excess > 0:
            cost += excess * service_ms / slots
        cost += member.failure_share * FAILURE_COST_MS
        cost += member.silent * SILENCE_COST_MS
        own = self._settings
        if member is self._table.own:
            return cost
        if not member.tried and member.record.region == own.region:
            # Shows early what a new backend server is worth.
            return cost - NEW_MEMBER_BONUS_MS
        if member.record.region != own.region:
            return (
                cost
                + REGION_COST_MS
                + REGION_ROUND_TRIP_MS
                + size * REGION_COST_MS_PER_BYTE
            )
        if member.record.failure_domain != own.failure_domain:
            return cost + ZONE_COST_MS
        return cost


def _choose_weighted(
    shares: dict[ids.VersionName, float],
) -> ids.VersionName:
    if len(shares) == 1:
        return next(iter(shares))
    return random.choices(list(shares), list(shares.values()))[0]
