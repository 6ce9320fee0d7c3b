"""Boot: brings a starting node to the newest known generation."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import random
import time
from typing import Final

from absl import logging

from lycheestair import acceptance
from lycheestair import distribution_pb2 as pb
from lycheestair import fetcher as fetcher_lib
from lycheestair import ids
from lycheestair import injection
from lycheestair import membership as membership_lib
from lycheestair import replica as replica_lib
from lycheestair import settings as settings_lib
from lycheestair import store as store_lib

Exchange = Callable[[ids.Address, ids.Region | None], pb.ExchangeReply | None]

PEERS_PER_ROUND: Final = 3
INITIAL_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 1.0


@dataclasses.dataclass(frozen=True)
class _Peer:
    address: ids.Address
    region: ids.Region | None


@dataclasses.dataclass(frozen=True)
class _RoundResult:
    """Replies of peers and store in one query round.

    Attributes:
      peer_generations: Peers that answered, each after its generation.
      head: Head read from the store, None if it was not read.
    """

    peer_generations: tuple[tuple[int, _Peer], ...]
    head: acceptance.Head | None

    @property
    def reached(self) -> bool:
        return bool(self.peer_generations) or self.head is not None

    @property
    def newest_generation(self) -> int:
        generations = [generation for generation, _ in self.peer_generations]
        if self.head is not None:
            generations.append(self.head.generation)
        return max(generations, default=0)


class Boot:
    """Queries peers and store until the newest known generation is active."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        membership: membership_lib.GossipMembership,
        store: store_lib.Store,
        replica: replica_lib.Replica,
        fetcher: fetcher_lib.Fetcher,
        exchange: Exchange,
    ):
        self._settings = settings
        self._membership = membership
        self._store = store
        self._replica = replica
        self._fetcher = fetcher
        self._exchange = exchange
        self._next_store_read_at = 0.0

    def run(self) -> bool:
        """Blocks until the newest generation is active or boot times out.

        Returns:
          Whether a peer or the store answered.
        """
        deadline = (
            time.monotonic()
            + self._settings.distribution.boot_timeout_ms / 1000
        )
        backoff_s = INITIAL_BACKOFF_S
        reached = False
        with futures.ThreadPoolExecutor(
            PEERS_PER_ROUND, thread_name_prefix="boot"
        ) as executor:
            while True:
                result = self._run_round(executor)
                reached = reached or result.reached
                if self._catch_up(result):
                    return True
                wait_s = random.uniform(0, backoff_s)
                if time.monotonic() + wait_s > deadline:
                    logging.warning(
                        "boot timed out; peer or store reached: %s", reached
                    )
                    return reached
                time.sleep(wait_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def _run_round(self, executor: futures.Executor) -> _RoundResult:
        peers = self._choose_peers()
        calls = [
            executor.submit(self._exchange, peer.address, peer.region)
            for peer in peers
        ]
        head = self._read_head()
        replies = [call.result() for call in calls]
        return _RoundResult(
            tuple(
                (reply.generation, peer)
                for reply, peer in zip(replies, peers, strict=True)
                if reply is not None
            ),
            head,
        )

    def _choose_peers(self) -> list[_Peer]:
        own = self._membership.read_self()
        regions_by_address = {
            member.control: member.region
            for member in self._membership.read_live()
        }
        seeds = map(ids.Address, self._settings.membership.seeds)
        candidates = [
            _Peer(address, regions_by_address.get(address))
            for address in sorted({*regions_by_address, *seeds} - {own.control})
        ]
        local_peers = [peer for peer in candidates if peer.region == own.region]
        if len(local_peers) >= PEERS_PER_ROUND:
            candidates = local_peers
        return random.sample(candidates, min(PEERS_PER_ROUND, len(candidates)))

    def _read_head(self) -> acceptance.Head | None:
        if time.monotonic() < self._next_store_read_at:
            return None
        try:
            return acceptance.read_head(self._store)
        except store_lib.StoreOverloadedError as error:
            # Spreads retries so that many nodes restarting at once do not keep
            # the store overloaded.
            self._next_store_read_at = (
                time.monotonic() + error.retry_after_s * random.uniform(1, 3)
            )
        except (
            store_lib.StoreUnavailableError,
            acceptance.StoredConfigurationError,
        ) as error:
            logging.warning(
                "cannot read configuration head during boot: %s", error
            )
        return None

    def _catch_up(self, result: _RoundResult) -> bool:
        """Returns whether the newest known generation is active."""
        if not result.reached:
            return False
        # Peers that are still booting report generation 0. Without a reply from
        # the store, this does not prove that there is no configuration.
        if result.newest_generation == 0 and result.head is None:
            return False
        newest_first = sorted(
            result.peer_generations, key=lambda answer: answer[0], reverse=True
        )
        for generation, peer in newest_first:
            if generation > self._replica.current.generation:
                self._fetcher.fetch(peer.address, peer.region)
        head = result.head
        if head and head.generation > self._replica.current.generation:
            self._read_from_store(head)
        return self._replica.current.generation >= result.newest_generation

    def _read_from_store(self, head: acceptance.Head) -> None:
        try:
            snapshot = acceptance.read_snapshot(
                self._store, head, self._replica.current
            )
        except (
            store_lib.StoreUnavailableError,
            acceptance.StoredConfigurationError,
        ) as error:
            logging.warning(
                "cannot read configuration snapshot during boot: %s", error
            )
            return
        injection.reach(injection.Point.CONFIGURATION_FETCHED)
        self._replica.activate(snapshot)
