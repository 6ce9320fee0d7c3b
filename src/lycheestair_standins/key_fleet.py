"""Fleet of key_node processes, one per failure domain, linked by relays."""

import dataclasses
import itertools
import json
import os
import pathlib
import selectors
import subprocess
import sys
import time
from typing import Any
from typing import Final

import orjson
import pydantic

from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import ownership
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair_standins import relay

TOPOLOGY: Final = {
    "a1": "a",
    "a2": "a",
    "a3": "a",
    "b1": "b",
    "b2": "b",
    "c1": "c",
    "c2": "c",
}
RESULT_TIMEOUT_S: Final = 30.0
FIRST_CONTROL_PORT: Final = 20_001
_fleet_numbers: Final = itertools.count()
_MEMBER_ADAPTER: Final = pydantic.TypeAdapter(members_lib.Member)
_SETTINGS_TEMPLATE: Final = """
topology = {topology}
[node]
id = "n-{domain}"
region = "{region}"
failure_domain = "{domain}"
[listeners]
caller = "127.0.0.1:1"
peer = "127.0.0.1:2"
control = "{host}:{port}"
local = "127.0.0.1:3"
[store]
address = "127.0.0.1:1"
[requests]
key_retention_s = {retention_s}
"""


class KeyFleet:
    """Runs key nodes and does the work of controller and distribution for them.

    Attributes:
      processes: Process of the node of each failure domain.
      members: Member of each failure domain.
      links: Relays by the failure domains of source and target.
      snapshot: Configuration that distribute() sends.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        region_delay_s: float = 0.0,
        retention_s: float = 600.0,
    ):
        self._directory = directory
        self._region_delay_s = region_delay_s
        self._host = _allocate_host()
        self._retention_s = retention_s
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.members: dict[str, members_lib.Member] = {}
        self.links: dict[tuple[str, str], relay.Link] = {}
        self.snapshot = snapshot_lib.EMPTY
        for domain in TOPOLOGY:
            self._start_process(domain)
        for domain in TOPOLOGY:
            self._add_member(domain)
        self.reassign_voters()

    def start(self, domain: str) -> None:
        """Starts the node of a failure domain again, at the same address."""
        self._start_process(domain)
        self._add_member(domain)

    def _start_process(self, domain: str) -> None:
        path = self._directory / f"{domain}.toml"
        topology = ", ".join(f'{d} = "{r}"' for d, r in TOPOLOGY.items())
        path.write_text(
            _SETTINGS_TEMPLATE.format(
                topology="{ " + topology + " }",
                domain=domain,
                region=TOPOLOGY[domain],
                host=self._host,
                port=FIRST_CONTROL_PORT + list(TOPOLOGY).index(domain),
                retention_s=self._retention_s,
            )
        )
        self.processes[domain] = subprocess.Popen(
            [sys.executable, "-m", "lycheestair_standins.key_node", str(path)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def _add_member(self, domain: str) -> None:
        description = self.call(domain, "describe")
        self.members[domain] = _MEMBER_ADAPTER.validate_python(description)
        for source in TOPOLOGY:
            if (source, domain) not in self.links and source != domain:
                crosses_regions = TOPOLOGY[source] != TOPOLOGY[domain]
                self.links[source, domain] = relay.Link(
                    str(self.members[domain].control),
                    self._region_delay_s if crosses_regions else 0.0,
                )

    def call(self, domain: str, command: str, **arguments: Any) -> Any:
        """Runs a command in a node and returns its result."""
        self.send(domain, command, **arguments)
        return self.receive(domain)

    def send(self, domain: str, command: str, **arguments: Any) -> None:
        """Sends a command without waiting for its result."""
        stream = self.processes[domain].stdin
        assert stream is not None
        stream.write(orjson.dumps([command, arguments]) + b"\n")
        stream.flush()

    def receive(self, domain: str) -> Any:
        """Returns the result of the oldest command without a received result.

        Raises:
          TimeoutError: The node sent no result within RESULT_TIMEOUT_S.
        """
        stream = self.processes[domain].stdout
        assert stream is not None
        with selectors.DefaultSelector() as selector:
            selector.register(stream, selectors.EVENT_READ)
            if not selector.select(RESULT_TIMEOUT_S):
                raise TimeoutError(
                    f"node of failure domain {domain} sent no result in time"
                )
        return json.loads(stream.readline())

    def kill(self, domain: str) -> None:
        """Kills a node and marks its member as dead."""
        process = self.processes[domain]
        process.kill()
        process.wait()
        self.members[domain] = dataclasses.replace(
            self.members[domain], state=members_lib.MemberState.DEAD
        )

    def reassign_voters(self, domains: set[str] | None = None) -> None:
        """Plans voters as the controller does and distributes the result.

        Args:
          domains: Failure domains to distribute to; all if not given.
        """
        settings = settings_lib.load_settings(str(self._directory / "a1.toml"))
        table = {member.node_id: member for member in self.members.values()}
        shards = ownership.plan_shards(
            self.snapshot, table, settings, time.time()
        )
        if shards:
            self.snapshot = snapshot_lib.replace_resources(
                self.snapshot, tuple(shards)
            )
        self.distribute(domains)

    def distribute(self, domains: set[str] | None = None) -> None:
        """Sends the snapshot and the member table to the running nodes.

        Args:
          domains: Failure domains to send to; all if not given.
        """
        encoded = snapshot_lib.encode_snapshot(self.snapshot).decode()
        for domain in domains or set(TOPOLOGY):
            if self.processes[domain].poll() is not None:
                continue
            table = [
                dataclasses.asdict(
                    member
                    if target == domain
                    else dataclasses.replace(
                        member,
                        control=ids.Address(self.links[domain, target].address),
                    )
                )
                for target, member in self.members.items()
            ]
            self.call(domain, "configure", snapshot=encoded, members=table)

    def wait_ready(self, domains: set[str], timeout_s: float = 20.0) -> float:
        """Waits until nodes vote on all their shards.

        Returns:
          The time waited, in seconds.

        Raises:
          TimeoutError: A node does not yet have the records of all its shards.
        """
        started = time.monotonic()
        while any(
            self.call(domain, "read_state")["unready"] for domain in domains
        ):
            if time.monotonic() - started > timeout_s:
                raise TimeoutError(
                    "nodes are not yet ready to vote on all their shards"
                )
            time.sleep(0.005)
        return time.monotonic() - started

    def find_voters(self, key: str) -> list[str]:
        """Returns the failure domains of the voters of a key."""
        shard = ownership.find_shard(self.snapshot, ids.IdempotencyKey(key))
        assert isinstance(shard, resources.Shard)
        return [voter.removeprefix("n-") for voter in shard.voters]

    def set_partitioned(self, domains: set[str], cut: bool) -> None:
        """Cuts or restores all links between some nodes and the others."""
        for (source, target), link in self.links.items():
            if (source in domains) != (target in domains):
                if cut:
                    link.cut()
                else:
                    link.heal()

    def close(self) -> None:
        """Kills all processes and closes all links."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for link in self.links.values():
            link.close()


def _allocate_host() -> str:
    # Each fleet of each process has its own loopback address, so that no other
    # process takes its ports, not even while a node restarts.
    fleet_number = next(_fleet_numbers) % 100
    pid = os.getpid()
    return f"127.{100 + fleet_number}.{pid >> 8 & 255}.{pid & 255}"
