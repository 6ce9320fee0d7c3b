"""gRPC service for membership calls of other nodes."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Protocol

from google.protobuf import message
import grpc

from lycheestair import fanout
from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import membership_pb2 as pb
from lycheestair import prober as prober_lib
from lycheestair import traffic as traffic_lib


class MembershipHandler(Protocol):
    """Membership operations that the service calls."""

    def read_members(self) -> Mapping[ids.NodeId, members_lib.Member]:
        """Returns all known nodes."""

    def merge(
        self,
        records: Iterable[pb.MemberRecord],
        hash_range: fanout.HashRange | None = None,
    ) -> bool:
        """Merges newer records and disseminates them."""

    def answer_probe(self, request: pb.ProbeRequest) -> pb.ProbeReply:
        """Merges the updates of a probe and returns the reply."""

    def answer_synchronize_request(
        self, request: pb.SynchronizeRequest
    ) -> pb.SynchronizeReply:
        """Returns the records of differing buckets."""


class MembershipServicer:
    """Implements the `Membership` gRPC service."""

    def __init__(
        self,
        membership: MembershipHandler,
        prober: prober_lib.Prober,
        traffic: traffic_lib.Traffic,
    ):
        self._membership = membership
        self._prober = prober
        self._traffic = traffic

    def Probe(  # noqa: N802
        self, request: pb.ProbeRequest, context: grpc.ServicerContext
    ) -> pb.ProbeReply:
        """Answers a probe."""
        reply = self._membership.answer_probe(request)
        self._record_traffic("probe", request.sender, request, reply)
        return reply

    def ProbeIndirectly(  # noqa: N802
        self, request: pb.IndirectProbeRequest, context: grpc.ServicerContext
    ) -> pb.IndirectProbeReply:
        """Probes a third node on behalf of the caller."""
        target = self._membership.read_members().get(ids.NodeId(request.target))
        # Leaves half of the remaining deadline for returning the reply.
        timeout_s = context.time_remaining() / 2
        alive = target is not None and self._prober.probe(target, timeout_s)
        reply = pb.IndirectProbeReply(alive=alive)
        self._record_traffic("indirect_probe", request.sender, request, reply)
        return reply

    def Broadcast(  # noqa: N802
        self, request: pb.BroadcastRequest, context: grpc.ServicerContext
    ) -> pb.BroadcastReply:
        """Merges updates and forwards them to the members in the hash range."""
        self._membership.merge(
            request.updates,
            fanout.HashRange(request.range_start, request.range_end),
        )
        reply = pb.BroadcastReply()
        self._record_traffic("broadcast", request.sender, request, reply)
        return reply

    def Synchronize(  # noqa: N802
        self, request: pb.SynchronizeRequest, context: grpc.ServicerContext
    ) -> pb.SynchronizeReply:
        """Returns the records of buckets whose digests differ."""
        if not request.buckets:
            context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                "no buckets",
            )
        reply = self._membership.answer_synchronize_request(request)
        self._record_traffic(
            "synchronize", request.sender.node_id, request, reply
        )
        return reply

    def _record_traffic(
        self,
        kind: str,
        sender: str,
        request: message.Message,
        reply: message.Message,
    ) -> None:
        view = self._membership.read_members()
        self._traffic.record_served(
            kind, view.get(ids.NodeId(sender)), request, reply
        )
