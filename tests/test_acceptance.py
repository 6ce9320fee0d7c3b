"""Tests note acceptance under concurrency, lost responses, retries, crashes."""

from operator_support import MemoryStore
import pytest

from lycheestair import acceptance
from lycheestair import snapshot as snapshot_lib
from lycheestair import status

NOTE_TEMPLATE = """
id = "{id}"
{base}
[[service]]
name = "{service}"
versions = ["v1"]
"""


def apply_note(store, note_id, service="a", base=""):
    acceptor = acceptance.NoteAcceptor(store, lambda: snapshot_lib.EMPTY)
    return acceptor.apply(
        NOTE_TEMPLATE.format(id=note_id, service=service, base=base)
    )


def read_current(store):
    head = acceptance.read_head(store)
    return acceptance.read_snapshot(store, head, snapshot_lib.EMPTY)


def test_same_note_is_accepted_once():
    store = MemoryStore()
    first = apply_note(store, "n1")
    assert apply_note(store, "n1").generation == first.generation == 1
    assert read_current(store).generation == 1


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
def test_lost_responses_do_not_apply_the_note_twice(lost):
    # The writes are the reservation, the head and the completed record.
    store = MemoryStore()
    store.lost_responses = lost
    outcome = apply_note(store, "n1")
    assert isinstance(outcome, acceptance.Accepted)
    assert read_current(store).generation == 1


class ProcessKilledError(BaseException):
    """Simulates a crash of the process."""


def advance_past_tail(store):
    """Advances the head as the controller does until the tail is replaced."""
    for _ in range(acceptance.MAX_TAIL_DELTAS + 2):
        head, old = acceptance.read_head(store), read_current(store)
        new = snapshot_lib.replace_resources(old, ())
        assert acceptance.compare_and_set_head(store, head, old, new)


def crash_after_acceptance(point):
    if point is acceptance.injection.Point.NOTE_ACCEPTED:
        raise ProcessKilledError


def test_note_text_survives_a_crash_of_the_accepting_node(monkeypatch):
    store = MemoryStore()
    with monkeypatch.context() as patch:
        patch.setattr(acceptance.injection, "reach", crash_after_acceptance)
        with pytest.raises(ProcessKilledError):
            apply_note(store, "n1")
    # The record is reserved at first and completed by the next note.
    for _ in range(2):
        note = status.list_notes(store, 0).notes[-1]
        assert (note.note_id, note.generation) == ("n1", 1)
        assert 'id = "n1"' in note.text
        apply_note(store, "n2", "b")
    assert store.get("notes", "n1").value["generation"] == 1


def test_history_is_complete_after_a_crash_and_many_generations(monkeypatch):
    store = MemoryStore()
    apply_note(store, "n1", "a")
    with monkeypatch.context() as patch:
        patch.setattr(acceptance.injection, "reach", crash_after_acceptance)
        with pytest.raises(ProcessKilledError):
            apply_note(store, "n2", "b")
    advance_past_tail(store)
    notes = status.list_notes(store, 0).notes
    assert [note.note_id for note in notes] == ["n2", "n1"]


def test_corrected_note_can_reuse_the_id_of_an_unaccepted_note():
    store = MemoryStore()
    store.before_put = lambda: apply_note(store, "winner", "b")
    assert isinstance(apply_note(store, "n1", "a"), acceptance.Superseded)
    outcome = apply_note(store, "n1", "c")
    assert isinstance(outcome, acceptance.Accepted)


def test_concurrent_notes_with_the_same_id_are_not_both_accepted():
    store = MemoryStore()
    store.before_put = lambda: apply_note(store, "n1", "b")
    assert isinstance(apply_note(store, "n1", "a"), acceptance.Rejected)
    assert store.get("notes", "n1").value["generation"] == 1
    assert "service/b" in read_current(store).resources


def test_note_is_not_applied_again_after_many_generations():
    store = MemoryStore()
    apply_note(store, "n1")
    store.objects.pop(("notes", "n1"))
    advance_past_tail(store)
    before = read_current(store).generation
    assert isinstance(apply_note(store, "n1"), acceptance.Accepted)
    assert read_current(store).generation == before


def test_only_one_concurrent_note_is_accepted_and_reported_to_the_other():
    store = MemoryStore()
    store.before_put = lambda: apply_note(store, "winner", "b")
    outcome = apply_note(store, "loser")
    assert outcome == acceptance.Superseded("winner", 1)
    assert apply_note(store, "loser").generation == 2


def test_reused_id_with_another_text_is_rejected():
    store = MemoryStore()
    apply_note(store, "n1", "a")
    assert isinstance(apply_note(store, "n1", "b"), acceptance.Rejected)


@pytest.mark.parametrize("count", [1, acceptance.MAX_TAIL_DELTAS + 3, 40])
def test_snapshot_is_rebuilt_from_base_and_tail(count):
    store = MemoryStore()
    for index in range(count):
        apply_note(store, f"n{index}", f"s{index}")
    assert len(read_current(store).resources) == count


@pytest.mark.parametrize("limit", [1, 3, 0])
def test_listing_history_reads_only_the_notes_returned(limit):
    store = MemoryStore()
    for index in range(30):
        apply_note(store, f"n{index}", f"s{index}")
    reads = []
    original_get = store.get
    store.get = lambda kind, name: (
        reads.append(kind) or original_get(kind, name)
    )
    reply = status.list_notes(store, limit)
    expected = [f"n{index}" for index in range(30)][::-1][: limit or 30]
    assert [note.note_id for note in reply.notes] == expected
    assert [note.generation for note in reply.notes] == [
        int(name[1:]) + 1 for name in expected
    ]
    assert reply.more is bool(limit)
    assert reads.count("notes") == len(expected)


def test_next_change_removes_a_large_delta_from_the_tail():
    # Each watch event carries the whole tail to another region. Without a
    # limit on its size, a large delta was sent again with each of the next 16
    # changes.
    store = MemoryStore()
    many_services = "".join(
        f'[[service]]\nname = "s{index}"\nversions = ["v1"]\n'
        for index in range(acceptance.MAX_TAIL_BYTES // 50)
    )
    apply_note(store, "n0", base=many_services)
    (large_delta,) = acceptance.read_head(store).tail
    assert (
        len(snapshot_lib.encode_delta(large_delta)) > acceptance.MAX_TAIL_BYTES
    )
    apply_note(store, "n1", "b")
    (delta,) = acceptance.read_head(store).tail
    assert delta.note_id == "n1"
    assert {"service/a", "service/b"} <= read_current(store).resources.keys()
