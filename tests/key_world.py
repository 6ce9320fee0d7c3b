"""Voters, claimants and a controller in memory, on a simulated network."""

import collections
import dataclasses
import itertools
import types

from lycheestair import claim_rounds
from lycheestair import configuration
from lycheestair import hand_over
from lycheestair import keys
from lycheestair import keys_pb2
from lycheestair import members
from lycheestair import ownership
from lycheestair import settings as settings_lib
from lycheestair import snapshot as snapshot_lib

TOPOLOGY = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
NODES = tuple(f"n-{domain}" for domain in TOPOLOGY)
STEP_S = 20.0
RUN_S = 100.0


def make_settings(domain, **requests):
    listeners = ("caller", "peer", "control", "local")
    return settings_lib._ADAPTER.validate_python(
        {
            "node": {
                "id": f"n-{domain}",
                "region": TOPOLOGY[domain],
                "failure_domain": domain,
            },
            "listeners": {
                name: f"127.0.0.1:{port}"
                for port, name in enumerate(listeners, 1)
            },
            "store": {"address": "127.0.0.1:1"},
            "topology": TOPOLOGY,
            "requests": requests,
        }
    )


def make_member(domain, incarnation, state=members.MemberState.ALIVE):
    return members.Member(
        f"n-{domain}", TOPOLOGY[domain], domain, "", "", incarnation, state
    )


class Process:
    """One life of a node."""

    def __init__(self, world, domain, incarnation, snapshot):
        self.domain = domain
        self.incarnation = incarnation
        self.paused = False
        self.configuration = configuration.ActiveConfiguration()
        self.configuration.activate(snapshot)
        membership = types.SimpleNamespace(
            read_self=lambda: make_member(domain, incarnation)
        )
        self.voter = keys.KeyVoter(
            make_settings(domain),
            self.configuration,
            membership,
            clock=lambda: world.now,
            wall_clock=lambda: world.now + world.wall_skew,
        )


@dataclasses.dataclass
class Claim:
    process: Process
    key: str
    round: claim_rounds.ClaimRound
    valid_until: float
    over: bool = False


@dataclasses.dataclass
class Message:
    source: Process
    target: str
    handle: object


