"""Benchmark of the request path between node and backend server processes.

Measures the latency added to a direct call of the backend server, the goodput
under load of up to twice the capacity, and, optionally with a fault, the number
of requests that were run more than once, were lost, got a wrong response or
were rejected as not run although they ran. These numbers come from a comparison
of the journals of the backend servers with the records of the clients.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import Final

import orjson
import urllib3

from lycheestair import deployments
from lycheestair import fleet as fleet_lib
from lycheestair import history
from lycheestair import ids
from lycheestair import invariants
from lycheestair import load_generator
from lycheestair import members
from lycheestair import operator_client
from lycheestair import request_clients as request_clients_lib

LATENCY_DURATION_S: Final = 30.0
# Connections to each address.
LATENCY_CONNECTIONS: Final = 4
LATENCY_WORK_MS: Final = 1.0
GOODPUT_DURATION_S: Final = 8.0
GOODPUT_WORK_MS: Final = 100.0
GOODPUT_CONNECTIONS: Final = 100
LOAD_FACTORS: Final = (0.5, 1.0, 1.5, 2.0)
CLIENTS_DURATION_S: Final = 12.0
CLIENTS_RATE_PER_S: Final = 60.0
CLIENT_THREADS: Final = 12
CRASHING_REQUESTS: Final = 21
PASSTHROUGH_PORT: Final = 7006
SETTINGS_OVERRIDES: Final[dict[str, dict[str, Any]]] = {
    "requests": {"ramp_s": 1.0}
}
# Failure domain of each node and the service of its backend server.
PLACEMENT: Final = (
    ("sicily-a", "proofroom"),
    ("sicily-a", "burin"),
    ("sicily-b", "burin"),
    ("calabria-a", "burin"),
    ("calabria-b", "proofroom"),
    ("malta-a", "proofroom"),
    ("malta-b", "proofroom"),
)


def run(
    seed: int, out: str, rate: float = 43, fault: str | None = None
) -> dict[str, Any]:
    """Runs the benchmark and writes its results to a file.

    Args:
      seed: Seed for the clients.
      out: Directory for the result file, `measure_requests.json`.
      rate: Calls per second to each address whose latency is measured.
      fault: Key of FAULTS, or None for no fault.

    Returns:
      The results.

    Raises:
      ValueError: The fault is unknown.
    """
    if fault is not None and fault not in FAULTS:
        raise ValueError(f"fault must be one of {sorted(FAULTS)}")
    profile = deployments.PROFILES[deployments.Deployment.ZECCA]
    with (
        tempfile.TemporaryDirectory(prefix="lycheestair-") as directory,
        fleet_lib.Fleet(
            profile, pathlib.Path(directory), SETTINGS_OVERRIDES
        ) as fleet,
    ):
        result = _RequestBenchmark(fleet, seed).run(rate, fault)
    result |= {"seed": seed, "rate": rate, "fault": fault}
    path = pathlib.Path(out)
    path.mkdir(parents=True, exist_ok=True)
    (path / "measure_requests.json").write_bytes(
        orjson.dumps(result, option=orjson.OPT_INDENT_2)
    )
    return result


class _RequestBenchmark:
    """One run of the benchmark on a fleet."""

    def __init__(self, fleet: fleet_lib.Fleet, seed: int):
        self.fleet = fleet
        self._seed = seed
        self._samples: list[load_generator.Sample] = []
        self._records: list[request_clients_lib.Record] = []

    def run(self, rate: float, fault: str | None) -> dict[str, Any]:
        """Runs all measurements and returns their results."""
        self._start_fleet()
        latency = self._measure_latency(rate)
        goodput = self._measure_goodput()
        self._run_clients(fault)
        return {**latency, **goodput, **self._count_violations()}

    def _start_fleet(self) -> None:
        fleet = self.fleet
        fleet.start_store()
        for domain, service in PLACEMENT:
            node = fleet.start_node(domain)
            fleet.wait_until_ready([node])
            fleet.start_backend(
                service,
                "v1",
                node,
                work_ms=LATENCY_WORK_MS
                if service == "proofroom"
                else GOODPUT_WORK_MS,
            )
        address = next(iter(fleet.nodes.values())).address("control")
        client = operator_client.OperatorClient(
            address, operator_client.open_channel(address)
        )
        client.apply_note(deployments.build_initial_note(fleet.profile))
        for node in fleet.nodes.values():
            address = node.address("control")
            node_client = operator_client.OperatorClient(
                address, operator_client.open_channel(address)
            )
            fleet_lib.wait_until(
                lambda node_client=node_client: _is_ready(node_client),  # type: ignore[misc]
                "all endpoints and the first generation at a node",
            )
        self._wait_for_key_voters()
        # The ramp-up of cold endpoints is not part of the measurements.
        time.sleep(SETTINGS_OVERRIDES["requests"]["ramp_s"])

    def _wait_for_key_voters(self) -> None:
        """Waits until idempotency keys can be claimed."""
        pool = urllib3.PoolManager(retries=False)
        node = self.fleet.backends[1].node
        fleet_lib.wait_until(
            lambda: pool.request(
                "POST",
                f"http://{node.address('caller')}/hardenings/probe",
                headers={request_clients_lib.IDEMPOTENCY_KEY_HEADER: "probe"},
            ).status
            == 200,
            "claim of an idempotency key",
        )

    def _measure_latency(self, rate: float) -> dict[str, Any]:
        backend = self.fleet.backends[0]
        other_node = self.fleet.backends[1].node
        address = f"{backend.node.host}:{PASSTHROUGH_PORT}"
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "lycheestair_standins.passthrough",
                address,
                backend.node.address("server"),
            ]
        )
        try:
            addresses = {
                "direct": backend.node.address("server"),
                "one_hop": backend.node.address("caller"),
                "two_hops": other_node.address("caller"),
                "passthrough": address,
            }
            targets = [
                load_generator.Target(
                    name,
                    target_address,
                    "GET",
                    "/proofs",
                    True,
                    LATENCY_CONNECTIONS,
                )
                for name, target_address in addresses.items()
            ]
            fleet_lib.wait_until(
                lambda: all(_responds(target) for target in targets),
                "responses on all paths",
            )
            # Opens the connections before the measurement starts.
            load_generator.run(targets, rate, 1.0, "warm")
            samples = load_generator.run(
                targets, rate, LATENCY_DURATION_S, "latency"
            )
        finally:
            process.kill()
            process.wait()
        self._samples += [
            sample for sample in samples if sample.target.name.endswith("hops")
        ]
        latencies_ms = {
            name: load_generator.summarize(
                s for s in samples if s.target.name == name
            )
            for name in addresses
        }
        return {
            "latency_ms": latencies_ms,
            "added_ms": {
                name: {
                    key: round(value - latencies_ms["direct"][key], 3)
                    for key, value in latencies_ms[name].items()
                    if key != "count"
                }
                for name in ("one_hop", "two_hops", "passthrough")
            },
        }

    def _measure_goodput(self) -> dict[str, Any]:
        backends = [b for b in self.fleet.backends if b.service == "burin"]
        (service_size,) = (
            s for s in self.fleet.profile.services if s.name == "burin"
        )
        capacity = len(backends) * service_size.slots / (GOODPUT_WORK_MS / 1000)
        targets = [
            load_generator.Target(
                backend.node.id,
                backend.node.address("caller"),
                "POST",
                "/hardenings",
                False,
                GOODPUT_CONNECTIONS,
            )
            for backend in backends
        ]
        regions: dict[str, str] = {
            backend.node.address("server"): backend.node.region
            for backend in backends
        }
        ratios, outcomes, cross_region_shares = {}, {}, {}
        for factor in LOAD_FACTORS:
            samples = load_generator.run(
                targets,
                capacity * factor / len(targets),
                GOODPUT_DURATION_S,
                f"load{factor}",
            )
            self._samples += samples
            good = [s for s in samples if s.status == 200 and s.call.own]
            # Requests still queued at the end of the load are not goodput.
            in_time = [
                s for s in good if s.at_s + s.latency_s <= GOODPUT_DURATION_S
            ]
            ratios[str(factor)] = round(
                len(in_time) / capacity / GOODPUT_DURATION_S, 3
            )
            outcomes[str(factor)] = dict(
                collections.Counter(s.error or str(s.status) for s in samples)
            )
            cross_region_shares[str(factor)] = round(
                sum(
                    regions[s.server]
                    != self.fleet.nodes[ids.NodeId(s.target.name)].region
                    for s in good
                )
                / max(1, len(good)),
                3,
            )
        return {
            "capacity_per_s": capacity,
            "goodput_ratio": ratios,
            "outcomes": outcomes,
            "cross_region_share": cross_region_shares,
        }

    def _run_clients(self, fault: str | None) -> None:
        """Sends requests and injects the fault after a third of the time."""
        excluded_nodes: set[str] = set()
        clients = request_clients_lib.RequestClients(
            self.fleet.profile,
            lambda: [
                node.address("caller")
                for node in self.fleet.nodes.values()
                if node.id not in excluded_nodes
            ],
            CLIENT_THREADS,
            CLIENTS_RATE_PER_S,
            self._seed,
        )
        clients.start()
        time.sleep(CLIENTS_DURATION_S / 3)
        if fault is not None:
            excluded_nodes.update(FAULTS[fault](self.fleet))
        time.sleep(CLIENTS_DURATION_S * 2 / 3)
        clients.stop()
        self._records = clients.records

    def _count_violations(self) -> dict[str, Any]:
        recorded = history.collect(self.fleet, self._records)
        recorded = dataclasses.replace(
            recorded,
            calls=(*recorded.calls, *(sample.call for sample in self._samples)),
            # Leaves out the latency measurement, some of whose calls bypass the
            # nodes, and the probes, which reuse call ids.
            runs=tuple(
                run
                for run in recorded.runs
                if not run.call_id.startswith(("latency-", "warm-", "probe"))
            ),
            activations=(),
            accepted=(),
        )
        violations = invariants.find_violations(recorded)
        wrong_or_lost = [
            v for v in violations if v.invariant == "own_whole_answer"
        ]
        lost = [v for v in wrong_or_lost if v.detail.endswith("no answer")]
        counts = collections.Counter(v.invariant for v in violations)
        return {
            "calls": len(recorded.calls),
            "ended_servers": sum(
                backend.process.poll() is not None
                for backend in self.fleet.backends
            ),
            "duplicated": counts["at_most_once"],
            "lost": len(lost),
            "wrong_answer": len(wrong_or_lost) - len(lost),
            "false_not_run": counts["true_not_run"],
            "violations": [f"{v.invariant}: {v.detail}" for v in violations],
            "fault_outcomes": dict(
                collections.Counter(
                    r.error or str(r.status) for r in self._records
                )
            ),
        }


def _is_ready(node_client: operator_client.OperatorClient) -> bool:
    status = node_client.read_status(0)
    serving = sum(
        entry.endpoints
        for entry in status.endpoints
        if entry.state == members.EndpointState.SERVING.value
    )
    return serving == len(PLACEMENT) and status.generation >= 1


def _responds(target: load_generator.Target) -> bool:
    (sample,) = load_generator.run(
        [dataclasses.replace(target, connections=1)], 1, 1, "probe"
    )
    return sample.status == 200


def _kill_server(fleet: fleet_lib.Fleet) -> Iterable[str]:
    fleet.backends[1].process.kill()
    return ()


def _kill_node(fleet: fleet_lib.Fleet) -> Iterable[str]:
    node = fleet.backends[1].node
    node.process.kill()
    return (node.id,)


def _drain_server(fleet: fleet_lib.Fleet) -> Iterable[str]:
    fleet.backends[1].process.send_signal(signal.SIGTERM)
    return ()


def _drain_node(fleet: fleet_lib.Fleet) -> Iterable[str]:
    node = fleet.backends[1].node
    node.process.send_signal(signal.SIGTERM)
    return (node.id,)


def _send_crashing_request(fleet: fleet_lib.Fleet) -> Iterable[str]:
    """Sends each node requests that crash their backend server."""
    pool = urllib3.PoolManager(retries=False)
    for backend in fleet.backends:
        if backend.service == "proofroom":
            address = backend.node.address("server")
            pool.request("POST", f"http://{address}/fault", body=b"crash")
    nodes = list(fleet.nodes.values())
    for node in nodes * (CRASHING_REQUESTS // len(nodes)):
        pool.request(
            "GET",
            f"http://{node.address('caller')}/proofs/probe-crash",
            body=b"crash",
        )
    return ()


# Functions that inject a fault and return the ids of the nodes to which clients
# must send no more requests.
FAULTS: Final[dict[str, Callable[[fleet_lib.Fleet], Iterable[str]]]] = {
    "kill_server": _kill_server,
    "kill_node": _kill_node,
    "drain_server": _drain_server,
    "drain_node": _drain_node,
    "crashing_request": _send_crashing_request,
}
