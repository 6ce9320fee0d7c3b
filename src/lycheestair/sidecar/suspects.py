"""Requests that crash the backend servers that run them.

Answers a load of few requests that take down one server after another: the same
request comes again, at any node and at many nodes at once. A request that was being
processed when a server crashed is a suspect. Harmless requests were lost beside it,
and crashes that come together tell nothing of which request caused them. Therefore a
request under which CRASH_LIMIT servers have crashed is only run as a trial, one at a
time (`trials`). An answer clears it; if the server crashes again, all nodes refuse the
request for some time. A request that crashes servers only now and then is run as a
trial again after its next crash, and earlier failed trials count. Nodes merge what they
know in any order, and a restarted node learns it from the others or from the store
(`suspect_records`).
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import hashlib
import itertools
from typing import Any
from typing import Final
from typing import NewType

from lycheestair.sidecar import calls

# Identifies requests that are the same for a backend server.
Fingerprint = NewType("Fingerprint", bytes)
# Identifies a crash: the instance that crashed and a number. TRIAL_PREFIX marks
# crashes in trials, in a form that nodes of earlier releases pass on.
CrashId = NewType("CrashId", str)
TRIAL_PREFIX: Final = "trial:"

# Crashes after which a request is only run as a trial.
CRASH_LIMIT: Final = 3
# A request is refused for this long after its first failed trial and after each
# further one; the servers may have been repaired, or another request may have
# crashed the server of the trial.
TRIAL_DELAYS_S: Final = (120.0, 600.0)
# Suspects without a further crash are forgotten after this long.
RETENTION_S: Final = 900.0
# Those with the most crashes are kept, and the latest among them.
MAX_SUSPECTS: Final = 256
FINGERPRINT_BYTES: Final = 12


class Verdict(enum.Enum):
    """How a request must be handled."""

    CLEAN = "clean"
    TRIAL = "trial"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True)
class _Suspect:
    """A request and the crashes during which it was being processed.

    Attributes:
      crashes: Times of the crashes.
      cleared: Crashes before the latest answer to the request.
    """

    crashes: dict[CrashId, float]
    cleared: set[CrashId]

    @property
    def crashed_at(self) -> float:
        return max(self.crashes.values())

    @property
    def uncleared(self) -> set[CrashId]:
        """Crashes that count against the request."""
        return self.crashes.keys() - self.cleared

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is run only as a trial, or refused."""
        limit = 1 if len(self.cleared) >= CRASH_LIMIT else CRASH_LIMIT
        return len(self.uncleared) >= limit

    @property
    def refused_until(self) -> float:
        """Time until which the request is refused after failed trials."""
        failed_trials = [
            crash for crash in self.crashes if crash.startswith(TRIAL_PREFIX)
        ]
        uncleared_times = [
            self.crashes[crash]
            for crash in failed_trials
            if crash not in self.cleared
        ]
        if not uncleared_times:
            return 0.0
        number = min(len(failed_trials), len(TRIAL_DELAYS_S))
        return max(uncleared_times) + TRIAL_DELAYS_S[number - 1]


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
            self.classify(fingerprint, now) is Verdict.REFUSE
            for fingerprint in self._suspects
        )

    def record_crash(
        self,
        crash: CrashId,
        lost: Mapping[Fingerprint, float],
        trial: Fingerprint | None,
        now: float,
    ) -> None:
        """Records the requests that were being processed at a crash.

        Args:
          crash: Id of the crash.
          lost: Times at which they were lost.
          trial: The request among them that was run as a trial.
          now: Current time.
        """
        for fingerprint, lost_at in lost.items():
            crash_id = (
                CrashId(TRIAL_PREFIX + crash) if fingerprint == trial else crash
            )
            self._merge(fingerprint, {crash_id: lost_at}, set())
        self._evict(now)

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Records an answer to a request; returns whether it was a suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.uncleared:
            return False
        suspect.cleared |= suspect.crashes.keys()
        return True

    def classify(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """Returns how a request must be handled."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_quarantined:
            return Verdict.CLEAN
        if now < suspect.refused_until:
            return Verdict.REFUSE
        return Verdict.TRIAL

    def read_refusal_s(self, fingerprint: Fingerprint, now: float) -> float:
        """Returns for how many seconds a request is refused, 0 if it isn't."""
        if self.classify(fingerprint, now) is not Verdict.REFUSE:
            return 0.0
        return self._suspects[fingerprint].refused_until - now

    def encode(
        self, now: float, only_quarantined: bool = False
    ) -> list[list[Any]]:
        """Returns the suspects as plain values, with ages in seconds.

        Nodes of earlier releases expect two ages of each crash.
        """
        return [
            [
                fingerprint,
                [
                    [crash, now - lost_at, now - lost_at]
                    for crash, lost_at in suspect.crashes.items()
                ],
                sorted(suspect.cleared),
            ]
            for fingerprint, suspect in self._suspects.items()
            if suspect.is_quarantined or not only_quarantined
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
                    CrashId(str(crash)): now - max(0.0, float(lost_age_s))
                    for crash, _, lost_age_s in crashes
                    if lost_age_s < RETENTION_S
                },
                {CrashId(str(crash)) for crash in cleared},
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
        crashes: dict[CrashId, float],
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
        kept = sorted(
            (
                item
                for item in self._suspects.items()
                if now - item[1].crashed_at < RETENTION_S
            ),
            key=lambda item: (
                not item[1].is_quarantined,
                -min(CRASH_LIMIT, len(item[1].uncleared)),
                -item[1].crashed_at,
            ),
        )
        self._suspects = dict(itertools.islice(kept, MAX_SUSPECTS))


def compute_fingerprint(call: calls.Call) -> Fingerprint:
    """Returns what all attempts of the same request have in common."""
    if not call.fingerprint:
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (call.method, call.target, call.caller.encode(), call.body):
            digest.update(len(part).to_bytes(4, "big") + part)
        call.fingerprint = digest.digest()
    return Fingerprint(call.fingerprint)


class LossTracker:
    """Requests that a backend server was processing when it fell silent.

    A lost connection is no crash: servers also reset connections when they are
    full. The requests become suspects if the server doesn't accept connections
    afterwards, or has started anew; an answer to a later request clears them.
    """

    def __init__(self) -> None:
        self._lost: dict[Fingerprint, float] = {}
        self._crash_numbers = itertools.count(1)

    def __bool__(self) -> bool:
        return bool(self._lost)

    def add(self, fingerprint: Fingerprint, lost_at: float) -> None:
        """Adds a request without an answer.

        Args:
          fingerprint: Identifies the request.
          lost_at: Latest time at which the server may have been processing it.
        """
        self._lost.pop(fingerprint, None)
        self._lost[fingerprint] = lost_at
        if len(self._lost) > MAX_SUSPECTS:
            del self._lost[next(iter(self._lost))]

    def record_answer(self, sent_at: float) -> None:
        """Drops the requests that were lost before an answered one was sent."""
        self._lost = {
            fingerprint: lost_at
            for fingerprint, lost_at in self._lost.items()
            if lost_at >= sent_at
        }

    def clear(self) -> None:
        """Drops all requests, because their server has left as planned."""
        self._lost = {}

    def take_crash(
        self, instance: str, started_ms: int
    ) -> tuple[CrashId, dict[Fingerprint, float]]:
        """Returns the crash of an instance, and the requests it was processing."""
        lost = self._lost
        self._lost = {}
        number = next(self._crash_numbers)
        return CrashId(f"{instance}/{started_ms}/{number}"), lost
