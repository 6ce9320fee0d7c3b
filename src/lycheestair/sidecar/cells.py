"""Division of the fleet into cells.

Answers the load of statuses in a large fleet: the nodes of a cell exchange
statuses directly, and each cell tells the others about its nodes in digests. The
connections and messages of a node therefore grow with the size of its cell and
the number of cells, not with the size of the fleet.
"""

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

    @property
    def own_cell(self) -> ids.Cell:
        """Cell of this node."""
        return self.find_cell(self._table.own)

    def find_cell(self, member: members.Member) -> ids.Cell:
        """Returns the cell of a known member."""
        record = member.record
        if self._is_divided(record.region):
            return ids.Cell(f"{record.region}/{record.failure_domain}")
        return ids.Cell(record.region)

    def is_in_own_cell(self, member: members.Member) -> bool:
        """Whether a known member is in the cell of this node."""
        own, record = self._table.own.record, member.record
        return record.region == own.region and (
            record.failure_domain == own.failure_domain
            or not self._is_divided(own.region)
        )

    def _is_divided(self, region: ids.Region) -> bool:
        return self._table.region_sizes[region] > MAX_REGION_CELL_NODES

    def list_members(self, cell: ids.Cell) -> list[members.Member]:
        """Returns the members of a cell."""
        return self._group_members().get(cell, [])

    def list_other_cells(self) -> list[ids.Cell]:
        """Returns all cells but that of this node."""
        own_cell = self.own_cell
        return [cell for cell in self._group_members() if cell != own_cell]

    def _group_members(self) -> dict[ids.Cell, list[members.Member]]:
        if self._table_version != self._table.version:
            self._table_version = self._table.version
            self._members_by_cell = {}
            for member in self._table:
                self._members_by_cell.setdefault(
                    self.find_cell(member), []
                ).append(member)
        return self._members_by_cell
