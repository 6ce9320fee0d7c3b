"""The entry node: from a client's request to its one answer."""

import asyncio
import contextlib
import random
from typing import Final

from lycheestair import errors
from lycheestair import ids
from lycheestair import messages
from lycheestair.sidecar import answers
from lycheestair.sidecar import backend
from lycheestair.sidecar import balancer
from lycheestair.sidecar import budget
from lycheestair.sidecar import calls
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import gossip as gossip_lib
from lycheestair.sidecar import http1
from lycheestair.sidecar import journal
from lycheestair.sidecar import members
from lycheestair.sidecar import metrics
from lycheestair.sidecar import serving
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import streams
from lycheestair.sidecar import versions as versions_lib

FIRST_ERROR: Final = 400
FIRST_SERVER_ERROR: Final = 500
# Serving nodes that are asked for one request; a refusal by a node costs no
# work, but the request waits meanwhile.
MAX_OFFERS: Final = 4
# Nodes with a full queue that one request is offered to: the nearest and the
# least loaded are asked first, so that a third would hardly have room.
MAX_OVERLOADED: Final = 2
# A client with this much time left comes back by itself. That costs nothing of
# the budget of repeats, which is kept for calls of backend servers and for
# clients that have come back already.
RETURN_S: Final = 1.0
# A client that waits this much less than usual has come back.
RETURNED_S: Final = 0.02
# The answer has to reach the client before it stops waiting.
ANSWER_MARGIN_S: Final = 0.02
DEFAULT_DEADLINE_S: Final = 30.0


