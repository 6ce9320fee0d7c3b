"""Checks that no key is granted twice in rare sequences of events.

Most tests cover one rule of the voters: if voters did not follow it, the last
check would find a majority that grants a key whose request was already sent.
"""

import key_world
import pytest

from lycheestair import keys
from lycheestair import keys_pb2

KEY = "k"
# Includes a margin, as voters observe an epoch up to one simulation step late.
CLOSED_PERIOD_S = (
    keys.compute_closed_period_s(key_world.make_settings("a1").requests)
    + 2 * key_world.MAX_STEP_S
)


@pytest.fixture
def cluster():
    return key_world.SimulatedCluster()


def list_nodes(cluster):
    """Returns the three voters of the shard, then the other two nodes."""
    voters = cluster.latest_snapshot.resources["shard/0"].voters
    return *voters, *(n for n in key_world.NODES if n not in voters)


def run_request(cluster, name, undelivered_to=()):
    claim = cluster.start_claim(name, KEY)
    cluster.deliver_all(undelivered_to)
    assert cluster.may_run(claim)
    cluster.run(claim)
    return claim


def drop_messages(cluster, name):
    cluster.messages = [m for m in cluster.messages if m.target != name]


def learn_snapshot(cluster, *names):
    for name in names:
        cluster.processes[name].configuration.activate(cluster.latest_snapshot)


def join_shard(cluster, *names):
    for name in names:
        cluster.start_join(name)
    cluster.deliver_all()


def test_new_voter_copies_the_records_of_both_other_voters(cluster):
    a, b, c, d, e = list_nodes(cluster)
    run_request(cluster, e, undelivered_to={b})
    drop_messages(cluster, b)
    cluster.stopped.add(c)
    cluster.reassign_voters({c})
    learn_snapshot(cluster, a, b, d)
    join_shard(cluster, d, e)
    cluster.check_no_second_grant()
    assert c not in cluster.latest_snapshot.resources["shard/0"].voters


def test_release_of_a_losing_claim_keeps_a_copied_record(cluster):
    a, b, c, d, e = list_nodes(cluster)
    loser = cluster.start_claim(e, KEY)
    cluster.deliver_all(undelivered_to={b, c})
    drop_messages(cluster, b)
    drop_messages(cluster, c)
    run_request(cluster, d, undelivered_to={a})
    drop_messages(cluster, a)
    cluster.stopped.add(c)
    cluster.reassign_voters({c})
    learn_snapshot(cluster, a, b, d, e)
    join_shard(cluster, d, e)
    cluster.settle(loser, keys_pb2.NOT_RUN)
    cluster.deliver_all()
    cluster.check_no_second_grant()


def test_voter_does_not_join_via_a_voter_without_records(cluster):
    a, b, c, d, e = list_nodes(cluster)
    run_request(cluster, e, undelivered_to={a})
    drop_messages(cluster, a)
    for lost in (c, b):
        cluster.stopped.add(lost)
        cluster.reassign_voters({c, b} & cluster.stopped)
        learn_snapshot(cluster, a, d, e)
    join_shard(cluster, d, e)
    cluster.check_no_second_grant()
    # The shard grants claims again after all old records have expired.
    cluster.advance(CLOSED_PERIOD_S)
    join_shard(cluster, d, e)
    run_request(cluster, a)


def test_isolated_voters_stop_before_their_shard_reopens_elsewhere(cluster):
    a, b, c, d, e = list_nodes(cluster)
    cluster.isolated = {a, b}
    cluster.reassign_voters({a, b})
    learn_snapshot(cluster, c, d, e)
    cluster.advance(CLOSED_PERIOD_S)
    isolated = cluster.start_claim(a, KEY)
    cluster.deliver_all()
    assert not cluster.may_run(isolated)
    run_request(cluster, c)


def test_late_run_granted_by_isolated_voters_prevents_a_second_grant(cluster):
    a, b, c, d, e = list_nodes(cluster)
    cluster.isolated = {a, b}
    cluster.reassign_voters({a, b})
    learn_snapshot(cluster, c, d, e)
    # One second before the isolated voters stop granting (key_isolation_s).
    cluster.advance(299)
    claim = cluster.start_claim(a, KEY)
    cluster.deliver_all()
    cluster.advance(key_world.REQUEST_TIMEOUT_S - 1)
    cluster.run(claim)
    for _ in range(40):
        cluster.advance(key_world.MAX_STEP_S)
        cluster.check_no_second_grant()


