"""Tests the exchange between regions with nodes and stand-ins on loopback."""

import asyncio

import platform_world
import pytest

from lycheestair.sidecar import feeder
from lycheestair.sidecar import regions

NORTH = (("n1", "desk", "v1", "a1"), ("n2", "desk", "v1", "a1"))
SOUTH = (
    ("s1", "press", "v1", "b1"),
    ("s2", "press", "v1", "b1"),
    ("s3", "press", "v1", "b1"),
)


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 40))


def count_cross_region_links(instance):
    """Returns the number of a node's connected links to another region."""
    gossip = instance.node._gossip
    return sum(
        link.connected and not gossip.regions.is_in_own_region(link.member)
        for link in gossip._links.values()
    )


def find_instance(world, name):
    return next(
        instance for instance in world.instances if instance.name == name
    )


def test_only_relays_stay_connected_to_another_region():
    """Guards against a full mesh between regions.

    Its traffic between regions would grow with the square of the node count.
    """

    async def scenario():
        async with platform_world.run(*NORTH, *SOUTH) as world:
            non_relay = find_instance(world, "s3")
            await platform_world.wait_for(
                lambda: not count_cross_region_links(non_relay)
            )
            assert count_cross_region_links(find_instance(world, "s1")) >= 1
            # Calls still work across regions in both directions.
            response = await non_relay.request("/view/1")
            assert response.status == 200
            response = await find_instance(world, "n1").request(
                "/press/1", b"POST"
            )
            assert response.status == 200

    run_scenario(scenario)


def test_link_used_only_for_calls_is_closed_when_idle(monkeypatch):
    """Guards against idle cross-region connections that stay open.

    Closing one must not mark the member as unreachable.
    """
    monkeypatch.setattr("lycheestair.sidecar.links.IDLE_CLOSE_S", 0.2)

    async def scenario():
        async with platform_world.run(*NORTH, *SOUTH) as world:
            non_relay = find_instance(world, "s3")
            for _ in range(2):
                response = await non_relay.request("/view/1")
                assert response.status == 200
                await platform_world.wait_for(
                    lambda: not count_cross_region_links(non_relay)
                )
            member = non_relay.node._table.find("n1")
            assert member.reachable

    run_scenario(scenario)


@pytest.mark.parametrize("lost", ["s1", "n1"])
def test_configuration_arrives_when_a_relay_is_stopped(lost):
    """Guards against dependence on a single relay.

    The first relay of either region stops before a configuration is written.
    """

    async def scenario():
        async with platform_world.run(*NORTH, *SOUTH) as world:
            stopped = find_instance(world, lost)
            world.instances.remove(stopped)
            stopped.stop()
            world.store.put("config", "main", platform_world.make_config(9))
            for instance in world.instances:
                replica = instance.node._gossip.replica
                await platform_world.wait_for(
                    lambda r=replica: r.catalog.generation == 9
                )

    run_scenario(scenario)


def test_nodes_of_an_unreachable_region_are_not_chosen(monkeypatch):
    """Guards against calls to nodes of an unreachable region.

    All nodes of the other region stop, and no digest arrives from it any more.
    """
    monkeypatch.setattr(regions, "REGION_TIMEOUT_S", 1.0)

    async def scenario():
        async with platform_world.run(*NORTH, *SOUTH) as world:
            for instance in world.instances[:2]:
                instance.stop()
            non_relay = find_instance(world, "s3")
            table = non_relay.node._table
            await platform_world.wait_for(
                lambda: not any(table.find(n).reachable for n in ("n1", "n2"))
            )
            response = await non_relay.request("/view/1")
            assert response.status == 503

    run_scenario(scenario)


def test_stale_record_may_be_deleted_while_another_is_removed():
    """Guards against a KeyError in the removal of node records.

    A watch event can remove a record during the delete call for another one.
    """

    async def scenario():
        async with platform_world.run(*NORTH) as world:
            node_feeder = world.instances[0].node._feeder
            node_feeder._record_revisions = {"x1": 1, "x2": 1}

            async def delete(kind, name, revision):
                del kind, name, revision
                node_feeder._record_revisions.clear()

            node_feeder._store.delete = delete
            await node_feeder._remove_stale_records()

    run_scenario(scenario)


def test_failed_feeder_task_is_restarted(monkeypatch):
    """Guards against feeder tasks that end after an unexpected error."""
    monkeypatch.setattr(feeder, "MAX_RETRY_DELAY_S", 0.05)

    async def scenario():
        async with platform_world.run(*NORTH) as world:
            attempts = []

            def fail(catalog):
                attempts.append(catalog)
                raise KeyError("unexpected")

            for instance in world.instances:
                replica = instance.node._gossip.replica
                monkeypatch.setattr(replica, "activate", fail)
            world.store.put("config", "main", platform_world.make_config(9))
            await platform_world.wait_for(lambda: len(attempts) > 2)
            monkeypatch.undo()
            for instance in world.instances:
                replica = instance.node._gossip.replica
                await platform_world.wait_for(
                    lambda r=replica: r.catalog.generation == 9
                )

    run_scenario(scenario)
