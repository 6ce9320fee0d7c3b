"""Guards the replay of an answer that only some voters hold."""

import types

import key_world
import pytest

from lycheestair import claims
from lycheestair import configuration
from lycheestair import errors
from lycheestair import keys_pb2
from lycheestair import ownership
from lycheestair import snapshot as snapshot_lib
from lycheestair import voting

DONE = keys_pb2.ClaimReply(verdict=keys_pb2.DONE)
ANSWER = keys_pb2.ClaimReply(
    verdict=keys_pb2.DONE, answer=keys_pb2.Answer(status=200, body=b"answer")
)


class Call:

    def __init__(self, reply):
        self.reply = reply

    def add_done_callback(self, callback):
        callback(self)

    def cancelled(self):
        return self.reply is None

    def exception(self):
        return None

    def result(self):
        return self.reply


class Voter:
    """Gives the replies in order, the last one again and again."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.Claim = types.SimpleNamespace(future=self.claim)
        self.Settle = types.SimpleNamespace(future=lambda *_, **__: Call(True))

    def claim(self, request, timeout):
        del request, timeout
        return Call(
            self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        )


def make_claims(*replies):
    table = {n: key_world.make_member(n[2:], 1_000) for n in key_world.NODES}
    settings = key_world.make_settings("a1")
    shards = ownership.plan_shards(snapshot_lib.EMPTY, table, settings, 0.0)
    active = configuration.ActiveConfiguration()
    active.activate(
        snapshot_lib.replace_resources(snapshot_lib.EMPTY, tuple(shards[:1]))
    )
    shard = ownership.find_shard(active.current, "k")
    others = [n[2:] for n in key_world.NODES if n not in shard.voters]
    found = voting.VotingClaims(
        key_world.make_settings(others[0]), active, None, None, None
    )
    voters = dict(zip(shard.voters, map(Voter, replies), strict=True))
    found._connect = voters.get
    return found


@pytest.fixture(autouse=True)
def short_wait(monkeypatch):
    monkeypatch.setattr(voting, "ANSWER_WAIT_TIMEOUT_S", 0.3, raising=False)


def test_answer_is_awaited_from_a_voter_that_connects_again():
    outcome = make_claims([DONE], [DONE], [None, None, ANSWER]).claim(
        "k", "f", 5.0
    )
    assert isinstance(outcome, claims.Replay)
    assert outcome.answer.body == b"answer"


@pytest.mark.parametrize("third", [[DONE], [None]])
def test_answer_that_nobody_has_is_reported_as_lost(third):
    outcome = make_claims([DONE], [DONE], third).claim("k", "f", 5.0)
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.ErrorKind.RESULT_LOST
