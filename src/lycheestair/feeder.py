"""Feeder: one node per region that watches the store and pushes changes."""

import random
import threading
from typing import Final

from absl import logging

from lycheestair import acceptance
from lycheestair import fanout
from lycheestair import injection
from lycheestair import lease_candidates
from lycheestair import leases
from lycheestair import membership as membership_lib
from lycheestair import pusher as pusher_lib
from lycheestair import replica as replica_lib
from lycheestair import settings as settings_lib
from lycheestair import store as store_lib

WATCH_TIMEOUT_S: Final = 10.0
RETRY_DELAY_S: Final = 0.5
LEASE_POLL_S: Final = 0.2


class Feeder:
    """Competes for the feeder lease of the region and feeds while it holds it.

    The holder watches the configuration head in the store and pushes each new
    generation to the members of the region.
    """

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
                target=leases.maintain_lease,
                args=(
                    self._lease,
                    settings.store.lease_ms / 1000,
                    self._stop,
                    lambda: lease_candidates.is_lease_candidate(membership),
                ),
                name="feeder-lease",
                daemon=True,
            ),
            threading.Thread(target=self._run, name="feeder", daemon=True),
        ]

    @property
    def holds_lease(self) -> bool:
        """Whether this node is the feeder of its region."""
        return self._lease.held

    def start(self) -> None:
        """Starts competing for the lease."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops feeding and releases the lease."""
        self._stop.set()
        try:
            self._lease.release()
        except store_lib.StoreUnavailableError as error:
            logging.warning("cannot release feeder lease: %s", error)

    def _run(self) -> None:
        while not self._stop.is_set():
            if not self._lease.held:
                self._stop.wait(LEASE_POLL_S)
                continue
            try:
                self._watch_head()
            except store_lib.StoreUnavailableError as error:
                logging.warning("cannot watch configuration head: %s", error)
                self._stop.wait(RETRY_DELAY_S * random.uniform(0.5, 1.5))
            except (
                acceptance.StoredConfigurationError,
                store_lib.WatchExpiredError,
            ) as error:
                logging.error("cannot watch configuration head: %s", error)
                self._stop.wait(RETRY_DELAY_S * random.uniform(0.5, 1.5))

    def _watch_head(self) -> None:
        # The store may have dropped the watch events since the version of the
        # head, so the watch starts at the last lease write. That write's version
        # is read before the head so that any later change is either in the head
        # or in the watch.
        lease_version = self._lease.version
        head = acceptance.read_head(self._store)
        self._activate_and_push(head)
        for stored in self._store.watch(
            acceptance.HEAD_KIND,
            max(lease_version, head.version),
            WATCH_TIMEOUT_S,
        ):
            if stored.name == acceptance.HEAD_NAME:
                self._activate_and_push(acceptance.decode_head(stored))
            if not self._lease.held or self._stop.is_set():
                return

    def _activate_and_push(self, head: acceptance.Head) -> None:
        previous = self._replica.current
        if head.generation > previous.generation:
            snapshot = acceptance.read_snapshot(self._store, head, previous)
            injection.reach(injection.Point.CONFIGURATION_FETCHED)
            self._replica.activate(snapshot)
        # The push is also needed if the generation is already active: it may
        # have been offered by the accepting node or accepted by this one.
        self._pusher.push(
            fanout.FULL_RANGE,
            previous.generation
            if previous.generation < head.generation
            else max(0, head.generation - 1),
        )
