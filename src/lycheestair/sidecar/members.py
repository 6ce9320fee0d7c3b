"""What a node knows of the other nodes and their backend servers."""

from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import backend
from lycheestair.sidecar import clock

# Weight of the latest observation in the moving averages of failures.
FAILURE_RATE_WEIGHT: Final = 0.15
# The average of failures halves in this time, so that a backend server that
# gets no requests because of it is tried again.
FAILURE_HALF_LIFE_S: Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """Where a node is found; kept in the store.

    Attributes:
      incarnation: Unix time in milliseconds of the start of its process.
    """

    node_id: ids.NodeId
    address: ids.Address
    failure_domain: ids.FailureDomain
    region: ids.Region
    incarnation: int

    def encode(self) -> list[Any]:
        """Returns the record as a list of plain values."""
        return list(dataclasses.astuple(self))


def decode_record(fields: Any) -> NodeRecord:
    """Decodes a record.

    Raises:
      ValueError: It is not a record of a node.
    """
    if not isinstance(fields, list) or len(fields) != 5:
        raise ValueError("not a record of a node")
    *texts, incarnation = fields
    if not all(isinstance(text, str) and text for text in texts):
        raise ValueError("record of a node has a field of another type")
    if not isinstance(incarnation, int) or ":" not in texts[1]:
        raise ValueError("record of a node has a malformed address")
    return NodeRecord(
        ids.NodeId(texts[0]),
        ids.Address(texts[1]),
        ids.FailureDomain(texts[2]),
        ids.Region(texts[3]),
        incarnation,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server as its node announces it."""

    instance: str
    service: ids.ServiceName
    version: ids.VersionName
    slots: int
    state: backend.BackendState


@dataclasses.dataclass(slots=True)
class Load:
    """Load of a backend server as its node sees it.

    Attributes:
      running: Requests at the backend server.
      waiting: Requests in the queue of its node.
      service_ms: Time that a request takes at the backend server.
      failed_percent: Part of its requests that failed lately.
    """

    running: int = 0
    waiting: int = 0
    service_ms: float = 0.0
    failed_percent: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteCount:
    """Outcomes of a route at one backend server since a rollout was ordered.

    Attributes:
      busy_ms: Time in milliseconds that the answers took together.
    """

    route: ids.RouteName
    answers: int
    failures: int
    busy_ms: int


class FailureShare:
    """Share of failures among the latest outcomes; it fades with time."""

    def __init__(self, weight: float = FAILURE_RATE_WEIGHT):
        self._weight = weight
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, failed: bool) -> None:
        """Counts an outcome."""
        value = self.read()
        self._updated_at = clock.read_s()
        self._value = value + self._weight * (failed - value)

    def read(self) -> float:
        """Returns the share."""
        if not self._value:
            return 0.0
        age_s = clock.read_s() - self._updated_at
        return float(self._value * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))


class Member:
    """Another node, or the own one.

    Attributes:
      leaving: Whether the node has begun to stop.
      store_ok: Whether the store answers it, None if it has not said.
      store_ms: Time in milliseconds of a call from it to the store.
      load: Load that it reported last.
      sent: Requests sent to it and not answered.
      heard_at: Steady time of its last frame.
      status: Its latest status as it was sent, None before the first one.
      lost_at: Steady time at which a connection to it failed.
      tried: Whether it has been sent a request in this incarnation.
      silent: Whether it owes a sign of life.
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
        self.order_revision = 0
        self.counts: tuple[RouteCount, ...] = ()
        self.reachable = False
        self.sent = 0
        self.sent_at_report = 0
        self.heard_at = 0.0
        self.status: list[Any] | None = None
        self.lost_at = 0.0
        self.tried = False
        self.silent = False
        self._failures = FailureShare()

    def reset(self, record: NodeRecord) -> None:
        """Takes over a later incarnation; what was known of it is dropped."""
        self.record = record
        self.endpoint = None
        self.load = Load()
        self.generation = ids.Generation(0)
        self.leaving = False
        self.store_available = None
        self.status_number = -1
        self.status = None
        self.order_revision = 0
        self.counts = ()
        self.tried = False
        self._failures = FailureShare()

    def report_load(
        self,
        running: int,
        waiting: int,
        service_ms: float,
        failed_percent: float,
    ) -> None:
        """Takes over a load report."""
        self.load.running = running
        self.load.waiting = waiting
        self.load.service_ms = service_ms
        self.load.failed_percent = failed_percent
        self.sent_at_report = self.sent

    @property
    def outstanding(self) -> int:
        """Requests that it is believed to hold now."""
        reported = self.load.running + self.load.waiting
        return max(self.sent, reported + self.sent - self.sent_at_report)

    def record_outcome(self, failed: bool) -> None:
        """Counts how a request to it ended."""
        self._failures.add(failed)

    @property
    def failure_share(self) -> float:
        """Share of failures, as seen here or as its own node reports it.

        Its own node sees all requests; the way to it is only seen here.
        """
        return max(self._failures.read(), self.load.failed_percent / 100)


class MemberTable:
    """All known nodes; the own one among them."""

    def __init__(self, own: NodeRecord):
        self.own = Member(own)
        self.own.reachable = True
        self._members: dict[ids.NodeId, Member] = {own.node_id: self.own}
        self._serving_by_service: dict[ids.ServiceName, list[Member]] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def __len__(self) -> int:
        return len(self._members)

    def find(self, node_id: ids.NodeId) -> Member | None:
        """Returns a member."""
        return self._members.get(node_id)

    def list_others(self) -> list[Member]:
        """Returns all members but the own one."""
        return [m for m in self._members.values() if m is not self.own]

    def add(self, record: NodeRecord) -> Member | None:
        """Takes over a record; returns the member if it is new or restarted."""
        known = self._members.get(record.node_id)
        if known is None:
            member = Member(record)
            self._members[record.node_id] = member
            return member
        if known is self.own or record.incarnation <= known.record.incarnation:
            return None
        known.reset(record)
        self.index()
        return known

    def remove(self, node_id: ids.NodeId) -> None:
        """Forgets a member."""
        self._members.pop(node_id, None)
        self.index()

    def index(self) -> None:
        """Rebuilds the lists by service after a change of endpoints."""
        services: dict[ids.ServiceName, list[Member]] = {}
        for member in self._members.values():
            endpoint = member.endpoint
            if (
                endpoint is not None
                and endpoint.state is backend.BackendState.SERVING
            ):
                services.setdefault(endpoint.service, []).append(member)
        self._serving_by_service = services

    def list_serving(self, service: ids.ServiceName) -> list[Member]:
        """Returns the members whose backend server serves a service."""
        return self._serving_by_service.get(service, [])

    def list_versions(self, service: ids.ServiceName) -> set[ids.VersionName]:
        """Returns the versions that serve a service."""
        return {
            member.endpoint.version
            for member in self.list_serving(service)
            if member.endpoint is not None
        }
