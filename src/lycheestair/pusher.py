"""Pushes new generations along a tree through the local region."""

from concurrent import futures
import threading
from typing import Final

from absl import logging

from lycheestair import distribution_pb2 as pb
from lycheestair import fanout
from lycheestair import injection
from lycheestair import membership as membership_lib
from lycheestair import replica as replica_lib
from lycheestair import settings as settings_lib
from lycheestair import traffic as traffic_lib

PUSH: Final = traffic_lib.PeerMethod(
    "/lycheestair.distribution.Distribution/Push", "push"
)
PUSH_TIMEOUT_S: Final = 0.5
# Generations that arrive within this period are pushed as one delta.
COALESCING_PERIOD_S: Final = 0.01
MAX_DELIVERY_ATTEMPTS: Final = 3
SENDER_THREADS: Final = 8


class Pusher:
    """Sends deltas to the members of a range."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        membership: membership_lib.GossipMembership,
        replica: replica_lib.Replica,
    ):
        self._settings = settings
        self._membership = membership
        self._replica = replica
        self._lock = threading.Lock()
        # Generation that the members of each range are assumed to have.
        self._pending_bases: dict[fanout.HashRange, int] = {}
        self._pushed_generations: dict[fanout.HashRange, int] = {}
        self._work_available = threading.Event()
        self._stop = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            SENDER_THREADS, thread_name_prefix="push"
        )
        self._thread = threading.Thread(
            target=self._run, name="pusher", daemon=True
        )

    def start(self) -> None:
        """Starts pushing."""
        self._thread.start()

    def stop(self) -> None:
        """Stops; periodic exchanges deliver generations not pushed yet."""
        self._stop.set()
        self._work_available.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def push(self, hash_range: fanout.HashRange, base: int) -> None:
        """Queues the active generation for a range unless already pushed there.

        Args:
          hash_range: Range of the local region.
          base: Generation that the members are assumed to have.
        """
        if hash_range.start >= hash_range.end:
            return
        with self._lock:
            if (
                self._pushed_generations.get(hash_range, 0)
                >= self._replica.current.generation
            ):
                return
            self._pending_bases[hash_range] = min(
                base, self._pending_bases.get(hash_range, base)
            )
        self._work_available.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._work_available.wait()
            self._work_available.clear()
            with self._lock:
                pending, self._pending_bases = self._pending_bases, {}
                generation = self._replica.current.generation
                self._pushed_generations.update(
                    dict.fromkeys(pending, generation)
                )
            try:
                for hash_range, base in pending.items():
                    self._send(hash_range, base)
            except RuntimeError:
                # The executor has been shut down.
                return
            self._stop.wait(COALESCING_PERIOD_S)

    def _send(self, hash_range: fanout.HashRange, base: int) -> None:
        own = self._membership.read_self()
        local_members = [
            member
            for member in self._membership.read_live()
            if member.region == own.region
        ]
        data = self._replica.encode_since(self._replica.choose_base(base))
        for branch in fanout.split_range(
            local_members, hash_range, self._settings.distribution.fan_out
        ):
            self._executor.submit(self._deliver, branch, data)

    def _deliver(self, branch: fanout.Branch, data: bytes) -> None:
        for member in branch.candidates[:MAX_DELIVERY_ATTEMPTS]:
            remaining = branch.find_remaining_range(member)
            request = pb.PushRequest(
                sender=self._settings.node.id,
                address=self._settings.control_address,
                range_start=remaining.start,
                range_end=remaining.end,
                delta=data,
            )
            reply = self._membership.caller.call(
                PUSH,
                member.control,
                member.region,
                request,
                pb.PushReply,
                PUSH_TIMEOUT_S,
            )
            if reply is not None:
                injection.reach(injection.Point.CONFIGURATION_PUSHED)
                return
        logging.debug(
            "push not delivered to any candidate, first was %s",
            branch.candidates[:1],
        )
