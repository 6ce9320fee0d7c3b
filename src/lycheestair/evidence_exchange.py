"""Reporting of evidence to aggregators and collection by the controller.

Each node reports its intervals to the aggregator of its failure domain. The
controller collects one merged set of rows from each aggregator. Reports and
collect responses also carry the share caps set by guards.
"""

from collections.abc import Callable
import dataclasses
import functools
import threading
import time
from typing import Any
from typing import Final

from absl import logging
import grpc

from lycheestair import aggregation
from lycheestair import caps as caps_lib
from lycheestair import control
from lycheestair import evidence
from lycheestair import evidence_pb2
from lycheestair import evidence_pb2_grpc
from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import settings as settings_lib

REPORT_TIMEOUT_S: Final = 0.5
# Must be shorter than the controller's tick, which waits for all responses.
COLLECT_TIMEOUT_S: Final = 0.4
# A move is not advanced while the evidence of a failure domain is older.
STALE_AFTER_S: Final = 3.0
# Minimum time between reports that are triggered by failures of a new version.
MIN_REPORT_INTERVAL_S: Final = 0.1
NO_SERVICES: Final[frozenset[ids.ServiceName]] = frozenset()

CapCallback = Callable[[caps_lib.Cap], None]


@dataclasses.dataclass(frozen=True)
class DomainEvidence:
    """Counts of one failure domain since the previous collection.

    Attributes:
      age_s: Time since the domain's last closed interval, infinite if the
        domain was never reached.
      nodes: Number of nodes that reported within the window.
      size: Size of the message in bytes.
    """

    domain: ids.FailureDomain
    rows: evidence.Rows
    age_s: float
    nodes: int
    size: int
    caps: tuple[caps_lib.Cap, ...] = ()


def connect_evidence(
    channels: control.PeerChannels, address: ids.Address
) -> Any:
    """Returns an untyped stub of a node's evidence service."""
    channel = channels.connect(address)
    return evidence_pb2_grpc.EvidenceStub(channel)


