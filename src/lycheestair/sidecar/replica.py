"""Holds the configuration in force and exchanges it with other nodes."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import cells as cells_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import digests as digests_lib
from lycheestair.sidecar import event_log
from lycheestair.sidecar import frames
from lycheestair.sidecar import links as links_lib
from lycheestair.sidecar import members

# A newer configuration at another node is requested after this delay, unless it
# arrives earlier. Also the minimum interval between requests.
FETCH_DELAY_S: Final = 0.15
# Nodes that are not relays wait this long before they request a configuration
# from another cell, because a relay usually forwards it.
CROSS_CELL_FETCH_DELAY_S: Final = 0.8
# Number of previous configurations kept. A node that has one of them needs only
# the change from it instead of the whole configuration.
MAX_PREVIOUS_CATALOGS: Final = 8


class CatalogReplica:
    """Holds the configuration in force; its generation never decreases.

    Attributes:
      catalog: The configuration in force.
    """

    def __init__(
        self,
        table: members.MemberTable,
        links: Mapping[ids.NodeId, links_lib.PeerLink],
        cells: cells_lib.CellMap,
        digests: digests_lib.DigestExchange,
        list_feeders: Callable[[], list[members.Member]],
        log: event_log.EventLog,
    ):
        """Initializes an empty replica.

        Args:
          table: All known nodes.
          links: Links to the other nodes; the owner adds and removes entries.
          cells: Cells of the nodes.
          digests: Determines which nodes are relays.
          list_feeders: Returns the nodes that watch the store.
          log: Log of this node.
        """
        self.catalog = catalog_lib.EMPTY
        self._table = table
        self._links = links
        self._cells = cells
        self._digests = digests
        self._list_feeders = list_feeders
        self._log = log
        self._previous_catalogs: dict[ids.Generation, catalog_lib.Catalog] = {}
        self._newer_known_since = 0.0
        self._fetch_sent_at = 0.0
        # Nodes asked for a newer configuration that haven't sent it.
        self._asked: set[ids.NodeId] = set()

    @property
    def is_outdated(self) -> bool:
        """Whether another node is known to have a newer configuration."""
        return bool(self._newer_known_since)

    def activate(self, catalog: catalog_lib.Catalog) -> bool:
        """Brings a configuration into force if it is newer.

        Returns:
          Whether it was newer.
        """
        if catalog.generation <= self.catalog.generation:
            return False
        old = self.catalog
        self._previous_catalogs[old.generation] = old
        for generation in sorted(self._previous_catalogs)[
            :-MAX_PREVIOUS_CATALOGS
        ]:
            del self._previous_catalogs[generation]
        self.catalog = catalog
        self._newer_known_since = 0.0
        self._asked.clear()
        self._log.write(
            "configuration in force",
            generation=catalog.generation,
            earlier=old.generation,
            routes=len(catalog.routes),
        )
        return True

    def _acknowledge_to_feeders(self) -> None:
        """Tells the feeders that this node has the configuration already.

        A feeder doesn't send it to nodes that have acknowledged it.
        """
        for member in self._list_feeders():
            link = self._links.get(member.record.node_id)
            if link is not None:
                link.send(
                    [
                        frames.FrameType.CONFIGURATION_ACKNOWLEDGED,
                        self.catalog.generation,
                    ]
                )

    def publish(self) -> None:
        """Sends the configuration in force to this cell and all others.

        In each other cell, a relay receives it and forwards it.
        """
        self._send_to_links(self._digests.list_links_to_other_cells())
        self.publish_in_cell()

    def publish_in_cell(self) -> None:
        """Sends the configuration in force to this node's cell."""
        self._send_to_links(self._digests.list_links_in_own_cell())

    def _send_to_links(self, targets: Iterable[links_lib.PeerLink]) -> None:
        encoded: dict[ids.Generation, bytes] = {}
        for link in targets:
            base = link.member.generation
            if base >= self.catalog.generation:
                continue
            if base not in encoded:
                encoded[base] = self._encode_change(base)
            if link.send_bytes(encoded[base]):
                link.member.generation = self.catalog.generation

    def _encode_change(self, base: ids.Generation) -> bytes:
        old = self._previous_catalogs.get(base, catalog_lib.EMPTY)
        return frames.encode(
            [
                frames.FrameType.CONFIGURATION,
                self.catalog.generation,
                frames.compress(catalog_lib.encode_change(old, self.catalog)),
                frames.compress(catalog_lib.encode_health_paths(self.catalog)),
            ]
        )

    def send_change(
        self, link: links_lib.PeerLink, base: ids.Generation
    ) -> None:
        """Sends the change from a base generation to the one in force.

        Sends the whole configuration if the base is not kept.
        """
        if base < self.catalog.generation:
            link.send_bytes(self._encode_change(base))
            link.member.generation = self.catalog.generation

    def apply_change(
        self,
        member: members.Member,
        generation: ids.Generation,
        data: bytes,
        health_paths: bytes | None = None,
    ) -> None:
        """Applies a change received from another node.

        If the change can't be applied, the sender is asked for another one.

        Args:
          member: The sender.
          generation: Generation that results from the change.
          data: The compressed change.
          health_paths: The compressed paths of health checks, None if the sender
            has sent none.
        """
        member.generation = max(member.generation, generation)
        if generation <= self.catalog.generation:
            return
        change = frames.decompress(data)
        base = catalog_lib.read_base_generation(change)
        old = self.catalog
        if base not in (0, old.generation):
            previous = self._previous_catalogs.get(base)
            if previous is None:
                self.fetch(member)
                return
            old = previous
        try:
            catalog = catalog_lib.apply_change(
                old,
                change,
                () if health_paths is None else frames.decompress(health_paths),
            )
            if self.activate(catalog):
                self._acknowledge_to_feeders()
                if not self._cells.is_in_own_cell(member):
                    self.publish_in_cell()
        except catalog_lib.CatalogError as error:
            self._log.write(
                "configuration refused",
                peer=member.record.node_id,
                generation=generation,
                error=str(error),
            )
            self.fetch(member)

    def fetch(self, member: members.Member) -> None:
        """Requests the configuration from another node."""
        now = clock.read_s()
        link = self._links.get(member.record.node_id)
        if link is None or now - self._fetch_sent_at <= FETCH_DELAY_S:
            return
        if link.send(
            [
                frames.FrameType.CONFIGURATION_REQUEST,
                self.catalog.generation,
            ]
        ):
            self._fetch_sent_at = now
            self._asked.add(member.record.node_id)
        else:
            link.request_connection()

    def fetch_newer(self, now: float) -> None:
        """Requests a newer configuration that has not arrived in time."""
        newer_members = [
            member
            for member in self._table
            if member.generation > self.catalog.generation
            and member.reachable
            and member is not self._table.own
        ]
        if not newer_members:
            self._newer_known_since = 0.0
            self._asked.clear()
            return
        if not self._newer_known_since:
            self._newer_known_since = now
        # A silent node must not be asked again and again.
        unasked = [
            member
            for member in newer_members
            if member.record.node_id not in self._asked
        ]
        if not unasked:
            self._asked.clear()
        best_source = max(
            unasked or newer_members,
            key=lambda m: (
                not m.ping_overdue,
                self._cells.is_in_own_cell(m),
                m.generation,
            ),
        )
        # A relay usually requests a configuration from another cell and forwards
        # it, so that other nodes needn't.
        delay_s = (
            FETCH_DELAY_S
            if self._cells.is_in_own_cell(best_source)
            or self._digests.find_relay_rank() is not None
            else CROSS_CELL_FETCH_DELAY_S
        )
        if now - self._newer_known_since > delay_s:
            self.fetch(best_source)
