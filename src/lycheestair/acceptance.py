"""Accepts configuration changes by conditional writes to the stored head."""

import base64
from collections.abc import Callable
import contextlib
import dataclasses
import time
from typing import Any
from typing import Final
import zlib

import orjson

from lycheestair import compiler
from lycheestair import ids
from lycheestair import injection
from lycheestair import note as note_lib
from lycheestair import note_records
from lycheestair import snapshot as snapshot_lib
from lycheestair import store as store_lib

HEAD_KIND: Final = "configuration"
HEAD_NAME: Final = "head"
SNAPSHOT_KIND: Final = "snapshots"
MAX_TAIL_DELTAS: Final = 16
# Limited because each watch event sends the head with its tail across regions.
MAX_TAIL_BYTES: Final = 8_192
MAX_ACCEPT_ATTEMPTS: Final = 8


class StoredConfigurationError(Exception):
    """The head or a snapshot in the store cannot be decoded."""


@dataclasses.dataclass(frozen=True)
class Head:
    """Decoded store object `configuration/head`.

    Attributes:
      version: Resource version of the store object, 0 if it does not exist.
      generation: Latest accepted generation.
      digest: Digest of the snapshot of the latest generation.
      base_generation: Generation of the base snapshot, where the tail starts.
      tail: Deltas from the base generation to the latest one.
      base_note_id: Note that was active at the base generation.
    """

    version: int
    generation: ids.Generation
    digest: str
    base_generation: ids.Generation
    tail: tuple[snapshot_lib.Delta, ...]
    base_note_id: ids.NoteId = ids.NoteId("")


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The note was accepted.

    Attributes:
      generation: Generation in which the note was accepted.
      snapshot: Snapshot of that generation, None if the note was found to be
        accepted already.
    """

    note_id: ids.NoteId
    generation: ids.Generation
    snapshot: snapshot_lib.Snapshot | None = None


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The note is invalid; nothing was changed.

    Attributes:
      messages: One line per error.
    """

    messages: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Superseded:
    """Another note was accepted first; nothing was changed.

    Attributes:
      winner: Id of the note that is active instead.
      generation: Generation of the active configuration.
    """

    winner: ids.NoteId
    generation: ids.Generation


ApplyOutcome = Accepted | Rejected | Superseded


def read_head(store: store_lib.Store) -> Head:
    """Reads the head, which is empty until the first note is accepted.

    Raises:
      StoreUnavailableError: The store did not respond.
      StoredConfigurationError: The head cannot be decoded.
    """
    stored = store.get(HEAD_KIND, HEAD_NAME)
    if stored is None:
        empty_generation = snapshot_lib.EMPTY.generation
        return Head(
            0, empty_generation, snapshot_lib.EMPTY.digest, empty_generation, ()
        )
    return decode_head(stored)


def decode_head(stored: store_lib.StoredObject) -> Head:
    """Decodes the head object.

    Raises:
      StoredConfigurationError: The object is not a valid head.
    """
    try:
        value = stored.value
        return Head(
            stored.version,
            ids.Generation(_validate_generation(value["generation"])),
            str(value["digest"]),
            ids.Generation(_validate_generation(value["base_generation"])),
            tuple(snapshot_lib.decode_delta(delta) for delta in value["tail"]),
            ids.NoteId(str(value.get("base_note_id", ""))),
        )
    except (
        KeyError,
        TypeError,
        snapshot_lib.InvalidSnapshotError,
    ) as error:
        raise StoredConfigurationError(
            f"cannot decode head: {error}"
        ) from error


def _validate_generation(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f"{value!r:.40} is not a valid generation")
    return value


def read_snapshot(
    store: store_lib.Store, head: Head, local: snapshot_lib.Snapshot
) -> snapshot_lib.Snapshot:
    """Returns the snapshot of the head.

    Args:
      store: Store to read the base snapshot from, if it is needed.
      head: Head that was read.
      local: Snapshot to start from; it is returned if it is not older than the
        head.

    Raises:
      StoreUnavailableError: The store did not respond.
      StoredConfigurationError: The stored configuration is incomplete or
        invalid.
    """
    if local.generation >= head.generation:
        return local
    current = local
    if local.generation < head.base_generation or local.generation not in {
        delta.from_generation for delta in head.tail
    }:
        current = _read_base_snapshot(store, head.base_generation)
    try:
        for delta in head.tail:
            if delta.from_generation == current.generation:
                current = snapshot_lib.apply_delta(current, delta)
    except snapshot_lib.DeltaMismatchError as error:
        raise StoredConfigurationError(str(error)) from error
    if current.generation != head.generation:
        raise StoredConfigurationError(
            f"head is at generation {head.generation}, but its tail ends at"
            f" generation {current.generation}"
        )
    return current