class EntryNode:
    """Answers clients and the backend server's own calls.

    Attributes:
      in_progress: Requests that are being answered.
      closing: Whether requests are refused, because the process ends soon.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        headers: backend.HeaderNames,
        table: members.MemberTable,
        gossip: gossip_lib.Gossip,
        planner: versions_lib.VersionPlanner,
        server: serving.ServingNode,
        budgets: budget.RetryBudgets,
        log: journal.Journal,
        values: metrics.Metrics,
    ):
        self.in_progress = 0
        self.closing = False
        self._settings = settings
        # Connections from the own machine are the backend server's.
        self._host = streams.split_address(settings.server_address)[0]
        self._headers = headers
        # Set anew for the backend server.
        self._own_headers = frozenset(
            {
                headers.request_id,
                headers.deadline_ms,
                headers.instance,
                headers.caller,
            }
        )
        self._table = table
        self._gossip = gossip
        self._balancer = balancer.Balancer(settings, table, planner)
        self._server = server
        self._log = log
        self._metrics = values
        # Longest time in seconds that a client of a route has waited.
        self._full_wait_s: dict[ids.RouteName, float] = {}
        self._budgets = budgets
        self._connections: set[streams.Stream] = set()
        self._idle: set[streams.Stream] = set()

    # Connections.

    async def serve(self, stream: streams.Stream) -> None:
        """Answers the requests of one connection until it ends."""
        self._connections.add(stream)
        try:
            while await self._serve_one(stream):
                pass
        except (
            messages.IncompleteMessageError,
            OSError,
        ):
            return  # The client closed the connection or was too slow.
        finally:
            self._connections.discard(stream)
            self._idle.discard(stream)

    async def _serve_one(self, stream: streams.Stream) -> bool:
        limits = self._gossip.catalog.limits
        if not stream.buffered:
            self._idle.add(stream)
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    await stream.fill(False)
            finally:
                self._idle.discard(stream)
        try:
            async with asyncio.timeout(
                max(limits.header_timeout_s, limits.idle_timeout_s)
            ):
                request = await http1.read_request(
                    stream, limits.max_header_bytes, limits.max_body_bytes
                )
        except messages.MalformedMessageError as error:
            return await self._reject(
                stream, errors.ErrorKind.BAD_REQUEST, str(error)
            )
        except messages.BodyTooLargeError as error:
            return await self._reject(
                stream, errors.ErrorKind.BODY_TOO_LARGE, str(error)
            )
        self.in_progress += 1
        try:
            answer = await self._answer_while_connected(stream, request)
            if answer is None:
                return False
            keep = request.keep and not self._gossip.leaving
            stream.write(http1.encode_answer(answer, request.method, keep))
            await stream.drain()
            return keep
        finally:
            self.in_progress -= 1

    async def _answer_while_connected(
        self, stream: streams.Stream, request: http1.Request
    ) -> http1.Answer | None:
        """Returns the answer; None once the client has left."""
        own = stream.peer_host == self._host
        task = asyncio.get_running_loop().create_task(self.answer(request, own))

        def cancel() -> None:
            task.cancel()

        stream.on_end = cancel
        if stream.ended:
            task.cancel()
        try:
            return await task
        except asyncio.CancelledError:
            if not stream.ended:
                raise
            self._log.write(
                "client left",
                id=_read_text(request, self._headers.request_id),
            )
            return None
        finally:
            stream.on_end = None

    async def _reject(
        self, stream: streams.Stream, kind: errors.ErrorKind, detail: str
    ) -> bool:
        self._log.write("request rejected", kind=kind.value, detail=detail)
        stream.write(
            http1.encode_answer(
                answers.encode_refusal(calls.Refusal(kind, detail)), b"", False
            )
        )
        await stream.drain()
        return False

    def close(self) -> None:
        """Closes all connections."""
        for stream in list(self._connections):
            stream.close()

    def close_idle(self) -> None:
        """Closes connections on which no request is in progress."""
        for stream in list(self._idle):
            if not stream.buffered:
                stream.close()

    # Requests.

    async def answer(
        self, request: http1.Request, own_call: bool = False
    ) -> http1.Answer:
        """Returns the backend server's answer or one refusal.

        Args:
          request: What was read.
          own_call: Whether it is a call of the own backend server.
        """
        arrived = clock.read_s()
        request_id = request.find(self._headers.request_id) or b""
        catalog = self._gossip.catalog
        route = None
        tried: list[str] = []
        outcome: calls.Outcome
        if not catalog.generation or self.closing:
            outcome = calls.Refusal(errors.ErrorKind.NOT_READY)
        else:
            route = catalog.match(request.host, request.path)
            if route is None:
                outcome = calls.Refusal(errors.ErrorKind.NO_ROUTE)
            else:
                call = self._start_call(request, request_id, route, arrived)
                call.own = own_call
                outcome = await self._run(call, route, tried)
        if own_call and _is_failure(outcome):
            self._server.failed_calls.add()
        self._log_outcome(request_id, catalog, route, outcome, arrived, tried)
        if isinstance(outcome, http1.Answer):
            return http1.Answer(
                outcome.status,
                messages.select_end_to_end(outcome.headers),
                outcome.body,
            )
        answer = answers.encode_refusal(outcome)
        if request_id:
            answer.headers.append((self._headers.request_id, request_id))
        return answer

    def _log_outcome(
        self,
        request_id: bytes,
        catalog: catalog_lib.Catalog,
        route: catalog_lib.Route | None,
        outcome: calls.Outcome,
        arrived: float,
        tried: list[str],
    ) -> None:
        fields: dict[str, object]
        taken_s = clock.read_s() - arrived
        if isinstance(outcome, http1.Answer):
            fields = {"status": outcome.status}
            self._metrics.observe(
                "request", taken_s, outcome=f"status_{outcome.status}"
            )
        else:
            self._metrics.observe(
                "request", taken_s, outcome=outcome.kind.value
            )
            fields = {
                "kind": outcome.kind.value,
                "detail": outcome.detail,
                "retry_after_s": round(outcome.retry_after_s, 2),
            }
        self._log.write(
            "request answered"
            if isinstance(outcome, http1.Answer)
            else "request refused",
            id=request_id.decode("latin-1"),
            route=route.name if route else None,
            generation=catalog.generation,
            tried=tried,
            taken_ms=int(taken_s * 1000),
            **fields,
        )

    def _start_call(
        self,
        request: http1.Request,
        request_id: bytes,
        route: catalog_lib.Route,
        arrived: float,
    ) -> calls.Call:
        wait_s = full_s = DEFAULT_DEADLINE_S
        with contextlib.suppress(ValueError):
            # A missing or malformed value leaves the route's own limit.
            wait_s = int(request.find(self._headers.deadline_ms) or b"") / 1000
            full_s = max(wait_s, self._full_wait_s.get(route.name, 0.0))
            self._full_wait_s[route.name] = full_s
        return calls.Call(
            request_id=request_id,
            method=request.method,
            target=request.target,
            headers=[
                header
                for header in messages.select_end_to_end(request.headers)
                if header[0] not in self._own_headers
            ],
            body=request.body,
            caller=self._settings.service,
            route=route.name,
            service=_choose_service(route),
            instance="",
            idempotent=route.idempotent,
            priority=route.priority,
            deadline=arrived + min(wait_s - ANSWER_MARGIN_S, route.timeout_s),
            # A client that comes back counts from its first attempt; what is
            # missing of its usual time has passed since then.
            objective=arrived + route.objective_s - (full_s - wait_s),
            may_return=wait_s > RETURN_S and full_s - wait_s < RETURNED_S,
        )

    async def _run(
        self, call: calls.Call, route: catalog_lib.Route, tried: list[str]
    ) -> calls.Outcome:
        """Makes attempts until one counts as the outcome.

        An attempt that may have run outweighs later ones that did not: the
        client must not be told that its request has not run.
        """
        retries = self._budgets.find(call.service)
        retries.add_request(call.own)
        reached = overloaded = 0
        outcome: calls.Outcome = calls.Refusal(errors.ErrorKind.NO_ENDPOINT)
        may_have_run = False
        excluded: set[ids.NodeId] = set()
        while len(tried) < MAX_OFFERS:
            member = self._balancer.choose(call, excluded)
            if member is None or call.remaining_s <= 0:
                break
            node_id = member.record.node_id
            tried.append(node_id)
            excluded.add(node_id)
            latest = await self._attempt(call, member)
            ran = isinstance(latest, http1.Answer) or not latest.not_run
            if ran or not may_have_run:
                outcome = latest
            may_have_run |= ran
            if not _may_retry(call, latest):
                break
            if isinstance(latest, http1.Answer) or latest.reached:
                reached += 1
            elif latest.kind is errors.ErrorKind.OVERLOADED:
                overloaded += 1
            if overloaded >= MAX_OVERLOADED:
                break
            if reached and (
                reached >= route.max_attempts
                or (call.may_return and not call.own)
                or not retries.try_spend()
            ):
                break
            call.repeat = reached > 0
        return outcome

    async def _attempt(
        self, call: calls.Call, member: members.Member
    ) -> calls.Outcome:
        outcome: calls.Outcome
        if member is self._table.own:
            member.sent += 1
            try:
                async with asyncio.timeout(max(0.0, call.remaining_s)):
                    outcome = await self._server.run(call)
            except TimeoutError:
                outcome = calls.Refusal(errors.ErrorKind.TIMEOUT, reached=True)
            finally:
                member.sent -= 1
        else:
            link = self._gossip.find_link(member.record.node_id)
            if link is None:
                return calls.Refusal(errors.ErrorKind.CONNECT_FAILED)
            member.tried = True
            self._metrics.count("forwarded", peer=member.record.node_id)
            outcome = await link.call(call)
        if isinstance(outcome, http1.Answer):
            if not outcome.lacks_call:
                member.record_outcome(outcome.status >= FIRST_SERVER_ERROR)
        elif outcome.reached:
            member.record_outcome(True)
        return outcome


def _is_failure(outcome: calls.Outcome) -> bool:
    return (
        not isinstance(outcome, http1.Answer) or outcome.status >= FIRST_ERROR
    )


def _may_retry(call: calls.Call, outcome: calls.Outcome) -> bool:
    """Whether another backend server may be sent the request."""
    if isinstance(outcome, http1.Answer):
        # The call has had its own attempts; another run would repeat it at
        # the expense of a slot here and of the budget of what it calls.
        return (
            call.idempotent
            and outcome.status >= FIRST_SERVER_ERROR
            and not outcome.lacks_call
        )
    if outcome.kind is errors.ErrorKind.TIMEOUT:
        return False
    return outcome.not_run or call.idempotent


def _choose_service(route: catalog_lib.Route) -> ids.ServiceName:
    if len(route.split) == 1:
        return route.split[0].service
    return random.choices(
        [part.service for part in route.split],
        [part.weight for part in route.split],
    )[0]


def _read_text(request: http1.Request, name: bytes) -> str:
    return (request.find(name) or b"").decode("latin-1")
