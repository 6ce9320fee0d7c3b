"""Rollouts as the operator orders them and the system reports them."""

import dataclasses
import enum

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
    """Traffic of a service that is to move to a version.

    Attributes:
      duration_s: Time from the order in which it should be completed.
      revision: Revision of the store object; later ones are larger.
      created: Revision at which the object was created.
    """

    service: ids.ServiceName
    target: ids.VersionName
    duration_s: float
    state: RolloutState
    revision: int
    created: int
