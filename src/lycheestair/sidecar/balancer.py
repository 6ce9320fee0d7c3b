"""Selection of the backend server for the next attempt of a call.

Answers two loads: a service with many backend servers, of which only some are
examined for each attempt, and overload, in which many nodes with reports of
different ages must not all select the same server.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import itertools
import math
import random
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import calls
from lycheestair.sidecar import members
from lycheestair.sidecar import suspects
from lycheestair.sidecar import trials
from lycheestair.sidecar import versions as versions_lib
from lycheestair.sidecar.overload import work
from lycheestair.sidecar.placement import slowdown
from lycheestair.sidecar.places import evacuations as evacuations_lib
from lycheestair.sidecar.places import regions as regions_lib

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
# If the failure domain has this many backend servers of the service, the nodes
# there try new ones, so that nodes of other domains needn't.
MIN_SERVERS_FOR_LOCAL_TRIAL: Final = 4
# Candidates whose costs differ by less than this are tied. A random one of them
# is selected, so that nodes do not all select the same backend server.
TIE_MARGIN_MS: Final = 5.0
# Candidates that are examined in each tier, beginning at a random one.
MAX_EXAMINED: Final = 16
# Least time in the queue that a call accepts. Shorter waits don't justify another
# attempt.
MIN_WAIT_LIMIT_MS: Final = 30.0


class Balancer:
    """Selects backend servers by version, expected latency and distance.

    The candidates form tiers by distance. A tier is examined only if a server
    there could cost less than the best one found so far.
    """

    def __init__(
        self,
        table: members.MemberTable,
        planner: versions_lib.VersionPlanner,
        generator: random.Random,
        evacuations: evacuations_lib.Evacuations | None = None,
    ):
        self._evacuations = evacuations or evacuations_lib.Evacuations()
        self._table = table
        self._planner = planner
        self._generator = generator

    def choose(
        self, call: calls.Call, excluded: set[ids.NodeId], now: float
    ) -> members.Member | None:
        """Returns the member for the next attempt, or None if none is left.

        Also sets `call.instance` to the backend server of the member, and
        `call.max_wait_s` to the time in its queue for which it is still expected
        to be the best one. Load reports are old when they are used, so that the
        member may find a longer queue.
        """
        shares = self._planner.compute_shares(
            call.service, self._table.list_versions(call.service)
        )
        allowed = {
            version: share
            for version, share in shares.items()
            if share
            and any(self.iterate_usable(call.service, version, call.regions))
        }
        if not allowed:
            return None
        selected = self._choose_version(allowed)
        # If the selected version has no candidates left, only versions with at
        # least the same share replace it, so that a new version never gets more
        # than its share.
        for version in sorted(
            allowed, key=lambda v: (v != selected, -allowed[v])
        ):
            if allowed[version] < allowed[selected]:
                continue
            member = self._choose_cheapest(call, version, excluded, now)
            if member is not None:
                return member
        return None

    def choose_tester(
        self, call: calls.Call, fingerprint: suspects.Fingerprint
    ) -> members.Member | None:
        """Returns the member for the trial of a request, None if there is none.

        All nodes return the same one if they know the same members. Also sets
        `call.instance`.
        """
        shares = self._planner.compute_shares(
            call.service, self._table.list_versions(call.service)
        )
        for version in sorted(shares, key=lambda v: (-shares[v], v)):
            if not shares[version]:
                break
            member = trials.select_tester(
                fingerprint,
                self.iterate_usable(call.service, version, call.regions),
            )
            if member is not None and member.endpoint is not None:
                call.instance = member.endpoint.instance
                call.max_wait_s = None
                return member
        return None

    def is_tester(
        self, fingerprint: suspects.Fingerprint, regions: calls.Regions = None
    ) -> bool:
        """Returns whether this node would select itself for a trial.

        Args:
          fingerprint: Fingerprint of the request.
          regions: Regions in which the request may be served.
        """
        own = self._table.own
        if own.endpoint is None:
            return False
        candidates = self.iterate_usable(
            own.endpoint.service, own.endpoint.version, regions
        )
        return trials.select_tester(fingerprint, candidates) is own

    def _choose_version(
        self, shares: dict[ids.VersionName, float]
    ) -> ids.VersionName:
        if len(shares) == 1:
            return next(iter(shares))
        return self._generator.choices(list(shares), list(shares.values()))[0]

    def iterate_usable(
        self,
        service: ids.ServiceName,
        version: ids.VersionName,
        regions: calls.Regions = None,
    ) -> Iterator[members.Member]:
        """Returns the members that may get requests for a version."""
        return (
            member
            for member in self._table.list_serving(service, version)
            if self._is_usable(member, regions)
        )

    def _is_usable(
        self, member: members.Member, regions: calls.Regions
    ) -> bool:
        return (
            member.reachable
            and (not member.leaving or member is self._table.own)
            and regions_lib.allows(regions, member.record.region)
            and not self._evacuations.contains(member.record.failure_domain)
        )

    def _choose_cheapest(
        self,
        call: calls.Call,
        version: ids.VersionName,
        excluded: set[ids.NodeId],
        now: float,
    ) -> members.Member | None:
        tiers = self._table.list_serving_by_distance(call.service, version)
        tries_remote = len(tiers[0]) < MIN_SERVERS_FOR_LOCAL_TRIAL
        best: list[members.Member] = []
        min_cost_ms = next_cost_ms = math.inf
        # The lowest cost of a member of each tier.
        bounds_ms = (
            -UNTRIED_MEMBER_BONUS_MS,
            -UNTRIED_MEMBER_BONUS_MS
            if tries_remote
            else FAILURE_DOMAIN_COST_MS,
            REGION_COST_MS + REGION_ROUND_TRIP_MS,
        )
        if not regions_lib.allows(call.regions, self._table.own.record.region):
            # Nearly all members may be in the tiers of this region.
            tiers = ([], [], tiers[2])
        for tier, bound_ms in zip(tiers, bounds_ms, strict=True):
            if min_cost_ms + TIE_MARGIN_MS <= bound_ms:
                next_cost_ms = min(next_cost_ms, bound_ms)
                break
            for member in self._select_examined(tier, excluded, call.regions):
                cost_ms = self._estimate_cost_ms(
                    member, len(call.body), tries_remote, now
                )
                if cost_ms < min_cost_ms - TIE_MARGIN_MS:
                    next_cost_ms = min_cost_ms
                    best, min_cost_ms = [member], cost_ms
                elif cost_ms < min_cost_ms + TIE_MARGIN_MS:
                    best.append(member)
                else:
                    next_cost_ms = min(next_cost_ms, cost_ms)
        if not best:
            return None
        if len(best) > 1:
            next_cost_ms = min_cost_ms
        member = self._generator.choice(best)
        assert member.endpoint is not None
        call.instance = member.endpoint.instance
        call.max_wait_s = None
        if next_cost_ms < math.inf:
            queue_time_ms = _estimate_queue_time_ms(member, now)
            max_queue_time_ms = next_cost_ms - min_cost_ms + queue_time_ms
            call.max_wait_s = max(MIN_WAIT_LIMIT_MS, max_queue_time_ms) / 1000
        return member

    def _select_examined(
        self,
        tier: Sequence[members.Member],
        excluded: set[ids.NodeId],
        regions: calls.Regions,
    ) -> Iterator[members.Member]:
        start = 0
        if len(tier) > MAX_EXAMINED:
            start = self._generator.randrange(len(tier))
        return itertools.islice(
            (
                member
                for member in itertools.chain(tier[start:], tier[:start])
                if self._is_usable(member, regions)
                and member.record.node_id not in excluded
            ),
            MAX_EXAMINED,
        )

    def _estimate_cost_ms(
        self,
        member: members.Member,
        body_bytes: int,
        tries_remote: bool,
        now: float,
    ) -> float:
        """Returns the cost of sending a request to a member.

        The cost is the expected latency plus penalties for distance and
        failures, in milliseconds.
        """
        cost_ms = (
            _get_service_time_ms(member, now) * SERVICE_TIME_COST_RATIO
            + _estimate_queue_time_ms(member, now)
            + member.ping_overdue * UNRESPONSIVE_COST_MS
        )
        if member.has_failures:
            cost_ms += member.failure_rate * FAILURE_COST_MS
        if member is self._table.own:
            return cost_ms
        own = self._table.own.record
        is_local = member.record.failure_domain == own.failure_domain
        if (
            not member.was_tried
            and member.record.region == own.region
            and (is_local or tries_remote)
        ):
            return cost_ms - UNTRIED_MEMBER_BONUS_MS
        if is_local:
            return cost_ms
        if member.record.region != own.region:
            return (
                cost_ms
                + REGION_COST_MS
                + REGION_ROUND_TRIP_MS
                + body_bytes * REGION_COST_MS_PER_BYTE
            )
        return cost_ms + FAILURE_DOMAIN_COST_MS


def _get_service_time_ms(member: members.Member, now: float) -> float:
    """Returns the time that an average request takes there now."""
    load = member.load
    # The service time is 0 until the member reports its load. The default is
    # that of a new Admission.
    service_time_ms = load.service_time_ms or work.INITIAL_WORK_S * 1000
    if load.slowdown_percent == members.USUAL_SLOWDOWN_PERCENT:
        return service_time_ms
    percent = slowdown.decay(load.slowdown_percent, now - load.slowdown_at)
    return service_time_ms * percent / members.USUAL_SLOWDOWN_PERCENT


def _estimate_queue_time_ms(member: members.Member, now: float) -> float:
    assert member.endpoint is not None
    slots = member.endpoint.slots or 1
    queued = member.outstanding + 1 - slots
    if queued <= 0:
        return 0.0
    return queued * _get_service_time_ms(member, now) / slots
