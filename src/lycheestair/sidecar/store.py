"""Interfaces of the metadata store and of the codec of its documents."""

import dataclasses
from typing import Any
from typing import Protocol

from lycheestair import ids
from lycheestair.sidecar import catalog
from lycheestair.sidecar import revisions
from lycheestair.sidecar import rollout


class StoreUnavailableError(Exception):
    """The store failed or refused a call; a write may have taken effect."""


class HistoryDiscardedError(Exception):
    """The store no longer has the history after a watch's revision."""


class DocumentError(Exception):
    """A stored document can't be decoded."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """An object of the store.

    Attributes:
      revision: revisions.Revision of its latest change.
      created_revision: revisions.Revision at which the object was created.
      value: JSON value written by its owner.
      status: JSON value written by lycheestair, None if there is none.
      deleted: Whether the object has been deleted.
    """

    name: str
    revision: revisions.Revision
    created_revision: revisions.Revision
    value: Any
    status: Any
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects or changes of a kind up to a revision."""

    items: list[StoredItem]
    revision: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The result of a conditional write that was refused.

    Attributes:
      current: The stored object, None if it is unknown or absent.
    """

    current: StoredItem | None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectKinds:
    """Names under which the store keeps each kind of object."""

    configuration: str
    rollouts: str
    nodes: str
    departures: str
    suspects: str
    evacuations: str


class MetadataStore(Protocol):
    """Client of the store; each call may raise StoreUnavailableError.

    Attributes:
      calls: Number of calls made, including refused ones.
    """

    calls: int

    async def list(self, kind: str) -> Listing:
        """Reads all objects of a kind."""

    async def get(self, kind: str, name: str) -> StoredItem | None:
        """Reads an object; returns None if it doesn't exist."""

    async def watch(
        self, kind: str, revision: revisions.Revision, wait_s: float
    ) -> Listing:
        """Waits for changes after a revision, up to `wait_s` seconds.

        Raises:
          HistoryDiscardedError: The history after the revision was discarded,
            or the store was restored.
        """

    async def put(
        self,
        kind: str,
        name: str,
        value: Any,
        revision: revisions.Revision | None,
    ) -> StoredItem | Conflict:
        """Creates an object, or replaces it if it still has this revision.

        None means that the object must not exist yet.
        """

    async def put_status(
        self, kind: str, name: str, status: Any, revision: revisions.Revision
    ) -> StoredItem | Conflict:
        """Replaces the status of an object if it still has this revision."""

    async def delete(
        self, kind: str, name: str, revision: revisions.Revision
    ) -> None:
        """Deletes an object if it still has this revision."""


class DocumentCodec(Protocol):
    """Converts stored documents; decoding may raise DocumentError."""

    def decode_catalog(self, item: StoredItem) -> catalog.Catalog:
        """Decodes a configuration."""

    def decode_rollout(self, item: StoredItem) -> rollout.Rollout:
        """Decodes a rollout and its state."""

    def encode_rollout_status(
        self, target: ids.VersionName, state: rollout.RolloutState
    ) -> Any:
        """Encodes the status of a rollout."""
