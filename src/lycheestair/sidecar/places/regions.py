"""Regions in which a request may be served."""

from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import calls
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar.accounts import records

# Detail of the refusal of a request that may be served nowhere.
NO_COMMON_REGION: Final = (
    "no region is allowed by both the route and the client account"
)
# Stands for a region that can't be read. No node is there, so that it allows
# nothing: a malformed restriction must not lift itself.
UNKNOWN_REGION: Final = ids.Region("")


def decode(value: Any) -> tuple[ids.Region, ...]:
    """Decodes a list of allowed regions; an empty one allows all regions.

    A malformed entry stands for a region without nodes, so that it affects only
    the route or the client account that has it.
    """
    if value is None:
        return ()
    entries = value if isinstance(value, list) else [value]
    return tuple(
        ids.Region(entry) if isinstance(entry, str) else UNKNOWN_REGION
        for entry in entries
    )


def intersect(
    route: catalog_lib.Route, account: records.Account | None
) -> calls.Regions:
    """Returns the regions that a route and a client account both allow.

    Returns:
      None if all regions are allowed; an empty set if none is.
    """
    limits = [route.allowed_regions]
    if account is not None:
        limits.append(account.allowed_regions)
    allowed = [frozenset(regions) for regions in limits if regions]
    return frozenset.intersection(*allowed) if allowed else None


def find(
    catalog: catalog_lib.Catalog,
    call: calls.Call,
    route: catalog_lib.Route | None = None,
) -> calls.Regions:
    """Returns the regions in which a configuration lets a call be served.

    Args:
      catalog: The configuration in force.
      call: A call, which names its route and client account.
      route: Route that applies if the configuration has none of this name.
        Without one, all regions are allowed.
    """
    route = catalog.routes.get(call.route, route)
    if route is None:
        return None
    return intersect(route, catalog.accounts.get(call.account))


def allows(regions: calls.Regions, region: ids.Region) -> bool:
    """Returns whether a request may be served in a region."""
    return regions is None or region in regions


def describe(regions: calls.Regions) -> str:
    """Returns a text for error responses; empty if all regions are allowed."""
    if regions is None:
        return ""
    return f"regions allowed: {', '.join(sorted(regions))}"
