"""Updates the base shares of services and routes when a move ends."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import math

from lycheestair import ids
from lycheestair import resources


def replace_share(
    shares: Iterable[resources.Share],
    move: resources.Move,
    share_bps: int,
) -> tuple[resources.Share, ...]:
    """Returns base shares in which the move's new version has a given share.

    An increase is taken from the old version first, then from all other
    versions in proportion to their shares. A decrease goes to the old version.
    Versions without a share are omitted.
    """
    bps_by_version = {share.version: share.bps for share in shares}
    increase_bps = share_bps - bps_by_version.pop(move.to_version, 0)
    old_bps = bps_by_version.get(move.from_version, 0)
    taken_bps = min(increase_bps, old_bps)
    bps_by_version[move.from_version] = old_bps - taken_bps
    other_versions = sorted(set(bps_by_version) - {move.from_version})
    for index, version in enumerate(other_versions):
        remaining_bps = sum(
            bps_by_version[other] for other in other_versions[index:]
        )
        if increase_bps <= taken_bps or not remaining_bps:
            break
        reduction_bps = math.ceil(
            (increase_bps - taken_bps) * bps_by_version[version] / remaining_bps
        )
        bps_by_version[version] -= reduction_bps
        taken_bps += reduction_bps
    bps_by_version[move.to_version] = share_bps
    return tuple(
        resources.Share(version, bps)
        for version, bps in sorted(bps_by_version.items())
        if bps > 0
    )


def apply_ended_move(
    current: Mapping[str, resources.Resource], move: resources.Move
) -> Iterator[resources.Resource]:
    """Returns the services and routes that an ended move changes.

    A completed move is applied to the base shares of its service or route. The
    new version of a move that was rolled back is barred and loses its base
    shares.
    """
    service = current.get(f"service/{move.service}")
    if not isinstance(service, resources.Service):
        return
    if move.state is resources.MoveState.TAKEN_BACK:
        yield _bar_version(service, move)
        for route in _select_routes(current, move.service):
            if any(share.version == move.to_version for share in route.shares):
                yield dataclasses.replace(
                    route, shares=replace_share(route.shares, move, 0)
                )
    elif move.state is resources.MoveState.DONE and not move.route:
        yield dataclasses.replace(
            service,
            shares=replace_share(service.shares, move, move.target_bps),
        )
    elif move.state is resources.MoveState.DONE:
        move_route = current.get(f"route/{move.route}")
        if isinstance(move_route, resources.Route):
            yield dataclasses.replace(
                move_route,
                shares=replace_share(
                    move_route.shares or service.shares, move, move.target_bps
                ),
            )


def _bar_version(
    service: resources.Service, move: resources.Move
) -> resources.Service:
    return dataclasses.replace(
        service,
        versions=tuple(
            (
                dataclasses.replace(
                    version, state=resources.VersionState.BARRED
                )
                if version.name == move.to_version
                else version
            )
            for version in service.versions
        ),
        shares=replace_share(service.shares, move, 0),
    )


def _select_routes(
    current: Mapping[str, resources.Resource], service: ids.ServiceName
) -> list[resources.Route]:
    return [
        resource
        for resource in current.values()
        if isinstance(resource, resources.Route) and resource.service == service
    ]
