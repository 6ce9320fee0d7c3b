"""Property tests of merging under lost, duplicated and reordered messages."""

import dataclasses
import itertools
import random
import threading
import types

import fleet as fleet_lib
import hypothesis
from hypothesis import strategies as st
import pytest

from lycheestair import configuration
from lycheestair import distribution_pb2
from lycheestair import distribution_service
from lycheestair import fanout
from lycheestair import lease_candidates
from lycheestair import member_table
from lycheestair import members
from lycheestair import membership_pb2
from lycheestair import partners
from lycheestair import prober as prober_lib
from lycheestair import replica as replica_lib
from lycheestair import resources
from lycheestair import snapshot as snapshot_lib

SETTINGS = hypothesis.settings(
    max_examples=200, deadline=None, derandomize=True, database=None
)
GENERATION_COUNT = 12


def make_service(name, versions):
    return resources.Service(
        name,
        tuple(resources.Version(f"v{i}") for i in range(versions)),
        (resources.Share("v0", resources.FULL_SHARE_BPS),),
    )


def make_snapshots():
    snapshots = [snapshot_lib.EMPTY]
    for index in range(GENERATION_COUNT):
        removals = (f"service/s{index - 3}",) if index % 4 == 3 else ()
        snapshots.append(
            snapshot_lib.replace_resources(
                snapshots[-1],
                (make_service(f"s{index}", 1), make_service("all", index + 1)),
                removals,
                f"note{index}",
            )
        )
    return snapshots


SNAPSHOTS = make_snapshots()
GENERATION_RANGES = st.tuples(
    st.integers(0, GENERATION_COUNT - 1), st.integers(1, GENERATION_COUNT)
).filter(lambda pair: pair[0] < pair[1])


@SETTINGS
@hypothesis.given(st.lists(GENERATION_RANGES, max_size=40))
def test_deltas_in_any_order_never_lower_the_generation(generation_ranges):
    active_configuration = configuration.ActiveConfiguration()
    activated = [0]
    active_configuration.subscribe(lambda s: activated.append(s.generation))
    replica = replica_lib.Replica(active_configuration)
    for start, end in generation_ranges:
        delta = snapshot_lib.compute_delta(SNAPSHOTS[start], SNAPSHOTS[end])
        replica.apply(delta)
        assert active_configuration.current == SNAPSHOTS[activated[-1]]
    source_configuration = configuration.ActiveConfiguration()
    source_replica = replica_lib.Replica(source_configuration)
    for snapshot in SNAPSHOTS[1:]:
        source_replica.activate(snapshot)
    fetched = replica_lib.decode_delta(
        source_replica.encode_since(active_configuration.current.generation)
    )
    replica.apply(fetched)
    assert active_configuration.current.digest == SNAPSHOTS[-1].digest
    assert all(a < b for a, b in itertools.pairwise(activated))


@pytest.mark.parametrize("fault", ["digest", "content"])
def test_a_damaged_delta_is_not_applied_partially(fault):
    replica = replica_lib.Replica(configuration.ActiveConfiguration())
    delta = snapshot_lib.compute_delta(SNAPSHOTS[0], SNAPSHOTS[5])
    damaged = (
        dataclasses.replace(delta, digest="00" * 16)
        if fault == "digest"
        else dataclasses.replace(delta, upserts=delta.upserts[1:])
    )
    assert replica.apply(damaged) is replica_lib.Outcome.GAP
    assert replica.current is snapshot_lib.EMPTY


def test_a_refused_generation_is_not_fetched_again():
    active_configuration = configuration.ActiveConfiguration()
    refused = {5}

    def refuse(snapshot):
        if snapshot.generation in refused:
            raise ValueError("cannot build routing table")

    active_configuration.subscribe(refuse)
    replica = replica_lib.Replica(active_configuration)
    assert replica.activate(SNAPSHOTS[4]) is replica_lib.Outcome.ACTIVATED
    assert replica.activate(SNAPSHOTS[5]) is replica_lib.Outcome.REFUSED
    assert active_configuration.current is SNAPSHOTS[4]
    assert [replica.should_fetch(g) for g in (4, 5, 6)] == [False, False, True]
    delta = snapshot_lib.compute_delta(SNAPSHOTS[4], SNAPSHOTS[6])
    assert replica.apply(delta) is replica_lib.Outcome.ACTIVATED


@pytest.mark.parametrize("size", [1, 3, 40])
def test_lease_candidates_are_few_and_rotate(size):
    view = {f"n{i}": make_member(f"n{i}", 1) for i in range(size)}
    chosen = [
        {
            name
            for name, member in view.items()
            if lease_candidates.is_lease_candidate(
                types.SimpleNamespace(
                    read_self=lambda member=member: member,
                    read_members=lambda: view,
                ),
                now,
            )
        }
        for now in range(0, 6_000, 60)
    ]
    assert {len(names) for names in chosen} == {min(size, 3)}
    assert len(set().union(*chosen)) == size


def test_choosing_partners_rarely_scans_all_members(monkeypatch):
    # A full scan per choice costs more than all other gossip work in a fleet of
    # 19,000 members.
    scans = []
    scan = member_table.select_live
    monkeypatch.setattr(
        member_table, "select_live", lambda *a: scans.append(a) or scan(*a)
    )
    view = {f"n{i}": make_member(f"n{i}", 1) for i in range(500)}
    selector = partners.Partners(make_member("n0", 1), random.Random(1))
    chosen = [selector.choose(view).node_id for _ in range(200)]
    assert len(scans) <= 2 + 2 * 200 / partners.CHOICES_PER_ROTATION
    assert partners.MAX_LOCAL_PARTNERS < len(set(chosen)) <= 40
    assert "n0" not in chosen


