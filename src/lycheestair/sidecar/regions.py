"""Exchanges node statuses between regions through relays.

Traffic between regions is billed by volume. Therefore only a few nodes of each
region, its relays, send a digest of the region's nodes. They send it to a relay
of each other region, which forwards it to the nodes of its own region. Feeders
also connect to the relays of other regions; all other nodes connect across
regions only for calls.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import event_log
from lycheestair.sidecar import frames
from lycheestair.sidecar import links as links_lib
from lycheestair.sidecar import members

# Two relays, so that digests still arrive when one relay fails.
RELAYS_PER_REGION: Final = 2
# Interval of each relay's digests. The load in other regions matters only once
# the backend servers of this region are full.
DIGEST_INTERVAL_S: Final = 2.5
# During a rollout, outcomes from all regions are needed within seconds to
# detect a bad version.
ROLLOUT_DIGEST_INTERVAL_S: Final = 1.0
# Nodes of a region count as unreachable when no digest has arrived from it for
# this long. By then, two digests of each of its relays have been lost.
REGION_TIMEOUT_S: Final = 6.0


class RegionExchange:
    """Sends, forwards and applies the digests of regions."""

    def __init__(
        self,
        region: ids.Region,
        table: members.MemberTable,
        links: Mapping[ids.NodeId, links_lib.PeerLink],
        apply_record: Callable[[members.NodeRecord, list[Any] | None], None],
        encode_own_status: Callable[[], list[Any]],
        log: event_log.EventLog,
    ):
        """Initializes the exchange.

        Args:
          region: Region of this node.
          table: All known nodes.
          links: Links to the other nodes; the owner adds and removes entries.
          apply_record: Applies a record and, for a node in another region, its
            status, which is None if the relay of that region can't reach the
            node.
          encode_own_status: Returns the encoded status of this node.
          log: Log of this node.
        """
        self._region = region
        self._table = table
        self._links = links
        self._apply_record = apply_record
        self._encode_own_status = encode_own_status
        self._log = log
        self._digest_sent_at = 0.0
        self._digest_received_at: dict[ids.Region, float] = {}
        self._latest_digests: dict[ids.Region, bytes] = {}

    def is_in_own_region(self, member: members.Member) -> bool:
        """Whether a node is in the region of this node."""
        return member.record.region == self._region

    def list_relays(self, region: ids.Region) -> list[members.Member]:
        """Returns the relays of a region by rank.

        Unreachable nodes rank last, the one with the oldest failure first, so
        that they are tried in turn while the whole region is unreachable.
        """
        candidates = [
            member
            for member in self._table
            if member.record.region == region and not member.leaving
        ]
        candidates.sort(
            key=lambda member: (
                not member.reachable,
                0.0 if member.reachable else member.connection_lost_at,
                member.store_available is False,
                member.record.node_id,
            )
        )
        return candidates[:RELAYS_PER_REGION]

    def find_relay_rank(self) -> int | None:
        """Returns the index of this node among its region's relays, if any."""
        relays = self.list_relays(self._region)
        own = self._table.own
        return relays.index(own) if own in relays else None

    def update_persistent_links(self, feeders: list[members.Member]) -> None:
        """Selects the links that stay connected without calls."""
        own = self._table.own
        persistent: set[ids.NodeId] = set()
        rank = self.find_relay_rank()
        if rank is not None or own in feeders:
            persistent |= {
                member.record.node_id
                for region in self._list_other_regions()
                for member in self.list_relays(region)
            }
        if rank is not None:
            # Relays acknowledge configurations to the feeders.
            persistent |= {member.record.node_id for member in feeders}
        for node_id, link in self._links.items():
            link.set_persistent(
                self.is_in_own_region(link.member) or node_id in persistent
            )

    def _list_other_regions(self) -> set[ids.Region]:
        return {member.record.region for member in self._table} - {self._region}

    def list_links_to_other_regions(self) -> list[links_lib.PeerLink]:
        """Returns a link to the first connected relay of each other region."""
        connected = []
        for region in self._list_other_regions():
            for member in self.list_relays(region):
                link = self._links.get(member.record.node_id)
                if link is not None and link.connected:
                    connected.append(link)
                    break
        return connected

    def send_digest_if_due(self, now: float, in_rollout: bool) -> None:
        """Sends a digest to the other regions if this relay's next one is due.

        Does nothing if this node is no relay.
        """
        interval_s = (
            ROLLOUT_DIGEST_INTERVAL_S if in_rollout else DIGEST_INTERVAL_S
        )
        if now - self._digest_sent_at < interval_s:
            return
        rank = self.find_relay_rank()
        if rank is None:
            return
        self._digest_sent_at = now
        data = frames.encode([frames.FrameType.DIGEST, self._encode_digest()])
        for region in self._list_other_regions():
            relays = self.list_relays(region)
            # Relays are paired by rank, which gives two independent paths.
            link = self._links.get(relays[rank % len(relays)].record.node_id)
            if link is not None:
                link.send_bytes(data)

    def send_initial_digests(self, link: links_lib.PeerLink) -> None:
        """Sends the latest digests over a new connection."""
        if self.find_relay_rank() is None:
            return
        if self.is_in_own_region(link.member):
            for data in self._latest_digests.values():
                link.send([frames.FrameType.DIGEST, data])
        if link.persistent:
            link.send([frames.FrameType.DIGEST, self._encode_digest()])

    def _encode_digest(self) -> bytes:
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
                for member in self._table
                if self.is_in_own_region(member)
            ]
        )

    def apply_digest(self, sender: members.Member, data: bytes) -> None:
        """Applies a digest and forwards it within this region.

        Only digests received directly from another region are forwarded.

        Raises:
          ValueError: The digest is malformed.
        """
        region = None
        for fields, status in frames.decompress(data):
            record = members.decode_record(fields)
            self._apply_record(record, status)
            if record.region != self._region:
                region = record.region
        if region is None:
            return
        self._digest_received_at[region] = clock.read_s()
        if self.is_in_own_region(sender):
            return
        self._latest_digests[region] = data
        encoded = frames.encode([frames.FrameType.DIGEST, data])
        for link in self._links.values():
            if self.is_in_own_region(link.member):
                link.send_bytes(encoded)

    def expire_regions(self, now: float) -> None:
        """Marks nodes of regions that sent no digest in time as unreachable.

        Nodes that this node is connected to stay reachable.
        """
        for region, received_at in list(self._digest_received_at.items()):
            if now - received_at < REGION_TIMEOUT_S:
                continue
            del self._digest_received_at[region]
            self._latest_digests.pop(region, None)
            self._log.write(
                "no digest received from region",
                region=region,
                silent_ms=int((now - received_at) * 1000),
            )
            for member in self._table:
                link = self._links.get(member.record.node_id)
                if member.record.region == region and not (
                    link is not None and link.connected
                ):
                    member.reachable = False
