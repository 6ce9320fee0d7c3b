"""Resource types of a configuration snapshot."""

import dataclasses
import enum
from typing import Annotated
from typing import Final
from typing import Literal

import pydantic

from lycheestair import ids

# Shares are integers in basis points; 10,000 is all traffic of a service.
FULL_SHARE_BPS: Final = 10_000


class VersionState(enum.Enum):
    """Whether a version may receive traffic."""

    ACTIVE = "active"
    # Receives no traffic, because a move to the version was rolled back.
    BARRED = "barred"


class MoveState(enum.Enum):
    """State of a move."""

    PENDING = "pending"
    MOVING = "moving"
    # The target share is reached and the new version is still monitored.
    WATCHING = "watching"
    DONE = "done"
    # Rolled back after it had shifted traffic.
    TAKEN_BACK = "taken_back"
    # Rejected before it shifted any traffic.
    REFUSED = "refused"
    CANCELLED = "cancelled"


RUNNING_MOVE_STATES: Final = frozenset(
    {MoveState.PENDING, MoveState.MOVING, MoveState.WATCHING}
)


@dataclasses.dataclass(frozen=True)
class Share:
    """Share of a service's traffic for one version, in basis points."""

    version: ids.VersionName
    bps: int


@dataclasses.dataclass(frozen=True)
class Version:
    """One version of a service's backend servers."""

    name: ids.VersionName
    state: VersionState = VersionState.ACTIVE


@dataclasses.dataclass(frozen=True)
class Service:
    """A service with its versions and their base shares.

    Base shares exclude the effect of running moves. They sum to 10,000.
    """

    name: ids.ServiceName
    versions: tuple[Version, ...]
    shares: tuple[Share, ...]
    kind: Literal["service"] = "service"

    @property
    def key(self) -> str:
        """Key of the resource in a snapshot."""
        return f"service/{self.name}"


@dataclasses.dataclass(frozen=True)
class HeaderMatch:
    """A request header that must match exactly."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True)
class Route:
    """Matches requests and configures their handling.

    Attributes:
      host: Host to match, "*" for any.
      path_prefix: Path prefix to match, in whole path segments.
      methods: Methods to match, empty for any.
      idempotent: Whether a request may be executed more than once.
      can_wait: Whether requests have low priority: in a queue they come after
        requests that can't wait, which may evict them.
      timeout_ms: Time limit from the arrival of a request to its response.
      retry_limit: Maximum number of attempts after the first one.
      shares: Shares of this route, empty to use the shares of the service.
    """

    name: ids.RouteName
    service: ids.ServiceName
    path_prefix: str
    host: str = "*"
    methods: tuple[str, ...] = ()
    headers: tuple[HeaderMatch, ...] = ()
    idempotent: bool = False
    can_wait: bool = True
    timeout_ms: int = 5_000
    retry_limit: int = 2
    shares: tuple[Share, ...] = ()
    kind: Literal["route"] = "route"

    @property
    def key(self) -> str:
        """Key of the resource in a snapshot."""
        return f"route/{self.name}"


@dataclasses.dataclass(frozen=True)
class Move:
    """A gradual shift of traffic from one version to another by a deadline.

    Attributes:
      target_bps: Target share of the new version.
      share_bps: Current share of the new version.
      deadline: Unix time in seconds.
      route: Route that the move is limited to, empty for the whole service.
      waits_for: Condition that delays the next step, as text for operators.
      reason: Why the move was rolled back, rejected or cancelled.
      bad_calls: Calls that the new version had answered before the rollback.
      changed_at: Unix time in seconds of the last change of state or share.
      review: Number of times that the controller has overridden the caps set
        by guards. Caps that were set at a lower number are no longer valid.
      probe_number: Number of probes ordered so far, see `probes`.
      probe_node: Node that sends its next request to the new version, once for
        each number; empty if there is no outstanding probe.
    """

    id: ids.MoveId
    note_id: ids.NoteId
    service: ids.ServiceName
    from_version: ids.VersionName
    to_version: ids.VersionName
    target_bps: int
    deadline: float
    created_at: float
    route: ids.RouteName = ids.RouteName("")
    state: MoveState = MoveState.PENDING
    share_bps: int = 0
    changed_at: float = 0.0
    waits_for: str = ""
    reason: str = ""
    bad_calls: int = 0
    review: int = 0
    probe_number: int = 0
    probe_node: ids.NodeId = ids.NodeId("")
    kind: Literal["move"] = "move"

    @property
    def key(self) -> str:
        """Key of the resource in a snapshot."""
        return f"move/{self.id}"


@dataclasses.dataclass(frozen=True)
class Shard:
    """A shard of the idempotency keys and the voters that replicate it.

    Attributes:
      epoch: Incremented with each change of the voters.
      voters: Nodes in different failure domains.
      closed_until: Unix time in seconds before which claims are rejected,
        because records may have been lost.
      joined: Per voter, the epoch since which it has been a voter without
        interruption.
      lives: Per voter, its incarnation when it was assigned. After a restart
        the node has no records and must not vote.
    """

    index: ids.ShardIndex
    epoch: int
    voters: tuple[ids.NodeId, ...]
    closed_until: float = 0.0
    joined: tuple[int, ...] = ()
    lives: tuple[int, ...] = ()
    kind: Literal["shard"] = "shard"

    @property
    def key(self) -> str:
        """Key of the resource in a snapshot."""
        return f"shard/{self.index}"


Resource = Service | Route | Move | Shard

ADAPTER: Final[pydantic.TypeAdapter[Resource]] = pydantic.TypeAdapter(
    Annotated[Resource, pydantic.Field(discriminator="kind")]
)
