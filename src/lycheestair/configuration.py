"""The active configuration of a node."""

from collections.abc import Callable
import threading

from lycheestair import snapshot as snapshot_lib


class ActiveConfiguration:
    """Holds the active snapshot, whose generation never decreases.

    Attributes:
      current: Active snapshot. It can be read without a lock because it is
        only ever replaced as a whole.
    """

    def __init__(self) -> None:
        self.current: snapshot_lib.Snapshot = snapshot_lib.EMPTY
        self._lock = threading.Lock()
        self._listeners: list[Callable[[snapshot_lib.Snapshot], None]] = []

    def subscribe(
        self, listener: Callable[[snapshot_lib.Snapshot], None]
    ) -> None:
        """Registers a callback that runs before each new snapshot is activated.

        Listeners run while the lock is held, in the order of subscription. An
        exception in one of them prevents the activation, so each listener has
        to build its state without side effects and then publish it by
        replacing a single reference.
        """
        with self._lock:
            self._listeners.append(listener)

    def activate(self, snapshot: snapshot_lib.Snapshot) -> bool:
        """Activates a snapshot if it is newer than the active one.

        Returns:
          Whether the snapshot was activated.

        Raises:
          InvalidSnapshotError: The snapshot has dangling references or invalid
            sums of shares.
        """
        if snapshot.generation <= self.current.generation:
            return False
        inconsistencies = snapshot_lib.find_dangling_references(snapshot)
        if inconsistencies:
            raise snapshot_lib.InvalidSnapshotError("; ".join(inconsistencies))
        with self._lock:
            if snapshot.generation <= self.current.generation:
                return False
            for listener in self._listeners:
                listener(snapshot)
            self.current = snapshot
            return True
