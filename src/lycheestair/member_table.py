"""Member table: conflict resolution between records, and table digests."""

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

# At the same incarnation, the state with the higher value takes precedence.
_STATE_PRECEDENCE: Final = {
    members_lib.MemberState.ALIVE: 0,
    members_lib.MemberState.SUSPECTED: 1,
    members_lib.MemberState.DEAD: 2,
    members_lib.MemberState.LEFT: 3,
}
T = TypeVar("T")
# A node refutes a claim with the next higher incarnation, which must fit into
# the 64-bit message field. Unix time in microseconds is far below this limit.
MAX_INCARNATION: Final = 2**62

LIVE_STATES: Final = frozenset(
    {members_lib.MemberState.ALIVE, members_lib.MemberState.SUSPECTED}
)
_STATES_BY_NUMBER: Final = tuple(members_lib.MemberState)


def supersedes(claim: members_lib.Member, known: members_lib.Member) -> bool:
    """Returns whether a claim takes precedence over the known record."""
    return (claim.incarnation, _STATE_PRECEDENCE[claim.state]) > (
        known.incarnation,
        _STATE_PRECEDENCE[known.state],
    )


def encode_member(member: members_lib.Member) -> pb.MemberRecord:
    """Encodes a member as a protobuf message."""
    record = pb.MemberRecord(
        node_id=member.node_id,
        region=member.region,
        failure_domain=member.failure_domain,
        control=member.control,
        peer=member.peer,
        incarnation=member.incarnation,
        state=pb.State.Name(_STATES_BY_NUMBER.index(member.state)),
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
    """Decodes a member from a protobuf message.

    Raises:
      ValueError: The state is unknown, or the incarnation is too high to be
        refuted.
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
    """Decodes members; logs and skips invalid records."""
    for record in records:
        try:
            yield decode_member(record)
        except ValueError as error:
            logging.warning("member record ignored: %s", error)


@dataclasses.dataclass(frozen=True)
class MergeResult:
    """Result of merging claims into the table.

    Attributes:
      changed: Records that changed in the table.
      claimed_incarnation: Highest incarnation of a claim about this node that
        takes precedence over its own record, None if there was none. This node
        has to refute the claim.
    """

    changed: tuple[members_lib.Member, ...]
    claimed_incarnation: int | None


class MemberTable:
    """Records of all known nodes.

    The caller must serialize modifications. `view` can be read without a lock
    because each modification replaces the whole mapping.
    """

    def __init__(self, own: members_lib.Member, suspicion_s: float):
        self._own_id = own.node_id
        self._suspicion_s = suspicion_s
        self._suspicion_deadlines: dict[ids.NodeId, float] = {}
        self._departed_at: dict[ids.NodeId, float] = {}
        self._live_cache: tuple[
            Mapping[ids.NodeId, members_lib.Member] | None,
            list[members_lib.Member],
        ] = (None, [])
        self.digest = 0
        self.view: Mapping[ids.NodeId, members_lib.Member] = (
            types.MappingProxyType({})
        )
        self.replace((own,), 0.0)

    def read_live(self) -> list[members_lib.Member]:
        """Returns the live members except this node, cached until a change."""
        view = self.view
        cached_view, live = self._live_cache
        if cached_view is not view:
            live = select_live(view, self._own_id)
            self._live_cache = (view, live)
        return live

    def replace(
        self, records: Iterable[members_lib.Member], now: float
    ) -> None:
        """Stores records regardless of the known records."""
        table = dict(self.view)
        for record in records:
            old = table.get(record.node_id)
            self.digest ^= hash_member(old) ^ hash_member(record)
            table[record.node_id] = record
            self._update_deadlines(record, now)
        self.view = types.MappingProxyType(table)

    def merge(
        self, claims: Iterable[members_lib.Member], now: float
    ) -> MergeResult:
        """Stores the claims that take precedence over the known records.

        A claim is a record received from a peer.

        A claim that a live member is dead marks it as suspected only, which
        gives the member time to refute it: after a partition, both sides hold
        such claims about nodes that are serving.
        """
        changed: dict[ids.NodeId, members_lib.Member] = {}
        claimed_incarnation: int | None = None
        own = self.view[self._own_id]
        for claim in claims:
            if claim.node_id == self._own_id:
                if supersedes(claim, own):
                    claimed_incarnation = max(
                        claimed_incarnation or 0, claim.incarnation
                    )
                continue
            known = changed.get(claim.node_id) or self.view.get(claim.node_id)
            effective = _downgrade_dead_claim(claim, known)
            if known is not None and not supersedes(effective, known):
                continue
            changed[claim.node_id] = effective
        if changed:
            self.replace(changed.values(), now)
        return MergeResult(tuple(changed.values()), claimed_incarnation)

    def expire(self, now: float, retention_s: float) -> bool:
        """Declares timed-out suspects dead and removes long departed members.

        A member has departed if it is dead or has left. It is removed after
        `retention_s`.

        Returns:
          Whether the view changed.
        """
        dead = [
            dataclasses.replace(
                self.view[node_id], state=members_lib.MemberState.DEAD
            )
            for node_id, deadline in self._suspicion_deadlines.items()
            if deadline <= now
        ]
        if dead:
            self.replace(dead, now)
        expired_ids = {
            node_id
            for node_id, departed_at in self._departed_at.items()
            if now - departed_at > retention_s
        }
        if expired_ids:
            for node_id in expired_ids:
                del self._departed_at[node_id]
            self.view = types.MappingProxyType(
                {k: v for k, v in self.view.items() if k not in expired_ids}
            )
        return bool(dead or expired_ids)

    def compute_bucket_digests(self, count: int) -> list[int]:
        """Returns the digest of the live members of each of `count` buckets."""
        buckets = [0] * count
        for member in self.view.values():
            buckets[find_bucket(member, count)] ^= hash_member(member)
        return buckets

    def list_bucket_members(
        self, buckets: Iterable[int], count: int
    ) -> list[list[members_lib.Member]]:
        """Returns the records of the given buckets, including dead members."""
        wanted = set(buckets)
        groups: dict[int, list[members_lib.Member]] = {b: [] for b in wanted}
        for member in self.view.values():
            bucket = find_bucket(member, count)
            if bucket in wanted:
                groups[bucket].append(member)
        return [groups[bucket] for bucket in sorted(wanted)]

    def _update_deadlines(self, record: members_lib.Member, now: float) -> None:
        node_id = record.node_id
        if record.state is members_lib.MemberState.SUSPECTED:
            self._suspicion_deadlines.setdefault(
                node_id, now + self._suspicion_s
            )
        else:
            self._suspicion_deadlines.pop(node_id, None)
        if record.state in LIVE_STATES:
            self._departed_at.pop(node_id, None)
        else:
            self._departed_at.setdefault(node_id, now)


def find_bucket(member: members_lib.Member, count: int) -> int:
    """Returns the index of the bucket of a member, out of `count`."""
    return fanout.hash_node_id(member.node_id) % count


def hash_member(member: members_lib.Member | None) -> int:
    """Returns the contribution of a member to a digest; 0 if it is not live.

    Alive and suspected members hash alike, because a suspicion resolves
    without synchronization.
    """
    if member is None or member.state not in LIVE_STATES:
        return 0
    return xxhash.xxh64_intdigest(
        f"{member.node_id}\n{member.incarnation}".encode()
    )


def choose_bucket_count(members: int) -> int:
    """Returns the number of buckets for a table with that many members."""
    return max(1, min(256, members // 8))


def _downgrade_dead_claim(
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
    """Returns the alive and suspected members other than `own_id`."""
    return [
        member
        for member in view.values()
        if member.state in LIVE_STATES and member.node_id != own_id
    ]


def select_dead(
    view: Mapping[ids.NodeId, members_lib.Member],
) -> list[members_lib.Member]:
    """Returns the members declared dead, without those that left."""
    return [
        member
        for member in view.values()
        if member.state is members_lib.MemberState.DEAD
    ]


def limit_groups(
    groups: Iterable[list[members_lib.Member]], limit: int
) -> tuple[list[list[members_lib.Member]], bool]:
    """Returns leading groups with at most `limit` records in total.

    The first group is always returned, even if it exceeds the limit.

    Returns:
      The groups, and whether any were left out.
    """
    all_groups = list(groups)
    totals = list(itertools.accumulate(len(group) for group in all_groups))
    kept = max(1, sum(total <= limit for total in totals))
    return all_groups[:kept], kept < len(all_groups)


def split_batches(items: Sequence[T], limit: int) -> list[Sequence[T]]:
    """Splits the items into batches of at most `limit`."""
    return [items[i : i + limit] for i in range(0, len(items), limit)]


def make_own_record(settings: settings_lib.Settings) -> members_lib.Member:
    """Returns the initial record of this node."""
    return members_lib.Member(
        settings.node.node_id,
        ids.Region(settings.node.region),
        ids.FailureDomain(settings.node.failure_domain),
        settings.control_address,
        settings.peer_address,
        compute_initial_incarnation(),
    )


def compute_initial_incarnation() -> int:
    """Returns the initial incarnation of a process: Unix time in microseconds.

    The incarnation of a running process rises only by one per change, so a
    process that starts later at the same address has a higher one.
    """
    return time.time_ns() // 1_000
