"""Whether a backend server still runs when its node has restarted."""

import asyncio
import time

import platform_standins as standins
import platform_world
import pytest

from lycheestair.platform import documents
from lycheestair.platform import requests
from lycheestair.sidecar import backend
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import store as store_lib
from lycheestair.sidecar import streams
from lycheestair.sidecar.presence import health_check
from lycheestair.sidecar.presence import restart_gate

INTERVAL_S = 1.5
FIRST = ("i-1", 1_000)
LATER = ("i-1", 2_000)


def open_gate_at(heartbeats):
    """Returns the time of the heartbeat after which a server is used.

    Args:
      heartbeats: Times in seconds after the start of the node.
    """
    gate = restart_gate.RestartGate(INTERVAL_S, 100.0)
    for at in heartbeats:
        if gate.observe_heartbeat(FIRST, 100.0 + at):
            return at
    return None


@pytest.mark.parametrize(
    ("heartbeats", "used_at"),
    [
        ([0.1], None),
        ([4.4], None),
        ([7.9], None),
        # Delayed, with the distance at which they were sent.
        ([0.0, 1.5, 3.0, 4.5], None),
        # Delayed together.
        ([7.0, 7.0, 7.1], None),
        ([0.2, 1.7, 3.2, 4.7, 6.2], 6.2),
        ([7.0, 7.8], 7.8),
    ],
)
def test_heartbeats_alone_show_late_that_a_server_runs(heartbeats, used_at):
    """Guards against delayed heartbeats of a server that has left."""
    assert open_gate_at(heartbeats) == used_at


def test_health_check_shows_at_once_that_a_server_runs():
    """Guards against servers that are held back for no reason."""
    gate = restart_gate.RestartGate(INTERVAL_S, 100.0)
    assert not gate.observe_heartbeat(FIRST, 100.1)
    assert gate.observe_health(FIRST)
    assert gate.observe_heartbeat(LATER, 100.2)


def test_health_check_of_an_earlier_incarnation_is_ignored():
    """Guards against a result that arrives after the next heartbeat."""
    gate = restart_gate.RestartGate(INTERVAL_S, 100.0)
    assert not gate.observe_health(FIRST)
    gate.observe_heartbeat(FIRST, 100.1)
    gate.observe_heartbeat(LATER, 100.2)
    assert not gate.observe_health(FIRST)
    assert not gate.is_open
    assert gate.observe_health(LATER)


class Log:

    def write(self, message, **fields):
        pass


class HeldBackServer:
    """A serving node whose backend server is held back."""

    def __init__(self):
        self.held_back = backend.Announcement(
            "i-1", backend.BackendState.SERVING, service="desk"
        )
        self.confirmed = []

    def confirm_running(self, announcement, response):
        assert response.status == 200
        self.confirmed.append(announcement.instance)
        self.held_back = None


def make_catalog(path):
    return catalog_lib.Catalog(
        7,
        {},
        {"desk": catalog_lib.ServiceLimits("desk", 5, health_path=path)},
        catalog_lib.ClientLimits(),
    )


async def check_health(answer, catalog=None):
    """Runs checks against a server for 0.7 s.

    Args:
      answer: Bytes that the server sends to each connection, None for silence.
      catalog: Configuration of the node.

    Returns:
      The instances that passed, and the number of connections.
    """
    address = platform_world.allocate_address()
    connections = []

    async def serve(stream):
        connections.append(stream)
        await stream.read_until(b"\r\n\r\n", 4096, False)
        if answer is None:
            await asyncio.sleep(5)
        stream.write(answer)
        stream.close()

    listener = await streams.listen(address, serve)
    server = HeldBackServer()
    check = health_check.HealthCheck(
        address,
        requests.HEADERS,
        server,
        lambda: catalog or make_catalog("/health"),
        Log(),
    )
    task = asyncio.create_task(check.run())
    check.request()
    await asyncio.sleep(0.7)
    assert not task.done()
    task.cancel()
    listener.close()
    return server.confirmed, len(connections)


