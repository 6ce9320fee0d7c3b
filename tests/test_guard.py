"""Tests of evidence and caps between nodes over gRPC, without a store."""

import contextlib
import time

import moves_support as support
import ports
import pytest

from lycheestair import aggregation
from lycheestair import caps as caps_lib
from lycheestair import compiler
from lycheestair import configuration as configuration_lib
from lycheestair import control
from lycheestair import evidence
from lycheestair import evidence_exchange
from lycheestair import evidence_pb2
from lycheestair import guard as guard_lib
from lycheestair import note as note_lib
from lycheestair import observations
from lycheestair import resources
from lycheestair import snapshot as snapshot_lib

SERVICES = frozenset({"s"})
NEW = observations.VersionRoute("s", "v2", "r")
OLD = observations.VersionRoute("s", "v1", "r")


def make_snapshot():
    snapshot = snapshot_lib.EMPTY
    for text in (support.BASE_NOTE, support.make_move_note("n1", "m")):
        snapshot = compiler.compile_note(
            note_lib.parse_note(text), snapshot, support.START
        )
    return with_move(snapshot, state=resources.MoveState.MOVING, share_bps=50)


def make_cap(bps=0):
    return caps_lib.Cap("m", "s", "v2", bps, 0, "n9", "reason")


def with_move(snapshot, **changes):
    move = resources.dataclasses.replace(snapshot.move("m"), **changes)
    return snapshot_lib.replace_resources(snapshot, (move,))


class Node:
    """Evidence exchange and guard of one node, with its control listener."""

    def __init__(self, member, **moves):
        self.member = member
        settings = support.make_settings(
            member.node_id, member.failure_domain, member.control, **moves
        )
        self.membership = support.FakeMembership(member)
        self.channels = control.PeerChannels(settings)
        self.table = evidence.EvidenceTable(settings)
        self.exchange = evidence_exchange.EvidenceExchange(
            settings, self.table, self.channels, self.membership
        )
        self.configuration = configuration_lib.ActiveConfiguration()
        self.configuration.activate(make_snapshot())
        self.guard = guard_lib.Guard(
            *(settings, self.table, self.exchange, self.channels),
            *(self.membership, self.configuration),
        )
        self.guard.tick(support.START)
        self.server = control.ControlServer(settings)
        self.server.register(self.exchange.register)
        self.server.start()

    def add_members(self, *others):
        self.membership.members.update({o.node_id: o for o in others})

    def record(self, target, calls, failed=0):
        for index in range(calls):
            self.table.record(target, index < failed, 10.0)

    def cap(self):
        return self.guard.read_cap_bps("s", "v2")

    def stop(self):
        self.server.stop(0)
        self.channels.close()


@pytest.fixture
def make_nodes():
    with contextlib.ExitStack() as stack:

        def make(*placements, full_membership=True, **moves):
            members = [
                support.make_member(
                    f"n{index}",
                    domain,
                    f"v{index % 2 + 1}",
                    control=f"127.0.0.1:{ports.reserve_port()}",
                )
                for index, domain in enumerate(placements)
            ]
            nodes = [Node(member, **moves) for member in members]
            for node in nodes:
                stack.callback(node.stop)
                if full_membership:
                    node.add_members(*members)
            return nodes

        yield make


def wait_for(condition):
    end = time.monotonic() + 20
    while not condition() and time.monotonic() < end:
        time.sleep(0.01)
    return condition()


def report_failures_of_new_version(node, ticks=8):
    for tick in range(ticks):
        node.record(OLD, 900, 9)
        node.record(NEW, 50, 25)
        node.exchange.report(time.monotonic())
        node.guard.tick(support.START + tick * 0.5)


def test_controller_gets_each_outcome_once_from_each_domain(make_nodes):
    nodes = make_nodes("d1", "d1", "d1", "d2")
    total = 0
    collected = []
    for _ in range(6):
        for node in nodes:
            node.record(NEW, 10, 3)
            total += 10
            node.exchange.report(time.monotonic())
        collected += nodes[3].exchange.collect(SERVICES)
    for node in nodes * 2:
        node.exchange.report(time.monotonic())
    collected += nodes[3].exchange.collect(SERVICES)
    rows = evidence.merge_rows(part.rows for part in collected)
    assert rows[NEW].calls == total
    assert rows[NEW].failed == total * 3 // 10
    assert rows[NEW].histogram.sum() == total
    assert {part.domain for part in collected} == {"d1", "d2"}
    assert {p.nodes for p in collected[-2:] if p.domain == "d1"} == {3}


def test_resent_report_counts_once():
    aggregator = aggregation.DomainAggregator(10.0)
    first = (1, support.make_rows((5, 1), (0, 0)))
    second = (2, support.make_rows((7, 0), (0, 0)))
    aggregator.add(("n1", 1), [first], 0.0)
    aggregator.add(("n1", 1), [first, second], 0.5)
    aggregator.add(("n1", 2), [first], 0.5)  # The node has restarted.
    aggregator.close_interval(1.0)
    assert aggregator.log.read_after(0)[0].rows[NEW].calls == 5 + 7 + 5


