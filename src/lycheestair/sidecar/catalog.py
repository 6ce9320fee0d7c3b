"""The configuration in force at a sidecar node, and the match of requests."""

from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import Final

from lycheestair import ids

# Used before the first configuration is known.
DEFAULT_MAX_HEADER_BYTES: Final = 16_384
DEFAULT_MAX_BODY_BYTES: Final = 1_048_576
DEFAULT_HEADER_TIMEOUT_S: Final = 5.0
DEFAULT_IDLE_TIMEOUT_S: Final = 15.0


class CatalogError(Exception):
    """The document is not a configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceWeight:
    """A service of a split and its weight among the services of the split."""

    service: ids.ServiceName
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of a host below a path prefix.

    Attributes:
      path_prefix: Begins and ends with a slash.
      split: Services that share the requests.
      idempotent: Whether a request may run more than once.
      timeout_s: Longest time from arrival to answer.
      objective_s: Time within which an answer has its full value.
      max_attempts: Most backend servers that one request may be sent to.
      priority: Rank among the requests of a service; 0 is the highest.
    """

    name: ids.RouteName
    host: str
    path_prefix: str
    split: tuple[ServiceWeight, ...]
    idempotent: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLimits:
    """A service and what its backend servers bear.

    Attributes:
      max_connections: Connections that a backend server accepts.
    """

    name: ids.ServiceName
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What clients may send and how long they may take."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


class Catalog:
    """One whole configuration; never modified.

    Attributes:
      generation: Number of the configuration; later ones are larger.
    """

    def __init__(
        self,
        generation: ids.Generation,
        routes: Mapping[ids.RouteName, Route],
        services: Mapping[ids.ServiceName, ServiceLimits],
        limits: ClientLimits,
    ):
        self.generation = generation
        self.routes = routes
        self.services = services
        self.limits = limits
        self._prefixes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes.values():
            prefixes = self._prefixes_by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest prefix of a path."""
        name = host.lower()
        if name.rpartition(":")[2].isdigit():
            name = name.rpartition(":")[0]
        prefixes = self._prefixes_by_host.get(name)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


EMPTY: Final = Catalog(ids.Generation(0), {}, {}, ClientLimits())

# Encoded form, used between nodes: [generation, base generation, removed
# names, routes, services, limits]. A base of 0 stands for the whole
# configuration.
EncodedChange = list[Any]


def encode_change(old: Catalog, new: Catalog) -> EncodedChange:
    """Encodes what leads from one configuration to a later one."""
    return [
        new.generation,
        old.generation,
        [name for name in old.routes if name not in new.routes],
        [
            _encode_route(route)
            for name, route in new.routes.items()
            if old.routes.get(name) != route
        ],
        [dataclasses.astuple(service) for service in new.services.values()],
        dataclasses.astuple(new.limits),
    ]


def _encode_route(route: Route) -> list[Any]:
    return [
        route.name,
        route.host,
        route.path_prefix,
        [[part.service, part.weight] for part in route.split],
        route.idempotent,
        route.timeout_s,
        route.objective_s,
        route.max_attempts,
        route.priority,
    ]


def read_base_generation(document: EncodedChange) -> ids.Generation:
    """Returns the generation that an encoded change continues."""
    return ids.Generation(int(document[1]))


def apply_change(old: Catalog, document: EncodedChange) -> Catalog:
    """Returns the configuration that an encoded change leads to.

    Raises:
      CatalogError: It does not continue `old` or is malformed.
    """
    try:
        generation, base, removed, routes, services, limits = document
        if base not in (0, old.generation):
            raise CatalogError(f"change continues {base}, not {old.generation}")
        merged = dict(old.routes) if base else {}
        for name in removed:
            merged.pop(name, None)
        for fields in routes:
            route = _decode_route(fields)
            merged[route.name] = route
        services_by_name = {
            name: ServiceLimits(name, max_connections)
            for name, max_connections in services
        }
        return Catalog(
            ids.Generation(int(generation)),
            merged,
            services_by_name,
            ClientLimits(*limits),
        )
    except (TypeError, ValueError, IndexError) as error:
        raise CatalogError(f"malformed change: {error}") from error


def _decode_route(fields: list[Any]) -> Route:
    name, host, prefix, split, *rest = fields
    return Route(
        name,
        host,
        prefix,
        tuple(ServiceWeight(service, weight) for service, weight in split),
        *rest,
    )
