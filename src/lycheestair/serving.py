"""Admission, execution and crash detection for the local backend server."""

import collections
import dataclasses
import threading
import time
from typing import Final

from absl import logging

from lycheestair import admission as admission_lib
from lycheestair import calls
from lycheestair import departures
from lycheestair import error_responses
from lycheestair import errors
from lycheestair import forwarding
from lycheestair import ids
from lycheestair import injection
from lycheestair import members
from lycheestair import messages
from lycheestair import observations
from lycheestair import server_limits
from lycheestair import settings as settings_lib
from lycheestair import suspects as suspects_lib

# A backend server without a heartbeat for this long is marked as failed.
HEARTBEAT_TIMEOUT_S: Final = 5.0

# Delays before each check whether the backend server still listens, because a
# dying process may close its connections before its listening socket.
LISTEN_CHECK_DELAYS_S: Final[tuple[float, ...]] = (0.0, 0.01, 0.05)
# Calls lost at most this long before a crash is detected are attributed to it.
CRASH_ATTRIBUTION_WINDOW_S: Final = 1.0
MAX_LOST_CALLS: Final = 256

_CONNECTION_LOSS_KINDS: Final = frozenset(
    {errors.ErrorKind.CONNECTION_LOST, errors.ErrorKind.ANSWER_INCOMPLETE}
)
_SERVER_FAILURE_KINDS: Final = frozenset(
    {
        errors.ErrorKind.TIMEOUT,
        errors.ErrorKind.CONNECTION_LOST,
        errors.ErrorKind.ANSWER_INCOMPLETE,
    }
)


@dataclasses.dataclass(frozen=True)
class BackendServer:
    """Announced properties of the backend server.

    Attributes:
      started_ms: Unix time in milliseconds at which its process started, 0 if it
        doesn't tell.
    """

    service: ids.ServiceName
    version: ids.VersionName
    address: ids.Address
    slots: int
    started_ms: int = 0