class EvidenceExchange:
    """Reports local evidence, aggregates reports of peers, and collects.

    Reports go to the aggregator of the local failure domain. If that is the
    local node, it aggregates the reports of the domain. Collection is used by
    the controller.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        table: evidence.EvidenceTable,
        channels: control.PeerChannels,
        membership: members_lib.Membership,
    ):
        self._settings = settings
        self._table = table
        self._channels = channels
        self._membership = membership
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="evidence", daemon=True
        )
        self._reported_services: frozenset[ids.ServiceName] = NO_SERVICES
        # Identifies the process to which the sequence numbers belong. The
        # member's incarnation is unsuitable, because it also rises when the
        # node refutes a suspicion.
        self._process_incarnation = time.time_ns()
        self._urgent_versions: frozenset[evidence.ServiceVersion] = frozenset()
        self._report_requested = threading.Event()
        self._table.set_failure_callback(self._report_requested.set)
        self._urgent_report_callback: Callable[[], None] = lambda: None
        self._cap_callback: CapCallback = lambda cap: None
        self._list_caps: Callable[[], tuple[caps_lib.Cap, ...]] = tuple
        # Intervals that no aggregator has acknowledged yet.
        self._unacknowledged: list[evidence.Interval] = []
        self._cursors: dict[
            tuple[ids.FailureDomain, ids.NodeId], _CollectCursor
        ] = {}
        # Monotonic time at which the newest interval of each domain ended.
        self._newest_interval_ends: dict[ids.FailureDomain, float] = {}
        self.domain_aggregator = aggregation.DomainAggregator(
            settings.moves.window_s
        )
        self.report_bytes = 0
        self.collect_bytes: dict[ids.FailureDomain, int] = {}
        self.collect_count = 0

    def set_reported_services(
        self,
        services: frozenset[ids.ServiceName],
        urgent_versions: frozenset[evidence.ServiceVersion],
    ) -> None:
        """Sets which services are reported.

        Args:
          services: Services that have a running move.
          urgent_versions: New versions, whose failures trigger an immediate
            report.
        """
        self._reported_services = services
        self._urgent_versions = urgent_versions
        self._table.set_urgent_versions(urgent_versions)

    def set_guard_callbacks(
        self,
        on_cap: CapCallback,
        list_caps: Callable[[], tuple[caps_lib.Cap, ...]],
        on_urgent_report: Callable[[], None],
    ) -> None:
        """Sets the callbacks of the guard, whose caps are sent with reports.

        Args:
          on_cap: Called with each cap received from another node.
          list_caps: Returns the active caps.
          on_urgent_report: Called after each report that was triggered by a
            failure of a new version.
        """
        self._cap_callback = on_cap
        self._list_caps = list_caps
        self._urgent_report_callback = on_urgent_report

    def register(self, server: grpc.Server) -> None:
        """Adds the evidence service to the control listener."""
        evidence_pb2_grpc.add_EvidenceServicer_to_server(
            _Servicer(self), server
        )

    def start(self) -> None:
        """Starts reporting."""
        self._thread.start()

    def stop(self) -> None:
        """Stops reporting."""
        self._stop.set()
        self._report_requested.set()
        if self._thread.is_alive():
            self._thread.join(timeout=2.0)

    def is_aggregator(self) -> bool:
        """Whether the local node aggregates for its failure domain."""
        own = self._membership.read_self()
        aggregator = aggregation.choose_aggregator(
            aggregation.list_alive_members(self._membership.read_members()),
            own.failure_domain,
        )
        return aggregator is not None and aggregator.node_id == own.node_id

    def _run(self) -> None:
        period_s = self._settings.moves.tick_ms / 1000
        while not self._stop.wait(min(MIN_REPORT_INTERVAL_S, period_s)):
            requested = self._report_requested.wait(
                max(0.0, period_s - MIN_REPORT_INTERVAL_S)
            )
            self._report_requested.clear()
            try:
                self.report(time.monotonic())
            except Exception:  # Keep reporting after a failed report.
                logging.exception("cannot report evidence")
            if requested:
                self._urgent_report_callback()

    def report(self, now: float) -> None:
        """Closes the local interval and sends all unacknowledged ones.

        Args:
          now: Monotonic time in seconds.
        """
        closed = self._table.close_interval(now)
        self._unacknowledged = [
            interval
            for interval in (*self._unacknowledged, closed)
            if interval.ended_at > now - self._settings.moves.window_s
        ]
        own = self._membership.read_self()
        aggregator = aggregation.choose_aggregator(
            aggregation.list_alive_members(self._membership.read_members()),
            own.failure_domain,
        )
        if aggregator is not None and aggregator.node_id == own.node_id:
            self._add_locally(own, now)
        elif aggregator is not None:
            self._send_report(own, aggregator)
        self.domain_aggregator.close_interval(now)

    def _add_locally(self, own: members_lib.Member, now: float) -> None:
        intervals, self._unacknowledged = self._unacknowledged, []
        self.domain_aggregator.add(
            (own.node_id, self._process_incarnation),
            (
                (
                    interval.sequence,
                    evidence.select_rows(
                        interval.rows, self._reported_services
                    ),
                )
                for interval in intervals
            ),
            now,
        )

    def _send_report(
        self, own: members_lib.Member, aggregator: members_lib.Member
    ) -> None:
        active_caps = self._list_caps()
        if not self._reported_services and not active_caps:
            self._unacknowledged = []
            return
        request = evidence_pb2.ReportRequest(
            node_id=own.node_id,
            incarnation=self._process_incarnation,
            intervals=[
                evidence_pb2.Interval(
                    sequence=interval.sequence,
                    rows=evidence.encode_rows(
                        evidence.select_rows(
                            interval.rows, self._reported_services
                        )
                    ),
                )
                for interval in self._unacknowledged
            ],
            caps=map(caps_lib.encode_cap, active_caps),
        )
        stub = connect_evidence(self._channels, aggregator.control)
        try:
            response = stub.Report(request, timeout=REPORT_TIMEOUT_S)
        except grpc.RpcError:
            return
        self.report_bytes += request.ByteSize() + response.ByteSize()
        self._unacknowledged = []
        for message in response.caps:
            self._cap_callback(caps_lib.decode_cap(message))

    def handle_report(
        self, request: evidence_pb2.ReportRequest
    ) -> evidence_pb2.ReportResponse:
        """Adds a node's report to the evidence of the failure domain."""
        intervals = [
            (interval.sequence, evidence.decode_rows(interval.rows))
            for interval in request.intervals
        ]
        self.domain_aggregator.add(
            (request.node_id, request.incarnation), intervals, time.monotonic()
        )
        if any(
            counts.failed
            and (target.service, target.version) in self._urgent_versions
            for _, rows in intervals
            for target, counts in rows.items()
        ):
            self._report_requested.set()
        for message in request.caps:
            self._cap_callback(caps_lib.decode_cap(message))
        return evidence_pb2.ReportResponse(
            caps=map(caps_lib.encode_cap, self._list_caps())
        )

    def handle_collect(
        self, request: evidence_pb2.CollectRequest
    ) -> evidence_pb2.CollectResponse:
        """Returns the rows since a cursor, merged by version and route.

        A cursor of another process incarnation is ignored.
        """
        after = (
            request.after
            if request.incarnation == self._process_incarnation
            else 0
        )
        intervals = self.domain_aggregator.log.read_after(after)
        services = frozenset(map(ids.ServiceName, request.services))
        rows = evidence.merge_rows(
            evidence.select_rows(interval.rows, services)
            for interval in intervals
        )
        newest = self.domain_aggregator.log.read_after(0)[-1:]
        age_s = time.monotonic() - newest[0].ended_at if newest else 0.0
        return evidence_pb2.CollectResponse(
            incarnation=self._process_incarnation,
            sequence=intervals[-1].sequence if intervals else after,
            rows=evidence.encode_rows(rows),
            age_ms=int(age_s * 1000),
            nodes=self.domain_aggregator.count_reporting_nodes(),
            caps=map(caps_lib.encode_cap, self._list_caps()),
        )

    def handle_cap_notice(self, notice: evidence_pb2.CapNotice) -> None:
        """Passes a peer's cap to the guard."""
        self._cap_callback(caps_lib.decode_cap(notice))

    def collect(
        self, services: frozenset[ids.ServiceName]
    ) -> tuple[DomainEvidence, ...]:
        """Collects from the aggregator of each failure domain in parallel.

        Args:
          services: Services to collect evidence of.

        Returns:
          Evidence since the previous call, of each failure domain that has
          alive members. Those that did not answer have no rows, and their age
          grows.
        """
        alive = aggregation.list_alive_members(self._membership.read_members())
        domains = sorted({member.failure_domain for member in alive})
        pending = [
            self._start_collect(domain, aggregator, services)
            for domain in domains
            if (aggregator := aggregation.choose_aggregator(alive, domain))
            is not None
        ]
        return tuple(finish_collect() for finish_collect in pending)

    def _start_collect(
        self,
        domain: ids.FailureDomain,
        aggregator: members_lib.Member,
        services: frozenset[ids.ServiceName],
    ) -> Callable[[], DomainEvidence]:
        source = (domain, aggregator.node_id)
        cursor = self._cursors.get(source, _CollectCursor())
        request = evidence_pb2.CollectRequest(
            incarnation=cursor.incarnation,
            after=cursor.sequence,
            services=sorted(services),
        )
        if aggregator.node_id == self._settings.node.node_id:
            response = self.handle_collect(request)
            return lambda: self._process_response(source, response)
        stub = connect_evidence(self._channels, aggregator.control)
        call = stub.Collect.future(request, timeout=COLLECT_TIMEOUT_S)
        return functools.partial(self._finish_collect, source, call)

    def _finish_collect(
        self,
        source: tuple[ids.FailureDomain, ids.NodeId],
        call: "grpc.Future[evidence_pb2.CollectResponse]",
    ) -> DomainEvidence:
        try:
            return self._process_response(source, call.result())
        except grpc.RpcError:
            ended_at = self._newest_interval_ends.get(source[0])
            age_s = (
                float("inf")
                if ended_at is None
                else time.monotonic() - ended_at
            )
            return DomainEvidence(source[0], {}, age_s, 0, 0)

    def _process_response(
        self,
        source: tuple[ids.FailureDomain, ids.NodeId],
        response: evidence_pb2.CollectResponse,
    ) -> DomainEvidence:
        domain = source[0]
        age_s = response.age_ms / 1000
        self._cursors[source] = _CollectCursor(
            response.incarnation, response.sequence
        )
        self._newest_interval_ends[domain] = time.monotonic() - age_s
        size = response.ByteSize()
        self.collect_bytes[domain] = self.collect_bytes.get(domain, 0) + size
        self.collect_count += 1
        return DomainEvidence(
            domain,
            evidence.decode_rows(response.rows),
            age_s,
            response.nodes,
            size,
            tuple(map(caps_lib.decode_cap, response.caps)),
        )


@dataclasses.dataclass(frozen=True)
class _CollectCursor:
    """Aggregator's process and the last interval collected from it."""

    incarnation: int = 0
    sequence: int = 0


class _Servicer(evidence_pb2_grpc.EvidenceServicer):  # type: ignore[misc]
    """gRPC service that forwards to an EvidenceExchange."""

    def __init__(self, exchange: EvidenceExchange):
        self._exchange = exchange

    def Report(  # noqa: N802
        self,
        request: evidence_pb2.ReportRequest,
        context: grpc.ServicerContext,
    ) -> evidence_pb2.ReportResponse:
        return self._exchange.handle_report(request)

    def Collect(  # noqa: N802
        self,
        request: evidence_pb2.CollectRequest,
        context: grpc.ServicerContext,
    ) -> evidence_pb2.CollectResponse:
        return self._exchange.handle_collect(request)

    def Notify(  # noqa: N802
        self, request: evidence_pb2.CapNotice, context: grpc.ServicerContext
    ) -> evidence_pb2.NotifyResponse:
        self._exchange.handle_cap_notice(request)
        return evidence_pb2.NotifyResponse()
