"""Traffic share of each version of a service during a rollout."""

import collections
from collections.abc import Iterable
import dataclasses
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import evidence as evidence_lib
from lycheestair.sidecar import exposure
from lycheestair.sidecar import members
from lycheestair.sidecar import revisions
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import settings as settings_lib

# A new version without a rollout gets no requests for this long while other
# versions serve: the rollout may not have arrived at this node yet.
VERSION_WITHOUT_ROLLOUT_DELAY_S: Final = 3.0
# States of rollouts that are remembered. A copy of the store is seconds old, and a
# rollout has a few states.
MAX_EARLIER_STATES: Final = 256
# Rolled-back versions of a service that are remembered, the latest ones. Their
# servers leave some seconds after the rollback.
MAX_REJECTED_VERSIONS: Final = 8

# Service, target and revision number of a state of a rollout.
_RolloutStateId = tuple[ids.ServiceName, ids.VersionName, int]


@dataclasses.dataclass(slots=True)
class _TrackedRollout:
    """A rollout and what this node knows of it.

    Attributes:
      learned_at: Time in seconds at which a node first learned of it.
      first_revision: Revision at which this node first knew it. Reports of
        earlier ones may belong to an earlier rollout to the same version.
      bad: Why the new version was found bad, empty if it was not.
      decided: Final state that it reached before the store was restored.
      rejected: Versions whose earlier rollouts were rolled back, in their order.
        They get no requests while another version serves.
    """

    rollout: rollout_lib.Rollout
    learned_at: float
    first_revision: revisions.Revision
    bad: str = ""
    decided: rollout_lib.RolloutState | None = None
    rejected: tuple[ids.VersionName, ...] = ()
    evidence: evidence_lib.Evidence = dataclasses.field(
        default_factory=evidence_lib.Evidence
    )
    increments: evidence_lib.IncrementReader = dataclasses.field(
        default_factory=evidence_lib.IncrementReader
    )

    @property
    def state(self) -> rollout_lib.RolloutState:
        """State that applies, which the store may have lost."""
        return self.decided or self.rollout.state

    @property
    def is_rejected(self) -> bool:
        """Whether the new version was rolled back or is about to be."""
        if self.state in rollout_lib.FINAL_STATES:
            return self.state is rollout_lib.RolloutState.ROLLED_BACK
        return bool(self.bad)

    def merge_rejected(self, versions: Iterable[ids.VersionName]) -> bool:
        """Adds versions that another node rejects; returns whether any is news.

        None is dropped for them, so that nodes don't exchange them for ever.
        """
        known = {*self.rejected, self.rollout.target}
        added = tuple(v for v in versions if v not in known)
        merged = (*self.rejected, *added)[:MAX_REJECTED_VERSIONS]
        is_news = merged != self.rejected
        self.rejected = merged
        return is_news


