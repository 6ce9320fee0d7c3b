"""Route matching on tables built once per snapshot, and traffic shares."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import re
import urllib.parse

from lycheestair import ids
from lycheestair import messages
from lycheestair import resources
from lycheestair import snapshot as snapshot_lib

Shares = Mapping[ids.VersionName, int]

_PERCENT_ESCAPE = re.compile(r"%(?!2[fF])[0-9a-fA-F]{2}")


class AmbiguousPathError(Exception):
    """The path has more than one interpretation."""


@dataclasses.dataclass(frozen=True)
class Probe:
    """Order to a node to send one request to a new version, see `probes`."""

    move_id: ids.MoveId
    number: int
    node_id: ids.NodeId
    version: ids.VersionName


@dataclasses.dataclass(frozen=True)
class RouteEntry:
    """A route prepared for matching.

    Attributes:
      headers: Names, in lower case, and values that a request must have.
      shares: Traffic shares by version in basis points, with running moves
        applied and without barred versions.
      probes: Outstanding probes of moves that apply to the route.
    """

    route: resources.Route
    headers: tuple[messages.Header, ...]
    shares: Shares
    probes: tuple[Probe, ...] = ()

    def accepts(self, request: messages.Request) -> bool:
        """Whether the request's method and headers match."""
        methods = self.route.methods
        if methods and request.method not in methods:
            return False
        return all(header in request.headers for header in self.headers)


class RoutingTable:
    """Routes of one snapshot, indexed by host and path prefix."""

    def __init__(self, snapshot: snapshot_lib.Snapshot):
        self.generation = snapshot.generation
        self._hosts: dict[str, dict[str, list[RouteEntry]]] = {}
        self._routes: dict[ids.RouteName, RouteEntry] = {}
        for route in snapshot.select(resources.Route):
            entry = _prepare_route(snapshot, route)
            self._routes[route.name] = entry
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefix = route.path_prefix.rstrip("/")
            prefixes.setdefault(prefix, []).append(entry)
        for prefixes in self._hosts.values():
            for entries in prefixes.values():
                entries.sort(key=_get_route_precedence)

    def match(self, request: messages.Request) -> RouteEntry | None:
        """Returns the most specific route that matches a request.

        Order of precedence: a named host before "*", the longest path prefix,
        the most header matches, routes that name methods.

        Raises:
          AmbiguousPathError: The path has dot segments.
        """
        host = request.host.lower()
        if host.rpartition(":")[2].isdigit():
            host = host.rpartition(":")[0]
        path = normalize_path(request.path)
        for name in (host, "*"):
            prefixes = self._hosts.get(name)
            if prefixes is None:
                continue
            for prefix in iterate_prefixes(path):
                for entry in prefixes.get(prefix, ()):
                    if entry.accepts(request):
                        return entry
        return None


def _get_route_precedence(entry: RouteEntry) -> tuple[int, bool, str]:
    route = entry.route
    return -len(route.headers), not route.methods, route.name


def normalize_path(path: str) -> str:
    """Percent-decodes a path for matching; escaped slashes stay escaped.

    Malformed escapes are left as they are.

    Raises:
      AmbiguousPathError: The path has dot segments, which backend servers
        resolve differently.
    """
    if "%" in path:
        path = _PERCENT_ESCAPE.sub(
            lambda match: urllib.parse.unquote(match[0], "latin-1"), path
        )
    if "/." in path and not {".", ".."}.isdisjoint(path.split("/")):
        raise AmbiguousPathError("path has dot segments")
    return path


def iterate_prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path at segment boundaries, longest first."""
    prefix = path.rstrip("/")
    while prefix:
        yield prefix
        prefix = prefix.rpartition("/")[0]
    yield ""


def _prepare_route(
    snapshot: snapshot_lib.Snapshot, route: resources.Route
) -> RouteEntry:
    return RouteEntry(
        route=route,
        headers=tuple(
            (header.name.lower().encode(), header.value.encode())
            for header in route.headers
        ),
        shares=compute_shares(snapshot, route),
        probes=tuple(
            Probe(move.id, move.probe_number, move.probe_node, move.to_version)
            for move in _list_running_moves(snapshot, route)
            if move.probe_node
        ),
    )


def _list_running_moves(
    snapshot: snapshot_lib.Snapshot, route: resources.Route
) -> Iterator[resources.Move]:
    return (
        move
        for move in snapshot.select(resources.Move)
        if move.service == route.service
        and move.route in ("", route.name)
        and move.state in resources.RUNNING_MOVE_STATES
    )


def compute_shares(
    snapshot: snapshot_lib.Snapshot, route: resources.Route
) -> Shares:
    """Returns the traffic share of each version on a route in basis points.

    A running move gives its new version the share it has reached; the old
    version keeps the rest of both versions' shares.
    """
    service = snapshot.service(route.service)
    if service is None:
        return {}
    shares = {
        share.version: share.bps for share in route.shares or service.shares
    }
    for move in _list_running_moves(snapshot, route):
        combined = shares.get(move.from_version, 0) + shares.get(
            move.to_version, 0
        )
        to_share = min(
            combined, max(move.share_bps, shares.get(move.to_version, 0))
        )
        shares[move.to_version] = to_share
        shares[move.from_version] = combined - to_share
    barred = {
        version.name
        for version in service.versions
        if version.state is resources.VersionState.BARRED
    }
    return {
        name: bps
        for name, bps in shares.items()
        if bps > 0 and name not in barred
    }


def apply_caps(shares: Shares, caps: Shares) -> Shares:
    """Limits shares to their caps and gives the surplus to uncapped versions.

    The surplus is split in proportion to the uncapped shares. If every version
    is capped, the capped shares serve as weights, because every request needs
    a version.
    """
    capped = {
        name: min(bps, caps.get(name, bps)) for name, bps in shares.items()
    }
    surplus = sum(shares.values()) - sum(capped.values())
    uncapped = {name: bps for name, bps in shares.items() if name not in caps}
    uncapped_total = sum(uncapped.values())
    if not surplus or not uncapped_total:
        return capped if any(capped.values()) else shares
    # The last version takes the rounding remainder, so that the sum is kept.
    for index, (name, bps) in enumerate(sorted(uncapped.items())):
        extra = (
            surplus * bps // uncapped_total
            if index < len(uncapped) - 1
            else surplus
        )
        capped[name] += extra
        surplus -= extra
        uncapped_total -= bps
    return capped
