"""Checks the replay of a response that is stored by only some voters."""

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


class FakeCall:

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


class FakeVoterStub:
    """Returns the replies in order, then the last one repeatedly."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.Claim = types.SimpleNamespace(future=self.claim)
        self.Settle = types.SimpleNamespace(
            future=lambda *_, **__: FakeCall(True)
        )

    def claim(self, request, timeout):
        del request, timeout
        return FakeCall(
            self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        )


def make_quorum_claims(*replies):
    table = {n: key_world.make_member(n[2:], 1_000) for n in key_world.NODES}
    settings = key_world.make_settings("a1")
    shards = ownership.plan_shards(snapshot_lib.EMPTY, table, settings, 0.0)
    active_configuration = configuration.ActiveConfiguration()
    active_configuration.activate(
        snapshot_lib.replace_resources(snapshot_lib.EMPTY, tuple(shards[:1]))
    )
    shard = ownership.find_shard(active_configuration.current, "k")
    other_domains = [n[2:] for n in key_world.NODES if n not in shard.voters]
    quorum_claims = voting.QuorumClaims(
        key_world.make_settings(other_domains[0]),
        active_configuration,
        None,
        None,
        None,
    )
    voters = dict(zip(shard.voters, map(FakeVoterStub, replies), strict=True))
    quorum_claims._create_stub = voters.get
    return quorum_claims


@pytest.fixture(autouse=True)
def shorten_answer_wait(monkeypatch):
    monkeypatch.setattr(voting, "ANSWER_WAIT_TIMEOUT_S", 0.3, raising=False)


def test_answer_is_awaited_from_a_voter_that_reconnects():
    outcome = make_quorum_claims([DONE], [DONE], [None, None, ANSWER]).claim(
        "k", "f", 5.0
    )
    assert isinstance(outcome, claims.Replay)
    assert outcome.answer.body == b"answer"


@pytest.mark.parametrize("third_voter_replies", [[DONE], [None]])
def test_answer_held_by_no_voter_is_reported_as_lost(third_voter_replies):
    outcome = make_quorum_claims([DONE], [DONE], third_voter_replies).claim(
        "k", "f", 5.0
    )
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.ErrorKind.RESULT_LOST
