"""Rollouts, which the operator orders, and their reported state."""

import dataclasses
import enum
from typing import Any

from lycheestair import ids


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
    revision: int
    created_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutReport:
    """A rollout and what a node knows of it.

    Attributes:
      age_s: Time in seconds since a node first learned of it.
      bad_reason: Why a node found the new version bad, empty if none did.
    """

    rollout: Rollout
    age_s: float
    bad_reason: str = ""


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
    ]


def decode(fields: list[Any]) -> RolloutReport:
    """Decodes a report of another node.

    Raises:
      ValueError: The fields are not those of a report.
    """
    (
        service,
        target,
        duration_s,
        state,
        revision,
        created_revision,
        age_s,
        bad_reason,
    ) = fields
    return RolloutReport(
        Rollout(
            service,
            target,
            duration_s,
            RolloutState(state),
            revision,
            created_revision,
        ),
        age_s,
        bad_reason,
    )
