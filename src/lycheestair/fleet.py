"""Starts and stops the processes of a local fleet on loopback addresses.

Takes the place of the platform, which starts nodes and backend servers in
production: a node starts no other process.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from typing import Any
from typing import Final

import orjson
import urllib3

from lycheestair import deployments
from lycheestair import ids
from lycheestair_standins import link

START_TIMEOUT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.05
_PORTS: Final = {
    "caller": 7001,
    "peer": 7002,
    "control": 7003,
    "local": 7004,
    "server": 7005,
}
STORE_PORT: Final = 7000
# Offset between the port of a listener and the port of the link in front of it.
LINK_PORT_OFFSET: Final = 100
LINKED_LISTENERS: Final = ("peer", "control")
STORE_NAME: Final = "store"


# Processes to kill when this process gets SIGTERM, which would otherwise orphan
# them.
_child_processes: Final[list[subprocess.Popen[bytes]]] = []


class FleetError(Exception):
    """A process failed to start or a condition was not met in time."""


@dataclasses.dataclass
class NodeProcess:
    """One `lycheestair node` process.

    Attributes:
      host: Loopback address that only this node uses, in place of the address
        of an instance.
    """

    id: ids.NodeId
    failure_domain: str
    region: str
    host: str
    process: subprocess.Popen[bytes]

    def address(self, listener: str) -> ids.Address:
        """Returns the address of one of the listeners."""
        return ids.Address(f"{self.host}:{_PORTS[listener]}")


@dataclasses.dataclass
class BackendProcess:
    """One backend server process.

    Attributes:
      journal: File in which it records each request that it runs.
      arguments: Command line options by name.
    """

    service: str
    version: str
    node: NodeProcess
    journal: pathlib.Path
    process: subprocess.Popen[bytes]
    arguments: dict[str, Any]


class Fleet:
    """A store, nodes and backend servers of one deployment."""

    def __init__(
        self,
        profile: deployments.Profile,
        directory: pathlib.Path,
        overrides: dict[str, dict[str, Any]] | None = None,
        links: link.LinkMesh | None = None,
    ):
        """Creates a fleet without processes.

        Args:
          profile: Deployment to run.
          directory: Directory for settings, logs and journals.
          overrides: Settings to add to or replace in those of every node, by
            table and key.
          links: Proxies for the connections between nodes and to the store,
            which can inject network faults.
        """
        self.profile = profile
        self.nodes: dict[ids.NodeId, NodeProcess] = {}
        self.backends: list[BackendProcess] = []
        self.store_process: subprocess.Popen[bytes] | None = None
        self._directory = directory
        self._overrides = overrides or {}
        self.links = links
        self._free_hosts = _allocate_hosts()
        self._store_host = next(self._free_hosts)
        self._domain_rotation = itertools.cycle(
            domain
            for pair in zip(*profile.regions.values(), strict=True)
            for domain in pair
        )
        self._node_numbers = itertools.count(1)
        self._http = urllib3.PoolManager(
            maxsize=32, retries=False, timeout=urllib3.Timeout(total=5.0)
        )
        directory.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def store_address(self) -> str:
        """Address of the simulated store."""
        return f"{self._store_host}:{STORE_PORT}"

    def start_store(self) -> None:
        """Starts the simulated store and waits until it accepts connections."""
        self.store_process = self._spawn(
            "store", "lycheestair_standins.store", self.store_address
        )
        wait_until(lambda: _can_connect(self._store_host, STORE_PORT), "store")
        self._add_link(STORE_NAME, self._store_host, STORE_PORT)

    def set_store_faults(self, **faults: Any) -> None:
        """Replaces all faults of the store; clears them without arguments."""
        self._http.request(
            "PUT",
            f"http://{self.store_address}/faults",
            body=orjson.dumps(faults),
        )

    def read_store_counts(self) -> dict[str, int]:
        """Returns the number of calls to the store by method and kind."""
        response = self._http.request(
            "GET", f"http://{self.store_address}/counts"
        )
        return dict(orjson.loads(response.data))

    def read_store_history(self, kind: str) -> list[dict[str, Any]]:
        """Returns the writes that the store retains for objects of a kind."""
        response = self._http.request(
            "GET", f"http://{self.store_address}/history/{kind}"
        )
        return list(orjson.loads(response.data))

    def read_lease_holder(self, kind: str, name: str) -> str:
        """Returns the node that holds a lease, empty if there is none."""
        response = self._http.request(
            "GET", f"http://{self.store_address}/v1/{kind}/{name}"
        )
        document = orjson.loads(response.data)
        return str(document["value"]["holder"]) if document else ""

    def start_node(
        self, failure_domain: str | None = None, node_id: str | None = None
    ) -> NodeProcess:
        """Starts a node, or restarts one by its id, without waiting for it.

        Args:
          failure_domain: The next one in rotation if not given.
          node_id: Id of the node; a restarted node keeps its address.
        """
        domain = failure_domain or next(self._domain_rotation)
        name = ids.NodeId(node_id or f"{domain}-{next(self._node_numbers)}")
        host = (
            self.nodes[name].host
            if name in self.nodes
            else next(self._free_hosts)
        )
        settings_path = self._directory / f"{name}.toml"
        settings_path.write_text(self._write_settings(name, domain, host))
        if name not in self.nodes:
            for listener in LINKED_LISTENERS:
                self._add_link(name, host, _PORTS[listener])
        process = self._spawn(
            name, "lycheestair.cli", "node", f"--settings={settings_path}"
        )
        if self.links:
            self.links.register_process(process.pid, name)
        node = NodeProcess(
            name, domain, self.profile.topology[domain], host, process
        )
        self.nodes[name] = node
        return node

    def start_backend(
        self, service: str, version: str, node: NodeProcess, **options: Any
    ) -> BackendProcess:
        """Starts the backend server of a node without waiting for it."""
        name = f"{service}-{version}-{node.id}"
        journal = self._directory / f"{name}.journal"
        service_size = next(
            s for s in self.profile.services if s.name == service
        )
        arguments = {
            "service": service,
            "version": version,
            "slots": service_size.slots,
            "address": node.address("server"),
            "node": node.address("local"),
            "caller": node.address("caller"),
            "journal": journal,
            **options,
        }
        process = self._spawn_backend(name, arguments)
        backend = BackendProcess(
            service, version, node, journal, process, arguments
        )
        self.backends.append(backend)
        return backend

    def restart_backend(self, backend: BackendProcess) -> None:
        """Restarts a backend server that has exited."""
        backend.process = self._spawn_backend(
            backend.journal.stem, backend.arguments
        )

    def set_backend_fault(self, backend: BackendProcess, fault: str) -> None:
        """Sets the fault mode of a running backend server."""
        self._http.request(
            "PUT",
            f"http://{backend.node.address('server')}/fault",
            body=fault.encode(),
        )

    def wait_until_ready(self, nodes: list[NodeProcess]) -> None:
        """Waits until the nodes report that they are ready."""
        for node in nodes:
            wait_until(
                lambda node=node: self.is_serving(node),  # type: ignore[misc]
                f"node {node.id}",
            )

    def is_serving(self, node: NodeProcess) -> bool:
        """Returns whether a node reports that it is ready.

        Raises:
          FleetError: The node process has exited.
        """
        if node.process.poll() is not None:
            raise FleetError(
                f"node {node.id} exited with status {node.process.returncode},"
                f" see {self._directory / node.id}.log"
            )
        try:
            response = self._http.request(
                "GET", f"http://{node.address('local')}/ready", timeout=1.0
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def read_metrics(self, node: NodeProcess) -> str:
        """Returns the metrics of a node in the Prometheus text format."""
        response = self._http.request(
            "GET", f"http://{node.address('local')}/metrics"
        )
        return response.data.decode()

    def read_log(self, name: str) -> Iterator[dict[str, Any]]:
        """Yields the JSON objects that a process has logged."""
        path = self._directory / f"{name}.log"
        for line in path.read_bytes().splitlines():
            with contextlib.suppress(orjson.JSONDecodeError):
                entry = orjson.loads(line)
                if isinstance(entry, dict):
                    yield entry

    def close(self) -> None:
        """Kills all processes of the fleet and closes its links."""
        processes = [
            *(backend.process for backend in self.backends),
            *(node.process for node in self.nodes.values()),
            *([self.store_process] if self.store_process else []),
        ]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        if self.links:
            self.links.close()

    def _spawn_backend(
        self, name: str, arguments: dict[str, Any]
    ) -> subprocess.Popen[bytes]:
        return self._spawn(
            name,
            "lycheestair_standins.backend",
            *(f"--{key}={value}" for key, value in arguments.items()),
        )

    def _add_link(self, name: str, host: str, port: int) -> None:
        if self.links:
            listen = (host, port + LINK_PORT_OFFSET)
            self.links.add_link(name, listen, (host, port))

    def _spawn(
        self, name: str, module: str, *arguments: str
    ) -> subprocess.Popen[bytes]:
        with open(self._directory / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        _child_processes.append(process)
        return process

    def _write_settings(self, name: str, domain: str, host: str) -> str:
        offset = LINK_PORT_OFFSET if self.links else 0
        seeds = [
            f"{node.host}:{_PORTS['control'] + offset}"
            for node in itertools.islice(self.nodes.values(), 3)
            if node.id != name
        ]
        tables: dict[str, dict[str, Any]] = {
            "node": {
                "id": name,
                "region": self.profile.topology[domain],
                "failure_domain": domain,
            },
            "listeners": {
                key: f"{host}:{port}"
                for key, port in _PORTS.items()
                if key != "server"
            },
            "advertised": {
                key: f"{host}:{_PORTS[key] + offset}"
                for key in LINKED_LISTENERS
            },
            "store": {"address": f"{self._store_host}:{STORE_PORT + offset}"},
            "topology": dict(self.profile.topology),
            "membership": {"seeds": seeds},
        }
        for table, values in self._overrides.items():
            tables.setdefault(table, {}).update(values)
        # JSON literals of strings, numbers, booleans and lists are valid TOML.
        return "\n".join(
            f"[{table}]\n"
            + "".join(
                f'"{key}" = {orjson.dumps(value).decode()}\n'
                for key, value in values.items()
            )
            for table, values in tables.items()
        )


def kill_children_on_sigterm() -> None:
    """Installs a SIGTERM handler that kills all started processes."""

    def kill_and_exit(*_: object) -> None:
        for process in _child_processes:
            if process.poll() is None:
                process.kill()
        os._exit(128 + signal.SIGTERM)

    signal.signal(signal.SIGTERM, kill_and_exit)


def wait_until(
    condition: Callable[[], bool],
    what: str,
    timeout_s: float = START_TIMEOUT_S,
) -> float:
    """Polls a condition until it holds and returns the elapsed seconds.

    Raises:
      FleetError: The condition did not hold within the timeout.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise FleetError(f"{what}: timed out after {timeout_s} s")
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started


def _can_connect(host: str, port: int) -> bool:
    with contextlib.suppress(OSError):
        socket.create_connection((host, port), timeout=1.0).close()
        return True
    return False


def _allocate_hosts() -> Iterator[str]:
    """Yields addresses of a loopback subnet that no other fleet uses."""
    generator = random.Random(os.getpid() * 1_000_003 + time.time_ns())
    while True:
        second, third = generator.randint(1, 254), generator.randint(0, 255)
        if not _can_connect(f"127.{second}.{third}.1", STORE_PORT):
            break
    for fourth in range(1, 255):
        yield f"127.{second}.{third}.{fourth}"
