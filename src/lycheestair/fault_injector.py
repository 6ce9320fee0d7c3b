"""Applies the faults of the fault matrix to a fleet and clears them."""

from collections.abc import Callable
import itertools
import signal
import threading
from typing import Final

import urllib3

from lycheestair import deployments
from lycheestair import fault_matrix
from lycheestair import fleet as fleet_lib
from lycheestair import ids
from lycheestair import operator_client
from lycheestair import request_clients
from lycheestair_standins import link

FAULT_DURATION_S: Final = 2.0
# Length of a pause in lease durations; over 1, so that the lease expires.
PAUSE_LEASE_DURATIONS: Final = 1.5
SLOW_STORE_MS: Final = 300
SLOW_LINK_MS: Final = 20.0
REORDERING_JITTER_MS: Final = 60.0
CRASH_ATTEMPTS: Final = 6
CRASH_ATTEMPT_TIMEOUT_S: Final = 3.0
CRASH_CALL_PREFIX: Final = "crash"


class FaultInjector:
    """Applies faults to one fleet.

    Attributes:
      affected_nodes: Nodes that were killed, paused, partitioned or restarted
        during the current cell.
      race_accept_counts: Number of accepted notes for each pair of concurrent
        notes.
    """

    def __init__(self, fleet: fleet_lib.Fleet, lease_s: float):
        self.affected_nodes: set[ids.NodeId] = set()
        self.race_accept_counts: list[int] = []
        self._fleet = fleet
        self._lease_s = lease_s
        self._timers: list[threading.Timer] = []
        self._sequence = itertools.count(1)
        self._actions: dict[
            fault_matrix.Fault, Callable[[ids.NodeId], None]
        ] = {
            fault_matrix.Fault.KILLED: self._kill,
            fault_matrix.Fault.PAUSED: self._pause,
            fault_matrix.Fault.STORE_DOWN: lambda _: self._inject_store_fault(
                down=True
            ),
            fault_matrix.Fault.STORE_SLOW: lambda _: self._inject_store_fault(
                delay_ms=SLOW_STORE_MS
            ),
            fault_matrix.Fault.ANSWER_LOST: lambda _: self._inject_store_fault(
                lose_answers=1
            ),
            fault_matrix.Fault.STALE_READS: lambda _: self._inject_store_fault(
                stale=True
            ),
            fault_matrix.Fault.WATCH_EXPIRED: lambda _: self._inject_store_fault(
                watch_expired=True
            ),
            fault_matrix.Fault.CUT_BOTH_WAYS: lambda node: self._cut_links(
                node, True
            ),
            fault_matrix.Fault.CUT_ONE_WAY: lambda node: self._cut_links(
                node, False
            ),
            fault_matrix.Fault.LINK_SLOW: lambda _: self._inject_link_fault(
                link.Fault(delay_ms=SLOW_LINK_MS)
            ),
            fault_matrix.Fault.MESSAGES_REORDERED: lambda _: self._inject_link_fault(
                link.Fault(jitter_ms=REORDERING_JITTER_MS)
            ),
            fault_matrix.Fault.HERD_RESTART: lambda _: self._kill_every_second_node(),
            fault_matrix.Fault.BAD_VERSION: lambda _: None,
            fault_matrix.Fault.CRASHING_REQUEST: lambda _: self._schedule(
                0.0, self._send_crashing_request
            ),
            fault_matrix.Fault.RACING_OPERATORS: lambda _: self._schedule(
                0.0, self._race_operators
            ),
        }

    def apply(self, faults: tuple[fault_matrix.Fault, ...], node: str) -> None:
        """Applies faults and starts timers that clear the temporary ones.

        Args:
          faults: Faults to apply, in order.
          node: Id of the node that waits at the injection point.
        """
        for fault in faults:
            self._actions[fault](ids.NodeId(node))

    def reset(self) -> None:
        """Clears all faults and restarts processes that have exited."""
        for timer in self._timers:
            timer.join()
        self._timers.clear()
        self._clear_faults()
        self.restart_exited()

    def restart_exited(self) -> None:
        """Restarts exited nodes and backend servers, as the platform does."""
        fleet = self._fleet
        for node in list(fleet.nodes.values()):
            if node.process.poll() is not None:
                fleet.start_node(node.failure_domain, node.id)
        for backend in list(fleet.backends):
            if backend.process.poll() is not None:
                fleet.restart_backend(backend)

    def _kill(self, node_id: ids.NodeId) -> None:
        self.affected_nodes.add(node_id)
        process = self._fleet.nodes[node_id].process
        process.kill()
        process.wait()

    def _pause(self, node_id: ids.NodeId) -> None:
        self.affected_nodes.add(node_id)
        process = self._fleet.nodes[node_id].process
        process.send_signal(signal.SIGSTOP)
        self._schedule(
            self._lease_s * PAUSE_LEASE_DURATIONS,
            lambda: process.send_signal(signal.SIGCONT),
        )

    def _kill_every_second_node(self) -> None:
        # Nodes are placed in the failure domains in turn, so this kills nodes
        # of every region.
        for node_id in itertools.islice(list(self._fleet.nodes), 0, None, 2):
            self._kill(node_id)

    def _inject_store_fault(
        self,
        down: bool = False,
        delay_ms: int = 0,
        lose_answers: int = 0,
        stale: bool = False,
        watch_expired: bool = False,
    ) -> None:
        self._fleet.set_store_faults(
            down=down,
            delay_ms=delay_ms,
            lose_answers=lose_answers,
            stale=stale,
            watch_expired=watch_expired,
        )
        self._schedule(FAULT_DURATION_S, self._fleet.set_store_faults)

    def _cut_links(self, node_id: ids.NodeId, both_ways: bool) -> None:
        self.affected_nodes.add(node_id)
        links, others = self._get_links(), self._list_other_processes(node_id)
        if both_ways:
            links.partition([node_id], others)
        else:
            links.set_fault([node_id], others, link.Fault(cut_forward=True))
            links.set_fault(others, [node_id], link.Fault(cut_backward=True))
        self._schedule(FAULT_DURATION_S, links.clear_faults)

    def _inject_link_fault(self, fault: link.Fault) -> None:
        names = [*self._fleet.nodes, fleet_lib.STORE_NAME]
        self._get_links().set_fault(names, names, fault)
        self._schedule(FAULT_DURATION_S, self._get_links().clear_faults)

    def _send_crashing_request(self) -> None:
        kind = next(
            kind for kind in self._fleet.profile.kinds if not kind.idempotent
        )
        call_id = f"{CRASH_CALL_PREFIX}-{next(self._sequence)}"
        targets = [
            node.address("caller")
            for node in self._fleet.nodes.values()
            if node.process.poll() is None
        ]
        # Without an idempotency key, nodes can recognize the attempts as one
        # request only by their common fingerprint.
        pool = urllib3.PoolManager(
            retries=False, timeout=CRASH_ATTEMPT_TIMEOUT_S
        )
        for target in itertools.islice(
            itertools.cycle(targets), CRASH_ATTEMPTS
        ):
            request_clients.send(pool, target, kind, call_id, "")

    def _race_operators(self) -> None:
        number = next(self._sequence)
        unaffected_nodes = [
            node
            for node in self._fleet.nodes.values()
            if node.id not in self.affected_nodes
        ]
        if len(unaffected_nodes) < 2:
            return
        base = self._read_newest_note_id(unaffected_nodes[0])
        outcomes: list[str] = []
        threads = [
            threading.Thread(
                target=lambda node=node, name=name: outcomes.append(
                    self._apply_route_note(node, name, base)
                )
            )
            for node, name in zip(
                unaffected_nodes[:2],
                (f"race-{number}-a", f"race-{number}-b"),
                strict=True,
            )
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.race_accept_counts.append(outcomes.count("accepted"))

    def _read_newest_note_id(self, node: fleet_lib.NodeProcess) -> str:
        address = node.address("control")
        with operator_client.open_channel(address) as channel:
            client = operator_client.OperatorClient(address, channel)
            try:
                return client.read_status(1).notes[0].note_id
            except (operator_client.CallError, IndexError):
                return ""

    def _apply_route_note(
        self, node: fleet_lib.NodeProcess, name: str, base: str
    ) -> str:
        address = node.address("control")
        with operator_client.open_channel(address) as channel:
            client = operator_client.OperatorClient(address, channel)
            try:
                reply = client.apply_note(
                    deployments.build_route_note(
                        name, self._fleet.profile, base
                    )
                )
            except operator_client.CallError:
                return "unknown"
            return str(reply.WhichOneof("outcome"))

    def _list_other_processes(self, node_id: ids.NodeId) -> list[str]:
        others = [name for name in self._fleet.nodes if name != node_id]
        return [*others, fleet_lib.STORE_NAME]

    def _get_links(self) -> link.LinkMesh:
        assert self._fleet.links is not None
        return self._fleet.links

    def _clear_faults(self) -> None:
        self._fleet.set_store_faults()
        self._get_links().clear_faults()
        for node in self._fleet.nodes.values():
            if node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Runs an action on another thread after a delay."""
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        self._timers.append(timer)
        timer.start()
