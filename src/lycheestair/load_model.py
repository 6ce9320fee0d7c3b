"""Plays a load on the decisions of many nodes in one process, in virtual time.

The balancers, members, queues and retry-after times are those of the sidecar
node. Arrivals, service times, latencies and the age of load reports are
modelled; there are no connections and no store.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import enum
import random
from typing import Final

from lycheestair import errors
from lycheestair import experiment_settings
from lycheestair import ids
from lycheestair import virtual_time
from lycheestair.sidecar import admission
from lycheestair.sidecar import backend
from lycheestair.sidecar import balancer
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import entry
from lycheestair.sidecar import error_responses
from lycheestair.sidecar import members
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import versions
from lycheestair.sidecar.overload import chains
from lycheestair.sidecar.placement import slowdown

_REGION: Final = ids.Region("a")
_VERSION: Final = ids.VersionName("v1")
# Bounds of the work of a request, as factors of its kind's mean.
_MIN_WORK, _MAX_WORK = 0.5, 1.5
# Part of the remaining time that a refused client waits at most, whatever its
# Retry-After says.
_MAX_RETRY_WAIT: Final = 1 / 3


class Result(enum.Enum):
    """What a client got."""

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    # The server failed because one of its dependency calls did.
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a client, over all its attempts.

    Attributes:
      kind: Name of the kind of request.
      started_s: Time of the first attempt, from the start of the experiment.
      latency_s: Time from the first attempt to the answer.
      server: Node whose server ran the request, None if it was refused.
      run_at_s: Time at which the server got the request.
    """

    kind: str
    result: Result
    started_s: float
    latency_s: float
    server: ids.NodeId | None = None
    run_at_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """A request that a server has run; see `Answer`."""

    server: ids.NodeId
    at_s: float
    failed: bool = False


class _Node:
    """A node: its view of the others, its queue and its server."""

    def __init__(
        self,
        experiment: experiment_settings.Experiment,
        records: list[members.NodeRecord],
        services: Sequence[ids.ServiceName],
        number: int,
        slowness: float,
        generator: random.Random,
    ):
        self.node_id = records[number].node_id
        self.service = services[number]
        self.slowness = slowness
        self.noise = 1.0
        self.chain = chains.ChainAdmission()
        self.admission = admission.Admission()
        self.admission.resize(experiment.slots)
        self.table = members.MemberTable(records[number])
        for record, service in zip(records, services, strict=True):
            member = self.table.add(record) or self.table.own
            member.reachable = member.was_tried = True
            member.endpoint = members.Endpoint(
                record.node_id,
                service,
                _VERSION,
                experiment.slots,
                backend.BackendState.SERVING,
            )
        self.table.invalidate_service_index()
        planner = versions.VersionPlanner(settings_lib.Bounds(), self.table)
        self.balancer = balancer.Balancer(self.table, planner, generator)

    def read_load(self) -> list[int]:
        percent = self.admission.slowdown.read_percent(clock.read_s())
        return [
            *self.admission.read_load(),
            0,
            *slowdown.encode_report(percent),
        ]


