"""Fetches newer generations from peers that report them."""

import dataclasses
import random
import threading
import time
from typing import Final

from lycheestair import distribution_pb2 as pb
from lycheestair import fanout
from lycheestair import ids
from lycheestair import injection
from lycheestair import membership as membership_lib
from lycheestair import pusher as pusher_lib
from lycheestair import replica as replica_lib
from lycheestair import traffic as traffic_lib

FETCH: Final = traffic_lib.Call(
    "/lycheestair.distribution.Distribution/Fetch", "fetch"
)
FETCH_TIMEOUT_S: Final = 5.0
# A generation that a peer reports usually arrives along the tree meanwhile.
HINT_GRACE_S: Final = 0.3
# A new generation usually reaches the feeder of the region meanwhile.
OFFER_GRACE_S: Final = 0.1
MAX_SOURCES: Final = 64


@dataclasses.dataclass(frozen=True)
class Source:
    """A peer that has a newer generation.

    Attributes:
      region: Region of the peer, None when not known.
      due_at: Monotonic time in seconds at which to fetch.
      ranges: Ranges to push the generation to. The whole region is left to
        the feeder if the generation has come meanwhile.
    """

    address: ids.Address
    region: ids.Region | None
    generation: int
    due_at: float
    ranges: frozenset[fanout.HashRange]


class Fetcher:
    """Fetches what has not arrived by itself within a grace time."""

    def __init__(
        self,
        membership: membership_lib.GossipMembership,
        replica: replica_lib.Replica,
        pusher: pusher_lib.Pusher,
    ):
        self._membership = membership
        self._replica = replica
        self._pusher = pusher
        self._changed = threading.Condition()
        self._sources: dict[ids.Address, Source] = {}
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="fetcher", daemon=True
        )

    def start(self) -> None:
        """Starts to fetch."""
        self._thread.start()

    def stop(self) -> None:
        """Stops after the fetch in progress."""
        with self._changed:
            self._stopped = True
            self._changed.notify()

    def notice(
        self,
        address: ids.Address,
        region: ids.Region | None,
        generation: int,
        grace_s: float,
        ranges: frozenset[fanout.HashRange],
    ) -> None:
        """Notes that a peer has a generation, to be fetched after a time."""
        # A refused generation would be fetched at each report of a peer.
        if not self._replica.wants(generation):
            return
        with self._changed:
            known = self._sources.get(address)
            due_at = time.monotonic() + grace_s
            if known is not None:
                due_at = min(due_at, known.due_at)
                ranges |= known.ranges
            elif len(self._sources) >= MAX_SOURCES:
                return
            self._sources[address] = Source(
                address, region, generation, due_at, ranges
            )
            self._changed.notify()

    def fetch(
        self, address: ids.Address, region: ids.Region | None
    ) -> tuple[replica_lib.Outcome | None, float]:
        """Fetches from a peer what this node lacks, and activates it.

        Returns:
          The outcome, None when the peer gave nothing; and the seconds to
          wait if the peer is busy, else 0.
        """
        outcome: replica_lib.Outcome | None = None
        # The second attempt asks for the whole snapshot.
        for whole in (False, True):
            current = self._replica.current
            request = pb.FetchRequest(
                sender=self._membership.read_self().node_id,
                generation=0 if whole else current.generation,
                digest=b"" if whole else bytes.fromhex(current.digest),
            )
            reply = self._membership.caller.call(
                FETCH, address, region, request, pb.FetchReply, FETCH_TIMEOUT_S
            )
            if reply is None or not reply.delta:
                return None, reply.retry_after_ms / 1000 if reply else 0.0
            injection.reach(injection.Point.CONFIGURATION_FETCHED)
            delta = replica_lib.decode_delta(reply.delta)
            if delta is None:
                return replica_lib.Outcome.REFUSED, 0.0
            outcome = self._replica.apply(delta)
            if outcome is not replica_lib.Outcome.GAP:
                break
        return outcome, 0.0

    def _run(self) -> None:
        while True:
            source = self._wait()
            if source is None:
                return
            before = self._replica.current.generation
            fetched = before < source.generation and self._fetch(source)
            for hash_range in source.ranges:
                if fetched or hash_range != fanout.FULL_RANGE:
                    self._pusher.push(hash_range, before)

    def _fetch(self, source: Source) -> bool:
        outcome, retry_s = self.fetch(source.address, source.region)
        if retry_s:
            self.notice(
                source.address,
                source.region,
                source.generation,
                random.uniform(0.5, 1.5) * retry_s,
                source.ranges,
            )
        return outcome is replica_lib.Outcome.ACTIVATED

    def _wait(self) -> Source | None:
        with self._changed:
            while not self._stopped:
                if not self._sources:
                    self._changed.wait()
                    continue
                first = min(self._sources.values(), key=lambda s: s.due_at)
                rest = first.due_at - time.monotonic()
                if rest <= 0:
                    return self._sources.pop(first.address)
                self._changed.wait(rest)
        return None


def choose_ranges(push: bool) -> frozenset[fanout.HashRange]:
    """Returns the ranges for a source: the whole own region, or none."""
    return frozenset({fanout.FULL_RANGE}) if push else frozenset()
