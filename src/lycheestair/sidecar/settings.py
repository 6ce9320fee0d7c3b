"""Settings of a sidecar node."""

import dataclasses

from lycheestair import ids


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds agreed with the operator of the platform.

    Attributes:
      grace_s: Time in seconds from SIGTERM to SIGKILL.
      retry_ratio: Retries allowed per request of a service, over all nodes.
      retry_allowance: Retries allowed in each window in addition to the ratio.
      retry_window_s: Length in seconds of the window for counting retries.
      exposure_share: Fraction of a service's requests that a bad version may
        receive.
      exposure_slack: Requests that it may receive in addition.
      allowance_window_s: Length in seconds of the window in which the requests
        of a client account are counted.
      allowance_overshoot: Fraction by which they may exceed the allowance.
      allowance_slack: Requests by which they may exceed it in addition.
      fails_closed: Whether requests that need a key are refused while no node
        can know whether the key is still valid.
      revocation_s: Time in seconds after which it can't be known.
      cold_overshoot: Factor by which the requests of a cold backend server in
        one second may exceed its rate.
      cold_slack: Requests by which they may exceed it in addition.
    """

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_allowance: float = 50.0
    retry_window_s: float = 10.0
    exposure_share: float = 0.1
    exposure_slack: float = 0.0
    allowance_window_s: float = 5.0
    allowance_overshoot: float = 0.1
    allowance_slack: float = 0.0
    fails_closed: bool = False
    revocation_s: float = 5.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0


@dataclasses.dataclass(frozen=True)
class SidecarSettings:
    """Identity and location of a node and the addresses that it uses.

    Attributes:
      service: Service of the local backend server.
      server_address: Address of the local backend server.
      callers: Address of the listener for requests of clients and of the local
        backend server.
      readiness: Address of the listener for readiness checks.
      control: Address of the listener for heartbeats of the backend server.
      peers: Address of the listener for other nodes.
      metrics: Address of the listener for metrics.
      store: Address of the platform's store.
      memory_bytes: Memory that the process may use.
      max_descriptors: File descriptors that the process may use.
      heartbeat_interval_s: Time in seconds between heartbeats of a backend
        server.
      honours_places: Whether the operator may evacuate failure domains. If not,
        the store is not asked for it, because its calls are billed.
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
    memory_bytes: int
    heartbeat_interval_s: float
    bounds: Bounds
    max_descriptors: int
    honours_places: bool = False