def test_message_size_of_a_domain_is_independent_of_its_node_count(make_nodes):
    sizes = {}
    (node,) = make_nodes("d1")
    for count in (10, 100):
        for index in range(count):
            node.exchange.domain_aggregator.add(
                (f"{count}/{index}", 1),
                [(1, support.make_rows((9, 1), (99, 1)))],
                0.0,
            )
        node.exchange.domain_aggregator.close_interval(time.monotonic())
        (part,) = node.exchange.collect(SERVICES)
        sizes[count] = part.size
    assert sizes[100] < 1.5 * sizes[10]
    assert node.exchange.collect_bytes["d1"] == sum(sizes.values())


def test_unreachable_domain_has_no_rows_and_an_age(make_nodes):
    local, remote = make_nodes("d1", "d2")
    remote.server.stop(0)
    parts = {p.domain: p for p in local.exchange.collect(SERVICES)}
    assert parts["d2"].age_s > evidence_exchange.STALE_AFTER_S
    assert not parts["d2"].rows


def test_rows_round_trip_through_encoding():
    rows = support.make_rows((5, 1), (900, 7))
    decoded = evidence.decode_rows(evidence.encode_rows(rows))
    assert decoded.keys() == rows.keys()
    assert (decoded[NEW].histogram == rows[NEW].histogram).all()
    bad = evidence_pb2.Row(buckets=[10_000], bucket_calls=[1])
    (counts,) = evidence.decode_rows([bad]).values()
    assert counts.histogram.sum() == 0


def test_intervals_outside_the_window_are_dropped():
    table = evidence.EvidenceTable(support.make_settings(window_s=2.0))
    table.record(NEW, True, 10.0)
    table.close_interval(0.0)
    table.close_interval(1.0)
    table.close_interval(2.5)
    assert [i.sequence for i in table.log.read_after(0)] == [2, 3]


def test_isolated_node_stops_a_bad_version(make_nodes):
    (node,) = make_nodes("d1")
    node.add_members(
        support.make_member("old"), support.make_member("gone", "d2")
    )
    report_failures_of_new_version(node)
    assert node.cap() == 0
    # The cap stays until a decision, even if the version no longer fails.
    for tick in range(20):
        node.record(NEW, 50)
        node.guard.tick(support.START + 10 + tick)
    assert node.cap() == 0


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"share_bps": 200}, 0),  # A step decided before the cap was known.
        ({"waits_for": "text"}, 0),
        ({"review": 1}, None),
        ({"state": resources.MoveState.TAKEN_BACK}, None),
        ({"state": resources.MoveState.CANCELLED}, None),
    ],
)
def test_cap_ends_only_after_a_later_review_or_the_end_of_the_move(
    make_nodes, changes, expected
):
    (node,) = make_nodes("d1")
    cap = make_cap()
    node.guard.add_cap(cap)
    node.configuration.activate(
        with_move(node.configuration.current, **changes)
    )
    node.guard.tick(support.START)
    assert node.cap() == expected
    # A delayed notice of the cap has no effect.
    node.guard.add_cap(cap)
    assert node.cap() == expected


def test_peers_are_notified_of_a_cap(make_nodes):
    nodes = make_nodes("d1", "d1", "d2", "d2")
    report_failures_of_new_version(nodes[0])
    assert wait_for(lambda: all(node.cap() == 0 for node in nodes))


def test_cap_is_forwarded_by_peers(make_nodes):
    first, middle, last = make_nodes("d1", "d1", "d2", full_membership=False)
    first.add_members(middle.member)
    middle.add_members(last.member)
    first.guard.add_cap(make_cap())
    assert wait_for(lambda: last.cap() == 0)


def test_controller_collects_caps_with_the_evidence(make_nodes):
    local, remote = make_nodes("d1", "d2")
    cap = make_cap(9_000)
    remote.guard.add_cap(cap)
    assert cap in {
        c for part in local.exchange.collect(SERVICES) for c in part.caps
    }


def test_strictest_cap_applies(make_nodes):
    (node,) = make_nodes("d1")
    for bps, expected in ((9_000, 9_000), (0, 0), (9_000, 0)):
        node.guard.add_cap(make_cap(bps))
        assert node.cap() == expected


def test_common_fault_sets_no_cap(make_nodes):
    (node,) = make_nodes("d1")
    for tick in range(20):
        node.record(OLD, 900, 300)
        node.record(NEW, 50, 17)
        node.exchange.report(time.monotonic())
        node.guard.tick(support.START + tick * 0.5)
    assert node.cap() is None


def test_failures_are_reported_to_the_domain_guard_before_the_next_tick(
    make_nodes,
):
    """The tick is 10 minutes, and no node alone has enough evidence."""
    nodes = make_nodes("d1", "d1", "d1", tick_ms=600_000)
    for node in nodes:
        node.exchange.start()
        node.guard.start()

    def stopped():
        for node in nodes:
            node.record(OLD, 30)
            node.record(NEW, 1, 1)
        return all(node.cap() == 0 for node in nodes)

    assert wait_for(stopped)
    for node in nodes:
        node.guard.stop()
        node.exchange.stop()
