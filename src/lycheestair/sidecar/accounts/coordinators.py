"""Choice of the nodes that coordinate the allowances of accounts.

All nodes that know the same reachable members choose the same ones, without a
message (rendezvous hashing), and few accounts change their coordinator when a node
joins or leaves.
"""

from collections.abc import Iterable
import hashlib
import heapq
from typing import Final

from lycheestair import ids

MIN_COORDINATORS: Final = 3
# Each coordinator serves about this many nodes, whatever the size of the fleet.
NODES_PER_COORDINATOR: Final = 24
# Part of a failure domain that must be reachable for its other members to count as
# stopped. Otherwise the network may be partitioned, and they admit requests too.
MIN_REACHABLE_RATIO: Final = 1 / 3


def _compute_weight(node_id: ids.NodeId, subject: str) -> bytes:
    return hashlib.blake2b(
        f"{node_id}\n{subject}".encode(), digest_size=8
    ).digest()


class CoordinatorChoice:
    """The coordinators among the reachable nodes, and the accounts of each."""

    def __init__(self) -> None:
        self._reachable: frozenset[ids.NodeId] = frozenset()
        self._coordinators: list[ids.NodeId] = []
        self._by_account: dict[ids.AccountName, ids.NodeId] = {}

    @property
    def coordinators(self) -> list[ids.NodeId]:
        """The nodes that coordinate allowances."""
        return self._coordinators

    def update(self, reachable: Iterable[ids.NodeId]) -> None:
        """Chooses the coordinators among the nodes that can be reached."""
        nodes = frozenset(reachable)
        if nodes == self._reachable:
            return
        self._reachable = nodes
        chosen = heapq.nsmallest(
            max(MIN_COORDINATORS, len(nodes) // NODES_PER_COORDINATOR),
            nodes,
            key=lambda node_id: _compute_weight(node_id, ""),
        )
        if chosen != self._coordinators:
            self._coordinators = chosen
            self._by_account.clear()

    def find(self, account: ids.AccountName) -> ids.NodeId | None:
        """Returns the coordinator of an account, None if no node is reachable."""
        found = self._by_account.get(account)
        if found is None and self._coordinators:
            found = min(
                self._coordinators,
                key=lambda node_id: _compute_weight(node_id, account),
            )
            self._by_account[account] = found
        return found


def compute_share(
    members: Iterable[tuple[ids.FailureDomain, bool]],
) -> float:
    """Returns the share of the allowances that the reachable nodes may use.

    The nodes on the other side of a network partition use the rest. Unreachable
    nodes of a failure domain of which enough others are reachable have stopped
    rather than been cut off, and need nothing.

    Args:
      members: Failure domain of each known node, and whether it can be reached.
    """
    reachable: dict[ids.FailureDomain, int] = {}
    total: dict[ids.FailureDomain, int] = {}
    for domain, is_reachable in members:
        total[domain] = total.get(domain, 0) + 1
        reachable[domain] = reachable.get(domain, 0) + is_reachable
    usable = sum(
        count
        if reachable[domain] >= count * MIN_REACHABLE_RATIO
        else reachable[domain]
        for domain, count in total.items()
    )
    return usable / max(1, sum(total.values()))
