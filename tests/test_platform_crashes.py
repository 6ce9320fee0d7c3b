"""Requests that crash the backend servers that run them, at many nodes at once."""

import asyncio
import contextlib
import contextvars
import time

import platform_world
import pytest

from lycheestair.sidecar import clock
from lycheestair.sidecar import streams

CRASH = "/view/crash"
# Arrivals later than this after the third crash are counted, see "BUDGET" in the
# platform's rules.
KNOWN_AFTER_S = 3.0
MAX_LATE_ARRIVALS = 3
# Two cells.
NODES = (
    ("n1", "desk", "v1", "a1"),
    ("n2", "desk", "v1", "a1"),
    ("n3", "desk", "v1", "a2"),
    ("s1", "desk", "v1", "b1"),
    ("s2", "desk", "v1", "b1"),
    ("s3", "desk", "v1", "b2"),
)


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 60))


class CrashingServers:
    """Backend servers that crash when they have run a certain request.

    Attributes:
      arrivals: Times at which the request reached a server.
      crashes: Times of the crashes.
    """

    def __init__(
        self, instances, crash_after_s=0.12, back_after_s=1.3, answers=()
    ):
        """Initializes the servers.

        Args:
          instances: Instances of the servers.
          crash_after_s: Time in seconds from an arrival to the crash.
          back_after_s: Time in seconds from a crash to the next start.
          answers: Numbers of the arrivals that are answered without a crash.
        """
        self._answers = answers
        self.arrivals = []
        self.crashes = []
        self._crash_after_s = crash_after_s
        self._back_after_s = back_after_s
        self._restarts = []
        for instance in instances:
            self.add(instance)

    def add(self, instance):
        server = instance.backend_server
        server.slots = 8

        async def handle(request, stream):
            if request.target.decode() != CRASH:
                await asyncio.sleep(0.05)
                stream.write(server.encode(request))
                return
            self.arrivals.append(time.monotonic())
            if len(self.arrivals) in self._answers:
                stream.write(server.encode(request))
                return
            started_ms = server.started_ms
            await asyncio.sleep(self._crash_after_s)
            if server.started_ms != started_ms or server.is_down:
                return
            self.crashes.append(time.monotonic())
            server.crash()
            await asyncio.sleep(self._back_after_s)
            await server.restart()

        server.handler_override = handle

    def count_late_arrivals(self):
        if len(self.crashes) < 3:
            return 0
        known_at = sorted(self.crashes)[2] + KNOWN_AFTER_S
        return sum(at > known_at for at in self.arrivals)


async def send_everywhere(instances, copies=2, gap_s=0.0):
    """Sends the request to all nodes; returns the statuses of the responses."""
    tasks = []
    for instance in instances:
        for _ in range(copies):
            tasks.append(asyncio.create_task(instance.request(CRASH)))
        await asyncio.sleep(gap_s)
    return [response.status for response in await asyncio.gather(*tasks)]


@contextlib.asynccontextmanager
async def run_world():
    """Runs a deployment whose servers send heartbeats."""
    async with platform_world.run(*NODES) as world:
        task = asyncio.create_task(send_heartbeats(world.instances))
        try:
            yield world
        finally:
            task.cancel()


# Name of the instance whose node runs the current task.
_NODE = contextvars.ContextVar("node", default="")


class Cut:
    """Cuts one node off from all others; its server and the store stay in touch.

    It must be created before the node starts.
    """

    def __init__(self, instance, monkeypatch):
        self._instance = instance
        self._is_cut = False
        connect = streams.connect
        start_node = instance.start_node

        async def connect_unless_cut(address, timeout_s):
            # Nodes listen on port 7660.
            if (
                self._is_cut
                and address.endswith(":7660")
                and instance.name in (_NODE.get(), self._find_name(address))
            ):
                await asyncio.sleep(timeout_s)
                raise TimeoutError
            return await connect(address, timeout_s)

        async def start_named_node():
            token = _NODE.set(instance.name)
            try:
                await start_node()
            finally:
                _NODE.reset(token)

        monkeypatch.setattr(streams, "connect", connect_unless_cut)
        instance.start_node = start_named_node

    def _find_name(self, address):
        return self._instance.name if address == self._instance.peers else ""

    def begin(self):
        self._is_cut = True
        for instance in self._instance.world.instances:
            for link in instance.node._gossip._links.values():
                if self._instance.name in (
                    instance.name,
                    link.member.record.node_id,
                ):
                    link._stream and link._stream.abort()

    def end(self):
        self._is_cut = False


