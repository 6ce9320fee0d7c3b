"""Settings of a sidecar node."""

from collections.abc import Mapping
import dataclasses
from typing import Final

from lycheestair import ids

# Part of the bounds that the node keeps free for its own delays.
SAFETY: Final = 0.8


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Times and shares that the operator of the platform has promised.

    Attributes:
      drain_s: After the acknowledgement of its leaving a backend server gets
        no request later than this.
      grace_s: Time from SIGTERM to SIGKILL.
      apply_s: Time from the acceptance of a configuration until it is in
        force.
      retry_ratio: Repeats per request of a service, over all nodes.
      retry_slack: Repeats in each window besides.
      retry_window_s: Window in which repeats are counted.
      exposure_share: Part of a service's requests that a bad version may get.
      exposure_slack: Requests that it may get besides.
      rollback_s: Time within which a version that failed gets no request.
      address_reuse_s: Time after which an address may get a new owner.
    """

    drain_s: float = 2.5
    grace_s: float = 6.0
    apply_s: float = 2.5
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_s: float = 5.0
    address_reuse_s: float = 2.0


@dataclasses.dataclass(frozen=True)
class SidecarSettings:
    """Where a node runs and what it listens on.

    Attributes:
      service: Service of the backend server beside the node.
      server_address: Address of that backend server.
      callers: Listener for clients and the backend server's own calls.
      readiness: Listener for readiness checks.
      control: Listener for the heartbeats of the backend server.
      peers: Listener for other nodes.
      store: Address of the platform's store.
      zones: Region of each failure domain.
      heartbeat_interval_s: Time between heartbeats of backend servers.
    """

    node_id: ids.NodeId
    host: str
    failure_domain: ids.FailureDomain
    region: ids.Region
    service: ids.ServiceName
    server_address: ids.Address
    callers: ids.Address
    readiness: ids.Address
    control: ids.Address
    peers: ids.Address
    metrics: ids.Address
    store: ids.Address
    zones: Mapping[ids.FailureDomain, ids.Region]
    heartbeat_interval_s: float
    memory_bytes: int
    bounds: Bounds
