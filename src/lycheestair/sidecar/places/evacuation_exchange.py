"""Exchanges the evacuated failure domains between nodes."""

from collections.abc import Callable
from collections.abc import Mapping
import random
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import cells as cells_lib
from lycheestair.sidecar import digests as digests_lib
from lycheestair.sidecar import event_log
from lycheestair.sidecar import frames
from lycheestair.sidecar import links as links_lib
from lycheestair.sidecar import members
from lycheestair.sidecar.places import evacuations as evacuations_lib

# A node sends the set to a relay of each other cell that it is linked to, and to
# one other node, at this interval: a relay may end before it forwards a change.
RESEND_INTERVAL_S: Final = 1.0
# For this long after a change. Later, nodes learn of it when they connect.
RESEND_FOR_S: Final = 30.0


class EvacuationExchange:
    """Sends the known set to other nodes, and applies theirs.

    Nodes of the previous release don't know the frame. It is sent only after a
    domain was evacuated.
    """

    def __init__(
        self,
        evacuations: evacuations_lib.Evacuations,
        on_change: Callable[[], None],
        is_feeder: Callable[[], bool],
        links: Mapping[ids.NodeId, links_lib.PeerLink],
        cells: cells_lib.CellMap,
        digests: digests_lib.DigestExchange,
        log: event_log.EventLog,
    ):
        """Initializes the exchange.

        Args:
          evacuations: Evacuations known to this node.
          on_change: Called after they have changed.
          is_feeder: Returns whether this node is a feeder.
          links: Links to the other nodes; the owner adds and removes entries.
          cells: Cells of the nodes.
          digests: Determines which nodes are relays.
          log: Log of this node.
        """
        self._evacuations = evacuations
        self._on_change = on_change
        self._is_feeder = is_feeder
        self._links = links
        self._cells = cells
        self._digests = digests
        self._log = log
        self._must_resend = False
        self._resend_until = 0.0
        self._resent_at = 0.0

    def apply_from_store(self, latest: evacuations_lib.EvacuatedSet) -> None:
        """Applies a set that this node has read, and publishes a change."""
        if self._update(latest) is evacuations_lib.Update.CHANGED:
            self.publish()

    def apply(self, sender: members.Member, fields: Any) -> None:
        """Applies the set of another node.

        A node that has missed a change, or that has an old set because all nodes
        that know better have restarted, is sent the known set. It may have sent
        its own to others, which a feeder corrects.

        Raises:
          TypeError, ValueError: The fields are malformed.
        """
        update = self._update(evacuations_lib.decode(fields))
        if update is evacuations_lib.Update.CHANGED:
            if not self._cells.is_in_own_cell(sender):
                self.publish()
        elif update is evacuations_lib.Update.OUTDATED:
            if self._is_feeder():
                self.publish()
            link = self._links.get(sender.record.node_id)
            if link is not None:
                link.send(self._encode())

    def _update(
        self, latest: evacuations_lib.EvacuatedSet
    ) -> evacuations_lib.Update:
        earlier = self._evacuations.known.domains
        update = self._evacuations.update(latest)
        if update is evacuations_lib.Update.CHANGED:
            self._log.write(
                "evacuations changed",
                domains=sorted(latest.domains),
                earlier=sorted(earlier),
                era=latest.revision.era,
                revision=latest.revision.number,
            )
            self._must_resend = True
            self._on_change()
        return update

    def publish(self) -> None:
        """Sends the known set to this cell and to a relay of each other one."""
        data = frames.encode(self._encode())
        for link in (
            self._digests.list_links_in_own_cell()
            + self._digests.list_links_to_other_cells()
        ):
            link.send_bytes(data)

    def build_initial_frames(self) -> list[frames.Frame]:
        """Returns the frames that each new connection begins with.

        They precede calls that are sent again, and need no answer of the store.
        """
        return [self._encode()] if self._evacuations.any_seen else []

    def resend_if_due(self, now: float) -> None:
        """Sends the set again for a while after a change.

        A relay of each other cell receives it, and a random node of all.
        """
        if self._must_resend:
            self._must_resend = False
            self._resend_until = now + RESEND_FOR_S
        if (
            now >= self._resend_until
            or now - self._resent_at < RESEND_INTERVAL_S
        ):
            return
        self._resent_at = now
        connected = [link for link in self._links.values() if link.connected]
        targets = self._digests.list_links_to_other_cells()
        if connected:
            targets.append(random.choice(connected))
        data = frames.encode(self._encode())
        for link in targets:
            link.send_bytes(data)

    def _encode(self) -> frames.Frame:
        return [
            frames.FrameType.EVACUATIONS,
            self._evacuations.known.encode(),
        ]
