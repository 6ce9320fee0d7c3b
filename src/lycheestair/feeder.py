"""Feeder: one node of each region watches the head and pushes it."""

import random
import threading
from typing import Final

from absl import logging

from lycheestair import acceptance
from lycheestair import candidates
from lycheestair import fanout
from lycheestair import injection
from lycheestair import leases
from lycheestair import membership as membership_lib
from lycheestair import pusher as pusher_lib
from lycheestair import replica as replica_lib
from lycheestair import settings as settings_lib
from lycheestair import store as store_lib

WATCH_TIMEOUT_S: Final = 10.0
RETRY_S: Final = 0.5
HELD_POLL_S: Final = 0.2


class Feeder:
    """Takes the region's lease when eligible, and feeds while it holds it."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        membership: membership_lib.GossipMembership,
        store: store_lib.Store,
        replica: replica_lib.Replica,
        pusher: pusher_lib.Pusher,
    ):
        self._settings = settings
        self._membership = membership
        self._store = store
        self._replica = replica
        self._pusher = pusher
        self._lease = leases.Lease(
            f"feeder-{settings.node.region}",
            settings.node.node_id,
            store,
            settings.store,
        )
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(
                target=leases.keep_lease,
                args=(
                    self._lease,
                    settings.store.lease_ms / 1000,
                    self._stop,
                    lambda: candidates.is_candidate(membership),
                ),
                name="feeder-lease",
                daemon=True,
            ),
            threading.Thread(target=self._run, name="feeder", daemon=True),
        ]

    @property
    def held(self) -> bool:
        """Whether this node is the feeder of its region."""
        return self._lease.held

    def start(self) -> None:
        """Starts to compete for the lease."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Gives the lease up."""
        self._stop.set()
        try:
            self._lease.release()
        except store_lib.StoreUnavailableError as error:
            logging.warning("lease not released: %s", error)

    def _run(self) -> None:
        while not self._stop.is_set():
            if not self._lease.held:
                self._stop.wait(HELD_POLL_S)
                continue
            try:
                self._feed()
            except store_lib.StoreUnavailableError as error:
                logging.warning("head not watched: %s", error)
                self._stop.wait(RETRY_S * random.uniform(0.5, 1.5))
            except (
                acceptance.HeadUnreadableError,
                store_lib.WatchExpiredError,
            ) as error:
                logging.error("head not watched: %s", error)
                self._stop.wait(RETRY_S * random.uniform(0.5, 1.5))

    def _feed(self) -> None:
        # The head may be older than what the store keeps for watches, so the
        # watch starts at the last write of the lease. That is read first: a
        # later change is either in the head or in the watch.
        version = self._lease.version
        head = acceptance.read_head(self._store)
        self._take(head)
        for stored in self._store.watch(
            acceptance.HEAD_KIND, max(version, head.version), WATCH_TIMEOUT_S
        ):
            if stored.name == acceptance.HEAD_NAME:
                self._take(acceptance.decode_head(stored))
            if not self._lease.held or self._stop.is_set():
                return

    def _take(self, head: acceptance.Head) -> None:
        before = self._replica.current
        if head.generation > before.generation:
            snapshot = acceptance.read_snapshot(self._store, head, before)
            injection.reach(injection.Point.CONFIGURATION_FETCHED)
            self._replica.adopt(snapshot)
        # The generation may have come from its acceptor first, or this node
        # may have accepted it; the region gets it from here all the same.
        self._pusher.push(
            fanout.FULL_RANGE,
            before.generation
            if before.generation < head.generation
            else max(0, head.generation - 1),
        )