async def send_heartbeats(instances):
    while True:
        await asyncio.sleep(1.0)
        for instance in instances:
            if not instance.backend_server.is_down:
                with contextlib.suppress(OSError):
                    await instance.backend_server.announce()


async def assert_others_are_served(instances):
    for instance in instances:
        response = await instance.request("/view/other")
        assert response.status == 200


@pytest.mark.parametrize(
    ("crash_after_s", "back_after_s", "copies", "gap_s"),
    [(0.12, 1.3, 2, 0.0), (0.8, 1.5, 1, 0.1), (1.3, 1.3, 2, 0.3)],
)
def test_request_sent_to_all_nodes_at_once_stops_crashing_servers(
    crash_after_s, back_after_s, copies, gap_s
):
    """Guards against crashes that count as one because they overlap."""

    async def scenario():
        async with run_world() as world:
            servers = CrashingServers(
                world.instances, crash_after_s, back_after_s
            )
            for _ in range(2):
                await send_everywhere(world.instances, copies, gap_s)
                await asyncio.sleep(3.6)
            statuses = await send_everywhere(world.instances, copies)
            assert servers.count_late_arrivals() <= MAX_LATE_ARRIVALS
            assert set(statuses) == {503}
            await assert_others_are_served(world.instances)

    run_scenario(scenario)


@pytest.mark.parametrize(
    "restarted", [6, 3, 1], ids=["all nodes", "a cell", "a node"]
)
def test_request_stays_refused_after_a_restart(restarted):
    """Guards against crashes that are forgotten together with the nodes."""

    async def scenario():
        async with run_world() as world:
            servers = CrashingServers(world.instances)
            for instance in world.instances:
                await instance.request(CRASH)
                await asyncio.sleep(0.9)
            await asyncio.sleep(1.3)
            for instance in world.instances[:restarted]:
                instance.node.stop()
            for instance in world.instances[:restarted]:
                await instance.start_node()
            await world.wait_ready()
            await asyncio.sleep(1.5)
            for _ in range(2):
                await send_everywhere(world.instances)
                await asyncio.sleep(2.0)
            assert servers.count_late_arrivals() <= MAX_LATE_ARRIVALS
            await assert_others_are_served(world.instances)

    run_scenario(scenario)


@pytest.mark.parametrize("cut_off", ["n3", "s1"])
def test_node_that_was_cut_off_refuses_what_others_learnt(cut_off, monkeypatch):
    """Guards against crashes that only the nodes know that were in touch."""

    async def scenario():
        async with platform_world.run() as world:
            for arguments in NODES:
                instance = platform_world.Instance(world, *arguments)
                if instance.name == cut_off:
                    cut = Cut(instance, monkeypatch)
                    isolated = instance
                world.instances.append(instance)
                await instance.start()
            heartbeats = asyncio.create_task(send_heartbeats(world.instances))
            await world.wait_ready()
            servers = CrashingServers(world.instances)
            others = [i for i in world.instances if i is not isolated]
            cut.begin()
            await platform_world.wait_for(
                lambda: not any(
                    i.node._table.find(cut_off).reachable for i in others
                )
            )
            for _ in range(2):
                await send_everywhere(others)
                await asyncio.sleep(2.0)
            assert len(servers.crashes) >= 3
            assert not isolated.node._server.suspects
            cut.end()
            await platform_world.wait_for(
                lambda: all(
                    i.node._table.find(cut_off).reachable for i in others
                )
            )
            await asyncio.sleep(0.5)
            arrivals = len(servers.arrivals)
            for _ in range(3):
                response = await isolated.request(CRASH)
                assert response.status == 503
                await asyncio.sleep(0.3)
            assert len(servers.arrivals) <= arrivals + 1
            await assert_others_are_served(world.instances)
            heartbeats.cancel()

    run_scenario(scenario)


