"""Benchmark of configuration convergence and of control plane overhead.

Starts node processes on loopback addresses, applies changes and prints the
results as one JSON object.
"""

import collections
import contextlib
import dataclasses
import itertools
import pathlib
import random
import tempfile
import time
from typing import Any
from typing import Final

import grpc
import numpy as np
import orjson
import psutil

from lycheestair import acceptance
from lycheestair import convergence_faults as faults_lib
from lycheestair import deployments
from lycheestair import distribution_pb2 as pb
from lycheestair import distribution_pb2_grpc
from lycheestair import fleet as fleet_lib
from lycheestair import note_records
from lycheestair import operator_client
from lycheestair import settings as settings_lib
from lycheestair import store as store_lib
from lycheestair import watch_all

# Time after all nodes have joined for the refutation of suspicions that were
# raised meanwhile.
SETTLE_S: Final = 5.0
IDLE_DURATION_S: Final = 10.0
# 85,000 changes a day are about one per second.
CHANGE_PERIOD_S: Final = 1.0
CONVERGENCE_TIMEOUT_S: Final = 60.0
START_BATCH_SIZE: Final = 10
# Kinds of calls that are made only because of a change.
CHANGE_CALL_KINDS: Final = frozenset({"offer", "push", "fetch"})
PERCENTILES: Final = {"p50": 50, "p99": 99, "max": 100}
WATCH_ALL: Final = "watch-all"


@dataclasses.dataclass(frozen=True)
class Change:
    """An accepted change.

    Attributes:
      accepted_at: Unix time in seconds, as recorded by the acceptor.
      head_bytes: Size of the head object, which each watch event contains.
    """

    generation: int
    accepted_at: float
    head_bytes: int


@dataclasses.dataclass(frozen=True)
class FleetCounters:
    """Counters of the whole fleet at one point in time.

    Attributes:
      at: Monotonic time in seconds.
      sent: Control bytes sent by all nodes.
      cross_region: Control bytes sent to other regions.
      sent_by_kind: Control bytes sent, by kind of call.
      changes: Control bytes sent because of changes, in total and to other
        regions.
      cpu_s: CPU time of the node processes.
      store_calls: Number of calls that the store has received.
    """

    at: float
    sent: int
    cross_region: int
    sent_by_kind: collections.Counter[str]
    changes: tuple[int, int]
    cpu_s: float
    store_calls: int


class Driver:
    """Applies changes to a fleet and reads the reports of its nodes."""

    def __init__(self, fleet: fleet_lib.Fleet, rng: random.Random):
        self.fleet = fleet
        self.changes: list[Change] = []
        self._rng = rng
        self._counter = itertools.count(1)
        self._channels: dict[str, grpc.Channel] = {}
        self.store = store_lib.HttpStore(
            settings_lib.StoreSettings(fleet.store_address)
        )

    def read_report(self, node: fleet_lib.NodeProcess) -> pb.ReportReply | None:
        """Returns the report of a node, or None if it does not respond."""
        stub = distribution_pb2_grpc.DistributionStub(self._connect(node))
        try:
            reply = stub.Report(pb.ReportRequest(), timeout=5.0)
        except grpc.RpcError:
            return None
        assert isinstance(reply, pb.ReportReply)
        return reply

    def read_reports(self) -> list[pb.ReportReply]:
        """Returns the reports of the nodes that respond."""
        reports = (self.read_report(node) for node in self.list_running())
        return [report for report in reports if report is not None]

    def list_running(self) -> list[fleet_lib.NodeProcess]:
        """Returns the nodes whose process is running."""
        return [
            node
            for node in self.fleet.nodes.values()
            if node.process.poll() is None
        ]

    def apply_change(self, attempts: int = 5) -> Change | None:
        """Applies a note at random nodes until it is accepted.

        Args:
          attempts: Maximum number of nodes to try.

        Returns:
          The accepted change, or None if no attempt was accepted.
        """
        name = f"change{next(self._counter)}"
        text = f'id = "{name}"\n[[service]]\nname = "{name}"\nversions=["v1"]\n'
        for _ in range(attempts):
            node = self._rng.choice(self.list_running())
            client = operator_client.OperatorClient(
                node.address("control"), self._connect(node)
            )
            with contextlib.suppress(operator_client.CallError):
                reply = client.apply_note(text)
                if reply.HasField("accepted"):
                    return self._record_change(name, reply.accepted.generation)
        return None

    def wait_for_generation(self, generation: int) -> float:
        """Waits until a generation or a later one is active on all nodes.

        Returns:
          The time waited in seconds.
        """
        return fleet_lib.wait_until(
            lambda: all(
                (report := self.read_report(node)) is not None
                and report.generation >= generation
                for node in self.list_running()
            ),
            f"generation {generation} active on all nodes",
            CONVERGENCE_TIMEOUT_S,
        )

    def read_counters(self) -> FleetCounters:
        """Returns the counters of the whole fleet."""
        counts = [
            count for report in self.read_reports() for count in report.traffic
        ]
        sent_by_kind: collections.Counter[str] = collections.Counter()
        for count in counts:
            sent_by_kind[count.kind] += count.sent
        change_counts = [
            count for count in counts if count.kind in CHANGE_CALL_KINDS
        ]
        return FleetCounters(
            time.monotonic(),
            sum(count.sent for count in counts),
            sum(count.sent for count in counts if count.cross_region),
            sent_by_kind,
            (
                sum(count.sent for count in change_counts),
                sum(
                    count.sent for count in change_counts if count.cross_region
                ),
            ),
            sum(
                sum(psutil.Process(node.process.pid).cpu_times()[:2])
                for node in self.list_running()
            ),
            sum(self.fleet.read_store_counts().values()),
        )

    def _record_change(self, name: str, generation: int) -> Change:
        stored = self.store.get(note_records.NOTE_KIND, name)
        head = self.store.get(acceptance.HEAD_KIND, acceptance.HEAD_NAME)
        accepted_at = (
            note_records.decode_record(stored).accepted_at if stored else 0.0
        )
        change = Change(
            generation,
            accepted_at or time.time(),
            len(orjson.dumps(head.value)) if head else 0,
        )
        self.changes.append(change)
        return change

    def _connect(self, node: fleet_lib.NodeProcess) -> grpc.Channel:
        address = node.address("control")
        if address not in self._channels:
            self._channels[address] = grpc.insecure_channel(address)
        return self._channels[address]


