"""A small deployment on loopback: a store, nodes and backend servers."""

import asyncio
import contextlib
import itertools
import os
import time

import platform_standins as standins

from lycheestair.platform import program
from lycheestair.platform import settings as settings_lib
from lycheestair.sidecar import node as node_lib

_NUMBERS = itertools.count(1)

MEMORY_BYTES = 300_000_000
SETTINGS = """\
self_node.node_name={name}
self_node.ip_address={host}
self_node.zone={zone}
self_node.region={region}
self_node.limits.memory_mb=300
self_node.application_address={application}
self_node.service={service}
self_node.field_of_a_later_release=1
network.listen_addresses.outbound={outbound}
network.listen_addresses.ready={ready}
network.listen_addresses.control={control}
network.internal_port_range=7660,7675
network.seeds=
platform.heartbeat_interval_s=1.5
platform.platform.address={store}
terms.bounds.grace_period_s=6
"""


def allocate_host():
    """Returns a loopback host that no other test process uses."""
    number = next(_NUMBERS)
    process = os.getpid()
    return f"127.{64 + process % 128}.{process // 128 % 250}.{number % 250 + 1}"


def allocate_address():
    """Returns an unused loopback address with a port."""
    return f"{allocate_host()}:8142"


class Instance:
    """An instance: a node and its backend server."""

    def __init__(self, world, name, service, version="v1", zone="a1"):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.host = allocate_host()
        self.outbound = f"{self.host}:8141"
        self.ready = f"{self.host}:8140"
        self.control = f"{self.host}:8146"
        self.peers = f"{self.host}:7660"
        self.metrics = f"{self.host}:7661"
        self.backend_server = standins.BackendServer(
            f"{self.host}:8147", self.control, f"i-{name}", service, version
        )
        self.node = None
        # Address at which the node calls the store.
        self.store_address = world.store.address

    async def start(self):
        await self.backend_server.start()
        await self.start_node()
        await self.backend_server.announce()

    def format_settings(self, store):
        """Returns the text of the node's settings file."""
        return SETTINGS.format(
            name=self.name,
            zone=self.zone,
            region="north" if self.zone.startswith("a") else "south",
            application=self.backend_server.address,
            service=self.service,
            outbound=self.outbound,
            ready=self.ready,
            control=self.control,
            host=self.host,
            store=store,
        )

    async def start_node(self):
        text = self.format_settings(self.store_address)
        self.node = node_lib.SidecarNode(
            settings_lib.decode(text), program.Platform()
        )
        await self.node.start()

    def stop(self):
        self.backend_server.stop()
        if self.node is not None:
            self.node.stop()

    async def announce_until_used(self):
        """Sends a heartbeat and waits until the backend server is used."""
        assert await self.backend_server.announce() == 200
        await wait_for(lambda: self.node._server.endpoint is not None, 1.0)

    async def is_ready(self):
        response = await standins.send(
            self.ready, b"GET", b"/-/readiness", [(b"host", b"ready")]
        )
        return response.status == 200

    async def request(
        self,
        path="/view/1",
        method=b"GET",
        body=b"",
        deadline_ms=3000,
        request_id=None,
        headers=(),
        source=None,
    ):
        """Sends a client's request to the node of this instance."""
        return await standins.send(
            self.outbound,
            method,
            path.encode(),
            [
                (b"host", b"shop.example"),
                (b"x-request-id", request_id or make_id()),
                (b"x-deadline-ms", b"%d" % deadline_ms),
                *headers,
            ],
            body,
            source=source,
        )

    async def call(self, *args, **kwargs):
        """Sends a call of this instance's backend server to its node."""
        return await self.request(*args, source=self.host, **kwargs)


class World:
    """A store and the instances of a deployment."""

    def __init__(self):
        self.store = standins.PlatformStore(allocate_address())
        self.instances = []

    async def add(self, name, service, version="v1", zone="a1"):
        instance = Instance(self, name, service, version, zone)
        self.instances.append(instance)
        await instance.start()
        return instance

    async def wait_ready(self):
        for instance in self.instances:
            await wait_for(instance.is_ready)
        await wait_for(self._has_full_membership)

    async def _has_full_membership(self):
        """Whether each node can reach all nodes and knows their endpoints."""
        count = len(self.instances)
        return all(
            sum(
                member.reachable and member.endpoint is not None
                for member in instance.node._table
            )
            == count
            for instance in self.instances
        )


@contextlib.asynccontextmanager
async def run(*instances, config=None):
    """Runs a deployment of instances given as (name, service, version, zone).

    Version and zone may be left out.
    """
    world = World()
    await world.store.start()
    world.store.put("config", "main", config or make_config(7))
    try:
        for arguments in instances:
            await world.add(*arguments)
        await world.wait_ready()
        yield world
    finally:
        for instance in world.instances:
            instance.stop()
        world.store.stop()
        await asyncio.sleep(0)


def make_config(version, extra=()):
    return standins.make_config(
        version,
        [
            ("view", "/view/", "safe", [("desk", 1)]),
            ("order", "/order/", "unsafe", [("desk", 1)]),
            ("press", "/press/", "unsafe", [("press", 1)]),
            *extra,
        ],
    )


def make_id():
    return f"{next(_NUMBERS):016x}".encode()


async def wait_for(check, timeout_s=8.0):
    """Polls a function or coroutine function until its result is true."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = check()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        assert time.monotonic() < deadline, f"{check} was not true in time"
        await asyncio.sleep(0.02)
