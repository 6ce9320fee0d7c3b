"""Choice of a version for each request, evenly spread at small shares."""

import random
import threading
from typing import Final

import xxhash

from lycheestair import ids
from lycheestair import observations
from lycheestair import routing

# Versions with at most this share of the traffic are spread evenly. Larger shares
# are drawn at random, which also gives each route its share where routes alternate
# regularly.
MAX_SPREAD_SHARE: Final = 0.1
# Relative deviation of the distance between two requests from the mean distance,
# so that regular traffic doesn't always send the same kind of request.
SPREAD_JITTER: Final = 0.25
# Bounds the memory for versions and moves that no longer exist.
MAX_ENTRIES: Final = 1_024
_HASH_RANGE: Final = 2.0**64


class VersionChooser:
    """Chooses versions by traffic share, limited by local caps. Thread-safe.

    With independent random draws, the requests of a version with a small share
    would vary over the fleet like a Poisson number. Here each node spreads them
    evenly, from a start that depends on the node.
    """

    def __init__(
        self,
        caps: observations.ShareCaps,
        node_id: ids.NodeId,
        seed: int | None = None,
    ):
        """Initializes the chooser.

        Args:
          caps: Local caps.
          node_id: Local node.
          seed: Seed of the random draws.
        """
        self._caps = caps
        self._node_id = node_id
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        # Fraction of a request that each version is owed.
        self._credits: dict[tuple[ids.ServiceName, ids.VersionName], float] = {}
        # Number of the last probe sent here, by move.
        self._sent_probes: dict[ids.MoveId, int] = {}

    def choose(
        self, entry: routing.RouteEntry, excluded: frozenset[ids.VersionName]
    ) -> ids.VersionName | None:
        """Returns a version, or None if every version is excluded.

        Args:
          entry: Route of the request.
          excluded: Versions that must not be chosen.
        """
        shares = entry.shares
        for probe in entry.probes:
            if probe.version not in excluded and self._take_probe(entry, probe):
                return probe.version
        if excluded:
            shares = {n: bps for n, bps in shares.items() if n not in excluded}
        if len(shares) < 2:
            return next(iter(shares), None)
        shares = self.limit_shares(entry.route.service, shares)
        # The shares of another choice for the same request are not its own.
        if not excluded:
            version = self._choose_spread(entry.route.service, shares)
            if version is not None:
                return version
            shares = _select_large(shares)
        point = self._random.random() * sum(shares.values())
        for name, bps in shares.items():
            point -= bps
            if point < 0:
                return name
        return name

    def limit_shares(
        self, service: ids.ServiceName, shares: routing.Shares
    ) -> routing.Shares:
        """Returns traffic shares with the local caps applied.

        A single version gets all requests, whatever its cap.
        """
        if len(shares) < 2:
            return shares
        caps = {
            name: cap
            for name in shares
            if (cap := self._caps.read_cap_bps(service, name)) is not None
        }
        return routing.apply_caps(shares, caps) if caps else shares

    def is_probe_due(
        self, entry: routing.RouteEntry, probe: routing.Probe
    ) -> bool:
        """Whether the next request here is the probe."""
        return (
            probe.node_id == self._node_id
            and self._caps.read_cap_bps(entry.route.service, probe.version) != 0
            and self._sent_probes.get(probe.move_id, 0) < probe.number
        )

    def _take_probe(
        self, entry: routing.RouteEntry, probe: routing.Probe
    ) -> bool:
        """Whether this request is the probe. Each number is sent once."""
        if probe.node_id != self._node_id:
            return False
        with self._lock:
            if not self.is_probe_due(entry, probe):
                return False
            if len(self._sent_probes) >= MAX_ENTRIES:
                self._sent_probes.pop(next(iter(self._sent_probes)))
            self._sent_probes[probe.move_id] = probe.number
            return True

    def _choose_spread(
        self, service: ids.ServiceName, shares: routing.Shares
    ) -> ids.VersionName | None:
        """Returns a version with a small share if it is its turn."""
        total = sum(shares.values())
        small = {
            name: bps
            for name, bps in shares.items()
            if bps <= MAX_SPREAD_SHARE * total
        }
        if not small or len(small) == len(shares):
            return None
        with self._lock:
            for name, bps in small.items():
                key = (service, name)
                credit = self._credits.get(key)
                if credit is None:
                    if len(self._credits) >= MAX_ENTRIES:
                        self._credits.clear()
                    credit = self._compute_first_credit(service, name)
                credit += bps / total
                is_due = credit >= 1.0
                if is_due:
                    credit -= self._random.uniform(
                        1 - SPREAD_JITTER, 1 + SPREAD_JITTER
                    )
                self._credits[key] = credit
                if is_due:
                    return name
        return None

    def _compute_first_credit(
        self, service: ids.ServiceName, version: ids.VersionName
    ) -> float:
        digest = xxhash.xxh64_intdigest(
            f"{self._node_id}/{service}/{version}".encode()
        )
        return digest / _HASH_RANGE


def _select_large(shares: routing.Shares) -> routing.Shares:
    """Returns the shares that are not spread evenly, all if there are none."""
    limit = MAX_SPREAD_SHARE * sum(shares.values())
    return {n: bps for n, bps in shares.items() if bps > limit} or shares
