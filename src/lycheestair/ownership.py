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
# The first assignment of all shards has to fit in the store's head.
MAX_SHARDS: Final = 2_048
# Shards changed by one generation. Their deltas stay small in the store's
# head, which keeps several of them within one megabyte.
MAX_CHANGES: Final = 64
# Incarnations start at Unix time in microseconds and rise by one with each
# change. Processes of a node start further apart than this many microseconds.
# After as many changes a voter is replaced though it has not been restarted,
# which costs an epoch and never a record.
RESTART_INCARNATIONS: Final = 1_000

Members = Mapping[ids.NodeId, members_lib.Member]


def hash_key(key: str) -> bytes:
    """Returns the 16 bytes by which voters know a key."""
    return xxhash.xxh3_128_digest(key.encode())


def find_shard(
    snapshot: snapshot_lib.Snapshot, key: ids.IdempotencyKey
) -> resources.Shard | None:
    """Returns the shard of a key, None before shards are assigned."""
    count = _count_shards(snapshot)
    if not count:
        return None
    index = int.from_bytes(hash_key(key)) % count
    found = snapshot.resources[f"shard/{index}"]
    assert isinstance(found, resources.Shard)
    return found


def compute_quorum(shard: resources.Shard) -> int:
    """Returns the number of grants that a claim needs."""
    return len(shard.voters) // 2 + 1


def has_majority_connectivity(
    members: Members, settings: settings_lib.Settings
) -> bool:
    """Returns whether most failure domains have a live member."""
    reached = set()
    for member in members.values():
        if (
            member.state is members_lib.MemberState.ALIVE
            and member.failure_domain in settings.topology
        ):
            reached.add(member.failure_domain)
            # Mostly true after a few of many thousand members.
            if 2 * len(reached) > len(settings.topology):
                return True
    return False


class ShardPlanner:
    """Plans repeatedly, and waits before it gives up on failure domains.

    If two voters of a shard are in failure domains that can't be reached, they
    may be alive and at work behind a partition, and closing their shards would
    cost more than waiting for a short partition to heal.
    """

    def __init__(self) -> None:
        self._reached_at: dict[str, float] = {}

    def plan(
        self,
        snapshot: snapshot_lib.Snapshot,
        members: Members,
        settings: settings_lib.Settings,
        now: float,
        clock: Callable[[], float] = claims.read_clock,
    ) -> list[resources.Shard]:
        """Returns the shards whose voters have to change; see plan_shards."""
        at = clock()
        reached = _find_live_domains(members)
        for domain in settings.topology:
            if domain in reached or domain not in self._reached_at:
                self._reached_at[domain] = at
        awaited = frozenset(
            domain
            for domain, seen_at in self._reached_at.items()
            if domain not in reached
            and at - seen_at < settings.requests.key_isolation_s
        )
        return plan_shards(snapshot, members, settings, now, awaited)


def plan_shards(
    snapshot: snapshot_lib.Snapshot,
    members: Members,
    settings: settings_lib.Settings,
    now: float,
    awaited: frozenset[str] = frozenset(),
) -> list[resources.Shard]:
    """Returns the shards whose voters have to change.

    Args:
      snapshot: Latest configuration; the result is written as the next one.
      members: Nodes known to the controller.
      settings: Settings with the deployment's failure domains.
      now: Unix time in seconds.
      awaited: Failure domains that may come back; no shard is closed because
        of them.
    """
    planner = _Planner(snapshot, members, settings, now, awaited)
    if not _count_shards(snapshot):
        return list(planner.assign_all())
    return list(planner.replace_lost())[:MAX_CHANGES]


def _find_live_domains(members: Members) -> frozenset[str]:
    return frozenset(
        member.failure_domain
        for member in members.values()
        if member.state is members_lib.MemberState.ALIVE
    )


def _count_shards(snapshot: snapshot_lib.Snapshot) -> int:
    # Indices have no gaps, so the count follows from a few look-ups; counting
    # all resources for each request would be slow.
    low, high = 0, MAX_SHARDS
    while low < high:
        middle = (low + high + 1) // 2
        if f"shard/{middle - 1}" in snapshot.resources:
            low = middle
        else:
            high = middle - 1
    return low


