"""Process with the key voter and the claimant of a node, and nothing else.

Reads commands as JSON lines, writes one JSON line for each of them, so that
tests and measuring tools can run voters in real processes.
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

_MEMBER: Final = pydantic.TypeAdapter(members_lib.Member)


class FixedMembership:
    """Member table set by command."""

    def __init__(self, settings: settings_lib.Settings):
        self._own = members_lib.Member(
            settings.node.node_id,
            ids.Region(settings.node.region),
            ids.FailureDomain(settings.node.failure_domain),
            ids.Address(settings.listeners.control),
            ids.Address(settings.listeners.peer),
            member_table.read_incarnation(),
        )
        self._table: dict[ids.NodeId, members_lib.Member] = {}

    def replace(self, table: list[Any]) -> None:
        """Sets the members."""
        found = [_MEMBER.validate_python(item) for item in table]
        self._table = {member.node_id: member for member in found}

    def read_self(self) -> members_lib.Member:
        """Implements Membership.read_self."""
        return self._own

    def read_members(self) -> Mapping[ids.NodeId, members_lib.Member]:
        """Implements Membership.read_members."""
        return self._table

    def announce_endpoint(self, endpoint: members_lib.Endpoint | None) -> None:
        """Implements Membership.announce_endpoint."""

    def leave(self) -> None:
        """Implements Membership.leave."""


class KeyNode:
    """Voter, joiner and claimant, driven by commands."""

    def __init__(self, settings: settings_lib.Settings):
        self._configuration = configuration_lib.ActiveConfiguration()
        self._membership = FixedMembership(settings)
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
        self._claims = voting.VotingClaims(
            settings,
            self._configuration,
            self._membership,
            channels,
            self._voter,
        )
        self._grants: dict[str, claims.Grant] = {}

    def describe(self) -> dict[str, Any]:
        """Returns the member record."""
        return dataclasses.asdict(self._membership.read_self())

    def configure(self, snapshot: str, members: list[Any]) -> dict[str, Any]:
        """Sets snapshot and members."""
        self._membership.replace(members)
        decoded = snapshot_lib.decode_snapshot(snapshot.encode())
        return {"activated": self._configuration.activate(decoded)}

    def claim(
        self, key: str, fingerprint: str = "f", timeout_s: float = 2.0
    ) -> dict[str, Any]:
        """Claims a key."""
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
        """Claims keys one after the other and completes them."""
        results = []
        for index in range(count):
            key = f"{prefix}{index}"
            results.append(self.claim(key, timeout_s=10.0))
            if results[-1]["outcome"] == "grant":
                self.complete(key, body)
        return {"claims": results}

    def complete(self, key: str, body: str | None) -> dict[str, Any]:
        """Records the outcome of a granted key."""
        answer = None
        if body is not None:
            answer = claims.RecordedAnswer(200, (), body.encode())
        self._claims.complete(self._grants[key], answer)
        return {"flushed": self._claims.flush(5.0)}

    def release(self, key: str) -> dict[str, Any]:
        """Gives a granted key back."""
        self._claims.release(self._grants[key])
        return {"flushed": self._claims.flush(5.0)}

    def is_valid(self, key: str) -> dict[str, Any]:
        """Returns whether the request of a granted key may be sent."""
        return {"valid": self._grants[key].valid}

    def read_state(self) -> dict[str, Any]:
        """Returns counts and the use of the machine."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "unready": len(self._voter.list_unready()),
            "records": self._voter.record_count,
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "rss_bytes": usage.ru_maxrss * 1024,
        }


def main() -> None:
    """Runs commands until the input ends."""
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
