"""Claims idempotency keys by majority vote of their shard's voters."""

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
# Exponential backoff with jitter between rounds, so that competing claims do
# not split the vote repeatedly.
INITIAL_BACKOFF_S: Final = 0.005
MAX_BACKOFF_S: Final = 0.25
# Time without replies from a majority after which a claim fails. gRPC channels
# take up to a second to reconnect after a restart or a partition.
QUORUM_REPLY_TIMEOUT_S: Final = 2.0
# Time for which a claim is retried while only an unreachable voter may hold the
# recorded response. The channel to that voter may have to reconnect as well.
ANSWER_WAIT_TIMEOUT_S: Final = QUORUM_REPLY_TIMEOUT_S
SETTLE_TIMEOUT_S: Final = 5.0
MAX_SETTLE_ATTEMPTS: Final = 3


class QuorumClaims:
    """Implements claims.KeyClaims by majority vote."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        configuration: configuration_lib.ActiveConfiguration,
        membership: members_lib.Membership,
        channels: control.PeerChannels,
        voter: keys_lib.KeyVoter,
    ):
        self._request_settings = settings.requests
        self._node_id = settings.node.node_id
        self._region = settings.node.region
        self._configuration = configuration
        self._membership = membership
        self._channels = channels
        self._local_voter = voter
        self._pending_settle_calls = 0
        self._settle_condition = threading.Condition()

    def claim(
        self, key: ids.IdempotencyKey, fingerprint: str, timeout_s: float
    ) -> claims.ClaimResult:
        """Implements claims.KeyClaims.claim."""
        max_timeout_s = (
            self._request_settings.key_retention_s
            * key_records.MAX_TIMEOUT_RETENTION_RATIO
        )
        if timeout_s > max_timeout_s:
            return errors.Failure(
                errors.ErrorKind.BAD_REQUEST,
                "deadline of a request with a key exceeds"
                f" {max_timeout_s:.0f} s",
            )
        last_quorum_reply_at = claims.read_clock()
        deadline = last_quorum_reply_at + timeout_s
        decisive_round = None
        answer_awaited_since = float("inf")
        for backoff_s in _generate_backoffs():
            shard = ownership.find_shard(self._configuration.current, key)
            if shard is None:
                return errors.Failure(
                    errors.ErrorKind.NO_QUORUM,
                    "no key voters are assigned",
                )
            claim_round = self._run_round(shard, key, fingerprint, deadline)
            if claim_round.granted:
                return self._build_grant(
                    key, fingerprint, claim_round, deadline
                )
            self._release_grants(claim_round)
            now = claims.read_clock()
            if claim_round.has_quorum_replies:
                last_quorum_reply_at = now
            if claim_rounds.awaits_answer(claim_round):
                answer_awaited_since = min(answer_awaited_since, now)
            # The last round may reach the deadline without replies. A conflict
            # found by an earlier round must still be reported, because the
            # request may be running.
            if (
                decisive_round is None
                or claim_round.has_conflict
                or not decisive_round.has_conflict
            ):
                decisive_round = claim_round
            if (
                claim_rounds.is_final(claim_round)
                or now - last_quorum_reply_at > QUORUM_REPLY_TIMEOUT_S
                or now - answer_awaited_since > ANSWER_WAIT_TIMEOUT_S
                or deadline - now <= backoff_s
            ):
                return claim_rounds.determine_result(decisive_round)
            time.sleep(backoff_s)
        raise AssertionError("unreachable: the backoff sequence is infinite")

    def complete(
        self, grant: claims.Grant, answer: claims.RecordedResponse | None
    ) -> None:
        """Implements claims.KeyClaims.complete."""
        request = _build_settle_request(grant)
        request.outcome = keys_pb2.RAN if answer else keys_pb2.LOST
        request_without_answer = keys_pb2.SettleRequest()
        request_without_answer.CopyFrom(request)
        if (
            answer
            and len(answer.body) <= self._request_settings.key_answer_max_bytes
        ):
            request.answer.CopyFrom(claim_rounds.encode_answer(answer))
        voters = self._list_current_voters(grant)
        regions = [self._find_region(voter) for voter in voters]
        # Responses are stored only in the region with the most voters. Sending
        # them to other regions would cause most of the cross-region traffic.
        storage_region = max(
            regions,
            key=lambda region: (regions.count(region), region == self._region),
            default=None,
        )
        for voter, region in zip(voters, regions, strict=True):
            self._settle(
                voter,
                request if region == storage_region else request_without_answer,
            )

    def release(self, grant: claims.Grant) -> None:
        """Implements claims.KeyClaims.release."""
        request = _build_settle_request(grant)
        request.outcome = keys_pb2.NOT_RUN
        for voter in self._list_current_voters(grant):
            self._settle(voter, request)

    def flush(self, timeout_s: float) -> bool:
        """Waits until all outcomes are delivered or no longer retried.

        Returns:
          False if the timeout expired first.
        """
        with self._settle_condition:
            return self._settle_condition.wait_for(
                lambda: self._pending_settle_calls == 0, timeout_s
            )

    def _run_round(
        self,
        shard: resources.Shard,
        key: ids.IdempotencyKey,
        fingerprint: str,
        deadline: float,
    ) -> claim_rounds.ClaimRound:
        started = claims.read_clock()
        remaining_s = max(0.0, deadline - started)
        request = keys_pb2.ClaimRequest(
            shard=shard.index,
            epoch=shard.epoch,
            key=ownership.hash_key(key),
            claim_id=uuid.uuid4().bytes,
            fingerprint=ownership.hash_key(fingerprint),
            run_ms=int(remaining_s * 1000),
        )
        replies: dict[ids.NodeId, keys_pb2.ClaimReply | None] = {}
        reply_queue: queue.SimpleQueue[
            tuple[ids.NodeId, keys_pb2.ClaimReply | None]
        ] = queue.SimpleQueue()
        timeout_s = min(remaining_s, ROUND_TIMEOUT_S)
        for voter in shard.voters:
            if voter != self._node_id:
                self._request_vote(voter, request, timeout_s, reply_queue)
        if self._node_id in shard.voters:
            reply_queue.put((self._node_id, self._local_voter.claim(request)))
        claim_round = claim_rounds.ClaimRound(shard, request, replies)
        while (
            len(replies) < len(shard.voters)
            and not claim_round.granted
            and claim_round.find_answer() is None
        ):
            try:
                wait_s = started + timeout_s - claims.read_clock()
                voter, reply = reply_queue.get(timeout=max(0.0, wait_s))
            except queue.Empty:
                break
            replies[voter] = reply
        return claim_round

    def _request_vote(
        self,
        voter: ids.NodeId,
        request: keys_pb2.ClaimRequest,
        timeout_s: float,
        reply_queue: "queue.SimpleQueue[Any]",
    ) -> None:
        stub = self._create_stub(voter)
        if stub is None:
            reply_queue.put((voter, None))
            return
        call = stub.Claim.future(request, timeout=timeout_s)
        call.add_done_callback(
            lambda call: reply_queue.put((voter, _get_result(call)))
        )

    def _build_grant(
        self,
        key: ids.IdempotencyKey,
        fingerprint: str,
        claim_round: claim_rounds.ClaimRound,
        deadline: float,
    ) -> claims.Grant:
        return claims.Grant(
            key,
            claim_round.request.claim_id.hex(),
            claim_round.shard.index,
            claim_round.shard.epoch,
            deadline,
            fingerprint,
        )

    def _release_grants(self, claim_round: claim_rounds.ClaimRound) -> None:
        request = keys_pb2.SettleRequest(
            shard=claim_round.request.shard,
            key=claim_round.request.key,
            claim_id=claim_round.request.claim_id,
            outcome=keys_pb2.NOT_RUN,
        )
        for voter in claim_round.shard.voters:
            reply = claim_round.replies.get(voter)
            # A voter that has not replied may still grant the claim.
            if reply is None or reply.verdict == keys_pb2.GRANTED:
                self._settle(voter, request, remaining_attempts=1)

    def _list_current_voters(self, grant: claims.Grant) -> list[ids.NodeId]:
        shard = self._configuration.current.resources.get(
            f"shard/{grant.shard}"
        )
        return list(shard.voters) if isinstance(shard, resources.Shard) else []

    def _settle(
        self,
        voter: ids.NodeId,
        request: keys_pb2.SettleRequest,
        remaining_attempts: int = MAX_SETTLE_ATTEMPTS,
    ) -> None:
        if voter == self._node_id:
            self._local_voter.settle(request)
            return
        stub = self._create_stub(voter)
        if stub is None:
            return
        with self._settle_condition:
            self._pending_settle_calls += 1
        try:
            call = stub.Settle.future(request, timeout=SETTLE_TIMEOUT_S)
            call.add_done_callback(
                functools.partial(
                    self._handle_settle_reply,
                    voter,
                    request,
                    remaining_attempts - 1,
                )
            )
        except ValueError as error:
            # The channel has been closed in the meantime.
            logging.warning(
                "could not send the outcome of an idempotency key to a voter:"
                " %s",
                error,
            )
            self._mark_settle_call_done()

    def _handle_settle_reply(
        self,
        voter: ids.NodeId,
        request: keys_pb2.SettleRequest,
        remaining_attempts: int,
        call: Any,
    ) -> None:
        try:
            if _get_result(call) is None and remaining_attempts > 0:
                self._settle(voter, request, remaining_attempts)
        finally:
            self._mark_settle_call_done()

    def _mark_settle_call_done(self) -> None:
        with self._settle_condition:
            self._pending_settle_calls -= 1
            self._settle_condition.notify_all()

    def _create_stub(self, voter: ids.NodeId) -> Any:
        member = self._membership.read_members().get(voter)
        if member is None:
            return None
        return keys_pb2_grpc.KeysStub(self._channels.connect(member.control))

    def _find_region(self, voter: ids.NodeId) -> ids.Region | None:
        member = self._membership.read_members().get(voter)
        return member.region if member else None


def _generate_backoffs() -> Iterator[float]:
    max_backoff_s = INITIAL_BACKOFF_S
    while True:
        yield random.uniform(max_backoff_s / 2, max_backoff_s)
        max_backoff_s = min(2 * max_backoff_s, MAX_BACKOFF_S)


def _get_result(call: Any) -> Any:
    if call.cancelled() or call.exception() is not None:
        return None
    return call.result()


def _build_settle_request(grant: claims.Grant) -> keys_pb2.SettleRequest:
    return keys_pb2.SettleRequest(
        shard=grant.shard,
        key=ownership.hash_key(grant.key),
        fingerprint=ownership.hash_key(grant.fingerprint),
        claim_id=bytes.fromhex(grant.claim_id),
    )
