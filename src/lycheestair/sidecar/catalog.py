"""Configuration of a sidecar node: routes, limits and encoded changes."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar.accounts import records

# Limits that apply until the first configuration is known.
DEFAULT_MAX_HEADER_BYTES: Final = 16_384
DEFAULT_MAX_BODY_BYTES: Final = 1_048_576
DEFAULT_HEADER_TIMEOUT_S: Final = 5.0
DEFAULT_IDLE_TIMEOUT_S: Final = 15.0


class CatalogError(Exception):
    """An encoded change is malformed or based on another generation."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceWeight:
    """A service and its weight in a traffic split; 0 excludes it."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rule for the requests to a host with a path prefix.

    Attributes:
      path_prefix: Begins and ends with a slash.
      split: Services among which the requests are distributed; at least one
        has a weight above 0.
      idempotent: Whether a request may run more than once.
      timeout_s: Maximum time from arrival to response.
      objective_s: Latency objective; a response that exceeds it is worth less,
        but more than a refusal.
      max_attempts: Maximum number of backend servers tried for one request.
      priority: Priority among the requests of a service; 0 is the highest.
      is_public: Whether requests need no key of a client account.
      allowed_regions: Regions in which requests may be served; empty if all are
        allowed.
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
    is_public: bool = False
    allowed_regions: tuple[ids.Region, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits and health check of the backend servers of a service.

    Attributes:
      max_connections: Connections that each backend server accepts.
      cold_start_s: Time for which a backend server is cold after its start.
      cold_requests_per_s: Requests a second that a cold one bears; 0 if it needs
        no protection.
      health_path: Path of health checks, empty if there are none.
    """

    name: ids.ServiceName
    max_connections: int
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0
    health_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size and time limits of client requests."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


