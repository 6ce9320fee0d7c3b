"""Entry node: receives client requests, routes them and returns responses."""

import contextlib
import random
from typing import Final

from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair import server_limits
from lycheestair import shutdowns
from lycheestair.sidecar import backend
from lycheestair.sidecar import balancer
from lycheestair.sidecar import budget
from lycheestair.sidecar import calls
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import deadlines
from lycheestair.sidecar import error_responses
from lycheestair.sidecar import event_log
from lycheestair.sidecar import gossip as gossip_lib
from lycheestair.sidecar import http1
from lycheestair.sidecar import members
from lycheestair.sidecar import metrics
from lycheestair.sidecar import serving
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import splits
from lycheestair.sidecar import suspects
from lycheestair.sidecar import versions as versions_lib
from lycheestair.sidecar.accounts import authentication
from lycheestair.sidecar.accounts import gate
from lycheestair.sidecar.places import regions

# Serving nodes tried for one request. A refusal wastes no backend work, but
# the request is delayed meanwhile.
MAX_NODES_TRIED: Final = 4
# Overloaded nodes tried for one request. The nearest and least loaded nodes are
# tried first, so a third one is unlikely to have capacity. A dependency call tries
# more, because the request that made it has run.
MAX_OVERLOADED_NODES: Final = 2
# Nodes that may send a request back because another one seems to have a shorter
# queue. After that, the request joins the queue that seems shortest.
MAX_LONG_QUEUES: Final = 2
# Refusals and failures after which no other node is tried.
FINAL_KINDS: Final = frozenset(
    {errors.ErrorKind.TIMEOUT, errors.ErrorKind.SUSPECT}
)
# Refusals of calls to services without free capacity.
NO_CAPACITY_KINDS: Final = frozenset(
    {errors.ErrorKind.OVERLOADED, errors.ErrorKind.LONG_QUEUE}
)
# Reserved for returning the response before the client times out.
RESPONSE_MARGIN_S: Final = 0.02
# Timeout of clients that send no valid one.
DEFAULT_TIMEOUT_S: Final = 30.0


