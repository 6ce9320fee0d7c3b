"""Configurations that other nodes have and this one lacks."""

import asyncio

import platform_world


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_node_that_lacks_a_newer_configuration_asks_its_caller_to_return():
    """Guards against a final 404 for a route that was added already."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "desk")) as world:
            first, second = world.instances
            assert (await first.request("/added/1")).status == 404
            second.node._gossip.publish_status = lambda: None
            member = first.node._table.find("n2")
            member.generation = 9
            await platform_world.wait_for(
                lambda: first.node._gossip.replica.is_outdated
            )
            response = await first.request("/added/1")
            assert response.status == 503
            assert response.find_header(b"retry-after")
            assert (await first.request("/view/1")).status == 200
            assert (await second.request("/added/1")).status == 404

    run_scenario(scenario)


def test_newer_configuration_is_requested_from_another_node_after_silence():
    """Guards against asking a silent node again and again."""

    async def scenario():
        async with platform_world.run(
            ("n1", "desk"), ("n2", "desk"), ("n3", "desk")
        ) as world:
            first = world.instances[0].node
            for instance in world.instances[1:]:
                instance.node._gossip.publish_status = lambda: None
            asked = []
            for name in ("n2", "n3"):
                first._table.find(name).generation = 9
                link = first._gossip.find_link(name)
                link.send = lambda frame, name=name: asked.append(name) or True
            await asyncio.sleep(0.8)
            assert set(asked[:2]) == {"n2", "n3"}

    run_scenario(scenario)
