"""Runs cells of the fault matrix on a fleet of node processes."""

import dataclasses
import datetime
import enum
import itertools
import pathlib
import signal
import time
from typing import Any
from typing import Final

from lycheestair import controller
from lycheestair import deployments
from lycheestair import fault_injector
from lycheestair import fault_matrix
from lycheestair import fleet as fleet_lib
from lycheestair import history
from lycheestair import ids
from lycheestair import injection_server as injection_server_lib
from lycheestair import invariants
from lycheestair import leases
from lycheestair import operator_client
from lycheestair import request_clients as request_clients_lib
from lycheestair import resources
from lycheestair_standins import link

LEASE_MS: Final = 1_500
MOVE_DEADLINE_S: Final = 6.0
# Time for a note to be accepted or a move to end.
CHANGE_TIMEOUT_S: Final = 30.0
POINT_TIMEOUT_S: Final = 12.0
OPERATOR_CALL_TIMEOUT_S: Final = 3.0
# Time for the nodes to receive the armed point before the trigger starts.
ARM_PROPAGATION_S: Final = 0.2
BACKENDS_BY_VERSION: Final = (("v1", 3), ("v2", 2))
SECOND_SERVICE_BACKENDS: Final = 4
CLIENT_THREADS: Final = 6
REQUEST_RATE_PER_S: Final = 40.0
# Maximum number of backend servers of the fleet that one request may crash.
MAX_CRASHED_BACKENDS: Final = 3
OVERRIDES: Final[dict[str, dict[str, Any]]] = {
    "store": {"lease_ms": LEASE_MS, "timeout_ms": 1_000},
    "moves": {"watch_s": 1.0, "tick_ms": 250},
    "membership": {"probe_period_ms": 300, "suspicion_ms": 1_200},
    # Short enough that a shard that lost its voters accepts claims again before
    # the longer cells end.
    "requests": {
        "ramp_s": 0.5,
        "key_retention_s": 24.0,
        "key_isolation_s": 3.0,
    },
}


