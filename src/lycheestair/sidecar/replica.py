"""The configuration in force at a node, and its exchange with others."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import frames
from lycheestair.sidecar import journal
from lycheestair.sidecar import links as links_lib
from lycheestair.sidecar import members
from lycheestair.sidecar import regions as regions_lib

# A configuration that another node has is asked for after this time, unless it
# arrives by itself.
FETCH_AFTER_S: Final = 0.15
# Another region is asked after this time by nodes that are no relays.
FAR_FETCH_AFTER_S: Final = 0.8
# Earlier configurations kept, to send changes instead of the whole.
KEPT_CATALOGS: Final = 8


class CatalogReplica:
    """Holds the configuration in force; its generation only rises.

    Attributes:
      catalog: Configuration in force.
    """

    def __init__(
        self,
        table: members.MemberTable,
        links: Mapping[ids.NodeId, links_lib.PeerLink],
        regions: regions_lib.RegionExchange,
        list_feeders: Callable[[], list[members.Member]],
        log: journal.Journal,
    ):
        """Initializes an empty replica.

        Args:
          table: All known nodes.
          links: Links to the other nodes; read at each use.
          regions: Tells which nodes are in the own region, and the relays.
          list_feeders: Returns the nodes that watch the store.
          log: Log of the node.
        """
        self.catalog = catalog_lib.EMPTY
        self._table = table
        self._links = links
        self._regions = regions
        self._list_feeders = list_feeders
        self._log = log
        self._earlier: dict[ids.Generation, catalog_lib.Catalog] = {}
        self._wanted_since = 0.0
        self._fetched_at = 0.0

    def take(self, catalog: catalog_lib.Catalog) -> bool:
        """Brings a configuration into force if it is newer."""
        if catalog.generation <= self.catalog.generation:
            return False
        old = self.catalog
        self._earlier[old.generation] = old
        for generation in sorted(self._earlier)[:-KEPT_CATALOGS]:
            del self._earlier[generation]
        self.catalog = catalog
        self._wanted_since = 0.0
        self._log.write(
            "configuration in force",
            generation=catalog.generation,
            earlier=old.generation,
            routes=len(catalog.routes),
        )
        return True

    def _tell_feeders(self) -> None:
        """Spares the other feeders from sending the same configuration."""
        for member in self._list_feeders():
            link = self._links.get(member.record.node_id)
            if link is not None:
                link.send(
                    [
                        frames.FrameType.CONFIGURATION_KNOWN,
                        self.catalog.generation,
                    ]
                )

    def publish(self) -> None:
        """Sends the configuration in force to all regions."""
        self._publish(self._regions.list_links())
        self.publish_near()

    def publish_near(self) -> None:
        """Sends the configuration in force to the own region."""
        self._publish(
            link
            for link in self._links.values()
            if self._regions.is_near(link.member)
        )

    def _publish(self, targets: Iterable[links_lib.PeerLink]) -> None:
        encoded: dict[ids.Generation, bytes] = {}
        for link in targets:
            base = link.member.generation
            if base >= self.catalog.generation:
                continue
            if base not in encoded:
                encoded[base] = self._encode_catalog(base)
            if link.send_bytes(encoded[base]):
                link.member.generation = self.catalog.generation

    def _encode_catalog(self, base: ids.Generation) -> bytes:
        old = self._earlier.get(base, catalog_lib.EMPTY)
        return frames.encode(
            [
                frames.FrameType.CONFIGURATION,
                self.catalog.generation,
                frames.compress(catalog_lib.encode_change(old, self.catalog)),
            ]
        )

    def send(self, link: links_lib.PeerLink, base: ids.Generation) -> None:
        """Sends what leads from a generation to the one in force."""
        if base < self.catalog.generation:
            link.send_bytes(self._encode_catalog(base))
            link.member.generation = self.catalog.generation

    def take_change(
        self,
        member: members.Member,
        generation: ids.Generation,
        data: bytes,
    ) -> None:
        """Brings a change that another node sent into force.

        Args:
          member: The node that sent it.
          generation: Generation that the change leads to.
          data: The change, compressed.
        """
        member.generation = max(member.generation, generation)
        if generation <= self.catalog.generation:
            return
        document = frames.decompress(data)
        base = catalog_lib.read_base(document)
        old = self.catalog
        if base not in (0, old.generation):
            found = self._earlier.get(base)
            if found is None:
                self.fetch(member)
                return
            old = found
        try:
            if self.take(catalog_lib.apply_change(old, document)):
                self._tell_feeders()
                if not self._regions.is_near(member):
                    self.publish_near()
        except catalog_lib.CatalogError as error:
            self._log.write(
                "configuration refused",
                peer=member.record.node_id,
                generation=generation,
                error=str(error),
            )
            self.fetch(member)

    def fetch(self, member: members.Member) -> None:
        """Asks a node for its configuration."""
        now = clock.read_s()
        link = self._links.get(member.record.node_id)
        if link is None or now - self._fetched_at <= FETCH_AFTER_S:
            return
        if link.send(
            [
                frames.FrameType.CONFIGURATION_WANTED,
                self.catalog.generation,
            ]
        ):
            self._fetched_at = now
        else:
            link.wake()

    def fetch_newer(self, now: float) -> None:
        """Asks for a configuration that another node has for a while."""
        newer = [
            member
            for member in self._table.list_others()
            if member.reachable and member.generation > self.catalog.generation
        ]
        if not newer:
            self._wanted_since = 0.0
            return
        if not self._wanted_since:
            self._wanted_since = now
        newest = max(
            newer, key=lambda m: (self._regions.is_near(m), m.generation)
        )
        # A relay brings it to the region; the others ask there.
        patience_s = (
            FETCH_AFTER_S
            if self._regions.is_near(newest)
            or self._regions.find_rank() is not None
            else FAR_FETCH_AFTER_S
        )
        if now - self._wanted_since > patience_s:
            self.fetch(newest)
