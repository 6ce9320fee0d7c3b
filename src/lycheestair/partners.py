"""Selects the peers that a node probes and exchanges generations with."""

from collections.abc import Callable
from collections.abc import Mapping
import functools
import random
import threading
from typing import Final

from lycheestair import ids
from lycheestair import member_table
from lycheestair import members as members_lib

# Limits the number of open channels of a node. With random selection by every
# node, the probability that no node in a region probes a given member is about
# e^-16, and rotation soon selects such a member again.
MAX_LOCAL_PARTNERS: Final = 16
MAX_REMOTE_PARTNERS: Final = 6
CROSS_REGION_PROBE_PERCENT: Final = 20
# Number of choices after which one partner is replaced.
CHOICES_PER_ROTATION: Final = 20

View = Mapping[ids.NodeId, members_lib.Member]


class _Pool:
    """The partners inside or those outside the local region.

    Each round visits all of them once, in shuffled order.
    """

    def __init__(self, size: int, rng: random.Random):
        self._size = size
        self._rng = rng
        self._partner_ids: set[ids.NodeId] = set()
        self._unvisited: list[ids.NodeId] = []
        self._choice_count = 0
        self._scanned_view: View | None = None

    def choose(
        self,
        view: View,
        list_candidates: Callable[[], list[ids.NodeId]],
    ) -> members_lib.Member | None:
        """Returns the next partner; lists candidates only when needed."""
        self._choice_count += 1
        self._partner_ids = {n for n in self._partner_ids if _is_live(view, n)}
        rotate = self._choice_count % CHOICES_PER_ROTATION == 0
        # If there are fewer candidates than the pool size, they are listed once
        # per view instead of for each choice.
        incomplete = (
            len(self._partner_ids) < self._size
            and self._scanned_view is not view
        )
        if rotate or incomplete:
            self._scanned_view = view
            self._refill(list_candidates(), rotate)
        self._unvisited = [n for n in self._unvisited if n in self._partner_ids]
        if not self._unvisited:
            self._unvisited = sorted(self._partner_ids)
            self._rng.shuffle(self._unvisited)
        return view[self._unvisited.pop()] if self._unvisited else None

    def _refill(self, candidates: list[ids.NodeId], rotate: bool) -> None:
        if rotate and len(candidates) > len(self._partner_ids) >= self._size:
            self._partner_ids.remove(
                self._rng.choice(sorted(self._partner_ids))
            )
        missing_count = min(self._size, len(candidates)) - len(
            self._partner_ids
        )
        if missing_count > 0:
            unused = sorted(set(candidates) - self._partner_ids)
            self._partner_ids.update(self._rng.sample(unused, missing_count))


class Partners:
    """A bounded random set of live peers that is rotated slowly."""

    def __init__(self, own: members_lib.Member, rng: random.Random):
        self._own = own
        self._rng = rng
        self._lock = threading.Lock()
        self._local = _Pool(MAX_LOCAL_PARTNERS, rng)
        self._remote = _Pool(MAX_REMOTE_PARTNERS, rng)

    def choose(
        self,
        view: View,
        cross_region_percent: int = CROSS_REGION_PROBE_PERCENT,
    ) -> members_lib.Member | None:
        """Returns the next partner, None if no other node is live."""
        with self._lock:
            cross_region = self._rng.uniform(0, 100) < cross_region_percent
            list_local = functools.partial(self._list_candidates, view, False)
            list_remote = functools.partial(self._list_candidates, view, True)
            first, second = (
                ((self._remote, list_remote), (self._local, list_local))
                if cross_region
                else ((self._local, list_local), (self._remote, list_remote))
            )
            return first[0].choose(view, first[1]) or second[0].choose(
                view, second[1]
            )

    def _list_candidates(
        self, view: View, other_region: bool
    ) -> list[ids.NodeId]:
        return [
            member.node_id
            for member in member_table.select_live(view, self._own.node_id)
            if (member.region != self._own.region) is other_region
        ]


def _is_live(view: View, node_id: ids.NodeId) -> bool:
    member = view.get(node_id)
    return member is not None and member.state in member_table.LIVE_STATES
