"""Sizes and notes of the deployments that demo, benchmarks and tests run."""

import dataclasses
import enum
from typing import Final


class Deployment(enum.Enum):
    """Available deployments."""

    ZECCA = "zecca"
    VAKHARIA = "vakharia"


@dataclasses.dataclass(frozen=True)
class ServiceSize:
    """Number of backend servers of a service and their capacity.

    Attributes:
      slots: Requests that each backend server can run concurrently.
    """

    name: str
    backend_count: int
    slots: int


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request that clients send.

    Attributes:
      can_wait: Whether the request may be queued behind those that can't.
      weight: Relative frequency among all kinds of the deployment.
    """

    name: str
    service: str
    method: str
    path: str
    idempotent: bool
    can_wait: bool
    weight: int


@dataclasses.dataclass(frozen=True)
class Profile:
    """Topology, services and request kinds of a deployment.

    Attributes:
      regions: Failure domains of each region.
      domain_latency_ms: Latency between failure domains of one region.
      region_latency_ms: Latency between regions.
      client_latency_ms: Latency between a client and its node.
      connection_cost_ms: Time that opening a connection takes.
    """

    deployment: Deployment
    regions: dict[str, tuple[str, str]]
    services: tuple[ServiceSize, ...]
    kinds: tuple[RequestKind, ...]
    store_region: str
    domain_latency_ms: float
    region_latency_ms: float = 20.0
    client_latency_ms: float = 8.0
    connection_cost_ms: float = 1.0
    connections: int = 110

    @property
    def topology(self) -> dict[str, str]:
        """Region of each failure domain."""
        return {
            domain: region
            for region, domains in self.regions.items()
            for domain in domains
        }


def _build_regions(*regions: str) -> dict[str, tuple[str, str]]:
    return {region: (f"{region}-a", f"{region}-b") for region in regions}


PROFILES: Final = {
    Deployment.ZECCA: Profile(
        deployment=Deployment.ZECCA,
        regions=_build_regions("sicily", "calabria", "malta"),
        services=(
            ServiceSize("proofroom", 6, 9),
            ServiceSize("burin", 7, 9),
        ),
        kinds=(
            RequestKind("proof", "proofroom", "GET", "/proofs", True, True, 5),
            RequestKind("gauge", "burin", "GET", "/gauges", True, True, 3),
            RequestKind(
                "hardening", "burin", "POST", "/hardenings", False, True, 1
            ),
            RequestKind("recut", "burin", "POST", "/recuts", False, False, 1),
        ),
        store_region="sicily",
        domain_latency_ms=1.0,
    ),
    Deployment.VAKHARIA: Profile(
        deployment=Deployment.VAKHARIA,
        regions=_build_regions("ahmedabad", "surat", "vadodara"),
        services=(
            ServiceSize("storefront", 6, 12),
            ServiceSize("pressroom", 6, 12),
        ),
        kinds=(
            RequestKind("proof", "storefront", "GET", "/proofs", True, True, 5),
            RequestKind(
                "plate", "storefront", "POST", "/plates", False, True, 3
            ),
            RequestKind(
                "release", "pressroom", "POST", "/releases", False, False, 2
            ),
        ),
        store_region="ahmedabad",
        domain_latency_ms=1.5,
    ),
}


def build_initial_note(profile: Profile) -> str:
    """Returns the TOML text of a note that declares all services and routes."""
    services = (
        f'[[service]]\nname = "{service.name}"\nversions = ["v1"]\n'
        for service in profile.services
    )
    routes = (
        f'[[route]]\nname = "{kind.name}"\nservice = "{kind.service}"\n'
        f'path_prefix = "{kind.path}"\nmethods = ["{kind.method}"]\n'
        f"idempotent = {str(kind.idempotent).lower()}\n"
        f"can_wait = {str(kind.can_wait).lower()}\n"
        for kind in profile.kinds
    )
    return "\n".join(('id = "first"\n', *services, *routes))


def build_route_note(note_id: str, profile: Profile, base: str = "") -> str:
    """Returns the TOML text of a note that replaces a route without traffic.

    Every note defines the same route with another path prefix.

    Args:
      note_id: Id of the note.
      profile: Deployment whose first service is the target of the route.
      base: Id of the note that this one is based on, empty for any.
    """
    base_line = f'base = "{base}"\n' if base else ""
    return (
        f'id = "{note_id}"\n{base_line}\n[[route]]\nname = "unused"\n'
        f'service = "{profile.services[0].name}"\n'
        f'path_prefix = "/unused/{note_id}"\n'
    )


def build_move_note(
    note_id: str,
    service: str,
    to_version: str,
    deadline: str,
    from_version: str = "v1",
) -> str:
    """Returns the TOML text of a note that moves a service to a version.

    Args:
      note_id: Id of the note and of its move.
      service: Service to move.
      to_version: Version to move to.
      deadline: RFC 3339 time with offset.
      from_version: Version to move from.
    """
    return (
        f'id = "{note_id}"\n\n'
        f'[[service]]\nname = "{service}"\nversions = ["{to_version}"]\n\n'
        f'[[move]]\nid = "{note_id}"\nservice = "{service}"\n'
        f'from_version = "{from_version}"\nto_version = "{to_version}"\n'
        f"deadline = {deadline}\n"
    )
