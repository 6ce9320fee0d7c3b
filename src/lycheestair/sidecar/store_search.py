"""Search for nodes that the store serves.

Answers a store that turns most nodes away, or falls silent for them, while the
configuration changes. When a feeder loses the store, many nodes try to reach it at
the same time instead of a few after the others, so that the time to find one that is
served doesn't grow with the number of nodes. The number of calls doesn't either: a
node takes part in a round with a probability that falls with the number of nodes.
"""

import random
from typing import Final

# Expected number of nodes that take part in the first round. Each of the next
# rounds has twice as many.
FIRST_ROUND_NODES: Final = 32
ROUNDS: Final = 4
ROUND_INTERVAL_S: Final = 0.5
# Rounds of the first size follow at this interval while no node is served.
LATE_ROUND_INTERVAL_S: Final = 5.0
# During a search, what a node knows from a call is used for this long before it calls
# again.
KNOWLEDGE_MAX_AGE_S: Final = 2.0
# Losses within this time of the start of a search begin one other search after it: a
# node that the first one has found may be lost again.
MIN_INTERVAL_S: Final = 0.7


class StoreSearch:
    """Decides when this node tries to reach the store.

    Times are those of `clock.read_s`.

    Attributes:
      active: Whether a search is in progress.
    """

    def __init__(self, generator: random.Random):
        self.active = False
        self._is_requested = False
        self._generator = generator
        self._began_at = float("-inf")
        self._next_round = 0
        self._tried_at = float("-inf")

    def request(self) -> None:
        """Tells that a feeder has lost the store."""
        self._is_requested = True

    def begin_if_requested(self, now: float) -> bool:
        """Begins a search if one is requested; returns whether it did."""
        if not self._is_requested or now - self._began_at < MIN_INTERVAL_S:
            return False
        self._is_requested = False
        self._began_at = now
        self._tried_at = float("-inf")
        self._next_round = 0
        self.active = True
        return True

    def end(self) -> None:
        """Ends the search, but not before its first round."""
        self.active = self._next_round == 0

    def should_try(self, now: float, node_count: int) -> bool:
        """Returns whether this node takes part in a round that begins now.

        Args:
          now: Current time.
          node_count: Number of nodes of the fleet.
        """
        if not self.active or now < self._began_at + self._find_round_delay_s():
            return False
        number = self._next_round
        self._next_round += 1
        size = FIRST_ROUND_NODES << (number if number < ROUNDS else 0)
        if now - self._tried_at < KNOWLEDGE_MAX_AGE_S:
            return False
        if self._generator.random() * node_count >= size:
            return False
        self._tried_at = now
        return True

    def _find_round_delay_s(self) -> float:
        early = min(self._next_round, ROUNDS - 1)
        return (
            early * ROUND_INTERVAL_S
            + (self._next_round - early) * LATE_ROUND_INTERVAL_S
        )
