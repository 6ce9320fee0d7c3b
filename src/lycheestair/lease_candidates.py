"""Selects the nodes of a region that try to acquire a lease."""

import time
from typing import Final

import xxhash

from lycheestair import ids
from lycheestair import member_table
from lycheestair import members as members_lib

# The other members of a region make no store calls for the lease, so the load
# on the store does not grow with the size of the region.
CANDIDATES_PER_REGION: Final = 3
# Other members become candidates after this time, so that a lease is acquired
# even if the current candidates are alive but cannot reach the store.
CANDIDATE_ROTATION_S: Final = 60.0


def is_lease_candidate(
    membership: members_lib.Membership, now: float | None = None
) -> bool:
    """Returns whether this node currently tries to acquire leases.

    The candidates are the live members of the region with the lowest hashes of
    the rotation epoch and their node ID.

    Args:
      membership: View of the fleet; only members of the local region count.
      now: Unix time in seconds, None for the current time. Clock skew between
        nodes only adds candidates.
    """
    own = membership.read_self()
    epoch = int((time.time() if now is None else now) / CANDIDATE_ROTATION_S)
    own_hash = _hash_candidate(own.node_id, epoch)
    preceding_count = sum(
        _hash_candidate(member.node_id, epoch) < own_hash
        for member in membership.read_members().values()
        if member.region == own.region
        and member.state in member_table.LIVE_STATES
    )
    return preceding_count < CANDIDATES_PER_REGION


def _hash_candidate(node_id: ids.NodeId, epoch: int) -> int:
    return xxhash.xxh64_intdigest(f"{epoch}/{node_id}".encode())
