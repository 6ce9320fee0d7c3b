"""Keeps refused requests in the store, for a restart of all nodes.

Peers tell a restarted node which requests crash backend servers, but forget it when
all of them restart. One node writes the suspects on behalf of the others, so that the
number of store calls doesn't grow with the number of nodes.
"""

import threading
from typing import Any
from typing import Final

from absl import logging

from lycheestair import member_table
from lycheestair import members as members_lib
from lycheestair import store as store_lib
from lycheestair import suspects as suspects_lib

SUSPECT_KIND: Final = "suspects"
OBJECT_NAME: Final = "all"
# Bounds the size of the object.
MAX_RECORDS: Final = 1_000
WRITE_PERIOD_S: Final = 0.5
# Raised when a stored value is not what a node writes.
_MALFORMED: Final = (KeyError, OverflowError, TypeError, ValueError)


class SuspectRecords:
    """Restores the suspects of a node and writes those of the fleet.

    The live member with the lowest id writes. Conditional writes keep what
    several writers know while they disagree on the members.
    """

    def __init__(
        self,
        store: store_lib.Store,
        table: suspects_lib.SuspectTable,
        membership: members_lib.Membership,
    ):
        self._store = store
        self._table = table
        self._membership = membership
        self._version = 0
        self._stored: frozenset[suspects_lib.Suspect] = frozenset()
        self._is_restored = False
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="suspect-records", daemon=True
        )

    def start(self) -> None:
        """Starts the periodic writes."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the periodic writes."""
        self._stopped.set()

    def restore(self) -> bool:
        """Adds the stored suspects to those of this node.

        Returns:
          Whether the store answered.
        """
        try:
            self._apply(self._store.get(SUSPECT_KIND, OBJECT_NAME))
        except store_lib.StoreUnavailableError as error:
            logging.warning("cannot read the stored suspects: %s", error)
            return False
        self._is_restored = True
        return True

    def write_changes(self) -> None:
        """Writes the suspects unless the store has them.

        Raises:
          StoreUnavailableError: The store did not respond.
          ValueTooLargeError: The store refuses objects of this size.
        """
        current = self._select_records()
        if current == self._stored:
            return
        outcome = self._store.put(
            SUSPECT_KIND,
            OBJECT_NAME,
            [_encode(suspect) for suspect in current],
            self._version,
        )
        if isinstance(outcome, store_lib.Conflict):
            self._apply(outcome.current)
            return
        self._version = outcome.version
        self._stored = current

    def _select_records(self) -> frozenset[suspects_lib.Suspect]:
        """Returns the refused suspects, those with the latest crashes first."""
        refused = sorted(
            filter(self._table.is_refused, self._table.read_all()),
            key=lambda suspect: -suspect.last_crash_at,
        )
        return frozenset(refused[:MAX_RECORDS])

    def _apply(self, stored: store_lib.StoredObject | None) -> None:
        self._version = stored.version if stored else 0
        self._stored = frozenset()
        if stored is None:
            return
        try:
            suspects = [_decode(value) for value in stored.value]
        except _MALFORMED as error:
            logging.warning("stored suspects are malformed: %r", error)
            return
        self._stored = frozenset(suspects)
        self._table.merge(suspects)

    def _is_writer(self) -> bool:
        own_id = self._membership.read_self().node_id
        return own_id == min(
            (
                member.node_id
                for member in self._membership.read_members().values()
                if member.state in member_table.LIVE_STATES
            ),
            default=own_id,
        )

    def _run(self) -> None:
        while not self._stopped.wait(WRITE_PERIOD_S):
            try:
                if not self._is_restored and not self.restore():
                    continue
                if self._is_writer():
                    self.write_changes()
            except (
                store_lib.StoreUnavailableError,
                store_lib.ValueTooLargeError,
            ) as error:
                logging.warning("cannot write the suspects: %s", error)
            except Exception:  # The next round may succeed.
                logging.exception("suspects were not written")


def _encode(suspect: suspects_lib.Suspect) -> dict[str, Any]:
    return {
        "fingerprint": suspect.fingerprint,
        "method": suspect.method,
        "route": suspect.route,
        "crashes": [
            [crash.id, crash.alone, crash.at] for crash in suspect.crashes
        ],
        "cleared": sorted(suspect.cleared),
    }


def _decode(value: Any) -> suspects_lib.Suspect:
    """Decodes a suspect.

    Raises:
      KeyError, OverflowError, TypeError, ValueError: It is malformed.
    """
    crashes = frozenset(
        suspects_lib.Crash(str(crash_id), bool(alone), float(at))
        for crash_id, alone, at in value["crashes"]
    )
    if not crashes:
        raise ValueError("suspect has no crash")
    return suspects_lib.Suspect(
        str(value["fingerprint"]),
        str(value["method"]),
        str(value["route"]),
        crashes,
        frozenset(map(str, value["cleared"])),
    )