class World:
    """All processes and the messages on their way.

    It keeps to what the design relies on: a node in contact to most failure
    domains learns of an epoch within PROPAGATION_S, and a node id has one
    running process.
    """

    def __init__(self):
        self.now = 1_000_000.0
        self.wall_skew = 0.0
        self.claim_ids = itertools.count(1)
        table = {n: make_member(n[2:], 1_000) for n in NODES}
        shard, *_ = ownership.plan_shards(
            snapshot_lib.EMPTY, table, make_settings("a1"), self.now
        )
        first = snapshot_lib.replace_resources(snapshot_lib.EMPTY, (shard,))
        self.history = [(self.now, first)]
        self.processes = {n: Process(self, n[2:], 1_000, first) for n in NODES}
        self.down = set()
        self.isolated = set()
        self.messages = []
        self.claims = []
        self.runs = {}
        self.advance(1.0)

    @property
    def head(self):
        return self.history[-1][1]

    def shard_of(self, process):
        return process.configuration.current.resources["shard/0"]

    def can_talk(self, source, target):
        return (source in self.isolated) == (target in self.isolated)

    def is_up(self, process):
        name = f"n-{process.domain}"
        return name not in self.down and self.processes[name] is process

    def advance(self, seconds):
        while seconds > 0:
            step = min(STEP_S, seconds)
            seconds -= step
            self.now += step
            for name, process in self.processes.items():
                if name in self.down | self.isolated or process.paused:
                    continue
                for accepted_at, snapshot in self.history:
                    if (
                        accepted_at + keys.MAX_EPOCH_PROPAGATION_S / 2
                        < self.now
                    ):
                        process.configuration.activate(snapshot)
                process.voter.mark_connected()
                process.voter.list_unready()

    def control(self, dead):
        """The controller replaces voters that it takes for dead."""
        table = {
            name: make_member(
                process.domain,
                process.incarnation,
                members.MemberState.DEAD
                if name in dead
                else members.MemberState.ALIVE,
            )
            for name, process in self.processes.items()
        }
        shards = ownership.plan_shards(
            self.head, table, make_settings("a1"), self.now
        )
        if shards:
            self.history.append(
                (
                    self.now,
                    snapshot_lib.replace_resources(self.head, tuple(shards)),
                )
            )

    def restart(self, name, generation_back=0):
        """Starts a new process without records; its snapshot may be old."""
        index = max(0, len(self.history) - 1 - generation_back)
        self.down.discard(name)
        self.processes[name] = Process(
            self, name[2:], int(self.now * 1000), self.history[index][1]
        )

    def start_claim(self, name, key):
        process = self.processes[name]
        shard = self.shard_of(process)
        request = keys_pb2.ClaimRequest(
            shard=0,
            epoch=shard.epoch,
            key=ownership.hash_key(key),
            claim_id=next(self.claim_ids).to_bytes(16),
            fingerprint=b"f",
            run_ms=int(RUN_S * 1000),
        )
        claim = Claim(
            process,
            key,
            claim_rounds.ClaimRound(shard, request, {}),
            self.now + RUN_S,
        )
        self.claims.append(claim)
        for voter in shard.voters:
            self.send(process, voter, lambda v: self._vote(v, claim))
        return claim

    def _vote(self, process, claim):
        reply = process.voter.claim(claim.round.request)
        name = f"n-{process.domain}"

        def receive(_):
            claim.round.replies.setdefault(name, reply)

        self.send(process, f"n-{claim.process.domain}", receive)

    def may_run(self, claim):
        return (
            not claim.over
            and claim.round.granted
            and self.is_up(claim.process)
            and not claim.process.paused
            and self.now < claim.valid_until
        )

    def run(self, claim):
        """The claimant sends the request to a backend server."""
        claim.over = True
        earlier = self.runs.setdefault(claim.key, [])
        retention = make_settings("a1").requests.key_retention_s
        assert all(self.now - at > retention for at in earlier), (
            claim.key,
            earlier,
            self.now,
        )
        earlier.append(self.now)

    def check_no_second_grant(self):
        """Fails if a majority would grant a key that ran a short time ago.

        Asks all processes directly: a network that lets one claim through
        would make a second run of it.
        """
        retention = make_settings("a1").requests.key_retention_s
        for key, times in self.runs.items():
            if self.now - times[-1] > retention:
                continue
            granted = collections.Counter(
                self.shard_of(process)
                for name, process in self.processes.items()
                if name not in self.down and self._would_grant(process, key)
            )
            for shard, count in granted.items():
                assert count < ownership.compute_quorum(shard), (key, shard)

    def _would_grant(self, process, key):
        request = keys_pb2.ClaimRequest(
            epoch=self.shard_of(process).epoch,
            key=ownership.hash_key(key),
            claim_id=next(self.claim_ids).to_bytes(16),
            fingerprint=b"f",
        )
        if process.voter.claim(request).verdict != keys_pb2.GRANTED:
            return False
        process.voter.settle(
            keys_pb2.SettleRequest(
                key=request.key,
                claim_id=request.claim_id,
                outcome=keys_pb2.NOT_RUN,
            )
        )
        return True

    def settle(self, claim, outcome):
        claim.over = True
        request = keys_pb2.SettleRequest(
            shard=0,
            key=claim.round.request.key,
            claim_id=claim.round.request.claim_id,
            outcome=outcome,
            fingerprint=b"f",
        )
        voters = {
            *claim.round.shard.voters,
            *self.shard_of(claim.process).voters,
        }
        for voter in sorted(voters):
            self.send(claim.process, voter, lambda p: p.voter.settle(request))

    def start_join(self, name):
        """A voter without records seals all others of its shard."""
        process = self.processes[name]
        for shard in process.voter.list_unready():
            replies = {}
            others = [v for v in shard.voters if v != name]
            for voter in others:
                self.send(
                    process,
                    voter,
                    lambda v, s=shard, r=replies: self._seal(v, process, s, r),
                )

    def _seal(self, process, joiner, shard, replies):
        chunks = list(
            hand_over.encode(process.voter.seal(0, shard.epoch), self.now)
        )
        name = f"n-{process.domain}"

        def receive(_):
            if not self.is_up(joiner):
                return
            replies.setdefault(name, hand_over.decode(chunks, lambda: self.now))
            others = [v for v in shard.voters if v != f"n-{joiner.domain}"]
            if len(replies) == len(others):
                joiner.voter.join(0, shard.epoch, [replies[v] for v in others])

        self.send(process, f"n-{joiner.domain}", receive)

    def send(self, source, target, handle):
        self.messages.append(Message(source, target, handle))

    def deliver(self, message, keep=False):
        """Delivers a message if it can be; `keep` leaves a duplicate."""
        target = self.processes[message.target]
        if (
            message.target in self.down
            or target.paused
            or not self.can_talk(f"n-{message.source.domain}", message.target)
        ):
            return
        if not keep:
            self.messages.remove(message)
        message.handle(target)

    def deliver_all(self, kept_from=()):
        """Delivers messages until none is left that can be delivered."""
        progress = True
        while progress:
            progress = False
            for message in list(self.messages):
                if message.target in kept_from:
                    continue
                before = len(self.messages)
                self.deliver(message)
                progress |= message not in self.messages or (
                    len(self.messages) != before
                )
