"""Time limits of a process that is suspended past them."""

import asyncio
import os
import time

import pytest

from lycheestair.sidecar import clock
from lycheestair.sidecar import deadlines

LIMIT_S = 0.05
SUSPENSION_S = LIMIT_S + deadlines.MAX_DELAY_S + 0.1


async def wait_for_data(descriptor):
    loop = asyncio.get_running_loop()
    data = loop.create_future()
    loop.add_reader(descriptor, lambda: data.done() or data.set_result(1))
    try:
        # Reading a message takes several steps of the event loop.
        await data
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return os.read(descriptor, 10)
    finally:
        loop.remove_reader(descriptor)


@pytest.fixture
def pipe():
    descriptors = os.pipe()
    yield descriptors
    for descriptor in descriptors:
        os.close(descriptor)


def test_data_that_arrived_during_a_suspension_is_read(pipe):
    async def scenario():
        def suspend():
            os.write(pipe[1], b"answer")
            time.sleep(SUSPENSION_S)

        asyncio.get_running_loop().call_soon(suspend)
        async with deadlines.limit(clock.read_s() + LIMIT_S):
            return await wait_for_data(pipe[0])

    assert asyncio.run(scenario()) == b"answer"


def test_grace_after_a_suspension_is_bounded(pipe):
    async def scenario():
        asyncio.get_running_loop().call_soon(time.sleep, SUSPENSION_S)
        async with deadlines.limit(clock.read_s() + LIMIT_S):
            await wait_for_data(pipe[0])

    started_at = time.monotonic()
    with pytest.raises(TimeoutError):
        asyncio.run(scenario())
    assert time.monotonic() - started_at < SUSPENSION_S + 1.0


@pytest.mark.parametrize("limit_s", [LIMIT_S, 0.0, -1.0])
def test_code_is_cancelled_at_its_deadline(limit_s):
    async def scenario():
        started_at = clock.read_s()
        with pytest.raises(TimeoutError):
            async with deadlines.limit(started_at + limit_s):
                await asyncio.sleep(10.0)
        return clock.read_s() - started_at

    assert max(0.0, limit_s) <= asyncio.run(scenario()) < 1.0


def test_code_that_ends_in_time_leaves_no_timer():
    async def scenario():
        async with deadlines.limit(clock.read_s() + LIMIT_S):
            pass
        await asyncio.sleep(2 * LIMIT_S)

    asyncio.run(scenario())


def test_cancellation_from_outside_is_not_a_timeout():
    async def scenario():
        async def run():
            async with deadlines.limit(clock.read_s() + 10.0):
                await asyncio.sleep(10.0)

        task = asyncio.create_task(run())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
