"""Rollouts, which the operator orders, and their reported state."""

import dataclasses
import enum
from typing import Any

from lycheestair import ids
from lycheestair.sidecar import revisions


class RolloutState(enum.Enum):
    """Progress of a rollout."""

    ORDERED = "ordered"
    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


FINAL_STATES = frozenset({RolloutState.COMPLETED, RolloutState.ROLLED_BACK})


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """A shift of a service's traffic to a version, ordered by the operator.

    Attributes:
      duration_s: Time in seconds within which it should be completed.
      revision: Revision of the store object; rises with each change.
      created_revision: Revision at which the store object was created.
    """

    service: ids.ServiceName
    target: ids.VersionName
    duration_s: float
    state: RolloutState
    revision: revisions.Revision
    created_revision: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutReport:
    """A rollout and what a node knows of it.

    Attributes:
      age_s: Time in seconds since a node first learned of it.
      bad_reason: Why a node found the new version bad, empty if none did.
      decided: Final state that it reached before the store was restored, None if
        it reached none or the store still has it.
      rejected: Versions of the service whose earlier rollouts were rolled back.
    """

    rollout: Rollout
    age_s: float
    bad_reason: str = ""
    decided: RolloutState | None = None
    rejected: tuple[ids.VersionName, ...] = ()


def encode(report: RolloutReport) -> list[Any]:
    """Encodes a report for another node."""
    rollout = report.rollout
    return [
        rollout.service,
        rollout.target,
        rollout.duration_s,
        rollout.state.value,
        rollout.revision,
        rollout.created_revision,
        report.age_s,
        report.bad_reason,
        report.decided.value if report.decided else None,
        # Nodes of the previous release can't read reports with this field.
        *([list(report.rejected)] if report.rejected else []),
    ]


def decode(fields: list[Any]) -> RolloutReport:
    """Decodes a report of another node.

    Nodes of the previous release send no verdict.

    Raises:
      TypeError, ValueError: The fields are not those of a report.
    """
    (
        service,
        target,
        duration_s,
        state,
        revision,
        created_revision,
        age_s,
        *verdict,
    ) = fields
    bad_reason, decided, *rejected = verdict or ("", None)
    return RolloutReport(
        Rollout(
            service,
            target,
            duration_s,
            RolloutState(state),
            revisions.decode(revision),
            revisions.decode(created_revision),
        ),
        age_s,
        bad_reason,
        RolloutState(decided) if decided else None,
        tuple(
            ids.VersionName(str(version))
            for names in rejected[:1]
            for version in names
        ),
    )
