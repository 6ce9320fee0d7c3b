"""Division of the fleet into cells.

Answers the load of statuses in a large fleet: the nodes of a cell exchange
statuses directly, and each cell tells the others about its nodes in digests. The
connections and messages of a node therefore grow with the size of its cell and
the number of cells, not with the size of the fleet.
"""

import collections
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import members

# A region with more nodes is divided by failure domain.
MAX_REGION_CELL_NODES: Final = 40


class CellMap:
    """Assigns each known node to a cell.

    A cell is a region, or a failure domain of a large region. Nodes that know
    different numbers of nodes may disagree on the cells for a short time. Then a
    node may get the same status twice, or only from a digest.
    """

    def __init__(self, table: members.MemberTable):
        self._table = table
        self._table_version = -1
        self._members_by_cell: dict[ids.Cell, list[members.Member]] = {}
        self._cells: dict[ids.NodeId, ids.Cell] = {}
        self._own_cell = ids.Cell("")

    @property
    def own_cell(self) -> ids.Cell:
        """Cell of this node."""
        self._refresh()
        return self._own_cell

    def find_cell(self, member: members.Member) -> ids.Cell:
        """Returns the cell of a known member."""
        self._refresh()
        return self._cells[member.record.node_id]

    def is_in_own_cell(self, member: members.Member) -> bool:
        """Whether a known member is in the cell of this node."""
        self._refresh()
        return self._cells.get(member.record.node_id) == self._own_cell

    def list_members(self, cell: ids.Cell) -> list[members.Member]:
        """Returns the members of a cell."""
        self._refresh()
        return self._members_by_cell.get(cell, [])

    def list_other_cells(self) -> list[ids.Cell]:
        """Returns all cells but that of this node."""
        self._refresh()
        return [
            cell for cell in self._members_by_cell if cell != self._own_cell
        ]

    def _refresh(self) -> None:
        if self._table_version == self._table.version:
            return
        self._table_version = self._table.version
        region_sizes = collections.Counter(
            member.record.region for member in self._table
        )
        self._members_by_cell = {}
        self._cells = {}
        for member in self._table:
            record = member.record
            cell = ids.Cell(
                record.region
                if region_sizes[record.region] <= MAX_REGION_CELL_NODES
                else f"{record.region}/{record.failure_domain}"
            )
            self._members_by_cell.setdefault(cell, []).append(member)
            self._cells[record.node_id] = cell
        self._own_cell = self._cells[self._table.own.record.node_id]
