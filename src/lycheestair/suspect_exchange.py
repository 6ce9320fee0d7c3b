"""Gossip of suspects between nodes.

A node pushes a change to a few random peers, and each receiver whose table
changed pushes it on. Nodes with suspects also run a periodic anti-entropy
exchange with a random peer, which brings partitioned and restarted nodes up
to date. Nodes without suspects send nothing.
"""

from collections.abc import Sequence
from concurrent import futures
import random
import threading
from typing import Final

from absl import logging
import grpc

from lycheestair import control
from lycheestair import members as members_lib
from lycheestair import settings as settings_lib
from lycheestair import suspects as suspects_lib
from lycheestair import suspects_pb2 as pb
from lycheestair import suspects_pb2_grpc

FAN_OUT: Final = 4
EXCHANGE_PERIOD_S: Final = 2.0
CALL_TIMEOUT_S: Final = 0.5
SEND_THREADS: Final = 4
# A table with more suspects is sent over several periodic exchanges.
MAX_SUSPECTS_PER_MESSAGE: Final = 500


class SuspectExchange:
    """Synchronizes a node's suspects with those of its peers."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        table: suspects_lib.SuspectTable,
        channels: control.PeerChannels,
        membership: members_lib.Membership,
    ):
        self._settings = settings
        self._table = table
        self._channels = channels
        self._membership = membership
        self._random = random.Random()
        self._stopped = threading.Event()
        self._send_pool = futures.ThreadPoolExecutor(
            SEND_THREADS, thread_name_prefix="suspects"
        )
        self._thread = threading.Thread(
            target=self._exchange_periodically, name="suspects", daemon=True
        )
        table.on_change = self.push

    def register(self, server: grpc.Server) -> None:
        """Registers the service with the control server."""
        suspects_pb2_grpc.add_SuspectsServicer_to_server(self, server)

    def start(self) -> None:
        """Starts the periodic exchange."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the exchange and cancels queued messages."""
        self._stopped.set()
        self._send_pool.shutdown(wait=False, cancel_futures=True)

    def push(self, suspects: Sequence[suspects_lib.Suspect]) -> None:
        """Sends changed suspects to a few random peers in the background."""
        if not suspects or self._stopped.is_set():
            return
        message = _encode(suspects, whole=False)
        for peer in self._sample_peers(FAN_OUT):
            try:
                self._send_pool.submit(self._send, peer, message)
            except RuntimeError:
                return  # Stopped concurrently.

    def Exchange(  # noqa: N802
        self, request: pb.SuspectList, context: grpc.ServicerContext
    ) -> pb.SuspectList:
        """Merges a peer's suspects and returns those that it lacks."""
        received = _decode(request)
        self.push(self._table.merge(received))
        if not request.whole:
            return pb.SuspectList()
        known = {suspect.fingerprint: suspect for suspect in received}
        return _encode(
            [
                suspect
                for suspect in self._table.read_all()
                if known.get(suspect.fingerprint) != suspect
            ][:MAX_SUSPECTS_PER_MESSAGE],
            whole=False,
        )

    def _exchange_periodically(self) -> None:
        while not self._stopped.wait(EXCHANGE_PERIOD_S):
            try:
                self._table.expire()
                suspects = self._table.read_all()
                if suspects:
                    self._random.shuffle(suspects)
                    message = _encode(
                        suspects[:MAX_SUSPECTS_PER_MESSAGE], whole=True
                    )
                    for peer in self._sample_peers(1):
                        self._send(peer, message)
            except Exception:  # The next round may succeed.
                logging.exception("periodic exchange of suspects failed")

    def _sample_peers(self, count: int) -> list[members_lib.Member]:
        own_node_id = self._settings.node.node_id
        peers = [
            member
            for member in self._membership.read_members().values()
            if member.node_id != own_node_id
            and member.state is members_lib.MemberState.ALIVE
        ]
        return self._random.sample(peers, min(count, len(peers)))

    def _send(self, peer: members_lib.Member, message: pb.SuspectList) -> None:
        channel = self._channels.connect(peer.control)
        stub = suspects_pb2_grpc.SuspectsStub(channel)
        try:
            reply = stub.Exchange(message, timeout=CALL_TIMEOUT_S)
        except grpc.RpcError:
            return  # The periodic exchange delivers the suspects later.
        self._table.merge(_decode(reply))


def _encode(
    suspects: Sequence[suspects_lib.Suspect], whole: bool
) -> pb.SuspectList:
    """Encodes suspects.

    Args:
      suspects: Suspects to send.
      whole: Whether they are the sender's whole table or a random part of one
        that exceeds the message limit; the receiver then returns the suspects
        that the sender lacks.
    """
    return pb.SuspectList(
        whole=whole,
        suspects=[
            pb.SuspectRecord(
                fingerprint=suspect.fingerprint,
                method=suspect.method,
                route=suspect.route,
                crashes=[
                    pb.CrashRecord(id=crash.id, alone=crash.alone, at=crash.at)
                    for crash in suspect.crashes
                ],
                cleared=suspect.cleared,
            )
            for suspect in suspects
        ],
    )


def _decode(message: pb.SuspectList) -> list[suspects_lib.Suspect]:
    return [
        suspects_lib.Suspect(
            fingerprint=record.fingerprint,
            method=record.method,
            route=record.route,
            crashes=frozenset(
                suspects_lib.Crash(crash.id, crash.alone, crash.at)
                for crash in record.crashes
            ),
            cleared=frozenset(record.cleared),
        )
        for record in message.suspects
        if record.crashes
    ]
