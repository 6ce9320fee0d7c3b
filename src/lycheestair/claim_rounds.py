"""Rounds of a claim: the replies of all voters and what follows from them."""

from collections.abc import Mapping
import dataclasses
from typing import Final

from lycheestair import claims
from lycheestair import errors
from lycheestair import ids
from lycheestair import keys_pb2
from lycheestair import ownership
from lycheestair import resources

_OTHER_CLAIM: Final = (
    keys_pb2.RUNNING,
    keys_pb2.OVERDUE,
    keys_pb2.DONE,
    keys_pb2.UNKNOWN,
    keys_pb2.REUSED,
)


@dataclasses.dataclass(frozen=True)
class ClaimRound:
    """One attempt to get a majority of grants.

    Attributes:
      replies: Replies by voter; None when a voter gave none.
    """

    shard: resources.Shard
    request: keys_pb2.ClaimRequest
    replies: Mapping[ids.NodeId, keys_pb2.ClaimReply | None]

    def count(self, *verdicts: keys_pb2.Verdict) -> int:
        """Returns the number of voters with one of the verdicts."""
        return sum(
            reply is not None and reply.verdict in verdicts
            for reply in self.replies.values()
        )

    def find_answer(self) -> keys_pb2.Answer | None:
        """Returns the recorded answer if a voter has it."""
        answers = (
            reply.answer
            for reply in self.replies.values()
            if reply is not None and reply.HasField("answer")
        )
        return next(answers, None)

    @property
    def answered(self) -> bool:
        """Whether a majority replied."""
        replies = sum(reply is not None for reply in self.replies.values())
        return replies >= ownership.compute_quorum(self.shard)

    @property
    def blocked(self) -> bool:
        """Whether a voter knows of another claim for the key."""
        return self.count(*_OTHER_CLAIM) > 0

    @property
    def granted(self) -> bool:
        """Whether a majority granted and none knows an outcome."""
        return self.count(keys_pb2.GRANTED) >= ownership.compute_quorum(
            self.shard
        ) and not self.count(keys_pb2.DONE, keys_pb2.UNKNOWN)


def is_final(attempt: ClaimRound) -> bool:
    """Returns whether another round can't have another result."""
    return bool(
        attempt.count(keys_pb2.UNKNOWN, keys_pb2.REUSED)
        or (attempt.count(keys_pb2.DONE) and not awaits_answer(attempt))
        or attempt.count(keys_pb2.CLOSED, keys_pb2.FULL, keys_pb2.OVERDUE)
        >= ownership.compute_quorum(attempt.shard)
    )


def awaits_answer(attempt: ClaimRound) -> bool:
    """Returns whether a voter that has not replied may hold the answer.

    Only the voters of one region keep answers; the others know that the
    request has run.
    """
    silent = sum(
        attempt.replies.get(voter) is None for voter in attempt.shard.voters
    )
    return bool(
        silent
        and attempt.count(keys_pb2.DONE)
        and attempt.find_answer() is None
    )


def explain(attempt: ClaimRound) -> claims.Replay | errors.Failure:
    """Returns what the caller is told after the last round."""
    answer = attempt.find_answer()
    if answer is not None:
        return claims.Replay(decode_answer(answer))
    kinds = errors.ErrorKind
    quorum = ownership.compute_quorum(attempt.shard)
    # The first row that applies: verdicts, voters needed, kind of refusal.
    table = (
        ((keys_pb2.REUSED,), 1, kinds.KEY_REUSED),
        ((keys_pb2.DONE, keys_pb2.UNKNOWN), 1, kinds.RESULT_LOST),
        ((keys_pb2.RUNNING,), 1, kinds.IN_PROGRESS),
        ((keys_pb2.OVERDUE,), 1, kinds.RESULT_LOST),
        ((keys_pb2.FULL,), quorum, kinds.OVERLOADED),
        ((keys_pb2.CLOSED,), 1, kinds.SHARD_CLOSED),
    )
    for verdicts, needed, kind in table:
        if attempt.count(*verdicts) >= needed:
            return errors.Failure(kind, f"shard {attempt.shard.index}")
    return errors.Failure(
        kinds.NO_QUORUM,
        f"shard {attempt.shard.index}: "
        + ", ".join(
            f"{voter}: "
            + (
                keys_pb2.Verdict.Name(reply.verdict).lower()
                if reply
                else "no answer"
            )
            for voter in attempt.shard.voters
            for reply in (attempt.replies.get(voter),)
        ),
    )


def encode_answer(answer: claims.RecordedAnswer) -> keys_pb2.Answer:
    """Encodes an answer for the voters."""
    return keys_pb2.Answer(
        status=answer.status,
        headers=[
            keys_pb2.Header(name=name, value=value)
            for name, value in answer.headers
        ],
        body=answer.body,
    )


def decode_answer(answer: keys_pb2.Answer) -> claims.RecordedAnswer:
    """Decodes an answer of a voter."""
    return claims.RecordedAnswer(
        answer.status,
        tuple((header.name, header.value) for header in answer.headers),
        answer.body,
    )