def test_popular_request_lost_in_crashes_is_served_again_at_once():
    """Guards against refusing harmless requests that ran on crashing servers."""

    async def scenario():
        async with run_world() as world:
            CrashingServers(world.instances, crash_after_s=0.3)
            popular = "/view/popular"

            async def read_often():
                tasks = []
                while True:
                    for instance in world.instances:
                        tasks.append(
                            asyncio.create_task(instance.request(popular))
                        )
                    await asyncio.sleep(0.02)

            reading = asyncio.create_task(read_often())
            await asyncio.sleep(0.5)
            await send_everywhere(world.instances, copies=1)
            await asyncio.sleep(1.5)
            reading.cancel()
            for instance in world.instances:
                # Only the request that crashes servers may be refused.
                table = instance.node._server.suspects
                assert table.count_refused(clock.read_s()) <= 1
            for instance in world.instances:
                response = await instance.request(popular)
                assert response.status == 200

    run_scenario(scenario)


def test_request_that_is_answered_now_and_then_stops_crashing_servers():
    """Guards against as many crashes after each answer as before it."""

    async def scenario():
        async with run_world() as world:
            # The first wave crashes servers, the next requests are answered.
            first_wave = 6
            servers = CrashingServers(
                world.instances, answers=range(first_wave + 1, first_wave + 9)
            )
            tasks = [
                asyncio.create_task(instance.request(CRASH))
                for instance in world.instances
            ]
            await asyncio.gather(*tasks)
            await asyncio.sleep(2.0)
            while len(servers.arrivals) < first_wave + 8:
                await world.instances[0].request(CRASH)
                await asyncio.sleep(0.1)
            crashes = len(servers.crashes)
            for _ in range(3):
                await send_everywhere(world.instances, 1, gap_s=0.4)
                await asyncio.sleep(2.0)
            # The first request and its retry, and a trial.
            assert len(servers.crashes) <= crashes + MAX_LATE_ARRIVALS
            await assert_others_are_served(world.instances)

    run_scenario(scenario)


def test_silent_server_counts_as_crashed():
    """Guards against crashes that are known only when the servers are back."""

    async def scenario():
        async with platform_world.run(("n1", "desk")) as world:
            (instance,) = world.instances
            server = instance.backend_server

            async def fall_silent(request, stream):
                await asyncio.sleep(5)

            async def time_out(idempotent):
                raise TimeoutError

            server.handler_override = fall_silent
            pool = instance.node._server._pool
            attempts = iter([pool.check_out])

            async def connect_once(idempotent):
                return await next(attempts, time_out)(idempotent)

            pool.check_out = connect_once
            response = await instance.request(CRASH, deadline_ms=400)
            assert response.status == 504
            await platform_world.wait_for(
                lambda: instance.node._server.crashes == 1
            )
            assert len(instance.node._server.suspects) == 1

    run_scenario(scenario)


def test_request_whose_clients_leave_before_the_crash_is_a_suspect():
    """Guards against attempts that leave no trace when they are cancelled."""

    async def scenario():
        async with run_world() as world:
            servers = CrashingServers(
                world.instances, crash_after_s=0.6, back_after_s=0.8
            )

            async def leave_early(instance):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await instance.request(CRASH)

            for _ in range(3):
                for instance in world.instances:
                    await leave_early(instance)
                await asyncio.sleep(3.0)
            assert servers.count_late_arrivals() <= MAX_LATE_ARRIVALS

    run_scenario(scenario)


def test_suspects_outlive_an_absence_of_the_store():
    """Guards against suspects that are written only while they change."""

    async def scenario():
        async with run_world() as world:
            servers = CrashingServers(world.instances)
            world.store.faults.down = True
            await send_everywhere(world.instances)
            await asyncio.sleep(1.6)
            world.store.faults.down = False
            await platform_world.wait_for(
                lambda: ("lycheestair-suspects", "all") in world.store.objects
            )
            world.store.restore(
                (
                    world.store.revision - 1,
                    {
                        key: value
                        for key, value in world.store.objects.items()
                        if key[0] != "lycheestair-suspects"
                    },
                )
            )
            await platform_world.wait_for(
                lambda: ("lycheestair-suspects", "all") in world.store.objects
            )
            crashes = len(servers.crashes)
            assert crashes >= 3
            for instance in world.instances:
                instance.node.stop()
            for instance in world.instances:
                await instance.start_node()
            await world.wait_ready()
            await send_everywhere(world.instances)
            await asyncio.sleep(0.5)
            assert len(servers.crashes) <= crashes + 1

    run_scenario(scenario)
