"""Table of the known nodes and their backend servers."""

import collections
from collections.abc import Collection
from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import Final

from lycheestair import departures as departures_lib
from lycheestair import ids
from lycheestair import server_limits
from lycheestair.sidecar import backend
from lycheestair.sidecar import clock
from lycheestair.sidecar import latencies as latencies_lib
from lycheestair.sidecar import revisions

# Weight of the latest outcome in the moving average of failures.
FAILURE_RATE_WEIGHT: Final = 0.15
# Half-life of the moving average without new outcomes, so that a backend server
# that gets no requests because of its failures is tried again.
FAILURE_HALF_LIFE_S: Final = 2.0
USUAL_SLOWDOWN_PERCENT: Final = 100.0
# Elements of a load report for nodes of the previous release.
LOAD_FIELDS_WITHOUT_SLOWDOWN: Final = 4
MAX_PORT: Final = 65_535
# The largest integer in a frame.
MAX_INCARNATION: Final = 2**63 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """Identity and location of a node; kept in the store.

    Attributes:
      incarnation: Unix time in milliseconds at which its process started.
    """

    node_id: ids.NodeId
    address: ids.Address
    failure_domain: ids.FailureDomain
    region: ids.Region
    incarnation: int

    def encode(self) -> list[Any]:
        """Returns the record as a list of plain values."""
        return [
            self.node_id,
            self.address,
            self.failure_domain,
            self.region,
            self.incarnation,
        ]


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(
        host
        and port.isascii()
        and port.isdecimal()
        and 0 < int(port[:6]) <= MAX_PORT
    )


