"""Requests that crash backend servers: found, shared, refused, forgotten."""

import asyncio

import platform_world
import pytest
from test_platform_path import run_scenario

from lycheestair.sidecar import suspects as suspects_lib

CRASH = b"/view/crash"
REQUEST = suspects_lib.Fingerprint(b"request")


def record_crash(table, number):
    """Records a crash half a second after the request began."""
    attempt = (float(number), number + 0.5)
    table.record_crash(f"crash {number}", {REQUEST: attempt}, number + 0.5)


class CrashingServers:
    """Backend servers that crash when they begin to run a certain request."""

    def __init__(self, instances):
        self.crashes = 0
        for instance in instances:
            instance.backend_server.handler_override = self.make_handler(
                instance
            )

    def make_handler(self, instance):
        server = instance.backend_server

        async def handle(request, stream):
            if not request.target.startswith(CRASH):
                await asyncio.sleep(0.05)
                stream.write(server.encode(request))
                return
            self.crashes += 1
            server.stop()
            stream.abort()
            await asyncio.sleep(0.8)
            await server.start()
            server.started_ms += 1_000
            server._sequence = 0
            await server.announce()

        return handle


def test_request_that_crashes_servers_is_refused_at_every_node():
    """Guards against a request that takes down one server after another."""

    async def scenario():
        names = [(f"n{number}", "desk") for number in range(5)]
        async with platform_world.run(*names) as world:
            servers = CrashingServers(world.instances)
            for attempt in range(12):
                instance = world.instances[attempt % 5]
                response = await instance.request(CRASH.decode())
                assert response.status in (502, 503, 504)
                # Other requests are served meanwhile.
                await instance.request("/view/other")
                await asyncio.sleep(0.4)
            # Two more may have been sent before the third crash was known.
            assert servers.crashes <= suspects_lib.CRASH_LIMIT + 2
            assert response.status == 503
            assert (await instance.request("/view/other")).status == 200
            # A node that starts later knows it from the others.
            later = await world.add("n9", "desk")
            await world.wait_ready()
            known = servers.crashes
            response = await later.request(CRASH.decode())
            assert response.status == 503
            assert servers.crashes == known
            # Logs and metrics name the request and count it.
            (fingerprint,) = later.node._server.suspects
            assert fingerprint.hex().encode() in response.body
            assert b"lycheestair_suspects_refused 1.0" in (
                later.node._metrics.render()
            )
            assert (
                sum(i.node._server.crashes for i in world.instances)
                == servers.crashes
            )

    run_scenario(scenario)


def test_reset_connections_make_no_suspect():
    """Guards against refusing requests of servers that reset when full."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            (instance,) = world.instances

            async def reset(request, stream):
                stream.abort()

            for _ in range(5):
                instance.backend_server.handler_override = reset
                await instance.request("/view/1", deadline_ms=300)
                instance.backend_server.handler_override = None
                await asyncio.sleep(0.3)
                assert (await instance.request("/view/1")).status == 200
            assert not instance.node._server.suspects

    run_scenario(scenario)


def test_answer_clears_a_suspect():
    """Guards against refusing a request because another one crashed servers."""
    table = suspects_lib.SuspectTable()
    for number in range(suspects_lib.CRASH_LIMIT - 1):
        record_crash(table, number)
    assert table.clear(REQUEST)
    assert not table.clear(REQUEST)
    record_crash(table, 8)
    assert not table.read_refusal_s(REQUEST, 9.0)


def test_servers_that_crash_together_make_no_refusal():
    """Guards against refusing a request of which many copies are processed."""
    table = suspects_lib.SuspectTable()
    for number in range(8):
        attempt = (1.0 + number / 10, 2.0 + number / 100)
        table.record_crash(f"crash {number}", {REQUEST: attempt}, 3.0)
    assert not table.read_refusal_s(REQUEST, 3.0)


@pytest.mark.parametrize("order", [1, -1])
def test_suspects_merge_in_any_order(order):
    """Guards against nodes that permanently know different suspects."""
    tables = [suspects_lib.SuspectTable() for _ in range(3)]
    for number, table in enumerate(tables):
        record_crash(table, number)
    merged = suspects_lib.SuspectTable()
    for table in tables[::order]:
        assert merged.merge(table.encode(3.0), 3.0)
        assert not merged.merge(table.encode(3.0), 3.0)
    # The latest crash was at 2.5 s.
    assert merged.read_refusal_s(REQUEST, 3.0) == pytest.approx(
        suspects_lib.RETENTION_S - 0.5
    )
    assert not merged.read_refusal_s(REQUEST, 3.0 + suspects_lib.RETENTION_S)


def test_number_of_suspects_is_bounded():
    """Guards against memory that grows with each crash."""
    table = suspects_lib.SuspectTable()
    for number in range(2 * suspects_lib.MAX_SUSPECTS):
        fingerprint = suspects_lib.Fingerprint(b"%d" % number)
        attempt = (number + 0.1, number + 0.2)
        table.record_crash(f"crash {number}", {fingerprint: attempt}, 0.0)
    assert len(table.encode(0.0)) == suspects_lib.MAX_SUSPECTS