def run(
    nodes: int = 10,
    changes: int = 20,
    seed: int = 1,
    out: str = "out",
    fault: str | None = None,
    baseline: str | None = None,
    churn: bool = False,
) -> dict[str, Any]:
    """Runs the benchmark, prints its results and writes them to a file.

    Args:
      nodes: Number of node processes to start.
      changes: Number of notes to apply, about one per second.
      seed: Seed for the choice of nodes.
      out: Directory for the result file,
        `convergence-<nodes>[-<fault>][-<baseline>][-churn].json`.
      fault: store-down, lost-answer, herd-restart, partition or
        feeder-killed, injected during the middle third of the changes.
      baseline: watch-all measures, instead of nodes, processes that each watch
        the store.
      churn: Whether endpoints change continuously while the changes are
        applied.

    Returns:
      The results.
    """
    result: dict[str, Any] = {
        "nodes": nodes,
        "changes": changes,
        "seed": seed,
        "fault": fault,
        "baseline": baseline,
        "churn": churn,
    }
    with tempfile.TemporaryDirectory(prefix="lycheestair-") as directory:
        path = pathlib.Path(directory)
        if baseline == WATCH_ALL:
            result |= watch_all.measure(nodes, changes, path)
        else:
            result |= measure(nodes, changes, seed, path, fault, churn)
    target = pathlib.Path(out)
    target.mkdir(parents=True, exist_ok=True)
    name = "-".join(
        ["convergence", str(nodes), *filter(None, [fault, baseline])]
        + ["churn"] * churn
    )
    (target / f"{name}.json").write_bytes(
        orjson.dumps(result, option=orjson.OPT_INDENT_2)
    )
    return result


def measure(
    nodes: int,
    changes: int,
    seed: int,
    directory: pathlib.Path,
    fault: str | None = None,
    churn: bool = False,
) -> dict[str, Any]:
    """Measures a fleet of nodes. See `run` for the arguments."""
    links = faults_lib.make_links(fault)
    profile = deployments.PROFILES[deployments.Deployment.ZECCA]
    with fleet_lib.Fleet(profile, directory, links=links) as fleet:
        fleet.start_store()
        started_at = time.monotonic()
        for index in range(nodes):
            fleet.start_node()
            if index % START_BATCH_SIZE == START_BATCH_SIZE - 1:
                fleet.wait_until_ready(list(fleet.nodes.values()))
        fleet.wait_until_ready(list(fleet.nodes.values()))
        driver = Driver(fleet, random.Random(seed))
        fleet_lib.wait_until(
            lambda: all(
                report.live_peers == nodes - 1
                for report in driver.read_reports()
            ),
            "all nodes alive in the member table of every node",
            CONVERGENCE_TIMEOUT_S,
        )
        start_s = time.monotonic() - started_at
        warm_up = driver.apply_change()
        if warm_up is not None:
            driver.wait_for_generation(warm_up.generation)
        driver.changes.clear()
        time.sleep(SETTLE_S)
        before = driver.read_counters()
        time.sleep(IDLE_DURATION_S)
        idle = driver.read_counters()
        initial_pids = {
            node.id: node.process.pid for node in driver.list_running()
        }
        with (
            faults_lib.churn_endpoints(fleet, seed)
            if churn
            else contextlib.nullcontext()
        ):
            fault_results = faults_lib.apply_changes(
                driver, changes, fault, CHANGE_PERIOD_S
            )
        driver.wait_for_generation(driver.changes[-1].generation)
        after = driver.read_counters()
        return {
            "start_s": round(start_s, 1),
            **summarize_convergence(driver, initial_pids),
            **summarize_overhead(driver, before, idle, after),
            **fault_results,
        }


