"""Dissemination of member records: tree broadcast and piggybacking.

Urgent records are broadcast along a tree, all others are attached to probes.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from concurrent import futures
import math
import threading
from typing import Final

from absl import logging

from lycheestair import fanout
from lycheestair import ids
from lycheestair import member_table
from lycheestair import members as members_lib
from lycheestair import membership_pb2 as pb
from lycheestair import settings as settings_lib
from lycheestair import traffic as traffic_lib

BROADCAST: Final = traffic_lib.PeerMethod(
    "/lycheestair.membership.Membership/Broadcast", "broadcast"
)
BROADCAST_TIMEOUT_S: Final = 0.5
# Updates that arrive within this period are forwarded in one message.
FLUSH_PERIOD_S: Final = 0.05
FAN_OUT: Final = 4
MAX_DELIVERY_ATTEMPTS: Final = 3
SENDER_THREADS: Final = 8

View = Mapping[ids.NodeId, members_lib.Member]


class PiggybackQueue:
    """Nodes whose records have to be attached to further probes."""

    def __init__(self, limit: int):
        self._max_updates = limit
        self._lock = threading.Lock()
        self._remaining_transmissions: dict[ids.NodeId, int] = {}

    def add(self, node_ids: Iterable[ids.NodeId], fleet_size: int) -> None:
        """Queues records; each is attached about log2(fleet size) times."""
        transmissions = max(1, math.ceil(math.log2(fleet_size + 1)))
        with self._lock:
            self._remaining_transmissions.update(
                dict.fromkeys(node_ids, transmissions)
            )

    def take(self, view: View) -> list[members_lib.Member]:
        """Returns records for one probe and counts their transmission.

        Records with the most transmissions left come first.
        """
        with self._lock:
            chosen = sorted(
                self._remaining_transmissions,
                key=self._remaining_transmissions.__getitem__,
                reverse=True,
            )[: self._max_updates]
            for node_id in chosen:
                self._remaining_transmissions[node_id] -= 1
                if self._remaining_transmissions[node_id] <= 0:
                    del self._remaining_transmissions[node_id]
        return [view[node_id] for node_id in chosen if node_id in view]


class Broadcaster:
    """Sends and forwards updates along the tree in batches."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        caller: traffic_lib.PeerCaller,
        read_view: Callable[[], View],
    ):
        self._identity = settings.node
        self._max_updates = settings.membership.max_updates_per_message
        self._caller = caller
        self._read_view = read_view
        self._lock = threading.Lock()
        # The key None holds the updates to broadcast to the whole fleet.
        self._pending: dict[fanout.HashRange | None, set[ids.NodeId]] = {}
        self._work_available = threading.Event()
        self._stop = threading.Event()
        self._executor = futures.ThreadPoolExecutor(
            SENDER_THREADS, thread_name_prefix="broadcast"
        )
        self._thread = threading.Thread(
            target=self._run, name="broadcaster", daemon=True
        )

    def start(self) -> None:
        """Starts sending."""
        self._thread.start()

    def stop(self) -> None:
        """Stops and drops updates that have not been sent."""
        self._stop.set()
        self._work_available.set()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def broadcast(self, node_ids: Iterable[ids.NodeId]) -> None:
        """Queues records for the whole fleet."""
        self._queue(None, node_ids)

    def forward(
        self, hash_range: fanout.HashRange, node_ids: Iterable[ids.NodeId]
    ) -> None:
        """Queues records for the members of the local region in a range."""
        if hash_range.start < hash_range.end:
            self._queue(hash_range, node_ids)

    def send(
        self,
        hash_range: fanout.HashRange | None,
        node_ids: Iterable[ids.NodeId],
    ) -> list[futures.Future[None]]:
        """Sends records without delay, in messages of bounded size.

        Returns:
          A future for each message.
        """
        view = self._read_view()
        records = [
            member_table.encode_member(view[node_id])
            for node_id in sorted(node_ids)
            if node_id in view
        ]
        branches = self._find_branches(view, hash_range)
        return [
            self._executor.submit(self._deliver, branch, batch)
            for batch in member_table.split_batches(records, self._max_updates)
            for branch in branches
        ]

    def _queue(
        self,
        hash_range: fanout.HashRange | None,
        node_ids: Iterable[ids.NodeId],
    ) -> None:
        with self._lock:
            self._pending.setdefault(hash_range, set()).update(node_ids)
        self._work_available.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._work_available.wait()
            self._work_available.clear()
            with self._lock:
                pending, self._pending = self._pending, {}
            try:
                for hash_range, node_ids in pending.items():
                    self.send(hash_range, node_ids)
            except RuntimeError:
                # The executor has been shut down.
                return
            self._stop.wait(FLUSH_PERIOD_S)

    def _find_branches(
        self, view: View, hash_range: fanout.HashRange | None
    ) -> list[fanout.Branch]:
        live = member_table.select_live(view, self._identity.node_id)
        local_members = [m for m in live if m.region == self._identity.region]
        branches = fanout.split_range(
            local_members, hash_range or fanout.FULL_RANGE, FAN_OUT
        )
        if hash_range is None:
            branches += fanout.make_region_branches(
                live, ids.Region(self._identity.region)
            )
        return branches

    def _deliver(
        self, branch: fanout.Branch, records: Sequence[pb.MemberRecord]
    ) -> None:
        for member in branch.candidates[:MAX_DELIVERY_ATTEMPTS]:
            remaining = branch.find_remaining_range(member)
            request = pb.BroadcastRequest(
                sender=self._identity.node_id,
                range_start=remaining.start,
                range_end=remaining.end,
                updates=records,
            )
            reply = self._caller.call(
                BROADCAST,
                member.control,
                member.region,
                request,
                pb.BroadcastReply,
                BROADCAST_TIMEOUT_S,
            )
            if reply is not None:
                return
        logging.debug(
            "broadcast not delivered to any candidate, first was %s",
            branch.candidates[:1],
        )
