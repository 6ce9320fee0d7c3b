"""Runs a deployment on loopback addresses under faults and checks it.

Starts the store, nodes and backend servers, applies notes, sends requests of
every kind, moves traffic to a good and to a bad version, kills a node and a
backend server, and checks the recorded history against the invariants.
"""

from collections.abc import Callable
import dataclasses
import datetime
import pathlib
import sys
import tempfile
import time
from typing import Any
from typing import Final

from lycheestair import deployments
from lycheestair import errors
from lycheestair import fleet as fleet_lib
from lycheestair import history
from lycheestair import ids
from lycheestair import invariants
from lycheestair import members
from lycheestair import operator_client
from lycheestair import request_clients as request_clients_lib
from lycheestair import resources

SEED: Final = 7
CLIENT_THREADS: Final = 32
RATE_PER_S: Final = 240.0
MOVE_DEADLINE_S: Final = 12.0
MOVE_TIMEOUT_S: Final = 25.0
FINAL_STATES: Final = frozenset(
    state.value
    for state in resources.MoveState
    if state not in resources.RUNNING_MOVE_STATES
)
# The demo does not wait for the end of the observation period.
SETTLED_STATES: Final = FINAL_STATES | {resources.MoveState.WATCHING.value}
OVERRIDES: Final[dict[str, dict[str, Any]]] = {
    "store": {"lease_ms": 3_000},
    "moves": {"watch_s": 3.0},
    "requests": {"ramp_s": 1.0},
}


@dataclasses.dataclass
class Progress:
    """Prints the progress of the demo with timestamps."""

    started: float

    def show(self, text: str) -> None:
        """Prints a line with the seconds since the start."""
        print(f"{time.monotonic() - self.started:6.1f} s  {text}", flush=True)


def run(
    deployment: str = "zecca", keep: str | None = None, seed: int = SEED
) -> int:
    """Runs the demo and returns its exit code.

    Args:
      deployment: "zecca" or "vakharia".
      keep: Directory in which logs and journals are kept; a temporary one if
        not given.
      seed: Seed of the requests.
    """
    fleet_lib.kill_children_on_sigterm()
    profile = deployments.PROFILES[deployments.Deployment(deployment)]
    with tempfile.TemporaryDirectory(prefix="lycheestair-") as temporary:
        directory = pathlib.Path(keep or temporary)
        with fleet_lib.Fleet(profile, directory, OVERRIDES) as fleet:
            try:
                return _Demo(profile, fleet, seed).run()
            except fleet_lib.FleetError as error:
                print(f"demo failed: {error}", file=sys.stderr)
                return 1


