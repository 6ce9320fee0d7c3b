"""Assignment of idempotency keys to shards and of shards to voters."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Final

import xxhash

from lycheestair import claims
from lycheestair import ids
from lycheestair import keys
from lycheestair import members as members_lib
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib

VOTERS_PER_SHARD: Final = 3
# The first assignment changes all shards at once, and its delta must fit in the
# store object configuration/head.
MAX_SHARDS: Final = 2_048
# Limits the size of the delta of a generation: configuration/head may hold
# several deltas and is limited to one megabyte.
MAX_SHARD_CHANGES_PER_GENERATION: Final = 64
# Smallest difference between the initial incarnations of two processes of a
# node. The initial incarnation is the Unix time in microseconds, and processes
# of a node start further apart than this. Each change of a running member
# increases its incarnation by one; a voter that changes this many times is
# replaced although it has not restarted, which costs an epoch but loses no
# records.
MIN_RESTART_INCARNATION_GAP: Final = 1_000

Members = Mapping[ids.NodeId, members_lib.Member]


def hash_key(key: str) -> bytes:
    """Returns the 16-byte hash of a key or fingerprint, as used by voters."""
    return xxhash.xxh3_128_digest(key.encode())


def find_shard(
    snapshot: snapshot_lib.Snapshot, key: ids.IdempotencyKey
) -> resources.Shard | None:
    """Returns the shard of a key, or None if no shards are assigned yet."""
    count = _count_shards(snapshot)
    if not count:
        return None
    index = int.from_bytes(hash_key(key)) % count
    shard = snapshot.resources[f"shard/{index}"]
    assert isinstance(shard, resources.Shard)
    return shard


def compute_quorum(shard: resources.Shard) -> int:
    """Returns the number of grants that a claim needs."""
    return len(shard.voters) // 2 + 1


def has_majority_connectivity(
    members: Members, settings: settings_lib.Settings
) -> bool:
    """Returns whether most failure domains have a live member."""
    reachable = set()
    for member in members.values():
        if (
            member.state is members_lib.MemberState.ALIVE
            and member.failure_domain in settings.topology
        ):
            reachable.add(member.failure_domain)
            # Usually true after a few of many thousands of members.
            if 2 * len(reachable) > len(settings.topology):
                return True
    return False


class ShardPlanner:
    """Plans voter changes and tracks unreachable failure domains between plans.

    If two voters of a shard are in unreachable failure domains, they may still
    be running behind a network partition. Closing their shard would cost more
    than waiting for a short partition to heal, so it is delayed.
    """

    def __init__(self) -> None:
        self._last_reachable_at: dict[str, float] = {}

    def plan(
        self,
        snapshot: snapshot_lib.Snapshot,
        members: Members,
        settings: settings_lib.Settings,
        now: float,
        clock: Callable[[], float] = claims.read_clock,
    ) -> list[resources.Shard]:
        """Returns the shards whose voters must change; see plan_shards."""
        monotonic_now = clock()
        reachable = _find_live_domains(members)
        for domain in settings.topology:
            if domain in reachable or domain not in self._last_reachable_at:
                self._last_reachable_at[domain] = monotonic_now
        awaited_domains = frozenset(
            domain
            for domain, reachable_at in self._last_reachable_at.items()
            if domain not in reachable
            and monotonic_now - reachable_at < settings.requests.key_isolation_s
        )
        return plan_shards(snapshot, members, settings, now, awaited_domains)


def plan_shards(
    snapshot: snapshot_lib.Snapshot,
    members: Members,
    settings: settings_lib.Settings,
    now: float,
    awaited_domains: frozenset[str] = frozenset(),
) -> list[resources.Shard]:
    """Returns the shards whose voters must change.

    Args:
      snapshot: Latest configuration, which the returned shards will update.
      members: Nodes known to the controller.
      settings: Settings with the deployment's failure domains.
      now: Unix time in seconds.
      awaited_domains: Failure domains that may become reachable again; a
        shard with a lost voter in one of them is not closed.
    """
    planner = _AssignmentPlanner(
        snapshot, members, settings, now, awaited_domains
    )
    if not _count_shards(snapshot):
        return list(planner.assign_all())
    return list(planner.replace_lost_voters())[
        :MAX_SHARD_CHANGES_PER_GENERATION
    ]


def _find_live_domains(members: Members) -> frozenset[str]:
    return frozenset(
        member.failure_domain
        for member in members.values()
        if member.state is members_lib.MemberState.ALIVE
    )


def _count_shards(snapshot: snapshot_lib.Snapshot) -> int:
    # Binary search: indices have no gaps, and counting all resources for each
    # request would be slow.
    low, high = 0, MAX_SHARDS
    while low < high:
        middle = (low + high + 1) // 2
        if f"shard/{middle - 1}" in snapshot.resources:
            low = middle
        else:
            high = middle - 1
    return low


class _AssignmentPlanner:
    """Plans voters for one snapshot and one state of the member table."""

    def __init__(
        self,
        snapshot: snapshot_lib.Snapshot,
        members: Members,
        settings: settings_lib.Settings,
        now: float,
        awaited_domains: frozenset[str],
    ):
        self._awaited_domains = awaited_domains
        self._members = members
        self._settings = settings
        self._now = now
        self._live_members_by_domain: dict[
            ids.FailureDomain, list[members_lib.Member]
        ] = {}
        for member in members.values():
            if (
                member.state is members_lib.MemberState.ALIVE
                and member.failure_domain in settings.topology
            ):
                self._live_members_by_domain.setdefault(
                    member.failure_domain, []
                ).append(member)
        self._shards = list(snapshot.select(resources.Shard))
        self._assignments_by_node = Counter(
            voter for shard in self._shards for voter in shard.voters
        )
        self._assignments_by_domain = Counter(
            members[voter].failure_domain
            for voter in self._assignments_by_node.elements()
            if voter in members
        )

    def assign_all(self) -> Iterator[resources.Shard]:
        """Yields the first epoch of all shards once enough domains are live."""
        domain_count = len(self._settings.topology)
        # Shards keep their voters, so waiting for two thirds of the failure
        # domains avoids concentrating voters in those that started first.
        if len(self._live_members_by_domain) < max(
            min(VOTERS_PER_SHARD, domain_count), 2 * domain_count / 3
        ):
            return
        shards_per_domain = self._settings.requests.key_shards_per_domain
        shard_count = min(MAX_SHARDS, shards_per_domain * domain_count)
        for index in map(ids.ShardIndex, range(shard_count)):
            unassigned = resources.Shard(index, 0, ())
            yield _create_next_epoch(
                unassigned, self._fill_voters(unassigned, [])
            )

    def replace_lost_voters(self) -> Iterator[resources.Shard]:
        """Yields shards whose lost voters are replaced in a new epoch."""
        voters = set(self._assignments_by_node)
        missing = voters - self._members.keys()
        # A controller that has just started may not know all nodes yet.
        if 2 * len(missing) > len(voters):
            return
        # At-most-once execution relies on a new epoch reaching each previous
        # voter that is still connected to most failure domains.
        if not has_majority_connectivity(self._members, self._settings):
            return
        for shard in self._shards:
            kept = [
                self._members[voter]
                for voter, incarnation in zip(
                    shard.voters, shard.lives, strict=True
                )
                if self._is_still_running(voter, incarnation)
            ]
            changed = self._reassign(shard, kept)
            if changed is not None:
                yield changed

    def _reassign(
        self, shard: resources.Shard, kept: list[members_lib.Member]
    ) -> resources.Shard | None:
        if len(kept) >= VOTERS_PER_SHARD:
            return None
        all_kept = len(kept) == len(shard.voters)
        if all_kept or len(kept) >= compute_quorum(shard):
            selected = self._choose_voter(
                shard.index, self._find_home_region(shard), kept
            )
            # Without a replacement, the shard continues with the other voters.
            return (
                _create_epoch_with_new_voter(shard, [*kept, selected])
                if selected
                else None
            )
        lost = set(shard.voters) - {member.node_id for member in kept}
        if any(
            self._members[voter].failure_domain in self._awaited_domains
            for voter in lost & self._members.keys()
        ):
            return None
        voters = self._fill_voters(shard, kept)
        if not voters:
            return None
        closed_period_s = keys.compute_closed_period_s(self._settings.requests)
        return dataclasses.replace(
            _create_next_epoch(shard, voters),
            closed_until=self._now + closed_period_s,
        )

    def _fill_voters(
        self, shard: resources.Shard, kept: list[members_lib.Member]
    ) -> list[members_lib.Member]:
        voters = list(kept)
        while len(voters) < VOTERS_PER_SHARD:
            selected = self._choose_voter(
                shard.index, self._find_home_region(shard), voters
            )
            if selected is None:
                break
            voters.append(selected)
        return voters

    def _is_still_running(self, voter: ids.NodeId, incarnation: int) -> bool:
        member = self._members.get(voter)
        return (
            member is not None
            and member.state
            in (
                members_lib.MemberState.ALIVE,
                members_lib.MemberState.SUSPECTED,
            )
            and member.incarnation < incarnation + MIN_RESTART_INCARNATION_GAP
        )

    def _find_home_region(self, shard: resources.Shard) -> ids.Region:
        sorted_topology = sorted(
            self._settings.topology.items(), key=lambda item: item[::-1]
        )
        return ids.Region(
            sorted_topology[shard.index % len(sorted_topology)][1]
        )

    def _choose_voter(
        self,
        index: ids.ShardIndex,
        home: ids.Region,
        chosen: list[members_lib.Member],
    ) -> members_lib.Member | None:
        used_nodes = {member.node_id for member in chosen}
        used_domains = {member.failure_domain for member in chosen}
        home_voters = sum(member.region == home for member in chosen)
        needs_home_voter = home_voters < VOTERS_PER_SHARD - 1

        def rank_domain(
            domain: ids.FailureDomain,
        ) -> tuple[bool, bool, int, int]:
            return (
                domain in used_domains,
                (self._settings.topology[domain] == home) != needs_home_voter,
                self._assignments_by_domain[domain],
                xxhash.xxh3_64_intdigest(f"{index}/{domain}".encode()),
            )

        def rank_member(member: members_lib.Member) -> tuple[int, int]:
            return (
                self._assignments_by_node[member.node_id],
                xxhash.xxh3_64_intdigest(f"{index}/{member.node_id}".encode()),
            )

        for domain in sorted(self._live_members_by_domain, key=rank_domain):
            candidates = [
                member
                for member in self._live_members_by_domain[domain]
                if member.node_id not in used_nodes
            ]
            if candidates:
                selected = min(candidates, key=rank_member)
                self._assignments_by_node[selected.node_id] += 1
                self._assignments_by_domain[domain] += 1
                return selected
        return None


def _create_next_epoch(
    shard: resources.Shard, voters: list[members_lib.Member]
) -> resources.Shard:
    epoch = shard.epoch + 1
    return dataclasses.replace(
        shard,
        epoch=epoch,
        voters=tuple(member.node_id for member in voters),
        joined=(epoch,) * len(voters),
        lives=tuple(member.incarnation for member in voters),
    )


def _create_epoch_with_new_voter(
    shard: resources.Shard, voters: list[members_lib.Member]
) -> resources.Shard:
    """Returns the next epoch of a shard; only its last voter is new."""
    next_epoch = _create_next_epoch(shard, voters)
    previous = dict(
        zip(
            shard.voters,
            zip(shard.joined, shard.lives, strict=True),
            strict=True,
        )
    )
    kept = [previous[voter] for voter in next_epoch.voters[:-1]]
    return dataclasses.replace(
        next_epoch,
        joined=(*(joined for joined, _ in kept), next_epoch.epoch),
        lives=(*(incarnation for _, incarnation in kept), next_epoch.lives[-1]),
    )
