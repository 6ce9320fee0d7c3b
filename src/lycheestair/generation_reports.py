"""Asks members for the generation that they have in force."""

from collections.abc import Iterable
from concurrent import futures
import random
from typing import Final
from typing import Protocol

from lycheestair import members as members_lib

MAX_ASKED: Final = 512
THREADS: Final = 32
TIMEOUT_S: Final = 0.5


class Membership(Protocol):
    """What the refresh needs of the membership."""

    def read_live(self) -> Iterable[members_lib.Member]:
        """Returns the other live members."""

    def read_self(self) -> members_lib.Member:
        """Returns the record of the own node."""

    def probe(self, member: members_lib.Member, timeout_s: float) -> bool:
        """Probes a member, which reports its generation."""

    def update_generations(self) -> None:
        """Puts the generations that were reported into the records."""


def refresh_generations(membership: Membership) -> None:
    """Asks the members that seem to lag, at most 512 chosen at random.

    A node hears generations only from the few peers that it probes or that
    probe it. Gossip of all of them would cost each node as many records per
    change as there are nodes, so that they are asked for when an operator
    wants to know.
    """
    membership.update_generations()
    newest = membership.read_self().generation
    seeming = [m for m in membership.read_live() if m.generation < newest]
    asked = random.sample(seeming, min(MAX_ASKED, len(seeming)))
    if not asked:
        return
    with futures.ThreadPoolExecutor(THREADS) as pool:
        list(pool.map(lambda m: membership.probe(m, TIMEOUT_S), asked))
    membership.update_generations()