class _Demo:
    """One run of the demo."""

    def __init__(
        self, profile: deployments.Profile, fleet: fleet_lib.Fleet, seed: int
    ):
        self._profile = profile
        self._seed = seed
        self._fleet = fleet
        self._progress = Progress(time.monotonic())
        self._killed: set[str] = set()
        self._clients: dict[str, operator_client.OperatorClient] = {}
        self._expected_states: dict[str, str] = {}
        self._bad_versions: list[invariants.BadVersion] = []
        self._request_clients = request_clients_lib.RequestClients(
            profile, self._list_targets, CLIENT_THREADS, RATE_PER_S, seed
        )

    def run(self) -> int:
        """Runs all steps and returns the exit code."""
        self._start()
        self._request_clients.start()
        first, second = self._profile.services
        self._move(first.name, "v2", "none", resources.MoveState.DONE)
        self._kill_backend_and_node()
        self._move(second.name, "v2", "error", resources.MoveState.TAKEN_BACK)
        self._request_clients.stop()
        return self._report()

    def _list_targets(self) -> list[str]:
        return [
            node.address("caller")
            for node in list(self._fleet.nodes.values())
            if node.id not in self._killed and node.process.poll() is None
        ]

    def _start(self) -> None:
        fleet = self._fleet
        fleet.start_store()
        self._progress.show("store is up")
        first_nodes = [fleet.start_node()]
        fleet.wait_until_ready(first_nodes)
        backend_count = sum(
            service.backend_count for service in self._profile.services
        )
        nodes = first_nodes + [
            fleet.start_node() for _ in range(backend_count - 1)
        ]
        service_names = [
            service.name
            for service in self._profile.services
            for _ in range(service.backend_count)
        ]
        # Spread the services over the nodes, so that each region has both.
        node_services = service_names[::2] + service_names[1::2]
        fleet.wait_until_ready(nodes)
        for node, service in zip(nodes, node_services, strict=True):
            fleet.start_backend(service, "v1", node)
        self._progress.show(f"{len(nodes)} nodes are ready")
        self._apply(deployments.build_initial_note(self._profile))
        self._wait_for_endpoints(backend_count)
        self._progress.show(f"{backend_count} backend servers announced")

    def _apply(self, text: str) -> None:
        reply = self._connect().apply_note(text)
        if not reply.HasField("accepted"):
            raise fleet_lib.FleetError(f"note was not accepted: {reply}")
        self._progress.show(
            f"note {reply.accepted.note_id} accepted as generation"
            f" {reply.accepted.generation}"
        )

    def _list_live_nodes(self) -> list[fleet_lib.NodeProcess]:
        return [
            node
            for node in self._fleet.nodes.values()
            if node.id not in self._killed
        ]

    def _connect(
        self, node: fleet_lib.NodeProcess | None = None
    ) -> operator_client.OperatorClient:
        address = (node or self._list_live_nodes()[-1]).address("control")
        if address not in self._clients:
            self._clients[address] = operator_client.OperatorClient(
                address, operator_client.open_channel(address)
            )
        return self._clients[address]

    def _wait_for_endpoints(self, count: int) -> None:
        fleet_lib.wait_until(
            lambda: all(
                self._count_serving_endpoints(node) >= count
                for node in self._list_live_nodes()
            ),
            f"{count} serving endpoints known to all nodes",
        )

    def _count_serving_endpoints(self, node: fleet_lib.NodeProcess) -> int:
        endpoints = self._connect(node).read_status(0).endpoints
        return sum(
            entry.endpoints
            for entry in endpoints
            if entry.state == members.EndpointState.SERVING.value
        )

    def _move(
        self,
        service: str,
        version: str,
        fault: str,
        expected: resources.MoveState,
    ) -> None:
        service_size = next(
            s for s in self._profile.services if s.name == service
        )
        # The new version gets only half of `backend_count` backend servers, and
        # they must sustain all traffic of the service.
        nodes = [
            self._fleet.start_node()
            for _ in range(service_size.backend_count // 2)
        ]
        self._fleet.wait_until_ready(nodes)
        for node in nodes:
            self._fleet.start_backend(service, version, node, fault=fault)
        started = time.time()
        if fault != "none":
            self._bad_versions.append(
                invariants.BadVersion(service, version, started, started)
            )
        deadline = datetime.datetime.fromtimestamp(
            started + MOVE_DEADLINE_S, datetime.UTC
        ).isoformat()
        move_id = f"{service}-to-{version}"
        self._apply(
            deployments.build_move_note(move_id, service, version, deadline)
        )
        self._wait_for_move(move_id, started)
        self._expected_states[move_id] = expected.value

    def _wait_for_move(self, move_id: str, started: float) -> None:
        last_text = ""
        while time.time() < started + MOVE_TIMEOUT_S:
            move = self._connect().read_move(ids.MoveId(move_id))
            text = f"{move.state} at {move.share_bps / 100:.1f}%"
            if text != last_text:
                self._progress.show(f"move {move_id}: {text}")
                last_text = text
            if move.state in SETTLED_STATES:
                if move.reason:
                    self._progress.show(f"move {move_id}: {move.reason}")
                return
            time.sleep(0.2)

    def _kill_backend_and_node(self) -> None:
        killed_backend = self._fleet.backends[0]
        killed_backend.process.kill()
        self._progress.show(
            f"killed a backend server of {killed_backend.service}"
        )
        node = self._fleet.backends[1].node
        self._killed.add(node.id)
        node.process.kill()
        # The backend server of a killed node is unreachable too.
        self._progress.show(f"killed node {node.id}")

    def _report(self) -> int:
        records = self._request_clients.records
        bad_versions = [
            history.find_fault_time(self._fleet, version)
            for version in self._bad_versions
        ]
        recorded = history.collect(self._fleet, records, bad_versions)
        violations = invariants.find_violations(recorded)
        moves = {
            move_id: self._connect().read_move(ids.MoveId(move_id)).state
            for move_id in self._expected_states
        }
        checks = {
            "no invariant violated": not violations,
            "every request got a response": all(
                record.call.answered for record in records
            ),
            "every idempotent request succeeded": all(
                record.status == 200
                for record in records
                if record.call.idempotent
            ),
            "at most 8 rejections with unknown execution": self._count_unknown()
            <= 8,
            "both moves ended as expected": all(
                moves[move_id] == state
                or {moves[move_id], state}
                == {"watching", resources.MoveState.DONE.value}
                for move_id, state in self._expected_states.items()
            ),
        }
        self._print_summary(records, moves, violations, checks)
        return 0 if all(checks.values()) else 1

    def _count_unknown(self) -> int:
        return sum(
            record.call.execution is errors.Execution.UNKNOWN
            for record in self._request_clients.records
        )

    def _print_summary(
        self,
        records: list[request_clients_lib.Record],
        moves: dict[str, str],
        violations: list[invariants.Violation],
        checks: dict[str, bool],
    ) -> None:
        show: Callable[[str], None] = print
        show("")
        show(
            f"deployment   {self._profile.deployment.value}, seed {self._seed}"
        )
        show(
            f"requests     {len(records)}:"
            f" {self._request_clients.count_errors()}"
        )
        show(f"moves        {moves}")
        for violation in violations[:20]:
            show(f"violation    {violation.invariant}: {violation.detail}")
        for name, passed in checks.items():
            show(f"{'passed' if passed else 'FAILED':12} {name}")
