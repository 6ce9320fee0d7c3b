"""Memory that the requests of clients may take together.

Answers clients that send much and finish nothing: bytes are charged before they are
read, and when they run short, the requests that have stalled give theirs back first.
Shared by both request paths; neither waits nor reads a clock.
"""

from collections.abc import Callable
import threading
from typing import Final

# Fraction of the budget that only requests up to SMALL_BYTES may use.
SMALL_RESERVE_RATIO: Final = 0.25
SMALL_BYTES: Final = 65_536
# A request that has received less than PROGRESS_BYTES within this time has stalled.
# Clients inside the limits send several times as much, also on slow links.
STALL_S: Final = 1.0
PROGRESS_BYTES: Final = 4_096
# Growing buffers are larger than their content by up to an eighth.
GROWTH_DIVISOR: Final = 8
# While all connections are taken and none has stalled, the slowest one that has sent
# less than SLOW_BYTES_PER_S for at least SLOW_S counts as stalled.
SLOW_BYTES_PER_S: Final = 65_536
SLOW_S: Final = 2.0


class MemoryShortError(Exception):
    """The request was not read because memory ran short; it has not run."""


class Charge:
    """Memory charged for one request.

    Attributes:
      charged: Charged bytes.
      is_shed: Whether the request must give its memory back.
      is_waiting: Whether the request waits for memory.
      received: Bytes that the client has sent.
    """

    __slots__ = (
        "_budget",
        "_on_shed",
        "_progress_bytes",
        "charged",
        "is_shed",
        "is_waiting",
        "progress_at",
        "received",
    )

    def __init__(self, budget: "RequestMemory", on_shed: Callable[[], None]):
        self._budget = budget
        self._on_shed = on_shed
        self._progress_bytes = 0
        self.charged = 0
        self.is_shed = False
        self.is_waiting = False
        self.received = 0
        # Time in seconds of the latest progress, 0 before the first charge.
        self.progress_at = 0.0

    def try_charge(self, count: int, now: float) -> bool:
        """Charges bytes that are about to be read, if there is room."""
        if not self._budget.take(count, self.charged + count):
            return False
        if not self.charged:
            self.progress_at = now
        self.charged += count
        self._budget.add(self)
        return True

    def record_progress(self, count: int, now: float) -> None:
        """Records bytes that the client has sent.

        Raises:
          MemoryShortError: The request must give its memory back.
        """
        if self.is_shed:
            raise MemoryShortError
        self.received += count
        self._progress_bytes += count
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            self.progress_at = now

    def finish_reading(self) -> None:
        """Exempts the request, which has been read whole, from shedding."""
        if self.charged:
            self._budget.discard(self)

    def shed(self) -> None:
        """Asks the reader of the request to give its memory back."""
        self.is_shed = True
        self._budget.discard(self)
        self._on_shed()

    def release(self) -> None:
        """Gives all memory back."""
        if self.charged:
            self._budget.give_back(self.charged)
            self._budget.discard(self)
            self.charged = 0


class RequestMemory:
    """Budget for what clients have sent and the process holds; thread-safe.

    Attributes:
      limit: Bytes that may be charged together.
      used: Charged bytes.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0
        self._reading: set[Charge] = set()
        self._lock = threading.Lock()
        self._large_limit = int(limit * (1 - SMALL_RESERVE_RATIO))

    def open_charge(self, on_shed: Callable[[], None]) -> Charge:
        """Returns a charge of 0 bytes for one request.

        Args:
          on_shed: Called when the request must give its memory back.
        """
        return Charge(self, on_shed)

    def take(self, count: int, request_bytes: int) -> bool:
        """Takes bytes for a request, or a connection, of a size, if there is room."""
        limit = (
            self.limit if request_bytes <= SMALL_BYTES else self._large_limit
        )
        with self._lock:
            if self.used + count > limit:
                return False
            self.used += count
            return True

    def give_back(self, count: int) -> None:
        """Makes bytes available again."""
        with self._lock:
            self.used -= count

    def add(self, charge: Charge) -> None:
        """Counts a request among those that are being read."""
        with self._lock:
            self._reading.add(charge)

    def discard(self, charge: Charge) -> None:
        """Exempts a request from shedding."""
        with self._lock:
            self._reading.discard(charge)

    def shed_stalled(self, now: float) -> bool:
        """Sheds the request with the least progress for its size and age.

        Returns:
          Whether a request had stalled.
        """
        with self._lock:
            stalled = max(
                (
                    charge
                    for charge in self._reading
                    if not charge.is_waiting
                    and now - charge.progress_at > STALL_S
                ),
                key=lambda charge: charge.charged * (now - charge.progress_at),
                default=None,
            )
        if stalled is None:
            return False
        stalled.shed()
        return True
