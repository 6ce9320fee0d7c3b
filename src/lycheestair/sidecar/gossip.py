"""Exchanges members, statuses, configurations and rollouts between nodes."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import heapq
import math
import random
from typing import Any
from typing import Final

from lycheestair import departures as departures_lib
from lycheestair import ids
from lycheestair import server_limits
from lycheestair.sidecar import catalog as catalog_lib
from lycheestair.sidecar import cells as cells_lib
from lycheestair.sidecar import clock
from lycheestair.sidecar import digests as digests_lib
from lycheestair.sidecar import event_log
from lycheestair.sidecar import frames
from lycheestair.sidecar import links
from lycheestair.sidecar import members
from lycheestair.sidecar import replica as replica_lib
from lycheestair.sidecar import rollout as rollout_lib
from lycheestair.sidecar import serving
from lycheestair.sidecar import settings as settings_lib
from lycheestair.sidecar import statuses
from lycheestair.sidecar import versions as versions_lib
from lycheestair.sidecar.places import evacuation_exchange
from lycheestair.sidecar.places import name_check

TICK_INTERVAL_S: Final = 0.1
# Interval of the work that goes through all members and changes little between
# two ticks: the choice of persistent links and the search for bad versions.
SLOW_TICK_INTERVAL_S: Final = 0.3
# The feeders are selected anew after this time, or when the state of this node
# changes.
FEEDERS_MAX_AGE_S: Final = 0.1
# Load changes within tenths of a second, but responses to calls report it too,
# so statuses may be sent less often.
STATUS_INTERVAL_S: Final = 0.5
# The same while a new version is about to take over.
CRITICAL_STATUS_INTERVAL_S: Final = 0.2
# With more peers than this in the cell, the status interval grows in
# proportion, so that the number of statuses received per second stays constant.
MAX_PEERS_AT_FULL_STATUS_RATE: Final = 15
# An idle link is pinged when this many statuses of its node are overdue.
IDLE_PING_INTERVALS: Final = 2.5
# Number of feeders, the nodes that watch the store on behalf of all nodes. Each
# watch costs store calls, but a change must still arrive when one feeder or its
# connection to the store fails.
FEEDER_COUNT: Final = 3
# Store calls from within the store's region are faster than this. Feeders in
# other regions rank last, because they transfer each change between regions.
REMOTE_STORE_LATENCY_MS: Final = 25
# Interval at which a node that knows suspects sends them to one other node, in case
# that an earlier frame was lost.
SUSPECTS_INTERVAL_S: Final = 5.0
# Nodes that aren't members yet whose departures are kept. Relays of other cells may
# send those of a whole cell before this node knows its members.
MAX_EARLY_DEPARTURES: Final = 1_000


class Gossip:
    """Shares the state of this node with its peers and collects theirs.

    Attributes:
      leaving: Whether this node is shutting down.
      store_available: Whether the store answers this node; None if unknown.
      store_latency_ms: Duration of a store call from this node.
      on_feeder_lost_store: Called when a feeder has reported that the store doesn't
        answer it.
      on_tick: Called with the time at each periodic work.
      on_account_frame: Handles frames about the allowances of accounts.
      cells: Cells of the nodes.
      digests: Exchange of digests with other cells.
      replica: Holder of the configuration in force.
      evacuations: Exchange of the evacuated failure domains.
    """

    def __init__(
        self,
        settings: settings_lib.SidecarSettings,
        table: members.MemberTable,
        server: serving.ServingNode,
        planner: versions_lib.VersionPlanner,
        log: event_log.EventLog,
    ):
        self.leaving = False
        self.store_available: bool | None = None
        self.store_latency_ms = 0
        self.on_feeder_lost_store: Callable[[], None] = lambda: None
        self.on_tick: Callable[[float], None] = lambda now: None
        self.on_account_frame: links.FrameHandler = lambda member, frame: None
        self._settings = settings
        self._table = table
        self._serving_node = server
        self._planner = planner
        self._log = log
        self._links: dict[ids.NodeId, links.PeerLink] = {}
        self.cells = cells_lib.CellMap(table)
        self.digests = digests_lib.DigestExchange(
            table,
            self.cells,
            self._links,
            self._apply_relayed_record,
            self._encode_status,
            log,
        )
        self.replica = replica_lib.CatalogReplica(
            table,
            self._links,
            self.cells,
            self.digests,
            self.list_feeders,
            log,
        )
        self.evacuations = evacuation_exchange.EvacuationExchange(
            server.place.evacuations,
            server.apply_evacuations,
            lambda: table.own in self.list_feeders(),
            self._links,
            self.cells,
            self.digests,
            log,
        )
        self._name_check = name_check.NameCheck(
            table, server.place.evacuations, log
        )
        server.place.read_catalog = lambda: self.replica.catalog
        self._status_encoder = statuses.StatusEncoder(
            table.own, server, planner
        )
        self._status_sent_at = 0.0
        self._slow_tick_at = 0.0
        self._suspects_sent_at = 0.0
        self._tick_finished = asyncio.Event()
        # Departures of nodes that aren't members yet.
        self._early_departures: dict[ids.NodeId, departures_lib.Departures] = {}
        self._published_limit: server_limits.InstanceLimit | None = None
        self._feeders: list[members.Member] = []
        self._feeders_selected_at = -math.inf

    @property
    def catalog(self) -> catalog_lib.Catalog:
        """The configuration in force."""
        return self.replica.catalog

    # Members.

    def find_link(self, node_id: ids.NodeId) -> links.PeerLink | None:
        """Returns the link to a member, None if there is none."""
        return self._links.get(node_id)

    def add_record(self, record: members.NodeRecord) -> members.Member | None:
        """Adds or updates the member of a record and connects to it.

        Returns:
          The member; None for this node, and for a record whose address is used
          by another node that started later.
        """
        member = self._add_to_table(record)
        if member is not None:
            self._connect(member)
        return member

    def add_records(self, records: Iterable[members.NodeRecord]) -> None:
        """Adds or updates the members of records and connects to them.

        All members are known before the first connection is opened, so that
        nodes of other cells get none.
        """
        added = [self._add_to_table(record) for record in records]
        for member in added:
            if member is not None and self._table.find(member.record.node_id):
                self._connect(member)

    def _add_to_table(
        self, record: members.NodeRecord
    ) -> members.Member | None:
        if record.node_id == self._table.own.record.node_id:
            return None
        if not self._resolve_address_conflict(record):
            return None
        if self._table.add(record) is not None:
            self._log.write(
                "member added or restarted",
                peer=record.node_id,
                address=record.address,
                incarnation=record.incarnation,
            )
        member = self._table.find(record.node_id)
        early = self._early_departures.pop(record.node_id, None)
        if member is not None and early is not None:
            member.departures.update(early.encode())
        return member

    def _connect(self, member: members.Member) -> None:
        node_id = member.record.node_id
        link = self._links.get(node_id)
        if link is None:
            link = links.PeerLink(
                member,
                self.build_hello_frames,
                self.handle_frame,
                self._on_reachability_change,
                self._remove_previous_owner,
                self.cells.is_in_own_cell(member),
                self._log,
            )
            self._links[node_id] = link
            link.start()
        elif not link.connected:
            link.reconnect()

    def _resolve_address_conflict(self, record: members.NodeRecord) -> bool:
        """Removes the member whose address is now used by a record's node.

        Returns:
          False if another node that started later uses the address.
        """
        member = self._table.find_by_address(record.address)
        if (
            member is None
            or member is self._table.own
            or member.record.node_id == record.node_id
        ):
            return True
        if member.record.incarnation > record.incarnation:
            return False
        self._remove_previous_owner(member, record)
        return True

    def _remove_previous_owner(
        self, member: members.Member, record: members.NodeRecord
    ) -> None:
        self._log.write(
            "address reassigned to another node",
            peer=member.record.node_id,
            address=record.address,
            owner=record.node_id,
        )
        self.remove_member(member.record.node_id)

    def remove_member(self, node_id: ids.NodeId) -> None:
        """Removes a member and closes the link to it."""
        link = self._links.pop(node_id, None)
        if link is not None:
            link.stop()
        self._table.remove(node_id)

    def _on_reachability_change(self, member: members.Member) -> None:
        if not member.reachable:
            member.generation = ids.Generation(0)
            return
        link = self._links[member.record.node_id]
        if self.cells.is_in_own_cell(member) or link.persistent:
            link.send(self._encode_rollouts())
            self.digests.send_initial(link)
        self._send_departures(link)
        self._send_limits(link)
        if self._serving_node.suspects:
            link.send(self._encode_suspects())
        if not self.catalog.generation and member.generation:
            self.replica.fetch(member)
        elif (
            not self.cells.is_in_own_cell(member)
            and self._table.own in self.list_feeders()
        ):
            self.replica.send_change(link, member.generation)

    def build_hello_frames(self) -> list[frames.Frame]:
        """Returns the frames sent first on each connection."""
        return [
            [
                frames.FrameType.HELLO,
                self._table.own.record.encode(),
                self._encode_status(),
                frames.PROTOCOL_VERSION,
            ],
            *self.evacuations.build_initial_frames(),
        ]

    # Frames.

    def handle_frame(self, member: members.Member, frame: frames.Frame) -> None:
        """Handles a frame that is not part of a call."""
        frame_type = frame[0]
        if frame_type == frames.FrameType.HELLO:
            record = members.decode_record(frame[1])
            self.add_record(record)
            self._apply_status(member, frame[2])
        elif frame_type == frames.FrameType.STATUS:
            self._apply_status(member, frame[1])
        elif frame_type == frames.FrameType.CONFIGURATION:
            self.replica.apply_change(
                member, ids.Generation(frame[1]), *frame[2:4]
            )
        elif frame_type == frames.FrameType.CONFIGURATION_ACKNOWLEDGED:
            member.generation = max(member.generation, frame[1])
        elif frame_type == frames.FrameType.CONFIGURATION_REQUEST:
            link = self._links.get(member.record.node_id)
            if link is not None:
                self.replica.send_change(link, ids.Generation(frame[1]))
        elif frame_type == frames.FrameType.ROLLOUTS:
            changes = [
                self.apply_rollout(rollout_lib.decode(fields))
                for fields in frame[1]
            ]
            if any(changes) and not self.cells.is_in_own_cell(member):
                self.publish_rollouts()
        elif frame_type == frames.FrameType.DEPARTURES:
            self._apply_departures(member, frame[1], frame[2])
        elif frame_type == frames.FrameType.LIMIT:
            self._apply_limit(member, frame[1], frame[2])
        elif frame_type == frames.FrameType.SUSPECTS:
            if self._serving_node.suspects.merge(
                frame[1], clock.read_s()
            ) and not self.cells.is_in_own_cell(member):
                self.publish_suspects()
        elif frame_type == frames.FrameType.EVACUATIONS:
            self.evacuations.apply(member, frame[1])
        elif frame_type == frames.FrameType.DIGEST:
            self.digests.apply(member, frame[1])
        elif frame_type in frames.ACCOUNT_FRAMES:
            self.on_account_frame(member, frame)

    def _apply_relayed_record(
        self, fields: list[Any], status: list[Any] | None
    ) -> None:
        """Applies what a digest reports about a node.

        Args:
          fields: Encoded record of the node.
          status: Encoded status, whose first field is its number; None if the
            relay of the node's cell can't reach the node.
        """
        member = self._table.find_by_record(fields)
        if member is None:
            record = members.decode_record(fields)
            member = self.add_record(record)
            if member is None or member.record.incarnation > record.incarnation:
                return
        if self.cells.is_in_own_cell(member):
            return
        link = self._links.get(member.record.node_id)
        if status is None:
            member.reachable = link is not None and link.connected
        elif status[0] > member.status_number:
            self._apply_status(member, status)
            member.reachable = True

    def _apply_status(self, member: members.Member, fields: list[Any]) -> None:
        was_served = member.store_available is not False
        endpoint_changed = statuses.apply_status(member, fields)
        if (
            was_served
            and member.store_available is False
            and member in self._feeders
        ):
            self.on_feeder_lost_store()
        if not endpoint_changed:
            return
        endpoint = member.endpoint
        self._log.write(
            "endpoint changed",
            peer=member.record.node_id,
            instance=endpoint.instance if endpoint else None,
            version=endpoint.version if endpoint else None,
            state=endpoint.state.value if endpoint else "gone",
        )
        self._table.invalidate_service_index()

    def _encode_status(self) -> list[Any]:
        own = self._table.own
        own.generation = self.catalog.generation
        own.leaving = self.leaving
        own.store_available = self.store_available
        own.store_latency_ms = self.store_latency_ms
        return self._status_encoder.encode()

    def publish_status(self) -> None:
        """Sends the status of this node to the members of its cell."""
        own = self._table.own
        if own.endpoint != self._serving_node.endpoint:
            own.endpoint = self._serving_node.endpoint
            self._table.invalidate_service_index()
        data = frames.encode([frames.FrameType.STATUS, self._encode_status()])
        for link in self.digests.list_links_in_own_cell():
            link.send_bytes(data)

    # Departures of backend servers.

    def publish_departures(self) -> None:
        """Sends the departures acknowledged by this node to the other nodes.

        Its cell receives them, and a relay of each other cell.
        """
        self._send_to_all_cells(
            [
                frames.FrameType.DEPARTURES,
                self._table.own.record.node_id,
                self._serving_node.departures.encode(),
            ]
        )

    def _send_departures(self, link: links.PeerLink) -> None:
        """Sends the departures of this node, and those that the other needs.

        A node of the same cell needs its own after a restart, and a relay of
        another cell those of all nodes of its cell.
        """
        own = self._table.own.record.node_id
        self._send_known(link, own, self._serving_node.departures)
        if self.cells.is_in_own_cell(link.member):
            others = [link.member]
        elif link.persistent:
            others = self.cells.list_members(self.cells.find_cell(link.member))
        else:
            return
        for member in others:
            self._send_known(link, member.record.node_id, member.departures)

    def _send_known(
        self,
        link: links.PeerLink,
        node_id: ids.NodeId,
        known: departures_lib.Departures,
    ) -> None:
        if known:
            link.send([frames.FrameType.DEPARTURES, node_id, known.encode()])

    def _apply_departures(
        self, sender: members.Member, node_id: ids.NodeId, fields: Any
    ) -> None:
        """Remembers the departures of a node, and forwards unknown ones."""
        if node_id == self._table.own.record.node_id:
            self._serving_node.restore_departures(fields)
            return
        member = self._table.find(node_id)
        if member is None:
            if len(self._early_departures) < MAX_EARLY_DEPARTURES:
                self._early_departures.setdefault(
                    node_id, departures_lib.Departures()
                ).update(fields)
            return
        if not member.departures.update(fields):
            return
        frame = [frames.FrameType.DEPARTURES, node_id, fields]
        if not self.cells.is_in_own_cell(sender):
            receivers = self.digests.list_links_in_own_cell()
        elif self.digests.find_relay_rank() is not None:
            receivers = self.digests.list_links_to_other_cells()
        else:
            return
        for link in receivers:
            link.send(frame)

    # Limits of backend servers.

    def _publish_limit_if_changed(self) -> None:
        """Sends the limit of this node's backend server to its cell."""
        limit = self._serving_node.read_limit()
        if limit == self._published_limit:
            return
        self._published_limit = limit
        frame = self._encode_limit(self._table.own, limit)
        for link in self.digests.list_links_in_own_cell():
            link.send(frame)

    def _send_limits(self, link: links.PeerLink) -> None:
        """Sends the limit known of the other node and, in the cell, its own."""
        if link.member.limit is not None:
            link.send(self._encode_limit(link.member, link.member.limit))
        limit = self._serving_node.read_limit()
        if limit is not None and self.cells.is_in_own_cell(link.member):
            link.send(self._encode_limit(self._table.own, limit))

    @staticmethod
    def _encode_limit(
        member: members.Member, limit: server_limits.InstanceLimit | None
    ) -> frames.Frame:
        return [
            frames.FrameType.LIMIT,
            member.record.node_id,
            None if limit is None else limit.encode(),
        ]

    def _apply_limit(
        self, sender: members.Member, node_id: ids.NodeId, fields: Any
    ) -> None:
        limit = server_limits.decode_instance_limit(fields)
        if node_id == self._table.own.record.node_id:
            self._serving_node.restore_limit(limit)
        elif node_id == sender.record.node_id:
            sender.limit = limit

    # Requests that crash backend servers.

    def publish_suspects(self) -> None:
        """Sends the known suspects to this cell and a relay of each other one."""
        self._send_to_all_cells(self._encode_suspects())

    def _send_suspects_if_due(self, now: float) -> None:
        """Sends the known suspects to a random node that this one is linked to."""
        if (
            not self._serving_node.suspects
            or now - self._suspects_sent_at < SUSPECTS_INTERVAL_S
        ):
            return
        self._suspects_sent_at = now
        connected = [link for link in self._links.values() if link.connected]
        if connected:
            random.choice(connected).send(self._encode_suspects())

    def _encode_suspects(self) -> frames.Frame:
        return [
            frames.FrameType.SUSPECTS,
            self._serving_node.suspects.encode(clock.read_s()),
        ]

    def _send_to_all_cells(self, frame: frames.Frame) -> None:
        data = frames.encode(frame)
        for link in (
            self.digests.list_links_in_own_cell()
            + self.digests.list_links_to_other_cells()
        ):
            link.send_bytes(data)

    # Feeders.

    def list_feeders(self) -> list[members.Member]:
        """Returns the feeders by rank; this node may be one of them."""
        own = self._table.own
        now = clock.read_s()
        if (
            now - self._feeders_selected_at < FEEDERS_MAX_AGE_S
            and own.store_available is self.store_available
            and own.store_latency_ms == self.store_latency_ms
            and own.leaving is self.leaving
        ):
            return self._feeders
        own.store_available = self.store_available
        own.store_latency_ms = self.store_latency_ms
        own.leaving = self.leaving
        self._feeders = self._select_feeders(
            member
            for member in self._table
            if member.store_available is not False
        )
        self._feeders_selected_at = now
        return self._feeders

    def should_probe_store(self) -> bool:
        """Whether no node can use the store and this one is to probe it."""
        if self.list_feeders():
            return False
        return self._table.own in self._select_feeders(self._table)

    def is_store_reached(self) -> bool:
        """Whether a feeder is known to be served by the store."""
        return any(member.store_available for member in self.list_feeders())

    def forget_store_reports(self) -> None:
        """Forgets which nodes that aren't feeders the store has served."""
        for member in self._table.list_others():
            if member.store_available and member not in self._feeders:
                member.store_available = None

    @staticmethod
    def _select_feeders(
        candidates: Iterable[members.Member],
    ) -> list[members.Member]:
        return heapq.nsmallest(
            FEEDER_COUNT,
            (
                member
                for member in candidates
                if member.reachable and not member.leaving
            ),
            key=lambda member: (
                not member.store_available,
                member.store_latency_ms > REMOTE_STORE_LATENCY_MS,
                member.record.node_id,
            ),
        )

    # Rollouts.

    def apply_rollout(self, report: rollout_lib.RolloutReport) -> bool:
        """Applies a report of a rollout; returns whether it was news."""
        if not self._planner.update_rollout(report):
            return False
        rollout = report.rollout
        self._log.write(
            "rollout received",
            service=rollout.service,
            target=rollout.target,
            state=rollout.state.value,
            era=rollout.revision.era,
            revision=rollout.revision.number,
            age_ms=int(report.age_s * 1000),
            bad_reason=report.bad_reason,
        )
        return True

    def publish_rollouts(self) -> None:
        """Sends the known rollouts to the nodes of this cell.

        One relay of each other cell receives them too.
        """
        self._send_to_all_cells(self._encode_rollouts())

    def _encode_rollouts(self) -> frames.Frame:
        return [
            frames.FrameType.ROLLOUTS,
            [
                rollout_lib.encode(report)
                for report in self._planner.list_rollouts()
            ],
        ]

    # Periodic work.

    def stop(self) -> None:
        """Closes all links."""
        for link in self._links.values():
            link.stop()

    async def run(self) -> None:
        """Runs the periodic work until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self._tick(clock.read_s())
            except Exception as error:
                # Invalid data from a peer must not stop the node.
                self._log.write("periodic task failed", error=repr(error))
            self._tick_finished.set()
            self._tick_finished.clear()

    async def wait_for_tick(self) -> None:
        """Waits until the next periodic work is done.

        Other periodic work joins it, because each wakeup of an idle process
        costs more than most of the work itself.
        """
        await self._tick_finished.wait()

    def _tick(self, now: float) -> None:
        self._serving_node.check_heartbeat()
        self._table.own.report_load(*self._serving_node.read_load())
        is_critical = self._planner.is_critical
        status_interval_s = (
            CRITICAL_STATUS_INTERVAL_S if is_critical else STATUS_INTERVAL_S
        ) * max(
            1.0,
            len(self.cells.list_members(self.cells.own_cell))
            / MAX_PEERS_AT_FULL_STATUS_RATE,
        )
        idle_ping_after_s = max(
            links.IDLE_PING_AFTER_S, IDLE_PING_INTERVALS * status_interval_s
        )
        for link in list(self._links.values()):
            link.check(now, idle_ping_after_s)
        if now - self._status_sent_at >= status_interval_s:
            self._status_sent_at = now
            self.publish_status()
        self.digests.send_if_due(now, self._planner.in_rollout)
        self.replica.fetch_newer(now)
        self.on_tick(now)
        if now - self._slow_tick_at >= SLOW_TICK_INTERVAL_S:
            self._slow_tick_at = now
            self._slow_tick(now)
        elif is_critical:
            self._detect_bad_versions()

    def _slow_tick(self, now: float) -> None:
        self.digests.update_persistent_links(self.list_feeders())
        self.digests.expire_cells(now)
        # Not sent at each change: a server may name another limit in every
        # response.
        self._publish_limit_if_changed()
        self._send_suspects_if_due(now)
        self.evacuations.resend_if_due(now)
        self._name_check.run_if_due(self.catalog, now)
        self._detect_bad_versions()

    def _detect_bad_versions(self) -> None:
        bad_rollouts = self._planner.detect_bad_versions()
        for rollout in bad_rollouts:
            self._log.write(
                "bad version detected",
                service=rollout.service,
                version=rollout.target,
                reason=self._planner.get_bad_reason(rollout.service),
            )
        if bad_rollouts:
            self.publish_rollouts()
