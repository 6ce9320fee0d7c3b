"""Votes on claims of idempotency keys and keeps the records of the keys.

A request may run once the claim of its key has grants from a majority of the
shard's voters in one epoch. At most one claim gets such a majority:

- Within an epoch, any two majorities share a voter, and each voter is a single
  process: an epoch identifies its voters by node and incarnation, so a node
  that has restarted does not vote.
- If the next epoch replaces one voter, the new voter votes only after it has
  sealed the other voters, so that they refuse claims of earlier epochs, and has
  copied their records. Every majority of the new epoch therefore contains a
  voter that knows each earlier grant.
- If fewer than two voters hold the records, no claim gets a majority until all
  records of earlier epochs have expired, since voters that could not copy them
  wait for that long. By then, previous voters that have not learned of the new
  epoch have stopped voting, because they need connectivity to most failure
  domains.
"""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import threading
import time
from typing import Any
from typing import Final

import grpc

from lycheestair import claims
from lycheestair import configuration as configuration_lib
from lycheestair import control
from lycheestair import hand_over
from lycheestair import key_records
from lycheestair import keys_pb2
from lycheestair import keys_pb2_grpc
from lycheestair import members as members_lib
from lycheestair import resources
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib

FIRST_EPOCH: Final = 1
# Upper bound, with a margin, on the time for a new epoch to reach a voter that
# is connected to most failure domains, and for a voter to detect that it is no
# longer connected to them.
MAX_EPOCH_PROPAGATION_S: Final = 60.0
MAX_RELEASED_CLAIMS: Final = 4_096


def compute_closed_period_s(settings: settings_lib.RequestSettings) -> float:
    """Returns the time until all records of old epochs expire, in seconds."""
    return (
        settings.key_isolation_s
        + MAX_EPOCH_PROPAGATION_S
        + settings.key_retention_s
        * (1 + key_records.MAX_TIMEOUT_RETENTION_RATIO)
    )


@dataclasses.dataclass
class _ShardState:
    """State of a shard in this process.

    Attributes:
      sealed: Claims of epochs before this one are refused.
      active: Latest epoch in which this process held all records.
      latest_epoch: Latest epoch that a snapshot contained.
      latest_epoch_at: Time at which it was first seen, on the voter's clock.
    """

    sealed: int = 0
    active: int = 0
    latest_epoch: int = 0
    latest_epoch_at: float = 0.0


