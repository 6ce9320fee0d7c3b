"""Claims of idempotency keys at the voters of their shards."""

from collections.abc import Iterator
import functools
import queue
import random
import threading
import time
from typing import Any
from typing import Final
import uuid

from absl import logging

from lycheestair import claim_rounds
from lycheestair import claims
from lycheestair import configuration as configuration_lib
from lycheestair import control
from lycheestair import errors
from lycheestair import ids
from lycheestair import key_records
from lycheestair import keys as keys_lib
from lycheestair import keys_pb2
from lycheestair import keys_pb2_grpc
from lycheestair import members as members_lib
from lycheestair import ownership
from lycheestair import resources
from lycheestair import settings as settings_lib

ROUND_TIMEOUT_S: Final = 1.0
# Losing claims wait between rounds, longer each time and by chance, so that
# two of them do not split the voters again and again.
FIRST_PAUSE_S: Final = 0.005
MAX_PAUSE_S: Final = 0.25
# Time without answers of a majority before the claim is refused. Channels
# need up to a second to connect again after a restart or a partition.
MAX_UNANSWERED_S: Final = 2.0
# Time to ask again for an answer that an unreachable voter may hold: a channel
# that connects again after a partition needs as long.
MAX_ANSWER_WAIT_S: Final = MAX_UNANSWERED_S
SETTLE_TIMEOUT_S: Final = 5.0
SETTLE_ATTEMPTS: Final = 3