def _read_base_snapshot(
    store: store_lib.Store, generation: ids.Generation
) -> snapshot_lib.Snapshot:
    if generation == 0:
        return snapshot_lib.EMPTY
    stored = store.get(SNAPSHOT_KIND, str(generation))
    if stored is None:
        raise StoredConfigurationError(
            f"base snapshot {generation} is not in the store"
        )
    try:
        data = zlib.decompress(base64.b64decode(stored.value["data"]))
        return snapshot_lib.decode_snapshot(data)
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        zlib.error,
        snapshot_lib.InvalidSnapshotError,
    ) as error:
        raise StoredConfigurationError(
            f"cannot decode base snapshot {generation}: {error}"
        ) from error


def compare_and_set_head(
    store: store_lib.Store,
    head: Head,
    old: snapshot_lib.Snapshot,
    new: snapshot_lib.Snapshot,
) -> bool:
    """Writes the next generation unless the head changed since it was read.

    Args:
      store: Store to write to.
      head: Head that was read.
      old: Snapshot of that head.
      new: Snapshot of the next generation.

    Returns:
      Whether the head now refers to `new`.

    Raises:
      StoreUnavailableError: The store did not respond; the write may have
        taken effect.
      ValueTooLargeError: The change exceeds the store's size limit.
    """
    tail = (*head.tail, snapshot_lib.compute_delta(old, new))
    tail_bytes = sum(map(len, map(snapshot_lib.encode_delta, tail)))
    base_generation, base_note_id = head.base_generation, head.base_note_id
    if len(tail) > MAX_TAIL_DELTAS or (
        len(tail) > 1 and tail_bytes > MAX_TAIL_BYTES
    ):
        base_generation, base_note_id = old.generation, old.note_id
        tail = tail[-1:]
    value = {
        "generation": new.generation,
        "note_id": new.note_id,
        "digest": new.digest,
        "base_generation": base_generation,
        "base_note_id": base_note_id,
        "tail": [
            orjson.loads(snapshot_lib.encode_delta(delta)) for delta in tail
        ],
    }
    size = len(orjson.dumps(value))
    if size > store_lib.MAX_VALUE_BYTES:
        raise store_lib.ValueTooLargeError(f"head: {size} bytes")
    if base_generation != head.base_generation:
        # The base snapshot must exist before a head refers to it.
        _write_base_snapshot(store, old)
    outcome = store.put(HEAD_KIND, HEAD_NAME, value, head.version)
    return isinstance(outcome, store_lib.Written)


def _write_base_snapshot(
    store: store_lib.Store, snapshot: snapshot_lib.Snapshot
) -> None:
    data = zlib.compress(snapshot_lib.encode_snapshot(snapshot))
    # A conflict means that another node already wrote this generation.
    store.put(
        SNAPSHOT_KIND,
        str(snapshot.generation),
        {"data": base64.b64encode(data).decode()},
        0,
    )


