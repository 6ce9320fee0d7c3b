"""Share of each version of a service while it is rolled out."""

from collections.abc import Iterable
import dataclasses
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import evidence as evidence_lib
from lycheestair.sidecar import members
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import settings as settings_lib

# Share of the new version from each part of the order's time on, as a multiple
# of the exposure that the operator allows. The first share lasts long enough
# for faults that show late; what a version that turns bad at the last step has
# had until then stays below that exposure.
SCHEDULE: Final = (
    (0.0, 0.7),
    (0.48, 2.0),
    (0.58, 4.5),
)
# Nearly all, so that the others still show what is not the new version's fault.
LAST_SHARE_AT: Final = 0.66
LAST_SHARE: Final = 0.9
COMPLETE_AT: Final = 0.8
# The old backend servers are stopped at the end, so that their requests need
# this time after the full share; the order's own time goes before it.
MIN_FULL_SHARE_S: Final = 1.0
LATEST_COMPLETE_AT: Final = 0.95
# A version that nobody has ordered gets no requests for this long, while
# others serve: the order may still be on its way.
UNKNOWN_VERSION_S: Final = 3.0


@dataclasses.dataclass(slots=True)
class _Order:
    rollout: rollout_lib.Rollout
    learned_at: float
    bad: str = ""
    evidence: evidence_lib.Evidence = dataclasses.field(
        default_factory=evidence_lib.Evidence
    )


class VersionPlanner:
    """Decides from orders and outcomes which versions get requests.

    Every node computes the same from the same reports, so that no message is
    needed to stop a bad version.
    """

    def __init__(self, bounds: settings_lib.Bounds, table: members.MemberTable):
        self._exposure_share = bounds.exposure_share
        self._table = table
        self._orders: dict[ids.ServiceName, _Order] = {}
        self._seen: dict[tuple[ids.ServiceName, ids.VersionName], float] = {}

    def list_rollouts(self) -> list[tuple[rollout_lib.Rollout, float]]:
        """Returns the known rollouts and the seconds since each was learned."""
        now = clock.read_s()
        return [
            (order.rollout, now - order.learned_at)
            for order in self._orders.values()
        ]

    def take(self, rollout: rollout_lib.Rollout, age_s: float) -> bool:
        """Takes over a rollout; returns whether it is news.

        Args:
          rollout: As the store has it.
          age_s: Time in seconds since the sender learned of the order.
        """
        known = self._orders.get(rollout.service)
        learned_at = clock.read_s() - age_s
        if known is None:
            self._orders[rollout.service] = _Order(rollout, learned_at)
            return True
        if rollout.revision <= known.rollout.revision:
            return False
        same = (
            known.rollout.target == rollout.target
            and known.rollout.created == rollout.created
        )
        # An order for the same version after a final state is a new one.
        if same and known.rollout.state in rollout_lib.FINAL_STATES:
            same = rollout.state in rollout_lib.FINAL_STATES
        if same:
            known.rollout = rollout
            known.learned_at = min(known.learned_at, learned_at)
        else:
            self._orders[rollout.service] = _Order(rollout, learned_at)
        return True

    def find_order(
        self, service: ids.ServiceName
    ) -> rollout_lib.Rollout | None:
        """Returns the rollout of a service."""
        order = self._orders.get(service)
        return order.rollout if order else None

    @property
    def in_rollout(self) -> bool:
        """Whether a rollout is not decided yet."""
        return any(
            order.rollout.state not in rollout_lib.FINAL_STATES
            for order in self._orders.values()
        )

    def read_bad_reason(self, service: ids.ServiceName) -> str:
        """Returns why the new version counts as bad, empty if it does not."""
        order = self._orders.get(service)
        return order.bad if order else ""

    def compute_shares(
        self, service: ids.ServiceName, present: Iterable[ids.VersionName]
    ) -> dict[ids.VersionName, float]:
        """Returns the share of each version that gets requests.

        Args:
          service: The service.
          present: Versions that have a backend server.
        """
        versions = self._select_known(service, set(present))
        order = self._orders.get(service)
        if order is None or len(versions) < 2:
            return self._spread(versions)
        target = order.rollout.target
        others = versions - {target}
        if target not in versions or not others:
            return self._spread(versions)
        share = self._compute_share(order)
        if share >= 1.0:
            return {target: 1.0}
        return {target: share, **self._spread(others, 1.0 - share)}

    def _compute_share(self, order: _Order) -> float:
        state = order.rollout.state
        if state is rollout_lib.RolloutState.COMPLETED:
            return 1.0
        if state is rollout_lib.RolloutState.ROLLED_BACK or order.bad:
            return 0.0
        elapsed = clock.read_s() - order.learned_at
        duration_s = max(0.1, order.rollout.duration_s)
        if elapsed >= find_end_s(duration_s) - MIN_FULL_SHARE_S:
            return 1.0
        part = elapsed / duration_s
        if part >= LAST_SHARE_AT:
            return LAST_SHARE
        multiple = max(m for start, m in SCHEDULE if part >= start)
        return min(1.0, multiple * self._exposure_share)

    @staticmethod
    def _spread(
        versions: Iterable[ids.VersionName], total: float = 1.0
    ) -> dict[ids.VersionName, float]:
        names = sorted(versions)
        return {name: total / len(names) for name in names}

    def _select_known(
        self, service: ids.ServiceName, versions: set[ids.VersionName]
    ) -> set[ids.VersionName]:
        """Leaves out versions that nobody has ordered yet."""
        now = clock.read_s()
        order = self._orders.get(service)
        first = not any(name == service for name, _ in self._seen)
        for version in versions:
            # What serves when the node starts has served before.
            self._seen.setdefault(
                (service, version), now - UNKNOWN_VERSION_S if first else now
            )
        known = {
            version
            for version in versions
            if now - self._seen[service, version] >= UNKNOWN_VERSION_S
            or (order is not None and order.rollout.target == version)
        }
        return known or versions

    def judge(self) -> list[rollout_lib.Rollout]:
        """Compares new versions with old ones; returns those found bad."""
        found = []
        for order in self._orders.values():
            if order.bad or order.rollout.state in rollout_lib.FINAL_STATES:
                continue
            order.bad = self._find_fault(order)
            if order.bad:
                found.append(order.rollout)
        return found

    def _find_fault(self, order: _Order) -> str:
        rollout = order.rollout
        new: dict[ids.RouteName, evidence_lib.Sums] = {}
        others: dict[ids.RouteName, evidence_lib.Sums] = {}
        for member in self._table:
            endpoint = member.endpoint
            if endpoint is None or endpoint.service != rollout.service:
                continue
            if member.order_revision < rollout.created:
                continue
            side = new if endpoint.version == rollout.target else others
            for count in member.counts:
                side.setdefault(count.route, evidence_lib.Sums()).add(count)
        return order.evidence.find_fault(new, others)


def find_end_s(duration_s: float) -> float:
    """Returns when a good version's rollout ends, in seconds from its order."""
    wanted_s = max(
        duration_s * COMPLETE_AT, duration_s * LAST_SHARE_AT + MIN_FULL_SHARE_S
    )
    return min(wanted_s, duration_s * LATEST_COMPLETE_AT)
