"""Threads that prepare this node to vote on the shards assigned to it."""

from collections.abc import Callable
import threading
from typing import Final

from absl import logging
import grpc

from lycheestair import claims
from lycheestair import configuration as configuration_lib
from lycheestair import control
from lycheestair import hand_over
from lycheestair import ids
from lycheestair import keys as keys_lib
from lycheestair import keys_pb2
from lycheestair import keys_pb2_grpc
from lycheestair import members as members_lib
from lycheestair import ownership
from lycheestair import resources
from lycheestair import settings as settings_lib

# Period of steps that have something to wait for, and of all others. The
# second one bounds the processor time of nodes that have nothing to do.
BUSY_PERIOD_S: Final = 0.1
IDLE_PERIOD_S: Final = 5.0
# A new snapshot comes into force shortly after its listeners have run.
WAKE_PERIODS: Final = 10
SEAL_TIMEOUT_S: Final = 10.0
# After a pause of this process its member table is out of date for as long as
# it takes to notice that members are gone.
MAX_GAP_S: Final = 2 * IDLE_PERIOD_S
SETTLE_S: Final = 10.0


class ShardJoiner:
    """Watches contact to the fleet and joins shards."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        configuration: configuration_lib.ActiveConfiguration,
        membership: members_lib.Membership,
        channels: control.PeerChannels,
        voter: keys_lib.KeyVoter,
        clock: Callable[[], float] = claims.read_clock,
    ):
        self._settings = settings
        self._membership = membership
        self._channels = channels
        self._voter = voter
        self._clock = clock
        self._stop = threading.Event()
        # A seal may block for long, which must not look like a lost contact.
        self._threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for name, target in (
                ("key-contact", self._watch),
                ("key-joiner", self._join_repeatedly),
            )
        ]
        self._wake = threading.Event()
        configuration.subscribe(lambda _: self._wake.set())
        self._ticked_at = clock()
        self._trusted_from = self._ticked_at

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the threads."""
        self._stop.set()
        self._wake.set()
        for thread in self._threads:
            thread.join(SEAL_TIMEOUT_S)

    def check_connectivity(self) -> bool:
        """Tells the voter if most failure domains can be reached."""
        now = self._clock()
        if now - self._ticked_at > MAX_GAP_S:
            self._trusted_from = now + SETTLE_S
        self._ticked_at = now
        if now < self._trusted_from or not ownership.has_majority_connectivity(
            self._membership.read_members(), self._settings
        ):
            return False
        self._voter.mark_connected()
        return True

    def join_shards(self) -> bool:
        """Tries to join each shard that lacks its records here.

        Returns:
          Whether no such shard is left.
        """
        self._voter.expire()
        for shard in self._voter.list_unready():
            if not self._stop.is_set():
                self._join(shard)
        return not self._voter.list_unready()

    def _watch(self) -> None:
        while not self._stop.is_set():
            connected = _try(self.check_connectivity)
            self._stop.wait(IDLE_PERIOD_S if connected else BUSY_PERIOD_S)

    def _join_repeatedly(self) -> None:
        busy = 0
        while not self._stop.is_set():
            if self._wake.is_set():
                self._wake.clear()
                busy = WAKE_PERIODS
            done = _try(self.join_shards)
            busy = max(0, busy - 1) if done else 1
            self._wake.wait(BUSY_PERIOD_S if busy else IDLE_PERIOD_S)

    def _join(self, shard: resources.Shard) -> None:
        others = [
            voter
            for voter in shard.voters
            if voter != self._settings.node.node_id
        ]
        replies = [self._seal(voter, shard) for voter in others]
        known = [reply for reply in replies if reply is not None]
        if len(known) == len(others) and self._voter.join(
            int(shard.index), shard.epoch, known
        ):
            logging.info(
                "joined key shard %d at epoch %d with %d records",
                shard.index,
                shard.epoch,
                sum(len(reply.records) for reply in known),
            )

    def _seal(
        self, voter: ids.NodeId, shard: resources.Shard
    ) -> hand_over.HandOver | None:
        member = self._membership.read_members().get(voter)
        if member is None:
            return None
        stub = keys_pb2_grpc.KeysStub(self._channels.connect(member.control))
        request = keys_pb2.SealRequest(shard=shard.index, epoch=shard.epoch)
        try:
            return hand_over.decode(
                stub.Seal(request, timeout=SEAL_TIMEOUT_S), self._clock
            )
        except (grpc.RpcError, ValueError) as error:
            logging.debug("shard %d not sealed: %s", shard.index, error)
            return None


def _try(step: Callable[[], bool]) -> bool:
    try:
        return step()
    except Exception:  # The thread must outlive any single failure.
        logging.exception("preparing to vote on keys failed")
        return False
