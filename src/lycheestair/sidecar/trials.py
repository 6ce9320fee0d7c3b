"""Trials of requests that may crash backend servers, one at a time.

Answers copies of the same request that come at many nodes at once: all nodes send a
request under trial to the same backend server, and its node runs one trial at a time.
A crash then has one cause, and no second server is lost to the same request. Nodes of
other cells learn of a server's end later than those of its own cell. Therefore all
candidates of one region rank first, and a node runs no trial if it knows a better one.
"""

from collections.abc import Iterable
import hashlib
from typing import Final

from lycheestair.sidecar import members
from lycheestair.sidecar import suspects

# A trial without an outcome ends after this time: its server fell silent.
MAX_TRIAL_S: Final = 10.0
# Retry-After of a request that is refused because of a trial in progress.
RETRY_AFTER_S: Final = 0.5
HASH_BYTES: Final = 8


def select_tester(
    fingerprint: suspects.Fingerprint, candidates: Iterable[members.Member]
) -> members.Member | None:
    """Returns the member that all nodes select for the trials of a request."""

    def compute_rank(member: members.Member) -> tuple[bytes, bytes]:
        record = member.record
        return _hash(fingerprint, record.region), _hash(
            fingerprint, record.node_id
        )

    return min(candidates, key=compute_rank, default=None)


def _hash(fingerprint: suspects.Fingerprint, name: str) -> bytes:
    return hashlib.blake2b(
        fingerprint + name.encode(), digest_size=HASH_BYTES
    ).digest()


class TrialSlot:
    """The trial that a backend server is running; times are `clock.read_s`."""

    def __init__(self) -> None:
        self._running: suspects.Fingerprint | None = None
        self._began_at = 0.0
        self._is_lost = False

    def find_running(self, now: float) -> suspects.Fingerprint | None:
        """Returns the request under trial, None if there is none."""
        if now - self._began_at >= MAX_TRIAL_S:
            self._running = None
        return self._running

    def begin(self, fingerprint: suspects.Fingerprint, now: float) -> bool:
        """Begins a trial; returns False if another one is in progress."""
        if self.find_running(now) is not None:
            return False
        self._running = fingerprint
        self._began_at = now
        self._is_lost = False
        return True

    def mark_lost(self) -> None:
        """Tells that the trial got no answer; its server may have crashed."""
        self._is_lost = True

    def find_lost(self, now: float) -> suspects.Fingerprint | None:
        """Returns the request under trial if it got no answer, else None."""
        return self.find_running(now) if self._is_lost else None

    def end_if_lost(self) -> None:
        """Ends a trial that was lost although its server has not crashed."""
        if self._is_lost:
            self.end()

    def end(self) -> None:
        """Ends the trial in progress, if any."""
        self._running = None
        self._is_lost = False
