"""A sidecar node: entry, serving, gossip and feeder in one process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal
from typing import Final
from typing import Protocol

from lycheestair import allocator
from lycheestair import ids
from lycheestair import messages
from lycheestair import shutdowns
from lycheestair.sidecar import backend
from lycheestair.sidecar import budget
from lycheestair.sidecar import clock
from lycheestair.sidecar import departure_records
from lycheestair.sidecar import entry
from lycheestair.sidecar import event_log
from lycheestair.sidecar import feeder
from lycheestair.sidecar import gossip
from lycheestair.sidecar import http1
from lycheestair.sidecar import members
from lycheestair.sidecar import metrics
from lycheestair.sidecar import peer_server
from lycheestair.sidecar import serving
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import store as store_lib
from lycheestair.sidecar import streams
from lycheestair.sidecar import suspect_records
from lycheestair.sidecar import versions
from lycheestair.sidecar.ingress import clients
from lycheestair.sidecar.placement import slowdown
from lycheestair.sidecar.presence import health_check

# The node keeps listening for this long after SIGTERM. Readiness is checked
# every second, and clients stop sending after two failed checks.
MIN_DRAIN_S: Final = 2.6
# Reserved at the end of the grace period for the exit of the process.
EXIT_MARGIN_S: Final = 0.3
DRAIN_POLL_S: Final = 0.05
# Value of the limit's gauge while the backend server names no limit.
NO_LIMIT: Final = -1.0
# Limits of the listeners for readiness checks, heartbeats and metrics.
MAX_MANAGEMENT_HEADER_BYTES: Final = 16_384
MAX_MANAGEMENT_BODY_BYTES: Final = 65_536
MANAGEMENT_IDLE_TIMEOUT_S: Final = 30.0


class Platform(Protocol):
    """Interface to the platform that a node runs on."""

    @property
    def headers(self) -> backend.HeaderNames:
        """Names of the request and response headers."""

    @property
    def kinds(self) -> store_lib.ObjectKinds:
        """Names of the kinds of objects in the store."""

    @property
    def codec(self) -> store_lib.DocumentCodec:
        """Codec of the documents in the store."""

    @property
    def readiness_path(self) -> str:
        """Path of readiness checks."""

    def connect_store(self, address: ids.Address) -> store_lib.MetadataStore:
        """Returns a client of the store."""

    def decode_announcement(
        self, request: http1.Request
    ) -> backend.Announcement:
        """Decodes a heartbeat or a deregistration.

        Raises:
          ValueError: The request is neither, or malformed.
        """

    def encode_acknowledgement(self) -> bytes:
        """Returns the body of the response to a heartbeat."""


class SidecarNode:
    """Creates the components of a node and runs them."""

    def __init__(
        self, settings: settings_lib.SidecarSettings, platform: Platform
    ):
        self._settings = settings
        self._platform = platform
        self._log = event_log.EventLog(settings.node_id)
        self._listeners: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        own_record = members.NodeRecord(
            settings.node_id,
            settings.peers,
            settings.failure_domain,
            settings.region,
            serving.read_unix_ms(),
        )
        self._table = members.MemberTable(own_record)
        self._metrics = metrics.Metrics()
        self._planner = versions.VersionPlanner(settings.bounds, self._table)
        budgets = budget.RetryBudgets(
            settings.service, settings.bounds, self._table
        )
        self._server = serving.ServingNode(
            settings, platform.headers, budgets, self._log
        )
        self._gossip = gossip.Gossip(
            settings, self._table, self._server, self._planner, self._log
        )
        self._health_check = health_check.HealthCheck(
            settings.server_address,
            platform.headers,
            self._server,
            lambda: self._gossip.catalog,
            self._log,
        )
        self._server.on_hold = self._health_check.request
        self._server.on_endpoint_change = self._gossip.publish_status
        self._server.on_departure = self._handle_departure
        self._server.on_suspects_change = self._gossip.publish_suspects
        self._shutdown = shutdowns.Shutdown()
        self._entry_node = entry.EntryNode(
            settings,
            platform.headers,
            self._table,
            self._gossip,
            self._planner,
            self._server,
            budgets,
            self._shutdown,
            self._log,
            self._metrics,
        )
        self._clients = clients.ClientListener(
            self._entry_node, settings, self._log, self._metrics
        )
        self._peer_server = peer_server.PeerServer(
            self._server,
            self._shutdown,
            self._gossip.build_hello_frames,
            self._gossip.add_record,
            self._gossip.handle_frame,
            self._log,
        )
        store = platform.connect_store(settings.store)
        self._add_gauges(store)
        self._departure_records = departure_records.DepartureRecords(
            store, platform.kinds, settings.node_id, self._server, self._log
        )
        self._feeder = feeder.Feeder(
            settings,
            platform.kinds,
            store,
            platform.codec,
            self._table,
            self._gossip,
            self._planner,
            suspect_records.SuspectRecords(
                store,
                platform.kinds,
                self._server.suspects,
                self._gossip.publish_suspects,
                self._log,
            ),
            self._log,
        )

    def _add_gauges(self, store: store_lib.MetadataStore) -> None:
        for name, read_value in {
            "generation": lambda: float(self._gossip.catalog.generation),
            "ready": lambda: float(self.ready),
            "running": lambda: float(self._server.admission.running),
            "waiting": lambda: float(self._server.admission.waiting),
            "service_time_seconds": lambda: (
                self._server.admission.service_time_s
            ),
            "server_slowdown_ratio": lambda: (
                self._server.admission.slowdown.read_percent(clock.read_s())
                / slowdown.USUAL_PERCENT
            ),
            "server_held_back": lambda: float(
                self._server.held_back is not None
            ),
            "server_limit_per_second": lambda: (
                NO_LIMIT
                if self._server.admission.limit_per_s is None
                else self._server.admission.limit_per_s
            ),
            "server_requests_sent": lambda: float(self._server.sent_requests),
            "server_retries_sent": lambda: float(self._server.sent_retries),
            "server_crashes": lambda: float(self._server.crashes),
            "suspects": lambda: float(len(self._server.suspects)),
            "suspects_refused": lambda: float(
                self._server.suspects.count_refused(clock.read_s())
            ),
            "members_reachable": lambda: float(
                sum(member.reachable for member in self._table)
            ),
            "cold": lambda: float(
                self._server.cold.is_limited_as_cold(clock.read_s())
            ),
            "cold_limit_per_second": lambda: (
                self._server.cold.read_limit_per_s(clock.read_s())
            ),
            "evacuated": lambda: float(self._server.place.is_evacuated),
            "evacuated_domains": lambda: float(
                len(self._server.place.evacuations.known.domains)
            ),
            "refused_for_evacuation": lambda: float(
                self._server.place.refused_for_evacuation
            ),
            "refused_for_region": lambda: float(
                self._server.place.refused_for_region
            ),
            "store_calls": lambda: float(store.calls),
            "log_lines_suppressed": lambda: float(self._log.suppressed),
        }.items():
            self._metrics.add_gauge(name, read_value)

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then drains the node."""
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        allocator.limit_held_memory()
        loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._handle_sighup)
        await self.start()
        stop_task = loop.create_task(stop_requested.wait())
        await asyncio.wait(
            [stop_task, *self._tasks], return_when=asyncio.FIRST_COMPLETED
        )
        for task in self._tasks:
            if task.done():
                task.result()
        await self.shut_down()
        self.stop()

    async def start(self) -> None:
        """Opens the listeners and starts the gossip and feeder tasks.

        Raises:
          OSError: A listener can't be bound.
        """
        settings = self._settings
        self._log.write(
            "node starting",
            address=settings.peers,
            service=settings.service,
            failure_domain=settings.failure_domain,
            incarnation=self._table.own.record.incarnation,
        )
        for address, serve in (
            (settings.peers, self._peer_server.serve),
            (settings.readiness, self._serve_readiness),
            (settings.control, self._serve_control),
            (settings.metrics, self._serve_metrics),
        ):
            self._listeners.append(await streams.listen(address, serve))
        self._listeners.append(
            await streams.listen(
                settings.callers, self._clients.serve, clients.ACCEPT_BATCH
            )
        )
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._gossip.run()),
            loop.create_task(self._feeder.run()),
            loop.create_task(self._departure_records.run()),
            loop.create_task(self._health_check.run()),
        ]

    def stop(self) -> None:
        """Stops immediately and aborts requests in progress."""
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners:
            listener.close()
        self._gossip.stop()
        self._peer_server.close()
        self._clients.close()
        self._log.write("node stopped")

    def _handle_departure(self) -> None:
        self._gossip.publish_departures()
        self._departure_records.request_write()

    def _handle_sighup(self) -> None:
        # No setting of a node can change while its process runs.
        self._log.write("settings reloaded", changed=False)

    async def shut_down(self) -> None:
        """Drains the node: finishes requests, then closes idle connections.

        Requests that arrive meanwhile are accepted or refused as
        `shutdowns.Shutdown` decides.
        """
        started_at = clock.read_s()
        self._gossip.leaving = True
        self._table.own.leaving = True
        self._gossip.publish_status()
        self._log.write(
            "node shutting down",
            in_progress=self._clients.in_progress,
            peer_calls=self._peer_server.running,
        )
        limit_s = self._settings.bounds.grace_s - EXIT_MARGIN_S
        self._shutdown.begin(started_at, limit_s)
        while (elapsed_s := clock.read_s() - started_at) < limit_s:
            if (
                elapsed_s > MIN_DRAIN_S
                and not self._clients.in_progress
                and not self._peer_server.running
            ):
                break
            await asyncio.sleep(DRAIN_POLL_S)
        self._clients.close_idle()

    # Management requests: readiness checks, heartbeats and metrics.

    @property
    def ready(self) -> bool:
        """Whether clients may send requests."""
        return bool(
            self._gossip.catalog.generation and not self._gossip.leaving
        )

    async def _serve_readiness(self, stream: streams.Stream) -> None:
        await self._serve_management(stream, self._answer_readiness_check)

    async def _serve_control(self, stream: streams.Stream) -> None:
        await self._serve_management(stream, self._answer_announcement)

    async def _serve_management(
        self,
        stream: streams.Stream,
        answer: Callable[[http1.Request], Awaitable[http1.Response]],
    ) -> None:
        try:
            while True:
                async with asyncio.timeout(MANAGEMENT_IDLE_TIMEOUT_S):
                    request = await http1.read_request(
                        stream,
                        MAX_MANAGEMENT_HEADER_BYTES,
                        MAX_MANAGEMENT_BODY_BYTES,
                    )
                response = await answer(request)
                stream.write(
                    http1.encode_response(
                        response, request.method, request.keep_alive
                    )
                )
                if not request.keep_alive:
                    return
        except (OSError, messages.IncompleteMessageError):
            return  # The client closed the connection, or it was idle.
        except (
            messages.MalformedMessageError,
            messages.BodyTooLargeError,
        ) as error:
            self._log.write("management request rejected", error=str(error))

    async def _serve_metrics(self, stream: streams.Stream) -> None:
        await self._serve_management(stream, self._answer_metrics_request)

    async def _answer_metrics_request(
        self, request: http1.Request
    ) -> http1.Response:
        del request  # All paths return the metrics.
        return http1.Response(
            200,
            [(b"content-type", metrics.CONTENT_TYPE)],
            self._metrics.render(),
        )

    async def _answer_readiness_check(
        self, request: http1.Request
    ) -> http1.Response:
        if request.path != self._platform.readiness_path:
            return http1.Response(404, [], b"")
        return http1.Response(200 if self.ready else 503, [], b"")

    async def _answer_announcement(
        self, request: http1.Request
    ) -> http1.Response:
        try:
            announcement = self._platform.decode_announcement(request)
        except ValueError as error:
            self._log.write("announcement rejected", error=str(error))
            return http1.Response(400, [], b"")
        if not self._server.apply_announcement(announcement):
            return http1.Response(409, [], b"")
        if announcement.state is not backend.BackendState.SERVING:
            # Binds this node also after a restart.
            await self._departure_records.wait_until_written()
        return http1.Response(
            200,
            [(b"content-type", b"application/json")],
            self._platform.encode_acknowledgement(),
        )
