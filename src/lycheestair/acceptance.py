"""Accepts configuration changes by conditional update of the store's head."""

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
# Every watch of the head carries its tail to another region.
MAX_TAIL_BYTES: Final = 8_192
MAX_ATTEMPTS: Final = 8


class HeadUnreadableError(Exception):
    """The head or a snapshot in the store can't be decoded."""


@dataclasses.dataclass(frozen=True)
class Head:
    """Decoded `configuration/head`.

    Attributes:
      version: Resource version of the store object, 0 when absent.
      base_generation: Generation of the full snapshot before the tail.
      tail: Deltas from the base to the latest generation.
      base_note_id: Note in force at the base.
    """

    version: int
    generation: ids.Generation
    digest: str
    base_generation: ids.Generation
    tail: tuple[snapshot_lib.Delta, ...]
    base_note_id: ids.NoteId = ids.NoteId("")


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The note is accepted."""

    note_id: ids.NoteId
    generation: ids.Generation
    snapshot: snapshot_lib.Snapshot | None = None


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The note is wrong; nothing was changed."""

    messages: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Overtaken:
    """Another note was accepted first; nothing was changed."""

    winner: ids.NoteId
    generation: ids.Generation


ApplyOutcome = Accepted | Rejected | Overtaken


def read_head(store: store_lib.Store) -> Head:
    """Reads the head.

    Raises:
      StoreUnavailableError: The store did not answer.
      HeadUnreadableError: The head can't be decoded.
    """
    stored = store.get(HEAD_KIND, HEAD_NAME)
    if stored is None:
        zero = snapshot_lib.EMPTY.generation
        return Head(0, zero, snapshot_lib.EMPTY.digest, zero, ())
    return decode_head(stored)


def decode_head(stored: store_lib.StoredObject) -> Head:
    """Decodes the head object.

    Raises:
      HeadUnreadableError: The object is not a head.
    """
    try:
        value = stored.value
        return Head(
            stored.version,
            ids.Generation(_check_generation(value["generation"])),
            str(value["digest"]),
            ids.Generation(_check_generation(value["base_generation"])),
            tuple(snapshot_lib.decode_delta(delta) for delta in value["tail"]),
            ids.NoteId(str(value.get("base_note_id", ""))),
        )
    except (
        KeyError,
        TypeError,
        snapshot_lib.InvalidSnapshotError,
    ) as error:
        raise HeadUnreadableError(f"head: {error}") from error


