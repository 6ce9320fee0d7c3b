"""Evacuated failure domains, ordered by the revision of the store."""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import revisions
from lycheestair.sidecar import store as store_lib

# More than the failure domains of any fleet; bounds what a peer can make a node
# keep and send.
MAX_DOMAINS: Final = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuatedSet:
    """All evacuated failure domains as of a revision of the store."""

    revision: revisions.Revision = revisions.NO_REVISION
    domains: frozenset[ids.FailureDomain] = frozenset()

    def encode(self) -> list[Any]:
        """Returns the set as a list of plain values."""
        return [list(self.revision), sorted(self.domains)]


def decode(fields: Any) -> EvacuatedSet:
    """Decodes the set of another node.

    Raises:
      TypeError, ValueError: The fields are malformed.
    """
    revision, domains = fields
    if not isinstance(domains, list) or len(domains) > MAX_DOMAINS:
        raise ValueError("evacuated domains are malformed")
    if not all(isinstance(domain, str) for domain in domains):
        raise ValueError("name of an evacuated domain is not a text")
    return EvacuatedSet(revisions.decode(revision), frozenset(domains))


class Update(enum.Enum):
    """What a set from elsewhere means for the known one."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    OUTDATED = "outdated"


class Evacuations:
    """The evacuated failure domains that a node knows.

    Attributes:
      known: The latest known set.
      any_seen: Whether any domain was evacuated since this node started. Until
        then nothing is sent to other nodes.
    """

    def __init__(self) -> None:
        self.known = EvacuatedSet()
        self.any_seen = False

    def contains(self, domain: ids.FailureDomain) -> bool:
        """Returns whether a failure domain is evacuated."""
        return domain in self.known.domains

    def update(self, latest: EvacuatedSet) -> Update:
        """Applies a set unless a later one is known.

        The revision alone may rise without news: that of the store counts the
        changes of all its objects.
        """
        is_same = latest.domains == self.known.domains
        if latest.revision < self.known.revision:
            return Update.UNCHANGED if is_same else Update.OUTDATED
        if latest.revision == self.known.revision:
            return Update.UNCHANGED
        self.known = latest
        self.any_seen |= bool(latest.domains)
        return Update.UNCHANGED if is_same else Update.CHANGED


class StoredEvacuations:
    """Evacuations that a feeder has read from the store.

    The name of an object is that of the failure domain; its content is not
    examined.
    """

    def __init__(self) -> None:
        self._domains: set[ids.FailureDomain] = set()

    def replace(
        self,
        items: Iterable[store_lib.StoredItem],
        revision: revisions.Revision,
    ) -> EvacuatedSet:
        """Applies all objects at a revision; returns the resulting set."""
        self._domains.clear()
        return self.apply(items, revision)

    def apply(
        self,
        items: Iterable[store_lib.StoredItem],
        revision: revisions.Revision,
    ) -> EvacuatedSet:
        """Applies changes up to a revision; returns the resulting set."""
        for item in items:
            domain = ids.FailureDomain(item.name)
            if item.deleted:
                self._domains.discard(domain)
            elif len(self._domains) < MAX_DOMAINS:
                self._domains.add(domain)
        return EvacuatedSet(revision, frozenset(self._domains))
