"""Requests that crash the backend servers that run them.

Answers a load of few requests that take down one server after another: the same
request comes again, at any node. A request that was being processed when a server
crashed is a suspect. After CRASH_LIMIT crashes without an answer in between, all
nodes refuse it. Nodes merge what they know in any order, and a restarted node
learns it from the others.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import hashlib
import itertools
import math
from typing import Any
from typing import Final
from typing import NewType

from lycheestair.sidecar import calls

# Identifies requests that are the same for a backend server.
Fingerprint = NewType("Fingerprint", bytes)
# Identifies a crash: the instance that crashed and a number.
CrashId = NewType("CrashId", str)
# Times at which a request began and was lost. They are those of `clock.read_s`.
Attempt = tuple[float, float]

# Crashes, one after the other, after which a request is refused. The first ones may
# have been caused by another request that was processed at the same time.
CRASH_LIMIT: Final = 3
# Attempts that overlap by less than this count as one after the other: their times
# were measured at different nodes.
MAX_TIME_DIFFERENCE_S: Final = 0.1
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
      crashes: The attempt that was lost in each crash.
      cleared: Crashes before the latest answer to the request.
    """

    crashes: dict[CrashId, Attempt]
    cleared: set[CrashId]

    @property
    def crashed_at(self) -> float:
        return max(lost_at for _, lost_at in self.crashes.values())

    @property
    def is_refused(self) -> bool:
        """Whether enough attempts were lost one after the other.

        Copies of a harmless request may be lost at the same time when several
        servers crash together.
        """
        count = 0
        previous_lost_at = -math.inf
        for began_at, lost_at in sorted(
            (
                attempt
                for crash, attempt in self.crashes.items()
                if crash not in self.cleared
            ),
            key=lambda attempt: attempt[1],
        ):
            if began_at >= previous_lost_at - MAX_TIME_DIFFERENCE_S:
                count += 1
                previous_lost_at = lost_at
        return count >= CRASH_LIMIT


class SuspectTable:
    """The suspects that a node knows; times are those of `clock.read_s`."""

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[Fingerprint]:
        return iter(self._suspects)

    def count_refused(self, now: float) -> int:
        """Returns the number of suspects that are refused."""
        return sum(
            self.read_refusal_s(fingerprint, now) > 0
            for fingerprint in self._suspects
        )

    def record_crash(
        self,
        crash: CrashId,
        lost: Mapping[Fingerprint, Attempt],
        now: float,
    ) -> None:
        """Records the requests that were being processed at a crash."""
        for fingerprint, attempt in lost.items():
            self._merge(fingerprint, {crash: attempt}, set())
        self._evict(now)

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Records an answer to a request; returns whether it was a suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.crashes.keys() <= suspect.cleared:
            return False
        suspect.cleared |= suspect.crashes.keys()
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
                [
                    [crash, now - began_at, now - lost_at]
                    for crash, (began_at, lost_at) in suspect.crashes.items()
                ],
                sorted(suspect.cleared),
            ]
            for fingerprint, suspect in self._suspects.items()
        ]

    def merge(self, fields: Any, now: float) -> bool:
        """Merges the suspects of another node; returns whether any is news.

        Raises:
          TypeError, ValueError: The fields are malformed.
        """
        decoded = [
            (
                Fingerprint(bytes(fingerprint)),
                {
                    CrashId(crash): (
                        now - float(began_age_s),
                        now - float(lost_age_s),
                    )
                    for crash, began_age_s, lost_age_s in crashes
                    if lost_age_s < RETENTION_S
                },
                set(cleared),
            )
            for fingerprint, crashes, cleared in fields
        ]
        changed = [
            self._merge(fingerprint, crashes, cleared)
            for fingerprint, crashes, cleared in decoded
            if crashes
        ]
        self._evict(now)
        return any(changed)

    def _merge(
        self,
        fingerprint: Fingerprint,
        crashes: dict[CrashId, Attempt],
        cleared: set[CrashId],
    ) -> bool:
        known = self._suspects.get(fingerprint)
        if known is None:
            self._suspects[fingerprint] = _Suspect(crashes, cleared)
            return True
        if crashes.keys() <= known.crashes.keys() and cleared <= known.cleared:
            return False
        known.crashes = crashes | known.crashes
        known.cleared |= cleared
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
        self._lost: dict[Fingerprint, Attempt] = {}
        self._crash_numbers = itertools.count(1)

    def __bool__(self) -> bool:
        return bool(self._lost)

    def add(self, fingerprint: Fingerprint, attempt: Attempt) -> None:
        """Adds a request without an answer."""
        self._lost.pop(fingerprint, None)
        self._lost[fingerprint] = attempt
        if len(self._lost) > MAX_SUSPECTS:
            del self._lost[next(iter(self._lost))]

    def record_answer(self, sent_at: float) -> None:
        """Drops the requests that were lost before an answered one was sent."""
        self._lost = {
            fingerprint: attempt
            for fingerprint, attempt in self._lost.items()
            if attempt[1] >= sent_at
        }

    def clear(self) -> None:
        """Drops all requests, because their server has left as planned."""
        self._lost = {}

    def take_crash(
        self, instance: str, started_ms: int
    ) -> tuple[CrashId, dict[Fingerprint, Attempt]]:
        """Returns the crash of an instance, and the requests it was processing."""
        lost = self._lost
        self._lost = {}
        number = next(self._crash_numbers)
        return CrashId(f"{instance}/{started_ms}/{number}"), lost
