"""Configuration replica: activates generations and encodes deltas."""

import collections
import enum
import threading
import time
from typing import Final
import zlib

from absl import logging

from lycheestair import configuration as configuration_lib
from lycheestair import injection
from lycheestair import snapshot as snapshot_lib

# Number of recent generations from which a peer can be updated by a delta.
MAX_HISTORY_SNAPSHOTS: Final = 64
MAX_CACHED_DELTAS: Final = 8
MAX_ACTIVATIONS: Final = 256


class Outcome(enum.Enum):
    """Result of applying a delta or activating a snapshot."""

    ACTIVATED = "activated"
    STALE = "stale"
    # The base generation of the delta is not available, or the delta does not
    # match it.
    GAP = "gap"
    # The delta cannot be decoded, or the new generation cannot be activated.
    REFUSED = "refused"


class Replica:
    """Active snapshot and recent snapshots of a node."""

    def __init__(self, configuration: configuration_lib.ActiveConfiguration):
        self._configuration = configuration
        self._lock = threading.RLock()
        self._history: collections.OrderedDict[int, snapshot_lib.Snapshot] = (
            collections.OrderedDict()
        )
        self._encoded_deltas: collections.OrderedDict[
            tuple[int, int], bytes
        ] = collections.OrderedDict()
        self._refused_digest = ""
        self._refused_generation = 0
        self._activations: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=MAX_ACTIVATIONS)
        )

    def should_fetch(self, generation: int) -> bool:
        """Returns whether a generation is newer and was not refused locally."""
        return (
            generation > self.current.generation
            and generation != self._refused_generation
        )

    @property
    def current(self) -> snapshot_lib.Snapshot:
        """The active snapshot."""
        return self._configuration.current

    def activate(self, snapshot: snapshot_lib.Snapshot) -> Outcome:
        """Activates a snapshot if it is newer than the active one."""
        with self._lock:
            previous = self.current
            try:
                if not self._configuration.activate(snapshot):
                    return Outcome.STALE
            # Listeners build routing tables and may raise any exception. The
            # node then keeps the active generation.
            except Exception as error:  # noqa: BLE001
                if self._refused_digest != snapshot.digest:
                    logging.error(
                        "cannot activate generation %d: %s",
                        snapshot.generation,
                        error,
                    )
                self._refused_digest = snapshot.digest
                self._refused_generation = snapshot.generation
                return Outcome.REFUSED
            self._activations.append((snapshot.generation, time.time()))
            for stored in (previous, snapshot):
                self._history[stored.generation] = stored
            while len(self._history) > MAX_HISTORY_SNAPSHOTS:
                self._history.popitem(last=False)
        injection.reach(injection.Point.CONFIGURATION_ACTIVATED)
        return Outcome.ACTIVATED

    def cache_encoded(self, delta: snapshot_lib.Delta, data: bytes) -> None:
        """Caches a received delta to forward it without re-encoding."""
        self._cache(delta.from_generation, delta.to_generation, data)

    def _cache(self, base: int, generation: int, data: bytes) -> None:
        with self._lock:
            self._encoded_deltas[base, generation] = data
            while len(self._encoded_deltas) > MAX_CACHED_DELTAS:
                self._encoded_deltas.popitem(last=False)

    def apply(self, delta: snapshot_lib.Delta) -> Outcome:
        """Applies a delta if its base generation is available."""
        if delta.to_generation <= self.current.generation:
            return Outcome.STALE
        if delta.digest == self._refused_digest:
            return Outcome.REFUSED
        base = self._find_snapshot(delta.from_generation)
        if base is None:
            return Outcome.GAP
        try:
            return self.activate(snapshot_lib.apply_delta(base, delta))
        except snapshot_lib.DeltaMismatchError as error:
            logging.warning("cannot apply delta: %s", error)
            return Outcome.GAP

    def read_activations(self) -> list[tuple[int, float]]:
        """Returns the latest activated generations with their Unix times."""
        with self._lock:
            return list(self._activations)

    def has_base(self, generation: int, digest: str) -> bool:
        """Returns whether a delta can update a peer at this generation."""
        base = self._find_snapshot(generation)
        return base is not None and base.digest == digest

    def choose_base(self, generation: int) -> int:
        """Returns the base generation for a delta.

        This is the given generation if it is in the history and older than the
        active one, else the newest older generation in the history, else 0.
        """
        with self._lock:
            older = [g for g in self._history if g < self.current.generation]
        return generation if generation in older else max(older, default=0)

    def encode_since(self, generation: int) -> bytes:
        """Returns the compressed delta from a generation to the active one.

        If the generation is not available, the delta starts from the empty
        configuration.
        """
        current = self.current
        base = self._find_snapshot(generation) or snapshot_lib.EMPTY
        key = (base.generation, current.generation)
        with self._lock:
            cached = self._encoded_deltas.get(key)
        if cached is not None:
            return cached
        delta = snapshot_lib.compute_delta(base, current)
        data = zlib.compress(snapshot_lib.encode_delta(delta))
        self._cache(*key, data)
        return data

    def _find_snapshot(self, generation: int) -> snapshot_lib.Snapshot | None:
        if generation == 0:
            return snapshot_lib.EMPTY
        current = self.current
        if generation == current.generation:
            return current
        with self._lock:
            return self._history.get(generation)


def decode_delta(data: bytes) -> snapshot_lib.Delta | None:
    """Decodes the result of `encode_since`; returns None if it is invalid."""
    try:
        return snapshot_lib.decode_delta(zlib.decompress(data))
    except (zlib.error, snapshot_lib.InvalidSnapshotError) as error:
        logging.error("ignoring invalid delta: %s", error)
        return None