def decode_record(fields: Any) -> NodeRecord:
    """Decodes a node record.

    Raises:
      ValueError: The fields are not those of a node record.
    """
    if not isinstance(fields, list) or len(fields) != 5:
        raise ValueError("node record is not a list of 5 fields")
    *texts, incarnation = fields
    if not all(isinstance(text, str) and text for text in texts):
        raise ValueError("node record has an empty or non-string field")
    if not isinstance(incarnation, int) or not _is_address(texts[1]):
        raise ValueError("node record has a malformed incarnation or address")
    if not 0 <= incarnation <= MAX_INCARNATION:
        raise ValueError("node record has an incarnation out of range")
    return NodeRecord(
        ids.NodeId(texts[0]),
        ids.Address(texts[1]),
        ids.FailureDomain(texts[2]),
        ids.Region(texts[3]),
        incarnation,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server as reported by its node."""

    instance: str
    service: ids.ServiceName
    version: ids.VersionName
    slots: int
    state: backend.BackendState


@dataclasses.dataclass(slots=True)
class Load:
    """Load of a backend server as measured by its node.

    Attributes:
      running: Requests that the backend server is processing.
      waiting: Requests in the queue of its node.
      service_time_ms: Average processing time of a request.
      failed_percent: Moving average of the failure rate, in percent.
      slowdown_percent: Time that work takes there now, compared with the usual
        time, which is 100.
      slowdown_at: Time of the report, if it names a slowdown.
    """

    running: int = 0
    waiting: int = 0
    service_time_ms: float = 0.0
    failed_percent: float = 0.0
    slowdown_percent: float = USUAL_SLOWDOWN_PERCENT
    slowdown_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteCount:
    """Outcomes of a route at one backend server since a rollout was ordered.

    Attributes:
      answers: All outcomes, including failures without a response.
      total_latency_ms: Total processing time of these requests.
      latencies: Histogram of the latencies of successful requests that did not
        reach the backend server during its warm-up.
    """

    route: ids.RouteName
    answers: int
    failures: int
    total_latency_ms: int
    latencies: latencies_lib.EncodedHistogram = ()

    def subtract(self, earlier: "RouteCount") -> "RouteCount":
        """Returns the outcomes since an earlier count of the same route."""
        return RouteCount(
            self.route,
            self.answers - earlier.answers,
            self.failures - earlier.failures,
            self.total_latency_ms - earlier.total_latency_ms,
            latencies_lib.subtract(self.latencies, earlier.latencies),
        )


class FailureRate:
    """Exponential moving average of failures that also decays over time."""

    def __init__(self, weight: float = FAILURE_RATE_WEIGHT):
        self._weight = weight
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, failed: bool) -> None:
        """Adds an outcome to the average."""
        value = self.read()
        self._updated_at = clock.read_s()
        self._value = value + self._weight * (failed - value)

    @property
    def has_failures(self) -> bool:
        """Whether a failure has been recorded."""
        return bool(self._value)

    def read(self) -> float:
        """Returns the current failure rate, from 0 to 1."""
        if not self._value:
            return 0.0
        age_s = clock.read_s() - self._updated_at
        return float(self._value * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))


class Member:
    """State of a known node, which may be this node.

    Times are those of `clock.read_s`.

    Attributes:
      record: Latest known record.
      endpoint: Its backend server, None if it reports none.
      load: Load that it reported last.
      generation: Generation of the configuration that it is known to have.
      leaving: Whether it is shutting down.
      store_available: Whether the store answers it; None if unknown.
      store_latency_ms: Duration of a store call from it.
      status_number: Number of its latest status, -1 before the first one.
      rollout_created_revision: Revision at which the rollout that `counts`
        belong to was created.
      counts: Outcomes at its backend server since that rollout was ordered.
      reachable: Whether it can be reached, directly or according to a relay.
      in_flight: Requests sent to it and not answered yet.
      in_flight_at_report: Value of `in_flight` when its latest load report
        arrived.
      last_frame_at: Time of its last frame.
      status: Its latest encoded status, None before the first one.
      connection_lost_at: Time at which a connection to it was lost or failed.
      was_tried: Whether this node has tried to send it a request since the
        member last started.
      ping_overdue: Whether its answer to a ping is overdue.
      departures: Departures that it has acknowledged, also before a restart.
      limit: Limit of its backend server that it reported last, also before a
        restart.
    """

    def __init__(self, record: NodeRecord):
        self.record = record
        self.endpoint: Endpoint | None = None
        self.load = Load()
        self.generation = ids.Generation(0)
        self.leaving = False
        self.store_available: bool | None = None
        self.store_latency_ms = 0
        self.status_number = -1
        self.rollout_created_revision = revisions.NO_REVISION
        self.counts: tuple[RouteCount, ...] = ()
        self.reachable = False
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.last_frame_at = 0.0
        self.status: list[Any] | None = None
        self.connection_lost_at = 0.0
        self.was_tried = False
        self.ping_overdue = False
        self.departures = departures_lib.Departures()
        self.limit: server_limits.InstanceLimit | None = None
        self._failures = FailureRate()

    def reset(self, record: NodeRecord) -> None:
        """Replaces the record and drops the state of the old incarnation."""
        self.record = record
        self.endpoint = None
        self.load = Load()
        self.generation = ids.Generation(0)
        self.leaving = False
        self.store_available = None
        self.status_number = -1
        self.status = None
        self.rollout_created_revision = revisions.NO_REVISION
        self.counts = ()
        self.was_tried = False
        self._failures = FailureRate()

    def report_load(
        self,
        running: int,
        waiting: int,
        service_time_ms: float,
        failed_percent: float,
        slowdown_percent: float = USUAL_SLOWDOWN_PERCENT,
    ) -> None:
        """Stores a load report."""
        self.load.running = running
        self.load.waiting = waiting
        self.load.service_time_ms = service_time_ms
        self.load.failed_percent = failed_percent
        self.load.slowdown_percent = slowdown_percent
        if slowdown_percent != USUAL_SLOWDOWN_PERCENT:
            self.load.slowdown_at = clock.read_s()
        self.in_flight_at_report = self.in_flight

    @property
    def outstanding(self) -> int:
        """Estimated number of requests that it is processing or queueing.

        Requests of this node that were sent after its last report are added to
        the reported load.
        """
        load, in_flight = self.load, self.in_flight
        estimated = (
            load.running + load.waiting + in_flight - self.in_flight_at_report
        )
        return estimated if estimated > in_flight else in_flight

    def record_outcome(self, failed: bool) -> None:
        """Records whether a request to it failed."""
        self._failures.add(failed)

    @property
    def has_failures(self) -> bool:
        """Whether its failure rate may be above 0."""
        return self.load.failed_percent > 0 or self._failures.has_failures

    @property
    def failure_rate(self) -> float:
        """Larger of the failure rates measured by this node and by the member.

        The member sees the requests of all nodes, but only this node sees
        failures of the connection between the two.
        """
        return max(self._failures.read(), self.load.failed_percent / 100)


@dataclasses.dataclass(slots=True)
class ServingMembers:
    """Members with a serving backend server of one service and version.

    Attributes:
      all: All of them.
      by_distance: Those of this node's failure domain, the others of its region,
        and the others.
    """

    all: list[Member] = dataclasses.field(default_factory=list)
    by_distance: tuple[list[Member], list[Member], list[Member]] = (
        dataclasses.field(default_factory=lambda: ([], [], []))
    )


class MemberTable:
    """All known nodes, including this one.

    Attributes:
      own: This node.
      version: Increases when a member is added, restarted or removed.
      region_sizes: Number of members of each region.
    """

    def __init__(self, own: NodeRecord):
        self.own = Member(own)
        self.own.reachable = True
        self.version = 0
        self.region_sizes = collections.Counter({own.region: 1})
        self._members: dict[ids.NodeId, Member] = {own.node_id: self.own}
        self._ids_by_address: dict[ids.Address, ids.NodeId] = {
            own.address: own.node_id
        }
        self._is_index_valid = True
        self._serving: dict[
            ids.ServiceName, dict[ids.VersionName, ServingMembers]
        ] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    def find(self, node_id: ids.NodeId) -> Member | None:
        """Returns a member, None if it is not known."""
        return self._members.get(node_id)

    def find_by_address(self, address: ids.Address) -> Member | None:
        """Returns the member that last used an address, None if none did."""
        node_id = self._ids_by_address.get(address)
        member = None if node_id is None else self._members.get(node_id)
        if member is None or member.record.address != address:
            return None
        return member

    def find_by_record(self, fields: Any) -> Member | None:
        """Returns the member whose record encodes to the given fields.

        Spares the decoding of a record that is known already.
        """
        if not isinstance(fields, list) or not fields:
            return None
        node_id = fields[0]
        member = (
            self._members.get(ids.NodeId(node_id))
            if isinstance(node_id, str)
            else None
        )
        if member is None or member.record.encode() != fields:
            return None
        return member

    def list_others(self) -> list[Member]:
        """Returns all members but this node."""
        return [m for m in self._members.values() if m is not self.own]

    def add(self, record: NodeRecord) -> Member | None:
        """Adds the member of a record, or resets it after a restart.

        Returns:
          The member if it is new or has restarted, None otherwise.
        """
        known = self._members.get(record.node_id)
        if known is None:
            member = Member(record)
            self._members[record.node_id] = member
            self._ids_by_address[record.address] = record.node_id
            self.region_sizes[record.region] += 1
            self.version += 1
            return member
        if known is self.own or record.incarnation <= known.record.incarnation:
            return None
        self.region_sizes[known.record.region] -= 1
        self.region_sizes[record.region] += 1
        known.reset(record)
        self._ids_by_address[record.address] = record.node_id
        self.version += 1
        self.invalidate_service_index()
        return known

    def remove(self, node_id: ids.NodeId) -> None:
        """Removes a member."""
        member = self._members.pop(node_id, None)
        if member is None:
            return
        if self._ids_by_address.get(member.record.address) == node_id:
            del self._ids_by_address[member.record.address]
        self.region_sizes[member.record.region] -= 1
        self.version += 1
        self.invalidate_service_index()

    def invalidate_service_index(self) -> None:
        """Tells that an endpoint has changed.

        The index by service is rebuilt when it is used next: endpoints change in
        bursts.
        """
        self._is_index_valid = False

    def _rebuild_service_index(self) -> None:
        self._is_index_valid = True
        self._serving = {}
        own = self.own.record
        for member in self._members.values():
            endpoint = member.endpoint
            if (
                endpoint is None
                or endpoint.state is not backend.BackendState.SERVING
            ):
                continue
            serving = self._serving.setdefault(endpoint.service, {}).setdefault(
                endpoint.version, ServingMembers()
            )
            serving.all.append(member)
            if member.record.region != own.region:
                distance = 2
            else:
                distance = member.record.failure_domain != own.failure_domain
            serving.by_distance[distance].append(member)

    def list_serving(
        self, service: ids.ServiceName, version: ids.VersionName
    ) -> list[Member]:
        """Returns the members that serve a version of a service."""
        found = self._find_versions(service).get(version)
        return found.all if found else []

    def list_serving_by_distance(
        self, service: ids.ServiceName, version: ids.VersionName
    ) -> tuple[list[Member], list[Member], list[Member]]:
        """Returns the members that serve a version, in tiers by distance.

        The tiers are this node's failure domain, its region and the rest.
        """
        found = self._find_versions(service).get(version)
        return found.by_distance if found else ([], [], [])

    def list_versions(
        self, service: ids.ServiceName
    ) -> Collection[ids.VersionName]:
        """Returns the versions with a serving backend server of a service."""
        return self._find_versions(service).keys()

    def _find_versions(
        self, service: ids.ServiceName
    ) -> dict[ids.VersionName, ServingMembers]:
        if not self._is_index_valid:
            self._rebuild_service_index()
        return self._serving.get(service, {})
