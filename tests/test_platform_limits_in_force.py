"""Limits of requests on connections that are open while they change."""

import asyncio

import platform_world
import pytest

from lycheestair import messages
from lycheestair.sidecar import http1
from lycheestair.sidecar import streams


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 30))


def make_config(version, **limits):
    config = platform_world.make_config(version)
    config["limits"].update(limits)
    return config


async def apply_config(world, instance, version, **limits):
    world.store.put("config", "main", make_config(version, **limits))
    await platform_world.wait_for(
        lambda: instance.node._gossip.catalog.generation == version
    )


async def send(stream, body=b""):
    stream.write(
        http1.encode_request(
            b"POST",
            b"/order/1",
            [
                (b"host", b"shop.example"),
                (b"x-request-id", platform_world.make_id()),
                (b"x-deadline-ms", b"3000"),
            ],
            body,
        )
    )
    async with asyncio.timeout(5):
        return await http1.read_response(stream, b"POST")


@pytest.mark.parametrize(
    ("before", "after", "status"), [(1_000, 5_000, 200), (5_000, 1_000, 413)]
)
def test_first_request_after_a_pause_has_the_limits_in_force(
    before, after, status
):
    """Guards against limits of the time at which a connection became idle."""

    async def scenario():
        async with platform_world.run(
            ("n1", "desk"), config=make_config(7, max_body_bytes=before)
        ) as world:
            (instance,) = world.instances
            stream = await streams.connect(instance.outbound, 1.0)
            assert (await send(stream)).status == 200
            await apply_config(world, instance, 8, max_body_bytes=after)
            response = await send(stream, b"x" * 3_000)
            assert response.status == status
            stream.close()

    run_scenario(scenario)


def test_idle_connection_stays_open_for_the_timeout_in_force():
    """Guards against closing a connection that its client may still use."""

    async def scenario():
        async with platform_world.run(
            ("n1", "desk"), config=make_config(7, idle_timeout_s=2)
        ) as world:
            (instance,) = world.instances
            stream = await streams.connect(instance.outbound, 1.0)
            assert (await send(stream)).status == 200
            await apply_config(world, instance, 8, idle_timeout_s=6)
            await asyncio.sleep(3.0)
            assert not stream.closed
            assert (await send(stream)).status == 200
            await apply_config(world, instance, 9, idle_timeout_s=1)
            assert (await send(stream)).status == 200
            with pytest.raises(messages.IncompleteMessageError):
                async with asyncio.timeout(2.0):
                    await stream.fill(False)

    run_scenario(scenario)
