"""Scenario tests of membership and distribution under node and link failures.

At the end of every scenario, the fixture checks that each node activated
strictly increasing generations.
"""

import itertools
import types

import fleet as fleet_lib
import links
import ports
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from lycheestair import generation_reports
from lycheestair import members

scenarios("features/membership.feature", "features/distribution.feature")
ALIVE = members.MemberState.ALIVE
DRAINING_ENDPOINT = members.Endpoint(
    "proofroom", "v1", 9, members.EndpointState.DRAINING, 1.0
)


@pytest.fixture
def world():
    """Returns the state that the steps of a scenario share.

    Attributes:
      target: Generation of the change accepted last.
      killed: Nodes that were stopped.
      dead: IDs of the nodes that any node declared dead.
      initial_incarnations: Incarnation of each node after the start.
    """
    world = types.SimpleNamespace(
        fleet=None,
        network=None,
        target=0,
        killed=[],
        dead=set(),
        initial_incarnations=None,
    )
    yield world
    if world.fleet is not None:
        world.fleet.stop()
        for node in world.fleet.nodes + world.killed:
            successive_generations = itertools.pairwise(node.generations)
            assert all(
                a < b for a, b in successive_generations
            ), node.generations
    if world.network is not None:
        world.network.close()


def find_node(world, name):
    (node,) = (n for n in world.fleet.nodes if n.settings.node.id == name)
    return node


def find_others(world, name):
    return [n for n in world.fleet.running if n.settings.node.id != name]


def kill_nodes(world, nodes):
    fleet_lib.run_concurrently([node.stop for node in nodes])
    world.killed += nodes


def find_feeder(world, region):
    def matches():
        return [
            node
            for node in world.fleet.running
            if node.settings.node.region == region
            and node.distributor.is_feeder
        ]

    fleet_lib.wait_until(matches, f"feeder of {region}")
    return matches()[0]


@given(parsers.parse("a fleet of {count:d} nodes"))
def start_fleet(world, count):
    world.fleet = fleet_lib.Fleet(count).start()
    for region in fleet_lib.REGIONS:
        find_feeder(world, region)


@given(parsers.parse("a fleet of {count:d} nodes connected by links"))
def start_linked_fleet(world, count):
    world.network = links.Network()
    world.fleet = fleet_lib.Fleet(count, network=world.network).start()

    def record_dead(view):
        world.dead |= {
            m.node_id
            for m in view.values()
            if m.state is members.MemberState.DEAD
        }

    for node in world.fleet.nodes:
        node.membership.subscribe(record_dead)
    world.initial_incarnations = {
        n.settings.node.id: n.membership.read_self().incarnation
        for n in world.fleet.nodes
    }


@given("a node that can reach neither peers nor the store")
def start_isolated_node(world):
    store = fleet_lib.MemoryStore()
    store.down = True
    seed = f"127.0.0.1:{ports.reserve_port()}"
    world.fleet = fleet_lib.Fleet(0)
    world.fleet.nodes = [
        fleet_lib.Node("n", "malta-a", [seed], store, boot_timeout_ms=300)
    ]
    world.fleet.nodes[0].start()


@when(parsers.parse("node {name} is killed"))
def kill_node(world, name):
    kill_nodes(world, [find_node(world, name)])


@when(parsers.parse("node {name} leaves"))
def leave_fleet(world, name):
    node = find_node(world, name)
    node.membership.leave()
    kill_nodes(world, [node])


@when(parsers.parse("node {name} is restarted"))
def restart_node(world, name):
    world.fleet.restart([find_node(world, name)])


@when(
    parsers.parse(
        "node {name} is restarted with a clock that is one hour behind"
    )
)
def restart_with_clock_behind(world, name, monkeypatch):
    read_real_time_ns = fleet_lib.time.time_ns
    monkeypatch.setattr(
        "lycheestair.member_table.time.time_ns",
        lambda: read_real_time_ns() - 3_600 * 10**9,
    )
    world.fleet.restart([find_node(world, name)])


@when(parsers.parse("node {name} announces a draining endpoint"))
def announce_draining(world, name):
    find_node(world, name).membership.announce_endpoint(DRAINING_ENDPOINT)


@when(parsers.parse("nodes {names} are partitioned from the others"))
def partition_nodes(world, names):
    world.network.partition(
        {find_node(world, name).address for name in names.split(", ")}
    )


@when(parsers.parse("the link between {first} and {second} is blocked"))
def block_link(world, first, second):
    a, b = find_node(world, first).address, find_node(world, second).address
    world.network.find_link(a, b).set_blocked(True)
    world.network.find_link(b, a).set_blocked(True)


