"""Metrics and traces of a node's requests, and gauges of its state."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import time
from typing import Final

from lycheestair import configuration as configuration_lib
from lycheestair import error_responses
from lycheestair import members as members_lib
from lycheestair import messages
from lycheestair import store as store_lib
from lycheestair import telemetry

Handler = Callable[[messages.Request], messages.Response]

_TRACEPARENT: Final = telemetry.TRACEPARENT.encode()
# Outcome of a response without an execution header, that is, not a rejection.
OUTCOME_ANSWERED: Final = "answered"


class RequestInstruments:
    """Counts, times and traces requests."""

    def __init__(self, metrics: telemetry.Metrics, tracing: telemetry.Tracing):
        self._tracing = tracing
        self._requests = metrics.create_counter(
            "requests", "Requests by listener, status and outcome."
        )
        self._latency = metrics.create_histogram(
            "request_duration", "Time from the whole request to its answer."
        )

    def wrap(self, listener: str, handler: Handler) -> Handler:
        """Returns a handler that records each request in metrics and traces.

        Args:
          listener: "caller" or "peer".
          handler: Handler of the requests.
        """
        from_peer = listener == "peer"
        latency_attributes = {"listener": listener}

        def handle(request: messages.Request) -> messages.Response:
            started = time.monotonic()
            span = self._start_span(listener, request, from_peer)
            failed = True
            try:
                response = handler(request)
                failed = response.status >= 500
                execution = response.find_header(
                    error_responses.EXECUTION_HEADER
                )
                outcome = execution.decode() if execution else OUTCOME_ANSWERED
                span.add_attributes(
                    method=request.method,
                    status=response.status,
                    outcome=outcome,
                )
                self._requests.add(
                    1,
                    {
                        "listener": listener,
                        "status": response.status,
                        "outcome": outcome,
                    },
                )
                return response
            finally:
                span.end(failed)
                self._latency.record(
                    (time.monotonic() - started) * 1000, latency_attributes
                )

        return handle

    def _start_span(
        self, listener: str, request: messages.Request, from_peer: bool
    ) -> telemetry.RequestSpan:
        traceparent = request.find_header(_TRACEPARENT)
        span = self._tracing.start_span(
            listener,
            traceparent.decode("latin-1") if traceparent else None,
            from_peer,
        )
        # Spans of forwarded requests become children of this span.
        request.headers = [
            header for header in request.headers if header[0] != _TRACEPARENT
        ]
        request.headers.append((_TRACEPARENT, span.traceparent.encode()))
        return span


def create_node_gauges(
    metrics: telemetry.Metrics,
    configuration: configuration_lib.ActiveConfiguration,
    membership: members_lib.Membership,
    store: store_lib.HttpStore,
    read_server_limit: Callable[[], float | None],
) -> None:
    """Creates gauges of the state of a node.

    Their values are read whenever metrics are rendered.

    Args:
      metrics: Metrics of the node.
      configuration: Holder of the configuration in force.
      membership: The known nodes.
      store: Client of the store.
      read_server_limit: Returns the requests per second that the local backend
        server accepts, None if it names no limit.
    """

    def count_members() -> Iterator[tuple[float, telemetry.Attributes]]:
        counts = collections.Counter(
            (member.state.value, str(member.failure_domain))
            for member in membership.read_members().values()
        )
        for (state, domain), count in counts.items():
            yield count, {"state": state, "failure_domain": domain}

    def count_endpoints() -> Iterator[tuple[float, telemetry.Attributes]]:
        counts = collections.Counter(
            (
                str(endpoint.service),
                str(endpoint.version),
                endpoint.state.value,
            )
            for endpoint in (
                member.endpoint for member in membership.read_members().values()
            )
            if endpoint is not None
        )
        for (service, version, state), count in counts.items():
            yield (
                count,
                {"service": service, "version": version, "state": state},
            )

    metrics.create_gauge(
        "generation",
        "Configuration generation in force.",
        lambda: [(configuration.current.generation, {})],
    )
    metrics.create_gauge("members", "Known nodes by state.", count_members)
    metrics.create_gauge(
        "endpoints", "Known endpoints by state.", count_endpoints
    )
    metrics.create_gauge(
        "store_calls",
        "Calls to the store since the start.",
        lambda: [(store.calls, {})],
    )

    def list_server_limits() -> list[tuple[float, telemetry.Attributes]]:
        limit_per_s = read_server_limit()
        return [] if limit_per_s is None else [(limit_per_s, {})]

    metrics.create_gauge(
        "server_limit_per_second",
        "Requests per second that the backend server accepts, if limited.",
        list_server_limits,
    )


def create_caller_gauges(
    metrics: telemetry.Metrics,
    read_request_memory: Callable[[], tuple[int, int]],
    read_shed_connections: Callable[[], int],
) -> None:
    """Creates gauges of what callers take in a node.

    Args:
      metrics: Metrics of the node.
      read_request_memory: Returns the bytes charged for callers' requests and
        their limit.
      read_shed_connections: Returns how many callers' connections were closed to
        make room for others.
    """
    metrics.create_gauge(
        "request_memory_bytes",
        "Memory charged for requests of callers.",
        lambda: [(read_request_memory()[0], {})],
    )
    metrics.create_gauge(
        "request_memory_limit_bytes",
        "Limit of the memory for requests of callers.",
        lambda: [(read_request_memory()[1], {})],
    )
    metrics.create_gauge(
        "connections_shed",
        "Connections of callers closed to make room since the start.",
        lambda: [(read_shed_connections(), {})],
    )