def _check_generation(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError(f"{value!r:.40} is not a generation")
    return value


def read_snapshot(
    store: store_lib.Store, head: Head, known: snapshot_lib.Snapshot
) -> snapshot_lib.Snapshot:
    """Returns the snapshot of the head, starting from a known one.

    Raises:
      StoreUnavailableError: The store did not answer.
      HeadUnreadableError: The stored configuration is not whole.
    """
    if known.generation >= head.generation:
        return known
    current = known
    if known.generation < head.base_generation or known.generation not in {
        d.from_generation for d in head.tail
    }:
        current = _read_base(store, head.base_generation)
    try:
        for delta in head.tail:
            if delta.from_generation == current.generation:
                current = snapshot_lib.apply_delta(current, delta)
    except snapshot_lib.DeltaMismatchError as error:
        raise HeadUnreadableError(str(error)) from error
    if current.generation != head.generation:
        raise HeadUnreadableError(
            f"head is at generation {head.generation}, its tail ends at"
            f" {current.generation}"
        )
    return current


def _read_base(
    store: store_lib.Store, generation: ids.Generation
) -> snapshot_lib.Snapshot:
    if generation == 0:
        return snapshot_lib.EMPTY
    stored = store.get(SNAPSHOT_KIND, str(generation))
    if stored is None:
        raise HeadUnreadableError(f"snapshot {generation} is missing")
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
        raise HeadUnreadableError(f"snapshot {generation}: {error}") from error


def try_advance(
    store: store_lib.Store,
    head: Head,
    old: snapshot_lib.Snapshot,
    new: snapshot_lib.Snapshot,
) -> bool:
    """Writes the next generation if the head is still the one that was read.

    Args:
      store: Store to write to.
      head: Head that was read.
      old: Snapshot of that head.
      new: Snapshot of the next generation.

    Returns:
      Whether the head was advanced to `new`.

    Raises:
      StoreUnavailableError: No answer; the write may have taken effect.
      ValueTooLargeError: The change exceeds the store's value limit.
    """
    tail = (*head.tail, snapshot_lib.compute_delta(old, new))
    tail_bytes = sum(map(len, map(snapshot_lib.encode_delta, tail)))
    base, base_note_id = head.base_generation, head.base_note_id
    if len(tail) > MAX_TAIL_DELTAS or (
        len(tail) > 1 and tail_bytes > MAX_TAIL_BYTES
    ):
        base, base_note_id = old.generation, old.note_id
        tail = tail[-1:]
    value = {
        "generation": new.generation,
        "note_id": new.note_id,
        "digest": new.digest,
        "base_generation": base,
        "base_note_id": base_note_id,
        "tail": [
            orjson.loads(snapshot_lib.encode_delta(delta)) for delta in tail
        ],
    }
    size = len(orjson.dumps(value))
    if size > store_lib.MAX_VALUE_BYTES:
        raise store_lib.ValueTooLargeError(f"head: {size} bytes")
    if base != head.base_generation:
        # The base must be readable before a head refers to it.
        _write_base(store, old)
    outcome = store.put(HEAD_KIND, HEAD_NAME, value, head.version)
    return isinstance(outcome, store_lib.Written)


def _write_base(
    store: store_lib.Store, snapshot: snapshot_lib.Snapshot
) -> None:
    data = zlib.compress(snapshot_lib.encode_snapshot(snapshot))
    # A conflict means that another node has written the same generation.
    store.put(
        SNAPSHOT_KIND,
        str(snapshot.generation),
        {"data": base64.b64encode(data).decode()},
        0,
    )


class NoteAcceptor:
    """Applies release notes to the store."""

    def __init__(
        self,
        store: store_lib.Store,
        known: Callable[[], snapshot_lib.Snapshot],
        clock: Callable[[], float] = time.time,
    ):
        """Initializes the acceptor.

        Args:
          store: Store that holds the head.
          known: Returns the newest snapshot known locally.
          clock: Unix time in seconds.
        """
        self._store = store
        self._known = known
        self._clock = clock
        self._records = note_records.NoteRecords(store, clock)

    def apply(self, text: str) -> ApplyOutcome:
        """Applies a note once, however often it is called with it.

        Args:
          text: TOML text of the note.

        Raises:
          StoreUnavailableError: The outcome is not known; apply again.
          HeadUnreadableError: The stored configuration can't be decoded.
        """
        injection.reach(injection.Point.NOTE_SUBMITTED)
        try:
            note = note_lib.parse_note(text)
        except note_lib.NoteError as error:
            return Rejected(tuple(error.messages))
        record = self._records.find(ids.NoteId(note.id))
        if record is not None and record.generation:
            if record.text != text:
                return _refuse_reuse(note)
            return Accepted(record.note_id, record.generation)
        outcome = self._advance(note, text)
        if not isinstance(outcome, Accepted):
            self._records.release_reservation(ids.NoteId(note.id), text)
        return outcome

    def check(self, text: str) -> tuple[list[str], ids.Generation]:
        """Checks whether a note could be applied now, without applying it.

        The newest configuration of the store is used, or the one known
        locally while the store does not answer.

        Returns:
          One line for each error, and the generation checked against.
        """
        old = self._known()
        with contextlib.suppress(
            store_lib.StoreUnavailableError, HeadUnreadableError
        ):
            old = read_snapshot(self._store, read_head(self._store), old)
        try:
            note = note_lib.parse_note(text)
            compiler.compile_note(note, old, self._clock())
        except note_lib.NoteError as error:
            return error.messages, old.generation
        return [], old.generation

    def _advance(self, note: note_lib.Note, text: str) -> ApplyOutcome:
        first_note: ids.NoteId | None = None
        reserved = False
        for _ in range(MAX_ATTEMPTS):
            head = read_head(self._store)
            old = read_snapshot(self._store, head, self._known())
            earlier = find_in_tail(head, ids.NoteId(note.id))
            if earlier is None and old.note_id == note.id:
                # Accepted, and followed by more steps than the tail holds.
                earlier = old.generation
            if earlier is not None:
                return self._confirm(note, text, earlier, head)
            if first_note is None:
                first_note = old.note_id
            base = note.base if note.base is not None else first_note
            if old.note_id != base:
                return Overtaken(old.note_id, old.generation)
            try:
                new = compiler.compile_note(note, old, self._clock())
                injection.reach(injection.Point.NOTE_COMPILED)
                reserved = reserved or self._records.reserve(
                    new.note_id, text, old.note_id
                )
                if not reserved:
                    return _refuse_reuse(note)
                advanced = try_advance(self._store, head, old, new)
            except note_lib.NoteError as error:
                return Rejected(tuple(error.messages))
            except store_lib.ValueTooLargeError as error:
                return Rejected((f"{note.id}: too large: {error}",))
            except store_lib.StoreOverloadedError:
                raise
            except store_lib.StoreUnavailableError:
                # The answer may be lost; the next read of the head tells.
                continue
            if advanced:
                injection.reach(injection.Point.NOTE_ACCEPTED)
                self._records.mark_accepted(
                    new.note_id, text, new.generation, old.note_id
                )
                self._complete_previous(head, old)
                return Accepted(new.note_id, new.generation, new)
        raise store_lib.StoreUnavailableError(
            f"note {note.id}: no outcome after {MAX_ATTEMPTS} attempts"
        )

    def _confirm(
        self,
        note: note_lib.Note,
        text: str,
        generation: ids.Generation,
        head: Head,
    ) -> ApplyOutcome:
        note_id = ids.NoteId(note.id)
        record = self._records.find(note_id)
        if record is not None and record.text != text:
            return _refuse_reuse(note)
        entry = find_entry(head, note_id)
        if entry is not None:
            self._records.mark_accepted(note_id, text, *entry)
        return Accepted(note_id, generation)

    def _complete_previous(
        self, head: Head, old: snapshot_lib.Snapshot
    ) -> None:
        entry = find_entry(head, old.note_id)
        if entry is not None:
            self._records.mark_reserved_accepted(old.note_id, *entry)


def _refuse_reuse(note: note_lib.Note) -> Rejected:
    return Rejected(
        (f"{note.id}: id was used before for another note; choose a new id",)
    )


def find_in_tail(head: Head, note_id: ids.NoteId) -> ids.Generation | None:
    """Returns the generation that accepted a note, if the tail reaches it."""
    found = find_entry(head, note_id)
    return found[0] if found else None


def find_entry(
    head: Head, note_id: ids.NoteId
) -> tuple[ids.Generation, ids.NoteId] | None:
    """Returns a note's generation and the note before it, from the tail."""
    previous = head.base_note_id
    for delta in head.tail:
        if delta.note_id == note_id and previous != note_id:
            return delta.to_generation, previous
        previous = delta.note_id
    return None