class NoteAcceptor:
    """Accepts release notes and writes them to the store."""

    def __init__(
        self,
        store: store_lib.Store,
        get_local_snapshot: Callable[[], snapshot_lib.Snapshot],
        clock: Callable[[], float] = time.time,
    ):
        """Initializes the acceptor.

        Args:
          store: Store that holds the head.
          get_local_snapshot: Returns the newest snapshot of this node.
          clock: Returns the Unix time in seconds.
        """
        self._store = store
        self._get_local_snapshot = get_local_snapshot
        self._clock = clock
        self._records = note_records.NoteRecords(store, clock)

    def apply(self, text: str) -> ApplyOutcome:
        """Applies a note. Repeated calls with the same text apply it once.

        Args:
          text: TOML text of the note.

        Raises:
          StoreUnavailableError: The outcome is unknown; retry the call.
          StoredConfigurationError: The stored configuration cannot be decoded.
        """
        injection.reach(injection.Point.NOTE_SUBMITTED)
        try:
            note = note_lib.parse_note(text)
        except note_lib.NoteError as error:
            return Rejected(tuple(error.messages))
        record = self._records.find(ids.NoteId(note.id))
        if record is not None and record.generation:
            if record.text != text:
                return _reject_reused_id(note)
            return Accepted(record.note_id, record.generation)
        outcome = self._accept(note, text)
        if not isinstance(outcome, Accepted):
            self._records.release_reservation(ids.NoteId(note.id), text)
        return outcome

    def check(self, text: str) -> tuple[list[str], ids.Generation]:
        """Validates a note against the current configuration.

        Uses the newest configuration in the store, or the local one if the
        store does not respond or its configuration cannot be decoded.

        Returns:
          One line per error, and the generation that was checked against.
        """
        old = self._get_local_snapshot()
        with contextlib.suppress(
            store_lib.StoreUnavailableError, StoredConfigurationError
        ):
            old = read_snapshot(self._store, read_head(self._store), old)
        try:
            note = note_lib.parse_note(text)
            compiler.compile_note(note, old, self._clock())
        except note_lib.NoteError as error:
            return error.messages, old.generation
        return [], old.generation

    def _accept(self, note: note_lib.Note, text: str) -> ApplyOutcome:
        initial_note_id: ids.NoteId | None = None
        reserved = False
        for _ in range(MAX_ACCEPT_ATTEMPTS):
            head = read_head(self._store)
            old = read_snapshot(self._store, head, self._get_local_snapshot())
            accepted_generation = find_accepted_generation(
                head, ids.NoteId(note.id)
            )
            if accepted_generation is None and old.note_id == note.id:
                # The note was accepted, but so many generations followed that
                # the tail no longer contains it.
                accepted_generation = old.generation
            if accepted_generation is not None:
                return self._confirm_accepted(
                    note, text, accepted_generation, head
                )
            # A note without a base follows the note that was active at the
            # first attempt. A later attempt must not apply it on top of
            # another note.
            if initial_note_id is None:
                initial_note_id = old.note_id
            expected_note_id = (
                note.base if note.base is not None else initial_note_id
            )
            if old.note_id != expected_note_id:
                return Superseded(old.note_id, old.generation)
            try:
                new = compiler.compile_note(note, old, self._clock())
                injection.reach(injection.Point.NOTE_COMPILED)
                reserved = reserved or self._records.reserve(
                    new.note_id, text, old.note_id
                )
                if not reserved:
                    return _reject_reused_id(note)
                head_replaced = compare_and_set_head(
                    self._store, head, old, new
                )
            except note_lib.NoteError as error:
                return Rejected(tuple(error.messages))
            except store_lib.ValueTooLargeError as error:
                return Rejected((f"{note.id}: note is too large: {error}",))
            except store_lib.StoreOverloadedError:
                raise
            except store_lib.StoreUnavailableError:
                # The write may have taken effect; the next read of the head
                # shows whether it did.
                continue
            if head_replaced:
                injection.reach(injection.Point.NOTE_ACCEPTED)
                self._records.mark_accepted(
                    new.note_id, text, new.generation, old.note_id
                )
                self._complete_previous_record(head, old)
                return Accepted(new.note_id, new.generation, new)
        raise store_lib.StoreUnavailableError(
            f"note {note.id}: outcome still unknown after"
            f" {MAX_ACCEPT_ATTEMPTS} attempts"
        )

    def _confirm_accepted(
        self,
        note: note_lib.Note,
        text: str,
        generation: ids.Generation,
        head: Head,
    ) -> ApplyOutcome:
        note_id = ids.NoteId(note.id)
        record = self._records.find(note_id)
        if record is not None and record.text != text:
            return _reject_reused_id(note)
        generation_and_previous = find_note_in_tail(head, note_id)
        if generation_and_previous is not None:
            self._records.mark_accepted(note_id, text, *generation_and_previous)
        return Accepted(note_id, generation)

    def _complete_previous_record(
        self, head: Head, old: snapshot_lib.Snapshot
    ) -> None:
        generation_and_previous = find_note_in_tail(head, old.note_id)
        if generation_and_previous is not None:
            self._records.complete_reservation(
                old.note_id, *generation_and_previous
            )


def _reject_reused_id(note: note_lib.Note) -> Rejected:
    return Rejected(
        (f"{note.id}: id was used before by another note; choose a new id",)
    )


def find_accepted_generation(
    head: Head, note_id: ids.NoteId
) -> ids.Generation | None:
    """Returns the generation of an accepted note, None if not in the tail."""
    generation_and_previous = find_note_in_tail(head, note_id)
    return generation_and_previous[0] if generation_and_previous else None


def find_note_in_tail(
    head: Head, note_id: ids.NoteId
) -> tuple[ids.Generation, ids.NoteId] | None:
    """Finds a note in the tail.

    Returns:
      Generation in which the note was accepted and id of the note before it,
      None if the tail does not contain the note.
    """
    previous = head.base_note_id
    for delta in head.tail:
        if delta.note_id == note_id and previous != note_id:
            return delta.to_generation, previous
        previous = delta.note_id
    return None