class Catalog:
    """A whole configuration; immutable.

    Attributes:
      generation: Number of the configuration, larger for later ones.
      routes: Routes by name.
      services: Services by name.
      limits: Limits of client requests.
      accounts: Client accounts by name.
      requires_keys: Whether requests need the key of a client account: if the
        configuration has any, also if all of them are invalid.
      has_allowances: Whether an account has a limited rate.
      rejections: Why client accounts of the document were left out; not sent to
        other nodes.
    """

    def __init__(
        self,
        generation: ids.Generation,
        routes: Mapping[ids.RouteName, Route],
        services: Mapping[ids.ServiceName, ServiceLimits],
        limits: ClientLimits,
        accounts: Mapping[ids.AccountName, records.Account] | None = None,
        *,
        requires_keys: bool = False,
        rejections: Sequence[str] = (),
    ):
        self.generation = generation
        self.routes = routes
        self.services = services
        self.limits = limits
        self.accounts = accounts or {}
        self.requires_keys = requires_keys or bool(self.accounts)
        self.rejections = rejections
        self.has_allowances = any(
            account.rate_per_s for account in self.accounts.values()
        )
        self._accounts_by_key = records.index_by_key(self.accounts)
        self._prefixes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes.values():
            prefixes = self._prefixes_by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def match(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix that matches a path.

        A port in the host is ignored.
        """
        host_name = host.lower()
        if host_name.rpartition(":")[2].isdigit():
            host_name = host_name.rpartition(":")[0]
        prefixes = self._prefixes_by_host.get(host_name)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_account(self, key: bytes) -> records.Account | None:
        """Returns the account that holds an API key, None if none does."""
        return self._accounts_by_key.get(records.compute_key_digest(key))


EMPTY: Final = Catalog(ids.Generation(0), {}, {}, ClientLimits())

# Encoding used between nodes: [generation, base generation, names of removed
# routes, added or changed routes, services, limits]. With base 0 it holds the
# whole configuration. If either configuration requires keys, the names of removed
# accounts, the added or changed accounts and whether the new one requires keys
# follow.
EncodedChange = list[Any]


def encode_change(old: Catalog, new: Catalog) -> EncodedChange:
    """Encodes the change from one configuration to a later one."""
    change = [
        new.generation,
        old.generation,
        [name for name in old.routes if name not in new.routes],
        [
            _encode_route(route)
            for name, route in new.routes.items()
            if old.routes.get(name) != route
        ],
        [_encode_service(service) for service in new.services.values()],
        dataclasses.astuple(new.limits),
    ]
    if old.requires_keys or new.requires_keys:
        change += [
            [name for name in old.accounts if name not in new.accounts],
            [
                account.encode()
                for name, account in new.accounts.items()
                if old.accounts.get(name) != account
            ],
            new.requires_keys,
        ]
    return change


# Defaults are omitted from services and routes, so that nodes of the previous
# release can read them.


def _encode_service(service: ServiceLimits) -> list[Any]:
    fields: list[Any] = [service.name, service.max_connections]
    if service.cold_requests_per_s:
        fields += [service.cold_start_s, service.cold_requests_per_s]
    return fields


def _encode_route(route: Route) -> list[Any]:
    fields: list[Any] = [
        route.name,
        route.host,
        route.path_prefix,
        [[weighted.service, weighted.weight] for weighted in route.split],
        route.idempotent,
        route.timeout_s,
        route.objective_s,
        route.max_attempts,
        route.priority,
    ]
    if route.is_public or route.allowed_regions:
        fields += [route.is_public, list(route.allowed_regions)]
    return fields


def encode_health_paths(new: Catalog) -> list[list[str]]:
    """Encodes the paths of health checks.

    They are sent beside a change, because nodes of the previous release refuse a
    change with fields that they don't know.
    """
    return [
        [service.name, service.health_path]
        for service in new.services.values()
        if service.health_path
    ]


def read_base_generation(change: EncodedChange) -> ids.Generation:
    """Returns the generation that an encoded change is based on."""
    return ids.Generation(int(change[1]))


def apply_change(
    old: Catalog, change: EncodedChange, health_paths: Sequence[Any] = ()
) -> Catalog:
    """Returns the configuration that results from an encoded change.

    Args:
      old: The configuration that the change may be based on.
      change: The encoded change.
      health_paths: What `encode_health_paths` returned.

    Raises:
      CatalogError: The change is malformed or not based on `old`.
    """
    try:
        generation, base, removed, routes, services, limits, *keyed = change
        removed_accounts, changed_accounts, requires_keys = keyed or ([], [], 0)
        if base not in (0, old.generation):
            raise CatalogError(
                f"change is based on generation {base}, not on {old.generation}"
            )
        merged = dict(old.routes) if base else {}
        for name in removed:
            merged.pop(name, None)
        for fields in routes:
            route = _decode_route(fields)
            merged[route.name] = route
        paths = {str(name): str(path) for name, path in health_paths}
        services_by_name = {
            fields[0]: dataclasses.replace(
                ServiceLimits(*fields), health_path=paths.get(fields[0], "")
            )
            for fields in services
        }
        return Catalog(
            ids.Generation(int(generation)),
            merged,
            services_by_name,
            ClientLimits(*limits),
            _merge_accounts(
                old.accounts if base else {}, removed_accounts, changed_accounts
            ),
            requires_keys=bool(requires_keys),
        )
    except (TypeError, ValueError, IndexError) as error:
        raise CatalogError(
            f"malformed configuration change: {error}"
        ) from error


def _merge_accounts(
    known: Mapping[ids.AccountName, records.Account],
    removed: Sequence[Any],
    changed: Sequence[Any],
) -> dict[ids.AccountName, records.Account]:
    merged = dict(known)
    for name in removed:
        merged.pop(name, None)
    for fields in changed:
        account = records.decode_account(fields)
        merged[account.name] = account
    return merged


def _decode_route(fields: list[Any]) -> Route:
    name, host, prefix, split, *rest = fields
    route = Route(
        name,
        host,
        prefix,
        tuple(ServiceWeight(service, weight) for service, weight in split),
        *rest,
    )
    return dataclasses.replace(
        route, allowed_regions=tuple(route.allowed_regions)
    )
