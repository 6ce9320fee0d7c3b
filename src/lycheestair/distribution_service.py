"""gRPC service for distribution calls of other nodes."""

from collections.abc import Callable
import threading
from typing import Final

from google.protobuf import message
import grpc

from lycheestair import distribution_pb2 as pb
from lycheestair import fanout
from lycheestair import fetcher as fetcher_lib
from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import membership as membership_lib
from lycheestair import pusher as pusher_lib
from lycheestair import replica as replica_lib
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib

BUSY_RETRY_AFTER_MS: Final = 200


class DistributionServicer:
    """Implements the `Distribution` gRPC service."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        membership: membership_lib.GossipMembership,
        replica: replica_lib.Replica,
        pusher: pusher_lib.Pusher,
        fetcher: fetcher_lib.Fetcher,
        add_report_fields: Callable[[pb.ReportReply], None],
    ):
        self._settings = settings
        self._membership = membership
        self._replica = replica
        self._pusher = pusher
        self._fetcher = fetcher
        self._add_report_fields = add_report_fields
        self._whole_snapshot_fetch_slots = threading.BoundedSemaphore(
            settings.distribution.max_concurrent_fetches
        )

    def Exchange(  # noqa: N802
        self, request: pb.ExchangeRequest, context: grpc.ServicerContext
    ) -> pb.ExchangeReply:
        """Returns the active generation; schedules a fetch of a newer one."""
        sender = self._find_member(request.sender)
        same_region = (
            sender is None or sender.region == self._settings.node.region
        )
        self._fetcher.schedule(
            ids.Address(request.address),
            sender.region if sender else None,
            request.generation,
            (
                fetcher_lib.OFFER_GRACE_S
                if request.offer
                else fetcher_lib.EXCHANGE_GRACE_S
            ),
            fetcher_lib.choose_push_ranges(request.offer or not same_region),
        )
        current = self._replica.current
        reply = pb.ExchangeReply(
            generation=current.generation,
            digest=bytes.fromhex(current.digest),
        )
        kind = "offer" if request.offer else "exchange"
        self._record_traffic(kind, request, reply)
        return reply

    def Push(  # noqa: N802
        self, request: pb.PushRequest, context: grpc.ServicerContext
    ) -> pb.PushReply:
        """Applies a delta and forwards it to the members in the hash range."""
        delta = replica_lib.decode_delta(request.delta)
        if delta is not None:
            self._apply_push(request, delta)
        reply = pb.PushReply(generation=self._replica.current.generation)
        self._record_traffic("push", request, reply)
        return reply

    def _apply_push(
        self, request: pb.PushRequest, delta: snapshot_lib.Delta
    ) -> None:
        outcome = self._replica.apply(delta)
        hash_range = fanout.HashRange(request.range_start, request.range_end)
        if outcome is replica_lib.Outcome.GAP:
            sender = self._find_member(request.sender)
            self._fetcher.schedule(
                ids.Address(request.address),
                sender.region if sender else None,
                delta.to_generation,
                0.0,
                frozenset({hash_range}),
            )
        elif outcome is not replica_lib.Outcome.REFUSED:
            if outcome is replica_lib.Outcome.ACTIVATED:
                self._replica.cache_encoded(delta, request.delta)
            # This node has to forward to the range even if it already has the
            # generation.
            self._pusher.push(hash_range, delta.from_generation)

    def Fetch(  # noqa: N802
        self, request: pb.FetchRequest, context: grpc.ServicerContext
    ) -> pb.FetchReply:
        """Returns a delta from the caller's generation to the active one.

        If this node does not have the caller's generation, the delta starts
        from the empty configuration. The reply has no delta if the caller is up
        to date or too many such fetches are in progress.
        """
        reply = self._serve_fetch(request, context)
        self._record_traffic("fetch", request, reply)
        return reply

    def Report(  # noqa: N802
        self, request: pb.ReportRequest, context: grpc.ServicerContext
    ) -> pb.ReportReply:
        """Returns the distribution state of this node."""
        current = self._replica.current
        sent = self._membership.traffic.read_sent()
        received = self._membership.traffic.read_received()
        report = pb.ReportReply(
            node_id=self._settings.node.id,
            generation=current.generation,
            digest=bytes.fromhex(current.digest),
            live_peers=len(self._membership.read_live()),
            activations=[
                pb.Activation(
                    generation=generation, activated_at_ms=activated_at * 1000
                )
                for generation, activated_at in self._replica.read_activations()
            ],
            traffic=[
                pb.TrafficCount(
                    kind=key.kind,
                    cross_region=key.cross_region,
                    sent=count,
                    received=received.get(key, 0),
                )
                for key, count in sent.items()
            ],
        )
        self._add_report_fields(report)
        return report

    def _serve_fetch(
        self, request: pb.FetchRequest, context: grpc.ServicerContext
    ) -> pb.FetchReply:
        if request.generation >= self._replica.current.generation:
            return pb.FetchReply()
        if request.generation and self._replica.has_base(
            request.generation, request.digest.hex()
        ):
            return pb.FetchReply(
                delta=self._replica.encode_since(request.generation)
            )
        if not self._whole_snapshot_fetch_slots.acquire(blocking=False):
            return pb.FetchReply(retry_after_ms=BUSY_RETRY_AFTER_MS)
        # The slot is held until the reply has been sent.
        if not context.add_callback(self._whole_snapshot_fetch_slots.release):
            self._whole_snapshot_fetch_slots.release()
        return pb.FetchReply(delta=self._replica.encode_since(0), whole=True)

    def _find_member(self, sender: str) -> members_lib.Member | None:
        return self._membership.read_members().get(ids.NodeId(sender))

    def _record_traffic(
        self, kind: str, request: message.Message, reply: message.Message
    ) -> None:
        sender = self._find_member(getattr(request, "sender", ""))
        self._membership.traffic.record_served(kind, sender, request, reply)