class VotingClaims:
    """Implements claims.KeyClaims by a vote."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        configuration: configuration_lib.ActiveConfiguration,
        membership: members_lib.Membership,
        channels: control.PeerChannels,
        voter: keys_lib.KeyVoter,
    ):
        self._settings = settings.requests
        self._node_id = settings.node.node_id
        self._region = settings.node.region
        self._configuration = configuration
        self._membership = membership
        self._channels = channels
        self._voter = voter
        self._pending = 0
        self._settled = threading.Condition()

    def claim(
        self, key: ids.IdempotencyKey, fingerprint: str, timeout_s: float
    ) -> claims.ClaimOutcome:
        """Implements claims.KeyClaims.claim."""
        longest_s = self._settings.key_retention_s * key_records.MAX_RUN_SHARE
        if timeout_s > longest_s:
            return errors.Failure(
                errors.ErrorKind.BAD_REQUEST,
                f"deadline of a request with a key exceeds {longest_s:.0f} s",
            )
        answered_at = claims.read_clock()
        deadline = answered_at + timeout_s
        latest = None
        awaited_since = float("inf")
        for pause_s in _plan_pauses():
            shard = ownership.find_shard(self._configuration.current, key)
            if shard is None:
                return errors.Failure(
                    errors.ErrorKind.NO_QUORUM, "no key voters are assigned"
                )
            attempt = self._run_round(shard, key, fingerprint, deadline)
            if attempt.granted:
                return self._grant(key, fingerprint, attempt, deadline)
            self._release_all(attempt)
            now = claims.read_clock()
            if attempt.answered:
                answered_at = now
            if claim_rounds.awaits_answer(attempt):
                awaited_since = min(awaited_since, now)
            # The last round may end at the deadline without answers, but the
            # caller must still learn that its request may be running.
            if (
                latest is None
                or attempt.has_conflict
                or not latest.has_conflict
            ):
                latest = attempt
            if (
                claim_rounds.is_final(attempt)
                or now - answered_at > MAX_UNANSWERED_S
                or now - awaited_since > MAX_ANSWER_WAIT_S
                or deadline - now <= pause_s
            ):
                return claim_rounds.determine_result(latest)
            time.sleep(pause_s)
        raise AssertionError("pauses are endless")

    def complete(
        self, grant: claims.Grant, answer: claims.RecordedAnswer | None
    ) -> None:
        """Implements claims.KeyClaims.complete."""
        request = _start_settle(grant)
        request.outcome = keys_pb2.RAN if answer else keys_pb2.LOST
        marked = keys_pb2.SettleRequest()
        marked.CopyFrom(request)
        if answer and len(answer.body) <= self._settings.key_answer_max_bytes:
            request.answer.CopyFrom(claim_rounds.encode_answer(answer))
        voters = self._list_voters(grant)
        regions = [self._read_region(voter) for voter in voters]
        # Answers are kept in the region of most voters only: they would be
        # the largest part of the traffic between regions.
        home = max(
            regions,
            key=lambda region: (regions.count(region), region == self._region),
            default=None,
        )
        for voter, region in zip(voters, regions, strict=True):
            self._settle(voter, request if region == home else marked)

    def release(self, grant: claims.Grant) -> None:
        """Implements claims.KeyClaims.release."""
        request = _start_settle(grant)
        request.outcome = keys_pb2.NOT_RUN
        for voter in self._list_voters(grant):
            self._settle(voter, request)

    def flush(self, timeout_s: float) -> bool:
        """Waits until all outcomes are delivered or given up."""
        with self._settled:
            return self._settled.wait_for(lambda: self._pending == 0, timeout_s)

    def _run_round(
        self,
        shard: resources.Shard,
        key: ids.IdempotencyKey,
        fingerprint: str,
        deadline: float,
    ) -> claim_rounds.ClaimRound:
        started = claims.read_clock()
        left_s = max(0.0, deadline - started)
        request = keys_pb2.ClaimRequest(
            shard=shard.index,
            epoch=shard.epoch,
            key=ownership.hash_key(key),
            claim_id=uuid.uuid4().bytes,
            fingerprint=ownership.hash_key(fingerprint),
            run_ms=int(left_s * 1000),
        )
        replies: dict[ids.NodeId, keys_pb2.ClaimReply | None] = {}
        inbox: queue.SimpleQueue[
            tuple[ids.NodeId, keys_pb2.ClaimReply | None]
        ] = queue.SimpleQueue()
        timeout_s = min(left_s, ROUND_TIMEOUT_S)
        for voter in shard.voters:
            if voter != self._node_id:
                self._ask(voter, request, timeout_s, inbox)
        if self._node_id in shard.voters:
            inbox.put((self._node_id, self._voter.claim(request)))
        attempt = claim_rounds.ClaimRound(shard, request, replies)
        while (
            len(replies) < len(shard.voters)
            and not attempt.granted
            and attempt.find_answer() is None
        ):
            try:
                wait_s = started + timeout_s - claims.read_clock()
                voter, reply = inbox.get(timeout=max(0.0, wait_s))
            except queue.Empty:
                break
            replies[voter] = reply
        return attempt

    def _ask(
        self,
        voter: ids.NodeId,
        request: keys_pb2.ClaimRequest,
        timeout_s: float,
        inbox: "queue.SimpleQueue[Any]",
    ) -> None:
        stub = self._connect(voter)
        if stub is None:
            inbox.put((voter, None))
            return
        call = stub.Claim.future(request, timeout=timeout_s)
        call.add_done_callback(
            lambda call: inbox.put((voter, _read_result(call)))
        )

    def _grant(
        self,
        key: ids.IdempotencyKey,
        fingerprint: str,
        attempt: claim_rounds.ClaimRound,
        deadline: float,
    ) -> claims.Grant:
        return claims.Grant(
            key,
            attempt.request.claim_id.hex(),
            attempt.shard.index,
            attempt.shard.epoch,
            deadline,
            fingerprint,
        )

    def _release_all(self, attempt: claim_rounds.ClaimRound) -> None:
        request = keys_pb2.SettleRequest(
            shard=attempt.request.shard,
            key=attempt.request.key,
            claim_id=attempt.request.claim_id,
            outcome=keys_pb2.NOT_RUN,
        )
        for voter in attempt.shard.voters:
            reply = attempt.replies.get(voter)
            # A voter that has not answered may still grant.
            if reply is None or reply.verdict == keys_pb2.GRANTED:
                self._settle(voter, request, attempts=1)

    def _list_voters(self, grant: claims.Grant) -> list[ids.NodeId]:
        found = self._configuration.current.resources.get(
            f"shard/{grant.shard}"
        )
        return list(found.voters) if isinstance(found, resources.Shard) else []

    def _settle(
        self,
        voter: ids.NodeId,
        request: keys_pb2.SettleRequest,
        attempts: int = SETTLE_ATTEMPTS,
    ) -> None:
        if voter == self._node_id:
            self._voter.settle(request)
            return
        stub = self._connect(voter)
        if stub is None:
            return
        with self._settled:
            self._pending += 1
        try:
            call = stub.Settle.future(request, timeout=SETTLE_TIMEOUT_S)
            call.add_done_callback(
                functools.partial(
                    self._finish_settle, voter, request, attempts - 1
                )
            )
        except ValueError as error:
            # The channel was closed meanwhile.
            logging.warning("outcome of a key not recorded: %s", error)
            self._count_settled()

    def _finish_settle(
        self,
        voter: ids.NodeId,
        request: keys_pb2.SettleRequest,
        attempts: int,
        call: Any,
    ) -> None:
        try:
            if _read_result(call) is None and attempts > 0:
                self._settle(voter, request, attempts)
        finally:
            self._count_settled()

    def _count_settled(self) -> None:
        with self._settled:
            self._pending -= 1
            self._settled.notify_all()

    def _connect(self, voter: ids.NodeId) -> Any:
        member = self._membership.read_members().get(voter)
        if member is None:
            return None
        return keys_pb2_grpc.KeysStub(self._channels.connect(member.control))

    def _read_region(self, voter: ids.NodeId) -> ids.Region | None:
        member = self._membership.read_members().get(voter)
        return member.region if member else None


def _plan_pauses() -> Iterator[float]:
    longest_s = FIRST_PAUSE_S
    while True:
        yield random.uniform(longest_s / 2, longest_s)
        longest_s = min(2 * longest_s, MAX_PAUSE_S)


def _read_result(call: Any) -> Any:
    if call.cancelled() or call.exception() is not None:
        return None
    return call.result()


def _start_settle(grant: claims.Grant) -> keys_pb2.SettleRequest:
    return keys_pb2.SettleRequest(
        shard=grant.shard,
        key=ownership.hash_key(grant.key),
        fingerprint=ownership.hash_key(grant.fingerprint),
        claim_id=bytes.fromhex(grant.claim_id),
    )
