"""Gossip membership: member table, failure detection and dissemination."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from concurrent import futures
import dataclasses
import itertools
import random
import threading
import time
from typing import Any
from typing import Final

from absl import logging

from lycheestair import configuration as configuration_lib
from lycheestair import control
from lycheestair import dissemination
from lycheestair import fanout
from lycheestair import ids
from lycheestair import member_table
from lycheestair import members as members_lib
from lycheestair import membership_pb2 as pb
from lycheestair import membership_pb2_grpc
from lycheestair import membership_service
from lycheestair import partners
from lycheestair import prober
from lycheestair import settings as settings_lib
from lycheestair import traffic as traffic_lib

# Members that are dead or have left stay in the table for this time. Dead ones
# are probed meanwhile, so that regions that were partitioned for minutes
# contact each other again.
DEPARTED_RETENTION_S: Final = 3_600.0
LEAVE_TIMEOUT_S: Final = 1.5
MAX_RECORDS_PER_PAGE: Final = 512
# Probe periods between updates of the table with the generations that peers
# reported. Each update copies the table.
GENERATION_UPDATE_PERIODS: Final = 10
# Probe periods between cleanups of channels to nodes that are not live.
CHANNEL_CLEANUP_PERIODS: Final = 40

ViewListener = Callable[[Mapping[ids.NodeId, members_lib.Member]], None]
GenerationListener = Callable[[members_lib.Member, ids.Generation], None]


class GossipMembership:
    """Gossip-based implementation of `members.Membership`.

    Attributes:
      traffic: Byte counters of all control traffic of the node.
      caller: RPC client for peers that counts bytes sent and received.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        channels: control.PeerChannels,
        configuration: configuration_lib.ActiveConfiguration,
    ):
        self._settings = settings
        self._channels = channels
        self._configuration = configuration
        region = ids.Region(settings.node.region)
        self.traffic = traffic_lib.Traffic(region)
        self.caller = traffic_lib.PeerCaller(channels, self.traffic, region)
        own = member_table.make_own_record(settings)
        self._own_id = own.node_id
        self._table = member_table.MemberTable(
            own, settings.membership.suspicion_ms / 1000
        )
        self._lock = threading.Lock()
        self._notify_lock = threading.Lock()
        self._listeners: list[ViewListener] = []
        self._generation_listeners: list[GenerationListener] = []
        self._leaving = False
        self._maintenance_count = 0
        self._reported_generations: dict[ids.NodeId, ids.Generation] = {}
        self._partners = partners.Partners(own, random.Random())
        self._piggyback = dissemination.PiggybackQueue(
            settings.membership.max_updates_per_message
        )
        self._broadcaster = dissemination.Broadcaster(
            settings, self.caller, lambda: self._table.view
        )
        self._prober = prober.Prober(settings, self.caller, self)

    def register(self, server: control.ControlServer) -> None:
        """Registers the membership service with the control server."""
        servicer = membership_service.MembershipServicer(
            self, self._prober, self.traffic
        )
        server.register(
            lambda s: membership_pb2_grpc.add_MembershipServicer_to_server(
                servicer, s
            )
        )

    def start(self) -> None:
        """Starts to join and probe; does not wait for the node to join."""
        self._broadcaster.start()
        self._prober.start()

    def stop(self) -> None:
        """Stops without notifying the other nodes."""
        self._prober.stop()
        self._broadcaster.stop()

    def leave(self) -> None:
        """Announces that this node leaves.

        Waits until the first nodes of the broadcast tree have answered, at most
        `LEAVE_TIMEOUT_S`.
        """
        with self._lock:
            self._leaving = True
            self._update_own_record(state=members_lib.MemberState.LEFT)
        sent = self._broadcaster.send(None, [self._own_id])
        futures.wait(sent, LEAVE_TIMEOUT_S)

    def announce_endpoint(self, endpoint: members_lib.Endpoint | None) -> None:
        """Broadcasts the state of the local backend server if it changed."""
        with self._lock:
            if self._leaving or self.read_self().endpoint == endpoint:
                return
            self._update_own_record(endpoint=endpoint)
        self._broadcast_own_record()

    def read_self(self) -> members_lib.Member:
        """Returns the record of this node."""
        return dataclasses.replace(
            self._table.view[self._own_id],
            generation=self._configuration.current.generation,
        )

    def read_members(self) -> Mapping[ids.NodeId, members_lib.Member]:
        """Returns all known nodes, including those that are dead or have left.

        The generation of a member is the latest that it reported to this node
        directly or that arrived in its record. A generation change alone is
        not gossiped.
        """
        return self._table.view

    def read_live(self) -> list[members_lib.Member]:
        """Returns the alive and suspected members, excluding this node."""
        return self._table.read_live()

    def read_dead(self) -> list[members_lib.Member]:
        """Returns the members declared dead."""
        return member_table.select_dead(self._table.view)

    def subscribe(self, listener: ViewListener) -> None:
        """Registers a listener that is called with the view after each change.

        Listeners run sequentially on a gossip thread and must not block.
        Reported generations do not count as a change.
        """
        with self._notify_lock:
            self._listeners.append(listener)

    def subscribe_generations(self, listener: GenerationListener) -> None:
        """Registers a listener that is called for each reported generation."""
        self._generation_listeners.append(listener)

    def choose_partner(
        self, cross_region_percent: int = partners.CROSS_REGION_PROBE_PERCENT
    ) -> members_lib.Member | None:
        """Returns the next gossip partner, None if no other node is live."""
        return self._partners.choose(self._table.view, cross_region_percent)

    def merge(
        self,
        records: Iterable[pb.MemberRecord],
        hash_range: fanout.HashRange | None = None,
    ) -> bool:
        """Merges newer records into the table and disseminates them.

        Args:
          records: Records from a peer.
          hash_range: Range to forward the changed records to, None if they
            did not arrive by a broadcast.

        Returns:
          Whether the view changed.
        """
        claims = list(member_table.decode_members(records))
        with self._lock:
            merged = self._table.merge(claims, time.monotonic())
            must_refute = (
                merged.claimed_incarnation is not None and not self._leaving
            )
            if must_refute:
                assert merged.claimed_incarnation is not None
                self._update_own_record(
                    refuted_incarnation=merged.claimed_incarnation
                )
        changed = [member.node_id for member in merged.changed]
        self._piggyback.add(changed, len(self._table.view))
        if hash_range is not None:
            self._broadcaster.forward(hash_range, changed)
        else:
            # Suspicions are broadcast so that the suspected node can refute
            # them before they expire.
            self._broadcaster.broadcast(
                member.node_id
                for member in merged.changed
                if member.state is members_lib.MemberState.SUSPECTED
            )
        if must_refute:
            logging.info("refuted a newer record of this node")
            self._broadcast_own_record()
        elif changed:
            self._notify_listeners()
        return bool(changed)

    def probe(self, member: members_lib.Member, timeout_s: float) -> bool:
        """Probes a member and waits; returns whether it answered."""
        return self._prober.probe(member, timeout_s)

    def prepare_probe(self, target: members_lib.Member) -> pb.ProbeRequest:
        """Returns a probe request for a member.

        It includes the record of the target if that is not alive, so that the
        target can refute it.
        """
        view = self._table.view
        return pb.ProbeRequest(
            sender=self._own_id,
            target=target.node_id,
            generation=self._configuration.current.generation,
            digest=self._table.digest,
            updates=self._select_updates(view.get(target.node_id)),
        )

    def answer_probe(self, request: pb.ProbeRequest) -> pb.ProbeReply:
        """Merges the updates of a probe and returns the reply."""
        self.merge(request.updates)
        sender = self._table.view.get(ids.NodeId(request.sender))
        if sender is not None:
            self._record_reported_generation(sender, request.generation)
        return pb.ProbeReply(
            responder=self._own_id,
            generation=self._configuration.current.generation,
            digest=self._table.digest,
            updates=self._select_updates(sender),
        )

    def process_probe_reply(
        self, target: members_lib.Member, reply: pb.ProbeReply
    ) -> bool:
        """Merges the updates; returns whether both table digests match."""
        self.merge(reply.updates)
        self._record_reported_generation(target, reply.generation)
        return reply.digest == self._table.digest

    def suspect(self, target: members_lib.Member) -> None:
        """Marks an unresponsive member as suspected and broadcasts this."""
        with self._lock:
            known = self._table.view.get(target.node_id)
            if (
                known is None
                or known.state is not members_lib.MemberState.ALIVE
                or known.incarnation != target.incarnation
            ):
                return
            self._table.replace(
                [
                    dataclasses.replace(
                        known, state=members_lib.MemberState.SUSPECTED
                    )
                ],
                time.monotonic(),
            )
        self._broadcaster.broadcast([target.node_id])
        self._notify_listeners()

    def run_maintenance(self) -> None:
        """Runs the periodic maintenance of the table and of the channels.

        Declares members dead whose suspicion has timed out and removes members
        that died or left more than `DEPARTED_RETENTION_S` ago. Less often,
        stores reported generations and closes channels to nodes that are
        neither live nor seeds.
        """
        with self._lock:
            changed = self._table.expire(time.monotonic(), DEPARTED_RETENTION_S)
        if changed:
            self._notify_listeners()
        self._maintenance_count += 1
        if (
            self._maintenance_count % GENERATION_UPDATE_PERIODS == 0
            and self._reported_generations
        ):
            self.update_generations()
        if self._maintenance_count % CHANNEL_CLEANUP_PERIODS == 0:
            kept = {member.control for member in self.read_live()}
            kept.update(map(ids.Address, self._settings.membership.seeds))
            self._channels.retain(kept)

    def prepare_synchronize_request(
        self, buckets: int
    ) -> pb.SynchronizeRequest:
        """Returns a request; 0 chooses the bucket count by the table size."""
        with self._lock:
            count = buckets or member_table.choose_bucket_count(
                len(self._table.view)
            )
            digests = self._table.compute_bucket_digests(count)
        return pb.SynchronizeRequest(
            sender=member_table.encode_member(self.read_self()),
            buckets=digests,
        )

    def answer_synchronize_request(
        self, request: pb.SynchronizeRequest
    ) -> pb.SynchronizeReply:
        """Returns the records of differing buckets, limited to one page.

        The buckets of the page are chosen at random.
        """
        self.merge([request.sender])
        count = len(request.buckets)
        own_digests = self._table.compute_bucket_digests(count)
        differing = [
            i for i in range(count) if own_digests[i] != request.buckets[i]
        ]
        random.shuffle(differing)
        groups = self._table.list_bucket_members(differing, count)
        kept, more = member_table.limit_groups(groups, MAX_RECORDS_PER_PAGE)
        return pb.SynchronizeReply(
            records=map(
                member_table.encode_member, itertools.chain.from_iterable(kept)
            ),
            differing=differing[: len(kept)],
            more=more,
        )

    def process_synchronize_reply(
        self, request: pb.SynchronizeRequest, reply: pb.SynchronizeReply
    ) -> tuple[bool, list[members_lib.Member]]:
        """Merges a reply and finds the records that the peer lacks.

        Returns:
          Whether the view changed, and the local records that are newer than
          those of the peer.
        """
        count = len(request.buckets)
        peer_records = {
            m.node_id: m for m in member_table.decode_members(reply.records)
        }
        newer = [
            member
            for member in itertools.chain.from_iterable(
                self._table.list_bucket_members(reply.differing, count)
            )
            if member.node_id not in peer_records
            or member_table.supersedes(member, peer_records[member.node_id])
        ]
        return self.merge(reply.records), newer

    def send_updates(
        self, address: ids.Address, records: list[members_lib.Member]
    ) -> None:
        """Sends records to one peer in messages of bounded size."""
        limit = self._settings.membership.max_updates_per_message
        for batch in member_table.split_batches(records, limit):
            self.caller.call(
                dissemination.BROADCAST,
                address,
                None,
                pb.BroadcastRequest(
                    sender=self._own_id,
                    updates=map(member_table.encode_member, batch),
                ),
                pb.BroadcastReply,
                dissemination.BROADCAST_TIMEOUT_S,
            )

    def _select_updates(
        self, receiver: members_lib.Member | None
    ) -> list[pb.MemberRecord]:
        view = self._table.view
        updates = self._piggyback.take(view)
        if (
            receiver is not None
            and receiver.state is not members_lib.MemberState.ALIVE
        ):
            updates.append(receiver)
        return [member_table.encode_member(member) for member in updates]

    def update_generations(self) -> None:
        """Stores the reported generations in the member records."""
        with self._lock:
            reported, self._reported_generations = (
                self._reported_generations,
                {},
            )
            self._table.replace(
                [
                    dataclasses.replace(
                        self._table.view[node_id], generation=generation
                    )
                    for node_id, generation in reported.items()
                    if node_id in self._table.view
                ],
                time.monotonic(),
            )

    def _record_reported_generation(
        self, member: members_lib.Member, generation: int
    ) -> None:
        reported = ids.Generation(generation)
        if member.generation != reported:
            with self._lock:
                self._reported_generations[member.node_id] = reported
        for listener in self._generation_listeners:
            listener(member, reported)

    def _update_own_record(
        self, refuted_incarnation: int = 0, **changes: Any
    ) -> None:
        own = self._table.view[self._own_id]
        incarnation = max(own.incarnation, refuted_incarnation) + 1
        self._table.replace(
            [dataclasses.replace(own, incarnation=incarnation, **changes)],
            time.monotonic(),
        )

    def _broadcast_own_record(self) -> None:
        self._piggyback.add([self._own_id], len(self._table.view))
        self._broadcaster.broadcast([self._own_id])
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        with self._notify_lock:
            for listener in self._listeners:
                listener(self._table.view)
