"""Checks the placement and replacement of voters, epochs and shard closure."""

import dataclasses

import key_world
import pytest

from lycheestair import member_table
from lycheestair import members
from lycheestair import ownership
from lycheestair import snapshot as snapshot_lib

NOW = 1_000.0
SETTINGS = key_world.make_settings("a1")


def make_members(per_domain=2, domains=tuple(key_world.TOPOLOGY)):
    created = [
        dataclasses.replace(
            key_world.make_member(domain, 5_000), node_id=f"{domain}-{number}"
        )
        for domain in domains
        for number in range(per_domain)
    ]
    return {member.node_id: member for member in created}


def assign_shards(table):
    shards = ownership.plan_shards(snapshot_lib.EMPTY, table, SETTINGS, NOW)
    return snapshot_lib.replace_resources(snapshot_lib.EMPTY, tuple(shards))


def replace_fields(table, *names, **fields):
    return table | {
        name: dataclasses.replace(table[name], **fields) for name in names
    }


def plan_changes(snapshot, table):
    return ownership.plan_shards(snapshot, table, SETTINGS, NOW)


def test_each_shard_has_two_voters_in_its_home_region_and_one_elsewhere():
    table = make_members()
    shards = plan_changes(snapshot_lib.EMPTY, table)
    assert len(shards) == 16 * len(key_world.TOPOLOGY)
    for shard in shards:
        voter_members = [table[voter] for voter in shard.voters]
        assert len({voter.failure_domain for voter in voter_members}) == 3
        regions = sorted(voter.region for voter in voter_members)
        # Region c has only one failure domain.
        assert len(set(regions)) == 2 or "c" in regions
    shard_counts = [sum(v in shard.voters for shard in shards) for v in table]
    assert max(shard_counts) <= 2 * min(shard_counts)


@pytest.mark.parametrize(
    "domains, planned",
    [
        (("a1",), False),
        (("a1", "b1", "c1"), False),
        (("a1", "a2", "b1", "b2"), True),
    ],
)
def test_assignment_waits_for_most_failure_domains(domains, planned):
    assert (
        bool(plan_changes(snapshot_lib.EMPTY, make_members(1, domains)))
        == planned
    )


@pytest.mark.parametrize(
    "fields",
    [
        {"state": members.MemberState.DEAD},
        {"state": members.MemberState.LEFT},
        {"incarnation": 90_000},
    ],
)
def test_lost_voter_is_replaced_in_a_new_epoch(fields):
    table = make_members()
    snapshot = assign_shards(table)
    changed = plan_changes(snapshot, replace_fields(table, "a1-0", **fields))
    assert changed
    for shard in changed:
        previous = snapshot.resources[shard.key]
        assert (shard.epoch, shard.closed_until) == (2, 0.0)
        assert shard.joined == (1, 1, 2)
        assert len(set(shard.voters) & set(previous.voters) - {"a1-0"}) == 2


def test_voter_restarted_within_a_second_is_replaced(monkeypatch):
    # Otherwise it would be assigned to an epoch in which it never votes.
    incarnations = []
    for started_ns in (1_800_000_000_000_000_000, 1_800_000_000_250_000_000):
        monkeypatch.setattr(
            member_table.time, "time_ns", lambda now=started_ns: now
        )
        incarnations.append(member_table.make_own_record(SETTINGS).incarnation)
    table = replace_fields(make_members(), "a1-0", incarnation=incarnations[0])
    restarted = replace_fields(table, "a1-0", incarnation=incarnations[1])
    assert plan_changes(assign_shards(table), restarted)


@pytest.mark.parametrize(
    "fields",
    [
        {"state": members.MemberState.SUSPECTED},
        {"incarnation": 5_999},
    ],
)
def test_suspected_or_refuting_voter_stays(fields):
    table = make_members()
    assert (
        plan_changes(
            assign_shards(table), replace_fields(table, "a1-0", **fields)
        )
        == []
    )


def test_two_lost_voters_close_their_shard():
    table = make_members()
    snapshot = assign_shards(table)
    first_shard = snapshot.resources["shard/0"]
    table_after_loss = replace_fields(
        table, *first_shard.voters[:2], state=members.MemberState.DEAD
    )
    shard = next(
        s for s in plan_changes(snapshot, table_after_loss) if s.index == 0
    )
    # key_isolation_s + MAX_EPOCH_PROPAGATION_S + 1.25 * key_retention_s.
    assert shard.closed_until == NOW + 300 + 60 + 750
    assert shard.joined == (2, 2, 2)


def test_controller_with_incomplete_member_table_changes_nothing():
    table = make_members()
    snapshot = assign_shards(table)
    assert plan_changes(snapshot, dict(list(table.items())[:3])) == []
    assert plan_changes(snapshot, make_members(2, ("a1", "a2"))) == []


def test_one_generation_changes_a_bounded_number_of_shards():
    table = make_members(1)
    snapshot = assign_shards(table)
    table_after_loss = replace_fields(
        table, "a1-0", "b1-0", state=members.MemberState.DEAD
    )
    assert (
        len(plan_changes(snapshot, table_after_loss))
        == ownership.MAX_SHARD_CHANGES_PER_GENERATION
    )


def test_unreachable_domains_are_awaited_before_shards_close():
    table = make_members()
    snapshot = assign_shards(table)
    names = [name for name in table if name.startswith("a")]
    table_after_loss = replace_fields(
        table, *names, state=members.MemberState.DEAD
    )
    planner = ownership.ShardPlanner()
    planner.plan(snapshot, table, SETTINGS, NOW, lambda: 0.0)
    early_changes = planner.plan(
        snapshot, table_after_loss, SETTINGS, NOW, lambda: 299.0
    )
    assert early_changes
    assert all(shard.closed_until == 0.0 for shard in early_changes)
    late_changes = planner.plan(
        snapshot, table_after_loss, SETTINGS, NOW, lambda: 300.0
    )
    assert any(shard.closed_until > NOW for shard in late_changes)
