"""Concurrency limit and bounded queues of the local backend server."""

import dataclasses
import itertools
import threading
import time
from typing import Final

from lycheestair import calls
from lycheestair import errors
from lycheestair import server_limits
from lycheestair import settings as settings_lib

# Share of the slots that calls from services may hold while clients wait, so
# that calls between services can't starve clients.
SERVICE_CALL_SLOTS_PERCENT: Final = 75
# Weight of the latest sample in the moving average of the hold time.
HOLD_TIME_WEIGHT: Final = 0.1
# Longest wait for a turn at a limited backend server; another server, or the
# client's return, is better than a longer one.
MAX_LIMIT_WAIT_S: Final = 0.5
# A backend server that has not answered this node yet may have named a limit
# before the node started. For this time, or until it answers, clients' calls get
# at most so many slots.
TRIAL_S: Final = 1.0
TRIAL_SLOTS: Final = 2
# Least time between two looks at the queue of a limited backend server.
MIN_START_DELAY_S: Final = 0.001


@dataclasses.dataclass(order=True)
class _QueuedCall:
    """A queued call, ordered by priority, then by deadline."""

    can_wait: bool
    deadline: float
    sequence_number: int
    from_service: bool = dataclasses.field(compare=False)
    alone: bool = dataclasses.field(compare=False)
    done: threading.Event = dataclasses.field(
        default_factory=threading.Event, compare=False
    )
    failure: errors.Failure | None = dataclasses.field(
        default=None, compare=False
    )


