"""Records of release notes in the store, one object `notes/<note id>` each.

A record is reserved before its note is accepted and completed afterwards. The
text of an accepted note is thus kept even if the accepting node crashes in
between, and an id identifies a single text.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import time
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair import store as store_lib

NOTE_KIND: Final = "notes"
# A reservation left behind by a crashed node may be replaced after this time,
# which is several times the duration of all attempts to accept a note.
RESERVATION_TIMEOUT_S: Final = 120.0
MAX_WRITE_ATTEMPTS: Final = 4


@dataclasses.dataclass(frozen=True)
class NoteRecord:
    """Stored record of a note.

    Attributes:
      version: Resource version of the store object.
      generation: Generation in which the note was accepted, 0 until then.
      accepted_at: Unix time in seconds, 0 until accepted.
      reserved_at: Unix time in seconds, 0 if the reservation was released.
      previous: Note accepted before this one, empty for the first one. The
        history is listed by following these ids, so it costs one read for each
        note shown, regardless of the total number.
    """

    note_id: ids.NoteId
    version: int
    text: str
    generation: ids.Generation
    accepted_at: float
    reserved_at: float
    previous: ids.NoteId


def decode_record(stored: store_lib.StoredObject) -> NoteRecord:
    """Decodes a record. Missing or malformed fields get empty values."""
    value = stored.value if isinstance(stored.value, dict) else {}
    return NoteRecord(
        ids.NoteId(stored.name),
        stored.version,
        str(value.get("text", "")),
        ids.Generation(int(_get_number(value, "generation"))),
        _get_number(value, "accepted_at"),
        _get_number(value, "reserved_at"),
        ids.NoteId(str(value.get("previous", ""))),
    )


def _get_number(value: dict[str, Any], name: str) -> float:
    found = value.get(name, 0)
    return found if isinstance(found, int | float) else 0


class NoteRecords:
    """Reads and writes note records."""

    def __init__(
        self, store: store_lib.Store, clock: Callable[[], float] = time.time
    ):
        self._store = store
        self._clock = clock

    def find(self, note_id: ids.NoteId) -> NoteRecord | None:
        """Returns the record of a note, or None if there is none.

        Raises:
          StoreUnavailableError: The store did not respond.
        """
        stored = self._store.get(NOTE_KIND, note_id)
        return None if stored is None else decode_record(stored)

    def reserve(
        self, note_id: ids.NoteId, text: str, previous: ids.NoteId
    ) -> bool:
        """Reserves a note id for a text before the note is accepted.

        Args:
          note_id: Id of the note.
          text: TOML text of the note.
          previous: Id of the active note, which the note would follow.

        Returns:
          False if the id belongs to a different text, True otherwise.

        Raises:
          StoreUnavailableError: The store did not respond.
          ValueTooLargeError: The record exceeds the store's size limit.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            record = self.find(note_id)
            if record is not None and record.text != text:
                age = self._clock() - record.reserved_at
                if record.generation or age < RESERVATION_TIMEOUT_S:
                    return False
            elif record is not None and (
                record.generation or record.reserved_at
            ):
                return True
            # If the response was lost, the next read shows whether the write
            # took effect.
            with contextlib.suppress(store_lib.StoreUnavailableError):
                self._write(
                    note_id,
                    text,
                    record,
                    reserved_at=self._clock(),
                    previous=previous,
                )
        raise store_lib.StoreUnavailableError(
            f"note {note_id}: could not reserve the note id"
        )

    def mark_accepted(
        self,
        note_id: ids.NoteId,
        text: str,
        generation: ids.Generation,
        previous: ids.NoteId,
    ) -> None:
        """Records that a note was accepted directly after another one.

        Store failures are ignored: the next note to be accepted completes the
        record of its predecessor.
        """
        with contextlib.suppress(store_lib.StoreUnavailableError):
            for _ in range(MAX_WRITE_ATTEMPTS):
                record = self.find(note_id)
                if record is not None and record.generation:
                    return
                outcome = self._write(
                    note_id,
                    text,
                    record,
                    generation=generation,
                    accepted_at=self._clock(),
                    previous=previous,
                )
                if isinstance(outcome, store_lib.Written):
                    return

    def complete_reservation(
        self,
        note_id: ids.NoteId,
        generation: ids.Generation,
        previous: ids.NoteId,
    ) -> None:
        """Marks a note as accepted if its record is still only reserved.

        This is the case if the accepting node crashed before it completed the
        record.
        """
        with contextlib.suppress(store_lib.StoreUnavailableError):
            record = self.find(note_id)
            if record is not None and not record.generation:
                self.mark_accepted(note_id, record.text, generation, previous)

    def release_reservation(self, note_id: ids.NoteId, text: str) -> None:
        """Releases a reserved id so that a corrected note can use it."""
        with contextlib.suppress(store_lib.StoreUnavailableError):
            record = self.find(note_id)
            if (
                record is not None
                and record.text == text
                and not record.generation
            ):
                self._write(note_id, text, record)

    def _write(
        self,
        note_id: ids.NoteId,
        text: str,
        record: NoteRecord | None,
        generation: int = 0,
        accepted_at: float = 0.0,
        reserved_at: float = 0.0,
        previous: str = "",
    ) -> store_lib.WriteOutcome:
        return self._store.put(
            NOTE_KIND,
            note_id,
            {
                "text": text,
                "generation": generation,
                "accepted_at": accepted_at,
                "reserved_at": reserved_at,
                "previous": previous,
            },
            record.version if record else 0,
        )