class ServingNode:
    """Admits calls and runs them on the local backend server."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        membership: members.Membership,
        recorder: observations.OutcomeRecorder,
        forwarder: forwarding.Forwarder,
        contexts: calls.ContextTable,
        suspects: suspects_lib.SuspectTable,
    ):
        self.admission = admission_lib.Admission(settings.requests)
        self._membership = membership
        self._recorder = recorder
        self._forwarder = forwarder
        self._contexts = contexts
        self._suspects = suspects
        self._lock = threading.Lock()
        self._server: BackendServer | None = None
        self._started_at = 0.0
        self._last_heartbeat_at = 0.0
        self._leaving = False
        # Processes that have left, by address.
        self._departures = departures.Departures()
        # Calls that may have reached the backend server, by object id.
        self._sent_calls: dict[int, calls.Call] = {}
        self._lost_calls: collections.deque[tuple[float, calls.Call]] = (
            collections.deque(maxlen=MAX_LOST_CALLS)
        )

    def announce(self, server: BackendServer) -> bool:
        """Processes an announcement or heartbeat of the backend server.

        Returns:
          False if it was ignored because its process has left.
        """
        with self._lock:
            if self._departures.contains(server.address, server.started_ms):
                logging.info(
                    "delayed heartbeat of a backend server that has left ignored"
                )
                return False
            self._last_heartbeat_at = time.monotonic()
            if server == self._server or self._leaving:
                return True
            self._server = server
            # They belong to a crash of the previous process.
            self._lost_calls.clear()
            self._started_at = time.time()
            self.admission.open(server.slots)
            self.admission.start_trial()
            self._publish(members.EndpointState.SERVING)
            return True

    def depart(self, server: BackendServer | None, timeout_s: float) -> bool:
        """Withdraws the backend server because it is about to exit.

        Args:
          server: The backend server as it describes itself, None if it doesn't.
          timeout_s: Time in seconds to wait for admitted calls.

        Returns:
          Whether all admitted calls finished within the timeout.
        """
        with self._lock:
            current = self._server
            if server is not None and server.started_ms:
                self._departures.add(server.address, server.started_ms)
                if (
                    current is not None
                    and current.address == server.address
                    and current.started_ms > server.started_ms
                ):
                    # The next process has been announced already.
                    return True
            elif current is not None and current.started_ms:
                self._departures.add(current.address, current.started_ms)
        return self.withdraw(timeout_s)

    def withdraw(self, timeout_s: float) -> bool:
        """Stops admitting calls and waits for the admitted ones to finish.

        Returns:
          Whether all admitted calls finished within the timeout.
        """
        with self._lock:
            self.admission.close()
            self._publish(members.EndpointState.DRAINING)
        finished = self.admission.wait_until_idle(timeout_s)
        with self._lock:
            self._server = None
            self._membership.announce_endpoint(None)
        return finished

    def drain(self, timeout_s: float) -> bool:
        """Withdraws the endpoint permanently because the node shuts down."""
        self._leaving = True
        return self.withdraw(timeout_s)

    def check_heartbeat(self) -> None:
        """Marks the endpoint as failed if its heartbeat is overdue."""
        with self._lock:
            server = self._server
            since_heartbeat_s = time.monotonic() - self._last_heartbeat_at
        if server is not None and since_heartbeat_s > HEARTBEAT_TIMEOUT_S:
            logging.warning(
                "backend server sent no heartbeat in time; marking its"
                " endpoint as failed"
            )
            self._mark_failed(server)

    def _publish(self, state: members.EndpointState) -> None:
        server = self._server
        if server is not None:
            self._membership.announce_endpoint(
                members.Endpoint(
                    service=server.service,
                    version=server.version,
                    slots=server.slots,
                    state=state,
                    started_at=self._started_at,
                )
            )

    def _mark_failed(self, server: BackendServer) -> bool:
        with self._lock:
            if self._server != server:
                return False
            self.admission.close()
            self._publish(members.EndpointState.FAILED)
            self._server = None
        # Queued calls never reached the backend server: they fail as not-run.
        self.admission.fail_queued(
            errors.Failure(
                errors.ErrorKind.CONNECT_FAILED, "backend server is gone"
            )
        )
        return True

    def run(self, call: calls.Call) -> messages.Response | errors.Failure:
        """Runs a call and returns the complete response or a failure."""
        server = self._server
        if server is None or (server.service, server.version) != (
            call.service,
            call.version,
        ):
            return errors.Failure(
                errors.ErrorKind.DRAINING, "not the endpoint asked for"
            )
        verdict = self._suspects.classify(call)
        if verdict is suspects_lib.Verdict.REFUSE:
            return errors.Failure(errors.ErrorKind.SUSPECT)
        if verdict is suspects_lib.Verdict.RUN_ALONE:
            call.alone = True
        failure = self.admission.acquire(call)
        if failure is not None:
            return failure
        injection.reach(injection.Point.REQUEST_ADMITTED)
        started = time.monotonic()
        try:
            return self._exchange(server, call)
        finally:
            self.admission.release(call, time.monotonic() - started)

    def _exchange(
        self, server: BackendServer, call: calls.Call
    ) -> messages.Response | errors.Failure:
        token = self._contexts.issue(call)
        started = time.monotonic()

        def encode_headers() -> bytes:
            self._sent_calls[id(call)] = call
            return calls.encode_server_headers(call, token)

        try:
            outcome = self._forwarder.exchange(
                server.address,
                call,
                encode_headers,
                lambda: injection.reach(injection.Point.REQUEST_SENT),
            )
            elapsed_s = time.monotonic() - started
            if isinstance(outcome, errors.Failure):
                self._detect_crash(server, call, outcome)
            else:
                self._apply_limit(server, outcome)
        finally:
            self._contexts.revoke(token)
            self._sent_calls.pop(id(call), None)
        injection.reach(injection.Point.REQUEST_ANSWERED)
        outcome = self._record_outcome(call, outcome, elapsed_s)
        if call.alone and isinstance(outcome, messages.Response):
            self._suspects.record_success(call)
        return outcome

    def _apply_limit(
        self, server: BackendServer, response: messages.Response
    ) -> None:
        """Applies the limit in a response; one without a limit ends it."""
        if server is not self._server:
            return
        value = response.find_header(calls.LIMIT_HEADER)
        try:
            limit_per_s = server_limits.parse_limit(value)
        except ValueError as error:
            logging.warning("limit of the backend server ignored: %s", error)
            return
        if limit_per_s != self.admission.limit_per_s:
            logging.info(
                "limit of the backend server changed from %s to %s a second",
                self.admission.limit_per_s,
                limit_per_s,
            )
        self.admission.apply_limit(limit_per_s)

    def _record_outcome(
        self,
        call: calls.Call,
        outcome: messages.Response | errors.Failure,
        elapsed_s: float,
    ) -> messages.Response | errors.Failure:
        """Records the outcome if the request may have run, and returns it.

        A response that the backend server marked as "not-run" is returned as a
        failure.
        """
        if isinstance(outcome, messages.Response):
            if (
                outcome.find_header(error_responses.EXECUTION_HEADER)
                == b"not-run"
            ):
                return errors.Failure(errors.ErrorKind.REFUSED_BY_SERVER)
            failed = outcome.status >= 500
        else:
            failed = outcome.kind in _SERVER_FAILURE_KINDS
            if not failed:
                return outcome
        self._recorder.record(
            observations.VersionRoute(call.service, call.version, call.route),
            failed,
            elapsed_s * 1000,
        )
        return outcome

    def _detect_crash(
        self,
        server: BackendServer,
        call: calls.Call,
        failure: errors.Failure,
    ) -> None:
        """Marks the endpoint as failed if its server no longer listens."""
        delays: tuple[float, ...] = LISTEN_CHECK_DELAYS_S
        if failure.kind is errors.ErrorKind.CONNECT_FAILED:
            delays = delays[:1]
        elif failure.kind in _CONNECTION_LOSS_KINDS:
            self._lost_calls.append((time.monotonic(), call))
        else:
            return
        for delay_s in delays:
            time.sleep(delay_s)
            if not self._forwarder.can_connect(server.address):
                break
        else:
            return
        if self._mark_failed(server):
            in_flight = self._list_calls_in_flight()
            logging.warning(
                "backend server crashed with %d requests in flight",
                len(in_flight),
            )
            if in_flight:
                self._suspects.record_crash(in_flight)

    def _list_calls_in_flight(self) -> list[calls.Call]:
        """Returns sent calls without a response, also those just lost."""
        cutoff = time.monotonic() - CRASH_ATTRIBUTION_WINDOW_S
        in_flight = dict(self._sent_calls)
        in_flight.update(
            (id(call), call)
            for at, call in list(self._lost_calls)
            if at > cutoff
        )
        return list(in_flight.values())
