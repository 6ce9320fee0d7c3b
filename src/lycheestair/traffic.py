"""Calls to peers, and counters of the bytes of control messages."""

import collections
from collections.abc import Mapping
import dataclasses
import threading
from typing import Final
from typing import TypeVar

from google.protobuf import message
import grpc

from lycheestair import control
from lycheestair import ids
from lycheestair import members as members_lib

# Overhead of a unary gRPC call in each direction: HTTP/2 frames and headers,
# and TCP/IP headers.
CALL_OVERHEAD_BYTES: Final = 200

Reply = TypeVar("Reply", bound=message.Message)


@dataclasses.dataclass(frozen=True)
class TrafficClass:
    """Labels by which control bytes are counted.

    Attributes:
      kind: Kind of the call, such as "probe".
      cross_region: Whether the peer is in another region.
    """

    kind: str
    cross_region: bool


class Traffic:
    """Counters of control bytes, including call overhead. Thread-safe."""

    def __init__(self, region: ids.Region):
        self._region = region
        self._lock = threading.Lock()
        self._sent: collections.Counter[TrafficClass] = collections.Counter()
        self._received: collections.Counter[TrafficClass] = (
            collections.Counter()
        )

    def record(self, key: TrafficClass, sent: int, received: int) -> None:
        """Adds an outgoing or served call, with its message sizes in bytes."""
        with self._lock:
            self._sent[key] += sent + CALL_OVERHEAD_BYTES
            self._received[key] += received + CALL_OVERHEAD_BYTES

    def record_served(
        self,
        kind: str,
        sender: members_lib.Member | None,
        request: message.Message,
        reply: message.Message,
    ) -> None:
        """Adds a served call; unknown senders count as in the same region."""
        cross_region = sender is not None and sender.region != self._region
        self.record(
            TrafficClass(kind, cross_region),
            reply.ByteSize(),
            request.ByteSize(),
        )

    def read_sent(self) -> Mapping[TrafficClass, int]:
        """Returns the bytes sent (`control_bytes_sent`)."""
        with self._lock:
            return dict(self._sent)

    def read_received(self) -> Mapping[TrafficClass, int]:
        """Returns the bytes received (`control_bytes_received`)."""
        with self._lock:
            return dict(self._received)


@dataclasses.dataclass(frozen=True)
class PeerMethod:
    """gRPC method that nodes call on each other.

    Attributes:
      path: Path of the gRPC method, "/package.Service/Method".
      kind: Kind of call under which its bytes are counted.
    """

    path: str
    kind: str


class PeerCaller:
    """Calls peers and counts the bytes sent and received."""

    def __init__(
        self,
        channels: control.PeerChannels,
        traffic: Traffic,
        region: ids.Region,
    ):
        self._channels = channels
        self._traffic = traffic
        self._region = region

    def call(
        self,
        call: PeerMethod,
        address: ids.Address,
        region: ids.Region | None,
        request: message.Message,
        reply_type: type[Reply],
        timeout_s: float,
    ) -> Reply | None:
        """Calls a peer and waits for the reply.

        Args:
          call: Method to call.
          address: Address of the peer's control listener.
          region: Region of the peer, or None if unknown.
          request: Message to send.
          reply_type: Type of the reply.
          timeout_s: Time limit in seconds.

        Returns:
          The reply, or None if the call failed or timed out.
        """
        request_data = request.SerializeToString()
        traffic_class = TrafficClass(
            call.kind, region is not None and region != self._region
        )
        try:
            reply_data = self._channels.connect(address).unary_unary(
                call.path, None, None
            )(request_data, timeout=timeout_s)
        # A channel that was closed meanwhile raises ValueError.
        except (grpc.RpcError, ValueError):
            self._traffic.record(traffic_class, len(request_data), 0)
            return None
        self._traffic.record(traffic_class, len(request_data), len(reply_data))
        reply = reply_type()
        reply.ParseFromString(reply_data)
        return reply