def test_shard_stays_closed_when_wall_clocks_are_ahead(cluster):
    a, b, c, d, e = list_nodes(cluster)
    cluster.wall_clock_skew_s = 3_600.0
    cluster.isolated = {a, b}
    cluster.reassign_voters({a, b})
    learn_snapshot(cluster, c, d, e)
    # The isolated voters still grant claims (key_isolation_s is 300).
    cluster.advance(290)
    run_request(cluster, a)
    # Within the retention time of the key (key_retention_s is 600).
    cluster.advance(500)
    cluster.check_no_second_grant()


@pytest.mark.parametrize("a_learns_epoch", [True, False])
def test_sealed_voter_refuses_claims_of_the_old_epoch(cluster, a_learns_epoch):
    a, b, c, d, e = list_nodes(cluster)
    cluster.isolated = {c}
    cluster.reassign_voters({c})
    learn_snapshot(cluster, b, d, e, *([a] if a_learns_epoch else ()))
    join_shard(cluster, d, e)
    run_request(cluster, e, undelivered_to={a})
    drop_messages(cluster, a)
    cluster.isolated = set()
    late_claim = cluster.start_claim(c, KEY)
    cluster.deliver_all(undelivered_to={b})
    assert not cluster.may_run(late_claim)
    cluster.check_no_second_grant()


def test_readded_voter_does_not_count_as_holding_the_records(cluster):
    a, b, c, d, e = list_nodes(cluster)
    cluster.reassign_voters({c, e})
    learn_snapshot(cluster, a, b, d, e)
    join_shard(cluster, d, e)
    run_request(cluster, e, undelivered_to={a})
    drop_messages(cluster, a)
    cluster.stopped |= {b, e}
    cluster.reassign_voters({b, e})
    assert set(cluster.latest_snapshot.resources["shard/0"].voters) == {a, c, d}
    learn_snapshot(cluster, a, c, d)
    cluster.check_no_second_grant()


def test_outcome_that_arrives_before_its_claim_is_kept(cluster):
    a, b, c, d, e = list_nodes(cluster)
    claim = run_request(cluster, e, undelivered_to={a})
    delayed, cluster.messages = cluster.messages, []
    cluster.settle(claim, keys_pb2.RAN)
    cluster.deliver_all()
    cluster.messages.extend(delayed)
    cluster.deliver_all()
    cluster.stopped |= {b, c}
    late_claim = cluster.start_claim(d, KEY)
    cluster.deliver_all()
    assert late_claim.claim_round.count_replies(keys_pb2.DONE) == 1


def test_retention_covers_a_late_run(cluster):
    *_, e = list_nodes(cluster)
    claim = cluster.start_claim(e, KEY)
    cluster.deliver_all()
    cluster.advance(key_world.REQUEST_TIMEOUT_S - 1)
    cluster.run(claim)
    # Within the retention time, counted from the run (key_retention_s is 600).
    cluster.advance(590)
    cluster.check_no_second_grant()


def test_claimant_paused_until_its_grant_expires_does_not_run(cluster):
    *_, e = list_nodes(cluster)
    claim = cluster.start_claim(e, KEY)
    cluster.deliver_all()
    cluster.advance(key_world.REQUEST_TIMEOUT_S)
    assert not cluster.may_run(claim)


def test_voters_restarted_at_the_same_address_do_not_vote(cluster):
    a, b, c, _, e = list_nodes(cluster)
    run_request(cluster, e, undelivered_to={b})
    drop_messages(cluster, b)
    cluster.restart(a)
    cluster.restart(c)
    cluster.advance(1)
    cluster.check_no_second_grant()


def test_concurrent_claims_result_in_one_grant(cluster):
    a, b, c, d, e = list_nodes(cluster)
    first, second = cluster.start_claim(d, KEY), cluster.start_claim(e, KEY)
    cluster.deliver_all(undelivered_to={b})
    cluster.deliver_all()
    assert [cluster.may_run(first), cluster.may_run(second)].count(True) == 1
