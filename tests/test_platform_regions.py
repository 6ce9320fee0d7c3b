"""Exchange between regions through relays, against stand-ins."""

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


def count_cross_region_links(machine):
    """Returns the connected links of a node to another region."""
    gossip = machine.node._gossip
    return sum(
        link.connected and not gossip.regions.is_in_own_region(link.member)
        for link in gossip._links.values()
    )


def find_machine(world, name):
    return next(m for m in world.machines if m.name == name)


def test_only_relays_stay_connected_to_another_region():
    """Guards the bytes between regions: a full mesh grows with the square."""

    async def scenario():
        async with platform_world.run(*NORTH, *SOUTH) as world:
            ordinary = find_machine(world, "s3")
            await platform_world.wait_for(
                lambda: not count_cross_region_links(ordinary)
            )
            assert count_cross_region_links(find_machine(world, "s1")) >= 1
            # It serves and is served across the border all the same.
            answer = await ordinary.request("/view/1")
            assert answer.status == 200
            answer = await find_machine(world, "n1").request(
                "/press/1", b"POST"
            )
            assert answer.status == 200

    run_scenario(scenario)


def test_link_for_calls_alone_is_closed_when_idle(monkeypatch):
    """Guards against connections that pile up, and against a lost member."""
    monkeypatch.setattr("lycheestair.sidecar.links.IDLE_CLOSE_S", 0.2)

    async def scenario():
        async with platform_world.run(*NORTH, *SOUTH) as world:
            ordinary = find_machine(world, "s3")
            for _ in range(2):
                answer = await ordinary.request("/view/1")
                assert answer.status == 200
                await platform_world.wait_for(
                    lambda: not count_cross_region_links(ordinary)
                )
            member = ordinary.node._table.find("n1")
            assert member.reachable

    run_scenario(scenario)


@pytest.mark.parametrize("lost", ["s1", "n1"])
def test_configuration_passes_when_a_relay_is_lost(lost):
    """Guards against a region that is served by one relay alone."""

    async def scenario():
        async with platform_world.run(*NORTH, *SOUTH) as world:
            gone = find_machine(world, lost)
            world.machines.remove(gone)
            gone.stop()
            world.store.put("config", "main", platform_world.make_config(9))
            for machine in world.machines:
                replica = machine.node._gossip.replica
                await platform_world.wait_for(
                    lambda r=replica: r.catalog.generation == 9
                )

    run_scenario(scenario)


def test_nodes_of_a_silent_region_are_not_chosen(monkeypatch):
    """Guards against calls that wait for a region that is cut off."""
    monkeypatch.setattr(regions, "REGION_TIMEOUT_S", 1.0)

    async def scenario():
        async with platform_world.run(*NORTH, *SOUTH) as world:
            for machine in world.machines[:2]:
                machine.stop()
            ordinary = find_machine(world, "s3")
            table = ordinary.node._table
            await platform_world.wait_for(
                lambda: not any(table.find(n).reachable for n in ("n1", "n2"))
            )
            answer = await ordinary.request("/view/1")
            assert answer.status == 503

    run_scenario(scenario)


def test_lost_record_may_go_while_another_is_removed():
    """Guards the process: a watch event came during the call to the store."""

    async def scenario():
        async with platform_world.run(*NORTH) as world:
            work = world.machines[0].node._feeder
            work._record_revisions = {"x1": 1, "x2": 1}

            async def delete(kind, name, revision):
                del kind, name, revision
                work._record_revisions.clear()

            work._store.delete = delete
            await work._remove_stale_records()

    run_scenario(scenario)


def test_failed_task_of_the_feeder_starts_anew(monkeypatch):
    """Guards the process against an unexpected document or error."""
    monkeypatch.setattr(feeder, "MAX_RETRY_DELAY_S", 0.05)

    async def scenario():
        async with platform_world.run(*NORTH) as world:
            failed = []

            def fail(catalog):
                failed.append(catalog)
                raise KeyError("unexpected")

            for machine in world.machines:
                replica = machine.node._gossip.replica
                monkeypatch.setattr(replica, "activate", fail)
            world.store.put("config", "main", platform_world.make_config(9))
            await platform_world.wait_for(lambda: len(failed) > 2)
            monkeypatch.undo()
            for machine in world.machines:
                replica = machine.node._gossip.replica
                await platform_world.wait_for(
                    lambda r=replica: r.catalog.generation == 9
                )

    run_scenario(scenario)
