"""The serving node: the only way to the backend server beside it."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Final

from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair.sidecar import admission as admission_lib
from lycheestair.sidecar import backend
from lycheestair.sidecar import budget
from lycheestair.sidecar import calls
from lycheestair.sidecar import clock
from lycheestair.sidecar import dependencies
from lycheestair.sidecar import http1
from lycheestair.sidecar import journal
from lycheestair.sidecar import members
from lycheestair.sidecar import pool
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import streams

# Heartbeats that may be missing before the backend server counts as gone.
MISSED_HEARTBEATS: Final = 4
MAX_FOREIGN_ANSWERS: Final = 4
# Weight of the latest outcome: this node sees all outcomes of its backend
# server, and all others go by what it reports, so that it must not be noisy.
OWN_FAILURE_WEIGHT: Final = 0.05
MISDIRECTED: Final = 421
FIRST_SERVER_ERROR: Final = 500
# Sent to the backend server so that it stops before its node gives up.
MIN_DEADLINE_MS: Final = 1


class ServingNode:
    """Admits calls and runs them on the own backend server.

    Attributes:
      endpoint: The backend server as announced, None when it is not known.
      changed: Called after the endpoint has changed.
      counts: Answers, failures and time in ms of each route.
      failed_calls: Calls of the backend server that failed.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        headers: backend.HeaderNames,
        budgets: budget.RetryBudgets,
        log: journal.Journal,
    ):
        self.admission = admission_lib.Admission()
        self.endpoint: members.Endpoint | None = None
        self.changed: Callable[[], None] = lambda: None
        self.counts: dict[ids.RouteName, list[int]] = {}
        self.failed_calls = dependencies.FailedCalls()
        self._settings = settings
        self._headers = headers
        self._budgets = budgets
        self._log = log
        self._failures = members.FailureShare(OWN_FAILURE_WEIGHT)
        self._latest: backend.Announcement | None = None
        self._heard_at = 0.0
        # Latest start in Unix milliseconds of incarnations that have left.
        self._left: dict[str, int] = {}
        self._pool = pool.ConnectionPool(settings.server_address)

    # Announcements.

    def announce(self, report: backend.Announcement) -> bool:
        """Takes over a heartbeat or deregistration.

        Returns:
          Whether it comes from the incarnation that is known now or from a
          later one.
        """
        known = self._latest
        if known is not None and not _continues(known, report):
            self._log.write(
                "heartbeat ignored",
                instance=report.instance,
                started_ms=report.started_ms,
                known_started_ms=known.started_ms,
                sequence=report.sequence,
            )
            return False
        incarnation = (report.instance, report.started_ms)
        if report.state is backend.BackendState.GONE:
            self._deregister(report)
            return True
        if report.started_ms <= self._left.get(report.instance, -1):
            # It was delayed on its way, behind the deregistration.
            return True
        if known is None or (known.instance, known.started_ms) != incarnation:
            self._pool.close_idle()
            self.admission.reset_service_time()
            self._failures = members.FailureShare(OWN_FAILURE_WEIGHT)
        self._latest = report
        self._heard_at = clock.read_s()
        self._set_endpoint(
            members.Endpoint(
                report.instance,
                report.service,
                report.version,
                report.slots,
                report.state,
            ),
            "heartbeat",
        )
        return True

    def _deregister(self, report: backend.Announcement) -> None:
        known = self._latest
        started_ms = report.started_ms
        if known is not None and known.instance == report.instance:
            started_ms = started_ms or known.started_ms
            self._set_endpoint(None, "deregistered")
        # What starts after the deregistration is another incarnation.
        self._left[report.instance] = started_ms or read_unix_ms()

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
        serving = (
            endpoint is not None
            and endpoint.state is backend.BackendState.SERVING
        )
        self.admission.resize(
            endpoint.slots if serving and endpoint is not None else 0
        )
        if not serving:
            self._pool.close_idle()
        self.changed()

    def check_heartbeat(self) -> None:
        """Withdraws a backend server that has fallen silent."""
        limit = self._settings.heartbeat_interval_s * MISSED_HEARTBEATS
        if (
            self.endpoint is not None
            and clock.read_s() - self._heard_at > limit
        ):
            self._set_endpoint(None, "no heartbeat")

    def read_load(self) -> list[int]:
        """Returns what `Member.report_load` takes."""
        return [
            *self.admission.read_load(),
            int(self._failures.read() * 100),
        ]

    # Calls.

    async def run(self, call: calls.Call) -> calls.Outcome:
        """Runs a call: one whole answer or one refusal."""
        endpoint = self.endpoint
        if (
            endpoint is None
            or endpoint.state is not backend.BackendState.SERVING
            or endpoint.instance != call.instance
        ):
            return calls.Refusal(
                errors.ErrorKind.DRAINING, "not the endpoint asked for"
            )
        refusal = await self.admission.acquire(call)
        if refusal is not None:
            return refusal
        if call.idempotent:
            return await self._run_admitted(endpoint, call)
        # A request that may have begun goes on without its client: breaking
        # it off would leave open whether its work was done.
        return await asyncio.shield(self._run_admitted(endpoint, call))

    async def _run_admitted(
        self, endpoint: members.Endpoint, call: calls.Call
    ) -> calls.Outcome:
        measured = False
        started = clock.read_s()
        self._budgets.record_execution(call.is_retry)
        try:
            outcome = await self._send(endpoint, call)
            measured = (
                isinstance(outcome, http1.Answer)
                or outcome.kind is errors.ErrorKind.TIMEOUT
            )
            return self._count(call, outcome, clock.read_s() - started)
        finally:
            self.admission.release(call, measured)

    def _count(
        self, call: calls.Call, outcome: calls.Outcome, taken_s: float
    ) -> calls.Outcome:
        """Counts an outcome; returns it with what is known of its cause."""
        if isinstance(outcome, http1.Answer):
            failed = outcome.status >= FIRST_SERVER_ERROR
        elif outcome.not_run:
            # A backend server that turns requests away with slots free says
            # nothing of its version, but others are the better choice.
            if outcome.kind is errors.ErrorKind.REFUSED_BY_SERVER:
                self._failures.add(True)
            return outcome
        else:
            failed = True
        if failed and self.failed_calls.explain():
            self._log.write(
                "failure not counted",
                id=call.request_id.decode("latin-1"),
                reason="a call of the backend server failed",
            )
            if isinstance(outcome, http1.Answer):
                return dataclasses.replace(outcome, lacks_call=True)
            return outcome
        self._failures.add(failed)
        count = self.counts.setdefault(call.route, [0, 0, 0])
        count[0] += 1
        count[1] += failed
        count[2] += int(taken_s * 1000)
        return outcome

    async def _send(
        self, endpoint: members.Endpoint, call: calls.Call
    ) -> calls.Outcome:
        if endpoint is not self.endpoint:
            return calls.Refusal(errors.ErrorKind.DRAINING)
        try:
            connection = await self._pool.check_out(call.idempotent)
        except OSError as error:
            # Nothing listens: calls go elsewhere until the next heartbeat.
            if isinstance(error, ConnectionRefusedError):
                self._set_endpoint(None, "connection refused")
            return calls.Refusal(errors.ErrorKind.CONNECT_FAILED, repr(error))
        remaining_ms = int(call.remaining_s * 1000)
        if remaining_ms < MIN_DEADLINE_MS:
            self._keep(connection)
            return calls.Refusal(errors.ErrorKind.DEADLINE_TOO_SHORT)
        keep = False
        try:
            connection.stream.write(self._encode(endpoint, call, remaining_ms))
            async with asyncio.timeout(call.remaining_s):
                answer = await self._read_answer(connection.stream, call)
            keep = answer.keep and not connection.stream.unsent
            connection.note_answer(answer)
            return self._judge(answer, endpoint)
        except TimeoutError:
            return calls.Refusal(errors.ErrorKind.TIMEOUT, reached=True)
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
            # Every path but a whole answer leaves the connection in a state
            # in which a late answer could be taken for the next one.
            if keep:
                self._keep(connection)
            else:
                connection.stream.abort()

    def _keep(self, connection: pool.Connection) -> None:
        if self.endpoint is None:
            connection.stream.close()
        else:
            self._pool.check_in(connection)

    async def _read_answer(
        self, stream: streams.Stream, call: calls.Call
    ) -> http1.Answer:
        """Reads the answer to the call, past answers to earlier ones."""
        for _ in range(MAX_FOREIGN_ANSWERS):
            answer = await http1.read_answer(stream, call.method)
            if answer.find(self._headers.request_id) == call.request_id:
                return answer
            # Refusals may come without an id; one that ends the connection
            # can't be followed by another answer.
            if (
                answer.find(self._headers.request_id) is None
                and answer.status >= 400
            ):
                return answer
            if stream.ended:
                break
        raise messages.MalformedMessageError("answer to another request")

    def _judge(
        self, answer: http1.Answer, endpoint: members.Endpoint
    ) -> calls.Outcome:
        if answer.status == MISDIRECTED:
            if endpoint is self.endpoint:
                self._set_endpoint(None, "another instance has the address")
            return calls.Refusal(
                errors.ErrorKind.REFUSED_BY_SERVER,
                "another instance has the address",
                reached=True,
            )
        if answer.find(self._headers.not_run) is not None:
            return calls.Refusal(
                errors.ErrorKind.REFUSED_BY_SERVER,
                f"status {answer.status}",
                reached=True,
            )
        if answer.status < 300 and answer.find(self._headers.proof) is None:
            return calls.Refusal(
                errors.ErrorKind.ANSWER_INCOMPLETE,
                "answer is not signed",
                reached=True,
            )
        return answer

    def _encode(
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
        return http1.encode_request(
            call.method, call.target, headers, call.body
        )


def _continues(
    known: backend.Announcement, report: backend.Announcement
) -> bool:
    """Whether a report is not from before what is known."""
    if report.started_ms and known.started_ms:
        if report.started_ms != known.started_ms:
            return report.started_ms > known.started_ms
    elif report.instance != known.instance:
        return True
    if report.state is backend.BackendState.GONE:
        return True
    return report.sequence > known.sequence


def read_unix_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return int(time.time() * 1000)
