"""In-memory simulation of voters, claimants and a controller on a network."""

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
MAX_STEP_S = 20.0
REQUEST_TIMEOUT_S = 100.0


def make_settings(domain, **requests):
    listeners = ("caller", "peer", "control", "local")
    return settings_lib._SETTINGS_ADAPTER.validate_python(
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
    """One process of a node, identified by its incarnation."""

    def __init__(self, cluster, domain, incarnation, snapshot):
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
            clock=lambda: cluster.now,
            wall_clock=lambda: cluster.now + cluster.wall_clock_skew_s,
        )


@dataclasses.dataclass
class Claim:
    process: Process
    key: str
    claim_round: claim_rounds.ClaimRound
    valid_until: float
    finished: bool = False


@dataclasses.dataclass
class Message:
    source: Process
    target: str
    handler: object


class SimulatedCluster:
    """All processes and the messages in transit.

    The simulation satisfies the assumptions of the design: a node connected to
    most failure domains learns of an epoch within MAX_EPOCH_PROPAGATION_S, and
    at most one process of a node id is running.
    """

    def __init__(self):
        self.now = 1_000_000.0
        self.wall_clock_skew_s = 0.0
        self.claim_ids = itertools.count(1)
        table = {n: make_member(n[2:], 1_000) for n in NODES}
        shard, *_ = ownership.plan_shards(
            snapshot_lib.EMPTY, table, make_settings("a1"), self.now
        )
        first_snapshot = snapshot_lib.replace_resources(
            snapshot_lib.EMPTY, (shard,)
        )
        self.snapshot_history = [(self.now, first_snapshot)]
        self.processes = {
            n: Process(self, n[2:], 1_000, first_snapshot) for n in NODES
        }
        self.stopped = set()
        self.isolated = set()
        self.messages = []
        self.claims = []
        self.run_times = {}
        self.advance(1.0)

    @property
    def latest_snapshot(self):
        return self.snapshot_history[-1][1]

    def get_shard(self, process):
        return process.configuration.current.resources["shard/0"]

    def can_communicate(self, source, target):
        return (source in self.isolated) == (target in self.isolated)

    def is_running(self, process):
        name = f"n-{process.domain}"
        return name not in self.stopped and self.processes[name] is process

    def advance(self, seconds):
        while seconds > 0:
            step = min(MAX_STEP_S, seconds)
            seconds -= step
            self.now += step
            for name, process in self.processes.items():
                if name in self.stopped | self.isolated or process.paused:
                    continue
                for accepted_at, snapshot in self.snapshot_history:
                    if (
                        accepted_at + keys.MAX_EPOCH_PROPAGATION_S / 2
                        < self.now
                    ):
                        process.configuration.activate(snapshot)
                process.voter.mark_connected()
                process.voter.list_unready_shards()

    def reassign_voters(self, dead):
        """Replaces voters like a controller that considers `dead` as failed."""
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
            self.latest_snapshot, table, make_settings("a1"), self.now
        )
        if shards:
            self.snapshot_history.append(
                (
                    self.now,
                    snapshot_lib.replace_resources(
                        self.latest_snapshot, tuple(shards)
                    ),
                )
            )

    def restart(self, name, generations_behind=0):
        """Starts a process without records at the latest or an old snapshot."""
        index = max(0, len(self.snapshot_history) - 1 - generations_behind)
        self.stopped.discard(name)
        self.processes[name] = Process(
            self,
            name[2:],
            int(self.now * 1000),
            self.snapshot_history[index][1],
        )

    def start_claim(self, name, key):
        process = self.processes[name]
        shard = self.get_shard(process)
        request = keys_pb2.ClaimRequest(
            shard=0,
            epoch=shard.epoch,
            key=ownership.hash_key(key),
            claim_id=next(self.claim_ids).to_bytes(16),
            fingerprint=b"f",
            run_ms=int(REQUEST_TIMEOUT_S * 1000),
        )
        claim = Claim(
            process,
            key,
            claim_rounds.ClaimRound(shard, request, {}),
            self.now + REQUEST_TIMEOUT_S,
        )
        self.claims.append(claim)
        for voter in shard.voters:
            self.send(
                process, voter, lambda target: self._handle_claim(target, claim)
            )
        return claim

    def _handle_claim(self, process, claim):
        reply = process.voter.claim(claim.claim_round.request)
        name = f"n-{process.domain}"

        def receive(_):
            claim.claim_round.replies.setdefault(name, reply)

        self.send(process, f"n-{claim.process.domain}", receive)

    def may_run(self, claim):
        return (
            not claim.finished
            and claim.claim_round.granted
            and self.is_running(claim.process)
            and not claim.process.paused
            and self.now < claim.valid_until
        )

    def run(self, claim):
        """Simulates the claimant sending the request to a backend server.

        Fails if a request with the key was sent within the retention time.
        """
        claim.finished = True
        previous_run_times = self.run_times.setdefault(claim.key, [])
        retention_s = make_settings("a1").requests.key_retention_s
        assert all(self.now - at > retention_s for at in previous_run_times), (
            claim.key,
            previous_run_times,
            self.now,
        )
        previous_run_times.append(self.now)

    def check_no_second_grant(self):
        """Fails if a majority would grant a key again within retention time.

        Passes claims to all processes directly: if the network delivered such
        claims, a second request would be sent.
        """
        retention_s = make_settings("a1").requests.key_retention_s
        for key, times in self.run_times.items():
            if self.now - times[-1] > retention_s:
                continue
            grant_counts = collections.Counter(
                self.get_shard(process)
                for name, process in self.processes.items()
                if name not in self.stopped and self._would_grant(process, key)
            )
            for shard, count in grant_counts.items():
                assert count < ownership.compute_quorum(shard), (key, shard)

    def _would_grant(self, process, key):
        request = keys_pb2.ClaimRequest(
            epoch=self.get_shard(process).epoch,
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
        claim.finished = True
        request = keys_pb2.SettleRequest(
            shard=0,
            key=claim.claim_round.request.key,
            claim_id=claim.claim_round.request.claim_id,
            outcome=outcome,
            fingerprint=b"f",
        )
        voters = {
            *claim.claim_round.shard.voters,
            *self.get_shard(claim.process).voters,
        }
        for voter in sorted(voters):
            self.send(
                claim.process,
                voter,
                lambda process: process.voter.settle(request),
            )

    def start_join(self, name):
        """Sends seal requests to the other voters of each shard to join."""
        process = self.processes[name]
        for shard in process.voter.list_unready_shards():
            replies = {}
            others = [v for v in shard.voters if v != name]
            for voter in others:
                self.send(
                    process,
                    voter,
                    lambda target, s=shard, r=replies: self._handle_seal(
                        target, process, s, r
                    ),
                )

    def _handle_seal(self, process, joiner, shard, replies):
        chunks = list(
            hand_over.encode(process.voter.seal(0, shard.epoch), self.now)
        )
        name = f"n-{process.domain}"

        def receive(_):
            if not self.is_running(joiner):
                return
            replies.setdefault(name, hand_over.decode(chunks, lambda: self.now))
            others = [v for v in shard.voters if v != f"n-{joiner.domain}"]
            if len(replies) == len(others):
                joiner.voter.join(0, shard.epoch, [replies[v] for v in others])

        self.send(process, f"n-{joiner.domain}", receive)

    def send(self, source, target, handler):
        self.messages.append(Message(source, target, handler))

    def deliver(self, message, keep_copy=False):
        """Delivers a message if its target is reachable.

        With `keep_copy`, the message stays in transit and may be delivered
        again.
        """
        target = self.processes[message.target]
        if (
            message.target in self.stopped
            or target.paused
            or not self.can_communicate(
                f"n-{message.source.domain}", message.target
            )
        ):
            return
        if not keep_copy:
            self.messages.remove(message)
        message.handler(target)

    def deliver_all(self, undelivered_to=()):
        """Delivers messages until no remaining one can be delivered."""
        delivered = True
        while delivered:
            delivered = False
            for message in list(self.messages):
                if message.target in undelivered_to:
                    continue
                previous_count = len(self.messages)
                self.deliver(message)
                delivered |= message not in self.messages or (
                    len(self.messages) != previous_count
                )
