"""Tests that the audit reports each inconsistency but no temporary delay."""

import dataclasses

import key_world
import pytest

from lycheestair import acceptance
from lycheestair import audit
from lycheestair import members
from lycheestair import resources
from lycheestair import snapshot as snapshot_lib

NOW = 1_000.0
SERVICE = resources.Service(
    "s", (resources.Version("v1"),), (resources.Share("v1", 10_000),)
)
SHARD = resources.Shard(0, 1, ("n-a1", "n-a2", "n-b1"))
MOVE = resources.Move("m", "n", "s", "v1", "v1", 1, NOW - 100, 0.0)
ENDPOINT = members.Endpoint(
    "s", "v1", 1, members.EndpointState.SERVING, NOW - 10
)
FIRST_SNAPSHOT = snapshot_lib.replace_resources(
    snapshot_lib.EMPTY, (SERVICE, SHARD)
)
DELTA = snapshot_lib.compute_delta(snapshot_lib.EMPTY, FIRST_SNAPSHOT)
HEAD = acceptance.Head(1, 1, FIRST_SNAPSHOT.digest, 0, (DELTA,))
MEMBERS = {
    f"n-{domain}": dataclasses.replace(
        key_world.make_member(domain, 1), generation=1, endpoint=ENDPOINT
    )
    for domain in key_world.TOPOLOGY
}


def change_member(**fields):
    changed = dataclasses.replace(MEMBERS["n-a1"], **fields)
    return {"members": MEMBERS | {"n-a1": changed}}


def change_endpoint(**fields):
    return change_member(endpoint=dataclasses.replace(ENDPOINT, **fields))


def change_snapshot(*upserts):
    new = dataclasses.replace(
        snapshot_lib.replace_resources(FIRST_SNAPSHOT, upserts), generation=1
    )
    delta = snapshot_lib.compute_delta(snapshot_lib.EMPTY, new)
    head = dataclasses.replace(HEAD, digest=new.digest, tail=(delta,))
    return {"snapshot": new, "head": head}


def find(head=HEAD, members=MEMBERS, snapshot=FIRST_SNAPSHOT):
    return audit.find_inconsistencies(head, members, snapshot, NOW)


DEAD = members.MemberState.DEAD
CASES = [
    ("tail_broken", {"head": dataclasses.replace(HEAD, generation=2)}),
    ("tail_broken", {"head": dataclasses.replace(HEAD, base_generation=1)}),
    ("digest_differs", {"head": dataclasses.replace(HEAD, digest="x")}),
    ("node_ahead", change_member(generation=2)),
    ("node_behind", change_member(generation=0)),
    ("endpoint_unknown", change_endpoint(version="v9")),
    ("endpoint_from_future", change_endpoint(started_at=NOW + 100)),
    (
        "version_without_endpoint",
        {
            "members": {
                name: dataclasses.replace(member, endpoint=None)
                for name, member in MEMBERS.items()
            }
        },
    ),
    ("move_overdue", change_snapshot(MOVE)),
    ("voter_lost", change_member(state=DEAD)),
    (
        "voters_share_domain",
        change_member(failure_domain="a2"),
    ),
]


@pytest.mark.parametrize("kind, changes", CASES)
def test_inconsistency_is_found(kind, changes):
    assert kind in {item.kind.value for item in find(**changes)}


def test_consistent_state_and_unavailable_store_are_not_reported():
    assert find() == []
    assert find(head=None) == []


def audit_readings(*readings):
    remaining = [
        audit.Reading(
            **(
                {"head": HEAD, "members": MEMBERS, "snapshot": FIRST_SNAPSHOT}
                | reading
            )
        )
        for reading in readings
    ]
    waits = []
    found = audit.audit(lambda: remaining.pop(0), waits.append, lambda: NOW)
    return [item.kind.value for item in found], waits


def test_delay_that_is_over_at_the_second_check_is_not_reported():
    lagging = change_member(generation=0)
    assert audit_readings(lagging, {}) == ([], [audit.CONFIRM_DELAY_S])
    assert audit_readings(lagging, lagging)[0] == ["node_behind"]
    assert audit_readings({}) == ([], [])


def test_node_that_follows_an_advancing_head_is_not_reported():
    lagging = change_member(generation=0)
    advanced = change_member(generation=1)
    head = dataclasses.replace(HEAD, generation=2)
    kinds, _ = audit_readings(lagging, advanced | {"head": head})
    assert "node_behind" not in kinds


def test_report_is_bounded():
    many = [
        audit.Inconsistency(audit.Kind.NODE_AHEAD, str(number), "")
        for number in range(100)
    ]
    assert len(audit.confirm(many, many)) == audit.MAX_PER_KIND
