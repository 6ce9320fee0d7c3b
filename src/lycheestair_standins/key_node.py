"""Process that runs only the key voter and the claimant of a node.

Reads commands from standard input and writes their results to standard output,
both in JSON Lines format, so that tests and benchmarks can run voters in real
processes.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import resource
import sys
import time
from typing import Any
from typing import Final

import orjson
import pydantic

from lycheestair import claims
from lycheestair import configuration as configuration_lib
from lycheestair import control
from lycheestair import ids
from lycheestair import joining
from lycheestair import keys
from lycheestair import member_table
from lycheestair import members as members_lib
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair import voting

_MEMBER_ADAPTER: Final = pydantic.TypeAdapter(members_lib.Member)


class StaticMembership:
    """Membership whose members are set by a command."""

    def __init__(self, settings: settings_lib.Settings):
        self._self_member = members_lib.Member(
            settings.node.node_id,
            ids.Region(settings.node.region),
            ids.FailureDomain(settings.node.failure_domain),
            ids.Address(settings.listeners.control),
            ids.Address(settings.listeners.peer),
            member_table.compute_initial_incarnation(),
        )
        self._members: dict[ids.NodeId, members_lib.Member] = {}

    def set_members(self, records: list[Any]) -> None:
        """Replaces all members."""
        members = [_MEMBER_ADAPTER.validate_python(item) for item in records]
        self._members = {member.node_id: member for member in members}

    def read_self(self) -> members_lib.Member:
        """Implements Membership.read_self."""
        return self._self_member

    def read_members(self) -> Mapping[ids.NodeId, members_lib.Member]:
        """Implements Membership.read_members."""
        return self._members

    def announce_endpoint(self, endpoint: members_lib.Endpoint | None) -> None:
        """Implements Membership.announce_endpoint."""

    def leave(self) -> None:
        """Implements Membership.leave."""


class KeyNode:
    """Voter, joiner and claimant that are controlled by commands."""

    def __init__(self, settings: settings_lib.Settings):
        self._configuration = configuration_lib.ActiveConfiguration()
        self._membership = StaticMembership(settings)
        channels = control.PeerChannels(settings)
        self._voter = keys.KeyVoter(
            settings, self._configuration, self._membership
        )
        self._server = control.ControlServer(settings)
        self._voter.register(self._server)
        self._server.start()
        self._joiner = joining.ShardJoiner(
            settings,
            self._configuration,
            self._membership,
            channels,
            self._voter,
        )
        self._joiner.start()
        self._claims = voting.QuorumClaims(
            settings,
            self._configuration,
            self._membership,
            channels,
            self._voter,
        )
        self._grants: dict[str, claims.Grant] = {}

    def describe(self) -> dict[str, Any]:
        """Returns the member record of this node."""
        return dataclasses.asdict(self._membership.read_self())

    def configure(self, snapshot: str, members: list[Any]) -> dict[str, Any]:
        """Sets the members and activates a snapshot."""
        self._membership.set_members(members)
        decoded = snapshot_lib.decode_snapshot(snapshot.encode())
        return {"activated": self._configuration.activate(decoded)}

    def claim(
        self, key: str, fingerprint: str = "f", timeout_s: float = 2.0
    ) -> dict[str, Any]:
        """Claims a key and returns the outcome and the time taken."""
        started = time.perf_counter()
        outcome = self._claims.claim(
            ids.IdempotencyKey(key), fingerprint, timeout_s
        )
        result: dict[str, Any] = {"s": time.perf_counter() - started}
        if isinstance(outcome, claims.Grant):
            self._grants[key] = outcome
            return result | {"outcome": "grant", "shard": outcome.shard}
        if isinstance(outcome, claims.Replay):
            return result | {
                "outcome": "replay",
                "body": outcome.answer.body.decode(),
            }
        return result | {"outcome": outcome.kind.value, "why": outcome.detail}

    def claim_many(
        self, prefix: str, count: int, body: str = ""
    ) -> dict[str, Any]:
        """Claims keys one after the other and completes the granted ones."""
        results = []
        for index in range(count):
            key = f"{prefix}{index}"
            results.append(self.claim(key, timeout_s=10.0))
            if results[-1]["outcome"] == "grant":
                self.complete(key, body)
        return {"claims": results}

    def complete(self, key: str, body: str | None) -> dict[str, Any]:
        """Records the response for a granted key; no body means it was lost."""
        answer = None
        if body is not None:
            answer = claims.RecordedResponse(200, (), body.encode())
        self._claims.complete(self._grants[key], answer)
        return {"flushed": self._claims.flush(5.0)}

    def release(self, key: str) -> dict[str, Any]:
        """Releases a granted key whose request was not run."""
        self._claims.release(self._grants[key])
        return {"flushed": self._claims.flush(5.0)}

    def is_valid(self, key: str) -> dict[str, Any]:
        """Returns whether the request of a granted key may be sent."""
        return {"valid": self._grants[key].valid}

    def read_state(self) -> dict[str, Any]:
        """Returns shard and record counts and the process's resource usage."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "unready": len(self._voter.list_unready_shards()),
            "records": self._voter.record_count,
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "rss_bytes": usage.ru_maxrss * 1024,
        }


def main() -> None:
    """Runs commands until standard input ends."""
    node = KeyNode(settings_lib.load_settings(sys.argv[1]))
    commands: dict[str, Callable[..., dict[str, Any]]] = {
        name: getattr(node, name)
        for name in (
            "describe",
            "configure",
            "claim",
            "claim_many",
            "complete",
            "release",
            "is_valid",
            "read_state",
        )
    }
    for line in sys.stdin.buffer:
        name, arguments = orjson.loads(line)
        result = commands[name](**arguments)
        sys.stdout.buffer.write(orjson.dumps(result) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
