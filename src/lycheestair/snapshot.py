"""Configuration snapshots, the deltas between them, and their validation."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import functools
import itertools
import types
from typing import Any
from typing import cast
from typing import Final
from typing import TypeVar

import orjson
import pydantic
import xxhash

from lycheestair import ids
from lycheestair import resources as resources_lib

T = TypeVar("T", bound=resources_lib.Resource)


class DeltaMismatchError(Exception):
    """The delta starts at another generation or results in another digest."""


class InvalidSnapshotError(Exception):
    """The snapshot or delta cannot be decoded, or the snapshot is inconsistent.

    An inconsistent snapshot has dangling references or invalid sums of shares.
    """


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A complete accepted configuration, immutable after construction.

    Attributes:
      note_id: Note that is active in this generation.
      resources: Resources by key.
    """

    generation: ids.Generation
    note_id: ids.NoteId
    resources: Mapping[str, resources_lib.Resource]

    def select(self, kind: type[T]) -> Iterator[T]:
        """Returns the resources of a type, ordered by key."""
        return (
            resource
            for _, resource in sorted(self.resources.items())
            if isinstance(resource, kind)
        )

    def service(self, name: ids.ServiceName) -> resources_lib.Service | None:
        """Returns the service with this name, or None."""
        found = self.resources.get(f"service/{name}")
        return found if isinstance(found, resources_lib.Service) else None

    def move(self, move_id: ids.MoveId) -> resources_lib.Move | None:
        """Returns the move with this id, or None."""
        found = self.resources.get(f"move/{move_id}")
        return found if isinstance(found, resources_lib.Move) else None

    @functools.cached_property
    def inconsistencies(self) -> tuple[str, ...]:
        """One message per missing resource and per invalid sum of shares."""
        return tuple(_check_resources(self))

    @functools.cached_property
    def digest(self) -> str:
        """Hex digest of the generation, the note id and all resources."""
        digest = xxhash.xxh3_128(
            f"{self.generation}\n{self.note_id}\n".encode()
        )
        for key, resource in sorted(self.resources.items()):
            digest.update(key.encode())
            digest.update(encode_resource(resource))
        return str(digest.hexdigest())


EMPTY: Final = Snapshot(
    ids.Generation(0), ids.NoteId(""), types.MappingProxyType({})
)


@dataclasses.dataclass(frozen=True)
class Delta:
    """Change from one generation to a later one.

    Attributes:
      upserts: Resources that were added or changed.
      removals: Keys of the resources that were removed.
      digest: Digest of the resulting snapshot.
    """

    from_generation: ids.Generation
    to_generation: ids.Generation
    note_id: ids.NoteId
    upserts: tuple[resources_lib.Resource, ...]
    removals: tuple[str, ...]
    digest: str


def encode_resource(resource: resources_lib.Resource) -> bytes:
    """Encodes a resource as canonical JSON.

    The encoding is cached in the resource, which is immutable: each digest
    covers all resources, and a snapshot shares most of them with the previous
    one.
    """
    # orjson omits attributes with a leading underscore.
    encoded = resource.__dict__.get("_encoded")
    if encoded is None:
        encoded = orjson.dumps(resource, option=orjson.OPT_SORT_KEYS)
        resource.__dict__["_encoded"] = encoded
    return cast(bytes, encoded)


def encode_delta(delta: Delta) -> bytes:
    """Encodes a delta as JSON."""
    return orjson.dumps(delta)


_DELTA_ADAPTER: Final = pydantic.TypeAdapter(Delta)


