"""Compiles a release note and the current snapshot into the next snapshot."""

from collections.abc import Iterator
import dataclasses
import datetime
import itertools
import math

from lycheestair import ids
from lycheestair import note as note_lib
from lycheestair import resources
from lycheestair import snapshot as snapshot_lib


def compile_note(
    note: note_lib.Note, old: snapshot_lib.Snapshot, now: float
) -> snapshot_lib.Snapshot:
    """Returns the next generation with the note applied.

    Args:
      note: Note to apply.
      old: Snapshot to apply the note to.
      now: Unix time in seconds; deadlines must be later.

    Raises:
      NoteError: The note is inconsistent, or conflicts with the snapshot; all
        errors are listed.
    """
    errors = list(
        itertools.chain(
            _check_duplicates(note),
            _check_withdrawal_conflicts(note, old),
            _check_withdrawals(note, old),
            _check_moves(note, old, now),
        )
    )
    upserts: tuple[resources.Resource, ...] = (
        *_compile_services(note, old),
        *(_compile_route(entry) for entry in note.route),
        *_compile_moves(note, old, now),
    )
    new = snapshot_lib.replace_resources(
        old, upserts, tuple(_list_removals(note)), ids.NoteId(note.id)
    )
    errors.extend(snapshot_lib.find_inconsistencies(new))
    errors.extend(_check_duplicate_matches(new))
    if errors:
        raise note_lib.NoteError([f"{note.id}: {error}" for error in errors])
    return new


def _check_duplicates(note: note_lib.Note) -> Iterator[str]:
    names_by_kind = (
        ("service", [entry.name for entry in note.service]),
        ("route", [entry.name for entry in note.route]),
        ("move", [entry.id for entry in note.move]),
        ("withdraw service", list(note.withdraw.services)),
        ("withdraw version", list(note.withdraw.versions)),
        ("withdraw route", list(note.withdraw.routes)),
        ("withdraw move", list(note.withdraw.moves)),
    )
    for kind, names in names_by_kind:
        for name in sorted({name for name in names if names.count(name) > 1}):
            yield f"{kind}.{name}: listed twice"
    for entry in note.route:
        headers = [name.lower() for name in entry.headers]
        if len(set(headers)) < len(headers):
            yield f"route.{entry.name}.headers: header name is listed twice"
    for first, second in itertools.combinations(note.move, 2):
        if first.service == second.service and _move_same_traffic(
            first.route, second.route
        ):
            yield (
                f"move.{second.id}: move '{first.id}' of the same note moves"
                " the same traffic"
            )


def _check_withdrawal_conflicts(
    note: note_lib.Note, old: snapshot_lib.Snapshot
) -> Iterator[str]:
    changed = {
        *(f"service/{entry.name}" for entry in note.service),
        *(f"service/{entry.service}" for entry in note.move),
        *(
            f"service/{version_path.partition('/')[0]}"
            for version_path in note.withdraw.versions
        ),
        *(f"route/{entry.name}" for entry in note.route),
    }
    for key in sorted(changed & set(_list_removals(note))):
        yield f"withdraw: {key} is withdrawn and changed by the same note"
    for name in note.withdraw.moves:
        move = old.move(ids.MoveId(name))
        if move and move.state not in resources.RUNNING_MOVE_STATES:
            yield (
                f"withdraw: move '{name}' has already ended"
                f" ({move.state.value})"
            )


def _check_duplicate_matches(new: snapshot_lib.Snapshot) -> Iterator[str]:
    names_by_criteria: dict[object, ids.RouteName] = {}
    for route in new.select(resources.Route):
        criteria = (
            route.host.lower(),
            route.path_prefix,
            frozenset(route.methods),
            route.headers,
        )
        first = names_by_criteria.setdefault(criteria, route.name)
        if first != route.name:
            yield (f"{route.key}: matches the same requests as route '{first}'")


