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

FETCH: Final = traffic_lib.PeerMethod(
    "/lycheestair.distribution.Distribution/Fetch", "fetch"
)
FETCH_TIMEOUT_S: Final = 5.0
# Delay before fetching a generation that a peer reported in an exchange. It is
# usually pushed along the tree within this time.
EXCHANGE_GRACE_S: Final = 0.3
# Delay before fetching an offered generation. The feeder of the region usually
# receives it from the store within this time.
OFFER_GRACE_S: Final = 0.1
MAX_PENDING_SOURCES: Final = 64


@dataclasses.dataclass(frozen=True)
class Source:
    """A peer from which to fetch a newer generation.

    Attributes:
      region: Region of the peer, None if unknown.
      due_at: Monotonic time in seconds at which to fetch.
      push_ranges: Hash ranges to push the generation to. If the generation
        arrives from elsewhere before the fetch, the full range is skipped
        because the feeder pushes to it.
    """

    address: ids.Address
    region: ids.Region | None
    generation: int
    due_at: float
    push_ranges: frozenset[fanout.HashRange]


class Fetcher:
    """Fetches generations that were not pushed within a grace period."""

    def __init__(
        self,
        membership: membership_lib.GossipMembership,
        replica: replica_lib.Replica,
        pusher: pusher_lib.Pusher,
    ):
        self._membership = membership
        self._replica = replica
        self._pusher = pusher
        self._condition = threading.Condition()
        self._sources: dict[ids.Address, Source] = {}
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name="fetcher", daemon=True
        )

    def start(self) -> None:
        """Starts fetching."""
        self._thread.start()

    def stop(self) -> None:
        """Stops after the fetch in progress."""
        with self._condition:
            self._stopped = True
            self._condition.notify()

    def schedule(
        self,
        address: ids.Address,
        region: ids.Region | None,
        generation: int,
        grace_s: float,
        push_ranges: frozenset[fanout.HashRange],
    ) -> None:
        """Schedules a fetch from a peer after a grace period."""
        # Without this check, a refused generation would be fetched again for
        # each report of it.
        if not self._replica.should_fetch(generation):
            return
        with self._condition:
            known = self._sources.get(address)
            due_at = time.monotonic() + grace_s
            if known is not None:
                due_at = min(due_at, known.due_at)
                push_ranges |= known.push_ranges
            elif len(self._sources) >= MAX_PENDING_SOURCES:
                return
            self._sources[address] = Source(
                address, region, generation, due_at, push_ranges
            )
            self._condition.notify()

    def fetch(
        self, address: ids.Address, region: ids.Region | None
    ) -> tuple[replica_lib.Outcome | None, float]:
        """Fetches the newest generation of a peer and activates it.

        Returns:
          The outcome, None if the peer did not answer or sent no delta, and the
          seconds to wait before a retry if the peer is busy, else 0.
        """
        outcome: replica_lib.Outcome | None = None
        # The second attempt requests the whole snapshot, in case the delta of
        # the first one cannot be applied.
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
            source = self._wait_for_due_source()
            if source is None:
                return
            previous_generation = self._replica.current.generation
            fetched = previous_generation < source.generation and self._fetch(
                source
            )
            for hash_range in source.push_ranges:
                if fetched or hash_range != fanout.FULL_RANGE:
                    self._pusher.push(hash_range, previous_generation)

    def _fetch(self, source: Source) -> bool:
        outcome, retry_delay_s = self.fetch(source.address, source.region)
        if retry_delay_s:
            self.schedule(
                source.address,
                source.region,
                source.generation,
                random.uniform(0.5, 1.5) * retry_delay_s,
                source.push_ranges,
            )
        return outcome is replica_lib.Outcome.ACTIVATED

    def _wait_for_due_source(self) -> Source | None:
        with self._condition:
            while not self._stopped:
                if not self._sources:
                    self._condition.wait()
                    continue
                next_source = min(
                    self._sources.values(), key=lambda s: s.due_at
                )
                remaining_s = next_source.due_at - time.monotonic()
                if remaining_s <= 0:
                    return self._sources.pop(next_source.address)
                self._condition.wait(remaining_s)
        return None


def choose_push_ranges(push_to_region: bool) -> frozenset[fanout.HashRange]:
    """Returns the hash ranges to push a fetched generation to: all or none."""
    return frozenset({fanout.FULL_RANGE}) if push_to_region else frozenset()
