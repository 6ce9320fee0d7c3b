"""Exchanges the statuses of cells through relays.

Traffic between regions and failure domains is billed by volume. Therefore only a
few nodes of each cell, its relays, send a digest of the cell's nodes. They send
it to a relay of each other cell, which forwards it to the nodes of its own cell.
Feeders also connect to the relays of other cells; all other nodes connect to
other cells only for calls.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import cells as cells_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import event_log
from lycheestair.sidecar import frames
from lycheestair.sidecar import links as links_lib
from lycheestair.sidecar import members

# Two relays, so that digests still arrive when one relay fails.
RELAYS_PER_CELL: Final = 2
# Interval of each relay's digests to other regions. The load there matters only
# once the backend servers of this region are full.
REGION_DIGEST_INTERVAL_S: Final = 2.5
# Interval of each relay's digests to other cells of its region. During a rollout
# it applies to all cells, because outcomes from everywhere are needed within
# seconds to detect a bad version.
DIGEST_INTERVAL_S: Final = 1.0
# Nodes of a cell count as unreachable when no digest has arrived from it for
# this long. By then, two digests of each of its relays have been lost.
CELL_TIMEOUT_S: Final = 6.0


class DigestExchange:
    """Sends, forwards and applies the digests of cells."""

    def __init__(
        self,
        table: members.MemberTable,
        cells: cells_lib.CellMap,
        links: Mapping[ids.NodeId, links_lib.PeerLink],
        apply_record: Callable[[list[Any], list[Any] | None], None],
        encode_own_status: Callable[[], list[Any]],
        log: event_log.EventLog,
    ):
        """Initializes the exchange.

        Args:
          table: All known nodes.
          cells: Their cells.
          links: Links to the other nodes; the owner adds and removes entries.
          apply_record: Applies an encoded record and, for a node in another
            cell, its status, which is None if the relay of that cell can't
            reach the node.
          encode_own_status: Returns the encoded status of this node.
          log: Log of this node.
        """
        self._table = table
        self._cells = cells
        self._links = links
        self._apply_record = apply_record
        self._encode_own_status = encode_own_status
        self._log = log
        self._sent_at = 0.0
        self._sent_to_regions_at = 0.0
        self._received_at: dict[ids.Cell, float] = {}
        self._latest_digests: dict[ids.Cell, bytes] = {}

    # Relays.

    def list_relays(self, cell: ids.Cell) -> list[members.Member]:
        """Returns the relays of a cell by rank.

        Unreachable nodes rank last, the one with the oldest failure first, so
        that they are tried in turn while the whole cell is unreachable.
        """
        candidates = [
            member
            for member in self._cells.list_members(cell)
            if not member.leaving
        ]
        candidates.sort(
            key=lambda member: (
                not member.reachable,
                0.0 if member.reachable else member.connection_lost_at,
                member.store_available is False,
                member.record.node_id,
            )
        )
        return candidates[:RELAYS_PER_CELL]

    def find_relay_rank(self) -> int | None:
        """Returns the index of this node among its cell's relays, if any."""
        relays = self.list_relays(self._cells.own_cell)
        own = self._table.own
        return relays.index(own) if own in relays else None

    def update_persistent_links(self, feeders: list[members.Member]) -> None:
        """Selects the links that stay connected without calls."""
        own = self._table.own
        persistent = set(self._cells.list_members(self._cells.own_cell))
        rank = self.find_relay_rank()
        if rank is not None or own in feeders:
            persistent.update(
                member
                for cell in self._cells.list_other_cells()
                for member in self.list_relays(cell)
            )
        if rank is not None:
            # Relays acknowledge configurations to the feeders.
            persistent.update(feeders)
        for link in self._links.values():
            link.set_persistent(link.member in persistent)

    def list_links_to_other_cells(self) -> list[links_lib.PeerLink]:
        """Returns a link to the first connected relay of each other cell."""
        connected = []
        for cell in self._cells.list_other_cells():
            for member in self.list_relays(cell):
                link = self._links.get(member.record.node_id)
                if link is not None and link.connected:
                    connected.append(link)
                    break
        return connected

    def list_links_in_own_cell(self) -> list[links_lib.PeerLink]:
        """Returns the links to the other nodes of this node's cell."""
        return [
            self._links[member.record.node_id]
            for member in self._cells.list_members(self._cells.own_cell)
            if member.record.node_id in self._links
        ]

    # Outgoing digests.

    def send_if_due(self, now: float, in_rollout: bool) -> None:
        """Sends a digest to the cells for which this relay's next one is due.

        Does nothing if this node is no relay.
        """
        if now - self._sent_at < DIGEST_INTERVAL_S:
            return
        rank = self.find_relay_rank()
        if rank is None:
            return
        self._sent_at = now
        to_regions = (
            in_rollout
            or now - self._sent_to_regions_at >= REGION_DIGEST_INTERVAL_S
        )
        if to_regions:
            self._sent_to_regions_at = now
        self._send(rank, self._list_target_cells(to_regions))

    def _list_target_cells(self, to_regions: bool) -> list[ids.Cell]:
        own_region = self._table.own.record.region
        return [
            cell
            for cell in self._cells.list_other_cells()
            if to_regions
            or self._cells.list_members(cell)[0].record.region == own_region
        ]

    def _send(self, rank: int, targets: Iterable[ids.Cell]) -> None:
        data = b""
        for cell in targets:
            relays = self.list_relays(cell)
            if not relays:
                continue
            # Relays are paired by rank, which gives two independent paths.
            link = self._links.get(relays[rank % len(relays)].record.node_id)
            if link is None:
                continue
            data = data or frames.encode(
                [frames.FrameType.DIGEST, self._encode()]
            )
            link.send_bytes(data)

    def send_initial(self, link: links_lib.PeerLink) -> None:
        """Sends the latest digests over a new connection."""
        if self.find_relay_rank() is None:
            return
        if self._cells.is_in_own_cell(link.member):
            for data in self._latest_digests.values():
                link.send([frames.FrameType.DIGEST, data])
        if link.persistent:
            link.send([frames.FrameType.DIGEST, self._encode()])

    def _encode(self) -> bytes:
        own = self._table.own
        return frames.compress(
            [
                [
                    member.record.encode(),
                    self._encode_own_status()
                    if member is own
                    else member.status
                    if member.reachable
                    else None,
                ]
                for member in self._cells.list_members(self._cells.own_cell)
            ]
        )

    # Incoming digests.

    def apply(self, sender: members.Member, data: bytes) -> None:
        """Applies a digest and forwards it within this cell.

        Only digests received directly from another cell are forwarded.

        Raises:
          ValueError: The digest is malformed.
        """
        for fields, status in frames.decompress(data):
            self._apply_record(fields, status)
            self._note_received(ids.NodeId(fields[0]), data)
        if self._cells.is_in_own_cell(sender):
            return
        encoded = frames.encode([frames.FrameType.DIGEST, data])
        for link in self.list_links_in_own_cell():
            link.send_bytes(encoded)

    def _note_received(self, node_id: ids.NodeId, data: bytes) -> None:
        member = self._table.find(node_id)
        if member is None or self._cells.is_in_own_cell(member):
            return
        cell = self._cells.find_cell(member)
        self._received_at[cell] = clock.read_s()
        self._latest_digests[cell] = data

    def expire_cells(self, now: float) -> None:
        """Marks nodes of cells that sent no digest in time as unreachable.

        Nodes that this node is connected to stay reachable.
        """
        for cell, received_at in list(self._received_at.items()):
            if now - received_at < CELL_TIMEOUT_S:
                continue
            del self._received_at[cell]
            self._latest_digests.pop(cell, None)
            self._log.write(
                "no digest received from cell",
                cell=cell,
                silent_ms=int((now - received_at) * 1000),
            )
            for member in self._cells.list_members(cell):
                link = self._links.get(member.record.node_id)
                if link is None or not link.connected:
                    member.reachable = False
