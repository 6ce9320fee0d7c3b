"""Backend servers whose answers have no end, beside a sound service.

The nodes run in this process, and the faulty servers in processes of their own.
"""

import asyncio
import contextlib
import pathlib
import subprocess
import sys
import time

import endless_server
import platform_world
import pytest

# Of the routes in platform_standins.make_config.
ROUTE_TIMEOUT_S = 2.0
OBJECTIVE_S = 0.5
# Time after the timeout of its route by which a request is answered.
MARGIN_S = 0.5
INTERVAL_S = 0.05
LOAD_S = 4.0


@contextlib.contextmanager
def run_endless_server(address, kind):
    script = pathlib.Path(endless_server.__file__)
    host, _, port = address.rpartition(":")
    process = subprocess.Popen(
        [sys.executable, str(script), host, port, kind],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout.readline() == "ready\n"
        yield
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


async def time_request(instance, path):
    sent_at = time.monotonic()
    response = await instance.request(path, b"POST", deadline_ms=4_000)
    return response.status, time.monotonic() - sent_at


@pytest.mark.parametrize("kind", endless_server.KINDS)
def test_answers_without_end_delay_no_other_requests(kind):
    """Guards the event loop of a node against decoding without a pause.

    All slots of the faulty server are in use. Requests to it are answered in
    time, and those to the sound service meet their objective.
    """

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "press")) as world:
            faulty, sound = world.instances
            faulty.backend_server.stop()
            with run_endless_server(faulty.backend_server.address, kind):
                tasks = {"/order/1": [], "/press/1": []}
                end = time.monotonic() + LOAD_S
                while time.monotonic() < end:
                    for path, requests in tasks.items():
                        requests.append(
                            asyncio.create_task(time_request(faulty, path))
                        )
                    if time.monotonic() < end - 1.0:
                        await faulty.backend_server.announce()
                    await sound.backend_server.announce()
                    await asyncio.sleep(INTERVAL_S)
                results = {
                    path: await asyncio.gather(*requests)
                    for path, requests in tasks.items()
                }
            assert all(status >= 500 for status, _ in results["/order/1"])
            longest_s = max(duration for _, duration in results["/order/1"])
            assert longest_s < ROUTE_TIMEOUT_S + MARGIN_S
            assert {status for status, _ in results["/press/1"]} == {200}
            durations_s = sorted(
                duration for _, duration in results["/press/1"]
            )
            assert durations_s[int(0.95 * len(durations_s))] < OBJECTIVE_S

    asyncio.run(asyncio.wait_for(scenario(), 40))
