"""Request path of a node with its caller, peer and local listeners."""

from collections.abc import Callable
import gc
import ipaddress
import sys
import threading
import time
from typing import Final

from absl import logging
import orjson
import pydantic
import pydantic.dataclasses

from lycheestair import calls
from lycheestair import claims as claims_lib
from lycheestair import configuration as configuration_lib
from lycheestair import endpoints
from lycheestair import error_responses
from lycheestair import errors
from lycheestair import explanation
from lycheestair import forwarding
from lycheestair import http_server
from lycheestair import ids
from lycheestair import members
from lycheestair import messages
from lycheestair import observations
from lycheestair import proxy
from lycheestair import request_memory
from lycheestair import routing
from lycheestair import serving
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib
from lycheestair import suspects as suspects_lib
from lycheestair import tls
from lycheestair import version_choice

# Interval for applying member changes and checking the backend server's
# heartbeat.
REFRESH_INTERVAL_S: Final = 0.1
# Fraction of a core that rebuilding the endpoint table may use. With very many
# members, the table is rebuilt less often.
MAX_REFRESH_CPU_FRACTION: Final = 0.01
# A peer opens one connection for each request that it has in progress here.
PEER_CONNECTION_FACTOR: Final = 4
MAX_LOCAL_CONNECTIONS: Final = 16
# The memory for requests of callers has room for so many bodies of the largest size,
# whatever the settings say. One takes up to 1.5 times its size, because buffers grow
# in steps and small requests keep a reserve.
MIN_BODIES_IN_MEMORY: Final = 2
# Requests may arrive on persistent connections while the node drains. The drain
# ends once none has arrived for this long.
DRAIN_QUIET_PERIOD_S: Final = 0.3
# Thread switch interval of the interpreter. With the default of 5 ms, a busy
# thread added 1 ms to a tenth of the requests.
SWITCH_INTERVAL_S: Final = 0.0001

# Unix time in milliseconds, far enough in the future.
MAX_STARTED_MS: Final = 2**53

MetricsHandler = Callable[[], tuple[str, bytes]]


@pydantic.dataclasses.dataclass(
    config=pydantic.ConfigDict(extra="forbid", frozen=True)
)
class _Announcement:
    """Body of PUT and DELETE /endpoint."""

    service: str
    version: str
    address: str
    slots: int = pydantic.Field(gt=0, le=10_000)
    started_ms: int = pydantic.Field(default=0, ge=0, le=MAX_STARTED_MS)


_ANNOUNCEMENT_ADAPTER: Final = pydantic.TypeAdapter(_Announcement)


