"""Requests that crash the backend servers that run them.

Answers a load of few requests that take down one server after another: the same
request comes again, at any node. A request that was being processed when a server
crashed is a suspect. After CRASH_LIMIT crashes without an answer in between, all
nodes refuse it. Nodes merge what they know in any order, and a restarted node
learns it from the others.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
import itertools
from typing import Any
from typing import Final
from typing import NewType

from lycheestair.sidecar import calls

# Identifies requests that are the same for a backend server.
Fingerprint = NewType("Fingerprint", bytes)
# Identifies a crash: the instance that crashed and a number.
CrashId = NewType("CrashId", str)

# Crashes after which a request is refused. The first ones may have been caused by
# another request that was processed at the same time.
CRASH_LIMIT: Final = 3
# A refused request is tried again after this long, when the servers may have been
# repaired.
RETENTION_S: Final = 600.0
# The suspects with the latest crashes are kept.
MAX_SUSPECTS: Final = 256
FINGERPRINT_BYTES: Final = 12


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A request and the crashes during which it was being processed.

    Attributes:
      cleared: Crashes before the latest answer to the request.
      crashed_at: Time of the latest crash.
    """

    crashes: set[CrashId]
    cleared: set[CrashId]
    crashed_at: float

    @property
    def is_refused(self) -> bool:
        return len(self.crashes - self.cleared) >= CRASH_LIMIT


class SuspectTable:
    """The suspects that a node knows; times are those of `clock.read_s`."""

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}

    def __bool__(self) -> bool:
        return bool(self._suspects)

    def record_crash(
        self, crash: CrashId, fingerprints: Iterable[Fingerprint], now: float
    ) -> None:
        """Records the requests that were being processed at a crash."""
        for fingerprint in fingerprints:
            self._merge(fingerprint, {crash}, set(), now)
        self._evict(now)

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Records an answer to a request; returns whether it was a suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.crashes <= suspect.cleared:
            return False
        suspect.cleared |= suspect.crashes
        return True

    def read_refusal_s(self, fingerprint: Fingerprint, now: float) -> float:
        """Returns for how many seconds a request is refused, 0 if it isn't."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_refused:
            return 0.0
        return max(0.0, suspect.crashed_at + RETENTION_S - now)

    def encode(self, now: float) -> list[list[Any]]:
        """Returns the suspects as plain values, with ages in seconds."""
        return [
            [
                fingerprint,
                sorted(suspect.crashes),
                sorted(suspect.cleared),
                now - suspect.crashed_at,
            ]
            for fingerprint, suspect in self._suspects.items()
        ]

    def merge(self, fields: Any, now: float) -> bool:
        """Merges the suspects of another node; returns whether any is news.

        Raises:
          TypeError, ValueError: The fields are malformed.
        """
        decoded = [
            (Fingerprint(bytes(fingerprint)), set(crashes), set(cleared), age_s)
            for fingerprint, crashes, cleared, age_s in fields
        ]
        changed = [
            self._merge(fingerprint, crashes, cleared, now - max(0.0, age_s))
            for fingerprint, crashes, cleared, age_s in decoded
            if age_s < RETENTION_S
        ]
        self._evict(now)
        return any(changed)

    def _merge(
        self,
        fingerprint: Fingerprint,
        crashes: set[CrashId],
        cleared: set[CrashId],
        crashed_at: float,
    ) -> bool:
        known = self._suspects.get(fingerprint)
        if known is None:
            self._suspects[fingerprint] = _Suspect(crashes, cleared, crashed_at)
            return True
        if crashes <= known.crashes and cleared <= known.cleared:
            return False
        known.crashes |= crashes
        known.cleared |= cleared
        known.crashed_at = max(known.crashed_at, crashed_at)
        return True

    def _evict(self, now: float) -> None:
        latest = sorted(
            (
                item
                for item in self._suspects.items()
                if now - item[1].crashed_at < RETENTION_S
            ),
            key=lambda item: -item[1].crashed_at,
        )
        self._suspects = dict(itertools.islice(latest, MAX_SUSPECTS))


def compute_fingerprint(call: calls.Call) -> Fingerprint:
    """Returns what all attempts of the same request have in common."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (call.method, call.target, call.caller.encode(), call.body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return Fingerprint(digest.digest())


class LossTracker:
    """Requests that a backend server was processing when it fell silent.

    A lost connection is no crash: servers also reset connections when they are
    full. The requests become suspects if the server doesn't accept connections
    afterwards, or has started anew; an answer to a later request clears them.
    """

    def __init__(self) -> None:
        self._lost: list[tuple[float, Fingerprint]] = []
        self._crash_numbers = itertools.count(1)

    def __bool__(self) -> bool:
        return bool(self._lost)

    def add(self, fingerprint: Fingerprint, now: float) -> None:
        """Adds a request without an answer."""
        self._lost.append((now, fingerprint))
        del self._lost[:-MAX_SUSPECTS]

    def record_answer(self, sent_at: float) -> None:
        """Drops the requests that were lost before an answered one was sent."""
        self._lost = [entry for entry in self._lost if entry[0] >= sent_at]

    def clear(self) -> None:
        """Drops all requests, because their server has left as planned."""
        self._lost = []

    def take_crash(
        self, instance: str, started_ms: int
    ) -> tuple[CrashId, list[Fingerprint]]:
        """Returns the crash of an instance, and the requests it was processing."""
        lost = [fingerprint for _, fingerprint in self._lost]
        self._lost = []
        number = next(self._crash_numbers)
        return CrashId(f"{instance}/{started_ms}/{number}"), lost
