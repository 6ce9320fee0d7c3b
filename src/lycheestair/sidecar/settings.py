"""Settings of a sidecar node."""

import dataclasses

from lycheestair import ids


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Times and shares that the operator of the platform has promised.

    Attributes:
      grace_s: Time from SIGTERM to SIGKILL.
      retry_ratio: Repeats per request of a service, over all nodes.
      retry_slack: Repeats in each window besides.
      retry_window_s: Window in which repeats are counted.
      exposure_share: Part of a service's requests that a bad version may get.
    """

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    exposure_share: float = 0.1


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
      heartbeat_interval_s: Time between heartbeats of backend servers.
    """

    node_id: ids.NodeId
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
    heartbeat_interval_s: float
    bounds: Bounds
