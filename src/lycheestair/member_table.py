"""Table of members: which claim about a node wins, and digests of it."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import time
import types
from typing import Final
from typing import TypeVar

from absl import logging
import xxhash

from lycheestair import fanout
from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import membership_pb2 as pb
from lycheestair import settings as settings_lib

# At the same incarnation the later state wins.
_RANK: Final = {
    members_lib.MemberState.ALIVE: 0,
    members_lib.MemberState.SUSPECTED: 1,
    members_lib.MemberState.DEAD: 2,
    members_lib.MemberState.LEFT: 3,
}
T = TypeVar("T")
# A node refutes a claim with the next higher incarnation, which has to fit
# the 64 bits of the message. Microseconds since 1970 stay far below.
MAX_INCARNATION: Final = 2**62

LIVE_STATES: Final = frozenset(
    {members_lib.MemberState.ALIVE, members_lib.MemberState.SUSPECTED}
)
_STATES: Final = tuple(members_lib.MemberState)


def supersedes(claim: members_lib.Member, known: members_lib.Member) -> bool:
    """Whether a claim about a node is newer than the known record."""
    return (claim.incarnation, _RANK[claim.state]) > (
        known.incarnation,
        _RANK[known.state],
    )


def encode_member(member: members_lib.Member) -> pb.MemberRecord:
    """Encodes a member for the wire."""
    record = pb.MemberRecord(
        node_id=member.node_id,
        region=member.region,
        failure_domain=member.failure_domain,
        control=member.control,
        peer=member.peer,
        incarnation=member.incarnation,
        state=pb.State.Name(_STATES.index(member.state)),
        generation=member.generation,
    )
    endpoint = member.endpoint
    if endpoint is not None:
        record.endpoint.CopyFrom(
            pb.EndpointRecord(
                service=endpoint.service,
                version=endpoint.version,
                slots=endpoint.slots,
                state=endpoint.state.value,
                started_at=endpoint.started_at,
            )
        )
    return record


def decode_member(record: pb.MemberRecord) -> members_lib.Member:
    """Decodes a member.

    Raises:
      ValueError: The record has a state that is not known, or an incarnation
        that can't be refuted.
    """
    if record.incarnation > MAX_INCARNATION:
        raise ValueError(f"incarnation {record.incarnation} is out of range")
    endpoint = None
    if record.HasField("endpoint"):
        endpoint = members_lib.Endpoint(
            ids.ServiceName(record.endpoint.service),
            ids.VersionName(record.endpoint.version),
            record.endpoint.slots,
            members_lib.EndpointState(record.endpoint.state),
            record.endpoint.started_at,
        )
    return members_lib.Member(
        ids.NodeId(record.node_id),
        ids.Region(record.region),
        ids.FailureDomain(record.failure_domain),
        ids.Address(record.control),
        ids.Address(record.peer),
        record.incarnation,
        members_lib.MemberState(pb.State.Name(record.state).lower()),
        ids.Generation(record.generation),
        endpoint,
    )


def decode_members(
    records: Iterable[pb.MemberRecord],
) -> Iterator[members_lib.Member]:
    """Decodes members and leaves out those of an unknown state."""
    for record in records:
        try:
            yield decode_member(record)
        except ValueError as error:
            logging.warning("member record ignored: %s", error)


@dataclasses.dataclass(frozen=True)
class Merged:
    """Outcome of merging claims.

    Attributes:
      changed: Records that changed in the table.
      accused: Highest incarnation at which the own node was claimed not to
        be alive, None when it was not.
    """

    changed: tuple[members_lib.Member, ...]
    accused: int | None


class MemberTable:
    """Records of all known nodes. The caller serializes the changes.

    `view` may be read without a lock: it is replaced as a whole.
    """

    def __init__(self, own: members_lib.Member, suspicion_s: float):
        self._own_id = own.node_id
        self._suspicion_s = suspicion_s
        self._deadlines: dict[ids.NodeId, float] = {}
        self._gone_at: dict[ids.NodeId, float] = {}
        self._live: tuple[
            Mapping[ids.NodeId, members_lib.Member] | None,
            list[members_lib.Member],
        ] = (None, [])
        self.digest = 0
        self.view: Mapping[ids.NodeId, members_lib.Member] = (
            types.MappingProxyType({})
        )
        self.replace((own,), 0.0)

    def read_live(self) -> list[members_lib.Member]:
        """Returns the other live members; scans the table once per change."""
        view = self.view
        seen, live = self._live
        if seen is not view:
            live = select_live(view, self._own_id)
            self._live = (view, live)
        return live

    def replace(
        self, records: Iterable[members_lib.Member], now: float
    ) -> None:
        """Stores records whatever was known before."""
        table = dict(self.view)
        for record in records:
            old = table.get(record.node_id)
            self.digest ^= hash_member(old) ^ hash_member(record)
            table[record.node_id] = record
            self._track(record, now)
        self.view = types.MappingProxyType(table)

    def merge(self, claims: Iterable[members_lib.Member], now: float) -> Merged:
        """Takes over the claims that are newer than the known records.

        A claim that a live member is dead only starts its suspicion, so that
        the member can refute it: after a partition both sides hold such
        claims about nodes that serve.
        """
        changed: dict[ids.NodeId, members_lib.Member] = {}
        accused: int | None = None
        own = self.view[self._own_id]
        for claim in claims:
            if claim.node_id == self._own_id:
                if supersedes(claim, own):
                    accused = max(accused or 0, claim.incarnation)
                continue
            known = changed.get(claim.node_id) or self.view.get(claim.node_id)
            softened = _soften(claim, known)
            if known is not None and not supersedes(softened, known):
                continue
            changed[claim.node_id] = softened
        if changed:
            self.replace(changed.values(), now)
        return Merged(tuple(changed.values()), accused)

    def expire(self, now: float, retention_s: float) -> bool:
        """Declares overdue suspects dead, forgets those long gone.

        Returns:
          Whether the view changed.
        """
        dead = [
            dataclasses.replace(
                self.view[node_id], state=members_lib.MemberState.DEAD
            )
            for node_id, deadline in self._deadlines.items()
            if deadline <= now
        ]
        if dead:
            self.replace(dead, now)
        forgotten = {
            node_id
            for node_id, gone_at in self._gone_at.items()
            if now - gone_at > retention_s
        }
        if forgotten:
            for node_id in forgotten:
                del self._gone_at[node_id]
            self.view = types.MappingProxyType(
                {k: v for k, v in self.view.items() if k not in forgotten}
            )
        return bool(dead or forgotten)

    def read_buckets(self, count: int) -> list[int]:
        """Returns a digest for each of `count` buckets of live members."""
        buckets = [0] * count
        for member in self.view.values():
            buckets[find_bucket(member, count)] ^= hash_member(member)
        return buckets

    def select_buckets(
        self, buckets: Iterable[int], count: int
    ) -> list[list[members_lib.Member]]:
        """Returns the records of some buckets, the dead ones included."""
        wanted = set(buckets)
        groups: dict[int, list[members_lib.Member]] = {b: [] for b in wanted}
        for member in self.view.values():
            bucket = find_bucket(member, count)
            if bucket in wanted:
                groups[bucket].append(member)
        return [groups[bucket] for bucket in sorted(wanted)]

    def _track(self, record: members_lib.Member, now: float) -> None:
        node_id = record.node_id
        if record.state is members_lib.MemberState.SUSPECTED:
            self._deadlines.setdefault(node_id, now + self._suspicion_s)
        else:
            self._deadlines.pop(node_id, None)
        if record.state in LIVE_STATES:
            self._gone_at.pop(node_id, None)
        else:
            self._gone_at.setdefault(node_id, now)


def find_bucket(member: members_lib.Member, count: int) -> int:
    """Returns the bucket of a member among `count`."""
    return fanout.locate(member.node_id) % count


def hash_member(member: members_lib.Member | None) -> int:
    """Returns the part of a member in a digest; 0 when it is not live.

    Suspicions end by themselves, so they make no difference.
    """
    if member is None or member.state not in LIVE_STATES:
        return 0
    return xxhash.xxh64_intdigest(
        f"{member.node_id}\n{member.incarnation}".encode()
    )


def choose_bucket_count(members: int) -> int:
    """Returns the number of buckets for a table of some size."""
    return max(1, min(256, members // 8))


def _soften(
    claim: members_lib.Member, known: members_lib.Member | None
) -> members_lib.Member:
    if (
        claim.state is members_lib.MemberState.DEAD
        and known is not None
        and known.state in LIVE_STATES
    ):
        return dataclasses.replace(
            claim, state=members_lib.MemberState.SUSPECTED
        )
    return claim


def select_live(
    view: Mapping[ids.NodeId, members_lib.Member], own_id: ids.NodeId
) -> list[members_lib.Member]:
    """Returns the members that are not dead and have not left."""
    return [
        member
        for member in view.values()
        if member.state in LIVE_STATES and member.node_id != own_id
    ]


def select_dead(
    view: Mapping[ids.NodeId, members_lib.Member],
) -> list[members_lib.Member]:
    """Returns the members declared dead; those that left are not among."""
    return [
        member
        for member in view.values()
        if member.state is members_lib.MemberState.DEAD
    ]


def limit_groups(
    groups: Iterable[list[members_lib.Member]], limit: int
) -> tuple[list[list[members_lib.Member]], bool]:
    """Returns the first groups with at most `limit` records, but one at least.

    Returns:
      The groups, and whether some were left out.
    """
    all_groups = list(groups)
    totals = list(itertools.accumulate(len(group) for group in all_groups))
    kept = max(1, sum(total <= limit for total in totals))
    return all_groups[:kept], kept < len(all_groups)


def split_batches(items: Sequence[T], limit: int) -> list[Sequence[T]]:
    """Returns the items in batches of at most `limit`."""
    return [items[i : i + limit] for i in range(0, len(items), limit)]


def describe_self(settings: settings_lib.Settings) -> members_lib.Member:
    """Returns the first record of the own node."""
    return members_lib.Member(
        settings.node.node_id,
        ids.Region(settings.node.region),
        ids.FailureDomain(settings.node.failure_domain),
        settings.control_address,
        settings.peer_address,
        read_incarnation(),
    )


def read_incarnation() -> int:
    """Returns the first incarnation of a process, Unix time in microseconds.

    A process started later has a higher incarnation than any earlier one at
    the same address, which rises by one with each change.
    """
    return time.time_ns() // 1_000
