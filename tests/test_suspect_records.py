"""Refused requests that all nodes would forget when they restart."""

import operator_support
import pytest
import request_support as support

from lycheestair import suspect_records
from lycheestair import suspects

KEY = (suspect_records.SUSPECT_KIND, suspect_records.OBJECT_NAME)
BAD = support.make_call(b"bad")


def make_table():
    node = support.Node(support.SharedMembers(), "own", "a1", {})
    return suspects.SuspectTable(node.settings)


def make_records(store, *others):
    """Returns a table of suspects and the records of node n1."""
    table = make_table()
    members = map(operator_support.make_member, ("n1", *others))
    return table, suspect_records.SuspectRecords(
        store, table, operator_support.FixedMembership(*members)
    )


def refuse(table, call=BAD):
    for _ in range(2):
        table.record_crash([call])


def test_request_is_still_refused_after_a_restart_of_all_nodes():
    """Guards against a request that is tried again on each restart."""
    store = operator_support.MemoryStore()
    table, records = make_records(store)
    refuse(table)
    table.record_crash([support.make_call(b"once")])
    records.write_changes()
    started_table, started = make_records(store)
    assert started.restore()
    assert started_table.classify(BAD) is suspects.Verdict.REFUSE
    assert started_table.active
    # Suspects that aren't refused yet are left out.
    assert len(started_table.read_all()) == 1


def test_unchanged_suspects_are_written_once():
    """Guards against a write in each period."""
    store = operator_support.MemoryStore()
    table, records = make_records(store)
    records.write_changes()
    assert KEY not in store.objects
    refuse(table)
    records.write_changes()
    version = store.objects[KEY].version
    records.write_changes()
    assert store.objects[KEY].version == version
    table.record_success(BAD)
    records.write_changes()
    assert store.objects[KEY].value == []


def test_writers_that_disagree_on_the_members_lose_nothing():
    """Guards against a writer that replaces what another one wrote."""
    store = operator_support.MemoryStore()
    other = support.make_call(b"other")
    first_table, first = make_records(store)
    second_table, second = make_records(store)
    refuse(first_table)
    refuse(second_table, other)
    first.write_changes()
    second.write_changes()
    second.write_changes()
    started_table, started = make_records(store)
    started.restore()
    for call in (BAD, other):
        assert started_table.classify(call) is suspects.Verdict.REFUSE


def test_suspects_are_restored_when_the_store_is_back():
    """Guards against a node that started without the store and never asks it."""
    store = operator_support.MemoryStore()
    table, records = make_records(store)
    refuse(table)
    records.write_changes()
    store.down = True
    started_table, started = make_records(store)
    assert not started.restore()
    started.start()
    store.down = False
    support.wait_until(
        lambda: started_table.classify(BAD) is suspects.Verdict.REFUSE
    )
    started.stop()


@pytest.mark.parametrize("others", [(), ("n2",), ("n0",)])
def test_one_node_writes(others):
    """Guards against store calls that grow with the number of nodes."""
    store = operator_support.MemoryStore()
    table, records = make_records(store, *others)
    refuse(table)
    records.start()
    if others == ("n0",):
        support.time.sleep(3 * suspect_records.WRITE_PERIOD_S)
        assert KEY not in store.objects
    else:
        support.wait_until(lambda: KEY in store.objects)
    records.stop()


@pytest.mark.parametrize(
    "value",
    [
        None,
        7,
        ["x"],
        [{"fingerprint": "f"}],
        [
            {
                "fingerprint": "f",
                "method": "m",
                "route": "r",
                "cleared": [],
                "crashes": [["c", True, 10**400]],
            }
        ],
    ],
)
def test_malformed_suspects_do_not_stop_a_node(value):
    """Guards against a node that doesn't start because of an odd entry."""
    store = operator_support.MemoryStore()
    store.put(*KEY, value, 0)
    table, records = make_records(store)
    assert records.restore()
    assert not table.read_all()
    refuse(table)
    records.write_changes()
    assert len(store.objects[KEY].value) == 1