HEALTHY = b"HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n"


def test_successful_health_check_ends_the_checks():
    """Guards against status checks that go on without need."""
    assert asyncio.run(check_health(HEALTHY)) == (["i-1"], 1)


@pytest.mark.parametrize(
    "answer",
    [
        None,
        b"",
        b"\r\n\r\n",
        HEALTHY.replace(b"200 OK", b"000"),
        HEALTHY.replace(b"200 OK", b"204 No Content"),
        HEALTHY.replace(b"200 OK", b"503 Service Unavailable"),
        HEALTHY.replace(b"i-1", b"i-2"),
        HEALTHY.replace(b"X-Instance-Id: i-1\r\n", b""),
        HEALTHY.replace(b"\r\nContent", b"\r\nServer-Leaving: 1\r\nContent"),
        HEALTHY.replace(b"\r\nContent", b"\r\nX-Not-Executed: 1\r\nContent"),
        HEALTHY.replace(b"Length: 0", b"Length: 9"),
        HEALTHY.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        + b"1\r\nx\r\n" * 100_000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000,
    ],
)
def test_other_answers_do_not_show_that_a_server_runs(answer):
    """Guards against a leaving server that is used because it answers."""
    confirmed, connections = asyncio.run(check_health(answer))
    assert not confirmed
    assert 1 <= connections <= 4


def test_service_without_a_health_check_is_not_asked():
    """Guards against requests for paths that the operator didn't name."""
    assert asyncio.run(check_health(HEALTHY, make_catalog(""))) == ([], 0)


def decode_config(path):
    config = standins.make_config(
        7, [("view", "/view/", "safe", [("desk", 1)])]
    )
    config["clusters"][0]["health_check_path"] = path
    item = store_lib.StoredItem("main", (0, 1), (0, 1), config, None)
    return documents.DocumentCodec().decode_catalog(item)


@pytest.mark.parametrize(
    ("value", "path"),
    [
        ("/health", "/health"),
        ("/a?b=c", "/a?b=c"),
        ("", ""),
        ("health", ""),
        ("/a b", ""),
        ("/a\r\nhost: x", ""),
        ("/\u00fc", ""),
        ("/" + "a" * 2_000, ""),
        (None, ""),
        (7, ""),
    ],
)
def test_path_that_cannot_be_requested_is_left_out(value, path):
    """Guards against an odd path that stops the whole configuration."""
    catalog = decode_config(value)
    assert catalog.services["desk"].health_path == path
    assert catalog.routes


def test_paths_are_exchanged_also_with_nodes_that_do_not_know_them():
    """Guards against configurations that an earlier release refuses."""
    decoded = decode_config("/health")
    change = catalog_lib.encode_change(catalog_lib.EMPTY, decoded)
    assert len(change) == 6
    assert [len(fields) for fields in change[4]] == [2]
    received = catalog_lib.apply_change(
        catalog_lib.EMPTY, change, catalog_lib.encode_health_paths(decoded)
    )
    assert received.services == decoded.services
    received = catalog_lib.apply_change(catalog_lib.EMPTY, change)
    assert received.services["desk"].health_path == ""


def test_restarted_node_learns_the_path_from_another_node():
    """Guards against a hold of all servers while the store is away."""

    async def scenario():
        async with platform_world.run(("n1", "desk"), ("n2", "desk")) as world:
            instance = world.instances[0]
            instance.node.stop()
            world.store.faults.unresponsive = True
            await instance.start_node()
            started_at = time.monotonic()
            assert await instance.backend_server.announce() == 200
            await platform_world.wait_for(
                lambda: instance.node._server.endpoint is not None
            )
            assert time.monotonic() - started_at < 4 * INTERVAL_S

    asyncio.run(asyncio.wait_for(scenario(), 30))