class EntryNode:
    """Handles requests from clients and from the local backend server."""

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        headers: backend.HeaderNames,
        table: members.MemberTable,
        gossip: gossip_lib.Gossip,
        planner: versions_lib.VersionPlanner,
        server: serving.ServingNode,
        budgets: budget.RetryBudgets,
        shutdown: shutdowns.Shutdown,
        log: event_log.EventLog,
        node_metrics: metrics.Metrics,
    ):
        self._settings = settings
        self._headers = headers
        # Removed from client requests; the serving node sets its own values.
        self._reserved_headers = frozenset(
            {
                headers.request_id,
                headers.deadline_ms,
                headers.instance,
                headers.caller,
                headers.account,
            }
        )
        self._accounts = gate.AccountGate(
            settings, headers, table, gossip, log, node_metrics
        )
        self._table = table
        self._gossip = gossip
        self._balancer = balancer.Balancer(
            table, planner, random.Random(), server.place.evacuations
        )
        server.is_tester = self._balancer.is_tester
        self._splits = splits.SplitSelector()
        self._serving_node = server
        self._shutdown = shutdown
        self._log = log
        self._metrics = node_metrics
        self._budgets = budgets

    # Interface of `ingress.connection.RequestHandler`.

    @property
    def limits(self) -> catalog_lib.ClientLimits:
        """Limits of client requests."""
        return self._gossip.catalog.limits

    @property
    def is_leaving(self) -> bool:
        """Whether the node shuts down."""
        return self._gossip.leaving

    def is_idempotent(self, request: http1.Request) -> bool:
        """Returns whether a request has a route and may run more than once."""
        route = self._gossip.catalog.match(request.host, request.path)
        return route is not None and route.idempotent

    def describe(self, request: http1.Request) -> str:
        """Returns the id of a request for the log."""
        return (request.find_header(self._headers.request_id) or b"").decode(
            "latin-1"
        )

    async def handle(
        self, request: http1.Request, from_local_backend: bool = False
    ) -> http1.Response:
        """Returns the backend server's response or an error response.

        Args:
          request: The request, including its body.
          from_local_backend: Whether it came from the address of the local backend
            server.
        """
        arrived_at = clock.read_s()
        request_id = request.find_header(self._headers.request_id) or b""
        catalog = self._gossip.catalog
        route = None
        tried: list[str] = []
        outcome: calls.Outcome
        if not catalog.generation:
            outcome = calls.Refusal(errors.ErrorKind.NOT_READY)
        else:
            route = catalog.match(request.host, request.path)
            if route is None and self._gossip.replica.is_outdated:
                # The newer configuration may have the route, and no client
                # repeats a request after status 404.
                outcome = calls.Refusal(
                    errors.ErrorKind.NOT_READY,
                    "newer configuration not received yet",
                )
            elif route is None:
                outcome = calls.Refusal(errors.ErrorKind.NO_ROUTE)
            else:
                call = self._create_call(request, request_id, route, arrived_at)
                call.own = from_local_backend
                outcome = await self._run_call(call, request, route, tried)
        if from_local_backend and _is_error(outcome):
            self._serving_node.failed_dependency_calls.add()
        self._report_outcome(
            request_id, catalog, route, outcome, arrived_at, tried
        )
        if isinstance(outcome, http1.Response):
            return http1.Response(
                outcome.status,
                messages.select_end_to_end_headers(outcome.headers),
                outcome.body,
            )
        response = error_responses.create_error_response(outcome)
        if request_id:
            response.headers.append((self._headers.request_id, request_id))
        return response

    async def _run_call(
        self,
        call: calls.Call,
        request: http1.Request,
        route: catalog_lib.Route,
        tried: list[str],
    ) -> calls.Outcome:
        """Checks a call, and sends it unless it is refused here."""
        refusal = None
        if not self._prepare_dependency_call(call):
            refusal = self._accounts.identify(call, request, route)
        refusal = refusal or self._serving_node.refuse_suspect(call)
        if refusal is not None:
            return refusal
        if not self._shutdown.accepts(call.deadline, clock.read_s()):
            return calls.Refusal(errors.ErrorKind.NOT_READY, "shutting down")
        outcome = await self._send_within_allowance(call, route, tried)
        if (
            call.is_dependency
            and isinstance(outcome, calls.Refusal)
            and outcome.kind in NO_CAPACITY_KINDS
        ):
            self._serving_node.chain.record_refused_call(clock.read_s())
        return outcome

    def _prepare_dependency_call(self, call: calls.Call) -> bool:
        """Ranks a dependency call; returns whether the call is one."""
        chain = self._serving_node.chain
        parent = chain.find_parent(call.request_id) if call.own else None
        if parent is None:
            return False
        call.is_dependency = True
        call.priority = chain.begin_call(parent)
        return True

    def _report_outcome(
        self,
        request_id: bytes,
        catalog: catalog_lib.Catalog,
        route: catalog_lib.Route | None,
        outcome: calls.Outcome,
        arrived_at: float,
        tried: list[str],
    ) -> None:
        fields: dict[str, object]
        duration_s = clock.read_s() - arrived_at
        if isinstance(outcome, http1.Response):
            fields = {"status": outcome.status}
            self._metrics.observe(
                "request", duration_s, outcome=f"status_{outcome.status}"
            )
        else:
            self._metrics.observe(
                "request", duration_s, outcome=outcome.kind.value
            )
            fields = {
                "kind": outcome.kind.value,
                "detail": outcome.detail,
                "retry_after_s": round(outcome.retry_after_s, 2),
            }
        self._log.write(
            "request answered"
            if isinstance(outcome, http1.Response)
            else "request refused",
            id=request_id.decode("latin-1"),
            route=route.name if route else None,
            generation=catalog.generation,
            tried=tried,
            taken_ms=int(duration_s * 1000),
            **fields,
        )

    def _create_call(
        self,
        request: http1.Request,
        request_id: bytes,
        route: catalog_lib.Route,
        arrived_at: float,
    ) -> calls.Call:
        client_timeout_s = DEFAULT_TIMEOUT_S
        with contextlib.suppress(ValueError):
            # Without a valid value only the timeout of the route applies.
            client_timeout_s = (
                int(request.find_header(self._headers.deadline_ms) or b"")
                / 1000
            )
        return calls.Call(
            request_id=request_id,
            method=request.method,
            target=request.target,
            headers=[
                header
                for header in messages.select_end_to_end_headers(
                    request.headers
                )
                if authentication.normalize_name(header[0])
                not in self._reserved_headers
                and not self._accounts.hides(header[0])
            ],
            body=request.body,
            caller=self._settings.service,
            route=route.name,
            service=self._splits.choose(route),
            instance="",
            idempotent=route.idempotent,
            priority=route.priority,
            deadline=arrived_at
            + min(client_timeout_s - RESPONSE_MARGIN_S, route.timeout_s),
            objective=arrived_at + route.objective_s,
        )

    async def _send_within_allowance(
        self, call: calls.Call, route: catalog_lib.Route, tried: list[str]
    ) -> calls.Outcome:
        refusal = self._accounts.refuse_excess(call)
        if refusal is not None:
            return refusal
        outcome = await self._send_with_retries(call, route, tried)
        self._accounts.settle(call, outcome)
        return outcome

    async def _send_with_retries(
        self, call: calls.Call, route: catalog_lib.Route, tried: list[str]
    ) -> calls.Outcome:
        """Tries nodes until an attempt yields the final outcome.

        The outcome of an attempt that may have been executed takes precedence
        over later attempts that were not: the client must not be told that its
        request was not executed.
        """
        refusal = self._apply_regions(call, route)
        if refusal is not None:
            return refusal
        retry_budget = self._budgets.find(call.service)
        retry_budget.record_request(call.own)
        if self._serving_node.classify(call) is suspects.Verdict.TRIAL:
            return await self._send_trial(call, tried)
        reached_count = overloaded_count = long_queue_count = 0
        outcome: calls.Outcome = calls.Refusal(
            errors.ErrorKind.NO_ENDPOINT, regions.describe(call.regions)
        )
        any_possibly_executed = False
        excluded: set[ids.NodeId] = set()
        while len(tried) - long_queue_count < MAX_NODES_TRIED:
            self._table.own.report_load(*self._serving_node.read_load())
            self._apply_regions(call, route)
            member = self._balancer.choose(call, excluded, clock.read_s())
            if member is None or call.remaining_s <= 0:
                break
            if long_queue_count >= MAX_LONG_QUEUES:
                call.max_wait_s = None
            node_id = member.record.node_id
            tried.append(node_id)
            latest = await self._send(call, member)
            if (
                isinstance(latest, calls.Refusal)
                and latest.kind is errors.ErrorKind.LONG_QUEUE
            ):
                # The node stays a candidate: its queue is known now.
                long_queue_count += 1
                outcome = outcome if any_possibly_executed else latest
                continue
            excluded.add(node_id)
            possibly_executed = (
                isinstance(latest, http1.Response) or not latest.not_executed
            )
            if possibly_executed:
                outcome = latest
            elif not any_possibly_executed:
                outcome = _select_refusal(outcome, latest)
            any_possibly_executed |= possibly_executed
            if not _may_retry(call, latest):
                break
            if self._serving_node.classify(call) is not suspects.Verdict.CLEAN:
                break
            if isinstance(latest, http1.Response) or latest.reached:
                reached_count += 1
            elif latest.kind is errors.ErrorKind.OVERLOADED:
                overloaded_count += 1
            if (
                overloaded_count >= MAX_OVERLOADED_NODES
                and not call.is_dependency
            ):
                break
            if reached_count and (
                reached_count >= route.max_attempts
                or not retry_budget.try_spend(call.own)
            ):
                break
            call.is_retry = reached_count > 0
            if call.is_retry:
                self._accounts.charge_retry(call)
        return outcome

    def _apply_regions(
        self, call: calls.Call, route: catalog_lib.Route
    ) -> calls.Refusal | None:
        """Sets the regions in which a call may be served now.

        Returns:
          The refusal of a call that may be served nowhere, else None.
        """
        call.regions = regions.find(self._gossip.catalog, call, route)
        if call.regions is None or call.regions:
            return None
        return calls.Refusal(
            errors.ErrorKind.NO_ENDPOINT, regions.NO_COMMON_REGION
        )

    async def _send_trial(
        self, call: calls.Call, tried: list[str]
    ) -> calls.Outcome:
        """Sends a request that may crash servers to one of them, once."""
        fingerprint = suspects.compute_fingerprint(call)
        member = self._balancer.choose_tester(call, fingerprint)
        if member is None or call.remaining_s <= 0:
            return calls.Refusal(errors.ErrorKind.NO_ENDPOINT)
        tried.append(member.record.node_id)
        return await self._send(call, member)

    async def _send(
        self, call: calls.Call, member: members.Member
    ) -> calls.Outcome:
        outcome: calls.Outcome
        if member is self._table.own:
            member.in_flight += 1
            try:
                async with deadlines.limit(call.deadline):
                    outcome = await self._serving_node.run(call)
            except TimeoutError:
                outcome = calls.Refusal(errors.ErrorKind.TIMEOUT, reached=True)
            finally:
                member.in_flight -= 1
        else:
            link = self._gossip.find_link(member.record.node_id)
            if link is None:
                return calls.Refusal(errors.ErrorKind.CONNECT_FAILED)
            member.was_tried = True
            self._metrics.count("forwarded", peer=member.record.node_id)
            outcome = await link.call(call)
        if isinstance(outcome, http1.Response):
            self._note_limit(member, call.instance, outcome)
            if not outcome.dependency_failed:
                member.record_outcome(
                    outcome.status >= serving.MIN_SERVER_ERROR_STATUS
                )
        elif outcome.reached:
            member.record_outcome(True)
        return outcome

    def _note_limit(
        self, member: members.Member, instance: str, response: http1.Response
    ) -> None:
        """Remembers the limit of a server, for a restart of its node."""
        value = response.find_header(self._headers.limit)
        if value is None and member.limit is None:
            return
        if not backend.tells_limit(response, self._headers):
            return
        with contextlib.suppress(ValueError):
            # The serving node has logged a malformed limit.
            limit_per_s = server_limits.parse_limit(value)
            member.limit = (
                None
                if limit_per_s is None
                else server_limits.InstanceLimit(instance, limit_per_s)
            )


def _is_error(outcome: calls.Outcome) -> bool:
    return (
        not isinstance(outcome, http1.Response)
        or outcome.status >= serving.MIN_ERROR_STATUS
    )


def _select_refusal(
    earlier: calls.Outcome, latest: calls.Outcome
) -> calls.Outcome:
    """Returns the refusal of the server that will have room first."""
    if (
        isinstance(earlier, calls.Refusal)
        and isinstance(latest, calls.Refusal)
        and earlier.kind is latest.kind is errors.ErrorKind.OVERLOADED
    ):
        return min(earlier, latest, key=lambda refusal: refusal.retry_after_s)
    return latest


def _may_retry(call: calls.Call, outcome: calls.Outcome) -> bool:
    """Returns whether the request may be sent to another backend server."""
    if isinstance(outcome, http1.Response):
        # A failed dependency call has already been retried. Executing the
        # request again would repeat that call, occupy a slot here and consume
        # the retry budget of the dependency.
        return (
            call.idempotent
            and outcome.status >= serving.MIN_SERVER_ERROR_STATUS
            and not outcome.dependency_failed
        )
    if outcome.kind in FINAL_KINDS:
        return False
    return outcome.not_executed or call.idempotent
