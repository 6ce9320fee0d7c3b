"""Exchange between regions: relays pass on what the nodes of a region report.

Links between regions are paid by volume. A few nodes of each region, the
relays, send a digest of its nodes to a relay of each other region, which passes
it on. All other nodes connect to another region for calls alone.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import clock
from lycheestair.sidecar import frames
from lycheestair.sidecar import journal
from lycheestair.sidecar import links as links_lib
from lycheestair.sidecar import members

# Relays of a region; two, so that a digest arrives although one is lost.
RELAYS: Final = 2
# Each relay sends a digest this often. Loads elsewhere matter only once the
# own region has no room.
DIGEST_INTERVAL_S: Final = 2.5
# During a rollout the outcomes of all regions decide within seconds.
ROLLOUT_DIGEST_INTERVAL_S: Final = 1.0
# Without a digest for this long the nodes of a region can't be reached: two
# digests of each relay may be lost.
REGION_LOST_S: Final = 6.0


class RegionExchange:
    """Digests of other regions, and the links that carry them."""

    def __init__(
        self,
        region: ids.Region,
        table: members.MemberTable,
        links: Mapping[ids.NodeId, links_lib.PeerLink],
        take: Callable[[members.NodeRecord, list[Any] | None], None],
        encode_own: Callable[[], list[Any]],
        log: journal.Journal,
    ):
        """Initializes the exchange.

        Args:
          region: Region of the own node.
          table: All known nodes.
          links: Links to the other nodes; read at each use.
          take: Takes over a record, and the status of its node if that is in
            another region; the status is None if its relay can't reach it.
          encode_own: Returns the own status.
          log: Log of the node.
        """
        self._region = region
        self._table = table
        self._links = links
        self._take = take
        self._encode_own = encode_own
        self._log = log
        self._sent_at = 0.0
        self._heard_at: dict[ids.Region, float] = {}
        self._latest: dict[ids.Region, bytes] = {}

    def is_near(self, member: members.Member) -> bool:
        """Whether a node is in the own region."""
        return member.record.region == self._region

    def list_relays(self, region: ids.Region) -> list[members.Member]:
        """Returns the relays of a region, first one first.

        Nodes that can't be reached come last, so that they are tried in turn
        while none can be.
        """
        found = [
            member
            for member in self._table
            if member.record.region == region and not member.leaving
        ]
        found.sort(
            key=lambda member: (
                not member.reachable,
                0.0 if member.reachable else member.lost_at,
                member.store_ok is False,
                member.record.node_id,
            )
        )
        return found[:RELAYS]

    def find_rank(self) -> int | None:
        """Returns the place of the own node among its region's relays."""
        relays = self.list_relays(self._region)
        own = self._table.own
        return relays.index(own) if own in relays else None

    def choose_links(self, feeders: list[members.Member]) -> None:
        """Keeps the links connected that the exchange needs."""
        own = self._table.own
        wanted: set[ids.NodeId] = set()
        rank = self.find_rank()
        if rank is not None or own in feeders:
            wanted |= {
                member.record.node_id
                for region in self._list_regions()
                for member in self.list_relays(region)
            }
        if rank is not None:
            # A feeder is told what need not be sent again.
            wanted |= {member.record.node_id for member in feeders}
        for node_id, link in self._links.items():
            link.want(self.is_near(link.member) or node_id in wanted)

    def _list_regions(self) -> set[ids.Region]:
        return {member.record.region for member in self._table} - {self._region}

    def list_links(self) -> list[links_lib.PeerLink]:
        """Returns one connected link for each other region, a relay's first."""
        found = []
        for region in self._list_regions():
            for member in self.list_relays(region):
                link = self._links.get(member.record.node_id)
                if link is not None and link.connected:
                    found.append(link)
                    break
        return found

    def send_due(self, now: float, in_rollout: bool) -> None:
        """Sends a digest to the other regions if it is this node's turn."""
        interval_s = (
            ROLLOUT_DIGEST_INTERVAL_S if in_rollout else DIGEST_INTERVAL_S
        )
        if now - self._sent_at < interval_s:
            return
        rank = self.find_rank()
        if rank is None:
            return
        self._sent_at = now
        data = frames.encode([frames.FrameType.DIGEST, self._encode()])
        for region in self._list_regions():
            relays = self.list_relays(region)
            # Relays are paired, so that each path is one of two.
            link = self._links.get(relays[rank % len(relays)].record.node_id)
            if link is not None:
                link.send_bytes(data)

    def greet(self, link: links_lib.PeerLink) -> None:
        """Sends what a node needs that has just been connected."""
        if self.find_rank() is None:
            return
        if self.is_near(link.member):
            for data in self._latest.values():
                link.send([frames.FrameType.DIGEST, data])
        if link.wanted:
            link.send([frames.FrameType.DIGEST, self._encode()])

    def _encode(self) -> bytes:
        own = self._table.own
        return frames.compress(
            [
                [
                    member.record.encode(),
                    self._encode_own()
                    if member is own
                    else member.status
                    if member.reachable
                    else None,
                ]
                for member in self._table
                if self.is_near(member)
            ]
        )

    def take_digest(self, sender: members.Member, data: bytes) -> None:
        """Takes over a digest and passes it on within the own region.

        Raises:
          ValueError: It is malformed.
        """
        region = None
        for fields, status in frames.decompress(data):
            record = members.decode_record(fields)
            self._take(record, status)
            if record.region != self._region:
                region = record.region
        if region is None:
            return
        self._heard_at[region] = clock.read_s()
        if self.is_near(sender):
            return
        self._latest[region] = data
        encoded = frames.encode([frames.FrameType.DIGEST, data])
        for link in self._links.values():
            if self.is_near(link.member):
                link.send_bytes(encoded)

    def expire(self, now: float) -> None:
        """Takes regions that are silent for reachable no longer."""
        for region, heard_at in list(self._heard_at.items()):
            if now - heard_at < REGION_LOST_S:
                continue
            del self._heard_at[region]
            self._latest.pop(region, None)
            self._log.write(
                "region silent",
                region=region,
                silent_ms=int((now - heard_at) * 1000),
            )
            for member in self._table:
                link = self._links.get(member.record.node_id)
                if member.record.region == region and not (
                    link is not None and link.connected
                ):
                    member.reachable = False