class Admission:
    """Limits concurrent calls and queues the excess.

    Each running call holds one slot. Calls from clients and calls from
    services wait in separate queues, keyed by `from_service`. If the backend
    server names a limit, calls start at the rate of the limit. A new backend
    server gets few calls until it has answered the first one, because only a
    response names the limit.
    """

    def __init__(self, settings: settings_lib.RequestSettings):
        self._queue_limits = {
            False: settings.queue_length,
            True: settings.service_queue_length,
        }
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)
        self._sequence_numbers = itertools.count()
        self._queues: dict[bool, list[_QueuedCall]] = {False: [], True: []}
        self._running = {False: 0, True: 0}
        self._slots = 0
        self._open = False
        # Whether the only running call must run alone.
        self._exclusive = False
        self._average_hold_s = 0.0
        self._limiter = server_limits.StartLimiter()
        # Time at which a backend server that has not answered gets all slots.
        self._trial_ends_at = 0.0

    @property
    def limit_per_s(self) -> float | None:
        """Requests per second that the backend server accepts, if limited."""
        return self._limiter.limit_per_s

    @property
    def average_hold_ms(self) -> float:
        """Moving average of the time for which a call holds its slot."""
        return self._average_hold_s * 1000

    @property
    def load(self) -> int:
        """Number of running and queued calls."""
        return (
            self._running[False]
            + self._running[True]
            + len(self._queues[False])
            + len(self._queues[True])
        )

    def open(self, slots: int) -> None:
        """Starts admitting calls, or changes the number of slots."""
        with self._lock:
            if not self._open:
                self._average_hold_s = 0.0
                self._limiter = server_limits.StartLimiter()
            self._slots = slots
            self._open = True
            self._fill_slots()

    def start_trial(self) -> None:
        """Limits the calls until the backend server has answered."""
        with self._lock:
            self._trial_ends_at = time.monotonic() + TRIAL_S

    def apply_limit(self, limit_per_s: float | None) -> None:
        """Applies the limit named in a response, None if it names none."""
        with self._lock:
            self._trial_ends_at = 0.0
            self._limiter.update(limit_per_s, time.monotonic())
            self._fill_slots()

    def close(self) -> None:
        """Refuses new calls; running and queued calls proceed."""
        with self._lock:
            self._open = False

    def fail_queued(self, failure: errors.Failure) -> None:
        """Fails all queued calls."""
        with self._lock:
            for queue in self._queues.values():
                for queued in queue:
                    queued.failure = failure
                    queued.done.set()
                queue.clear()
            self._idle.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Returns whether all calls finished within the timeout."""
        with self._lock:
            return self._idle.wait_for(lambda: not self.load, timeout_s)

    def acquire(self, call: calls.Call) -> errors.Failure | None:
        """Waits for a slot; each success must be paired with `release`."""
        is_service_call = call.from_service
        with self._lock:
            if not self._open:
                return errors.Failure(errors.ErrorKind.DRAINING)
            if (
                not any(self._queues.values())
                and self._has_free_slot(call.alone, is_service_call)
                and self._limiter.try_start(time.monotonic())
            ):
                self._occupy_slot(is_service_call, call.alone)
                return None
            queued = _QueuedCall(
                call.can_wait,
                call.deadline,
                next(self._sequence_numbers),
                is_service_call,
                call.alone,
            )
            failure = self._enqueue(queued)
            if failure is not None:
                return failure
        while not queued.done.wait(self._compute_pause_s(call)):
            if call.remaining_s <= 0:
                self._cancel(queued)
                break
            with self._lock:
                self._fill_slots()
        return queued.failure

    def _compute_pause_s(self, call: calls.Call) -> float:
        """Returns the time until the limit may allow the next queued call."""
        remaining_s = max(0.0, call.remaining_s)
        now = time.monotonic()
        with self._lock:
            wait_s = self._limiter.predict_wait_s(0, now)
            if now < self._trial_ends_at:
                wait_s = self._trial_ends_at - now
        if not wait_s:
            return remaining_s
        return min(remaining_s, max(MIN_START_DELAY_S, wait_s))

    def release(self, call: calls.Call, held_s: float) -> None:
        """Releases a slot.

        Args:
          call: The admitted call.
          held_s: Time for which it held the slot.
        """
        with self._lock:
            self._running[call.from_service] -= 1
            self._exclusive = False
            weight = HOLD_TIME_WEIGHT if self._average_hold_s else 1.0
            self._average_hold_s += weight * (held_s - self._average_hold_s)
            self._fill_slots()
            if not self.load:
                self._idle.notify_all()

    def _enqueue(self, queued: _QueuedCall) -> errors.Failure | None:
        queue = self._queues[queued.from_service]
        ahead = sum(
            1
            for waiting in self._queues.values()
            for other in waiting
            if other < queued
        )
        limit_wait_s = self._limiter.predict_wait_s(ahead, time.monotonic())
        if limit_wait_s > MAX_LIMIT_WAIT_S:
            return errors.Failure(
                errors.ErrorKind.OVERLOADED,
                f"limit of {self.limit_per_s:g} a second",
                limit_wait_s,
            )
        expected_duration_s = limit_wait_s + self._average_hold_s * (
            1 + (ahead + 1) / max(1, self._slots)
        )
        if time.monotonic() + expected_duration_s > queued.deadline:
            return errors.Failure(
                errors.ErrorKind.DEADLINE_TOO_SHORT,
                f"{expected_duration_s * 1000:.0f} ms expected",
            )
        if len(queue) >= self._queue_limits[queued.from_service]:
            lowest_priority = max(queue)
            # Only a call that can't wait evicts one that can. Evicting by
            # deadline alone would refuse calls that were already accepted.
            if queued.can_wait or not lowest_priority.can_wait:
                return errors.Failure(errors.ErrorKind.OVERLOADED)
            queue.remove(lowest_priority)
            lowest_priority.failure = errors.Failure(
                errors.ErrorKind.OVERLOADED
            )
            lowest_priority.done.set()
        queue.append(queued)
        self._fill_slots()
        return None

    def _fill_slots(self) -> None:
        while True:
            queued = self._select_next()
            if queued is None or not self._has_free_slot(
                queued.alone, queued.from_service
            ):
                return
            now = time.monotonic()
            expired = now + self._average_hold_s > queued.deadline
            if not expired and not self._limiter.try_start(now):
                return
            self._queues[queued.from_service].remove(queued)
            if expired:
                queued.failure = errors.Failure(
                    errors.ErrorKind.DEADLINE_TOO_SHORT
                )
            else:
                self._occupy_slot(queued.from_service, queued.alone)
            queued.done.set()

    def _has_free_slot(self, alone: bool, from_service: bool) -> bool:
        running = sum(self._running.values())
        slots = self._slots
        # The first requests may be waiting for calls that they have made.
        if not from_service and time.monotonic() < self._trial_ends_at:
            slots = min(slots, TRIAL_SLOTS)
        return not self._exclusive and running < (1 if alone else slots)

    def _occupy_slot(self, from_service: bool, alone: bool) -> None:
        self._running[from_service] += 1
        self._exclusive = alone

    def _select_next(self) -> _QueuedCall | None:
        heads = [min(queue) for queue in self._queues.values() if queue]
        if not heads:
            return None
        limit = max(1, self._slots * SERVICE_CALL_SLOTS_PERCENT // 100)
        if len(heads) == 2 and self._running[True] >= limit:
            heads = [head for head in heads if not head.from_service]
        return min(heads)

    def _cancel(self, queued: _QueuedCall) -> None:
        """Removes a call whose deadline passed before it got a slot."""
        with self._lock:
            if queued.done.is_set():
                return
            self._queues[queued.from_service].remove(queued)
            queued.failure = errors.Failure(errors.ErrorKind.DEADLINE_TOO_SHORT)
            # A call that must run alone blocks the calls queued behind it.
            self._fill_slots()
            if not self.load:
                self._idle.notify_all()