def _check_withdrawals(
    note: note_lib.Note, old: snapshot_lib.Snapshot
) -> Iterator[str]:
    keys = itertools.chain(
        (f"service/{name}" for name in note.withdraw.services),
        (f"route/{name}" for name in note.withdraw.routes),
        (f"move/{name}" for name in note.withdraw.moves),
    )
    for key in keys:
        if key not in old.resources:
            yield f"withdraw: {key} does not exist"
    for version_path in note.withdraw.versions:
        service_name, _, version = version_path.partition("/")
        service = old.service(ids.ServiceName(service_name))
        if service is None or version not in {
            item.name for item in service.versions
        }:
            yield f"withdraw: version {version_path!r} does not exist"
        else:
            yield from _check_version_not_in_use(note, old, service, version)


def _check_version_not_in_use(
    note: note_lib.Note,
    old: snapshot_lib.Snapshot,
    service: resources.Service,
    version: str,
) -> Iterator[str]:
    new_shares = {entry.name: entry.shares for entry in note.service}
    shares = new_shares.get(service.name) or {
        share.version: share.bps for share in service.shares
    }
    if shares.get(ids.VersionName(version), 0) > 0:
        yield (
            f"withdraw: version '{service.name}/{version}' still has a share"
            " of traffic"
        )
    for move in old.select(resources.Move):
        if (
            move.service == service.name
            and version in (move.from_version, move.to_version)
            and move.state in resources.RUNNING_MOVE_STATES
            and move.id not in note.withdraw.moves
        ):
            yield (
                f"withdraw: version '{service.name}/{version}' is in use by"
                f" move '{move.id}'"
            )


def _move_same_traffic(first: str | None, second: str | None) -> bool:
    """Whether moves of one service, limited to these routes, overlap.

    A move without a route moves all traffic of its service.
    """
    return not first or not second or first == second


def _check_moves(
    note: note_lib.Note, old: snapshot_lib.Snapshot, now: float
) -> Iterator[str]:
    for entry in note.move:
        if entry.deadline.tzinfo is None:
            yield f"move.{entry.id}.deadline: needs a UTC offset"
        elif entry.deadline.timestamp() <= now:
            yield (
                f"move.{entry.id}.deadline: {entry.deadline.isoformat()} is in"
                " the past"
            )
        if entry.from_version == entry.to_version:
            yield f"move.{entry.id}: from_version and to_version are the same"
        if old.move(ids.MoveId(entry.id)) is not None:
            yield f"move.{entry.id}: id was used before"
        for other in old.select(resources.Move):
            if (
                other.service == entry.service
                and other.state in resources.RUNNING_MOVE_STATES
                and other.id not in note.withdraw.moves
                and _move_same_traffic(other.route, entry.route)
            ):
                yield (
                    f"move.{entry.id}: move '{other.id}' of the same service"
                    " is still running; withdraw it first"
                )


def _compile_services(
    note: note_lib.Note, old: snapshot_lib.Snapshot
) -> Iterator[resources.Service]:
    entries = {entry.name: entry for entry in note.service}
    withdrawn_by_service = {
        service: {
            version_path.partition("/")[2] for version_path in version_paths
        }
        for service, version_paths in itertools.groupby(
            sorted(note.withdraw.versions),
            key=lambda text: text.partition("/")[0],
        )
    }
    moved_services = {entry.service for entry in note.move}
    for name in sorted(
        entries.keys() | withdrawn_by_service.keys() | moved_services
    ):
        service = old.service(ids.ServiceName(name))
        if name not in entries and service is None:
            continue
        yield _merge_service(
            service or resources.Service(ids.ServiceName(name), (), ()),
            entries.get(name) or note_lib.ServiceEntry(name=name),
            withdrawn_by_service.get(name, set()),
            {move.to_version for move in note.move if move.service == name},
        )


def _merge_service(
    old: resources.Service,
    entry: note_lib.ServiceEntry,
    withdrawn: set[str],
    move_target_versions: set[str],
) -> resources.Service:
    # A note that lists a barred version, or moves traffic to it, reactivates
    # the version.
    reactivated = set(entry.versions) | move_target_versions
    kept = tuple(
        (
            dataclasses.replace(version, state=resources.VersionState.ACTIVE)
            if version.name in reactivated
            else version
        )
        for version in old.versions
        if version.name not in withdrawn
    )
    kept_names = {version.name for version in kept}
    added = tuple(
        resources.Version(ids.VersionName(name))
        for name in entry.versions
        if name not in kept_names
    )
    shares = (
        tuple(
            resources.Share(
                ids.VersionName(name),
                math.floor(percent * resources.FULL_SHARE_BPS / 100 + 0.5),
            )
            for name, percent in sorted(entry.shares.items())
        )
        if entry.shares
        else tuple(
            share
            for share in old.shares
            if share.version not in withdrawn or share.bps > 0
        )
    )
    if not shares and len(kept + added) == 1:
        only = (kept + added)[0]
        shares = (resources.Share(only.name, resources.FULL_SHARE_BPS),)
    return resources.Service(old.name, kept + added, shares)


