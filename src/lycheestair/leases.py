"""Time-limited exclusive leases in the store."""

from collections.abc import Callable
import dataclasses
import math
import random
import threading
import time
from typing import Any
from typing import Final

from absl import logging

from lycheestair import ids
from lycheestair import injection
from lycheestair import settings as settings_lib
from lycheestair import store as store_lib

LEASE_KIND: Final = "leases"
# Renewal attempts per lease duration; two may fail before the lease expires.
RENEWALS_PER_LEASE: Final = 3


@dataclasses.dataclass(frozen=True)
class _Observation:
    """Last read version of a lease that another node holds.

    Attributes:
      version: Resource version of the store object.
      first_seen_at: Local monotonic time at which this version was first read.
    """

    version: int
    first_seen_at: float


class Lease:
    """A named lease, held by at most one node that renews it periodically.

    Another node's lease counts as expired once the stored object has not
    changed for the lease duration on the local monotonic clock, so clocks need
    not be synchronized. A holder that was paused may briefly assume that it
    still holds the lease. Writes that depend on the lease are therefore
    conditional and fail in that case.
    """

    def __init__(
        self,
        name: str,
        node_id: ids.NodeId,
        store: store_lib.Store,
        settings: settings_lib.StoreSettings,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._name = name
        self._node_id = node_id
        self._store = store
        self._lease_s = settings.lease_ms / 1000
        self._clock = clock
        self._observation: _Observation | None = None
        self._held_until = 0.0
        self._version = 0

    @property
    def version(self) -> int:
        """Resource version of this node's last write of the lease, or 0."""
        return self._version

    @property
    def held(self) -> bool:
        """Whether this node holds the lease and it has not expired."""
        return self._clock() < self._held_until

    def acquire_or_renew(self) -> None:
        """Renews the lease if held, or acquires it if it is free or expired.

        If another node holds it, records when that node's last renewal was
        first seen. Makes one or two store calls.

        Raises:
          StoreUnavailableError: The store did not respond.
        """
        requested_at = self._clock()
        stored = self._store.get(LEASE_KIND, self._name)
        if stored is not None and not self._can_acquire(stored):
            return
        outcome = self._store.put(
            LEASE_KIND,
            self._name,
            {"holder": self._node_id, "lease_s": self._lease_s},
            stored.version if stored else 0,
        )
        if not isinstance(outcome, store_lib.Written):
            return
        was_held = self.held
        self._version = outcome.version
        self._held_until = requested_at + self._lease_s
        injection.reach(
            injection.Point.LEASE_RENEWED
            if was_held
            else injection.Point.LEASE_TAKEN
        )

    def release(self) -> None:
        """Releases the lease so that another node can acquire it at once.

        Raises:
          StoreUnavailableError: The store did not respond.
        """
        if not self.held:
            return
        self._held_until = 0.0
        stored = self._store.get(LEASE_KIND, self._name)
        if stored is not None and _read_holder(stored.value) == self._node_id:
            self._store.put(
                LEASE_KIND,
                self._name,
                {"holder": "", "lease_s": 0.0},
                stored.version,
            )

    def _can_acquire(self, stored: store_lib.StoredObject) -> bool:
        if _read_holder(stored.value) in (self._node_id, ""):
            return True
        now = self._clock()
        if (
            self._observation is None
            or self._observation.version != stored.version
        ):
            self._observation = _Observation(stored.version, now)
            return False
        return now - self._observation.first_seen_at > _read_duration_s(
            stored.value, self._lease_s
        )


def _read_holder(value: Any) -> ids.NodeId | None:
    """Returns the holder of a stored lease, empty if it was released.

    Returns:
      None if the lease is malformed. An unknown node may then hold it.
    """
    holder = value.get("holder") if isinstance(value, dict) else None
    return ids.NodeId(holder) if isinstance(holder, str) else None


def _read_duration_s(value: Any, default_s: float) -> float:
    """Returns the duration of a stored lease in seconds.

    A malformed lease gets a default duration: it must not expire at once, and
    it must not be held forever.
    """
    if _read_holder(value) is None:
        return default_s
    duration_s = value.get("lease_s")
    if (
        isinstance(duration_s, bool)
        or not isinstance(duration_s, int | float)
        or not math.isfinite(duration_s)
        or duration_s < 0
    ):
        return default_s
    return duration_s


def maintain_lease(
    lease: Lease,
    lease_s: float,
    stop: threading.Event,
    may_acquire: Callable[[], bool] = lambda: True,
) -> None:
    """Keeps renewing a lease, or trying to acquire it, until stopped.

    Args:
      lease: Lease to hold.
      lease_s: Lease duration in seconds.
      stop: Event that ends the loop.
      may_acquire: Returns whether to try to acquire the lease while it is not
        held.
    """
    period_s = lease_s / RENEWALS_PER_LEASE
    was_held = False
    while not stop.is_set():
        try:
            if lease.held or may_acquire():
                lease.acquire_or_renew()
        except store_lib.StoreUnavailableError as error:
            logging.warning("failed to acquire or renew lease: %s", error)
        if was_held and not lease.held:
            injection.reach(injection.Point.LEASE_LOST)
        was_held = lease.held
        # Jitter keeps the candidates from calling the store all at once when a
        # lease expires.
        jitter = 1.0 if lease.held else random.uniform(1.0, 2.0)
        stop.wait(period_s * jitter)
