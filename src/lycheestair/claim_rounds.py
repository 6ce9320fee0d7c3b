"""Evaluation of the voters' replies in one round of a claim."""

from collections.abc import Mapping
import dataclasses
from typing import Final

from lycheestair import claims
from lycheestair import errors
from lycheestair import ids
from lycheestair import keys_pb2
from lycheestair import ownership
from lycheestair import resources

_CONFLICTING_VERDICTS: Final = (
    keys_pb2.RUNNING,
    keys_pb2.OVERDUE,
    keys_pb2.DONE,
    keys_pb2.UNKNOWN,
    keys_pb2.REUSED,
)


@dataclasses.dataclass(frozen=True)
class ClaimRound:
    """One attempt to obtain grants from a majority of the voters.

    Attributes:
      replies: Replies received so far, keyed by voter; None for a failed call.
    """

    shard: resources.Shard
    request: keys_pb2.ClaimRequest
    replies: Mapping[ids.NodeId, keys_pb2.ClaimReply | None]

    def count_replies(self, *verdicts: keys_pb2.Verdict) -> int:
        """Returns the number of replies with one of the verdicts."""
        return sum(
            reply is not None and reply.verdict in verdicts
            for reply in self.replies.values()
        )

    def find_answer(self) -> keys_pb2.Answer | None:
        """Returns the recorded response if a reply contains it."""
        answers = (
            reply.answer
            for reply in self.replies.values()
            if reply is not None and reply.HasField("answer")
        )
        return next(answers, None)

    @property
    def has_quorum_replies(self) -> bool:
        """Whether a majority of the voters replied."""
        replies = sum(reply is not None for reply in self.replies.values())
        return replies >= ownership.compute_quorum(self.shard)

    @property
    def has_conflict(self) -> bool:
        """Whether a voter has a record of another claim for the key."""
        return self.count_replies(*_CONFLICTING_VERDICTS) > 0

    @property
    def granted(self) -> bool:
        """Whether a majority granted and no voter has recorded an outcome."""
        return self.count_replies(keys_pb2.GRANTED) >= ownership.compute_quorum(
            self.shard
        ) and not self.count_replies(keys_pb2.DONE, keys_pb2.UNKNOWN)


def is_final(claim_round: ClaimRound) -> bool:
    """Returns whether further rounds cannot change the result."""
    return bool(
        claim_round.count_replies(keys_pb2.UNKNOWN, keys_pb2.REUSED)
        or (
            claim_round.count_replies(keys_pb2.DONE)
            and not awaits_answer(claim_round)
        )
        or claim_round.count_replies(
            keys_pb2.CLOSED, keys_pb2.FULL, keys_pb2.OVERDUE
        )
        >= ownership.compute_quorum(claim_round.shard)
    )


def awaits_answer(claim_round: ClaimRound) -> bool:
    """Returns whether a voter that has not replied may hold the response.

    Only the voters of one region store responses; the others only record that
    the request has been executed.
    """
    missing_replies = sum(
        claim_round.replies.get(voter) is None
        for voter in claim_round.shard.voters
    )
    return bool(
        missing_replies
        and claim_round.count_replies(keys_pb2.DONE)
        and claim_round.find_answer() is None
    )


def determine_result(claim_round: ClaimRound) -> claims.Replay | errors.Failure:
    """Returns the result of a failed claim from the replies of one round."""
    answer = claim_round.find_answer()
    if answer is not None:
        return claims.Replay(decode_answer(answer))
    kinds = errors.ErrorKind
    quorum = ownership.compute_quorum(claim_round.shard)
    # Each rule: verdicts, minimum number of replies with them, error kind. The
    # first rule that applies is used.
    rules = (
        ((keys_pb2.REUSED,), 1, kinds.KEY_REUSED),
        ((keys_pb2.DONE, keys_pb2.UNKNOWN), 1, kinds.RESULT_LOST),
        ((keys_pb2.RUNNING,), 1, kinds.IN_PROGRESS),
        ((keys_pb2.OVERDUE,), 1, kinds.RESULT_LOST),
        ((keys_pb2.FULL,), quorum, kinds.OVERLOADED),
        ((keys_pb2.CLOSED,), 1, kinds.SHARD_CLOSED),
    )
    for verdicts, min_count, kind in rules:
        if claim_round.count_replies(*verdicts) >= min_count:
            return errors.Failure(kind, f"shard {claim_round.shard.index}")
    return errors.Failure(
        kinds.NO_QUORUM,
        f"shard {claim_round.shard.index}: "
        + ", ".join(
            f"{voter}: "
            + (
                keys_pb2.Verdict.Name(reply.verdict).lower()
                if reply
                else "no answer"
            )
            for voter in claim_round.shard.voters
            for reply in (claim_round.replies.get(voter),)
        ),
    )


def encode_answer(answer: claims.RecordedResponse) -> keys_pb2.Answer:
    """Encodes a response for the voters."""
    return keys_pb2.Answer(
        status=answer.status,
        headers=[
            keys_pb2.Header(name=name, value=value)
            for name, value in answer.headers
        ],
        body=answer.body,
    )


def decode_answer(answer: keys_pb2.Answer) -> claims.RecordedResponse:
    """Decodes a response recorded by a voter."""
    return claims.RecordedResponse(
        answer.status,
        tuple((header.name, header.value) for header in answer.headers),
        answer.body,
    )
