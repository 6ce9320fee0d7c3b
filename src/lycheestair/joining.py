"""Threads that enable this node to vote in the key shards assigned to it."""

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

# Interval between steps while there is pending work (active) or none (idle).
# The idle interval limits the CPU time of nodes without work.
ACTIVE_INTERVAL_S: Final = 0.1
IDLE_INTERVAL_S: Final = 5.0
# Number of active intervals after a wake-up by a new snapshot, which becomes
# current only shortly after the subscribers have been called.
ACTIVE_INTERVALS_AFTER_UPDATE: Final = 10
SEAL_TIMEOUT_S: Final = 10.0
# After a pause of this process, its member table is stale until the failure
# detector has noticed which members are gone.
MAX_CONNECTIVITY_CHECK_GAP_S: Final = 2 * IDLE_INTERVAL_S
MEMBERSHIP_CONVERGENCE_S: Final = 10.0


class ShardJoiner:
    """Monitors connectivity to the fleet and joins the assigned shards."""

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
        self._stop_event = threading.Event()
        # Separate threads, because a seal request may block for so long that
        # the voter would be taken for disconnected.
        self._threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for name, target in (
                ("key-contact", self._run_connectivity_loop),
                ("key-joiner", self._run_join_loop),
            )
        ]
        self._wake_event = threading.Event()
        configuration.subscribe(lambda _: self._wake_event.set())
        self._last_check_at = clock()
        self._membership_trusted_from = self._last_check_at

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the threads."""
        self._stop_event.set()
        self._wake_event.set()
        for thread in self._threads:
            thread.join(SEAL_TIMEOUT_S)

    def check_connectivity(self) -> bool:
        """Informs the voter if most failure domains are reachable.

        Returns:
          Whether they are.
        """
        now = self._clock()
        if now - self._last_check_at > MAX_CONNECTIVITY_CHECK_GAP_S:
            self._membership_trusted_from = now + MEMBERSHIP_CONVERGENCE_S
        self._last_check_at = now
        if (
            now < self._membership_trusted_from
            or not ownership.has_majority_connectivity(
                self._membership.read_members(), self._settings
            )
        ):
            return False
        self._voter.mark_connected()
        return True

    def join_shards(self) -> bool:
        """Tries to join each assigned shard whose records this node lacks.

        Returns:
          Whether all of them have been joined.
        """
        self._voter.remove_expired_records()
        for shard in self._voter.list_unready_shards():
            if not self._stop_event.is_set():
                self._join_shard(shard)
        return not self._voter.list_unready_shards()

    def _run_connectivity_loop(self) -> None:
        while not self._stop_event.is_set():
            connected = _run_step(self.check_connectivity)
            self._stop_event.wait(
                IDLE_INTERVAL_S if connected else ACTIVE_INTERVAL_S
            )

    def _run_join_loop(self) -> None:
        remaining_active_intervals = 0
        while not self._stop_event.is_set():
            if self._wake_event.is_set():
                self._wake_event.clear()
                remaining_active_intervals = ACTIVE_INTERVALS_AFTER_UPDATE
            all_joined = _run_step(self.join_shards)
            remaining_active_intervals = (
                max(0, remaining_active_intervals - 1) if all_joined else 1
            )
            self._wake_event.wait(
                ACTIVE_INTERVAL_S
                if remaining_active_intervals
                else IDLE_INTERVAL_S
            )

    def _join_shard(self, shard: resources.Shard) -> None:
        other_voters = [
            voter
            for voter in shard.voters
            if voter != self._settings.node.node_id
        ]
        replies = [self._seal_voter(voter, shard) for voter in other_voters]
        received = [reply for reply in replies if reply is not None]
        if len(received) == len(other_voters) and self._voter.join(
            int(shard.index), shard.epoch, received
        ):
            logging.info(
                "joined key shard %d at epoch %d after receiving %d records",
                shard.index,
                shard.epoch,
                sum(len(reply.records) for reply in received),
            )

    def _seal_voter(
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
            logging.debug("could not seal key shard %d: %s", shard.index, error)
            return None


def _run_step(step: Callable[[], bool]) -> bool:
    try:
        return step()
    except Exception:  # A failed step must not end the thread.
        logging.exception("step of the key shard joiner failed")
        return False
