"""Admission control: slots of the local backend server and their queue."""

import asyncio
import collections
import math
from typing import Any
from typing import Final
from typing import TypeVar

from lycheestair import errors
from lycheestair import ids
from lycheestair import server_limits
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import queueing
from lycheestair.sidecar.overload import wait_queue
from lycheestair.sidecar.overload import work as work_lib
from lycheestair.sidecar.placement import slowdown
from lycheestair.sidecar.places import cold_limiter

# Calls that finished last, from whose durations the share of each priority in the
# slots is derived.
RECENT_CALLS: Final = 32
MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 1.0
# A refused client returns after this many times the wait that it was refused for.
# Sooner, the requests that were before it and the clients that were refused with it
# still take the room, and it is refused again.
RETRY_AFTER_RATIO: Final = 2.0
# Least time between two looks at the queue of a limited backend server.
MIN_START_DELAY_S: Final = 0.001


T = TypeVar("T")

_Waiter = wait_queue.Entry["asyncio.Future[calls.Refusal | None]"]


class Admission:
    """Assigns slots to calls in the order of `wait_queue`.

    A call that can't meet its latency objective is queued behind the calls of
    the same priority that can. Under overload a short queue serves some calls
    in time, whereas a long one serves none in time. A call that is displaced by
    more urgent ones, so that it can't get a slot in time, is refused at once.

    If the backend server names a limit or is cold, a call also waits for its
    turn at the rate of the limit.

    Attributes:
      slots: Maximum number of requests that the backend server runs at once.
      slowdown: Time that work takes at the backend server now, compared with the
        usual time. Durations are learnt as those of the usual time.
    """

    def __init__(self, cold: cold_limiter.ColdLimiter | None = None) -> None:
        self.slots = 0
        self._cold = cold or cold_limiter.ColdLimiter()
        self.slowdown = slowdown.Slowdown()
        self._limiter = server_limits.StartLimiter()
        self._start_timer: asyncio.TimerHandle | None = None
        self._running = 0
        self._work = work_lib.WorkEstimator()
        self._waiters: wait_queue.WaitQueue[
            asyncio.Future[calls.Refusal | None]
        ] = wait_queue.WaitQueue(self._expect_work_s)
        # Running calls and the times of their start, by the calls' identity.
        self._started: dict[int, tuple[calls.Call, float]] = {}
        # Slowdown factors at the start of running calls.
        self._factors_at_start: dict[int, float] = {}
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
    def limit_per_s(self) -> float | None:
        """Requests per second that the backend server accepts, if limited."""
        return self._limiter.limit_per_s

    @property
    def service_time_s(self) -> float:
        """Expected time in seconds for which a call holds its slot.

        The age of running calls counts once it exceeds the average, so that a
        slowdown of the backend server is detected before they finish.
        """
        return max(
            self._work.average_s * self._slowdown_factor,
            self._compute_mean_age_s(),
        )

    @property
    def _slowdown_factor(self) -> float:
        if self.slowdown.is_usual:
            return 1.0
        percent = self.slowdown.read_percent(clock.read_s())
        return percent / slowdown.USUAL_PERCENT

    def _compute_mean_age_s(self) -> float:
        if not self._started:
            return 0.0
        now = clock.read_s()
        ages_s = (now - started_at for _, started_at in self._started.values())
        return sum(ages_s) / len(self._started)

    def _expect_work_s(self, route: ids.RouteName) -> float:
        return self._work.expect_s(route) * self._slowdown_factor

    def _list_running_s(self, now: float) -> list[float]:
        """Returns the expected slot times of the running calls.

        A call that has run for longer than expected is likely to be slow, or its
        server is.
        """
        running_s = [
            max(self._expect_work_s(call.route), now - started_at)
            for call, started_at in self._started.values()
        ]
        # A call that was given a slot just now has not noted its start yet.
        missing = max(0, self.slots - len(running_s))
        return (
            running_s + [self._work.average_s * self._slowdown_factor] * missing
        )

    def read_load(self) -> list[int]:
        """Returns running and queued calls and the service time in ms.

        The service time is the usual one; the slowdown is reported beside it.
        Calls that wait for their turn at the limit are reported as the queue
        for a slot in which a new call would wait as long.
        """
        waiting = self.waiting
        service_time_s = self.service_time_s
        limit_wait_s = self._predict_limit_wait_s(waiting, clock.read_s())
        if limit_wait_s > 0:
            queued = limit_wait_s * self.slots / max(0.001, service_time_s)
            waiting = max(
                waiting, math.ceil(queued) + self.slots - 1 - self._running
            )
        usual_s = service_time_s / self._slowdown_factor
        return [self._running, waiting, int(usual_s * 1000)]

    def predict_wait_s(self, call: calls.Call) -> float:
        """Returns the expected queueing time in seconds of a new call."""
        now = clock.read_s()
        return self._predict_wait_s(self._make_entry(call, now, now, None), now)

    def _predict_wait_s(
        self, entry: wait_queue.Entry[Any], now: float
    ) -> float:
        ahead_s = self._waiters.list_work_before_s(self._waiters.rank(entry))
        limit_wait_s = self._predict_limit_wait_s(len(ahead_s), now)
        wait_s = 0.0
        if self._running + len(ahead_s) >= self.slots > 0:
            wait_s = queueing.predict_start_s(
                self._list_running_s(now), ahead_s
            )
        return queueing.extend_wait_s(
            max(limit_wait_s, wait_s),
            self._compute_share_before(entry.priority),
        )

    def _compute_slack_s(self, call: calls.Call, now: float) -> float:
        """Returns how long a call may wait and still meet its objective."""
        return call.objective - now - self._expect_work_s(call.route)

    def _make_entry(
        self, call: calls.Call, now: float, latest_start: float, token: T
    ) -> wait_queue.Entry[T]:
        return wait_queue.Entry(
            call.priority,
            call.route,
            call.objective,
            latest_start,
            self._compute_slack_s(call, now) < 0 and not call.is_dependency,
            call.is_dependency,
            token,
            call.account,
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
        if not self._waiters and self._try_start(now):
            self._assign_slot(call)
            return None
        arrival = queueing.Arrival(
            self.predict_wait_s(call),
            self._compute_slack_s(call, now),
            call.deadline - now,
            call.max_wait_s,
            call.is_dependency,
        )
        decision = queueing.decide(arrival)
        if decision is queueing.Decision.TRY_ANOTHER:
            return calls.Refusal(
                errors.ErrorKind.LONG_QUEUE,
                f"{arrival.wait_s * 1000:.0f} ms expected",
            )
        if decision is queueing.Decision.REFUSE:
            return self._make_refusal(arrival.wait_s)
        outcome: asyncio.Future[calls.Refusal | None] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = self._make_entry(
            call, now, now + arrival.max_queue_time_s, outcome
        )
        self._waiters.add(waiter)
        self._schedule_start(now)
        self._refuse_displaced(waiter, now)
        try:
            async with asyncio.timeout(arrival.max_queue_time_s):
                refusal = await asyncio.shield(outcome)
        except TimeoutError:
            if outcome.done():
                refusal = outcome.result()
            else:
                self._waiters.remove(waiter)
                return self._make_refusal(self.predict_wait_s(call))
        except asyncio.CancelledError:
            if not outcome.done():
                self._waiters.remove(waiter)
            elif outcome.result() is None:
                self._running -= 1
                self._limiter.cancel_start()
                self._cold.cancel_start()
                self._assign_free_slots()
            raise
        if refusal is None:
            self._note_start(call)
        return refusal

    def _refuse_displaced(self, arrived: _Waiter, now: float) -> None:
        """Refuses calls that won't get a slot in time behind a new one."""
        if self._has_free_slot:
            return
        for waiter in self._waiters.list_hopeless(
            self._list_running_s(now), now
        ):
            if waiter is arrived or waiter.token.done():
                continue
            self._waiters.remove(waiter)
            waiter.token.set_result(
                self._make_refusal(self._predict_wait_s(waiter, now))
            )

    def release(self, call: calls.Call, record_duration: bool) -> None:
        """Releases a slot.

        Args:
          call: The admitted call.
          record_duration: Whether to update the average service time with the
            duration of the call, which must then be representative.
        """
        _, started_at = self._started.pop(id(call))
        factor_at_start = self._factors_at_start.pop(id(call))
        self._running -= 1
        duration_s = clock.read_s() - started_at
        self._recent_calls.append((call.priority, duration_s))
        if record_duration:
            factor = (factor_at_start + self._slowdown_factor) / 2
            self._work.observe(call.route, duration_s / factor)
        self._assign_free_slots()

    def resize(self, slots: int) -> None:
        """Sets the number of slots; queued calls are refused if it is zero."""
        self.slots = slots
        if slots <= 0:
            for waiter in self._waiters:
                if not waiter.token.done():
                    waiter.token.set_result(
                        calls.Refusal(errors.ErrorKind.DRAINING)
                    )
            self._waiters.clear()
        self._assign_free_slots()

    def reset(self) -> None:
        """Discards what is known of an earlier backend server."""
        self._work = work_lib.WorkEstimator()
        self._limiter = server_limits.StartLimiter()
        self.slowdown.reset()

    def apply_limit(self, limit_per_s: float | None) -> None:
        """Applies the limit named in a response, None if it names none."""
        self._limiter.update(limit_per_s, clock.read_s())
        self._assign_free_slots()

    def _assign_slot(self, call: calls.Call) -> None:
        self._running += 1
        self._note_start(call)

    def _note_start(self, call: calls.Call) -> None:
        self._started[id(call)] = (call, clock.read_s())
        self._factors_at_start[id(call)] = self._slowdown_factor

    def _try_start(self, now: float) -> bool:
        """Returns whether a call may start now, and counts it for the limit."""
        if not self._has_free_slot or not self._limiter.try_start(now):
            return False
        if self._cold.try_start(now):
            return True
        self._limiter.cancel_start()
        return False

    def _predict_limit_wait_s(self, queued: int, now: float) -> float:
        return max(
            self._limiter.predict_wait_s(queued, now),
            self._cold.predict_wait_s(queued, now),
        )

    def start_waiting(self) -> None:
        """Starts waiting calls that a limit held back until now."""
        self._assign_free_slots()

    @property
    def _has_free_slot(self) -> bool:
        return self._running < self.slots

    def _schedule_start(self, now: float) -> None:
        """Starts the next waiting call when the limit allows it."""
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
        if self._waiters and self._has_free_slot:
            delay_s = self._predict_limit_wait_s(0, now)
            self._start_timer = asyncio.get_running_loop().call_later(
                max(MIN_START_DELAY_S, delay_s), self._assign_free_slots
            )

    def _assign_free_slots(self) -> None:
        now = clock.read_s()
        while self._waiters and self._try_start(now):
            waiter = self._waiters.pop_first()
            self._running += 1
            waiter.token.set_result(None)
        self._schedule_start(now)

    def _make_refusal(self, wait_s: float) -> calls.Refusal:
        limit_per_s = self.limit_per_s
        cold_limit_per_s = self._cold.read_limit_per_s(clock.read_s())
        if cold_limit_per_s is not None:
            limit_per_s = (
                cold_limit_per_s
                if limit_per_s is None
                else min(cold_limit_per_s, limit_per_s)
            )
        if limit_per_s is not None:
            # The calls that are waiting now have started by then.
            return calls.Refusal(
                errors.ErrorKind.OVERLOADED,
                f"limit of {limit_per_s:g} a second,"
                f" {wait_s * 1000:.0f} ms expected",
                retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
            )
        return calls.Refusal(
            errors.ErrorKind.OVERLOADED,
            f"{wait_s * 1000:.0f} ms expected",
            retry_after_s=min(
                MAX_RETRY_AFTER_S,
                max(MIN_RETRY_AFTER_S, wait_s * RETRY_AFTER_RATIO),
            ),
        )
