"""Plays loads on the decisions of many nodes in one process, in virtual time.

The balancers, members and admissions are those of the product. Network, backend
servers and clients are modelled: fixed latencies, random work, reports at fixed
intervals.
"""

import asyncio
import collections
import dataclasses
import random
import selectors
import types

from lycheestair import errors
from lycheestair.sidecar import admission
from lycheestair.sidecar import balancer
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import entry
from lycheestair.sidecar import members

# Factors of the work at the slowest and fastest servers of a service.
MIN_SLOWNESS, MAX_SLOWNESS = 0.8, 1.3
MEAN_SLOWNESS = (MIN_SLOWNESS + MAX_SLOWNESS) / 2


class _JumpingSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while all tasks wait."""

    def __init__(self):
        self._virtual_selector = _JumpingSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.now


@dataclasses.dataclass
class Kind:
    """A kind of request.

    Attributes:
      rate_per_s: Requests a second over all nodes.
      work_s: Mean time that a request takes at a server.
    """

    name: str
    rate_per_s: float
    work_s: float
    objective_s: float
    timeout_s: float
    priority: int


@dataclasses.dataclass
class Load:
    """A load on one service.

    Attributes:
      report_interval_s: Time between two load reports of a node.
      limits_queues: Whether calls carry the limit that the balancer sets.
    """

    kinds: list[Kind]
    servers: int
    slots: int = 3
    duration_s: float = 20.0
    report_interval_s: float = 0.7
    latency_s: float = 0.0004
    limits_queues: bool = True


class _Node:
    """A node: its view of the others, its queue and its server."""

    def __init__(self, load, number, generator):
        self.load = load
        self.admission = admission.Admission()
        self.admission.resize(load.slots)
        self.slowness = generator.uniform(MIN_SLOWNESS, MAX_SLOWNESS)
        records = [
            members.NodeRecord(f"n{n}", f"n{n}:1", "a1", "north", 1)
            for n in range(load.servers)
        ]
        self.table = members.MemberTable(records[number])
        for n, record in enumerate(records):
            member = self.table.add(record) or self.table.own
            member.reachable = member.was_tried = True
            member.endpoint = members.Endpoint(
                f"i{n}",
                "desk",
                "v1",
                load.slots,
                members.backend.BackendState.SERVING,
            )
        self.table.rebuild_service_index()
        settings = types.SimpleNamespace(region="north", failure_domain="a1")
        planner = types.SimpleNamespace(
            compute_shares=lambda service, versions: {"v1": 1.0}
        )
        self.balancer = balancer.Balancer(settings, self.table, planner)

    def read_load(self):
        return [*self.admission.read_load(), 0]


class Fleet:
    """Plays a load and counts what the clients get.

    Attributes:
      outcomes: Number of requests by kind and outcome: `in time`, `late` or
        `refused`.
    """

    def __init__(self, load, seed):
        self._load = load
        self._generator = random.Random(seed)
        self._nodes = [
            _Node(load, number, self._generator)
            for number in range(load.servers)
        ]
        self.outcomes = collections.Counter()

    def share(self, kind, outcome):
        """Returns the share of a kind's requests with an outcome."""
        total = sum(n for (name, _), n in self.outcomes.items() if name == kind)
        return self.outcomes[kind, outcome] / total

    async def _report(self, node, number):
        await asyncio.sleep(
            self._generator.random() * self._load.report_interval_s
        )
        while True:
            report = node.read_load()
            for other in self._nodes:
                member = other.table.find(f"n{number}")
                member.report_load(*report)
            await asyncio.sleep(self._load.report_interval_s)

    async def _arrive(self, kind, tasks):
        end = clock.read_s() + self._load.duration_s
        while clock.read_s() < end:
            await asyncio.sleep(self._generator.expovariate(kind.rate_per_s))
            tasks.append(asyncio.ensure_future(self._request(kind)))

    async def _request(self, kind):
        started_at = clock.read_s()
        call = calls.Call(
            b"1",
            b"GET",
            b"/",
            [],
            b"",
            "desk",
            kind.name,
            "",
            True,
            kind.priority,
            started_at + kind.timeout_s,
            started_at + kind.objective_s,
            "desk",
        )
        work_s = kind.work_s * self._generator.uniform(0.5, 1.5)
        served = await self._serve(
            self._generator.choice(self._nodes), call, work_s
        )
        if not served:
            outcome = "refused"
        elif clock.read_s() <= call.objective:
            outcome = "in time"
        else:
            outcome = "late"
        self.outcomes[kind.name, outcome] += 1

    async def _serve(self, node, call, work_s):
        """Tries nodes as entry.EntryNode does; returns whether one served."""
        excluded = set()
        long_queues = overloaded = 0
        while overloaded < entry.MAX_OVERLOADED_NODES:
            node.table.own.report_load(*node.read_load())
            member = node.balancer.choose(call, excluded)
            if member is None:
                return False
            if (
                long_queues >= entry.MAX_LONG_QUEUES
                or not self._load.limits_queues
            ):
                call.max_wait_s = None
            server = self._nodes[int(member.record.node_id[1:])]
            member.in_flight += 1
            await asyncio.sleep(self._load.latency_s)
            refusal = await server.admission.acquire(call)
            if refusal is None:
                await asyncio.sleep(work_s * server.slowness)
                server.admission.release(call, True)
            await asyncio.sleep(self._load.latency_s)
            member.in_flight -= 1
            member.report_load(*server.read_load())
            if refusal is None:
                return True
            if refusal.kind is errors.ErrorKind.LONG_QUEUE:
                long_queues += 1
                continue
            excluded.add(member.record.node_id)
            overloaded += 1
        return False

    async def _run(self):
        tasks = []
        reports = [
            asyncio.ensure_future(self._report(node, number))
            for number, node in enumerate(self._nodes)
        ]
        await asyncio.gather(
            *(self._arrive(kind, tasks) for kind in self._load.kinds)
        )
        await asyncio.gather(*tasks)
        for report in reports:
            report.cancel()


def play(load, seed, monkeypatch):
    """Plays a load in virtual time; returns the fleet."""
    loop = VirtualTimeLoop()
    random.seed(seed)
    monkeypatch.setattr(clock, "read_s", loop.time)
    try:
        fleet = Fleet(load, seed)
        loop.run_until_complete(fleet._run())
        return fleet
    finally:
        monkeypatch.undo()
        loop.close()
