"""Consistency check of store, nodes and endpoints. It repairs nothing.

It works on plain data and calls none of the code that it checks, so that a
defect in that code can't hide its own effect.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import itertools
from typing import Final

from lycheestair import acceptance
from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import resources
from lycheestair import snapshot as snapshot_lib

Members = Mapping[ids.NodeId, members_lib.Member]

# Time between the two checks: enough for all nodes to activate a generation and
# for a failed member to be detected, so that ordinary delays are not reported.
CONFIRM_DELAY_S: Final = 10.0
MOVE_GRACE_S: Final = 60.0
MAX_CLOCK_SKEW_S: Final = 60.0
MAX_PER_KIND: Final = 20
VOTERS_PER_SHARD: Final = 3


class Kind(enum.Enum):
    """Kinds of inconsistencies."""

    TAIL_BROKEN = "tail_broken"
    DIGEST_DIFFERS = "digest_differs"
    NODE_AHEAD = "node_ahead"
    NODE_BEHIND = "node_behind"
    VERSION_WITHOUT_ENDPOINT = "version_without_endpoint"
    ENDPOINT_UNKNOWN = "endpoint_unknown"
    ENDPOINT_FROM_FUTURE = "endpoint_from_future"
    MOVE_OVERDUE = "move_overdue"
    VOTER_LOST = "voter_lost"
    VOTERS_SHARE_DOMAIN = "voters_share_domain"


@dataclasses.dataclass(frozen=True)
class Inconsistency:
    """An inconsistency of one resource or node.

    Attributes:
      subject: Key of the resource or id of the node.
      detail: Description of the conflicting states.
      expected: Generation of the store, for NODE_AHEAD and NODE_BEHIND.
      found: Generation of the node, for NODE_AHEAD and NODE_BEHIND.
    """

    kind: Kind
    subject: str
    detail: str
    expected: int = 0
    found: int = 0


@dataclasses.dataclass(frozen=True)
class Reading:
    """State of store, nodes and endpoints at one time.

    Attributes:
      head: Head of the store, None while the store is unavailable.
      members: Nodes with their active generation and endpoint.
      snapshot: Active snapshot of the own node.
    """

    head: acceptance.Head | None
    members: Members
    snapshot: snapshot_lib.Snapshot


def find_inconsistencies(
    head: acceptance.Head | None,
    members: Members,
    snapshot: snapshot_lib.Snapshot,
    now: float,
) -> list[Inconsistency]:
    """Compares the state of store, nodes and endpoints at one time.

    Args:
      head: Head of the store, None if the store is unavailable.
      members: Nodes with their active generation and endpoint.
      snapshot: Active snapshot of the own node.
      now: Unix time in seconds.

    Returns:
      Inconsistencies at this time, including ordinary delays, which `confirm`
      removes.
    """
    alive = [
        member
        for _, member in sorted(members.items())
        if member.state is members_lib.MemberState.ALIVE
    ]
    return [
        *(_check_head(head, alive, snapshot) if head else ()),
        *_check_endpoints(alive, snapshot, now),
        *_check_moves(snapshot, now),
        *_check_shards(members, alive, snapshot),
    ]


def confirm(
    first: Iterable[Inconsistency], second: Iterable[Inconsistency]
) -> list[Inconsistency]:
    """Returns what both checks found, at most MAX_PER_KIND of each kind.

    A node that is behind in both checks counts only if it still lacks the
    generation that the store had at the first check. Otherwise it follows a
    head that keeps advancing.
    """
    first_by_subject = {(item.kind, item.subject): item for item in first}
    both = sorted(
        (
            item
            for item in second
            if (earlier := first_by_subject.get((item.kind, item.subject)))
            and (
                item.kind is not Kind.NODE_BEHIND
                or item.found < earlier.expected
            )
        ),
        key=lambda item: (item.kind.value, item.subject),
    )
    groups = itertools.groupby(both, key=lambda item: item.kind)
    return [
        item
        for _, group in groups
        for item in itertools.islice(group, MAX_PER_KIND)
    ]


def audit(
    read: Callable[[], Reading],
    wait: Callable[[float], object],
    clock: Callable[[], float],
) -> list[Inconsistency]:
    """Checks the state and confirms inconsistencies by a second check.

    Args:
      read: Reads the current state.
      wait: Waits for a number of seconds.
      clock: Returns the Unix time in seconds.

    Returns:
      Inconsistencies that both checks found.
    """

    def check() -> list[Inconsistency]:
        reading = read()
        return find_inconsistencies(
            reading.head, reading.members, reading.snapshot, clock()
        )

    first = check()
    if not first:
        return []
    wait(CONFIRM_DELAY_S)
    return confirm(first, check())


def _check_head(
    head: acceptance.Head,
    alive: list[members_lib.Member],
    snapshot: snapshot_lib.Snapshot,
) -> Iterator[Inconsistency]:
    digests = {int(head.generation): head.digest}
    expected = head.base_generation
    for delta in head.tail:
        if delta.from_generation != expected:
            yield Inconsistency(
                Kind.TAIL_BROKEN,
                "configuration/head",
                f"delta from {delta.from_generation} follows {expected}",
            )
        expected = delta.to_generation
        digests.setdefault(int(expected), delta.digest)
    if expected != head.generation or (
        head.tail and head.tail[-1].digest != head.digest
    ):
        yield Inconsistency(
            Kind.TAIL_BROKEN,
            "configuration/head",
            f"last delta leads to {expected}, head is at {head.generation}",
        )
    store_digest = digests.get(int(snapshot.generation))
    if store_digest is not None and store_digest != snapshot.digest:
        yield Inconsistency(
            Kind.DIGEST_DIFFERS,
            f"generation/{snapshot.generation}",
            f"store has {store_digest}, node has {snapshot.digest}",
        )
    for member in alive:
        if member.generation == head.generation:
            continue
        ahead = member.generation > head.generation
        yield Inconsistency(
            Kind.NODE_AHEAD if ahead else Kind.NODE_BEHIND,
            str(member.node_id),
            f"active generation {member.generation}, store is at"
            f" {head.generation}",
            int(head.generation),
            int(member.generation),
        )


def _check_endpoints(
    alive: list[members_lib.Member],
    snapshot: snapshot_lib.Snapshot,
    now: float,
) -> Iterator[Inconsistency]:
    declared = {
        (service.name, version.name)
        for service in snapshot.select(resources.Service)
        for version in service.versions
    }
    serving = set()
    for member in alive:
        endpoint = member.endpoint
        if endpoint is None:
            continue
        service_version = (endpoint.service, endpoint.version)
        if endpoint.state is members_lib.EndpointState.SERVING:
            serving.add(service_version)
        if service_version not in declared:
            yield Inconsistency(
                Kind.ENDPOINT_UNKNOWN,
                str(member.node_id),
                f"announces {'/'.join(service_version)}, which no note"
                " declares",
            )
        if endpoint.started_at > now + MAX_CLOCK_SKEW_S:
            yield Inconsistency(
                Kind.ENDPOINT_FROM_FUTURE,
                str(member.node_id),
                f"start time {endpoint.started_at - now:.0f} s in the future",
            )
    for service, name in sorted(_list_versions_in_use(snapshot) - serving):
        yield Inconsistency(
            Kind.VERSION_WITHOUT_ENDPOINT,
            f"{service}/{name}",
            "has a share of traffic and no serving endpoint",
        )


def _list_versions_in_use(
    snapshot: snapshot_lib.Snapshot,
) -> set[tuple[ids.ServiceName, ids.VersionName]]:
    service_shares: list[
        tuple[ids.ServiceName, tuple[resources.Share, ...]]
    ] = [
        (service.name, service.shares)
        for service in snapshot.select(resources.Service)
    ]
    service_shares.extend(
        (route.service, route.shares)
        for route in snapshot.select(resources.Route)
    )
    used = {
        (service, share.version)
        for service, shares in service_shares
        for share in shares
        if share.bps > 0
    }
    return used | {
        (move.service, move.to_version)
        for move in snapshot.select(resources.Move)
        if move.state in resources.RUNNING_MOVE_STATES and move.share_bps > 0
    }


def _check_moves(
    snapshot: snapshot_lib.Snapshot, now: float
) -> Iterator[Inconsistency]:
    for move in snapshot.select(resources.Move):
        late_s = now - move.deadline
        if (
            move.state
            in (resources.MoveState.PENDING, resources.MoveState.MOVING)
            and late_s > MOVE_GRACE_S
        ):
            yield Inconsistency(
                Kind.MOVE_OVERDUE,
                move.key,
                f"{move.state.value} {late_s:.0f} s after its deadline",
            )


def _check_shards(
    members: Members,
    alive: list[members_lib.Member],
    snapshot: snapshot_lib.Snapshot,
) -> Iterator[Inconsistency]:
    domain_count = len({member.failure_domain for member in alive})
    for shard in snapshot.select(resources.Shard):
        voter_members = [members.get(voter) for voter in shard.voters]
        lost = [
            voter
            for voter, member in zip(shard.voters, voter_members, strict=True)
            if member is None
            or member.state
            in (members_lib.MemberState.DEAD, members_lib.MemberState.LEFT)
        ]
        if lost:
            yield Inconsistency(
                Kind.VOTER_LOST, shard.key, f"lost voters: {', '.join(lost)}"
            )
        voter_domains = [
            member.failure_domain for member in voter_members if member
        ]
        if len(set(voter_domains)) < min(
            len(voter_domains), domain_count, VOTERS_PER_SHARD
        ):
            yield Inconsistency(
                Kind.VOTERS_SHARE_DOMAIN,
                shard.key,
                f"voters in {', '.join(sorted(voter_domains))}",
            )
