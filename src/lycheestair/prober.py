"""Failure detector: direct and indirect probes, and table synchronization."""

from concurrent import futures
import random
import threading
import time
from typing import Final
from typing import Protocol

from lycheestair import ids
from lycheestair import members as members_lib
from lycheestair import membership_pb2 as pb
from lycheestair import settings as settings_lib
from lycheestair import traffic as traffic_lib

_SERVICE: Final = "/lycheestair.membership.Membership/"
PROBE: Final = traffic_lib.PeerMethod(_SERVICE + "Probe", "probe")
PROBE_INDIRECTLY: Final = traffic_lib.PeerMethod(
    _SERVICE + "ProbeIndirectly", "indirect_probe"
)
SYNCHRONIZE: Final = traffic_lib.PeerMethod(
    _SERVICE + "Synchronize", "synchronize"
)
SYNCHRONIZE_TIMEOUT_S: Final = 1.0
# A seed is contacted in every period while fewer peers than this are live.
MIN_LIVE_PEERS: Final = 3
# Periods between contacts to seeds that are not known to be live.
SEED_CONTACT_PERIODS: Final = 10
# Tables differ briefly after each change, so a single digest mismatch does not
# start a synchronization.
MISMATCHES_BEFORE_SYNCHRONIZING: Final = 2
MAX_SYNCHRONIZE_PAGES: Final = 64
# Bucket digests in each request until this node has synchronized once.
JOIN_BUCKET_COUNT: Final = 256
# Each failed probe raises the health score of this node, which extends its
# probe timeout, because the cause may be this node rather than the target.
MAX_HEALTH_SCORE: Final = 4


class ProberMembership(Protocol):
    """Membership operations that the failure detector uses."""

    def read_self(self) -> members_lib.Member:
        """Returns the record of this node."""

    def read_live(self) -> list[members_lib.Member]:
        """Returns the live members, excluding this node."""

    def read_dead(self) -> list[members_lib.Member]:
        """Returns the members declared dead."""

    def choose_partner(self) -> members_lib.Member | None:
        """Returns the next member to probe."""

    def prepare_probe(self, target: members_lib.Member) -> pb.ProbeRequest:
        """Returns a probe request with updates."""

    def process_probe_reply(
        self, target: members_lib.Member, reply: pb.ProbeReply
    ) -> bool:
        """Merges the updates; returns whether both table digests match."""

    def suspect(self, target: members_lib.Member) -> None:
        """Marks an unresponsive member as suspected."""

    def run_maintenance(self) -> None:
        """Declares members dead whose suspicion has timed out."""

    def prepare_synchronize_request(
        self, buckets: int
    ) -> pb.SynchronizeRequest:
        """Returns a request with the bucket digests of the table."""

    def process_synchronize_reply(
        self, request: pb.SynchronizeRequest, reply: pb.SynchronizeReply
    ) -> tuple[bool, list[members_lib.Member]]:
        """Merges a reply.

        Returns:
          Whether the view changed, and the local records that are newer than
          those of the peer.
        """

    def send_updates(
        self, address: ids.Address, records: list[members_lib.Member]
    ) -> None:
        """Sends records to one peer."""