def decode_delta(data: bytes | str | dict[str, Any]) -> Delta:
    """Decodes a delta.

    Raises:
      InvalidSnapshotError: The data is not a valid delta.
    """
    try:
        if isinstance(data, dict):
            return _DELTA_ADAPTER.validate_python(data)
        return _DELTA_ADAPTER.validate_json(data)
    except pydantic.ValidationError as error:
        raise InvalidSnapshotError(f"invalid delta: {error}") from error


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot as a delta from the empty configuration."""
    return encode_delta(compute_delta(EMPTY, snapshot))


def decode_snapshot(data: bytes) -> Snapshot:
    """Decodes a snapshot and verifies its digest.

    Raises:
      InvalidSnapshotError: The data is not a valid snapshot.
    """
    try:
        return apply_delta(EMPTY, decode_delta(data))
    except DeltaMismatchError as error:
        raise InvalidSnapshotError(str(error)) from error


def compute_delta(old: Snapshot, new: Snapshot) -> Delta:
    """Returns the change from one snapshot to a later one."""
    return Delta(
        from_generation=old.generation,
        to_generation=new.generation,
        note_id=new.note_id,
        upserts=tuple(
            resource
            for key, resource in sorted(new.resources.items())
            if (previous := old.resources.get(key)) is not resource
            and previous != resource
        ),
        removals=tuple(sorted(old.resources.keys() - new.resources.keys())),
        digest=new.digest,
    )


def apply_delta(old: Snapshot, delta: Delta) -> Snapshot:
    """Returns the snapshot that results from applying the delta.

    Raises:
      DeltaMismatchError: The delta starts at another generation, or the digest
        of the result differs from the one in the delta.
    """
    if delta.from_generation != old.generation:
        raise DeltaMismatchError(
            f"delta starts at generation {delta.from_generation}, but the"
            f" snapshot is at generation {old.generation}"
        )
    removed = frozenset(delta.removals)
    merged = {
        key: resource
        for key, resource in itertools.chain(
            old.resources.items(),
            ((resource.key, resource) for resource in delta.upserts),
        )
        if key not in removed
    }
    new = Snapshot(
        delta.to_generation, delta.note_id, types.MappingProxyType(merged)
    )
    if new.digest != delta.digest:
        raise DeltaMismatchError(
            "digest mismatch after applying delta to generation"
            f" {delta.to_generation}"
        )
    return new


def replace_resources(
    old: Snapshot,
    upserts: tuple[resources_lib.Resource, ...],
    removals: tuple[str, ...] = (),
    note_id: ids.NoteId | None = None,
) -> Snapshot:
    """Returns the next generation with some resources changed.

    Args:
      old: Snapshot to change.
      upserts: Resources to add or replace.
      removals: Keys of the resources to remove.
      note_id: Note that is active from this generation on, None to keep that
        of the old snapshot.
    """
    removed = frozenset(removals)
    merged = {k: v for k, v in old.resources.items() if k not in removed}
    merged.update((resource.key, resource) for resource in upserts)
    return Snapshot(
        ids.Generation(old.generation + 1),
        old.note_id if note_id is None else note_id,
        types.MappingProxyType(merged),
    )


def find_dangling_references(snapshot: Snapshot) -> list[str]:
    """Returns one message per missing resource and per invalid share sum."""
    return list(snapshot.inconsistencies)


def _check_resources(snapshot: Snapshot) -> Iterator[str]:
    for _, resource in sorted(snapshot.resources.items()):
        if isinstance(resource, resources_lib.Service):
            yield from _check_service_shares(resource)
        elif isinstance(resource, resources_lib.Route):
            yield from _check_route_references(snapshot, resource)
        elif (
            isinstance(resource, resources_lib.Move)
            and resource.state in resources_lib.RUNNING_MOVE_STATES
        ):
            yield from _check_move_references(snapshot, resource)


def _check_service_shares(service: resources_lib.Service) -> Iterator[str]:
    names = {version.name for version in service.versions}
    for share in service.shares:
        if share.version not in names:
            yield f"{service.key}: share for missing version {share.version!r}"
    if (
        sum(share.bps for share in service.shares)
        != resources_lib.FULL_SHARE_BPS
    ):
        yield f"{service.key}: shares do not add up to 10000 basis points"


def _check_route_references(
    snapshot: Snapshot, route: resources_lib.Route
) -> Iterator[str]:
    service = snapshot.service(route.service)
    if service is None:
        yield f"{route.key}: missing service {route.service!r}"
        return
    if not route.shares:
        return
    names = {version.name for version in service.versions}
    for share in route.shares:
        if share.version not in names:
            yield f"{route.key}: share for missing version {share.version!r}"
    if sum(share.bps for share in route.shares) != resources_lib.FULL_SHARE_BPS:
        yield f"{route.key}: shares do not add up to 10000 basis points"


def _check_move_references(
    snapshot: Snapshot, move: resources_lib.Move
) -> Iterator[str]:
    service = snapshot.service(move.service)
    if service is None:
        yield f"{move.key}: missing service {move.service!r}"
        return
    names = {version.name for version in service.versions}
    for version in (move.from_version, move.to_version):
        if version not in names:
            yield f"{move.key}: missing version {version!r}"
    if move.route and f"route/{move.route}" not in snapshot.resources:
        yield f"{move.key}: missing route {move.route!r}"