class DataPlane:
    """Request path of one node.

    Attributes:
      metrics: Returns the content type and body for GET /metrics.
      suspects: Requests that may have crashed backend servers.
      explainer: Explains where requests would be sent.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        configuration: configuration_lib.ActiveConfiguration,
        membership: members.Membership,
        recorder: observations.OutcomeRecorder,
        caps: observations.ShareCaps,
        claims: claims_lib.KeyClaims,
    ):
        self.metrics: MetricsHandler = lambda: ("text/plain", b"")
        self.suspects = suspects_lib.SuspectTable(settings)
        self._settings = settings
        contexts = calls.ContextTable()
        certificate_files = tls.open_certificate_files(settings.tls)
        self._forwarder = forwarding.Forwarder()
        self._peer_forwarder = forwarding.Forwarder(certificate_files)
        self._serving_node = serving.ServingNode(
            settings,
            membership,
            recorder,
            self._forwarder,
            contexts,
            self.suspects,
        )
        self._endpoint_table = endpoints.EndpointTable(
            settings, membership, lambda: self._serving_node.admission.load
        )
        version_chooser = version_choice.VersionChooser(
            caps, settings.node.node_id
        )
        self._proxy = proxy.Proxy(
            settings,
            version_chooser,
            self._endpoint_table,
            self._serving_node,
            self._peer_forwarder,
            contexts,
            claims,
            self.suspects,
        )
        self.explainer = explanation.Explainer(
            self._proxy, version_chooser, self._endpoint_table, self.suspects
        )
        listeners, limits = settings.listeners, settings.requests
        max_connections = limits.max_connections
        self._request_memory = request_memory.RequestMemory(
            max(
                limits.memory_max_bytes,
                limits.max_body_bytes * MIN_BODIES_IN_MEMORY,
            )
        )
        self._caller_listener = http_server.Server(
            listeners.caller,
            self._proxy.handle,
            limits,
            max_connections,
            memory=self._request_memory,
        )
        self._peer_listener = http_server.Server(
            listeners.peer,
            proxy.PeerHandler(self._serving_node).handle,
            limits,
            max_connections * PEER_CONNECTION_FACTOR,
            certificate_files,
            from_peers=True,
        )
        self._local_listener = http_server.Server(
            listeners.local, self._handle_local, limits, MAX_LOCAL_CONNECTIONS
        )
        self._stopped = threading.Event()
        self._refresh_thread = threading.Thread(
            target=self._refresh, name="endpoint table", daemon=True
        )
        configuration.subscribe(self._apply_snapshot)
        self._apply_snapshot(configuration.current)

    @property
    def ready(self) -> bool:
        """Whether requests are accepted; set once the node has booted."""
        return self._proxy.ready

    @ready.setter
    def ready(self, value: bool) -> None:
        self._proxy.ready = value

    def read_server_limit(self) -> float | None:
        """Returns the requests per second that the backend server accepts."""
        return self._serving_node.admission.limit_per_s

    def read_request_memory(self) -> tuple[int, int]:
        """Returns the memory charged for callers' requests, and its limit."""
        return self._request_memory.used, self._request_memory.limit

    def read_shed_connections(self) -> int:
        """Returns how many callers' connections were closed to make room."""
        return self._caller_listener.shed_count

    def instrument(
        self, wrap: Callable[[str, http_server.Handler], http_server.Handler]
    ) -> None:
        """Wraps the request handlers; must be called before `start`.

        Args:
          wrap: Returns the handler for a listener's name and its own handler.
        """
        self._caller_listener.handler = wrap(
            "caller", self._caller_listener.handler
        )
        self._peer_listener.handler = wrap("peer", self._peer_listener.handler)

    def start(self) -> None:
        """Starts the listeners.

        Raises:
          OSError: An address can't be bound.
        """
        self._endpoint_table.rebuild()
        # Exempts the objects created so far from garbage collection. Scanning
        # them took 1.8 ms within a request.
        gc.collect()
        gc.freeze()
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        for listener in (
            self._peer_listener,
            self._local_listener,
            self._caller_listener,
        ):
            listener.start()
        self._refresh_thread.start()

    def drain(self) -> bool:
        """Drains the node: waits until all admitted requests are completed.

        New client connections are refused. Requests that arrive on persistent
        connections are still answered, if necessary by other nodes.

        Returns:
          Whether all requests were completed within the drain timeout.
        """
        timeout_s = self._settings.requests.drain_timeout_s
        started_at = time.monotonic()
        deadline = started_at + timeout_s
        self._proxy.shutdown.begin(started_at, timeout_s)
        self._caller_listener.close_listener()
        completed = self._serving_node.drain(deadline - time.monotonic())
        self._endpoint_table.rebuild()
        for listener in (self._caller_listener, self._peer_listener):
            completed &= self._wait_until_quiet(listener, deadline)
        return completed

    def _wait_until_quiet(
        self, listener: http_server.Server, deadline: float
    ) -> bool:
        while time.monotonic() < deadline:
            if not listener.in_flight.wait_until_idle(
                deadline - time.monotonic()
            ):
                return False
            started_before = listener.in_flight.total_started
            time.sleep(
                min(DRAIN_QUIET_PERIOD_S, max(0.0, deadline - time.monotonic()))
            )
            if listener.in_flight.total_started == started_before:
                return not listener.in_flight.count
        return not listener.in_flight.count

    def stop(self) -> None:
        """Closes all listeners and connections."""
        self._stopped.set()
        for listener in (
            self._caller_listener,
            self._peer_listener,
            self._local_listener,
        ):
            listener.close_listener()
            listener.close_connections()
        for forwarder in (self._forwarder, self._peer_forwarder):
            forwarder.close_idle(time.monotonic())

    def _apply_snapshot(self, snapshot: snapshot_lib.Snapshot) -> None:
        self._proxy.routes = routing.RoutingTable(snapshot)

    def _refresh(self) -> None:
        interval_s = REFRESH_INTERVAL_S
        while not self._stopped.wait(interval_s):
            try:
                cpu_start_s = time.thread_time()
                self._endpoint_table.rebuild()
                cpu_s = time.thread_time() - cpu_start_s
                interval_s = max(
                    REFRESH_INTERVAL_S, cpu_s / MAX_REFRESH_CPU_FRACTION
                )
                self._serving_node.check_heartbeat()
                cutoff = time.monotonic() - forwarding.MAX_IDLE_S
                for forwarder in (self._forwarder, self._peer_forwarder):
                    forwarder.close_idle(cutoff)
            except Exception:  # The next refresh may succeed.
                logging.exception("failed to refresh the endpoint table")

    def _handle_local(self, request: messages.Request) -> messages.Response:
        if request.method == "GET" and request.path == "/metrics":
            content_type, body = self.metrics()
            return messages.Response(
                200, [(b"content-type", content_type.encode())], body
            )
        if request.method == "GET" and request.path == "/ready":
            if self.ready:
                return _encode_json({"ready": True})
            return error_responses.encode(
                errors.Failure(errors.ErrorKind.NOT_READY)
            )
        if request.path == "/endpoint" and request.method == "PUT":
            return self._announce_endpoint(request)
        if request.path == "/endpoint" and request.method == "DELETE":
            return self._withdraw_endpoint(request)
        return error_responses.encode(errors.Failure(errors.ErrorKind.NO_ROUTE))

    def _announce_endpoint(
        self, request: messages.Request
    ) -> messages.Response:
        try:
            server = _decode_server(request.body)
        except ValueError as error:
            return error_responses.encode(
                errors.Failure(errors.ErrorKind.BAD_REQUEST, str(error))
            )
        is_current = self._serving_node.announce(server)
        return _encode_json({} if is_current else {"departed": True})

    def _withdraw_endpoint(
        self, request: messages.Request
    ) -> messages.Response:
        try:
            server = _decode_server(request.body)
        except ValueError:
            # The body is optional.
            server = None
        completed = self._serving_node.depart(
            server, self._settings.requests.drain_timeout_s
        )
        return _encode_json({"idle": completed})


def _decode_server(body: bytes | bytearray) -> serving.BackendServer:
    """Decodes the body of an announcement.

    Raises:
      ValueError: The body is malformed. Includes pydantic's ValidationError.
    """
    announcement = _ANNOUNCEMENT_ADAPTER.validate_json(body)
    host, _, port = announcement.address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 65_536:
        raise ValueError(f"port {port!r}")
    return serving.BackendServer(
        ids.ServiceName(announcement.service),
        ids.VersionName(announcement.version),
        ids.Address(announcement.address),
        announcement.slots,
        announcement.started_ms,
    )


def _encode_json(document: object) -> messages.Response:
    return messages.Response(
        200, [(b"content-type", b"application/json")], orjson.dumps(document)
    )