def make_member(name, incarnation, state=members.MemberState.ALIVE):
    return members.Member(
        name, "malta", "malta-a", f"{name}:1", f"{name}:2", incarnation, state
    )


CLAIMS = st.builds(
    make_member,
    st.sampled_from(["a", "b", "c"]),
    st.integers(1, 4),
    st.sampled_from(list(members.MemberState)),
)


def make_table():
    return member_table.MemberTable(make_member("own", 1), 1.0)


@SETTINGS
@hypothesis.given(
    st.lists(CLAIMS, max_size=20).flatmap(
        lambda claims: st.tuples(
            st.just(claims), st.permutations(claims + claims[:5])
        )
    )
)
def test_merging_claims_is_independent_of_order(orders):
    tables = []
    for claims in orders:
        table = make_table()
        for claim in claims:
            before = table.view.get(claim.node_id)
            table.merge([claim], 0.0)
            after = table.view[claim.node_id]
            assert before is None or after.incarnation >= before.incarnation
        table.expire(10.0, 1e9)
        digest = 0
        for member in table.view.values():
            digest ^= member_table.hash_member(member)
        assert table.digest == digest
        tables.append(dict(table.view))
    assert tables[0] == tables[1]


def test_a_dead_claim_about_a_live_member_only_suspects_it():
    table = make_table()
    table.merge([make_member("a", 1)], 0.0)
    for _ in range(2):
        table.merge([make_member("a", 1, members.MemberState.DEAD)], 0.0)
    assert table.view["a"].state is members.MemberState.SUSPECTED
    table.merge([make_member("a", 2)], 0.5)
    table.expire(9.0, 1e9)
    assert table.view["a"].state is members.MemberState.ALIVE


@SETTINGS
@hypothesis.given(
    st.sets(st.integers(0, 10_000), max_size=120), st.integers(2, 5)
)
def test_the_tree_delivers_one_copy_to_each_member(numbers, fan_out):
    all_members = [make_member(f"n{number}", 1) for number in numbers]
    origin = make_member("origin", 1)
    recipients = []

    def forward(sender, hash_range):
        known_members = [m for m in (*all_members, origin) if m != sender]
        branches = fanout.split_range(known_members, hash_range, fan_out)
        assert len(branches) <= fan_out
        for branch in branches:
            chosen = branch.candidates[0]
            recipients.append(chosen)
            forward(chosen, branch.find_remaining_range(chosen))

    forward(origin, fanout.FULL_RANGE)
    assert recipients.count(origin) <= 1
    other_recipients = [member for member in recipients if member != origin]
    assert len(other_recipients) == len(all_members)
    assert set(other_recipients) == set(all_members)


@pytest.mark.parametrize("state", list(members.MemberState))
def test_member_records_are_encoded_without_loss(state):
    endpoint = members.Endpoint("s", "v", 3, members.EndpointState.SERVING, 1.5)
    member = dataclasses.replace(
        make_member("a", 7, state), generation=4, endpoint=endpoint
    )
    data = member_table.encode_member(member).SerializeToString()
    record = membership_pb2.MemberRecord.FromString(data)
    assert member_table.decode_member(record) == member


def test_concurrent_whole_fetches_are_limited():
    node = fleet_lib.Node("n", "malta-a", [], fleet_lib.MemoryStore())
    node.configuration.activate(SNAPSHOTS[-1])
    servicer = distribution_service.DistributionServicer(
        node.settings,
        node.membership,
        replica_lib.Replica(node.configuration),
        None,
        None,
        lambda report: None,
    )
    callbacks = []
    context = types.SimpleNamespace(
        add_callback=lambda callback: callbacks.append(callback) or True
    )
    request = distribution_pb2.FetchRequest(sender="m", generation=0)
    limit = node.settings.distribution.max_concurrent_fetches
    replies = [servicer.Fetch(request, context) for _ in range(limit + 1)]
    assert [r.retry_after_ms > 0 for r in replies] == [False] * limit + [True]
    callbacks.pop()()
    assert servicer.Fetch(request, context).whole


def test_the_prober_stops_during_an_indirect_probe():
    # The prober thread would wait forever for an indirect probe that is still
    # queued when stopping shuts down the executor and cancels it.
    table = types.SimpleNamespace(
        read_self=lambda: make_member("own", 1),
        read_live=lambda: [make_member(n, 1) for n in "abcde"],
        read_dead=list,
        choose_partner=lambda: make_member("a", 1),
        prepare_probe=lambda target: None,
        suspect=lambda target: None,
        run_maintenance=lambda: None,
    )
    node = fleet_lib.Node("n", "malta-a", [], fleet_lib.MemoryStore())
    caller = types.SimpleNamespace(call=lambda *args: None)
    prober = prober_lib.Prober(node.settings, caller, table)
    release_executor = threading.Event()
    for _ in range(node.settings.membership.indirect_probes + 2):
        prober._executor.submit(release_executor.wait)
    prober.start()
    fleet_lib.wait_until(
        lambda: prober._executor._work_queue.qsize() > 0, "queued probe"
    )
    stopper = threading.Thread(target=prober.stop, daemon=True)
    stopper.start()
    fleet_lib.wait_until(prober._stop.is_set, "stop")
    release_executor.set()
    stopper.join(fleet_lib.WAIT_S)
    assert not stopper.is_alive()
