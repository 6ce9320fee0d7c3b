"""A small deployment on loopback: store, nodes and backend servers."""

import asyncio
import contextlib
import itertools
import os
import time

import platform_standins as standins

from lycheestair.platform import program
from lycheestair.platform import settings as settings_lib
from lycheestair.sidecar import node as node_lib

_IDS = itertools.count(1)

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


def take_host():
    """Returns a loopback address that no other process of a test run uses."""
    number = next(_IDS)
    process = os.getpid()
    return f"127.{64 + process % 128}.{process // 128 % 250}.{number % 250 + 1}"


def take_address():
    """Returns a free address with a port."""
    return f"{take_host()}:8142"


class Machine:
    """A node and the backend server beside it."""

    def __init__(self, world, name, service, version="v1", zone="a1"):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.host = take_host()
        self.outbound = f"{self.host}:8141"
        self.ready = f"{self.host}:8140"
        self.control = f"{self.host}:8146"
        self.peers = f"{self.host}:7660"
        self.metrics = f"{self.host}:7661"
        self.worker = standins.BackendServer(
            f"{self.host}:8147", self.control, f"i-{name}", service, version
        )
        self.node = None

    async def start(self):
        await self.worker.start()
        await self.start_node()
        await self.worker.announce()

    def write_settings(self, store):
        """Returns the text of the node's settings file."""
        return SETTINGS.format(
            name=self.name,
            zone=self.zone,
            region="north" if self.zone == "a1" else "south",
            application=self.worker.address,
            service=self.service,
            outbound=self.outbound,
            ready=self.ready,
            control=self.control,
            host=self.host,
            store=store,
        )

    async def start_node(self):
        text = self.write_settings(self.world.store.address)
        self.node = node_lib.SidecarNode(
            settings_lib.decode(text), program.Platform()
        )
        await self.node.start()

    def stop(self):
        self.worker.stop()
        if self.node is not None:
            self.node.stop()

    async def is_ready(self):
        answer = await standins.send(
            self.ready, b"GET", b"/-/readiness", [(b"host", b"ready")]
        )
        return answer.status == 200

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
        """Sends a client's request to this machine's node."""
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
        """Makes a call of the backend server on this machine."""
        return await self.request(*args, source=self.host, **kwargs)


class World:
    """Store and machines."""

    def __init__(self):
        self.store = standins.PlatformStore(take_address())
        self.machines = []

    async def add(self, name, service, version="v1", zone="a1"):
        machine = Machine(self, name, service, version, zone)
        self.machines.append(machine)
        await machine.start()
        return machine

    async def wait_ready(self):
        for machine in self.machines:
            await wait_for(machine.is_ready)
        await wait_for(self._all_known)

    async def _all_known(self):
        count = len(self.machines)
        return all(
            sum(
                member.reachable and member.endpoint is not None
                for member in machine.node._table
            )
            == count
            for machine in self.machines
        )


@contextlib.asynccontextmanager
async def run(*machines, config=None):
    """Starts a deployment; machines are (name, service, version, zone)."""
    world = World()
    await world.store.start()
    world.store.put("config", "main", config or make_config(7))
    try:
        for arguments in machines:
            await world.add(*arguments)
        await world.wait_ready()
        yield world
    finally:
        for machine in world.machines:
            machine.stop()
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
    return f"{next(_IDS):016x}".encode()


async def wait_for(check, timeout_s=8.0):
    """Waits until a check (a function or a coroutine function) is true."""
    limit = time.monotonic() + timeout_s
    while True:
        result = check()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return
        assert time.monotonic() < limit, f"{check} did not become true"
        await asyncio.sleep(0.02)