def summarize_convergence(
    driver: Driver, initial_pids: dict[Any, int]
) -> dict[str, Any]:
    """Returns percentiles of the time from acceptance to activation.

    Each sample is one change on one node.

    Args:
      driver: Driver that has applied the changes.
      initial_pids: Process id of each node before the changes. Restarted nodes
        are left out, because they have lost their earlier activations.
    """
    samples: list[float] = []
    backward_steps = 0
    for node in driver.list_running():
        report = driver.read_report(node)
        if report is None or initial_pids.get(node.id) != node.process.pid:
            continue
        activations = [
            (a.generation, a.activated_at_ms) for a in report.activations
        ]
        backward_steps += sum(
            a >= b for (a, _), (b, _) in itertools.pairwise(activations)
        )
        for change in driver.changes:
            at_ms = min(at for g, at in activations if g >= change.generation)
            samples.append(max(0.0, at_ms - change.accepted_at * 1000))
    return {
        "accepted": len(driver.changes),
        "samples": len(samples),
        "went_back": backward_steps,
        "convergence_ms": {
            name: round(float(np.percentile(samples, q)), 1)
            for name, q in PERCENTILES.items()
        },
    }


def summarize_overhead(
    driver: Driver,
    before: FleetCounters,
    idle: FleetCounters,
    after: FleetCounters,
) -> dict[str, Any]:
    """Returns control bytes, store calls, memory and CPU usage.

    Args:
      driver: Driver that has applied the changes.
      before: Counters before a period without changes.
      idle: Counters at its end, when the changes start.
      after: Counters after the last change.
    """
    nodes = driver.list_running()
    node_count, accepted = len(nodes), len(driver.changes)
    idle_s, change_s = idle.at - before.at, after.at - idle.at
    idle_rate = (idle.sent - before.sent) / idle_s
    idle_cross_region_rate = (idle.cross_region - before.cross_region) / idle_s
    change_bytes = after.changes[0] - idle.changes[0]
    change_cross_region_bytes = after.changes[1] - idle.changes[1]
    total_head_bytes = sum(change.head_bytes for change in driver.changes)
    remote_regions = len(driver.fleet.profile.regions) - 1
    rss_mb = [
        psutil.Process(node.process.pid).memory_info().rss / 2**20
        for node in nodes
    ]
    return {
        "control_bytes_per_node_per_s": {
            "idle": round(idle_rate / node_count),
            "under_change": round(
                (after.sent - idle.sent) / change_s / node_count
            ),
        },
        "control_bytes_per_change_per_node": round(
            change_bytes / accepted / node_count
        ),
        "idle_bytes_per_node_per_s_by_kind": {
            kind: round(sent / idle_s / node_count, 1)
            for kind, sent in sorted(
                (idle.sent_by_kind - before.sent_by_kind).items()
            )
        },
        "cross_region_bytes_per_s_idle": round(idle_cross_region_rate),
        "cross_region_bytes_per_change": round(
            change_cross_region_bytes / accepted
        ),
        # Each feeder outside the region of the store receives the head in its
        # watch.
        "cross_region_store_bytes_per_change": round(
            remote_regions * total_head_bytes / accepted
        ),
        "store_calls_per_s": {
            "idle": round((idle.store_calls - before.store_calls) / idle_s, 1),
            "under_change": round(
                (after.store_calls - idle.store_calls) / change_s, 1
            ),
        },
        "rss_mb": {
            "mean": round(float(np.mean(rss_mb)), 1),
            "max": round(max(rss_mb), 1),
        },
        "cpu_percent_per_node": {
            "idle": round(
                100 * (idle.cpu_s - before.cpu_s) / idle_s / node_count, 2
            ),
            "under_change": round(
                100 * (after.cpu_s - idle.cpu_s) / change_s / node_count, 2
            ),
        },
    }
