"""Request handling on entry nodes, with retries, and on serving nodes."""

import time
from typing import Final
from typing import TypeGuard

import xxhash

from lycheestair import calls
from lycheestair import claims as claims_lib
from lycheestair import endpoints
from lycheestair import error_responses
from lycheestair import errors
from lycheestair import forwarding
from lycheestair import ids
from lycheestair import injection
from lycheestair import messages
from lycheestair import retries
from lycheestair import routing
from lycheestair import serving
from lycheestair import settings as settings_lib
from lycheestair import shutdowns
from lycheestair import suspects as suspects_lib
from lycheestair import version_choice

FIRST_SERVER_ERROR_STATUS: Final = 500
# Limit of retries after failures of `_UNBUDGETED_KINDS`. These retries count
# against neither the retry limit nor the retry budget: no work was done, and
# they can't accumulate, because a request tries each endpoint at most once.
MAX_UNBUDGETED_RETRIES: Final = 4
# Failures for which the request did not run, because the endpoint is draining,
# not ready or unreachable. Refusals at the limit of a backend server are treated
# like these.
_UNBUDGETED_KINDS: Final = frozenset(
    {
        errors.ErrorKind.DRAINING,
        errors.ErrorKind.NOT_READY,
        errors.ErrorKind.CONNECT_FAILED,
    }
)

Outcome = messages.Response | errors.Failure


