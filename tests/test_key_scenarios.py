"""Guards against a second run permission in histories that are hard to reach.

Each history makes one rule of the voters necessary: without that rule the
last check finds a majority that would grant a key that ran.
"""

import key_world
import pytest

from lycheestair import keys
from lycheestair import keys_pb2

KEY = "k"
# A voter sees its epoch within a step of the simulated time.
CLOSURE_S = (
    keys.compute_closure_s(key_world.make_settings("a1").requests)
    + 2 * key_world.STEP_S
)


@pytest.fixture
def world():
    return key_world.World()


def split(world):
    """Returns the three voters and the other two nodes."""
    voters = world.head.resources["shard/0"].voters
    return *voters, *(n for n in key_world.NODES if n not in voters)


def run(world, name, kept_from=()):
    claim = world.start_claim(name, KEY)
    world.deliver_all(kept_from)
    assert world.may_run(claim)
    world.run(claim)
    return claim


def drop(world, name):
    world.messages = [m for m in world.messages if m.target != name]


def learn(world, *names):
    for name in names:
        world.processes[name].configuration.activate(world.head)


def join(world, *names):
    for name in names:
        world.start_join(name)
    world.deliver_all()


def test_new_voter_learns_the_grants_of_both_others(world):
    a, b, c, d, e = split(world)
    run(world, e, kept_from={b})
    drop(world, b)
    world.down.add(c)
    world.control({c})
    learn(world, a, b, d)
    join(world, d, e)
    world.check_no_second_grant()
    assert c not in world.head.resources["shard/0"].voters


def test_release_of_a_losing_claim_does_not_free_a_copied_key(world):
    a, b, c, d, e = split(world)
    loser = world.start_claim(e, KEY)
    world.deliver_all(kept_from={b, c})
    drop(world, b)
    drop(world, c)
    run(world, d, kept_from={a})
    drop(world, a)
    world.down.add(c)
    world.control({c})
    learn(world, a, b, d, e)
    join(world, d, e)
    world.settle(loser, keys_pb2.NOT_RUN)
    world.deliver_all()
    world.check_no_second_grant()


def test_voter_does_not_join_through_one_that_has_no_records(world):
    a, b, c, d, e = split(world)
    run(world, e, kept_from={a})
    drop(world, a)
    for lost in (c, b):
        world.down.add(lost)
        world.control({c, b} & world.down)
        learn(world, a, d, e)
    join(world, d, e)
    world.check_no_second_grant()
    # Once all old records have expired the shard works again.
    world.advance(CLOSURE_S)
    join(world, d, e)
    run(world, a)


def test_isolated_voters_stop_before_their_shard_opens_elsewhere(world):
    a, b, c, d, e = split(world)
    world.isolated = {a, b}
    world.control({a, b})
    learn(world, c, d, e)
    world.advance(CLOSURE_S)
    isolated = world.start_claim(a, KEY)
    world.deliver_all()
    assert not world.may_run(isolated)
    run(world, c)


def test_late_run_of_isolated_voters_counts(world):
    a, b, c, d, e = split(world)
    world.isolated = {a, b}
    world.control({a, b})
    learn(world, c, d, e)
    world.advance(299)
    claim = world.start_claim(a, KEY)
    world.deliver_all()
    world.advance(key_world.RUN_S - 1)
    world.run(claim)
    for _ in range(40):
        world.advance(key_world.STEP_S)
        world.check_no_second_grant()


def test_shard_stays_closed_though_wall_clocks_are_ahead(world):
    a, b, c, d, e = split(world)
    world.wall_skew = 3_600.0
    world.isolated = {a, b}
    world.control({a, b})
    learn(world, c, d, e)
    world.advance(290)
    run(world, a)
    world.advance(500)
    world.check_no_second_grant()


@pytest.mark.parametrize("a_learns", [True, False])
def test_sealed_voter_refuses_claims_of_the_old_epoch(world, a_learns):
    a, b, c, d, e = split(world)
    world.isolated = {c}
    world.control({c})
    learn(world, b, d, e, *([a] if a_learns else ()))
    join(world, d, e)
    run(world, e, kept_from={a})
    drop(world, a)
    world.isolated = set()
    late = world.start_claim(c, KEY)
    world.deliver_all(kept_from={b})
    assert not world.may_run(late)
    world.check_no_second_grant()


def test_readded_voter_is_not_taken_for_one_that_holds_the_records(world):
    a, b, c, d, e = split(world)
    world.control({c, e})
    learn(world, a, b, d, e)
    join(world, d, e)
    run(world, e, kept_from={a})
    drop(world, a)
    world.down |= {b, e}
    world.control({b, e})
    assert set(world.head.resources["shard/0"].voters) == {a, c, d}
    learn(world, a, c, d)
    world.check_no_second_grant()


def test_outcome_that_overtakes_its_claim_is_kept(world):
    a, b, c, d, e = split(world)
    claim = run(world, e, kept_from={a})
    delayed, world.messages = world.messages, []
    world.settle(claim, keys_pb2.RAN)
    world.deliver_all()
    world.messages.extend(delayed)
    world.deliver_all()
    world.down |= {b, c}
    late = world.start_claim(d, KEY)
    world.deliver_all()
    assert late.round.count(keys_pb2.DONE) == 1


def test_time_counts_from_a_late_run(world):
    *_, e = split(world)
    claim = world.start_claim(e, KEY)
    world.deliver_all()
    world.advance(key_world.RUN_S - 1)
    world.run(claim)
    world.advance(590)
    world.check_no_second_grant()


def test_claimant_paused_beyond_the_validity_does_not_run(world):
    *_, e = split(world)
    claim = world.start_claim(e, KEY)
    world.deliver_all()
    world.advance(key_world.RUN_S)
    assert not world.may_run(claim)


def test_voters_restarted_at_the_same_address_do_not_vote(world):
    a, b, c, _, e = split(world)
    run(world, e, kept_from={b})
    drop(world, b)
    world.restart(a)
    world.restart(c)
    world.advance(1)
    world.check_no_second_grant()


def test_crossed_claims_leave_one_permission(world):
    a, b, c, d, e = split(world)
    first, second = world.start_claim(d, KEY), world.start_claim(e, KEY)
    world.deliver_all(kept_from={b})
    world.deliver_all()
    assert [world.may_run(first), world.may_run(second)].count(True) == 1
