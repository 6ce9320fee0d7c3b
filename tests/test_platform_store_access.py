"""A configuration arrives in time when the store turns most nodes away."""

import asyncio
import time

import platform_world
import pytest

# Time within which a configuration that the store has accepted is in force.
APPLY_S = 2.5
# In the order in which they are feeders.
NAMES = [f"n{number:02d}" for number in range(12)]
ROUTES = [("added", "/added/", "safe", [("desk", 1)])]


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 60))


async def add_instance(world, name, zone):
    """Adds an instance that the store can turn away."""
    instance = platform_world.Instance(world, name, "desk", "v1", zone)
    instance.store_address = platform_world.allocate_address()
    instance.gate = await world.store.open_gate(instance.store_address)
    world.instances.append(instance)
    await instance.start()
    return instance


async def run_world(test, names=NAMES):
    async with platform_world.run() as world:
        for number, name in enumerate(names):
            await add_instance(world, name, "ab"[number % 2] + "1")
        await world.wait_ready()
        # All feeders wait for changes.
        await asyncio.sleep(1.5)
        await test(world)


async def change_configuration(world, generation):
    """Adds a route; returns the longest time in seconds until it is in force."""
    world.store.put(
        "config", "main", platform_world.make_config(generation, ROUTES)
    )
    changed_at = time.monotonic()
    await platform_world.wait_for(
        lambda: all(
            instance.node._gossip.catalog.generation == generation
            for instance in world.instances
        ),
        12,
    )
    return time.monotonic() - changed_at


@pytest.mark.parametrize("how", ["silent", "busy", "many", "reset"])
@pytest.mark.parametrize("reaching", ["n11", "n05", "n00"])
def test_configuration_arrives_when_the_store_serves_one_node(how, reaching):
    """Guards against asking the nodes for the store one after the other."""

    async def test(world):
        for instance in world.instances:
            if instance.name != reaching:
                instance.gate.how = how
        assert await change_configuration(world, 8) < APPLY_S
        # The next one is found by a watch.
        await asyncio.sleep(1.0)
        assert await change_configuration(world, 9) < APPLY_S

    run_scenario(lambda: run_world(test))