class _Planner:
    """One run of the planner."""

    def __init__(
        self,
        snapshot: snapshot_lib.Snapshot,
        members: Members,
        settings: settings_lib.Settings,
        now: float,
        awaited: frozenset[str],
    ):
        self._awaited = awaited
        self._members = members
        self._settings = settings
        self._now = now
        self._domains: dict[ids.FailureDomain, list[members_lib.Member]] = {}
        for member in members.values():
            if (
                member.state is members_lib.MemberState.ALIVE
                and member.failure_domain in settings.topology
            ):
                self._domains.setdefault(member.failure_domain, []).append(
                    member
                )
        self._shards = list(snapshot.select(resources.Shard))
        self._load = Counter(
            voter for shard in self._shards for voter in shard.voters
        )
        self._domain_load = Counter(
            members[voter].failure_domain
            for voter in self._load.elements()
            if voter in members
        )

    def assign_all(self) -> Iterator[resources.Shard]:
        """Yields the first epoch of all shards, once enough nodes are up."""
        total = len(self._settings.topology)
        # Shards keep their voters, so voters must not crowd into the failure
        # domains whose nodes came up first.
        if len(self._domains) < max(
            min(VOTERS_PER_SHARD, total), 2 * total / 3
        ):
            return
        per_domain = self._settings.requests.key_shards_per_domain
        count = min(MAX_SHARDS, per_domain * total)
        for index in map(ids.ShardIndex, range(count)):
            empty = resources.Shard(index, 0, ())
            yield _start_epoch(empty, self._fill(empty, []))

    def replace_lost(self) -> Iterator[resources.Shard]:
        """Yields shards with a new epoch because voters are lost."""
        voters = set(self._load)
        missing = voters - self._members.keys()
        # A controller that has just started does not know all nodes yet.
        if 2 * len(missing) > len(voters):
            return
        # Old voters count on a new epoch reaching them or on being cut off
        # from most failure domains.
        if not has_majority_connectivity(self._members, self._settings):
            return
        for shard in self._shards:
            kept = [
                self._members[voter]
                for voter, life in zip(shard.voters, shard.lives, strict=True)
                if self._holds_records(voter, life)
            ]
            changed = self._change(shard, kept)
            if changed is not None:
                yield changed

    def _change(
        self, shard: resources.Shard, kept: list[members_lib.Member]
    ) -> resources.Shard | None:
        if len(kept) >= VOTERS_PER_SHARD:
            return None
        whole = len(kept) == len(shard.voters)
        if whole or len(kept) >= compute_quorum(shard):
            found = self._choose(shard.index, self._find_home(shard), kept)
            # Without another node the shard continues with the rest.
            return _replace_one(shard, [*kept, found]) if found else None
        lost = set(shard.voters) - {member.node_id for member in kept}
        if any(
            self._members[voter].failure_domain in self._awaited
            for voter in lost & self._members.keys()
        ):
            return None
        voters = self._fill(shard, kept)
        if not voters:
            return None
        closure_s = keys.compute_closure_s(self._settings.requests)
        return dataclasses.replace(
            _start_epoch(shard, voters), closed_until=self._now + closure_s
        )

    def _fill(
        self, shard: resources.Shard, kept: list[members_lib.Member]
    ) -> list[members_lib.Member]:
        voters = list(kept)
        while len(voters) < VOTERS_PER_SHARD:
            found = self._choose(shard.index, self._find_home(shard), voters)
            if found is None:
                break
            voters.append(found)
        return voters

    def _holds_records(self, voter: ids.NodeId, life: int) -> bool:
        member = self._members.get(voter)
        return (
            member is not None
            and member.state
            in (
                members_lib.MemberState.ALIVE,
                members_lib.MemberState.SUSPECTED,
            )
            and member.incarnation < life + RESTART_INCARNATIONS
        )

    def _find_home(self, shard: resources.Shard) -> ids.Region:
        homes = sorted(
            self._settings.topology.items(), key=lambda item: item[::-1]
        )
        return ids.Region(homes[shard.index % len(homes)][1])

    def _choose(
        self,
        index: ids.ShardIndex,
        home: ids.Region,
        chosen: list[members_lib.Member],
    ) -> members_lib.Member | None:
        taken = {member.node_id for member in chosen}
        domains = {member.failure_domain for member in chosen}
        at_home = sum(member.region == home for member in chosen)
        want_home = at_home < VOTERS_PER_SHARD - 1

        def rank_domain(
            domain: ids.FailureDomain,
        ) -> tuple[bool, bool, int, int]:
            return (
                domain in domains,
                (self._settings.topology[domain] == home) != want_home,
                self._domain_load[domain],
                xxhash.xxh3_64_intdigest(f"{index}/{domain}".encode()),
            )

        def rank_member(member: members_lib.Member) -> tuple[int, int]:
            return (
                self._load[member.node_id],
                xxhash.xxh3_64_intdigest(f"{index}/{member.node_id}".encode()),
            )

        for domain in sorted(self._domains, key=rank_domain):
            candidates = [
                member
                for member in self._domains[domain]
                if member.node_id not in taken
            ]
            if candidates:
                found = min(candidates, key=rank_member)
                self._load[found.node_id] += 1
                self._domain_load[domain] += 1
                return found
        return None


def _start_epoch(
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


def _replace_one(
    shard: resources.Shard, voters: list[members_lib.Member]
) -> resources.Shard:
    """Returns the next epoch, in which the last of the voters is new."""
    started = _start_epoch(shard, voters)
    before = dict(
        zip(
            shard.voters,
            zip(shard.joined, shard.lives, strict=True),
            strict=True,
        )
    )
    kept = [before[voter] for voter in started.voters[:-1]]
    return dataclasses.replace(
        started,
        joined=(*(joined for joined, _ in kept), started.epoch),
        lives=(*(life for _, life in kept), started.lives[-1]),
    )