class Proxy:
    """Handles client requests that arrive on the caller listener.

    Attributes:
      ready: Whether requests are accepted.
      routes: Routes of the configuration in force, None if there is none.
      shutdown: Tells which requests are accepted while the node shuts down.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        version_chooser: version_choice.VersionChooser,
        endpoint_table: endpoints.EndpointTable,
        server: serving.ServingNode,
        forwarder: forwarding.Forwarder,
        contexts: calls.ContextTable,
        claims: claims_lib.KeyClaims,
        suspects: suspects_lib.SuspectTable,
    ):
        self.ready = False
        self.routes: routing.RoutingTable | None = None
        self.shutdown = shutdowns.Shutdown()
        self._max_depth = settings.requests.max_depth
        self._retry_budget = retries.RetryBudget(settings.requests)
        self._version_chooser = version_chooser
        self._endpoint_table = endpoint_table
        self._serving_node = server
        self._forwarder = forwarder
        self._contexts = contexts
        self._claims = claims
        self._suspects = suspects
        self._request_ids = calls.RequestIdGenerator()

    def handle(self, request: messages.Request) -> messages.Response:
        """Returns the backend server's response or an error response."""
        received_at = time.monotonic()
        injection.reach(injection.Point.REQUEST_RECEIVED)
        request_id = self._request_ids.generate()
        outcome = self._process(request, request_id, received_at)
        if isinstance(outcome, errors.Failure):
            response = error_responses.encode(outcome)
        else:
            response = messages.Response(
                outcome.status,
                messages.select_end_to_end_headers(outcome.headers),
                outcome.body,
            )
        if request.method == "HEAD" and isinstance(outcome, messages.Response):
            content_length = outcome.find_header(b"content-length")
            if content_length is not None:
                response.headers.append((b"content-length", content_length))
        response.headers.append((calls.REQUEST_ID_HEADER, request_id.encode()))
        return response

    def _process(
        self, request: messages.Request, request_id: str, received_at: float
    ) -> Outcome:
        prepared = self.prepare(request, request_id, received_at)
        if isinstance(prepared, errors.Failure):
            return prepared
        injection.reach(injection.Point.REQUEST_ROUTED)
        call, entry = prepared
        key = request.find_header(calls.IDEMPOTENCY_KEY_HEADER)
        if key is None or entry.route.idempotent:
            return self._run_with_retries(call, entry)
        return self._run_with_key(
            call, entry, ids.IdempotencyKey(key.decode("latin-1"))
        )

    def prepare(
        self, request: messages.Request, request_id: str, received_at: float
    ) -> tuple[calls.Call, routing.RouteEntry] | errors.Failure:
        """Routes a request; returns the failure if it is refused here."""
        routes = self.routes
        if not self.ready or routes is None:
            return errors.Failure(errors.ErrorKind.NOT_READY)
        try:
            parent = self._find_parent(request)
            entry = routes.match(request)
        except calls.MalformedCallError as error:
            return errors.Failure(errors.ErrorKind.INTERNAL_HEADER, str(error))
        except routing.AmbiguousPathError as error:
            return errors.Failure(errors.ErrorKind.BAD_REQUEST, str(error))
        if entry is None:
            return errors.Failure(errors.ErrorKind.NO_ROUTE)
        call = _create_call(request, request_id, received_at, entry, parent)
        if call.depth >= self._max_depth:
            return errors.Failure(errors.ErrorKind.DEPTH_EXCEEDED)
        if call.remaining_s <= 0:
            return errors.Failure(errors.ErrorKind.DEADLINE_TOO_SHORT)
        if not self.shutdown.accepts(call.deadline, received_at):
            return errors.Failure(errors.ErrorKind.NOT_READY, "shutting down")
        if self._suspects.classify(call) is suspects_lib.Verdict.REFUSE:
            return errors.Failure(errors.ErrorKind.SUSPECT)
        return call, entry

    def _find_parent(self, request: messages.Request) -> calls.Call | None:
        parent = None
        for name, value in request.headers:
            if not name.startswith(messages.INTERNAL_HEADER_PREFIX):
                continue
            if name != calls.CONTEXT_HEADER:
                raise calls.MalformedCallError(name.decode())
            parent = self._contexts.find(value)
            if parent is None:
                raise calls.MalformedCallError(
                    "context of no request in progress"
                )
        return parent

    def _run_with_key(
        self,
        call: calls.Call,
        entry: routing.RouteEntry,
        key: ids.IdempotencyKey,
    ) -> Outcome:
        request = call.request
        digest = xxhash.xxh3_128(
            f"{request.method}\n{call.route}\n".encode()
            + request.target
            + b"\n"
            + request.body
        )
        claim = self._claims.claim(key, digest.hexdigest(), call.remaining_s)
        if isinstance(claim, errors.Failure):
            return claim
        if isinstance(claim, claims_lib.Replay):
            return _decode_record(claim.answer)
        call.grant = claim
        # The key is released for another run only if this request is known
        # not to have run.
        outcome: Outcome = errors.Failure(errors.ErrorKind.INTERNAL)
        try:
            outcome = self._run_with_retries(call, entry)
        finally:
            if isinstance(outcome, messages.Response):
                self._claims.complete(claim, _encode_record(outcome))
            elif outcome.response.execution is errors.Execution.NOT_RUN:
                self._claims.release(claim)
            else:
                self._claims.complete(claim, None)
        injection.reach(injection.Point.REQUEST_RECORDED)
        return outcome

    def _run_with_retries(
        self, call: calls.Call, entry: routing.RouteEntry
    ) -> Outcome:
        """Attempts the request until it succeeds or must not be retried."""
        self._retry_budget.add_request()
        tried_nodes: set[ids.NodeId] = set()
        failed_versions: set[ids.VersionName] = set()
        unbudgeted_retries = 0
        last_outcome: Outcome | None = None
        while True:
            verdict = self._suspects.classify(call)
            if verdict is suspects_lib.Verdict.REFUSE:
                return last_outcome or errors.Failure(errors.ErrorKind.SUSPECT)
            is_trial = verdict is suspects_lib.Verdict.RUN_ALONE
            target = self._choose_target(
                call, entry, tried_nodes, failed_versions, is_trial
            )
            if target is None:
                return last_outcome or errors.Failure(
                    errors.ErrorKind.NO_ENDPOINT
                )
            outcome = self._attempt(call, target)
            last_outcome = _select_outcome(last_outcome, outcome)
            if is_trial or not self._may_retry(call, entry, outcome):
                return last_outcome
            kind = None
            at_limit = False
            if isinstance(outcome, errors.Failure):
                kind = outcome.kind
                at_limit = outcome.retry_after_s > 0
            if (
                kind in _UNBUDGETED_KINDS or at_limit
            ) and unbudgeted_retries < MAX_UNBUDGETED_RETRIES:
                unbudgeted_retries += 1
            elif call.remaining_retries > 0 and self._retry_budget.try_spend():
                call.remaining_retries -= 1
            else:
                return last_outcome
            tried_nodes.add(target.node_id)
            if kind is None:
                failed_versions.add(call.version)
            # The request itself may have crashed the backend server, so its
            # next attempts run alone, see calls.Call.
            call.alone |= kind is errors.ErrorKind.CONNECTION_LOST

    def _may_retry(
        self, call: calls.Call, entry: routing.RouteEntry, outcome: Outcome
    ) -> bool:
        if isinstance(outcome, messages.Response):
            return (
                outcome.status >= FIRST_SERVER_ERROR_STATUS
                and entry.route.idempotent
                and call.remaining_s > 0
            )
        response = outcome.response
        if not response.retry_elsewhere or call.remaining_s <= 0:
            return False
        return (
            entry.route.idempotent
            or response.execution is errors.Execution.NOT_RUN
        )

    def _choose_target(
        self,
        call: calls.Call,
        entry: routing.RouteEntry,
        tried: set[ids.NodeId],
        failed: set[ids.VersionName],
        is_trial: bool,
    ) -> endpoints.Target | None:
        """Chooses a version and one of its endpoints.

        The share of a version without a usable endpoint goes to the other
        versions. A version that already failed this request is chosen only if
        no other version has a usable endpoint.

        Args:
          call: Call whose version is set.
          entry: Route of the request.
          tried: Nodes that must not be chosen again.
          failed: Versions that responded with a server error.
          is_trial: Whether the request may have crashed a backend server, so
            that all nodes must choose the same endpoint.
        """
        excluded = frozenset(failed)
        while True:
            version = self._version_chooser.choose(entry, excluded)
            if version is None and failed:
                excluded -= failed
                failed = set()
                version = self._version_chooser.choose(entry, excluded)
            if version is None:
                return None
            if is_trial:
                target = self._endpoint_table.choose_tester(
                    call.service, version, call.fingerprint(), tried
                )
            else:
                target = self._endpoint_table.choose(
                    call.service, version, tried
                )
            if target is not None:
                call.version = version
                return target
            excluded |= {version}

    def _attempt(self, call: calls.Call, target: endpoints.Target) -> Outcome:
        outcome: Outcome = errors.Failure(errors.ErrorKind.INTERNAL)
        try:
            if target.is_local:
                outcome = self._serving_node.run(call)
            else:
                outcome = self._forward(call, target)
        finally:
            if isinstance(outcome, errors.Failure):
                self._endpoint_table.report(
                    target, outcome.kind, False, outcome.retry_after_s
                )
            else:
                self._endpoint_table.report(target, None, outcome.status >= 500)
        return outcome

    def _forward(self, call: calls.Call, target: endpoints.Target) -> Outcome:
        outcome = self._forwarder.exchange(
            target.peer, call, lambda: calls.encode_peer_headers(call)
        )
        if isinstance(outcome, errors.Failure):
            return outcome
        return error_responses.decode(outcome) or outcome


