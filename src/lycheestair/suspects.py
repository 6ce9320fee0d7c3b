"""Requests that were in flight when backend servers crashed.

All requests in flight at a crash become suspects. All nodes send a suspect to the
same backend server, where it runs alone, so that another crash can be attributed to
it. It is refused once it reaches the crash limit, provided that it was the only
request in flight at one of the crashes; a response while it runs alone clears it. A
suspect's crashes and cleared crashes are grow-only sets until it expires, so nodes can
merge suspects in any order.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import threading
import time
from typing import Final

from absl import logging

from lycheestair import calls
from lycheestair import settings as settings_lib

# Bounds memory use; suspects with the earliest last crash are evicted first.
MAX_SUSPECTS: Final = 2_000


class Verdict(enum.Enum):
    """How a request must be handled."""

    CLEAN = "clean"
    RUN_ALONE = "run_alone"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class Crash:
    """A crash of a backend server.

    Attributes:
      alone: Whether the request, or copies of it, was the only one in flight.
      at: Unix time in seconds.
    """

    id: str
    alone: bool
    at: float


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A request and the crashes during which it was in flight.

    Attributes:
      cleared: IDs of crashes that a later success or an operator cleared.
    """

    fingerprint: str
    method: str
    route: str
    crashes: frozenset[Crash]
    cleared: frozenset[str] = frozenset()

    @property
    def uncleared_crashes(self) -> list[Crash]:
        """Crashes that count against the request."""
        return [crash for crash in self.crashes if crash.id not in self.cleared]

    @property
    def last_crash_at(self) -> float:
        """Unix time in seconds of the latest crash."""
        return max(crash.at for crash in self.crashes)

    def merge(self, other: "Suspect") -> "Suspect":
        """Returns the union with another node's data on the same request."""
        return dataclasses.replace(
            self,
            crashes=self.crashes | other.crashes,
            cleared=self.cleared | other.cleared,
        )


@dataclasses.dataclass(frozen=True)
class SuspectSummary:
    """Summary of a suspect for operators.

    Attributes:
      refused: Whether further attempts are refused.
      expires_at: Unix time in seconds.
    """

    fingerprint: str
    method: str
    route: str
    crashes: int
    refused: bool
    expires_at: float


ChangeCallback = Callable[[Sequence[Suspect]], None]


class SuspectTable:
    """The suspects that a node knows.

    Attributes:
      active: Whether any suspect has uncleared crashes. Read without the
        lock, so that requests have no overhead while there are none.
      on_change: Called with the suspects that this node changed.
    """

    def __init__(self, settings: settings_lib.Settings):
        self.active = False
        self.on_change: ChangeCallback = lambda suspects: None
        self._node_id = settings.node.id
        self._crash_limit = settings.requests.suspect_crash_limit
        self._retention_s = settings.requests.suspect_retention_s
        self._lock = threading.Lock()
        self._suspects: dict[str, Suspect] = {}

    def classify(self, call: calls.Call) -> Verdict:
        """Returns how a call must be handled."""
        if not self.active:
            return Verdict.CLEAN
        suspect = self._suspects.get(call.fingerprint())
        return Verdict.CLEAN if suspect is None else self._classify(suspect)

    def _classify(self, suspect: Suspect) -> Verdict:
        crashes = suspect.uncleared_crashes
        if not crashes:
            return Verdict.CLEAN
        # Crashes with other requests in flight are not sufficient: a harmless
        # request that is sent often may be in flight at each crash that
        # another request causes.
        if len(crashes) >= self._crash_limit and any(c.alone for c in crashes):
            return Verdict.REFUSE
        return Verdict.RUN_ALONE

    def is_refused(self, suspect: Suspect) -> bool:
        """Returns whether further attempts of a suspect are refused."""
        return self._classify(suspect) is Verdict.REFUSE

    def record_crash(self, in_flight: Sequence[calls.Call]) -> None:
        """Marks the calls that were in flight at a crash as suspects."""
        now = time.time()
        # Copies of the same request tell the same.
        alone = len({call.fingerprint() for call in in_flight}) == 1
        crash = Crash(f"{self._node_id}/{time.time_ns()}", alone, now)
        suspects = {
            suspect.fingerprint: suspect
            for suspect in (
                Suspect(
                    call.fingerprint(),
                    call.request.method,
                    call.route,
                    frozenset({crash}),
                )
                for call in in_flight
            )
        }
        changed = self.merge(suspects.values())
        for suspect in changed:
            logging.warning(
                "suspect %s (%s on route %s): in flight at %d crashes,"
                " verdict %s",
                suspect.fingerprint,
                suspect.method,
                suspect.route,
                len(suspect.uncleared_crashes),
                self._classify(suspect).value,
            )
        self.on_change(changed)

    def record_success(self, call: calls.Call) -> None:
        """Clears the suspect of a call that was answered."""
        self.release(call.fingerprint())

    def release(self, fingerprint: str) -> bool:
        """Clears a suspect; returns False if it has no uncleared crashes."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.uncleared_crashes:
            return False
        cleared = frozenset(crash.id for crash in suspect.uncleared_crashes)
        self.on_change(
            self.merge([dataclasses.replace(suspect, cleared=cleared)])
        )
        return True

    def merge(self, suspects: Iterable[Suspect]) -> list[Suspect]:
        """Merges suspects into the table; returns those that changed."""
        changed = []
        cutoff = time.time() - self._retention_s
        with self._lock:
            for suspect in suspects:
                if suspect.last_crash_at < cutoff:
                    continue
                known = self._suspects.get(suspect.fingerprint)
                merged = known.merge(suspect) if known else suspect
                if merged != known:
                    self._suspects[suspect.fingerprint] = merged
                    changed.append(merged)
            self._evict_excess()
        return changed

    def expire(self) -> None:
        """Removes suspects whose retention time has passed."""
        cutoff = time.time() - self._retention_s
        with self._lock:
            expired = [
                fingerprint
                for fingerprint, suspect in self._suspects.items()
                if suspect.last_crash_at < cutoff
            ]
            for fingerprint in expired:
                del self._suspects[fingerprint]
            self._evict_excess()

    def _evict_excess(self) -> None:
        """Evicts suspects over the limit and updates `active`."""
        excess = len(self._suspects) - MAX_SUSPECTS
        if excess > 0:
            ordered = sorted(
                self._suspects.values(), key=lambda item: item.last_crash_at
            )
            for suspect in ordered[:excess]:
                del self._suspects[suspect.fingerprint]
        self.active = any(s.uncleared_crashes for s in self._suspects.values())

    def read_all(self) -> list[Suspect]:
        """Returns all suspects, including cleared ones."""
        with self._lock:
            return list(self._suspects.values())

    def list_entries(self) -> list[SuspectSummary]:
        """Returns the uncleared suspects for operators."""
        return [
            SuspectSummary(
                fingerprint=suspect.fingerprint,
                method=suspect.method,
                route=suspect.route,
                crashes=len(suspect.uncleared_crashes),
                refused=self.is_refused(suspect),
                expires_at=suspect.last_crash_at + self._retention_s,
            )
            for suspect in self.read_all()
            if suspect.uncleared_crashes
        ]
