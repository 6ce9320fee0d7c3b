"""Decides whether a call joins the queue of a backend server without free slots.

Answers two loads. When servers are busy but the service is not, a call is sent
back as soon as its entry node would find a shorter queue elsewhere. When the
whole service is overloaded, a call is refused at once unless it can still be
answered in time, or late but soon enough for its client.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
from typing import Final

# Fraction of the remaining time that a request may spend in the queue if it
# can't meet its latency objective. A late response is worth less than a timely
# one, but more than a refusal.
LATE_WAIT_RATIO: Final = 0.3
# Fraction of the remaining time that a dependency call may spend in the queue. The
# request that made it has run already, and needs the rest to finish.
DEPENDENCY_WAIT_RATIO: Final = 0.4
# Minimum time that a request may queue if it can still meet its objective, so
# that small load variations don't cause refusals.
MIN_QUEUE_TIME_S: Final = 0.03


# Limits the effect of preceding calls: there is some capacity left for the rest.
MAX_PRECEDING_SHARE: Final = 0.8


class Decision(enum.Enum):
    """What happens to a call that finds no free slot."""

    QUEUE = "queue"
    # Another backend server is expected to be faster.
    TRY_ANOTHER = "try another"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A call that finds no free slot; times are in seconds.

    Attributes:
      wait_s: Expected time until it gets a slot.
      slack_s: Time that it may wait and still meet its latency objective,
        negative if it can't meet it.
      remaining_s: Time until its deadline.
      max_wait_s: Expected wait beyond which its entry node prefers another
        server, None if there is none.
      is_dependency: Whether it is a dependency call, which is useful until its
        deadline.
    """

    wait_s: float
    slack_s: float
    remaining_s: float
    max_wait_s: float | None = None
    is_dependency: bool = False

    @property
    def late(self) -> bool:
        """Whether it can't meet its latency objective."""
        return self.slack_s < 0 and not self.is_dependency

    @property
    def max_queue_time_s(self) -> float:
        """Time in the queue after which the call is refused."""
        if self.is_dependency:
            return max(
                MIN_QUEUE_TIME_S, self.remaining_s * DEPENDENCY_WAIT_RATIO
            )
        late_limit_s = self.remaining_s * LATE_WAIT_RATIO
        if self.late:
            return late_limit_s
        # Calls of a higher priority may delay the call beyond its objective,
        # but not until its client has timed out.
        return max(self.slack_s, MIN_QUEUE_TIME_S, late_limit_s)


def predict_start_s(
    running_s: Sequence[float], ahead_s: Iterable[float]
) -> float:
    """Returns the expected time until a call gets a slot.

    Args:
      running_s: Expected slot times of the calls that hold the slots.
      ahead_s: Expected slot times of the calls that go before.
    """
    slots = len(running_s)
    return (sum(running_s) / slots + sum(ahead_s)) / slots


def extend_wait_s(wait_s: float, preceding_share: float) -> float:
    """Adds the calls that take precedence and arrive during a wait.

    Args:
      wait_s: Time until a call could start if no call arrived meanwhile.
      preceding_share: Share of the calls that take precedence.
    """
    return wait_s / (1.0 - min(MAX_PRECEDING_SHARE, preceding_share))


def decide(arrival: Arrival) -> Decision:
    """Decides whether a call waits for a slot."""
    if arrival.max_wait_s is not None and arrival.wait_s > arrival.max_wait_s:
        return Decision.TRY_ANOTHER
    limit_s = (
        arrival.max_queue_time_s
        if arrival.late or arrival.is_dependency
        else max(MIN_QUEUE_TIME_S, arrival.slack_s)
    )
    return Decision.REFUSE if arrival.wait_s > limit_s else Decision.QUEUE
