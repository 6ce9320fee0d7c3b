"""Admission control: slots of the local backend server and their queue."""

import asyncio
import bisect
import collections
import dataclasses
import itertools
from typing import Final

from lycheestair import errors
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import queueing

# Initial value of the moving average of the service time.
INITIAL_SERVICE_TIME_S: Final = 0.15
# Weight of the latest request in the moving average of the service time.
SERVICE_TIME_WEIGHT: Final = 0.1
# Calls that finished last, from whose durations the share of each priority in the
# slots is derived.
RECENT_CALLS: Final = 32
MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 1.0


@dataclasses.dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    late: bool
    sequence_number: int
    latest_start: float = dataclasses.field(compare=False)
    outcome: asyncio.Future[calls.Refusal | None] = dataclasses.field(
        compare=False
    )


class Admission:
    """Assigns slots to calls by priority, then in order of arrival.

    A smaller priority number takes precedence.

    A call that can't meet its latency objective is queued behind the calls of
    the same priority that can. Under overload a short queue serves some calls
    in time, whereas a long one serves none in time.

    Attributes:
      slots: Maximum number of requests that the backend server runs at once.
    """

    def __init__(self) -> None:
        self.slots = 0
        self._running = 0
        self._waiters: list[_Waiter] = []
        self._sequence_numbers = itertools.count()
        self._average_service_time_s = INITIAL_SERVICE_TIME_S
        self._start_times: dict[int, float] = {}
        # Priority and duration in seconds.
        self._recent_calls: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=RECENT_CALLS)
        )

    @property
    def running(self) -> int:
        """Number of calls that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return len(self._waiters)

    @property
    def service_time_s(self) -> float:
        """Expected time in seconds for which a call holds its slot.

        The age of running calls counts once it exceeds the average, so that a
        slowdown of the backend server is detected before they finish.
        """
        if not self._start_times:
            return self._average_service_time_s
        now = clock.read_s()
        total_age_s = sum(now - start for start in self._start_times.values())
        return max(
            self._average_service_time_s, total_age_s / len(self._start_times)
        )

    def read_load(self) -> list[int]:
        """Returns running and queued calls and the service time in ms."""
        return [self._running, self.waiting, int(self.service_time_s * 1000)]

    def predict_wait_s(self, priority: int, late: bool = False) -> float:
        """Returns the expected queueing time in seconds of a new call.

        Args:
          priority: Priority of the call.
          late: Whether the call can't meet its latency objective.
        """
        ahead = bisect.bisect_right(
            self._waiters,
            (priority, late),
            key=lambda waiter: (waiter.priority, waiter.late),
        )
        queued = self._running + ahead + 1 - self.slots
        if queued <= 0:
            return 0.0
        return queueing.predict_wait_s(
            queued,
            max(1, self.slots),
            self.service_time_s,
            self._compute_share_before(priority),
        )

    def _compute_share_before(self, priority: int) -> float:
        """Returns the share of the slots that calls with precedence take."""
        total_s = sum(duration_s for _, duration_s in self._recent_calls)
        if not total_s:
            return 0.0
        preceding_s = sum(
            duration_s
            for recent, duration_s in self._recent_calls
            if recent < priority
        )
        return preceding_s / total_s

    async def acquire(self, call: calls.Call) -> calls.Refusal | None:
        """Waits for a slot.

        Returns:
          The refusal, or None if the call got a slot. The caller must then
          call `release`.
        """
        if self.slots <= 0:
            return calls.Refusal(errors.ErrorKind.DRAINING)
        now = clock.read_s()
        if not self._waiters and self._running < self.slots:
            self._assign_slot(call)
            return None
        slack_s = call.objective - now - self.service_time_s
        arrival = queueing.Arrival(
            self.predict_wait_s(call.priority, slack_s < 0),
            slack_s,
            call.deadline - now,
            call.max_wait_s,
        )
        decision = queueing.decide(arrival)
        if decision is queueing.Decision.TRY_ANOTHER:
            return calls.Refusal(
                errors.ErrorKind.LONG_QUEUE,
                f"{arrival.wait_s * 1000:.0f} ms expected",
            )
        if decision is queueing.Decision.REFUSE:
            return self._make_refusal(arrival.wait_s)
        latest_start = now + arrival.max_queue_time_s
        waiter = _Waiter(
            call.priority,
            arrival.late,
            next(self._sequence_numbers),
            latest_start,
            asyncio.get_running_loop().create_future(),
        )
        bisect.insort(self._waiters, waiter)
        try:
            async with asyncio.timeout(latest_start - now):
                refusal = await asyncio.shield(waiter.outcome)
        except TimeoutError:
            if waiter.outcome.done():
                refusal = waiter.outcome.result()
            else:
                self._waiters.remove(waiter)
                return self._make_refusal(
                    self.predict_wait_s(call.priority, arrival.late)
                )
        except asyncio.CancelledError:
            if not waiter.outcome.done():
                self._waiters.remove(waiter)
            elif waiter.outcome.result() is None:
                self._running -= 1
                self._assign_free_slots()
            raise
        if refusal is None:
            self._note_start(call)
        return refusal

    def release(self, call: calls.Call, record_duration: bool) -> None:
        """Releases a slot.

        Args:
          call: The admitted call.
          record_duration: Whether to update the average service time with the
            duration of the call, which must then be representative.
        """
        started_at = self._start_times.pop(id(call))
        self._running -= 1
        duration_s = clock.read_s() - started_at
        self._recent_calls.append((call.priority, duration_s))
        if record_duration:
            self._average_service_time_s += SERVICE_TIME_WEIGHT * (
                duration_s - self._average_service_time_s
            )
        self._assign_free_slots()

    def resize(self, slots: int) -> None:
        """Sets the number of slots; queued calls are refused if it is zero."""
        self.slots = slots
        if slots <= 0:
            for waiter in self._waiters:
                if not waiter.outcome.done():
                    waiter.outcome.set_result(
                        calls.Refusal(errors.ErrorKind.DRAINING)
                    )
            self._waiters.clear()
        self._assign_free_slots()

    def reset_service_time(self) -> None:
        """Discards the service time measured for an earlier backend server."""
        self._average_service_time_s = INITIAL_SERVICE_TIME_S

    def _assign_slot(self, call: calls.Call) -> None:
        self._running += 1
        self._note_start(call)

    def _note_start(self, call: calls.Call) -> None:
        self._start_times[id(call)] = clock.read_s()

    def _assign_free_slots(self) -> None:
        while self._waiters and self._running < self.slots:
            waiter = self._waiters.pop(0)
            self._running += 1
            waiter.outcome.set_result(None)

    def _make_refusal(self, wait_s: float) -> calls.Refusal:
        return calls.Refusal(
            errors.ErrorKind.OVERLOADED,
            f"{wait_s * 1000:.0f} ms expected",
            retry_after_s=min(
                MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s / 2)
            ),
        )
