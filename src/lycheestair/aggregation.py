"""Choice of a failure domain's aggregator, and merging of its reports."""

from collections.abc import Iterable
from collections.abc import Mapping
import threading

import xxhash

from lycheestair import evidence
from lycheestair import ids
from lycheestair import members as members_lib


def choose_aggregator(
    alive: Iterable[members_lib.Member], domain: ids.FailureDomain
) -> members_lib.Member | None:
    """Returns the aggregator of a failure domain, by rendezvous hashing.

    All nodes with the same view of the members choose the same one.
    """
    return max(
        (member for member in alive if member.failure_domain == domain),
        key=lambda member: xxhash.xxh64_intdigest(
            f"{domain}/{member.node_id}".encode()
        ),
        default=None,
    )


def list_alive_members(
    members: Mapping[ids.NodeId, members_lib.Member],
) -> list[members_lib.Member]:
    """Returns the members that the failure detector reports as alive."""
    return [
        member
        for member in members.values()
        if member.state is members_lib.MemberState.ALIVE
    ]


class DomainAggregator:
    """Merges the reports of a failure domain's nodes. Thread-safe."""

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._lock = threading.Lock()
        self._current_rows: list[evidence.Rows] = []
        # Last sequence number and time of the last report, by node id and
        # process incarnation.
        self._last_reports: dict[tuple[str, int], tuple[int, float]] = {}
        self.log = evidence.EvidenceLog(window_s)

    def add(
        self,
        node: tuple[str, int],
        intervals: Iterable[tuple[int, evidence.Rows]],
        now: float,
    ) -> None:
        """Adds intervals of a node, ignoring those added before.

        Args:
          node: Node id and process incarnation.
          intervals: Sequence numbers and rows, in ascending order.
          now: Monotonic time in seconds.
        """
        with self._lock:
            last, _ = self._last_reports.get(node, (0, now))
            for sequence, rows in intervals:
                if sequence > last:
                    self._current_rows.append(rows)
                    last = sequence
            self._last_reports[node] = (last, now)

    def close_interval(self, now: float) -> None:
        """Closes the interval and drops nodes without a report in the window."""
        with self._lock:
            parts, self._current_rows = self._current_rows, []
            self._last_reports = {
                node: (sequence, reported_at)
                for node, (sequence, reported_at) in self._last_reports.items()
                if now - reported_at < self._window_s
            }
        self.log.append(evidence.merge_rows(parts), now)

    def count_reporting_nodes(self) -> int:
        """Returns the number of nodes that reported within the window."""
        with self._lock:
            return len(self._last_reports)
