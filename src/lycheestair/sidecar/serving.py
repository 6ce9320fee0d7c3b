"""Serving node: executes calls on the local backend server."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import time
from typing import Any
from typing import Final

from lycheestair import departures as departures_lib
from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair import server_limits
from lycheestair.sidecar import admission as admission_lib
from lycheestair.sidecar import backend
from lycheestair.sidecar import budget
from lycheestair.sidecar import byte_budget
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import deadlines
from lycheestair.sidecar import dependencies
from lycheestair.sidecar import event_log
from lycheestair.sidecar import http1
from lycheestair.sidecar import latencies as latencies_lib
from lycheestair.sidecar import members
from lycheestair.sidecar import pool
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import suspects as suspects_lib
from lycheestair.sidecar import trials
from lycheestair.sidecar.overload import chains
from lycheestair.sidecar.placement import load_header
from lycheestair.sidecar.placement import slowdown
from lycheestair.sidecar.places import cold_server
from lycheestair.sidecar.places import local_place
from lycheestair.sidecar.presence import restart_gate

# Consecutive missed heartbeats after which the backend server counts as gone.
MAX_MISSED_HEARTBEATS: Final = 4
# Responses read from a connection to find the one to a call; those before it
# belong to earlier requests.
MAX_RESPONSES_READ: Final = 4
# Weight of the latest outcome in the moving average of failures. This node sees
# all outcomes of its backend server and all other nodes rely on the average
# that it reports, so the average must not be noisy.
FAILURE_RATE_WEIGHT: Final = 0.05
# Fraction of the memory of the process that answers may take while they are
# read. They are copied once for the entry node and once for its client.
ANSWER_MEMORY_RATIO: Final = 0.2
MISDIRECTED_REQUEST_STATUS: Final = 421
# Clients take these statuses for the promise that the request has not run.
NOT_RUN_STATUSES: Final = frozenset({408, 429, 503})
MIN_ERROR_STATUS: Final = 400
# Larger bodies are written in parts, because each copy takes their memory again.
MAX_JOINED_BODY_BYTES: Final = 65_536
# Outcomes of a request that may have crashed its backend server.
UNANSWERED: Final = frozenset(
    {
        errors.ErrorKind.ANSWER_INCOMPLETE,
        errors.ErrorKind.CONNECTION_LOST,
        errors.ErrorKind.TIMEOUT,
    }
)
# A backend server may go on with a request for this long after it was cancelled.
MAX_RUN_AFTER_CANCELLATION_S: Final = 1.0
LEAVING: Final = b"1"
MIN_SERVER_ERROR_STATUS: Final = 500
# Smallest deadline that is sent to the backend server. A call with less time
# left is refused, because the backend server must stop before the node times
# out.
MIN_DEADLINE_MS: Final = 1
# A backend server that has answered nothing for this long after a lost request is
# checked for a crash.
CRASH_CHECK_DELAY_S: Final = 0.2


class ServingNode:
    """Admits calls and executes them on the local backend server.

    Attributes:
      endpoint: The backend server as announced, or None if unknown.
      on_endpoint_change: Called after the endpoint has changed.
      counts: Recorded outcomes, failures among them and total time in
        milliseconds, by route.
      latencies: Latencies of successful requests by route, see
        `members.RouteCount`.
      failed_dependency_calls: Failed calls of the backend server to other
        services.
      chain: Decides which requests that make dependency calls start.
      departures: Departures that this node has acknowledged, also before a
        restart.
      on_departure: Called when a departure has been acknowledged.
      held_back: Latest heartbeat of a backend server that may have left before a
        restart of this node, None if none is held back.
      on_hold: Called with each heartbeat of a server that is held back.
      suspects: Requests that crash backend servers.
      on_suspects_change: Called when this node has changed them.
      crashes: Crashes of the backend server while it ran requests.
      is_tester: Returns whether this node runs the trials of a request that may
        be served in some regions.
      cold: Tells whether the backend server is cold.
      place: Decides which calls may run at the place of the backend server.
      sent_requests: Requests sent to the backend server.
      sent_retries: Retries among them.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        headers: backend.HeaderNames,
        budgets: budget.RetryBudgets,
        log: event_log.EventLog,
    ):
        self.cold = cold_server.ColdServer(settings.honours_places, log)
        self.admission = admission_lib.Admission(self.cold.limiter)
        self.endpoint: members.Endpoint | None = None
        self.on_endpoint_change: Callable[[], None] = lambda: None
        self.counts: dict[ids.RouteName, list[int]] = {}
        self.latencies: collections.defaultdict[
            ids.RouteName, latencies_lib.Histogram
        ] = collections.defaultdict(latencies_lib.Histogram)
        self.failed_dependency_calls = dependencies.FailedDependencyCalls()
        self.chain = chains.ChainAdmission()
        self.departures = departures_lib.Departures()
        self.on_departure: Callable[[], None] = lambda: None
        self.held_back: backend.Announcement | None = None
        self.on_hold: Callable[[], None] = lambda: None
        self._restart_gate = restart_gate.RestartGate(
            settings.heartbeat_interval_s, clock.read_s()
        )
        self.suspects = suspects_lib.SuspectTable()
        self.on_suspects_change: Callable[[], None] = lambda: None
        self.crashes = 0
        self._losses = suspects_lib.LossTracker()
        self._trial = trials.TrialSlot()
        self.is_tester: Callable[
            [suspects_lib.Fingerprint, calls.Regions], bool
        ] = lambda fingerprint, regions: True
        self.place = local_place.LocalPlace(
            settings.region, settings.failure_domain, settings.honours_places
        )
        self._crash_check: asyncio.Task[None] | None = None
        self.sent_requests = 0
        self.sent_retries = 0
        self._settings = settings
        self._headers = headers
        self._budgets = budgets
        self._log = log
        self._load_reader = load_header.LoadReader(self.admission.slowdown)
        self._failure_rate = members.FailureRate(FAILURE_RATE_WEIGHT)
        # Limits by instance that other nodes remember from before a restart of
        # this node, used until the first response of the instance.
        self._earlier_limits: dict[str, float] = {}
        self._has_answered = False
        # Instance and start of a backend server that said that it is leaving.
        self._leaving_incarnation: tuple[str, int] | None = None
        self._latest_announcement: backend.Announcement | None = None
        self._heartbeat_at = 0.0
        # Time at which the backend server has warmed up.
        self._warm_at = 0.0
        # Latest start in Unix milliseconds of deregistered incarnations, by
        # instance.
        self._deregistered_ms: dict[str, int] = {}
        # Departures acknowledged before a restart of this node.
        self._earlier_departures = departures_lib.Departures()
        self._pool = pool.ConnectionPool(settings.server_address)
        self._answer_memory = byte_budget.ByteBudget(
            int(settings.memory_bytes * ANSWER_MEMORY_RATIO)
        )

    # Announcements.

    def apply_announcement(self, announcement: backend.Announcement) -> bool:
        """Applies a heartbeat or a deregistration.

        Returns:
          False if it was ignored because a heartbeat at least as recent is
          known.
        """
        known = self._latest_announcement
        if known is not None and not _is_superseded(known, announcement):
            self._log.write(
                "heartbeat ignored",
                instance=announcement.instance,
                started_ms=announcement.started_ms,
                known_started_ms=known.started_ms,
                sequence=announcement.sequence,
            )
            return False
        incarnation = (announcement.instance, announcement.started_ms)
        if announcement.state is backend.BackendState.GONE:
            self._deregister(announcement)
            return True
        if self._has_departed(announcement):
            # The heartbeat was delayed and arrived after the departure.
            return True
        if incarnation == self._leaving_incarnation:
            announcement = dataclasses.replace(
                announcement, state=backend.BackendState.DRAINING
            )
        if announcement.state is backend.BackendState.DRAINING:
            self._add_departure(announcement.instance, announcement.started_ms)
        if known is None or (known.instance, known.started_ms) != incarnation:
            self._record_crash()
            self._pool.close_idle()
            self.admission.reset()
            self.cold.mark_cold(clock.read_s())
            self._has_answered = False
            if known is not None:
                self._earlier_limits.clear()
            self._failure_rate = members.FailureRate(FAILURE_RATE_WEIGHT)
        self._latest_announcement = announcement
        self._apply_earlier_limit()
        self._heartbeat_at = clock.read_s()
        self._apply_warmup(announcement)
        if (
            announcement.state is backend.BackendState.SERVING
            and not self._restart_gate.observe_heartbeat(
                incarnation, self._heartbeat_at
            )
        ):
            self._hold_back(announcement)
        else:
            self._apply_endpoint(announcement, "heartbeat")
        return True

    def _apply_warmup(self, announcement: backend.Announcement) -> None:
        now, remaining_s = self._heartbeat_at, announcement.warmup_s
        if cold_server.is_usable(remaining_s):
            self._warm_at = now + remaining_s
        self.cold.update(self.place.read_catalog(), announcement.service, now)
        self.cold.tell_remaining(remaining_s, announcement.instance, now)
        self.admission.start_waiting()

    def _hold_back(self, announcement: backend.Announcement) -> None:
        """Keeps a backend server out of use until it is known to run.

        An earlier process of this node may have acknowledged its departure where
        nothing remembers it, and the heartbeat may be a delayed one from before.
        """
        if self.held_back is None:
            self._log.write(
                "backend server held back", instance=announcement.instance
            )
        self.held_back = announcement
        self.on_hold()

    def confirm_running(
        self, announcement: backend.Announcement, response: http1.Response
    ) -> None:
        """Uses a backend server that was held back and has not left.

        Its response to the health check may name the limit that the node has
        forgotten.
        """
        incarnation = (announcement.instance, announcement.started_ms)
        if self.held_back is None or not self._restart_gate.observe_health(
            incarnation
        ):
            return
        self._apply_endpoint(self.held_back, "health check after a restart")
        if self.endpoint is not None:
            self._apply_limit(response, self.endpoint)

    def _apply_endpoint(
        self, announcement: backend.Announcement, reason: str
    ) -> None:
        self.held_back = None
        self._set_endpoint(
            members.Endpoint(
                announcement.instance,
                announcement.service,
                announcement.version,
                announcement.slots,
                announcement.state,
            ),
            reason,
        )

    def _has_departed(self, announcement: backend.Announcement) -> bool:
        """Returns whether the departure of a backend server is known."""
        return announcement.started_ms <= self._deregistered_ms.get(
            announcement.instance, -1
        ) or self._earlier_departures.contains(
            announcement.instance, announcement.started_ms
        )

    def _release_if_departed(self) -> None:
        """Ends the hold of a backend server that is known to have left."""
        if self.held_back is not None and self._has_departed(self.held_back):
            self.held_back = None

    def _add_departure(self, instance: str, started_ms: int) -> None:
        if self.departures.add(instance, started_ms):
            self.on_departure()

    def restore_departures(self, fields: Any) -> None:
        """Applies departures that this node acknowledged before its restart.

        Raises:
          ValueError: The fields are malformed.
        """
        self._earlier_departures.update(fields)
        if self.departures.update(fields):
            # Other nodes or the store may lack some of them.
            self.on_departure()
        self._release_if_departed()
        announced = self._latest_announcement
        if announced is not None and self._earlier_departures.contains(
            announced.instance, announced.started_ms
        ):
            self._set_endpoint(None, "departed before the restart")

    def read_limit(self) -> server_limits.InstanceLimit | None:
        """Returns the limit of the backend server, None if it has none."""
        limit_per_s = self.admission.limit_per_s
        if self.endpoint is None or limit_per_s is None:
            return None
        return server_limits.InstanceLimit(self.endpoint.instance, limit_per_s)

    def restore_limit(self, limit: server_limits.InstanceLimit | None) -> None:
        """Applies a limit that another node remembers from before a restart.

        Of several limits, the lowest is applied.
        """
        if limit is None:
            return
        self._earlier_limits[limit.instance] = min(
            limit.limit_per_s,
            self._earlier_limits.get(limit.instance, limit.limit_per_s),
        )
        self._apply_earlier_limit()

    def _apply_earlier_limit(self) -> None:
        announced = self._latest_announcement
        if announced is None or self._has_answered:
            return
        limit_per_s = self._earlier_limits.get(announced.instance)
        if limit_per_s is None or limit_per_s == self.admission.limit_per_s:
            return
        self._log.write(
            "server limit restored",
            instance=announced.instance,
            limit_per_s=limit_per_s,
        )
        self.admission.apply_limit(limit_per_s)

    def _deregister(self, announcement: backend.Announcement) -> None:
        known = self._latest_announcement
        started_ms = announcement.started_ms
        if known is not None and known.instance == announcement.instance:
            started_ms = started_ms or known.started_ms
            self._set_endpoint(None, "deregistered")
            self._losses.clear()
        # A backend server that starts later is another incarnation.
        departed_ms = started_ms or read_unix_ms()
        self._deregistered_ms[announcement.instance] = departed_ms
        self._release_if_departed()
        self._add_departure(announcement.instance, departed_ms)

    def _set_endpoint(
        self, endpoint: members.Endpoint | None, reason: str
    ) -> None:
        if endpoint == self.endpoint:
            return
        self._log.write(
            "backend server changed",
            reason=reason,
            instance=endpoint.instance if endpoint else None,
            service=endpoint.service if endpoint else None,
            version=endpoint.version if endpoint else None,
            state=endpoint.state.value if endpoint else "gone",
        )
        self.endpoint = endpoint
        self._resize()
        if not self._is_serving:
            self._pool.close_idle()
        self.on_endpoint_change()

    @property
    def _is_serving(self) -> bool:
        return (
            self.endpoint is not None
            and self.endpoint.state is backend.BackendState.SERVING
        )

    def _resize(self) -> None:
        endpoint = self.endpoint
        may_start = self._is_serving and not self.place.is_evacuated
        self.admission.resize(
            endpoint.slots if may_start and endpoint is not None else 0
        )

    def apply_evacuations(self) -> None:
        """Refuses queued calls if this failure domain is evacuated now.

        Its servers may be cold when the evacuation has ended.
        """
        if self.place.has_evacuation_ended():
            self.cold.mark_cold(clock.read_s())
        self._resize()

    def check_heartbeat(self) -> None:
        """Withdraws the backend server after missed heartbeats."""
        self.place.note_alive(clock.read_s())
        self._update_cold()
        timeout_s = self._settings.heartbeat_interval_s * MAX_MISSED_HEARTBEATS
        if clock.read_s() - self._heartbeat_at > timeout_s:
            self.held_back = None
            self._set_endpoint(None, "no heartbeat")

    def _update_cold(self) -> None:
        announced = self._latest_announcement
        self.cold.update(
            self.place.read_catalog(),
            None if announced is None else announced.service,
            clock.read_s(),
        )

    def clear_counts(self) -> None:
        """Drops the recorded outcomes."""
        self.counts.clear()
        self.latencies.clear()

    def read_load(self) -> list[int]:
        """Returns the arguments of `Member.report_load`."""
        return [
            *self.admission.read_load(),
            int(self._failure_rate.read() * 100),
            *slowdown.encode_report(
                self.admission.slowdown.read_percent(clock.read_s())
            ),
        ]

    # Calls.

    async def run(self, call: calls.Call) -> calls.Outcome:
        """Executes a call; returns a complete response or a refusal."""
        endpoint = self.endpoint
        if (
            endpoint is None
            or endpoint.state is not backend.BackendState.SERVING
            or endpoint.instance != call.instance
        ):
            return calls.Refusal(
                errors.ErrorKind.DRAINING, "not the endpoint asked for"
            )
        self._update_cold()
        refusal = (
            self.place.refuse(call, clock.read_s())
            or self._refuse_untried(call)
            or self._refuse_without_dependencies(call)
            or await self.admission.acquire(call)
        )
        if refusal is not None:
            return refusal
        # While the call was waiting, it may have become a suspect, or this region
        # may have been excluded.
        refusal = (
            self.place.refuse(call, clock.read_s())
            or self._refuse_untried(call)
            or self._begin_trial(call)
        )
        if refusal is not None:
            self.admission.release(call, False)
            return refusal
        call.was_admitted = True
        if call.idempotent:
            return await self._run_admitted(endpoint, call)
        # A non-idempotent request continues if its client disconnects:
        # cancelling it would leave unknown whether it was executed.
        return await asyncio.shield(self._run_admitted(endpoint, call))

    def _refuse_without_dependencies(
        self, call: calls.Call
    ) -> calls.Refusal | None:
        """Refuses a call whose dependency calls may find no capacity."""
        if self.chain.try_start(call.route, call.priority, clock.read_s()):
            return None
        return calls.Refusal(
            errors.ErrorKind.OVERLOADED, "no capacity for dependency calls"
        )

    def classify(self, call: calls.Call) -> suspects_lib.Verdict:
        """Returns how a call must be handled."""
        if not self.suspects:
            return suspects_lib.Verdict.CLEAN
        return self.suspects.classify(
            suspects_lib.compute_fingerprint(call), clock.read_s()
        )

    def refuse_suspect(self, call: calls.Call) -> calls.Refusal | None:
        """Returns the refusal of a request that crashes servers, else None."""
        if self.classify(call) is not suspects_lib.Verdict.REFUSE:
            return None
        fingerprint = suspects_lib.compute_fingerprint(call)
        return _create_suspect_refusal(
            fingerprint,
            self.suspects.read_refusal_s(fingerprint, clock.read_s()),
        )

    def _refuse_untried(self, call: calls.Call) -> calls.Refusal | None:
        """Also refuses a suspect whose trial can't begin at this node now."""
        if self.classify(call) is not suspects_lib.Verdict.TRIAL:
            return self.refuse_suspect(call)
        fingerprint = suspects_lib.compute_fingerprint(call)
        if self._trial.find_running(clock.read_s()) is None and self.is_tester(
            fingerprint, call.regions
        ):
            return None
        return _create_suspect_refusal(fingerprint, trials.RETRY_AFTER_S)

    def _begin_trial(self, call: calls.Call) -> calls.Refusal | None:
        """Begins the trial of a call that is a suspect."""
        if self.classify(call) is not suspects_lib.Verdict.TRIAL:
            return None
        fingerprint = suspects_lib.compute_fingerprint(call)
        if not self._trial.begin(fingerprint, clock.read_s()):
            return _create_suspect_refusal(fingerprint, trials.RETRY_AFTER_S)
        self._log.write("trial begun", fingerprint=fingerprint.hex())
        return None

    def _update_suspects(
        self, call: calls.Call, outcome: calls.Outcome, started_at: float
    ) -> None:
        """Tracks requests without an answer, and clears those with one."""
        if not isinstance(outcome, http1.Response):
            if outcome.kind in UNANSWERED:
                self._add_loss(call, clock.read_s())
                self._request_crash_check()
                if self._is_trial(call):
                    self._trial.mark_lost()
            else:
                self._end_trial(call)
            return
        if self._losses:
            self._losses.record_answer(started_at)
        if not self.suspects:
            return
        self._end_trial(call)
        # A failure doesn't show that the request was run to its end.
        if outcome.status < MIN_SERVER_ERROR_STATUS and self.suspects.clear(
            suspects_lib.compute_fingerprint(call)
        ):
            self.on_suspects_change()

    def _add_loss(self, call: calls.Call, lost_at: float) -> None:
        self._losses.add(suspects_lib.compute_fingerprint(call), lost_at)

    def _add_cancelled(self, call: calls.Call) -> None:
        """Tracks a request that was cancelled before its answer.

        Most clients leave while the server works as it should, so that only
        timeouts and trials are a reason to check it.
        """
        now = clock.read_s()
        self._add_loss(call, now + MAX_RUN_AFTER_CANCELLATION_S)
        is_trial = self._is_trial(call)
        if is_trial:
            self._trial.mark_lost()
        if is_trial or call.deadline <= now:
            self._request_crash_check()

    def _is_trial(self, call: calls.Call) -> bool:
        running = self._trial.find_running(clock.read_s())
        return (
            running is not None
            and running == suspects_lib.compute_fingerprint(call)
        )

    def _end_trial(self, call: calls.Call) -> None:
        if self._is_trial(call):
            self._trial.end()

    def _request_crash_check(self) -> None:
        if self._crash_check is None or self._crash_check.done():
            self._crash_check = asyncio.get_running_loop().create_task(
                self._check_crash()
            )

    async def _check_crash(self) -> None:
        """Finds out whether the backend server accepts connections."""
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        if self._losses and self.endpoint is not None:
            try:
                self._return_connection(await self._pool.check_out(True))
            except ConnectionRefusedError:
                self._withdraw_unreachable()
            except OSError as error:
                # It may only be busy. Suspects that are answered are cleared.
                self._log.write("crash check failed", error=repr(error))
                self._record_crash()
        self._trial.end_if_lost()

    def _withdraw_unreachable(self) -> None:
        """Withdraws a backend server whose address nothing listens on.

        It gets no calls until its next heartbeat.
        """
        self._record_crash()
        self._set_endpoint(None, "connection refused")

    def _record_crash(self) -> None:
        known = self._latest_announcement
        if not self._losses or known is None:
            return
        self.crashes += 1
        now = clock.read_s()
        crash, lost = self._losses.take_crash(known.instance, known.started_ms)
        # A trial that hasn't reached the server is none of the causes.
        self.suspects.record_crash(crash, lost, self._trial.find_lost(now), now)
        self._trial.end_if_lost()
        self._log.write(
            "backend server crashed",
            instance=known.instance,
            crash=crash,
            suspects=[fingerprint.hex() for fingerprint in lost],
        )
        self.on_suspects_change()

    async def _run_admitted(
        self, endpoint: members.Endpoint, call: calls.Call
    ) -> calls.Outcome:
        record_duration = False
        started_at = clock.read_s()
        self._budgets.record_execution(call.is_retry)
        self.chain.begin(call.request_id, call.route, call.priority)
        try:
            outcome = await self._send(endpoint, call)
            self._update_suspects(call, outcome, started_at)
            record_duration = (
                isinstance(outcome, http1.Response)
                or outcome.kind is errors.ErrorKind.TIMEOUT
            )
            return self._record_outcome(
                call, outcome, clock.read_s() - started_at
            )
        finally:
            self.chain.end(call.request_id)
            self.admission.release(call, record_duration)

    def _record_outcome(
        self, call: calls.Call, outcome: calls.Outcome, duration_s: float
    ) -> calls.Outcome:
        """Records an outcome and returns it.

        A failure that a failed dependency call may have caused is not recorded;
        if it is a response, the returned one has `dependency_failed` set.
        """
        if isinstance(outcome, http1.Response):
            failed = outcome.status >= MIN_SERVER_ERROR_STATUS
        elif outcome.not_executed:
            # The backend server refused the request although it has a free
            # slot. This is no evidence against its version, but nodes should
            # prefer other backend servers.
            if outcome.kind is errors.ErrorKind.REFUSED_BY_SERVER:
                self._failure_rate.add(True)
            return outcome
        else:
            failed = True
        if failed and self.failed_dependency_calls.may_explain_failure():
            self._log.write(
                "failure not attributed",
                id=call.request_id.decode("latin-1"),
                reason="a call of the backend server failed",
            )
            if isinstance(outcome, http1.Response):
                return dataclasses.replace(outcome, dependency_failed=True)
            return outcome
        self._failure_rate.add(failed)
        count = self.counts.setdefault(call.route, [0, 0, 0])
        count[0] += 1
        count[1] += failed
        count[2] += int(duration_s * 1000)
        if not failed and clock.read_s() - duration_s >= self._warm_at:
            bucket = latencies_lib.find_bucket(duration_s * 1000)
            self.latencies[call.route][bucket] += 1
        return outcome

    async def _send(
        self, endpoint: members.Endpoint, call: calls.Call
    ) -> calls.Outcome:
        if endpoint is not self.endpoint:
            return calls.Refusal(errors.ErrorKind.DRAINING)
        try:
            connection = await self._pool.check_out(call.idempotent)
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                self._withdraw_unreachable()
            return calls.Refusal(errors.ErrorKind.CONNECT_FAILED, repr(error))
        remaining_ms = int(call.remaining_s * 1000)
        if remaining_ms < MIN_DEADLINE_MS:
            self._return_connection(connection)
            return calls.Refusal(errors.ErrorKind.DEADLINE_TOO_SHORT)
        keep_alive = False
        try:
            is_large = len(call.body) > MAX_JOINED_BODY_BYTES
            connection.stream.write(
                self._encode_head(endpoint, call, remaining_ms)
                + (b"" if is_large else call.body)
            )
            self.sent_requests += 1
            self.sent_retries += call.is_retry
            with self._answer_memory.open_account() as account:
                async with deadlines.limit(call.deadline):
                    if is_large:
                        await connection.stream.write_in_parts(call.body)
                    response = await self._read_response(
                        connection, call, account
                    )
            # A response without an id can't be told from a second copy of it,
            # so nothing may follow on its connection.
            keep_alive = (
                response.keep_alive
                and not connection.stream.unsent
                and response.find_header(self._headers.request_id) is not None
            )
            connection.update_max_idle(response)
            self._apply_limit(response, endpoint)
            self._apply_load(response, endpoint)
            self._apply_leaving(response, endpoint)
            self._apply_cold_time(response, endpoint)
            return self._classify_response(response, endpoint, call)
        except TimeoutError:
            return calls.Refusal(errors.ErrorKind.TIMEOUT, reached=True)
        except asyncio.CancelledError:
            self._add_cancelled(call)
            raise
        except messages.IncompleteMessageError as error:
            return calls.Refusal(
                errors.ErrorKind.ANSWER_INCOMPLETE
                if error.started
                else errors.ErrorKind.CONNECTION_LOST,
                reached=True,
            )
        except (
            messages.MalformedMessageError,
            messages.BodyTooLargeError,
        ) as error:
            return calls.Refusal(
                errors.ErrorKind.ANSWER_INCOMPLETE, str(error), reached=True
            )
        finally:
            # Unless the response was complete, a late response on the
            # connection could be mistaken for that of the next request.
            if keep_alive:
                self._return_connection(connection)
            else:
                connection.stream.abort()

    def _return_connection(self, connection: pool.Connection) -> None:
        if self.endpoint is None:
            connection.stream.close()
        else:
            self._pool.check_in(connection)

    async def _read_response(
        self,
        connection: pool.Connection,
        call: calls.Call,
        account: byte_budget.Account,
    ) -> http1.Response:
        """Reads the response to a call, skipping those to other requests."""
        for _ in range(MAX_RESPONSES_READ):
            response = await http1.read_response(
                connection.stream, call.method, account.take
            )
            request_id = response.find_header(self._headers.request_id)
            if request_id == call.request_id or (
                request_id is None and self._may_lack_id(response, connection)
            ):
                return response
            # No other response can follow one that closes the connection.
            if connection.stream.closed:
                break
        raise messages.MalformedMessageError("answer to another request")

    def _may_lack_id(
        self, response: http1.Response, connection: pool.Connection
    ) -> bool:
        """Returns whether a response without an id is that to the latest request.

        Error responses may lack the id. On a connection that has carried earlier
        requests it may belong to none of them, unless it says that the request
        was not executed: no request follows such a response.
        """
        return response.status >= MIN_ERROR_STATUS and (
            not connection.was_used
            or response.find_header(self._headers.not_executed) is not None
        )

    def _apply_limit(
        self, answer: http1.Response, endpoint: members.Endpoint
    ) -> None:
        """Applies the limit in a response; one without a limit ends it."""
        value = answer.find_header(self._headers.limit)
        if (
            endpoint is not self.endpoint
            or answer.status == MISDIRECTED_REQUEST_STATUS
            or not backend.tells_limit(answer, self._headers)
        ):
            return
        try:
            limit_per_s = server_limits.parse_limit(value)
        except ValueError as error:
            self._log.write(
                "server limit ignored",
                instance=endpoint.instance,
                error=str(error),
            )
            return
        self._has_answered = True
        if limit_per_s == self.admission.limit_per_s:
            return
        self._log.write(
            "server limit changed",
            instance=endpoint.instance,
            limit_per_s=limit_per_s,
            earlier_per_s=self.admission.limit_per_s,
            running=self.admission.running,
            waiting=self.admission.waiting,
            sent_requests=self.sent_requests,
            sent_retries=self.sent_retries,
        )
        self.admission.apply_limit(limit_per_s)

    def _apply_load(
        self, answer: http1.Response, endpoint: members.Endpoint
    ) -> None:
        """Applies the slowdown in a response, if it names one."""
        value = answer.find_header(self._headers.load)
        if (
            value is None
            or endpoint is not self.endpoint
            or answer.status == MISDIRECTED_REQUEST_STATUS
        ):
            return
        problem = self._load_reader.read(value, clock.read_s())
        if problem is not None:
            self._log.write(
                "server load ignored",
                instance=endpoint.instance,
                error=problem,
            )

    def _apply_leaving(
        self, answer: http1.Response, endpoint: members.Endpoint
    ) -> None:
        """Drains a backend server that says that it is leaving."""
        value = answer.find_header(self._headers.leaving)
        announced = self._latest_announcement
        if (
            value is None
            or announced is None
            or endpoint is not self.endpoint
            or endpoint.state is not backend.BackendState.SERVING
            or answer.status == MISDIRECTED_REQUEST_STATUS
        ):
            return
        if value.strip() != LEAVING:
            self._log.write(
                "leaving header ignored",
                instance=endpoint.instance,
                value=value[:32].decode("latin-1"),
            )
            return
        self._leaving_incarnation = (announced.instance, announced.started_ms)
        self._add_departure(announced.instance, announced.started_ms)
        self._set_endpoint(
            dataclasses.replace(endpoint, state=backend.BackendState.DRAINING),
            "response says leaving",
        )

    def _apply_cold_time(
        self, answer: http1.Response, endpoint: members.Endpoint
    ) -> None:
        """Applies the cold time in a response.

        A response may be older than the latest heartbeat, so it can't tell that
        the server is warm.
        """
        value = answer.find_header(self._headers.warmup_ms)
        if (
            value is None
            or endpoint is not self.endpoint
            or answer.status == MISDIRECTED_REQUEST_STATUS
        ):
            return
        remaining_s = cold_server.parse_milliseconds(value)
        if remaining_s:
            self.cold.tell_remaining(
                remaining_s, endpoint.instance, clock.read_s()
            )

    def _classify_response(
        self,
        answer: http1.Response,
        endpoint: members.Endpoint,
        call: calls.Call,
    ) -> calls.Outcome:
        if answer.status == MISDIRECTED_REQUEST_STATUS:
            if endpoint is self.endpoint:
                self._set_endpoint(None, "another instance has the address")
            return calls.Refusal(
                errors.ErrorKind.REFUSED_BY_SERVER,
                "another instance has the address",
                reached=True,
            )
        if answer.find_header(self._headers.not_executed) is not None:
            return calls.Refusal(
                errors.ErrorKind.REFUSED_BY_SERVER,
                f"status {answer.status}",
                reached=True,
            )
        if answer.status in NOT_RUN_STATUSES and not call.idempotent:
            return calls.Refusal(
                errors.ErrorKind.ANSWER_INCOMPLETE,
                f"status {answer.status} of a request that may have run",
                reached=True,
            )
        if (
            answer.status < 300
            and answer.find_header(self._headers.signature) is None
        ):
            return calls.Refusal(
                errors.ErrorKind.ANSWER_INCOMPLETE,
                "answer is not signed",
                reached=True,
            )
        return answer

    def _encode_head(
        self, endpoint: members.Endpoint, call: calls.Call, remaining_ms: int
    ) -> bytes:
        headers = [
            *call.headers,
            *(
                [(self._headers.request_id, call.request_id)]
                if call.request_id
                else []
            ),
            (self._headers.deadline_ms, b"%d" % remaining_ms),
            (self._headers.instance, endpoint.instance.encode()),
            (self._headers.caller, call.caller.encode()),
        ]
        if call.account:
            headers.append((self._headers.account, call.account.encode()))
        return http1.encode_request_head(
            call.method, call.target, headers, len(call.body)
        )


def _create_suspect_refusal(
    fingerprint: suspects_lib.Fingerprint, retry_after_s: float
) -> calls.Refusal:
    return calls.Refusal(
        errors.ErrorKind.SUSPECT,
        f"request {fingerprint.hex()}",
        retry_after_s=retry_after_s,
    )


def _is_superseded(
    known: backend.Announcement, announcement: backend.Announcement
) -> bool:
    """Returns whether an announcement supersedes the known one."""
    if announcement.started_ms and known.started_ms:
        if announcement.started_ms != known.started_ms:
            return announcement.started_ms > known.started_ms
    elif announcement.instance != known.instance:
        return True
    if announcement.state is backend.BackendState.GONE:
        return True
    return announcement.sequence > known.sequence


def read_unix_ms() -> int:
    """Returns the current Unix time in milliseconds."""
    return int(time.time() * 1000)
