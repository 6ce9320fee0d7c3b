"""The metadata store as a sidecar node uses it."""

import dataclasses
from typing import Any
from typing import Protocol

from lycheestair import ids
from lycheestair.sidecar import catalog
from lycheestair.sidecar import rollout


class StoreUnavailableError(Exception):
    """The store did not answer, or refused; a write may have taken effect."""


class HistoryLostError(Exception):
    """The store no longer has the history that a watch continues."""


class DocumentError(Exception):
    """A stored document can't be decoded."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """An object of the store.

    Attributes:
      revision: Rises with each change of any object.
      created: Revision at which the object was created.
      value: What its owner wrote, as JSON values.
      status: What the system wrote about it, None if nothing.
      deleted: Whether the object is gone.
    """

    name: str
    revision: int
    created: int
    value: Any
    status: Any
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects of a kind and the revision up to which they are complete."""

    items: list[StoredItem]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional write was refused.

    Attributes:
      current: The stored object, None when unknown or absent.
    """

    current: StoredItem | None


@dataclasses.dataclass(frozen=True, slots=True)
class Kinds:
    """Names of the kinds of objects."""

    configuration: str
    rollouts: str
    nodes: str


class MetadataStore(Protocol):
    """Calls to the store; each raises StoreUnavailableError on failure.

    Attributes:
      calls: Calls made, including refused ones.
    """

    calls: int

    async def list(self, kind: str) -> Listing:
        """Reads all objects of a kind."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> Listing:
        """Waits for changes after a revision.

        Raises:
          HistoryLostError: The history after the revision is gone.
        """

    async def put(
        self, kind: str, name: str, value: Any, revision: int
    ) -> StoredItem | Conflict:
        """Creates (revision 0) or replaces the object with this revision."""

    async def put_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> StoredItem | Conflict:
        """Replaces the status of the object with this revision."""

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Removes the object if it still has this revision."""


class DocumentCodec(Protocol):
    """Decodes documents; each call may raise DocumentError."""

    def decode_catalog(self, item: StoredItem) -> catalog.Catalog:
        """Decodes a configuration."""

    def decode_rollout(self, item: StoredItem) -> rollout.Rollout:
        """Decodes an order and its status."""

    def encode_rollout_status(
        self, target: ids.VersionName, state: rollout.RolloutState
    ) -> Any:
        """Encodes the status of an order."""