class LoadModel:
    """Plays an experiment once.

    Attributes:
      answers: Answers to all clients, in order.
      speeds: Speed of each server, 1 / slowness.
    """

    def __init__(
        self,
        experiment: experiment_settings.Experiment,
        generator: random.Random,
    ):
        self.answers: list[Answer] = []
        self._experiment = experiment
        self._generator = generator
        services = [
            ids.ServiceName(name)
            for name, servers in (
                experiment.services
                or {experiment_settings.DEFAULT_SERVICE: experiment.servers}
            ).items()
            for _ in range(servers)
        ]
        self._kinds = {kind.name: kind for kind in experiment.kinds}
        records = [
            members.NodeRecord(
                ids.NodeId(f"n{number}"),
                ids.Address(f"n{number}:1"),
                ids.FailureDomain(f"d{number % experiment.failure_domains}"),
                _REGION,
                1,
            )
            for number in range(len(services))
        ]
        self._nodes = {
            record.node_id: _Node(
                experiment,
                records,
                services,
                number,
                generator.uniform(
                    experiment.min_slowness, experiment.max_slowness
                ),
                generator,
            )
            for number, record in enumerate(records)
        }
        self._node_ids = list(self._nodes)
        self.speeds = {
            node_id: 1.0 / node.slowness
            for node_id, node in self._nodes.items()
        }

    async def run(self) -> None:
        """Plays the arrivals and waits for the last answer."""
        reports = [
            asyncio.ensure_future(self._report_load(node))
            for node in self._nodes.values()
        ]
        if self._experiment.noise_share:
            reports += [
                asyncio.ensure_future(self._change_noise(node))
                for node in self._nodes.values()
            ]
        requests: list[asyncio.Future[None]] = []
        await asyncio.gather(
            *(
                self._send_requests(kind, requests)
                for kind in self._experiment.kinds
                if kind.rate_per_s
            )
        )
        await asyncio.gather(*requests)
        for report in reports:
            report.cancel()

    def _list_faults(self) -> Iterable[experiment_settings.Fault]:
        now_s = clock.read_s()
        return (
            fault
            for fault in self._experiment.faults
            if fault.at_s <= now_s < fault.at_s + fault.for_s
        )

    async def _report_load(self, node: _Node) -> None:
        interval_s = self._experiment.report_interval_s
        await asyncio.sleep(self._generator.random() * interval_s)
        while True:
            report = node.read_load()
            for other in self._nodes.values():
                member = other.table.find(node.node_id)
                assert member is not None
                member.report_load(*report)
            await asyncio.sleep(interval_s)

    async def _change_noise(self, node: _Node) -> None:
        """Slows a server in episodes, whose distances are exponential."""
        experiment = self._experiment
        share, episode_s = experiment.noise_share, experiment.noise_episode_s
        quiet_s = episode_s * (1.0 - share) / share
        while True:
            await asyncio.sleep(self._generator.expovariate(1.0 / quiet_s))
            node.noise = experiment.noise_slowness
            await asyncio.sleep(episode_s)
            node.noise = 1.0

    async def _send_requests(
        self,
        kind: experiment_settings.Kind,
        requests: list[asyncio.Future[None]],
    ) -> None:
        while True:
            rate_per_s = kind.rate_per_s
            for fault in self._list_faults():
                if not fault.kinds or kind.name in fault.kinds:
                    rate_per_s *= fault.rate
            await asyncio.sleep(self._generator.expovariate(rate_per_s))
            if clock.read_s() >= self._experiment.duration_s:
                return
            requests.append(asyncio.ensure_future(self._serve_client(kind)))

    async def _serve_client(self, kind: experiment_settings.Kind) -> None:
        started_s = clock.read_s()
        work_s = self._draw_work_s(kind)
        result = Result.REFUSED
        run: _Run | None = None
        for attempts_left in range(kind.retries, -1, -1):
            node = self._nodes[self._generator.choice(self._node_ids)]
            call = _make_call(kind, started_s, node.service)
            outcome = await self._serve(node, call, work_s)
            now_s = clock.read_s()
            if isinstance(outcome, _Run):
                run = outcome
                is_in_time = now_s <= started_s + kind.objective_s
                result = Result.IN_TIME if is_in_time else Result.LATE
                if run.failed:
                    result = Result.FAILED
                break
            remaining_s = started_s + kind.timeout_s - now_s
            if not attempts_left or remaining_s <= 0:
                break
            retry_after_s = min(
                error_responses.compute_retry_after_s(outcome),
                remaining_s * _MAX_RETRY_WAIT,
            )
            await asyncio.sleep(retry_after_s)
        self.answers.append(
            Answer(
                kind.name,
                result,
                started_s,
                clock.read_s() - started_s,
                run.server if run else None,
                run.at_s if run else 0.0,
            )
        )

    def _draw_work_s(self, kind: experiment_settings.Kind) -> float:
        return kind.work_s * self._generator.uniform(_MIN_WORK, _MAX_WORK)

    async def _serve(
        self, node: _Node, call: calls.Call, work_s: float
    ) -> _Run | calls.Refusal:
        """Tries servers as `entry.EntryNode` does."""
        excluded: set[ids.NodeId] = set()
        refusal = calls.Refusal(errors.ErrorKind.NO_ENDPOINT)
        long_queues = 0
        max_tries = (
            entry.MAX_NODES_TRIED
            if call.is_dependency
            else entry.MAX_OVERLOADED_NODES
        )
        while len(excluded) < max_tries and call.remaining_s > 0:
            node.table.own.report_load(*node.read_load())
            member = node.balancer.choose(call, excluded, clock.read_s())
            if member is None:
                return refusal
            if (
                long_queues >= entry.MAX_LONG_QUEUES
                or not self._experiment.limits_queues
            ):
                call.max_wait_s = None
            member.in_flight += 1
            outcome = await self._run_at(
                self._nodes[member.record.node_id], call, work_s
            )
            member.in_flight -= 1
            member.report_load(*self._nodes[member.record.node_id].read_load())
            if isinstance(outcome, _Run):
                return outcome
            refusal = outcome
            if outcome.kind is errors.ErrorKind.LONG_QUEUE:
                long_queues += 1
                continue
            excluded.add(member.record.node_id)
        return refusal

    async def _run_at(
        self, server: _Node, call: calls.Call, work_s: float
    ) -> _Run | calls.Refusal:
        await asyncio.sleep(self._experiment.latency_s)
        outcome: _Run | calls.Refusal | None
        if server.chain.try_start(call.route, call.priority, clock.read_s()):
            outcome = await server.admission.acquire(call)
        else:
            outcome = calls.Refusal(errors.ErrorKind.OVERLOADED)
        if outcome is None:
            outcome = await self._run(server, call, work_s)
        await asyncio.sleep(self._experiment.latency_s)
        return outcome

    async def _run(
        self, server: _Node, call: calls.Call, work_s: float
    ) -> _Run:
        """Runs a request, with its dependency calls halfway."""
        server.chain.begin(b"", call.route, call.priority)
        run = _Run(server.node_id, clock.read_s())
        half_s = work_s / 2
        await asyncio.sleep(half_s * self._find_slowness(server))
        called = await asyncio.gather(
            *(
                self._call(server, call, self._kinds[name])
                for name in self._kinds[call.route].calls
            )
        )
        if all(called):
            await asyncio.sleep(half_s * self._find_slowness(server))
        if self._experiment.noise_share and self._experiment.reports_noise:
            server.admission.slowdown.update(server.noise * 100, clock.read_s())
        server.admission.apply_limit(self._find_limit(server))
        server.chain.end(b"")
        server.admission.release(call, True)
        return dataclasses.replace(run, failed=not all(called))

    async def _call(
        self, server: _Node, parent: calls.Call, kind: experiment_settings.Kind
    ) -> bool:
        """Makes a dependency call; returns whether it was answered in time."""
        call = _make_call(kind, clock.read_s(), server.service)
        call.is_dependency = True
        call.priority = server.chain.begin_call(
            chains.Parent(parent.route, parent.priority)
        )
        outcome = await self._serve(server, call, self._draw_work_s(kind))
        if isinstance(outcome, calls.Refusal):
            server.chain.record_refused_call(clock.read_s())
        return isinstance(outcome, _Run) and call.remaining_s > 0

    def _find_limit(self, server: _Node) -> float | None:
        """Returns the lowest limit that a server names, None if none."""
        return min(
            (
                fault.limit_per_s
                for fault in self._list_faults()
                if server.node_id in self._node_ids[: fault.limited_servers]
            ),
            default=None,
        )

    def _find_slowness(self, server: _Node) -> float:
        slowness = server.slowness * server.noise
        for fault in self._list_faults():
            if server.node_id in self._node_ids[: fault.slow_servers]:
                slowness *= fault.slowness
        return slowness


def _make_call(
    kind: experiment_settings.Kind, started_s: float, caller: ids.ServiceName
) -> calls.Call:
    return calls.Call(
        request_id=b"",
        method=b"GET",
        target=b"/",
        headers=[],
        body=b"",
        caller=caller,
        route=ids.RouteName(kind.name),
        instance="",
        idempotent=True,
        priority=kind.priority,
        deadline=started_s + kind.timeout_s,
        objective=started_s + kind.objective_s,
        service=ids.ServiceName(kind.service),
        account=ids.AccountName(kind.account),
    )


@contextlib.contextmanager
def _virtual_time(seed: int) -> Iterator[virtual_time.EventLoop]:
    """Replaces the clock of the product and the seed of its choices."""
    loop = virtual_time.EventLoop()
    random_state = random.getstate()
    random.seed(seed)
    try:
        with clock.replace(loop.time):
            yield loop
    finally:
        random.setstate(random_state)
        loop.close()


def play(experiment: experiment_settings.Experiment, seed: int) -> list[Answer]:
    """Plays an experiment; equal seeds give equal answers."""
    with _virtual_time(seed) as loop:
        model = LoadModel(experiment, random.Random(seed))
        loop.run_until_complete(model.run())
        return model.answers