def _compile_route(entry: note_lib.RouteEntry) -> resources.Route:
    return resources.Route(
        name=ids.RouteName(entry.name),
        service=ids.ServiceName(entry.service),
        path_prefix=entry.path_prefix,
        host=entry.host,
        methods=entry.methods,
        headers=tuple(
            resources.HeaderMatch(name.lower(), value)
            for name, value in sorted(entry.headers.items())
        ),
        idempotent=entry.idempotent,
        can_wait=entry.can_wait,
        timeout_ms=entry.timeout_ms,
        retry_limit=entry.retry_limit,
    )


def _compile_moves(
    note: note_lib.Note, old: snapshot_lib.Snapshot, now: float
) -> Iterator[resources.Move]:
    for entry in note.move:
        target_bps = math.floor(entry.share * 100 + 0.5)
        share_bps = min(_find_initial_share_bps(note, entry, old), target_bps)
        yield resources.Move(
            id=ids.MoveId(entry.id),
            note_id=ids.NoteId(note.id),
            service=ids.ServiceName(entry.service),
            from_version=ids.VersionName(entry.from_version),
            to_version=ids.VersionName(entry.to_version),
            target_bps=target_bps,
            deadline=_get_deadline(entry),
            created_at=now,
            route=ids.RouteName(entry.route or ""),
            changed_at=now,
            state=(
                resources.MoveState.MOVING
                if share_bps
                else resources.MoveState.PENDING
            ),
            share_bps=share_bps,
        )
    for name in note.withdraw.moves:
        move = old.move(ids.MoveId(name))
        if move is not None and move.state in resources.RUNNING_MOVE_STATES:
            yield dataclasses.replace(
                move,
                state=resources.MoveState.CANCELLED,
                share_bps=0,
                changed_at=now,
                waits_for="",
                reason=f"withdrawn by note {note.id}",
            )


def _find_initial_share_bps(
    note: note_lib.Note,
    entry: note_lib.MoveEntry,
    old: snapshot_lib.Snapshot,
) -> int:
    """Returns the share that the new version already has, in basis points.

    A move that replaces a withdrawn one of the same versions keeps the share
    reached so far, and any other move does not go below the new version's
    share in the route or service. Otherwise traffic would shift back and
    forth.
    """
    versions = (entry.from_version, entry.to_version)
    for move in old.select(resources.Move):
        if (
            move.id in note.withdraw.moves
            and move.state in resources.RUNNING_MOVE_STATES
            and (move.service, move.route) == (entry.service, entry.route or "")
            and (move.from_version, move.to_version) == versions
        ):
            return move.share_bps
    service = next(
        (
            service
            for service in _compile_services(note, old)
            if service.name == entry.service
        ),
        None,
    )
    route = old.resources.get(f"route/{entry.route}")
    shares = service.shares if service is not None else ()
    if isinstance(route, resources.Route) and route.shares:
        shares = route.shares
    return sum(s.bps for s in shares if s.version == entry.to_version)


def _get_deadline(entry: note_lib.MoveEntry) -> float:
    # A deadline without a UTC offset is rejected, but compilation goes on in
    # order to list all errors. It is read as UTC because local times of year 1
    # can't be converted to Unix time.
    deadline = entry.deadline
    if deadline.tzinfo is None:
        deadline = deadline.replace(tzinfo=datetime.UTC)
    return deadline.timestamp()


def _list_removals(note: note_lib.Note) -> Iterator[str]:
    yield from (f"service/{name}" for name in note.withdraw.services)
    yield from (f"route/{name}" for name in note.withdraw.routes)
