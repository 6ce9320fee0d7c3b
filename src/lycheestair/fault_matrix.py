"""Fault matrix: a cell for each fault at each injection point."""

from collections.abc import Iterator
import dataclasses
import enum
import itertools
from typing import Final

from lycheestair import injection


class Fault(enum.Enum):
    """Faults that are applied while a node waits at an injection point."""

    KILLED = "process killed"
    PAUSED = "process paused past its lease"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    ANSWER_LOST = "answer lost after the write"
    STALE_READS = "stale store reads"
    WATCH_EXPIRED = "watch broken and too old"
    CUT_BOTH_WAYS = "link cut both ways"
    CUT_ONE_WAY = "link cut one way"
    LINK_SLOW = "link slow"
    MESSAGES_REORDERED = "messages crossed"
    HERD_RESTART = "herd restart"
    BAD_VERSION = "bad version"
    CRASHING_REQUEST = "crashing request"
    RACING_OPERATORS = "racing operators"


class Trigger(enum.Enum):
    """What the cell runner does so that a node reaches an injection point."""

    APPLY_NOTE = "apply a note"
    GOOD_MOVE = "move to a good version"
    BAD_MOVE = "move to a bad version"
    TRAFFIC = "requests"
    RESTART_NODE = "restart a node gracefully"
    KILL_LEASE_HOLDER = "kill the holder of a lease"
    PAUSE_LEASE_HOLDER = "pause the holder of a lease"


_P: Final = injection.Point

TRIGGERS: Final[dict[injection.Point, Trigger]] = {
    _P.NOTE_SUBMITTED: Trigger.APPLY_NOTE,
    _P.NOTE_COMPILED: Trigger.APPLY_NOTE,
    _P.NOTE_ACCEPTED: Trigger.APPLY_NOTE,
    _P.CONFIGURATION_FETCHED: Trigger.APPLY_NOTE,
    _P.CONFIGURATION_PUSHED: Trigger.APPLY_NOTE,
    _P.CONFIGURATION_ACTIVATED: Trigger.APPLY_NOTE,
    _P.MOVE_PLANNED: Trigger.GOOD_MOVE,
    _P.MOVE_STEPPED: Trigger.GOOD_MOVE,
    _P.MOVE_JUDGED: Trigger.GOOD_MOVE,
    _P.MOVE_DONE: Trigger.GOOD_MOVE,
    _P.MOVE_TAKEN_BACK: Trigger.BAD_MOVE,
    _P.REQUEST_RECEIVED: Trigger.TRAFFIC,
    _P.REQUEST_ROUTED: Trigger.TRAFFIC,
    _P.REQUEST_ADMITTED: Trigger.TRAFFIC,
    _P.REQUEST_SENT: Trigger.TRAFFIC,
    _P.REQUEST_ANSWERED: Trigger.TRAFFIC,
    _P.REQUEST_RECORDED: Trigger.TRAFFIC,
    _P.NODE_STARTING: Trigger.RESTART_NODE,
    _P.NODE_SERVING: Trigger.RESTART_NODE,
    _P.NODE_DRAINING: Trigger.RESTART_NODE,
    _P.NODE_LEAVING: Trigger.RESTART_NODE,
    _P.LEASE_TAKEN: Trigger.KILL_LEASE_HOLDER,
    _P.LEASE_RENEWED: Trigger.TRAFFIC,
    _P.LEASE_LOST: Trigger.PAUSE_LEASE_HOLDER,
}


@dataclasses.dataclass(frozen=True)
class Cell:
    """One injection point with the faults that are applied there."""

    point: injection.Point
    faults: tuple[Fault, ...]

    @property
    def name(self) -> str:
        """Name for reports."""
        faults = " + ".join(fault.value for fault in self.faults)
        return f"{self.point.value}: {faults}"

    @property
    def impossible_reason(self) -> str:
        """Reason why the cell can't occur, empty if it can."""
        if (
            Fault.BAD_VERSION in self.faults
            and TRIGGERS[self.point] is Trigger.GOOD_MOVE
            and self.point is injection.Point.MOVE_DONE
        ):
            return "a move to a bad version never completes"
        return ""


def list_cells() -> Iterator[Cell]:
    """Yields a cell for each injection point and fault."""
    return (
        Cell(point, (fault,))
        for point, fault in itertools.product(TRIGGERS, Fault)
    )


def list_pair_cells() -> Iterator[Cell]:
    """Yields a cell for each injection point and pair of faults."""
    return (
        Cell(point, pair)
        for point, pair in itertools.product(
            TRIGGERS, itertools.combinations(Fault, 2)
        )
    )