class VersionPlanner:
    """Computes which versions get requests, from rollouts and their outcomes.

    All nodes compute the same result from the same status reports, so no
    message is needed to stop a bad version.
    """

    def __init__(self, bounds: settings_lib.Bounds, table: members.MemberTable):
        self._bounds = bounds
        self._table = table
        self._rollouts: dict[ids.ServiceName, _TrackedRollout] = {}
        # Latest states of rollouts, to recognize them after a restore.
        self._earlier: collections.deque[_RolloutStateId] = collections.deque(
            maxlen=MAX_EARLIER_STATES
        )
        self._first_seen: dict[
            tuple[ids.ServiceName, ids.VersionName], float
        ] = {}

    def list_rollouts(self) -> list[rollout_lib.RolloutReport]:
        """Returns the known rollouts."""
        now = clock.read_s()
        return [
            rollout_lib.RolloutReport(
                tracked.rollout,
                now - tracked.learned_at,
                tracked.bad,
                tracked.decided,
                tracked.rejected,
            )
            for tracked in self._rollouts.values()
        ]

    def update_rollout(self, report: rollout_lib.RolloutReport) -> bool:
        """Applies a report of a rollout; returns whether it was news.

        The verdict of one node binds all others, which may not have seen the
        same evidence yet.
        """
        rollout = report.rollout
        is_newer = self._apply_newer(rollout, report.age_s)
        known = self._rollouts[rollout.service]
        if (
            known.rollout.target != rollout.target
            or known.rollout.created_revision != rollout.created_revision
            or rollout.revision < known.first_revision
        ):
            return is_newer
        learns_decision = report.decided is not None and known.decided is None
        if learns_decision:
            known.decided = report.decided
        learns_verdict = bool(
            report.bad_reason
            and not known.bad
            and known.state not in rollout_lib.FINAL_STATES
        )
        if learns_verdict:
            known.bad = report.bad_reason
        learns_rejection = known.merge_rejected(report.rejected)
        return is_newer or learns_decision or learns_verdict or learns_rejection

    def _apply_newer(self, rollout: rollout_lib.Rollout, age_s: float) -> bool:
        known = self._rollouts.get(rollout.service)
        learned_at = clock.read_s() - age_s
        if known is None:
            self._start_tracking(rollout, learned_at)
            return True
        if rollout.revision <= known.rollout.revision:
            return False
        if rollout.revision.era > known.rollout.revision.era:
            return self._apply_after_restore(known, rollout, learned_at)
        self._remember(rollout)
        is_update = (
            known.rollout.target == rollout.target
            and known.rollout.created_revision == rollout.created_revision
        )
        # An object that leaves a final state describes a new rollout, even to
        # the same version.
        if is_update and known.rollout.state in rollout_lib.FINAL_STATES:
            is_update = rollout.state in rollout_lib.FINAL_STATES
        if is_update:
            known.rollout = rollout
            known.learned_at = min(known.learned_at, learned_at)
        else:
            self._start_tracking(rollout, learned_at)
        return True

    def _start_tracking(
        self, rollout: rollout_lib.Rollout, learned_at: float
    ) -> None:
        tracked = _TrackedRollout(rollout, learned_at, rollout.revision)
        previous = self._rollouts.get(rollout.service)
        if previous is not None:
            rejected = previous.rejected
            if previous.is_rejected:
                rejected = (*rejected, previous.rollout.target)
            tracked.merge_rejected(rejected[-MAX_REJECTED_VERSIONS:])
            # What members report now belongs to the previous rollout.
            for member in self._table:
                tracked.increments.read(member)
        self._rollouts[rollout.service] = tracked
        self._remember(rollout)

    def _remember(self, rollout: rollout_lib.Rollout) -> None:
        self._earlier.append(_identify_state(rollout))

    def _apply_after_restore(
        self,
        known: _TrackedRollout,
        rollout: rollout_lib.Rollout,
        learned_at: float,
    ) -> bool:
        """Applies a rollout of a store that was restored from a copy.

        The copy may hold earlier states of the known rollout, or rollouts before
        it. The operator writes again what the copy lacks. So a rollout to the
        known version is the known one, and keeps what was decided about it.
        """
        if rollout.target != known.rollout.target:
            if (
                rollout.state in rollout_lib.FINAL_STATES
                or _identify_state(rollout) in self._earlier
            ):
                return False
            self._start_tracking(rollout, learned_at)
            return True
        if known.state in rollout_lib.FINAL_STATES:
            known.decided = known.state
        known.rollout = rollout
        known.learned_at = min(known.learned_at, learned_at)
        self._remember(rollout)
        return True

    def find_rollout(
        self, service: ids.ServiceName
    ) -> rollout_lib.Rollout | None:
        """Returns the rollout of a service, None if there is none."""
        tracked = self._rollouts.get(service)
        return tracked.rollout if tracked else None

    @property
    def in_rollout(self) -> bool:
        """Whether any rollout is still in progress."""
        return any(
            tracked.state not in rollout_lib.FINAL_STATES
            for tracked in self._rollouts.values()
        )

    @property
    def is_critical(self) -> bool:
        """Whether a fault of a new version must be found within tenths of a second."""
        now = clock.read_s()
        return any(
            not tracked.bad
            and tracked.rollout.state not in rollout_lib.FINAL_STATES
            and exposure.is_critical(
                now - tracked.learned_at, tracked.rollout.duration_s
            )
            for tracked in self._rollouts.values()
        )

    def get_bad_reason(self, service: ids.ServiceName) -> str:
        """Returns why the new version was found bad, empty if it was not."""
        tracked = self._rollouts.get(service)
        return tracked.bad if tracked else ""

    def compute_shares(
        self, service: ids.ServiceName, available: Iterable[ids.VersionName]
    ) -> dict[ids.VersionName, float]:
        """Returns the traffic share of each version that gets requests.

        Args:
          service: Service that the versions belong to.
          available: Versions with at least one serving backend server.
        """
        versions = self._exclude_without_rollout(service, set(available))
        tracked = self._rollouts.get(service)
        if tracked is not None:
            versions = versions.difference(tracked.rejected) or versions
        if tracked is None or len(versions) < 2:
            return self._split_evenly(versions)
        target = tracked.rollout.target
        others = versions - {target}
        if target not in versions or not others:
            return self._split_evenly(versions)
        share = self._compute_target_share(tracked)
        if share >= 1.0:
            return {target: 1.0}
        return {target: share, **self._split_evenly(others, 1.0 - share)}

    def _compute_target_share(self, tracked: _TrackedRollout) -> float:
        state = tracked.state
        if state is rollout_lib.RolloutState.COMPLETED:
            return 1.0
        if tracked.is_rejected:
            return 0.0
        evidence = tracked.evidence
        return exposure.compute_share(
            exposure.RolloutProgress(
                clock.read_s() - tracked.learned_at,
                max(0.1, tracked.rollout.duration_s),
                evidence.new_answers,
                evidence.all_answers,
            ),
            self._bounds,
        )

    @staticmethod
    def _split_evenly(
        versions: Iterable[ids.VersionName], total: float = 1.0
    ) -> dict[ids.VersionName, float]:
        names = sorted(versions)
        return {name: total / len(names) for name in names}

    def _exclude_without_rollout(
        self, service: ids.ServiceName, versions: set[ids.VersionName]
    ) -> set[ids.VersionName]:
        """Leaves out recently added versions that have no rollout yet."""
        now = clock.read_s()
        tracked = self._rollouts.get(service)
        is_first_evaluation = not any(
            name == service for name, _ in self._first_seen
        )
        for version in versions:
            # Versions found when the node starts were in service before.
            self._first_seen.setdefault(
                (service, version),
                now - VERSION_WITHOUT_ROLLOUT_DELAY_S
                if is_first_evaluation
                else now,
            )
        eligible = {
            version
            for version in versions
            if now - self._first_seen[service, version]
            >= VERSION_WITHOUT_ROLLOUT_DELAY_S
            or (tracked is not None and tracked.rollout.target == version)
        }
        return eligible or versions

    def detect_bad_versions(self) -> list[rollout_lib.Rollout]:
        """Evaluates new versions; returns rollouts newly found to be bad."""
        bad_rollouts = []
        for tracked in self._rollouts.values():
            if tracked.bad or tracked.state in rollout_lib.FINAL_STATES:
                continue
            tracked.bad = self._find_fault(tracked)
            if tracked.bad:
                bad_rollouts.append(tracked.rollout)
        return bad_rollouts

    def _find_fault(self, tracked: _TrackedRollout) -> str:
        rollout = tracked.rollout
        new: list[members.RouteCount] = []
        others: list[members.RouteCount] = []
        for member in self._table:
            endpoint = member.endpoint
            if endpoint is None or endpoint.service != rollout.service:
                continue
            if member.rollout_created_revision < rollout.created_revision:
                continue
            side = new if endpoint.version == rollout.target else others
            side.extend(tracked.increments.read(member))
        tracked.evidence.add(new, others)
        return tracked.evidence.find_fault()


def _identify_state(rollout: rollout_lib.Rollout) -> _RolloutStateId:
    """Returns what a state keeps when the store is restored."""
    return rollout.service, rollout.target, rollout.revision.number