class Prober:
    """Probes one peer per period on a background thread."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        caller: traffic_lib.PeerCaller,
        membership: ProberMembership,
    ):
        self._settings = settings.membership
        self._own_address = settings.control_address
        self._caller = caller
        self._membership = membership
        self._stop = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            settings.membership.indirect_probes + 2,
            thread_name_prefix="prober",
        )
        self._thread = threading.Thread(
            target=self._run, name="prober", daemon=True
        )
        self._health_score = 0
        self._digest_mismatches = 0
        self._joined = False
        self._period_count = 0

    def start(self) -> None:
        """Starts probing."""
        self._thread.start()

    def stop(self) -> None:
        """Stops probing and waits for the current period to end."""
        self._stop.set()
        # Joins the thread before shutting down the executor: the thread waits
        # for indirect probes on it, and would wait forever if the shutdown
        # cancelled one of them.
        if self._thread.is_alive():
            self._thread.join()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def probe(self, target: members_lib.Member, timeout_s: float) -> bool:
        """Probes one member; returns whether it answered."""
        reply = self._caller.call(
            PROBE,
            target.control,
            target.region,
            self._membership.prepare_probe(target),
            pb.ProbeReply,
            timeout_s,
        )
        # The address may have been reused by another process.
        if reply is None or reply.responder != target.node_id:
            return False
        in_sync = self._membership.process_probe_reply(target, reply)
        self._digest_mismatches = 0 if in_sync else self._digest_mismatches + 1
        return True

    def synchronize(
        self, address: ids.Address, region: ids.Region | None
    ) -> bool:
        """Synchronizes the table with a peer; returns whether it answered."""
        for page in range(MAX_SYNCHRONIZE_PAGES):
            request = self._membership.prepare_synchronize_request(
                0 if self._joined else JOIN_BUCKET_COUNT
            )
            reply = self._caller.call(
                SYNCHRONIZE,
                address,
                region,
                request,
                pb.SynchronizeReply,
                SYNCHRONIZE_TIMEOUT_S,
            )
            if reply is None:
                return page > 0
            changed, newer = self._membership.process_synchronize_reply(
                request, reply
            )
            self._membership.send_updates(address, newer)
            if not (reply.more and changed):
                break
        self._joined = True
        return True

    def _run(self) -> None:
        period_s = self._settings.probe_period_ms / 1000
        while not self._stop.is_set():
            started_at = time.monotonic()
            self._run_period()
            interval_s = period_s * random.uniform(0.9, 1.1)
            self._stop.wait(
                max(0.0, started_at + interval_s - time.monotonic())
            )

    def _run_period(self) -> None:
        self._period_count += 1
        self._synchronize_with_seed()
        self._probe_dead_member()
        target = self._membership.choose_partner()
        if target is not None and not self._probe_with_fallback(target):
            self._membership.suspect(target)
        self._membership.run_maintenance()
        if (
            target is not None
            and self._digest_mismatches >= MISMATCHES_BEFORE_SYNCHRONIZING
        ):
            self._digest_mismatches = 0
            self.synchronize(target.control, target.region)

    def _probe_with_fallback(self, target: members_lib.Member) -> bool:
        timeout_s = self._settings.probe_timeout_ms / 1000
        if self.probe(target, timeout_s * (1 + self._health_score)):
            self._health_score = max(0, self._health_score - 1)
            return True
        if self._probe_indirectly(target, timeout_s):
            return True
        self._health_score = min(MAX_HEALTH_SCORE, self._health_score + 1)
        return False

    def _probe_indirectly(
        self, target: members_lib.Member, timeout_s: float
    ) -> bool:
        others = [
            member
            for member in self._membership.read_live()
            if member.node_id != target.node_id
            and member.state is members_lib.MemberState.ALIVE
        ]
        chosen = random.sample(
            others, min(self._settings.indirect_probes, len(others))
        )
        request = pb.IndirectProbeRequest(
            sender=self._membership.read_self().node_id,
            target=target.node_id,
            address=target.control,
        )
        calls = [
            self._executor.submit(
                self._caller.call,
                PROBE_INDIRECTLY,
                member.control,
                member.region,
                request,
                pb.IndirectProbeReply,
                2 * timeout_s,
            )
            for member in chosen
        ]
        replies = (call.result() for call in futures.as_completed(calls))
        return any(reply is not None and reply.alive for reply in replies)

    def _synchronize_with_seed(self) -> None:
        live = {member.control for member in self._membership.read_live()}
        missing_seeds = [
            seed
            for seed in self._settings.seeds
            if seed != self._own_address and seed not in live
        ]
        too_few = len(live) < MIN_LIVE_PEERS or not self._joined
        if missing_seeds and (
            too_few or self._period_count % SEED_CONTACT_PERIODS == 0
        ):
            seed = ids.Address(random.choice(missing_seeds))
            self._executor.submit(self.synchronize, seed, None)

    def _probe_dead_member(self) -> None:
        dead = self._membership.read_dead()
        # Across the fleet, each dead member is probed about once per period,
        # regardless of the fleet size.
        probability = len(dead) / (1 + len(self._membership.read_live()))
        if dead and random.random() < probability:
            self._executor.submit(
                self.probe,
                random.choice(dead),
                self._settings.probe_timeout_ms / 1000,
            )
