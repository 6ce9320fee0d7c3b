"""Interface for claiming idempotency keys on the request path."""

import dataclasses
import time
from typing import Protocol

from lycheestair import errors
from lycheestair import ids


def read_clock() -> float:
    """Returns monotonic time in seconds, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(frozen=True)
class RecordedResponse:
    """Complete HTTP response of a backend server.

    Attributes:
      headers: End-to-end headers, in order.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Grant:
    """Permission to execute the request of a key once.

    Attributes:
      claim_id: Unique id of this claim.
      epoch: Epoch of the shard in which the voters granted the claim.
      valid_until: `read_clock` time from which the request must not be sent.
      fingerprint: Hash of the request.
    """

    key: ids.IdempotencyKey
    claim_id: str
    shard: ids.ShardIndex
    epoch: int
    valid_until: float
    fingerprint: str = ""

    @property
    def valid(self) -> bool:
        """Whether the request may still be sent; check just before sending."""
        return read_clock() < self.valid_until


@dataclasses.dataclass(frozen=True)
class Replay:
    """Recorded response of a request that has already been executed."""

    answer: RecordedResponse


ClaimResult = Grant | Replay | errors.Failure


class KeyClaims(Protocol):
    """Claims idempotency keys at the voters of their shards."""

    def claim(
        self, key: ids.IdempotencyKey, fingerprint: str, timeout_s: float
    ) -> ClaimResult:
        """Claims a key.

        Args:
          key: Idempotency key sent by the client.
          fingerprint: Hash of method, route, request target and body. Reusing
            a key with a different fingerprint fails with KEY_REUSED.
          timeout_s: Time left for the claim and the request. While another
            request with the same key is running, the claim waits for it.
        """

    def complete(self, grant: Grant, answer: RecordedResponse | None) -> None:
        """Records the outcome of a request that may have been executed.

        Never raises.

        Args:
          grant: Grant under which the request was sent.
          answer: Response to the request, None if it is unknown whether the
            request was executed.
        """

    def release(self, grant: Grant) -> None:
        """Releases the key of a request that was certainly not executed.

        Never raises.
        """