def _select_outcome(earlier: Outcome | None, latest: Outcome) -> Outcome:
    """Selects the outcome to return after two attempts.

    A refusal that says that the request has not run would be untrue after an
    attempt that may have run. Of two such refusals, the one that says the
    earliest time is returned.
    """
    if earlier is None or not _is_not_run(latest):
        return latest
    if not _is_not_run(earlier):
        return earlier
    if 0 < earlier.retry_after_s < latest.retry_after_s:
        return earlier
    return latest


def _is_not_run(outcome: Outcome) -> TypeGuard[errors.Failure]:
    return (
        isinstance(outcome, errors.Failure)
        and outcome.response.execution is errors.Execution.NOT_RUN
    )


def _create_call(
    request: messages.Request,
    request_id: str,
    received_at: float,
    entry: routing.RouteEntry,
    parent: calls.Call | None,
) -> calls.Call:
    route = entry.route
    deadline = received_at + route.timeout_ms / 1000
    return calls.Call(
        request=request,
        request_id=request_id,
        route=route.name,
        service=route.service,
        version=ids.VersionName(""),
        deadline=min(deadline, parent.deadline) if parent else deadline,
        depth=parent.depth + 1 if parent else 0,
        remaining_retries=min(route.retry_limit, parent.remaining_retries)
        if parent
        else route.retry_limit,
        can_wait=route.can_wait,
        from_service=parent is not None,
    )


def _encode_record(answer: messages.Response) -> claims_lib.RecordedResponse:
    return claims_lib.RecordedResponse(
        answer.status,
        tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in messages.select_end_to_end_headers(
                answer.headers
            )
        ),
        answer.body,
    )


def _decode_record(record: claims_lib.RecordedResponse) -> messages.Response:
    return messages.Response(
        record.status,
        [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in record.headers
        ],
        record.body,
    )


class PeerHandler:
    """Handles requests that entry nodes send to the peer listener."""

    def __init__(self, server: serving.ServingNode):
        self._serving_node = server

    def handle(self, request: messages.Request) -> messages.Response:
        """Returns the local backend server's response or an error response."""
        try:
            call = calls.decode_peer_headers(request)
        except calls.MalformedCallError as error:
            return error_responses.encode(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, str(error))
            )
        outcome = self._serving_node.run(call)
        if isinstance(outcome, errors.Failure):
            response = error_responses.encode(outcome)
        else:
            response = messages.Response(
                outcome.status,
                messages.select_end_to_end_headers(outcome.headers),
                outcome.body,
            )
            content_length = outcome.find_header(b"content-length")
            if request.method == "HEAD" and content_length is not None:
                response.headers.append((b"content-length", content_length))
        response.headers.append(
            (calls.REQUEST_ID_HEADER, call.request_id.encode())
        )
        return response
