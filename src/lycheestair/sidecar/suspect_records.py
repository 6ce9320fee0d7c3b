"""Requests that crash backend servers, kept in the store.

Answers the restart of many nodes at the same time: peers that would tell a restarted
node which requests it must refuse have forgotten them too. Only the first feeder
writes, so that the number of calls doesn't grow with the number of nodes.
"""

from collections.abc import Callable
import time
from typing import Any
from typing import Final

from lycheestair.sidecar import clock
from lycheestair.sidecar import event_log
from lycheestair.sidecar import store as store_lib
from lycheestair.sidecar import suspects as suspects_lib

OBJECT_NAME: Final = "all"

# Crashes and cleared crashes of each suspect, without times.
_Content = dict[str, tuple[frozenset[str], frozenset[str]]]


class SuspectRecords:
    """Writes the suspects that are refused or under trial, and restores them."""

    def __init__(
        self,
        store: store_lib.MetadataStore,
        kinds: store_lib.ObjectKinds,
        table: suspects_lib.SuspectTable,
        on_restore: Callable[[], None],
        log: event_log.EventLog,
    ):
        """Initializes the records.

        Args:
          store: Client of the store.
          kinds: Names of the kinds of objects.
          table: Suspects of this node.
          on_restore: Called after suspects were added to the table.
          log: Log of the node.
        """
        self._store = store
        self._kind = kinds.suspects
        self._table = table
        self._on_restore = on_restore
        self._log = log
        self._known: store_lib.StoredItem | None = None
        self._written: _Content = {}

    async def restore(self) -> None:
        """Adds the stored suspects to the table.

        Raises:
          StoreUnavailableError: The store could not be read.
        """
        self._apply(await self._store.get(self._kind, OBJECT_NAME))

    async def write_changes(self) -> None:
        """Writes the suspects unless the store has them.

        Raises:
          StoreUnavailableError: The write failed.
        """
        fields = self._table.encode(clock.read_s(), only_quarantined=True)
        content = _describe(fields)
        if content == self._written:
            return
        result = await self._store.put(
            self._kind,
            OBJECT_NAME,
            _encode(fields, time.time()),
            self._known.revision if self._known else None,
        )
        if isinstance(result, store_lib.Conflict):
            # Written by another feeder, or lost in a restore.
            self._apply(result.current)
            return
        self._known = result
        self._written = content
        self._log.write("suspects written", count=len(content))

    def forget_written(self) -> None:
        """Tells that the store may have lost what was written."""
        self._written = {}

    def _apply(self, item: store_lib.StoredItem | None) -> None:
        self._known = item
        self._written = {}
        if item is None:
            return
        try:
            fields = _decode(item.value, time.time())
            changed = self._table.merge(fields, clock.read_s())
        except (OverflowError, TypeError, ValueError) as error:
            self._log.write("invalid suspects ignored", error=str(error))
            return
        self._written = _describe(fields)
        if changed:
            self._on_restore()


def _describe(fields: list[list[Any]]) -> _Content:
    return {
        fingerprint.hex(): (
            frozenset(crash for crash, *_ in crashes),
            frozenset(cleared),
        )
        for fingerprint, crashes, cleared in fields
    }


def _encode(fields: list[list[Any]], unix_s: float) -> list[list[Any]]:
    """Returns JSON values of suspects, with crashes in Unix milliseconds."""
    return [
        [
            fingerprint.hex(),
            [
                [crash, int((unix_s - age_s) * 1000)]
                for crash, _, age_s in crashes
            ],
            cleared,
        ]
        for fingerprint, crashes, cleared in fields
    ]


def _decode(value: Any, unix_s: float) -> list[list[Any]]:
    """Returns the fields of suspects for `SuspectTable.merge`.

    Raises:
      TypeError, ValueError: The value is malformed.
    """
    decoded: list[list[Any]] = []
    for fingerprint, crashes, cleared in value:
        ages_s = {
            str(crash): unix_s - int(crashed_ms) / 1000
            for crash, crashed_ms in crashes
        }
        decoded.append(
            [
                bytes.fromhex(fingerprint),
                [[crash, age_s, age_s] for crash, age_s in ages_s.items()],
                [str(crash) for crash in cleared],
            ]
        )
    return decoded
