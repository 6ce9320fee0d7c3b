"""Exchange of members, loads, configurations and rollouts between nodes."""

import asyncio
from collections.abc import Iterable
from typing import Any
from typing import Final

from lycheestair import ids
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import frames
from lycheestair.sidecar import journal
from lycheestair.sidecar import links
from lycheestair.sidecar import members
from lycheestair.sidecar import regions as regions_lib
from lycheestair.sidecar import replica as replica_lib
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import serving
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import statuses
from lycheestair.sidecar import versions as versions_lib

TICK_S: Final = 0.1
# Loads change within tenths of a second, and answers carry them besides.
STATUS_INTERVAL_S: Final = 0.5
# With more nodes in the region each sends its status less often: what a node
# receives in a second stays the same.
STATUS_NODES: Final = 15
# Nodes that watch the store for all. Each watch costs calls; more than one so
# that a change arrives although a node or its way to the store is lost.
FEEDERS: Final = 3
# Calls from the store's region take less; a feeder elsewhere costs bytes
# between regions for each change.
FAR_STORE_MS: Final = 25


class Gossip:
    """The view that a node shares with the others.

    Attributes:
      replica: The configuration in force.
      store_ok: Whether the store answers this node, None if not known.
      store_ms: Time in milliseconds of a call to the store.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        table: members.MemberTable,
        server: serving.ServingNode,
        planner: versions_lib.VersionPlanner,
        log: journal.Journal,
    ):
        self.leaving = False
        self.store_ok: bool | None = None
        self.store_ms = 0
        self._settings = settings
        self._table = table
        self._server = server
        self._planner = planner
        self._log = log
        self._links: dict[ids.NodeId, links.PeerLink] = {}
        self.regions = regions_lib.RegionExchange(
            settings.region,
            table,
            self._links,
            self._take_reported,
            self._encode_status,
            log,
        )
        self.replica = replica_lib.CatalogReplica(
            table, self._links, self.regions, self.list_feeders, log
        )
        self._status = statuses.OwnStatus(table.own, server, planner)
        self._status_at = 0.0

    @property
    def catalog(self) -> catalog_lib.Catalog:
        """Configuration in force."""
        return self.replica.catalog

    # Members.

    def find_link(self, node_id: ids.NodeId) -> links.PeerLink | None:
        """Returns the link to a member."""
        return self._links.get(node_id)

    def add_record(self, record: members.NodeRecord) -> members.Member | None:
        """Takes over a record and connects to its node.

        Returns:
          The member; None for the own node.
        """
        if record.node_id == self._table.own.record.node_id:
            return None
        if not self._settle_address(record):
            return None
        added = self._table.add(record)
        member = self._table.find(record.node_id)
        if added is not None and member is not None:
            self._log.write(
                "member known",
                peer=record.node_id,
                address=record.address,
                incarnation=record.incarnation,
            )
        link = self._links.get(record.node_id)
        if link is None and member is not None:
            link = links.PeerLink(
                member,
                self.greet,
                self.handle,
                self._on_change,
                self._take_reuse,
                self.regions.is_near(member),
                self._log,
            )
            self._links[record.node_id] = link
            link.start()
        elif link is not None and not link.connected:
            link.retry()
        return member

    def _settle_address(self, record: members.NodeRecord) -> bool:
        """Removes earlier owners of an address; False if it has a later one."""
        for member in self._table.list_others():
            known = member.record
            if (
                known.address != record.address
                or known.node_id == record.node_id
            ):
                continue
            if known.incarnation > record.incarnation:
                return False
            self._take_reuse(member, record)
        return True

    def _take_reuse(
        self, member: members.Member, record: members.NodeRecord
    ) -> None:
        self._log.write(
            "address has a new owner",
            peer=member.record.node_id,
            address=record.address,
            owner=record.node_id,
        )
        self.remove_member(member.record.node_id)

    def remove_member(self, node_id: ids.NodeId) -> None:
        """Forgets a member whose instance is gone."""
        link = self._links.pop(node_id, None)
        if link is not None:
            link.stop()
        self._table.remove(node_id)

    def _on_change(self, member: members.Member) -> None:
        if not member.reachable:
            member.generation = ids.Generation(0)
            return
        link = self._links[member.record.node_id]
        if self.regions.is_near(member) or link.wanted:
            link.send(self._encode_rollouts())
            self.regions.greet(link)
        if not self.catalog.generation and member.generation:
            self.replica.fetch(member)
        elif (
            not self.regions.is_near(member)
            and self._table.own in self.list_feeders()
        ):
            self.replica.send(link, member.generation)

    def greet(self) -> list[frames.Frame]:
        """Returns the frames that begin a connection."""
        return [
            [
                frames.FrameType.HELLO,
                self._table.own.record.encode(),
                self._encode_status(),
            ]
        ]

    # Frames.

    def handle(self, member: members.Member, frame: frames.Frame) -> None:
        """Handles a frame that is not about a call."""
        kind = frame[0]
        if kind == frames.FrameType.HELLO:
            record = members.decode_record(frame[1])
            self.add_record(record)
            self._take_status(member, frame[2])
        elif kind == frames.FrameType.STATUS:
            self._take_status(member, frame[1])
        elif kind == frames.FrameType.CONFIGURATION:
            self.replica.take_change(member, ids.Generation(frame[1]), frame[2])
        elif kind == frames.FrameType.CONFIGURATION_KNOWN:
            member.generation = max(member.generation, frame[1])
        elif kind == frames.FrameType.CONFIGURATION_WANTED:
            link = self._links.get(member.record.node_id)
            if link is not None:
                self.replica.send(link, ids.Generation(frame[1]))
        elif kind == frames.FrameType.ROLLOUTS:
            news = [
                self.take_rollout(*rollout_lib.decode(fields))
                for fields in frame[1]
            ]
            if any(news) and not self.regions.is_near(member):
                self.publish_rollouts()
        elif kind == frames.FrameType.DIGEST:
            self.regions.take_digest(member, frame[1])

    def _take_reported(
        self, record: members.NodeRecord, status: list[Any] | None
    ) -> None:
        """Takes over what a relay reports of a node in its region."""
        member = self.add_record(record)
        if (
            member is None
            or self.regions.is_near(member)
            or member.record.incarnation > record.incarnation
        ):
            return
        link = self._links.get(record.node_id)
        if status is None:
            member.reachable = link is not None and link.connected
        elif status[0] > member.status_number:
            self._take_status(member, status)
            member.reachable = True

    def _take_status(self, member: members.Member, fields: list[Any]) -> None:
        if not statuses.take(member, fields):
            return
        endpoint = member.endpoint
        self._log.write(
            "endpoint changed",
            peer=member.record.node_id,
            instance=endpoint.instance if endpoint else None,
            version=endpoint.version if endpoint else None,
            state=endpoint.state.value if endpoint else "gone",
        )
        self._table.index()

    def _encode_status(self) -> list[Any]:
        own = self._table.own
        own.generation = self.catalog.generation
        own.leaving = self.leaving
        own.store_ok = self.store_ok
        own.store_ms = self.store_ms
        return self._status.encode()

    def publish_status(self) -> None:
        """Sends the own status to the members of the region at once."""
        own = self._table.own
        if own.endpoint != self._server.endpoint:
            own.endpoint = self._server.endpoint
            self._table.index()
        data = frames.encode([frames.FrameType.STATUS, self._encode_status()])
        for link in self._list_near_links():
            link.send_bytes(data)

    def _list_near_links(self) -> list[links.PeerLink]:
        return [
            link
            for link in self._links.values()
            if self.regions.is_near(link.member)
        ]

    # Feeders.

    def list_feeders(self) -> list[members.Member]:
        """Returns the nodes that watch the store for all, first one first."""
        own = self._table.own
        own.store_ok = self.store_ok
        own.store_ms = self.store_ms
        own.leaving = self.leaving
        return self._rank_for_store(
            member for member in self._table if member.store_ok is not False
        )

    def leads_unserved(self) -> bool:
        """Whether no node is served by the store and this one should ask."""
        if self.list_feeders():
            return False
        return self._table.own in self._rank_for_store(self._table)

    @staticmethod
    def _rank_for_store(
        candidates: Iterable[members.Member],
    ) -> list[members.Member]:
        able = [
            member
            for member in candidates
            if member.reachable and not member.leaving
        ]
        able.sort(
            key=lambda member: (
                member.store_ms > FAR_STORE_MS,
                member.record.node_id,
            )
        )
        return able[:FEEDERS]

    # Rollouts.

    def take_rollout(self, rollout: rollout_lib.Rollout, age_s: float) -> bool:
        """Takes over a rollout; returns whether it is news."""
        if not self._planner.take(rollout, age_s):
            return False
        self._log.write(
            "rollout known",
            service=rollout.service,
            target=rollout.target,
            state=rollout.state.value,
            revision=rollout.revision,
            age_ms=int(age_s * 1000),
        )
        return True

    def publish_rollouts(self) -> None:
        """Sends the known rollouts to the own region and to other relays."""
        data = frames.encode(self._encode_rollouts())
        for link in self._list_near_links() + self.regions.list_links():
            link.send_bytes(data)

    def _encode_rollouts(self) -> frames.Frame:
        return [
            frames.FrameType.ROLLOUTS,
            [
                rollout_lib.encode(rollout, age_s)
                for rollout, age_s in self._planner.list_rollouts()
            ],
        ]

    # Periodic work.

    def stop(self) -> None:
        """Closes all links."""
        for link in self._links.values():
            link.stop()

    async def run(self) -> None:
        """Sends the own status and checks links until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self._tick(clock.read_s())
            except Exception as error:
                # What one peer has sent must not end the node.
                self._log.write("periodic work failed", error=repr(error))

    def _tick(self, now: float) -> None:
        self._server.check_heartbeat()
        self._table.own.report_load(*self._server.read_load())
        for link in list(self._links.values()):
            link.check()
        if now - self._status_at >= STATUS_INTERVAL_S * max(
            1.0, len(self._list_near_links()) / STATUS_NODES
        ):
            self._status_at = now
            self.publish_status()
        self.regions.choose_links(self.list_feeders())
        self.regions.send_due(now, self._planner.in_rollout)
        self.regions.expire(now)
        self.replica.fetch_newer(now)
        for rollout in self._planner.judge():
            self._log.write(
                "version found bad",
                service=rollout.service,
                version=rollout.target,
                reason=self._planner.read_bad_reason(rollout.service),
            )
