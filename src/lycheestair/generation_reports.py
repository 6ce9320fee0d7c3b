"""Refreshes the generations that members report as active."""

from collections.abc import Iterable
from concurrent import futures
import random
from typing import Final
from typing import Protocol

from lycheestair import members as members_lib

MAX_PROBED_MEMBERS: Final = 512
PROBE_THREADS: Final = 32
PROBE_TIMEOUT_S: Final = 0.5


class Membership(Protocol):
    """Membership operations that the refresh uses."""

    def read_live(self) -> Iterable[members_lib.Member]:
        """Returns the live members, excluding this node."""

    def read_self(self) -> members_lib.Member:
        """Returns the record of this node."""

    def probe(self, member: members_lib.Member, timeout_s: float) -> bool:
        """Probes a member; its reply reports its generation."""

    def update_generations(self) -> None:
        """Stores the reported generations in the member records."""


def refresh_generations(membership: Membership) -> None:
    """Probes members that appear to lag and stores their generations.

    If more than `MAX_PROBED_MEMBERS` lag, a random sample is probed.

    A node learns generations only from the few peers that it probes or that
    probe it. Gossiping all generations would send each node one record per
    member for every change, so members are probed only when an operator
    requests their state.
    """
    membership.update_generations()
    newest = membership.read_self().generation
    lagging = [m for m in membership.read_live() if m.generation < newest]
    probed = random.sample(lagging, min(MAX_PROBED_MEMBERS, len(lagging)))
    if not probed:
        return
    with futures.ThreadPoolExecutor(PROBE_THREADS) as executor:
        list(
            executor.map(lambda m: membership.probe(m, PROBE_TIMEOUT_S), probed)
        )
    membership.update_generations()
