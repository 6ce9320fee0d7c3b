"""Broadcast tree over the members of a region, ordered by node ID hash.

A sender splits its hash range into equal parts and delegates each part to the
first member inside it, which forwards to the rest of the part after its hash.
Every member receives one copy (the origin may receive its own message).
Sender and receiver need not have the same view of the fleet, but a member that
only the receiver knows is reached only if its hash lies in the range that the
receiver forwards to. The bounds of the parts depend only on the range, so
messages of different origins pass through the same members, which can forward
them in one batch.
"""

from collections.abc import Iterable
import dataclasses
import functools
import itertools
from typing import Final

import xxhash

from lycheestair import ids
from lycheestair import members as members_lib

# Large enough that hash collisions between nodes are very unlikely.
HASH_SPACE_SIZE: Final = 1 << 48


@dataclasses.dataclass(frozen=True)
class HashRange:
    """Half-open range of hashes, from `start` to before `end`."""

    start: int
    end: int


FULL_RANGE: Final = HashRange(0, HASH_SPACE_SIZE)
EMPTY_RANGE: Final = HashRange(0, 0)


@dataclasses.dataclass(frozen=True)
class Branch:
    """One part of a split range.

    Attributes:
      candidates: Members of the part, ordered by hash; the first that answers
        receives the message.
      end: End of the part.
    """

    candidates: tuple[members_lib.Member, ...]
    end: int

    def find_remaining_range(self, chosen: members_lib.Member) -> HashRange:
        """Returns the range that the chosen candidate has to forward to."""
        if chosen == self.candidates[-1]:
            return EMPTY_RANGE
        return HashRange(hash_node_id(chosen.node_id) + 1, self.end)


@functools.lru_cache(maxsize=65_536)
def hash_node_id(node_id: ids.NodeId) -> int:
    """Returns the hash of a node ID within the hash space."""
    return xxhash.xxh64_intdigest(node_id.encode()) % HASH_SPACE_SIZE


def split_range(
    members: Iterable[members_lib.Member], hash_range: HashRange, fan_out: int
) -> list[Branch]:
    """Returns at most `fan_out` branches that cover the members of a range.

    Args:
      members: Members to reach, excluding the sender.
      hash_range: Range to cover.
      fan_out: Maximum number of branches.
    """
    selected = sort_by_hash(
        member
        for member in members
        if hash_range.start <= hash_node_id(member.node_id) < hash_range.end
    )
    if len(selected) <= fan_out:
        return [Branch((member,), hash_range.end) for member in selected]
    width = -(-(hash_range.end - hash_range.start) // fan_out)
    return [
        Branch(
            tuple(group),
            min(hash_range.start + (index + 1) * width, hash_range.end),
        )
        for index, group in itertools.groupby(
            selected,
            lambda m: (hash_node_id(m.node_id) - hash_range.start) // width,
        )
    ]


def make_region_branches(
    members: Iterable[members_lib.Member], own_region: ids.Region
) -> list[Branch]:
    """Returns one branch for each other region, covering the whole region."""
    others = sorted(
        sort_by_hash(m for m in members if m.region != own_region),
        key=lambda m: m.region,
    )
    return [
        Branch(tuple(group), HASH_SPACE_SIZE)
        for _, group in itertools.groupby(others, lambda m: m.region)
    ]


def sort_by_hash(
    members: Iterable[members_lib.Member],
) -> list[members_lib.Member]:
    """Returns the members sorted by the hash of their node ID."""
    return sorted(members, key=lambda m: (hash_node_id(m.node_id), m.node_id))