@when(
    parsers.parse(
        "node {name} has sent indirect probe requests for node {target}"
    )
)
def wait_for_indirect_probes(world, name, target):
    def count_indirect_probe_classes():
        traffic = find_node(world, name).membership.traffic.read_sent()
        return sum(k.kind == "indirect_probe" for k in traffic)

    fleet_lib.wait_until(count_indirect_probe_classes, "indirect probes")


@when("the network heals")
def heal_network(world):
    world.network.heal()


@when(parsers.parse("node {name} accepts a change"))
def accept_change(world, name):
    node = find_node(world, name)
    world.target = node.accept(f"note{world.target}")


@when(parsers.parse("node {name} accepts {count:d} changes"))
def accept_changes(world, name, count):
    for _ in range(count):
        accept_change(world, name)


@when(
    parsers.parse(
        "node {name} accepts a change and is killed before distributing it"
    )
)
def accept_and_kill(world, name):
    world.target = find_node(world, name).accept("note", publish=False)
    kill_nodes(world, [find_node(world, name)])


@when(parsers.parse("node {name} accepts a change and the store goes down"))
def accept_and_stop_store(world, name):
    # The feeders do not receive the watch event, as if the store failed before
    # sending it.
    world.fleet.store.drop_watch_events = True
    node = find_node(world, name)
    world.target = node.accept("note", publish=False)
    snapshot = world.fleet.read_snapshot()
    world.fleet.store.down = True
    node.distributor.publish(snapshot)


@when("the store goes down")
def stop_store(world):
    world.fleet.store.down = True


@when(parsers.parse("the store is down for {region}"))
def stop_store_for_region(world, region):
    for node in world.fleet.nodes:
        if node.settings.node.region == region:
            node.store.unreachable = True


@when("the store serves the previous head")
def serve_previous_head(world):
    world.fleet.store.serve_previous_head()


@when(parsers.parse("the feeder of {region} is killed"))
def kill_feeder(world, region):
    kill_nodes(world, [find_feeder(world, region)])


@when(parsers.parse("all nodes but {name} are killed"))
def kill_others(world, name):
    kill_nodes(world, find_others(world, name))


@when("all nodes are killed")
def kill_all(world):
    kill_nodes(world, world.fleet.running)


@when("all killed nodes are restarted at the same time")
def restart_killed(world):
    world.fleet.restart(list(world.killed))


@when(parsers.parse("{region} has another feeder"))
@then(parsers.parse("{region} has another feeder"))
def check_feeder(world, region):
    find_feeder(world, region)


@then("the change is in force at all running nodes")
def check_in_force(world):
    assert world.target
    world.fleet.wait_for_generation(world.target)
    digests = {n.configuration.current.digest for n in world.fleet.running}
    assert len(digests) == 1


@then("the refreshed reports of each node show no lagging node")
def check_reported_generations(world):
    for node in world.fleet.running:
        generation_reports.refresh_generations(node.membership)
        reported = {
            m.node_id: m.generation for m in node.membership.read_live()
        }
        assert set(reported.values()) == {world.target}, reported


@then(parsers.parse("the change is in force at nodes {names}"))
def check_in_force_at(world, names):
    nodes = [find_node(world, name) for name in names.split(", ")]
    fleet_lib.wait_until(
        lambda: all(n.generation == world.target for n in nodes),
        names,
    )


@then(parsers.parse("all other nodes see node {name} as {state}"))
def check_state_at_others(world, name, state):
    expected = members.MemberState(state)
    fleet_lib.wait_until(
        lambda: all(
            n.read_state_of(name) is expected
            for n in find_others(world, name)
            if world.network is None
            or not world.network.is_in_first_group(n.address)
        ),
        f"{name} is {state}",
    )


@then(parsers.parse("node {name} sees node {other} as {state}"))
def check_state_at_node(world, name, other, state):
    expected = members.MemberState(state)
    node = find_node(world, name)
    fleet_lib.wait_until(lambda: node.read_state_of(other) is expected, other)


@then("all nodes see each other as alive")
def check_all_alive(world):
    world.fleet.wait_for_members()


@then(parsers.parse("node {name} has a higher incarnation than before"))
def check_incarnation(world, name):
    own = find_node(world, name).membership.read_self()
    assert own.incarnation > world.initial_incarnations[name]


@then("no node was ever declared dead")
def check_none_dead(world):
    assert not world.dead


@then(parsers.parse("all other nodes see the draining endpoint of node {name}"))
def check_endpoint(world, name):
    fleet_lib.wait_until(
        lambda: all(
            n.membership.read_members()[name].endpoint == DRAINING_ENDPOINT
            for n in find_others(world, name)
        ),
        "endpoint",
    )


@then("all nodes report a completed boot")
def check_booted(world):
    assert all(node.booted for node in world.fleet.nodes)


@then("its boot reports that neither peers nor the store were reached")
def check_not_booted(world):
    assert world.fleet.nodes[0].booted is False
