"""Slots of the own backend server and the queue in front of them."""

import asyncio
import bisect
import dataclasses
import itertools
from typing import Final

from lycheestair import errors
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock

# Service time assumed until requests have been measured.
INITIAL_SERVICE_S: Final = 0.15
# Weight of the latest request in the moving average of the service time.
SERVICE_WEIGHT: Final = 0.1
# Part of the time left that a request may wait once it can't meet its
# objective: an answer is worth less then, but more than a refusal.
LATE_WAIT_SHARE: Final = 0.3
# A request that could just meet its objective may wait this long at least, so
# that small variations of the load don't refuse it.
MIN_WAIT_S: Final = 0.03
MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 1.0


@dataclasses.dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    late: bool
    number: int
    latest_start: float = dataclasses.field(compare=False)
    outcome: asyncio.Future[calls.Refusal | None] = dataclasses.field(
        compare=False
    )


class Admission:
    """Admits calls to the slots by priority, then by arrival.

    A call that can't meet its objective any more goes behind those of its
    priority that can: under overload a short queue serves some in time, a
    long one none.

    Attributes:
      slots: Requests that the backend server runs at the same time.
    """

    def __init__(self) -> None:
        self.slots = 0
        self._running = 0
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()
        self._service_s = INITIAL_SERVICE_S
        self._starts: dict[int, float] = {}

    @property
    def running(self) -> int:
        """Calls that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Calls in the queue."""
        return len(self._waiters)

    @property
    def service_s(self) -> float:
        """Time that a call holds its slot.

        Calls that run for longer than usual count before they end, so that a
        backend server that turns slow is noticed at once.
        """
        if not self._starts:
            return self._service_s
        now = clock.read_s()
        ages = sum(now - start for start in self._starts.values())
        return max(self._service_s, ages / len(self._starts))

    def read_load(self) -> list[int]:
        """Returns calls running and waiting, and the service time in ms."""
        return [self._running, self.waiting, int(self.service_s * 1000)]

    def predict_wait_s(self, priority: int, late: bool = False) -> float:
        """Returns the time in seconds that a new call would wait."""
        ahead = bisect.bisect_right(
            self._waiters,
            (priority, late),
            key=lambda waiter: (waiter.priority, waiter.late),
        )
        excess = self._running + ahead + 1 - self.slots
        if excess <= 0:
            return 0.0
        return excess * self.service_s / max(1, self.slots)

    async def acquire(self, call: calls.Call) -> calls.Refusal | None:
        """Waits for a slot; after None the caller must call `release`."""
        if self.slots <= 0:
            return calls.Refusal(errors.ErrorKind.DRAINING)
        now = clock.read_s()
        if not self._waiters and self._running < self.slots:
            self._start(id(call))
            return None
        spare_s = call.objective - now - self.service_s
        late = spare_s < 0
        remaining_s = call.deadline - now
        limit_s = (
            remaining_s * LATE_WAIT_SHARE if late else max(MIN_WAIT_S, spare_s)
        )
        wait_s = self.predict_wait_s(call.priority, late)
        if wait_s > limit_s:
            return self._refuse(wait_s)
        # A call that more urgent ones have overtaken may be late, but not so
        # late that its client has given up.
        latest = now + max(limit_s, remaining_s * LATE_WAIT_SHARE)
        waiter = _Waiter(
            call.priority,
            late,
            next(self._numbers),
            latest,
            asyncio.get_running_loop().create_future(),
        )
        bisect.insort(self._waiters, waiter)
        try:
            async with asyncio.timeout(latest - now):
                refusal = await asyncio.shield(waiter.outcome)
        except TimeoutError:
            if waiter.outcome.done():
                refusal = waiter.outcome.result()
            else:
                self._waiters.remove(waiter)
                return self._refuse(self.predict_wait_s(call.priority, late))
        except asyncio.CancelledError:
            if not waiter.outcome.done():
                self._waiters.remove(waiter)
            elif waiter.outcome.result() is None:
                self._running -= 1
                self._fill()
            raise
        if refusal is None:
            self._starts[id(call)] = clock.read_s()
        return refusal

    def release(self, call: calls.Call, measured: bool) -> None:
        """Gives a slot back.

        Args:
          call: The call that was admitted.
          measured: Whether its time says something of the next ones.
        """
        started = self._starts.pop(id(call))
        self._running -= 1
        if measured:
            held_s = clock.read_s() - started
            self._service_s += SERVICE_WEIGHT * (held_s - self._service_s)
        self._fill()

    def resize(self, slots: int) -> None:
        """Sets the number of slots; without any, waiting calls are refused."""
        self.slots = slots
        if slots <= 0:
            for waiter in self._waiters:
                if not waiter.outcome.done():
                    waiter.outcome.set_result(
                        calls.Refusal(errors.ErrorKind.DRAINING)
                    )
            self._waiters.clear()
        self._fill()

    def reset_service_time(self) -> None:
        """Forgets the service time of an earlier backend server."""
        self._service_s = INITIAL_SERVICE_S

    def _start(self, key: int) -> None:
        self._running += 1
        self._starts[key] = clock.read_s()

    def _fill(self) -> None:
        while self._waiters and self._running < self.slots:
            waiter = self._waiters.pop(0)
            self._running += 1
            waiter.outcome.set_result(None)

    def _refuse(self, wait_s: float) -> calls.Refusal:
        return calls.Refusal(
            errors.ErrorKind.OVERLOADED,
            f"{wait_s * 1000:.0f} ms expected",
            retry_after_s=min(
                MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s / 2)
            ),
        )