class KeyVoter:
    """Votes on claims in the shards that are assigned to this process."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        configuration: configuration_lib.ActiveConfiguration,
        membership: members_lib.Membership,
        clock: Callable[[], float] = claims.read_clock,
        wall_clock: Callable[[], float] = time.time,
    ):
        """Initializes the voter.

        The voter must be created before its node is announced to other nodes:
        it ignores epochs with a lower incarnation than the one that it reads
        here, since they refer to an earlier process of the node.

        Args:
          settings: Settings of the node.
          configuration: Source of the assignment of voters to shards.
          membership: Source of the incarnation of this process.
          clock: Monotonic time in seconds.
          wall_clock: Unix time in seconds.
        """
        self._request_settings = settings.requests
        self._node_id = settings.node.node_id
        self._configuration = configuration
        self._membership = membership
        self._initial_incarnation = membership.read_self().incarnation
        self._clock = clock
        self._wall_clock = wall_clock
        self._lock = threading.Lock()
        self._shard_states: dict[int, _ShardState] = {}
        self._records = key_records.RecordTable(
            self._request_settings.key_memory_max_bytes,
            self._request_settings.key_retention_s,
        )
        # A claim that arrives after its own release must not be granted.
        self._released_claims: OrderedDict[bytes, None] = OrderedDict()
        self._last_connected_at = float("-inf")
        self._assigned_shards_cache: tuple[
            snapshot_lib.Snapshot, tuple[resources.Shard, ...]
        ] = (
            snapshot_lib.EMPTY,
            (),
        )
        # Each epoch must be observed, also in shards without claims, because
        # activating an epoch depends on whether this process was active in the
        # previous one. The callback runs before the new snapshot becomes current
        # and observes the epochs of the snapshot that is about to be replaced.
        configuration.subscribe(self._observe_epochs)

    def register(self, server: control.ControlServer) -> None:
        """Registers the gRPC service at the control listener."""
        server.register(
            lambda grpc_server: keys_pb2_grpc.add_KeysServicer_to_server(
                _Servicer(self), grpc_server
            )
        )

    @property
    def record_count(self) -> int:
        """Number of stored records, including expired ones not yet removed."""
        return self._records.count

    def read_clock(self) -> float:
        """Returns the time in seconds on the clock used for grant times."""
        return self._clock()

    def mark_connected(self) -> None:
        """Marks this process as connected to most failure domains now."""
        self._last_connected_at = self._clock()

    def remove_expired_records(self) -> None:
        """Removes expired records."""
        with self._lock:
            self._records.remove_expired(self._clock())

    def claim(self, request: keys_pb2.ClaimRequest) -> keys_pb2.ClaimReply:
        """Votes on a claim."""
        with self._lock:
            now = self._clock()
            shard = self._find_shard(request.shard)
            epoch = shard.epoch if shard else 0
            state = self._update_state(request.shard, shard, now)
            if shard is None or not (
                request.epoch == epoch == state.sealed
                and self._node_id in shard.voters
            ):
                return keys_pb2.ClaimReply(
                    verdict=keys_pb2.WRONG_EPOCH, epoch=epoch
                )
            reply = self._reply_from_record(
                request, now
            ) or keys_pb2.ClaimReply(
                verdict=self._try_grant(request, shard, state, now)
            )
            reply.epoch = epoch
            return reply

    def settle(self, request: keys_pb2.SettleRequest) -> None:
        """Records the outcome of a granted request or releases its key."""
        with self._lock:
            now = self._clock()
            record = self._records.find(request.shard, request.key, now)
            if request.outcome == keys_pb2.NOT_RUN:
                self._release(request, record)
                return
            # Only the claim with a majority reports an outcome other than
            # NOT_RUN, so its outcome replaces the record of a losing claim.
            if record is None:
                # The outcome has arrived before the claim.
                record = key_records.Record(
                    request.claim_id, request.fingerprint, now, 0.0
                )
                if not self._records.insert(request.shard, request.key, record):
                    return
            if record.state != keys_pb2.RUNNING:
                return
            record.claim_id = request.claim_id
            record.fingerprint = request.fingerprint
            if request.outcome == keys_pb2.LOST:
                record.state = keys_pb2.UNKNOWN
                return
            record.state = keys_pb2.DONE
            answer = request.answer.SerializeToString()
            if 0 < len(answer) <= self._request_settings.key_answer_max_bytes:
                self._records.store_answer(request.shard, request.key, answer)

    def seal(self, index: int, epoch: int) -> hand_over.HandOver:
        """Refuses claims of earlier epochs from now on; returns the records."""
        with self._lock:
            now = self._clock()
            state = self._update_state(index, self._find_shard(index), now)
            if epoch < state.sealed:
                return hand_over.HandOver(False, 0, ())
            state.sealed = epoch
            return hand_over.HandOver(
                True,
                state.active,
                tuple(self._records.list_records(index, now)),
            )

    def join(
        self, index: int, epoch: int, hand_overs: Iterable[hand_over.HandOver]
    ) -> bool:
        """Takes over the records of all other voters and starts to vote.

        Args:
          index: Index of the shard.
          epoch: Epoch at which the other voters were sealed.
          hand_overs: Replies of the other voters, in the order of the shard's
            voters.

        Returns:
          Whether this process votes in the epoch.
        """
        replies = tuple(hand_overs)
        with self._lock:
            shard = self._find_shard(index)
            state = self._update_state(index, shard, self._clock())
            if shard is None or shard.epoch != epoch or state.sealed > epoch:
                return False
            if state.active == epoch:
                return True
            if not self._is_assigned(shard):
                return False
            assignment_epochs = [
                assignment_epoch
                for voter, assignment_epoch in zip(
                    shard.voters, shard.joined, strict=True
                )
                if voter != self._node_id
            ]
            if not all(
                reply.sealed and reply.active_epoch >= assignment_epoch
                for reply, assignment_epoch in zip(
                    replies, assignment_epochs, strict=True
                )
            ):
                return False
            if not self._records.replace_records(
                index, itertools.chain(*(reply.records for reply in replies))
            ):
                return False
            state.active = epoch
            return True

    def list_unready_shards(self) -> list[resources.Shard]:
        """Returns the assigned shards whose records this process lacks."""
        return [
            shard
            for shard, state in self._refresh_assigned_shards()
            if self._is_assigned(shard) and state.active < shard.epoch
        ]

    def _observe_epochs(self, _: snapshot_lib.Snapshot) -> None:
        self._refresh_assigned_shards()

    def _refresh_assigned_shards(
        self,
    ) -> list[tuple[resources.Shard, _ShardState]]:
        with self._lock:
            now = self._clock()
            return [
                (shard, self._update_state(int(shard.index), shard, now))
                for shard in self._list_assigned_shards()
            ]

    def _list_assigned_shards(self) -> tuple[resources.Shard, ...]:
        # Cached because this is called ten times a second, while snapshots hold
        # thousands of resources and change at most once a second.
        snapshot = self._configuration.current
        if self._assigned_shards_cache[0] is not snapshot:
            assigned = tuple(
                shard
                for shard in snapshot.select(resources.Shard)
                if self._node_id in shard.voters
            )
            self._assigned_shards_cache = (snapshot, assigned)
        return self._assigned_shards_cache[1]

    def _find_shard(self, index: int) -> resources.Shard | None:
        resource = self._configuration.current.resources.get(f"shard/{index}")
        return resource if isinstance(resource, resources.Shard) else None

    def _is_assigned(self, shard: resources.Shard) -> bool:
        if self._node_id not in shard.voters or not (
            len(shard.voters) == len(shard.lives) == len(shard.joined)
        ):
            return False
        assigned_incarnation = shard.lives[shard.voters.index(self._node_id)]
        current_incarnation = self._membership.read_self().incarnation
        return (
            self._initial_incarnation
            <= assigned_incarnation
            <= current_incarnation
        )

    def _update_state(
        self, index: int, shard: resources.Shard | None, now: float
    ) -> _ShardState:
        state = self._shard_states.setdefault(index, _ShardState())
        if shard is None:
            return state
        if shard.epoch > state.latest_epoch:
            state.latest_epoch, state.latest_epoch_at = shard.epoch, now
        state.sealed = max(state.sealed, shard.epoch)
        if state.active < shard.epoch and self._can_activate(state, shard, now):
            state.active = shard.epoch
        return state

    def _can_activate(
        self, state: _ShardState, shard: resources.Shard, now: float
    ) -> bool:
        if not self._is_assigned(shard):
            return False
        assignment_epoch = shard.joined[shard.voters.index(self._node_id)]
        if 0 < assignment_epoch <= state.active:
            return True
        # No records exist before the first epoch.
        if shard.epoch == FIRST_EPOCH:
            return True
        return now - state.latest_epoch_at > compute_closed_period_s(
            self._request_settings
        )

    def _reply_from_record(
        self, request: keys_pb2.ClaimRequest, now: float
    ) -> keys_pb2.ClaimReply | None:
        record = self._records.find(request.shard, request.key, now)
        if record is None:
            return None
        if record.fingerprint != request.fingerprint:
            return keys_pb2.ClaimReply(verdict=keys_pb2.REUSED)
        verdict = record.get_verdict(now)
        if record.claim_id == request.claim_id and verdict == keys_pb2.RUNNING:
            return keys_pb2.ClaimReply(verdict=keys_pb2.GRANTED)
        reply = keys_pb2.ClaimReply(verdict=verdict)
        if record.answer:
            reply.answer.ParseFromString(record.answer)
        return reply

    def _try_grant(
        self,
        request: keys_pb2.ClaimRequest,
        shard: resources.Shard,
        state: _ShardState,
        now: float,
    ) -> keys_pb2.Verdict:
        if self._wall_clock() < shard.closed_until:
            return keys_pb2.CLOSED
        if state.active < shard.epoch or (
            now - self._last_connected_at
            > self._request_settings.key_isolation_s
        ):
            return keys_pb2.NOT_READY
        if request.claim_id in self._released_claims:
            return keys_pb2.RELEASED
        record = key_records.Record(
            request.claim_id, request.fingerprint, now, request.run_ms / 1000
        )
        if not self._records.insert(request.shard, request.key, record):
            return keys_pb2.FULL
        return keys_pb2.GRANTED

    def _release(
        self,
        request: keys_pb2.SettleRequest,
        record: key_records.Record | None,
    ) -> None:
        self._released_claims[request.claim_id] = None
        if len(self._released_claims) > MAX_RELEASED_CLAIMS:
            self._released_claims.popitem(last=False)
        if (
            record is not None
            and record.claim_id == request.claim_id
            and record.state == keys_pb2.RUNNING
        ):
            self._records.remove(request.shard, request.key)


class _Servicer(keys_pb2_grpc.KeysServicer):  # type: ignore[misc]
    """gRPC service of a voter."""

    def __init__(self, voter: KeyVoter):
        self._voter = voter

    def Claim(  # noqa: N802
        self, request: keys_pb2.ClaimRequest, context: Any
    ) -> keys_pb2.ClaimReply:
        # The client no longer waits; a grant would only block the key.
        if not context.is_active():
            context.abort(
                grpc.StatusCode.CANCELLED,
                "claim was given up",
            )
        return self._voter.claim(request)

    def Settle(  # noqa: N802
        self, request: keys_pb2.SettleRequest, context: Any
    ) -> keys_pb2.SettleReply:
        self._voter.settle(request)
        return keys_pb2.SettleReply()

    def Seal(  # noqa: N802
        self, request: keys_pb2.SealRequest, context: Any
    ) -> Iterator[keys_pb2.SealChunk]:
        return hand_over.encode(
            self._voter.seal(request.shard, request.epoch),
            self._voter.read_clock(),
        )