class Status(enum.Enum):
    """Outcome of a cell."""

    PASSED = "passed"
    FAILED = "failed"
    NOT_POSSIBLE = "not possible"
    NOT_REACHED = "not reached"


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one cell.

    Attributes:
      details: Reasons for a failure or for an impossible cell.
    """

    cell: fault_matrix.Cell
    status: Status
    details: tuple[str, ...]
    seconds: float


class CellRunner:
    """Runs cells on one fleet with network links and an injection server."""

    def __init__(self, directory: pathlib.Path, seed: int):
        """Starts the fleet.

        Args:
          directory: Directory for settings, logs and journals.
          seed: Seed of the clients.
        """
        profile = deployments.PROFILES[deployments.Deployment.ZECCA]
        self._profile = profile
        self._seed = seed
        self._sequence = itertools.count(1)
        self._injection_server = injection_server_lib.InjectionServer()
        overrides = OVERRIDES | {
            "test": {
                "injection_address": self._injection_server.address,
            }
        }
        self._fleet = fleet_lib.Fleet(
            profile, directory, overrides, link.LinkMesh()
        )
        self._injector = fault_injector.FaultInjector(
            self._fleet, LEASE_MS / 1000
        )
        self._current_version = "v1"
        self._shutting_down: list[fleet_lib.NodeProcess] = []
        self._operator_clients: dict[str, operator_client.OperatorClient] = {}
        try:
            self._start_fleet()
        except fleet_lib.FleetError:
            self.close()
            raise

    def close(self) -> None:
        """Kills all processes and closes the injection server."""
        self._fleet.close()
        self._injection_server.close()

    def run(self, cell: fault_matrix.Cell) -> Result:
        """Runs one cell and clears all faults afterwards."""
        started = time.time()
        if cell.impossible_reason:
            return Result(
                cell, Status.NOT_POSSIBLE, (cell.impossible_reason,), 0.0
            )
        request_clients = request_clients_lib.RequestClients(
            self._profile,
            self._list_targets,
            CLIENT_THREADS,
            REQUEST_RATE_PER_S,
            self._seed * 100_000 + next(self._sequence),
        )
        request_clients.start()
        findings: list[str] = []
        try:
            reached = self._inject_faults(cell, findings)
            self._recover(findings)
        except fleet_lib.FleetError as error:
            reached = True
            findings.append(str(error))
        request_clients.stop()
        findings.extend(self._check_history(cell, request_clients, started))
        self._injection_server.disarm()
        if not reached and not findings:
            status = Status.NOT_REACHED
        else:
            status = Status.FAILED if findings else Status.PASSED
        return Result(cell, status, tuple(findings), time.time() - started)

    def _start_fleet(self) -> None:
        fleet = self._fleet
        fleet.start_store()
        first = fleet.start_node()
        fleet.wait_until_ready([first])
        service, second_service = (item.name for item in self._profile.services)
        plan = [
            (service, version)
            for version, count in BACKENDS_BY_VERSION
            for _ in range(count)
        ] + [(second_service, "v1")] * SECOND_SERVICE_BACKENDS
        nodes = [first] + [fleet.start_node() for _ in plan[1:]]
        fleet.wait_until_ready(nodes)
        for node, (name, version) in zip(nodes, plan, strict=True):
            fault = "crash" if name == second_service else "none"
            fleet.start_backend(name, version, node, fault=fault)
        self._apply_note(deployments.build_initial_note(self._profile))
        self._apply_note(
            f'id = "versions"\n[[service]]\nname = "{service}"\n'
            'versions = ["v1", "v2"]\nshares = { v1 = 100.0 }\n'
        )
        self._wait_endpoints()

    def _inject_faults(
        self, cell: fault_matrix.Cell, findings: list[str]
    ) -> bool:
        faults_applied = self._injection_server.arm(
            cell.point, lambda node: self._injector.apply(cell.faults, node)
        )
        time.sleep(ARM_PROPAGATION_S)
        trigger = fault_matrix.TRIGGERS[cell.point]
        bad = (
            fault_matrix.Fault.BAD_VERSION in cell.faults
            or trigger is fault_matrix.Trigger.BAD_MOVE
        )
        if trigger is fault_matrix.Trigger.APPLY_NOTE:
            self._apply_route_note()
        elif trigger is fault_matrix.Trigger.RESTART_NODE:
            self._restart_node()
        elif trigger is fault_matrix.Trigger.KILL_LEASE_HOLDER:
            self._signal_lease_holder(signal.SIGKILL)
        elif trigger is fault_matrix.Trigger.PAUSE_LEASE_HOLDER:
            self._signal_lease_holder(signal.SIGSTOP)
        if bad or trigger is fault_matrix.Trigger.GOOD_MOVE:
            findings.extend(self._run_move(bad))
        return faults_applied.wait(POINT_TIMEOUT_S)

    def _recover(self, findings: list[str]) -> None:
        """Clears all faults and checks that every node activates a new note."""
        self._injector.reset()
        self._wait_shutdowns()
        nodes = list(self._fleet.nodes.values())
        self._fleet.wait_until_ready(nodes)
        self._injector.restart_exited()
        self._wait_endpoints()
        generation = self._apply_route_note()
        try:
            fleet_lib.wait_until(
                lambda: all(
                    self._read_generation(node) >= generation for node in nodes
                ),
                "note applied after recovery active on all nodes",
                invariants.ACTIVATION_LIMIT_S,
            )
        except fleet_lib.FleetError as error:
            findings.append(str(error))

    def _check_history(
        self,
        cell: fault_matrix.Cell,
        request_clients: request_clients_lib.RequestClients,
        started: float,
    ) -> list[str]:
        affected_nodes = self._injector.affected_nodes
        recorded = history.collect(
            self._fleet,
            request_clients.records,
            reachable=[n for n in self._fleet.nodes if n not in affected_nodes],
        )
        runs = [run for run in recorded.runs if run.started_at >= started]
        crashing_runs = [
            run
            for run in runs
            if run.call_id.startswith(fault_injector.CRASH_CALL_PREFIX)
        ]
        recorded = dataclasses.replace(
            recorded,
            # The crashing request has no key, so each attempt may run.
            runs=tuple(run for run in runs if run not in crashing_runs),
            accepted=tuple(a for a in recorded.accepted if a.at >= started),
        )
        findings = [
            f"{item.invariant}: {item.detail}"
            for item in invariants.find_violations(recorded)
        ]
        crashed_servers = {
            run.server for run in crashing_runs if run.ended_at is None
        }
        if len(crashed_servers) > MAX_CRASHED_BACKENDS:
            findings.append(
                f"one request crashed {len(crashed_servers)} backend servers"
            )
        if any(count > 1 for count in self._injector.race_accept_counts):
            findings.append(
                "two concurrent notes with the same base were both accepted"
            )
        affected_nodes.clear()
        self._injector.race_accept_counts.clear()
        return findings

    def _run_move(self, bad: bool) -> list[str]:
        """Moves the first service; returns a finding on a wrong final state."""
        service = self._profile.services[0].name
        old = self._current_version
        new = "v2" if old == "v1" else "v1"
        targets = [
            backend
            for backend in self._fleet.backends
            if backend.service == service and backend.version == new
        ]
        for backend in targets:
            self._fleet.set_backend_fault(backend, "error" if bad else "none")
        move_id = f"move-{self._seed}-{next(self._sequence)}"
        deadline = datetime.datetime.fromtimestamp(
            time.time() + MOVE_DEADLINE_S, datetime.UTC
        ).isoformat()
        self._apply_note(
            deployments.build_move_note(move_id, service, new, deadline, old)
        )
        state = self._wait_move(move_id)
        expected = (
            resources.MoveState.TAKEN_BACK if bad else resources.MoveState.DONE
        )
        if state == resources.MoveState.DONE.value:
            self._current_version = new
        for backend in targets:
            self._fleet.set_backend_fault(backend, "none")
        if state != expected.value:
            return [f"move ended as {state}, expected {expected.value}"]
        return []

    def _wait_move(self, move_id: str) -> str:
        running = {state.value for state in resources.RUNNING_MOVE_STATES}
        started = time.monotonic()
        state = ""
        while time.monotonic() - started < CHANGE_TIMEOUT_S:
            for node in self._list_unaffected_nodes():
                state = self._read_move_state(node, move_id) or state
                if state and state not in running:
                    return state
            time.sleep(0.2)
            # Restarts exited processes, as the platform does. The move must end
            # nevertheless.
            self._injector.restart_exited()
        return state

    def _read_move_state(
        self, node: fleet_lib.NodeProcess, move_id: str
    ) -> str:
        try:
            return self._connect(node).read_move(ids.MoveId(move_id)).state
        except operator_client.CallError:
            return ""

    def _restart_node(self) -> None:
        node = self._list_unaffected_nodes()[-1]
        node.process.send_signal(signal.SIGTERM)
        fleet_lib.wait_until(
            lambda: node.process.poll() is not None
            or node.id in self._injector.affected_nodes,
            "graceful shutdown of a node",
        )
        self._injector.affected_nodes.add(node.id)
        if node.process.poll() is not None:
            self._fleet.start_node(node.failure_domain, node.id)
        else:
            self._shutting_down.append(node)

    def _wait_shutdowns(self) -> None:
        """Waits for nodes that were paused during their graceful shutdown."""
        for node in self._shutting_down:
            fleet_lib.wait_until(
                lambda node=node: node.process.poll() is not None,  # type: ignore[misc]
                "exit of a node that was paused during shutdown",
            )
        self._shutting_down.clear()
        self._injector.restart_exited()

    def _signal_lease_holder(self, signal_number: signal.Signals) -> None:
        holder = self._fleet.read_lease_holder(
            leases.LEASE_KIND, controller.LEASE_NAME
        )
        node = self._fleet.nodes.get(ids.NodeId(holder))
        if node is None:
            return
        self._injector.affected_nodes.add(node.id)
        node.process.send_signal(signal_number)
        if signal_number is signal.SIGSTOP:
            time.sleep(fault_injector.PAUSE_LEASE_DURATIONS * LEASE_MS / 1000)
            node.process.send_signal(signal.SIGCONT)

    def _apply_route_note(self) -> int:
        note_id = f"route-{self._seed}-{next(self._sequence)}"
        return self._apply_note(
            deployments.build_route_note(note_id, self._profile)
        )

    def _apply_note(self, text: str) -> int:
        """Applies a note at each node in turn until one accepts it.

        Raises:
          FleetError: The note was rejected or not accepted in time.
        """
        started = time.monotonic()
        for node in itertools.cycle(list(self._fleet.nodes.values())):
            if time.monotonic() - started > CHANGE_TIMEOUT_S:
                break
            try:
                reply = self._connect(node).apply_note(text)
            except operator_client.CallError:
                time.sleep(0.2)
                continue
            outcome = reply.WhichOneof("outcome")
            if outcome == "accepted":
                return int(reply.accepted.generation)
            if outcome == "rejected":
                raise fleet_lib.FleetError(
                    f"note was rejected: {list(reply.rejected.messages)}"
                )
        raise fleet_lib.FleetError("note was not accepted in time")

    def _wait_endpoints(self) -> None:
        expected = len(self._fleet.backends)
        fleet_lib.wait_until(
            lambda: all(
                self._count_serving_endpoints(node) >= expected
                for node in self._fleet.nodes.values()
            ),
            f"{expected} serving endpoints known to all nodes",
        )

    def _count_serving_endpoints(self, node: fleet_lib.NodeProcess) -> int:
        try:
            endpoints = self._connect(node).read_status(0).endpoints
        except operator_client.CallError:
            return 0
        return sum(e.endpoints for e in endpoints if e.state == "serving")

    def _read_generation(self, node: fleet_lib.NodeProcess) -> int:
        try:
            return int(self._connect(node).read_status(1).generation)
        except operator_client.CallError:
            return 0

    def _connect(
        self, node: fleet_lib.NodeProcess
    ) -> operator_client.OperatorClient:
        address = node.address("control")
        if address not in self._operator_clients:
            self._operator_clients[address] = operator_client.OperatorClient(
                address,
                operator_client.open_channel(address),
                OPERATOR_CALL_TIMEOUT_S,
            )
        return self._operator_clients[address]

    def _list_unaffected_nodes(self) -> list[fleet_lib.NodeProcess]:
        return [
            node
            for node in self._fleet.nodes.values()
            if node.process.poll() is None
            and node.id not in self._injector.affected_nodes
        ]

    def _list_targets(self) -> list[str]:
        return [
            node.address("caller") for node in self._list_unaffected_nodes()
        ]
