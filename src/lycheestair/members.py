"""Members of the fleet and the backend servers attached to them."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Protocol

from lycheestair import ids


class MemberState(enum.Enum):
    """State of a node according to the failure detector."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"
    LEFT = "left"


class EndpointState(enum.Enum):
    """Lifecycle state of a backend server; only SERVING takes new work."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A backend server as announced by its node.

    Attributes:
      slots: Number of requests that the backend server runs concurrently.
      started_at: Unix time in seconds at which it started serving.
    """

    service: ids.ServiceName
    version: ids.VersionName
    slots: int
    state: EndpointState
    started_at: float


@dataclasses.dataclass(frozen=True)
class Member:
    """Record of a node in the gossip membership.

    Attributes:
      control: Address of its control listener (gRPC).
      peer: Address of its peer listener (HTTP).
      incarnation: Rises with each restart of the node, each refutation and
        each change of its record.
      generation: Configuration generation that it reported last.
      endpoint: Its backend server, None if no backend server is known.
    """

    node_id: ids.NodeId
    region: ids.Region
    failure_domain: ids.FailureDomain
    control: ids.Address
    peer: ids.Address
    incarnation: int
    state: MemberState = MemberState.ALIVE
    generation: ids.Generation = ids.Generation(0)
    endpoint: Endpoint | None = None


class Membership(Protocol):
    """Fleet membership as seen by one node."""

    def read_self(self) -> Member:
        """Returns the record of this node."""

    def read_members(self) -> Mapping[ids.NodeId, Member]:
        """Returns all known nodes with this one; the mapping is immutable."""

    def announce_endpoint(self, endpoint: Endpoint | None) -> None:
        """Announces the state of the local backend server."""

    def leave(self) -> None:
        """Announces that this node leaves the fleet."""
